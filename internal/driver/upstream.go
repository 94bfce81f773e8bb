package driver

import (
	"net"
	"slices"
	"time"

	"granitewing/internal/memory"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// attempt is one attempt on its way.
type attempt struct {
	id    memory.RelayID
	msg   *platform.Message
	addr  string
	until int64
	part  *platform.Part // of a gang; else nil
	on    *upstream      // nil while its connection is being made
	timer *time.Timer
}

// upstream is a connection to a upstream side server; it carries one attempt at a time.
type upstream struct {
	*conn
	addr    string
	parser  *platform.Relay
	attempt *attempt
	pending bool // the request is not wholly written, as far as the writer has told
	counted bool // the request is, and was counted
	broken  bool // the connection failed before the writer told how far it came
	waiting bool // the outcome is known, the end of the answer or the writer's word is not
	free    bool // the answer has ended and the connection may be kept, once the writer has told
	uses    int  // attempts begun
	timer   *time.Timer
}

// pool counts the connections to servers and keeps the idle ones, the latest used last.
type pool struct {
	servers map[string]*serverConns
	count   int
}

type serverConns struct {
	count int
	idle  []*upstream
}

// add books a connection that is up or being made, or one that is no more.
func (p *pool) add(addr string, by int) {
	h := p.servers[addr]
	if h == nil {
		h = &serverConns{}
		p.servers[addr] = h
	}
	h.count += by
	p.count += by
	if h.count == 0 {
		delete(p.servers, addr)
	}
}

// open counts the connections to a server.
func (p *pool) open(addr string) int {
	if h := p.servers[addr]; h != nil {
		return h.count
	}
	return 0
}

// latest takes out the idle connection to a server that was used last, nil if there is none.
func (p *pool) latest(addr string) *upstream {
	h := p.servers[addr]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	k := len(h.idle) - 1
	s := h.idle[k]
	h.idle = h.idle[:k]
	return s
}

// leave closes the idle connections to a server.
func (p *pool) leave(addr string) {
	if h := p.servers[addr]; h != nil {
		for len(h.idle) > 0 {
			h.idle[0].end()
		}
	}
}

// evict closes an idle connection to make room, and tells whether it could.
func (p *pool) evict() bool {
	for _, h := range p.servers {
		if len(h.idle) > 0 {
			h.idle[0].end()
			return true
		}
	}
	return false
}

// send starts an attempt on the connection to its server that was used last, or on a new one.
func (d *Driver) send(c memory.Command) {
	n := d.open[c.Relay.Message]
	if n == nil {
		return // the client has just left; the core is told next and drops the attempt
	}
	if n.left() {
		n.end()
		return
	}
	r := &attempt{id: c.Relay, msg: n.msg, addr: c.Addr, until: c.Until}
	if g := c.Gang; g != nil {
		r.part = &platform.Part{Rank: g.Rank, Peers: g.Peers, Within: time.Duration(g.Within) * time.Microsecond}
	}
	d.attempts[r.id] = r
	r.timer = d.after(time.Duration(r.until-d.now())*time.Microsecond, func() { d.timedOut(r) })
	if s := d.pool.latest(r.addr); s != nil {
		s.begin(r)
		return
	}
	if d.pool.open(r.addr) >= d.limits.perServer || d.pool.count >= d.limits.upstreams && !d.pool.evict() {
		// Nothing is wrong with the server, so it must not look like one that can't be reached.
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

// dialled goes on with an attempt whose connection is up or has failed. One that was dropped meanwhile leaves
// its connection to the next.
func (d *Driver) dialled(r *attempt, c net.Conn, err error) {
	if err != nil {
		d.pool.add(r.addr, -1)
		d.ended(r, dialResult(err), nil)
		return
	}
	s := &upstream{addr: r.addr}
	s.parser = platform.NewRelay(s.note)
	s.conn = d.newConn(c, 1, s.read, s.wrote)
	n := d.open[r.id.Message]
	left := n != nil && n.left()
	if left {
		n.end()
	}
	switch {
	case left || d.attempts[r.id] != r:
		s.rest()
	case !d.core.May(d.now(), r.id):
		s.end()
		d.ended(r, logic.Moot, nil)
	default:
		s.begin(r)
	}
}

// begin writes an attempt's request.
func (s *upstream) begin(r *attempt) {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.uses++
	r.on, s.attempt, s.pending, s.counted, s.free = s, r, true, false, false
	s.parser.Begin(r.msg.Txn)
	s.write(func() []byte {
		// What is left to the client counts from the moment of the writing, however long the writer has waited.
		left := time.Duration(r.until-s.d.now()) * time.Microsecond
		return platform.AppendRelay(nil, r.addr, r.msg, max(left, 0), r.part)
	})
}

// rest keeps the connection for the next attempt, and closes it before the server would.
func (s *upstream) rest() {
	h := s.d.pool.servers[s.addr]
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
func (s *upstream) end() {
	if s.gone {
		return
	}
	s.close()
	if s.timer != nil {
		s.timer.Stop()
	}
	h := s.d.pool.servers[s.addr]
	if i := slices.Index(h.idle, s); i >= 0 {
		h.idle = slices.Delete(h.idle, i, i+1)
	}
	s.d.pool.add(s.addr, -1)
}

// read takes bytes from a server, or the end of them.
func (s *upstream) read(b []byte, _ int64, err error) bool {
	if err == nil {
		err = s.parser.Feed(b)
	}
	if err != nil {
		s.fail()
		return false
	}
	return !s.gone
}

// fail ends a connection that broke or spoke garbage. Whether its attempt may have run depends on whether the
// whole request was written, which only the writer knows.
func (s *upstream) fail() {
	r := s.attempt
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
func (s *upstream) wrote(err error) {
	s.pending = false
	if err == nil && s.attempt != nil {
		s.count()
	}
	if s.gone {
		return
	}
	if err == nil && !s.broken {
		if s.free {
			s.waiting = false
			s.rest()
		}
		return
	}
	r := s.attempt
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
func (s *upstream) count() {
	if !s.counted {
		s.counted = true
		s.d.figures.dispatches.Add(1)
	}
}

// note takes what the server says of the attempt. It has the request then, though the writer's word may come later.
func (s *upstream) note(n platform.Note) {
	r, d := s.attempt, s.d
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
		s.attempt, s.waiting = nil, true
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
		switch {
		case !n.Keep || s.gone:
			s.end()
		case s.pending: // the answer was faster than the writer's word, which is waited for as long as for an answer's end
			s.free = true
		default:
			s.waiting = false
			s.rest()
		}
	}
}

// ended books the end of an attempt and tells the core; a connection that it still holds is closed first, so
// that no other attempt starts while this one is out.
func (d *Driver) ended(r *attempt, result logic.Result, content []byte) {
	if d.attempts[r.id] != r {
		return
	}
	d.release(r)
	if d.journal != nil {
		d.journal.Ended(d.now(), r.id, result)
	}
	d.do(d.core.Ended(d.now(), r.id, result, content))
}

// timedOut ends an attempt whose time is over. One whose connection is not up was never sent.
func (d *Driver) timedOut(r *attempt) {
	if r.on == nil {
		d.ended(r, logic.Moot, nil)
		return
	}
	d.ended(r, logic.TimedOut, nil)
}

// drop stops an attempt that the decisions called off.
func (d *Driver) drop(id memory.RelayID) {
	if r := d.attempts[id]; r != nil {
		d.release(r)
	}
}

func (d *Driver) release(r *attempt) {
	delete(d.attempts, r.id)
	r.timer.Stop()
	if r.on != nil {
		r.on.attempt = nil
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
