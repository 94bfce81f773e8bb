package logic

import (
	"math"
	"slices"
)

// Placing: the lowest cost among those that a job may go to (DESIGN, core).

const (
	maxTries   = 8      // attempts kept for a job; more than any retry helps
	hintTrust  = 0.65   // weight of the logarithm of a hint against that of the class's mean: hints are as noisy as jobs differ
	scanMost   = 12     // candidates compared where many schedulers each see a part: bounds CPU and herding
	fewSeers   = 4      // schedulers up to which each sees enough of the whole to compare all workers
	holdGap    = 40_000 // us between looks at a job that found no worker
	homesTaken = 3      // homes of a data set compared then: were it all, those that hear the same would go to the same one
)

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
	if s.doubt || k >= 0 && k != w.info.Kind || !s.mayRepeat(j, w) || !s.coldAllows(w, j.most*j.slots) || j.tried(i) {
		return
	}
	total, late := s.cost(j, w)
	u := s.backlog(w)
	if best.w < 0 || total < best.total || total == best.total && u < best.load {
		*best = choice{w: i, total: total, late: late, load: u}
	}
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
		work: s.classWork[class], most: s.classWork[class], arrived: s.now, deadline: in.Deadline, price: in.Price}
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
	share := s.share(in.Tenant, in.Share)
	s.classShare[class] += (share - s.classShare[class]) * 0.03
	j.worth = s.jobWorth(class, j.work) / s.meanWorth * share
	s.weighed = [...]float64{j.worth * s.meanWorth, j.work * j.slots, seconds(j.aimAt-s.now) - j.work}
	s.place(i)
	return s.end()
}

// share is the fraction of its worth that a tenant's next job earns: full within this scheduler's part of the quota,
// the configured rest beyond it. Where the fleet's own limits have decided it, that holds.
func (s *Scheduler) share(t int, decided float64) float64 {
	switch {
	case decided > 0:
		return decided
	case len(s.used) == 0:
		return 1
	case t < 0 || t >= len(s.used):
		return s.cfg.OverShare // where there are shares, who is not named has none
	case s.cfg.Tenants[t].Quota <= 0:
		return 1
	}
	rate := s.cfg.Tenants[t].Quota / float64(s.cfg.Schedulers)
	const burst = 4.0 // seconds of quota that may be saved up: rides out the unevenness of one scheduler's part
	s.used[t], s.usedAt[t] = max(s.used[t]-rate*seconds(s.now-s.usedAt[t]), 0), s.now
	if s.used[t]+1 <= max(rate*burst, 2) {
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
