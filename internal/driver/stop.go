package driver

import (
	"time"

	"granitewing/logic"
)

// The platform's planned restart: SIGKILL comes no sooner after SIGTERM than the longest deadline, at most killMost, and
// killRest. What comes within killRest of SIGTERM may be unanswered by then; what comes later is lost if it is.
const (
	killMost = 3 * time.Second
	killRest = 700 * time.Millisecond
	partTime = 800 * time.Millisecond // before SIGKILL: clients are sent away, so that what they sent last may end
	lastTime = 300 * time.Millisecond // before SIGKILL: what would be lost by it is answered
	lostFrom = 500 * time.Millisecond // after SIGTERM: what came later is taken to be lost by SIGKILL
)

// ending is the course of the end after SIGTERM where no later process takes over. Until part all goes on as before: a
// client whose connection is closed may find no other dispatcher before this one is back, since the front sends it no
// new connections. From part on clients are sent away, and at last what SIGKILL would lose is given up.
type ending struct{ part, last time.Duration }

func endingFor(classes []logic.Class) ending {
	longest := int64(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	kill := min(micros(longest, killMost), killMost) + killRest
	return ending{part: max(kill-partTime, lingerIdle), last: kill - lastTime}
}

// parting tells whether answers close their connections and idle ones are closed.
func (d *Driver) parting() bool {
	return !d.quiesced.IsZero() || !d.stopped.IsZero() && (d.shut || time.Since(d.stopped) >= d.ending.part)
}

// stop begins the orderly end. Where a later process takes new connections, clients are sent to it.
func (d *Driver) stop() {
	d.stopped = time.Now()
	if d.successor.Load() {
		d.core.Yield()
		d.shutListener()
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

func (d *Driver) startCheck() {
	if !d.checking {
		d.checking = true
		d.check()
	}
}

// check closes the connections that have stood idle long enough, gives up what can't be kept, and makes Run look again
// whether all is quiet. It runs as long as clients are not asked for.
func (d *Driver) check() {
	if d.taking() {
		d.checking = false
		return
	}
	since := d.quiesced
	if since.IsZero() {
		since = d.stopped
	}
	if d.parting() && time.Since(since) > lingerIdle {
		for n := range d.downstreams {
			if n.idle() && time.Since(n.since) > lingerIdle {
				n.retire()
			}
		}
	}
	if !d.stopped.IsZero() {
		if time.Since(d.stopped) >= d.ending.last {
			d.giveUp()
		}
		if !d.shut && (len(d.downstreams) == 0 || d.parting()) && time.Since(d.stopped) > arriveLimit && time.Since(d.arrived) > arriveLimit/2 {
			d.shutListener()
		}
	}
	d.after(quietCheck, d.check)
}

// giveUp answers what SIGKILL would lose. What came before it may stay: its client loses nothing by the wait.
func (d *Driver) giveUp() {
	for id, n := range d.open {
		if sinceStop := time.Since(d.stopped) - time.Duration(d.now()-n.at)*time.Microsecond; sinceStop > lostFrom {
			d.do(d.core.Expire(d.now(), id))
		}
	}
}

// quiet tells whether the listener is closed and nothing is held any more. check shuts the listener: at once where a
// successor shares the address, else once no connection came for a while.
func (d *Driver) quiet() bool {
	return d.refused && len(d.events) == 0 && len(d.downstreams) == 0 && d.core.Open() == 0 && (d.journal == nil || d.journal.settled())
}

// leave lets go of what is left.
func (d *Driver) leave() {
	d.watches.leave()
	for addr := range d.pool.servers {
		d.pool.leave(addr)
	}
}
