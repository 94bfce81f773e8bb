// Package topology says how long a gang's parts take for one exchange: host, rack and zone have links, and what crosses one
// shares it with all that cross it, other gangs included.
package topology

import "granitewing/internal/fleet/gang/pattern"

// Topology is the links of a deployment: bytes a second each way, and the time to cross a level in seconds.
type Topology struct {
	Host float64 // a host's own link
	Rack float64 // a rack's uplink, for all of its hosts together
	Zone float64 // a zone's uplink, for all of its racks together

	Near, Apart, Far float64 // delay within a rack, between racks of a zone, between zones
}

// Spot is where a host stands. Racks are numbered over all zones.
type Spot struct{ Rack, Zone int }

// Loads are bytes a second that other gangs have on uplinks, each way, by rack and by zone.
type Loads struct{ Racks, Zones map[int]float64 }

// Add puts traffic on the uplinks of a rack and of a zone.
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

// Share is what crosses one uplink.
type Share struct {
	Number int // of the rack or zone
	Bytes  float64
}

// Traffic is what one step of a gang sends, in bytes. It may be used again: Count sets all of it.
type Traffic struct {
	Host         float64 // most that a host sends
	Racks, Zones []Share
	Crosses      float64 // leaves a rack, over all
	Total        float64
	Hosts        []float64 // what each rank sends, and what of that leaves its rack and its zone
	Leaves       []float64
	Zoned        []float64

	level int   // the farthest that any goes
	racks []int // of each rank: its place in Racks, and in Zones
	zones []int
}

// place finds or makes a number's place in a short list.
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

// Count counts what one step sends: bytes are what a part with all its neighbours sends, spots are where the ranks are.
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

// least is the part of a link that a gang gets however much others have on it.
const minLinkShare = 0.1

// Step is how long one exchange takes, in seconds: as long as the slowest link that it crosses, and the way there.
func (t *Topology) Step(x *Traffic, others *Loads) float64 {
	if x.Total == 0 {
		return 0
	}
	most := x.Host / t.Host
	for _, s := range x.Racks {
		if s.Bytes > 0 {
			most = max(most, s.Bytes/max(t.Rack-others.Racks[s.Number], minLinkShare*t.Rack))
		}
	}
	for _, s := range x.Zones {
		if s.Bytes > 0 {
			most = max(most, s.Bytes/max(t.Zone-others.Zones[s.Number], minLinkShare*t.Zone))
		}
	}
	return most + [...]float64{t.Near, t.Apart, t.Far}[x.level]
}

// Alone is the least that one exchange takes wherever the parts are.
func (t *Topology) Alone(edges []pattern.Edge, bytes float64, parts int) float64 {
	var x Traffic
	x.Count(edges, bytes, make([]Spot, parts))
	return t.Step(&x, &Loads{})
}
