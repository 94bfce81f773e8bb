package driver

import (
	"net"
	"time"

	"granitewing/internal/memory"
	"granitewing/internal/wire/platform"
)

// north is a connection from a client. It carries one message at a time; what the client sends ahead of an
// answer waits unread but for one piece, so that nothing here grows.
type north struct {
	*conn
	parser  *platform.North
	rest    []byte            // read behind the message
	at      int64             // when the latest piece came
	msg     *platform.Message // not yet answered
	id      memory.ID         // of the message, while the core has it
	held    bool              // the core has the message
	used    bool              // it has carried a message
	closing bool              // nothing more is taken; closed once the answer is written
	writes  int               // writes on their way
	since   time.Time         // of the latest answer, or of the connection
	timer   *time.Timer       // for what is awaited from the client
	expiry  *time.Timer       // backs up the decisions' own deadline
}

// take keeps a new connection from a client.
func (d *Driver) take(c net.Conn) {
	d.arrived = time.Now()
	n := &north{parser: platform.NewNorth(d.lanes), since: d.arrived}
	n.conn = d.newConn(c, 3, n.read, n.wrote) // at most a go-ahead and an answer wait for the writer
	d.norths[n] = struct{}{}
	n.await()
	if len(d.norths) > d.limits.north {
		d.evictNorth()
	}
}

// evictNorth closes the client connection that has stood idle longest, if any does. One that has carried
// nothing yet was opened for a message that is on its way, so it stays.
func (d *Driver) evictNorth() {
	var oldest *north
	for n := range d.norths {
		if n.idle() && n.used && (oldest == nil || n.since.Before(oldest.since)) {
			oldest = n
		}
	}
	if oldest != nil {
		oldest.end()
	}
}

// idle tells whether nothing has begun and nothing is owed.
func (n *north) idle() bool { return n.msg == nil && n.writes == 0 && !n.parser.Partial() }

// await sets the time-out for what comes next from the client.
func (n *north) await() {
	if n.timer != nil {
		n.timer.Stop()
	}
	switch {
	case n.gone || n.msg != nil:
	case n.parser.Partial():
		n.timer = n.d.after(messageLimit, func() {
			if !n.gone && n.msg == nil && n.parser.Partial() {
				n.fault(&platform.Fault{Status: 408, Why: "message not whole in time"})
			}
		})
	default:
		n.timer = n.d.after(northIdle, func() {
			if n.idle() {
				n.end()
			}
		})
	}
}

// read takes bytes from a client, or the end of them.
func (n *north) read(b []byte, at int64, err error) bool {
	if err != nil {
		n.end()
		return false
	}
	n.at = at
	n.rest = append(n.rest, b...)
	return n.parse()
}

// parse takes the next message out of what was read; false while bytes are left that have to wait.
func (n *north) parse() bool {
	begun := n.parser.Partial()
	for n.msg == nil && len(n.rest) > 0 && !n.closing && !n.gone {
		used, m, fault := n.parser.Feed(n.rest)
		n.rest = n.rest[:copy(n.rest, n.rest[used:])]
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
		n.rest = nil
	}
	if n.parser.Partial() != begun || n.msg != nil {
		n.await()
	}
	return len(n.rest) == 0
}

// handle answers a message here or hands it to the core.
func (n *north) handle() {
	d, m := n.d, n.msg
	switch {
	case m.Fault != nil:
		n.reply(m.Fault.Status, []byte(m.Fault.Why), 0)
	case m.Health && d.ready && d.core.Ready() && d.stopped.IsZero():
		n.reply(200, nil, 0)
	case m.Health:
		n.reply(503, nil, 0)
	case len(d.norths) > d.limits.north:
		// The descriptors run out: new work is refused while what was taken is served.
		n.closing = true
		n.reply(503, nil, fullAfter)
	default:
		n.arrive()
	}
}

// arrive hands the message to the core.
func (n *north) arrive() {
	d, m := n.d, n.msg
	wait := m.Remaining
	if wait < 0 {
		wait = time.Duration(d.cfg.Settings.Classes[m.Class].Deadline) * time.Microsecond
	}
	deadline := n.at + wait.Microseconds()
	id, cmds := d.core.Arrive(d.now(), m.Message, deadline)
	n.id, n.held = id, true
	d.open[id] = n
	n.expiry = d.after(time.Duration(deadline-d.now())*time.Microsecond+expireAfter, func() {
		if d.open[id] == n {
			d.do(d.core.Expire(d.now(), id))
		}
	})
	d.do(cmds)
}

// answer gives the final answer to the open message.
func (n *north) answer(c memory.Command) {
	n.held = false
	n.expiry.Stop()
	switch c.Verdict {
	case memory.Served:
		n.reply(200, c.Content, 0)
	case memory.Refused:
		n.reply(503, nil, time.Duration(c.After)*time.Microsecond)
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

// reply answers the message.
func (n *north) reply(status int, content []byte, after time.Duration) {
	n.closing = n.closing || n.msg.Close || !n.d.stopped.IsZero()
	n.msg, n.used, n.since = nil, true, time.Now()
	n.put(platform.AppendAnswer(nil, status, content, after, n.closing))
	n.await()
}

// fault answers what leaves no way to find the next message.
func (n *north) fault(f *platform.Fault) {
	n.msg = &platform.Message{Close: true}
	n.reply(f.Status, []byte(f.Why), 0)
}

// put queues bytes for the client.
func (n *north) put(b []byte) {
	if n.gone {
		return
	}
	n.writes++
	if !n.write(b) {
		n.end()
	}
}

// wrote follows each write.
func (n *north) wrote(err error) {
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
func (n *north) farewell() {
	if t, ok := n.c.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	n.resume()
	n.d.after(goodbyeLimit, n.end)
}

// end closes the connection; a client with an open message has left.
func (n *north) end() {
	if n.gone {
		return
	}
	d := n.d
	n.close()
	delete(d.norths, n)
	d.room()
	if n.timer != nil {
		n.timer.Stop()
	}
	if n.held {
		n.held = false
		n.expiry.Stop()
		id := n.id
		delete(d.open, id)
		d.later = append(d.later, func() { d.do(d.core.HangUp(d.now(), id)) })
	}
}
