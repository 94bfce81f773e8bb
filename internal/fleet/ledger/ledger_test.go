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

// received is a Receiver that keeps what a ledger last passed on.
type received struct {
	work map[logic.WorkerID]float64
	at   int64
	sets map[uint64]float64
}

func (t *received) RecordOthersBacklog(_ int64, host logic.WorkerID, work float64, at int64) {
	t.work[host], t.at = work, at
}
func (t *received) RecordOthersDemand(set uint64, load float64, _ int64) { t.sets[set] = load }

// sums returns what a ledger passes on at a time.
func sums(l *Ledger, now int64, hosts ...logic.WorkerID) *received {
	t := &received{work: map[logic.WorkerID]float64{}, sets: map[uint64]float64{}}
	l.PassSums(now, hosts, t)
	return t
}

func ownReport(from string, incarnation, seq uint64, held ...HostWork) *Report {
	return &Report{From: from, Incarnation: incarnation, Seq: seq, Held: held}
}

const second = 1_000_000

// PassSums adds up the work by host and the demand by data set, with the mean time of the reports.
func TestSums(t *testing.T) {
	l := New("me", Limits{})
	l.Members(2)
	for _, r := range []*Report{
		{From: "a", Incarnation: 1, Seq: 1, Held: []HostWork{{1, 2}, {2, 1}}, Asked: []SetDemand{{7, 3}}},
		{From: "b", Incarnation: 1, Seq: 1, Held: []HostWork{{1, 0.5}, {99, 5}}, Asked: []SetDemand{{7, 1}, {8, 2}}},
	} {
		if err := l.Accept(second, r); err != nil {
			t.Fatal(err)
		}
	}
	got := sums(l, second, 1, 2, 3)
	want := &received{work: map[logic.WorkerID]float64{1: 2.5, 2: 1, 3: 0}, at: second, sets: map[uint64]float64{7: 4, 8: 2}}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(received{})); diff != "" {
		t.Error(diff)
	}
	if n := l.Counts().UnknownHosts; n != 1 {
		t.Errorf("%d figures of unknown hosts, want 1", n)
	}
	// A later report replaces the earlier one.
	if err := l.Accept(2*second, ownReport("a", 1, 2, HostWork{2, 4})); err != nil {
		t.Fatal(err)
	}
	if got := sums(l, 2*second, 1, 2); got.work[1] != 0.5 || got.work[2] != 4 || got.at != second*3/2 {
		t.Errorf("after a later report the work is %v as of %d", got.work, got.at)
	}
}

// A report that is refused returns its reason, is counted, and changes nothing else.
func TestRefusedReports(t *testing.T) {
	for name, c := range map[string]struct {
		r    *Report
		want error
	}{
		"an older incarnation":                       {ownReport("a", 4, 100, HostWork{1, 9}), ErrOld},
		"an older sequence number, out of order":     {ownReport("a", 5, 9, HostWork{1, 9}), ErrOld},
		"a duplicate":                                {ownReport("a", 5, 10, HostWork{1, 9}), ErrOld},
		"the name of the receiver":                   {ownReport("me", 9, 9, HostWork{1, 9}), ErrSelf},
		"an empty name":                              {ownReport("", 9, 9, HostWork{1, 9}), ErrSelf},
		"negative work":                              {ownReport("a", 5, 11, HostWork{1, -1}), ErrRange},
		"work that is NaN":                           {ownReport("a", 5, 11, HostWork{1, math.NaN()}), ErrRange},
		"infinite work":                              {ownReport("a", 5, 11, HostWork{1, math.Inf(1)}), ErrRange},
		"too many hosts":                             {ownReport("a", 5, 11, make([]HostWork, MaxHosts+1)...), ErrRange},
		"demand that is NaN":                         {&Report{From: "a", Incarnation: 5, Seq: 11, Asked: []SetDemand{{1, math.NaN()}}}, ErrRange},
		"too soon after the last report":             {ownReport("a", 5, 11, HostWork{1, 9}), ErrFlood},
		"a later incarnation, without a minimum gap": {ownReport("a", 6, 1, HostWork{1, 9}), nil},
	} {
		t.Run(name, func(t *testing.T) {
			l := New("me", Limits{})
			l.Members(1)
			if err := l.Accept(second, ownReport("a", 5, 10, HostWork{1, 3})); err != nil {
				t.Fatal(err)
			}
			if err := l.Accept(second+1000, c.r); !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
			}
			want := 3.0
			if c.want == nil {
				want = 9
			}
			if got := sums(l, second+1000, 1).work[1]; got != want {
				t.Errorf("work at the host is %v, want %v", got, want)
			}
			n := l.Counts()
			if refused := n.Old + n.Range + n.Flood + n.Full + n.Self; (refused == 1) != (c.want != nil) {
				t.Errorf("counts %+v", n)
			}
		})
	}
}

// An expired report does not count. The reports of a process that was declared dead do not count either, until it sends
// a later one. Below the quorum nothing is passed on.
func TestReportsExpire(t *testing.T) {
	l := New("me", Limits{Validity: 2 * second})
	l.Members(4)
	for i, at := range []int64{0, second, second, 2 * second} {
		if err := l.Accept(at, ownReport(fmt.Sprint("p", i), 1, 1, HostWork{1, 1})); err != nil {
			t.Fatal(err)
		}
	}
	if got := sums(l, 2*second, 1).work[1]; got != 4 {
		t.Errorf("four of four members give %v, want 4", got)
	}
	if got := sums(l, 3*second, 1).work[1]; got != 4 { // p0 is silent: the sum of three is scaled to four
		t.Errorf("three of four members give %v, want 4", got)
	}
	if got := sums(l, 3*second+1, 1); len(got.work) != 0 { // only the report of p3 is valid
		t.Errorf("one of four members passes on %v, want nothing", got.work)
	}
	l.Members(1) // membership declares the others dead
	l.Gone("p0", 1)
	if got := sums(l, 3*second+1, 1).work[1]; got != 1 {
		t.Errorf("the remaining member gives %v, want 1", got)
	}
	if err := l.Accept(3*second, ownReport("p0", 1, 1, HostWork{1, 7})); !errors.Is(err, ErrOld) {
		t.Errorf("a report from before the process was declared dead: %v", err)
	}
	// Membership was wrong: the process was paused or cut off.
	if err := l.Accept(3*second, ownReport("p0", 1, 2, HostWork{1, 7})); err != nil {
		t.Errorf("a later report of a process that was declared dead is refused: %v", err)
	}
	if got := sums(l, 3*second+1, 1).work[1]; got != 8 {
		t.Errorf("with the returned process %v, want 8", got)
	}
	l.Gone("p0", 1)
	if err := l.Accept(4*second, ownReport("p0", 2, 1, HostWork{1, 7})); err != nil {
		t.Errorf("the next incarnation is refused: %v", err)
	}
	l.Gone("p0", 1) // a late notification about the former incarnation
	if got := sums(l, 4*second, 1).work[1]; got != 8 {
		t.Errorf("with the next incarnation %v, want 8", got)
	}
	if err := l.Accept(4*second, ownReport("p0", 1, 9, HostWork{1, 7})); !errors.Is(err, ErrOld) {
		t.Errorf("an older incarnation after the next one: %v", err)
	}
	// The process was away for long, and its clock was set back.
	if err := l.Accept((4+2*forgetFactor)*second, ownReport("p0", 1, 1, HostWork{1, 7})); !errors.Is(err, ErrOld) {
		t.Errorf("an older incarnation while the later one is remembered: %v", err)
	}
	if err := l.Accept((4+2*forgetFactor)*second+1, ownReport("p0", 1, 1, HostWork{1, 7})); err != nil {
		t.Errorf("an older incarnation after the later one is forgotten: %v", err)
	}
}

// A new sender beyond Limits.Peers is refused until the longest silent one may be forgotten.
func TestSendersAreBounded(t *testing.T) {
	l := New("me", Limits{Peers: 3, Validity: second})
	for i := range 3 {
		if err := l.Accept(int64(i), ownReport(fmt.Sprint("p", i), 1, 1)); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Accept(second, ownReport("p3", 1, 1)); !errors.Is(err, ErrFull) {
		t.Errorf("a fourth sender: %v", err)
	}
	late := int64(forgetFactor*second + 1)
	if err := l.Accept(late, ownReport("p3", 1, 1)); err != nil {
		t.Errorf("a fourth sender after the first may be forgotten: %v", err)
	}
	if len(l.peers) != 3 || len(l.order) != 3 || l.peers[source{"p0", Own}] != nil {
		t.Errorf("kept %v", l.order)
	}
}

// manyEntries is a Source with many hosts and data sets.
type manyEntries struct{ hosts, sets int }

func (s manyEntries) Outstanding(tell func(logic.WorkerID, float64)) {
	for i := range s.hosts {
		tell(logic.WorkerID(i), float64(i)*1e6)
	}
}

func (s manyEntries) Demand(_ int64, tell func(uint64, float64)) {
	for i := range s.sets {
		tell(uint64(i), float64(i))
	}
}

// A dispatcher's own report is always within the bounds that others accept, and keeps the largest entries.
func TestOwnReportIsBounded(t *testing.T) {
	r := OwnReport("a", 1, 1, 0, manyEntries{MaxHosts + 5, MaxSets + 5})
	if err := New("me", Limits{}).Accept(0, r); err != nil {
		t.Error(err)
	}
	if len(r.Held) != MaxHosts || len(r.Asked) != MaxSets || r.Asked[0].Set != MaxSets+4 {
		t.Errorf("%d hosts, %d sets from set %d", len(r.Held), len(r.Asked), r.Asked[0].Set)
	}
}

// Parse returns what Append wrote, refuses every other length, and the largest own report fits a datagram.
func TestEncoding(t *testing.T) {
	r := &Report{From: "n17", Incarnation: 1 << 62, Seq: 9, Held: []HostWork{{7, 1.5}, {1 << 31, 0.25}}, Asked: []SetDemand{{1 << 60, 0.5}}}
	b := Append(nil, r)
	got, err := Parse(b)
	if diff := cmp.Diff(r, got); err != nil || diff != "" {
		t.Errorf("%v %s", err, diff)
	}
	for n := range b {
		if _, err := Parse(b[:n]); !errors.Is(err, ErrForm) {
			t.Errorf("truncated to %d bytes: %v", n, err)
		}
	}
	if _, err := Parse(append(b, 0)); !errors.Is(err, ErrForm) {
		t.Errorf("with an extra byte: %v", err)
	}
	rest := &Report{Kind: Rest, From: "h", Incarnation: 1, Seq: 2, Members: 299, Age: 123456, Held: []HostWork{{7, 1e6}}, Asked: []SetDemand{{1, 2}}}
	if got, err := Parse(Append(nil, rest)); err != nil || cmp.Diff(rest, got) != "" {
		t.Errorf("%v %s", err, cmp.Diff(rest, got))
	}
	if large := Append(nil, OwnReport("n", 1, 1, 0, manyEntries{MaxHosts, MaxSets})); len(large) > MaxMessage {
		t.Errorf("the largest own report takes %d bytes, more than MaxMessage", len(large))
	}
}

// For any input, a report that Parse accepts encodes to the same bytes, and the sums stay within bounds after Accept
// accepts it.
func FuzzParse(f *testing.F) {
	f.Add(Append(nil, &Report{From: "a", Incarnation: 1, Seq: 1, Held: []HostWork{{1, 2}}, Asked: []SetDemand{{3, 4}}}))
	f.Add([]byte{version, 0, 1, 'a'})
	f.Add(Append(nil, &Report{From: "a", Seq: 1, Votes: []verdict.Vote{{Host: 1, Zone: 2, Bad: 1}}, Ran: []HostRuns{{5, 6, 7}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Parse(b)
		if err != nil {
			return
		}
		if again := Append(nil, r); len(b) <= MaxMessage && inRange(r) && string(again) != string(b) {
			t.Errorf("%x is encoded again as %x", b, again)
		}
		l := New("me", Limits{})
		if l.Accept(0, r) != nil {
			return
		}
		for host, work := range sums(l, 0, 1, 2, 3).work {
			if !(work >= 0 && work <= maxWork*MaxHosts) {
				t.Errorf("host %d has work %v", host, work)
			}
		}
	})
}
