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

// A cordon by the doors of real dispatchers: the host gets nothing new while it holds and work again after it.
func TestCordonByTheDoor(t *testing.T) {
	t.Parallel()
	o := playOne(t, fmt.Sprintf(light, "5s", `(cordon (at 1s) (for 2s) (hosts h1))`), "call was not taken")
	if o.Audit.Broken() > 0 {
		t.Fatalf("%s", o.Audit)
	}
	for _, h := range o.Hosts {
		if h.Host != world.HostName(1) {
			continue
		}
		// Second 1 holds what was sent before the doors answered; second 2 is wholly within the cordon.
		if len(h.PerSecond) < 4 || h.PerSecond[2] != 0 || h.PerSecond[0]+h.PerSecond[3]+h.PerSecond[4] == 0 {
			t.Errorf("%s got %v attempts a second; want none in second 2 and some outside the cordon", h.Host, h.PerSecond)
		}
		return
	}
	t.Errorf("no load of %s among %d hosts", world.HostName(1), len(o.Hosts))
}

// A drain by the door of a real dispatcher: the generator's clients, which do not look at /healthz, go on sending to it;
// it answers each of them and closes their connections, and takes clients as before once it resumes.
func TestQuiesceByTheDoor(t *testing.T) {
	t.Parallel()
	o := playOne(t, fmt.Sprintf(light, "4s", `(quiesce-dispatcher (at 1s) (for 2s) (dispatcher 1))`), "call was not taken")
	all := o.Rows[len(o.Rows)-1]
	if o.Audit.Broken() > 0 || all.Unanswered > 0 || all.InTime < all.Asked*8/10 {
		t.Errorf("%d asked, %d in time, %d unanswered\n%s", all.Asked, all.InTime, all.Unanswered, o.Audit)
	}
}

// playOne runs an experiment of one play on real dispatchers and gives its outcome; refuse names a line that the
// laboratory's log must not hold.
func playOne(t *testing.T, text, refuse string) *experiment.Outcome {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "report")
	if out, log, code := call(t, "run", write(t, text), "--json", "--out", dir); code != 0 || refuse != "" && strings.Contains(log, refuse) {
		t.Fatalf("exit %d\n%s\n%s", code, out, log)
	}
	res, err := report.Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	return res.Plays[0]
}
