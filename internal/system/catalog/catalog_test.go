package catalog

import (
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("The list of workers", func() {
	ginkgo.It("is parsed page by page", func() {
		page, err := ParsePage([]byte(`{"instances":[{"id":"i-1","backend":"s","address":"10.0.0.1:80","zone":"z","resource-version":"v1","capacity":6,"phase":"draining","cold-remaining-ms":1500}],"next-page-token":"p-2"}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Next).To(Equal("p-2"))
		Expect(page.Instances).To(Equal([]Instance{{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Zone: "z", Version: "v1",
			Capacity: 6, Draining: true, Cold: 1500 * time.Millisecond}}))
		last, err := ParsePage([]byte(`{"instances":[],"next-page-token":null}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Next).To(BeEmpty())
	})

	ginkgo.DescribeTable("is rejected if it is malformed", func(body string) {
		_, err := ParsePage([]byte(body))
		var unreadable *MalformedPageError
		Expect(errors.As(err, &unreadable)).To(BeTrue())
	},
		ginkgo.Entry("truncated", `{"instances":[{"id":"i-1"`),
		ginkgo.Entry("no instances", `{"next-page-token":null}`),
		ginkgo.Entry("no address", `{"instances":[{"id":"i-1","backend":"s","phase":"ready"}]}`),
		ginkgo.Entry("unknown phase", `{"instances":[{"id":"i-1","backend":"s","address":"a:1","phase":"gone"}]}`),
	)

	ginkgo.It("never undoes draining, and keeps the slow-start time of the first listing", func() {
		before := map[string]Instance{"i-1": {ID: "i-1", Draining: true, Cold: time.Second}}
		after := Merge(before, map[string]Instance{"i-1": {ID: "i-1", Cold: time.Millisecond}, "i-2": {ID: "i-2"}})
		Expect(after["i-1"].Draining).To(BeTrue())
		Expect(after["i-1"].Cold).To(Equal(time.Second))
		Expect(after).To(HaveKey("i-2"))
		reading := NewReading()
		reading.Add(Page{Instances: []Instance{{ID: "i-3", Draining: true}}})
		reading.Add(Page{Instances: []Instance{{ID: "i-3"}}})
		Expect(reading.Instances()["i-3"].Draining).To(BeTrue())
	})
})
