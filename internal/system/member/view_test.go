package member

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/feed"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/wire"
)

var _ = ginkgo.Describe("A view", func() {
	record := func(unit string, owner ownership.Owner) feed.Change {
		return feed.Change{Key: keeper.PrefixOwner + unit, Value: wire.Encode(&owner)}
	}
	follow := func(view *View, whole bool, changes ...feed.Change) *View {
		next, err := view.withUpdate(feed.Update{Snapshot: whole, Changes: changes})
		Expect(err).NotTo(HaveOccurred())
		return next
	}

	ginkgo.It("never accepts an older ownership record, even after an update without one", func() {
		mine, others := ownership.Owner{Incarnation: "a", Token: 5}, ownership.Owner{Incarnation: "b", Token: 6}
		view := follow(emptyView(), true, record("key/1", others))
		for name, without := range map[string]*View{
			"whole":   follow(view, true),
			"deleted": follow(view, false, feed.Change{Key: keeper.PrefixOwner + "key/1"}),
		} {
			Expect(without.Owners).To(HaveKeyWithValue("key/1", others), name)
			Expect(follow(without, true, record("key/1", mine)).Owners).To(HaveKeyWithValue("key/1", others), name)
			newer := ownership.Owner{Incarnation: "a", Token: 7}
			Expect(follow(without, true, record("key/1", newer)).Owners).To(HaveKeyWithValue("key/1", newer), name)
		}
	})

	ginkgo.It("bounds the ownership records that it retains after the feed has dropped them", func() {
		var changes []feed.Change
		for i := range maxRetainedOwners + 1 {
			changes = append(changes, record(fmt.Sprintf("paced/%d", i), ownership.Owner{Incarnation: "a", Token: 1}))
		}
		view := follow(emptyView(), true, changes...)
		Expect(follow(view, true, changes[0]).Owners).To(HaveLen(1))
	})
})
