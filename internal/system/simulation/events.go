package simulation

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"granitewing/internal/system/role/keeper"
)

// happening is what an event's words say.
type happening struct {
	name   string        // of a machine, many machines or a service
	fault  string        // of workers
	from   string        // the other side of a cut
	by     string        // how much or how many
	to     string        // the service that a route is given to
	lasts  time.Duration // 'for'
	after  time.Duration
	oneWay bool
}

func readHappening(words []string) (*happening, error) {
	h := &happening{name: wordAt(words, 1), fault: wordAt(words, 2), lasts: time.Second, after: time.Second,
		oneWay: words[len(words)-1] == "oneway"}
	if words[0] == "kill" {
		h.lasts = restartPause
	}
	for i := 1; i+1 < len(words); i++ {
		var err error
		switch words[i] {
		case "for":
			h.lasts, err = time.ParseDuration(words[i+1])
		case "after":
			h.after, err = time.ParseDuration(words[i+1])
			h.lasts = h.after // then it is over
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

func (h *happening) number() (int, error) { return strconv.Atoi(h.by) }

// machineEvents happen, unplanned, to each machine that is named.
var machineEvents = map[string]func(d *day, h *happening, m *machine){
	"kill":     func(d *day, h *happening, m *machine) { d.kill(m, h.lasts) },
	"power":    func(d *day, h *happening, m *machine) { d.powerOff(m, h.lasts, false) },
	"wipe":     func(d *day, h *happening, m *machine) { d.powerOff(m, h.lasts, true) },
	"freeze":   func(d *day, h *happening, m *machine) { d.freeze(m, h.lasts) },
	"replace":  func(d *day, h *happening, m *machine) { d.replace(m, h.after) },
	"fulldisk": func(d *day, h *happening, m *machine) { d.forAWhile(&m.fullDisk, h.lasts)() },
	"quota":    func(d *day, h *happening, m *machine) { d.forAWhile(&m.quota, h.lasts)() },
	"reset":    func(d *day, _ *happening, m *machine) { d.resetConnections(m) },
}

// commonEvents happen, unplanned, to a service's workers or between machines.
var commonEvents = map[string]func(d *day, h *happening){
	// Processes that all start anew while it lasts know no worker, so what had run and was not recorded runs again only after it.
	"silence": func(d *day, h *happening) { d.forAWhile(&d.platform.down, h.lasts)() },
	"dark":    func(d *day, h *happening) { d.darken(h.name, h.lasts) },
	"blackout": func(d *day, h *happening) {
		wiped := d.named(h.name)
		for _, m := range d.named("all") {
			d.powerOff(m, h.lasts, slices.Contains(wiped, m))
		}
	},
	"crash":   func(d *day, h *happening) { d.crash(h.name, h.lasts) },
	"split":   func(d *day, h *happening) { d.split(h.lasts) },
	"behind":  func(d *day, h *happening) { d.leaveBehind(h) },
	"relieve": func(d *day, h *happening) { d.relieve(h) },
	"misseed": func(d *day, h *happening) { d.misseed(h) },
	"restart": func(d *day, h *happening) { d.restartBoth(h) },
	"lure":    func(d *day, h *happening) { d.lure(h) },
	"evict":   func(d *day, h *happening) { d.evict(h) },
	"cut": func(d *day, h *happening) {
		d.cut(d.named(h.name), d.named(h.from), h.oneWay, h.lasts)
	},
}

// plannedEvents excuse nothing.
var plannedEvents = map[string]func(d *day, h *happening){
	"lose":   func(d *day, h *happening) { d.forAWhile(&d.acksLost, h.lasts)() },
	"deafen": func(d *day, h *happening) { d.forAWhile(&d.platform.deaf, h.lasts)() },
	"term": func(d *day, h *happening) {
		for _, m := range d.named(h.name) {
			d.term(m)
		}
	},
	"outdate": func(d *day, h *happening) {
		for _, m := range d.named(h.name) {
			d.forAWhile(&m.feedLost, h.lasts)()
		}
	},
	"add":          func(d *day, _ *happening) { d.addStorage() },
	"turnover":     func(d *day, _ *happening) { d.turnOverSeeds() },
	"storm":        func(d *day, h *happening) { d.storm(h) },
	"misconfigure": func(d *day, _ *happening) { d.misconfigure() },
	"renew":        func(d *day, h *happening) { d.renew(h) },
	"retire":       func(d *day, h *happening) { d.retire(h.name) },
	"release":      func(d *day, h *happening) { d.release(h.name) },
	"configure":    func(d *day, _ *happening) { d.configure(1) },
	"move":         func(d *day, h *happening) { d.move(h.name, h.to) },
	"drop":         func(d *day, h *happening) { d.drop(h.name) },
	"race":         func(d *day, _ *happening) { d.race() },
}

// action gives what an event does.
func (d *day) action(words []string) (func(), error) {
	verb := words[0]
	h, err := readHappening(words)
	if err != nil {
		return nil, err
	}
	if do := machineEvents[verb]; do != nil {
		return d.unplanned(h, do), nil
	}
	if do := commonEvents[verb]; do != nil {
		return func() {
			d.checker.unplanned(d.world.now, h.lasts)
			do(d, h)
		}, nil
	}
	if do := plannedEvents[verb]; do != nil {
		return func() { do(d, h) }, nil
	}
	return d.measuredAction(verb, h)
}

// measuredAction gives what an event does that says how much.
func (d *day) measuredAction(verb string, h *happening) (func(), error) {
	switch verb {
	case "slowdisk":
		times, err := h.number()
		return d.unplanned(h, func(d *day, h *happening, m *machine) {
			m.slowDisk = times
			d.world.after(h.lasts, func() { m.slowDisk = 0 })
		}), err
	case "unhear":
		share, err := h.number()
		return func() {
			for _, m := range d.named(h.name) {
				m.unheard = share
				d.world.after(h.lasts, func() { m.unheard = 0 })
			}
		}, err
	case "skew":
		step, err := time.ParseDuration(h.by)
		return d.unplanned(&happening{name: h.name}, func(_ *day, _ *happening, m *machine) {
			m.wallSkew += step.Milliseconds()
		}), err
	case "burst":
		times, err := h.number()
		return func() {
			d.burst[h.name] = times
			d.world.after(h.lasts, func() { delete(d.burst, h.name) })
		}, err
	case "slow":
		times, err := h.number()
		return func() {
			d.checker.unplanned(d.world.now, h.lasts)
			d.slow(h.name, times, h.lasts)
		}, err
	case "grey":
		fault, known := faultNames[h.fault]
		if !known {
			return nil, &ParseError{Reason: "unknown fault " + h.fault}
		}
		return func() {
			d.checker.unplanned(d.world.now, h.lasts)
			d.sicken(h.name, fault, h.lasts)
		}, nil
	}
	return nil, &ParseError{Reason: "unknown event " + verb}
}

// unplanned has something happen to each machine that is named, and the checker know of it.
func (d *day) unplanned(h *happening, do func(d *day, h *happening, m *machine)) func() {
	return func() {
		d.checker.unplanned(d.world.now, h.lasts)
		for _, m := range d.named(h.name) {
			do(d, h, m)
		}
	}
}

func (d *day) addStorage() {
	d.addMachine(zones[len(d.world.names)%len(zones)])
}

// forAWhile sets a flag, and takes it back after a while.
func (d *day) forAWhile(flag *bool, length time.Duration) func() {
	return func() {
		*flag = true
		d.world.after(length, func() { *flag = false })
	}
}

// named gives the machines that a name stands for: one, a kind, or all; 'oldest' is the storage machine whose disk has lasted
// longest, 'leader' the one that leads the configuration, and 'sessions' the one that leads the sessions.
func (d *day) named(name string) []*machine {
	switch name {
	case "oldest":
		return d.oldest()
	case "leader":
		return d.leads(keeper.ConfigurationGroup)
	case "sessions":
		return d.leads(keeper.SessionGroup)
	}
	var found []*machine
	for _, other := range d.world.names {
		m := d.world.machines[other]
		if !m.removed && (other == name || name == "zone-"+m.zone || name == "all" || strings.HasPrefix(other, name+"-")) {
			found = append(found, m)
		}
	}
	return found
}

// wordAt is a word of a line, empty where there are fewer.
func wordAt(words []string, index int) string {
	if index >= len(words) {
		return ""
	}
	return words[index]
}
