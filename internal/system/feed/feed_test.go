package feed

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// apply brings a subscriber's copy to where an update leads.
func apply(copy map[string]string, update Update) map[string]string {
	if update.Whole {
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
	ginkgo.It("bootstraps from a snapshot and tails the changes", func() {
		table := NewTable("life")
		table.Set("a", []byte("1"))
		first := table.Since(Position{})
		Expect(first.Whole).To(BeTrue())
		held := apply(nil, first)
		table.Set("b", []byte("2"))
		table.Delete("a")
		second := table.Since(first.Position)
		Expect(second.Whole).To(BeFalse())
		Expect(second.Changes).To(HaveLen(2))
		Expect(apply(held, second)).To(Equal(map[string]string{"b": "2"}))
	})

	ginkgo.It("logs no change where nothing changed", func() {
		table := NewTable("life")
		table.Set("a", []byte("1"))
		offset := table.Offset()
		table.Set("a", []byte("1"))
		table.Delete("b")
		Expect(table.Offset()).To(Equal(offset))
	})

	ginkgo.It("gives a new snapshot over a gap, and to a subscriber of another life", func() {
		table := NewTable("life")
		table.Set("a", []byte("1"))
		position := table.Since(Position{}).Position
		for i := range 3 * maxChanges {
			table.Set("b", fmt.Appendf(nil, "%d", i))
		}
		update := table.Since(position)
		Expect(update.Whole).To(BeTrue())
		Expect(update.Changes).To(HaveLen(2))
		Expect(table.Since(Position{Epoch: "other", Offset: table.Offset()}).Whole).To(BeTrue())
		Expect(table.Since(Position{Epoch: "life", Offset: table.Offset() + 5}).Whole).To(BeTrue())
	})
})
