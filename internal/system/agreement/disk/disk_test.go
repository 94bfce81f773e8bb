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

	ginkgo.It("keeps nothing behind a snapshot that was installed, as the member does in memory", func() {
		member := open(founder)
		Expect(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1)}})).To(Succeed())
		snapshot := &agreement.Snapshot{Index: 2, Term: 2, Data: []byte("state")}
		Expect(member.Save(&agreement.Ready{HardState: &agreement.HardState{Term: 3}, Snapshot: snapshot})).To(Succeed())
		// Entries of term 1 behind a snapshot of term 2 would make the log look older than it is.
		Expect(open(founder).Stored().Entries).To(BeEmpty())
		Expect(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(3, 3)}})).To(Succeed())
		Expect(open(founder).Stored().Entries).To(Equal([]agreement.Entry{entry(3, 3)}))
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

	ginkgo.It("can be read after it began anew, whatever snapshots the life before had", func() {
		member := open(founder)
		Expect(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(1, 1), entry(2, 1)}})).To(Succeed())
		Expect(member.Compact(agreement.Stored{Snapshot: agreement.Snapshot{Index: 2, Term: 1, Data: []byte("state")}})).To(Succeed())
		member = open(founder)
		Expect(member.Begin(Identity{ID: "a#new"})).To(Succeed())
		again := open(founder)
		Expect(again.ID()).To(Equal("a#new"))
		Expect(again.Stored()).To(Equal(agreement.Stored{}))
	})

	ginkgo.It("never writes over the snapshot that its log names", func() {
		member := open(founder)
		stored := agreement.Stored{Snapshot: agreement.Snapshot{Index: 2, Term: 1, Data: []byte("state")}}
		Expect(member.Compact(stored)).To(Succeed())
		member = open(founder)
		file := filepath.Join(path, snapshotName(2))
		before, err := os.Stat(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.Chtimes(file, before.ModTime().Add(-time.Hour), before.ModTime().Add(-time.Hour))).To(Succeed())
		Expect(member.Compact(stored)).To(Succeed())
		after, err := os.Stat(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.ModTime()).To(BeTemporally("==", before.ModTime().Add(-time.Hour)))
		Expect(open(founder).Stored()).To(Equal(stored))
	})

	ginkgo.Context("when it is full", func() {
		var disk *fullDisk

		ginkgo.BeforeEach(func() {
			folder, err := segment.OpenFolder(path)
			Expect(err).NotTo(HaveOccurred())
			disk = &fullDisk{Files: folder}
		})

		ginkgo.It("is read, takes nothing, and goes on once there is room", func() {
			Expect(open(founder).Save(&agreement.Ready{Entries: []agreement.Entry{entry(1, 1)}})).To(Succeed())
			disk.full = true
			member, err := Open(disk, founder)
			Expect(err).NotTo(HaveOccurred())
			Expect(member.Stored().Entries).To(Equal([]agreement.Entry{entry(1, 1)}))
			Expect(segment.IsFull(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(2, 1)}}))).To(BeTrue())
			disk.full = false
			Expect(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(2, 1)}})).To(Succeed())
			Expect(open(founder).Stored().Entries).To(Equal([]agreement.Entry{entry(1, 1), entry(2, 1)}))
		})

		ginkgo.It("begins no life on an empty disk, and says why", func() {
			disk.full = true
			_, err := Open(disk, founder)
			Expect(segment.IsFull(err)).To(BeTrue())
			disk.full = false
			member, err := Open(disk, founder)
			Expect(err).NotTo(HaveOccurred())
			Expect(member.ID()).To(Equal("a"))
		})

		ginkgo.It("keeps its log where there is no room for a snapshot, at whichever file that shows", func() {
			for room := range 4 {
				path = ginkgo.GinkgoT().TempDir()
				folder, err := segment.OpenFolder(path)
				Expect(err).NotTo(HaveOccurred())
				disk = &fullDisk{Files: folder}
				member, err := Open(disk, founder)
				Expect(err).NotTo(HaveOccurred())
				Expect(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(1, 1), entry(2, 1)}})).To(Succeed())
				disk.full, disk.remaining = true, room // creations and writes that still succeed
				stored := agreement.Stored{Entries: []agreement.Entry{entry(2, 1)}, Snapshot: agreement.Snapshot{Index: 1, Term: 1,
					Data: []byte("state"), Members: agreement.Membership{Voters: founder.Founders}}}
				Expect(segment.IsFull(member.Compact(stored))).To(BeTrue(), "room for %d", room)
				Expect(open(founder).Stored().Entries).To(Equal([]agreement.Entry{entry(1, 1), entry(2, 1)}))
				disk.full = false
				Expect(member.Save(&agreement.Ready{Entries: []agreement.Entry{entry(3, 1)}})).To(Succeed())
				Expect(open(founder).Stored().Entries).To(HaveLen(3))
				Expect(member.Compact(stored)).To(Succeed())
				Expect(open(founder).Stored()).To(Equal(stored))
			}
		})
	})
})

// fullDisk is a folder in which, while it is full, nothing can be created or written but the first few times.
type fullDisk struct {
	segment.Files
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
	file, err := d.Files.Create(name)
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
