package simulation

import (
	"slices"
	"sort"
	"time"

	"granitewing/internal/system/link"
	"granitewing/internal/system/loop"
	"granitewing/internal/system/wire"
)

// Up implements loop.Peers.
func (p *process) Up(address string) bool {
	c := p.links[address]
	return c != nil && c.peer != nil
}

// Break implements loop.Peers.
func (p *process) Break(address string) {
	p.After(0, func() {
		if c := p.links[address]; c != nil && c.peer != nil {
			p.breakLink(address, c)
		}
	})
}

// Connect implements loop.Peers.
func (p *process) Connect(addresses []string) {
	p.wanted = map[string]bool{}
	for _, address := range addresses {
		p.wanted[address] = true
		if p.links[address] == nil {
			p.links[address] = &connection{calls: map[uint64]func([]byte, error){}, brokeAt: -time.Hour}
		}
	}
	for address := range p.links {
		if !p.wanted[address] {
			delete(p.links, address)
		}
	}
}

// poll looks at all connections: new ones come about, broken ones are noticed.
func (p *process) poll() {
	if !p.alive {
		return
	}
	p.run(func() {
		addresses := make([]string, 0, len(p.links))
		for address := range p.links {
			addresses = append(addresses, address)
		}
		sort.Strings(addresses)
		for _, address := range addresses {
			if c := p.links[address]; c != nil {
				p.look(address, c)
			}
		}
	})
	p.world.after(pollInterval, p.poll)
}

func (p *process) look(address string, c *connection) {
	w := p.world
	if c.peer == nil {
		target := w.serving[address]
		reachable := target != nil && !target.machine.frozen && w.open(p.machine, target.machine) && w.open(target.machine, p.machine)
		if reachable && w.now-c.brokeAt > reconnectPause {
			c.peer, c.silent = target, 0
			if p.up != nil {
				p.up(address)
			}
		}
		return
	}
	through := w.open(p.machine, c.peer.machine) && w.open(c.peer.machine, p.machine)
	switch {
	case through && !c.peer.alive:
		p.breakLink(address, c) // a reset
	case !through && c.silent == 0:
		c.silent = w.now
	case !through && w.now-c.silent > silenceLimit:
		p.breakLink(address, c)
	case through:
		c.silent = 0
	}
}

func (p *process) breakLink(address string, c *connection) {
	c.peer, c.silent, c.brokeAt = nil, 0, p.world.now
	calls := c.calls
	c.calls = map[uint64]func([]byte, error){}
	ids := make([]uint64, 0, len(calls))
	for id := range calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		calls[id](nil, &link.ClosedError{Peer: address})
	}
	if p.down != nil {
		p.down(address)
	}
}

// simulatedCall answers one call.
type simulatedCall struct {
	caller, target *process
	link           *connection
	id             uint64
}

func (c *simulatedCall) reply(payload []byte, err error) {
	w := c.caller.world
	if !c.target.alive || c.target.losesAnswer() {
		return
	}
	w.send(c.target.machine, c.caller.machine, func() {
		c.caller.run(func() {
			done := c.link.calls[c.id]
			delete(c.link.calls, c.id)
			if done != nil && c.link.peer == c.target {
				done(payload, err)
			}
		})
	})
}

// losesAnswer tells whether an answer to another carrier is lost: it comes too late, or its connection breaks just before.
func (p *process) losesAnswer() bool {
	share := p.machine.unheard
	return share > 0 && p.role == carrierRole && p.world.random.IntN(100) < share
}

// Answer implements wire.Answerer.
func (c *simulatedCall) Answer(body any) { c.reply(wire.Encode(body), nil) }

// Refuse implements wire.Answerer.
func (c *simulatedCall) Refuse(body wire.RefusalBody) { c.reply(nil, &link.RefusedError{Body: body}) }

// Call implements loop.Peers.
func (p *process) Call(address string, kind wire.Kind, payload []byte, timeout time.Duration, done func([]byte, error)) {
	answered := false
	finish := func(payload []byte, err error) {
		if !answered {
			answered = true
			done(payload, err)
		}
	}
	c := p.links[address]
	if c == nil || c.peer == nil {
		p.After(0, func() { finish(nil, &link.ClosedError{Peer: address}) })
		return
	}
	c.lastID++
	id := c.lastID
	c.calls[id] = finish
	p.After(timeout, func() {
		delete(c.calls, id)
		finish(nil, &loop.TimeoutError{Peer: address})
	})
	target := c.peer
	p.world.send(p.machine, target.machine, func() {
		target.run(func() {
			target.serve(p, kind, payload, &simulatedCall{caller: p, target: target, link: c, id: id})
		})
	})
}

// pushTo sends a frame that asks for no answer.
func (p *process) pushTo(target *process, kind wire.Kind, payload []byte) {
	p.world.send(p.machine, target.machine, func() {
		target.run(func() {
			if target.push != nil && !target.machine.feedLost {
				target.push(p.address, kind, payload)
			}
		})
	})
}

// nobody answers frames that ask for none.
type nobody struct{}

func (nobody) Answer(any)              {}
func (nobody) Refuse(wire.RefusalBody) {}
