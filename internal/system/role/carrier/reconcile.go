package carrier

import (
	"fmt"
	"time"

	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// Times and sizes of comparing this carrier's messages with those on the stores.
const (
	reconcileInterval = 5 * time.Second
	// missingAfter is for how long a message has to be on a store before this carrier should have it.
	missingAfter    = 4 * time.Second
	comparisonDelay = 200 * time.Millisecond // from a taking over until the ages are compared
	minAgeLag       = 250 * time.Millisecond // ages that differ by less are left as they are
	maxAgesPerCall  = 512
	// maxIdle is how long a message that may be sent can be in no queue. It has to exceed every pause between attempts.
	maxIdle = 5 * time.Second
)

// reconcile compares the messages of all units of this carrier with those that have been pending on the stores for
// long, and repeats this. Whatever has gone wrong before, a message that is on the stores and not here is listed again,
// and neither side goes on with an age that lags.
func (c *Core) reconcile() {
	c.env.After(reconcileInterval, c.reconcile)
	c.queueForgotten()
	round := &reconciliation{core: c, reportedBy: map[string][]string{}}
	for disk := range ordered.Map(c.session.View().Disks) {
		round.askDisk(disk, missingAfter)
	}
}

// compareAgesSoon compares the ages of all messages with all stores. It is called for each unit that was taken over, of
// which there may be many at a time.
func (c *Core) compareAgesSoon() {
	if c.comparisonScheduled {
		return
	}
	c.comparisonScheduled = true
	c.env.After(comparisonDelay, func() {
		c.comparisonScheduled = false
		for disk := range ordered.Map(c.session.View().Disks) {
			c.compareAgesWith(disk)
		}
	})
}

func (c *Core) compareAgesWith(disk string) {
	round := &reconciliation{core: c, reportedBy: map[string][]string{}}
	round.askDisk(disk, 0)
}

// storeIsBack compares the ages of all messages with a store to which a connection was established: it may have been
// down, and the other disks that hold the messages may be lost next.
func (c *Core) storeIsBack(address string) {
	for id, disk := range ordered.Map(c.session.View().Disks) {
		if disk.Member.Address == address {
			c.compareAgesWith(id)
		}
	}
}

// reconciliation is one round of comparing this carrier's messages with those on the stores.
type reconciliation struct {
	core *Core
	// reportedBy holds the disks that report a message which this carrier lacks, by message ID.
	reportedBy map[string][]string
}

// askDisk compares the messages that have been on a disk for a time.
func (r *reconciliation) askDisk(disk string, minAge time.Duration) {
	c := r.core
	if !c.stores.isUp(disk) {
		return
	}
	body := wire.PendingBody{MinAge: minAge}
	for name := range ordered.Map(c.units) {
		body.Units = append(body.Units, name)
	}
	payload := wire.Encode(&body)
	c.env.Call(c.stores.address(disk), wire.ListPending, payload, listTimeout, func(payload []byte, err error) {
		var answer wire.PendingAnswer
		if err != nil || wire.Decode(wire.ListPending, payload, &answer) != nil {
			return // the next round asks again
		}
		r.listMissing(disk, answer.Messages)
		c.raiseAges(disk, answer.Messages)
	})
}

// listMissing lists units again that lack messages which enough disks report. An accepted message is on enough disks.
// One that fewer report was not accepted, or has completed so long ago that the other stores have forgotten it.
func (r *reconciliation) listMissing(disk string, pending []wire.PendingMessage) {
	c := r.core
	missing := map[*unit]int{}
	for i := range pending {
		id, u := pending[i].ID, c.units[pending[i].Unit]
		if u == nil || pending[i].Age < missingAfter || !c.lacks(u, id) {
			continue
		}
		r.reportedBy[id] = append(r.reportedBy[id], disk)
		if c.enough(r.reportedBy[id]) {
			missing[u]++
		}
	}
	for _, u := range ordered.Map(c.units) {
		if missing[u] > 0 {
			c.env.LogWarning(fmt.Sprintf("unit %s lacks %d messages that the stores hold, listing it again", u.name, missing[u]), nil)
			c.recover(u)
		}
	}
}

// ForgottenError reports messages that might have been sent and that waited in no queue: an event that should have
// queued them did not.
type ForgottenError struct {
	Count  int
	Latest string // ID of one of them
}

func (e *ForgottenError) Error() string {
	return fmt.Sprintf("%d messages, such as %s", e.Count, e.Latest)
}

// queueForgotten queues messages that may be sent and for which nothing else would do so.
func (c *Core) queueForgotten() {
	forgotten := map[string]*item{}
	for _, u := range c.units {
		for id, it := range u.items {
			idleFor := c.env.Now() - max(it.due, it.idleSince)
			if !it.queued && idleFor >= maxIdle && c.blockOf(it) == mayBeSent {
				forgotten[id] = it
			}
		}
	}
	if len(forgotten) == 0 {
		return
	}
	fault := &ForgottenError{Count: len(forgotten)}
	for id, it := range ordered.Map(forgotten) {
		fault.Latest = id
		c.ready(it)
	}
	c.env.LogWarning("messages waited in no queue", fault)
}

// lacks reports whether this carrier should have a message that a store reports as pending and does not. Messages of
// its own unit that it does not have were never accepted.
func (c *Core) lacks(u *unit, id string) bool {
	if u == c.own || !u.active || u.recovering || u.handover != nil {
		return false
	}
	_, completed := c.recent.get(id)
	return !completed && u.items[id] == nil && u.outcomeQueries[id] == nil && c.inFlight[id] == nil
}

// raiseAges raises the ages of messages here that a store knows to be older, and has the store raise those that it
// takes to be younger than they are. A store does not know how long it was down, and a carrier has the ages of what it
// took over from the stores. Neither side's age exceeds the true one, so the greater one is the better.
func (c *Core) raiseAges(disk string, pending []wire.PendingMessage) {
	now := c.env.Now()
	var lagging []wire.MessageAge
	var greatest time.Duration
	for i := range pending {
		u := c.units[pending[i].Unit]
		if u == nil || u.items[pending[i].ID] == nil {
			continue
		}
		it := u.items[pending[i].ID]
		lag := now - it.accepted - pending[i].Age
		switch {
		case lag > minAgeLag && len(lagging) < maxAgesPerCall:
			lagging = append(lagging, wire.MessageAge{ID: it.message.ID, Age: now - it.accepted})
			greatest = max(greatest, lag)
		case lag < -minAgeLag:
			c.raiseAge(it, pending[i].Age)
		}
	}
	if len(lagging) == 0 {
		return
	}
	c.env.LogInfo(fmt.Sprintf("disk %s is told the ages of %d messages, which lagged by up to %s", disk, len(lagging), greatest))
	c.env.Call(c.stores.address(disk), wire.RaiseAges, wire.Encode(&wire.AgesBody{Ages: lagging}), listTimeout, func([]byte, error) {})
}

// raiseAge corrects the age of a message, which is due earlier by that.
func (c *Core) raiseAge(it *item, age time.Duration) {
	it.accepted = c.env.Now() - age
	it.due = it.accepted + it.message.Delay
	if it.attempts == 0 {
		c.ready(it)
	}
}
