package logic

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// Guards against overload of a worker in slow start by the sum of all schedulers, however many they are and however
// often their processes restart. Every scheduler always has jobs for the worker, of random sizes or as large as
// allowed, and sends all that it may: at random moments, or late in one slot and early in the next. In any window the
// sum must stay within N + 2 root N + 2 requests of mean work (for N under 30: N + 3 root N + 3), where N is the
// allowance at the beginning of the window.
func TestSlowStartBudgetOfAnyNumberOfSchedulers(t *testing.T) {
	for _, n := range []int{1, 2, 4, 5, 80, 900} {
		justMany := 31 / (0.37 * initialSlots * 2) // N just past the border between few and many in the middle of the run
		for _, multiple := range []float64{1, 3, justMany, 40} {
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

// checkSlowStartBudget runs n schedulers against one worker in slow start and checks every window.

func checkSlowStartBudget(t *testing.T, n int, multiple float64) {
	const window, moments = 2_000_000, 40
	c := testConfig()
	c.Schedulers, c.SlowStart, c.StartCapacity, c.OverloadWindow, c.OverloadMultiple = n, 24_000_000, 0.3, window, multiple
	list := readyWorkers(1)
	list[0].UpSince = t0
	fleet := newFleet(t, c, list)
	r := rand.New(rand.NewSource(int64(n)*100 + int64(multiple)))
	var sent []slowStartSend
	for slot := int64(0); slot < 7; slot++ {
		for m := range moments {
			at := t0 - t0%window + slot*window + int64(m)*window/moments + r.Int63n(window/moments)
			clustered := slot >= 3
			if at < t0 || clustered && slot%2 == 1 && m < moments-1 || clustered && slot%2 == 0 && m > 0 {
				continue
			}
			for _, k := range r.Perm(n) {
				sent = append(sent, sendAllAllowed(fleet[k], at, r, clustered)...)
				if r.Intn(4) > 0 {
					continue
				}
				// The process ends; its successor does not know what was sent.
				c.Self = k
				fleet[k] = mustNew(t, c)
				fleet[k].Workers(at, ListFull, list, nil)
				sent = append(sent, sendAllAllowed(fleet[k], at, r, clustered)...)
			}
		}
	}
	if len(sent) == 0 {
		t.Error("no scheduler may send to the worker, so it would never warm up")
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
		// The worker warms up within the window; the allowance at the window's end is the loosest bound of the
		// settings.
		limit := allowed(o.at)
		if limit < 30 {
			limit += 3*math.Sqrt(limit) + 3
		} else {
			limit += 2*math.Sqrt(limit) + 2
		}
		if sum > limit+1e-6 {
			t.Fatalf("%.2f requests of mean work in a window, limit %.2f", sum, limit)
		}
	}
}

// sendAllAllowed has a scheduler send all that it may to its first worker, in jobs of random size or of the largest
// size allowed.
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

// A process that has been replaced must leave the slow-start budget to its successor.
func TestSlowStartBudgetIsLeftToTheSuccessor(t *testing.T) {
	c := testConfig()
	c.SlowStart, c.StartCapacity, c.OverloadWindow, c.OverloadMultiple = 24_000_000, 0.3, 2_000_000, 3
	s := mustNew(t, c)
	list := readyWorkers(1)
	list[0].UpSince = t0
	s.Workers(t0, ListFull, list, nil)
	s.now = t0 + c.OverloadWindow
	if maxAllowedWork(s) == 0 {
		t.Error("nothing may be sent to a worker in slow start")
	}
	if s.YieldSlowStartBudget(); maxAllowedWork(s) != 0 {
		t.Error("a process that was replaced still sends to it")
	}
}

// maxAllowedWork returns the most work that a scheduler may now send to its first worker, by bisection.
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
