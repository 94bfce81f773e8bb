package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"granitewing/internal/lab/experiment"
	"granitewing/internal/lab/report"
	"granitewing/internal/settings"
	"granitewing/lab"
)

// gwlab is the path of the built program; the dispatcher binaries are next to it.
var gwlab string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "gwlab-test")
	if err != nil {
		panic(err)
	}
	gwlab = filepath.Join(dir, "gwlab")
	for _, p := range []string{".", "../granitewing", "../granitewing-store", "../granitewing-fleet"} {
		if out, err := exec.Command("go", "build", "-o", dir+"/", p).CombinedOutput(); err != nil {
			panic(fmt.Sprintf("%v\n%s", err, out))
		}
	}
	flag.Parse()
	flag.Set("test.parallel", "10") // the runs mostly wait for the day's clock and compute little
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// runGwlab runs the program and returns its output and exit code.
func runGwlab(t *testing.T, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	cmd := exec.Command(gwlab, args...)
	var out, log bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &log
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return out.String(), log.String(), cmd.ProcessState.ExitCode()
}

// lightLoad is a load that even a busy machine handles easily, so that results do not depend on how busy the machine
// is.
const lightLoad = `(experiment light (length %s) (load (rate 12)) (generator (lag 1m) (cpu 100%%) (scheduling 1m))
  (class reading (share 0.7) (work 20ms) (aim 20s) (give-up 25s) (repeat safe))
  (class alert (share 0.3) (work 20ms) (aim 20s) (give-up 25s) (repeat unsafe))
  (data-sets (count 0)) (fleet (hosts 3)) %s)`

func writeExperiment(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.sexp")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Two laboratories run at the same time, each with a dispatcher that is killed and comes back. The kill is counted
// and ends neither run, the rules hold, and the reports are complete.
func TestTwoLaboratoriesAtOnce(t *testing.T) {
	path := writeExperiment(t, fmt.Sprintf(lightLoad, "4s", `(kill-dispatcher (at 1s) (for 1s) (dispatcher 1)) (crash (at 2s) (for 1s) (hosts h1)) (drain (at 1s) (hosts h2) (grace 1s))`))
	type done struct {
		out, log string
		code     int
		dir      string
	}
	results := make(chan done, 2)
	for range 2 {
		dir := filepath.Join(t.TempDir(), "report")
		go func() {
			out, log, code := runGwlab(t, "run", path, "--json", "--out", dir)
			results <- done{out, log, code, dir}
		}()
	}
	for range 2 {
		d := <-results
		if d.code != 0 {
			t.Fatalf("exit %d\n%s\n%s", d.code, d.out, d.log)
		}
		res, err := report.Read(d.dir)
		if err != nil {
			t.Fatal(err)
		}
		o := res.Runs[0]
		all := o.Rows[len(o.Rows)-1]
		if all.Asked < 20 || all.InTime < all.Asked*8/10 || o.Audit.Broken() > 0 || len(o.Marks) != 6 {
			t.Errorf("%d jobs, %d in time, %d marks\n%s", all.Asked, all.InTime, len(o.Marks), o.Audit)
		}
		page, err := os.ReadFile(filepath.Join(d.dir, "index.html"))
		if err != nil || !bytes.Contains(page, []byte("dispatcher 1 killed")) || bytes.Contains(page, []byte("src=\"http")) {
			t.Errorf("the page is incomplete: %v", err)
		}
		for _, f := range []string{"service.svg", "service.png", "latency.png", "hosts.svg"} {
			if info, err := os.Stat(filepath.Join(d.dir, f)); err != nil || info.Size() < 1000 {
				t.Errorf("%s: %v", f, err)
			}
		}
		var printed experiment.Results
		if err := json.Unmarshal([]byte(d.out), &printed); err != nil || printed.Runs[0].Service != o.Service {
			t.Errorf("standard output is not a result: %v", err)
		}
	}
}

// SIGINT ends a run in order: it reports what was measured until then and leaves no process behind.
func TestInterrupt(t *testing.T) {
	path := writeExperiment(t, fmt.Sprintf(lightLoad, "10m", ""))
	dir := filepath.Join(t.TempDir(), "report")
	mark := fmt.Sprintf("GWLAB_TEST=%d", time.Now().UnixNano())
	cmd := exec.Command(gwlab, "run", path, "--out", dir, "--debug")
	cmd.Env = append(os.Environ(), mark)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	cmd.Stdout = &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	// The run has begun once its dispatchers are running.
	for limit := time.Now().Add(30 * time.Second); len(processesWith(mark)) < 4; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d processes after 30 s", len(processesWith(mark)))
		}
	}
	time.Sleep(300 * time.Millisecond) // leaves time for some jobs; the test needs none
	cmd.Process.Signal(syscall.SIGINT)
	go func() { new(bytes.Buffer).ReadFrom(log) }()
	cmd.Wait()
	if code := cmd.ProcessState.ExitCode(); code != 1 {
		t.Errorf("exit %d\n%s", code, out.String())
	}
	res, err := report.Read(dir)
	if err != nil || !res.CutShort || !strings.Contains(out.String(), "CUT SHORT") {
		t.Errorf("report %v, output\n%s", err, out.String())
	}
	if left := processesWith(mark); len(left) > 0 {
		t.Errorf("processes left: %v", left)
	}
}

// processesWith returns the /proc environ files of the processes whose environment contains mark.
func processesWith(mark string) []string {
	var out []string
	files, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, f := range files {
		if text, err := os.ReadFile(f); err == nil && bytes.Contains(text, []byte(mark)) {
			out = append(out, f)
		}
	}
	return out
}

// What can't be run is refused before anything starts, and the error names the place.
func TestRefused(t *testing.T) {
	full := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(full, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args []string
		code int
		want string
	}{
		"a host that does not exist":       {[]string{"run", writeExperiment(t, "(experiment x\n  (slow (at 1s) (hosts h9)))")}, 1, `x.sexp:2:3: slow.hosts: no host "h9"; there are h0 to h8`},
		"a report folder that is a file":   {[]string{"run", "calm", "--out", filepath.Join(full, "x")}, 1, "report folder: mkdir"},
		"a full disk":                      {[]string{"run", "calm", "--out", "/dev/full"}, 1, "report folder: "},
		"an experiment that does not ship": {[]string{"run", "nothing"}, 1, `no experiment "nothing" ships; there are calm,`},
		"a dispatcher that is not there":   {[]string{"run", "calm", "--program", "/nowhere"}, 1, "no dispatcher at /nowhere"},
		"a trace that is not there":        {[]string{"run", writeExperiment(t, `(experiment x (load (stream (trace "gone.csv"))))`)}, 1, "gone.csv: no such file"},
		"an unknown verb":                  {[]string{"dance"}, 2, "unexpected argument dance"},
		"an unknown flag":                  {[]string{"run", "calm", "--speed", "9"}, 2, "unknown flag --speed"},
		"a zone that does not exist":       {[]string{"load", "calm", "--target", "127.0.0.1:1@paris"}, 1, `no zone "paris"`},
		"another policy on sockets":        {[]string{"run", writeExperiment(t, `(experiment x (variant a (policy random)))`)}, 1, "plays in virtual time alone"},
	} {
		out, log, code := runGwlab(t, c.args...)
		if code != c.code || !strings.Contains(log, c.want) || strings.Count(strings.TrimSpace(log), "\n") > 0 || out != "" {
			t.Errorf("%s: exit %d, want %d; %q lacks %q, or there is more output: %q", name, code, c.code, log, c.want, out)
		}
	}
}

// The open-loop percentiles match those computed from the schedule and the stall, and those of a closed loop do not.
func TestSelfcheck(t *testing.T) {
	out, log, code := runGwlab(t, "selfcheck", "--json")
	if code == exitInvalid {
		t.Skipf("this machine was too busy in all tries: %s", log)
	}
	if code != 0 {
		t.Fatalf("exit %d\n%s\n%s", code, out, log)
	}
	var r struct {
		Rows []struct {
			Quantile float64 `json:"quantile"`
			Computed float64 `json:"computed_ns"`
			Closed   float64 `json:"closed_loop_ns"`
		} `json:"rows"`
	}
	if err := json.Unmarshal([]byte(out), &r); err != nil || len(r.Rows) != 5 {
		t.Fatalf("%v\n%s", err, out)
	}
	if p99 := r.Rows[2]; p99.Computed < 400e6 || p99.Closed > p99.Computed/4 {
		t.Errorf("p99 computed %.0f ns, of the closed loop %.0f ns; the closed loop should hide the stall", p99.Computed, p99.Closed)
	}
}

// Every shipped experiment can be read and drawn, and one in virtual time can be run.
func TestShipped(t *testing.T) {
	files, err := lab.Files.ReadDir(".")
	if err != nil || len(files) < 5 {
		t.Fatalf("%d files: %v", len(files), err)
	}
	for _, f := range files {
		spec, err := readExperiment(strings.TrimSuffix(f.Name(), ".sexp"))
		if err != nil {
			var at *settings.Error
			t.Errorf("%s: %v (with a place: %t)", f.Name(), err, errors.As(err, &at))
			continue
		}
		if _, err := spec.Draw(spec.Seed); err != nil {
			t.Errorf("%s: %v", f.Name(), err)
		}
	}
	out, log, code := runGwlab(t, "run", "zone-cut", "--pairs", "2")
	if code != 0 || !strings.Contains(out, "two-choices") {
		t.Errorf("exit %d\n%s\n%s", code, out, log)
	}
}

// A recorded trace can be imported, scaled and used by an experiment.
func TestTrace(t *testing.T) {
	dir := t.TempDir()
	var text strings.Builder
	text.WriteString("time,class,work\n")
	for i := range 40 {
		fmt.Fprintf(&text, "%g,reading,0.02\n", 1000+float64(i)*0.05)
	}
	text.WriteString("1003.5,reading,0.02\n1003.5,reading,0.02\n999,reading,0.02\n")
	raw, day, big := filepath.Join(dir, "raw.csv"), filepath.Join(dir, "day.csv"), filepath.Join(dir, "big.csv")
	if err := os.WriteFile(raw, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	out, log, code := runGwlab(t, "trace", "import", raw, "--gaps", "close", "--gap", "0.9", "--out", day)
	if code != 0 || !strings.Contains(out, "43 lines, 1 unsorted, 1 steps back, 1 repeated") || !strings.Contains(out, "2 gaps over 900ms") {
		t.Fatalf("exit %d\n%s\n%s", code, out, log)
	}
	if out, log, code = runGwlab(t, "trace", "scale", day, "--rate", "2", "--pace", "2", "--out", big); code != 0 || !strings.Contains(out, "after: 84 jobs") {
		t.Fatalf("exit %d\n%s\n%s", code, out, log)
	}
	path := filepath.Join(dir, "x.sexp")
	spec := strings.Replace(fmt.Sprintf(lightLoad, "1s", ""), "(load (rate 12))", `(virtual) (load (stream (trace "big.csv")))`, 1)
	if err := os.WriteFile(path, []byte(spec), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, log, code = runGwlab(t, "run", path); code != 0 || !strings.Contains(out, "reading     84") || !strings.Contains(out, "trace big.csv: no gap") {
		t.Fatalf("exit %d\n%s\n%s", code, out, log)
	}
}

// smallFleet is a short load on twelve dispatchers whose clients give up soon.
const smallFleet = `(experiment few (dispatchers 12) (length %s) (load (rate 30)) (generator (lag 1m) (cpu 100%%) (scheduling 1m)) (clients (retries 0))
  (class reading (share 0.7) (work 20ms) (aim 2s) (give-up %s) (repeat safe))
  (class alert (share 0.3) (work 20ms) (aim 2s) (give-up %s) (repeat unsafe))
  (data-sets (count 0)) (fleet (hosts 4)) %s)`
