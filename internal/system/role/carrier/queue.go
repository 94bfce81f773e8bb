package carrier

import (
	"time"

	"granitewing/internal/system/delivery"
)

// queue is the due messages of a service. Those that can still start within their aim go first, the oldest ahead; the
// late ones follow with what capacity is left.
type queue struct {
	service string
	fresh   fifo
	late    fifo
	pace    delivery.Pace
	wakeAt  time.Duration // 0 while no wake-up is set
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

// next gives the message whose turn it is, without taking it; nil where there is none. aim tells until when a message can
// start within its aim.
func (q *queue) next(now time.Duration, aim func(*item) time.Duration) *item {
	for q.fresh.len() > 0 {
		it := q.fresh.front()
		if it.ended || !it.queued {
			q.fresh.pop()
			continue
		}
		if now > aim(it) {
			q.late.push(q.fresh.pop())
			continue
		}
		return it
	}
	for q.late.len() > 0 {
		it := q.late.front()
		if it.ended || !it.queued {
			q.late.pop()
			continue
		}
		return it
	}
	return nil
}

// take removes the message that next gave.
func (q *queue) take(it *item) {
	it.queued = false
	if q.fresh.len() > 0 && q.fresh.front() == it {
		q.fresh.pop()
		return
	}
	if q.late.len() > 0 && q.late.front() == it {
		q.late.pop()
	}
}

// len is the number of messages that wait.
func (q *queue) len() int { return q.fresh.len() + q.late.len() }

func (c *Core) queue(service string) *queue {
	q := c.queues[service]
	if q == nil {
		q = &queue{service: service}
		c.queues[service] = q
	}
	return q
}
