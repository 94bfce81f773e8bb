package main

import (
	"fmt"
	"path/filepath"
	"testing"

	"granitewing/internal/lab/experiment"
)

// judged plays twelve processes in three zones over nine hosts, with verdicts or without.
func judged(t *testing.T, verdicts, faults string) *experiment.Outcome {
	t.Helper()
	day := fmt.Sprintf(`(experiment judged (dispatchers 12) (length 18s) (load (rate 150)) (generator (lag 1m) (cpu 100%%) (scheduling 1m)) (clients (retries 0))
  (class reading (share 1) (work 60ms) (aim 2s) (give-up 3s) (repeat safe)) (data-sets (count 0)) (fleet (hosts 9)) %s)`, sharing(verdicts)+faults)
	o, log, code := fleetOf(t, write(t, day), "--program", filepath.Join(filepath.Dir(gwlab), "granitewing-fleet"), "--seed", "4")
	if code != 0 || o.Audit.Broken() > 0 {
		t.Fatalf("exit %d\n%s\n%s", code, o.Audit, log)
	}
	return o
}

// Hosts that answer errors are shunned by those that found nothing there themselves, at most a third of a kind; one dispatcher
// that can't reach any host has none shunned; and once all is well nothing is shunned any more.
func TestVerdicts(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		faults string
		most   float64 // verdicts at a dispatcher while it lasts
		spread bool    // some shun a host that they have not failed at
	}{
		"four hosts answer errors":       {`(errors (at 3s) (for 7s) (hosts h0 h1 h3 h4))`, 3, true},
		"all hosts answer errors":        {`(errors (at 3s) (for 7s) (share 100%))`, 3, false},
		"one dispatcher reaches no host": {`(link (at 3s) (for 7s) (of (names n4)) (manner reset))`, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := judged(t, "(verdicts on)", c.faults+`(look (at 3500ms)) (look (at 4s)) (look (at 4500ms)) (look (at 5s)) (look (at 6s)) (look (at 7s)) (look (at 8s)) (look (at 17s))`)
			told := 0
			for i, l := range o.Looks {
				for d, f := range l.Figures {
					n, against := f["router_fleet_verdicts"], f["router_fleet_votes_against"]
					if most := c.most; n > most || i == len(o.Looks)-1 && n > 0 {
						t.Errorf("%g s: dispatcher %d shuns %g hosts", l.At, d, n)
					}
					if n > against {
						told++
					}
				}
			}
			if t.Logf("%d times a host is shunned that was not tried", told); c.spread && told == 0 {
				t.Error("nobody shuns what others found")
			}
		})
	}
}
