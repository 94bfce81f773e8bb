package keeper

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"granitewing/internal/system/ownership"
	"granitewing/internal/system/session"
)

// Times and bounds of handing units over while their owners live.
const (
	quietBeforeMoves  = 800 * time.Millisecond  // since the last carrier came or went
	offerStands       = 3 * time.Second         // after it an offer that was not followed is taken back
	pauseAfterOffer   = 2500 * time.Millisecond // after an offer was taken back
	offersAtOnce      = 4
	offersOfStopping  = 64 // all units of a carrier that stops move at once
	moveRetryInterval = 200 * time.Millisecond
)

// moves is what the leader of a shard remembers of the hand-overs under way; a new leader begins anew.
type moves struct {
	since map[string]offerSince // by unit
	pause time.Duration         // until then nothing is offered
}

// offerSince is when an offer was first seen.
type offerSince struct {
	number uint64
	at     time.Duration
}

// reconcile gives each unit without a live owner to a carrier, in the shards that this keeper leads, and has units move
// to carriers that own fewer.
func (c *Core) reconcile() {
	fleet := c.fleet()
	for shard := range c.owners {
		g := c.groups[firstOwnershipGroup+shard]
		if !g.node.Leading() {
			c.unneeded[shard] = unneeded{}
		}
		if !g.node.Leading() || c.now < c.assigning[shard] || len(fleet.Live) == 0 {
			continue
		}
		turn := shard * len(fleet.Live) / OwnershipShards
		turned := fleet
		turned.Live = append(append([]string(nil), fleet.Live[turn:]...), fleet.Live[:turn]...)
		units, changes := c.units(shard)
		if len(changes) == 0 {
			changes = c.owners[shard].Assign(units, turned)
		}
		if len(changes) == 0 {
			changes = c.move(shard, units, turned)
		}
		if len(changes) > 0 {
			c.proposeOwners(shard, changes)
		}
	}
}

func (c *Core) proposeOwners(shard int, changes []ownership.Change) {
	data, err := msgpack.Marshal(changes)
	if err != nil {
		return
	}
	c.assigning[shard] = c.now + orderWait
	c.propose(firstOwnershipGroup+shard, data, func(error) { c.assigning[shard] = 0 })
}

// move gives the offers that are to be made or taken back now.
func (c *Core) move(shard int, units []string, fleet ownership.Fleet) []ownership.Change {
	state, memory := c.owners[shard], &c.moves[shard]
	if late := memory.late(c.now, state, units); len(late) > 0 {
		memory.pause = c.now + pauseAfterOffer
		return state.Withdraw(late)
	}
	most := offersAtOnce
	if len(fleet.Stopping) > 0 {
		most = offersOfStopping
	}
	quiet := c.now-c.carriersChanged >= quietBeforeMoves
	if c.now < memory.pause || !quiet && len(fleet.Stopping) == 0 || c.diskMissing() {
		return nil
	}
	return state.Balance(units, fleet, most)
}

// late gives the units whose offers have stood for too long.
func (m *moves) late(now time.Duration, state *ownership.State, units []string) []string {
	if m.since == nil {
		m.since = map[string]offerSince{}
	}
	var late []string
	for _, unit := range units {
		owner := state.Owners()[unit]
		if owner.Next == "" {
			delete(m.since, unit)
			continue
		}
		seen := m.since[unit]
		if seen.number != owner.Offer {
			m.since[unit] = offerSince{number: owner.Offer, at: now}
			continue
		}
		if now-seen.at > offerStands {
			late = append(late, unit)
		}
	}
	return late
}

// diskMissing tells whether some counted disk has no live store: a new owner would wait for it before it takes over.
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

// ReleaseUnit hands a unit over at its owner's word. The answer is nil once a majority has synced it; the unit is the
// next owner's from then on.
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

// Owner is the owner of a unit, as far as this keeper has applied its shard.
func (c *Core) Owner(unit string) ownership.Owner {
	if shard := c.shardOf(unit); shard >= 0 {
		return c.owners[shard].Owners()[unit]
	}
	return ownership.Owner{}
}

// shardOf is the shard that a unit lies in, -1 where the name is no unit's.
func (c *Core) shardOf(unit string) int { return ownership.Shard(unit, OwnershipShards) }

func (c *Core) applyOwners(shard int, data []byte) error {
	var changes []ownership.Change
	if err := msgpack.Unmarshal(data, &changes); err != nil {
		return &ownership.MalformedError{Err: err}
	}
	return c.owners[shard].Apply(changes)
}
