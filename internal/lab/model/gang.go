package model

import (
	"slices"

	"granitewing/internal/fleet/gang/pattern"
)

// Gangs at the laboratory's hosts: a part holds its slots from its start on, and runs once all parts of its gang have begun. The
// gang ends everywhere at once; one that is not whole in time, or loses a part, ends as failed.

// Gang is what the hosts know of a class whose jobs run in parts.
type Gang struct {
	Parts   int // at full size; with fewer each has more work
	Pattern pattern.Pattern
	Bytes   float64 // that a part sends in a step
	Steps   float64
}

// Part is what a dispatcher tells of one.
type Part struct {
	Name  string // of the gang, the same for all of its parts
	Rank  int
	Parts int
	By    int64 // all parts have to begin by then
	*Gang
}

// Links are what hosts' parts exchange over: bytes a second, all that cross a link sharing it.
type Links struct{ Host, Rack, Zone float64 }

// Ending is the end of a part at a host.
type Ending struct {
	Host    *Host
	Attempt uint64
	OK      bool
}

// member is a part that has begun.
type member struct {
	h       *Host
	attempt uint64
	rank    int
}

// ensemble is a gang of which a part has begun.
type ensemble struct {
	name    string
	kind    *Gang
	parts   int
	work    float64 // microseconds of each part on a core of speed 1
	by      int64
	half    int64 // since when some and not all parts have begun; Never: none or all
	members []member
	whole   bool
	broken  bool
	left    float64 // share of its run
	speed   float64 // share a microsecond
}

// GangReport is what the hosts saw of gangs.
type GangReport struct {
	Whole       int     `json:"whole"` // gangs of which all parts began
	Broken      int     `json:"broken"`
	Half        int     `json:"half"`           // of which some parts began, and all never did
	Doubled     int     `json:"doubled"`        // parts begun while the same part of the same gang was out
	LongestHalf float64 `json:"longest_half_s"` // until the moment at which the hosts had to end it
	LatestEnd   float64 `json:"latest_end_s"`   // longest that the hosts came after that moment, as their emulation was held up
	Step        float64 `json:"step_ms"`        // mean time of an exchange, over the runs that ended
	Run         float64 `json:"run_s"`          // mean
	Crossed     float64 `json:"crossed"`        // share of bytes that left a rack
	Spans       float64 `json:"racks"`          // that a gang is in, in the mean
}

// Fabric is what all hosts of a deployment exchange over.
type Fabric struct {
	Links
	now     int64
	gangs   []*ensemble
	report  GangReport
	ran     int
	steps   float64
	runs    float64
	crossed float64
	total   float64
	spans   int
}

// NewFabric makes one without gangs.
func NewFabric(l Links) *Fabric { return &Fabric{Links: l} }

func (f *Fabric) find(name string) *ensemble {
	for _, e := range f.gangs {
		if e.name == name {
			return e
		}
	}
	return nil
}

// began takes a part that holds its slots now.
func (f *Fabric) began(h *Host, r *run) {
	f.pass(h.now)
	e := f.find(r.Part.Name)
	if e == nil {
		e = &ensemble{name: r.Part.Name, kind: r.Part.Gang, parts: r.Part.Parts, work: r.Work * float64(r.Part.Gang.Parts) / float64(r.Part.Parts), by: r.Part.By, half: f.now, left: 1}
		f.gangs = append(f.gangs, e)
	}
	if slices.ContainsFunc(e.members, func(m member) bool { return m.rank == r.Part.Rank }) {
		f.report.Doubled++
	}
	e.members = append(e.members, member{h, r.Attempt, r.Part.Rank})
	e.by = min(e.by, r.Part.By)
	if len(e.members) == e.parts && !e.broken {
		f.endHalf(e)
		e.whole = true
		f.report.Whole++
		f.pace()
	}
}

// gone takes a part that has left, whatever the cause.
func (f *Fabric) gone(h *Host, r *run) {
	f.pass(h.now)
	for i, e := range f.gangs {
		k := slices.IndexFunc(e.members, func(m member) bool { return m.attempt == r.Attempt && m.h == h })
		if k < 0 {
			continue
		}
		e.members = slices.Delete(e.members, k, k+1)
		if e.whole && !e.broken && e.left > 0 {
			e.broken = true
			f.report.Broken++
		}
		if len(e.members) == 0 {
			if !e.whole {
				f.report.Half++
			}
			f.endHalf(e)
			f.gangs = slices.Delete(f.gangs, i, i+1)
		}
		f.pace()
		return
	}
}

func (f *Fabric) endHalf(e *ensemble) {
	if e.half != Never {
		f.report.noteHalf(e, f.now)
		e.half = Never
	}
}

// noteHalf books how long a gang has stood half begun until the hosts had to end it, and how late they came to that.
func (r *GangReport) noteHalf(e *ensemble, now int64) {
	r.LongestHalf = max(r.LongestHalf, float64(min(now, e.by)-e.half)/1e6)
	r.LatestEnd = max(r.LatestEnd, float64(now-e.by)/1e6)
}

func (f *Fabric) pass(now int64) {
	if now <= f.now {
		return
	}
	for _, e := range f.gangs {
		if e.whole {
			e.left -= e.speed * float64(now-f.now)
		}
	}
	f.now = now
}

// crossing is what a gang's step sends over each rack's and zone's uplink, and in all.
func crossing(e *ensemble) (racks, zones map[[2]int]float64, hosts []float64, total, crossed float64) {
	racks, zones, hosts = map[[2]int]float64{}, map[[2]int]float64{}, make([]float64, e.parts)
	at := make([]*Host, e.parts)
	for _, m := range e.members {
		at[m.rank] = m.h
	}
	for _, x := range e.kind.Pattern.Edges(e.parts) {
		a, b := at[x.A], at[x.B]
		if a == nil || b == nil {
			continue
		}
		v := x.Share * e.kind.Bytes
		hosts[x.A] += v
		hosts[x.B] += v
		total += 2 * v
		if a.Zone == b.Zone && a.Cell == b.Cell {
			continue
		}
		crossed += 2 * v
		racks[[2]int{a.Zone, a.Cell}] += v
		racks[[2]int{b.Zone, b.Cell}] += v
		if a.Zone != b.Zone {
			zones[[2]int{a.Zone, 0}] += v
			zones[[2]int{b.Zone, 0}] += v
		}
	}
	return racks, zones, hosts, total, crossed
}

// pace finds how fast each gang runs beside the others: whoever crosses a link waits for all that do.
func (f *Fabric) pace() {
	racks, zones := map[[2]int]float64{}, map[[2]int]float64{}
	for _, e := range f.gangs {
		if e.whole && !e.broken {
			r, z, _, _, _ := crossing(e)
			for k, v := range r {
				racks[k] += v
			}
			for k, v := range z {
				zones[k] += v
			}
		}
	}
	for _, e := range f.gangs {
		if !e.whole || e.broken {
			continue
		}
		r, z, hosts, _, _ := crossing(e)
		e.speed = 1 / max(f.length(e, f.step(r, z, hosts, racks, zones)), 1)
	}
}

func (f *Fabric) step(r, z map[[2]int]float64, hosts []float64, racks, zones map[[2]int]float64) float64 {
	step := slices.Max(hosts) / f.Host
	for k := range r {
		step = max(step, racks[k]/f.Rack)
	}
	for k := range z {
		step = max(step, zones[k]/f.Zone)
	}
	return step
}

// length is how long a gang runs at its present pace, in microseconds.
func (f *Fabric) length(e *ensemble, step float64) float64 {
	rate := 1e9
	for _, m := range e.members {
		rate = min(rate, m.h.rates)
	}
	return e.work/max(rate, 1e-6) + e.kind.Steps*step*1e6
}

// Next is when a gang ends unless something comes before.
func (f *Fabric) Next() int64 {
	next := int64(Never)
	for _, e := range f.gangs {
		switch {
		case e.broken:
			next = min(next, f.now)
		case e.whole:
			next = min(next, f.now+max(int64(e.left/e.speed)+1, 0))
		default:
			next = min(next, e.by)
		}
	}
	return next
}

// Advance lets time pass and gives the parts that end with it. Each is to be ended at its host, by Finish, before the next call.
func (f *Fabric) Advance(now int64) (out []Ending) {
	f.pass(now)
	for _, e := range f.gangs {
		done := e.whole && !e.broken && e.left <= tiny
		if !e.broken && !done && (e.whole || now < e.by) {
			continue
		}
		if done {
			racks, zones, hosts, total, crossed := crossing(e)
			step := f.step(racks, zones, hosts, racks, zones)
			f.ran++
			f.steps, f.runs, f.total, f.crossed = f.steps+step, f.runs+f.length(e, step)/1e6, f.total+total, f.crossed+crossed
			seen := map[[2]int]bool{}
			for _, m := range e.members {
				seen[[2]int{m.h.Zone, m.h.Cell}] = true
			}
			f.spans += len(seen)
		}
		e.broken = true // for the rest of it: no member that ends now ends the others again
		if done {
			e.left = 0
		}
		for _, m := range e.members {
			out = append(out, Ending{m.h, m.attempt, done})
		}
	}
	return out
}

// Report tells what was seen so far.
func (f *Fabric) Report() *GangReport {
	r := f.report
	for _, e := range f.gangs {
		if e.half != Never {
			r.noteHalf(e, f.now)
		}
	}
	if f.ran > 0 {
		r.Step, r.Run, r.Spans = f.steps/float64(f.ran)*1e3, f.runs/float64(f.ran), float64(f.spans)/float64(f.ran)
		r.Crossed = f.crossed / max(f.total, 1)
	}
	return &r
}

// Finish ends a part whose gang has ended.
func (h *Host) Finish(now int64, attempt uint64, ok bool) []Note {
	h.notes = h.notes[:0]
	h.advance(now)
	i := slices.IndexFunc(h.running, func(r *run) bool { return r.Attempt == attempt })
	if i < 0 {
		return h.notes
	}
	r := h.running[i]
	h.running = slices.Delete(h.running, i, i+1)
	if ok {
		r.left = 0
		h.note(r, Done, 1)
	} else {
		h.note(r, Failed, 0)
	}
	h.settle(r, ok)
	h.fabric.gone(h, r)
	h.fill()
	return h.notes
}

// Exchange has its parts exchange over a fabric.
func (h *Host) Exchange(f *Fabric) { h.fabric = f }

// overdue hands back the parts that have not begun in time: their gang does not wait for them any more.
func (h *Host) overdue() {
	h.waiting = slices.DeleteFunc(h.waiting, func(r *run) bool {
		if r.Part == nil || h.now < r.Part.By {
			return false
		}
		h.note(r, Returned, 0)
		h.drop(r)
		return true
	})
}
