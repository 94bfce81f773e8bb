package simulation

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"granitewing/internal/system/configuration"
	"granitewing/internal/system/message"
	"granitewing/internal/system/role/carrier"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/settings"
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
)

// Names of the services.
const (
	archive = "archive" // many workers, no order, call-backs
	alert   = "alert"   // ordered, idempotent
	partner = "partner" // one endpoint with a rate
)

// day is one play.
type day struct {
	world    *world
	checker  *checker
	platform *platform
	keepers  map[string]*keeperHost
	stores   map[string]*storeHost
	carriers map[string]*carrierHost
	misses   map[string]int
	seen     map[*carrierHost]uint64 // version of the configuration
	version  uint64                  // that the operator knows to be current
	sending  uint64                  // highest version that was sent
	lastIP   int
	retired  int // machines that were emptied and removed
	failure  error
}

var zones = []string{"a", "b", "c"}

func newDay(seed uint64) *day {
	w := newWorld(seed)
	d := &day{world: w, checker: newChecker(failuresToEnd), keepers: map[string]*keeperHost{}, stores: map[string]*storeHost{},
		carriers: map[string]*carrierHost{}, misses: map[string]int{}, seen: map[*carrierHost]uint64{}}
	d.platform = newPlatform(w, d.checker)
	d.addServices()
	for i := range storageCount {
		w.add(fmt.Sprintf("storage-%d", i+1), d.nextIP(), zones[i%len(zones)])
	}
	for i := range carrierCount {
		w.add(fmt.Sprintf("edge-%d", i+1), d.nextIP(), zones[i%len(zones)])
	}
	for _, name := range w.names {
		d.boot(w.machines[name], true)
	}
	w.after(readyInterval, d.probe)
	w.after(sampleInterval, d.sample)
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

// document is the configuration of a version; variant makes another of the same version.
func document(version uint64, variant int) []byte {
	return fmt.Appendf(nil, `{"resource-version":%d,"routes":[`+
		`{"name":"r1","host":"archive.example","path-prefix":"/in/","kind":"async","timeout-ms":%d,"target-latency-ms":120,"priority":2,"backend":"archive","retries":%d,"ordered":false,"retention-s":90.0,"callback-url":true,"target-start-ms":1000},`+
		`{"name":"r2","host":"alert.example","path-prefix":"/in/","kind":"async","timeout-ms":500,"target-latency-ms":120,"priority":1,"backend":"alert","retries":%d,"ordered":true,"retention-s":90.0,"callback-url":false,"target-start-ms":1000},`+
		`{"name":"r3","host":"partner.example","path-prefix":"/in/","kind":"async","timeout-ms":700,"target-latency-ms":120,"priority":2,"backend":"partner","retries":%d,"ordered":false,"retention-s":90.0,"callback-url":false,"target-start-ms":1000}],`+
		`"services":[{"name":"archive","max-connections":90,"rate-per-s":0,"static":null},{"name":"alert","max-connections":90,"rate-per-s":0,"idempotent":true,"static":null},{"name":"partner","max-connections":40,"rate-per-s":20,"static":"10.7.0.1:9000"}],"limits":{}}`,
		version, 1500+variant, failuresToEnd, failuresToEnd, failuresToEnd)
}

func (d *day) settings(m *machine, bootstrap bool) *settings.Settings {
	var seeds []string
	for _, name := range d.world.names {
		if other := d.world.machines[name]; strings.HasPrefix(name, "storage") && len(seeds) < storageCount && !other.removed {
			seeds = append(seeds, fmt.Sprintf("%s:%d", other.ip, controlPort))
		}
	}
	return &settings.Settings{NodeName: m.name, IP: m.ip, Zone: m.zone, FirstPort: firstPort, LastPort: firstPort + 15,
		Seeds: seeds, Bootstrap: bootstrap, Tolerated: 1,
		Limits: settings.Limits{MemoryMB: 284, DiskBytes: 400 << 20},
		Bounds: settings.Bounds{Grace: grace, Status: 120 * time.Second}}
}

// boot starts a machine's processes.
func (d *day) boot(m *machine, bootstrap bool) {
	if m.removed || m.dark || len(m.processes) > 0 {
		return
	}
	s := d.settings(m, bootstrap)
	if strings.HasPrefix(m.name, "edge") {
		d.carriers[m.name] = startCarrier(d.world, m, s, d.platform)
		return
	}
	keeperHost, err := startKeeper(d.world, m, s, d.platform)
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

// kill ends a machine's processes; they start again after a while.
func (d *day) kill(m *machine, down time.Duration) {
	for len(m.processes) > 0 {
		m.processes[0].end()
	}
	d.world.after(down, func() { d.boot(m, false) })
}

// powerOff takes a machine's power away for a while.
func (d *day) powerOff(m *machine, down time.Duration, wipe bool) {
	m.dark = true
	for len(m.processes) > 0 {
		m.processes[0].end()
	}
	for _, name := range sortedKeys(m.disks) {
		m.disks[name].losePower()
	}
	if wipe {
		m.disks = map[string]*simulatedDisk{}
	}
	d.world.after(down, func() {
		m.dark = false
		d.boot(m, false)
	})
}

func sortedKeys[V any](table map[string]V) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// replace takes a machine away for good; an empty one comes at another address.
func (d *day) replace(m *machine, after time.Duration) {
	d.powerOff(m, time.Hour, true)
	m.removed = true
	d.world.after(after, func() {
		d.boot(d.world.add(fmt.Sprintf("storage-%d", len(d.world.names)+1), d.nextIP(), m.zone), false)
	})
}

func (d *day) freeze(m *machine, length time.Duration) {
	m.frozen = true
	d.world.after(length, func() {
		m.frozen = false
		for _, p := range append([]*process(nil), m.processes...) {
			p.thaw()
		}
	})
}

// term stops a machine's processes in order; they start again.
func (d *day) term(m *machine) {
	for _, p := range append([]*process(nil), m.processes...) {
		if p.stop != nil {
			p.run(p.stop)
		} else {
			d.world.after(20*time.Millisecond, p.end)
		}
	}
	var restart func()
	stopBy := d.world.now + grace
	restart = func() {
		if len(m.processes) == 0 || d.world.now >= stopBy {
			d.kill(m, restartPause)
			return
		}
		d.world.after(50*time.Millisecond, restart)
	}
	d.world.after(50*time.Millisecond, restart)
}

// cut closes the ways between machines for a while.
func (d *day) cut(from, to []*machine, oneWay bool, length time.Duration) {
	var pairs [][2]string
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			pairs = append(pairs, [2]string{a.name, b.name})
			if !oneWay {
				pairs = append(pairs, [2]string{b.name, a.name})
			}
		}
	}
	for _, pair := range pairs {
		d.world.cuts[pair] = true
	}
	d.world.after(length, func() {
		for _, pair := range pairs {
			delete(d.world.cuts, pair)
		}
	})
}

// retire has a machine emptied; it is removed with its disk as soon as it is told as empty.
func (d *day) retire(name string) {
	again := func() { d.world.after(operatorPause, func() { d.retire(name) }) }
	host := d.sessionLeader()
	if host == nil {
		again()
		return
	}
	host.core.RetireMachine(host.Now(), name, func(err error) {
		retired, getErr := host.core.Retired(host.Now(), name)
		if err != nil || getErr != nil || !retired {
			again()
			return
		}
		m := d.world.machines[name]
		if !m.removed {
			d.powerOff(m, time.Hour, true)
			m.removed = true
			d.retired++
		}
	})
	host.goOn()
}

// sessionLeader is the keeper that leads the sessions, nil where nobody does.
func (d *day) sessionLeader() *keeperHost {
	for _, name := range sortedKeys(d.keepers) {
		host := d.keepers[name]
		if _, self := host.core.Leader(keeper.SessionGroup); self && host.alive {
			return host
		}
	}
	return nil
}

// release replaces a worker of a service: the new one first, then the old one drains and ends.
func (d *day) release(service string) {
	for _, id := range d.platform.names() {
		old := d.platform.workers[id]
		if old.service.name != service || old.draining || old.service.static != "" {
			continue
		}
		d.platform.addWorker(service, old.zone)
		old.draining = true
		d.world.after(3500*time.Millisecond, func() {
			old.gone = true
			delete(d.platform.workers, old.id)
		})
		return
	}
}

// dark silences a service's workers for a while.
func (d *day) darken(service string, length time.Duration) {
	for _, id := range d.platform.names() {
		if w := d.platform.workers[id]; w.service.name == service {
			w.dark = true
			d.world.after(length, func() { w.dark = false })
		}
	}
}

// configure sends a change of the configuration, on top of the one that the operator knows.
func (d *day) configure(variant int) {
	base := d.version
	d.sending++
	version := d.sending
	o := &order{Order: configuration.Order{Base: base, Raw: document(version, variant)}, version: version}
	o.done = func(taken bool) {
		if taken && version > d.version {
			d.version = version
		}
	}
	d.sendOrder(o, "")
}

// race sends two changes on top of the same version.
func (d *day) race() {
	base := d.version
	acknowledged := 0
	for variant := range 2 {
		d.sending++
		version := d.sending
		o := &order{Order: configuration.Order{Base: base, Raw: document(version, variant)}, version: version, turn: variant}
		o.done = func(taken bool) {
			if !taken {
				return
			}
			d.version = max(d.version, version)
			if acknowledged++; acknowledged > 1 {
				d.checker.breakRule(d.world.now, "CONFIG", fmt.Sprintf("two changes on top of version %d were acknowledged", base))
			}
		}
		d.sendOrder(o, "")
	}
}

// sample watches that no carrier goes back to an older configuration.
func (d *day) sample() {
	for _, name := range sortedKeys(d.carriers) {
		host := d.carriers[name]
		if !host.alive {
			continue
		}
		version := host.core.ConfigurationVersion()
		if version < d.seen[host] {
			d.checker.breakRule(d.world.now, "CONFIG", fmt.Sprintf("%s went from version %d to %d", name, d.seen[host], version))
		}
		d.seen[host] = version
	}
	d.world.after(sampleInterval, d.sample)
}

// finish lets everything be well, waits, and judges what was accepted.
func (d *day) finish() {
	d.world.runUntil(d.world.now + settleTime)
	d.judgeStates()
	d.judgeConfiguration()
	for _, name := range sortedKeys(d.platform.services) {
		d.checker.ceiling(d.platform.services[name])
	}
}

func (d *day) judgeConfiguration() {
	answered := false
	var ask func(turn int)
	ask = func(turn int) {
		host := d.someKeeper(turn)
		if host == nil || answered {
			return
		}
		host.core.Read(host.Now(), func(raw []byte, err error) {
			if err != nil || raw == nil || answered {
				d.world.after(operatorPause, func() { ask(turn + 1) })
				return
			}
			answered = true
			d.readBack(raw)
		})
		host.goOn()
	}
	ask(0)
	d.world.runUntil(d.world.now + 4*time.Second)
	if !answered {
		d.checker.breakRule(d.world.now, "CONFIG", "the configuration can't be read back")
	}
}

func (d *day) judgeStates() {
	for _, r := range d.checker.accepted() {
		d.judgeState(r)
	}
	d.world.runUntil(d.world.now + 4*time.Second)
}

func (d *day) judgeState(r *record) {
	host := d.anyCarrier()
	if host == nil {
		d.checker.breakRule(d.world.now, "LOST", "no carrier is there at the end")
		return
	}
	host.core.Find(r.id, false, func(state carrier.State) {
		now := d.world.now
		switch {
		case !state.Known:
			d.checker.breakRule(now, "LOST", r.id+" was accepted and is not known")
		case state.Phase == message.Succeeded && !r.stamps[state.Stamp]:
			d.checker.breakRule(now, "MIXED", r.id+" is told as succeeded with a stamp of no run")
		case state.Phase == message.DeadLetter && !r.ended():
			d.checker.breakRule(now, "LOST", r.id+" is told as dead and has not ended")
		case state.Phase == message.Pending && !r.ended():
			d.judgeBody(host, r)
		}
	})
}

func (d *day) judgeBody(host *carrierHost, r *record) {
	host.core.Find(r.id, true, func(state carrier.State) {
		if string(state.Body) != "body of "+r.id {
			d.checker.breakRule(d.world.now, "LOST", r.id+" has not ended and its bytes don't come back")
		}
	})
}

func (d *day) anyCarrier() *carrierHost {
	for _, name := range sortedKeys(d.carriers) {
		if host := d.carriers[name]; host.alive && !host.machine.frozen {
			return host
		}
	}
	return nil
}

// pendingAtEnd counts what has been accepted and has not ended.
func (d *day) pendingAtEnd() int {
	count := 0
	for _, r := range d.checker.accepted() {
		if !r.ended() {
			count++
		}
	}
	return count
}
