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

const bound = 20 * time.Second // a test that waits so long has failed

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

// free is an address that nobody uses.
func free(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// command is a dispatcher of a name with its part in a fleet, not started yet.
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

// process is a dispatcher that runs.
type process struct {
	cmd  *exec.Cmd
	door string // none of one that ended at its start
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
		door := ""
		for s := bufio.NewScanner(out); s.Scan(); {
			_, addr, _ := strings.Cut(s.Text(), "addr=")
			switch {
			case strings.Contains(s.Text(), "msg=door"):
				door = strings.TrimSpace(addr)
			case strings.Contains(s.Text(), "msg=listening"):
				serves <- door
			}
		}
		select {
		case serves <- "":
		default:
		}
	}()
	select {
	case door := <-serves:
		return &process{cmd, door}
	case <-time.After(bound):
		t.Fatal("it neither serves nor ends")
		return nil
	}
}

// start starts a dispatcher and gives its door.
func start(t *testing.T, name, fleet string) string {
	t.Helper()
	p := run(t, name, fleet)
	if p.door == "" {
		t.Fatalf("%s ended at its start", name)
	}
	return p.door
}

// status is what the verb says in JSON.
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

// ask gives the status, nil where the dispatcher does not tell it yet.
func ask(t *testing.T, door string) (*status, []byte) {
	t.Helper()
	out, err := exec.Command(program, "fleet", "status", "--door", door, "--json").Output()
	if err != nil {
		return nil, out
	}
	s := &status{}
	if err := json.Unmarshal(out, s); err != nil {
		t.Fatal(err)
	}
	return s, out
}

// until asks for the status again and again until it is as wanted.
func until(t *testing.T, door, what string, want func(*status) bool) {
	t.Helper()
	var last []byte
	for end := time.Now().Add(bound); time.Now().Before(end); {
		s, out := ask(t, door)
		if s != nil && want(s) {
			return
		}
		last = out
	}
	t.Fatalf("%s: not seen; last\n%s", what, last)
}

// peer is a stand-in for another dispatcher.
func peer(t *testing.T, name, label string, incarnation uint64, join ...string) (*member.Fleet, string) {
	t.Helper()
	bind := free(t)
	f, err := member.Join(member.Options{Name: name, Bind: bind, Join: join, Label: label, Incarnation: incarnation, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	return f, bind
}

func report(name string, incarnation, seq uint64, work float64) *ledger.Report {
	return &ledger.Report{From: name, Incarnation: incarnation, Seq: seq, Held: []ledger.Held{{Host: 1, Work: work}}}
}

// A peer that tells nonsense, one of an earlier incarnation that still talks, and one that goes: each is refused or given
// up with its cause, and the dispatcher says so.
func TestPeersThatAreNotBelieved(t *testing.T) {
	bind := free(t)
	door := start(t, "n0", fmt.Sprintf(`(label "t") (bind %q) (every 100ms)`, bind))
	f, _ := peer(t, "p", "t", 7, bind)
	seq := uint64(0)
	tell := func(r func() *ledger.Report) func(*status) bool {
		return func(*status) bool { seq++; f.Tell([]ledger.Out{{Report: r(), To: []string{"n0"}}}); return false }
	}
	either := func(do, want func(*status) bool) func(*status) bool {
		return func(s *status) bool { return want(s) || do(s) }
	}
	until(t, door, "a member that is heard", either(tell(func() *ledger.Report { return report("p", 7, seq, 2) }),
		func(s *status) bool { return s.Members == 1 && s.Heard == 1 }))
	until(t, door, "nonsense refused", either(tell(func() *ledger.Report { return report("p", 7, seq, math.Inf(1)) }),
		func(s *status) bool { return s.Refused["range"] > 0 }))
	until(t, door, "an older incarnation refused", either(tell(func() *ledger.Report { return report("p", 6, seq, 2) }),
		func(s *status) bool { return s.Refused["old"] > 0 }))
	until(t, door, "its own name refused", either(tell(func() *ledger.Report { return report("n0", 1<<63, seq, 2) }),
		func(s *status) bool { return s.Refused["self"] > 0 }))
	until(t, door, "silence noticed", func(s *status) bool { return s.Heard == 0 && len(s.Peers) == 1 && s.Peers[0].State == "silent" })
	f.Leave()
	until(t, door, "a member that left", func(s *status) bool { return s.Members == 0 && len(s.Peers) == 1 && s.Peers[0].State == "gone" })
}

// A process of a name stands still, is given up, and another of the name starts; then the first goes on. What it says is
// refused, and the news of its successor counts as before.
func TestAnOlderProcessWakesUp(t *testing.T) {
	t.Parallel()
	bind := free(t)
	door := start(t, "n0", fmt.Sprintf(`(label "t") (bind %q)`, bind))
	// It tells more often than its successor, so that its word would often be the last.
	first := run(t, "n1", fmt.Sprintf(`(label "t") (bind %q) (join %q) (every 30ms)`, free(t), bind))
	var old string
	until(t, door, "the first process", func(s *status) bool {
		for _, p := range s.Peers {
			old = p.Incarnation
		}
		return s.Heard == 1
	})
	first.signal(t, syscall.SIGSTOP)
	until(t, door, "that it is given up", func(s *status) bool { return s.Members == 0 })
	// The name may be taken for some seconds still; a start that finds it so ends, and its platform starts it again.
	var next *process
	for end := time.Now().Add(bound); next == nil; {
		if p := run(t, "n1", fmt.Sprintf(`(label "t") (bind %q) (join %q)`, free(t), bind)); p.door != "" {
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
	until(t, door, "the successor", successor)
	first.signal(t, syscall.SIGCONT)
	until(t, door, "that the first is refused", func(s *status) bool { return s.Refused["old"] > 0 })
	for range 30 {
		if s, out := ask(t, door); s == nil || !successor(s) {
			t.Fatalf("the first is believed in its successor's place\n%s", out)
		}
	}
}

// Two fleets at one address do not mix.
func TestAnotherFleetsLabel(t *testing.T) {
	bind := free(t)
	door := start(t, "n0", fmt.Sprintf(`(label "ours") (bind %q) (every 100ms)`, bind))
	theirs, _ := peer(t, "p", "theirs", 1, bind)
	defer theirs.Leave()
	ours, _ := peer(t, "q", "ours", 1, bind)
	defer ours.Leave()
	until(t, door, "the one of this fleet", func(s *status) bool { return s.Members == 1 })
	if h := theirs.Take(); len(h.Members) != 0 {
		t.Errorf("a member of another fleet sees %d of this one", len(h.Members))
	}
}

// What can't be had ends the start with code 2 and one line that names it.
func TestRefusedStarts(t *testing.T) {
	standIn, taken := peer(t, "n0", "t", 1)
	defer standIn.Leave()
	for name, c := range map[string]struct{ fleet, want string }{
		"a name that a live member has":     {fmt.Sprintf(`(label "t") (bind %q) (join %q)`, free(t), taken), "the name n0 is taken by the live member at " + taken},
		"an address that can't be bound":    {fmt.Sprintf(`(label "t") (bind %q)`, taken), "fleet.bind: " + taken},
		"an address that is none":           {`(label "t") (bind "here")`, `fleet.bind: "here": want an IP address and a port`},
		"a key that nobody knows":           {`(label "t") (bind "127.0.0.1:1") (gossip 3)`, "gossip"},
		"news that is believed for no time": {`(label "t") (bind "127.0.0.1:1") (every 1s) (believe 1s)`, "fleet.believe: 1s is under two reports"},
	} {
		t.Run(name, func(t *testing.T) {
			cmd := command(t, "n0", c.fleet)
			var log bytes.Buffer
			cmd.Stderr = &log
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			stop := time.AfterFunc(bound, func() { cmd.Process.Kill() })
			defer stop.Stop()
			cmd.Wait()
			if code := cmd.ProcessState.ExitCode(); code != 2 || !strings.Contains(log.String(), c.want) {
				t.Errorf("exit %d, want 2 and %q:\n%s", code, c.want, log.String())
			}
		})
	}
}
