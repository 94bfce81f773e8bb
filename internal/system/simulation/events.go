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
	args := &eventArguments{name: wordOrEmpty(words, 1), fault: wordOrEmpty(words, 2), duration: time.Second, after: time.Second,
		oneWay: words[len(words)-1] == "oneway"}
	if words[0] == "kill" {
		args.duration = restartDelay
	}
	for i := 1; i+1 < len(words); i++ {
		var err error
		switch words[i] {
		case "for":
			args.duration, err = time.ParseDuration(words[i+1])
		case "after":
			args.after, err = time.ParseDuration(words[i+1])
			args.duration = args.after // the disruption ends when the replacement comes
		case "from":
			args.from = words[i+1]
		case "to":
			args.to = words[i+1]
		case "by":
			args.by = words[i+1]
		}
		if err != nil {
			return nil, err
		}
	}
	return args, nil
}

func (args *eventArguments) amount() (int, error) { return strconv.Atoi(args.by) }

// machineEvents are unplanned events that happen to each named machine.
var machineEvents = map[string]func(sim *simulation, args *eventArguments, m *machine){
	"kill":    func(sim *simulation, args *eventArguments, m *machine) { sim.kill(m, args.duration) },
	"power":   func(sim *simulation, args *eventArguments, m *machine) { sim.powerOff(m, args.duration, false) },
	"wipe":    func(sim *simulation, args *eventArguments, m *machine) { sim.powerOff(m, args.duration, true) },
	"freeze":  func(sim *simulation, args *eventArguments, m *machine) { sim.freeze(m, args.duration) },
	"replace": func(sim *simulation, args *eventArguments, m *machine) { sim.replace(m, args.after) },
	"fulldisk": func(sim *simulation, args *eventArguments, m *machine) {
		sim.setTemporarily(&m.diskFull, args.duration)()
	},
	"quota": func(sim *simulation, args *eventArguments, m *machine) {
		sim.setTemporarily(&m.cpuThrottled, args.duration)()
	},
	"reset": func(sim *simulation, _ *eventArguments, m *machine) { sim.resetConnections(m) },
}

// disruptiveEvents are unplanned events that happen to the workers of a service or to several machines together.
var disruptiveEvents = map[string]func(sim *simulation, args *eventArguments){
	// A process that starts while the platform does not answer knows no worker. If all start, messages that had run
	// without a recorded outcome run again only after the platform answers.
	"silence": func(sim *simulation, args *eventArguments) {
		sim.setTemporarily(&sim.platform.unavailable, args.duration)()
	},
	"dark": func(sim *simulation, args *eventArguments) { sim.silenceWorkers(args.name, args.duration) },
	"blackout": func(sim *simulation, args *eventArguments) {
		wiped := sim.machinesNamed(args.name)
		for _, m := range sim.machinesNamed("all") {
			sim.powerOff(m, args.duration, slices.Contains(wiped, m))
		}
	},
	"crash":   func(sim *simulation, args *eventArguments) { sim.crashWorkers(args.name, args.duration) },
	"split":   func(sim *simulation, args *eventArguments) { sim.partitionStorage(args.duration) },
	"behind":  func(sim *simulation, args *eventArguments) { sim.isolateThenLoseOthers(args) },
	"relieve": func(sim *simulation, args *eventArguments) { sim.killOthersAfterPartition(args) },
	"misseed": func(sim *simulation, args *eventArguments) { sim.seedWithUnreachable(args) },
	"restart": func(sim *simulation, args *eventArguments) { sim.restartBothSides(args) },
	"lure":    func(sim *simulation, args *eventArguments) { sim.seedWithPartitioned(args) },
	"evict":   func(sim *simulation, args *eventArguments) { sim.retireThenLoseAnother(args) },
	"cut": func(sim *simulation, args *eventArguments) {
		sim.partition(sim.machinesNamed(args.name), sim.machinesNamed(args.from), args.oneWay, args.duration)
	},
}

// plannedEvents are planned operations and faults that the system must hide. They excuse no broken rule.
var plannedEvents = map[string]func(sim *simulation, args *eventArguments){
	"lose": func(sim *simulation, args *eventArguments) { sim.setTemporarily(&sim.loseAcks, args.duration)() },
	"deafen": func(sim *simulation, args *eventArguments) {
		sim.setTemporarily(&sim.platform.receiversFail, args.duration)()
	},
	"term": func(sim *simulation, args *eventArguments) {
		for _, m := range sim.machinesNamed(args.name) {
			sim.restartGracefully(m)
		}
	},
	"outdate": func(sim *simulation, args *eventArguments) {
		for _, m := range sim.machinesNamed(args.name) {
			sim.setTemporarily(&m.pushesLost, args.duration)()
		}
	},
	"add":          func(sim *simulation, _ *eventArguments) { sim.addStorageMachine() },
	"turnover":     func(sim *simulation, _ *eventArguments) { sim.reloadSeeds() },
	"storm":        func(sim *simulation, args *eventArguments) { sim.sendChangeStorm(args) },
	"misconfigure": func(sim *simulation, _ *eventArguments) { sim.sendInvalid() },
	"renew":        func(sim *simulation, args *eventArguments) { sim.replacePlanned(args) },
	"retire":       func(sim *simulation, args *eventArguments) { sim.retire(args.name) },
	"release":      func(sim *simulation, args *eventArguments) { sim.replaceWorker(args.name) },
	"configure":    func(sim *simulation, _ *eventArguments) { sim.sendNewConfiguration(1) },
	"move":         func(sim *simulation, args *eventArguments) { sim.moveRoute(args.name, args.to) },
	"drop":         func(sim *simulation, args *eventArguments) { sim.dropRoute(args.name) },
	"nest":         func(sim *simulation, args *eventArguments) { sim.addFallback(args.name, args.to) },
	"unnest":       func(sim *simulation, args *eventArguments) { sim.dropFallback(args.name) },
	"race":         func(sim *simulation, _ *eventArguments) { sim.sendConflictingChanges() },
}

// eventAction returns the function that carries out an event. It fails with a ParseError for an unknown event.
func (sim *simulation) eventAction(words []string) (func(), error) {
	verb := words[0]
	args, err := parseEventArguments(words)
	if err != nil {
		return nil, err
	}
	if do := machineEvents[verb]; do != nil {
		return sim.disrupt(args, do), nil
	}
	if do := disruptiveEvents[verb]; do != nil {
		return func() {
			sim.checker.addDisruption(sim.world.now, args.duration)
			do(sim, args)
		}, nil
	}
	if do := plannedEvents[verb]; do != nil {
		return func() { do(sim, args) }, nil
	}
	return sim.quantifiedAction(verb, args)
}

// quantifiedAction returns the function that carries out an event with an amount.
func (sim *simulation) quantifiedAction(verb string, args *eventArguments) (func(), error) {
	switch verb {
	case "slowdisk":
		times, err := args.amount()
		return sim.disrupt(args, func(sim *simulation, args *eventArguments, m *machine) {
			m.diskSlowdown = times
			sim.world.after(args.duration, func() { m.diskSlowdown = 0 })
		}), err
	case "unhear":
		share, err := args.amount()
		return func() {
			for _, m := range sim.machinesNamed(args.name) {
				m.answerLossPercent = share
				sim.world.after(args.duration, func() { m.answerLossPercent = 0 })
			}
		}, err
	case "skew":
		step, err := time.ParseDuration(args.by)
		return sim.disrupt(&eventArguments{name: args.name}, func(_ *simulation, _ *eventArguments, m *machine) {
			m.wallSkew += step.Milliseconds()
		}), err
	case "burst":
		times, err := args.amount()
		return func() {
			sim.burstFactors[args.name] = times
			sim.world.after(args.duration, func() { delete(sim.burstFactors, args.name) })
		}, err
	case "slow":
		times, err := args.amount()
		return func() {
			sim.checker.addDisruption(sim.world.now, args.duration)
			sim.slowWorkers(args.name, times, args.duration)
		}, err
	case "grey":
		fault, known := faultNames[args.fault]
		if !known {
			return nil, &ParseError{Reason: "unknown fault " + args.fault}
		}
		return func() {
			sim.checker.addDisruption(sim.world.now, args.duration)
			sim.injectWorkerFault(args.name, fault, args.duration)
		}, nil
	}
	return nil, &ParseError{Reason: "unknown event " + verb}
}

// disrupt returns a function that records a disruption with the checker and does something to each named machine.
func (sim *simulation) disrupt(args *eventArguments, do func(sim *simulation, args *eventArguments, m *machine)) func() {
	return func() {
		sim.checker.addDisruption(sim.world.now, args.duration)
		for _, m := range sim.machinesNamed(args.name) {
			do(sim, args, m)
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
