package logic

import (
	"cmp"
	"math"
	"slices"
)

// The worker list: the effect of each entry, and retries of a failed list request.

const (
	listRetryDelay    = 500_000   // us before a failed list request is first repeated; doubles, with jitter
	maxListRetryDelay = 4_000_000 // longest such delay, us; shorter than any permitted age of a list
)

// Workers takes a list event: the kind of the event and its entries.
func (s *Scheduler) Workers(now int64, how ListKind, list []WorkerInfo, out []Action) []Action {
	s.begin(now, out)
	switch how {
	case ListFailed:
		// The old list stays in use. The delay between requests grows, or the schedulers would keep an overloaded
		// list service down.
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
	} else if s.cfg.NeedsSubscription && !s.subscribed {
		s.subscribed = true
		s.emit(Action{Kind: ActSubscribe})
	}
	return s.end()
}

// applyEntry applies one entry of the list.
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
		// A new process: failures and backlog observed at the old one no longer apply.
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
