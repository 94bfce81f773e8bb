// Package slack computes a common price of a slot-second for the dispatchers of an overloaded fleet. With the same
// price all of them refuse the same jobs at the same time, and never refuse a job of higher value than one that they
// admit.
//
// Each dispatcher measures its demand with a Gauge and reports it as a Load: the demand by value (of a second of work
// on one slot), the value by slack (the time that a job can wait and still meet its deadline), and the work that it
// sent to hosts and that has not started. From the sum of the loads and the capacity of the hosts, a Price finds the
// value down to which the capacity suffices. Jobs of lower value are to be refused. The package does no I/O and reads
// no clock; times are microseconds on the caller's clock.
package slack

import "math"

// Bands of value and of slack.
const (
	valueBands = 64
	minValue   = 0.02 // of a slot-second, at the lower end of the first band
	bandRatio  = 1.15 // of the upper to the lower end of a value band
	slackBands = 8
	firstSlack = 0.125 // upper end of the first slack band in seconds; it doubles with each band
)

// Size is the number of figures in a load.
const Size = valueBands + slackBands + 1

// Load is the load of one or more dispatchers. It holds, in this order, the demand in slot-seconds a second by value
// band, the value a second by slack band, and the slot-seconds waiting at hosts. The sum of loads is a load.
type Load [Size]float64

// Add adds another load; a sign of -1 subtracts it.
func (l *Load) Add(o *Load, sign float64) {
	for i, v := range o {
		l[i] += sign * v
	}
}

// Asked returns the total demand in slot-seconds a second.
func (l *Load) Asked() (sum float64) {
	for _, v := range l[:valueBands] {
		sum += v
	}
	return sum
}

// Waits returns the work waiting at hosts, in slot-seconds.
func (l *Load) Waits() float64 { return l[Size-1] }

func valueBand(value float64) int {
	return min(max(int(math.Log(value/minValue)/math.Log(bandRatio)), 0), valueBands-1)
}

func slackBand(seconds float64) int {
	if seconds < firstSlack {
		return 0
	}
	return min(1+int(math.Log2(seconds/firstSlack)), slackBands-1)
}

// Gauge measures the recent demand that one dispatcher receives, as an exponential moving average. Its zero value is
// ready for use.
type Gauge struct {
	load Load
	at   int64 // of the last update
}

// averagingTime is the time constant of the average, in seconds.
const averagingTime = 0.7

// Asked records a client's request with its value, its work in slot-seconds and its slack in seconds. It ignores a
// request without positive slack, whose deadline can't be met, and figures that are invalid.
func (g *Gauge) Asked(now int64, value, work, slack float64) {
	if !(value > 0) || !(work > 0) || !(slack > 0) || math.IsInf(value/work, 0) {
		return
	}
	g.decay(now)
	g.load[valueBand(value/work)] += work / averagingTime
	g.load[valueBands+slackBand(slack)] += value / averagingTime
}

// decay reduces the average for the time since the last update.
func (g *Gauge) decay(now int64) {
	if now <= g.at {
		return
	}
	factor := math.Exp(-float64(now-g.at) / 1e6 / averagingTime)
	for i := range g.load {
		g.load[i] *= factor
	}
	g.at = now
}

// Load returns the demand as a load, together with the work in slot-seconds that waits at hosts now.
func (g *Gauge) Load(now int64, waiting float64) *Load {
	g.decay(now)
	l := g.load
	l[Size-1] = waiting
	return &l
}
