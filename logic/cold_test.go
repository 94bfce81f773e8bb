package logic

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// The budget of a worker that has just started holds for the sum of all schedulers, however many they are, whatever comes to
// whom and when, and however often their processes start anew: every scheduler always has work for it, the most that it may send or of drawn sizes, and sends all that it may, late
// in one slot and early in the next or at drawn moments. In any
// window the sum stays within N + 2 root N + 2 requests of mean work (under 30: N + 3 root N + 3), N being what is allowed at
// the window's beginning.
func TestSlowStartBudgetOfAnyNumberOfSchedulers(t *testing.T) {
	for _, n := range []int{1, 2, 4, 5, 80, 900} {
		just := 31 / (0.37 * initialSlots * 2) // N just past the border between few and many in the middle of the play
		for _, multiple := range []float64{1, 3, just, 40} {
			t.Run(fmt.Sprintf("%d schedulers, multiple %g", n, multiple), func(t *testing.T) {
				checkSlowStartBudget(t, n, multiple)
			})
		}
	}
}

type slowStartSend struct {
	at   int64
	work float64
}

func checkSlowStartBudget(t *testing.T, n int, multiple float64) {
	const window, moments = 2_000_000, 40
	c := testConfig()
	c.Schedulers, c.Cold, c.StartCapacity, c.FallWindow, c.FallMultiple = n, 24_000_000, 0.3, window, multiple
	list := readyWorkers(1)
	list[0].UpSince = t0
	fleet := newFleet(t, c, list)
	r := rand.New(rand.NewSource(int64(n)*100 + int64(multiple)))
	var sent []slowStartSend
	for slot := int64(0); slot < 7; slot++ {
		for m := range moments {
			at := t0 - t0%window + slot*window + int64(m)*window/moments + r.Int63n(window/moments)
			bunched := slot >= 3
			if at < t0 || bunched && slot%2 == 1 && m < moments-1 || bunched && slot%2 == 0 && m > 0 {
				continue
			}
			for _, k := range r.Perm(n) {
				sent = append(sent, sendAllAllowed(fleet[k], at, r, bunched)...)
				if r.Intn(4) > 0 {
					continue
				}
				// Its process ends, and the next one knows nothing of what was sent.
				c.Self = k
				fleet[k] = mustNew(t, c)
				fleet[k].Workers(at, ListFull, list, nil)
				sent = append(sent, sendAllAllowed(fleet[k], at, r, bunched)...)
			}
		}
	}
	if len(sent) == 0 {
		t.Error("nobody may send to it, it would never warm up")
	}
	allowed := func(at int64) float64 {
		x := float64(at-t0) / 24e6
		return multiple * (0.3 + 0.7*x*x) * initialSlots * 2
	}
	from, sum := 0, 0.0
	for _, o := range sent {
		sum += o.work
		for o.at-sent[from].at >= window {
			sum -= sent[from].work
			from++
		}
		// The worker grows warmer in the window; what it is allowed at the end is the most that the settings give.
		limit := allowed(o.at)
		if limit < 30 {
			limit += 3*math.Sqrt(limit) + 3
		} else {
			limit += 2*math.Sqrt(limit) + 2
		}
		if sum > limit+1e-6 {
			t.Fatalf("%.2f requests of mean work in a window, %.2f may come", sum, limit)
		}
	}
}

// sendCold has a scheduler send all that it may to its first worker, by drawn sizes or the most that it may.
func sendAllAllowed(s *Scheduler, at int64, r *rand.Rand, most bool) (sent []slowStartSend) {
	s.now, s.meanWork = max(s.now, at), 1
	sizes := []float64{r.ExpFloat64() * 4, r.ExpFloat64(), r.Float64() / 4}
	if most {
		sizes = []float64{maxAllowedWork(s), maxAllowedWork(s)}
	}
	w := &s.workers[0]
	for _, work := range sizes {
		for work >= 0.01 && s.slowStartAllows(w, work) {
			w.slowStartUsed += work
			sent = append(sent, slowStartSend{at, work})
		}
	}
	return sent
}

// A process whose place another has taken leaves the budget to that one.
func TestSlowStartBudgetIsLeftToTheSuccessor(t *testing.T) {
	c := testConfig()
	c.Cold, c.StartCapacity, c.FallWindow, c.FallMultiple = 24_000_000, 0.3, 2_000_000, 3
	s := mustNew(t, c)
	list := readyWorkers(1)
	list[0].UpSince = t0
	s.Workers(t0, ListFull, list, nil)
	s.now = t0 + c.FallWindow
	if maxAllowedWork(s) == 0 {
		t.Error("nothing may be sent to a worker that has just started")
	}
	if s.Yield(); maxAllowedWork(s) != 0 {
		t.Error("a process that was succeeded sends to it")
	}
}

// mostCold is the most work that a scheduler may now send to its first worker.
func maxAllowedWork(s *Scheduler) float64 {
	low, high := 0.0, 1e6
	for range 60 {
		if middle := (low + high) / 2; s.slowStartAllows(&s.workers[0], middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}
