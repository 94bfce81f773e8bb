package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"granitewing/internal/lab/audit"
	"granitewing/internal/lab/emulate"
	"granitewing/internal/lab/hold"
	"granitewing/internal/lab/link"
	"granitewing/internal/lab/mesh"
	"granitewing/internal/lab/stage"
	"granitewing/internal/lab/world"
	"granitewing/internal/record/pgstandin"
)

// theatre keeps the dispatchers of a play.
type cluster struct {
	day     *world.Day
	fleet   *emulate.Emulator
	log     *audit.Log
	variant world.Variant
	seed    uint64
	setup   Setup

	mu               sync.Mutex
	running          map[int]*stage.Dispatcher
	addrs            map[int]string
	deadSince        map[int]int64
	pausedSince      map[int]int64
	partitionedSince map[int]int64       // from its clients
	opLocks          []sync.Mutex        // by dispatcher
	stopping         []*stage.Dispatcher // told to end; another of the name may run already
	crashes          []error
	cpu              []float64
	startCount       uint64
	closed           bool
	clientAddrs      []string // where each listens for clients
	gossipAddrs      []string // where each takes part in a fleet
	heldPorts        []*hold.Port
	mesh             *mesh.Mesh
	clientGates      []*mesh.Gate // of clients, where a day disturbs them
	clientLinks      []*link.Link // of clients to each dispatcher
	snapshots        []Look
	pendingSnapshots sync.WaitGroup
	store            *pgstandin.Server
	storeMu          sync.Mutex // guards faults
	storeFaults      pgstandin.Faults
}

// start starts a dispatcher, at the address that is held for it. The lock is not held: others start meanwhile.
func (t *cluster) start(i int) error {
	t.mu.Lock()
	t.startCount++
	number, listen := t.startCount, t.clientAddrs[i]
	t.mu.Unlock()
	config, err := t.day.Config(i, t.seed+1000*number, t.fleet.Place(i, listen), t.variant.Set)
	if err != nil {
		return err
	}
	var args []string
	if own := t.settingsFor(i); own != "" {
		path := t.settingsPath(i)
		if err := os.WriteFile(path, []byte(own), 0o600); err != nil {
			return err
		}
		args = []string{"serve", "--log", "text", "--settings", path}
	}
	d, err := stage.Start(t.setup.Program, t.setup.Dir, fmt.Sprintf("%s-%d-n%d-%d", t.variant.Name, t.seed, i, number), config, args...)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		d.Kill()
		return nil
	}
	t.running[i], t.addrs[i] = d, d.Addr
	return nil
}

// startMost bounds how many processes start at a time, so that each gets its share of the machine.
const maxConcurrentStarts = 8

// startAll starts all dispatchers and waits until they are ready.
func (t *cluster) startAll(ctx context.Context) error {
	var wait sync.WaitGroup
	room := make(chan struct{}, maxConcurrentStarts)
	errs := make([]error, t.day.Dispatchers)
	for i := range t.day.Dispatchers {
		room <- struct{}{}
		wait.Go(func() {
			defer func() { <-room }()
			if errs[i] = ctx.Err(); errs[i] == nil {
				errs[i] = t.start(i)
			}
		})
	}
	wait.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for i, d := range t.running {
		if err := d.Ready(ctx); err != nil {
			return fmt.Errorf("dispatcher %d: %w", i, err)
		}
	}
	return nil
}

func (t *cluster) settingsPath(i int) string {
	return filepath.Join(t.setup.Dir, fmt.Sprintf("%s-%d-n%d.sexp", t.variant.Name, t.seed, i))
}

// records reads what the dispatchers have recorded, by their own verb.
func (t *cluster) readRecords() ([]audit.Record, error) {
	var all []audit.Record
	if t.store != nil {
		t.store.Set(pgstandin.Faults{}) // it is read when all is over
	}
	for i := range t.day.Dispatchers {
		if t.store != nil && i > 0 {
			break // one database holds the records of all
		}
		for _, verb := range []string{"verify", "export"} {
			out, err := exec.Command(t.setup.Program, "records", verb, "--settings", t.settingsPath(i)).Output()
			if err != nil {
				var exit *exec.ExitError
				if errors.As(err, &exit) {
					err = fmt.Errorf("%w: %s", err, exit.Stderr)
				}
				return nil, fmt.Errorf("records %s of dispatcher %d: %w", verb, i, err)
			}
			if verb == "verify" {
				continue
			}
			for d := json.NewDecoder(bytes.NewReader(out)); d.More(); {
				var r audit.Record
				if err := d.Decode(&r); err != nil {
					return nil, err
				}
				all = append(all, r)
			}
		}
	}
	return all, nil
}

// operate carries out what happens to a dispatcher's process, its door or its store.
func (t *cluster) applyOp(op world.Op) {
	i, now := op.Host, time.Since(t.fleet.Start()).Microseconds()
	switch op.Kind {
	case world.OpCordon, world.OpQuiesce:
		t.adminCall(op)
		return
	case world.OpStoreSilent, world.OpStoreSlow, world.OpStoreResets:
		t.applyStoreFault(op)
		return
	case world.OpPeers, world.OpClients:
		t.applyLinkFaults(op)
		return
	case world.OpLook:
		t.takeSnapshot(op)
		return
	}
	// What happens to one dispatcher happens in its order: a kill waits until a start is over, and no start is made twice.
	t.opLocks[i].Lock()
	defer t.opLocks[i].Unlock()
	if op.Kind == world.OpRevive {
		t.restartDispatcher(i)
		return
	}
	now = time.Since(t.fleet.Start()).Microseconds()
	t.mu.Lock()
	d := t.running[i]
	if t.closed || d == nil {
		t.mu.Unlock()
		return
	}
	switch op.Kind {
	case world.OpKill:
		t.deadSince[i] = now
		delete(t.running, i)
	case world.OpEnd:
		t.stopping = append(t.stopping, d)
		delete(t.running, i)
	}
	t.mu.Unlock()
	switch op.Kind {
	case world.OpKill:
		d.Kill()
		t.recordExit(i, d, nil)
	case world.OpEnd:
		go func() {
			err := d.Stop()
			if errors.Is(err, stage.ErrKilled) {
				// As a platform does it. What came before SIGTERM and would have run on is lost with it; a later one is not.
				t.log.Killed(i, d.Killed().Sub(t.fleet.Start()).Microseconds(), now)
				err = nil
			}
			t.recordExit(i, d, err)
		}()
	case world.OpPause:
		if err := d.Pause(op.On); err != nil {
			slog.Error("a dispatcher was not stopped or continued", "dispatcher", i, "cause", err)
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if op.On {
			t.pausedSince[i] = now
		} else if from, was := t.pausedSince[i]; was {
			delete(t.pausedSince, i)
			t.log.Killed(i, from, now)
		}
	}
}

// ended books a process that is over.
func (t *cluster) recordExit(i int, d *stage.Dispatcher, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cpu = append(t.cpu, d.CPU().Seconds())
	t.stopping = slices.DeleteFunc(t.stopping, func(o *stage.Dispatcher) bool { return o == d })
	if err != nil {
		slog.Error("dispatcher", "number", i, "cause", err)
		t.crashes = append(t.crashes, err)
	}
}

// call makes an operators' call at the doors: each running dispatcher cordons a host or puts it back, or one dispatcher
// drains or resumes. A dispatcher that is dead meanwhile, or one that is started again, does not hear of it.
func (t *cluster) adminCall(op world.Op) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := t.day.Machines[op.Host].Name
	line, to := "uncordon "+name, t.running
	switch {
	case op.Kind == world.OpCordon && op.On:
		line = "cordon " + name
	case op.Kind == world.OpQuiesce:
		line, to = "resume", map[int]*stage.Dispatcher{}
		if op.On {
			line = "quiesce"
		}
		if d := t.running[op.Host]; d != nil {
			to[op.Host] = d
		}
	}
	for i, d := range to {
		if answer, err := d.Call(line); err != nil || !strings.HasPrefix(answer, "YES") {
			slog.Error("a call was not taken", "dispatcher", i, "call", line, "answer", answer, "cause", err)
		}
	}
}

// disturb sets what goes wrong at the store. It has a lock of its own: a dispatcher that starts while the store is silent
// is waited for under the other one, and the end of the silence must not wait for it.
func (t *cluster) applyStoreFault(op world.Op) {
	t.storeMu.Lock()
	defer t.storeMu.Unlock()
	switch op.Kind {
	case world.OpStoreSilent:
		t.storeFaults.Silent = op.On
	case world.OpStoreSlow:
		t.storeFaults.Delay = op.Lag
	}
	f := t.storeFaults
	if op.Kind == world.OpStoreResets {
		f.ResetAfter, f.ResetBefore = op.Host/2, op.Host-op.Host/2
	}
	t.store.Set(f)
}

// figures sums what the doors of the running dispatchers count. Those of a dispatcher that was restarted count from its
// start only.
func (t *cluster) sumMetrics() (map[string]float64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := map[string]float64{}
	for i, d := range t.running {
		f, err := d.Figures()
		if err != nil {
			return nil, fmt.Errorf("dispatcher %d: %w", i, err)
		}
		for name, v := range f {
			sum[name] += v
		}
	}
	return sum, nil
}

// end ends all dispatchers in order, at once, and tells what went wrong.
func (t *cluster) stop() error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil
	}
	defer func() {
		for _, g := range t.clientGates {
			g.Close()
		}
		if t.mesh != nil {
			t.mesh.Close()
		}
		for _, p := range t.heldPorts {
			p.Release()
		}
	}()
	now := time.Since(t.fleet.Start()).Microseconds()
	for i, from := range t.deadSince {
		t.log.Killed(i, from, now)
	}
	for i, from := range t.partitionedSince {
		t.log.Killed(i, from, now)
	}
	for i, from := range t.pausedSince {
		t.log.Killed(i, from, now)
		if d := t.running[i]; d != nil {
			d.Pause(false) // SIGTERM waits for it
		}
	}
	var again []int
	for i := range t.deadSince {
		if t.day.Records {
			again = append(again, i)
		}
	}
	t.mu.Unlock()
	for _, i := range again {
		// Its store has what it left open until a start settles it.
		if err := t.start(i); err != nil {
			return fmt.Errorf("a dispatcher that was dead at the end did not start to settle its records: %w", err)
		}
	}
	t.mu.Lock()
	t.closed = true
	running, leaving := t.running, slices.Clone(t.stopping)
	t.mu.Unlock()
	var wait sync.WaitGroup
	for i, d := range running {
		// It crashed where this gives an error: whatever it held is not excused, and the report says so.
		wait.Go(func() { t.recordExit(i, d, d.Stop()) })
	}
	for _, d := range leaving {
		wait.Go(func() { d.Kill() })
	}
	wait.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return errors.Join(t.crashes...)
}
