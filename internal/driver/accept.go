package driver

import (
	"errors"
	"net"
	"time"
)

// How a listener that is shut is emptied.
const (
	acceptGap  = 10 * time.Millisecond  // in which no connection comes: its queue is empty
	acceptMost = 300 * time.Millisecond // where they keep coming, as they do while a successor shares the address
	// With arrivals stopped only handshakes under way can still end. It is short, since opening packets that are dropped
	// meanwhile are sent again a second later.
	stoppedGap = 2 * time.Millisecond
)

// accept takes connections until the listener is shut, then those that are in its queue: the machine has accepted them, and
// closing the listener resets them. Only while as many as may be open are all owed something do they wait there.
func (d *Driver) accept() {
	defer d.post(func() {
		d.refused = true
		d.log.Info("listens no more")
	})
	defer d.ln.Close()
	for {
		c, err := d.ln.Accept()
		switch {
		case err == nil:
			if !d.hand(c) {
				return
			}
		case d.refusing():
			d.emptyQueue()
			return
		case errors.Is(err, net.ErrClosed):
			return
		default:
			// Out of descriptors or memory, most likely, or a fault of the network for a moment: those already taken must
			// be served on, and the next tried again.
			d.log.Error("accept", "cause", err)
			if !d.pause(acceptRetry) {
				return
			}
		}
	}
}

// hand gives a connection to the owner and waits until there is room for the next; false at the end of the driver.
func (d *Driver) hand(c net.Conn) bool {
	next := make(chan struct{})
	d.post(func() {
		d.take(c)
		d.full = next
		d.room()
	})
	select {
	case <-next:
		return true
	case <-d.done:
		return false
	}
}

// pause waits; false if the driver ended meanwhile.
func (d *Driver) pause(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.done:
		return false
	}
}

func (d *Driver) refusing() bool {
	select {
	case <-d.refuse:
		return true
	default:
		return false
	}
}

// deadliner is a listener whose Accept can be ended without closing it.
type deadliner interface{ SetDeadline(time.Time) error }

// shutListener has the listener take only what is in its queue; refused tells when that is done.
func (d *Driver) shutListener() {
	if d.shut {
		return
	}
	d.shut = true
	close(d.refuse)
	if ln, can := d.ln.(deadliner); can {
		ln.SetDeadline(time.Unix(1, 0))
	} else {
		d.ln.Close()
	}
}

// emptyQueue takes what is left in the queue of a listener that is shut: until none comes for a while, and then, with
// arrivals stopped, what came between the last look and that moment.
func (d *Driver) emptyQueue() {
	ln, can := d.ln.(deadliner)
	if !can {
		return
	}
	if !d.takeQueued(ln, acceptGap) {
		return
	}
	if err := stopArrivals(d.ln); err != nil {
		d.log.Debug("arrivals are not stopped before the listener is closed", "cause", err)
		return
	}
	d.takeQueued(ln, stoppedGap)
}

// takeQueued takes connections until none comes for gap, for acceptMost at the longest; false at the end of the driver.
func (d *Driver) takeQueued(ln deadliner, gap time.Duration) bool {
	for end := time.Now().Add(acceptMost); time.Now().Before(end); {
		ln.SetDeadline(time.Now().Add(gap))
		c, err := d.ln.Accept()
		if err != nil {
			return true
		}
		if !d.hand(c) {
			return false
		}
	}
	return true
}

// room lets the next connection in if there is room for it.
func (d *Driver) room() {
	if d.full != nil && len(d.downstreams) < d.limits.downstreams {
		close(d.full)
		d.full = nil
	}
}
