package verdict

import (
	"fmt"
	"testing"

	"granitewing/logic"
)

// nineHosts returns hosts of one kind in three zones.
func nineHosts() (out []Host) {
	for i := range 9 {
		out = append(out, Host{ID: logic.WorkerID(i), Zone: i % 3, Weight: 1})
	}
	return out
}

// verdicts returns the hosts with a verdict at a dispatcher of zone 0, as text. With 100,000 members, this dispatcher
// probes none of them.
func verdicts(votes []Vote) string {
	j := NewDetector("n0", NewEvidence(0))
	var out []logic.WorkerID
	for _, v := range j.Verdicts(0, votes, nineHosts(), 100_000) {
		out = append(out, v.Host)
	}
	return fmt.Sprint(out)
}

// A verdict needs enough votes of the dispatcher's own zone, or the agreement of other zones, and is limited to a third
// of the capacity of a kind.
func TestDetector(t *testing.T) {
	for name, c := range map[string]struct {
		votes []Vote
		want  string
	}{
		"two votes of the own zone":              {[]Vote{{Host: 1, Zone: 0, Bad: 2}}, "[1]"},
		"one vote of the own zone":               {[]Vote{{Host: 1, Zone: 0, Bad: 1}}, "[]"},
		"two votes against and five for":         {[]Vote{{Host: 1, Zone: 0, Bad: 2, Good: 5}}, "[]"},
		"a zone that can't reach another zone":   {[]Vote{{Host: 1, Zone: 2, Bad: 9}, {Host: 4, Zone: 2, Bad: 9}}, "[]"},
		"two other zones":                        {[]Vote{{Host: 0, Zone: 1, Bad: 1}, {Host: 0, Zone: 2, Bad: 1}}, "[0]"},
		"the zone of the host":                   {[]Vote{{Host: 1, Zone: 1, Bad: 2}}, "[1]"},
		"the own zone disagrees with the others": {[]Vote{{Host: 1, Zone: 0, Good: 2}, {Host: 1, Zone: 1, Bad: 9}, {Host: 1, Zone: 2, Bad: 9}}, "[]"},
		"an unknown host":                        {[]Vote{{Host: 77, Zone: 0, Bad: 9}}, "[]"},
		"the worst third of the kind":            {[]Vote{{Host: 1, Bad: 7, Good: 3}, {Host: 2, Bad: 9}, {Host: 3, Bad: 9}, {Host: 4, Bad: 8, Good: 1}, {Host: 5, Bad: 2, Good: 1}}, ""},
	} {
		got := verdicts(c.votes)
		if c.want != "" && got != c.want || c.want == "" && got != "[2 3 4]" && got != "[3 2 4]" {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// A vote against a host ends with a success, or four seconds after the failure. A dispatcher that fails at most hosts
// does not vote.
func TestBook(t *testing.T) {
	b := NewEvidence(0)
	votes := func(now int64) string { return fmt.Sprint(b.Votes(now, []Vote{{Host: 2, Zone: 1, Bad: 1}})) }
	b.Record(0, 1, false)
	for at, want := range map[int64]string{0: "[{1 0 1 0}]", evidenceLifetime: "[{1 0 1 0}]", evidenceLifetime + 1: "[]"} {
		b := *b
		b.hosts = map[logic.WorkerID]*record{1: b.hosts[1]}
		if got := fmt.Sprint(b.Votes(at, nil)); got != want {
			t.Errorf("at %d: %s, want %s", at, got, want)
		}
	}
	b.Record(10, 1, false)
	b.Record(10, 2, true)
	if got := votes(10); got != "[{1 0 1 0} {2 0 0 1}]" {
		t.Error("a good host that others vote against:", got)
	}
	b.Record(20, 1, true)
	if got := votes(20); got != "[{2 0 0 1}]" {
		t.Error("after a success:", got)
	}
	for host := range logic.WorkerID(5) {
		b.Record(30, host, false)
	}
	if got := votes(30); got != "[]" {
		t.Error("a dispatcher that fails at all hosts:", got)
	}
}

// A host with a verdict is probed by about two of a hundred dispatchers at a time, by others in the next period,
// and by nearly all of them over 400 periods.
func TestProbers(t *testing.T) {
	sum, seen := 0, map[int]bool{}
	for period := range int64(400) {
		for i := range 100 {
			if NewDetector(fmt.Sprint("n", i), NewEvidence(0)).probes(period*probePeriod, 7, 100) {
				sum++
				seen[i] = true
			}
		}
	}
	if sum < 600 || sum > 1000 || len(seen) < 99 {
		t.Errorf("%d probes in 400 periods by %d dispatchers", sum, len(seen))
	}
}
