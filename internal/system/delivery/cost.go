package delivery

import (
	"time"

	"granitewing/logic/value"
)

// pickContext holds the inputs of the cost that are the same for all workers of a pool during one pick.
type pickContext struct {
	now        time.Duration
	slack      float64 // seconds until the target start of the message
	valueTable *value.Table
	classTerms []classTerm
	// meanFailureShare is the mean share of failed attempts over the pool's workers. Only the excess over it costs, so
	// failures that the messages cause, or that all workers have in common, count against no worker.
	meanFailureShare float64
}

func (p *pool) newPickContext(now, slack time.Duration) pickContext {
	m := pickContext{now: now, slack: slack.Seconds(), valueTable: value.For(p.utilisation(now)), classTerms: p.classTerms(now)}
	for _, worker := range p.sorted {
		m.meanFailureShare += worker.currentFailureShare(now) / float64(len(p.sorted))
	}
	return m
}

// classTerm is one class of the multi-class value function: one route of the service.
type classTerm struct {
	share    float64 // part of the pool's arrivals, 0 to 1
	deadline float64 // seconds from due to the target start
}

// classTerms returns the classes with arrivals, in order of first arrival.
func (p *pool) classTerms(now time.Duration) []classTerm {
	if p.arrivals <= 0 {
		return nil
	}
	terms := make([]classTerm, 0, len(p.classList))
	for _, c := range p.classList {
		terms = append(terms, classTerm{share: c.arrivals / p.arrivals, deadline: c.deadline})
	}
	return terms
}

// utilisation returns the utilisation that each worker would have if every message went to a random worker, with
// probabilities that give all workers the same utilisation (the load-equalising random split).
func (p *pool) utilisation(now time.Duration) float64 {
	capacity := 0.0
	for _, worker := range p.sorted {
		if worker.Usable(now) {
			capacity += worker.slots() / p.runTime(now, worker)
		}
	}
	return min(p.arrivals/arrivalWindow.Seconds()/max(capacity, 1e-9), maxUtilisation)
}

// cost returns the admission cost of a message at a worker and the backlog that would result, in seconds. The cost
// is the sum of four parts: 1 if the message misses its own target start, else waitingCost times the part of its
// slack that it waits; the increase of the value function, averaged over the classes by their arrivals; failureCost
// times the worker's share of failed attempts beyond the pool's mean; and crossZoneCost if the worker is in another
// zone.
func (p *Policy) cost(pool *pool, worker *Worker, inFlight float64, m *pickContext) (cost, backlog float64) {
	slots := worker.slots()
	runTime := pool.runTime(m.now, worker)
	serviceTime := runTime / slots
	backlog = inFlight * serviceTime
	waiting := max(0, inFlight-(slots-1)) * serviceTime
	if waiting >= m.slack {
		cost++
	} else {
		cost += waitingCost * waiting / m.slack
	}
	for _, t := range m.classTerms {
		cost += t.share * (relativeValue(m.valueTable, t.deadline, backlog+serviceTime, serviceTime) - relativeValue(m.valueTable, t.deadline, backlog, serviceTime))
	}
	cost += failureCost * max(0, worker.currentFailureShare(m.now)-m.meanFailureShare)
	if worker.Zone != p.zone && worker.Zone != "" {
		cost += crossZoneCost
	}
	return cost, backlog + serviceTime
}

// relativeValue returns v(u)-v(tau) by equation (16) of the paper (see the package comment): how many more deadlines a
// worker is expected to miss over all time if its backlog is u now than if it is tau. u is the argument backlog and tau
// the argument deadline, in seconds; the table takes both divided by the service time d.
func relativeValue(table *value.Table, deadline, backlog, serviceTime float64) float64 {
	slack := (deadline - backlog) / serviceTime
	return table.At(slack) - table.Slope(deadline/serviceTime)*slack
}
