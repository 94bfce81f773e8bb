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

// serviceModel models a service and the behaviour of its workers.
type serviceModel struct {
	name            string
	workTime        time.Duration
	slots           int
	rate            float64
	idempotent      bool
	static          string
	completedStamps map[string]string // stamps of completed runs by message id, for an idempotent service
	running         map[string]bool
	arrivals        []time.Duration
}

// worker is one started instance of a service.
type worker struct {
	id       string
	address  string
	zone     string
	service  *serviceModel
	draining bool
	silent   bool // it answers nothing, and its runs have no result
	slowdown int
	fault    workerFault
	stopped  bool
	inFlight int
}

// workerFault is a fault of a worker whose health checks still pass.
type workerFault uint8

// Faults of workers.
const (
	noFault      workerFault = iota
	losesAnswers             // it runs messages, and its answers are lost
	resetsRuns               // it resets the connection in the middle of a run
	rejectsAll               // it rejects every message without running it
	failsAll                 // each run fails
)

// faultNames maps the names of faults in scenarios to the faults.
var faultNames = map[string]workerFault{"loses": losesAnswers, "resets": resetsRuns, "sheds": rejectsAll, "fails": failsAll}

// platform models the workers and the inventory of instances that the platform's API returns.
type platform struct {
	world         *world
	checker       *checker
	services      map[string]*serviceModel
	workers       map[string]*worker
	lastID        int
	unavailable   bool // its API does not answer
	receiversFail bool // the receivers of call-backs answer 503
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

// workerIDs returns the ids of the workers, sorted.
func (p *platform) workerIDs() []string {
	names := make([]string, 0, len(p.workers))
	for id := range p.workers {
		names = append(names, id)
	}
	sort.Strings(names)
	return names
}

// inventory returns the platform's inventory of instances. It leaves out static endpoints and stopped workers.
func (p *platform) inventory() map[string]catalog.Instance {
	list := map[string]catalog.Instance{}
	for _, id := range p.workerIDs() {
		w := p.workers[id]
		if w.service.static != "" || w.stopped {
			continue
		}
		list[id] = catalog.Instance{ID: id, Service: w.service.name, Address: w.address, Zone: w.zone, Version: "v1",
			Capacity: w.service.slots, Draining: w.draining}
	}
	return list
}

// callInventory calls done after the duration of an API call, unless the API is unavailable.
func (p *platform) callInventory(from *process, done func()) {
	const callTime = 3 * time.Millisecond
	from.After(callTime, func() {
		if !p.unavailable {
			done()
		}
	})
}

// deliver sends a message to a worker and reports the outcome of the attempt, or an unknown outcome after the
// deadline.
func (p *platform) deliver(from *process, attempt carrier.Attempt, done func(carrier.AttemptOutcome)) {
	const networkDelay = 500 * time.Microsecond
	w := p.world
	answered := false
	finish := func(outcome carrier.AttemptOutcome) {
		w.after(networkDelay, func() {
			from.run(func() {
				if !answered {
					answered = true
					p.checker.usefulAttempts.count(outcome.Kind == carrier.RunSucceeded)
					if outcome.Kind == carrier.RunSucceeded {
						p.checker.readSuccess(attempt.Message.ID)
					}
					done(outcome)
				}
			})
		})
	}
	w.after(attempt.Deadline+60*time.Millisecond, func() { finish(carrier.AttemptOutcome{Kind: carrier.RunUnknown, TimedOut: true}) })
	w.after(networkDelay, func() {
		if from.machine.poweredOff {
			return
		}
		target := p.workers[attempt.Instance]
		if attempt.Instance == "" {
			target = p.workers[attempt.Address]
		}
		if target == nil || target.stopped {
			finish(carrier.AttemptOutcome{Kind: carrier.NotSent})
			return
		}
		if target.service.static == "" {
			p.checker.localRuns.count(target.zone == from.machine.zone)
		}
		if !target.silent {
			target.handleAttempt(p, attempt, finish)
		}
	})
}

// handleAttempt handles a message at the worker: it rejects it, returns the stored result of an idempotent service,
// or runs it.
func (w *worker) handleAttempt(p *platform, attempt carrier.Attempt, finish func(carrier.AttemptOutcome)) {
	const queuePerSlot = 4
	model, id := w.service, attempt.Message.ID
	model.arrivals = append(model.arrivals, p.world.now)
	if w.fault == rejectsAll || w.inFlight >= model.slots*(1+queuePerSlot) {
		finish(carrier.AttemptOutcome{Kind: carrier.NotRun})
		return
	}
	if stamp, known := model.completedStamps[id]; model.idempotent && known {
		finish(carrier.AttemptOutcome{Kind: carrier.RunSucceeded, Stamp: stamp})
		return
	}
	if model.idempotent && model.running[id] {
		finish(carrier.AttemptOutcome{Kind: carrier.NotRun})
		return
	}
	w.inFlight++
	model.running[id] = true
	work := model.workTime/2 + time.Duration(p.world.random.Int64N(int64(model.workTime)))
	work *= time.Duration(max(1, w.slowdown))
	wait := work * time.Duration(max(0, w.inFlight-model.slots)) / time.Duration(model.slots)
	load := delivery.Load{Known: true, Running: min(w.inFlight, model.slots), Waiting: max(0, w.inFlight-model.slots)}
	delivered, err := readDelivery(attempt)
	if err != nil {
		p.checker.reportViolation(p.world.now, "UNASKED", fmt.Sprintf("%s can't be delivered: %v", id, err))
	}
	p.world.after(wait, func() {
		p.checker.runStarted(p.world.now, w, delivered)
		p.world.after(work, func() {
			w.inFlight--
			delete(model.running, id)
			p.completeRun(w, attempt.Message, work+wait > attempt.Deadline, load, finish)
		})
	})
}

// completeRun ends a run and answers the carrier, as the worker's fault and a random failure decide.
func (p *platform) completeRun(w *worker, m *message.Message, pastDeadline bool, load delivery.Load, finish func(carrier.AttemptOutcome)) {
	const failOneIn = 50 // one in this many runs fails
	if w.stopped || w.silent {
		p.checker.runAborted(m.ID)
		return
	}
	if pastDeadline || w.fault == resetsRuns {
		p.checker.runAborted(m.ID)
		finish(carrier.AttemptOutcome{Kind: carrier.RunUnknown, Load: load})
		return
	}
	if w.fault == failsAll || p.world.random.IntN(failOneIn) == 0 {
		p.checker.runFailed(p.world.now, m.ID)
		finish(carrier.AttemptOutcome{Kind: carrier.RunFailed, Load: load})
		return
	}
	stamp := fmt.Sprintf("stamp-%s-%d", m.ID, p.world.lastSequence)
	if w.service.idempotent {
		w.service.completedStamps[m.ID] = stamp
	}
	p.checker.runSucceeded(p.world.now, m.ID, stamp)
	if w.fault == losesAnswers {
		return
	}
	finish(carrier.AttemptOutcome{Kind: carrier.RunSucceeded, Stamp: stamp, Load: load})
}

// Deliver implements carrier.Environment.
func (h *carrierHost) Deliver(attempt carrier.Attempt, done func(carrier.AttemptOutcome)) {
	h.platform.deliver(h.process, attempt, done)
}

// Post implements carrier.Environment.
func (h *carrierHost) Post(_ string, body []byte, _ bool, _ time.Duration, done func(int, error)) {
	const callTime, statusTaken, statusFailed = 5 * time.Millisecond, 200, 503
	h.world.after(callTime, func() {
		if h.platform.receiversFail {
			h.run(func() { done(statusFailed, nil) })
			return
		}
		h.platform.checker.callbackReceived(h.world.now, body)
		h.run(func() { done(statusTaken, nil) })
	})
}

// ReadCatalog implements carrier.Environment.
func (h *carrierHost) ReadCatalog(done func(map[string]catalog.Instance, error)) {
	h.platform.callInventory(h.process, func() { done(h.platform.inventory(), nil) })
}
