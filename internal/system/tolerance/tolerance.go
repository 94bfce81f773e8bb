// Package tolerance tells which disks may be lost at one time, and from that on which a message has to lie, and how many
// of those that hold messages may be silent while somebody reads them all.
//
// The two fit each other: what Enough allows is never wholly within what May allows, so whoever has heard all disks but
// such as may be lost has heard one of each message's.
package tolerance

import "slices"

// Tolerance is what may be lost at one time: so many machines with a disk, or all of so many zones, or of so many regions.
type Tolerance struct {
	Machines int
	Zones    int
	Regions  int
	// RegionOf gives the region of each zone.
	RegionOf map[string]string
}

// Copies is the least number of disks that a message lies on.
func (t *Tolerance) Copies() int { return max(t.Machines, t.Zones, t.Regions) + 1 }

// Voters is how many members a control group should have.
func (t *Tolerance) Voters() int { return 2*max(t.Machines, t.Zones, t.Regions) + 1 }

func distinct(names []string) int {
	found := map[string]bool{}
	for _, name := range names {
		found[name] = true
	}
	return len(found)
}

func (t *Tolerance) regions(zones []string) int {
	regions := make([]string, 0, len(zones))
	for _, zone := range zones {
		regions = append(regions, t.RegionOf[zone])
	}
	return distinct(regions)
}

// Enough tells whether disks, given by their zones, outlive every loss that is tolerated.
func (t *Tolerance) Enough(zones []string) bool {
	return len(zones) > t.Machines && distinct(zones) > t.Zones && t.regions(zones) > t.Regions
}

// May tells whether disks, given by their zones, may be lost at one time.
func (t *Tolerance) May(zones []string) bool {
	return len(zones) <= t.Machines || t.Zones > 0 && distinct(zones) <= t.Zones || t.Regions > 0 && t.regions(zones) <= t.Regions
}

// Spread tells whether disks, given by their zones, lie at so many places that enough are left after every loss of zones or
// regions that is tolerated.
func (t *Tolerance) Spread(zones []string) bool {
	return distinct(zones) > 2*t.Zones && t.regions(zones) > 2*t.Regions
}

// Survives tells whether voters, given by their zones, keep a majority through every loss that is tolerated.
func (t *Tolerance) Survives(zones []string) bool { return t.SurvivesWith(zones, len(zones)) }

// SurvivesWith tells whether those of so many voters that are live, given by their zones, keep a majority of all through
// every loss that is tolerated.
func (t *Tolerance) SurvivesWith(live []string, voters int) bool {
	regions := make([]string, 0, len(live))
	for _, zone := range live {
		regions = append(regions, t.RegionOf[zone])
	}
	loss := max(min(t.Machines, len(live)), largest(live, t.Zones), largest(regions, t.Regions))
	return 2*(len(live)-loss) > voters
}

// largest is how many of some things lie at the places where most do.
func largest(places []string, count int) int {
	byPlace := map[string]int{}
	for _, place := range places {
		byPlace[place]++
	}
	sizes := make([]int, 0, len(byPlace))
	for _, size := range byPlace {
		sizes = append(sizes, size)
	}
	slices.Sort(sizes)
	sum := 0
	for _, size := range sizes[max(0, len(sizes)-count):] {
		sum += size
	}
	return sum
}

// Lacking is how many more disks are needed at least besides some, given by their zones.
func (t *Tolerance) Lacking(zones []string) int {
	return max(0, t.Machines+1-len(zones), t.Zones+1-distinct(zones), t.Regions+1-t.regions(zones))
}

// Choose picks disks out of candidates, which are given by their zones, the best first, so that together with some that
// are there already they are enough and as few as can be. It gives the indexes, and all that help where they are too few.
func (t *Tolerance) Choose(there, candidates []string) []int {
	chosen := append([]string(nil), there...)
	var picks []int
	used := make([]bool, len(candidates))
	for {
		lacking := t.Lacking(chosen)
		if lacking == 0 {
			return picks
		}
		pick := -1
		for i, zone := range candidates {
			if !used[i] && t.Lacking(append(chosen, zone)) < lacking {
				pick = i
				break
			}
		}
		if pick < 0 {
			return picks
		}
		used[pick] = true
		chosen = append(chosen, candidates[pick])
		picks = append(picks, pick)
	}
}
