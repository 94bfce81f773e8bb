package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"granitewing/internal/lab/experiment"
)

// fleetOf plays a fleet of processes and gives its one play.
func fleetOf(t *testing.T, args ...string) (*experiment.Outcome, string, int) {
	t.Helper()
	out, log, code := call(t, append([]string{"fleet", "--json"}, args...)...)
	var r experiment.Results
	if err := json.Unmarshal([]byte(out), &r); err != nil || len(r.Plays) != 1 {
		t.Fatalf("%v: %d plays\n%s", err, len(r.Plays), log)
	}
	return r.Plays[0], log, code
}

// What the links are told is seen at both ends: by the hosts' own records, and by the clients.
func TestLinksBetweenProcesses(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		fault        string
		came, served bool
	}{
		"whole":                        {"", true, true},
		"cut towards the hosts":        {"(link (at 0s) (of (share 100%)) (way to))", false, false},
		"cut on the way back":          {"(link (at 0s) (of (share 100%)) (way from))", true, false},
		"reset":                        {"(link (at 0s) (of (share 100%)) (manner reset))", false, false},
		"half a message, then silence": {"(link (at 0s) (of (share 100%)) (manner half) (way from))", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o, log, code := fleetOf(t, write(t, fmt.Sprintf(few, "1s", "3s", "3s", c.fault)))
			all := o.Rows[len(o.Rows)-1]
			if code != 0 || all.Asked == 0 || o.Audit.Broken() > 0 {
				t.Fatalf("exit %d, %d jobs\n%s\n%s", code, all.Asked, o.Audit, log)
			}
			if got := o.Spread.Counts.Offered > 0; got != c.came {
				t.Errorf("hosts got %d attempts", o.Spread.Counts.Offered)
			}
			if got := all.InTime+all.Late > 0; got != c.served {
				t.Errorf("%d of %d jobs were served", all.InTime+all.Late, all.Asked)
			}
		})
	}
}

// Twelve processes, of which some hear nothing of half of the hosts for a while, some are killed at once and come back,
// some stand still and some are started anew under the same name while the old process still answers: the rules hold by
// what hosts and clients saw, and each job has its end.
func TestFleetOfProcesses(t *testing.T) {
	t.Parallel()
	path := write(t, fmt.Sprintf(few, "5s", "8s", "8s", `
	  (link (at 500ms) (for 2s) (of (share 30%)) (share 50%) (way from))
	  (kill-dispatcher (at 1500ms) (for 1s) (of (share 30%)))
	  (pause-dispatcher (at 2s) (for 1500ms) (of (names n1)))
	  (restart-dispatcher (at 3s) (for 100ms) (of (names n2 n5)))`))
	o, log, code := fleetOf(t, path, "--seed", "5")
	if code != 0 || o.Audit.Broken() > 0 {
		t.Fatalf("exit %d\n%s\n%s", code, o.Audit, log)
	}
	all := o.Rows[len(o.Rows)-1]
	if ends := all.InTime + all.Late + all.Refused + all.Failed + all.Unanswered + all.Left; ends != all.Asked || all.InTime*2 < all.Asked {
		t.Errorf("%d jobs, %d ends, %d in time", all.Asked, ends, all.InTime)
	}
	if o.Spread.Counts.Offered < int(all.InTime) {
		t.Errorf("hosts saw %d attempts of %d jobs that were served", o.Spread.Counts.Offered, all.InTime)
	}
	if len(o.Marks) != 2+2*4+2+2*2 {
		t.Errorf("the schedule has %d steps: %v", len(o.Marks), o.Marks)
	}
}

// A play that fails tells how to play it again, and what can't be played is refused before anything is started.
func TestFleetRefused(t *testing.T) {
	for args, want := range map[string]string{
		"spread":                              "spread plays in virtual time",
		"spread-processes --hosts=-1":         "-1 hosts and 200 dispatchers: want at least one of each",
		"spread-processes --dispatchers 2000": "", // 200,000 links
	} {
		_, log, code := call(t, append([]string{"fleet"}, strings.Fields(args)...)...)
		if code != 1 || !strings.Contains(log, want) {
			t.Errorf("%s: exit %d: %s", args, code, log)
		}
		if want == "" && (!strings.Contains(log, "links; at most") || !strings.Contains(log, "play it again: gwlab fleet spread-processes --dispatchers 2000 --hosts 100 --seed 1")) {
			t.Errorf("%s: %s", args, log)
		}
	}
}

// A fleet that shares, of which some are killed and come back and one stands still past the age of its news: at the end
// each hears all others again, nothing of an earlier process is believed, and the rules hold.
func TestFleetThatShares(t *testing.T) {
	t.Parallel()
	path := write(t, fmt.Sprintf(few, "9s", "4s", "4s", sharing("")+`
	  (kill-dispatcher (at 1s) (for 1s) (of (share 30%)))
	  (pause-dispatcher (at 2s) (for 3s) (of (names n1)))
	  (restart-dispatcher (at 3s) (for 200ms) (of (names n2)))`))
	o, log, code := fleetOf(t, path, "--program", filepath.Join(filepath.Dir(gwlab), "granitewing-fleet"), "--seed", "4")
	if code != 0 || o.Audit.Broken() > 0 {
		t.Fatalf("exit %d\n%s\n%s", code, o.Audit, log)
	}
	const others = 12 * 11
	if n := o.Figures["router_fleet_members"]; n != others {
		t.Errorf("the dispatchers know %v others, want %d", n, others)
	}
	if n := o.Figures["router_fleet_heard"]; n != others {
		t.Errorf("the dispatchers hear %v others, want %d", n, others)
	}
	for _, cause := range []string{"range", "full", "self", "form"} {
		if n := o.Figures[`router_fleet_refused_total{cause="`+cause+`"}`]; n != 0 {
			t.Errorf("%v reports refused as %s", n, cause)
		}
	}
	if all := o.Rows[len(o.Rows)-1]; all.InTime*2 < all.Asked {
		t.Errorf("%d of %d in time", all.InTime, all.Asked)
	}
}
