package configuration

import (
	"errors"
	"fmt"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// documentText returns a configuration with the route r1 of the given timeout in milliseconds, and more routes as JSON.
func documentText(version int, timeout string, more ...string) string {
	routes := append([]string{fmt.Sprintf(`{"name":"r1","host":"One.example","path-prefix":"/a/","kind":"async","timeout-ms":%s,"backend":"s1","retries":3,"priority":1}`, timeout)}, more...)
	return fmt.Sprintf(`{"resource-version":%d,"routes":[%s],"services":[{"name":"s1","rate-per-s":0,"static":null},{"name":"s2","rate-per-s":39,"static":"10.0.0.1:80"}],"limits":{"max-body-bytes":1000}}`,
		version, strings.Join(routes, ","))
}

var _ = ginkgo.Describe("A configuration", func() {
	ginkgo.It("is parsed", func() {
		document, err := Parse([]byte(documentText(7, "1500")))
		Expect(err).NotTo(HaveOccurred())
		Expect(document.Version).To(Equal(uint64(7)))
		Expect(document.Services["s2"].Static).To(Equal("10.0.0.1:80"))
		Expect(document.Limits.MaxBodyBytes).To(Equal(1000))
	})

	ginkgo.DescribeTable("is rejected with the key at fault", func(raw, key string) {
		_, err := Parse([]byte(raw))
		var invalid *InvalidError
		Expect(errors.As(err, &invalid)).To(BeTrue())
		Expect(invalid.Key).To(Equal(key))
	},
		ginkgo.Entry("truncated", documentText(1, "1500")[:100], ""),
		ginkgo.Entry("truncated before the last brace", strings.TrimSuffix(documentText(1, "1500"), "}"), ""),
		ginkgo.Entry("trailing data", documentText(1, "1500")+"{}", ""),
		ginkgo.Entry("no timeout", documentText(1, "0"), "routes[0].timeout-ms"),
		ginkgo.Entry("unknown service", documentText(1, "5", `{"name":"r2","host":"b","path-prefix":"/","timeout-ms":5,"backend":"nobody"}`), "routes[1].backend"),
		ginkgo.Entry("same host and path prefix as another route", documentText(1, "5", `{"name":"r2","host":"one.example","path-prefix":"/a/","timeout-ms":5,"backend":"s1"}`), "routes[1]"),
		ginkgo.Entry("weight of zero", documentText(1, "5", `{"name":"r2","host":"b","path-prefix":"/","timeout-ms":5,"backend":"s1","weight":0}`), "routes[1].weight"),
		ginkgo.Entry("no version", `{"routes":[],"services":[]}`, "resource-version"),
		ginkgo.Entry("a version that is not a number", `{"resource-version":"1","routes":[],"services":[]}`, ""),
		ginkgo.Entry("no routes", `{"resource-version":1,"services":[]}`, ""),
	)

	ginkgo.It("routes by host and longest prefix", func() {
		document, err := Parse([]byte(documentText(1, "5", `{"name":"r2","host":"one.example","path-prefix":"/a/b/","timeout-ms":5,"backend":"s2"}`)))
		Expect(err).NotTo(HaveOccurred())
		table := NewTable(document)
		Expect(table.Match("ONE.example:8080", "/a/b/c").Name).To(Equal("r2"))
		Expect(table.Match("one.example", "/a/x").Name).To(Equal("r1"))
		Expect(table.Match("one.example", "/b")).To(BeNil())
		Expect(table.Match("two.example", "/a/x")).To(BeNil())
	})

	ginkgo.It("compares hosts without regard to case, in requests and in the configuration", func() {
		document, err := Parse([]byte(documentText(1, "5", `{"name":"r2","host":"Two.Example","path-prefix":"/","timeout-ms":5,"backend":"s2"}`)))
		Expect(err).NotTo(HaveOccurred())
		table := NewTable(document)
		Expect(table.Match("two.example", "/x").Name).To(Equal("r2"))
		Expect(table.Match("Two.Example:80", "/x").Name).To(Equal("r2"))
	})
})

var _ = ginkgo.Describe("The state of the configuration", func() {
	order := func(base uint64, raw string) Order { return Order{Base: base, Raw: []byte(raw)} }

	ginkgo.It("accepts an order once, and acknowledges its repeat at any time", func() {
		state := NewState()
		Expect(state.Apply(order(0, documentText(3, "5")))).To(Succeed())
		Expect(state.Apply(order(3, documentText(5, "6")))).To(Succeed())
		for _, again := range []Order{order(0, documentText(3, "5")), order(3, documentText(5, "6"))} {
			known, err := state.Validate(again)
			Expect(known, err).To(BeTrue())
			Expect(state.Apply(again)).To(Succeed())
		}
		Expect(state.Version()).To(Equal(uint64(5)))
	})

	ginkgo.It("accepts only the first of two orders with the same base version", func() {
		state := NewState()
		Expect(state.Apply(order(0, documentText(3, "5")))).To(Succeed())
		Expect(state.Apply(order(3, documentText(5, "6")))).To(Succeed())
		var conflict *ConflictError
		Expect(errors.As(state.Apply(order(3, documentText(6, "7"))), &conflict)).To(BeTrue())
		Expect(errors.As(state.Apply(order(3, documentText(5, "7"))), &conflict)).To(BeTrue())
	})

	ginkgo.It("rejects a version that is not higher than the current one", func() {
		state := NewState()
		Expect(state.Apply(order(0, documentText(3, "5")))).To(Succeed())
		var invalid *InvalidError
		Expect(errors.As(state.Apply(order(3, documentText(3, "6"))), &invalid)).To(BeTrue())
		Expect(errors.As(state.Apply(order(3, documentText(2, "6"))), &invalid)).To(BeTrue())
	})

	ginkgo.It("is restored from a snapshot", func() {
		state := NewState()
		Expect(state.Apply(order(0, documentText(3, "5")))).To(Succeed())
		data, err := state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := NewState()
		Expect(restored.Restore(data)).To(Succeed())
		known, err := restored.Validate(order(0, documentText(3, "5")))
		Expect(known, err).To(BeTrue())
		Expect(restored.Current().Raw).To(Equal([]byte(documentText(3, "5"))))
	})

	ginkgo.It("bounds the history of accepted orders", func() {
		state := NewState()
		for i := range maxHistory + 10 {
			state.recordAccepted(acceptedOrder{Version: uint64(i), Hash: [32]byte{byte(i), byte(i >> 8)}})
		}
		Expect(state.hashes).To(HaveLen(maxHistory))
	})
})
