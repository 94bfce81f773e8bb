package store

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

var _ = ginkgo.Describe("The clock of a store's log", func() {
	var b *bench

	ginkgo.BeforeEach(func() {
		b = &bench{path: ginkgo.GinkgoT().TempDir()}
		b.open(true)
	})

	ginkgo.It("counts only the time for which it runs, over several lives, and never more than that", func() {
		Expect(b.put("a")).To(BeNil())
		age := func() time.Duration {
			answer, err := b.core.List(wire.ListBody{Unit: "u"})
			Expect(err).NotTo(HaveOccurred())
			return answer.Messages[0].Age
		}
		for life := range 3 {
			b.pass(5 * time.Second)
			b.pass(700 * time.Millisecond) // nothing is written so soon: it is not known after the stop
			b.now = 40 * time.Minute       // another life: its process's clock begins anywhere
			b.open(false)
			Expect(age()).To(Equal(time.Duration(life+1) * 5 * time.Second))
			Expect(b.find("a").Phase).To(Equal(message.Pending))
			b.now = b.now - time.Hour
			b.open(false)
			Expect(age()).To(Equal(time.Duration(life+1) * 5 * time.Second))
		}
	})

	ginkgo.It("writes its clock only while messages wait", func() {
		Expect(b.put("a")).To(BeNil())
		before := b.core.Bytes()
		b.pass(2 * clockInterval)
		Expect(b.core.Bytes()).To(BeNumerically(">", before))
		b.end("a", message.Succeeded)
		before = b.core.Bytes()
		b.pass(2 * clockInterval)
		Expect(b.core.Bytes()).To(Equal(before))
	})

	ginkgo.It("keeps the ages of copies, and of what is written again", func() {
		other := &bench{path: ginkgo.GinkgoT().TempDir()}
		other.open(true)
		Expect(b.put("a")).To(BeNil())
		b.pass(7 * time.Second)
		b.copyTo(other, []string{"a"})
		other.pass(2 * time.Second)
		other.open(false)
		answer, err := other.core.List(wire.ListBody{Unit: "u"})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Messages[0].Age).To(Equal(9 * time.Second))
	})
})
