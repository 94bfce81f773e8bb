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

// Names of machines begin with these.
const (
	storagePrefix = "storage-"
	edgePrefix    = "edge-"
)

// Shape of a day.
const (
	storageCount   = 3
	carrierCount   = 4
	firstPort      = 7000
	controlPort    = 8000
	leadTime       = 5 * time.Second
	settleTime     = 20 * time.Second // after the last event, with everything well, before the day is judged
	restartPause   = 300 * time.Millisecond
	grace          = 6 * time.Second
	orderedKeys    = 25
	failuresToEnd  = 4
	sampleInterval = 100 * time.Millisecond
	// readingInterval is how often the operator reads the configuration back.
	readingInterval = 370 * time.Millisecond
)

// usualRetention is that of the messages, where a scenario gives no other.
const usualRetention = 90 * time.Second

// Names of the services.
const (
	archive = "archive" // many workers, no order, call-backs
	alert   = "alert"   // ordered, idempotent
	partner = "partner" // one endpoint with a rate
)

// day is one play.
type day struct {
	world     *world
	checker   *checker
	platform  *platform
	keepers   map[string]*keeperHost
	stores    map[string]*storeHost
	carriers  map[string]*carrierHost
	misses    map[string]int
	seen      map[*carrierHost]uint64 // version of the configuration
	version   uint64                  // that the operator knows to be current
	sending   uint64                  // highest version that was sent
	races     int
	lastIP    int
	retired   int // machines that were emptied and removed
	acksLost  bool
	expired   int // messages that were accepted and ended by their retention
	retention time.Duration
	burst     map[string]int // by service: how many times as many messages come, where that is more than one
	failure   error
	tolerance tolerance.Tolerance
	diskBytes int64
	history   *configurationHistory
	operator  []operatorSight // the operator's list of storage machines, as it was from a time on, the latest last
	backends  backends        // of the newest configuration that was sent
	firstSeed string          // a machine that seeds begin with, empty where there is none
}

var zones = []string{"a", "b", "c"}

func newDay(s *Scenario) *day {
	w := newWorld(s.Seed)
	d := &day{world: w, tolerance: s.Tolerate, diskBytes: s.Disk << 10, checker: newChecker(failuresToEnd, s.Retention), retention: s.Retention, burst: map[string]int{}, keepers: map[string]*keeperHost{}, stores: map[string]*storeHost{},
		carriers: map[string]*carrierHost{}, misses: map[string]int{}, seen: map[*carrierHost]uint64{}, history: newConfigurationHistory(), backends: newBackends()}
	d.platform = newPlatform(w, d.checker)
	d.addServices()
	for i := range s.Storage {
		w.add(fmt.Sprintf("storage-%d", i+1), d.nextIP(), zones[i%len(zones)])
	}
	for i := range carrierCount {
		w.add(fmt.Sprintf("edge-%d", i+1), d.nextIP(), zones[i%len(zones)])
	}
	d.see()
	for _, name := range w.names {
		d.boot(w.machines[name], true)
	}
	w.after(readyInterval, d.probe)
	w.after(sampleInterval, d.sample)
	w.after(readingInterval, func() { d.readAgain() })
	w.after(askInterval, d.askStates)
	return d
}

func (d *day) nextIP() string {
	d.lastIP++
	return fmt.Sprintf("10.0.0.%d", d.lastIP)
}

func (d *day) addServices() {
	model := func(name string, work time.Duration, slots int) *serviceModel {
		m := &serviceModel{name: name, work: work, slots: slots, table: map[string]string{}, running: map[string]bool{}}
		d.platform.services[name] = m
		return m
	}
	model(archive, 120*time.Millisecond, 4)
	model(alert, 20*time.Millisecond, 2).idempotent = true
	static := model(partner, 40*time.Millisecond, 8)
	static.rate, static.static = 20, "10.7.0.1:9000"
	for i := range 6 {
		d.platform.addWorker(archive, zones[i%len(zones)])
	}
	for i := range 3 {
		d.platform.addWorker(alert, zones[i%len(zones)])
	}
	d.platform.addWorker(partner, zones[0])
}

func (d *day) settings(m *machine, bootstrap bool) *settings.Settings {
	return &settings.Settings{NodeName: m.name, IP: m.ip, Zone: m.zone, FirstPort: firstPort, LastPort: firstPort + 15,
		Seeds: d.seeds(bootstrap), Bootstrap: bootstrap, Tolerance: d.tolerance,
		Limits: settings.Limits{MemoryMB: 284, DiskBytes: d.diskBytes},
		Bounds: settings.Bounds{Grace: grace, Status: 120 * time.Second}}
}

// boot starts a machine's processes.
func (d *day) boot(m *machine, bootstrap bool) {
	if m.removed || m.dark || len(m.processes) > 0 {
		return
	}
	s := d.settings(m, bootstrap)
	if strings.HasPrefix(m.name, edgePrefix) {
		d.carriers[m.name] = startCarrier(d.world, m, s, d.platform)
		return
	}
	keeperHost, err := startKeeper(d.world, m, s, d.platform)
	if segment.IsFull(err) {
		// An empty disk takes no identity while it is full.
		d.kill(m, fullPause)
		return
	}
	if err != nil {
		d.failure = err
		return
	}
	storeHost, err := startStore(d.world, m, s)
	if err != nil {
		d.failure = err
		return
	}
	d.keepers[m.name], d.stores[m.name] = keeperHost, storeHost
}

func sortedKeys[V any](table map[string]V) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
