package simulation

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The configuration history", func() {
	change := func(base, version uint64, content string) configurationCall {
		return configurationCall{base: base, version: version, content: content}
	}
	read := func(content string) configurationAnswer {
		return configurationAnswer{verdict: verdictRead, content: content}
	}
	// call records a whole call that begins at a time and takes 10 ns.
	call := func(h *configurationHistory, at time.Duration, call configurationCall, answer configurationAnswer) {
		h.recordCall(at, call)(at+10, answer)
	}

	It("is linearizable if changes follow each other, are repeated, and one of two is accepted", func() {
		h := newConfigurationHistory()
		call(h, 0, change(0, 1, "a"), configurationAnswer{verdict: verdictAccepted})
		first, second := h.recordCall(20, change(1, 2, "b")), h.recordCall(20, change(1, 2, "c"))
		first(30, configurationAnswer{verdict: verdictAccepted})
		second(30, configurationAnswer{verdict: verdictRefused})
		call(h, 40, change(0, 1, "a"), configurationAnswer{verdict: verdictAccepted})
		call(h, 60, configurationCall{}, read("b"))
		h.recordCall(70, change(2, 3, "d"))
		call(h, 80, configurationCall{}, read("b"))
		call(h, 100, configurationCall{}, read("d"))
		Expect(h.linearizable()).To(BeTrue())
	})

	It("is not linearizable if a read is older than an accepted change", func() {
		h := newConfigurationHistory()
		call(h, 0, change(0, 1, "a"), configurationAnswer{verdict: verdictAccepted})
		call(h, 20, change(1, 2, "b"), configurationAnswer{verdict: verdictAccepted})
		call(h, 40, configurationCall{}, read("a"))
		Expect(h.linearizable()).To(BeFalse())
	})

	It("is not linearizable if two changes of one base are accepted, or one is accepted and refused later", func() {
		h := newConfigurationHistory()
		call(h, 0, change(0, 1, "a"), configurationAnswer{verdict: verdictAccepted})
		call(h, 20, change(0, 2, "b"), configurationAnswer{verdict: verdictAccepted})
		Expect(h.linearizable()).To(BeFalse())
		h = newConfigurationHistory()
		call(h, 0, change(0, 1, "a"), configurationAnswer{verdict: verdictAccepted})
		call(h, 20, change(0, 1, "a"), configurationAnswer{verdict: verdictRefused})
		Expect(h.linearizable()).To(BeFalse())
	})
})
