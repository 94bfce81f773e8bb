package slack

import "math"

// Parameters of the price.
const (
	targetUtilization = 0.97 // share of the capacity that is admitted while the waiting work is at its target
	waitShare         = 0.25 // target waiting time, as a share of the slack of the urgent jobs
	urgentShare       = 0.15 // the slack below which this share of the demanded value lies; jobs below it are the urgent ones
	minWait           = 0.1  // seconds of work that may always wait, so that no host is idle
	correctionTime    = 1.0  // seconds in which a surplus or deficit of waiting work is corrected
	minAdmitted       = 0.3  // share of the capacity that is admitted however much work waits
	maxAdmitted       = 1.6  // share of the capacity that is admitted however little work waits
	smoothingTime     = 0.25 // time constant in seconds of the average of the price
	noTrustShare      = 0.5  // with valid reports of this share of the members or less, the price counts for nothing
	fullTrustShare    = 0.9  // from this share of the members on, the price counts in full
)

// Price is the price of a slot-second at one dispatcher, in the unit of the value that the settings give to classes.
// Its zero value is a price of 0.
type Price struct {
	price float64
	at    int64 // of the last update
}

// Set updates the price to the time now and returns it. l is the load of the heard members with a valid report, this
// dispatcher included; members is the number of all members; capacity is that of the hosts in slot-seconds a second. If
// too few members are heard, the price falls to 0 and the dispatcher relies on its own observations, as one without
// peers.
func (p *Price) Set(now int64, l *Load, heard, members int, capacity float64) float64 {
	target := 0.0
	if heard > 1 && capacity > 0 {
		all := float64(max(members, heard))
		trust := math.Min(math.Max((float64(heard)/all-noTrustShare)/(fullTrustShare-noTrustShare), 0), 1)
		target = trust * l.clearingPrice(all/float64(heard), capacity)
	}
	if dt := float64(now-p.at) / 1e6; dt > 0 {
		p.price += (target - p.price) * (1 - math.Exp(-dt/smoothingTime))
		p.at = now
	}
	if p.price < minValue/10 && target == 0 {
		p.price = 0
	}
	return p.price
}

// Now returns the price as of the last Set.
func (p *Price) Now() float64 { return p.price }

// clearingPrice returns the value down to which the capacity suffices for the demand, which is multiplied by scale. It
// returns 0 if the capacity suffices for the whole demand.
func (l *Load) clearingPrice(scale, capacity float64) float64 {
	remaining := capacity * math.Min(math.Max(targetUtilization+(l.targetWait()-scale*l.Waits()/capacity)/correctionTime, minAdmitted), maxAdmitted) / scale
	for b := valueBands - 1; b >= 0; b-- {
		if l[b] < remaining {
			remaining -= l[b]
			continue
		}
		if b == 0 {
			return minValue
		}
		return minValue * math.Pow(bandRatio, float64(b)+1-remaining/l[b])
	}
	return 0
}

// targetWait returns for how many seconds jobs should wait: a share of the slack that all but the most urgent jobs
// have.
func (l *Load) targetWait() float64 {
	all, sum := 0.0, 0.0
	for _, v := range l[valueBands : valueBands+slackBands] {
		all += v
	}
	upper := firstSlack
	for _, v := range l[valueBands : valueBands+slackBands-1] {
		if sum+v > urgentShare*all {
			lower := upper / 2
			return math.Max(waitShare*(lower+(upper-lower)*(urgentShare*all-sum)/v), minWait)
		}
		sum += v
		upper *= 2
	}
	return waitShare * upper / 2
}
