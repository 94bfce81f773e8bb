package simulation

import (
	"strings"
	"time"
)

// Result is the outcome of a run.
type Result struct {
	Broken []string // broken rules, each with its time (0 for some call-backs), name and what broke it
	// Sent is the number of messages that clients sent.
	Sent int
	// Shares holds the measured value of each share.
	Shares          map[ShareName]float64
	Expired         float64 // share of the accepted messages that completed because their retention passed
	Retired         int     // machines that were drained and removed
	OwnershipSpread int     // largest difference between carriers in the number of ordering-key units that they own
	History         uint64  // hash of all events and their times; equal for two runs of the same scenario
}

// Run runs a scenario and checks the rules. It returns an error if the scenario has an invalid event or a process
// can't start; broken rules are no error.
func Run(s *Scenario) (*Result, error) {
	return runScenario(s, func(string, string, error) {})
}

func runScenario(s *Scenario, report func(process, event string, err error)) (*Result, error) {
	sim := newSimulation(s)
	sim.world.report = report
	sim.world.runUntil(2 * time.Second)
	sim.sendNewConfiguration(0)
	sim.world.runUntil(startupTime)
	begin := sim.world.now
	for _, t := range []traffic{
		{host: "archive.example", service: archive, interval: 40 * time.Millisecond, delayedOneIn: 4, callback: true, keyed: s.KeysEverywhere},
		{host: "alert.example", service: alert, interval: 50 * time.Millisecond, ordered: true},
		{host: "partner.example", service: partner, interval: 90 * time.Millisecond, keyed: s.KeysEverywhere},
	} {
		sim.startTraffic(t, begin+s.Traffic)
	}
	for _, event := range s.Events {
		if err := sim.schedule(begin, event); err != nil {
			return nil, err
		}
	}
	sim.world.runUntil(begin + s.Traffic)
	sim.runChecks()
	expired := float64(sim.expiredMessages) / float64(max(1, len(sim.checker.accepted())))
	result := &Result{Broken: sim.checker.violations, Sent: len(sim.checker.records), Shares: sim.checker.shares(), Expired: expired,
		Retired: sim.retiredMachines, OwnershipSpread: sim.ownershipSpread(), History: sim.world.eventHash.Sum64()}
	return result, sim.failure
}

// schedule parses an event and queues it at its time after the start of the traffic.
func (sim *simulation) schedule(begin time.Duration, event Event) error {
	words := strings.Fields(event.What)
	do, err := sim.eventAction(words)
	if err != nil {
		return err
	}
	sim.world.after(begin+event.At-sim.world.now, do)
	return nil
}
