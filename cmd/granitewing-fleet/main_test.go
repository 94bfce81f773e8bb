package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"granitewing/internal/fleet/ledger"
	"granitewing/internal/fleet/member"
)

const testTimeout = 20 * time.Second // only ends tests that have failed

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fleet-test")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "granitewing-fleet")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v\n%s", err, out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// freeAddress returns an address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// command returns the command of a dispatcher in a fleet, not started yet.
func command(t *testing.T, name, fleet string) *exec.Cmd {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "own.sexp")
	if err := os.WriteFile(path, []byte("(granitewing (log (format text)) (fleet "+fleet+"))"), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program, "serve", "--config", "../../deploy/example.json", "--settings", path)
	cmd.Env = append(os.Environ(), "ROUTER_NAME="+name, "ROUTER_LISTEN=127.0.0.1:0", "ROUTER_DISCOVERY=127.0.0.1:1", "ROUTER_MANAGEMENT=127.0.0.1:0", "TMPDIR="+dir)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// process is a running dispatcher.
type process struct {
	cmd   *exec.Cmd
	admin string // address of the admin endpoint; empty if the process ended at its start
}

func (p *process) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
}

// run starts a dispatcher and waits until it serves or has ended.
func run(t *testing.T, name, fleet string) *process {
	t.Helper()
	cmd := command(t, name, fleet)
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	serves := make(chan string, 1)
	go func() {
		admin := ""
		for s := bufio.NewScanner(out); s.Scan(); {
			_, addr, _ := strings.Cut(s.Text(), "addr=")
			switch {
			case strings.Contains(s.Text(), "msg=door"):
				admin = strings.TrimSpace(addr)
			case strings.Contains(s.Text(), "msg=listening"):
				serves <- admin
			}
		}
		select {
		case serves <- "":
		default:
		}
	}()
	select {
	case admin := <-serves:
		return &process{cmd, admin}
	case <-time.After(testTimeout):
		t.Fatal("the process neither serves nor exits")
		return nil
	}
}

// start starts a dispatcher and returns the address of its admin endpoint.
func start(t *testing.T, name, fleet string) string {
	t.Helper()
	p := run(t, name, fleet)
	if p.admin == "" {
		t.Fatalf("%s exited at its start", name)
	}
	return p.admin
}

// status is the JSON output of `fleet status`.
type status struct {
	Members, Heard int
	Refused        map[string]int
	Peers          []struct{ Name, State, Incarnation string }
	Dealer         string
	Limits         []struct {
		Name             string
		Amount, Rights   float64
		Connected, Deals bool
	}
}

// fetchStatus returns the status, or nil while the dispatcher does not report it yet.
func fetchStatus(t *testing.T, admin string) (*status, []byte) {
	t.Helper()
	out, err := exec.Command(program, "fleet", "status", "--door", admin, "--json").Output()
	if err != nil {
		return nil, out
	}
	s := &status{}
	if err := json.Unmarshal(out, s); err != nil {
		t.Fatal(err)
	}
	return s, out
}

// waitForStatus polls the status until it is as wanted.
func waitForStatus(t *testing.T, admin, what string, want func(*status) bool) {
	t.Helper()
	var last []byte
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		s, out := fetchStatus(t, admin)
		if s != nil && want(s) {
			return
		}
		last = out
	}
	t.Fatalf("%s: not seen; last status\n%s", what, last)
}

// peer joins a fleet as a stand-in for another dispatcher.
func peer(t *testing.T, name, label string, incarnation uint64, join ...string) (*member.Fleet, string) {
	t.Helper()
	bind := freeAddress(t)
	f, err := member.Join(member.Options{Name: name, Bind: bind, Join: join, Label: label, Incarnation: incarnation, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	return f, bind
}

func report(name string, incarnation, seq uint64, work float64) *ledger.Report {
	return &ledger.Report{From: name, Incarnation: incarnation, Seq: seq, Held: []ledger.HostWork{{Host: 1, Work: work}}}
}

// Invalid reports, reports of an earlier incarnation and reports in the dispatcher's own name are refused and counted
// by cause; a member that falls silent or leaves is shown as such.
func TestInvalidReportsAreRefused(t *testing.T) {
	bind := freeAddress(t)
	admin := start(t, "n0", fmt.Sprintf(`(label "t") (bind %q) (every 100ms)`, bind))
	f, _ := peer(t, "p", "t", 7, bind)
	seq := uint64(0)
	sendReport := func(r func() *ledger.Report) func(*status) bool {
		return func(*status) bool {
			seq++
			f.SendReports([]ledger.Outgoing{{Report: r(), To: []string{"n0"}}})
			return false
		}
	}
	unless := func(do, want func(*status) bool) func(*status) bool {
		return func(s *status) bool { return want(s) || do(s) }
	}
	waitForStatus(t, admin, "a member whose reports count", unless(sendReport(func() *ledger.Report { return report("p", 7, seq, 2) }),
		func(s *status) bool { return s.Members == 1 && s.Heard == 1 }))
	waitForStatus(t, admin, "an invalid report refused", unless(sendReport(func() *ledger.Report { return report("p", 7, seq, math.Inf(1)) }),
		func(s *status) bool { return s.Refused["range"] > 0 }))
	waitForStatus(t, admin, "an older incarnation refused", unless(sendReport(func() *ledger.Report { return report("p", 6, seq, 2) }),
		func(s *status) bool { return s.Refused["old"] > 0 }))
	waitForStatus(t, admin, "its own name refused", unless(sendReport(func() *ledger.Report { return report("n0", 1<<63, seq, 2) }),
		func(s *status) bool { return s.Refused["self"] > 0 }))
	waitForStatus(t, admin, "silence noticed", func(s *status) bool { return s.Heard == 0 && len(s.Peers) == 1 && s.Peers[0].State == "silent" })
	f.Leave()
	waitForStatus(t, admin, "a member that left", func(s *status) bool { return s.Members == 0 && len(s.Peers) == 1 && s.Peers[0].State == "gone" })
}

// A process is suspended and removed from the membership, and another one with its name starts; then the first
// resumes. Its reports are refused, and those of its successor count as before.
func TestSuspendedProcessResumesAfterReplacement(t *testing.T) {
	t.Parallel()
	bind := freeAddress(t)
	admin := start(t, "n0", fmt.Sprintf(`(label "t") (bind %q)`, bind))
	// It reports more often than its successor, so that its report would often be the latest.
	first := run(t, "n1", fmt.Sprintf(`(label "t") (bind %q) (join %q) (every 30ms)`, freeAddress(t), bind))
	var old string
	waitForStatus(t, admin, "the first process", func(s *status) bool {
		for _, p := range s.Peers {
			old = p.Incarnation
		}
		return s.Heard == 1
	})
	first.signal(t, syscall.SIGSTOP)
	waitForStatus(t, admin, "its removal from the membership", func(s *status) bool { return s.Members == 0 })
	// The name may stay taken for some seconds; a process that finds it taken exits, and its platform starts it again.
	var next *process
	for end := time.Now().Add(testTimeout); next == nil; {
		if p := run(t, "n1", fmt.Sprintf(`(label "t") (bind %q) (join %q)`, freeAddress(t), bind)); p.admin != "" {
			next = p
		} else if time.Now().After(end) {
			t.Fatal("the name stays taken")
		}
	}
	successor := func(s *status) bool {
		for _, p := range s.Peers {
			if p.Name != "n1" || p.State != "heard" || p.Incarnation <= old {
				return false
			}
		}
		return s.Members == 1 && s.Heard == 1
	}
	waitForStatus(t, admin, "the successor", successor)
	first.signal(t, syscall.SIGCONT)
	waitForStatus(t, admin, "the first process refused", func(s *status) bool { return s.Refused["old"] > 0 })
	for range 30 {
		if s, out := fetchStatus(t, admin); s == nil || !successor(s) {
			t.Fatalf("the first process counts instead of its successor\n%s", out)
		}
	}
}

// Fleets with different labels do not mix, even at the same address.
func TestFleetLabelsSeparateFleets(t *testing.T) {
	bind := freeAddress(t)
	admin := start(t, "n0", fmt.Sprintf(`(label "ours") (bind %q) (every 100ms)`, bind))
	theirs, _ := peer(t, "p", "theirs", 1, bind)
	defer theirs.Leave()
	ours, _ := peer(t, "q", "ours", 1, bind)
	defer ours.Leave()
	waitForStatus(t, admin, "the one of this fleet", func(s *status) bool { return s.Members == 1 })
	if h := theirs.ReceiveReports(); len(h.Members) != 0 {
		t.Errorf("a member of another fleet sees %d of this one", len(h.Members))
	}
}

// A start with settings that cannot be met ends with exit code 2 and a line that names the setting.
func TestStartErrors(t *testing.T) {
	standIn, taken := peer(t, "n0", "t", 1)
	defer standIn.Leave()
	for name, c := range map[string]struct{ fleet, want string }{
		"name of a live member":     {fmt.Sprintf(`(label "t") (bind %q) (join %q)`, freeAddress(t), taken), "the name n0 is taken by the live member at " + taken},
		"address in use":            {fmt.Sprintf(`(label "t") (bind %q)`, taken), "fleet.bind: " + taken},
		"invalid address":           {`(label "t") (bind "here")`, `fleet.bind: "here": want an IP address and a port`},
		"unknown key":               {`(label "t") (bind "127.0.0.1:1") (gossip 3)`, "gossip"},
		"believe below two reports": {`(label "t") (bind "127.0.0.1:1") (every 1s) (believe 1s)`, "fleet.believe: 1s is under two reports"},
	} {
		t.Run(name, func(t *testing.T) {
			cmd := command(t, "n0", c.fleet)
			var log bytes.Buffer
			cmd.Stderr = &log
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			stop := time.AfterFunc(testTimeout, func() { cmd.Process.Kill() })
			defer stop.Stop()
			cmd.Wait()
			if code := cmd.ProcessState.ExitCode(); code != 2 || !strings.Contains(log.String(), c.want) {
				t.Errorf("exit %d, want 2 and %q:\n%s", code, c.want, log.String())
			}
		})
	}
}
