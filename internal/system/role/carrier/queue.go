package carrier

import (
	"container/heap"
	"time"

	"granitewing/internal/system/delivery"
)

// queue holds a service's due messages. Messages that can still start by their target start go first, the
// oldest ahead. Late messages use the remaining capacity, those of the keys with the fewest messages first: once a
// key is cleared, its next messages can start within their target, whereas if all keys advance alike, every
// message stays late.
//
// A late message that has waited for half of its retention goes before fresh ones. They would otherwise keep it
// waiting until its retention ends, although it was accepted.
//
// Messages that were due when they were taken over go before all others. Their former carrier may have had them
// run just before it was lost, and the delivery guarantee allows a second run only shortly after such a failure.
type queue struct {
	service   string
	takenOver fifo
	fresh     fifo
	late      lateHeap
	lateByAge fifo // late messages in the order in which they became late
	pace      delivery.RateLimiter
	permit    permit // for a service whose rate another carrier controls
	// urgentUntil is set for a service whose rate this carrier controls, while another carrier has messages that it
	// took over. Until then messages that were not taken over wait.
	urgentUntil time.Duration
	backlog     backlog
	wakeAt      time.Duration // 0 if no wake-up is scheduled
}

// fifo is a queue that removes its front without copying.
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

// liveFront returns the first item that still waits in q, and discards others before it. It returns nil if there
// is none.
func (f *fifo) liveFront(q *queue) *item {
	for f.len() > 0 {
		if it := f.front(); q.contains(it) {
			return it
		}
		f.pop()
	}
	return nil
}

// lateItem is a late message, with the number of messages of its key when it was added.
type lateItem struct {
	item      *item
	keyLength int
	order     uint64
}

// lateHeap orders late messages by the number of messages of their key, fewest first, and by arrival if these are
// equal.
type lateHeap struct {
	items []lateItem
	order uint64
}

func (h *lateHeap) Len() int { return len(h.items) }
func (h *lateHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	return a.keyLength < b.keyLength || a.keyLength == b.keyLength && a.order < b.order
}
func (h *lateHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].item.lateIndex, h.items[j].item.lateIndex = i+1, j+1
}
func (h *lateHeap) Push(x any) {
	h.items = append(h.items, x.(lateItem))
	it := x.(lateItem).item
	it.lateHeap, it.lateIndex = h, len(h.items)
}
func (h *lateHeap) Pop() any {
	last := h.items[len(h.items)-1]
	last.item.lateHeap, last.item.lateIndex = nil, 0
	h.items[len(h.items)-1] = lateItem{}
	h.items = h.items[:len(h.items)-1]
	return last
}

// removeFromLate removes a message from the heap of late messages that contains it, which may be that of a former
// service.
func (it *item) removeFromLate() {
	if it.lateHeap != nil {
		heap.Remove(it.lateHeap, it.lateIndex-1)
	}
}

func (h *lateHeap) add(it *item) {
	it.removeFromLate()
	h.order++
	heap.Push(h, lateItem{item: it, keyLength: len(it.unit.keys[it.message.Key]), order: h.order})
}

// contains reports whether a message waits in this queue. A message that has moved to the queue of another service
// may still have an entry here.
func (q *queue) contains(it *item) bool { return !it.completed && it.queued && it.queue == q }

// add queues a message. Urgent messages were due when they were taken over.
func (q *queue) add(it *item, urgent bool) {
	it.removeFromLate()
	it.queued, it.queue = true, q
	if urgent {
		q.takenOver.push(it)
		return
	}
	q.fresh.push(it)
}

// next returns the message to send next without removing it, or nil if there is none. startBy returns until when a
// message can start within its target.
func (q *queue) next(now time.Duration, startBy func(*item) time.Duration) *item {
	if it := q.takenOver.liveFront(q); it != nil {
		return it
	}
	if it := q.lateByAge.liveFront(q); it != nil && now-it.due > overdueShare(it.message.Retention) {
		return it
	}
	for {
		it := q.fresh.liveFront(q)
		if it == nil {
			break
		}
		if now > startBy(it) {
			q.late.add(it)
			q.lateByAge.push(q.fresh.pop())
			continue
		}
		return it
	}
	for q.late.Len() > 0 {
		it := q.late.items[0].item
		if !q.contains(it) {
			heap.Pop(&q.late)
			continue
		}
		return it
	}
	return nil
}

// remove removes the message that next returned.
func (q *queue) remove(it *item) {
	it.queued = false
	if q.takenOver.len() > 0 && q.takenOver.front() == it {
		q.takenOver.pop()
		return
	}
	if q.fresh.len() > 0 && q.fresh.front() == it {
		q.fresh.pop()
		return
	}
	it.removeFromLate() // its entry in q.lateByAge is skipped later
}

// overdueShare returns for how long of its retention a late message waits before it goes ahead of fresh ones.
func overdueShare(retention time.Duration) time.Duration { return retention / 2 }

// len returns the number of waiting messages.
func (q *queue) len() int { return q.takenOver.len() + q.fresh.len() + q.late.Len() }

// empty reports whether no message waits or runs, and no wake-up or send permit is pending.
func (q *queue) empty() bool {
	return q.len() == 0 && q.backlog.due == 0 && q.backlog.running == 0 && q.wakeAt == 0 && !q.permit.requesting
}

func (c *Core) queue(service string) *queue {
	q := c.queues[service]
	if q == nil {
		q = &queue{service: service}
		c.queues[service] = q
	}
	return q
}
