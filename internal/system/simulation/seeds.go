package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"granitewing/internal/system/ordered"
)

// seedLag is how far the operator's list of storage machines runs behind.
const seedLag = 3 * time.Second

// operatorSight is what the operator's list says from a time on.
type operatorSight struct {
	at       time.Duration
	machines []string
}

// see notes what storage machines there are now.
func (d *day) see() {
	sight := operatorSight{at: d.world.now}
	for _, name := range d.world.names {
		if strings.HasPrefix(name, storagePrefix) && !d.world.machines[name].removed {
			sight.machines = append(sight.machines, name)
		}
	}
	d.operator = append(d.operator, sight)
}

// seeds gives the control addresses that a settings file names which is written now: of three machines by lot, out of the
// operator's list as it stood a while ago. They may be down, cut off or gone. At the first start all files name the same.
func (d *day) seeds(bootstrap bool) []string {
	listed := d.operator[0].machines
	for _, sight := range d.operator {
		if sight.at+seedLag <= d.world.now {
			listed = sight.machines
		}
	}
	names := slices.Clone(listed)
	if !bootstrap {
		d.world.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	}
	if d.firstSeed != "" {
		names = append([]string{d.firstSeed}, slices.DeleteFunc(names, func(name string) bool { return name == d.firstSeed })...)
	}
	var seeds []string
	for _, name := range names[:min(len(names), storageCount)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", d.world.machines[name].ip, controlPort))
	}
	return seeds
}

// turnOverSeeds has all processes read settings that name other seeds.
func (d *day) turnOverSeeds() {
	for _, host := range ordered.Map(d.keepers) {
		host.run(func() { host.settings.Seeds = d.seeds(false) })
	}
	for _, host := range ordered.Map(d.stores) {
		host.run(func() {
			host.settings.Seeds = d.seeds(false)
			host.session.SetSeeds(host.settings.SeedKeepers())
			host.follow(host.session.View())
		})
	}
	for _, host := range ordered.Map(d.carriers) {
		host.run(func() {
			host.settings.Seeds = d.seeds(false)
			host.core.SeedsChanged()
		})
	}
}
