// Package tolerance computes with the fault tolerance of a deployment: how many machines, zones or regions may be
// lost at the same time. From this follow the disks that must hold the replicas of a message (SufficientReplicas,
// ChooseReplicas), the disks that may be unreachable while a reader needs all messages (MayBeLost), and whether a set
// of voters keeps its majority (MajoritySurvives).
//
// Replicas and disks are given by the names of their zones, one name per disk.
//
// SufficientReplicas and MayBeLost fit together: a set of disks that suffices is never a subset of one that may be
// lost. So a reader that has reached all disks but a set that may be lost has reached at least one replica of each
// message.
package tolerance

import "slices"

// Tolerance is the largest loss at one time that the system tolerates. The losses of machines, of zones and of regions
// are alternatives: only one of the three happens at a time, and they do not add up.
type Tolerance struct {
	Machines int // how many machines with a disk may be lost
	Zones    int // of how many zones all machines may be lost
	Regions  int // of how many regions all machines may be lost
	// RegionOf maps each zone to its region.
	RegionOf map[string]string
}

// MinReplicas returns the minimum number of replicas of a message, each on a disk of its own.
func (t *Tolerance) MinReplicas() int { return max(t.Machines, t.Zones, t.Regions) + 1 }

// Voters returns the number of voters that a control group (a Raft group of keepers) should have, so that a majority
// remains after the loss of as many voters as machines, zones or regions may be lost.
func (t *Tolerance) Voters() int { return 2*max(t.Machines, t.Zones, t.Regions) + 1 }

// countDistinct returns the number of different names.
func countDistinct(names []string) int {
	found := map[string]bool{}
	for _, name := range names {
		found[name] = true
	}
	return len(found)
}

// countRegions returns the number of regions that the zones lie in.
func (t *Tolerance) countRegions(zones []string) int {
	regions := make([]string, 0, len(zones))
	for _, zone := range zones {
		regions = append(regions, t.RegionOf[zone])
	}
	return countDistinct(regions)
}

// SufficientReplicas reports whether at least one of the disks in these zones remains after every tolerated loss.
func (t *Tolerance) SufficientReplicas(zones []string) bool {
	return len(zones) > t.Machines && countDistinct(zones) > t.Zones && t.countRegions(zones) > t.Regions
}

// MayBeLost reports whether all of the disks in these zones may be lost at the same time.
func (t *Tolerance) MayBeLost(zones []string) bool {
	return len(zones) <= t.Machines || t.Zones > 0 && countDistinct(zones) <= t.Zones || t.Regions > 0 && t.countRegions(zones) <= t.Regions
}

// SufficientAfterLoss reports whether the disks in these zones cover so many zones and regions that, after every
// tolerated loss of zones or regions, the rest still covers as many as SufficientReplicas requires. It ignores the
// number of disks.
func (t *Tolerance) SufficientAfterLoss(zones []string) bool {
	return countDistinct(zones) > 2*t.Zones && t.countRegions(zones) > 2*t.Regions
}

// MajoritySurvives reports whether the voters in these zones keep a majority after every tolerated loss.
func (t *Tolerance) MajoritySurvives(zones []string) bool {
	return t.MajoritySurvivesWith(zones, len(zones))
}

// MajoritySurvivesWith reports whether the live voters in these zones still are a majority of all voters, live or not,
// after every tolerated loss. voters is the number of all voters.
func (t *Tolerance) MajoritySurvivesWith(live []string, voters int) bool {
	regions := make([]string, 0, len(live))
	for _, zone := range live {
		regions = append(regions, t.RegionOf[zone])
	}
	loss := max(min(t.Machines, len(live)), countInLargest(live, t.Zones), countInLargest(regions, t.Regions))
	return 2*(len(live)-loss) > voters
}

// countInLargest returns how many items, given by their places, are at the count places with the most items.
func countInLargest(places []string, count int) int {
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

// MissingReplicas returns the minimum number of disks that must be added to the disks in these zones until they
// suffice.
func (t *Tolerance) MissingReplicas(zones []string) int {
	return max(0, t.Machines+1-len(zones), t.Zones+1-countDistinct(zones), t.Regions+1-t.countRegions(zones))
}

// ChooseReplicas picks disks for new replicas so that, with the existing replicas, they suffice, and no more than that
// takes. existing and candidates are zones; the best candidates come first. It returns the indexes of the picked
// candidates. If the candidates do not suffice, it returns all that reduce the number of lacking disks.
func (t *Tolerance) ChooseReplicas(existing, candidates []string) []int {
	chosen := append([]string(nil), existing...)
	var picks []int
	used := make([]bool, len(candidates))
	for {
		lacking := t.MissingReplicas(chosen)
		if lacking == 0 {
			return picks
		}
		pick := -1
		for i, zone := range candidates {
			if !used[i] && t.MissingReplicas(append(chosen, zone)) < lacking {
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
