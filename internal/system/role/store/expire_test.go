package store

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

// Guards against a lost callback of a message that its store completes itself, because it got no outcome within its
// retention. This includes a store that has restarted since and a message that is a copy.
func TestOwesCallbackOfMessageExpiredByStore(t *testing.T) {
	f := newFixture(t)
	withCallback := newMessage("m1")
	withCallback.Callback = "http://10.8.0.1:80/done"
	f.core.Put(withCallback, 0, func(*wire.RefusalBody) {})
	f.flush()
	Expect(f.put("m2")).To(BeNil(), "a message without a callback")
	copied := newMessage("m3")
	copied.Callback = withCallback.Callback
	f.core.AddCopies([]wire.CopiedMessage{{Message: *copied}})
	f.flush()
	f.open(false)
	f.advance(withCallback.Retention + time.Minute)
	Expect(f.find("m1").Phase).To(Equal(message.DeadLetter))
	Expect(f.listed()).To(Equal([]string{"m1", "m3"}))
	f.core.CallbackDone([]string{"m1", "m3"}, func() {})
	f.flush()
	Expect(f.listed()).To(BeEmpty())
}

// Guards against a message that its store ends before its carrier does: the delay comes before the retention, whether
// the message is new, a copy, or read at a start. A completed message ahead of it changes nothing.
func TestExpiryCountsFromTheEndOfTheDelay(t *testing.T) {
	f := newFixture(t)
	const delay = 40 * time.Second
	delayed := newMessage("m1")
	delayed.Delay = delay
	copied := *delayed
	copied.ID = "m2"
	Expect(f.put("m0")).To(BeNil())
	f.core.Put(delayed, 0, func(*wire.RefusalBody) {})
	f.core.AddCopies([]wire.CopiedMessage{{Message: copied}})
	f.flush()
	f.advance(delayed.Retention + delay)
	f.complete("m0", message.Succeeded)
	expectPhases := func(phase message.Phase) {
		for _, id := range []string{"m1", "m2"} {
			Expect(f.find(id).Phase).To(Equal(phase), id)
		}
	}
	expectPhases(message.Pending)
	f.open(false)
	f.advance(20 * time.Second)
	expectPhases(message.Pending)
	f.advance(20 * time.Second)
	expectPhases(message.DeadLetter)
}
