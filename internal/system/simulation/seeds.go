package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"granitewing/internal/system/ordered"
)

// seedListLag is how far the operator's list of storage machines lags behind.
const seedListLag = 3 * time.Second

// machineListing is the operator's list of storage machines from a time on.
type machineListing struct {
	at       time.Duration
	machines []string
}

// recordMachineList adds the current storage machines to the operator's lists.
func (sim *simulation) recordMachineList() {
	sight := machineListing{at: sim.world.now}
	for _, name := range sim.world.names {
		if strings.HasPrefix(name, storagePrefix) && !sim.world.machines[name].removed {
			sight.machines = append(sight.machines, name)
		}
	}
	sim.machineListings = append(sim.machineListings, sight)
}

// seeds returns the control addresses for a settings file that is written now: three random machines from the
// operator's list, as it was seedListLag ago. They may be down, unreachable or gone. At the first start all settings
// files name the same machines.
func (sim *simulation) seeds(bootstrap bool) []string {
	listed := sim.machineListings[0].machines
	for _, sight := range sim.machineListings {
		if sight.at+seedListLag <= sim.world.now {
			listed = sight.machines
		}
	}
	names := slices.Clone(listed)
	if !bootstrap {
		sim.world.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	}
	if sim.firstSeed != "" {
		names = append([]string{sim.firstSeed}, slices.DeleteFunc(names, func(name string) bool { return name == sim.firstSeed })...)
	}
	var seeds []string
	for _, name := range names[:min(len(names), defaultStorageMachines)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", sim.world.machines[name].ip, controlPort))
	}
	return seeds
}

// reloadSeeds makes all processes reload settings that name other seeds.
func (sim *simulation) reloadSeeds() {
	for _, host := range ordered.Map(sim.keepers) {
		host.run(func() { host.settings.Seeds = sim.seeds(false) })
	}
	for _, host := range ordered.Map(sim.stores) {
		host.run(func() {
			host.settings.Seeds = sim.seeds(false)
			host.session.SetSeeds(host.settings.SeedKeepers())
			host.followView(host.session.View())
		})
	}
	for _, host := range ordered.Map(sim.carriers) {
		host.run(func() {
			host.settings.Seeds = sim.seeds(false)
			host.core.SeedsChanged()
		})
	}
}
