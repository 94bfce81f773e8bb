package carrier

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
)

func TestCarrier(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Carrier")
}

var _ = ginkgo.Describe("A service's queue", func() {
	const (
		target    = time.Second
		retention = 10 * time.Second
	)
	var q *queue
	var u *unit

	ginkgo.BeforeEach(func() { q, u = &queue{service: "s"}, newUnit("u") })

	due := func(id, key string, at time.Duration) *item {
		it := &item{message: &message.Message{ID: id, Key: key, Retention: retention}, unit: u, due: at}
		if key != "" {
			u.keys[key] = append(u.keys[key], it)
		}
		q.add(it, false)
		return it
	}
	order := func(now time.Duration) []string {
		var ids []string
		for {
			it := q.next(now, func(it *item) time.Duration { return it.due + target })
			if it == nil {
				return ids
			}
			q.remove(it)
			ids = append(ids, it.message.ID)
		}
	}

	ginkgo.It("returns messages that can start within their target first, the oldest ahead, then late ones", func() {
		due("late", "", 0)
		due("older", "", 1500*time.Millisecond)
		due("newer", "", 1600*time.Millisecond)
		Expect(order(2 * time.Second)).To(Equal([]string{"older", "newer", "late"}))
	})

	ginkgo.It("returns late messages of keys with few messages first", func() {
		due("long-1", "long", 0)
		due("short-1", "short", 100*time.Millisecond)
		u.keys["long"] = append(u.keys["long"], &item{}, &item{})
		Expect(order(2 * time.Second)).To(Equal([]string{"short-1", "long-1"}))
	})

	ginkgo.It("returns messages that have waited for half of their retention before all fresh ones", func() {
		due("overdue", "", 0)
		due("late", "", 3*time.Second)
		Expect(q.next(4500*time.Millisecond, func(it *item) time.Duration { return it.due + target })).NotTo(BeNil())
		due("fresh", "", 5*time.Second)
		Expect(order(5100 * time.Millisecond)).To(Equal([]string{"overdue", "fresh", "late"}))
		Expect(q.len()).To(BeZero())
	})

	ginkgo.It("returns a message once, however it was added again", func() {
		it := due("again", "", 0)
		Expect(q.next(2*time.Second, func(it *item) time.Duration { return it.due + target })).To(Equal(it))
		it.queued = true
		q.add(it, false)
		Expect(order(6 * time.Second)).To(Equal([]string{"again"}))
	})
})

var _ = ginkgo.Describe("A service's backlog", func() {
	var b *backlog

	ginkgo.BeforeEach(func() { b = &backlog{} })

	// run lets messages arrive and complete at constant rates for a while, and returns the time at the end.
	run := func(now time.Duration, period time.Duration, arrivalRate, completionRate int) time.Duration {
		const step = 10 * time.Millisecond
		arrivals, completions := 0.0, 0.0
		for until := now + period; now < until; now += step {
			for arrivals += float64(arrivalRate) * step.Seconds(); arrivals >= 1; arrivals-- {
				b.add(now)
			}
			for completions += float64(completionRate) * step.Seconds(); completions >= 1 && b.due > 0; completions-- {
				b.remove(now, true)
			}
		}
		return now
	}

	ginkgo.It("estimates the wait from the rate at which messages complete", func() {
		now := run(0, 10*time.Second, 200, 100)
		Expect(b.due).To(BeNumerically("~", 1000, 20))
		Expect(b.wait(now)).To(BeNumerically("~", 10*time.Second, 500*time.Millisecond))
	})

	ginkgo.It("gives no estimate while no message completes, nor soon after", func() {
		now := run(0, 4*time.Second, 10, 10)
		now = run(now, 7*time.Second, 500, 0)
		Expect(b.wait(now)).To(BeZero(), "the rate is unknown during an outage")
		for range 300 {
			now = run(now, 10*time.Millisecond, 500, 2000)
			Expect(b.wait(now)).To(BeNumerically("<", 3*time.Second), "the outage is not part of the rate")
		}
	})

	ginkgo.It("leaves out running messages: long runs are not a backlog", func() {
		now := run(0, 10*time.Second, 200, 100)
		b.running = b.due
		Expect(b.wait(now)).To(BeZero())
	})

	ginkgo.It("does not treat a quiet service as a slow one", func() {
		now := run(0, 20*time.Second, 2, 2)
		now = run(now, time.Second, 100, 100)
		Expect(b.wait(now)).To(BeNumerically("<", 6*time.Second))
	})

	ginkgo.It("does not count messages that moved to another carrier as completed", func() {
		now := run(0, 4*time.Second, 100, 50)
		before := b.wait(now)
		for range 100 {
			b.remove(now, false)
		}
		Expect(b.wait(now)).To(BeNumerically("<", before))
		Expect(b.completed).To(BeNumerically("<", 150))
	})
})
