package logic

import "math"

// Estimate of a worker's backlog u: this scheduler's own outstanding work plus an estimate of the other
// schedulers' work, from observations and from reports.

const (
	slotsDecay      = 0.9995    // decay of the most free slots seen at a kind, per load report
	observationSpan = 2.5       // running times over which an observation loses weight: a queue outlives the jobs in it
	backlogGain     = 0.1       // weight of one observation in the mean backlog of a kind or zone
	initialBacklog  = 0.3       // mean backlog before any observation, in running times: workers somewhat over half busy
	reportSpan      = 2_000_000 // us for which a report of the other schedulers' work counts as complete knowledge
)

// backlog returns u: own outstanding work plus an estimate of the others' work. The estimate returns from the
// last observation to the mean as jobs turn over.
func (s *Scheduler) backlog(w *worker) float64 {
	own := w.ownBacklog * w.drainTime
	n := float64(s.cfg.Schedulers)
	if n < 2 {
		return own
	}
	run := w.slowdown * s.meanWork
	k, z := &s.kinds[w.info.Kind], &s.zones[w.info.Zone]
	mean := max(k.meanBacklog+z.meanBacklog-s.meanBacklog, 0) * run * s.herdFactor(w)
	if w.othersBacklogAt == 0 {
		return own + mean
	}
	t := seconds(s.now-w.othersBacklogAt) / max(observationSpan*run, 0.05)
	return own + mean + (w.othersBacklog-mean)/(1+t+t*t/2)
}

// herdFactor scales the expected queue of a worker by this scheduler's own recent choices of it. Whatever makes
// a worker attractive does so for all schedulers with the same list: a worker that received more than its fair
// share of this scheduler's jobs received more of theirs too.
func (s *Scheduler) herdFactor(w *worker) float64 {
	if s.cfg.Schedulers <= fewSchedulers || s.perWorker <= 0 {
		return 1
	}
	fair := s.rate * rateTimeConstant * s.slotsOf(w) / w.slowdown / (s.perWorker * float64(len(s.ready)))
	m := (w.recentSends*math.Exp(-seconds(s.now-w.recentSendsAt)/rateTimeConstant) + 1) / (fair + 1)
	return m * m
}

// learnStartDelay learns from the time between sending and start: the network delay of the zone when it was
// short, and the worker's backlog when it was not.
func (s *Scheduler) learnStartDelay(w *worker, delay float64) {
	b := &s.baseDelay[w.info.Zone]
	if delay < *b {
		*b += (delay - *b) * 0.3
	} else {
		*b += (min(delay, 2**b) - *b) * 0.02
	}
	wait := max(delay-1.5**b-seconds(s.cfg.Resolution), 0)
	s.meanWait += (wait - s.meanWait) * 0.05
	if wait == 0 {
		s.observeOthers(w, w.headroom*0.7)
	} else {
		s.observeOthers(w, w.headroom+s.rho*wait)
	}
}

// observeOthers records an observed backlog u of a worker, less this scheduler's own part. The means by kind and
// by zone are the estimate for workers without a recent observation. They prevent herding: all schedulers know
// the fast kind of worker and would all choose it if they did not expect its queue to be longer for that reason.
func (s *Scheduler) observeOthers(w *worker, u float64) {
	w.othersBacklog, w.othersBacklogAt = max(u-w.ownBacklog*w.drainTime, 0), s.now
	v := w.othersBacklog / max(w.slowdown*s.meanWork, 1e-3)
	for _, m := range [...]*float64{&s.kinds[w.info.Kind].meanBacklog, &s.zones[w.info.Zone].meanBacklog, &s.meanBacklog} {
		*m += (v - *m) * backlogGain
	}
}

// RecordOthersBacklog records the slot-work, in seconds, that the other schedulers have at a worker, as of time at. It
// counts like an own observation; a report older than the last observation is ignored.
func (s *Scheduler) RecordOthersBacklog(now int64, id WorkerID, work float64, at int64) {
	s.now = max(s.now, now)
	if i, ok := s.byID[id]; ok && at >= s.workers[i].othersBacklogAt {
		w := &s.workers[i]
		s.derive(w)
		s.observeOthers(w, (w.ownBacklog+work)*w.drainTime)
		w.othersBacklogAt = min(at, s.now)
		s.othersKnownUntil = w.othersBacklogAt + reportSpan
	}
}

// RecordOthersDemand records the slots per second that the other schedulers need for a data set; valid until a time.
func (s *Scheduler) RecordOthersDemand(key uint64, load float64, until int64) {
	h := s.affinityOf(key)
	h.reportedLoad, h.reportedUntil = load, until
}

// readReport evaluates a load report: the number of slots of the worker's kind, and the others' backlog.
func (s *Scheduler) readReport(w *worker, values []float32) {
	reported := [...]float64{FieldInflight: -1, FieldQueue: -1, FieldService: -1, FieldRate: -1, FieldFreeSlots: -1}
	for n, v := range values {
		if f := float64(v); n < len(s.cfg.Reports) && f >= 0 && f <= 1e9 {
			reported[s.cfg.Reports[n]] = f
		}
	}
	free, queue, held := reported[FieldFreeSlots], reported[FieldQueue], reported[FieldInflight]
	busy := held
	if service, rate := reported[FieldService]/1000, reported[FieldRate]; busy < 0 && service >= 0 && rate >= 0 {
		busy = rate * service
	}
	if k := &s.kinds[w.info.Kind]; free > k.slots {
		k.slots = free
	} else {
		k.slots *= slotsDecay
	}
	slots := s.slotsOf(w)
	if queue < 0 && held >= 0 {
		queue = max(held-slots, 0)
	}
	if free < 0 && busy >= 0 {
		free = max(slots-busy, 0)
	}
	// A report is out of date by its period and delay, so the previous estimate keeps half of its weight.
	u := s.backlog(w)
	switch {
	case free >= 0.5:
		s.observeOthers(w, u/2+residualShare*w.slowdown*s.meanWork*max(slots-free, 0)/slots/2)
	case queue >= 0:
		s.observeOthers(w, u/2+(w.headroom+w.d*(queue+0.5))/2)
	}
}
