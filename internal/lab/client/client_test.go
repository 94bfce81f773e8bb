package client

import (
	"math/rand/v2"
	"testing"
	"time"
)

// When clients try again. A job that must not run twice is repeated only where nothing of it can have run.
func TestAgain(t *testing.T) {
	b := Behaviour{Retries: 2, Wait: 10 * time.Millisecond, Follow: 1, Longest: time.Second, Failed: true, Mark: true}
	stubborn := b
	stubborn.Follow = 0
	strict := b
	strict.Failed = false
	for name, c := range map[string]struct {
		b      Behaviour
		unsafe bool
		tries  int
		r      Result
		after  time.Duration
		wait   time.Duration
		again  bool
	}{
		"served":                           {b, false, 1, Served, 0, 0, false},
		"hung up":                          {b, false, 1, HungUp, 0, 0, false},
		"refused with advice":              {b, false, 1, Refused, 500 * time.Millisecond, 500 * time.Millisecond, true},
		"refused with advice beyond limit": {b, false, 1, Refused, 2 * time.Second, 10 * time.Millisecond, true},
		"one who follows no advice":        {stubborn, false, 1, Refused, 500 * time.Millisecond, 10 * time.Millisecond, true},
		"unsafe and refused":               {b, true, 1, Refused, 0, 10 * time.Millisecond, true},
		"unsafe and never sent":            {b, true, 1, Unsent, 0, 10 * time.Millisecond, true},
		"unsafe and failed":                {b, true, 1, Failed, 0, 10 * time.Millisecond, false},
		"unsafe and silent":                {b, true, 1, Silent, 0, 10 * time.Millisecond, false},
		"unsafe and broken":                {b, true, 1, Broken, 0, 10 * time.Millisecond, false},
		"safe and broken":                  {b, false, 2, Broken, 0, 10 * time.Millisecond, true},
		"failures are not retried":         {strict, false, 1, Failed, 0, 10 * time.Millisecond, false},
		"the last retry was used":          {b, false, 3, Refused, 0, 0, false},
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
	hasty := Behaviour{Impatient: 1, Patience: time.Second}.New(false, false, time.Minute, rand.New(rand.NewPCG(1, 1)))
	if wait, leaves, _ := hasty.Begin(); wait != time.Second || !leaves {
		t.Errorf("an impatient client waits %v, leaves %t", wait, leaves)
	}
}
