package main

import (
	"fmt"
	"path/filepath"
	"testing"

	"granitewing/internal/lab/experiment"
)

// runVerdicts runs twelve processes in three zones over nine hosts, with or without shared verdicts.
func runVerdicts(t *testing.T, verdicts, faults string) *experiment.Outcome {
	t.Helper()
	day := fmt.Sprintf(`(experiment judged (dispatchers 12) (length 18s) (load (rate 150)) (generator (lag 1m) (cpu 100%%) (scheduling 1m)) (clients (retries 0))
  (class reading (share 1) (work 60ms) (aim 2s) (give-up 3s) (repeat safe)) (data-sets (count 0)) (fleet (hosts 9)) %s)`, sharedState(verdicts)+faults)
	o, log, code := runFleet(t, writeExperiment(t, day), "--program", filepath.Join(filepath.Dir(gwlab), "granitewing-fleet"), "--seed", "4")
	if code != 0 || o.Audit.Broken() > 0 {
		t.Fatalf("exit %d\n%s\n%s", code, o.Audit, log)
	}
	return o
}

// Hosts that answer errors are ejected even by dispatchers that observed no errors themselves, at most a third of
// the hosts of a kind. A single dispatcher that can't reach any host causes no ejection. Once all is well, no host
// is ejected.
func TestVerdicts(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		faults          string
		most            float64 // most verdicts at a dispatcher during the fault
		needsSecondHand bool    // some dispatcher ejects a host at which it had no failure itself
	}{
		"four hosts answer errors":       {`(errors (at 3s) (for 7s) (hosts h0 h1 h3 h4))`, 3, true},
		"all hosts answer errors":        {`(errors (at 3s) (for 7s) (share 100%))`, 3, false},
		"one dispatcher reaches no host": {`(link (at 3s) (for 7s) (of (names n4)) (manner reset))`, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := runVerdicts(t, "(verdicts on)", c.faults+`(look (at 3500ms)) (look (at 4s)) (look (at 4500ms)) (look (at 5s)) (look (at 6s)) (look (at 7s)) (look (at 8s)) (look (at 17s))`)
			secondHand := 0
			for i, l := range o.Snapshots {
				for d, f := range l.Metrics {
					n, against := f["router_fleet_verdicts"], f["router_fleet_votes_against"]
					if most := c.most; n > most || i == len(o.Snapshots)-1 && n > 0 {
						t.Errorf("%g s: dispatcher %d ejects %g hosts", l.At, d, n)
					}
					if n > against {
						secondHand++
					}
				}
			}
			if t.Logf("%d ejections without own failures", secondHand); c.needsSecondHand && secondHand == 0 {
				t.Error("no dispatcher ejects a host on the reports of others")
			}
		})
	}
}
