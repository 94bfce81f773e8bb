package store

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("A throttle", func() {
	ginkgo.It("keeps to its rate over time, whatever one piece of work moves", func() {
		t := throttle{rate: 1 << 20}
		total := 0
		const piece = 300 << 10
		end := 10 * time.Second
		for now := time.Duration(0); now < end; now += 60 * time.Millisecond {
			for range 3 { // several go out while it is free
				if t.free(now) {
					total += piece
					t.moved(now, piece)
				}
			}
		}
		Expect(float64(total) / end.Seconds()).To(BeNumerically("~", 1<<20, 64<<10))
	})

	ginkgo.It("saves nothing up while there is nothing to do", func() {
		t := throttle{rate: 1 << 20}
		t.moved(time.Second, 1<<20)
		Expect(t.free(1900 * time.Millisecond)).To(BeFalse())
		Expect(t.free(2 * time.Second)).To(BeTrue())
		t.moved(20*time.Second, 1<<20)
		Expect(t.free(20900 * time.Millisecond)).To(BeFalse())
	})

	ginkgo.It("has no bound without a rate", func() {
		var t throttle
		t.moved(time.Second, 1<<40)
		Expect(t.free(time.Second)).To(BeTrue())
	})
})
