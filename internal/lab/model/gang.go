package model

import (
	"slices"

	"granitewing/internal/fleet/gang/pattern"
)

// This file models gangs, that is jobs whose parts run at several hosts at once. A part holds its slots from its start
// on, and runs once all parts of its gang have started. The gang ends at all hosts at once. It fails if its parts have
// not all started in time, or if it loses a part.

// Gang describes a class whose jobs run in parts.
type Gang struct {
	Parts   int             // at full size; with fewer parts each has more work
	Pattern pattern.Pattern // of the communication between the parts
	Bytes   float64         // that a part sends in a step
	Steps   float64         // exchanges per run
}

// Part describes one part of a gang in an attempt.
type Part struct {
	Name  string // of the gang, the same for all of its parts
	Rank  int
	Parts int
	By    int64 // all parts have to start by this time
	*Gang
}

// Links holds the bandwidths of the links of a host, rack and zone, in bytes per second. All traffic over a link shares
// its bandwidth.
type Links struct{ Host, Rack, Zone float64 }

// Ending is the end of a part at a host.
type Ending struct {
	Host    *Host
	Attempt uint64
	OK      bool
}

// startedPart is a part that has started.
type startedPart struct {
	host    *Host
	attempt uint64
	rank    int
}

// runningGang is a gang of which at least one part has started.
type runningGang struct {
	name          string
	kind          *Gang
	parts         int
	work          float64 // of each part, in microseconds on a core of speed 1
	startDeadline int64   // all parts have to start by this time
	partialSince  int64   // since when some but not all parts have started; Never if all have
	members       []startedPart
	allStarted    bool    // all parts have started
	ended         bool    // completed or failed
	shareLeft     float64 // share of its run that is left
	shareRate     float64 // share of its run per microsecond
}

// GangReport holds the figures of gangs as the hosts observed them.
type GangReport struct {
	Whole         int     `json:"whole"`          // gangs of which all parts started
	Broken        int     `json:"broken"`         // gangs that lost a part after all had started
	PartlyStarted int     `json:"half"`           // gangs of which some parts started, but never all
	Doubled       int     `json:"doubled"`        // parts started while the same part of the same gang was running
	LongestHalf   float64 `json:"longest_half_s"` // longest time that a gang was partly started, up to its deadline
	LatestEnd     float64 `json:"latest_end_s"`   // longest delay past the deadline, as the emulation was held up
	Step          float64 `json:"step_ms"`        // mean time of an exchange, over the gangs that completed
	Run           float64 `json:"run_s"`          // mean run time of the gangs that completed
	Crossed       float64 `json:"crossed"`        // share of bytes that left a rack
	Spans         float64 `json:"racks"`          // mean number of racks that a gang spans
}

// Fabric is the network over which the parts of gangs exchange data, with all gangs that run at the hosts of a
// deployment.
type Fabric struct {
	Links
	now    int64
	gangs  []*runningGang
	report GangReport
	// Sums over the gangs that completed.
	completedRuns   int
	exchangeSeconds float64 // of one exchange of each
	runSeconds      float64
	crossedBytes    float64 // that left a rack
	totalBytes      float64
	rackCount       int
}

// NewFabric returns a fabric without gangs.
func NewFabric(l Links) *Fabric { return &Fabric{Links: l} }

func (f *Fabric) find(name string) *runningGang {
	for _, g := range f.gangs {
		if g.name == name {
			return g
		}
	}
	return nil
}

// partStarted adds a part that has started, that is, holds its slots.
func (f *Fabric) partStarted(h *Host, t *task) {
	f.elapse(h.now)
	g := f.find(t.Part.Name)
	if g == nil {
		g = &runningGang{name: t.Part.Name, kind: t.Part.Gang, parts: t.Part.Parts, work: t.Work * float64(t.Part.Gang.Parts) / float64(t.Part.Parts), startDeadline: t.Part.By, partialSince: f.now, shareLeft: 1}
		f.gangs = append(f.gangs, g)
	}
	if slices.ContainsFunc(g.members, func(m startedPart) bool { return m.rank == t.Part.Rank }) {
		f.report.Doubled++
	}
	g.members = append(g.members, startedPart{h, t.Attempt, t.Part.Rank})
	g.startDeadline = min(g.startDeadline, t.Part.By)
	if len(g.members) == g.parts && !g.ended {
		f.endPartialStart(g)
		g.allStarted = true
		f.report.Whole++
		f.updateRates()
	}
}

// partEnded removes a part that has ended for any reason.
func (f *Fabric) partEnded(h *Host, t *task) {
	f.elapse(h.now)
	for i, g := range f.gangs {
		k := slices.IndexFunc(g.members, func(m startedPart) bool { return m.attempt == t.Attempt && m.host == h })
		if k < 0 {
			continue
		}
		g.members = slices.Delete(g.members, k, k+1)
		if g.allStarted && !g.ended && g.shareLeft > 0 {
			g.ended = true
			f.report.Broken++
		}
		if len(g.members) == 0 {
			if !g.allStarted {
				f.report.PartlyStarted++
			}
			f.endPartialStart(g)
			f.gangs = slices.Delete(f.gangs, i, i+1)
		}
		f.updateRates()
		return
	}
}

// endPartialStart ends the time in which a gang is partly started, if it is.
func (f *Fabric) endPartialStart(g *runningGang) {
	if g.partialSince != Never {
		f.report.recordPartialStart(g, f.now)
		g.partialSince = Never
	}
}

// recordPartialStart records how long a gang was partly started, up to its deadline, and how far past the deadline the
// hosts ended it.
func (r *GangReport) recordPartialStart(g *runningGang, now int64) {
	r.LongestHalf = max(r.LongestHalf, float64(min(now, g.startDeadline)-g.partialSince)/1e6)
	r.LatestEnd = max(r.LatestEnd, float64(now-g.startDeadline)/1e6)
}

// elapse moves time on to now and updates the progress of all gangs.
func (f *Fabric) elapse(now int64) {
	if now <= f.now {
		return
	}
	for _, g := range f.gangs {
		if g.allStarted {
			g.shareLeft -= g.shareRate * float64(now-f.now)
		}
	}
	f.now = now
}

// exchangeTraffic returns the bytes that one exchange of a gang sends over the uplink of each rack and zone and the
// link of each host, in total, and in total between racks.
func exchangeTraffic(g *runningGang) (racks, zones map[[2]int]float64, hosts []float64, total, crossed float64) {
	racks, zones, hosts = map[[2]int]float64{}, map[[2]int]float64{}, make([]float64, g.parts)
	at := make([]*Host, g.parts)
	for _, m := range g.members {
		at[m.rank] = m.host
	}
	for _, x := range g.kind.Pattern.Edges(g.parts) {
		a, b := at[x.A], at[x.B]
		if a == nil || b == nil {
			continue
		}
		v := x.Share * g.kind.Bytes
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

// updateRates updates the speed of each gang. A gang that uses a link waits for all traffic on it.
func (f *Fabric) updateRates() {
	racks, zones := map[[2]int]float64{}, map[[2]int]float64{}
	for _, g := range f.gangs {
		if g.allStarted && !g.ended {
			r, z, _, _, _ := exchangeTraffic(g)
			for k, v := range r {
				racks[k] += v
			}
			for k, v := range z {
				zones[k] += v
			}
		}
	}
	for _, g := range f.gangs {
		if !g.allStarted || g.ended {
			continue
		}
		r, z, hosts, _, _ := exchangeTraffic(g)
		g.shareRate = 1 / max(f.runTime(g, f.exchangeTime(r, z, hosts, racks, zones)), 1)
	}
}

// exchangeTime returns the time of an exchange in seconds. r, z and hosts are the gang's own bytes by rack, zone and
// host; racks and zones are the bytes of all gangs.
func (f *Fabric) exchangeTime(r, z map[[2]int]float64, hosts []float64, racks, zones map[[2]int]float64) float64 {
	step := slices.Max(hosts) / f.Host
	for k := range r {
		step = max(step, racks[k]/f.Rack)
	}
	for k := range z {
		step = max(step, zones[k]/f.Zone)
	}
	return step
}

// runTime returns the run time of a gang at the present rates, in microseconds. step is the time of an exchange in
// seconds.
func (f *Fabric) runTime(g *runningGang, step float64) float64 {
	rate := 1e9
	for _, m := range g.members {
		rate = min(rate, m.host.slotRate)
	}
	return g.work/max(rate, 1e-6) + g.kind.Steps*step*1e6
}

// Next returns when the next gang ends if no part starts or ends before, or Never.
func (f *Fabric) Next() int64 {
	next := int64(Never)
	for _, g := range f.gangs {
		switch {
		case g.ended:
			next = min(next, f.now)
		case g.allStarted:
			next = min(next, f.now+max(int64(g.shareLeft/g.shareRate)+1, 0))
		default:
			next = min(next, g.startDeadline)
		}
	}
	return next
}

// Advance moves time on to now and returns the parts that end. The caller has to end each at its host by Host.Finish
// before the next call.
func (f *Fabric) Advance(now int64) (out []Ending) {
	f.elapse(now)
	for _, g := range f.gangs {
		done := g.allStarted && !g.ended && g.shareLeft <= workTolerance
		if !g.ended && !done && (g.allStarted || now < g.startDeadline) {
			continue
		}
		if done {
			racks, zones, hosts, total, crossed := exchangeTraffic(g)
			step := f.exchangeTime(racks, zones, hosts, racks, zones)
			f.completedRuns++
			f.exchangeSeconds, f.runSeconds, f.totalBytes, f.crossedBytes = f.exchangeSeconds+step, f.runSeconds+f.runTime(g, step)/1e6, f.totalBytes+total, f.crossedBytes+crossed
			seen := map[[2]int]bool{}
			for _, m := range g.members {
				seen[[2]int{m.host.Zone, m.host.Cell}] = true
			}
			f.rackCount += len(seen)
		}
		g.ended = true // so that the ends of its members are not counted as a lost part
		if done {
			g.shareLeft = 0
		}
		for _, m := range g.members {
			out = append(out, Ending{m.host, m.attempt, done})
		}
	}
	return out
}

// Report returns the figures so far.
func (f *Fabric) Report() *GangReport {
	r := f.report
	for _, g := range f.gangs {
		if g.partialSince != Never {
			r.recordPartialStart(g, f.now)
		}
	}
	if f.completedRuns > 0 {
		r.Step, r.Run, r.Spans = f.exchangeSeconds/float64(f.completedRuns)*1e3, f.runSeconds/float64(f.completedRuns), float64(f.rackCount)/float64(f.completedRuns)
		r.Crossed = f.crossedBytes / max(f.totalBytes, 1)
	}
	return &r
}

// Finish ends a part whose gang has ended, as done or failed. It returns notes like Advance.
func (h *Host) Finish(now int64, attempt uint64, ok bool) []Note {
	h.notes = h.notes[:0]
	h.advance(now)
	i := slices.IndexFunc(h.running, func(t *task) bool { return t.Attempt == attempt })
	if i < 0 {
		return h.notes
	}
	t := h.running[i]
	h.running = slices.Delete(h.running, i, i+1)
	if ok {
		t.workLeft = 0
		h.addNote(t, Done, 1)
	} else {
		h.addNote(t, Failed, 0)
	}
	h.updateCell(t, ok)
	h.fabric.partEnded(h, t)
	h.startWaiting()
	return h.notes
}

// SetFabric sets the fabric over which the host's gang parts exchange data.
func (h *Host) SetFabric(f *Fabric) { h.fabric = f }

// returnOverdueParts returns the waiting parts that have not started by their deadline; their gang has failed.
func (h *Host) returnOverdueParts() {
	h.waiting = slices.DeleteFunc(h.waiting, func(t *task) bool {
		if t.Part == nil || h.now < t.Part.By {
			return false
		}
		h.addNote(t, Returned, 0)
		h.abandon(t)
		return true
	})
}
