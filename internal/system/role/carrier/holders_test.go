package carrier

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

// Guards against an outcome that a disk never gets, which then lists its message as pending: the message was in flight
// while its unit left this carrier and came back, and was found on that disk.
func TestOutcomeReachesADiskThatIsFoundWhileTheMessageIsInFlight(t *testing.T) {
	RegisterTestingT(t)
	r := newFixture()
	body := deliverBody("m1", pacedUnit, ownedToken)
	Expect(r.core.TakeMessage(body)).To(BeNil())
	r.Advance(50 * time.Millisecond)
	Expect(r.sent).To(Equal([]string{"m1"}))
	r.giveAway(ownedToken + 1)
	r.store("disk-3").listed = []wire.ListedMessage{{Message: body.Message, Phase: message.Pending}}
	r.own(ownedToken + 2)
	r.Advance(time.Second)
	r.finish(AttemptOutcome{Kind: RunSucceeded, Stamp: "s"})
	r.Advance(time.Second)
	Expect(r.storesWithOutcomes()).To(HaveKey(diskAddress("disk-3")))
}
