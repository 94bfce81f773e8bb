package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Intervals between disturbances of the processes.
const (
	recoveryTime           = 4500 * time.Millisecond // for a storage machine to recover before the next fault
	plannedRestartInterval = 600 * time.Millisecond  // between two planned restarts of storage machines
	faultInterval          = 900 * time.Millisecond
	plannedFaultInterval   = 250 * time.Millisecond // between planned disturbances of carriers
	changeInterval         = 250 * time.Millisecond
)

// chaos disturbs the processes by a seeded schedule: overlapping series of signals to carriers, signals to storage machines
// and configuration changes. Stores are disturbed on one storage machine at a time, since the system tolerates the loss of
// one. Keepers may also be killed on all storage machines at once.
type chaos struct {
	cluster     *cluster
	checker     *checker
	operator    *operator
	plannedOnly bool // only restarts, reloads and configuration changes, which excuse no violation
	stopped     chan struct{}
	running     sync.WaitGroup
}

func startChaos(cluster *cluster, checker *checker, o *operator, seed uint64, planned bool) *chaos {
	c := &chaos{cluster: cluster, checker: checker, operator: o, plannedOnly: planned, stopped: make(chan struct{})}
	edges, storage := rand.New(rand.NewPCG(seed, 1<<34)), rand.New(rand.NewPCG(seed, 1<<35))
	c.running.Go(func() { c.repeat(changeInterval, func() { o.change() }) })
	interval := faultInterval
	if planned {
		interval = plannedFaultInterval
	}
	c.running.Go(func() { c.repeat(interval, func() { c.disturbCarriers(edges) }) })
	c.running.Go(func() { c.repeat(faultInterval, func() { c.disturbStorage(storage) }) })
	return c
}

// repeat calls a function at an interval until stop is called.
func (c *chaos) repeat(interval time.Duration, do func()) {
	for {
		if !c.pause(interval) {
			return
		}
		do()
	}
}

// pause waits, and returns false if stop was called meanwhile.
func (c *chaos) pause(length time.Duration) bool {
	select {
	case <-c.stopped:
		return false
	case <-time.After(length):
		return true
	}
}

func (c *chaos) stop() {
	close(c.stopped)
	c.running.Wait()
}

// sample draws a share of the machines at random, at least one.
func sample(r *rand.Rand, machines []*machine, share float64) []*machine {
	count := max(1, int(share*float64(len(machines))))
	var chosen []*machine
	for _, index := range r.Perm(len(machines))[:count] {
		chosen = append(chosen, machines[index])
	}
	return chosen
}

// disturbCarriers stops, reloads, kills or freezes a random part of the carriers, or leaves them alone. Stops and reloads
// are planned work and excuse no violation.
func (c *chaos) disturbCarriers(r *rand.Rand) {
	const plannedKinds, kinds = 5, 8 // the planned ones come first
	action := r.IntN(kinds)
	if c.plannedOnly {
		action %= plannedKinds
	}
	switch action {
	case 0, 1, 2:
		for _, m := range sample(r, c.cluster.edges, 0.35*r.Float64()) {
			m.signal("carrier", syscall.SIGTERM)
			if !c.pause(time.Duration(r.IntN(400)) * time.Millisecond) {
				return
			}
		}
	case 3, 4:
		for range 3 {
			for _, m := range sample(r, c.cluster.edges, r.Float64()) {
				m.signal("carrier", syscall.SIGHUP)
			}
			if !c.pause(time.Duration(r.IntN(200)) * time.Millisecond) {
				return
			}
		}
	case 5:
		c.checker.excuse(time.Second)
		for _, m := range sample(r, c.cluster.edges, 0.3*r.Float64()) {
			m.signal("carrier", syscall.SIGKILL)
		}
	case 6:
		length := time.Duration(200+r.IntN(4500)) * time.Millisecond
		c.checker.excuse(length)
		c.freeze(sample(r, c.cluster.edges, 0.2), "carrier", length)
	default:
		// no disturbance
		c.pause(time.Duration(r.IntN(5000)) * time.Millisecond)
	}
}

// freeze suspends a role's processes on some machines for a time.
func (c *chaos) freeze(machines []*machine, role string, length time.Duration) {
	for _, m := range machines {
		m.signal(role, syscall.SIGSTOP)
	}
	c.pause(length)
	for _, m := range machines {
		m.signal(role, syscall.SIGCONT)
	}
}

// disturbStorage stops, reloads, kills or freezes processes of one storage machine, or kills all keepers at once.
func (c *chaos) disturbStorage(r *rand.Rand) {
	m := c.cluster.storage[r.IntN(len(c.cluster.storage))]
	role := []string{"keeper", "store"}[r.IntN(2)]
	const plannedKinds, kinds = 3, 7
	action := r.IntN(kinds)
	if c.plannedOnly {
		action %= plannedKinds
	}
	switch action {
	case 0, 1:
		m.signal(role, syscall.SIGTERM)
		c.pause(time.Duration(500+r.IntN(2500)) * time.Millisecond)
	case 2:
		m.signal(role, syscall.SIGHUP)
	case 3:
		c.checker.excuse(time.Second)
		m.signal("keeper", syscall.SIGKILL)
		m.signal("store", syscall.SIGKILL)
	case 4:
		length := time.Duration(200+r.IntN(3500)) * time.Millisecond
		c.checker.excuse(length)
		c.freeze([]*machine{m}, role, length)
	case 5:
		c.checker.excuse(time.Second)
		for _, other := range c.cluster.storage {
			other.signal("keeper", syscall.SIGKILL)
		}
	default:
		c.checker.excuse(time.Second)
		m.signal(role, syscall.SIGKILL)
	}
	if c.plannedOnly {
		c.pause(plannedRestartInterval)
		return
	}
	c.pause(recoveryTime)
}

// killAll kills all processes of the program at once.
func (c *chaos) killAll() {
	c.checker.excuse(time.Second)
	for _, m := range c.cluster.machines() {
		for _, role := range m.roles {
			m.signal(role, syscall.SIGKILL)
		}
	}
}
