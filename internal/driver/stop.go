package driver

import "time"

// stop begins the orderly end: connections that still arrive are taken, every answer closes its connection,
// and idle ones are closed once clients have had time to stop using them.
func (d *Driver) stop() {
	d.stopped = time.Now()
	d.log("stopping; %d messages open", len(d.open))
	d.after(lingerIdle, func() {
		for n := range d.norths {
			if n.idle() {
				n.end()
			}
		}
	})
	d.tick()
}

// tick makes Run look again whether all is quiet.
func (d *Driver) tick() { d.after(quitPoll, d.tick) }

// quiet tells whether nothing arrives and nothing is held any more.
func (d *Driver) quiet() bool {
	now := time.Now()
	return now.Sub(d.stopped) > arriveStill+lingerIdle && now.Sub(d.arrived) > arriveStill &&
		len(d.norths) == 0 && d.core.Open() == 0
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
