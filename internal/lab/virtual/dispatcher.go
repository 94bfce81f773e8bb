package virtual

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"granitewing/internal/fleet/ledger"
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
	a := &attempt{t: t, id: c.Relay, d: d, gen: d.gen, h: h}
	d.relays[c.Relay] = a
	t.relays[c.Relay.Attempt] = a
	d.p.after(d.p.delay(d, h), func() {
		if !a.over {
			d.p.offer(a)
		}
	})
	d.p.after(c.Timeout, func() {
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

// ---- Clients ----

// arrive begins a job and makes the next one's arrival.
func (p *play) arrive(i int) {
	w := &p.day.Jobs[i]
	p.on(w.At.Microseconds(), func() {
		p.sent++
		p.open++
		rng := rand.New(rand.NewPCG(p.o.Seed^uint64(i)*0x9e3779b97f4a7c15, 12))
		c := &p.day.Classes[w.Class]
		j := &job{Job: w, j: p.day.Clients.New(c.Repeat == "unsafe", c.Repeat == "keyed", c.GiveUp, rng), rng: rng}
		if j.j.Keyed {
			j.key = fmt.Sprintf("%016x", rng.Uint64())
		}
		p.try(j)
		if i+1 < len(p.day.Jobs) {
			p.arrive(i + 1)
		}
	})
}

// pick chooses a dispatcher as the front does.
func (p *play) pick(j *job) *dispatcher {
	for _, any := range []bool{false, true} {
		var can []*dispatcher
		for _, d := range p.disp {
			if (any || d.zone == j.Zone) && p.now >= d.shunned && !(d.quiesced && p.now >= d.quiescedAt+frontDrain) {
				can = append(can, d)
			}
		}
		if len(can) > 0 {
			d := can[j.rng.IntN(len(can))]
			if d.dead {
				d.shunned = p.now + frontNotice // refused; the front notices
				return p.pick(j)
			}
			return d
		}
	}
	return nil
}

// try begins a try of a job.
func (p *play) try(j *job) {
	c := &p.day.Classes[j.Class]
	wait, leaves, marked := j.j.Begin()
	d := p.pick(j)
	if d == nil {
		p.end(j, client.Unsent, 0)
		return
	}
	p.next++
	t := &try{job: j, name: fmt.Sprintf("v%012x", p.next), d: d, wait: wait, leaves: leaves, relays: map[int]*attempt{}}
	if p.o.Log != nil {
		p.o.Log.Sent(p.now, t.name, j.Class, d.number)
	}
	told := wait
	if leaves {
		told = c.GiveUp
	}
	sent := p.now
	p.after(clientDelay, func() {
		if d.dead {
			p.finish(t, client.Broken, 0, "")
			return
		}
		if t.over {
			return
		}
		p.msgs++
		second := int(p.now / 1_000_000)
		for len(p.reached[d.number]) <= second {
			p.reached[d.number] = append(p.reached[d.number], 0)
		}
		p.reached[d.number][second]++
		deadline := p.now + told.Microseconds()
		gen := d.gen
		var cmds []memory.Command
		cmds = d.call(func(now int64) []memory.Command {
			id, out := d.core.Arrive(now, memory.Message{Name: t.name, Class: j.Class, Subject: uint64(j.Set), Hint: j.Hint.Microseconds(),
				Slots: j.Slots, Memory: j.Memory, Repeated: marked}, deadline)
			t.id = id
			return out
		})
		d.messages[t.id] = t
		d.do(cmds)
		p.on(deadline+expireAfter, func() {
			if d.gen == gen && !d.dead && d.messages[t.id] == t {
				d.do(d.call(func(now int64) []memory.Command { return d.core.Expire(now, t.id) }))
			}
		})
	})
	limit := sent + wait.Microseconds()
	if !leaves {
		limit += answerSlack
	}
	p.on(limit, func() {
		if t.over {
			return
		}
		r := client.Silent
		if leaves {
			r = client.HungUp
		}
		p.finish(t, r, 0, "")
		// The dispatcher sees the client's connection end.
		p.after(clientDelay, func() {
			if !d.dead && d.messages[t.id] == t {
				delete(d.messages, t.id)
				d.do(d.call(func(now int64) []memory.Command { return d.core.HangUp(now, t.id) }))
			}
		})
	})
}

// finish ends a try for its client.
func (p *play) finish(t *try, r client.Result, after time.Duration, content string) {
	if t.over {
		return
	}
	t.over = true
	if p.o.Log != nil {
		p.o.Log.Ended(p.now, t.name, r, content)
	}
	p.end(t.job, r, after)
}

// end ends a try or the whole job.
func (p *play) end(j *job, r client.Result, after time.Duration) {
	wait, again := j.j.Again(r, after)
	if again {
		p.after(max(wait.Microseconds(), 1), func() { p.try(j) })
		return
	}
	j.last = r
	p.outcome(j, p.now)
}
