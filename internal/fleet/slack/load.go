// Package slack gives the dispatchers of a fleet one price of a slot-second when more is asked of it than it can do, so that
// all of them refuse the same jobs, at once, and none of them worth more than one that is let in. It does no I/O and reads
// no clock; times are microseconds on the caller's.
//
// Each tells what it is asked for by worth (of a second of work on one slot), how much worth it is asked for by slack (the
// time that a job can wait and still be in time), and the work that it has out and that has not begun. From the sums and the
// capacity of the hosts each finds the worth down to which there is room, and what is worth less pays no price.
package slack

import "math"

// Bands of worth and of slack.
const (
	worths  = 64
	lowest  = 0.02 // worth of a slot-second at the lower end of the first band
	ratio   = 1.15 // of the ends of a band
	slacks  = 8
	shorter = 0.125 // seconds of slack under which the first band of slack lies; each next is twice as long
)

// Size is how many figures a load has.
const Size = worths + slacks + 1

// Load is what some dispatchers are asked for: slot-work a second by bands of worth, worth a second by bands of slack, and
// the slot-work that waits at hosts. Sums of loads are loads.
type Load [Size]float64

// Add adds another, or with a sign of -1 takes it away.
func (l *Load) Add(o *Load, sign float64) {
	for i, v := range o {
		l[i] += sign * v
	}
}

// Asked is all slot-work that is asked for, a second.
func (l *Load) Asked() (sum float64) {
	for _, v := range l[:worths] {
		sum += v
	}
	return sum
}

// Waits is the slot-work that waits at hosts.
func (l *Load) Waits() float64 { return l[Size-1] }

func band(worth float64) int {
	return min(max(int(math.Log(worth/lowest)/math.Log(ratio)), 0), worths-1)
}

func slackBand(seconds float64) int {
	if seconds < shorter {
		return 0
	}
	return min(1+int(math.Log2(seconds/shorter)), slacks-1)
}

// Gauge is what one dispatcher has been asked for of late.
type Gauge struct {
	load Load
	at   int64
}

// span is over how many seconds it is averaged.
const span = 0.7

// Asked takes a try of a client: its worth, its slot-work and its slack in seconds. One whose time is over asks for nothing.
func (g *Gauge) Asked(now int64, worth, work, slack float64) {
	if !(worth > 0) || !(work > 0) || !(slack > 0) || math.IsInf(worth/work, 0) {
		return
	}
	g.fade(now)
	g.load[band(worth/work)] += work / span
	g.load[worths+slackBand(slack)] += worth / span
}

func (g *Gauge) fade(now int64) {
	if now <= g.at {
		return
	}
	keep := math.Exp(-float64(now-g.at) / 1e6 / span)
	for i := range g.load {
		g.load[i] *= keep
	}
	g.at = now
}

// Load gives it, with the slot-work that waits at hosts now.
func (g *Gauge) Load(now int64, waits float64) *Load {
	g.fade(now)
	l := g.load
	l[Size-1] = waits
	return &l
}
