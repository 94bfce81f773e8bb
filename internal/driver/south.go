package driver

import (
	"net"
	"slices"
	"time"

	"granitewing/internal/memory"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// relay is one attempt on its way.
type relay struct {
	id    memory.RelayID
	msg   *platform.Message
	addr  string
	until int64
	part  *platform.Part // of a gang; else nil
	on    *south         // nil while its connection is being made
	timer *time.Timer
}

// south is a connection to a south side host; it carries one relay at a time.
type south struct {
	*conn
	addr    string
	parser  *platform.Relay
	relay   *relay
	pending bool // the request is not wholly written, as far as the writer has told
	counted bool // the request is, and was counted
	broken  bool // the connection failed before the writer told how far it came
	waiting bool // the outcome is known, the end of the answer is not
	uses    int  // relays begun
	timer   *time.Timer
}

// pool counts the connections to hosts and keeps the idle ones, the latest used last.
type pool struct {
	hosts map[string]*hostConns
	count int
}

type hostConns struct {
	count int
	idle  []*south
}

// add books a connection that is up or being made, or one that is no more.
func (p *pool) add(addr string, by int) {
	h := p.hosts[addr]
	if h == nil {
		h = &hostConns{}
		p.hosts[addr] = h
	}
	h.count += by
	p.count += by
	if h.count == 0 {
		delete(p.hosts, addr)
	}
}

// open counts the connections to a host.
func (p *pool) open(addr string) int {
	if h := p.hosts[addr]; h != nil {
		return h.count
	}
	return 0
}

// latest takes out the idle connection to a host that was used last, nil if there is none.
func (p *pool) latest(addr string) *south {
	h := p.hosts[addr]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	k := len(h.idle) - 1
	s := h.idle[k]
	h.idle = h.idle[:k]
	return s
}

// leave closes the idle connections to a host.
func (p *pool) leave(addr string) {
	if h := p.hosts[addr]; h != nil {
		for len(h.idle) > 0 {
			h.idle[0].end()
		}
	}
}

// evict closes an idle connection to make room, and tells whether it could.
func (p *pool) evict() bool {
	for _, h := range p.hosts {
		if len(h.idle) > 0 {
			h.idle[0].end()
			return true
		}
	}
	return false
}

// send starts a relay on the connection to its host that was used last, or on a new one.
func (d *Driver) send(c memory.Command) {
	n := d.open[c.Relay.Message]
	if n == nil {
		return // the client has just left; the core is told next and drops the relay
	}
	if n.left() {
		n.end()
		return
	}
	r := &relay{id: c.Relay, msg: n.msg, addr: c.Addr, until: c.Until}
	if g := c.Gang; g != nil {
		r.part = &platform.Part{Rank: g.Rank, Peers: g.Peers, Within: time.Duration(g.Within) * time.Microsecond}
	}
	d.relays[r.id] = r
	r.timer = d.after(time.Duration(r.until-d.now())*time.Microsecond, func() { d.timedOut(r) })
	if s := d.pool.latest(r.addr); s != nil {
		s.begin(r)
		return
	}
	if d.pool.open(r.addr) >= d.limits.perHost || d.pool.count >= d.limits.south && !d.pool.evict() {
		// Nothing is wrong with the host, so it must not look like one that can't be reached.
		d.later = append(d.later, func() { d.ended(r, logic.Moot, nil) })
		return
	}
	d.pool.add(r.addr, 1)
	limit := micros(d.cfg.Settings.ConnectTimeout, dialDefault)
	go func() {
		c, err := d.dial(r.addr, limit)
		d.post(func() { d.dialled(r, c, err) })
	}()
}

// dialled goes on with a relay whose connection is up or has failed. One that was dropped meanwhile leaves
// its connection to the next.
func (d *Driver) dialled(r *relay, c net.Conn, err error) {
	if err != nil {
		d.pool.add(r.addr, -1)
		d.ended(r, dialResult(err), nil)
		return
	}
	s := &south{addr: r.addr}
	s.parser = platform.NewRelay(s.note)
	s.conn = d.newConn(c, 1, s.read, s.wrote)
	n := d.open[r.id.Message]
	left := n != nil && n.left()
	if left {
		n.end()
	}
	switch {
	case left || d.relays[r.id] != r:
		s.rest()
	case !d.core.May(d.now(), r.id):
		s.end()
		d.ended(r, logic.Moot, nil)
	default:
		s.begin(r)
	}
}

// begin writes a relay's request.
func (s *south) begin(r *relay) {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.uses++
	r.on, s.relay, s.pending, s.counted = s, r, true, false
	s.parser.Begin(r.msg.Txn)
	s.write(func() []byte {
		// What is left to the client counts from the moment of the writing, however long the writer has waited.
		left := time.Duration(r.until-s.d.now()) * time.Microsecond
		return platform.AppendRelay(nil, r.addr, r.msg, max(left, 0), r.part)
	})
}

// rest keeps the connection for the next relay, and closes it before the host would.
func (s *south) rest() {
	h := s.d.pool.hosts[s.addr]
	h.idle = append(h.idle, s)
	if s.timer != nil {
		s.timer.Stop()
	}
	uses := s.uses
	s.timer = s.d.after(micros(s.d.cfg.Settings.ConnIdle, idleDefault)*4/5, func() {
		// One that was taken up while the timer's event was on its way is left alone.
		if s.uses == uses {
			s.end()
		}
	})
}

// end closes the connection and takes it off the books.
func (s *south) end() {
	if s.gone {
		return
	}
	s.close()
	if s.timer != nil {
		s.timer.Stop()
	}
	h := s.d.pool.hosts[s.addr]
	if i := slices.Index(h.idle, s); i >= 0 {
		h.idle = slices.Delete(h.idle, i, i+1)
	}
	s.d.pool.add(s.addr, -1)
}

// read takes bytes from a host, or the end of them.
func (s *south) read(b []byte, _ int64, err error) bool {
	if err == nil {
		err = s.parser.Feed(b)
	}
	if err != nil {
		s.fail()
		return false
	}
	return !s.gone
}

// fail ends a connection that broke or spoke garbage. Whether its relay may have run depends on whether the
// whole request was written, which only the writer knows.
func (s *south) fail() {
	r := s.relay
	if r != nil && s.pending {
		s.broken = true
		s.c.Close()
		return
	}
	s.end()
	if r != nil {
		s.d.ended(r, logic.Broken, nil)
	}
}

// wrote follows the write of a request.
func (s *south) wrote(err error) {
	s.pending = false
	if err == nil && s.relay != nil {
		s.count()
	}
	if s.gone || err == nil && !s.broken {
		return
	}
	r := s.relay
	s.end()
	if r == nil {
		return
	}
	if err != nil {
		// Its last byte was never written, so it can't have started.
		s.d.ended(r, logic.ConnectFailed, nil)
		return
	}
	s.d.ended(r, logic.Broken, nil)
}

// count counts a request that was written whole.
func (s *south) count() {
	if !s.counted {
		s.counted = true
		s.d.figures.dispatches.Inc()
	}
}

// note takes what the host says of the relay. It has the request then, though the writer's word may come later.
func (s *south) note(n platform.Note) {
	r, d := s.relay, s.d
	if r != nil {
		s.count()
	}
	switch n.Kind {
	case platform.NoteTaken:
		if r != nil {
			d.do(d.core.Taken(d.now(), r.id))
		}
	case platform.NoteStarted:
		if r != nil {
			if d.journal != nil {
				d.journal.Started(r.id)
			}
			d.do(d.core.Started(d.now(), r.id))
		}
	case platform.NoteProgress:
		if r != nil {
			d.do(d.core.Progress(d.now(), r.id, n.Share))
		}
	case platform.NoteEnded:
		s.relay, s.waiting = nil, true
		s.timer = d.after(goodbyeLimit, func() {
			if s.waiting {
				s.end()
			}
		})
		if r != nil {
			r.on = nil
			d.ended(r, n.Result, n.Content)
		}
	case platform.NoteFree:
		s.waiting = false
		if n.Keep && !s.pending && !s.gone {
			s.rest()
		} else {
			s.end()
		}
	}
}

// ended books the end of a relay and tells the core; a connection that it still holds is closed first, so
// that no other attempt starts while this one is out.
func (d *Driver) ended(r *relay, result logic.Result, content []byte) {
	if d.relays[r.id] != r {
		return
	}
	d.release(r)
	if d.journal != nil {
		d.journal.Ended(d.now(), r.id, result)
	}
	d.do(d.core.Ended(d.now(), r.id, result, content))
}

// timedOut ends a relay whose time is over. One whose connection is not up was never sent.
func (d *Driver) timedOut(r *relay) {
	if r.on == nil {
		d.ended(r, logic.Moot, nil)
		return
	}
	d.ended(r, logic.TimedOut, nil)
}

// drop stops a relay that the decisions called off.
func (d *Driver) drop(id memory.RelayID) {
	if r := d.relays[id]; r != nil {
		d.release(r)
	}
}

func (d *Driver) release(r *relay) {
	delete(d.relays, r.id)
	r.timer.Stop()
	if r.on != nil {
		r.on.relay = nil
		r.on.end()
	}
}

// micros is a setting in microseconds as a duration, or what stands in for one that is not set.
func micros(v int64, otherwise time.Duration) time.Duration {
	if v <= 0 {
		return otherwise
	}
	return time.Duration(v) * time.Microsecond
}
