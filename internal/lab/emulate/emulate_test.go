package emulate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"granitewing/internal/lab/audit"
	"granitewing/internal/lab/world"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

const testTimeout = 30 * time.Second // reached only by tests that fail

// newFleet starts an emulator with two hosts and one dispatcher.
func newFleet(t *testing.T) (*Emulator, *audit.Log) {
	t.Helper()
	spec, err := world.Parse("test", `(experiment test (dispatchers 1) (zones dakar) (fleet (hosts 2) (progress 0s)) (data-sets (count 0)) (discovery (lag 0s)))`)
	if err != nil {
		t.Fatal(err)
	}
	day, err := spec.Draw(1)
	if err != nil {
		t.Fatal(err)
	}
	var classes []audit.Class
	for _, c := range day.Classes {
		classes = append(classes, audit.Class{Name: c.Name, Repeat: c.Repeat})
	}
	log := audit.New(classes)
	e, err := New(day, log)
	if err != nil {
		t.Fatal(err)
	}
	return e, log
}

func (e *Emulator) applyOp(op world.Op) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(op)
}

// awaitHeld waits until a host holds the wanted number of jobs.
func (e *Emulator) awaitHeld(t *testing.T, host, want int) {
	t.Helper()
	for limit := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		e.mu.Lock()
		held := e.hosts[host].model.Held()
		e.mu.Unlock()
		if held == want {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("the host holds %d jobs, want %d", held, want)
		}
	}
}

type dispatcherConn struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, addr string) *dispatcherConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { c.Close() })
	return &dispatcherConn{c, bufio.NewReader(c)}
}

func (p *dispatcherConn) send(t *testing.T, name string, work int) {
	t.Helper()
	body := Work{Micros: float64(work), Slots: 1}.Append(nil)
	m := &platform.Message{Method: "POST", Target: "/a", Txn: name, Lane: "a", Body: body}
	if _, err := p.Write(platform.AppendRelay(nil, "h", m, time.Second, nil)); err != nil {
		t.Fatal(err)
	}
}

// readOutcome reads one response with the dispatcher's own parser, until the connection is free again.
func (p *dispatcherConn) readOutcome(t *testing.T, name string) (result logic.Result, content string) {
	t.Helper()
	ended, free := false, false
	r := platform.NewRelay(func(n platform.Note) {
		switch n.Kind {
		case platform.NoteEnded:
			ended, result, content = true, n.Result, string(n.Content)
		case platform.NoteFree:
			free = true
		}
	})
	r.Begin(name)
	b := make([]byte, 1)
	for !free {
		if _, err := p.r.Read(b); err != nil {
			if ended {
				return result, content
			}
			return logic.Broken, err.Error()
		}
		if err := r.Feed(b); err != nil {
			t.Fatal(err)
		}
	}
	return result, content
}

// Emulated hosts follow the protocol, as read by the dispatcher's own parser: reuse of a connection, errors, resets,
// cancellation, a crash and a restart at the same address.
func TestHosts(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	e, log := newFleet(t)
	defer e.Close()
	addr := e.hosts[0].addr(0)
	a := dial(t, addr)
	for i := range 3 { // one connection carries one job after another
		name := fmt.Sprintf("t%d", i)
		a.send(t, name, 100)
		if r, c := a.readOutcome(t, name); r != logic.Served || c != Answer(name, e.hosts[0].model.Name) {
			t.Fatalf("%v %q", r, c)
		}
	}
	e.applyOp(world.Op{Kind: world.OpErrors, Host: 0, On: true})
	a.send(t, "bad", 100)
	if r, _ := a.readOutcome(t, "bad"); r != logic.Failed {
		t.Errorf("a host that answers errors: %v", r)
	}
	e.applyOp(world.Op{Kind: world.OpErrors, Host: 0})
	e.applyOp(world.Op{Kind: world.OpReset, Host: 0, On: true})
	a.send(t, "reset", 100)
	if r, _ := a.readOutcome(t, "reset"); r != logic.Broken {
		t.Errorf("a host that resets: %v", r)
	}
	e.applyOp(world.Op{Kind: world.OpReset, Host: 0})
	// A dispatcher that closes its connection cancels the work.
	b := dial(t, addr)
	b.send(t, "given-up", 3_600_000_000)
	if line, err := b.r.ReadString('\n'); err != nil || !strings.Contains(line, "200") {
		t.Fatalf("%q %v", line, err)
	}
	b.Close()
	e.awaitHeld(t, 0, 0)
	// A crash resets open connections and refuses new ones; the address is the same after the restart.
	c := dial(t, addr)
	c.send(t, "lost", 3_600_000_000)
	e.awaitHeld(t, 0, 1)
	e.applyOp(world.Op{Kind: world.OpCrash, Host: 0})
	if r, _ := c.readOutcome(t, "lost"); r != logic.Broken {
		t.Errorf("after a crash: %v", r)
	}
	if k, err := net.Dial("tcp", addr); err == nil {
		k.Close()
		t.Error("a crashed host accepts connections")
	}
	// Another program may take the address in the meantime; once it releases the address, the host listens again.
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	e.applyOp(world.Op{Kind: world.OpRestart, Host: 0})
	ln.Close()
	for limit := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		if k, err := net.Dial("tcp", addr); err == nil {
			k.Close()
			break
		}
		if time.Now().After(limit) {
			t.Fatal("the host did not listen again")
		}
	}
	d := dial(t, addr)
	d.send(t, "again", 100)
	if r, _ := d.readOutcome(t, "again"); r != logic.Served {
		t.Errorf("after the restart %v", r)
	}
	if text := log.Check().String(); !strings.Contains(text, "given-up reached a host and no client sent it") {
		t.Errorf("the audit did not report it:\n%s", text)
	}
}

// A vanished host keeps its connections open without sending, and resets them when it is back.
func TestVanishedHost(t *testing.T) {
	e, _ := newFleet(t)
	defer e.Close()
	a := dial(t, e.hosts[1].addr(0))
	a.send(t, "t", 20_000)
	if _, err := a.r.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	e.applyOp(world.Op{Kind: world.OpVanish, Host: 1, On: true})
	e.awaitHeld(t, 1, 0) // the job ran, and the host did not report it
	e.applyOp(world.Op{Kind: world.OpVanish, Host: 1})
	text, err := io.ReadAll(a.r)
	if err == nil || strings.Contains(string(text), "done") {
		t.Errorf("after the host is back: %q, %v; want a reset", text, err)
	}
}

// A watch streams changes as they occur and ends when discovery goes down; new watches are refused until discovery
// is back.
func TestDiscovery(t *testing.T) {
	e, log := newFleet(t)
	defer e.Close()
	addr := e.discovery[0].ln.Addr().String()
	watch := func(index int) (*bufio.Reader, *http.Response) {
		c := dial(t, addr)
		fmt.Fprintf(c, "GET /v1/servers?stream=1&index=%d HTTP/1.1\r\nHost: d\r\n\r\n", index)
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			t.Fatal(err)
		}
		return bufio.NewReader(resp.Body), resp
	}
	lines, _ := watch(-1)
	line, err := lines.ReadString('\n')
	if err != nil || !strings.Contains(line, `"complete":true`) || strings.Count(line, `"ready"`) != 2 {
		t.Fatalf("%q %v", line, err)
	}
	e.applyOp(world.Op{Kind: world.OpDrain, Host: 0})
	for line = "\n"; line == "\n" && err == nil; line, err = lines.ReadString('\n') {
	}
	if err != nil || !strings.Contains(line, `"complete":false`) || strings.Count(line, `"draining"`) != 1 {
		t.Fatalf("%q %v", line, err)
	}
	e.applyOp(world.Op{Kind: world.OpDown, On: true})
	if _, err := io.ReadAll(lines); err == nil {
		t.Error("the watch ended as if it were complete")
	}
	if _, resp := watch(2); resp.StatusCode != 503 {
		t.Errorf("discovery is down and answers %d", resp.StatusCode)
	}
	e.applyOp(world.Op{Kind: world.OpDown})
	if _, resp := watch(2); resp.StatusCode != 200 {
		t.Errorf("discovery is back and answers %d", resp.StatusCode)
	}
	// The audit holds dispatchers to the member states that they were sent.
	log.Sent(0, "late", 0, 0)
	at := e.now() + 10_000_000
	log.Finish(at+1, "late", log.AttemptArrived(at, at, "late", e.hosts[0].model.Name, 0, 0), audit.NeverRan, "")
	if rep := log.Check(); rep.Rules[2].Broken != 1 {
		t.Errorf("an attempt ten seconds after the drain was published was not counted:\n%s", rep)
	}
}
