package logic

import "math"

// The admission cost of a job at a worker (DESIGN, cost of a placement; equation 18).

const (
	warmupGain      = 1.0  // mean jobs that one at a cold worker earns beside its own worth: it is work that warms it
	ejectionPenalty = 0.95 // chance of failure booked to an ejected worker; shared by all, it cancels out
	missPenalty     = 1.0  // mean jobs that a fetch costs beyond its time: it pushes out a set that is asked for again
)

// LateChance is the paper's 1(u >= tau) averaged over the error of the estimated backlog, taken as a gamma law of shape 2 around it.
func LateChance(tau, u float64) float64 {
	if tau <= 0 {
		return 1
	}
	z := 2 * tau / max(u, 1e-6)
	return (1 + z) * math.Exp(-z)
}

// cost is the admission cost of a job at a worker in mean jobs' worth, with the chance that the job is late.
func (s *Scheduler) cost(j *job, w *worker) (total, late float64) {
	s.derive(w)
	miss := s.missProbability(j, w)
	fetch := miss * s.fetchTime
	u := s.backlog(w)
	run := w.slowdown*j.work + fetch
	tau := seconds(j.targetAt-s.now) - s.baseDelay[w.info.Zone]*1.5 - run + w.headroomFor(j.slots, s.meanWork)
	late = LateChance(tau, u)
	total = s.congestionCost(w, u, j.slots*(j.work+fetch/w.slowdown)/s.meanWork)
	total += j.value*max(late*(1-s.cfg.Classes[j.class].LateWorth), s.failureProbability(w)) + s.crossZoneCost(w) + missPenalty*miss
	if s.now < w.ejectedUntil {
		total += ejectionPenalty * j.value
	}
	if s.warmupFactor(w) < 1 {
		total -= warmupGain
	}
	return total, late
}

// pushes is what so many mean jobs more at a worker cost those that come after: v(u+x)-v(u), summed over the classes.
func (s *Scheduler) congestionCost(w *worker, u, x float64) (total float64) {
	for i, h := range s.classWeight {
		q := (w.tau[i] - u) / w.d
		total += h * (s.table.At(q-x) - s.table.At(q) + w.slope[i]*x)
	}
	return total
}

// crossing is the price of leaving the zone, in mean jobs.
func (s *Scheduler) crossZoneCost(w *worker) float64 {
	if w.info.Zone == s.cfg.Zone {
		return 0
	}
	return s.cfg.PriceCross
}
