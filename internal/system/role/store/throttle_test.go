package store

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("A throttle", func() {
	ginkgo.It("keeps to its rate over time, whatever the size of one call", func() {
		t := throttle{rate: 1 << 20}
		total := 0
		const piece = 300 << 10
		end := 10 * time.Second
		for now := time.Duration(0); now < end; now += 60 * time.Millisecond {
			for range 3 { // several calls start while it is ready
				if t.ready(now) {
					total += piece
					t.add(now, piece)
				}
			}
		}
		Expect(float64(total) / end.Seconds()).To(BeNumerically("~", 1<<20, 64<<10))
	})

	ginkgo.It("accumulates no credit while idle", func() {
		t := throttle{rate: 1 << 20}
		t.add(time.Second, 1<<20)
		Expect(t.ready(1900 * time.Millisecond)).To(BeFalse())
		Expect(t.ready(2 * time.Second)).To(BeTrue())
		t.add(20*time.Second, 1<<20)
		Expect(t.ready(20900 * time.Millisecond)).To(BeFalse())
	})

	ginkgo.It("has no limit without a rate", func() {
		var t throttle
		t.add(time.Second, 1<<40)
		Expect(t.ready(time.Second)).To(BeTrue())
	})
})
