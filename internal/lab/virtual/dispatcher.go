package virtual

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"granitewing/internal/dispatch"
	"granitewing/internal/fleet/admission"
	"granitewing/internal/fleet/ejection"
	"granitewing/internal/fleet/ledger"
	"granitewing/internal/lab/client"
	"granitewing/internal/lab/model"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// Times in microseconds.
const (
	clientDelay        = 600       // one way between a client and its dispatcher
	answerTolerance    = 60000     // an answer that is late by no more than this still counts
	expireAfter        = 20000     // after the deadline: the driver's fallback if the core has not completed the message
	frontEndRetryDelay = 3_000_000 // for which the front end sends nothing to a dispatcher whose connections failed
	frontEndDrainDelay = 300_000   // for which the front end still sends new connections to a draining dispatcher
)

// dispatcher is one dispatcher's core with the state that its driver keeps in production.
type dispatcher struct {
	sim          *simulation
	number       int
	zone         int
	rng          *rand.Rand
	core         dispatcherCore
	generation   int // number of its process; events scheduled for an earlier process are dropped
	down         bool
	downSince    int64
	avoidedUntil int64 // the front end sends no clients here before this time
	// Whether an operator drains the dispatcher, and since when. /healthz fails at once; the front end, which polls it
	// every 0.1 s, sends new connections for 0.2 s more.
	draining      bool
	drainingSince int64
	names         platform.Names
	listRevision  int64 // revision of the host list that the core has; -1 if the whole list must be requested
	watching      bool
	requests      map[dispatch.ID]*clientRequest
	attempts      map[dispatch.AttemptID]*attempt
	wakeSeq       int
	readyHosts    map[string]bool // hosts reported as ready
	classes       []logic.Class

	name      string
	limits    ledger.Limits
	ledger    *ledger.Ledger // reports of the other dispatchers, if they share their state
	hostIDs   []logic.WorkerID
	reportSeq uint64

	ejector       *ejection.Ejector
	ejectorCore   *dispatch.Core // the core that ejector was made for; a restart replaces both
	admission     *admission.Admission
	admissionCore *dispatch.Core // the core that admission was made for; a restart replaces both
	gangs         *gangs         // nil if no class runs in parts
}

// start starts the dispatcher's process with a fresh core.
func (d *dispatcher) start() error {
	d.generation++
	cfg, err := d.sim.readConfig(d.number, d.sim.options.Seed+uint64(d.generation)*1000)
	if err != nil {
		return err
	}
	d.core, err = d.sim.newCore(cfg, d)
	if err != nil {
		return err
	}
	d.newLedger()
	d.startGangs()
	d.names, d.classes = cfg.Names(), cfg.Settings.Classes
	d.down, d.watching, d.listRevision = false, false, cfg.Known.Revision
	d.requests, d.attempts, d.readyHosts = map[dispatch.ID]*clientRequest{}, map[dispatch.AttemptID]*attempt{}, map[string]bool{}
	d.execute(d.callCore(func(now int64) []dispatch.Command { return d.core.Inventory(now, logic.ListCached, cfg.Known.Hosts) }))
	return nil
}

// cordon excludes a host from new work or puts it back, as an operator does through the admin endpoint. Policies other
// than the module's do not support cordons and ignore the call.
func (d *dispatcher) cordon(host string, on bool) {
	c, ok := d.core.(interface {
		Cordon(now int64, name string, on bool) (bool, []dispatch.Command)
	})
	if d.down || !ok {
		return
	}
	d.execute(d.callCore(func(now int64) []dispatch.Command {
		_, cmds := c.Cordon(now, host, on)
		return cmds
	}))
}

// callCore makes one call of the core and measures its duration if Options.Measure is set.
func (d *dispatcher) callCore(f func(now int64) []dispatch.Command) []dispatch.Command {
	now := d.sim.now
	if !d.sim.options.Measure {
		return slices.Clone(f(now))
	}
	started := time.Now()
	out := f(now)
	d.sim.coreCPU += time.Since(started)
	return slices.Clone(out)
}

// execute executes the core's commands as the driver does.
func (d *dispatcher) execute(cmds []dispatch.Command) {
	sim := d.sim
	for _, c := range cmds {
		switch c.Kind {
		case dispatch.Send:
			d.startAttempt(c)
		case dispatch.Drop:
			d.cancelAttempt(c.Attempt)
		case dispatch.Answer:
			if req := d.requests[c.Attempt.Message]; req != nil {
				delete(d.requests, c.Attempt.Message)
				d.answerClient(req, c)
			}
		case dispatch.Wake:
			d.scheduleWake(c.At)
		case dispatch.Watch:
			// Discovery is reached over the network, and the call fails while discovery is down.
			gen := d.generation
			sim.after(1000, func() {
				if d.generation != gen || d.down {
					return
				}
				if sim.discoveryDown || sim.discoverySilent {
					d.failWatch()
					return
				}
				d.watching = true
				d.updateInventory()
			})
		}
	}
}

// scheduleWake schedules a wake-up of the core; it replaces an earlier one.
func (d *dispatcher) scheduleWake(at int64) {
	d.wakeSeq++
	seq, gen := d.wakeSeq, d.generation
	d.sim.schedule(max(at, d.sim.now), func() {
		if d.wakeSeq == seq && d.generation == gen && !d.down {
			d.execute(d.callCore(func(now int64) []dispatch.Command { return d.core.Wake(now) }))
		}
	})
}

// updateInventory passes the changes of discovery's list since the last known revision to the core.
func (d *dispatcher) updateInventory() {
	sim := d.sim
	if !d.watching || d.down || sim.discoveryDown || sim.discoverySilent || d.listRevision == sim.directory.Revision() {
		return
	}
	members, complete := sim.directory.Since(d.listRevision)
	d.listRevision = sim.directory.Revision()
	hosts := make([]dispatch.Host, 0, len(members))
	for _, m := range members {
		h := dispatch.Host{Name: m.ID, Addr: m.ID, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, Weight: m.Size, UpSince: m.UpSince}
		switch m.Phase {
		case model.Ready:
			h.Phase = logic.Ready
		case model.Draining:
			h.Phase = logic.Draining
		}
		hosts = append(hosts, h)
		if sim.options.Log != nil {
			sim.options.Log.StateSent(sim.now, d.number, m.ID, m.Phase == model.Ready)
		}
	}
	how := logic.ListDelta
	if complete {
		how = logic.ListFull
	}
	d.execute(d.callCore(func(now int64) []dispatch.Command { return d.core.Inventory(now, how, hosts) }))
}

// failWatch reports to the core that its watch of discovery has failed.
func (d *dispatcher) failWatch() {
	if d.down {
		return
	}
	d.watching = false
	d.execute(d.callCore(func(now int64) []dispatch.Command { return d.core.Inventory(now, logic.ListFailed, nil) }))
}

// startAttempt starts an attempt.
func (d *dispatcher) startAttempt(c dispatch.Command) {
	req := d.requests[c.Attempt.Message]
	h := d.sim.hostsByName[c.Addr]
	if req == nil || h == nil {
		return
	}
	a := &attempt{request: req, id: c.Attempt, dispatcher: d, generation: d.generation, host: h, gang: c.Gang}
	d.attempts[c.Attempt] = a
	req.attempts[c.Attempt.Attempt] = a
	d.sim.after(d.sim.networkDelay(d, h), func() {
		if !a.ended {
			d.sim.deliverAttempt(a)
		}
	})
	d.sim.after(c.Until-d.sim.now, func() {
		if !a.ended && d.generation == a.generation && !d.down {
			d.sim.cancelAttempt(a)
			d.endAttempt(a, logic.TimedOut, "")
		}
	})
}

// endAttempt reports the result of an attempt to the core.
func (d *dispatcher) endAttempt(a *attempt, r logic.Result, content string) {
	if a.ended || d.attempts[a.id] != a {
		return
	}
	a.ended = true
	delete(d.attempts, a.id)
	d.execute(d.callCore(func(now int64) []dispatch.Command { return d.core.Ended(now, a.id, r, []byte(content)) }))
}

// cancelAttempt cancels an attempt that the core has given up.
func (d *dispatcher) cancelAttempt(id dispatch.AttemptID) {
	if a := d.attempts[id]; a != nil {
		a.ended = true
		delete(d.attempts, id)
		d.sim.cancelAttempt(a)
	}
}

// answerClient sends the final answer to the client.
func (d *dispatcher) answerClient(req *clientRequest, c dispatch.Command) {
	r := client.Failed
	switch c.Verdict {
	case dispatch.Served:
		r = client.Served
	case dispatch.Refused:
		r = client.Refused
	}
	after := time.Duration(c.After) * time.Microsecond
	content := string(c.Content)
	d.sim.after(clientDelay, func() { d.sim.finishRequest(req, r, after, content) })
}

// kill ends the dispatcher's process. Its connections to clients and hosts are reset.
func (d *dispatcher) kill() {
	if d.down {
		return
	}
	d.down, d.downSince = true, d.sim.now
	d.avoidedUntil = d.sim.now + frontEndRetryDelay
	for _, a := range sorted(d.attempts, func(id dispatch.AttemptID) int64 { return int64(id.Message)<<8 + int64(id.Attempt) }) {
		a.ended = true
		d.sim.cancelAttempt(a)
	}
	for _, req := range sorted(d.requests, func(id dispatch.ID) int64 { return int64(id) }) {
		d.sim.after(clientDelay, func() { d.sim.finishRequest(req, client.Broken, 0, "") })
	}
	d.requests, d.attempts = map[dispatch.ID]*clientRequest{}, map[dispatch.AttemptID]*attempt{}
}

// restart starts a new process after a kill.
func (d *dispatcher) restart() {
	if !d.down {
		return
	}
	if d.sim.options.Log != nil {
		d.sim.options.Log.Killed(d.number, d.downSince, d.sim.now)
	}
	if err := d.start(); err != nil {
		panic(err) // the same configuration was accepted before
	}
}

// resetConnections breaks the dispatcher's connections to a host.
func (d *dispatcher) resetConnections(h *host) {
	for _, a := range sorted(d.attempts, func(id dispatch.AttemptID) int64 { return int64(id.Message)<<8 + int64(id.Attempt) }) {
		if a.host == h {
			d.sim.cancelAttempt(a)
			d.endAttempt(a, logic.Broken, "")
		}
	}
}

// sorted returns a map's values in the order of their keys. Without a fixed order runs of the same seed would differ.
func sorted[K comparable, V any](m map[K]V, order func(K) int64) []V {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b K) int { return cmp.Compare(order(a), order(b)) })
	out := make([]V, len(keys))
	for i, k := range keys {
		out[i] = m[k]
	}
	return out
}
