package delivery

import (
	"time"

	"granitewing/logic/value"
)

// moment is what the costs of all workers of a pool have in common at one pick.
type moment struct {
	now   time.Duration
	left  float64 // seconds until the message should start
	table *value.Table
	terms []term
	// failing is the share of attempts that fail at a worker of the pool, in the mean: what is due to the messages, or to
	// all workers alike, is held against none.
	failing float64
}

func (p *pool) moment(now, left time.Duration) moment {
	m := moment{now: now, left: left.Seconds(), table: value.For(p.utilisation(now)), terms: p.terms(now)}
	for _, worker := range p.order {
		m.failing += worker.failing(now) / float64(len(p.order))
	}
	return m
}

// term is one class in the value function: its part of the arrivals and its deadline.
type term struct {
	share    float64
	deadline float64
}

func (p *pool) terms(now time.Duration) []term {
	if p.arrivals <= 0 {
		return nil
	}
	terms := make([]term, 0, len(p.listed))
	for _, c := range p.listed {
		terms = append(terms, term{share: c.rate / p.arrivals, deadline: c.deadline})
	}
	return terms
}

// utilisation is that of each worker under the load-equalising random split.
func (p *pool) utilisation(now time.Duration) float64 {
	capacity := 0.0
	for _, worker := range p.order {
		if worker.Usable(now) {
			capacity += worker.slots() / p.runTime(now, worker)
		}
	}
	return min(p.arrivals/rateMemory.Seconds()/max(capacity, 1e-9), utilisationCap)
}

// cost is the admission cost of a message: whether it misses its own aim, and the increase of the value function.
// A worker at which more attempts fail than at the others costs what a failed attempt costs, by that share.
func (p *Policy) cost(pool *pool, worker *Worker, held float64, m *moment) (cost, backlog float64) {
	slots := worker.slots()
	run := pool.runTime(m.now, worker)
	service := run / slots
	backlog = held * service
	waiting := max(0, held-(slots-1)) * service
	if waiting >= m.left {
		cost++
	} else {
		cost += waitingCost * waiting / m.left
	}
	for _, t := range m.terms {
		cost += t.share * (valueAt(m.table, t.deadline, backlog+service, service) - valueAt(m.table, t.deadline, backlog, service))
	}
	cost += failureCost * max(0, worker.failing(m.now)-m.failing)
	if worker.Zone != p.zone && worker.Zone != "" {
		cost += otherZoneCost
	}
	return cost, backlog + service
}

// valueAt is v(u)-v(tau) of equation (16), in units of d.
func valueAt(table *value.Table, deadline, backlog, service float64) float64 {
	left := (deadline - backlog) / service
	return table.At(left) - table.Slope(deadline/service)*left
}
