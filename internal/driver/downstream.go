package driver

import (
	"net"
	"time"

	"granitewing/internal/dispatch"
	"granitewing/internal/record"
	"granitewing/internal/wire/platform"
)

// maxReadAhead is how many bytes a client may send ahead of an answer before reading pauses: room for some more whole
// requests. Reading continues up to this bound, since the end of a connection cannot be seen behind unread bytes.
const maxReadAhead = 256 << 10

// downstream is a connection from a client. It handles one request at a time; what the client sends ahead of an answer
// is buffered, up to limits.readAhead bytes.
type downstream struct {
	*conn
	parser             *platform.RequestReader
	unparsed           []byte            // bytes read after the current request
	arrivals           arrivals          // when the bytes in unparsed were received
	receivedAt         int64             // when the last byte of the request was received, Unix microseconds
	msg                *platform.Message // current request, not yet answered
	messageID          dispatch.ID       // of the request while the core has it
	inCore             bool              // the core has the request
	hadRequest         bool              // it has carried a request, possibly one that was refused
	hadAcceptedRequest bool              // the core has accepted a request from this connection
	closing            bool              // no further requests are read; closed once the answer is written
	framingLost        bool              // the end of the request is unknown, so the client may still be sending
	pendingWrites      int               // queued writes that are not complete
	bufferedBytes      int               // this connection's part of Driver.bufferedBytes
	idleSince          time.Time         // time of the latest answer, or of the connection
	requestBegan       time.Time         // start of the request being read, for the first one that of the connection; zero if none is awaited
	evicting           bool              // it is being closed to make room for another connection
	timer              *time.Timer       // for the next input from the client
	expiryTimer        *time.Timer       // backup of the core's own deadline timer
}

// addDownstream registers a new client connection.
func (d *Driver) addDownstream(c net.Conn) {
	d.lastAccept = time.Now()
	n := &downstream{parser: platform.NewNorth(d.lanes, d.tenants), idleSince: d.lastAccept, requestBegan: d.lastAccept}
	n.conn = d.newConn(c, 3, n.read, n.wrote) // at most a 100-continue and an answer are queued
	n.conn.tryIdleClose = n.closeIfIdle
	d.downstreams[n] = struct{}{}
	n.armReadTimeout()
	if len(d.downstreams) >= d.limits.downstreams {
		d.evictDownstream()
	}
}

// evictDownstream closes the client connection with the lowest keepPriority, the oldest among equals. First come
// connections from which no request was ever accepted, such as those of a flood, then those that are about to close,
// then idle ones. A connection just opened for a request that is still under way is the youngest of the first group.
func (d *Driver) evictDownstream() {
	var victim *downstream
	for n := range d.downstreams {
		if !n.evicting && n.keepPriority() < mustKeep && (victim == nil || n.keepPriority() < victim.keepPriority() ||
			n.keepPriority() == victim.keepPriority() && n.idleSince.Before(victim.idleSince)) {
			victim = n
		}
	}
	switch {
	case victim == nil:
	case victim.closing:
		victim.teardown()
	default:
		victim.evicting = true
		victim.requestIdleClose()
	}
}

// closeIfIdle runs after requestIdleClose, once the reader has stopped and all that it read was handled. It reports
// whether it closed the connection; one on which a request has begun meanwhile stays open.
func (n *downstream) closeIfIdle() bool {
	if n.closing || !n.idle() && !(n.evicting && n.msg == nil && n.pendingWrites == 0) {
		n.evicting = false
		n.armReadTimeout()
		return false
	}
	n.teardown()
	return true
}

// mustKeep is the keepPriority of connections that must not be evicted.
const mustKeep = 3

// keepPriority ranks the connection for eviction; the lowest is evicted first.
func (n *downstream) keepPriority() int {
	switch {
	case n.msg != nil || n.pendingWrites > 0:
		return mustKeep
	case !n.hadAcceptedRequest:
		return 0
	case n.closing:
		return 1
	case n.idle():
		return 2
	}
	return mustKeep
}

// idle reports whether no request has begun and no answer is outstanding.
func (n *downstream) idle() bool { return n.msg == nil && n.pendingWrites == 0 && !n.parser.Partial() }

// armReadTimeout sets the timer for the next input from the client.
func (n *downstream) armReadTimeout() {
	if n.timer != nil {
		n.timer.Stop()
	}
	switch {
	case n.isClosed || n.closing || n.msg != nil:
	case !n.requestBegan.IsZero():
		n.timer = n.d.postAfter(requestTimeout-time.Since(n.requestBegan), n.requestTimedOut)
	default:
		n.timer = n.d.postAfter(downstreamIdleTimeout, func() {
			if n.idle() {
				n.requestIdleClose()
			}
		})
	}
}

// requestTimedOut ends the wait for a request, with a 408 answer if part of it was received. The time limit counts
// from the beginning of the request; further bytes do not extend it.
func (n *downstream) requestTimedOut() {
	switch {
	case n.isClosed || n.closing || n.msg != nil || n.requestBegan.IsZero() || time.Since(n.requestBegan) < requestTimeout:
	case n.parser.Partial():
		n.replyFault(&platform.Fault{Status: 408, Why: "message not whole in time"})
	default:
		n.requestIdleClose()
	}
}

// read handles bytes from a client, or the end of its input.
func (n *downstream) read(b []byte, at int64, err error) bool {
	if err != nil {
		n.teardown()
		return false
	}
	n.arrivals.add(len(b), at)
	n.unparsed = append(n.unparsed, b...)
	return n.parse()
}

// parse handles the requests in unparsed. It returns false while too many bytes must wait behind the current request.
func (n *downstream) parse() bool {
	for n.msg == nil && len(n.unparsed) > 0 && !n.closing && !n.isClosed {
		used, m, fault := n.parser.Feed(n.unparsed)
		n.unparsed = n.unparsed[:copy(n.unparsed, n.unparsed[used:])]
		n.receivedAt = n.arrivals.consume(used)
		switch {
		case fault != nil:
			n.replyFault(fault)
		case m != nil:
			n.msg = m
			n.handle()
		case n.parser.Awaited():
			n.queueWrite(platform.AppendContinue(nil))
		}
	}
	if n.closing {
		n.unparsed, n.arrivals = nil, nil
	}
	n.updateBufferedBytes()
	if n.requestBegan.IsZero() && n.parser.Partial() {
		n.requestBegan = time.Now()
		n.armReadTimeout()
	}
	return len(n.unparsed) == 0 || len(n.unparsed) < n.d.limits.readAhead && n.d.bufferedBytes <= n.d.limits.bufferedBytes
}

// updateBufferedBytes updates the count of request bytes that are buffered for clients, and refuses this client's
// request if it takes the total above its limit.
func (n *downstream) updateBufferedBytes() {
	bytes := 0
	switch {
	case n.isClosed || n.closing:
	case n.msg != nil:
		bytes = len(n.msg.Body) + len(n.unparsed)
	default:
		bytes = n.parser.Size()
	}
	grew := bytes > n.bufferedBytes
	n.d.bufferedBytes += bytes - n.bufferedBytes
	n.bufferedBytes = bytes
	if grew && n.d.bufferedBytes > n.d.limits.bufferedBytes && n.msg == nil {
		n.replyFault(&platform.Fault{Status: 503, Why: "too much is being sent"})
		n.updateBufferedBytes()
	}
}

// handle answers a request here or passes it to the core.
func (n *downstream) handle() {
	d, m := n.d, n.msg
	switch {
	case m.Fault != nil:
		n.reply(m.Fault.Status, []byte(m.Fault.Why), 0)
	case m.Health && d.serving.Load():
		// The cached list in the configuration suffices to be healthy. Many dispatchers that restart together keep discovery
		// busy, and if each waited for its answer, so would its clients.
		n.reply(200, nil, 0)
	case m.Health:
		n.reply(503, nil, 0)
	case len(d.openRequests) >= d.limits.requests:
		// Too many requests are open: new ones are refused, while accepted ones are still served.
		n.reply(503, nil, overloadRetryAfter)
	default:
		if d.journal != nil && !n.recordable() {
			return
		}
		n.submit()
	}
}

// recordable reports whether the store of record admits the request. If not, or if its key was already answered, the
// request is answered here.
func (n *downstream) recordable() bool {
	d, m := n.d, n.msg
	if content, known := d.journal.Repeat(d.now(), m.Class, m.Key); known {
		n.reply(200, content, 0)
		return false
	}
	if !d.journal.Admit(m.Class) {
		n.reply(503, nil, journalRetryAfter)
		return false
	}
	return true
}

// submit passes the request to the core.
func (n *downstream) submit() {
	d, m := n.d, n.msg
	wait := m.Remaining
	if wait < 0 {
		wait = time.Duration(d.cfg.Settings.Classes[m.Class].Deadline) * time.Microsecond
	}
	deadline := n.receivedAt + wait.Microseconds()
	now := d.now()
	id, cmds := d.core.Arrive(now, m.Message, deadline)
	if d.journal != nil && !(len(cmds) > 0 && cmds[0].Kind == dispatch.Answer && cmds[0].Verdict == dispatch.Duplicate) {
		d.journal.Accept(now, id, record.Message{Name: m.Txn, Key: m.Key, Class: m.Class, Deadline: deadline})
	}
	n.messageID, n.inCore, n.hadAcceptedRequest = id, true, true
	d.openRequests[id] = n
	n.expiryTimer = d.postAfter(time.Duration(deadline-d.now())*time.Microsecond+expiryGrace, func() {
		if d.openRequests[id] == n {
			d.execute(d.core.Expire(d.now(), id))
		}
	})
	d.execute(cmds)
}

// answer sends the final answer to the open request.
func (n *downstream) answer(c dispatch.Command) {
	n.inCore = false
	n.expiryTimer.Stop()
	switch c.Verdict {
	case dispatch.Served:
		n.reply(200, c.Content, 0)
	case dispatch.Refused:
		n.reply(503, nil, time.Duration(c.After)*time.Microsecond)
	case dispatch.Duplicate:
		n.reply(409, []byte("a message with this X-Txn is open"), 0)
	default:
		n.reply(502, nil, 0)
	}
	// Handling the next request may call the core, so it is deferred until the current commands are executed.
	n.d.deferred = append(n.d.deferred, func() {
		if !n.isClosed && n.parse() {
			n.resume()
		}
	})
}

// reply sends the answer to the current request.
func (n *downstream) reply(status int, content []byte, after time.Duration) {
	if m := n.msg; m.Fault == nil && !m.Health && !n.framingLost {
		n.d.metrics.countAnswer(m.Class, status)
	}
	// A client that is asked to leave first gets an answer to everything that was read from it.
	dismiss := n.msg.Health && !n.d.acceptingClients() || n.d.dismissingClients()
	n.closing = n.closing || n.msg.Close || dismiss && len(n.unparsed) == 0
	n.msg, n.hadRequest, n.idleSince, n.requestBegan = nil, true, time.Now(), time.Time{}
	n.queueWrite(platform.AppendAnswer(nil, status, content, after, n.closing))
	n.armReadTimeout()
}

// replyFault answers a fault after which the next request's beginning cannot be found, and closes the connection.
func (n *downstream) replyFault(f *platform.Fault) {
	n.msg, n.framingLost = &platform.Message{Close: true}, true
	n.reply(f.Status, []byte(f.Why), 0)
}

// queueWrite queues bytes for the client.
func (n *downstream) queueWrite(b []byte) {
	if n.isClosed {
		return
	}
	n.pendingWrites++
	if !n.write(func() []byte { return b }) {
		n.teardown()
	}
}

// wrote runs after each write.
func (n *downstream) wrote(err error) {
	n.pendingWrites--
	switch {
	case n.isClosed:
	case err != nil:
		n.teardown()
	case n.closing && n.pendingWrites == 0 && n.msg == nil:
		n.closeAfterAnswer()
	}
}

// closeAfterAnswer closes the connection after the last answer, the sending side first, so that a client that is still
// writing reads the answer before its connection is reset.
func (n *downstream) closeAfterAnswer() {
	if t, ok := n.socket.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	n.discardInput()
	limit := closeTimeout
	if n.framingLost {
		limit = discardTimeout
	}
	n.timer = n.d.postAfter(limit, n.teardown)
}

// teardown closes the connection and releases its resources; an open request is reported to the core as abandoned by
// the client.
func (n *downstream) teardown() {
	if n.isClosed {
		return
	}
	d := n.d
	n.close()
	n.updateBufferedBytes()
	delete(d.downstreams, n)
	d.admitNextConn()
	if n.timer != nil {
		n.timer.Stop()
	}
	if n.inCore {
		n.inCore = false
		n.expiryTimer.Stop()
		id := n.messageID
		delete(d.openRequests, id)
		d.deferred = append(d.deferred, func() {
			d.execute(d.core.ClientGone(d.now(), id))
			if d.journal != nil {
				d.journal.ClientLeft(d.now(), id)
				d.journal.flush()
			}
		})
	}
}
