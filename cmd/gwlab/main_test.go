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
	"granitewing/internal/lab/world"
	"granitewing/internal/settings"
	"granitewing/lab"
)

// gwlab is the built laboratory, with the dispatcher beside it.
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
	flag.Set("test.parallel", "10") // the plays wait for the day's clock far more than they compute
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// call runs the program and gives its output and exit code.
func call(t *testing.T, args ...string) (stdout, stderr string, code int) {
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

// light is a load that even a busy machine takes with ease, so that what it shows is not how busy that is.
const light = `(experiment light (length %s) (load (rate 12)) (generator (lag 1m) (cpu 100%%) (scheduling 1m))
  (class reading (share 0.7) (work 20ms) (aim 20s) (give-up 25s) (repeat safe))
  (class alert (share 0.3) (work 20ms) (aim 20s) (give-up 25s) (repeat unsafe))
  (data-sets (count 0)) (fleet (hosts 3)) %s)`

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.sexp")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Two laboratories at once, each with a dispatcher that dies in the middle and comes back: the death is counted and
// ends neither, the rules hold, the reports are whole.
func TestTwoLaboratoriesAtOnce(t *testing.T) {
	path := write(t, fmt.Sprintf(light, "4s", `(kill-dispatcher (at 1s) (for 1s) (dispatcher 1)) (crash (at 2s) (for 1s) (hosts h1)) (drain (at 1s) (hosts h2) (grace 1s))`))
	type done struct {
		out, log string
		code     int
		dir      string
	}
	results := make(chan done, 2)
	for range 2 {
		dir := filepath.Join(t.TempDir(), "report")
		go func() {
			out, log, code := call(t, "run", path, "--json", "--out", dir)
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
		o := res.Plays[0]
		all := o.Rows[len(o.Rows)-1]
		if all.Asked < 20 || all.InTime < all.Asked*8/10 || o.Audit.Broken() > 0 || len(o.Marks) != 6 {
			t.Errorf("%d asked, %d in time, %d failures\n%s", all.Asked, all.InTime, len(o.Marks), o.Audit)
		}
		page, err := os.ReadFile(filepath.Join(d.dir, "index.html"))
		if err != nil || !bytes.Contains(page, []byte("dispatcher 1 killed")) || bytes.Contains(page, []byte("src=\"http")) {
			t.Errorf("the page is not whole: %v", err)
		}
		for _, f := range []string{"service.svg", "service.png", "latency.png", "hosts.svg"} {
			if info, err := os.Stat(filepath.Join(d.dir, f)); err != nil || info.Size() < 1000 {
				t.Errorf("%s: %v", f, err)
			}
		}
		var printed experiment.Results
		if err := json.Unmarshal([]byte(d.out), &printed); err != nil || printed.Plays[0].Service != o.Service {
			t.Errorf("standard output is no result: %v", err)
		}
	}
}

// Dispatchers with a store of record are killed some ten times; the records agree with what clients received and hosts
// got, on both back ends. (lab/store-kills.sexp and its sister kill 200 times; this is their short form.) How many records a play leaves
// hangs on how long the machine takes to start a dispatcher that was killed, so plays go on until enough were checked.
func TestStoreKills(t *testing.T) {
	t.Parallel()
	const (
		wanted    = 200 // records
		playsMost = 5
	)
	for backend, more := range map[string]string{
		`sqlite \"{dir}/{name}.db\"`: "",
		`postgres \"{postgres}\"`:    `(postgres) (store-slow (at 1s) (for 4s) (delay 20ms)) (store-resets (at 5s) (count 6)) (store-silent (at 7s) (for 1s))`,
	} {
		t.Run(strings.Fields(backend)[0], func(t *testing.T) {
			t.Parallel()
			checked := 0
			for seed := 3; checked < wanted; seed++ {
				if seed == 3+playsMost {
					t.Fatalf("%d records checked in %d plays, want %d", checked, playsMost, wanted)
				}
				checked += playStoreKills(t, backend, more, seed)
			}
		})
	}
}

// playStoreKills plays nine seconds of kills, and gives how many records were checked.
func playStoreKills(t *testing.T, backend, more string, seed int) int {
	t.Helper()
	spec := fmt.Sprintf(light, "9s", fmt.Sprintf(`(audit-records) (chance kill-dispatcher (rate 70) (for 100ms 300ms)) (crash (at 3s) (for 1s) (hosts h1)) (seed %d)
		(settings "(granitewing (record (store %s) (class alert before) (class reading told)))")`, seed, backend)+more)
	out, log, code := call(t, "run", write(t, strings.Replace(spec, "(rate 12)", "(rate 40)", 1)), "--program", filepath.Join(filepath.Dir(gwlab), "granitewing-store"), "--json")
	var res experiment.Results
	if err := json.Unmarshal([]byte(out), &res); err != nil {
		t.Fatalf("exit %d, %v\n%s\n%s", code, err, out, log)
	}
	play := res.Plays[0]
	kills := 0
	for _, m := range play.Marks {
		if strings.HasSuffix(m.Label, "killed") {
			kills++
		}
	}
	if code != 0 || len(play.Audit.Rules) != 6 || kills < 5 {
		t.Fatalf("exit %d, %d kills\n%s\n%s", code, kills, play.Audit, log)
	}
	checked := play.Audit.Rules[4].Checked
	t.Logf("seed %d: %d records checked; %d kills, dispatchers dead for %.1f s in all; %+v", seed, checked, kills, play.Dead, play.Rows[len(play.Rows)-1])
	return checked
}

// Ctrl-C ends a run in order: a report of what was measured until then, and no process left.
func TestInterrupt(t *testing.T) {
	path := write(t, fmt.Sprintf(light, "10m", ""))
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
	// Once its dispatchers run it has begun.
	for limit := time.Now().Add(30 * time.Second); len(marked(mark)) < 4; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d processes after 30 s", len(marked(mark)))
		}
	}
	time.Sleep(300 * time.Millisecond) // for some jobs; none are needed
	cmd.Process.Signal(syscall.SIGINT)
	go func() { new(bytes.Buffer).ReadFrom(log) }()
	cmd.Wait()
	if code := cmd.ProcessState.ExitCode(); code != 1 {
		t.Errorf("exit %d\n%s", code, out.String())
	}
	res, err := report.Read(dir)
	if err != nil || !res.Cut || !strings.Contains(out.String(), "CUT SHORT") {
		t.Errorf("report %v, output\n%s", err, out.String())
	}
	if left := marked(mark); len(left) > 0 {
		t.Errorf("processes left: %v", left)
	}
}

// marked finds the processes that carry a mark in their environment.
func marked(mark string) []string {
	var out []string
	files, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, f := range files {
		if text, err := os.ReadFile(f); err == nil && bytes.Contains(text, []byte(mark)) {
			out = append(out, f)
		}
	}
	return out
}

// What can't be played is refused before anything starts, with its place.
func TestRefused(t *testing.T) {
	full := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(full, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args []string
		code int
		say  string
	}{
		"a host that does not exist":       {[]string{"run", write(t, "(experiment x\n  (slow (at 1s) (hosts h9)))")}, 1, `x.sexp:2:3: slow.hosts: no host "h9"; there are h0 to h8`},
		"a report folder that is a file":   {[]string{"run", "calm", "--out", filepath.Join(full, "x")}, 1, "report folder: mkdir"},
		"a full disk":                      {[]string{"run", "calm", "--out", "/dev/full"}, 1, "report folder: "},
		"an experiment that does not ship": {[]string{"run", "nothing"}, 1, `no experiment "nothing" ships; there are calm,`},
		"a dispatcher that is not there":   {[]string{"run", "calm", "--program", "/nowhere"}, 1, "no dispatcher at /nowhere"},
		"a trace that is not there":        {[]string{"run", write(t, `(experiment x (load (stream (trace "gone.csv"))))`)}, 1, "gone.csv: no such file"},
		"an unknown verb":                  {[]string{"dance"}, 2, "unexpected argument dance"},
		"an unknown flag":                  {[]string{"run", "calm", "--speed", "9"}, 2, "unknown flag --speed"},
		"a zone that does not exist":       {[]string{"load", "calm", "--target", "127.0.0.1:1@paris"}, 1, `no zone "paris"`},
		"another policy on sockets":        {[]string{"run", write(t, `(experiment x (variant a (policy random)))`)}, 1, "plays in virtual time alone"},
	} {
		out, log, code := call(t, c.args...)
		if code != c.code || !strings.Contains(log, c.say) || strings.Count(strings.TrimSpace(log), "\n") > 0 || out != "" {
			t.Errorf("%s: exit %d, want %d; %q lacks %q, or more was said: %q", name, code, c.code, log, c.say, out)
		}
	}
}

// The generator's percentiles are those computed from the schedule and the stall, and a closed loop's are not.
func TestSelfcheck(t *testing.T) {
	out, log, code := call(t, "selfcheck", "--json")
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

// Every experiment that ships can be read and drawn; those in virtual time can be played by their verb.
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
	out, log, code := call(t, "run", "zone-cut", "--pairs", "2")
	if code != 0 || !strings.Contains(out, "two-choices") {
		t.Errorf("exit %d\n%s\n%s", code, out, log)
	}
}

// A trace goes from a recording through import and scaling into an experiment.
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
	out, log, code := call(t, "trace", "import", raw, "--gaps", "close", "--gap", "0.9", "--out", day)
	if code != 0 || !strings.Contains(out, "43 lines, 1 unsorted, 1 steps back, 1 repeated") || !strings.Contains(out, "2 gaps over 900ms") {
		t.Fatalf("exit %d\n%s\n%s", code, out, log)
	}
	if out, log, code = call(t, "trace", "scale", day, "--rate", "2", "--pace", "2", "--out", big); code != 0 || !strings.Contains(out, "after: 84 jobs") {
		t.Fatalf("exit %d\n%s\n%s", code, out, log)
	}
	path := filepath.Join(dir, "x.sexp")
	spec := strings.Replace(fmt.Sprintf(light, "1s", ""), "(load (rate 12))", `(virtual) (load (stream (trace "big.csv")))`, 1)
	if err := os.WriteFile(path, []byte(spec), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, log, code = call(t, "run", path); code != 0 || !strings.Contains(out, "reading     84") || !strings.Contains(out, "trace big.csv: no gap") {
		t.Fatalf("exit %d\n%s\n%s", code, out, log)
	}
}

// Two generators beside an emulated fleet, merged to one report.
func TestLoadAndEmulate(t *testing.T) {
	dir := t.TempDir()
	path := write(t, fmt.Sprintf(light, "2s", ""))
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
			_, log, code := call(t, append([]string{"load", path, "--prefix", prefix, "--out", filepath.Join(dir, prefix)}, args...)...)
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
	merged, log, code := call(t, "report", filepath.Join(dir, "a"), filepath.Join(dir, "b"), "--out", filepath.Join(dir, "both"))
	both, err := report.Read(filepath.Join(dir, "both"))
	if err != nil || code != 0 {
		t.Fatalf("exit %d, %v\n%s\n%s", code, err, merged, log)
	}
	if a, b := one.Plays[0].Rows[2], both.Plays[0].Rows[2]; a.Asked == 0 || b.Asked != 2*a.Asked || b.InTime == 0 {
		t.Errorf("%d asked by one, %d by both", a.Asked, b.Asked)
	}
}

// What the dispatchers' doors count agrees with what clients saw: each job served is one success of its class, and
// every answer that a client read is counted once, as a success, a refusal or a failure.
func TestFiguresAgreeWithClients(t *testing.T) {
	t.Parallel()
	o := playOne(t, fmt.Sprintf(light, "4s", ""), "")
	if len(o.Figures) == 0 {
		t.Fatalf("no figures; notes %q", o.Notes)
	}
	var answered, dispatched float64
	for _, row := range o.Rows[:len(o.Rows)-1] {
		label := `{type="` + row.Class + `"}`
		success := o.Figures["router_success_total"+label]
		if served := float64(row.InTime + row.Late); success != served || served == 0 {
			t.Errorf("%s: %v successes counted, clients were served %v", row.Class, success, served)
		}
		answered += success + o.Figures["router_overload_total"+label] + o.Figures["router_error_total"+label]
		if row.Unanswered > 0 || row.Left > 0 {
			t.Fatalf("%s: %d unanswered, %d left; the counts may differ then", row.Class, row.Unanswered, row.Left)
		}
	}
	all := o.Rows[len(o.Rows)-1]
	if answered != float64(all.Tries) {
		t.Errorf("%v answers counted, clients made %d tries", answered, all.Tries)
	}
	if dispatched = o.Figures["router_dispatches_total"]; dispatched < float64(all.InTime+all.Late) {
		t.Errorf("%v attempts written, fewer than the %d served", dispatched, all.InTime+all.Late)
	}
	// Each dispatcher lists the three hosts.
	if hosts := float64(3 * len(o.CPU)); o.Figures["router_concurrent"] != 0 || o.Figures["router_targets"] != hosts || hosts == 0 {
		t.Errorf("at the end: %v open, %v hosts listed; want 0 and %v", o.Figures["router_concurrent"], o.Figures["router_targets"], hosts)
	}
}

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

// few is a load of a second by twelve processes, whose clients give up soon.
const few = `(experiment few (dispatchers 12) (length %s) (load (rate 30)) (generator (lag 1m) (cpu 100%%) (scheduling 1m)) (clients (retries 0))
  (class reading (share 0.7) (work 20ms) (aim 2s) (give-up %s) (repeat safe))
  (class alert (share 0.3) (work 20ms) (aim 2s) (give-up %s) (repeat unsafe))
  (data-sets (count 0)) (fleet (hosts 4)) %s)`

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
