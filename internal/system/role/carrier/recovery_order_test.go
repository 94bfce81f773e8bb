package carrier

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

// Guards against a second run long after a loss of all power: a message that had run just before it waited behind all
// that carriers without a known owner of the unit accepted after it.
func TestOlderMessageIsSentFirstWhateverOwnerItsAcceptorKnew(t *testing.T) {
	RegisterTestingT(t)
	r := newFixture()
	listed := func(id string, token uint64, age time.Duration) wire.ListedMessage {
		return wire.ListedMessage{Message: deliverBody(id, pacedUnit, token).Message, Phase: message.Pending, Age: age}
	}
	r.store("disk-1").listed = []wire.ListedMessage{listed("newer", 0, 2*time.Second), listed("older", ownedToken, 9*time.Second)}
	r.own(ownedToken + 1)
	r.Advance(time.Second)
	Expect(r.sent).To(HaveLen(2))
	Expect(r.sent[0]).To(Equal("older"))
}
