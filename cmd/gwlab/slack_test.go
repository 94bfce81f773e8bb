package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"testing"

	"granitewing/internal/lab/experiment"
)

// rush plays twelve processes over six hosts, for eight seconds with some three times the work that these can do.
func rush(t *testing.T, slack, faults string) *experiment.Outcome {
	t.Helper()
	day := fmt.Sprintf(`(experiment rush (dispatchers 12) (load (programme (constant (for 4s) (rate 20)) (constant (for 8s) (rate 170)) (constant (for 4s) (rate 20))))
  (generator (lag 1m) (cpu 100%%) (scheduling 1m)) (clients (retries 1)) (data-sets (count 0)) (fleet (hosts 6))
  (class reading (share 0.85) (work 500ms) (spread 0.3) (aim 1s) (give-up 4s) (repeat safe) (worth 1))
  (class alert (share 0.15) (work 500ms) (spread 0.3) (aim 1s) (give-up 4s) (repeat unsafe) (worth 5)) %s)`, sharing(slack)+faults)
	o, log, code := fleetOf(t, write(t, day), "--program", filepath.Join(filepath.Dir(gwlab), "granitewing-fleet"), "--seed", "4")
	if code != 0 || o.Audit.Broken() > 0 {
		t.Fatalf("exit %d\n%s\n%s", code, o.Audit, log)
	}
	return o
}

// prices gives those of some dispatchers at a look.
func prices(l experiment.Look, of func(i int) bool) (out []float64) {
	for i, f := range l.Figures {
		if p, there := f["router_fleet_price"]; there && of(i) {
			out = append(out, p)
		}
	}
	return out
}

// An overload has one price at all dispatchers that hear each other, alerts are served through it, and afterwards there is
// room for all again; one that hears nobody has no price.
func TestPrice(t *testing.T) {
	t.Parallel()
	zone := func(i int) bool { return i%3 == 0 }
	for name, c := range map[string]struct {
		slack, faults string
		price         func(i int) bool // who has one at the look in the middle, but for those that stand still
		alerts        float64          // of 100 that are served in time, at least
	}{
		"no price":                        {"", "", func(int) bool { return false }, 0},
		"nothing fails":                   {"(slack on)", "", anyone, 70},
		"hubs stopped":                    {"(slack on)", `(pause-dispatcher (at 7s) (for 3s) (of (names n0 n1)))`, anyone, 50},
		"30% lost, late and out of order": {"(slack on)", `(link (at 4s) (for 12s) (of (share 100%)) (peers all) (manner late) (delay 100ms) (spread 300ms) (loss 30%))`, anyone, 60},
		"a zone cut off":                  {"(slack on)", `(link (at 3s) (for 12s) (of (zone dakar)) (peers others))`, func(i int) bool { return !zone(i) }, 50},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := rush(t, c.slack, c.faults+`(look (at 9500ms)) (look (at 15500ms))`)
			alert, during := o.Rows[1], o.Looks[0]
			if share := 100 * float64(alert.InTime) / float64(alert.Asked); share < c.alerts {
				t.Errorf("%.0f%% of the alerts were served in time, want %.0f%%", share, c.alerts)
			}
			there := 0
			for _, p := range prices(during, c.price) {
				if p > 0 {
					there++
				}
			}
			if n := len(prices(during, c.price)); there < n-2 {
				t.Errorf("%d of %d dispatchers that hear each other have a price", there, n)
			}
			if alone := prices(during, func(i int) bool { return !c.price(i) }); slices.Max(append(alone, 0)) > 0 {
				t.Errorf("those that hear too few have prices of %.3g", alone)
			}
			if after := prices(o.Looks[1], anyone); slices.Max(append(after, 0)) > 0.1 {
				t.Errorf("prices of %.3g, where no class is worth under 1, when there is room for all", after)
			}
			t.Logf("alerts: %d of %d in time, %d refused, %d failed; prices %.3g, %.3g", alert.InTime, alert.Asked, alert.Refused, alert.Failed, prices(o.Looks[0], anyone), prices(o.Looks[1], anyone))
		})
	}
}
