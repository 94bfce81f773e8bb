package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"granitewing/internal/lab/experiment"
)

// runFleet runs "gwlab fleet" and returns the outcome of its single run, the log and the exit code.
func runFleet(t *testing.T, args ...string) (*experiment.Outcome, string, int) {
	t.Helper()
	out, log, code := runGwlab(t, append([]string{"fleet", "--json"}, args...)...)
	var r experiment.Results
	if err := json.Unmarshal([]byte(out), &r); err != nil || len(r.Runs) != 1 {
		t.Fatalf("%v: %d runs\n%s", err, len(r.Runs), log)
	}
	return r.Runs[0], log, code
}

// Link faults show at both ends: in the hosts' own records, and at the clients.
func TestLinksBetweenProcesses(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		fault        string
		came, served bool
	}{
		"healthy":                      {"", true, true},
		"cut towards the hosts":        {"(link (at 0s) (of (share 100%)) (way to))", false, false},
		"cut on the way back":          {"(link (at 0s) (of (share 100%)) (way from))", true, false},
		"reset":                        {"(link (at 0s) (of (share 100%)) (manner reset))", false, false},
		"half a message, then silence": {"(link (at 0s) (of (share 100%)) (manner half) (way from))", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o, log, code := runFleet(t, writeExperiment(t, fmt.Sprintf(smallFleet, "1s", "3s", "3s", c.fault)))
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

// Twelve processes. For a while some receive nothing from half of the hosts, some are killed at once and come back,
// some are paused, and some are restarted under the same name while the old process still answers. The rules hold
// according to hosts and clients, and each job has an outcome.
func TestFleetOfProcesses(t *testing.T) {
	t.Parallel()
	path := writeExperiment(t, fmt.Sprintf(smallFleet, "5s", "8s", "8s", `
	  (link (at 500ms) (for 2s) (of (share 30%)) (share 50%) (way from))
	  (kill-dispatcher (at 1500ms) (for 1s) (of (share 30%)))
	  (pause-dispatcher (at 2s) (for 1500ms) (of (names n1)))
	  (restart-dispatcher (at 3s) (for 100ms) (of (names n2 n5)))`))
	o, log, code := runFleet(t, path, "--seed", "5")
	if code != 0 || o.Audit.Broken() > 0 {
		t.Fatalf("exit %d\n%s\n%s", code, o.Audit, log)
	}
	all := o.Rows[len(o.Rows)-1]
	if outcomes := all.InTime + all.Late + all.Refused + all.Failed + all.Unanswered + all.Left; outcomes != all.Asked || all.InTime*2 < all.Asked {
		t.Errorf("%d jobs, %d outcomes, %d in time", all.Asked, outcomes, all.InTime)
	}
	if o.Spread.Counts.Offered < int(all.InTime) {
		t.Errorf("hosts saw %d attempts of %d jobs that were served", o.Spread.Counts.Offered, all.InTime)
	}
	if len(o.Marks) != 2+2*4+2+2*2 {
		t.Errorf("the schedule has %d steps: %v", len(o.Marks), o.Marks)
	}
}

// A failed run prints the command that repeats it, and an experiment that can't be run is refused before anything is
// started.
func TestFleetRefused(t *testing.T) {
	for args, want := range map[string]string{
		"spread":                              "spread runs in virtual time",
		"spread-processes --hosts=-1":         "-1 hosts and 200 dispatchers: want at least one of each",
		"spread-processes --dispatchers 2000": "", // 200,000 links
	} {
		_, log, code := runGwlab(t, append([]string{"fleet"}, strings.Fields(args)...)...)
		if code != 1 || !strings.Contains(log, want) {
			t.Errorf("%s: exit %d: %s", args, code, log)
		}
		if want == "" && (!strings.Contains(log, "links; at most") || !strings.Contains(log, "to repeat it: gwlab fleet spread-processes --dispatchers 2000 --hosts 100 --seed 1")) {
			t.Errorf("%s: %s", args, log)
		}
	}
}

// Dispatchers that exchange reports. Some are killed and come back, and one is paused for longer than its reports
// are valid. At the end each receives reports from all others again, no report of an earlier process is accepted,
// and the rules hold.
func TestSharingFleet(t *testing.T) {
	t.Parallel()
	path := writeExperiment(t, fmt.Sprintf(smallFleet, "9s", "4s", "4s", sharedState("")+`
	  (kill-dispatcher (at 1s) (for 1s) (of (share 30%)))
	  (pause-dispatcher (at 2s) (for 3s) (of (names n1)))
	  (restart-dispatcher (at 3s) (for 200ms) (of (names n2)))`))
	o, log, code := runFleet(t, path, "--program", filepath.Join(filepath.Dir(gwlab), "granitewing-fleet"), "--seed", "4")
	if code != 0 || o.Audit.Broken() > 0 {
		t.Fatalf("exit %d\n%s\n%s", code, o.Audit, log)
	}
	const others = 12 * 11
	if n := o.Metrics["router_fleet_members"]; n != others {
		t.Errorf("the dispatchers know %v peers in all, want %d", n, others)
	}
	if n := o.Metrics["router_fleet_heard"]; n != others {
		t.Errorf("the dispatchers receive reports from %v peers in all, want %d", n, others)
	}
	for _, cause := range []string{"range", "full", "self", "form"} {
		if n := o.Metrics[`router_fleet_refused_total{cause="`+cause+`"}`]; n != 0 {
			t.Errorf("%v reports refused as %s", n, cause)
		}
	}
	if all := o.Rows[len(o.Rows)-1]; all.InTime*2 < all.Asked {
		t.Errorf("%d of %d in time", all.InTime, all.Asked)
	}
}
