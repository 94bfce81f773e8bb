package model

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func plainMachine() Machine {
	return Machine{Name: "h", Cores: 2, Speed: 1, Slots: 2, Queue: 2}
}

func job(attempt uint64, work float64) Job { return Job{Attempt: attempt, Work: work, Slots: 1} }

// formatNotes formats notes as kind, attempt and time.
func formatNotes(notes []Note) []string {
	var out []string
	for _, n := range notes {
		s := fmt.Sprintf("%s %d @%d", [...]string{"taken", "started", "running", "done", "repeat", "full", "failed", "returned", "lost"}[n.Kind], n.Attempt, n.At)
		if n.Kind == Running {
			s += fmt.Sprintf(" %.2f", n.Share)
		}
		out = append(out, s)
	}
	return out
}

// Each case calls a host and compares all its notes.
func TestHostNotes(t *testing.T) {
	store := func() *Store { return &Store{Room: 1} }
	for name, c := range map[string]struct {
		m     Machine
		cold  bool
		steps func(h *Host, say func([]Note))
		want  []string
	}{
		"two run, two wait, the fifth is refused": {m: plainMachine(), steps: func(h *Host, say func([]Note)) {
			for i := range uint64(5) {
				say(h.Offer(0, job(i, 100)))
			}
			say(h.Advance(1000))
		}, want: []string{"taken 0 @0", "started 0 @0", "taken 1 @0", "started 1 @0", "taken 2 @0", "taken 3 @0", "full 4 @0",
			"done 0 @100", "done 1 @100", "started 2 @100", "started 3 @100", "done 2 @200", "done 3 @200"}},
		"without backfill a job that waits for slots blocks the next": {m: plainMachine(), steps: func(h *Host, say func([]Note)) {
			say(h.Offer(0, job(1, 100)))
			say(h.Offer(0, Job{Attempt: 2, Work: 100, Slots: 2}))
			say(h.Offer(0, job(3, 10)))
			say(h.Advance(1000))
		}, want: []string{"taken 1 @0", "started 1 @0", "taken 2 @0", "taken 3 @0", "done 1 @100", "started 2 @100", "done 2 @200", "started 3 @200", "done 3 @210"}},
		"with backfill a job that fits passes one that waits": {m: func() Machine { m := plainMachine(); m.Backfill = true; return m }(), steps: func(h *Host, say func([]Note)) {
			say(h.Offer(0, job(1, 100)))
			say(h.Offer(0, Job{Attempt: 2, Work: 100, Slots: 2}))
			say(h.Offer(0, job(3, 10)))
			say(h.Advance(1000))
		}, want: []string{"taken 1 @0", "started 1 @0", "taken 2 @0", "taken 3 @0", "started 3 @0", "done 3 @10", "done 1 @100", "started 2 @100", "done 2 @200"}},
		"more slots than cores share the cores": {m: func() Machine { m := plainMachine(); m.Cores = 1; return m }(), steps: func(h *Host, say func([]Note)) {
			say(h.Offer(0, job(1, 100)))
			say(h.Offer(0, job(2, 100)))
			say(h.Advance(1000))
		}, want: []string{"taken 1 @0", "started 1 @0", "taken 2 @0", "started 2 @0", "done 1 @200", "done 2 @200"}},
		"slowness delays the rest of the work": {m: plainMachine(), steps: func(h *Host, say func([]Note)) {
			say(h.Offer(0, job(1, 100)))
			say(h.Slow(50, 4))
			say(h.Advance(100))
			say(h.Slow(150, 1))
			say(h.Advance(1000))
		}, want: []string{"taken 1 @0", "started 1 @0", "done 1 @175"}},
		"progress": {m: func() Machine { m := plainMachine(); m.Progress = 40; return m }(), steps: func(h *Host, say func([]Note)) {
			say(h.Offer(0, job(1, 100)))
			say(h.Advance(1000))
		}, want: []string{"taken 1 @0", "started 1 @0", "running 1 @40 0.40", "running 1 @80 0.80", "done 1 @100"}},
		"a data set is fetched once and cached": {m: func() Machine { m := plainMachine(); m.Sets, m.Fetch = 1, 50; return m }(), steps: func(h *Host, say func([]Note)) {
			say(h.Offer(0, Job{Attempt: 1, Work: 10, Slots: 1, Set: 7}))
			say(h.Advance(100))
			say(h.Offer(100, Job{Attempt: 2, Work: 10, Slots: 1, Set: 7}))
			say(h.Offer(200, Job{Attempt: 3, Work: 10, Slots: 1, Set: 8}))
			say(h.Advance(300))
			say(h.Offer(300, Job{Attempt: 4, Work: 10, Slots: 1, Set: 7}))
			say(h.Advance(400))
		}, want: []string{"taken 1 @0", "started 1 @0", "done 1 @60", "taken 2 @100", "started 2 @100", "done 2 @110", "taken 3 @200", "started 3 @200",
			"done 3 @260", "taken 4 @300", "started 4 @300", "done 4 @360"}},
		"a rack drops a repeat unless the first attempt was cancelled": {m: plainMachine(), steps: func(h *Host, say func([]Note)) {
			j := Job{Attempt: 1, Work: 100, Slots: 1, Key: "k"}
			say(h.Offer(0, j))
			j.Attempt = 2
			say(h.Offer(10, j))
			say(h.Cancel(20, 1))
			j.Attempt = 3
			say(h.Offer(30, j))
			say(h.Advance(200))
			j.Attempt = 4
			say(h.Offer(300, j))
			j.Attempt = 5
			say(h.Offer(5000, j))
			say(h.Advance(6000))
		}, want: []string{"taken 1 @0", "started 1 @0", "full 2 @10", "taken 3 @30", "started 3 @30", "done 3 @130", "taken 4 @300", "repeat 4 @300",
			"taken 5 @5000", "started 5 @5000", "done 5 @5100"}},
		"a drain returns waiting jobs": {m: func() Machine { m := plainMachine(); m.Returns = true; return m }(), steps: func(h *Host, say func([]Note)) {
			for i := range uint64(3) {
				say(h.Offer(0, job(i, 100)))
			}
			say(h.Drain(10))
			say(h.Advance(1000))
		}, want: []string{"taken 0 @0", "started 0 @0", "taken 1 @0", "started 1 @0", "taken 2 @0", "returned 2 @10", "done 0 @100", "done 1 @100"}},
		"a cold host collapses under too much work, but not under one large job": {cold: true,
			m: func() Machine {
				m := plainMachine()
				m.Start, m.WarmUp, m.Window, m.Multiple, m.Queue = 0.5, 10_000, 100, 3, 50
				return m
			}(), steps: func(h *Host, say func([]Note)) {
				say(h.Offer(0, job(0, 100_000)))
				for i := uint64(1); i < 4; i++ {
					say(h.Offer(1, job(i, 100)))
				}
				if h.Down() || h.Collapses() != 0 {
					say([]Note{{Kind: Lost}})
				}
				say(h.Cancel(150, 0))
				say(h.Offer(150, job(9, 100)))
				for i := uint64(10); i < 20; i++ {
					say(h.Offer(150, job(i, 100))[:0])
				}
				if !h.Down() || h.Collapses() != 1 {
					say([]Note{{Kind: Lost, Attempt: 99}})
				}
			}, want: []string{"taken 0 @0", "started 0 @0", "taken 1 @1", "started 1 @1", "taken 2 @1", "taken 3 @1", "started 2 @150", "taken 9 @150"}},
		"errors":                        {m: plainMachine(), steps: func(h *Host, say func([]Note)) { h.Errors(true); say(h.Offer(0, job(1, 5))) }, want: []string{"failed 1 @0"}},
		"a job beyond the host's slots": {m: plainMachine(), steps: func(h *Host, say func([]Note)) { say(h.Offer(0, Job{Attempt: 1, Work: 5, Slots: 3})) }, want: []string{"full 1 @0"}},
		"efficiency lost above the knee": {m: func() Machine { m := plainMachine(); m.Knee, m.Thrash = 2, 0.5; return m }(), steps: func(h *Host, say func([]Note)) {
			for i := range uint64(3) {
				say(h.Offer(0, job(i, 100)))
			}
			say(h.Cancel(100, 2))
			say(h.Advance(1000))
		}, want: []string{"taken 0 @0", "started 0 @0", "taken 1 @0", "started 1 @0", "taken 2 @0", "done 0 @150", "done 1 @150"}},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHost(c.m, NewCell(1000), store(), 0, c.cold)
			var got []string
			c.steps(h, func(n []Note) { got = append(got, formatNotes(n)...) })
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// The capacity of a cold host grows linearly to its full value.
func TestWarmUp(t *testing.T) {
	m := plainMachine()
	m.Start, m.WarmUp = 0.2, 1000
	h := NewHost(m, nil, &Store{}, 0, true)
	for _, c := range []struct {
		at   int64
		want float64
	}{{0, 0.4}, {500, 1.2}, {1000, 2}, {5000, 2}} {
		h.Advance(c.at)
		if got := h.Capacity(); got < c.want*0.97 || got > c.want*1.03 {
			t.Errorf("capacity %.3f at %d, want %.3f", got, c.at, c.want)
		}
	}
}

// Under random events each accepted attempt ends once, the running jobs fit the slots, times of notes do not decrease,
// and the store's count of active fetches returns to 0.
func TestHostInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Machine{Name: "h", Cores: rapid.Float64Range(0.5, 4).Draw(t, "cores"), Speed: rapid.Float64Range(0.1, 3).Draw(t, "speed"),
			Slots: float64(rapid.IntRange(1, 4).Draw(t, "slots")), Memory: rapid.SampledFrom([]float64{0, 2}).Draw(t, "memory"), Queue: rapid.IntRange(0, 5).Draw(t, "queue"),
			Backfill: rapid.Bool().Draw(t, "backfill"), Knee: 3, Thrash: 0.1, Start: 0.3, WarmUp: 5000, Window: 500, Multiple: rapid.SampledFrom([]float64{0, 2}).Draw(t, "multiple"),
			Sets: rapid.IntRange(0, 2).Draw(t, "sets"), Fetch: 30, Progress: rapid.SampledFrom([]int64{0, 25}).Draw(t, "progress"), Returns: rapid.Bool().Draw(t, "returns")}
		store := &Store{Room: 1}
		h := NewHost(m, NewCell(2000), store, 0, rapid.Bool().Draw(t, "cold"))
		now, next := int64(0), uint64(0)
		open, offered := map[uint64]bool{}, map[uint64]bool{}
		last := int64(0)
		take := func(notes []Note) {
			for _, n := range notes {
				if n.At < last {
					t.Fatalf("a note at %d after one at %d", n.At, last)
				}
				last = n.At
				if !offered[n.Attempt] {
					t.Fatalf("a note of attempt %d, which was never offered", n.Attempt)
				}
				switch n.Kind {
				case Taken:
					open[n.Attempt] = true
				case Started, Running:
					if !open[n.Attempt] {
						t.Fatalf("attempt %d makes progress but is not open", n.Attempt)
					}
				case Full, Failed:
					if open[n.Attempt] {
						t.Fatalf("attempt %d is refused after it was taken", n.Attempt)
					}
				default:
					if !open[n.Attempt] {
						t.Fatalf("attempt %d ends twice", n.Attempt)
					}
					delete(open, n.Attempt)
				}
			}
			if h.Down() {
				clear(open)
			}
			if h.Held() != len(open) {
				t.Fatalf("the host holds %d attempts, but %d are open", h.Held(), len(open))
			}
			slots := 0.0
			for _, r := range h.running {
				slots += r.Slots
			}
			if slots > m.Slots {
				t.Fatalf("%g slots in use of %g", slots, m.Slots)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 200).Draw(t, "wait"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3, 4:
				next++
				offered[next] = true
				key := ""
				if rapid.Bool().Draw(t, "keyed") {
					key = fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
				}
				take(h.Offer(now, Job{Attempt: next, Key: key, Work: rapid.Float64Range(0, 300).Draw(t, "work"), Slots: float64(rapid.IntRange(1, 3).Draw(t, "wants")),
					Memory: rapid.Float64Range(0, 1).Draw(t, "needs"), Set: uint64(rapid.IntRange(0, 3).Draw(t, "set"))}))
			case 5:
				if next > 0 {
					id := uint64(rapid.IntRange(1, int(next)).Draw(t, "attempt"))
					take(h.Advance(now))
					notes := h.Cancel(now, id)
					delete(open, id)
					take(notes)
				}
			case 6:
				take(h.Slow(now, rapid.Float64Range(0.5, 9).Draw(t, "factor")))
			case 7:
				take(h.Drain(now))
			case 8:
				if rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
					h.Crash(now)
					clear(open)
					h.Restart(now)
					last = now
				}
			default:
				take(h.Advance(now))
			}
			if h.Down() {
				h.Restart(now)
				last = now
			}
		}
		take(h.Slow(now, 1))
		for h.Held() > 0 && h.Next() != Never {
			now = h.Next()
			take(h.Advance(now))
		}
		if h.Held() != 0 || store.activeFetches != 0 {
			t.Fatalf("%d attempts held and %d fetches active with no event left", h.Held(), store.activeFetches)
		}
	})
}

// Discovery publishes changes after their lag and in order, and publishes none while it is stale.
func TestDirectory(t *testing.T) {
	d := NewDirectory([]Member{{ID: "a", Phase: Ready}, {ID: "b", Phase: Ready}})
	d.Change(0, 100, Member{ID: "a", Phase: Draining})
	d.Change(10, 20, Member{ID: "c", Phase: Ready}) // due earlier, but published no earlier than the change before it
	if d.Advance(99) || d.Next() != 100 || d.Revision() != 1 {
		t.Fatalf("published too early: next %d, revision %d", d.Next(), d.Revision())
	}
	d.Stale(true)
	if d.Advance(200) || d.Next() != Never {
		t.Fatal("a stale list publishes changes")
	}
	d.Stale(false)
	if !d.Advance(200) || d.Revision() != 3 {
		t.Fatalf("revision %d after two changes", d.Revision())
	}
	members, complete := d.Since(2)
	if diff := cmp.Diff([]Member{{ID: "c", Phase: Ready}}, members); diff != "" || complete {
		t.Errorf("since 2, complete %t: %s", complete, diff)
	}
	d.Change(300, 0, Member{ID: "b", Phase: Gone})
	d.Advance(300)
	for _, revision := range []int64{-1, 0, 99} {
		if members, complete := d.Since(revision); !complete || len(members) != 2 {
			t.Errorf("since %d: complete %t, %v", revision, complete, members)
		}
	}
}
