package ownership

import (
	"sort"
	"strings"
)

// Fleet is the carriers that may own units.
type Fleet struct {
	Live     []string        // incarnations, in the order in which they are asked where loads are alike
	Stopping map[string]bool // those of the live ones that are about to stop: they get nothing, and what they own moves
}

func (f *Fleet) takers() []string {
	takers := make([]string, 0, len(f.Live))
	for _, incarnation := range f.Live {
		if !f.Stopping[incarnation] {
			takers = append(takers, incarnation)
		}
	}
	if len(takers) == 0 {
		return f.Live
	}
	return takers
}

// loads counts units by their owners, within a group of alike units and altogether.
type loads struct {
	byGroup map[string]map[string]int
	total   map[string]int
}

func newLoads() *loads { return &loads{byGroup: map[string]map[string]int{}, total: map[string]int{}} }

func (l *loads) add(unit, incarnation string, count int) {
	group := groupOf(unit)
	if l.byGroup[group] == nil {
		l.byGroup[group] = map[string]int{}
	}
	l.byGroup[group][incarnation] += count
	l.total[incarnation] += count
}

// least gives the taker that owns the fewest of a unit's group, then the fewest units altogether.
func (l *loads) least(unit string, takers []string) string {
	group := l.byGroup[groupOf(unit)]
	best := takers[0]
	for _, taker := range takers[1:] {
		if group[taker] < group[best] || group[taker] == group[best] && l.total[taker] < l.total[best] {
			best = taker
		}
	}
	return best
}

// groupOf names the units that are spread evenly: those of keys, and those that have a pace.
func groupOf(unit string) string {
	if strings.HasPrefix(unit, keyPrefix) {
		return keyPrefix
	}
	return pacedPrefix
}

// Assign names an owner for each unit whose owner is not live, the carrier that owns fewest first. Units that have a
// live owner stay where they are.
func (s *State) Assign(units []string, fleet Fleet) []Change {
	if len(fleet.Live) == 0 {
		return nil
	}
	live := map[string]bool{}
	for _, incarnation := range fleet.Live {
		live[incarnation] = true
	}
	load := newLoads()
	var without []string
	for _, unit := range units {
		if owner, owned := s.owners[unit]; owned && live[owner.Incarnation] {
			load.add(unit, owner.Incarnation, 1)
			continue
		}
		without = append(without, unit)
	}
	sort.Strings(without)
	takers := fleet.takers()
	changes := make([]Change, 0, len(without))
	for _, unit := range without {
		taker := load.least(unit, takers)
		load.add(unit, taker, 1)
		changes = append(changes, Change{Kind: Assign, Unit: unit, Incarnation: taker})
	}
	return changes
}

// Balance names units that their live owners should hand over, at most so many at a time: all of an owner that is
// stopping, and else one of the owner that has at least two more of a group than another. Offers to carriers that have
// gone are taken back.
func (s *State) Balance(units []string, fleet Fleet, most int) []Change {
	live := map[string]bool{}
	for _, incarnation := range fleet.Live {
		live[incarnation] = true
	}
	takers := fleet.takers()
	if len(takers) == 0 || fleet.Stopping[takers[0]] {
		return nil
	}
	load := newLoads()
	var changes []Change
	open := 0
	for _, unit := range units {
		owner := s.owners[unit]
		switch {
		case owner.Next == "":
			load.add(unit, owner.Incarnation, 1)
		case !live[owner.Next] || fleet.Stopping[owner.Next]:
			changes = append(changes, s.offer(unit, ""))
			load.add(unit, owner.Incarnation, 1)
		default:
			open++
			load.add(unit, owner.Next, 1)
		}
	}
	for _, unit := range units {
		owner := s.owners[unit]
		if open >= most {
			break
		}
		if owner.Next != "" || !live[owner.Incarnation] {
			continue
		}
		taker := load.least(unit, takers)
		group := load.byGroup[groupOf(unit)]
		if !fleet.Stopping[owner.Incarnation] && group[owner.Incarnation] < group[taker]+2 {
			continue
		}
		load.add(unit, owner.Incarnation, -1)
		load.add(unit, taker, 1)
		open++
		changes = append(changes, s.offer(unit, taker))
	}
	return changes
}

func (s *State) offer(unit, next string) Change {
	owner := s.owners[unit]
	return Change{Kind: Offer, Unit: unit, Incarnation: next, Token: owner.Token, Offer: owner.Offer}
}

// Withdraw gives the changes that take back all offers that are in a list.
func (s *State) Withdraw(units []string) []Change {
	var changes []Change
	for _, unit := range units {
		if s.owners[unit].Next != "" {
			changes = append(changes, s.offer(unit, ""))
		}
	}
	return changes
}
