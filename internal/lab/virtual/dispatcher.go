package virtual

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"granitewing/internal/fleet/court"
	"granitewing/internal/fleet/ledger"
	"granitewing/internal/fleet/market"
	"granitewing/internal/lab/client"
	"granitewing/internal/lab/model"
	"granitewing/internal/memory"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

const (
	clientDelay = 600   // microseconds one way between a client and its dispatcher
	answerSlack = 60000 // past its time an answer still counts for so long
	expireAfter = 20000 // the driver's back-up of the decisions' own deadline
	frontNotice = 3_000_000
	frontDrain  = 300_000
)

// dispatcher is one dispatcher's core with what its driver would keep.
type dispatcher struct {
	p       *play
	number  int
	zone    int
	rng     *rand.Rand
	core    core
	gen     int // of its process; what an earlier one's events bring is dropped
	dead    bool
	deadAt  int64
	shunned int64 // until then the front sends nobody here
	// Drained by hand since then: /healthz says no at once, and the front, which asks every 0.1 s, sends new connections
	// for 0.2 s more.
	quiesced   bool
	quiescedAt int64
	names      platform.Names
	listed     int64 // revision told; -1 where the whole list must be asked for
	watching   bool
	messages   map[memory.ID]*try
	relays     map[memory.RelayID]*attempt
	wakeSeq    int
	mirror     map[string]bool // hosts told to be ready
	classes    []logic.Class

	name   string
	limits ledger.Limits
	ledger *ledger.Ledger // what the others say, where they share
	hosts  []logic.WorkerID
	seq    uint64

	court   *court.Court // of the process whose core it is
	courted *memory.Core
	market  *market.Market // of the process whose core it is
	traded  *memory.Core
	gangs   *gangs // nil: no class runs in parts
}

// boot starts its process.
func (d *dispatcher) boot() error {
	d.gen++
	cfg, err := d.p.readConfig(d.number, d.p.o.Seed+uint64(d.gen)*1000)
	if err != nil {
		return err
	}
	d.core, err = d.p.newCore(cfg, d)
	if err != nil {
		return err
	}
	d.newLedger()
	d.muster()
	d.names, d.classes = cfg.Names(), cfg.Settings.Classes
	d.dead, d.watching, d.listed = false, false, cfg.Known.Revision
	d.messages, d.relays, d.mirror = map[memory.ID]*try{}, map[memory.RelayID]*attempt{}, map[string]bool{}
	d.do(d.call(func(now int64) []memory.Command { return d.core.Inventory(now, logic.ListCached, cfg.Known.Hosts) }))
	return nil
}

// cordon bars a host by hand or puts it back, as the door does; policies other than the module's have no cordons.
func (d *dispatcher) cordon(host string, on bool) {
	c, ok := d.core.(interface {
		Cordon(now int64, name string, on bool) (bool, []memory.Command)
	})
	if d.dead || !ok {
		return
	}
	d.do(d.call(func(now int64) []memory.Command {
		_, cmds := c.Cordon(now, host, on)
		return cmds
	}))
}

// call makes one call of the core and takes its time where that is asked for.
func (d *dispatcher) call(f func(now int64) []memory.Command) []memory.Command {
	now := d.p.now
	if !d.p.o.Measure {
		return slices.Clone(f(now))
	}
	begun := time.Now()
	out := f(now)
	d.p.cpu += time.Since(begun)
	return slices.Clone(out)
}

// do carries out commands as the driver does.
func (d *dispatcher) do(cmds []memory.Command) {
	p := d.p
	for _, c := range cmds {
		switch c.Kind {
		case memory.Send:
			d.send(c)
		case memory.Drop:
			d.drop(c.Relay)
		case memory.Answer:
			if t := d.messages[c.Relay.Message]; t != nil {
				delete(d.messages, c.Relay.Message)
				d.answer(t, c)
			}
		case memory.Wake:
			d.wake(c.At)
		case memory.Watch:
			// Discovery is asked over the network, and a call fails while it is down.
			gen := d.gen
			p.after(1000, func() {
				if d.gen != gen || d.dead {
					return
				}
				if p.down || p.quiet {
					d.unheard()
					return
				}
				d.watching = true
				d.listen()
			})
		}
	}
}

func (d *dispatcher) wake(at int64) {
	d.wakeSeq++
	seq, gen := d.wakeSeq, d.gen
	d.p.on(max(at, d.p.now), func() {
		if d.wakeSeq == seq && d.gen == gen && !d.dead {
			d.do(d.call(func(now int64) []memory.Command { return d.core.Wake(now) }))
		}
	})
}

// listen takes what the list has for it.
func (d *dispatcher) listen() {
	p := d.p
	if !d.watching || d.dead || p.down || p.quiet || d.listed == p.dir.Revision() {
		return
	}
	members, complete := p.dir.Since(d.listed)
	d.listed = p.dir.Revision()
	hosts := make([]memory.Host, 0, len(members))
	for _, m := range members {
		h := memory.Host{Name: m.ID, Addr: m.ID, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, Weight: m.Size, UpSince: m.UpSince}
		switch m.Phase {
		case model.Ready:
			h.Phase = logic.Ready
		case model.Draining:
			h.Phase = logic.Draining
		}
		hosts = append(hosts, h)
		if p.o.Log != nil {
			p.o.Log.Told(p.now, d.number, m.ID, m.Phase == model.Ready)
		}
	}
	how := logic.ListDelta
	if complete {
		how = logic.ListFull
	}
	d.do(d.call(func(now int64) []memory.Command { return d.core.Inventory(now, how, hosts) }))
}

// unheard tells it that the watch is over.
func (d *dispatcher) unheard() {
	if d.dead {
		return
	}
	d.watching = false
	d.do(d.call(func(now int64) []memory.Command { return d.core.Inventory(now, logic.ListFailed, nil) }))
}

// send starts an attempt.
func (d *dispatcher) send(c memory.Command) {
	t := d.messages[c.Relay.Message]
	h := d.p.index[c.Addr]
	if t == nil || h == nil {
		return
	}
	a := &attempt{t: t, id: c.Relay, d: d, gen: d.gen, h: h, gang: c.Gang}
	d.relays[c.Relay] = a
	t.relays[c.Relay.Attempt] = a
	d.p.after(d.p.delay(d, h), func() {
		if !a.over {
			d.p.offer(a)
		}
	})
	d.p.after(c.Until-d.p.now, func() {
		if !a.over && d.gen == a.gen && !d.dead {
			d.p.cancel(a)
			d.ended(a, logic.TimedOut, "")
		}
	})
}

// ended books the end of an attempt.
func (d *dispatcher) ended(a *attempt, r logic.Result, content string) {
	if a.over || d.relays[a.id] != a {
		return
	}
	a.over = true
	delete(d.relays, a.id)
	d.do(d.call(func(now int64) []memory.Command { return d.core.Ended(now, a.id, r, []byte(content)) }))
}

func (d *dispatcher) drop(id memory.RelayID) {
	if a := d.relays[id]; a != nil {
		a.over = true
		delete(d.relays, id)
		d.p.cancel(a)
	}
}

// answer brings the final answer to the client.
func (d *dispatcher) answer(t *try, c memory.Command) {
	r := client.Failed
	switch c.Verdict {
	case memory.Served:
		r = client.Served
	case memory.Refused:
		r = client.Refused
	}
	after := time.Duration(c.After) * time.Microsecond
	content := string(c.Content)
	d.p.after(clientDelay, func() { d.p.finish(t, r, after, content) })
}

// kill ends its process: clients see their connections reset, hosts too.
func (d *dispatcher) kill() {
	if d.dead {
		return
	}
	d.dead, d.deadAt = true, d.p.now
	d.shunned = d.p.now + frontNotice
	for _, a := range sorted(d.relays, func(id memory.RelayID) int64 { return int64(id.Message)<<8 + int64(id.Attempt) }) {
		a.over = true
		d.p.cancel(a)
	}
	for _, t := range sorted(d.messages, func(id memory.ID) int64 { return int64(id) }) {
		d.p.after(clientDelay, func() { d.p.finish(t, client.Broken, 0, "") })
	}
	d.messages, d.relays = map[memory.ID]*try{}, map[memory.RelayID]*attempt{}
}

func (d *dispatcher) revive() {
	if !d.dead {
		return
	}
	if d.p.o.Log != nil {
		d.p.o.Log.Killed(d.number, d.deadAt, d.p.now)
	}
	if err := d.boot(); err != nil {
		panic(err) // the same configuration was taken before
	}
}

// reset breaks its connections to a host.
func (d *dispatcher) reset(h *host) {
	for _, a := range sorted(d.relays, func(id memory.RelayID) int64 { return int64(id.Message)<<8 + int64(id.Attempt) }) {
		if a.h == h {
			d.p.cancel(a)
			d.ended(a, logic.Broken, "")
		}
	}
}

// sorted gives a map's values in the order of their keys, so that a play repeats.
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
