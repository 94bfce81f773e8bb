package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"testing"

	"granitewing/internal/lab/experiment"
)

// runOverload runs twelve processes over six hosts, for eight seconds with about three times the work that these can
// do.
func runOverload(t *testing.T, slack, faults string) *experiment.Outcome {
	t.Helper()
	day := fmt.Sprintf(`(experiment rush (dispatchers 12) (load (programme (constant (for 4s) (rate 20)) (constant (for 8s) (rate 170)) (constant (for 4s) (rate 20))))
  (generator (lag 1m) (cpu 100%%) (scheduling 1m)) (clients (retries 1)) (data-sets (count 0)) (fleet (hosts 6))
  (class reading (share 0.85) (work 500ms) (spread 0.3) (aim 1s) (give-up 4s) (repeat safe) (worth 1))
  (class alert (share 0.15) (work 500ms) (spread 0.3) (aim 1s) (give-up 4s) (repeat unsafe) (worth 5)) %s)`, sharedState(slack)+faults)
	o, log, code := runFleet(t, writeExperiment(t, day), "--program", filepath.Join(filepath.Dir(gwlab), "granitewing-fleet"), "--seed", "4")
	if code != 0 || o.Audit.Broken() > 0 {
		t.Fatalf("exit %d\n%s\n%s", code, o.Audit, log)
	}
	return o
}

// prices returns the prices of the selected dispatchers in a snapshot.
func prices(l experiment.Snapshot, of func(i int) bool) (out []float64) {
	for i, f := range l.Metrics {
		if p, known := f["router_fleet_price"]; known && of(i) {
			out = append(out, p)
		}
	}
	return out
}

// In an overload all dispatchers that exchange reports have a price and alerts are served through it. Afterwards
// there is capacity for all again and the prices drop. A dispatcher that receives no reports has no price.
func TestPrice(t *testing.T) {
	t.Parallel()
	zone := func(i int) bool { return i%3 == 0 }
	for name, c := range map[string]struct {
		slack, faults string
		price         func(i int) bool // which dispatchers have a price at the snapshot during the overload, except paused ones
		alerts        float64          // least percentage of alerts that are served in time
	}{
		"no price":                        {"", "", func(int) bool { return false }, 0},
		"nothing fails":                   {"(slack on)", "", everyDispatcher, 70},
		"hubs stopped":                    {"(slack on)", `(pause-dispatcher (at 7s) (for 3s) (of (names n0 n1)))`, everyDispatcher, 50},
		"30% lost, late and out of order": {"(slack on)", `(link (at 4s) (for 12s) (of (share 100%)) (peers all) (manner late) (delay 100ms) (spread 300ms) (loss 30%))`, everyDispatcher, 60},
		"a zone cut off":                  {"(slack on)", `(link (at 3s) (for 12s) (of (zone dakar)) (peers others))`, func(i int) bool { return !zone(i) }, 50},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := runOverload(t, c.slack, c.faults+`(look (at 9500ms)) (look (at 15500ms))`)
			alert, during := o.Rows[1], o.Snapshots[0]
			if share := 100 * float64(alert.InTime) / float64(alert.Asked); share < c.alerts {
				t.Errorf("%.0f%% of the alerts were served in time, want %.0f%%", share, c.alerts)
			}
			priced := 0
			for _, p := range prices(during, c.price) {
				if p > 0 {
					priced++
				}
			}
			if n := len(prices(during, c.price)); priced < n-2 {
				t.Errorf("%d of %d dispatchers that exchange reports have a price", priced, n)
			}
			if isolated := prices(during, func(i int) bool { return !c.price(i) }); slices.Max(append(isolated, 0)) > 0 {
				t.Errorf("those that receive too few reports have prices of %.3g", isolated)
			}
			if after := prices(o.Snapshots[1], everyDispatcher); slices.Max(append(after, 0)) > 0.1 {
				t.Errorf("prices of %.3g, where no class is worth less than 1, when there is capacity for all", after)
			}
			t.Logf("alerts: %d of %d in time, %d refused, %d failed; prices %.3g, %.3g", alert.InTime, alert.Asked, alert.Refused, alert.Failed, prices(o.Snapshots[0], everyDispatcher), prices(o.Snapshots[1], everyDispatcher))
		})
	}
}
