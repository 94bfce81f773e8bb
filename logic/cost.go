package logic

import "math"

// The admission cost of a job at a worker: equation (18) of a paper on the M/D/1 queue with deadlines. It is the value
// that is expected to be lost to deadline violations when a job of x mean jobs joins a worker with backlog u:
//
//	sum over the classes of h (v(u+x) - v(u))  +  H 1(u >= tau)
//
// The first term is lost by the jobs that come later: h is the class's weight (Scheduler.classWeight) and v its value
// function (package logic/value) for the backlog that its jobs tolerate. The second is lost by the job itself: H is
// its value, tau the backlog that it tolerates, and 1(u >= tau) is 1 if it is late and else 0. cost adds terms for the
// failure of the worker, a zone border, a fetch, an ejected worker and a worker in slow start.

const (
	warmupGain      = 1.0  // bonus in mean jobs for a job at a worker in slow start: work warms it up
	ejectionPenalty = 0.95 // failure probability charged for an ejected worker; cancels out where all are ejected
	missPenalty     = 1.0  // cost in mean jobs of a fetch beyond its time: it evicts a data set still in demand
)

// ViolationProbability returns the probability that a job misses its target on a worker with estimated backlog u when
// it tolerates the backlog tau, both in seconds. It is the indicator 1(u >= tau) of the paper's cost averaged over the
// error of the estimate, which is modelled as a gamma distribution of shape 2 with mean u.
func ViolationProbability(tau, u float64) float64 {
	if tau <= 0 {
		return 1
	}
	z := 2 * tau / max(u, 1e-6)
	return (1 + z) * math.Exp(-z)
}

// cost returns the admission cost of a job at a worker, in units of the value of a mean job, and the probability
// that the job misses its target there.
func (s *Scheduler) cost(j *job, w *worker) (total, violation float64) {
	s.derive(w)
	miss := s.missProbability(j, w)
	fetch := miss * s.fetchTime
	u := s.backlog(w)
	run := w.slowdown*j.work + fetch
	tau := seconds(j.targetAt-s.now) - s.baseDelay[w.info.Zone]*1.5 - run + w.headroomFor(j.slots, s.meanWork)
	violation = ViolationProbability(tau, u)
	total = s.congestionCost(w, u, j.slots*(j.work+fetch/w.slowdown)/s.meanWork)
	total += j.value*max(violation*(1-s.cfg.Classes[j.class].LateValue), s.failureProbability(w)) + s.crossZoneCost(w) + missPenalty*miss
	if s.now < w.ejectedUntil {
		total += ejectionPenalty * j.value
	}
	if s.warmupFactor(w) < 1 {
		total -= warmupGain
	}
	return total, violation
}

// congestionCost returns the cost to later jobs of x more mean jobs at a worker with backlog u: v(u+x)-v(u),
// summed over the classes.
func (s *Scheduler) congestionCost(w *worker, u, x float64) (total float64) {
	for i, h := range s.classWeight {
		q := (w.tau[i] - u) / w.d
		total += h * (s.table.At(q-x) - s.table.At(q) + w.slope[i]*x)
	}
	return total
}

// crossZoneCost returns the cost of leaving the zone, which is counted in mean jobs.
func (s *Scheduler) crossZoneCost(w *worker) float64 {
	if w.info.Zone == s.cfg.Zone {
		return 0
	}
	return s.cfg.CrossZoneCost
}
