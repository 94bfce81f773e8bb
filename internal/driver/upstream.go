package driver

import (
	"net"
	"slices"
	"time"

	"granitewing/internal/dispatch"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// attempt is one attempt to run a request on a server.
type attempt struct {
	id       dispatch.AttemptID
	msg      *platform.Message
	addr     string
	deadline int64
	part     *platform.Part // if it is a part of a gang; else nil
	upstream *upstream      // nil while the connection is being made
	timer    *time.Timer
}

// upstream is a connection to a server; it carries one attempt at a time.
type upstream struct {
	*conn
	addr         string
	parser       *platform.ResponseReader
	attempt      *attempt
	writePending bool // the writer has not yet reported that the whole request was written
	counted      bool // the request was written whole and counted in the metrics
	failed       bool // the connection failed before the writer reported how much was written
	awaitingEnd  bool // the outcome is known, but not the end of the answer or the writer's report
	reusable     bool // the answer has ended and the connection may be kept once the writer has reported
	uses         int  // number of attempts started on it
	timer        *time.Timer
}

// pool counts the connections to servers and keeps the idle ones, in the order of their last use.
type pool struct {
	servers map[string]*serverConns
	count   int
}

type serverConns struct {
	count int
	idle  []*upstream
}

// adjust changes the count of connections to a server that are open or being made.
func (p *pool) adjust(addr string, by int) {
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

// connsTo returns the number of connections to a server.
func (p *pool) connsTo(addr string) int {
	if h := p.servers[addr]; h != nil {
		return h.count
	}
	return 0
}

// takeIdle removes and returns the most recently used idle connection to a server, or nil.
func (p *pool) takeIdle(addr string) *upstream {
	h := p.servers[addr]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	k := len(h.idle) - 1
	s := h.idle[k]
	h.idle = h.idle[:k]
	return s
}

// closeIdle closes the idle connections to a server.
func (p *pool) closeIdle(addr string) {
	if h := p.servers[addr]; h != nil {
		for len(h.idle) > 0 {
			h.idle[0].teardown()
		}
	}
}

// evictIdle closes one idle connection to free a descriptor; it reports whether there was one.
func (p *pool) evictIdle() bool {
	for _, h := range p.servers {
		if len(h.idle) > 0 {
			h.idle[0].teardown()
			return true
		}
	}
	return false
}

// sendAttempt starts an attempt on the most recently used idle connection to its server, or on a new one.
func (d *Driver) sendAttempt(c dispatch.Command) {
	n := d.openRequests[c.Attempt.Message]
	if n == nil {
		return // the client has just left; the core is notified next and cancels the attempt
	}
	if n.clientClosed() {
		n.teardown()
		return
	}
	r := &attempt{id: c.Attempt, msg: n.msg, addr: c.Addr, deadline: c.Until}
	if g := c.Gang; g != nil {
		r.part = &platform.Part{Rank: g.Rank, Peers: g.Peers, Within: time.Duration(g.Within) * time.Microsecond}
	}
	d.attempts[r.id] = r
	r.timer = d.postAfter(time.Duration(r.deadline-d.now())*time.Microsecond, func() { d.attemptTimedOut(r) })
	if s := d.pool.takeIdle(r.addr); s != nil {
		s.start(r)
		return
	}
	if d.pool.connsTo(r.addr) >= d.limits.perServer || d.pool.count >= d.limits.upstreams && !d.pool.evictIdle() {
		// The connection limit is no fault of the server, which must not be marked as unreachable.
		d.deferred = append(d.deferred, func() { d.finishAttempt(r, logic.NotSent, nil) })
		return
	}
	d.pool.adjust(r.addr, 1)
	limit := microsOr(d.cfg.Settings.ConnectTimeout, defaultDialTimeout)
	go func() {
		c, err := d.dial(r.addr, limit)
		d.post(func() { d.dialed(r, c, err) })
	}()
}

// dialed continues an attempt whose connection was made or has failed. If the attempt was cancelled meanwhile, its
// connection is kept for a later one.
func (d *Driver) dialed(r *attempt, c net.Conn, err error) {
	if err != nil {
		d.pool.adjust(r.addr, -1)
		d.finishAttempt(r, dialResult(err), nil)
		return
	}
	s := &upstream{addr: r.addr}
	s.parser = platform.NewRelay(s.handleNote)
	s.conn = d.newConn(c, 1, s.read, s.wrote)
	n := d.openRequests[r.id.Message]
	left := n != nil && n.clientClosed()
	if left {
		n.teardown()
	}
	switch {
	case left || d.attempts[r.id] != r:
		s.putIdle()
	case !d.core.MayStart(d.now(), r.id):
		s.teardown()
		d.finishAttempt(r, logic.NotSent, nil)
	default:
		s.start(r)
	}
}

// start writes an attempt's request.
func (s *upstream) start(r *attempt) {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.uses++
	r.upstream, s.attempt, s.writePending, s.counted, s.reusable = s, r, true, false, false
	s.parser.Begin(r.msg.Txn)
	s.write(func() []byte {
		// The remaining time in the request is computed at the moment of writing, however long the writer was held up.
		left := time.Duration(r.deadline-s.d.now()) * time.Microsecond
		return platform.AppendRelay(nil, r.addr, r.msg, max(left, 0), r.part)
	})
}

// putIdle keeps the connection for a later attempt, and closes it before the server would.
func (s *upstream) putIdle() {
	h := s.d.pool.servers[s.addr]
	h.idle = append(h.idle, s)
	if s.timer != nil {
		s.timer.Stop()
	}
	uses := s.uses
	s.timer = s.d.postAfter(microsOr(s.d.cfg.Settings.ConnIdle, defaultUpstreamIdle)*4/5, func() {
		// A connection that was reused while the timer's event was pending stays open.
		if s.uses == uses {
			s.teardown()
		}
	})
}

// teardown closes the connection and removes it from the pool.
func (s *upstream) teardown() {
	if s.isClosed {
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
	s.d.pool.adjust(s.addr, -1)
}

// read handles bytes from a server, or the end of its output.
func (s *upstream) read(b []byte, _ int64, err error) bool {
	if err == nil {
		err = s.parser.Feed(b)
	}
	if err != nil {
		s.fail()
		return false
	}
	return !s.isClosed
}

// fail ends a connection that broke or sent invalid data. Whether its attempt may have run depends on whether the
// whole request was written, which only the writer knows.
func (s *upstream) fail() {
	r := s.attempt
	if r != nil && s.writePending {
		s.failed = true
		s.socket.Close()
		return
	}
	s.teardown()
	if r != nil {
		s.d.finishAttempt(r, logic.Broken, nil)
	}
}

// wrote handles the completion of a request's write.
func (s *upstream) wrote(err error) {
	s.writePending = false
	if err == nil && s.attempt != nil {
		s.count()
	}
	if s.isClosed {
		return
	}
	if err == nil && !s.failed {
		if s.reusable {
			s.awaitingEnd = false
			s.putIdle()
		}
		return
	}
	r := s.attempt
	s.teardown()
	if r == nil {
		return
	}
	if err != nil {
		// The last byte was never written, so the request cannot have started.
		s.d.finishAttempt(r, logic.ConnectFailed, nil)
		return
	}
	s.d.finishAttempt(r, logic.Broken, nil)
}

// count counts a request that was written completely.
func (s *upstream) count() {
	if !s.counted {
		s.counted = true
		s.d.metrics.dispatches.Add(1)
	}
}

// handleNote handles what the server reports about the attempt. The server must have the whole request by then, even
// if the writer reports the write later.
func (s *upstream) handleNote(n platform.Note) {
	r, d := s.attempt, s.d
	if r != nil {
		s.count()
	}
	switch n.Kind {
	case platform.NoteTaken:
		if r != nil {
			d.execute(d.core.Taken(d.now(), r.id))
		}
	case platform.NoteStarted:
		if r != nil {
			if d.journal != nil {
				d.journal.Started(r.id)
			}
			d.execute(d.core.Started(d.now(), r.id))
		}
	case platform.NoteProgress:
		if r != nil {
			d.execute(d.core.Progress(d.now(), r.id, n.Share))
		}
	case platform.NoteEnded:
		s.attempt, s.awaitingEnd = nil, true
		s.timer = d.postAfter(closeTimeout, func() {
			if s.awaitingEnd {
				s.teardown()
			}
		})
		if r != nil {
			r.upstream = nil
			d.finishAttempt(r, n.Result, n.Content)
		}
	case platform.NoteFree:
		switch {
		case !n.Keep || s.isClosed:
			s.teardown()
		case s.writePending: // the answer came before the writer's report, which is awaited as long as the end of an answer
			s.reusable = true
		default:
			s.awaitingEnd = false
			s.putIdle()
		}
	}
}

// finishAttempt removes an attempt that has ended and reports its result to the core. A connection that it still
// occupies is closed first, so that no other attempt starts on it while this one is unfinished.
func (d *Driver) finishAttempt(r *attempt, result logic.Result, content []byte) {
	if d.attempts[r.id] != r {
		return
	}
	d.releaseAttempt(r)
	if d.journal != nil {
		d.journal.Ended(d.now(), r.id, result)
	}
	d.execute(d.core.Ended(d.now(), r.id, result, content))
}

// attemptTimedOut ends an attempt whose time is up. If its connection is not made yet, the request was never sent.
func (d *Driver) attemptTimedOut(r *attempt) {
	if r.upstream == nil {
		d.finishAttempt(r, logic.NotSent, nil)
		return
	}
	d.finishAttempt(r, logic.TimedOut, nil)
}

// cancelAttempt stops an attempt that the core cancelled.
func (d *Driver) cancelAttempt(id dispatch.AttemptID) {
	if r := d.attempts[id]; r != nil {
		d.releaseAttempt(r)
	}
}

func (d *Driver) releaseAttempt(r *attempt) {
	delete(d.attempts, r.id)
	r.timer.Stop()
	if r.upstream != nil {
		r.upstream.attempt = nil
		r.upstream.teardown()
	}
}

// microsOr converts a setting in microseconds to a duration, or returns a default if it is not set.
func microsOr(v int64, otherwise time.Duration) time.Duration {
	if v <= 0 {
		return otherwise
	}
	return time.Duration(v) * time.Microsecond
}
