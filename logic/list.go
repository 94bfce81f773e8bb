package logic

import (
	"cmp"
	"math"
	"slices"
)

// The list of workers: what each entry changes, and when a failed call for it is repeated.

const (
	listRetryDelay    = 500_000   // us before a failed list call is repeated at first; doubles, with jitter
	maxListRetryDelay = 4_000_000 // us that this gap grows to; below any allowed age of a list
)

// Workers takes a list event.
func (s *Scheduler) Workers(now int64, how ListKind, list []WorkerInfo, out []Action) []Action {
	s.begin(now, out)
	switch how {
	case ListFailed:
		// The old list holds; the call is repeated ever less often, or its callers keep down a list service that is overrun.
		gap := min(int64(listRetryDelay)<<min(s.listFailures, 4), maxListRetryDelay)
		s.listFailures++
		s.addTimer(s.now+gap/2+int64(s.uniform()*float64(gap)), timerSubscribe, 0, 0)
		return s.end()
	case ListFull, ListCached:
		for i := range s.workers {
			s.workers[i].ready = false
		}
	}
	for i := range list {
		s.applyEntry(&list[i])
	}
	s.ready = s.ready[:0]
	for i := range s.workers {
		w := &s.workers[i]
		if w.ready {
			s.ready = append(s.ready, int32(i))
		} else if w.known && w.outstanding == 0 {
			s.freeWorker(int32(i))
		}
	}
	slices.SortFunc(s.ready, func(a, b int32) int { return cmp.Compare(s.workers[a].info.ID, s.workers[b].info.ID) })
	s.refreshedAt = 0
	s.listVersion++
	if how != ListCached {
		s.listFailures = 0
	} else if s.cfg.MustAsk && !s.subscribed {
		s.subscribed = true
		s.emit(Action{Kind: ActSubscribe})
	}
	return s.end()
}

// take applies one entry of the list.
func (s *Scheduler) applyEntry(e *WorkerInfo) {
	i, ok := s.byID[e.ID]
	if !ok {
		if e.Phase == Gone {
			return
		}
		i = s.allocWorker()
		s.byID[e.ID] = i
	}
	w := &s.workers[i]
	if w.info.UpSince != e.UpSince {
		// A new process: what was held against the old one is void, as is its backlog of others.
		w.consecutiveFailures, w.ejectedUntil, w.othersBacklog, w.othersBacklogAt = 0, 0, 0, s.now
		w.dataSets, w.run, w.work = [dataSetsPerWorker]uint64{}, 0, 0
	}
	w.info, w.known, w.ready, w.derivedAt = *e, true, e.Phase == Ready, 0
	if w.info.Kind < 0 || w.info.Kind >= maxKinds {
		w.info.Kind = maxKinds
	}
	for len(s.kinds) <= w.info.Kind {
		s.kinds = append(s.kinds, kind{meanBacklog: initialBacklog})
	}
	if w.info.Zone < 0 || w.info.Zone >= s.cfg.Zones {
		w.info.Zone = 0
	}
	if !(w.info.Weight > 0) || math.IsInf(w.info.Weight, 0) {
		w.info.Weight = 1
	}
}
