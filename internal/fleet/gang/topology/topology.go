// Package topology computes how long one exchange among the parts of a gang takes. Hosts, racks and zones have
// links, and traffic shares a link with all that crosses it, including that of other gangs.
//
// Traffic counts the bytes that a step sends over each link, and Topology.Step turns them into seconds.
package topology

import "granitewing/internal/fleet/gang/pattern"

// Topology is the links of a deployment: bandwidth in bytes a second in each direction, and delays in seconds.
type Topology struct {
	Host float64 // a host's own link
	Rack float64 // a rack's uplink, shared by its hosts
	Zone float64 // a zone's uplink, shared by its racks

	Near, Apart, Far float64 // delay within a rack, between racks of a zone, between zones
}

// Spot is the location of a host. Rack numbers are unique across zones.
type Spot struct{ Rack, Zone int }

// Loads is the traffic of other gangs on the uplinks, in bytes a second each way, by rack and by zone.
type Loads struct{ Racks, Zones map[int]float64 }

// Add adds traffic, in bytes a second, to the uplinks of a rack and of a zone.
func (l *Loads) Add(s Spot, rack, zone float64) {
	if l.Racks == nil {
		l.Racks, l.Zones = map[int]float64{}, map[int]float64{}
	}
	if rack > 0 {
		l.Racks[s.Rack] += rack
	}
	if zone > 0 {
		l.Zones[s.Zone] += zone
	}
}

// Share is the traffic over one uplink.
type Share struct {
	Number int // of the rack or zone
	Bytes  float64
}

// Traffic is the bytes that one step of a gang sends. It can be reused: Count sets all fields.
type Traffic struct {
	Host         float64 // the most that any one host sends
	Racks, Zones []Share
	Crosses      float64 // total that leaves a rack
	Total        float64
	Hosts        []float64 // per rank: the bytes that it sends
	Leaves       []float64 // per rank: the bytes that it sends beyond its rack
	Zoned        []float64 // per rank: the bytes that it sends beyond its zone

	level int   // the farthest distance of any edge: 0 same rack, 1 same zone, 2 across zones
	racks []int // per rank: its index in Racks
	zones []int // per rank: its index in Zones
}

// findOrAppend returns the index of a number in a short list, and appends it if it is missing.
func findOrAppend(list []Share, number int) ([]Share, int) {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Number == number {
			return list, i
		}
	}
	return append(list, Share{Number: number}), len(list)
}

func zeros(s []float64, n int) []float64 {
	if cap(s) < n {
		return make([]float64, n)
	}
	s = s[:n]
	clear(s)
	return s
}

// Count computes the traffic of one step. bytes is what a part with all its neighbours sends; spots are the
// locations of the ranks.
func (t *Traffic) Count(edges []pattern.Edge, bytes float64, spots []Spot) {
	n := len(spots)
	*t = Traffic{Racks: t.Racks[:0], Zones: t.Zones[:0], Hosts: zeros(t.Hosts, n), Leaves: zeros(t.Leaves, n), Zoned: zeros(t.Zoned, n),
		racks: t.racks[:0], zones: t.zones[:0]}
	for _, s := range spots {
		var r, z int
		t.Racks, r = findOrAppend(t.Racks, s.Rack)
		t.Zones, z = findOrAppend(t.Zones, s.Zone)
		t.racks, t.zones = append(t.racks, r), append(t.zones, z)
	}
	for _, e := range edges {
		v := e.Share * bytes
		t.Hosts[e.A] += v
		t.Hosts[e.B] += v
		if t.racks[e.A] == t.racks[e.B] {
			continue
		}
		t.level = max(t.level, 1)
		t.Leaves[e.A] += v
		t.Leaves[e.B] += v
		if t.zones[e.A] != t.zones[e.B] {
			t.level = 2
			t.Zoned[e.A] += v
			t.Zoned[e.B] += v
		}
	}
	for i := range spots {
		t.Host = max(t.Host, t.Hosts[i])
		t.Total += t.Hosts[i]
		t.Crosses += t.Leaves[i]
		t.Racks[t.racks[i]].Bytes += t.Leaves[i]
		t.Zones[t.zones[i]].Bytes += t.Zoned[i]
	}
}

// minLinkShare is the share of a link that a gang gets however much traffic others have on it.
const minLinkShare = 0.1

// Step returns how long one exchange takes, in seconds: the time on the slowest link that it crosses plus the
// delay.
func (t *Topology) Step(x *Traffic, others *Loads) float64 {
	if x.Total == 0 {
		return 0
	}
	slowest := x.Host / t.Host
	for _, s := range x.Racks {
		if s.Bytes > 0 {
			slowest = max(slowest, s.Bytes/max(t.Rack-others.Racks[s.Number], minLinkShare*t.Rack))
		}
	}
	for _, s := range x.Zones {
		if s.Bytes > 0 {
			slowest = max(slowest, s.Bytes/max(t.Zone-others.Zones[s.Number], minLinkShare*t.Zone))
		}
	}
	return slowest + [...]float64{t.Near, t.Apart, t.Far}[x.level]
}

// Alone returns the shortest time of one exchange, with all parts in one rack and no other traffic, in seconds.
func (t *Topology) Alone(edges []pattern.Edge, bytes float64, parts int) float64 {
	var x Traffic
	x.Count(edges, bytes, make([]Spot, parts))
	return t.Step(&x, &Loads{})
}
