package ownership

import (
	"sort"
	"strings"
)

// Fleet lists the carriers that can own units, by their incarnations.
type Fleet struct {
	Live     []string        // in order of preference among carriers with equal load
	Stopping map[string]bool // live carriers that shut down gracefully: they get no units, and their units move away
}

// eligible returns the live carriers that are not stopping, or all live ones if all are stopping.
func (f *Fleet) eligible() []string {
	eligible := make([]string, 0, len(f.Live))
	for _, incarnation := range f.Live {
		if !f.Stopping[incarnation] {
			eligible = append(eligible, incarnation)
		}
	}
	if len(eligible) == 0 {
		return f.Live
	}
	return eligible
}

// loads counts the units of each carrier, within each balance group and in total.
type loads struct {
	byGroup map[string]map[string]int
	total   map[string]int
}

func newLoads() *loads { return &loads{byGroup: map[string]map[string]int{}, total: map[string]int{}} }

// add adds count, which may be negative, to the units of a carrier.
func (l *loads) add(unit, incarnation string, count int) {
	group := balanceGroup(unit)
	if l.byGroup[group] == nil {
		l.byGroup[group] = map[string]int{}
	}
	l.byGroup[group][incarnation] += count
	l.total[incarnation] += count
}

// leastLoaded returns the first of the candidates that own the fewest units of the unit's balance group, and of these
// the fewest units in total.
func (l *loads) leastLoaded(unit string, candidates []string) string {
	group := l.byGroup[balanceGroup(unit)]
	best := candidates[0]
	for _, candidate := range candidates[1:] {
		if group[candidate] < group[best] || group[candidate] == group[best] && l.total[candidate] < l.total[best] {
			best = candidate
		}
	}
	return best
}

// balanceGroup returns the group within which a unit is balanced: the units of ordering keys, or those of services.
func balanceGroup(unit string) string {
	if strings.HasPrefix(unit, keyPrefix) {
		return keyPrefix
	}
	return pacedPrefix
}

// Assign returns changes that give each unit without a live owner to the carrier with the fewest units of its balance
// group. Units with a live owner stay where they are. Apply carries out the changes.
func (s *State) Assign(units []string, fleet Fleet) []Change {
	if len(fleet.Live) == 0 {
		return nil
	}
	live := map[string]bool{}
	for _, incarnation := range fleet.Live {
		live[incarnation] = true
	}
	load := newLoads()
	var unowned []string
	for _, unit := range units {
		if owner, owned := s.owners[unit]; owned && live[owner.Incarnation] {
			load.add(unit, owner.Incarnation, 1)
			continue
		}
		unowned = append(unowned, unit)
	}
	sort.Strings(unowned)
	candidates := fleet.eligible()
	changes := make([]Change, 0, len(unowned))
	for _, unit := range unowned {
		candidate := load.leastLoaded(unit, candidates)
		load.add(unit, candidate, 1)
		changes = append(changes, Change{Kind: Assign, Unit: unit, Incarnation: candidate})
	}
	return changes
}

// Balance returns changes that offer units to other carriers, so that their live owners hand them over. A stopping
// carrier offers all its units; another offers a unit if it owns at least two more of the balance group than the
// carrier with the fewest. At most maxOpenOffers offers are open at a time. Balance also withdraws offers to carriers
// that are no longer live or are stopping. It returns nothing if no carrier can take a unit.
func (s *State) Balance(units []string, fleet Fleet, maxOpenOffers int) []Change {
	live := map[string]bool{}
	for _, incarnation := range fleet.Live {
		live[incarnation] = true
	}
	candidates := fleet.eligible()
	// The candidates include stopping carriers only if all live carriers are stopping.
	if len(candidates) == 0 || fleet.Stopping[candidates[0]] {
		return nil
	}
	load := newLoads()
	var changes []Change
	openOffers := 0
	for _, unit := range units {
		owner := s.owners[unit]
		switch {
		case owner.OfferedTo == "":
			load.add(unit, owner.Incarnation, 1)
		case !live[owner.OfferedTo] || fleet.Stopping[owner.OfferedTo]:
			changes = append(changes, s.offerChange(unit, ""))
			load.add(unit, owner.Incarnation, 1)
		default:
			openOffers++
			load.add(unit, owner.OfferedTo, 1)
		}
	}
	for _, unit := range units {
		owner := s.owners[unit]
		if openOffers >= maxOpenOffers {
			break
		}
		if owner.OfferedTo != "" || !live[owner.Incarnation] {
			continue
		}
		candidate := load.leastLoaded(unit, candidates)
		group := load.byGroup[balanceGroup(unit)]
		if !fleet.Stopping[owner.Incarnation] && group[owner.Incarnation] < group[candidate]+2 {
			continue
		}
		load.add(unit, owner.Incarnation, -1)
		load.add(unit, candidate, 1)
		openOffers++
		changes = append(changes, s.offerChange(unit, candidate))
	}
	return changes
}

// offerChange returns the change that offers a unit to the carrier next, or withdraws the offer if next is empty.
func (s *State) offerChange(unit, next string) Change {
	owner := s.owners[unit]
	return Change{Kind: Offer, Unit: unit, Incarnation: next, Token: owner.Token, Offer: owner.Offer}
}

// WithdrawOffers returns the changes that withdraw all open offers of the given units.
func (s *State) WithdrawOffers(units []string) []Change {
	var changes []Change
	for _, unit := range units {
		if s.owners[unit].OfferedTo != "" {
			changes = append(changes, s.offerChange(unit, ""))
		}
	}
	return changes
}
