package logic

import (
	"granitewing/logic/value"
	"math"
)

// Estimates that all workers share: arrival rates, the mix of classes, and the utilisation that the load-equalising split
// gives every worker, with it the table of the value function (DESIGN, per-worker state; value function).

const (
	rhoPriorJobs     = 10.0      // own jobs that a utilisation of a half weighs
	rateTimeConstant = 15.0      // seconds of memory of arrival rates: rides out bursts, follows a trend
	refreshInterval  = 1_000_000 // us between refreshes of the shared estimates
)

// guess sets what is taken for true before anything is heard: work and fetches as long as the classes' aims, workers half busy.
func (s *Scheduler) initEstimates() {
	s.table, s.rho = value.For(0.5), 0.5
	for i, c := range s.cfg.Classes {
		s.classWork[i] = float64(c.Aim) / 1e6
		s.classRate[i], s.classShare[i] = 0.01, 1
		s.fetchTime += s.classWork[i] / float64(len(s.cfg.Classes))
	}
	for z := range s.baseDelay {
		s.zones[z].meanBacklog = initialBacklog
		s.baseDelay[z] = seconds(3 * s.cfg.Resolution)
		if z != s.cfg.Zone {
			s.baseDelay[z] = seconds(8 * s.cfg.Resolution)
		}
	}
}

// count books an arrival into the decayed rates.
func (s *Scheduler) countArrival(j *job) {
	s.decayRates()
	s.rate += 1 / rateTimeConstant
	s.classRate[j.class] += 1 / rateTimeConstant
}

// decay lets the rates fade to the present.
func (s *Scheduler) decayRates() {
	if dt := seconds(s.now - s.ratesAt); dt > 0 {
		keep := math.Exp(-dt / rateTimeConstant)
		s.rate *= keep
		s.workRate *= keep
		for i := range s.classRate {
			s.classRate[i] *= keep
		}
		s.ratesAt = s.now
	}
}

// update renews the estimates that all workers share: the mix of classes, the utilisation that the load-equalising
// split gives every worker, and with it the table of the value function.
// Departure from the design page: lambda is the fleet's (own rate x schedulers), since u estimates the others' work too.
func (s *Scheduler) refreshEstimates() {
	if s.refreshedAt != 0 && s.now-s.refreshedAt < refreshInterval {
		return
	}
	s.refreshedAt = s.now
	total, work, worth := 0.0, 0.0, 0.0
	for i, r := range s.classRate {
		r += 1e-3
		total += r
		work += r * s.classWork[i]
		worth += r * s.jobValue(i, s.classWork[i])
	}
	s.meanWork, s.meanValue = max(work/total, 1e-4), max(worth/total, 1e-9)
	for i, r := range s.classRate {
		c := &s.cfg.Classes[i]
		s.classWeight[i] = (r + 1e-3) / total * s.jobValue(i, s.classWork[i]) / s.meanValue *
			(1 - c.LateWorth) * s.classShare[i]
	}
	capacity := 0.0
	for _, i := range s.ready {
		w := &s.workers[i]
		capacity += s.slotsOf(w) / s.slowdownOf(w)
	}
	own := s.workRate / s.rateCoverage
	if capacity > 0 {
		// A handful of jobs says little of the fleet's rate, and a cost that jumps with each of them is none.
		jobs := s.rate * rateTimeConstant
		s.rho = (own*float64(s.cfg.Schedulers)/capacity*jobs + 0.5*rhoPriorJobs) / (jobs + rhoPriorJobs)
		s.rho = min(max(s.rho, 0.05), value.RhoMax)
		s.perWorker = capacity / float64(len(s.ready))
	}
	if t := value.For(s.rho); t != s.table {
		s.table, s.tableVersion = t, s.tableVersion+1
	}
}

func (s *Scheduler) jobValue(class int, work float64) float64 {
	if s.cfg.WorthByWork {
		return s.cfg.Classes[class].Worth * work
	}
	return s.cfg.Classes[class].Worth
}
