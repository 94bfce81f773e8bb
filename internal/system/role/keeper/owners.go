package keeper

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"granitewing/internal/system/ownership"
	"granitewing/internal/system/session"
)

// Times and limits of handovers of units between live owners.
const (
	quietBeforeOffers     = 800 * time.Millisecond  // no offers until this long after the last carrier joined or left
	offerTimeout          = 3 * time.Second         // an offer that was not taken up by then is withdrawn
	pauseAfterWithdrawal  = 2500 * time.Millisecond // no offers for this long after one was withdrawn
	maxOffers             = 4                       // open offers per shard
	maxOffersWhenStopping = 64                      // while a carrier stops, which hands all its units over at once
)

// handoverState is what the leader of a shard remembers of the open offers. A new leader starts with an empty one.
type handoverState struct {
	since       map[string]observedOffer // by unit
	pausedUntil time.Duration            // no offers are made before this time
}

// observedOffer is an open offer of a unit and when this leader first saw it.
type observedOffer struct {
	number    uint64
	firstSeen time.Duration
}

// reconcile assigns the units that have no live owner to carriers, in the ownership shards that this keeper leads,
// and starts handovers to carriers that own fewer units. Each shard starts at another carrier, so that the shards
// don't all favor the same one.
func (c *Core) reconcile() {
	fleet := c.fleet()
	for shard := range c.owners {
		g := c.groups[firstOwnershipGroup+shard]
		if !g.node.LeaderReady() {
			c.unneededUnits[shard] = unneededState{}
		}
		if !g.node.LeaderReady() || c.now < c.assignmentDeadline[shard] || len(fleet.Live) == 0 {
			continue
		}
		offset := shard * len(fleet.Live) / OwnershipShards
		rotated := fleet
		rotated.Live = append(append([]string(nil), fleet.Live[offset:]...), fleet.Live[:offset]...)
		units, changes := c.units(shard)
		if len(changes) == 0 {
			changes = c.owners[shard].Assign(units, rotated)
		}
		if len(changes) == 0 {
			changes = c.handoverChanges(shard, units, rotated)
		}
		if len(changes) > 0 {
			c.proposeOwners(shard, changes)
		}
	}
}

// proposeOwners proposes ownership changes to a shard's log. The shard gets no further changes until these are
// applied or lost.
func (c *Core) proposeOwners(shard int, changes []ownership.Change) {
	data, err := msgpack.Marshal(changes)
	if err != nil {
		return
	}
	c.assignmentDeadline[shard] = c.now + proposalTimeout
	c.propose(firstOwnershipGroup+shard, data, func(error) { c.assignmentDeadline[shard] = 0 })
}

// handoverChanges returns the offers to make or withdraw now. No offers are made shortly after a withdrawal, shortly
// after a carrier joined or left unless some carrier is stopping, or while the store of a counted disk is missing.
func (c *Core) handoverChanges(shard int, units []string, fleet ownership.Fleet) []ownership.Change {
	state, memory := c.owners[shard], &c.handovers[shard]
	if expired := memory.expiredOffers(c.now, state, units); len(expired) > 0 {
		memory.pausedUntil = c.now + pauseAfterWithdrawal
		return state.WithdrawOffers(expired)
	}
	limit := maxOffers
	if len(fleet.Stopping) > 0 {
		limit = maxOffersWhenStopping
	}
	quiet := c.now-c.carriersChangedAt >= quietBeforeOffers
	if c.now < memory.pausedUntil || !quiet && len(fleet.Stopping) == 0 || c.diskMissing() {
		return nil
	}
	return state.Balance(units, fleet, limit)
}

// expiredOffers returns the units whose offers have been open for longer than offerTimeout, and updates the observed
// offers.
func (m *handoverState) expiredOffers(now time.Duration, state *ownership.State, units []string) []string {
	if m.since == nil {
		m.since = map[string]observedOffer{}
	}
	var expired []string
	for _, unit := range units {
		owner := state.Owners()[unit]
		if owner.OfferedTo == "" {
			delete(m.since, unit)
			continue
		}
		observed := m.since[unit]
		if observed.number != owner.Offer {
			m.since[unit] = observedOffer{number: owner.Offer, firstSeen: now}
			continue
		}
		if now-observed.firstSeen > offerTimeout {
			expired = append(expired, unit)
		}
	}
	return expired
}

// diskMissing reports whether some counted disk has no live store. A new owner would have to wait for that store
// before it can take over a unit.
func (c *Core) diskMissing() bool {
	live := map[string]bool{}
	for _, member := range c.sessions.Members(session.Store) {
		live[member.Disk] = true
	}
	for id, disk := range c.sessions.Disks() {
		if disk.Counted && !live[id] {
			return true
		}
	}
	return false
}

// fleet returns the live carriers, and which of them are stopping.
func (c *Core) fleet() ownership.Fleet {
	fleet := ownership.Fleet{Stopping: map[string]bool{}}
	for _, member := range c.sessions.Members(session.Carrier) {
		fleet.Live = append(fleet.Live, member.Incarnation)
		if member.Stopping {
			fleet.Stopping[member.Incarnation] = true
		}
	}
	return fleet
}

// ReleaseUnit completes the handover of a unit that its owner, identified by its fencing token, releases to the
// carrier of an offer. done gets nil once a majority has synced the change; from then on the unit belongs to the
// next owner. It gets a StaleOfferError if the offer is no longer open.
func (c *Core) ReleaseUnit(now time.Duration, unit string, token, offer uint64, done func(err error)) {
	c.now = now
	shard := c.shardOf(unit)
	if shard < 0 {
		done(&ownership.StaleOfferError{Unit: unit})
		return
	}
	change := ownership.Change{Kind: ownership.Release, Unit: unit, Token: token, Offer: offer}
	data, err := msgpack.Marshal([]ownership.Change{change})
	if err != nil {
		done(&ownership.MalformedError{Err: err})
		return
	}
	c.propose(firstOwnershipGroup+shard, data, done)
}

// Owner returns the owner of a unit as of the last entry that this keeper has applied; the zero Owner if there is
// none.
func (c *Core) Owner(unit string) ownership.Owner {
	if shard := c.shardOf(unit); shard >= 0 {
		return c.owners[shard].Owners()[unit]
	}
	return ownership.Owner{}
}

// shardOf returns the shard of a unit, or -1 if the name is not that of a unit.
func (c *Core) shardOf(unit string) int { return ownership.Shard(unit, OwnershipShards) }

// applyOwners applies committed ownership changes to a shard.
func (c *Core) applyOwners(shard int, data []byte) error {
	var changes []ownership.Change
	if err := msgpack.Unmarshal(data, &changes); err != nil {
		return &ownership.MalformedError{Err: err}
	}
	return c.owners[shard].Apply(changes)
}
