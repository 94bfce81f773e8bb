package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"granitewing/internal/fleet/gang/pattern"
	"granitewing/internal/fleet/gang/topology"
)

var links = topology.Topology{Host: 1e9, Rack: 2e9, Zone: 4e9, Near: 1e-5, Apart: 5e-5, Far: 1e-3}

// randomHosts draws hosts in racks of three zones, some of them with a backlog.
func randomHosts(rng *rand.Rand, hosts, racks int) (out []Host) {
	for i := range hosts {
		r := i % racks
		h := Host{ID: uint32(i + 1), Spot: topology.Spot{Rack: r, Zone: r % 3}, Room: 0.5, Pace: 0.7 + 0.6*rng.Float64(), Push: 0.02 * rng.Float64()}
		if rng.IntN(3) == 0 {
			h.Backlog = 3 * rng.Float64()
		}
		if rng.IntN(10) == 0 {
			h.After = 4 * rng.Float64()
		}
		out = append(out, h)
	}
	return out
}

func job(parts, least int, p pattern.Pattern) Job {
	return Job{Parts: parts, Least: least, Work: 2, Steps: 200, Bytes: 4e6, Pattern: p, Slack: 8, Worth: 10, Price: 0.01}
}

var weights = Weights{Fragmentation: 0.01, Fails: 1e-4}

// Where all placements can be scored, the candidate search is on average within a fiftieth of the gang's worth of
// the best placement. No score is below the bound.
func TestSearchNearOptimum(t *testing.T) {
	for _, p := range []pattern.Pattern{pattern.Ring, pattern.Halo, pattern.All, pattern.Tree} {
		worst, sum, gaps, n := 0.0, 0.0, 0.0, 0
		for seed := range uint64(60) {
			rng := rand.New(rand.NewPCG(seed, uint64(p)))
			hosts, j := randomHosts(rng, 12+rng.IntN(3), 3+rng.IntN(3)), job(3+rng.IntN(3), 3, p)
			exact := newSearch(hosts, j, &links, &topology.Loads{}, weights)
			exact.setParts(j.Parts)
			exact.best.Late = 1e9
			exact.exhaustive()
			s := newSearch(hosts, j, &links, &topology.Loads{}, weights)
			s.setParts(j.Parts)
			s.best.Late = 1e9
			s.candidates()
			s.improve()
			best, found := exact.best.Total(), s.best.Total()
			if found < best-1e-9 {
				t.Fatalf("%v, seed %d: score %.4f below the best of all, %.4f", p, seed, found, best)
			}
			j.Least = j.Parts
			if bound := Bound(hosts, j, &links, weights); bound > best+1e-9 {
				t.Fatalf("%v, seed %d: bound %.4f above the best score, %.4f", p, seed, bound, best)
			} else {
				gaps += best - bound
			}
			worst, sum, n = max(worst, found-best), sum+found-best, n+1
		}
		t.Logf("%v: above the best by %.4f on average, %.4f at most; best above the bound by %.3f on average", p, sum/float64(n), worst, gaps/float64(n))
		if sum/float64(n) > 0.02*10 || worst > 0.2*10 {
			t.Errorf("%v: above the best by %.3f on average, %.3f at most, with a worth of 10", p, sum/float64(n), worst)
		}
	}
}

// A gang that fits into a rack stays there, and of two such racks it takes the one that it fills. One that fits in
// no rack crosses as few borders as it can, and it waits for a host rather than cross a border if that risks its
// deadline less.
func TestRacks(t *testing.T) {
	rack := func(number, zone, n int, backlog float64) (out []Host) {
		for i := range n {
			out = append(out, Host{ID: uint32(100*number + i + 1), Spot: topology.Spot{Rack: number, Zone: zone}, Room: 0.5, Backlog: backlog, Pace: 1, Push: 0.01})
		}
		return out
	}
	join := func(lists ...[]Host) (out []Host) {
		for _, l := range lists {
			out = append(out, l...)
		}
		return out
	}
	for name, c := range map[string]struct {
		hosts  []Host
		parts  int
		narrow bool        // narrow uplinks, so that a gang that crosses one is late
		want   map[int]int // parts by rack
	}{
		"the rack that it fills":      {join(rack(1, 0, 8, 0), rack(2, 0, 4, 0), rack(3, 1, 6, 0)), 4, false, map[int]int{2: 4}},
		"two racks of a zone":         {join(rack(1, 0, 3, 0), rack(2, 1, 3, 0), rack(3, 0, 3, 0)), 6, false, map[int]int{1: 3, 3: 3}},
		"a rack that is full of work": {join(rack(1, 0, 4, 60), rack(2, 0, 2, 0), rack(3, 0, 2, 0)), 4, false, map[int]int{2: 2, 3: 2}},
		"a short wait for one rack":   {join(rack(1, 0, 4, 0.6), rack(2, 1, 2, 0), rack(3, 2, 2, 0)), 4, true, map[int]int{1: 4}},
	} {
		on, j := links, job(c.parts, c.parts, pattern.Ring)
		if c.narrow {
			on.Rack, j.Bytes = 2e8, 2e7
		}
		p, ok := Search(c.hosts, j, &on, &topology.Loads{}, weights)
		got := map[int]int{}
		for _, h := range p.Hosts {
			got[h.Spot.Rack]++
		}
		if !ok || fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: %v, want %v; %+v", name, got, c.want, p.Score)
		}
	}
	if _, ok := Search(rack(1, 0, 3, 0), job(4, 4, pattern.Ring), &links, &topology.Loads{}, weights); ok {
		t.Error("four parts were placed on three hosts")
	}
	if p, ok := Search(rack(1, 0, 3, 0), job(6, 3, pattern.Ring), &links, &topology.Loads{}, weights); !ok || len(p.Hosts) != 3 {
		t.Errorf("%d parts placed on three hosts with a minimum of three", len(p.Hosts))
	}
}

// Ranks that exchange data are in the same rack where possible: fewer bytes cross than with ranks assigned
// round-robin.
func TestRanks(t *testing.T) {
	var hosts []Host
	for i := range 64 {
		hosts = append(hosts, Host{ID: uint32(i + 1), Spot: topology.Spot{Rack: i / 16}, Room: 0.5, Pace: 1})
	}
	for _, p := range []pattern.Pattern{pattern.Ring, pattern.Halo, pattern.Tree} {
		got, _ := Search(hosts, job(64, 64, p), &links, &topology.Loads{}, weights)
		var x topology.Traffic
		turns := make([]topology.Spot, 64)
		for i := range turns {
			turns[i].Rack = i % 4
		}
		x.Count(p.Edges(64), 1, turns)
		if inTurn := x.Crosses / x.Total; got.Crosses > inTurn/3 {
			t.Errorf("%v: %.3f of the bytes cross racks, %.3f with round-robin ranks", p, got.Crosses, inTurn)
		}
	}
}

func BenchmarkSearch(b *testing.B) {
	hosts := randomHosts(rand.New(rand.NewPCG(1, 1)), 10_000, 400)
	for _, parts := range []int{8, 64} {
		for _, p := range []pattern.Pattern{pattern.Ring, pattern.All} {
			b.Run(fmt.Sprint(p, parts), func(b *testing.B) {
				for b.Loop() {
					Search(hosts, job(parts, parts/2, p), &links, &topology.Loads{}, weights)
				}
			})
		}
	}
}
