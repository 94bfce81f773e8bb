package logic

import (
	"granitewing/logic/value"
	"math"
)

// Estimates that all workers share: arrival rates, the mix of classes, and the utilisation that the load-equalising split
// gives every worker, with it the table of the value function (DESIGN, per-worker state; value function).

const (
	rhoPrior = 10.0      // own jobs that a utilisation of a half weighs
	rateSpan = 15.0      // seconds of memory of arrival rates: rides out bursts, follows a trend
	refresh  = 1_000_000 // us between refreshes of the shared estimates
)

// guess sets what is taken for true before anything is heard: work and fetches as long as the classes' aims, workers half busy.
func (s *Scheduler) guess() {
	s.table, s.rho = value.For(0.5), 0.5
	for i, c := range s.cfg.Classes {
		s.classWork[i] = float64(c.Aim) / 1e6
		s.classRate[i], s.classShare[i] = 0.01, 1
		s.fetch += s.classWork[i] / float64(len(s.cfg.Classes))
	}
	for z := range s.base {
		s.zones[z].seen = seenFirst
		s.base[z] = seconds(3 * s.cfg.Resolution)
		if z != s.cfg.Zone {
			s.base[z] = seconds(8 * s.cfg.Resolution)
		}
	}
}

// count books an arrival into the decayed rates.
func (s *Scheduler) count(j *job) {
	s.decay()
	s.rate += 1 / rateSpan
	s.classRate[j.class] += 1 / rateSpan
}

// decay lets the rates fade to the present.
func (s *Scheduler) decay() {
	if dt := seconds(s.now - s.ratesAt); dt > 0 {
		keep := math.Exp(-dt / rateSpan)
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
func (s *Scheduler) update() {
	if s.refreshed != 0 && s.now-s.refreshed < refresh {
		return
	}
	s.refreshed = s.now
	total, work, worth := 0.0, 0.0, 0.0
	for i, r := range s.classRate {
		r += 1e-3
		total += r
		work += r * s.classWork[i]
		worth += r * s.jobWorth(i, s.classWork[i])
	}
	s.meanWork, s.meanWorth = max(work/total, 1e-4), max(worth/total, 1e-9)
	for i, r := range s.classRate {
		c := &s.cfg.Classes[i]
		s.weight[i] = (r + 1e-3) / total * s.jobWorth(i, s.classWork[i]) / s.meanWorth *
			(1 - c.LateWorth) * s.classShare[i]
	}
	capacity := 0.0
	for _, i := range s.ready {
		w := &s.workers[i]
		capacity += s.slotsOf(w) / s.paceOf(w)
	}
	own := s.workRate / s.warmup
	if capacity > 0 {
		// A handful of jobs says little of the fleet's rate, and a cost that jumps with each of them is none.
		jobs := s.rate * rateSpan
		s.rho = (own*float64(s.cfg.Schedulers)/capacity*jobs + 0.5*rhoPrior) / (jobs + rhoPrior)
		s.rho = min(max(s.rho, 0.05), value.RhoMax)
		s.perWorker = capacity / float64(len(s.ready))
	}
	if t := value.For(s.rho); t != s.table {
		s.table, s.tables = t, s.tables+1
	}
}

func (s *Scheduler) jobWorth(class int, work float64) float64 {
	if s.cfg.WorthByWork {
		return s.cfg.Classes[class].Worth * work
	}
	return s.cfg.Classes[class].Worth
}
