package driver

import "time"

// stop begins the orderly end: connections that still arrive are taken, every answer closes its connection,
// and idle ones are closed once clients have had time to stop using them.
func (d *Driver) stop() {
	d.stopped = time.Now()
	if d.successor.Load() {
		d.shut = true
		d.ln.Close()
	}
	d.log.Info("stopping", "open", d.core.Open(), "successor", d.shut)
	d.census()
	d.startCheck()
}

// quiesce begins the operators' drain: /healthz says no, every answer closes its connection and idle ones are closed,
// as after SIGTERM, but the dispatcher stays.
func (d *Driver) quiesce() {
	if d.quiesced.IsZero() {
		d.quiesced = time.Now()
		d.log.Info("drained by hand", "open", d.core.Open())
	}
	d.census()
	d.startCheck()
}

// resume ends the operators' drain.
func (d *Driver) resume() {
	if !d.quiesced.IsZero() {
		d.log.Info("resumed by hand")
	}
	d.quiesced = time.Time{}
	d.census()
}

// draining gives when clients stopped being taken, or zero.
func (d *Driver) draining() time.Time {
	if !d.stopped.IsZero() {
		return d.stopped
	}
	return d.quiesced
}

func (d *Driver) startCheck() {
	if !d.checking {
		d.checking = true
		d.check()
	}
}

// check closes the connections that have stood idle long enough, and makes Run look again whether all is
// quiet. It runs as long as clients are not taken.
func (d *Driver) check() {
	since := d.draining()
	if since.IsZero() {
		d.checking = false
		return
	}
	for n := range d.norths {
		if n.idle() && time.Since(since) > lingerIdle && time.Since(n.since) > lingerIdle {
			n.end()
		}
	}
	if !d.stopped.IsZero() && !d.shut && time.Since(d.stopped) > arriveLimit && time.Since(d.arrived) > arriveLimit/2 {
		d.shut = true
		d.ln.Close()
	}
	d.after(quietCheck, d.check)
}

// quiet tells whether the listener is closed and nothing is held any more. check closes the listener: at once where a
// successor shares the address, else once no connection came for a while, since one that the machine accepted must not be
// left in the listener's queue.
func (d *Driver) quiet() bool {
	return d.shut && len(d.events) == 0 && len(d.norths) == 0 && d.core.Open() == 0 && (d.journal == nil || d.journal.settled())
}

// leave lets go of what is left.
func (d *Driver) leave() {
	if !d.shut {
		d.ln.Close()
	}
	if d.watch != nil {
		d.watch.end()
	}
	for addr := range d.pool.hosts {
		d.pool.leave(addr)
	}
}
