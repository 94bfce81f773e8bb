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
	"granitewing/internal/lab/link"
	"granitewing/internal/lab/mesh"
	"granitewing/internal/lab/portreserve"
	"granitewing/internal/lab/process"
	"granitewing/internal/lab/world"
	"granitewing/internal/record/pgstandin"
)

// cluster manages the dispatcher processes of one run, the links and addresses between them, and their store.
type cluster struct {
	day     *world.Day
	fleet   *emulate.Emulator
	log     *audit.Log
	variant world.Variant
	seed    uint64
	setup   Setup

	mu               sync.Mutex
	running          map[int]*process.Dispatcher
	addrs            map[int]string
	deadSince        map[int]int64         // by dispatcher, in microseconds since the start of the emulator
	pausedSince      map[int]int64         // likewise
	partitionedSince map[int]int64         // likewise, for those cut off from their clients
	opLocks          []sync.Mutex          // by dispatcher; serializes operations on its process
	stopping         []*process.Dispatcher // told to shut down; a successor of the same name may already be running
	crashes          []error
	cpu              []float64 // seconds, one value per process that has exited
	startCount       uint64    // numbers the processes for their seeds and file names
	closed           bool
	clientAddrs      []string // client listener, by dispatcher
	gossipAddrs      []string // fleet membership, by dispatcher
	heldPorts        []*portreserve.Port
	mesh             *mesh.Mesh
	clientGates      []*mesh.Gate // in front of each dispatcher, if the day has faults on client links
	clientLinks      []*link.Link // from clients to each dispatcher
	snapshots        []Snapshot
	pendingSnapshots sync.WaitGroup
	store            *pgstandin.Server
	storeMu          sync.Mutex // guards storeFaults
	storeFaults      pgstandin.Faults
}

// start starts dispatcher i at the address reserved for it. It does not hold mu while the process starts, so that
// several can start concurrently.
func (c *cluster) start(i int) error {
	c.mu.Lock()
	c.startCount++
	number, listen := c.startCount, c.clientAddrs[i]
	c.mu.Unlock()
	config, err := c.day.Config(i, c.seed+1000*number, c.fleet.Addresses(i, listen), c.variant.Set)
	if err != nil {
		return err
	}
	var args []string
	if own := c.settingsFor(i); own != "" {
		path := c.settingsPath(i)
		if err := os.WriteFile(path, []byte(own), 0o600); err != nil {
			return err
		}
		args = []string{"serve", "--log", "text", "--settings", path}
	}
	d, err := process.Start(c.setup.Program, c.setup.Dir, fmt.Sprintf("%s-%d-n%d-%d", c.variant.Name, c.seed, i, number), config, args...)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		d.Kill()
		return nil
	}
	c.running[i], c.addrs[i] = d, d.Addr
	return nil
}

// maxConcurrentStarts bounds the number of processes that start at a time, so that each gets its share of the
// machine.
const maxConcurrentStarts = 8

// startAll starts all dispatchers and waits until they are ready.
func (c *cluster) startAll(ctx context.Context) error {
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentStarts)
	errs := make([]error, c.day.Dispatchers)
	for i := range c.day.Dispatchers {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			if errs[i] = ctx.Err(); errs[i] == nil {
				errs[i] = c.start(i)
			}
		})
	}
	wait.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for i, d := range c.running {
		if err := d.Ready(ctx); err != nil {
			return fmt.Errorf("dispatcher %d: %w", i, err)
		}
	}
	return nil
}

func (c *cluster) settingsPath(i int) string {
	return filepath.Join(c.setup.Dir, fmt.Sprintf("%s-%d-n%d.sexp", c.variant.Name, c.seed, i))
}

// readRecords verifies and exports the message records of all dispatchers with the dispatcher's own "records"
// commands.
func (c *cluster) readRecords() ([]audit.Record, error) {
	var all []audit.Record
	if c.store != nil {
		c.store.Set(pgstandin.Faults{}) // the run is over, so the store is read without faults
	}
	for i := range c.day.Dispatchers {
		if c.store != nil && i > 0 {
			break // one database holds the records of all dispatchers
		}
		for _, verb := range []string{"verify", "export"} {
			out, err := exec.Command(c.setup.Program, "records", verb, "--settings", c.settingsPath(i)).Output()
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

// applyOp carries out an operation on a dispatcher's process, its admin endpoint, its links or its store.
func (c *cluster) applyOp(op world.Op) {
	i, now := op.Host, time.Since(c.fleet.StartTime()).Microseconds()
	switch op.Kind {
	case world.OpCordon, world.OpQuiesce:
		c.adminCall(op)
		return
	case world.OpStoreSilent, world.OpStoreSlow, world.OpStoreResets:
		c.applyStoreFault(op)
		return
	case world.OpPeers, world.OpClients:
		c.applyLinkFaults(op)
		return
	case world.OpReadCounters:
		c.takeSnapshot(op)
		return
	}
	// Operations on one dispatcher are serialized: a kill waits until a start is complete, and no dispatcher is started
	// twice.
	c.opLocks[i].Lock()
	defer c.opLocks[i].Unlock()
	if op.Kind == world.OpRestartDispatcher {
		c.restartDispatcher(i)
		return
	}
	now = time.Since(c.fleet.StartTime()).Microseconds()
	c.mu.Lock()
	d := c.running[i]
	if c.closed || d == nil {
		c.mu.Unlock()
		return
	}
	switch op.Kind {
	case world.OpKill:
		c.deadSince[i] = now
		delete(c.running, i)
	case world.OpStopDispatcher:
		c.stopping = append(c.stopping, d)
		delete(c.running, i)
	}
	c.mu.Unlock()
	switch op.Kind {
	case world.OpKill:
		d.Kill()
		c.recordExit(i, d, nil)
	case world.OpStopDispatcher:
		go func() {
			err := d.Stop()
			if errors.Is(err, process.ErrKilled) {
				// Stop sent SIGTERM and, when the process did not exit, SIGKILL, as a platform does. Requests that
				// arrived before the SIGTERM and were still running are lost with the process; requests that arrived
				// later are not excused.
				c.log.Killed(i, d.Killed().Sub(c.fleet.StartTime()).Microseconds(), now)
				err = nil
			}
			c.recordExit(i, d, err)
		}()
	case world.OpPause:
		if err := d.Pause(op.On); err != nil {
			slog.Error("dispatcher could not be paused or continued", "dispatcher", i, "cause", err)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if op.On {
			c.pausedSince[i] = now
		} else if from, was := c.pausedSince[i]; was {
			delete(c.pausedSince, i)
			c.log.Killed(i, from, now)
		}
	}
}

// recordExit records the CPU time and the error of a process that has exited.
func (c *cluster) recordExit(i int, d *process.Dispatcher, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cpu = append(c.cpu, d.CPU().Seconds())
	c.stopping = slices.DeleteFunc(c.stopping, func(o *process.Dispatcher) bool { return o == d })
	if err != nil {
		slog.Error("dispatcher exited with an error", "number", i, "cause", err)
		c.crashes = append(c.crashes, err)
	}
}

// adminCall sends an operator command to the admin endpoints: every running dispatcher cordons or uncordons a host,
// or one dispatcher quiesces or resumes. A dispatcher that is down at that time, or that restarts later, does not
// receive the command.
func (c *cluster) adminCall(op world.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := c.day.Machines[op.Host].Name
	line, to := "uncordon "+name, c.running
	switch {
	case op.Kind == world.OpCordon && op.On:
		line = "cordon " + name
	case op.Kind == world.OpQuiesce:
		line, to = "resume", map[int]*process.Dispatcher{}
		if op.On {
			line = "quiesce"
		}
		if d := c.running[op.Host]; d != nil {
			to[op.Host] = d
		}
	}
	for i, d := range to {
		if answer, err := d.Call(line); err != nil || !strings.HasPrefix(answer, "YES") {
			slog.Error("admin command was rejected", "dispatcher", i, "call", line, "answer", answer, "cause", err)
		}
	}
}

// applyStoreFault sets the faults of the store. It uses a lock of its own: other code may hold mu while it waits for
// a dispatcher that starts during an outage of the store, and ending the outage must not wait for that.
func (c *cluster) applyStoreFault(op world.Op) {
	c.storeMu.Lock()
	defer c.storeMu.Unlock()
	switch op.Kind {
	case world.OpStoreSilent:
		c.storeFaults.Silent = op.On
	case world.OpStoreSlow:
		c.storeFaults.Delay = op.Lag
	}
	f := c.storeFaults
	if op.Kind == world.OpStoreResets {
		f.ResetAfter, f.ResetBefore = op.Host/2, op.Host-op.Host/2
	}
	c.store.Set(f)
}

// sumMetrics sums the metrics of the running dispatchers' admin endpoints. A dispatcher that was restarted counts
// from its last start only.
func (c *cluster) sumMetrics() (map[string]float64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := map[string]float64{}
	for i, d := range c.running {
		f, err := d.Counters()
		if err != nil {
			return nil, fmt.Errorf("dispatcher %d: %w", i, err)
		}
		for name, v := range f {
			sum[name] += v
		}
	}
	return sum, nil
}

// stop shuts down all dispatchers gracefully and concurrently, and returns the errors of all that crashed. Calling
// it again has no effect.
func (c *cluster) stop() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	defer func() {
		for _, g := range c.clientGates {
			g.Close()
		}
		if c.mesh != nil {
			c.mesh.Close()
		}
		for _, p := range c.heldPorts {
			p.Release()
		}
	}()
	now := time.Since(c.fleet.StartTime()).Microseconds()
	for i, from := range c.deadSince {
		c.log.Killed(i, from, now)
	}
	for i, from := range c.partitionedSince {
		c.log.Killed(i, from, now)
	}
	for i, from := range c.pausedSince {
		c.log.Killed(i, from, now)
		if d := c.running[i]; d != nil {
			d.Pause(false) // a stopped process handles SIGTERM only after it is continued
		}
	}
	var restart []int
	for i := range c.deadSince {
		if c.day.Records {
			restart = append(restart, i)
		}
	}
	c.mu.Unlock()
	for _, i := range restart {
		// Records that it left open in its store are settled only by a new start.
		if err := c.start(i); err != nil {
			return fmt.Errorf("a dispatcher that was down at the end of the run did not start to settle its records: %w", err)
		}
	}
	c.mu.Lock()
	c.closed = true
	running, leaving := c.running, slices.Clone(c.stopping)
	c.mu.Unlock()
	var wait sync.WaitGroup
	for i, d := range running {
		// An error here means that the process crashed. Its open requests are not excused, and the report shows the
		// crash.
		wait.Go(func() { c.recordExit(i, d, d.Stop()) })
	}
	for _, d := range leaving {
		wait.Go(func() { d.Kill() })
	}
	wait.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Join(c.crashes...)
}
