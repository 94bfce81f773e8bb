package simulation

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"granitewing/internal/system/role/keeper"
)

// eventArguments holds the arguments of an event, read from its words.
type eventArguments struct {
	name     string        // of a machine, a set of machines or a service
	fault    string        // of workers
	from     string        // the other side of a partition
	by       string        // a factor, a count or a step of time
	to       string        // the service that a route is given to
	duration time.Duration // 'for'
	after    time.Duration
	oneWay   bool
}

func parseEventArguments(words []string) (*eventArguments, error) {
	h := &eventArguments{name: wordOrEmpty(words, 1), fault: wordOrEmpty(words, 2), duration: time.Second, after: time.Second,
		oneWay: words[len(words)-1] == "oneway"}
	if words[0] == "kill" {
		h.duration = restartDelay
	}
	for i := 1; i+1 < len(words); i++ {
		var err error
		switch words[i] {
		case "for":
			h.duration, err = time.ParseDuration(words[i+1])
		case "after":
			h.after, err = time.ParseDuration(words[i+1])
			h.duration = h.after // the disruption ends when the replacement comes
		case "from":
			h.from = words[i+1]
		case "to":
			h.to = words[i+1]
		case "by":
			h.by = words[i+1]
		}
		if err != nil {
			return nil, err
		}
	}
	return h, nil
}

func (h *eventArguments) amount() (int, error) { return strconv.Atoi(h.by) }

// machineEvents are unplanned events that happen to each named machine.
var machineEvents = map[string]func(sim *simulation, h *eventArguments, m *machine){
	"kill":     func(sim *simulation, h *eventArguments, m *machine) { sim.kill(m, h.duration) },
	"power":    func(sim *simulation, h *eventArguments, m *machine) { sim.powerOff(m, h.duration, false) },
	"wipe":     func(sim *simulation, h *eventArguments, m *machine) { sim.powerOff(m, h.duration, true) },
	"freeze":   func(sim *simulation, h *eventArguments, m *machine) { sim.freeze(m, h.duration) },
	"replace":  func(sim *simulation, h *eventArguments, m *machine) { sim.replace(m, h.after) },
	"fulldisk": func(sim *simulation, h *eventArguments, m *machine) { sim.setTemporarily(&m.diskFull, h.duration)() },
	"quota": func(sim *simulation, h *eventArguments, m *machine) {
		sim.setTemporarily(&m.cpuThrottled, h.duration)()
	},
	"reset": func(sim *simulation, _ *eventArguments, m *machine) { sim.resetConnections(m) },
}

// disruptiveEvents are unplanned events that happen to the workers of a service or to several machines together.
var disruptiveEvents = map[string]func(sim *simulation, h *eventArguments){
	// A process that starts while the platform does not answer knows no worker. If all start, messages that had run
	// without a recorded outcome run again only after the platform answers.
	"silence": func(sim *simulation, h *eventArguments) { sim.setTemporarily(&sim.platform.unavailable, h.duration)() },
	"dark":    func(sim *simulation, h *eventArguments) { sim.silenceWorkers(h.name, h.duration) },
	"blackout": func(sim *simulation, h *eventArguments) {
		wiped := sim.machinesNamed(h.name)
		for _, m := range sim.machinesNamed("all") {
			sim.powerOff(m, h.duration, slices.Contains(wiped, m))
		}
	},
	"crash":   func(sim *simulation, h *eventArguments) { sim.crashWorkers(h.name, h.duration) },
	"split":   func(sim *simulation, h *eventArguments) { sim.partitionStorage(h.duration) },
	"behind":  func(sim *simulation, h *eventArguments) { sim.isolateThenLoseOthers(h) },
	"relieve": func(sim *simulation, h *eventArguments) { sim.killOthersAfterPartition(h) },
	"misseed": func(sim *simulation, h *eventArguments) { sim.seedWithUnreachable(h) },
	"restart": func(sim *simulation, h *eventArguments) { sim.restartBothSides(h) },
	"lure":    func(sim *simulation, h *eventArguments) { sim.seedWithPartitioned(h) },
	"evict":   func(sim *simulation, h *eventArguments) { sim.retireThenLoseAnother(h) },
	"cut": func(sim *simulation, h *eventArguments) {
		sim.partition(sim.machinesNamed(h.name), sim.machinesNamed(h.from), h.oneWay, h.duration)
	},
}

// plannedEvents are planned operations and faults that the system must hide. They excuse no broken rule.
var plannedEvents = map[string]func(sim *simulation, h *eventArguments){
	"lose": func(sim *simulation, h *eventArguments) { sim.setTemporarily(&sim.loseAcks, h.duration)() },
	"deafen": func(sim *simulation, h *eventArguments) {
		sim.setTemporarily(&sim.platform.receiversFail, h.duration)()
	},
	"term": func(sim *simulation, h *eventArguments) {
		for _, m := range sim.machinesNamed(h.name) {
			sim.restartGracefully(m)
		}
	},
	"outdate": func(sim *simulation, h *eventArguments) {
		for _, m := range sim.machinesNamed(h.name) {
			sim.setTemporarily(&m.pushesLost, h.duration)()
		}
	},
	"add":          func(sim *simulation, _ *eventArguments) { sim.addStorageMachine() },
	"turnover":     func(sim *simulation, _ *eventArguments) { sim.reloadSeeds() },
	"storm":        func(sim *simulation, h *eventArguments) { sim.sendChangeStorm(h) },
	"misconfigure": func(sim *simulation, _ *eventArguments) { sim.sendInvalid() },
	"renew":        func(sim *simulation, h *eventArguments) { sim.replacePlanned(h) },
	"retire":       func(sim *simulation, h *eventArguments) { sim.retire(h.name) },
	"release":      func(sim *simulation, h *eventArguments) { sim.replaceWorker(h.name) },
	"configure":    func(sim *simulation, _ *eventArguments) { sim.sendNewConfiguration(1) },
	"move":         func(sim *simulation, h *eventArguments) { sim.moveRoute(h.name, h.to) },
	"drop":         func(sim *simulation, h *eventArguments) { sim.dropRoute(h.name) },
	"race":         func(sim *simulation, _ *eventArguments) { sim.sendConflictingChanges() },
}

// eventAction returns the function that carries out an event. It fails with a ParseError for an unknown event.
func (sim *simulation) eventAction(words []string) (func(), error) {
	verb := words[0]
	h, err := parseEventArguments(words)
	if err != nil {
		return nil, err
	}
	if do := machineEvents[verb]; do != nil {
		return sim.disrupt(h, do), nil
	}
	if do := disruptiveEvents[verb]; do != nil {
		return func() {
			sim.checker.addDisruption(sim.world.now, h.duration)
			do(sim, h)
		}, nil
	}
	if do := plannedEvents[verb]; do != nil {
		return func() { do(sim, h) }, nil
	}
	return sim.quantifiedAction(verb, h)
}

// quantifiedAction returns the function that carries out an event with an amount.
func (sim *simulation) quantifiedAction(verb string, h *eventArguments) (func(), error) {
	switch verb {
	case "slowdisk":
		times, err := h.amount()
		return sim.disrupt(h, func(sim *simulation, h *eventArguments, m *machine) {
			m.diskSlowdown = times
			sim.world.after(h.duration, func() { m.diskSlowdown = 0 })
		}), err
	case "unhear":
		share, err := h.amount()
		return func() {
			for _, m := range sim.machinesNamed(h.name) {
				m.answerLossPercent = share
				sim.world.after(h.duration, func() { m.answerLossPercent = 0 })
			}
		}, err
	case "skew":
		step, err := time.ParseDuration(h.by)
		return sim.disrupt(&eventArguments{name: h.name}, func(_ *simulation, _ *eventArguments, m *machine) {
			m.wallSkew += step.Milliseconds()
		}), err
	case "burst":
		times, err := h.amount()
		return func() {
			sim.burstFactors[h.name] = times
			sim.world.after(h.duration, func() { delete(sim.burstFactors, h.name) })
		}, err
	case "slow":
		times, err := h.amount()
		return func() {
			sim.checker.addDisruption(sim.world.now, h.duration)
			sim.slowWorkers(h.name, times, h.duration)
		}, err
	case "grey":
		fault, known := faultNames[h.fault]
		if !known {
			return nil, &ParseError{Reason: "unknown fault " + h.fault}
		}
		return func() {
			sim.checker.addDisruption(sim.world.now, h.duration)
			sim.injectWorkerFault(h.name, fault, h.duration)
		}, nil
	}
	return nil, &ParseError{Reason: "unknown event " + verb}
}

// disrupt returns a function that records a disruption with the checker and does something to each named machine.
func (sim *simulation) disrupt(h *eventArguments, do func(sim *simulation, h *eventArguments, m *machine)) func() {
	return func() {
		sim.checker.addDisruption(sim.world.now, h.duration)
		for _, m := range sim.machinesNamed(h.name) {
			do(sim, h, m)
		}
	}
}

func (sim *simulation) addStorageMachine() {
	sim.addMachine(zones[len(sim.world.names)%len(zones)])
}

// setTemporarily returns a function that sets a flag and clears it after a time.
func (sim *simulation) setTemporarily(flag *bool, length time.Duration) func() {
	return func() {
		*flag = true
		sim.world.after(length, func() { *flag = false })
	}
}

// machinesNamed returns the machines that a name denotes: a single one, a prefix such as 'edge', a zone, or 'all'.
// 'oldest' is the storage machine whose disk has gone longest without being emptied, 'leader' the one that leads the
// configuration group, and 'sessions' the one that leads the session group.
func (sim *simulation) machinesNamed(name string) []*machine {
	switch name {
	case "oldest":
		return sim.machineWithOldestDisk()
	case "leader":
		return sim.groupLeader(keeper.ConfigurationGroup)
	case "sessions":
		return sim.groupLeader(keeper.SessionGroup)
	}
	var found []*machine
	for _, other := range sim.world.names {
		m := sim.world.machines[other]
		if !m.removed && (other == name || name == "zone-"+m.zone || name == "all" || strings.HasPrefix(other, name+"-")) {
			found = append(found, m)
		}
	}
	return found
}

// wordOrEmpty returns the word at an index, or an empty string if there are fewer words.
func wordOrEmpty(words []string, index int) string {
	if index >= len(words) {
		return ""
	}
	return words[index]
}
