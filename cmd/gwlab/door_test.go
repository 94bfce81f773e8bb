package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"granitewing/internal/lab/experiment"
	"granitewing/internal/lab/report"
	"granitewing/internal/lab/world"
)

// Cordoning a host through the admin endpoints of real dispatchers: the host gets no new work during the cordon, and
// work again after it.
func TestCordonByAdminEndpoint(t *testing.T) {
	t.Parallel()
	o := runOne(t, fmt.Sprintf(lightLoad, "5s", `(cordon (at 1s) (for 2s) (hosts h1))`), "admin command was rejected")
	if o.Audit.Broken() > 0 {
		t.Fatalf("%s", o.Audit)
	}
	for _, h := range o.Hosts {
		if h.Host != world.HostName(1) {
			continue
		}
		// Second 1 includes attempts that were sent before the admin endpoints answered; second 2 is wholly within the
		// cordon.
		if len(h.PerSecond) < 4 || h.PerSecond[2] != 0 || h.PerSecond[0]+h.PerSecond[3]+h.PerSecond[4] == 0 {
			t.Errorf("%s got %v attempts a second; want none in second 2 and some outside the cordon", h.Host, h.PerSecond)
		}
		return
	}
	t.Errorf("no load of %s among %d hosts", world.HostName(1), len(o.Hosts))
}

// Quiescing a real dispatcher through its admin endpoint: the generator's clients do not check /healthz and keep
// sending to it. The dispatcher answers each of them and closes their connections, and serves clients again once it
// resumes.
func TestQuiesceByAdminEndpoint(t *testing.T) {
	t.Parallel()
	o := runOne(t, fmt.Sprintf(lightLoad, "4s", `(quiesce-dispatcher (at 1s) (for 2s) (dispatcher 1))`), "admin command was rejected")
	all := o.Rows[len(o.Rows)-1]
	if o.Audit.Broken() > 0 || all.Unanswered > 0 || all.InTime < all.Asked*8/10 {
		t.Errorf("%d asked, %d in time, %d unanswered\n%s", all.Asked, all.InTime, all.Unanswered, o.Audit)
	}
}

// runOne runs an experiment with a single run on real dispatchers and returns its outcome. refuse is a text that
// must not occur in the laboratory's log.
func runOne(t *testing.T, text, refuse string) *experiment.Outcome {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "report")
	if out, log, code := runGwlab(t, "run", writeExperiment(t, text), "--json", "--out", dir); code != 0 || refuse != "" && strings.Contains(log, refuse) {
		t.Fatalf("exit %d\n%s\n%s", code, out, log)
	}
	res, err := report.Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	return res.Runs[0]
}
