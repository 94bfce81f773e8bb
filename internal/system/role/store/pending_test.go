package store

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

func (f *fixture) pendingAge(id string) time.Duration {
	for _, pending := range f.core.ListPending(wire.PendingBody{Units: []string{"u"}}).Messages {
		if pending.ID == id {
			return pending.Age
		}
	}
	return 0
}

// Guards against ages that lag again after a carrier has raised them: at the next start of the store, and once the log
// was cleaned.
func TestRaisedAgesSurviveRestartsAndCleaning(t *testing.T) {
	f := newFixture(t)
	Expect(f.put("a")).To(BeNil())
	f.advance(longPendingAfter)
	Expect(f.pendingAge("a")).To(Equal(longPendingAfter))
	const trueAge = 20 * time.Second
	f.core.RaiseAges([]wire.MessageAge{{ID: "a", Age: trueAge}, {ID: "unknown", Age: trueAge}}, func() {})
	f.core.RaiseAges([]wire.MessageAge{{ID: "a", Age: longPendingAfter}}, func() {})
	f.flush()
	Expect(f.pendingAge("a")).To(Equal(trueAge))
	f.open(false)
	Expect(f.pendingAge("a")).To(Equal(trueAge))
	cleaned := 0
	for i := 0; cleaned == 0 && i < 2000; i++ {
		id := fmt.Sprintf("m%d", i)
		f.put(id)
		f.complete(id, message.Succeeded)
		cleaned = f.clean()
	}
	Expect(cleaned).To(BeNumerically(">", 0))
	f.open(false)
	Expect(f.pendingAge("a")).To(Equal(trueAge))
}
