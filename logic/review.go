package logic

import (
	"math"
	"slices"
)

// Reviewing: a job of which too little is heard, or that would do better elsewhere.

const (
	waitsOn    = 3.0     // times the wait so far of a job that has not started that the rest of it is taken for
	hangMisses = 2       // start notes missing in a row, with no sign of life, that make a worker suspect
	takenAfter = 500_000 // us in which workers that tell so have taken a job: ten times what was ever seen
	moveGain   = 0.1     // least fall in expected loss, in mean jobs, for which a waiting job is taken elsewhere
)

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
