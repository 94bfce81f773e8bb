package driver

import "time"

// stop begins the orderly end: connections that still arrive are taken, every answer closes its connection,
// and idle ones are closed once clients have had time to stop using them.
func (d *Driver) stop() {
	d.stopped = time.Now()
	d.log.Info("stopping", "open", d.core.Open())
	d.check()
}

// check closes the connections that have stood idle long enough, and makes Run look again whether all is
// quiet.
func (d *Driver) check() {
	for n := range d.norths {
		if n.idle() && time.Since(d.stopped) > lingerIdle && time.Since(n.since) > lingerIdle {
			n.end()
		}
	}
	d.after(quietCheck, d.check)
}

// quiet tells whether nothing arrives and nothing is held any more. A connection that the machine accepted
// must not be left in the listener's queue, so some time has to pass after the latest.
func (d *Driver) quiet() bool {
	return time.Since(d.stopped) > arriveLimit && time.Since(d.arrived) > arriveLimit/2 &&
		len(d.events) == 0 && len(d.norths) == 0 && d.core.Open() == 0 && (d.journal == nil || d.journal.settled())
}

// leave lets go of what is left.
func (d *Driver) leave() {
	d.ln.Close()
	if d.watch != nil {
		d.watch.end()
	}
	for addr := range d.pool.hosts {
		d.pool.leave(addr)
	}
}
