package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"granitewing/internal/lab/report"
)

// Two generators send to one emulated fleet, and their results are merged into one report.
func TestLoadAndEmulate(t *testing.T) {
	dir := t.TempDir()
	path := writeExperiment(t, fmt.Sprintf(lightLoad, "2s", ""))
	cmd := exec.Command(gwlab, "emulate", path, "--dir", filepath.Join(dir, "fleet"), "--serve")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer cmd.Process.Signal(syscall.SIGINT)
	var args []string
	for range 3 {
		var name, zone, addr string
		if _, err := fmt.Fscanf(out, "%s zone %s target %s\n", &name, &zone, &addr); err != nil {
			t.Fatal(err)
		}
		args = append(args, "--target", addr)
	}
	codes := make(chan int, 2)
	for _, prefix := range []string{"a", "b"} {
		go func() {
			_, log, code := runGwlab(t, append([]string{"load", path, "--prefix", prefix, "--out", filepath.Join(dir, prefix)}, args...)...)
			if code != 0 {
				t.Errorf("exit %d: %s", code, log)
			}
			codes <- code
		}()
	}
	<-codes
	<-codes
	one, err := report.Read(filepath.Join(dir, "a"))
	if err != nil {
		t.Fatal(err)
	}
	merged, log, code := runGwlab(t, "report", filepath.Join(dir, "a"), filepath.Join(dir, "b"), "--out", filepath.Join(dir, "both"))
	both, err := report.Read(filepath.Join(dir, "both"))
	if err != nil || code != 0 {
		t.Fatalf("exit %d, %v\n%s\n%s", code, err, merged, log)
	}
	if a, b := one.Runs[0].Rows[2], both.Runs[0].Rows[2]; a.Asked == 0 || b.Asked != 2*a.Asked || b.InTime == 0 {
		t.Errorf("%d jobs by one, %d by both", a.Asked, b.Asked)
	}
}

// The counters of the dispatchers' admin endpoints agree with what clients observed: each served job is one success
// of its class, and every answer that a client read is counted once, as a success, a refusal or a failure.
func TestFiguresAgreeWithClients(t *testing.T) {
	t.Parallel()
	o := runOne(t, fmt.Sprintf(lightLoad, "4s", ""), "")
	if len(o.Metrics) == 0 {
		t.Fatalf("no metrics; notes %q", o.Notes)
	}
	var answered, dispatched float64
	for _, row := range o.Rows[:len(o.Rows)-1] {
		label := `{type="` + row.Class + `"}`
		success := o.Metrics["router_success_total"+label]
		if served := float64(row.InTime + row.Late); success != served || served == 0 {
			t.Errorf("%s: %v successes counted, clients were served %v", row.Class, success, served)
		}
		answered += success + o.Metrics["router_overload_total"+label] + o.Metrics["router_error_total"+label]
		if row.Unanswered > 0 || row.Left > 0 {
			t.Fatalf("%s: %d unanswered, %d left; the counts may differ then", row.Class, row.Unanswered, row.Left)
		}
	}
	all := o.Rows[len(o.Rows)-1]
	if answered != float64(all.Tries) {
		t.Errorf("%v answers counted, clients made %d tries", answered, all.Tries)
	}
	if dispatched = o.Metrics["router_dispatches_total"]; dispatched < float64(all.InTime+all.Late) {
		t.Errorf("%v attempts written, fewer than the %d served", dispatched, all.InTime+all.Late)
	}
	// Each dispatcher lists the three hosts.
	if hosts := float64(3 * len(o.CPU)); o.Metrics["router_concurrent"] != 0 || o.Metrics["router_targets"] != hosts || hosts == 0 {
		t.Errorf("at the end: %v open, %v hosts listed; want 0 and %v", o.Metrics["router_concurrent"], o.Metrics["router_targets"], hosts)
	}
}
