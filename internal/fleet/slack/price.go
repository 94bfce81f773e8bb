package slack

import "math"

// Rules of the price.
const (
	used      = 0.97 // share of the capacity that may be let in where as much waits as should
	waitPart  = 0.25 // of the slack of those that can wait least: so long are jobs to wait
	shortPart = 0.15 // of the worth that is asked for has less slack than that
	waitLeast = 0.1  // seconds of work that wait in any case, so that no host is idle
	settles   = 1.0  // seconds in which what waits too much, or too little, is made up for
	letLeast  = 0.3  // of the capacity that is let in, whatever waits
	letMost   = 1.6
	smooth    = 0.25 // seconds over which the price is averaged
	heardNone = 0.5  // share of the members heard at which the price counts for nothing,
	heardAll  = 0.9  // and from which on it counts in full
)

// Price is the price of a slot-second as one dispatcher has it, in the worth that the settings give to classes.
type Price struct {
	price float64
	at    int64
}

// Set brings the price up to a time, from the load of all that are heard, this dispatcher among them, the capacity of the
// hosts in slot-work a second, and how many members there are. Where too few are heard it fades to nothing, and the
// dispatcher goes by what it sees itself, as one without peers does.
func (p *Price) Set(now int64, l *Load, heard, members int, capacity float64) float64 {
	target := 0.0
	if heard > 1 && capacity > 0 {
		all := float64(max(members, heard))
		trust := math.Min(math.Max((float64(heard)/all-heardNone)/(heardAll-heardNone), 0), 1)
		target = trust * l.clearing(all/float64(heard), capacity)
	}
	if dt := float64(now-p.at) / 1e6; dt > 0 {
		p.price += (target - p.price) * (1 - math.Exp(-dt/smooth))
		p.at = now
	}
	if p.price < lowest/10 && target == 0 {
		p.price = 0
	}
	return p.price
}

// Now is the price as it was set last.
func (p *Price) Now() float64 { return p.price }

// clearing is the worth down to which there is room for what is asked for, times a scale; 0 where there is room for all.
func (l *Load) clearing(scale, capacity float64) float64 {
	room := capacity * math.Min(math.Max(used+(l.wanted()-scale*l.Waits()/capacity)/settles, letLeast), letMost) / scale
	for b := worths - 1; b >= 0; b-- {
		if l[b] < room {
			room -= l[b]
			continue
		}
		if b == 0 {
			return lowest
		}
		return lowest * math.Pow(ratio, float64(b)+1-room/l[b])
	}
	return 0
}

// wanted is for how many seconds jobs are to wait.
func (l *Load) wanted() float64 {
	all, sum := 0.0, 0.0
	for _, v := range l[worths : worths+slacks] {
		all += v
	}
	upper := shorter
	for _, v := range l[worths : worths+slacks-1] {
		if sum+v > shortPart*all {
			lower := upper / 2
			return math.Max(waitPart*(lower+(upper-lower)*(shortPart*all-sum)/v), waitLeast)
		}
		sum += v
		upper *= 2
	}
	return waitPart * upper / 2
}
