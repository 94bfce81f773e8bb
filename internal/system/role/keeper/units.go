package keeper

import (
	"sort"
	"time"

	"granitewing/internal/system/configuration"
	"granitewing/internal/system/ownership"
)

// unitKeptAtLeast is for how long a unit that the configuration has no more use for keeps its record and its owner. Messages
// that were accepted under an earlier configuration may still wait in it; none outlives its retention and its delay.
const unitKeptAtLeast = 2 * time.Hour

// retentions is how many times the longest retention such a unit is kept, for delays and for carriers that learn late.
const retentions = 3

// unneeded is what the leader of a shard remembers of the units that the configuration has no more use for; a new leader
// begins anew, which keeps them for longer.
type unneeded struct {
	since     map[string]time.Duration
	retention time.Duration // the longest that was seen
}

// note keeps the longest retention of a configuration.
func (u *unneeded) note(document *configuration.Document) {
	for i := range document.Routes {
		u.retention = max(u.retention, document.Routes[i].Retention)
	}
}

// over tells whether a unit that is not needed has been so for long enough.
func (u *unneeded) over(now time.Duration, unit string) bool {
	if u.since == nil {
		u.since = map[string]time.Duration{}
	}
	since, known := u.since[unit]
	if !known {
		u.since[unit] = now
		return false
	}
	return now-since > max(unitKeptAtLeast, retentions*u.retention)
}

// forget lets go of units that are not in the table.
func (u *unneeded) forget(state *ownership.State) {
	for unit := range u.since {
		if _, there := state.Owners()[unit]; !there {
			delete(u.since, unit)
		}
	}
}

// units gives the units of a shard that have an owner, or need one: those that the current configuration gives messages to,
// and those that messages of an earlier one may still wait in. A change of the configuration never leaves a unit without an
// owner, as what waits in it was accepted. The changes take out the units that nothing can wait in any more.
func (c *Core) units(shard int) (units []string, removals []ownership.Change) {
	document := c.configuration.Current()
	if document == nil {
		return nil, nil
	}
	memory := &c.unneeded[shard]
	memory.note(document)
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
		if memory.over(c.now, unit) {
			removals = append(removals, ownership.Change{Kind: ownership.Remove, Unit: unit, Token: owner.Token})
			continue
		}
		units = append(units, unit)
	}
	memory.forget(c.owners[shard])
	sort.Strings(units)
	sort.Slice(removals, func(i, j int) bool { return removals[i].Unit < removals[j].Unit })
	return units, removals
}

// neededUnits gives the units that messages may come to under a configuration.
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
			needed[ownership.PacedUnit(name)] = true
		}
	}
	return needed
}
