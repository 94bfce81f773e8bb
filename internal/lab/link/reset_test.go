package link

import (
	"errors"
	"syscall"
	"testing"
	"time"
)

// What had come over a connection before it was reset is not handed on, and a link that refuses hands on nothing.
func TestResetLosesWhatHadCome(t *testing.T) {
	const tries = 50 // a select between what came and the reset would choose at random
	for range tries {
		caller, w := pair(t, &Link{}, nil)
		if _, err := caller.Write([]byte("request")); err != nil {
			t.Fatal(err)
		}
		for until := time.Now().Add(bound); len(w.in) == 0 && time.Now().Before(until); {
			time.Sleep(100 * time.Microsecond)
		}
		w.Reset()
		if n, err := w.Read(make([]byte, 16)); err == nil {
			t.Fatalf("%d bytes were read after the reset", n)
		}
	}
}

// Whichever goroutine closes the socket, the caller sees a reset and never an orderly end.
func TestResetIsNeverAnOrderlyEnd(t *testing.T) {
	const resets = 3000
	for range resets {
		var l Link
		caller, c := pair(t, &l, nil)
		c.Reset()
		if _, err := caller.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("the caller read %v; want a reset", err)
		}
		caller.Close()
	}
}
