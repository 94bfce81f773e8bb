package driver

import (
	"net"
	"time"

	"granitewing/internal/memory"
	"granitewing/internal/record"
	"granitewing/internal/wire/platform"
)

// aheadMost is how many bytes a client may send ahead of an answer before it is read no further: some whole requests
// more. It is read on until then, since the end of its connection can't be seen behind bytes that are left unread.
const aheadMost = 256 << 10

// downstream is a connection from a client. It carries one request at a time; what the client sends ahead of an
// answer waits, up to limits.ahead.
type downstream struct {
	*conn
	parser  *platform.North
	rest    []byte            // read behind the request
	pieces  arrivals          // when what is in rest came
	at      int64             // when the last byte of the request came
	msg     *platform.Message // not yet answered
	id      memory.ID         // of the request, while the core has it
	held    bool              // the core has the request
	used    bool              // it has carried a request, though perhaps one that can't be taken
	proven  bool              // the core has taken a request from it
	closing bool              // nothing more is taken; closed once the answer is written
	faulty  bool              // the end of what the client sends is not known, so it may still be sending
	writes  int               // writes on their way
	bytes   int               // that it holds of the driver's
	since   time.Time         // of the latest answer, or of the connection
	begun   time.Time         // of the request awaited, the first one's is the connection's; zero for none
	evicted bool              // it makes room for another connection
	timer   *time.Timer       // for what is awaited from the client
	expiry  *time.Timer       // backs up the decisions' own deadline
}

// take keeps a new connection from a client.
func (d *Driver) take(c net.Conn) {
	d.arrived = time.Now()
	n := &downstream{parser: platform.NewNorth(d.lanes, d.tenants), since: d.arrived, begun: d.arrived}
	n.conn = d.newConn(c, 3, n.read, n.wrote) // at most a go-ahead and an answer wait for the writer
	n.conn.halted = n.halted
	d.downstreams[n] = struct{}{}
	n.await()
	if len(d.downstreams) >= d.limits.downstreams {
		d.evictDownstream()
	}
}

// evictDownstream closes the client connection that is missed least, the oldest of its kind: one from which no
// request was ever taken, as those have that flood; one that only waits for its end; one that stands idle. One
// that was opened for a request on its way is the youngest of the first kind.
func (d *Driver) evictDownstream() {
	var least *downstream
	for n := range d.downstreams {
		if !n.evicted && n.missed() < owed && (least == nil || n.missed() < least.missed() ||
			n.missed() == least.missed() && n.since.Before(least.since)) {
			least = n
		}
	}
	switch {
	case least == nil:
	case least.closing:
		least.end()
	default:
		least.evicted = true
		least.retire()
	}
}

// halted follows retire: the reader has stopped and all that it read was taken. It tells whether the connection was closed;
// one on which a request has begun meanwhile goes on.
func (n *downstream) halted() bool {
	if n.closing || !n.idle() && !(n.evicted && n.msg == nil && n.writes == 0) {
		n.evicted = false
		n.await()
		return false
	}
	n.end()
	return true
}

// owed is how much those are missed that must stay.
const owed = 3

// missed tells how much a connection would be missed.
func (n *downstream) missed() int {
	switch {
	case n.msg != nil || n.writes > 0:
		return owed
	case !n.proven:
		return 0
	case n.closing:
		return 1
	case n.idle():
		return 2
	}
	return owed
}

// idle tells whether nothing has begun and nothing is owed.
func (n *downstream) idle() bool { return n.msg == nil && n.writes == 0 && !n.parser.Partial() }

// await sets the time-out for what comes next from the client.
func (n *downstream) await() {
	if n.timer != nil {
		n.timer.Stop()
	}
	switch {
	case n.gone || n.closing || n.msg != nil:
	case !n.begun.IsZero():
		n.timer = n.d.after(messageLimit-time.Since(n.begun), n.late)
	default:
		n.timer = n.d.after(downstreamIdle, func() {
			if n.idle() {
				n.retire()
			}
		})
	}
}

// late ends the wait for a request: with an answer where some of it has come. It runs from the request's
// beginning, and no byte that comes prolongs it.
func (n *downstream) late() {
	switch {
	case n.gone || n.closing || n.msg != nil || n.begun.IsZero() || time.Since(n.begun) < messageLimit:
	case n.parser.Partial():
		n.fault(&platform.Fault{Status: 408, Why: "message not whole in time"})
	default:
		n.retire()
	}
}

// read takes bytes from a client, or the end of them.
func (n *downstream) read(b []byte, at int64, err error) bool {
	if err != nil {
		n.end()
		return false
	}
	n.pieces.add(len(b), at)
	n.rest = append(n.rest, b...)
	return n.parse()
}

// parse takes the next request out of what was read; false while too much is left that has to wait.
func (n *downstream) parse() bool {
	for n.msg == nil && len(n.rest) > 0 && !n.closing && !n.gone {
		used, m, fault := n.parser.Feed(n.rest)
		n.rest = n.rest[:copy(n.rest, n.rest[used:])]
		n.at = n.pieces.take(used)
		switch {
		case fault != nil:
			n.fault(fault)
		case m != nil:
			n.msg = m
			n.handle()
		case n.parser.Awaited():
			n.put(platform.AppendContinue(nil))
		}
	}
	if n.closing {
		n.rest, n.pieces = nil, nil
	}
	n.weigh()
	if n.begun.IsZero() && n.parser.Partial() {
		n.begun = time.Now()
		n.await()
	}
	return len(n.rest) == 0 || len(n.rest) < n.d.limits.ahead && n.d.bytes <= n.d.limits.bytes
}

// weigh books the bytes that the client has sent of a request and turns it away if all hold too many.
func (n *downstream) weigh() {
	bytes := 0
	switch {
	case n.gone || n.closing:
	case n.msg != nil:
		bytes = len(n.msg.Body) + len(n.rest)
	default:
		bytes = n.parser.Size()
	}
	more := bytes > n.bytes
	n.d.bytes += bytes - n.bytes
	n.bytes = bytes
	if more && n.d.bytes > n.d.limits.bytes && n.msg == nil {
		n.fault(&platform.Fault{Status: 503, Why: "too much is being sent"})
		n.weigh()
	}
}

// handle answers a request here or hands it to the core.
func (n *downstream) handle() {
	d, m := n.d, n.msg
	switch {
	case m.Fault != nil:
		n.reply(m.Fault.Status, []byte(m.Fault.Why), 0)
	case m.Health && d.serving.Load():
		// The list that the configuration holds will do: a dispatcher that came back with many others would wait for
		// discovery as long as all of them together keep it busy, and its clients with it.
		n.reply(200, nil, 0)
	case m.Health:
		n.reply(503, nil, 0)
	case len(d.open) >= d.limits.requests:
		// Room runs out: new work is refused while what was taken is served.
		n.reply(503, nil, fullAfter)
	default:
		if d.journal != nil && !n.recordable() {
			return
		}
		n.arrive()
	}
}

// recordable tells whether the request may be taken as far as the store of record goes; else it is answered here.
func (n *downstream) recordable() bool {
	d, m := n.d, n.msg
	if content, known := d.journal.Repeat(d.now(), m.Class, m.Key); known {
		n.reply(200, content, 0)
		return false
	}
	if !d.journal.Admit(m.Class) {
		n.reply(503, nil, refusedFor)
		return false
	}
	return true
}

// arrive hands the request to the core.
func (n *downstream) arrive() {
	d, m := n.d, n.msg
	wait := m.Remaining
	if wait < 0 {
		wait = time.Duration(d.cfg.Settings.Classes[m.Class].Deadline) * time.Microsecond
	}
	deadline := n.at + wait.Microseconds()
	now := d.now()
	id, cmds := d.core.Arrive(now, m.Message, deadline)
	if d.journal != nil && !(len(cmds) > 0 && cmds[0].Kind == memory.Answer && cmds[0].Verdict == memory.Duplicate) {
		d.journal.Take(now, id, record.Message{Name: m.Txn, Key: m.Key, Class: m.Class, Deadline: deadline})
	}
	n.id, n.held, n.proven = id, true, true
	d.open[id] = n
	n.expiry = d.after(time.Duration(deadline-d.now())*time.Microsecond+expireAfter, func() {
		if d.open[id] == n {
			d.do(d.core.Expire(d.now(), id))
		}
	})
	d.do(cmds)
}

// answer gives the final answer to the open request.
func (n *downstream) answer(c memory.Command) {
	n.held = false
	n.expiry.Stop()
	switch c.Verdict {
	case memory.Served:
		n.reply(200, c.Content, 0)
	case memory.Refused:
		n.reply(503, nil, time.Duration(c.After)*time.Microsecond)
	case memory.Duplicate:
		n.reply(409, []byte("a message with this X-Txn is open"), 0)
	default:
		n.reply(502, nil, 0)
	}
	// What waits behind it may call the core, so it comes after the commands that are being carried out.
	n.d.later = append(n.d.later, func() {
		if !n.gone && n.parse() {
			n.resume()
		}
	})
}

// reply answers the request.
func (n *downstream) reply(status int, content []byte, after time.Duration) {
	if m := n.msg; m.Fault == nil && !m.Health && !n.faulty {
		n.d.figures.answered(m.Class, status)
	}
	// A client that is sent away has its answer to all that was read from it.
	away := n.msg.Health && !n.d.taking() || n.d.parting()
	n.closing = n.closing || n.msg.Close || away && len(n.rest) == 0
	n.msg, n.used, n.since, n.begun = nil, true, time.Now(), time.Time{}
	n.put(platform.AppendAnswer(nil, status, content, after, n.closing))
	n.await()
}

// fault answers what leaves no way to find the next request.
func (n *downstream) fault(f *platform.Fault) {
	n.msg, n.faulty = &platform.Message{Close: true}, true
	n.reply(f.Status, []byte(f.Why), 0)
}

// put queues bytes for the client.
func (n *downstream) put(b []byte) {
	if n.gone {
		return
	}
	n.writes++
	if !n.write(func() []byte { return b }) {
		n.end()
	}
}

// wrote follows each write.
func (n *downstream) wrote(err error) {
	n.writes--
	switch {
	case n.gone:
	case err != nil:
		n.end()
	case n.closing && n.writes == 0 && n.msg == nil:
		n.farewell()
	}
}

// farewell closes after the last answer: the sending side first, so that a client that is still writing
// reads the answer before its connection is reset.
func (n *downstream) farewell() {
	if t, ok := n.c.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	n.drain()
	limit := goodbyeLimit
	if n.faulty {
		limit = drainLimit
	}
	n.timer = n.d.after(limit, n.end)
}

// end closes the connection; a client with an open request has left.
func (n *downstream) end() {
	if n.gone {
		return
	}
	d := n.d
	n.close()
	n.weigh()
	delete(d.downstreams, n)
	d.room()
	if n.timer != nil {
		n.timer.Stop()
	}
	if n.held {
		n.held = false
		n.expiry.Stop()
		id := n.id
		delete(d.open, id)
		d.later = append(d.later, func() {
			d.do(d.core.HangUp(d.now(), id))
			if d.journal != nil {
				d.journal.Left(d.now(), id)
				d.journal.flush()
			}
		})
	}
}
