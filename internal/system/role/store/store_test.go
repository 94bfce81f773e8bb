package store

import (
	"fmt"
	"os"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

var _ = ginkgo.Describe("A store", func() {
	var f *fixture

	ginkgo.BeforeEach(func() {
		f = &fixture{path: ginkgo.GinkgoT().TempDir()}
		f.open(true)
	})

	ginkgo.It("answers a put only once it is synced", func() {
		answered := false
		f.core.Put(newMessage("a"), 0, func(*wire.RefusalBody) { answered = true })
		Expect(answered).To(BeFalse())
		Expect(f.listed()).To(BeEmpty())
		f.flush()
		Expect(answered).To(BeTrue())
		Expect(f.listed()).To(Equal([]string{"a"}))
	})

	ginkgo.It("keeps messages, outcomes and voids over a restart", func() {
		Expect(f.put("a")).To(BeNil())
		Expect(f.put("b")).To(BeNil())
		Expect(f.put("c")).To(BeNil())
		Expect(f.void("c")).To(BeNil())
		f.complete("b", message.Succeeded)
		f.open(false)
		Expect(f.core.Complete()).To(BeTrue())
		Expect(f.listed()).To(Equal([]string{"a"}))
		Expect(f.find("b").Stamp).To(Equal("stamp"))
		Expect(f.find("c").Known).To(BeFalse())
		Expect(f.put("c")).NotTo(BeNil(), "a void message that arrives late")
	})

	ginkgo.It("voids a message that has not arrived yet", func() {
		Expect(f.void("a")).To(BeNil())
		refusal := f.put("a")
		Expect(refusal.Code).To(Equal(wire.Cancelled))
	})

	ginkgo.It("refuses to void a message that others may know: listed, copied, completed or loaded from the log", func() {
		for _, id := range []string{"listed", "completed", "loaded"} {
			Expect(f.put(id)).To(BeNil())
		}
		f.complete("completed", message.Succeeded)
		Expect(f.void("completed")).NotTo(BeNil())
		_ = f.listed()
		Expect(f.void("listed")).NotTo(BeNil())
		Expect(f.put("copied")).To(BeNil())
		_, err := f.core.Copies([]string{"copied"})
		Expect(err).NotTo(HaveOccurred())
		Expect(f.void("copied")).NotTo(BeNil())
		f.open(false)
		Expect(f.void("loaded")).NotTo(BeNil())
	})

	ginkgo.It("refuses messages sent under an older roster", func() {
		f.core.SetRoster(4, false)
		var refusal *wire.RefusalBody
		f.core.Put(newMessage("a"), 3, func(r *wire.RefusalBody) { refusal = r })
		Expect(refusal.Code).To(Equal(wire.StaleRoster))
	})

	ginkgo.It("is incomplete on an empty disk of a running system until backfilled, and again once the disk was replaced", func() {
		fresh := &fixture{path: ginkgo.GinkgoT().TempDir()}
		fresh.open(false)
		Expect(fresh.core.Complete()).To(BeFalse())
		for i := range 50 {
			Expect(f.put(fmt.Sprintf("m%02d", i))).To(BeNil())
		}
		f.complete("m00", message.Succeeded)
		Expect(f.put("void")).To(BeNil())
		Expect(f.void("void")).To(BeNil())
		held := f.core.ListHeld(wire.HeldBody{})
		Expect(held.IDs).To(HaveLen(51))
		Expect(held.More).To(BeFalse())
		Expect(f.copyTo(fresh, held.IDs)).To(Equal(51))
		fresh.core.FinishBackfill()
		fresh.flush()
		Expect(fresh.core.Complete()).To(BeTrue())
		Expect(fresh.listed()).To(HaveLen(49))
		Expect(fresh.find("m00").Phase).To(Equal(message.Succeeded))
		Expect(fresh.put("void")).NotTo(BeNil())
		f.complete("m07", message.DeadLetter)
		held = f.core.ListHeld(wire.HeldBody{After: held.Next})
		Expect(held.IDs).To(Equal([]string{"m07"}), "what has changed since is listed again")
		Expect(held.States).To(Equal([]wire.HeldState{wire.HeldMessage | wire.HeldOutcome}), "the bytes of a dead letter may be requested")
		fresh.core.SetRoster(9, true)
		Expect(fresh.core.Complete()).To(BeFalse())
	})

	ginkgo.It("reports a roster's epoch only once everything accepted under older rosters is synced", func() {
		f.core.SetRoster(3, false)
		f.flush()
		f.core.Put(newMessage("a"), 3, func(*wire.RefusalBody) {})
		unsynced := f.core.TakeBatch()
		f.core.SetRoster(4, false)
		Expect(f.core.ListHeld(wire.HeldBody{}).Epoch).To(BeNumerically("<", 4))
		positions, err := f.log.Append(unsynced.Payloads...)
		Expect(err).NotTo(HaveOccurred())
		f.core.BatchSynced(f.now, unsynced, positions)
		Expect(f.core.ListHeld(wire.HeldBody{}).Epoch).To(BeNumerically("<", 4), "the batch was taken under the previous roster")
		f.flush()
		held := f.core.ListHeld(wire.HeldBody{})
		Expect(held.Epoch).To(BeNumerically("==", 4))
		Expect(held.IDs).To(Equal([]string{"a"}))
	})

	ginkgo.It("lists everything it holds in parts, including changes between the parts", func() {
		big := &fixture{path: ginkgo.GinkgoT().TempDir()}
		big.open(true)
		big.core.options.DiskBytes = 64 << 20
		const count = maxListedEntries + 500
		for i := range count {
			big.core.Put(newMessage(fmt.Sprintf("m%05d", i)), 0, func(*wire.RefusalBody) {})
		}
		big.flush()
		first := big.core.ListHeld(wire.HeldBody{})
		Expect(first.More).To(BeTrue())
		big.complete("m00000", message.Succeeded)
		second := big.core.ListHeld(wire.HeldBody{After: first.Next})
		Expect(second.More).To(BeFalse())
		Expect(first.IDs).To(HaveLen(maxListedEntries))
		Expect(second.IDs).To(HaveLen(501))
		Expect(second.IDs[500]).To(Equal("m00000"))
		Expect(second.States[500]).To(Equal(wire.HeldOutcome))
	})

	ginkgo.It("measures a message's age by its own clock, not by the wall clock of the accepting carrier", func() {
		m := newMessage("a")
		m.Accepted = 5
		f.core.Put(m, 0, func(*wire.RefusalBody) {})
		f.flush()
		f.advance(3 * time.Second)
		f.open(false)
		answer, err := f.core.List(wire.ListBody{Unit: "u"})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Messages[0].Age).To(Equal(3 * time.Second))
	})

	ginkgo.It("refuses messages while the disk is full, and keeps outcomes for a later batch", func() {
		Expect(f.put("a")).To(BeNil())
		var refusal *wire.RefusalBody
		recorded := false
		f.core.Put(newMessage("b"), 0, func(r *wire.RefusalBody) { refusal = r })
		f.core.PutOutcomes([]message.Outcome{{ID: "a", Phase: message.Succeeded, Stamp: "s"}}, func() { recorded = true })
		f.core.DiskFull(f.core.TakeBatch())
		Expect(refusal.Code).To(Equal(wire.CallFailed))
		Expect(recorded).To(BeFalse())
		f.flush()
		Expect(recorded).To(BeTrue())
		f.open(false)
		Expect(f.find("a").Phase).To(Equal(message.Succeeded))
	})

	ginkgo.It("forgets outcomes after the status time, and completes messages without an outcome after their retention", func() {
		Expect(f.put("a")).To(BeNil())
		Expect(f.put("b")).To(BeNil())
		f.complete("a", message.Succeeded)
		f.advance(119 * time.Second)
		Expect(f.find("a").Known).To(BeTrue())
		f.advance(2 * time.Second)
		Expect(f.find("a").Known).To(BeFalse())
		Expect(f.find("b").Phase).To(Equal(message.DeadLetter))
	})

	ginkgo.It("reclaims space from segments of completed messages without losing pending ones", func() {
		for i := range 400 {
			if i%100 == 99 {
				f.advance(20 * time.Second) // old outcomes are forgotten
			}
			id := fmt.Sprintf("m%03d", i)
			Expect(f.put(id)).To(BeNil())
			if i%40 != 0 {
				f.complete(id, message.Succeeded)
			}
			f.clean()
			f.advance(time.Millisecond)
		}
		names, err := os.ReadDir(f.path)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(names)).To(BeNumerically("<", 12))
		f.open(false)
		Expect(f.listed()).To(HaveLen(10))
	})

	ginkgo.It("removes no segment while the disk has no space for the records still needed from it", func() {
		pending := 0
		for i := 0; float64(f.core.LogBytes()) < 0.5*160*(1<<10); i++ {
			id := fmt.Sprintf("m%03d", i)
			Expect(f.put(id)).To(BeNil())
			if i%10 != 0 {
				f.complete(id, message.Succeeded)
			} else {
				pending++
			}
		}
		f.full = true
		for range 5 {
			Expect(f.clean()).To(BeZero())
			f.advance(500 * time.Millisecond)
		}
		waiting := len(f.core.batch)
		Expect(f.clean()).To(BeZero())
		Expect(f.core.batch).To(HaveLen(waiting), "records that wait for space are appended only once")
		f.open(false) // the process is killed
		Expect(f.listed()).To(HaveLen(pending))
		Expect(f.clean()).To(BeZero())
		f.full = false
		Expect(f.clean()).To(BeNumerically(">", 0))
		f.open(false)
		Expect(f.listed()).To(HaveLen(pending))
	})
})
