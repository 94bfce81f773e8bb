package simulation

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"granitewing/internal/system/segment"
	"granitewing/internal/system/settings"
	"granitewing/internal/system/tolerance"
)

// Prefixes of the names of machines: those of storage machines, which run a keeper and a store, and those of edge
// machines, which run a carrier.
const (
	storagePrefix = "storage-"
	edgePrefix    = "edge-"
)

// Sizes and times of a run.
const (
	defaultStorageMachines = 3
	carrierCount           = 4
	firstPort              = 7000
	controlPort            = 8000
	startupTime            = 5 * time.Second
	settleTime             = 20 * time.Second // after the end of the traffic and all faults, before the final checks
	restartDelay           = 300 * time.Millisecond
	grace                  = 6 * time.Second
	orderedKeys            = 25
	maxFailures            = 4
	checkInterval          = 100 * time.Millisecond
	// configurationReadInterval is how often the operator reads the configuration back.
	configurationReadInterval = 370 * time.Millisecond
)

// defaultRetention is the retention of messages if a scenario gives none.
const defaultRetention = 90 * time.Second

// Names of the services. Each is also the name of a kind of traffic, which is routed to this service at first.
const (
	archive = "archive" // many workers, no ordering, call-backs
	alert   = "alert"   // ordered, idempotent
	partner = "partner" // a single endpoint with a rate limit
)

// simulation is one run of a scenario: the world, its hosts, and the models of the clients and the operator.
type simulation struct {
	world           *world
	checker         *checker
	platform        *platform
	keepers         map[string]*keeperHost
	stores          map[string]*storeHost
	carriers        map[string]*carrierHost
	failedProbes    map[string]int
	seenVersions    map[*carrierHost]uint64 // highest configuration version that each carrier has had
	knownVersion    uint64                  // the version that the operator takes for current
	lastSentVersion uint64                  // highest version that the operator has sent
	conflictCount   int
	lastIP          int
	retiredMachines int // machines that were drained and removed
	loseAcks        bool
	expiredMessages int // accepted messages that completed because their retention passed
	retention       time.Duration
	maxDelay        time.Duration  // of delayed messages
	carriersLost    bool           // all carriers were lost, and the disruption has not ended
	unknownAges     time.Duration  // for how long that was so, in sum
	burstFactors    map[string]int // by service: factor by which more messages are sent; missing for none
	failure         error
	tolerance       tolerance.Tolerance
	diskBytes       int64
	history         *configurationHistory
	machineListings []machineListing // the operator's list of storage machines over time, the latest last
	backends        backends         // of the newest configuration that was sent
	firstSeed       string           // a machine that comes first in all new seed lists, or empty
}

var zones = []string{"a", "b", "c"}

func newSimulation(s *Scenario) *simulation {
	w := newWorld(s.Seed)
	sim := &simulation{world: w, tolerance: s.Tolerance, diskBytes: s.DiskKB << 10, checker: newChecker(maxFailures, s.Retention), retention: s.Retention, maxDelay: s.MaxDelay, burstFactors: map[string]int{}, keepers: map[string]*keeperHost{}, stores: map[string]*storeHost{},
		carriers: map[string]*carrierHost{}, failedProbes: map[string]int{}, seenVersions: map[*carrierHost]uint64{}, history: newConfigurationHistory(), backends: newBackends()}
	sim.platform = newPlatform(w, sim.checker)
	sim.addServices()
	for i := range s.StorageMachines {
		w.add(fmt.Sprintf("storage-%d", i+1), sim.nextIP(), zones[i%len(zones)])
	}
	for i := range carrierCount {
		w.add(fmt.Sprintf("edge-%d", i+1), sim.nextIP(), zones[i%len(zones)])
	}
	sim.recordMachineList()
	for _, name := range w.names {
		sim.boot(w.machines[name], true)
	}
	w.after(probeInterval, sim.probeReadiness)
	w.after(checkInterval, sim.checkPeriodically)
	w.after(configurationReadInterval, func() { sim.readPeriodically() })
	w.after(stateQueryInterval, sim.queryStates)
	return sim
}

func (sim *simulation) nextIP() string {
	sim.lastIP++
	return fmt.Sprintf("10.0.0.%d", sim.lastIP)
}

func (sim *simulation) addServices() {
	model := func(name string, work time.Duration, slots int) *serviceModel {
		m := &serviceModel{name: name, workTime: work, slots: slots, completedStamps: map[string]string{}, running: map[string]bool{}}
		sim.platform.services[name] = m
		return m
	}
	model(archive, 120*time.Millisecond, 4)
	model(alert, 20*time.Millisecond, 2).idempotent = true
	static := model(partner, 40*time.Millisecond, 8)
	static.rate, static.static = 20, "10.7.0.1:9000"
	for i := range 6 {
		sim.platform.addWorker(archive, zones[i%len(zones)])
	}
	for i := range 3 {
		sim.platform.addWorker(alert, zones[i%len(zones)])
	}
	sim.platform.addWorker(partner, zones[0])
}

func (sim *simulation) settings(m *machine, bootstrap bool) *settings.Settings {
	return &settings.Settings{NodeName: m.name, IP: m.ip, Zone: m.zone, FirstPort: firstPort, LastPort: firstPort + 15,
		Seeds: sim.seeds(bootstrap), Bootstrap: bootstrap, Tolerance: sim.tolerance,
		Limits: settings.Limits{MemoryMB: 284, DiskBytes: sim.diskBytes},
		Bounds: settings.Bounds{Grace: grace, Status: 120 * time.Second}}
}

// boot starts the processes of a machine, unless it is removed, without power or already running.
func (sim *simulation) boot(m *machine, bootstrap bool) {
	if m.removed || m.poweredOff || len(m.processes) > 0 {
		return
	}
	s := sim.settings(m, bootstrap)
	if strings.HasPrefix(m.name, edgePrefix) {
		sim.carriers[m.name] = startCarrier(sim.world, m, s, sim.platform)
		return
	}
	keeperHost, err := startKeeper(sim.world, m, s, sim.platform)
	if segment.IsDiskFull(err) {
		// An empty disk can't take an identity while it is full.
		sim.kill(m, fullDiskRetryDelay)
		return
	}
	if err != nil {
		sim.failure = err
		return
	}
	storeHost, err := startStore(sim.world, m, s)
	if err != nil {
		sim.failure = err
		return
	}
	sim.keepers[m.name], sim.stores[m.name] = keeperHost, storeHost
}

func sortedKeys[V any](table map[string]V) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
