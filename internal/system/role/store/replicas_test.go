package store

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/member"
	"granitewing/internal/system/session"
	"granitewing/internal/system/tolerance"
	"granitewing/internal/system/wire"
)

const (
	pending    = wire.HeldMessage
	succeeded  = wire.HeldOutcome
	deadLetter = wire.HeldMessage | wire.HeldOutcome
	owed       = wire.HeldMessage | wire.HeldOutcome | wire.HeldPendingCallback
	void       = wire.HeldCancellation
)

// rosterOf returns a view in which all disks count, each in a zone of its own.
func rosterOf(disks ...string) *member.View {
	view := &member.View{Disks: map[string]session.Disk{}}
	for i, disk := range disks {
		view.Disks[disk] = session.Disk{Counted: true, Member: session.Member{Zone: fmt.Sprint("zone-", i), Disk: disk}}
	}
	return view
}

var _ = ginkgo.Describe("A replica index", func() {
	view := rosterOf("a", "b", "c", "d")
	uncounted := view.Disks["d"]
	uncounted.Counted = false
	view.Disks["d"] = uncounted
	leaving := view.Disks["c"]
	leaving.Leaving = true
	view.Disks["c"] = leaving

	ginkgo.DescribeTable("returns under-replicated messages with the required state and its holders",
		func(held map[string]wire.HeldState, required wire.HeldState, holders ...string) {
			x := newReplicaIndex(&tolerance.Tolerance{Machines: 1})
			for _, disk := range []string{"a", "b", "c", "d", "lost"} {
				if state, known := held[disk]; known {
					x.set(disk, "m", state)
				}
			}
			found := x.underReplicated(view)
			if required == 0 {
				Expect(found).To(BeEmpty())
				return
			}
			Expect(found).To(HaveLen(1))
			Expect(found[0].required).To(Equal(required))
			Expect(found[0].holders).To(ConsistOf(holders))
		},
		ginkgo.Entry("on two disks that stay", map[string]wire.HeldState{"a": pending, "b": pending}, wire.HeldState(0)),
		ginkgo.Entry("on one disk", map[string]wire.HeldState{"a": pending}, pending, "a"),
		ginkgo.Entry("on one disk and a lost one", map[string]wire.HeldState{"a": pending, "lost": pending}, pending, "a"),
		ginkgo.Entry("on one disk and one that is leaving", map[string]wire.HeldState{"a": pending, "c": pending}, pending, "a"),
		ginkgo.Entry("on one disk and one that does not count", map[string]wire.HeldState{"a": pending, "d": pending}, pending, "a"),
		ginkgo.Entry("completed only according to a lost disk", map[string]wire.HeldState{"a": pending, "b": pending, "lost": succeeded}, wire.HeldState(0)),
		ginkgo.Entry("only on one that is leaving", map[string]wire.HeldState{"c": pending}, pending),
		ginkgo.Entry("completed on two disks", map[string]wire.HeldState{"a": succeeded, "b": succeeded}, wire.HeldState(0)),
		ginkgo.Entry("completed on one disk, still pending on the other", map[string]wire.HeldState{"a": succeeded, "b": pending}, succeeded, "a"),
		ginkgo.Entry("a dead letter, whose bytes may be requested", map[string]wire.HeldState{"a": deadLetter, "b": succeeded}, deadLetter, "a"),
		ginkgo.Entry("completed, with its callback owed", map[string]wire.HeldState{"a": owed, "b": pending}, owed, "a"),
		ginkgo.Entry("completed, with its callback delivered according to the other disks", map[string]wire.HeldState{"a": succeeded, "b": succeeded, "c": owed},
			wire.HeldState(0)),
		ginkgo.Entry("completed, with its callback delivered according to one disk", map[string]wire.HeldState{"a": succeeded, "c": owed}, succeeded, "a"),
		ginkgo.Entry("void on one disk", map[string]wire.HeldState{"a": void, "b": pending}, void, "a"),
		ginkgo.Entry("no longer held", map[string]wire.HeldState{"a": 0, "b": 0}, wire.HeldState(0)),
	)

	ginkgo.It("returns messages on the fewest disks first", func() {
		x := newReplicaIndex(&tolerance.Tolerance{Machines: 2})
		for i, holders := range [][]string{{"a", "b"}, {"a"}, {"b", "a"}, {}} {
			for _, disk := range holders {
				x.set(disk, fmt.Sprint("m", i), pending)
			}
		}
		x.set("c", "m3", pending)
		var ids []string
		for _, m := range x.underReplicated(view) {
			ids = append(ids, m.id)
		}
		Expect(ids).To(Equal([]string{"m3", "m1", "m0", "m2"}))
	})

	ginkgo.It("applies changed states and epochs", func() {
		x := newReplicaIndex(&tolerance.Tolerance{Machines: 1})
		progress := x.progressOf("incarnation-1")
		x.addPart("a", progress, &wire.HeldAnswer{IDs: []string{"m"}, States: []wire.HeldState{pending}, Next: 5, More: true, Epoch: 2})
		Expect(progress.caughtUp(2)).To(BeFalse())
		x.addPart("a", progress, &wire.HeldAnswer{IDs: []string{"m"}, States: []wire.HeldState{succeeded}, Next: 6, Epoch: 2})
		Expect(progress.caughtUp(2)).To(BeTrue())
		Expect(progress.caughtUp(3)).To(BeFalse())
		Expect(x.state("a", "m")).To(Equal(succeeded))
		Expect(x.state("b", "m")).To(BeZero())
	})
})
