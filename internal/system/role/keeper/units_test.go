package keeper

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/configuration"
	"granitewing/internal/system/ownership"
)

// order has a configuration taken whose one route goes to a service, in order or not.
func (l *lone) order(version uint64, service string, rate int, inOrder bool) {
	raw := fmt.Sprintf(`{"resource-version":%d,"routes":[{"name":"r","host":"h","path-prefix":"/","kind":"async","timeout-ms":500,"target-latency-ms":100,`+
		`"priority":1,"backend":%q,"retries":3,"ordered":%t,"retention-s":60,"target-start-ms":900}],"services":[{"name":%q,"max-connections":9,`+
		`"rate-per-s":%d,"static":null}],"limits":{}}`, version, service, inOrder, service, rate)
	var failure error
	l.core.Replace(l.now, configuration.Order{Base: version - 1, Raw: []byte(raw)}, func(err error) { failure = err })
	l.settle()
	Expect(failure).NotTo(HaveOccurred())
}

var _ = Describe("Units that the configuration has no more use for", func() {
	paced := ownership.PacedUnit("p")
	shard := ownership.Shard(paced, OwnershipShards)

	It("get another owner when theirs is lost, and keep their place while messages may wait in them", func() {
		l := newLone()
		l.order(1, "p", 10, true)
		l.join("a", false)
		l.join("b", false)
		l.pass(time.Second, "a", "b")
		Expect(l.core.Owner(paced).Incarnation).NotTo(BeEmpty())
		l.order(2, "q", 0, false)
		l.pass(SessionLife+time.Second, "b")
		for _, unit := range append(ownership.KeyUnits(), paced) {
			Expect(l.core.Owner(unit).Incarnation).To(Equal("b"), unit)
		}
	})

	It("leave the table once nothing can wait in them, and come back under a higher token", func() {
		l := newLone()
		l.order(1, "p", 10, false)
		l.join("a", false)
		l.pass(time.Second, "a")
		before := l.core.Owner(paced)
		l.order(2, "q", 0, false)
		l.pass(time.Second, "a")
		memory := &l.core.unneeded[shard]
		Expect(memory.since).To(HaveKey(paced))
		memory.since[paced] -= unitKeptAtLeast - 2*time.Second
		l.pass(500*time.Millisecond, "a")
		Expect(l.core.Owner(paced)).To(Equal(before), "not yet")
		l.pass(2*time.Second, "a")
		Expect(l.core.Owner(paced)).To(Equal(ownership.Owner{}))
		Expect(memory.since).To(BeEmpty())
		l.order(3, "p", 10, false)
		l.pass(time.Second, "a")
		Expect(l.core.Owner(paced).Incarnation).To(Equal("a"))
		Expect(l.core.Owner(paced).Token).To(BeNumerically(">", before.Token))
	})

	It("are kept for three times the longest retention, where that is longer", func() {
		u := unneeded{retention: 10 * time.Hour}
		Expect(u.over(0, paced)).To(BeFalse())
		Expect(u.over(retentions*u.retention, paced)).To(BeFalse())
		Expect(u.over(retentions*u.retention+time.Second, paced)).To(BeTrue())
	})
})
