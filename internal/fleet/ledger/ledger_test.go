package ledger

import (
	"errors"
	"fmt"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"granitewing/internal/fleet/verdict"
	"granitewing/logic"
)

// told is what a ledger told last.
type told struct {
	work map[logic.WorkerID]float64
	at   int64
	sets map[uint64]float64
}

func (t *told) Heard(_ int64, host logic.WorkerID, work float64, at int64) {
	t.work[host], t.at = work, at
}
func (t *told) HeardDemand(set uint64, load float64, _ int64) { t.sets[set] = load }

func tell(l *Ledger, now int64, hosts ...logic.WorkerID) *told {
	t := &told{work: map[logic.WorkerID]float64{}, sets: map[uint64]float64{}}
	l.Tell(now, hosts, t)
	return t
}

func says(from string, incarnation, seq uint64, held ...Held) *Report {
	return &Report{From: from, Incarnation: incarnation, Seq: seq, Held: held}
}

const second = 1_000_000

func TestSums(t *testing.T) {
	l := New("me", Limits{})
	l.Members(2)
	for _, r := range []*Report{
		{From: "a", Incarnation: 1, Seq: 1, Held: []Held{{1, 2}, {2, 1}}, Asked: []Asked{{7, 3}}},
		{From: "b", Incarnation: 1, Seq: 1, Held: []Held{{1, 0.5}, {99, 5}}, Asked: []Asked{{7, 1}, {8, 2}}},
	} {
		if err := l.Hear(second, r); err != nil {
			t.Fatal(err)
		}
	}
	got := tell(l, second, 1, 2, 3)
	want := &told{work: map[logic.WorkerID]float64{1: 2.5, 2: 1, 3: 0}, at: second, sets: map[uint64]float64{7: 4, 8: 2}}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(told{})); diff != "" {
		t.Error(diff)
	}
	if n := l.Counts().Strange; n != 1 {
		t.Errorf("%d figures of hosts not known, want 1", n)
	}
	// A later report takes the place of the earlier one.
	if err := l.Hear(2*second, says("a", 1, 2, Held{2, 4})); err != nil {
		t.Fatal(err)
	}
	if got := tell(l, 2*second, 1, 2); got.work[1] != 0.5 || got.work[2] != 4 || got.at != second*3/2 {
		t.Errorf("after a later report %v of %d", got.work, got.at)
	}
}

// What may not be believed is refused with its reason, counted, and changes nothing.
func TestRefused(t *testing.T) {
	for name, c := range map[string]struct {
		r    *Report
		want error
	}{
		"an older incarnation that still talks":    {says("a", 4, 100, Held{1, 9}), ErrOld},
		"an older sequence, come out of order":     {says("a", 5, 9, Held{1, 9}), ErrOld},
		"the same once more":                       {says("a", 5, 10, Held{1, 9}), ErrOld},
		"its own name":                             {says("me", 9, 9, Held{1, 9}), ErrSelf},
		"nobody's name":                            {says("", 9, 9, Held{1, 9}), ErrSelf},
		"work below nothing":                       {says("a", 5, 11, Held{1, -1}), ErrRange},
		"work that is no number":                   {says("a", 5, 11, Held{1, math.NaN()}), ErrRange},
		"work without end":                         {says("a", 5, 11, Held{1, math.Inf(1)}), ErrRange},
		"more hosts than there is room for":        {says("a", 5, 11, make([]Held, HeldMost+1)...), ErrRange},
		"demand that is no number":                 {&Report{From: "a", Incarnation: 5, Seq: 11, Asked: []Asked{{1, math.NaN()}}}, ErrRange},
		"too soon after the last":                  {says("a", 5, 11, Held{1, 9}), ErrFlood},
		"another process of the name, at any time": {says("a", 6, 1, Held{1, 9}), nil},
	} {
		t.Run(name, func(t *testing.T) {
			l := New("me", Limits{})
			l.Members(1)
			if err := l.Hear(second, says("a", 5, 10, Held{1, 3})); err != nil {
				t.Fatal(err)
			}
			if err := l.Hear(second+1000, c.r); !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
			}
			want := 3.0
			if c.want == nil {
				want = 9
			}
			if got := tell(l, second+1000, 1).work[1]; got != want {
				t.Errorf("the ledger has %v, want %v", got, want)
			}
			n := l.Counts()
			if refused := n.Old + n.Range + n.Flood + n.Full + n.Self; (refused == 1) != (c.want != nil) {
				t.Errorf("counts %+v", n)
			}
		})
	}
}

// News past its age counts for nothing, that of a process that was given up neither, until it says something newer; too few
// that are heard are told as nothing at all.
func TestDoubt(t *testing.T) {
	l := New("me", Limits{Believe: 2 * second})
	l.Members(4)
	for i, at := range []int64{0, second, second, 2 * second} {
		if err := l.Hear(at, says(fmt.Sprint("p", i), 1, 1, Held{1, 1})); err != nil {
			t.Fatal(err)
		}
	}
	if got := tell(l, 2*second, 1).work[1]; got != 4 {
		t.Errorf("four of four give %v", got)
	}
	if got := tell(l, 3*second, 1).work[1]; got != 4 { // p0 is silent: the three stand for four
		t.Errorf("three of four give %v, want 4", got)
	}
	if got := tell(l, 3*second+1, 1); len(got.work) != 0 { // only p3 is heard
		t.Errorf("one of four tells %v", got.work)
	}
	l.Members(1) // membership gives the others up
	l.Gone("p0", 1)
	if got := tell(l, 3*second+1, 1).work[1]; got != 1 {
		t.Errorf("the one that is left gives %v", got)
	}
	if err := l.Hear(3*second, says("p0", 1, 1, Held{1, 7})); !errors.Is(err, ErrOld) {
		t.Errorf("what a process said before it was given up: %v", err)
	}
	// Membership was wrong: the process stood still, or was cut off.
	if err := l.Hear(3*second, says("p0", 1, 2, Held{1, 7})); err != nil {
		t.Errorf("one that was given up and speaks is refused: %v", err)
	}
	if got := tell(l, 3*second+1, 1).work[1]; got != 8 {
		t.Errorf("with the one that is back %v, want 8", got)
	}
	l.Gone("p0", 1)
	if err := l.Hear(4*second, says("p0", 2, 1, Held{1, 7})); err != nil {
		t.Errorf("its successor is refused: %v", err)
	}
	l.Gone("p0", 1) // told late
	if got := tell(l, 4*second, 1).work[1]; got != 8 {
		t.Errorf("with the successor %v, want 8", got)
	}
	if err := l.Hear(4*second, says("p0", 1, 9, Held{1, 7})); !errors.Is(err, ErrOld) {
		t.Errorf("a process that has a successor: %v", err)
	}
	// Its clock was set back while it was long away.
	if err := l.Hear((4+2*forgetAfter)*second, says("p0", 1, 1, Held{1, 7})); !errors.Is(err, ErrOld) {
		t.Errorf("an older incarnation within the time for which one is remembered: %v", err)
	}
	if err := l.Hear((4+2*forgetAfter)*second+1, says("p0", 1, 1, Held{1, 7})); err != nil {
		t.Errorf("an older incarnation long after: %v", err)
	}
}

func TestSendersAreBounded(t *testing.T) {
	l := New("me", Limits{Peers: 3, Believe: second})
	for i := range 3 {
		if err := l.Hear(int64(i), says(fmt.Sprint("p", i), 1, 1)); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Hear(second, says("p3", 1, 1)); !errors.Is(err, ErrFull) {
		t.Errorf("a fourth sender: %v", err)
	}
	late := int64(forgetAfter*second + 1)
	if err := l.Hear(late, says("p3", 1, 1)); err != nil {
		t.Errorf("a fourth sender once the first is long silent: %v", err)
	}
	if len(l.peers) != 3 || len(l.order) != 3 || l.peers[source{"p0", Own}] != nil {
		t.Errorf("kept %v", l.order)
	}
}

// source is a dispatcher that holds much.
type plenty struct{ hosts, sets int }

func (s plenty) Outstanding(tell func(logic.WorkerID, float64)) {
	for i := range s.hosts {
		tell(logic.WorkerID(i), float64(i)*1e6)
	}
}

func (s plenty) Demand(_ int64, tell func(uint64, float64)) {
	for i := range s.sets {
		tell(uint64(i), float64(i))
	}
}

// What a dispatcher says of itself is always within what others take, and names what matters most.
func TestOwnReport(t *testing.T) {
	r := Of("a", 1, 1, 0, plenty{HeldMost + 5, AskedMost + 5})
	if err := New("me", Limits{}).Hear(0, r); err != nil {
		t.Error(err)
	}
	if len(r.Held) != HeldMost || len(r.Asked) != AskedMost || r.Asked[0].Set != AskedMost+4 {
		t.Errorf("%d hosts, %d sets from set %d", len(r.Held), len(r.Asked), r.Asked[0].Set)
	}
}

func TestForm(t *testing.T) {
	r := &Report{From: "n17", Incarnation: 1 << 62, Seq: 9, Held: []Held{{7, 1.5}, {1 << 31, 0.25}}, Asked: []Asked{{1 << 60, 0.5}}}
	b := Append(nil, r)
	got, err := Parse(b)
	if diff := cmp.Diff(r, got); err != nil || diff != "" {
		t.Errorf("%v %s", err, diff)
	}
	for n := range b {
		if _, err := Parse(b[:n]); !errors.Is(err, ErrForm) {
			t.Errorf("cut to %d bytes: %v", n, err)
		}
	}
	if _, err := Parse(append(b, 0)); !errors.Is(err, ErrForm) {
		t.Errorf("a byte more: %v", err)
	}
	sums := &Report{Kind: Rest, From: "h", Incarnation: 1, Seq: 2, Members: 299, Age: 123456, Held: []Held{{7, 1e6}}, Asked: []Asked{{1, 2}}}
	if got, err := Parse(Append(nil, sums)); err != nil || cmp.Diff(sums, got) != "" {
		t.Errorf("%v %s", err, cmp.Diff(sums, got))
	}
	if large := Append(nil, Of("n", 1, 1, 0, plenty{HeldMost, AskedMost})); len(large) > MessageMost {
		t.Errorf("the largest report takes %d bytes", len(large))
	}
}

// Whatever comes, a report that is read is written as it was, and what it says stays within bounds once it is heard.
func FuzzParse(f *testing.F) {
	f.Add(Append(nil, &Report{From: "a", Incarnation: 1, Seq: 1, Held: []Held{{1, 2}}, Asked: []Asked{{3, 4}}}))
	f.Add([]byte{version, 0, 1, 'a'})
	f.Add(Append(nil, &Report{From: "a", Seq: 1, Votes: []verdict.Vote{{Host: 1, Zone: 2, Bad: 1}}, Ran: []Ran{{5, 6, 7}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Parse(b)
		if err != nil {
			return
		}
		if again := Append(nil, r); len(b) <= MessageMost && inRange(r) && string(again) != string(b) {
			t.Errorf("%x is written as %x", b, again)
		}
		l := New("me", Limits{})
		if l.Hear(0, r) != nil {
			return
		}
		for host, work := range tell(l, 0, 1, 2, 3).work {
			if !(work >= 0 && work <= workMost*HeldMost) {
				t.Errorf("host %d has %v", host, work)
			}
		}
	})
}
