package keeper

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/configuration"
	"granitewing/internal/system/ownership"
)

// replaceConfiguration installs a configuration whose one route leads to a service, with or without ordered
// messages.
func (l *singleKeeper) replaceConfiguration(version uint64, service string, rate int, inOrder bool) {
	raw := fmt.Sprintf(`{"resource-version":%d,"routes":[{"name":"r","host":"h","path-prefix":"/","kind":"async","timeout-ms":500,"target-latency-ms":100,`+
		`"priority":1,"backend":%q,"retries":3,"ordered":%t,"retention-s":60,"target-start-ms":900}],"services":[{"name":%q,"max-connections":9,`+
		`"rate-per-s":%d,"static":null}],"limits":{}}`, version, service, inOrder, service, rate)
	var failure error
	l.core.ReplaceConfiguration(l.now, configuration.Order{Base: version - 1, Raw: []byte(raw)}, func(err error) { failure = err })
	l.settle()
	Expect(failure).NotTo(HaveOccurred())
}

var _ = Describe("Units that the configuration no longer needs", func() {
	paced := ownership.ServiceUnit("p")
	shard := ownership.Shard(paced, OwnershipShards)

	It("get another owner when theirs is lost, and stay in the table while messages may wait in them", func() {
		l := newSingleKeeper()
		l.replaceConfiguration(1, "p", 10, true)
		l.join("a", false)
		l.join("b", false)
		l.advance(time.Second, "a", "b")
		Expect(l.core.Owner(paced).Incarnation).NotTo(BeEmpty())
		l.replaceConfiguration(2, "q", 0, false)
		l.advance(SessionTimeout+time.Second, "b")
		for _, unit := range append(ownership.KeyUnits(), paced) {
			Expect(l.core.Owner(unit).Incarnation).To(Equal("b"), unit)
		}
	})

	It("leave the table once no message can wait in them, and return with a higher token", func() {
		l := newSingleKeeper()
		l.replaceConfiguration(1, "p", 10, false)
		l.join("a", false)
		l.advance(time.Second, "a")
		before := l.core.Owner(paced)
		l.replaceConfiguration(2, "q", 0, false)
		l.advance(time.Second, "a")
		memory := &l.core.unneededUnits[shard]
		Expect(memory.since).To(HaveKey(paced))
		memory.since[paced] -= minUnitRetention - 2*time.Second
		l.advance(500*time.Millisecond, "a")
		Expect(l.core.Owner(paced)).To(Equal(before), "not yet")
		l.advance(2*time.Second, "a")
		Expect(l.core.Owner(paced)).To(Equal(ownership.Owner{}))
		Expect(memory.since).To(BeEmpty())
		l.replaceConfiguration(3, "p", 10, false)
		l.advance(time.Second, "a")
		Expect(l.core.Owner(paced).Incarnation).To(Equal("a"))
		Expect(l.core.Owner(paced).Token).To(BeNumerically(">", before.Token))
	})

	It("are kept for three times the longest retention, if that is longer than the minimum", func() {
		u := unneededState{maxRetention: 10 * time.Hour}
		Expect(u.expired(0, paced)).To(BeFalse())
		Expect(u.expired(retentionFactor*u.maxRetention, paced)).To(BeFalse())
		Expect(u.expired(retentionFactor*u.maxRetention+time.Second, paced)).To(BeTrue())
	})
})
