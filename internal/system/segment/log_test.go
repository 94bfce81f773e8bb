package segment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// faultyDirectory is a directory in which the test makes the next write or sync fail, or each creation of a file.
type faultyDirectory struct {
	*OSDirectory
	failWrite, failSync error
	failCreate          error // until reset to nil
}

// faultyFile is a file of a faultyDirectory. A failing write writes half of its data.
type faultyFile struct {
	File
	folder *faultyDirectory
}

func (f *faultyDirectory) Create(name string) (File, error) {
	if f.failCreate != nil {
		return nil, f.failCreate
	}
	file, err := f.OSDirectory.Create(name)
	return &faultyFile{File: file, folder: f}, err
}

func (f *faultyFile) Write(data []byte) (int, error) {
	if err := f.folder.failWrite; err != nil {
		f.folder.failWrite = nil
		half, _ := f.File.Write(data[:len(data)/2])
		return half, err
	}
	return f.File.Write(data)
}

func (f *faultyFile) Sync() error {
	if err := f.folder.failSync; err != nil {
		f.folder.failSync = nil
		return err
	}
	return f.File.Sync()
}

// openLog opens and replays a log, and returns it with the payloads of its records.
func openLog(files Directory) (*Log, []string) {
	log, err := Open(files, 1<<10)
	Expect(err).NotTo(HaveOccurred())
	var read []string
	Expect(log.Replay(func(_ Position, payload []byte) error {
		read = append(read, string(payload))
		return nil
	})).To(Succeed())
	return log, read
}

var _ = ginkgo.Describe("Log", func() {
	var path string
	var files *faultyDirectory

	ginkgo.BeforeEach(func() {
		path = ginkgo.GinkgoT().TempDir()
		folder, err := OpenDirectory(path)
		Expect(err).NotTo(HaveOccurred())
		files = &faultyDirectory{OSDirectory: folder}
	})

	write := func(log *Log, texts ...string) []Position {
		var payloads [][]byte
		for _, text := range texts {
			payloads = append(payloads, []byte(text))
		}
		positions, err := log.Append(payloads...)
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Sync()).To(Succeed())
		return positions
	}

	ginkgo.It("returns all records in order over many segments and restarts", func() {
		var want []string
		for incarnation := range 3 {
			log, read := openLog(files)
			Expect(read).To(Equal(want))
			for i := range 60 {
				text := fmt.Sprintf("record %d of incarnation %d", i, incarnation)
				positions := write(log, text)
				want = append(want, text)
				payload, err := log.Read(positions[0])
				Expect(err).NotTo(HaveOccurred())
				Expect(string(payload)).To(Equal(text))
			}
		}
	})

	ginkgo.It("stops at a torn record, and continues with the records of the next incarnation", func() {
		log, _ := openLog(files)
		write(log, "one", "two")
		name := filepath.Join(path, fileName(log.CurrentSegment()))
		data, err := os.ReadFile(name)
		Expect(err).NotTo(HaveOccurred())
		for cut := range data {
			Expect(os.WriteFile(name, data[:cut], 0o644)).To(Succeed())
			_, read := openLog(files)
			Expect(len(read)).To(BeNumerically("<", 2), "cut at %d", cut)
		}
		Expect(os.WriteFile(name, data[:len(data)-1], 0o644)).To(Succeed())
		log, read := openLog(files)
		Expect(read).To(Equal([]string{"one"}))
		write(log, "three")
		_, read = openLog(files)
		Expect(read).To(Equal([]string{"one", "three"}))
	})

	ginkgo.It("detects a gap, and ignores the records after it", func() {
		log, _ := openLog(files)
		positions := write(log, "one", "two", "three")
		name := filepath.Join(path, fileName(log.CurrentSegment()))
		data, err := os.ReadFile(name)
		Expect(err).NotTo(HaveOccurred())
		clear(data[positions[1].Offset:positions[2].Offset])
		Expect(os.WriteFile(name, data, 0o644)).To(Succeed())
		_, read := openLog(files)
		Expect(read).To(Equal([]string{"one"}))
	})

	ginkgo.It("ignores records at another position than they were written to", func() {
		log, _ := openLog(files)
		write(log, "one", "two")
		name := filepath.Join(path, fileName(log.CurrentSegment()))
		data, err := os.ReadFile(name)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(filepath.Join(path, fileName(log.CurrentSegment()+7)), data, 0o644)).To(Succeed())
		_, read := openLog(files)
		Expect(read).To(Equal([]string{"one", "two"}))
	})

	ginkgo.It("accepts no records after a failed sync, even if another sync succeeds", func() {
		log, _ := openLog(files)
		_, err := log.Append([]byte("one"))
		Expect(err).NotTo(HaveOccurred())
		files.failSync = errors.New("input/output error")
		var broken *FailedError
		Expect(errors.As(log.Sync(), &broken)).To(BeTrue())
		Expect(errors.As(log.Sync(), &broken)).To(BeTrue())
		_, err = log.Append([]byte("two"))
		Expect(errors.As(err, &broken)).To(BeTrue())
	})

	ginkgo.It("continues in a new segment after a write to a full disk", func() {
		log, _ := openLog(files)
		write(log, "one")
		files.failWrite = syscall.ENOSPC
		_, err := log.Append([]byte("two, which is longer"))
		var full *DiskFullError
		Expect(errors.As(err, &full)).To(BeTrue())
		write(log, "three")
		_, read := openLog(files)
		Expect(read).To(Equal([]string{"one", "three"}))
	})

	ginkgo.It("is readable while the disk is too full for a new segment, and accepts records once there is space", func() {
		log, _ := openLog(files)
		positions := write(log, "one")
		files.failCreate = syscall.ENOSPC
		log, read := openLog(files)
		Expect(read).To(Equal([]string{"one"}))
		_, err := log.Append([]byte("two"))
		Expect(IsDiskFull(err)).To(BeTrue())
		Expect(IsDiskFull(log.Rotate())).To(BeTrue())
		payload, err := log.Read(positions[0])
		Expect(err).NotTo(HaveOccurred())
		Expect(string(payload)).To(Equal("one"))
		files.failCreate = nil
		write(log, "three")
		_, read = openLog(files)
		Expect(read).To(Equal([]string{"one", "three"}))
	})

	ginkgo.It("starts without segments on a full disk", func() {
		files.failCreate = syscall.ENOSPC
		log, read := openLog(files)
		Expect(read).To(BeEmpty())
		_, err := log.Append([]byte("one"))
		Expect(IsDiskFull(err)).To(BeTrue())
		files.failCreate = nil
		write(log, "two")
		_, read = openLog(files)
		Expect(read).To(Equal([]string{"two"}))
	})

	ginkgo.It("removes only its oldest segment", func() {
		log, _ := openLog(files)
		write(log, "one")
		Expect(log.Rotate()).To(Succeed())
		write(log, "two")
		Expect(log.RemoveOldestSegment()).To(Succeed())
		_, read := openLog(files)
		Expect(read).To(Equal([]string{"two"}))
	})
})
