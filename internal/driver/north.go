package driver

import (
	"errors"
	"net"
	"time"

	"granitewing/internal/memory"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// north is a connection from a client.
type north struct {
	*conn
	parser  *platform.North
	queue   []arrival // messages not yet answered, the first of them open
	id      memory.ID // of the open message
	held    bool      // the first of the queue is with the core
	rest    []byte    // read beyond the messages that may wait
	closing bool      // nothing more is taken; closed once the answer is written
	writes  int       // answers on their way
	timer   *time.Timer
	expiry  *time.Timer
	since   time.Time // of the last answer, for finding the longest idle
}

// arrival is a message with its deadline, 0 where the client states none.
type arrival struct {
	*platform.Message
	deadline int64
}

// take keeps a new connection from a client.
func (d *Driver) take(c net.Conn) {
	d.arrived = time.Now()
	n := &north{parser: platform.NewNorth(d.lanes), since: d.arrived}
	n.conn = d.newConn(c, pipelineMost+2, n.read, n.wrote)
	d.norths[n] = struct{}{}
	n.rearm()
	if len(d.norths) > d.limits.north {
		d.evictNorth()
	}
}

// evictNorth closes the client connection that has stood idle longest, if any does.
func (d *Driver) evictNorth() {
	var oldest *north
	for n := range d.norths {
		if n.idle() && (oldest == nil || n.since.Before(oldest.since)) {
			oldest = n
		}
	}
	if oldest != nil {
		oldest.end()
	}
}

// idle tells whether nothing has begun and nothing is owed.
func (n *north) idle() bool { return len(n.queue) == 0 && n.writes == 0 && !n.parser.Partial() }

// rearm sets the time-out for what is awaited from the client.
func (n *north) rearm() {
	if n.timer != nil {
		n.timer.Stop()
	}
	switch {
	case n.gone || len(n.queue) > 0:
	case n.parser.Partial():
		n.timer = n.d.after(messageLimit, func() {
			if !n.gone && len(n.queue) == 0 && n.parser.Partial() {
				n.fault(&platform.Fault{Status: 408, Why: "message not whole in time"})
			}
		})
	default:
		n.timer = n.d.after(northIdle, func() {
			if !n.gone && n.idle() {
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
	n.rest = append(n.rest, b...)
	return n.parse(at)
}

// parse takes messages out of what was read; false once the client is so far ahead that it must wait.
func (n *north) parse(at int64) bool {
	begun := n.parser.Partial()
	for len(n.rest) > 0 && len(n.queue) < pipelineMost && !n.closing && !n.gone {
		used, m, fault := n.parser.Feed(n.rest)
		n.rest = n.rest[:copy(n.rest, n.rest[used:])]
		if fault != nil {
			n.fault(fault)
			break
		}
		if m == nil {
			if n.parser.Awaited() && !n.write(platform.AppendContinue(nil)) {
				n.end()
			}
			continue
		}
		a := arrival{Message: m}
		if m.Remaining >= 0 {
			a.deadline = at + m.Remaining.Microseconds()
		}
		n.queue = append(n.queue, a)
		n.next()
	}
	if n.closing {
		n.rest = nil
	}
	if begun != n.parser.Partial() {
		n.rearm()
	}
	return len(n.rest) == 0
}

// next hands the first waiting message on, unless one is with the core already.
func (n *north) next() {
	for !n.held && len(n.queue) > 0 && !n.gone {
		m := n.queue[0]
		switch {
		case m.Fault != nil:
			n.reply(m.Fault.Status, []byte(m.Fault.Why+"\n"), 0)
		case m.Health:
			if n.d.ready && n.d.stopped.IsZero() {
				n.reply(200, nil, 0)
			} else {
				n.reply(503, nil, 0)
			}
		case len(n.d.norths) > n.d.limits.north+n.d.limits.spare/2:
			// The descriptors run out: new work is refused while what was taken is served.
			n.closing = true
			n.reply(503, nil, 0)
		default:
			n.held = true
			n.arrive(m)
		}
	}
}

func (n *north) arrive(m arrival) {
	d := n.d
	id, cmds := d.core.Arrive(d.now(), m.Message.Message, m.deadline)
	n.id = id
	d.open[id] = n
	wait := m.Remaining
	if wait < 0 {
		wait = time.Duration(d.cfg.Settings.Classes[m.Class].Deadline) * time.Microsecond
	}
	n.expiry = d.after(wait+expireAfter, func() {
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
	// The next message is handed on after the commands of this call.
	n.d.later = append(n.d.later, func() {
		n.next()
		if !n.gone && n.parse(n.d.now()) {
			n.resume()
		}
		n.rearm()
	})
}

// reply answers the first message of the queue.
func (n *north) reply(status int, content []byte, after time.Duration) {
	m := n.queue[0]
	n.queue = n.queue[1:]
	last := n.closing || m.Close || !n.d.stopped.IsZero()
	n.finish(platform.AppendAnswer(nil, status, content, after, last), last)
}

// fault answers what leaves no way to find the next message.
func (n *north) fault(f *platform.Fault) {
	if len(n.queue) > 0 {
		// Messages ahead of it are answered first, and the last of those answers closes.
		n.closing = true
		return
	}
	n.finish(platform.AppendAnswer(nil, f.Status, []byte(f.Why+"\n"), 0, true), true)
}

// finish writes an answer.
func (n *north) finish(b []byte, last bool) {
	n.closing = n.closing || last
	n.since = time.Now()
	if n.gone {
		return
	}
	n.writes++
	if !n.write(b) {
		n.end()
	}
}

// wrote follows each write.
func (n *north) wrote(_ int, err error) {
	if n.gone {
		return
	}
	if n.writes > 0 {
		n.writes--
	}
	switch {
	case err != nil:
		n.end()
	case n.closing && n.writes == 0 && !n.held:
		n.farewell()
	}
}

// farewell closes after the last answer: the sending side first, so that a client that is still writing
// reads the answer before its connection is reset.
func (n *north) farewell() {
	if t, ok := n.c.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	n.rest = nil
	n.resume()
	n.d.after(drainLimit, n.end)
}

// end closes the connection; a client with an open message has left.
func (n *north) end() {
	if n.gone {
		return
	}
	n.close()
	delete(n.d.norths, n)
	if n.timer != nil {
		n.timer.Stop()
	}
	if n.held {
		n.held = false
		n.expiry.Stop()
		delete(n.d.open, n.id)
		id := n.id
		n.d.later = append(n.d.later, func() { n.d.do(n.d.core.HangUp(n.d.now(), id)) })
	}
}

// ---- Inventory ----

// watch is the connection to discovery.
type watch struct {
	*conn
	timer *time.Timer
	over  bool
}

// openWatch opens the watch on the inventory anew.
func (d *Driver) openWatch() {
	if d.watch != nil {
		d.watch.end()
	}
	w := &watch{}
	d.watch = w
	go func() {
		c, err := net.DialTimeout("tcp", d.cfg.Discovery, dialInventory)
		d.post(func() {
			if err != nil || w.over {
				if err == nil {
					c.Close()
				}
				d.lost(w, err)
				return
			}
			d.watching(w, c)
		})
	}()
}

func (d *Driver) watching(w *watch, c net.Conn) {
	parser := platform.NewWatch(d.cfg.Names(), func(l platform.List) {
		how := logic.ListDelta
		if l.Complete {
			how = logic.ListFull
		}
		d.listed = l.Revision
		d.ready = true
		d.do(d.core.Inventory(d.now(), how, l.Hosts))
	})
	still := func() {
		if w.timer != nil {
			w.timer.Stop()
		}
		w.timer = d.after(inventoryWait, func() { d.lost(w, errors.New("discovery has gone silent")) })
	}
	w.conn = d.newConn(c, 1, func(b []byte, _ int64, err error) bool {
		if err == nil {
			err = parser.Feed(b)
		}
		if err != nil {
			d.lost(w, err)
			return false
		}
		still()
		return true
	}, func(_ int, err error) {
		if err != nil {
			d.lost(w, err)
		}
	})
	still()
	w.write(platform.AppendWatch(nil, d.cfg.Discovery, d.listed))
}

// lost tells the decisions that the watch is over; they say when to ask again.
func (d *Driver) lost(w *watch, err error) {
	if w.over {
		return
	}
	w.end()
	d.log("inventory: %v", err)
	d.do(d.core.Inventory(d.now(), logic.ListFailed, nil))
}

func (w *watch) end() {
	w.over = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.conn != nil {
		w.close()
	}
}
