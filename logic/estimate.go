package logic

import (
	"granitewing/logic/value"
	"math"
)

// Estimates that are shared by all workers: arrival rates, the mix of classes, the utilisation that a
// load-equalising split gives each worker, and the table of the value function for that utilisation.

const (
	rhoPriorJobs     = 10.0      // weight of the prior utilisation 0.5, in own jobs
	rateTimeConstant = 15.0      // time constant of arrival rates, seconds: smooths bursts, follows a trend
	refreshInterval  = 1_000_000 // us between refreshes of the shared estimates
)

// initEstimates sets the initial estimates: work and fetch times equal the classes' target latencies, and workers
// are half busy.
func (s *Scheduler) initEstimates() {
	s.table, s.rho = value.For(0.5), 0.5
	for i, c := range s.cfg.Classes {
		s.classWork[i] = float64(c.TargetLatency) / 1e6
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

// countArrival adds an arrival to the decayed rates.
func (s *Scheduler) countArrival(j *job) {
	s.decayRates()
	s.rate += 1 / rateTimeConstant
	s.classRate[j.class] += 1 / rateTimeConstant
}

// decayRates decays the rates to the present time.
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

// refreshEstimates renews the shared estimates once per refreshInterval: the mix of classes, the utilisation that
// a load-equalising split gives each worker, and the table of the value function for it. The arrival rate is that
// of the fleet (own rate times the number of schedulers), because u includes the other schedulers' work.
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
			(1 - c.LateValue) * s.classShare[i]
	}
	capacity := 0.0
	for _, i := range s.ready {
		w := &s.workers[i]
		capacity += s.slotsOf(w) / s.slowdownOf(w)
	}
	own := s.workRate / s.rateCoverage
	if capacity > 0 {
		// A few jobs say little about the fleet's rate, and the cost must not jump with each of them.
		jobs := s.rate * rateTimeConstant
		s.rho = (own*float64(s.cfg.Schedulers)/capacity*jobs + 0.5*rhoPriorJobs) / (jobs + rhoPriorJobs)
		s.rho = min(max(s.rho, 0.05), value.RhoMax)
		s.perWorker = capacity / float64(len(s.ready))
	}
	if t := value.For(s.rho); t != s.table {
		s.table, s.tableVersion = t, s.tableVersion+1
	}
}

// jobValue returns the value of a job of a class with the given work.
func (s *Scheduler) jobValue(class int, work float64) float64 {
	if s.cfg.ValueByWork {
		return s.cfg.Classes[class].Value * work
	}
	return s.cfg.Classes[class].Value
}
