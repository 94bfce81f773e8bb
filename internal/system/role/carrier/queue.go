package carrier

import (
	"container/heap"
	"time"

	"granitewing/internal/system/delivery"
)

// queue is the due messages of a service. Those that can still start within their aim go first, the oldest ahead; the
// late ones follow with what capacity is left, those of keys with the fewest messages ahead of the others: a key that is
// cleared lets its next messages start in their aim, while keys that all advance alike leave every message late.
//
// A late message that has waited for half of its retention goes before the fresh ones: those would keep it waiting until it
// ends by that, and it was accepted.
//
// Messages that were taken over when they were already due go before all: their former carrier may have had them run just
// before it was lost, and a second run is excused soon after the trouble only.
type queue struct {
	service string
	taken   fifo
	fresh   fifo
	late    lateHeap
	aged    fifo // the late ones in the order in which they came to be late
	pace    delivery.Pace
	turn    turn // of a service that another carrier spaces
	// urgentUntil is until when messages wait that were not taken over, of a service that this carrier spaces: others have such.
	urgentUntil time.Duration
	backlog     backlog
	wakeAt      time.Duration // 0 while no wake-up is set
}

// fifo is a queue whose front moves without copying.
type fifo struct {
	items []*item
	first int
}

func (f *fifo) len() int { return len(f.items) - f.first }

func (f *fifo) push(it *item) { f.items = append(f.items, it) }

func (f *fifo) front() *item { return f.items[f.first] }

func (f *fifo) pop() *item {
	it := f.items[f.first]
	f.items[f.first] = nil
	f.first++
	if f.first > 64 && 2*f.first > len(f.items) {
		f.items = append([]*item(nil), f.items[f.first:]...)
		f.first = 0
	}
	return it
}

// live gives the front of what still waits in a queue, nil where nothing does.
func (f *fifo) live(q *queue) *item {
	for f.len() > 0 {
		if it := f.front(); q.holds(it) {
			return it
		}
		f.pop()
	}
	return nil
}

// lateItem is a late message, with the number of messages of its key when it came here.
type lateItem struct {
	item   *item
	behind int
	order  uint64
}

// lateHeap gives late messages of short keys first, and those of alike keys in the order in which they came.
type lateHeap struct {
	items []lateItem
	order uint64
}

func (h *lateHeap) Len() int { return len(h.items) }
func (h *lateHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	return a.behind < b.behind || a.behind == b.behind && a.order < b.order
}
func (h *lateHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].item.latePlace, h.items[j].item.latePlace = i+1, j+1
}
func (h *lateHeap) Push(x any) {
	h.items = append(h.items, x.(lateItem))
	it := x.(lateItem).item
	it.lateIn, it.latePlace = h, len(h.items)
}
func (h *lateHeap) Pop() any {
	last := h.items[len(h.items)-1]
	last.item.lateIn, last.item.latePlace = nil, 0
	h.items[len(h.items)-1] = lateItem{}
	h.items = h.items[:len(h.items)-1]
	return last
}

// leaveLate takes a message out of the heap of late ones that it is in; its service may be another now.
func (it *item) leaveLate() {
	if it.lateIn != nil {
		heap.Remove(it.lateIn, it.latePlace-1)
	}
}

func (h *lateHeap) add(it *item) {
	it.leaveLate()
	h.order++
	heap.Push(h, lateItem{item: it, behind: len(it.unit.keys[it.message.Key]), order: h.order})
}

// holds tells whether a message waits in this queue. One that has left for the queue of another service may still be named here.
func (q *queue) holds(it *item) bool { return !it.ended && it.queued && it.waitsIn == q }

// join has a message wait; urgent ones were taken over when they were due already.
func (q *queue) join(it *item, urgent bool) {
	it.leaveLate()
	it.queued, it.waitsIn = true, q
	if urgent {
		q.taken.push(it)
		return
	}
	q.fresh.push(it)
}

// next gives the message whose turn it is, without taking it; nil where there is none. aim tells until when a message can
// start within its aim.
func (q *queue) next(now time.Duration, aim func(*item) time.Duration) *item {
	if it := q.taken.live(q); it != nil {
		return it
	}
	if it := q.aged.live(q); it != nil && now-it.due > overdueShare(it.message.Retention) {
		return it
	}
	for {
		it := q.fresh.live(q)
		if it == nil {
			break
		}
		if now > aim(it) {
			q.late.add(it)
			q.aged.push(q.fresh.pop())
			continue
		}
		return it
	}
	for q.late.Len() > 0 {
		it := q.late.items[0].item
		if !q.holds(it) {
			heap.Pop(&q.late)
			continue
		}
		return it
	}
	return nil
}

// take removes the message that next gave.
func (q *queue) take(it *item) {
	it.queued = false
	if q.taken.len() > 0 && q.taken.front() == it {
		q.taken.pop()
		return
	}
	if q.fresh.len() > 0 && q.fresh.front() == it {
		q.fresh.pop()
		return
	}
	it.leaveLate() // in q.aged it is passed over
}

// overdueShare is how long of its retention a message waits before it goes ahead of fresh ones.
func overdueShare(retention time.Duration) time.Duration { return retention / 2 }

// len is the number of messages that wait.
func (q *queue) len() int { return q.taken.len() + q.fresh.len() + q.late.Len() }

// empty tells whether nothing waits, runs or is awaited.
func (q *queue) empty() bool {
	return q.len() == 0 && q.backlog.owed == 0 && q.backlog.running == 0 && q.wakeAt == 0 && !q.turn.asking
}

func (c *Core) queue(service string) *queue {
	q := c.queues[service]
	if q == nil {
		q = &queue{service: service}
		c.queues[service] = q
	}
	return q
}
