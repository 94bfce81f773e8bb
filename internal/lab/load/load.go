// Package load sends a day's jobs to dispatchers over sockets as an open-loop generator: arrivals do not wait for
// answers, and latency counts from the intended send time. Run sends the whole day and returns a Result, whose
// Verdict reports whether the generator itself kept to the schedule.
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"granitewing/internal/lab/audit"
	"granitewing/internal/lab/client"
	"granitewing/internal/lab/measure"
	"granitewing/internal/lab/world"
)

const (
	answerSlack = 60 * time.Millisecond // an answer still counts if it arrives this long after its deadline
	dialTimeout = 2 * time.Second
	ejectFor    = 3 * time.Second // a front-end load balancer notices a dispatcher's death, or its return, within some seconds
)

// Target is the address of one dispatcher.
type Target struct {
	Addr string
	Zone int // index of the zone whose clients it takes; -1: clients of every zone
}

// Options are the parameters of a run.
type Options struct {
	Day     *world.Day
	Targets []Target
	Seed    uint64
	Begin   time.Time            // when the day's clock is zero
	Log     *audit.Log           // may be nil
	LogZero time.Time            // when the audit log's clock is zero
	Jobs    []world.Job          // sent instead of the day's, in order of time, if not nil
	Prefix  string               // of the names of tries; must differ between generators that use the same fleet
	Done    func(sent, done int) // called with the progress; may be nil
}

// Result holds what a run measured.
type Result struct {
	Recorder   *measure.Recorder
	Verdict    measure.Verdict // whether the generator kept to its schedule
	Sent       int             // jobs sent
	Resent     int             // tries that were sent again because the dispatcher had closed the connection between two requests
	Mismatched int             // answers that belong to another request
	CutShort   bool            // ended before the end of the schedule
}

// generator is a run in progress.
type generator struct {
	opts          Options
	day           *world.Day
	pools         []*pool
	recorder      *measure.Recorder
	next          atomic.Uint64
	done          atomic.Int64
	resent        atomic.Int64
	mismatched    atomic.Int64 // answers to another request
	noDescriptors atomic.Int64 // connections not opened for want of descriptors or local ports
	poolTimeouts  atomic.Int64 // tries that got no connection in time
	openConns     atomic.Int64
	maxOpenConns  atomic.Int64
	lagMu         sync.Mutex
	lag           *hdrhistogram.Histogram
}

// Run sends all jobs and waits for their outcomes. When ctx ends it stops in order and returns what was measured so
// far. It returns an error only if there are no targets.
func Run(ctx context.Context, o Options) (*Result, error) {
	if len(o.Targets) == 0 {
		return nil, errors.New("load: no dispatcher to send to")
	}
	g := &generator{opts: o, day: o.Day, lag: hdrhistogram.New(1, 60_000_000, 3)}
	var names []string
	for _, c := range o.Day.Classes {
		names = append(names, c.Name)
	}
	g.recorder = measure.NewRecorder(names)
	conns := max(int(float64(o.Day.Descriptors)*o.Day.Clients.Share), 4)
	for i, t := range o.Targets {
		g.pools = append(g.pools, &pool{g: g, number: i, Target: t, slots: make(chan struct{}, conns)})
	}
	defer func() {
		for _, p := range g.pools {
			p.close()
		}
	}()
	jobs := o.Jobs
	if jobs == nil {
		jobs = o.Day.Jobs
	}
	rng := rand.New(rand.NewPCG(o.Seed, 11))
	self := startSelfMonitor()
	var wait sync.WaitGroup
	res := &Result{Recorder: g.recorder}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
schedule:
	for i := range jobs {
		due := o.Begin.Add(jobs[i].At)
		if d := time.Until(due); d > 0 {
			timer.Reset(d)
			select {
			case <-timer.C:
			case <-ctx.Done():
				res.CutShort = true
				break schedule
			}
		} else if ctx.Err() != nil {
			res.CutShort = true
			break
		}
		res.Sent++
		job, seed := &jobs[i], rng.Uint64()
		wait.Go(func() { g.runJob(ctx, job, due, seed) })
		if o.Done != nil {
			o.Done(res.Sent, int(g.done.Load()))
		}
	}
	finished := make(chan struct{})
	go func() { wait.Wait(); close(finished) }()
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for waiting := true; waiting; {
		select {
		case <-finished:
			waiting = false
		case <-tick.C:
		}
		if o.Done != nil {
			o.Done(res.Sent, int(g.done.Load()))
		}
	}
	res.CutShort = res.CutShort || ctx.Err() != nil
	res.Resent, res.Mismatched = int(g.resent.Load()), int(g.mismatched.Load())
	res.Verdict = g.verdict(self, len(jobs))
	return res, nil
}

// auditTime returns the time on the audit log's clock, in microseconds.
func (g *generator) auditTime() int64 { return time.Since(g.opts.LogZero).Microseconds() }

// runJob carries one job from its intended send time to its final answer, including retries.
func (g *generator) runJob(ctx context.Context, job *world.Job, due time.Time, seed uint64) {
	defer g.done.Add(1)
	lag := time.Since(due)
	g.lagMu.Lock()
	g.lag.RecordValue(min(max(lag.Microseconds(), 1), 60_000_000))
	g.lagMu.Unlock()
	rng := rand.New(rand.NewPCG(seed, 12))
	c := &g.day.Classes[job.Class]
	j := g.day.Clients.New(c.Repeat == "unsafe", c.Repeat == "keyed", c.GiveUp, rng)
	key := ""
	if j.Keyed {
		key = fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
	}
	var r client.Result
	for {
		wait, leaves, marked := j.Begin()
		var retryAfter time.Duration
		r, retryAfter = g.try(ctx, job, key, wait, leaves, marked, rng)
		pause, retry := j.Again(r, retryAfter)
		if !retry || ctx.Err() != nil {
			break
		}
		if pause > 0 {
			t := time.NewTimer(pause)
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
			}
		}
	}
	if ctx.Err() != nil && r != client.Served {
		return // cut short, so its result says nothing
	}
	latency := time.Since(due)
	s := measure.Sample{Class: job.Class, At: job.At, Latency: latency, Worth: c.Worth * job.Work.Seconds(), Tries: j.Tries(), Zone: job.Zone}
	s.Outcome = Classify(c, job, r, latency)
	g.recorder.Add(s)
}

// Classify returns the outcome of a job, given the result of its last try and its latency.
func Classify(c *world.Class, job *world.Job, r client.Result, latency time.Duration) measure.Outcome {
	switch r {
	case client.Served:
		if latency <= c.Aim+time.Duration(c.Stretch*float64(job.Work)) {
			return measure.InTime
		}
		return measure.Late
	case client.Refused:
		return measure.Refused
	case client.Failed:
		return measure.Failed
	case client.HungUp:
		return measure.Left
	}
	return measure.Unanswered
}

// verdict reports whether the generator kept to its schedule and, if not, why.
func (g *generator) verdict(self *selfMonitor, jobs int) measure.Verdict {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	v := measure.Verdict{LagP50: ms(g.lag.ValueAtQuantile(50)), LagP99: ms(g.lag.ValueAtQuantile(99)), LagMax: ms(g.lag.Max()),
		Open: int(g.maxOpenConns.Load())}
	v.CPU, v.Sched = self.usage()
	limit := g.day.Generator
	causes := []struct {
		bad  bool
		text string
	}{
		{v.LagP99 > limit.Lag.Seconds()*1000, fmt.Sprintf("send lag p99 %.1f ms is over %v", v.LagP99, limit.Lag)},
		{v.CPU > limit.CPU, fmt.Sprintf("this process took %.0f%% of the machine's CPU, over %.0f%%", 100*v.CPU, 100*limit.CPU)},
		{v.Sched > limit.Sched.Seconds()*1000, fmt.Sprintf("goroutines waited %.1f ms for a CPU at the 99th percentile, over %v", v.Sched, limit.Sched)},
		{g.noDescriptors.Load() > 0, fmt.Sprintf("%d connections could not be opened for want of descriptors or ports here", g.noDescriptors.Load())},
		{int(g.poolTimeouts.Load())*100 > jobs, fmt.Sprintf("%d tries found no connection free in time", g.poolTimeouts.Load())},
	}
	for _, c := range causes {
		if c.bad {
			v.Causes = append(v.Causes, c.text)
		}
	}
	v.Unsent = int(g.poolTimeouts.Load() + g.noDescriptors.Load())
	v.Valid = len(v.Causes) == 0
	return v
}

// pool holds the connections to one dispatcher.
type pool struct {
	Target
	g            *generator
	number       int
	slots        chan struct{} // one token for each connection in use
	mu           sync.Mutex
	idle         []*conn
	ejectedUntil time.Time // clients avoid the dispatcher until then
}

var errPoolExhausted = errors.New("all connections are in use")

// get returns the most recently used idle connection, or opens one. If all connections are in use it waits until the
// given time and then returns errPoolExhausted.
func (p *pool) get(until time.Time) (*conn, error) {
	select {
	case p.slots <- struct{}{}:
	default:
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		select {
		case p.slots <- struct{}{}:
		case <-t.C:
			return nil, errPoolExhausted
		}
	}
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return p.dial()
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		// Skip connections that the dispatcher has closed in the meantime, or that ended with its process.
		if c.alive() {
			return c, nil
		}
		p.drop(c)
	}
}

func (p *pool) dial() (*conn, error) {
	c, err := net.DialTimeout("tcp", p.Addr, dialTimeout)
	if err != nil {
		<-p.slots
		return nil, err
	}
	n := p.g.openConns.Add(1)
	for peak := p.g.maxOpenConns.Load(); n > peak && !p.g.maxOpenConns.CompareAndSwap(peak, n); peak = p.g.maxOpenConns.Load() {
	}
	return newConn(c), nil
}

// put returns a connection to the pool; it is closed if it can't be used again.
func (p *pool) put(c *conn, good bool) {
	if good {
		p.mu.Lock()
		c.uses++
		p.idle = append(p.idle, c)
		p.mu.Unlock()
	} else {
		p.drop(c)
	}
	<-p.slots
}

func (p *pool) drop(c *conn) {
	p.g.openConns.Add(-1)
	c.Close()
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		p.drop(c)
	}
	p.idle = nil
}

// ejected reports whether clients currently treat the dispatcher as dead.
func (p *pool) ejected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.ejectedUntil)
}

// pick chooses a dispatcher for a client of a zone as a front-end load balancer would: at random among those of the
// zone that are not ejected, or among all others if the zone has none. It returns nil if none is left.
func (g *generator) pick(zone int, rng *rand.Rand, tried map[int]bool) *pool {
	for _, anyZone := range []bool{false, true} {
		var candidates []*pool
		for _, p := range g.pools {
			if !tried[p.number] && (anyZone || p.Zone < 0 || p.Zone == zone) && !p.ejected() {
				candidates = append(candidates, p)
			}
		}
		if len(candidates) > 0 {
			return candidates[rng.IntN(len(candidates))]
		}
	}
	return nil
}

// connect returns a connection to a dispatcher, or nils if there is none. Nothing has been sent if a connection
// can't be opened, so connect tries another dispatcher.
func (g *generator) connect(zone int, rng *rand.Rand, until time.Time) (*pool, *conn) {
	tried := map[int]bool{}
	for {
		p := g.pick(zone, rng, tried)
		if p == nil {
			return nil, nil
		}
		c, err := p.get(until)
		if err == nil {
			return p, c
		}
		tried[p.number] = true
		switch {
		case errors.Is(err, errPoolExhausted):
			g.poolTimeouts.Add(1)
			return nil, nil
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.EADDRNOTAVAIL):
			g.noDescriptors.Add(1)
			return nil, nil
		}
		p.mu.Lock()
		p.ejectedUntil = time.Now().Add(ejectFor)
		p.mu.Unlock()
	}
}
