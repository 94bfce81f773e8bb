package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Times of what happens to the processes.
const (
	catchUp      = 4500 * time.Millisecond // before another machine with a disk may be struck
	restartGap   = 600 * time.Millisecond  // between two planned restarts of machines with a disk
	happeningGap = 900 * time.Millisecond
	plannedGap   = 250 * time.Millisecond // between planned happenings at carriers
	changeGap    = 250 * time.Millisecond
)

// chaos strikes the processes by a seeded schedule: signals, ends and changes come in series that overlap. Never is more than one
// machine with a disk struck at a time.
type chaos struct {
	rig      *rig
	judge    *judge
	operator *operator
	planned  bool // restarts, reloads and changes alone, which excuse nothing
	stopped  chan struct{}
	running  sync.WaitGroup
}

func startChaos(r *rig, j *judge, o *operator, seed uint64, planned bool) *chaos {
	c := &chaos{rig: r, judge: j, operator: o, planned: planned, stopped: make(chan struct{})}
	edges, storage := rand.New(rand.NewPCG(seed, 1<<34)), rand.New(rand.NewPCG(seed, 1<<35))
	c.running.Go(func() { c.each(changeGap, func() { o.change() }) })
	gap := happeningGap
	if planned {
		gap = plannedGap
	}
	c.running.Go(func() { c.each(gap, func() { c.strikeEdges(edges) }) })
	c.running.Go(func() { c.each(happeningGap, func() { c.strikeStorage(storage) }) })
	return c
}

// each does something again and again until the chaos is over.
func (c *chaos) each(gap time.Duration, do func()) {
	for {
		if !c.pause(gap) {
			return
		}
		do()
	}
}

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

// some gives a part of the machines, one at least.
func some(r *rand.Rand, machines []*machine, share float64) []*machine {
	count := max(1, int(share*float64(len(machines))))
	var chosen []*machine
	for _, at := range r.Perm(len(machines))[:count] {
		chosen = append(chosen, machines[at])
	}
	return chosen
}

// strikeEdges does something to a part of the carriers. Stops and reloads are planned work and excuse nothing.
func (c *chaos) strikeEdges(r *rand.Rand) {
	const plannedKinds, kinds = 5, 8 // the planned ones come first
	drawn := r.IntN(kinds)
	if c.planned {
		drawn %= plannedKinds
	}
	switch drawn {
	case 0, 1, 2:
		for _, m := range some(r, c.rig.edges, 0.35*r.Float64()) {
			m.signal("carrier", syscall.SIGTERM)
			if !c.pause(time.Duration(r.IntN(400)) * time.Millisecond) {
				return
			}
		}
	case 3, 4:
		for range 3 {
			for _, m := range some(r, c.rig.edges, r.Float64()) {
				m.signal("carrier", syscall.SIGHUP)
			}
			if !c.pause(time.Duration(r.IntN(200)) * time.Millisecond) {
				return
			}
		}
	case 5:
		c.judge.unplanned(time.Second)
		for _, m := range some(r, c.rig.edges, 0.3*r.Float64()) {
			m.signal("carrier", syscall.SIGKILL)
		}
	case 6:
		length := time.Duration(200+r.IntN(4500)) * time.Millisecond
		c.judge.unplanned(length)
		c.freeze(some(r, c.rig.edges, 0.2), "carrier", length)
	default:
		// a quiet while
		c.pause(time.Duration(r.IntN(5000)) * time.Millisecond)
	}
}

func (c *chaos) freeze(machines []*machine, role string, length time.Duration) {
	for _, m := range machines {
		m.signal(role, syscall.SIGSTOP)
	}
	c.pause(length)
	for _, m := range machines {
		m.signal(role, syscall.SIGCONT)
	}
}

// strikeStorage does something to one machine with a disk, or to all keepers at once.
func (c *chaos) strikeStorage(r *rand.Rand) {
	m := c.rig.storage[r.IntN(len(c.rig.storage))]
	role := []string{"keeper", "store"}[r.IntN(2)]
	const plannedKinds, kinds = 3, 7
	drawn := r.IntN(kinds)
	if c.planned {
		drawn %= plannedKinds
	}
	switch drawn {
	case 0, 1:
		m.signal(role, syscall.SIGTERM)
		c.pause(time.Duration(500+r.IntN(2500)) * time.Millisecond)
	case 2:
		m.signal(role, syscall.SIGHUP)
	case 3:
		c.judge.unplanned(time.Second)
		m.signal("keeper", syscall.SIGKILL)
		m.signal("store", syscall.SIGKILL)
	case 4:
		length := time.Duration(200+r.IntN(3500)) * time.Millisecond
		c.judge.unplanned(length)
		c.freeze([]*machine{m}, role, length)
	case 5:
		c.judge.unplanned(time.Second)
		for _, other := range c.rig.storage {
			other.signal("keeper", syscall.SIGKILL)
		}
	default:
		c.judge.unplanned(time.Second)
		m.signal(role, syscall.SIGKILL)
	}
	if c.planned {
		c.pause(restartGap)
		return
	}
	c.pause(catchUp)
}

// everything kills every process of the program at the same moment.
func (c *chaos) everything() {
	c.judge.unplanned(time.Second)
	for _, m := range c.rig.machines() {
		for _, role := range m.roles {
			m.signal(role, syscall.SIGKILL)
		}
	}
}
