package simulation

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// options reads the words behind the first two of an event: 'for 1s', 'after 1s', 'by 3'.
func options(words []string) map[string]string {
	found := map[string]string{}
	for i := 0; i+1 < len(words); i++ {
		found[words[i]] = words[i+1]
	}
	return found
}

func (d *day) action(words []string) (func(), error) {
	verb, name := words[0], ""
	if len(words) > 1 {
		name = words[1]
	}
	given := options(words)
	length := func(key string, otherwise time.Duration) time.Duration {
		if parsed, err := time.ParseDuration(given[key]); err == nil {
			return parsed
		}
		return otherwise
	}
	unplanned := func(span time.Duration, do func(m *machine)) func() {
		return func() {
			d.checker.unplanned(d.world.now, span)
			for _, m := range d.named(name) {
				do(m)
			}
		}
	}
	lasts := length("for", time.Second)
	switch verb {
	case "kill":
		return unplanned(length("for", restartPause), func(m *machine) { d.kill(m, length("for", restartPause)) }), nil
	case "power", "wipe":
		return unplanned(lasts, func(m *machine) { d.powerOff(m, lasts, verb == "wipe") }), nil
	case "freeze":
		return unplanned(lasts, func(m *machine) { d.freeze(m, lasts) }), nil
	case "replace":
		return unplanned(length("after", time.Second), func(m *machine) { d.replace(m, length("after", time.Second)) }), nil
	case "slowdisk":
		by, err := strconv.Atoi(given["by"])
		return unplanned(lasts, func(m *machine) {
			m.slowDisk = by
			d.world.after(lasts, func() { m.slowDisk = 0 })
		}), err
	case "fulldisk":
		return unplanned(lasts, func(m *machine) {
			m.fullDisk = true
			d.world.after(lasts, func() { m.fullDisk = false })
		}), nil
	case "skew":
		return unplanned(0, func(m *machine) { m.wallSkew += length("by", 0).Milliseconds() }), nil
	case "cut":
		return func() {
			d.checker.unplanned(d.world.now, lasts)
			d.cut(d.named(name), d.named(given["from"]), words[len(words)-1] == "oneway", lasts)
		}, nil
	case "dark":
		return func() {
			d.checker.unplanned(d.world.now, lasts)
			d.darken(name, lasts)
		}, nil
	case "grey":
		fault, known := faultNames[wordAt(words, 2)]
		if !known {
			return nil, &ParseError{Reason: "unknown fault in " + strings.Join(words, " ")}
		}
		return func() {
			d.checker.unplanned(d.world.now, lasts)
			d.sicken(name, fault, lasts)
		}, nil
	case "burst":
		by, err := strconv.Atoi(given["by"])
		return func() {
			d.burst[name] = by
			d.world.after(lasts, func() { delete(d.burst, name) })
		}, err
	case "lose":
		return d.forAWhile(&d.acksLost, lasts), nil
	case "silence":
		return d.forAWhile(&d.platform.down, lasts), nil
	case "deafen":
		return d.forAWhile(&d.platform.deaf, lasts), nil
	case "crash":
		return func() {
			d.checker.unplanned(d.world.now, lasts)
			d.crash(name, lasts)
		}, nil
	case "term":
		return func() {
			for _, m := range d.named(name) {
				d.term(m)
			}
		}, nil
	case "add":
		return func() {
			zone := zones[len(d.world.names)%len(zones)]
			d.boot(d.world.add(fmt.Sprintf("storage-%d", len(d.world.names)+1), d.nextIP(), zone), false)
		}, nil
	case "retire":
		return func() { d.retire(name) }, nil
	case "release":
		return func() { d.release(name) }, nil
	case "configure":
		return func() { d.configure(1) }, nil
	case "race":
		return d.race, nil
	}
	return nil, &ParseError{Reason: "unknown event " + strings.Join(words, " ")}
}

// forAWhile sets a flag, and takes it back after a while.
func (d *day) forAWhile(flag *bool, length time.Duration) func() {
	return func() {
		*flag = true
		d.world.after(length, func() { *flag = false })
	}
}

// named gives the machines that a name stands for: one, a kind, or all.
func (d *day) named(name string) []*machine {
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
