package keeper

import (
	"sort"
	"time"

	"granitewing/internal/system/configuration"
	"granitewing/internal/system/ownership"
)

// minUnitRetention is the least time for which a unit that the configuration no longer needs keeps its record and
// its owner. Messages that were accepted under an earlier configuration may still wait in it, none for longer than
// its retention plus its delay.
const minUnitRetention = 2 * time.Hour

// retentionFactor is the multiple of the longest retention for which such a unit is kept. The excess covers delays
// and carriers that learn of the configuration late.
const retentionFactor = 3

// unneededState is what the leader of a shard remembers of units that the configuration no longer needs. A new
// leader starts over, which keeps the units for longer.
type unneededState struct {
	since        map[string]time.Duration
	maxRetention time.Duration // the longest retention of any configuration seen
}

// noteRetention raises maxRetention to the longest retention in a configuration.
func (u *unneededState) noteRetention(document *configuration.Document) {
	for i := range document.Routes {
		u.maxRetention = max(u.maxRetention, document.Routes[i].Retention)
	}
}

// expired reports whether an unneeded unit has been so for long enough to be removed.
func (u *unneededState) expired(now time.Duration, unit string) bool {
	if u.since == nil {
		u.since = map[string]time.Duration{}
	}
	since, known := u.since[unit]
	if !known {
		u.since[unit] = now
		return false
	}
	return now-since > max(minUnitRetention, retentionFactor*u.maxRetention)
}

// prune forgets units that are no longer in the ownership table.
func (u *unneededState) prune(state *ownership.State) {
	for unit := range u.since {
		if _, exists := state.Owners()[unit]; !exists {
			delete(u.since, unit)
		}
	}
}

// units returns the units of a shard that have or need an owner: those to which the current configuration sends
// messages, and those where messages of an earlier one may still wait. A change of the configuration never leaves a
// unit without an owner, as the messages in it were accepted. The returned changes remove the units in which no
// message can wait any more.
func (c *Core) units(shard int) (units []string, removals []ownership.Change) {
	document := c.configuration.Current()
	if document == nil {
		return nil, nil
	}
	memory := &c.unneededUnits[shard]
	memory.noteRetention(document)
	needed := neededUnits(document)
	for unit := range needed {
		if c.shardOf(unit) == shard {
			units = append(units, unit)
			delete(memory.since, unit)
		}
	}
	for unit, owner := range c.owners[shard].Owners() {
		if needed[unit] {
			continue
		}
		if memory.expired(c.now, unit) {
			removals = append(removals, ownership.Change{Kind: ownership.Remove, Unit: unit, Token: owner.Token})
			continue
		}
		units = append(units, unit)
	}
	memory.prune(c.owners[shard])
	sort.Strings(units)
	sort.Slice(removals, func(i, j int) bool { return removals[i].Unit < removals[j].Unit })
	return units, removals
}

// neededUnits returns the units to which a configuration may send messages.
func neededUnits(document *configuration.Document) map[string]bool {
	needed := map[string]bool{}
	for i := range document.Routes {
		if document.Routes[i].Ordered {
			for _, unit := range ownership.KeyUnits() {
				needed[unit] = true
			}
			break
		}
	}
	for name, service := range document.Services {
		if service.Rate > 0 || service.Static != "" {
			needed[ownership.ServiceUnit(name)] = true
		}
	}
	return needed
}
