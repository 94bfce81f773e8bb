package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/segment"
)

var _ = ginkgo.Describe("A member's storage", func() {
	var path string

	open := func(identity Identity) *Storage {
		folder, err := segment.OpenDirectory(path)
		Expect(err).NotTo(HaveOccurred())
		member, err := Open(folder, identity)
		Expect(err).NotTo(HaveOccurred())
		return member
	}
	entry := func(index, term uint64) agreement.Entry {
		return agreement.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "%d/%d", index, term)}
	}
	bootstrapMember := Identity{ID: "a", Founders: []string{"a", "b", "c"}}

	ginkgo.BeforeEach(func() { path = ginkgo.GinkgoT().TempDir() })

	ginkgo.It("keeps the identity with which it was started", func() {
		Expect(open(bootstrapMember).PersistentState().Snapshot.Members.Voters).To(Equal(bootstrapMember.Founders))
		member := open(Identity{ID: "a#other"})
		Expect(member.ID()).To(Equal("a"))
		Expect(member.StartIdentity(Identity{ID: "a#new"})).To(Succeed())
		again := open(bootstrapMember)
		Expect(again.ID()).To(Equal("a#new"))
		Expect(again.PersistentState().Snapshot.Members.Voters).To(BeEmpty())
	})

	ginkgo.It("restores term, vote and entries, including those that a later leader replaced", func() {
		member := open(bootstrapMember)
		Expect(member.Save(&agreement.Ready{HardState: &agreement.HardState{Term: 2, Vote: "b"},
			Entries: []agreement.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}})).To(Succeed())
		Expect(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(2, 2)}})).To(Succeed())
		stored := open(bootstrapMember).PersistentState()
		Expect(stored.HardState).To(Equal(agreement.HardState{Term: 2, Vote: "b"}))
		Expect(stored.Entries).To(Equal([]agreement.Entry{entry(1, 1), entry(2, 2)}))
	})

	ginkgo.It("replaces its log by a snapshot, and ignores an incomplete snapshot file", func() {
		member := open(bootstrapMember)
		Expect(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}})).To(Succeed())
		stored := agreement.PersistentState{HardState: agreement.HardState{Term: 1}, Entries: []agreement.Entry{entry(3, 1)},
			Snapshot: agreement.Snapshot{Index: 2, Term: 1, Data: []byte("state"), Members: agreement.Membership{Voters: bootstrapMember.Founders}}}
		Expect(member.Compact(stored)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(path, snapshotName(9)), []byte("torn"), 0o644)).To(Succeed())
		again := open(bootstrapMember)
		Expect(again.PersistentState()).To(Equal(stored))
		Expect(again.ID()).To(Equal("a"))
	})

	ginkgo.It("keeps no entries after an installed snapshot, like the member in memory", func() {
		member := open(bootstrapMember)
		Expect(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1)}})).To(Succeed())
		snapshot := &agreement.Snapshot{Index: 2, Term: 2, Data: []byte("state")}
		Expect(member.Save(&agreement.Ready{HardState: &agreement.HardState{Term: 3}, Snapshot: snapshot})).To(Succeed())
		// Entries of term 1 after a snapshot of term 2 would make the log look older than it is.
		Expect(open(bootstrapMember).PersistentState().Entries).To(BeEmpty())
		Expect(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(3, 3)}})).To(Succeed())
		Expect(open(bootstrapMember).PersistentState().Entries).To(Equal([]agreement.Entry{entry(3, 3)}))
	})

	ginkgo.It("reports a corrupt snapshot that the log refers to", func() {
		member := open(bootstrapMember)
		Expect(member.Compact(agreement.PersistentState{Snapshot: agreement.Snapshot{Index: 2, Term: 1, Data: []byte("state")}})).To(Succeed())
		Expect(os.WriteFile(filepath.Join(path, snapshotName(2)), []byte("other bytes"), 0o644)).To(Succeed())
		folder, err := segment.OpenDirectory(path)
		Expect(err).NotTo(HaveOccurred())
		_, err = Open(folder, bootstrapMember)
		var corrupt *CorruptError
		Expect(errors.As(err, &corrupt)).To(BeTrue())
	})

	ginkgo.It("can be read after a new identity was started, despite snapshots of the earlier identity", func() {
		member := open(bootstrapMember)
		Expect(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(1, 1), entry(2, 1)}})).To(Succeed())
		Expect(member.Compact(agreement.PersistentState{Snapshot: agreement.Snapshot{Index: 2, Term: 1, Data: []byte("state")}})).To(Succeed())
		member = open(bootstrapMember)
		Expect(member.StartIdentity(Identity{ID: "a#new"})).To(Succeed())
		again := open(bootstrapMember)
		Expect(again.ID()).To(Equal("a#new"))
		Expect(again.PersistentState()).To(Equal(agreement.PersistentState{}))
	})

	ginkgo.It("never overwrites the snapshot that its log refers to", func() {
		member := open(bootstrapMember)
		stored := agreement.PersistentState{Snapshot: agreement.Snapshot{Index: 2, Term: 1, Data: []byte("state")}}
		Expect(member.Compact(stored)).To(Succeed())
		member = open(bootstrapMember)
		file := filepath.Join(path, snapshotName(2))
		before, err := os.Stat(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.Chtimes(file, before.ModTime().Add(-time.Hour), before.ModTime().Add(-time.Hour))).To(Succeed())
		Expect(member.Compact(stored)).To(Succeed())
		after, err := os.Stat(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.ModTime()).To(BeTemporally("==", before.ModTime().Add(-time.Hour)))
		Expect(open(bootstrapMember).PersistentState()).To(Equal(stored))
	})

	ginkgo.Context("when it is full", func() {
		var disk *fullDisk

		ginkgo.BeforeEach(func() {
			folder, err := segment.OpenDirectory(path)
			Expect(err).NotTo(HaveOccurred())
			disk = &fullDisk{Directory: folder}
		})

		ginkgo.It("can be read, accepts no writes, and continues once there is space", func() {
			Expect(open(bootstrapMember).Save(&agreement.Ready{Entries: []agreement.Entry{entry(1, 1)}})).To(Succeed())
			disk.full = true
			member, err := Open(disk, bootstrapMember)
			Expect(err).NotTo(HaveOccurred())
			Expect(member.PersistentState().Entries).To(Equal([]agreement.Entry{entry(1, 1)}))
			Expect(segment.IsDiskFull(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(2, 1)}}))).To(BeTrue())
			disk.full = false
			Expect(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(2, 1)}})).To(Succeed())
			Expect(open(bootstrapMember).PersistentState().Entries).To(Equal([]agreement.Entry{entry(1, 1), entry(2, 1)}))
		})

		ginkgo.It("starts no identity on an empty disk, and reports why", func() {
			disk.full = true
			_, err := Open(disk, bootstrapMember)
			Expect(segment.IsDiskFull(err)).To(BeTrue())
			disk.full = false
			member, err := Open(disk, bootstrapMember)
			Expect(err).NotTo(HaveOccurred())
			Expect(member.ID()).To(Equal("a"))
		})

		ginkgo.It("keeps its log if there is no space for a snapshot, whichever write fails", func() {
			for remaining := range 4 {
				path = ginkgo.GinkgoT().TempDir()
				folder, err := segment.OpenDirectory(path)
				Expect(err).NotTo(HaveOccurred())
				disk = &fullDisk{Directory: folder}
				member, err := Open(disk, bootstrapMember)
				Expect(err).NotTo(HaveOccurred())
				Expect(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(1, 1), entry(2, 1)}})).To(Succeed())
				disk.full, disk.remaining = true, remaining // remaining creations and writes that succeed
				stored := agreement.PersistentState{Entries: []agreement.Entry{entry(2, 1)}, Snapshot: agreement.Snapshot{Index: 1, Term: 1,
					Data: []byte("state"), Members: agreement.Membership{Voters: bootstrapMember.Founders}}}
				Expect(segment.IsDiskFull(member.Compact(stored))).To(BeTrue(), "%d writes succeed", remaining)
				Expect(open(bootstrapMember).PersistentState().Entries).To(Equal([]agreement.Entry{entry(1, 1), entry(2, 1)}))
				disk.full = false
				Expect(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(3, 1)}})).To(Succeed())
				Expect(open(bootstrapMember).PersistentState().Entries).To(HaveLen(3))
				Expect(member.Compact(stored)).To(Succeed())
				Expect(open(bootstrapMember).PersistentState()).To(Equal(stored))
			}
		})
	})
})

// fullDisk is a folder in which, while it is full, creations and writes fail once the remaining ones are used up. A
// failing write writes half of its data.
type fullDisk struct {
	segment.Directory
	full      bool
	remaining int
}

func (d *fullDisk) failsWrite() bool {
	if !d.full {
		return false
	}
	d.remaining--
	return d.remaining < 0
}

func (d *fullDisk) Create(name string) (segment.File, error) {
	if d.failsWrite() {
		return nil, syscall.ENOSPC
	}
	file, err := d.Directory.Create(name)
	return &fullFile{File: file, disk: d}, err
}

type fullFile struct {
	segment.File
	disk *fullDisk
}

func (f *fullFile) Write(data []byte) (int, error) {
	if f.disk.failsWrite() {
		half, _ := f.File.Write(data[:len(data)/2])
		return half, syscall.ENOSPC
	}
	return f.File.Write(data)
}
