package feed

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// apply returns a subscriber's copy of the table after an update.
func apply(copy map[string]string, update Update) map[string]string {
	if update.Snapshot {
		copy = map[string]string{}
	}
	for _, change := range update.Changes {
		if change.Value == nil {
			delete(copy, change.Key)
			continue
		}
		copy[change.Key] = string(change.Value)
	}
	return copy
}

var _ = ginkgo.Describe("A feed", func() {
	ginkgo.It("bootstraps from a snapshot and follows the changes", func() {
		table := NewTable("epoch")
		table.Set("a", []byte("1"))
		first := table.UpdateSince(Position{})
		Expect(first.Snapshot).To(BeTrue())
		copied := apply(nil, first)
		table.Set("b", []byte("2"))
		table.Delete("a")
		second := table.UpdateSince(first.Position)
		Expect(second.Snapshot).To(BeFalse())
		Expect(second.Changes).To(HaveLen(2))
		Expect(apply(copied, second)).To(Equal(map[string]string{"b": "2"}))
	})

	ginkgo.It("logs no change if a value stays the same or a key does not exist", func() {
		table := NewTable("epoch")
		table.Set("a", []byte("1"))
		offset := table.Offset()
		table.Set("a", []byte("1"))
		table.Delete("b")
		Expect(table.Offset()).To(Equal(offset))
	})

	ginkgo.It("sends a new snapshot after a gap, and to a subscriber of another epoch", func() {
		table := NewTable("epoch")
		table.Set("a", []byte("1"))
		position := table.UpdateSince(Position{}).Position
		for i := range 3 * maxChanges {
			table.Set("b", fmt.Appendf(nil, "%d", i))
		}
		update := table.UpdateSince(position)
		Expect(update.Snapshot).To(BeTrue())
		Expect(update.Changes).To(HaveLen(2))
		Expect(table.UpdateSince(Position{Epoch: "other", Offset: table.Offset()}).Snapshot).To(BeTrue())
		Expect(table.UpdateSince(Position{Epoch: "epoch", Offset: table.Offset() + 5}).Snapshot).To(BeTrue())
	})
})
