package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"granitewing/internal/testing/exchange"
	"granitewing/logic"
)

func testConfig() logic.Config {
	class := func(r logic.Repeat) logic.Class {
		return logic.Class{TargetLatency: 500_000, TargetPerWork: 2, Deadline: 3_000_000, Value: 1, Repeat: r, Window: 40_000_000, WorkerKind: -1}
	}
	return logic.Config{
		Classes:    []logic.Class{class(logic.RepeatSafe), class(logic.RepeatKeyed), class(logic.RepeatUnsafe)},
		Resolution: 1000, MaxAttempts: 3, MayCancel: true, ReportsStart: true, NeedsSubscription: true, MaxOpen: 2,
	}
}

var (
	classes = []string{"safe", "keyed", "unsafe"}
	results = []string{"served", "failed", "refused", "timedout", "connectfailed", "broken"}
	lists   = []string{"cached", "asking-failed", "full", "delta"}
	phases  = []string{"gone", "ready", "draining"}
	answers = []string{"served", "refused", "failed", "duplicate"}
)

// scriptRunner applies the events of a script to a core. Time advances by one millisecond per event.
type scriptRunner struct {
	c   *Core
	now int64
	out strings.Builder
}

func (p *scriptRunner) run(t *testing.T, line string) {
	p.now += 1000
	fmt.Fprintf(&p.out, "> %s\n", line)
	f := strings.Fields(line)
	var r AttemptID
	if len(f) > 1 {
		fmt.Sscanf(f[1], "%d/%d", &r.Message, &r.Attempt)
	}
	var cmds []Command
	switch f[0] {
	case "inventory": // list kind, then name[=phase[@address]] per host
		var hosts []Host
		for _, e := range f[2:] {
			e, addr, moved := strings.Cut(e, "@")
			name, phase, _ := strings.Cut(e, "=")
			if !moved {
				addr = name
			}
			hosts = append(hosts, Host{Name: name, Addr: addr, Cell: int(name[2]), Phase: logic.Phase(max(slices.Index(phases, phase), 0))})
			if phase == "" {
				hosts[len(hosts)-1].Phase = logic.Ready
			}
		}
		cmds = p.c.Inventory(p.now, logic.ListKind(slices.Index(lists, f[1])), hosts)
	case "arrive": // class, then optionally the client's name for the message
		m := Message{Class: slices.Index(classes, f[1])}
		if len(f) > 2 {
			m.Name = f[2]
		}
		_, cmds = p.c.Arrive(p.now, m, p.now+2_000_000)
	case "cordon", "uncordon": // host name
		var known bool
		known, cmds = p.c.Cordon(p.now, f[1], f[0] == "cordon")
		if !known {
			fmt.Fprintf(&p.out, "no %s\n", f[1])
		}
	case "restore": // name of a host that an earlier process cordoned
		cmds = p.c.Restore(p.now, f[1])
	case "retries": // tokens per first attempt, and capacity
		var share, most float64
		fmt.Sscan(f[1]+" "+f[2], &share, &most)
		p.c.Retries(share, most)
	case "census":
		listed, avoided := p.c.HostCounts()
		fmt.Fprintf(&p.out, "%d listed, %d avoided\n", listed, avoided)
	case "started":
		cmds = p.c.Started(p.now, r)
	case "taken":
		cmds = p.c.Taken(p.now, r)
	case "progress":
		cmds = p.c.Progress(p.now, r, 0.5)
	case "ended":
		cmds = p.c.Ended(p.now, r, logic.Result(slices.Index(results, f[2])), []byte("swell"))
	case "hangup":
		cmds = p.c.ClientGone(p.now, r.Message)
	case "expire":
		cmds = p.c.Expire(p.now, r.Message)
	case "wait":
		wait := int64(2000) // milliseconds, unless the event names another number
		if len(f) > 1 {
			fmt.Sscan(f[1], &wait)
		}
		p.now += wait * 1000
		cmds = p.c.Wake(p.now)
	default:
		t.Fatalf("unknown event %q", line)
	}
	p.printCommands(cmds)
	fmt.Fprintf(&p.out, "%d open\n", p.c.Open())
}

func (p *scriptRunner) printCommands(cmds []Command) {
	for _, c := range cmds {
		switch c.Kind {
		case Send:
			fmt.Fprintf(&p.out, "send %d/%d to %s\n", c.Attempt.Message, c.Attempt.Attempt, c.Addr)
		case Drop:
			fmt.Fprintf(&p.out, "drop %d/%d\n", c.Attempt.Message, c.Attempt.Attempt)
		case Answer:
			fmt.Fprintf(&p.out, "answer %d %s %s\n", c.Attempt.Message, answers[c.Verdict], c.Content)
		case Watch:
			p.out.WriteString("watch\n")
		case CloseIdle:
			fmt.Fprintf(&p.out, "leave %s\n", c.Addr)
		}
	}
}

// The core answers each script of events with exactly the commands that the script states.
func TestScripts(t *testing.T) {
	for _, s := range exchange.Load(t, "testdata/core.txtar").Files {
		t.Run(s.Name, func(t *testing.T) {
			c, err := New(testConfig(), 7)
			if err != nil {
				t.Fatal(err)
			}
			p := &scriptRunner{c: c, now: 1_000_000_000}
			for line := range strings.Lines(string(s.Data)) {
				if event, ok := strings.CutPrefix(line, "> "); ok {
					p.run(t, strings.TrimSpace(event))
				}
			}
			if diff := cmp.Diff(string(s.Data), p.out.String()); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// A send that a rule forbids is not made, even if the decision module asks for it.
func TestForbiddenSendsAreNotMade(t *testing.T) {
	for name, change := range map[string]func(*Core, *message){
		"to a draining host":                   func(c *Core, _ *message) { c.hosts[0xb].Phase = logic.Draining },
		"to a host that is gone":               func(c *Core, _ *message) { delete(c.hosts, 0xb) },
		"to a cordoned host":                   func(c *Core, _ *message) { c.cordoned["s-b"] = true },
		"while another attempt is outstanding": func(_ *Core, m *message) { m.attempts[0].outstanding, m.outstanding = true, 1 },
		"after the answer":                     func(_ *Core, m *message) { m.answered = true },
		"beyond the attempt limit":             func(c *Core, _ *message) { c.cfg.MaxAttempts = 1 },
		"none of these":                        func(*Core, *message) {},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := New(testConfig(), 7)
			if err != nil {
				t.Fatal(err)
			}
			now := int64(1_000_000_000)
			c.Inventory(now, logic.ListFull, []Host{{Name: "s-a", Addr: "a", Phase: logic.Ready}, {Name: "s-b", Addr: "b", Phase: logic.Ready}})
			id, _ := c.Arrive(now, Message{}, now+2_000_000)
			m := c.messages[id]
			m.attempts[0].outstanding, m.outstanding = false, 0
			change(c, m)
			c.resetOutput()
			c.actions = append(c.actions, logic.Action{Kind: logic.ActSend, Job: id, Worker: 0xb, Timeout: 1000})
			sent := slices.ContainsFunc(c.applyActions(now), func(k Command) bool { return k.Kind == Send })
			if want := strings.HasPrefix(name, "none"); sent != want {
				t.Errorf("sent %t, want %t", sent, want)
			}
		})
	}
}

// A host may drain, leave or be cordoned, or the client may disconnect, while the connection for an attempt is
// being made. The attempt must not start then.
func TestMayAfterLateConnect(t *testing.T) {
	host := func(phase logic.Phase) []Host { return []Host{{Name: "s-a", Addr: "a", Phase: phase}} }
	for name, change := range map[string]func(c *Core, now int64){
		"host drains":     func(c *Core, now int64) { c.Inventory(now, logic.ListDelta, host(logic.Draining)) },
		"host gone":       func(c *Core, now int64) { c.Inventory(now, logic.ListDelta, host(logic.Gone)) },
		"host cordoned":   func(c *Core, now int64) { c.Cordon(now, "s-a", true) },
		"client left":     func(c *Core, now int64) { c.ClientGone(now, 1) },
		"nothing changed": func(*Core, int64) {},
	} {
		c, err := New(testConfig(), 7)
		if err != nil {
			t.Fatal(err)
		}
		now := int64(1_000_000_000)
		c.Inventory(now, logic.ListFull, host(logic.Ready))
		id, cmds := c.Arrive(now, Message{}, now+2_000_000)
		if len(cmds) == 0 || cmds[0].Kind != Send {
			t.Fatalf("%s: nothing sent: %v", name, cmds)
		}
		change(c, now+1)
		if got, want := c.MayStart(0, AttemptID{id, 0}), name == "nothing changed"; got != want {
			t.Errorf("%s: MayStart %t, want %t", name, got, want)
		}
	}
}

// A connection for a repeat of a keyed message may come up after the repeat window of the first attempt, or so
// shortly before its end that the window may be over when the bytes are written. The repeat must not start then,
// because no host would drop it as a duplicate.
func TestNoRepeatPastWindow(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].Repeat, cfg.Classes[0].Group, cfg.Classes[0].Window, cfg.MaxAttempts = logic.RepeatKeyed, logic.GroupAll, 250_000, 3
	for result, neverRan := range map[logic.Result]bool{logic.Broken: false, logic.Refused: true} {
		c, err := New(cfg, 7)
		if err != nil {
			t.Fatal(err)
		}
		now := int64(1_000_000_000)
		c.Inventory(now, logic.ListFull, []Host{{Name: "s-a", Addr: "a", Phase: logic.Ready}, {Name: "s-b", Addr: "b", Phase: logic.Ready}})
		id, _ := c.Arrive(now, Message{}, now+2_000_000)
		if cmds := c.Ended(now+20_000, AttemptID{id, 0}, result, nil); !slices.ContainsFunc(cmds, func(k Command) bool { return k.Kind == Send }) {
			t.Fatalf("after %v: not sent again: %v", result, cmds)
		}
		if !c.MayStart(now+80_000, AttemptID{id, 1}) {
			t.Errorf("after %v: MayStart refuses the repeat within the window", result)
		}
		if got := c.MayStart(now+101_000, AttemptID{id, 1}); got != neverRan {
			t.Errorf("after %v: MayStart after the window: %t", result, got)
		}
	}
}

// Dispatchers that share no state agree on hosts by their ids.
func TestWorkerIDs(t *testing.T) {
	for name, want := range map[string]logic.WorkerID{"s-5be2a07c": 0x5be2a07c, "s-0a": 10, "buoy": 0x6542249c} {
		if got := workerIDOf(name); got != want {
			t.Errorf("%s: %#x, want %#x", name, got, want)
		}
	}
	c, _ := New(testConfig(), 7)
	c.Inventory(1, logic.ListFull, []Host{{Name: "s-0a", Phase: logic.Ready}, {Name: "s-a", Phase: logic.Ready}})
	if got := []logic.WorkerID{c.workerIDs["s-0a"], c.workerIDs["s-a"]}; !cmp.Equal(got, []logic.WorkerID{10, 11}) {
		t.Errorf("ids of two names that collide: %v, want 10 and 11", got)
	}
}
