package delivery

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/catalog"
)

const second = time.Second

func instances(count, capacity int) map[string]catalog.Instance {
	list := map[string]catalog.Instance{}
	for i := range count {
		id := fmt.Sprintf("i-%d", i)
		list[id] = catalog.Instance{ID: id, Service: "s", Address: id, Zone: "z0", Capacity: capacity}
	}
	return list
}

var _ = ginkgo.Describe("Policy", func() {
	var policy *Policy
	now := 10 * second

	ginkgo.BeforeEach(func() {
		policy = NewPolicy("z0")
		policy.SetService(now, "s", 90, "")
		policy.SetInstances(now, instances(3, 4))
	})

	pick := func() *Worker { return policy.Pick(now, "s", "r", second, "") }

	ginkgo.It("prefers workers of its own zone, but uses others before those are full", func() {
		list := instances(2, 4)
		far := list["i-0"]
		far.Zone = "z1"
		list["i-0"] = far
		policy.SetInstances(now, list)
		held := map[string]int{}
		for range 12 {
			policy.RecordArrival(now, "s", "r", second)
			worker := pick()
			policy.RecordStart(now, worker)
			held[worker.ID]++
		}
		Expect(held["i-1"]).To(BeNumerically(">=", 4))
		Expect(held["i-0"]).To(BeNumerically(">=", 4))
	})

	ginkgo.It("uses a static endpoint instead of the listed workers, until it is removed", func() {
		policy.SetService(now, "s", 90, "10.0.0.1:80")
		Expect(pick().ID).To(Equal("10.0.0.1:80"))
		policy.SetInstances(now, instances(3, 4))
		for range 8 {
			worker := pick()
			Expect(worker.Static).To(BeTrue())
			policy.RecordStart(now, worker)
		}
		policy.SetService(now, "s", 90, "")
		Expect(pick()).To(BeNil())
		policy.SetInstances(now, instances(3, 4))
		Expect(pick().Static).To(BeFalse())
	})

	ginkgo.It("removes services that are no longer configured, and their static endpoints", func() {
		for i := range 100 {
			policy.SetService(now, fmt.Sprintf("gone-%d", i), 90, "10.0.0.1:80")
		}
		policy.RemoveServicesExcept(func(service string) bool { return service == "s" })
		Expect(policy.pools).To(HaveLen(1))
		Expect(pick()).NotTo(BeNil())
		policy.RemoveServicesExcept(func(string) bool { return false })
		policy.SetInstances(now, nil)
		Expect(policy.pools).To(BeEmpty())
	})

	// busy runs attempts with six in flight at a time, and returns the number of attempts per worker.
	busy := func(attempts int, fails func(turn int, id string) bool) map[string]int {
		taken := map[string]int{}
		var out []*Worker
		for turn := range attempts {
			now += 20 * time.Millisecond
			policy.RecordArrival(now, "s", "r", second)
			worker := pick()
			policy.RecordStart(now, worker)
			taken[worker.ID]++
			out = append(out, worker)
			if len(out) <= 6 {
				continue
			}
			result := Completed
			if fails(turn, out[0].ID) {
				result = Failed
			}
			policy.RecordResult(now, out[0], result, 120*time.Millisecond, Load{})
			out = out[1:]
		}
		for _, worker := range out {
			policy.RecordResult(now, worker, Completed, 120*time.Millisecond, Load{})
		}
		return taken
	}

	ginkgo.It("sends few messages to a worker with failing attempts, and tries it again later", func() {
		failing := func(_ int, id string) bool { return id == "i-1" }
		Expect(busy(300, failing)["i-1"]).To(BeNumerically("<", 30))
		now += 30 * second
		Expect(busy(300, func(int, string) bool { return false })["i-1"]).To(BeNumerically(">", 60))
	})

	ginkgo.It("does not avoid any worker if attempts fail at all of them", func() {
		taken := busy(300, func(turn int, _ string) bool { return turn%3 == 0 })
		Expect(taken).To(HaveLen(3))
		for id, count := range taken {
			Expect(count).To(BeNumerically(">", 50), id)
		}
	})

	ginkgo.It("distributes messages over workers by backlog", func() {
		policy.RecordArrival(now, "s", "r", second)
		held := map[string]int{}
		for range 9 {
			worker := pick()
			policy.RecordStart(now, worker)
			held[worker.ID]++
		}
		Expect(held).To(Equal(map[string]int{"i-0": 3, "i-1": 3, "i-2": 3}))
	})

	ginkgo.It("limits the load of a worker from all carriers to its slots and a short queue", func() {
		for range 24 {
			policy.RecordStart(now, pick())
		}
		Expect(pick()).To(BeNil())
		policy.RecordResult(now, policy.Workers("s")[0], Completed, 10*time.Millisecond, Load{Known: true, Running: 4, Waiting: 9})
		Expect(pick()).To(BeNil())
	})

	ginkgo.It("sends fewer messages to a slow worker", func() {
		slow := policy.Workers("s")[0]
		for range 30 {
			for _, worker := range policy.Workers("s") {
				policy.RecordStart(now, worker)
				took := 50 * time.Millisecond
				if worker == slow {
					took = 500 * time.Millisecond
				}
				policy.RecordResult(now, worker, Completed, took, Load{})
			}
		}
		held := map[string]int{}
		for range 9 {
			policy.RecordArrival(now, "s", "r", second)
			worker := pick()
			policy.RecordStart(now, worker)
			held[worker.ID]++
		}
		Expect(held[slow.ID]).To(BeNumerically("<", held["i-1"]))
	})

	ginkgo.It("sends nothing to a draining or removed worker", func() {
		list := instances(3, 4)
		draining := list["i-0"]
		draining.Draining = true
		list["i-0"] = draining
		delete(list, "i-1")
		policy.SetInstances(now, list)
		for range 5 {
			Expect(pick().ID).To(Equal("i-2"))
		}
	})

	ginkgo.It("opens a breaker after consecutive failures, and closes it after a successful probe", func() {
		faulty := policy.Workers("s")[0]
		for range breakerThreshold {
			policy.RecordStart(now, faulty)
			policy.RecordResult(now, faulty, TimedOut, second, Load{})
		}
		Expect(faulty.Usable(now)).To(BeFalse())
		later := now + breakerMinOpen
		Expect(faulty.Usable(later)).To(BeTrue())
		policy.RecordStart(later, faulty)
		Expect(faulty.Usable(later)).To(BeFalse(), "one probe at a time")
		policy.RecordResult(later, faulty, Completed, 10*time.Millisecond, Load{})
		Expect(faulty.Usable(later)).To(BeTrue())
		_, known := policy.NextAvailable(later+breakerMinOpen, "s")
		Expect(known).To(BeFalse())
	})

	ginkgo.It("avoids a worker that did not run a message, and the one tried last if there is another", func() {
		first := pick()
		policy.RecordStart(now, first)
		policy.RecordResult(now, first, NotRun, time.Millisecond, Load{})
		Expect(pick().ID).NotTo(Equal(first.ID))
		Expect(policy.Pick(now, "s", "r", second, "i-1").ID).To(Equal("i-2"))
	})
})

var _ = ginkgo.Describe("RateLimiter", func() {
	ginkgo.It("keeps every time window under the rate across changes of owner", func() {
		const rate, window = 39.0, 5 * second
		var sent []time.Duration
		now := time.Duration(0)
		for owner := range 4 {
			pace := RateLimiter{}
			pace.SetRate(rate)
			if owner > 0 {
				pace.BlockUntil(now + 100*time.Millisecond)
			}
			for end := now + 3*second; now < end; now += time.Millisecond {
				for pace.Allow(now) {
					sent = append(sent, now)
				}
			}
		}
		first := 0
		for i, at := range sent {
			for at-sent[first] > window {
				first++
			}
			Expect(float64(i - first + 1)).To(BeNumerically("<=", rate*window.Seconds()*1.1+5))
		}
		Expect(float64(len(sent))).To(BeNumerically(">", 0.9*rate*12))
	})

	ginkgo.It("does not accumulate idle time", func() {
		pace := RateLimiter{}
		pace.SetRate(10)
		count := 0
		for pace.Allow(60 * second) {
			count++
		}
		Expect(count).To(BeNumerically("<=", 2))
	})

	ginkgo.It("lets every message through without a rate", func() {
		pace := RateLimiter{}
		Expect(pace.Allow(0)).To(BeTrue())
		Expect(pace.Allow(0)).To(BeTrue())
	})
})
