package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/segment"
)

var _ = ginkgo.Describe("A member's disk", func() {
	var path string

	open := func(identity Identity) *Member {
		folder, err := segment.OpenFolder(path)
		Expect(err).NotTo(HaveOccurred())
		member, err := Open(folder, identity)
		Expect(err).NotTo(HaveOccurred())
		return member
	}
	entry := func(index, term uint64) agreement.Entry {
		return agreement.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "%d/%d", index, term)}
	}
	founder := Identity{ID: "a", Founders: []string{"a", "b", "c"}}

	ginkgo.BeforeEach(func() { path = ginkgo.GinkgoT().TempDir() })

	ginkgo.It("keeps the identity that it was begun with", func() {
		Expect(open(founder).Stored().Snapshot.Members.Voters).To(Equal(founder.Founders))
		member := open(Identity{ID: "a#other"})
		Expect(member.ID()).To(Equal("a"))
		Expect(member.Begin(Identity{ID: "a#new"})).To(Succeed())
		again := open(founder)
		Expect(again.ID()).To(Equal("a#new"))
		Expect(again.Stored().Snapshot.Members.Voters).To(BeEmpty())
	})

	ginkgo.It("gives back term, vote and entries, with what a later leader replaced", func() {
		member := open(founder)
		Expect(member.Save(&agreement.Ready{HardState: &agreement.HardState{Term: 2, Vote: "b"},
			Entries: []agreement.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}})).To(Succeed())
		Expect(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(2, 2)}})).To(Succeed())
		stored := open(founder).Stored()
		Expect(stored.HardState).To(Equal(agreement.HardState{Term: 2, Vote: "b"}))
		Expect(stored.Entries).To(Equal([]agreement.Entry{entry(1, 1), entry(2, 2)}))
	})

	ginkgo.It("replaces its log by a snapshot, and survives a snapshot that was not finished", func() {
		member := open(founder)
		Expect(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}})).To(Succeed())
		stored := agreement.Stored{HardState: agreement.HardState{Term: 1}, Entries: []agreement.Entry{entry(3, 1)},
			Snapshot: agreement.Snapshot{Index: 2, Term: 1, Data: []byte("state"), Members: agreement.Membership{Voters: founder.Founders}}}
		Expect(member.Compact(stored)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(path, snapshotName(9)), []byte("torn"), 0o644)).To(Succeed())
		again := open(founder)
		Expect(again.Stored()).To(Equal(stored))
		Expect(again.ID()).To(Equal("a"))
	})

	ginkgo.It("says so where a snapshot that the log names is not whole", func() {
		member := open(founder)
		Expect(member.Compact(agreement.Stored{Snapshot: agreement.Snapshot{Index: 2, Term: 1, Data: []byte("state")}})).To(Succeed())
		Expect(os.WriteFile(filepath.Join(path, snapshotName(2)), []byte("other bytes"), 0o644)).To(Succeed())
		folder, err := segment.OpenFolder(path)
		Expect(err).NotTo(HaveOccurred())
		_, err = Open(folder, founder)
		var corrupt *CorruptError
		Expect(errors.As(err, &corrupt)).To(BeTrue())
	})
})
