package logic

import (
	"cmp"
	"math"
	"slices"
)

// The list of workers: what each entry changes, and when a failed call for it is repeated.

const (
	askGap  = 500_000   // us before a failed list call is repeated at first; doubles, with jitter
	askMost = 4_000_000 // us that this gap grows to; below any allowed age of a list
)

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
	slices.SortFunc(s.ready, func(a, b int32) int { return cmp.Compare(s.workers[a].info.ID, s.workers[b].info.ID) })
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
	w.info, w.known, w.live, w.derivedAt = *e, true, e.Phase == Ready, 0
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
