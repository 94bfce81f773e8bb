package store

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

var _ = ginkgo.Describe("The clock of a store's log", func() {
	var f *fixture

	ginkgo.BeforeEach(func() {
		f = &fixture{path: ginkgo.GinkgoT().TempDir()}
		f.open(true)
	})

	ginkgo.It("counts only uptime, over several incarnations, and never more", func() {
		Expect(f.put("a")).To(BeNil())
		age := func() time.Duration {
			answer, err := f.core.List(wire.ListBody{Unit: "u"})
			Expect(err).NotTo(HaveOccurred())
			return answer.Messages[0].Age
		}
		for incarnation := range 3 {
			f.advance(5 * time.Second)
			f.advance(700 * time.Millisecond) // below clockInterval: not recorded, and lost at the restart
			f.now = 40 * time.Minute          // another incarnation: its monotonic clock has another origin
			f.open(false)
			Expect(age()).To(Equal(time.Duration(incarnation+1) * 5 * time.Second))
			Expect(f.find("a").Phase).To(Equal(message.Pending))
			f.now = f.now - time.Hour
			f.open(false)
			Expect(age()).To(Equal(time.Duration(incarnation+1) * 5 * time.Second))
		}
	})

	ginkgo.It("records its clock only while messages are pending", func() {
		Expect(f.put("a")).To(BeNil())
		before := f.core.LogBytes()
		f.advance(2 * clockInterval)
		Expect(f.core.LogBytes()).To(BeNumerically(">", before))
		f.complete("a", message.Succeeded)
		before = f.core.LogBytes()
		f.advance(2 * clockInterval)
		Expect(f.core.LogBytes()).To(Equal(before))
	})

	ginkgo.It("preserves the ages of copies over a restart", func() {
		other := &fixture{path: ginkgo.GinkgoT().TempDir()}
		other.open(true)
		Expect(f.put("a")).To(BeNil())
		f.advance(7 * time.Second)
		f.copyTo(other, []string{"a"})
		other.advance(2 * time.Second)
		other.open(false)
		answer, err := other.core.List(wire.ListBody{Unit: "u"})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Messages[0].Age).To(Equal(9 * time.Second))
	})
})
