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

	ginkgo.It("gives what can start in its aim first, the oldest ahead, then the late ones", func() {
		due("late", "", 0)
		due("older", "", 1500*time.Millisecond)
		due("newer", "", 1600*time.Millisecond)
		Expect(order(2 * time.Second)).To(Equal([]string{"older", "newer", "late"}))
	})

	ginkgo.It("gives late messages of short keys first", func() {
		due("long-1", "long", 0)
		due("short-1", "short", 100*time.Millisecond)
		u.keys["long"] = append(u.keys["long"], &item{}, &item{})
		Expect(order(2 * time.Second)).To(Equal([]string{"short-1", "long-1"}))
	})

	ginkgo.It("gives what has waited for half of its retention before all that is fresh", func() {
		due("overdue", "", 0)
		due("late", "", 3*time.Second)
		Expect(q.next(4500*time.Millisecond, func(it *item) time.Duration { return it.due + target })).NotTo(BeNil())
		due("fresh", "", 5*time.Second)
		Expect(order(5100 * time.Millisecond)).To(Equal([]string{"overdue", "fresh", "late"}))
		Expect(q.len()).To(BeZero())
	})

	ginkgo.It("gives a message once, whichever way it was put in again", func() {
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

	// run lets messages come and end at even times for a while, and gives the time after it.
	run := func(now time.Duration, lasts time.Duration, coming, ending int) time.Duration {
		const step = 10 * time.Millisecond
		comes, ends := 0.0, 0.0
		for until := now + lasts; now < until; now += step {
			for comes += float64(coming) * step.Seconds(); comes >= 1; comes-- {
				b.add(now)
			}
			for ends += float64(ending) * step.Seconds(); ends >= 1 && b.due > 0; ends-- {
				b.remove(now, true)
			}
		}
		return now
	}

	ginkgo.It("tells how long it lasts at the pace at which messages end", func() {
		now := run(0, 10*time.Second, 200, 100)
		Expect(b.due).To(BeNumerically("~", 1000, 20))
		Expect(b.wait(now)).To(BeNumerically("~", 10*time.Second, 500*time.Millisecond))
	})

	ginkgo.It("knows nothing while no message ends, nor soon after", func() {
		now := run(0, 4*time.Second, 10, 10)
		now = run(now, 7*time.Second, 500, 0)
		Expect(b.wait(now)).To(BeZero(), "an outage tells nothing of the pace")
		for range 300 {
			now = run(now, 10*time.Millisecond, 500, 2000)
			Expect(b.wait(now)).To(BeNumerically("<", 3*time.Second), "the outage is no part of the pace")
		}
	})

	ginkgo.It("leaves out what runs: long runs are no backlog", func() {
		now := run(0, 10*time.Second, 200, 100)
		b.running = b.due
		Expect(b.wait(now)).To(BeZero())
	})

	ginkgo.It("takes a quiet service for no slow one", func() {
		now := run(0, 20*time.Second, 2, 2)
		now = run(now, time.Second, 100, 100)
		Expect(b.wait(now)).To(BeNumerically("<", 6*time.Second))
	})

	ginkgo.It("counts what has gone to another carrier as no end", func() {
		now := run(0, 4*time.Second, 100, 50)
		before := b.wait(now)
		for range 100 {
			b.remove(now, false)
		}
		Expect(b.wait(now)).To(BeNumerically("<", before))
		Expect(b.completed).To(BeNumerically("<", 150))
	})
})
