package simulation

import (
	"fmt"
	"sort"
	"time"

	"granitewing/internal/system/catalog"
	"granitewing/internal/system/delivery"
	"granitewing/internal/system/message"
	"granitewing/internal/system/role/carrier"
)

// serviceModel is a service's workers as the simulation plays them.
type serviceModel struct {
	name       string
	work       time.Duration
	slots      int
	rate       float64
	idempotent bool
	static     string
	table      map[string]string // of ids to stamps, of an idempotent service
	running    map[string]bool
	arrivals   []time.Duration
}

// worker is one start of a worker.
type worker struct {
	id       string
	address  string
	zone     string
	service  *serviceModel
	draining bool
	dark     bool // silent
	slow     int
	fault    workerFault
	gone     bool
	held     int
}

// workerFault is what a worker does wrong while its health is good.
type workerFault uint8

// The faults.
const (
	noFault      workerFault = iota
	losesAnswers             // it runs a message, and its answer never comes
	breaksOff                // it breaks off in the middle of a run
	sheds                    // it turns everything away
	failsAll                 // each attempt fails
)

// faultNames are the faults as scenarios name them.
var faultNames = map[string]workerFault{"loses": losesAnswers, "resets": breaksOff, "sheds": sheds, "fails": failsAll}

// platform knows the workers and keeps the list.
type platform struct {
	world    *world
	checker  *checker
	services map[string]*serviceModel
	workers  map[string]*worker
	lastID   int
	down     bool // it doesn't answer
	deaf     bool // the receivers of call-backs fail
}

func newPlatform(w *world, c *checker) *platform {
	return &platform{world: w, checker: c, services: map[string]*serviceModel{}, workers: map[string]*worker{}}
}

func (p *platform) addWorker(service, zone string) *worker {
	p.lastID++
	model := p.services[service]
	added := &worker{id: fmt.Sprintf("i-%04d", p.lastID), address: fmt.Sprintf("10.9.0.%d:8000", p.lastID), zone: zone,
		service: model}
	if model.static != "" {
		added.id, added.address = model.static, model.static
	}
	p.workers[added.id] = added
	return added
}

// names gives the workers' ids, sorted.
func (p *platform) names() []string {
	names := make([]string, 0, len(p.workers))
	for id := range p.workers {
		names = append(names, id)
	}
	sort.Strings(names)
	return names
}

// list is the platform's list of workers.
func (p *platform) list() map[string]catalog.Instance {
	list := map[string]catalog.Instance{}
	for _, id := range p.names() {
		w := p.workers[id]
		if w.service.static != "" || w.gone {
			continue
		}
		list[id] = catalog.Instance{ID: id, Service: w.service.name, Address: w.address, Zone: w.zone, Version: "v1",
			Capacity: w.service.slots, Draining: w.draining}
	}
	return list
}

// read calls done after the time that a call of the platform takes, where it answers.
func (p *platform) read(from *process, done func()) {
	const callTime = 3 * time.Millisecond
	from.After(callTime, func() {
		if !p.down {
			done()
		}
	})
}

// deliver plays a delivery to a worker.
func (p *platform) deliver(from *process, attempt carrier.Attempt, done func(carrier.Outcome)) {
	const way = 500 * time.Microsecond
	w := p.world
	answered := false
	finish := func(outcome carrier.Outcome) {
		w.after(way, func() {
			from.run(func() {
				if !answered {
					answered = true
					p.checker.useful.count(outcome.Kind == carrier.RunSucceeded)
					if outcome.Kind == carrier.RunSucceeded {
						p.checker.readSuccess(attempt.Message.ID)
					}
					done(outcome)
				}
			})
		})
	}
	w.after(attempt.Deadline+60*time.Millisecond, func() { finish(carrier.Outcome{Kind: carrier.RunUnknown, Silent: true}) })
	w.after(way, func() {
		if from.machine.dark {
			return
		}
		target := p.workers[attempt.Instance]
		if attempt.Instance == "" {
			target = p.workers[attempt.Address]
		}
		if target == nil || target.gone {
			finish(carrier.Outcome{Kind: carrier.NotSent})
			return
		}
		if target.service.static == "" {
			p.checker.local.count(target.zone == from.machine.zone)
		}
		if !target.dark {
			target.take(p, from, attempt, finish)
		}
	})
}

// take has the worker run a message.
func (w *worker) take(p *platform, from *process, attempt carrier.Attempt, finish func(carrier.Outcome)) {
	const queueOfSlots = 4
	model, id := w.service, attempt.Message.ID
	model.arrivals = append(model.arrivals, p.world.now)
	if w.fault == sheds || w.held >= model.slots*(1+queueOfSlots) {
		finish(carrier.Outcome{Kind: carrier.NotRun})
		return
	}
	if stamp, known := model.table[id]; model.idempotent && known {
		finish(carrier.Outcome{Kind: carrier.RunSucceeded, Stamp: stamp})
		return
	}
	if model.idempotent && model.running[id] {
		finish(carrier.Outcome{Kind: carrier.NotRun})
		return
	}
	w.held++
	model.running[id] = true
	work := model.work/2 + time.Duration(p.world.random.Int64N(int64(model.work)))
	work *= time.Duration(max(1, w.slow))
	wait := work * time.Duration(max(0, w.held-model.slots)) / time.Duration(model.slots)
	load := delivery.Load{Known: true, Running: min(w.held, model.slots), Waiting: max(0, w.held-model.slots)}
	p.world.after(wait, func() {
		p.checker.began(p.world.now, w, attempt.Message)
		p.world.after(work, func() {
			w.held--
			delete(model.running, id)
			p.ended(w, attempt.Message, work+wait > attempt.Deadline, load, finish)
		})
	})
	_ = from
}

func (p *platform) ended(w *worker, m *message.Message, late bool, load delivery.Load, finish func(carrier.Outcome)) {
	const failShare = 50 // one in so many attempts fails
	if w.gone || w.dark {
		p.checker.broke(m.ID)
		return
	}
	if late || w.fault == breaksOff {
		p.checker.broke(m.ID)
		finish(carrier.Outcome{Kind: carrier.RunUnknown, Load: load})
		return
	}
	if w.fault == failsAll || p.world.random.IntN(failShare) == 0 {
		p.checker.failed(p.world.now, m.ID)
		finish(carrier.Outcome{Kind: carrier.RunFailed, Load: load})
		return
	}
	stamp := fmt.Sprintf("stamp-%s-%d", m.ID, p.world.order)
	if w.service.idempotent {
		w.service.table[m.ID] = stamp
	}
	p.checker.succeeded(p.world.now, m.ID, stamp)
	if w.fault == losesAnswers {
		return
	}
	finish(carrier.Outcome{Kind: carrier.RunSucceeded, Stamp: stamp, Load: load})
}

// Deliver implements carrier.Environment.
func (h *carrierHost) Deliver(attempt carrier.Attempt, done func(carrier.Outcome)) {
	h.platform.deliver(h.process, attempt, done)
}

// Post implements carrier.Environment.
func (h *carrierHost) Post(_ string, body []byte, _ bool, _ time.Duration, done func(int, error)) {
	const callTime, taken, failed = 5 * time.Millisecond, 200, 503
	h.world.after(callTime, func() {
		if h.platform.deaf {
			h.run(func() { done(failed, nil) })
			return
		}
		h.platform.checker.calledBack(h.world.now, body)
		h.run(func() { done(taken, nil) })
	})
}

// ReadCatalog implements carrier.Environment.
func (h *carrierHost) ReadCatalog(done func(map[string]catalog.Instance, error)) {
	h.platform.read(h.process, func() { done(h.platform.list(), nil) })
}
