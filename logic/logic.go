package logic

// All decisions of the library; the interface (types, events, actions) is in logic/api.go.
//
// Units in this file: clock times are microseconds (int64); work and durations are seconds (float64). "Work" is time on
// a standard core; a worker's pace is running time for a second of work; its d is pace x mean work / slots.

import (
	"errors"
	"math"
	"slices"
)

// Constants. None is taken from a deployment; each states its unit and reason.
const (
	maxKinds   = 256       // kinds told apart; a list that names more has them share one estimate
	maxTries   = 8         // attempts kept for a job; more than any retry helps
	rhoLevels  = 50        // utilisation levels of the table: steps of 0.02 are finer than the estimate
	rhoMax     = 0.98      // beyond this the queue's horizon is longer than any estimate holds
	gridStep   = 1.0 / 32  // table step in units of d: error of the lerp far under that of u
	gridSpan   = 48        // table length in units of d; beyond it G is linear to many digits
	priorJobs  = 5.0       // mean jobs that a worker's prior pace weighs: a run's work is known to a factor of two
	hintTrust  = 0.65      // weight of the logarithm of a hint against that of the class's mean: hints are as noisy as jobs differ
	paceKeep   = 0.85      // weight kept by older runs at each new one: about six runs are remembered
	kindKeep   = 0.98      // the same for the pace of a whole kind: about fifty runs
	rhoPrior   = 10.0      // own jobs that a utilisation of a half weighs
	rateSpan   = 15.0      // seconds of memory of arrival rates: rides out bursts, follows a trend
	tailRoom   = 0.5       // share of a running time that is left at a random look at it
	firstSlots = 4.0       // slots assumed of an unknown worker: fewer keep jobs off it, and more are then never seen
	scanMost   = 12        // candidates compared where many schedulers each see a part: bounds CPU and herding
	fewSeers   = 4         // schedulers up to which each sees enough of the whole to compare all workers
	warmGain   = 1.0       // mean jobs that one at a cold worker earns beside its own worth: it is work that warms it
	coldSafety = 0.4       // share of a cold worker's budget used in a slot; any window meets two slots
	ejectFirst = 1_000_000 // us that a first ejection lasts
	ejectMost  = 8_000_000 // us that ejections grow to: a dead worker is tried a few times a minute
	ejectCost  = 0.95      // chance of failure booked to an ejected worker; shared by all, it cancels out
	holdGap    = 40_000    // us between looks at a job that found no worker
	askGap     = 500_000   // us before a failed list call is repeated at first; doubles, with jitter
	askMost    = 4_000_000 // us that this gap grows to; below any allowed age of a list
	refresh    = 1_000_000 // us between refreshes of the shared estimates
	waitsOn    = 3.0       // times the wait so far of a job that has not started that the rest of it is taken for
	slotsFade  = 0.9995    // fade of the most free slots seen at a kind, for each report
	keysKept   = 2         // data sets remembered for each worker: its few places are shared with the other schedulers' sets
	keyHomes   = 12        // workers on which a data set is expected by hash, so that all schedulers agree
	homesKept  = 1 << 14   // data sets whose homes are remembered; bounds the memory
	hitOwn     = 0.95      // chance that a data set sent to a worker lately is still there
	homeFade   = 0.3       // fall of that chance for each rank beyond the homes that the demand fills
	homeFill   = 0.6       // share of a worker that is taken to be filled before the next rank is used
	paceSpan   = 10.0      // seconds in which a worker's own runs fade: one that was slow must get its chance again
	failPrior  = 1.0       // answers that the zone's share of errors weighs against a worker's own
	slowMost   = 2.0       // times its kind's pace at which a run still counts for the kind: a slow worker is no rule
	missPrice  = 1.0       // mean jobs that a fetch costs beyond its time: it pushes out a set that is asked for again
	hitElse    = 0.05      // the same where nothing speaks for it
	hopeless   = 0.95      // chance of being late beyond which a job is not worth its work
	crowdGain  = 0.05      // weight of one attempt in that share
	failGain   = 0.2       // weight of one answer in its zone's share of errors
	crowdFrom  = 0.5       // share of attempts that find no free slot from which slow starts are nobody's fault
	sightSpan  = 2.5       // running times over which a sighting fades: a queue outlives the jobs in it
	seenGain   = 0.1       // weight of one sighting in the mean backlog of a kind or zone
	seenFirst  = 0.3       // that mean before any sighting, in running times: somewhat over half busy
	hangMisses = 2         // start notes missing in a row, with no sign of life, that make a worker suspect
	takenAfter = 500_000   // us in which workers that tell so have taken a job: ten times what was ever seen
	hearSpan   = 3_000_000 // us for which a sign of life vouches for a worker
	newsSpan   = 2_000_000 // us for which what the other schedulers tell counts as seeing the whole
	homesTaken = 3         // homes of a data set compared then: were it all, those that hear the same would go to the same one
	moveGain   = 0.1       // least fall in expected loss, in mean jobs, for which a waiting job is taken elsewhere
)

// ---- Value function ----

// Equation (16) in units of d, with q = (tau-u)/d and s = tau/d, is
//
//	v(u)-v(tau) = G(q) - G'(s) q   for q > 0,   -G'(s) q   for q <= 0,
//
// where G(q) = sum over k<m of (e^-z Σ z^j/j! - 1), z = rho (k-q), depends on rho and q alone. The sum alternates and
// cancels for large rho q; the delay equation that it solves, G' = rho (1 + G(q) - G(q-1)), G = 0 for q <= 0, has no
// growing mode for rho < 1, so stepping it forward is stable. G'(s) equals rho/(1-rho) P(W <= tau), which makes v'(0) =
// 0. The stepping is in logic/table.go.

// tableFor is the table nearest to a utilisation.
func tableFor(rho float64) *valueTable {
	i := int(rho/rhoMax*rhoLevels+0.5) - 1
	return &tables[min(max(i, 0), rhoLevels-1)]
}

// at is G(q).
func (t *valueTable) at(q float64) float64 {
	if !(q > 0) {
		return 0
	}
	p := q / gridStep
	i := int(p)
	if last := len(t.g) - 1; i >= last {
		return t.g[last] + (q-gridSpan)*t.rho/(1-t.rho)
	}
	return t.g[i] + (p-float64(i))*(t.g[i+1]-t.g[i])
}

// slope is G'(s): the steepness of the value function past its deadline.
func (t *valueTable) slope(s float64) float64 {
	if s <= 0 {
		return 0
	}
	return t.rho * (1 + t.at(s) - t.at(s-1))
}

// ---- Start ----

// New makes a scheduler for a configuration; seed feeds its random choices. It reports an unusable setting.
func New(cfg Config, seed uint64) (*Scheduler, error) {
	if len(cfg.Classes) == 0 {
		return nil, errors.New("config: Classes is empty")
	}
	cfg.Schedulers = max(cfg.Schedulers, 1)
	cfg.MaxAttempts = min(max(cfg.MaxAttempts, 1), maxTries)
	cfg.Zones = max(cfg.Zones, 1)
	cfg.Resolution = orDefault(cfg.Resolution, 1000)
	cfg.FallWindow = orDefault(cfg.FallWindow, 1_000_000)
	cfg.StartCapacity, cfg.FallMultiple = orDefault(cfg.StartCapacity, 0.1), orDefault(cfg.FallMultiple, 1)
	cfg.Classes = slices.Clone(cfg.Classes)
	n := len(cfg.Classes)
	s := &Scheduler{
		cfg: cfg, rand: seed*0x9E3779B97F4A7C15 | 1, byID: map[WorkerID]int32{}, byJob: map[JobID]int32{},
		homes: map[uint64]*homes{}, lists: 1,
		classRate: make([]float64, n), classWork: make([]float64, n),
		classShare: make([]float64, n), weight: make([]float64, n),
		base: make([]float64, cfg.Zones), used: make([]float64, len(cfg.Tenants)),
		usedAt: make([]int64, len(cfg.Tenants)), table: tableFor(0.5), rho: 0.5,
		zones: make([]zone, cfg.Zones), seen: seenFirst,
	}
	for i := range cfg.Classes {
		c := &s.cfg.Classes[i]
		c.Deadline = orDefault(c.Deadline, 10_000_000)
		c.Aim = orDefault(c.Aim, c.Deadline)
		s.classWork[i] = float64(c.Aim) / 1e6
		s.classRate[i], s.classShare[i] = 0.01, 1
		s.fetch += s.classWork[i] / float64(n)
	}
	for z := range s.base {
		s.zones[z].seen = seenFirst
		s.base[z] = seconds(3 * cfg.Resolution)
		if z != cfg.Zone {
			s.base[z] = seconds(8 * cfg.Resolution)
		}
	}
	s.update()
	return s, nil
}

// begin takes the time of an event; a time that goes back counts as the latest seen.
func (s *Scheduler) begin(now int64, out []Action) {
	if s.started == 0 {
		s.started = max(now, 1)
		s.ratesAt = now
	}
	s.now = max(s.now, now)
	s.warmup = max(1-math.Exp(-seconds(s.now-s.started)/rateSpan), 0.02)
	s.out = out
}

// end arms the wake-up for the earliest timer and hands the actions back.
func (s *Scheduler) end() []Action {
	if len(s.timers) > 0 {
		if at := s.timers[0].at; s.armed == 0 || at < s.armed || s.armed <= s.now {
			s.armed = max(at, s.now+1)
			s.do(Action{Kind: ActWake, At: s.armed})
		}
	}
	out := s.out
	s.out = nil
	return out
}

func (s *Scheduler) do(a Action) { s.out = append(s.out, a) }

// ---- Worker list ----

// Workers takes a list event.
func (s *Scheduler) Workers(now int64, how ListKind, list []WorkerInfo, out []Action) []Action {
	s.begin(now, out)
	switch how {
	case ListFailed:
		// The old list holds; the call is repeated ever less often, or its callers keep down a list service that is overrun.
		gap := min(int64(askGap)<<min(s.askTry, 4), askMost)
		s.askTry++
		s.timer(s.now+gap/2+int64(s.uniform()*float64(gap)), timerAsk, 0, 0)
		return s.end()
	case ListFull, ListCached:
		for i := range s.workers {
			s.workers[i].live = false
		}
	}
	for i := range list {
		s.take(&list[i])
	}
	s.ready = s.ready[:0]
	for i := range s.workers {
		w := &s.workers[i]
		if w.live {
			s.ready = append(s.ready, int32(i))
		} else if w.known && w.outs == 0 {
			s.drop(int32(i))
		}
	}
	slices.SortFunc(s.ready, func(a, b int32) int {
		return int(int64(s.workers[a].info.ID) - int64(s.workers[b].info.ID))
	})
	s.refreshed = 0
	s.lists++
	if how != ListCached {
		s.askTry = 0
	} else if s.cfg.MustAsk && !s.asked {
		s.asked = true
		s.do(Action{Kind: ActSubscribe})
	}
	return s.end()
}

// take applies one entry of the list.
func (s *Scheduler) take(e *WorkerInfo) {
	i, ok := s.byID[e.ID]
	if !ok {
		if e.Phase == Gone {
			return
		}
		i = s.newWorker()
		s.byID[e.ID] = i
	}
	w := &s.workers[i]
	if w.info.UpSince != e.UpSince {
		// A new process: what was held against the old one is void, as is its backlog of others.
		w.fails, w.ejected, w.bg, w.bgAt = 0, 0, 0, s.now
		w.keys, w.run, w.work = [keysKept]uint64{}, 0, 0
	}
	w.info = *e
	w.known = true
	w.live = e.Phase == Ready
	w.derivedAt = 0
	if w.info.Kind < 0 || w.info.Kind >= maxKinds {
		w.info.Kind = maxKinds
	}
	for len(s.kinds) <= w.info.Kind {
		s.kinds = append(s.kinds, kind{seen: seenFirst})
	}
	if w.info.Zone < 0 || w.info.Zone >= s.cfg.Zones {
		w.info.Zone = 0
	}
	if !(w.info.Weight > 0) || math.IsInf(w.info.Weight, 0) {
		w.info.Weight = 1
	}
}

// ---- Shared estimates ----

// count books an arrival into the decayed rates.
func (s *Scheduler) count(j *job) {
	s.decay()
	s.rate += 1 / rateSpan
	s.classRate[j.class] += 1 / rateSpan
}

// decay lets the rates fade to the present.
func (s *Scheduler) decay() {
	if dt := seconds(s.now - s.ratesAt); dt > 0 {
		keep := math.Exp(-dt / rateSpan)
		s.rate *= keep
		s.workRate *= keep
		for i := range s.classRate {
			s.classRate[i] *= keep
		}
		s.ratesAt = s.now
	}
}

// update renews the estimates that all workers share: the mix of classes, the utilisation that the load-equalising
// split gives every worker, and with it the table of the value function.
// Departure from the design page: lambda is the fleet's (own rate x schedulers), since u estimates the others' work too.
func (s *Scheduler) update() {
	if s.refreshed != 0 && s.now-s.refreshed < refresh {
		return
	}
	s.refreshed = s.now
	total, work, worth := 0.0, 0.0, 0.0
	for i, r := range s.classRate {
		r += 1e-3
		total += r
		work += r * s.classWork[i]
		worth += r * s.jobWorth(i, s.classWork[i])
	}
	s.meanWork, s.meanWorth = max(work/total, 1e-4), max(worth/total, 1e-9)
	for i, r := range s.classRate {
		c := &s.cfg.Classes[i]
		s.weight[i] = (r + 1e-3) / total * s.jobWorth(i, s.classWork[i]) / s.meanWorth *
			(1 - c.LateWorth) * s.classShare[i]
	}
	capacity := 0.0
	for _, i := range s.ready {
		w := &s.workers[i]
		capacity += s.slotsOf(w) / s.paceOf(w)
	}
	own := s.workRate / s.warmup
	if capacity > 0 {
		// A handful of jobs says little of the fleet's rate, and a cost that jumps with each of them is none.
		jobs := s.rate * rateSpan
		s.rho = (own*float64(s.cfg.Schedulers)/capacity*jobs + 0.5*rhoPrior) / (jobs + rhoPrior)
		s.rho = min(max(s.rho, 0.05), rhoMax)
		s.perWorker = capacity / float64(len(s.ready))
	}
	if t := tableFor(s.rho); t != s.table {
		s.table, s.tables = t, s.tables+1
	}
}

func (s *Scheduler) jobWorth(class int, work float64) float64 {
	if s.cfg.WorthByWork {
		return s.cfg.Classes[class].Worth * work
	}
	return s.cfg.Classes[class].Worth
}

// paceOf is a worker's running time for a second of work: its own runs, on a prior of its kind's, on a prior of all
// workers'.
func (s *Scheduler) paceOf(w *worker) float64 {
	p := priorJobs * max(s.meanWork, 1e-3)
	return (w.run + p*s.kindPace(&s.kinds[w.info.Kind])) / (w.work + p)
}

// kindPace is the same for a worker of a kind of which nothing of its own is known.
func (s *Scheduler) kindPace(k *kind) float64 {
	p := priorJobs * max(s.meanWork, 1e-3)
	fleet := (s.all.run + p) / (s.all.work + p)
	return (k.run + p*fleet) / (k.work + p)
}

func (s *Scheduler) slotsOf(w *worker) float64 {
	k := &s.kinds[w.info.Kind]
	if k.slots > 0 {
		return max(k.slots, k.ran, 1)
	}
	return max(k.ran, firstSlots)
}

// derive renews what placement needs of a worker.
func (s *Scheduler) derive(w *worker) {
	if w.derivedAt != 0 && s.now-w.derivedAt < refresh && w.tables == s.tables {
		return
	}
	w.derivedAt, w.tables = s.now, s.tables
	s.fadePace(w)
	w.pace = s.paceOf(w)
	slots := s.slotsOf(w)
	w.drain = w.pace / slots
	w.d = w.drain * s.meanWork
	w.slots = slots
	w.slack = w.room(1, s.meanWork)
	base := s.base[w.info.Zone]
	for c := range w.tau {
		w.tau[c] = s.bearable(w, &s.cfg.Classes[c], s.classWork[c], base)
		w.slope[c] = s.table.slope(w.tau[c] / w.d)
	}
}

// room is the backlog that a worker holds, on average, when a job of so many slots just fits without waiting.
func (w *worker) room(slots, meanWork float64) float64 {
	return max(w.slots-slots, 0) / w.slots * tailRoom * w.pace * meanWork
}

// bearable is the paper's tau for a job: its aim bounds the sojourn, so the running time on this worker and the way
// there come off; the slots that must fill up before anything waits go on top.
func (s *Scheduler) bearable(w *worker, c *Class, work, base float64) float64 {
	return seconds(c.Aim) + c.Stretch*work - base*1.5 - w.pace*work + w.slack
}

// backlog is u: own outstanding work and an estimate of the others', which returns from what was last seen to the mean
// as jobs turn over.
func (s *Scheduler) backlog(w *worker) float64 {
	own := w.own * w.drain
	n := float64(s.cfg.Schedulers)
	if n < 2 {
		return own
	}
	run := w.pace * s.meanWork
	k, z := &s.kinds[w.info.Kind], &s.zones[w.info.Zone]
	mean := max(k.seen+z.seen-s.seen, 0) * run * s.leaning(w)
	if w.bgAt == 0 {
		return own + mean
	}
	t := seconds(s.now-w.bgAt) / max(sightSpan*run, 0.05)
	return own + mean + (w.bg-mean)/(1+t+t*t/2)
}

// leaning is how much longer a worker's queue is taken to be for this scheduler's own choices of late. What draws it to a
// worker draws all that hold the same list; one that had more than its part of this one's jobs had more of theirs too.
func (s *Scheduler) leaning(w *worker) float64 {
	if s.cfg.Schedulers <= fewSeers || s.perWorker <= 0 {
		return 1
	}
	fair := s.rate * rateSpan * s.slotsOf(w) / w.pace / (s.perWorker * float64(len(s.ready)))
	m := (w.sent*math.Exp(-seconds(s.now-w.sentAt)/rateSpan) + 1) / (fair + 1)
	return m * m
}

// lateChance is the paper's 1(u >= tau) averaged over the error of the estimated backlog, taken as a gamma law of shape
// 2 around it.
func lateChance(tau, u float64) float64 {
	if tau <= 0 {
		return 1
	}
	z := 2 * tau / max(u, 1e-6)
	return (1 + z) * math.Exp(-z)
}

// ---- Cost of a placement ----

// cost is the admission cost of a job at a worker in mean jobs' worth, with the chance that the job is late.
func (s *Scheduler) cost(j *job, w *worker) (total, late float64) {
	s.derive(w)
	miss := s.missChance(j, w)
	fetch := miss * s.fetch
	c := &s.cfg.Classes[j.class]
	u := s.backlog(w)
	run := w.pace*j.work + fetch
	tau := seconds(j.aimAt-s.now) - s.base[w.info.Zone]*1.5 - run + w.room(j.slots, s.meanWork)
	late = lateChance(tau, u)
	x := j.slots * (j.work + fetch/w.pace) / s.meanWork
	for i, h := range s.weight {
		q := (w.tau[i] - u) / w.d
		total += h * (s.table.at(q-x) - s.table.at(q) + w.slope[i]*x)
	}
	total += j.worth*max(late*(1-c.LateWorth), s.failChance(w)) + s.crossing(w) + missPrice*miss
	if s.now < w.ejected {
		total += ejectCost * j.worth
	}
	if s.warmth(w) < 1 {
		total -= warmGain
	}
	return total, late
}

// failChance is the chance that a worker takes no job or answers with an error; of one not known yet it is its zone's,
// since zones fail as a whole. One that answers errors at once is never busy, and would be the cheapest of all.
func (s *Scheduler) failChance(w *worker) float64 {
	return (w.failed + failPrior*s.zones[w.info.Zone].failing) / (w.failed + w.well + failPrior)
}

// fail notes an answer with an error, or that nobody was there to take a job.
func (s *Scheduler) fail(w *worker) {
	s.fadePace(w)
	w.failed++
	s.zones[w.info.Zone].failing += (1 - s.zones[w.info.Zone].failing) * failGain
}

// crossing is the price of leaving the zone, in mean jobs.
func (s *Scheduler) crossing(w *worker) float64 {
	if w.info.Zone == s.cfg.Zone {
		return 0
	}
	return s.cfg.PriceCross
}

// missChance is the chance that a worker must fetch a job's data set. It makes the job's running time there longer,
// which is how affinity enters the cost. Schedulers that cannot talk agree on homes by hash.
func (s *Scheduler) missChance(j *job, w *worker) float64 {
	if j.key == 0 {
		return 0
	}
	for _, k := range w.keys {
		if k == j.key {
			return 1 - hitOwn
		}
	}
	h := s.homesOf(j.key)
	wanted := s.homesWanted(h)
	for r, i := range h.ids {
		if i >= 0 && &s.workers[i] == w {
			return 1 - max(hitOwn-homeFade*max(float64(r+1)-wanted, 0), hitElse)
		}
	}
	return 1 - hitElse
}

// homesOf ranks the first workers of a data set by a hash weighted by size, alike at all schedulers with the same list.
func (s *Scheduler) homesOf(key uint64) *homes {
	h := s.home(key)
	if h.list == s.lists {
		return h
	}
	h.list = s.lists
	var best [keyHomes]float64
	for r := range h.ids {
		h.ids[r], best[r] = -1, math.Inf(1)
	}
	for _, i := range s.ready {
		w := &s.workers[i]
		v := -math.Log((float64(mix(key^mix(uint64(w.info.ID)))>>11)+0.5)/(1<<53)) / w.info.Weight
		if v >= best[keyHomes-1] {
			continue
		}
		for r := range h.ids {
			if v < best[r] {
				v, best[r] = best[r], v
				i, h.ids[r] = h.ids[r], i
			}
		}
	}
	return h
}

// home is what is kept of a data set.
func (s *Scheduler) home(key uint64) *homes {
	if s.homes[key] == nil {
		if len(s.homes) >= homesKept {
			clear(s.homes)
		}
		s.homes[key] = &homes{}
	}
	return s.homes[key]
}

// homesWanted is how many workers the demand for a data set fills: the hotter it is, the further down the common
// ranking it is found. Guards against a hot one that overflows to other workers at each scheduler.
func (s *Scheduler) homesWanted(h *homes) float64 {
	load := h.load / s.warmup * float64(s.cfg.Schedulers)
	if s.now < h.toldTill {
		load = h.load/s.warmup + h.told
	}
	return max(load*s.meanWork/max(homeFill*s.perWorker, 1e-3), 1)
}

// demand books a job into the demand for its data set.
func (s *Scheduler) demand(j *job) {
	if j.key == 0 {
		return
	}
	h := s.homesOf(j.key)
	h.load = h.load*math.Exp(-seconds(s.now-h.at)/rateSpan) + j.slots/rateSpan
	h.at = s.now
}

// keep notes that a worker has a data set now.
func (w *worker) keep(key uint64) {
	if key == 0 {
		return
	}
	n := slices.Index(w.keys[:], key)
	if n < 0 {
		n = len(w.keys) - 1
	}
	copy(w.keys[1:n+1], w.keys[:n])
	w.keys[0] = key
}

type choice struct {
	w                 int32
	total, late, load float64
}

// choose finds the worker of lowest cost that the job may go to; w is -1 if there is none. Many schedulers that each see
// a part would all pick the same few of all workers, so each compares a sample drawn from the load-equalising split.
func (s *Scheduler) choose(j *job) choice {
	s.update()
	best := choice{w: -1}
	n := uint64(len(s.ready))
	all := s.cfg.Schedulers <= fewSeers || n <= scanMost
	if !all && j.key != 0 {
		h := s.homesOf(j.key)
		wanted := uint64(math.Ceil(s.homesWanted(h)))
		for r, i := range h.ids {
			if i >= 0 && (s.now >= s.heardTill || wanted <= 2 || uint64(r) < wanted && s.random()%wanted < homesTaken) {
				s.consider(j, i, &best)
			}
		}
	}
	for _, i := range s.ready {
		if all || s.random()%n < scanMost || s.warmth(&s.workers[i]) < 1 {
			s.consider(j, i, &best)
		}
	}
	for _, i := range s.ready {
		if best.w < 0 && !all {
			s.consider(j, i, &best)
		}
	}
	return best
}

func (s *Scheduler) consider(j *job, i int32, best *choice) {
	w := &s.workers[i]
	k := s.cfg.Classes[j.class].WorkerKind // the only kind that can run it, if any
	if k >= 0 && k != w.info.Kind || !s.mayRepeat(j, w) || !s.coldAllows(w, j.most*j.slots) || j.tried(i) {
		return
	}
	total, late := s.cost(j, w)
	u := s.backlog(w)
	if best.w < 0 || total < best.total || total == best.total && u < best.load {
		*best = choice{w: i, total: total, late: late, load: u}
	}
}

// ---- The four rules ----

// mayRepeat guards against a second effect: every attempt, first or further, passes it.
func (s *Scheduler) mayRepeat(j *job, w *worker) bool {
	if s.spent(j) || j.done {
		return false
	}
	c := &s.cfg.Classes[j.class]
	for k := range j.n {
		a := &j.att[k]
		if a.out && !s.cfg.MayCopy {
			return false
		}
		if a.never {
			continue
		}
		switch c.Repeat {
		case RepeatSafe:
		case RepeatKeyed:
			if s.now-a.sent > c.Window-4*s.cfg.Resolution || !sameGroup(c.Group, a, w) {
				return false
			}
		default:
			return false
		}
	}
	return true
}

func sameGroup(g Group, a *attempt, w *worker) bool {
	return g == GroupAll || a.zone == w.info.Zone && (g == GroupZone || a.cell == w.info.Cell)
}

// spent tells whether a job has had all its attempts. What found nobody may not count, but has an end as well.
func (s *Scheduler) spent(j *job) bool { return j.n-j.free >= s.cfg.MaxAttempts || j.n >= maxTries }

// mayRefuse tells whether 'trying again is harmless' is true of a job.
func (s *Scheduler) mayRefuse(j *job) bool {
	c := &s.cfg.Classes[j.class]
	if c.Repeat == RepeatSafe || c.Repeat == RepeatKeyed && c.Group == GroupAll {
		return true
	}
	return !slices.ContainsFunc(j.att[:j.n], func(a attempt) bool { return !a.never })
}

// coldAllows keeps a worker that has just started from being pushed over: what it can take is dealt to schedulers by hash.
func (s *Scheduler) coldAllows(w *worker, work float64) bool {
	if s.warmth(w) >= 1 {
		return true
	}
	slot := s.now / s.cfg.FallWindow
	if w.coldSlot != slot {
		w.coldSlot, w.coldUsed = slot, 0
	}
	k := &s.kinds[w.info.Kind]
	capacity := min(s.slotsOf(w), max(k.slots, firstSlots)) / max(s.kindPace(k), 1)
	budget := coldSafety * s.cfg.FallMultiple * s.warmth(w) * capacity * seconds(s.cfg.FallWindow)
	n := uint64(s.cfg.Schedulers)
	turns := min(max(uint64(budget/s.meanWork), 1), n)
	if (uint64(s.cfg.Self)+mix(uint64(w.info.ID)<<20^uint64(slot)))%n >= turns {
		return false
	}
	return w.coldUsed+work <= budget/float64(turns)
}

// warmth is the share of its capacity that a worker is taken to have. It lags behind time, since work is what warms it.
func (s *Scheduler) warmth(w *worker) float64 {
	if s.cfg.Cold <= 0 || w.info.UpSince <= 0 || s.now-w.info.UpSince >= s.cfg.Cold {
		return 1
	}
	x := seconds(max(s.now-w.info.UpSince, 0)) / seconds(s.cfg.Cold)
	return s.cfg.StartCapacity + (1-s.cfg.StartCapacity)*x*x
}

// finish gives the final answer that the rules permit and calls off what is still out.
func (s *Scheduler) finish(i int32) {
	j := &s.jobs[i]
	s.settle(j)
	a := Action{Kind: ActFail, Job: j.id}
	if s.mayRefuse(j) {
		a.Kind, a.After = ActRefuse, s.retryAfter()
	}
	s.do(a)
	s.release(i)
}

// retryAfter tells a client that was refused when to come back: after the wait that jobs see before they start, which
// is about how long it takes for a place to become free.
func (s *Scheduler) retryAfter() int64 {
	return min(max(int64(s.waits*1e6), holdGap), s.cfg.MaxRetryAfter)
}

// settle marks a job as answered and calls off its attempts.
func (s *Scheduler) settle(j *job) {
	j.done = true
	for k := range j.n {
		s.callOff(j, k)
	}
}

// callOff stops waiting for an attempt, which frees what it holds where workers drop cancelled work.
func (s *Scheduler) callOff(j *job, k int) {
	a := &j.att[k]
	if !a.out || a.cancelled || !s.cfg.MayCancel {
		return
	}
	a.cancelled = true
	s.unload(a)
	s.do(Action{Kind: ActCancel, Job: j.id, Attempt: k})
}

// unload takes an attempt's work off its worker's backlog at once.
func (s *Scheduler) unload(a *attempt) {
	w := &s.workers[a.w]
	w.own = max(w.own-a.x, 0)
	a.x = 0
}

// send starts the next attempt of a job.
func (s *Scheduler) send(j *job, i int32) {
	w := &s.workers[i]
	miss := s.missChance(j, w)
	x := (j.work + miss*s.fetch/w.pace) * j.slots
	w.keep(j.key)
	j.att[j.n] = attempt{w: i, out: true, zone: w.info.Zone, cell: w.info.Cell, sent: s.now, x: x, miss: miss}
	j.n++
	j.live++
	w.outs++
	w.own += x
	w.coldUsed += max(x, j.most*j.slots)
	w.sent, w.sentAt = w.sent*math.Exp(-seconds(s.now-w.sentAt)/rateSpan)+1, s.now
	s.do(Action{Kind: ActSend, Job: j.id, Worker: w.info.ID, Timeout: max(j.deadline-s.now, 1)})
}

// ---- Arrival and review ----

// Arrive takes a new job.
func (s *Scheduler) Arrive(now int64, in Job, out []Action) []Action {
	s.begin(now, out)
	if _, dup := s.byJob[in.ID]; dup {
		return s.end()
	}
	i := s.newJob()
	s.byJob[in.ID] = i
	j := &s.jobs[i]
	class := in.Class
	if class < 0 || class >= len(s.cfg.Classes) {
		class = len(s.cfg.Classes) - 1
	}
	c := &s.cfg.Classes[class]
	*j = job{id: in.ID, held: true, gen: j.gen + 1, class: class, tenant: in.Tenant, key: in.Key, slots: 1,
		work: s.classWork[class], most: s.classWork[class], arrived: s.now, deadline: in.Deadline}
	if in.Hint > 0 {
		hint, mean := seconds(in.Hint), &s.classWork[class]
		j.work = math.Pow(*mean, 1-hintTrust) * math.Pow(hint, hintTrust)
		j.most = max(j.work, hint)
		*mean += (hint - *mean) * 0.05
	}
	for _, need := range [...]float64{in.Slots, in.Memory} { // a worker has a unit of memory for each slot
		if need > j.slots && need < 1e6 {
			j.slots = need
		}
	}
	if j.deadline <= 0 {
		j.deadline = s.now + c.Deadline
	}
	asked := s.now
	if in.Repeated || s.cfg.HidesRetry {
		// Its aim runs from the first try. What is left to the client tells when that was; served late it is worth nothing.
		asked = min(asked, j.deadline-c.Deadline)
	}
	j.aimAt = min(asked+c.Aim+int64(c.Stretch*j.work*1e6), j.deadline)
	s.count(j)
	s.update()
	s.demand(j)
	share := s.share(in.Tenant)
	s.classShare[class] += (share - s.classShare[class]) * 0.03
	j.worth = s.jobWorth(class, j.work) / s.meanWorth * share
	s.place(i)
	return s.end()
}

// share is the fraction of its worth that a tenant's next job earns: full within this scheduler's part of the quota,
// the configured rest beyond it.
func (s *Scheduler) share(t int) float64 {
	switch {
	case len(s.used) == 0:
		return 1
	case t < 0 || t >= len(s.used):
		return s.cfg.OverShare // where there are shares, who is not named has none
	case s.cfg.Tenants[t].Quota <= 0:
		return 1
	}
	rate := s.cfg.Tenants[t].Quota / float64(s.cfg.Schedulers)
	const burst = 4.0 // seconds of quota that may be saved up: rides out the unevenness of one scheduler's part
	room := max(rate*burst, 2)
	s.used[t] = max(s.used[t]-rate*seconds(s.now-s.usedAt[t]), 0)
	s.usedAt[t] = s.now
	if s.used[t]+1 <= room {
		s.used[t]++
		return 1
	}
	return s.cfg.OverShare
}

// place sends a job to the worker of lowest cost, holds it while there is none, or refuses it when it is in vain.
func (s *Scheduler) place(i int32) {
	j := &s.jobs[i]
	if s.now >= s.lastCall(j) {
		s.finish(i)
		return
	}
	b := s.choose(j)
	if b.w < 0 {
		if s.spent(j) || j.n > 0 && !s.repeatable(j) {
			s.finish(i)
			return
		}
		s.reviewAt(i, s.now+holdGap)
		return
	}
	if s.vain(j, b.late) {
		s.finish(i)
		return
	}
	s.send(j, b.w)
	s.reviewAt(i, s.now+s.checkAfter(b.w))
}

// repeatable tells whether a worker that was not tried could be sent the job, else it would be held until its deadline.
func (s *Scheduler) repeatable(j *job) bool {
	return slices.ContainsFunc(s.ready, func(i int32) bool { return s.mayRepeat(j, &s.workers[i]) && !j.tried(i) })
}

// lastCall is when a job must be answered: one tick before the client's time is up.
func (s *Scheduler) lastCall(j *job) int64 { return j.deadline - s.cfg.Resolution }

// checkAfter is how long a job that starts at once needs to say so.
func (s *Scheduler) checkAfter(i int32) int64 {
	return int64(2*s.base[s.workers[i].info.Zone]*1e6) + s.cfg.Resolution
}

// reviewAt sets when a job is next looked at; never later than its last call.
func (s *Scheduler) reviewAt(i int32, at int64) {
	j := &s.jobs[i]
	j.review = min(at, s.lastCall(j))
	s.timer(j.review, timerJob, i, j.gen)
}

// look reviews a job whose time has come.
func (s *Scheduler) look(i int32) {
	j := &s.jobs[i]
	if j.done {
		return
	}
	if s.now >= s.lastCall(j) {
		s.finish(i)
		return
	}
	if j.live == 0 {
		s.place(i)
		return
	}
	last := &j.att[j.n-1]
	if s.now >= s.stallAt(last) {
		// Its worker stands still, or the connection has fallen silent.
		s.eject(&s.workers[last.w])
		if s.cfg.MayCancel && s.elsewhere(j).w >= 0 {
			s.callOff(j, j.n-1)
		}
		s.reviewAt(i, s.lastCall(j))
		return
	}
	if s.cfg.TellsStart && !slices.ContainsFunc(j.att[:j.n], func(a attempt) bool { return a.out && !a.cancelled && a.started != 0 }) {
		s.noStart(j)
		if s.elsewhereHelps(i) {
			return
		}
		if s.cfg.MayCancel && s.vain(j, s.lateWhereItIs(j)) {
			s.finish(i)
			return
		}
		s.reviewAt(i, s.now+s.checkAfter(last.w))
		return
	}
	s.reviewAt(i, s.stallAt(last))
}

// stallAt is when a job of which nothing is heard is taken to be stuck: at a worker that has not even said that it has
// taken it, where others did, or while it runs and should tell of progress. The first such note may come half an interval late.
func (s *Scheduler) stallAt(a *attempt) int64 {
	switch {
	case !a.out || a.cancelled || a.started == 0 && (a.taken || !s.tellsTaken) || a.started != 0 && s.cfg.Progress <= 0:
		return math.MaxInt64
	case a.started == 0:
		return a.sent + takenAfter
	}
	at := a.noted + s.cfg.Progress + s.cfg.Progress/4
	if a.noted == a.started {
		at += s.cfg.Progress / 2
	}
	return at
}

// noStart takes the missing start notes of a job as evidence that its workers have no free slot.
func (s *Scheduler) noStart(j *job) {
	for k := range j.n {
		a := &j.att[k]
		if !a.out || a.started != 0 {
			continue
		}
		w := &s.workers[a.w]
		s.derive(w)
		if waited := seconds(s.now - a.sent); a.stale {
			// What has waited so long may well wait as long again; no outcome will tell before the wait is over.
			w.bg, w.bgAt = max(w.bg, w.slack+waitsOn*waited-w.own*w.drain), s.now
			continue
		}
		a.stale = true
		s.crowd += (1 - s.crowd) * crowdGain
		s.seeOthers(w, w.slack+w.d+s.waits)
		// One that takes jobs and starts none looks like a free one: its queue is never heard of. Where the whole fleet
		// is slow to start, that is crowding and nobody is ejected for it.
		if w.misses++; w.misses >= hangMisses && s.now-w.heard > hearSpan && s.crowd < crowdFrom {
			s.eject(w)
		}
	}
}

// elsewhereHelps takes a job that waits unstarted to the worker that is now cheapest, where the loss expected there is
// lower by moveGain. Exception to send-and-forget: it acts only where workers tell of starts, attempts can be called off
// and the class may be repeated. Where copies are allowed the first to start wins; else the job is called off first.
func (s *Scheduler) elsewhereHelps(i int32) bool {
	j := &s.jobs[i]
	last := &j.att[j.n-1]
	if !s.cfg.MayCancel || s.spent(j) || last.cancelled ||
		!s.cfg.MayCopy && s.cfg.Classes[j.class].Repeat != RepeatSafe {
		return false
	}
	b := s.elsewhere(j)
	if b.w < 0 || j.worth*(s.lateWhereItIs(j)-b.late) < moveGain+s.crossing(&s.workers[b.w]) {
		return false
	}
	if s.cfg.MayCopy {
		s.send(j, b.w)
		s.reviewAt(i, s.now+s.checkAfter(b.w))
	} else {
		s.callOff(j, j.n-1)
		s.reviewAt(i, s.lastCall(j))
	}
	return true
}

// elsewhere is the best worker for a job once its latest attempt is over, or for a copy of it.
func (s *Scheduler) elsewhere(j *job) choice {
	last := &j.att[j.n-1]
	out := last.out
	last.out = out && s.cfg.MayCopy
	b := s.choose(j)
	last.out = out
	return b
}

// vain tells whether a job so likely late only keeps others waiting. One that can't be refused is failed where most jobs
// wait, of which each of many schedulers sees a part.
func (s *Scheduler) vain(j *job, late float64) bool {
	n := float64(s.cfg.Schedulers)
	if s.now < s.heardTill {
		n = 1 // the others' part is seen as well
	}
	return late >= hopeless && s.cfg.Classes[j.class].LateWorth <= 0 && (s.mayRefuse(j) || s.crowd*n >= crowdFrom*min(fewSeers, n))
}

// lateWhereItIs is the least chance of being late over the workers that a job waits at.
func (s *Scheduler) lateWhereItIs(j *job) float64 {
	least := 1.0
	for k := range j.n {
		if a := &j.att[k]; a.out && !a.cancelled {
			_, late := s.cost(j, &s.workers[a.w])
			least = min(least, late)
		}
	}
	return least
}

// HangUp takes the news that a client has left.
func (s *Scheduler) HangUp(now int64, id JobID, out []Action) []Action {
	s.begin(now, out)
	if i, ok := s.byJob[id]; ok && !s.jobs[i].done {
		s.settle(&s.jobs[i])
		s.release(i)
	}
	return s.end()
}

// release lets go of a job that is answered and has nothing out.
func (s *Scheduler) release(i int32) {
	j := &s.jobs[i]
	if !j.held || !j.done || j.live > 0 {
		return
	}
	delete(s.byJob, j.id)
	j.held = false
	j.gen++
	s.freeJ = append(s.freeJ, i)
}

// ---- Notes and outcomes ----

// Started takes the note that an attempt's job has begun to run.
func (s *Scheduler) Started(now int64, id JobID, k int, out []Action) []Action {
	s.begin(now, out)
	i, j, a := s.find(id, k)
	if a == nil || a.started != 0 || a.cancelled {
		return s.end()
	}
	a.started, a.noted = s.now, s.now
	if !a.stale {
		s.crowd -= s.crowd * crowdGain
	}
	w := &s.workers[a.w]
	s.derive(w)
	w.own = max(w.own-a.x*tailRoom, 0) // a running job has about half of its work left
	a.x *= 1 - tailRoom
	w.running += j.slots
	kd := &s.kinds[w.info.Kind]
	kd.ran += max(w.running-kd.ran, 0) * 0.2 // jobs that run side by side show slots where nothing reports them
	s.wellness(w)
	s.learnStart(w, seconds(s.now-a.sent))
	if !j.done {
		for o := range j.n {
			if o != k && j.att[o].started == 0 {
				s.callOff(j, o)
			}
		}
		s.reviewAt(i, s.stallAt(a))
	}
	return s.end()
}

// learnStart learns from the time between sending and start: the way there when it was short, and the worker's backlog
// when it was not.
func (s *Scheduler) learnStart(w *worker, delay float64) {
	b := &s.base[w.info.Zone]
	if delay < *b {
		*b += (delay - *b) * 0.3
	} else {
		*b += (min(delay, 2**b) - *b) * 0.02
	}
	wait := max(delay-1.5**b-seconds(s.cfg.Resolution), 0)
	s.waits += (wait - s.waits) * 0.05
	if wait == 0 {
		s.seeOthers(w, w.slack*0.7)
	} else {
		s.seeOthers(w, w.slack+s.rho*wait)
	}
}

// seeOthers notes a backlog seen at a worker; what is this scheduler's own is taken off. The means by kind and by zone are what a worker not lately seen is taken to hold. They guard against a herd: all
// schedulers know the fast kind, and would all choose it were its queue not expected to be longer for that reason.
func (s *Scheduler) seeOthers(w *worker, u float64) {
	w.bg, w.bgAt = max(u-w.own*w.drain, 0), s.now
	v := w.bg / max(w.pace*s.meanWork, 1e-3)
	for _, m := range [...]*float64{&s.kinds[w.info.Kind].seen, &s.zones[w.info.Zone].seen, &s.seen} {
		*m += (v - *m) * seenGain
	}
}

// Heard takes slot-work that the other schedulers have at a worker, as of a time: a sighting like those of its own.
func (s *Scheduler) Heard(now int64, id WorkerID, work float64, at int64) {
	s.now = max(s.now, now)
	if i, ok := s.byID[id]; ok && at >= s.workers[i].bgAt {
		w := &s.workers[i]
		s.derive(w)
		s.seeOthers(w, (w.own+work)*w.drain)
		w.bgAt = min(at, s.now)
		s.heardTill = w.bgAt + newsSpan
	}
}

// HeardDemand takes the slots a second for which the others are asked with a data set, believed until a time.
func (s *Scheduler) HeardDemand(key uint64, load float64, until int64) {
	h := s.home(key)
	h.told, h.toldTill = load, until
}

// Progress takes the share of an attempt that is done; before its start it says only that the worker has taken it.
func (s *Scheduler) Progress(now int64, id JobID, k int, share float64, out []Action) []Action {
	s.begin(now, out)
	i, j, a := s.find(id, k)
	if a == nil {
		return s.end()
	}
	w := &s.workers[a.w]
	if a.started == 0 {
		a.taken, s.tellsTaken = true, true
		return s.end()
	}
	w.heard = s.now
	if share < 1 {
		a.share = max(a.share, share)
	}
	a.noted = s.now
	if !j.done && !a.cancelled {
		s.reviewAt(i, s.stallAt(a))
	}
	left := j.work * j.slots * (1 - a.share)
	w.own = max(w.own+left-a.x, 0)
	a.x = left
	return s.end()
}

// learnRun learns the pace of a worker, its kind and the fleet from a run.
func (s *Scheduler) learnRun(w *worker, run, work float64) {
	if run > 0 && work > 0 {
		s.fadePace(w)
		learnPace(&w.run, &w.work, run*s.warmth(w), work, paceKeep)
		if s.warmth(w) < 1 {
			return
		}
		k := &s.kinds[w.info.Kind]
		run = min(run, slowMost*s.kindPace(k)*work)
		learnPace(&k.run, &k.work, run, work, kindKeep)
		learnPace(&s.all.run, &s.all.work, run, work, kindKeep)
	}
}

// fadePace lets a worker's own runs fade to the present.
func (s *Scheduler) fadePace(w *worker) {
	keep := math.Exp(-seconds(s.now-w.paceAt) / paceSpan)
	w.run, w.work, w.paceAt = w.run*keep, w.work*keep, s.now
	w.failed, w.well = w.failed*math.Sqrt(keep), w.well*math.Sqrt(keep)
}

// Streaming takes the note that an attempt's answer has begun; it now belongs to the client.
func (s *Scheduler) Streaming(now int64, id JobID, k int, out []Action) []Action {
	s.begin(now, out)
	i, j, a := s.find(id, k)
	if a != nil && !j.done {
		s.wellness(&s.workers[a.w])
		j.done = true
		for o := range j.n {
			if o != k {
				s.callOff(j, o)
			}
		}
		s.release(i)
	}
	return s.end()
}

// Outcome takes the end of an attempt.
func (s *Scheduler) Outcome(now int64, o Outcome, out []Action) []Action {
	s.begin(now, out)
	i, j, a := s.find(o.Job, o.Attempt)
	if a == nil || s.workers[a.w].info.ID != o.Worker {
		return s.end()
	}
	w := &s.workers[a.w]
	a.out = false
	a.never = o.Result == Refused || o.Result == ConnectFailed || o.Result == Moot
	j.live--
	w.outs--
	if a.started != 0 {
		w.running -= j.slots
	}
	s.unload(a)
	s.derive(w)
	s.learnOutcome(j, a, w, &o)
	s.readReport(w, o.Report)
	if o.Settled || o.Result == Served {
		s.settle(j)
	} else if !j.done && j.live == 0 {
		s.place(i)
	}
	s.release(i)
	return s.end()
}

// ---- Learning and health ----

// learnOutcome learns pace and health from the end of an attempt.
func (s *Scheduler) learnOutcome(j *job, a *attempt, w *worker, o *Outcome) {
	switch o.Result {
	case Served:
		s.wellness(w)
		w.well++
		s.zones[w.info.Zone].failing *= 1 - failGain
		s.decay()
		s.workRate += (j.work + a.miss*s.fetch/w.pace) * j.slots / rateSpan
		run := seconds(o.Elapsed) - s.base[w.info.Zone]*1.5
		if a.started != 0 {
			run = seconds(s.now - a.started)
		} else if s.cfg.TellsStart {
			return
		} else {
			s.crowd -= s.crowd * crowdGain
		}
		if over := run - w.pace*j.work; j.key != 0 && over > s.fetch/2 {
			// It had to fetch, whatever was expected: a run that long says nothing of the pace.
			s.fetch += (min(over, 4*s.fetch) - s.fetch) * 0.03
			return
		}
		s.learnRun(w, run, j.work)
	case ConnectFailed, Broken:
		if s.eject(w); o.Result == ConnectFailed {
			// Nobody is there: a list will bring it back, or another process. Asking soon again costs a job an attempt.
			w.ejected = max(w.ejected, s.now+ejectMost)
			s.fail(w)
			if s.cfg.FreeConnects {
				j.free++
			}
		}
	case Refused:
		s.crowd += (1 - s.crowd) * crowdGain
		s.seeOthers(w, w.slack+2*w.d+4*s.waits)
	case Failed:
		s.fail(w)
	}
}

// wellness is passive health: a sign of life ends an ejection.
func (s *Scheduler) wellness(w *worker) {
	w.fails, w.ejected, w.heard, w.misses = 0, 0, s.now, 0
}

// eject keeps jobs off a worker for a time that doubles with each failure since its last sign of life: the emptied backlog
// of one that breaks off would make it the cheapest. It is a cost and not a ban, so a fleet ejected as a whole is still used.
func (s *Scheduler) eject(w *worker) {
	w.fails++
	span := min(int64(ejectFirst)<<min(w.fails-1, 6), ejectMost)
	w.ejected = s.now + span/2 + int64(s.uniform()*float64(span)/2)
}

// readReport takes a load report: slots of its kind, and the others' backlog.
func (s *Scheduler) readReport(w *worker, values []float32) {
	told := [...]float64{FieldInflight: -1, FieldQueue: -1, FieldService: -1, FieldRate: -1, FieldFreeSlots: -1}
	for n, v := range values {
		if f := float64(v); n < len(s.cfg.Reports) && f >= 0 && f <= 1e9 {
			told[s.cfg.Reports[n]] = f
		}
	}
	free, queue, held := told[FieldFreeSlots], told[FieldQueue], told[FieldInflight]
	busy := held
	if service, rate := told[FieldService]/1000, told[FieldRate]; busy < 0 && service >= 0 && rate >= 0 {
		busy = rate * service
	}
	if k := &s.kinds[w.info.Kind]; free > k.slots {
		k.slots = free
	} else {
		k.slots *= slotsFade
	}
	slots := s.slotsOf(w)
	if queue < 0 && held >= 0 {
		queue = max(held-slots, 0)
	}
	if free < 0 && busy >= 0 {
		free = max(slots-busy, 0)
	}
	// A report is as old as its period and delay; half of what was believed stays.
	u := s.backlog(w)
	switch {
	case free >= 0.5:
		s.seeOthers(w, u/2+tailRoom*w.pace*s.meanWork*max(slots-free, 0)/slots/2)
	case queue >= 0:
		s.seeOthers(w, u/2+(w.slack+w.d*(queue+0.5))/2)
	}
}

// ---- Timers ----

// The kinds of timers.
const (
	timerJob = iota
	timerAsk
)

func (s *Scheduler) timer(at int64, what int, job int32, gen uint32) {
	s.timers.push(timerEntry{at: at, what: what, job: job, gen: gen})
}

// Wake takes a wake-up. The token is not needed: what is due is due.
func (s *Scheduler) Wake(now int64, _ uint32, out []Action) []Action {
	s.begin(now, out)
	for len(s.timers) > 0 && s.timers[0].at <= s.now {
		t := s.timers.pop()
		switch {
		case t.what == timerAsk:
			s.do(Action{Kind: ActSubscribe})
		case s.jobs[t.job].gen == t.gen && s.jobs[t.job].review == t.at:
			s.look(t.job)
		}
	}
	return s.end()
}
