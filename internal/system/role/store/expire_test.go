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
