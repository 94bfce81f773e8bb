package simulation

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The history of configuration calls", func() {
	order := func(base, version uint64, content string) configurationCall {
		return configurationCall{base: base, version: version, content: content}
	}
	reading := func(content string) configurationAnswer { return configurationAnswer{verdict: read, content: content} }
	// call is one whole call that begins at a time and takes 10.
	call := func(h *configurationHistory, at time.Duration, call configurationCall, answer configurationAnswer) {
		h.begin(at, call)(at+10, answer)
	}

	It("is explained where orders follow each other, are repeated, and one of two wins", func() {
		h := newConfigurationHistory()
		call(h, 0, order(0, 1, "a"), configurationAnswer{verdict: taken})
		first, second := h.begin(20, order(1, 2, "b")), h.begin(20, order(1, 2, "c"))
		first(30, configurationAnswer{verdict: taken})
		second(30, configurationAnswer{verdict: refused})
		call(h, 40, order(0, 1, "a"), configurationAnswer{verdict: taken})
		call(h, 60, configurationCall{}, reading("b"))
		h.begin(70, order(2, 3, "d"))
		call(h, 80, configurationCall{}, reading("b"))
		call(h, 100, configurationCall{}, reading("d"))
		Expect(h.linearizable()).To(BeTrue())
	})

	It("is not explained where a reading is older than an order that was taken", func() {
		h := newConfigurationHistory()
		call(h, 0, order(0, 1, "a"), configurationAnswer{verdict: taken})
		call(h, 20, order(1, 2, "b"), configurationAnswer{verdict: taken})
		call(h, 40, configurationCall{}, reading("a"))
		Expect(h.linearizable()).To(BeFalse())
	})

	It("is not explained where two orders on one base are taken, or one is taken and refused later", func() {
		h := newConfigurationHistory()
		call(h, 0, order(0, 1, "a"), configurationAnswer{verdict: taken})
		call(h, 20, order(0, 2, "b"), configurationAnswer{verdict: taken})
		Expect(h.linearizable()).To(BeFalse())
		h = newConfigurationHistory()
		call(h, 0, order(0, 1, "a"), configurationAnswer{verdict: taken})
		call(h, 20, order(0, 1, "a"), configurationAnswer{verdict: refused})
		Expect(h.linearizable()).To(BeFalse())
	})
})
