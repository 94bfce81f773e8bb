package simulation

import (
	"slices"
	"sort"
	"time"

	"granitewing/internal/system/link"
	"granitewing/internal/system/loop"
	"granitewing/internal/system/wire"
)

// Connected implements loop.Peers.
func (p *process) Connected(address string) bool {
	c := p.connections[address]
	return c != nil && c.peer != nil
}

// Disconnect implements loop.Peers.
func (p *process) Disconnect(address string) {
	p.After(0, func() {
		if c := p.connections[address]; c != nil && c.peer != nil {
			p.breakConnection(address, c)
		}
	})
}

// Connect implements loop.Peers.
func (p *process) Connect(addresses []string) {
	p.desired = map[string]bool{}
	for _, address := range addresses {
		p.desired[address] = true
		if p.connections[address] == nil {
			p.connections[address] = &connection{calls: map[uint64]func([]byte, error){}, brokenAt: -time.Hour}
		}
	}
	for address := range p.connections {
		if !p.desired[address] {
			delete(p.connections, address)
		}
	}
}

// poll checks all connections: it opens those that can be opened and detects broken ones.
func (p *process) poll() {
	if !p.alive {
		return
	}
	p.run(func() {
		addresses := make([]string, 0, len(p.connections))
		for address := range p.connections {
			addresses = append(addresses, address)
		}
		sort.Strings(addresses)
		for _, address := range addresses {
			if c := p.connections[address]; c != nil {
				p.checkConnection(address, c)
			}
		}
	})
	p.world.after(pollInterval, p.poll)
}

// checkConnection opens a connection, or closes one that was reset or has been silent for silenceTimeout.
func (p *process) checkConnection(address string, c *connection) {
	w := p.world
	if c.peer == nil {
		target := w.listeners[address]
		reachable := target != nil && !target.machine.frozen && w.linkOpen(p.machine, target.machine) && w.linkOpen(target.machine, p.machine)
		if reachable && w.now-c.brokenAt > reconnectDelay {
			c.peer, c.silentSince = target, 0
			if p.peerUp != nil {
				p.peerUp(address)
			}
		}
		return
	}
	through := w.linkOpen(p.machine, c.peer.machine) && w.linkOpen(c.peer.machine, p.machine)
	switch {
	case through && !c.peer.alive:
		p.breakConnection(address, c) // connection reset
	case !through && c.silentSince == 0:
		c.silentSince = w.now
	case !through && w.now-c.silentSince > silenceTimeout:
		p.breakConnection(address, c)
	case through:
		c.silentSince = 0
	}
}

func (p *process) breakConnection(address string, c *connection) {
	c.peer, c.silentSince, c.brokenAt = nil, 0, p.world.now
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
	if p.peerDown != nil {
		p.peerDown(address)
	}
}

// simulatedCall is a call in progress. It implements wire.Answerer.
type simulatedCall struct {
	caller, target *process
	link           *connection
	id             uint64
}

func (c *simulatedCall) reply(payload []byte, err error) {
	w := c.caller.world
	if !c.target.alive || c.target.dropsAnswer() {
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

// dropsAnswer reports whether an answer to another carrier is lost: it arrives too late, or its connection breaks
// just before.
func (p *process) dropsAnswer() bool {
	share := p.machine.answerLossPercent
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
	c := p.connections[address]
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
			target.handleCall(p, kind, payload, &simulatedCall{caller: p, target: target, link: c, id: id})
		})
	})
}

// pushTo sends a one-way frame.
func (p *process) pushTo(target *process, kind wire.Kind, payload []byte) {
	p.world.send(p.machine, target.machine, func() {
		target.run(func() {
			if target.handlePush != nil && !target.machine.pushesLost {
				target.handlePush(p.address, kind, payload)
			}
		})
	})
}

// discardAnswerer is the answerer of one-way frames.
type discardAnswerer struct{}

func (discardAnswerer) Answer(any)              {}
func (discardAnswerer) Refuse(wire.RefusalBody) {}
