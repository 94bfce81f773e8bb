package simulation

import (
	"bytes"
	"fmt"
	"time"

	"granitewing/internal/system/configuration"
	"granitewing/internal/system/role/keeper"
)

// sendNewConfiguration sends a configuration change based on the version that the operator knows.
func (sim *simulation) sendNewConfiguration(variant int) {
	base := sim.knownVersion
	sim.lastSentVersion++
	version := sim.lastSentVersion
	change := &configurationChange{Order: configuration.Order{Base: base, Raw: sim.document(version, variant)}, version: version}
	change.done = func(accepted bool) {
		if accepted && version > sim.knownVersion {
			sim.knownVersion = version
		}
	}
	sim.sendChange(change)
}

// sendConflictingChanges sends two changes based on the same version. In one of four calls they have different
// version numbers, and in another one the same bytes. Otherwise they have the same number and different bytes.
func (sim *simulation) sendConflictingChanges() {
	base := sim.knownVersion
	acknowledged := 0
	sim.conflictCount++
	sim.lastSentVersion++
	var first []byte
	for variant := range 2 {
		version := sim.lastSentVersion
		switch sim.conflictCount % 4 {
		case 0:
			sim.lastSentVersion++ // two version numbers
		case 1:
			variant = 0 // the same bytes from two operators
		}
		raw := sim.document(version, variant)
		if bytes.Equal(raw, first) {
			acknowledged = -1 // both may be acknowledged, since they are one change; a document without routes has no variants
		}
		first = raw
		change := &configurationChange{Order: configuration.Order{Base: base, Raw: raw}, version: version}
		change.done = func(accepted bool) {
			if !accepted {
				return
			}
			sim.knownVersion = max(sim.knownVersion, version)
			if acknowledged++; acknowledged > 1 {
				sim.checker.reportViolation(sim.world.now, "CONFIG", fmt.Sprintf("two changes on top of version %d were acknowledged", base))
			}
		}
		sim.sendChange(change)
	}
}

// sendChangeStorm sends changes one after the other for a while, with at most eight in flight.
func (sim *simulation) sendChangeStorm(args *eventArguments) {
	const gap = 60 * time.Millisecond
	count, err := args.amount()
	if err != nil {
		count = int(args.duration / gap)
	}
	const maxInFlight = 8
	inFlight := 0
	var next func()
	next = func() {
		if count == 0 {
			return
		}
		sim.world.after(gap, next)
		if inFlight >= maxInFlight {
			return
		}
		count--
		inFlight++
		sim.lastSentVersion++
		version := sim.lastSentVersion
		change := &configurationChange{Order: configuration.Order{Base: sim.knownVersion, Raw: sim.document(version, count%2)}, version: version}
		change.done = func(accepted bool) {
			inFlight--
			if accepted {
				sim.knownVersion = max(sim.knownVersion, version)
			}
		}
		sim.sendChange(change)
	}
	next()
}

// sendInvalid sends an invalid configuration, which must never be acknowledged.
func (sim *simulation) sendInvalid() {
	sim.lastSentVersion++
	raw := sim.document(sim.lastSentVersion, 1)
	switch sim.world.random.IntN(4) {
	case 0:
		raw = raw[:len(raw)/2]
	case 1:
		raw = bytes.Replace(raw, []byte(`"backend":"`), []byte(`"backend":"nobody-`), 1)
	case 2:
		raw = bytes.Replace(raw, []byte(`"timeout-ms":`), []byte(`"timeout-ms":0,"was":`), 1)
	default:
		raw = sim.document(max(1, sim.knownVersion)-1, 1)
	}
	if len(sim.backends) == 0 {
		raw = raw[:len(raw)/2] // there is no route left to make invalid
	}
	change := &configurationChange{Order: configuration.Order{Base: sim.knownVersion, Raw: raw}, version: sim.lastSentVersion}
	change.done = func(accepted bool) {
		if _, earlier := sim.checker.sentDocuments[string(raw)]; accepted && !earlier {
			sim.checker.reportViolation(sim.world.now, "CONFIG", "an invalid configuration was acknowledged")
		}
	}
	sim.callKeeper(func(host *keeperHost, answer func(err error)) {
		host.core.ReplaceConfiguration(host.Now(), change.Order, answer)
	}, func(err error) {
		if err == nil {
			change.done(true)
		}
	})
}

// checkPeriodically checks throughout the run that no carrier goes back to an older configuration, and checks the
// control groups.
func (sim *simulation) checkPeriodically() {
	for _, name := range sortedKeys(sim.carriers) {
		host := sim.carriers[name]
		if !host.alive {
			continue
		}
		version := host.core.ConfigurationVersion()
		if version < sim.seenVersions[host] {
			sim.checker.reportViolation(sim.world.now, "CONFIG", fmt.Sprintf("%s went back from version %d to %d", name, sim.seenVersions[host], version))
		}
		sim.seenVersions[host] = version
	}
	sim.checkControlGroups()
	sim.measureUnknownAges()
	sim.world.after(checkInterval, sim.checkPeriodically)
}

// sessionLeader returns the keeper that leads the session group, or nil if there is none.
func (sim *simulation) sessionLeader() *keeperHost {
	for _, name := range sortedKeys(sim.keepers) {
		host := sim.keepers[name]
		if _, self := host.core.Leader(keeper.SessionGroup); self && host.alive {
			return host
		}
	}
	return nil
}
