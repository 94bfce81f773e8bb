package store

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

// Guards against a call-back that is not owed any more: the message was ended by its store, since nobody had ended it within its retention, also where
// the store has started anew meanwhile or has its message as a copy.
func TestCallbackOfAMessageThatItsStoreEnds(t *testing.T) {
	b := newListedBench(t)
	called := newMessage("m1")
	called.Callback = "http://10.8.0.1:80/done"
	b.core.Put(called, 0, func(*wire.RefusalBody) {})
	b.flush()
	Expect(b.put("m2")).To(BeNil(), "one without a call-back")
	copied := newMessage("m3")
	copied.Callback = called.Callback
	b.core.TakeCopy([]wire.CopiedMessage{{Message: *copied}})
	b.flush()
	b.open(false)
	b.pass(called.Retention + time.Minute)
	Expect(b.find("m1").Phase).To(Equal(message.DeadLetter))
	Expect(b.listed()).To(Equal([]string{"m1", "m3"}))
	b.core.CallbackDone([]string{"m1", "m3"}, func() {})
	b.flush()
	Expect(b.listed()).To(BeEmpty())
}
