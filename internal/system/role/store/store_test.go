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
	var b *bench

	ginkgo.BeforeEach(func() {
		b = &bench{path: ginkgo.GinkgoT().TempDir()}
		b.open(true)
	})

	ginkgo.It("answers a put only once it is synced", func() {
		answered := false
		b.core.Put(newMessage("a"), 0, func(*wire.RefusalBody) { answered = true })
		Expect(answered).To(BeFalse())
		Expect(b.listed()).To(BeEmpty())
		b.flush()
		Expect(answered).To(BeTrue())
		Expect(b.listed()).To(Equal([]string{"a"}))
	})

	ginkgo.It("holds messages, ends and voids over a start", func() {
		Expect(b.put("a")).To(BeNil())
		Expect(b.put("b")).To(BeNil())
		Expect(b.put("c")).To(BeNil())
		Expect(b.void("c")).To(BeNil())
		b.end("b", message.Succeeded)
		b.open(false)
		Expect(b.core.Complete()).To(BeTrue())
		Expect(b.listed()).To(Equal([]string{"a"}))
		Expect(b.find("b").Stamp).To(Equal("stamp"))
		Expect(b.find("c").Known).To(BeFalse())
		Expect(b.put("c")).NotTo(BeNil(), "a void message that comes late")
	})

	ginkgo.It("makes void what has not come yet", func() {
		Expect(b.void("a")).To(BeNil())
		refusal := b.put("a")
		Expect(refusal.Code).To(Equal(wire.Voided))
	})

	ginkgo.It("does not make void what others may know of: listed, copied, ended, or loaded from an earlier life", func() {
		for _, id := range []string{"listed", "ended", "loaded"} {
			Expect(b.put(id)).To(BeNil())
		}
		b.end("ended", message.Succeeded)
		Expect(b.void("ended")).NotTo(BeNil())
		_ = b.listed()
		Expect(b.void("listed")).NotTo(BeNil())
		Expect(b.put("copied")).To(BeNil())
		_, err := b.core.Copies([]string{"copied"})
		Expect(err).NotTo(HaveOccurred())
		Expect(b.void("copied")).NotTo(BeNil())
		b.open(false)
		Expect(b.void("loaded")).NotTo(BeNil())
	})

	ginkgo.It("takes nothing that is meant for an older roster", func() {
		b.core.Follow(4, false)
		var refusal *wire.RefusalBody
		b.core.Put(newMessage("a"), 3, func(r *wire.RefusalBody) { refusal = r })
		Expect(refusal.Code).To(Equal(wire.StaleRoster))
	})

	ginkgo.It("is not complete on an empty disk of a system that runs, until it was filled; and again once it was replaced", func() {
		fresh := &bench{path: ginkgo.GinkgoT().TempDir()}
		fresh.open(false)
		Expect(fresh.core.Complete()).To(BeFalse())
		for i := range 50 {
			Expect(b.put(fmt.Sprintf("m%02d", i))).To(BeNil())
		}
		b.end("m00", message.Succeeded)
		Expect(b.put("void")).To(BeNil())
		Expect(b.void("void")).To(BeNil())
		held := b.core.Held(wire.HeldBody{})
		Expect(held.IDs).To(HaveLen(51))
		Expect(held.More).To(BeFalse())
		Expect(b.copyTo(fresh, held.IDs)).To(Equal(51))
		fresh.core.CopyFinished()
		fresh.flush()
		Expect(fresh.core.Complete()).To(BeTrue())
		Expect(fresh.listed()).To(HaveLen(49))
		Expect(fresh.find("m00").Phase).To(Equal(message.Succeeded))
		Expect(fresh.put("void")).NotTo(BeNil())
		b.end("m07", message.DeadLetter)
		held = b.core.Held(wire.HeldBody{After: held.Next})
		Expect(held.IDs).To(Equal([]string{"m07"}), "what changed since is told again")
		Expect(held.States).To(Equal([]wire.HeldState{wire.HeldBytes | wire.HeldEnd}), "bytes of a dead letter may be asked for")
		fresh.core.Follow(9, true)
		Expect(fresh.core.Complete()).To(BeFalse())
	})

	ginkgo.It("tells a roster's epoch only once all that was taken for older ones is synced", func() {
		b.core.Follow(3, false)
		b.flush()
		b.core.Put(newMessage("a"), 3, func(*wire.RefusalBody) {})
		unsynced := b.core.Take()
		b.core.Follow(4, false)
		Expect(b.core.Held(wire.HeldBody{}).Epoch).To(BeNumerically("<", 4))
		positions, err := b.log.Append(unsynced.Payloads...)
		Expect(err).NotTo(HaveOccurred())
		b.core.Synced(b.now, unsynced, positions)
		Expect(b.core.Held(wire.HeldBody{}).Epoch).To(BeNumerically("<", 4), "the batch was taken under the former roster")
		b.flush()
		held := b.core.Held(wire.HeldBody{})
		Expect(held.Epoch).To(BeNumerically("==", 4))
		Expect(held.IDs).To(Equal([]string{"a"}))
	})

	ginkgo.It("tells all that it holds in parts, whatever changes meanwhile", func() {
		big := &bench{path: ginkgo.GinkgoT().TempDir()}
		big.open(true)
		big.core.options.DiskBytes = 64 << 20
		const count = heldRecords + 500
		for i := range count {
			big.core.Put(newMessage(fmt.Sprintf("m%05d", i)), 0, func(*wire.RefusalBody) {})
		}
		big.flush()
		first := big.core.Held(wire.HeldBody{})
		Expect(first.More).To(BeTrue())
		big.end("m00000", message.Succeeded)
		second := big.core.Held(wire.HeldBody{After: first.Next})
		Expect(second.More).To(BeFalse())
		Expect(first.IDs).To(HaveLen(heldRecords))
		Expect(second.IDs).To(HaveLen(501))
		Expect(second.IDs[500]).To(Equal("m00000"))
		Expect(second.States[500]).To(Equal(wire.HeldEnd))
	})

	ginkgo.It("tells a message's age by its own clocks, whatever the acceptor's said", func() {
		m := newMessage("a")
		m.Accepted = 5
		b.core.Put(m, 0, func(*wire.RefusalBody) {})
		b.flush()
		b.pass(3 * time.Second)
		b.open(false)
		answer, err := b.core.List(wire.ListBody{Unit: "u"})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Messages[0].Age).To(Equal(3 * time.Second))
	})

	ginkgo.It("refuses messages while the disk is full, and keeps ends for later", func() {
		Expect(b.put("a")).To(BeNil())
		var refusal *wire.RefusalBody
		ended := false
		b.core.Put(newMessage("b"), 0, func(r *wire.RefusalBody) { refusal = r })
		b.core.Ends([]message.End{{ID: "a", Phase: message.Succeeded, Stamp: "s"}}, func() { ended = true })
		b.core.Full(b.core.Take())
		Expect(refusal.Code).To(Equal(wire.Failed))
		Expect(ended).To(BeFalse())
		b.flush()
		Expect(ended).To(BeTrue())
		b.open(false)
		Expect(b.find("a").Phase).To(Equal(message.Succeeded))
	})

	ginkgo.It("forgets ends after their status was due, and ends what nobody ended within its retention", func() {
		Expect(b.put("a")).To(BeNil())
		Expect(b.put("b")).To(BeNil())
		b.end("a", message.Succeeded)
		b.pass(119 * time.Second)
		Expect(b.find("a").Known).To(BeTrue())
		b.pass(2 * time.Second)
		Expect(b.find("a").Known).To(BeFalse())
		Expect(b.find("b").Phase).To(Equal(message.DeadLetter))
	})

	ginkgo.It("wins space back from segments whose messages have ended, and loses none that has not", func() {
		for i := range 400 {
			if i%100 == 99 {
				b.pass(20 * time.Second) // ends are forgotten in time
			}
			id := fmt.Sprintf("m%03d", i)
			Expect(b.put(id)).To(BeNil())
			if i%40 != 0 {
				b.end(id, message.Succeeded)
			}
			b.clean()
			b.pass(time.Millisecond)
		}
		names, err := os.ReadDir(b.path)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(names)).To(BeNumerically("<", 12))
		b.open(false)
		Expect(b.listed()).To(HaveLen(10))
	})

	ginkgo.It("removes no segment while there is no room for what is needed of it", func() {
		pending := 0
		for i := 0; float64(b.core.Bytes()) < 0.5*160*(1<<10); i++ {
			id := fmt.Sprintf("m%03d", i)
			Expect(b.put(id)).To(BeNil())
			if i%10 != 0 {
				b.end(id, message.Succeeded)
			} else {
				pending++
			}
		}
		b.full = true
		for range 5 {
			Expect(b.clean()).To(BeZero())
			b.pass(500 * time.Millisecond)
		}
		waiting := len(b.core.batch)
		Expect(b.clean()).To(BeZero())
		Expect(b.core.batch).To(HaveLen(waiting), "what waits for room is gathered once")
		b.open(false) // the process is killed
		Expect(b.listed()).To(HaveLen(pending))
		Expect(b.clean()).To(BeZero())
		b.full = false
		Expect(b.clean()).To(BeNumerically(">", 0))
		b.open(false)
		Expect(b.listed()).To(HaveLen(pending))
	})
})
