package driver

import (
	"errors"
	"net"
	"time"
)

// Timing of the drain of the accept queue once the listener stops.
const (
	acceptQuietPeriod = 10 * time.Millisecond  // no connection for this long means that the accept queue is empty
	maxQueueDrain     = 300 * time.Millisecond // bound on the drain while connections keep arriving, as they do while a successor shares the address
	// Once new connections are dropped, only handshakes already under way can still complete. The wait is short, since
	// clients resend a dropped SYN a second later.
	filteredQuietPeriod = 2 * time.Millisecond
)

// accept takes connections until the listener stops, then those left in its queue: the kernel has already accepted
// them, and closing the listener would reset them. Connections wait in the queue only while the limit of open
// connections is reached and none of them can be evicted.
func (d *Driver) accept() {
	defer d.post(func() {
		d.acceptStopped = true
		d.log.Info("listener stopped")
	})
	defer d.ln.Close()
	for {
		c, err := d.ln.Accept()
		switch {
		case err == nil:
			if !d.submitConn(c) {
				return
			}
		case d.acceptStopping():
			d.drainAcceptQueue()
			return
		case errors.Is(err, net.ErrClosed):
			return
		default:
			// Most likely the process is out of descriptors or memory, or the network has a transient fault. Connections
			// already accepted must still be served, so accepting is retried after a delay.
			d.log.Error("accept failed", "cause", err)
			if !d.sleep(acceptRetryDelay) {
				return
			}
		}
	}
}

// submitConn passes a connection to the owner and waits until another one may be accepted. It returns false once the
// driver has ended.
func (d *Driver) submitConn(c net.Conn) bool {
	next := make(chan struct{})
	d.post(func() {
		d.addDownstream(c)
		d.nextAccept = next
		d.admitNextConn()
	})
	select {
	case <-next:
		return true
	case <-d.done:
		return false
	}
}

// sleep waits for the given time; it returns false if the driver ended meanwhile.
func (d *Driver) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.done:
		return false
	}
}

func (d *Driver) acceptStopping() bool {
	select {
	case <-d.stopAccepting:
		return true
	default:
		return false
	}
}

// deadlineListener is a listener whose Accept can be interrupted without closing it.
type deadlineListener interface{ SetDeadline(time.Time) error }

// stopListener makes the listener accept only what is already in its queue; acceptStopped is set once that is done.
func (d *Driver) stopListener() {
	if d.listenerStopped {
		return
	}
	d.listenerStopped = true
	close(d.stopAccepting)
	if ln, can := d.ln.(deadlineListener); can {
		ln.SetDeadline(time.Unix(1, 0))
	} else {
		d.ln.Close()
	}
}

// drainAcceptQueue accepts what is left in the queue of a stopped listener. It first accepts until no connection
// arrives for acceptQuietPeriod. It then drops new connections in the kernel and accepts those that arrived between
// the last check and that moment.
func (d *Driver) drainAcceptQueue() {
	ln, can := d.ln.(deadlineListener)
	if !can {
		return
	}
	if !d.acceptQueued(ln, acceptQuietPeriod) {
		return
	}
	if err := dropNewConnections(d.ln); err != nil {
		d.log.Debug("cannot drop new connections before closing the listener", "cause", err)
		return
	}
	d.acceptQueued(ln, filteredQuietPeriod)
}

// acceptQueued accepts connections until none arrives for gap, for at most maxQueueDrain. It returns false once the
// driver has ended.
func (d *Driver) acceptQueued(ln deadlineListener, gap time.Duration) bool {
	for end := time.Now().Add(maxQueueDrain); time.Now().Before(end); {
		ln.SetDeadline(time.Now().Add(gap))
		c, err := d.ln.Accept()
		if err != nil {
			return true
		}
		if !d.submitConn(c) {
			return false
		}
	}
	return true
}

// admitNextConn lets accept proceed if the limit of client connections allows another one.
func (d *Driver) admitNextConn() {
	if d.nextAccept != nil && len(d.downstreams) < d.limits.downstreams {
		close(d.nextAccept)
		d.nextAccept = nil
	}
}
