package link

import (
	"errors"
	"syscall"
	"testing"
	"time"
)

// Bytes that were received before a reset are not delivered after it, and a link that refuses connections delivers
// nothing.
func TestResetDiscardsReceivedBytes(t *testing.T) {
	const tries = 50 // a select between the received bytes and the reset would choose at random
	for range tries {
		caller, w := newPair(t, &Link{}, nil)
		if _, err := caller.Write([]byte("request")); err != nil {
			t.Fatal(err)
		}
		for until := time.Now().Add(testTimeout); len(w.in) == 0 && time.Now().Before(until); {
			time.Sleep(100 * time.Microsecond)
		}
		w.Reset()
		if n, err := w.Read(make([]byte, 16)); err == nil {
			t.Fatalf("%d bytes were read after the reset", n)
		}
	}
}

// Whichever goroutine closes the socket, the caller sees a reset and never a graceful close.
func TestResetIsNeverGraceful(t *testing.T) {
	const resets = 3000
	for range resets {
		var l Link
		caller, c := newPair(t, &l, nil)
		c.Reset()
		if _, err := caller.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("the caller read %v; want a reset", err)
		}
		caller.Close()
	}
}
