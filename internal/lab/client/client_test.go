package client

import (
	"math/rand/v2"
	"testing"
	"time"
)

// When clients retry: a job that must not run twice is repeated only if it can't have run.
func TestAgain(t *testing.T) {
	b := Behaviour{Retries: 2, Wait: 10 * time.Millisecond, FollowRetryAfter: 1, LongestRetryAfter: time.Second, RetryFailed: true, MarkResent: true}
	ignoresAdvice := b
	ignoresAdvice.FollowRetryAfter = 0
	noFailureRetries := b
	noFailureRetries.RetryFailed = false
	for name, c := range map[string]struct {
		b      Behaviour
		unsafe bool
		tries  int
		r      Result
		after  time.Duration
		wait   time.Duration
		again  bool
	}{
		"served":                                {b, false, 1, Served, 0, 0, false},
		"hung up":                               {b, false, 1, HungUp, 0, 0, false},
		"refused with advice":                   {b, false, 1, Refused, 500 * time.Millisecond, 500 * time.Millisecond, true},
		"refused with advice beyond limit":      {b, false, 1, Refused, 2 * time.Second, 10 * time.Millisecond, true},
		"refused with advice, which is ignored": {ignoresAdvice, false, 1, Refused, 500 * time.Millisecond, 10 * time.Millisecond, true},
		"unsafe and refused":                    {b, true, 1, Refused, 0, 10 * time.Millisecond, true},
		"unsafe and never sent":                 {b, true, 1, Unsent, 0, 10 * time.Millisecond, true},
		"unsafe and failed":                     {b, true, 1, Failed, 0, 10 * time.Millisecond, false},
		"unsafe and silent":                     {b, true, 1, Silent, 0, 10 * time.Millisecond, false},
		"unsafe and broken":                     {b, true, 1, Broken, 0, 10 * time.Millisecond, false},
		"safe and broken":                       {b, false, 2, Broken, 0, 10 * time.Millisecond, true},
		"failures are not retried":              {noFailureRetries, false, 1, Failed, 0, 10 * time.Millisecond, false},
		"no retry left":                         {b, false, 3, Refused, 0, 0, false},
	} {
		j := c.b.New(c.unsafe, false, time.Minute, rand.New(rand.NewPCG(1, 1)))
		for i := range c.tries {
			if _, _, marked := j.Begin(); marked != (i > 0) {
				t.Errorf("%s: try %d marked %t", name, i, marked)
			}
		}
		if wait, again := j.Again(c.r, c.after); again != c.again || wait != c.wait {
			t.Errorf("%s: again %t after %v, want %t after %v", name, again, wait, c.again, c.wait)
		}
	}
	impatient := Behaviour{Impatient: 1, Patience: time.Second}.New(false, false, time.Minute, rand.New(rand.NewPCG(1, 1)))
	if wait, leaves, _ := impatient.Begin(); wait != time.Second || !leaves {
		t.Errorf("an impatient client waits %v, disconnects %t", wait, leaves)
	}
}
