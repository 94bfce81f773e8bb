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
	pending    = wire.HeldBytes
	succeeded  = wire.HeldEnd
	deadLetter = wire.HeldBytes | wire.HeldEnd
	owed       = wire.HeldBytes | wire.HeldEnd | wire.HeldOwed
	void       = wire.HeldVoid
)

// rosterOf is a view whose disks count, each in a zone of its own.
func rosterOf(disks ...string) *member.View {
	view := &member.View{Disks: map[string]session.Disk{}}
	for i, disk := range disks {
		view.Disks[disk] = session.Disk{Counted: true, Member: session.Member{Zone: fmt.Sprint("zone-", i), Disk: disk}}
	}
	return view
}

var _ = ginkgo.Describe("A census", func() {
	view := rosterOf("a", "b", "c", "d")
	uncounted := view.Disks["d"]
	uncounted.Counted = false
	view.Disks["d"] = uncounted
	leaving := view.Disks["c"]
	leaving.Leaving = true
	view.Disks["c"] = leaving

	ginkgo.DescribeTable("knows what lies on too few disks, and what is wanted of it",
		func(held map[string]wire.HeldState, lacks wire.HeldState, holders ...string) {
			c := newCensus(&tolerance.Tolerance{Machines: 1})
			for _, disk := range []string{"a", "b", "c", "d", "lost"} {
				if state, there := held[disk]; there {
					c.note(disk, "m", state)
				}
			}
			found := c.shortages(view)
			if lacks == 0 {
				Expect(found).To(BeEmpty())
				return
			}
			Expect(found).To(HaveLen(1))
			Expect(found[0].wanted).To(Equal(lacks))
			Expect(found[0].holders).To(ConsistOf(holders))
		},
		ginkgo.Entry("on two that stay", map[string]wire.HeldState{"a": pending, "b": pending}, wire.HeldState(0)),
		ginkgo.Entry("on one", map[string]wire.HeldState{"a": pending}, pending, "a"),
		ginkgo.Entry("on one and a lost one", map[string]wire.HeldState{"a": pending, "lost": pending}, pending, "a"),
		ginkgo.Entry("on one and one that leaves", map[string]wire.HeldState{"a": pending, "c": pending}, pending, "a"),
		ginkgo.Entry("on one and one that does not count", map[string]wire.HeldState{"a": pending, "d": pending}, pending, "a"),
		ginkgo.Entry("ended as a lost one alone knew", map[string]wire.HeldState{"a": pending, "b": pending, "lost": succeeded}, wire.HeldState(0)),
		ginkgo.Entry("on one that leaves alone", map[string]wire.HeldState{"c": pending}, pending),
		ginkgo.Entry("ended at two", map[string]wire.HeldState{"a": succeeded, "b": succeeded}, wire.HeldState(0)),
		ginkgo.Entry("ended at one, not told at the other yet", map[string]wire.HeldState{"a": succeeded, "b": pending}, succeeded, "a"),
		ginkgo.Entry("a dead letter, whose bytes may be asked for", map[string]wire.HeldState{"a": deadLetter, "b": succeeded}, deadLetter, "a"),
		ginkgo.Entry("ended, its call-back owed", map[string]wire.HeldState{"a": owed, "b": pending}, owed, "a"),
		ginkgo.Entry("ended, its call-back told to the others", map[string]wire.HeldState{"a": succeeded, "b": succeeded, "c": owed},
			wire.HeldState(0)),
		ginkgo.Entry("ended, its call-back told at one", map[string]wire.HeldState{"a": succeeded, "c": owed}, succeeded, "a"),
		ginkgo.Entry("void at one", map[string]wire.HeldState{"a": void, "b": pending}, void, "a"),
		ginkgo.Entry("nothing any more", map[string]wire.HeldState{"a": 0, "b": 0}, wire.HeldState(0)),
	)

	ginkgo.It("gives those on the fewest disks first", func() {
		c := newCensus(&tolerance.Tolerance{Machines: 2})
		for i, holders := range [][]string{{"a", "b"}, {"a"}, {"b", "a"}, {}} {
			for _, disk := range holders {
				c.note(disk, fmt.Sprint("m", i), pending)
			}
		}
		c.note("c", "m3", pending)
		var ids []string
		for _, lacking := range c.shortages(view) {
			ids = append(ids, lacking.id)
		}
		Expect(ids).To(Equal([]string{"m3", "m1", "m0", "m2"}))
	})

	ginkgo.It("follows what has changed", func() {
		c := newCensus(&tolerance.Tolerance{Machines: 1})
		source := c.source("life-1")
		c.take("a", source, &wire.HeldAnswer{IDs: []string{"m"}, States: []wire.HeldState{pending}, Next: 5, More: true, Epoch: 2})
		Expect(source.told(2)).To(BeFalse())
		c.take("a", source, &wire.HeldAnswer{IDs: []string{"m"}, States: []wire.HeldState{succeeded}, Next: 6, Epoch: 2})
		Expect(source.told(2)).To(BeTrue())
		Expect(source.told(3)).To(BeFalse())
		Expect(c.state("a", "m")).To(Equal(succeeded))
		Expect(c.state("b", "m")).To(BeZero())
	})
})
