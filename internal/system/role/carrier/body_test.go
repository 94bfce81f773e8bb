package carrier

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitewing/internal/system/ownership"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/wire"
)

// giveAway makes another carrier the owner of the paced unit.
func (r *fixture) giveAway(token uint64) {
	r.table.Set(keeper.PrefixOwner+pacedUnit, wire.Encode(&ownership.Owner{Incarnation: "edge-8+other", Token: token}))
	r.push()
}

// Guards against memory that is counted for ever, until a carrier accepts nothing: a body that is read back arrives
// when its message has moved to another carrier.
func TestBodyOfAMessageThatHasMovedIsNotCounted(t *testing.T) {
	RegisterTestingT(t)
	r := newFixture()
	body := deliverBody("m1", pacedUnit, ownedToken)
	body.Message.Body, body.Message.Delay = []byte("body"), time.Second
	r.core.bodyBytes = int64(keepBodiesShare*r.core.memoryLimit()) + 1
	Expect(r.core.TakeMessage(body)).To(BeNil())
	r.core.bodyBytes = 0
	r.store("disk-1").body, r.store("disk-2").body = body.Message.Body, body.Message.Body
	for r.LastCall(wire.FindMessage).Payload == nil {
		r.Advance(time.Millisecond / 2) // less than a call takes
	}
	r.giveAway(ownedToken + 1)
	r.Advance(time.Second)
	Expect(r.core.bodyBytes).To(BeZero())
}
