package simulation

import (
	"io"
	"io/fs"
	"sort"
	"syscall"
	"time"

	"granitewing/internal/system/segment"
)

// simulatedDisk is a folder whose unsynced writes a loss of power may take away. Its calls return at once; the host lets
// nothing go out before the time of a sync is over, and a loss of power in that time finds the disk somewhere on the way.
type simulatedDisk struct {
	world   *world
	machine *machine
	files   map[string]*simulatedFile
	removed []removal     // in their order
	synced  time.Duration // when all syncs are over
}

// removal is a file that was removed. It is still there after a loss of power before the syncs that came ahead of it were
// over, and may be until its own is.
type removal struct {
	name    string
	file    *simulatedFile
	after   time.Duration // it wasn't removed before
	durable time.Duration // it is gone for good from then on; 0 without a sync of the folder since
}

type simulatedFile struct {
	disk  *simulatedDisk
	data  []byte
	syncs []syncPoint
}

// syncPoint is a length that is durable from a time on.
type syncPoint struct {
	length int
	at     time.Duration
}

func newDisk(w *world, m *machine) *simulatedDisk {
	return &simulatedDisk{world: w, machine: m, files: map[string]*simulatedFile{}}
}

// Create implements segment.Files.
func (d *simulatedDisk) Create(name string) (segment.File, error) {
	if d.machine.fullDisk {
		return nil, syscall.ENOSPC
	}
	file := &simulatedFile{disk: d}
	d.files[name] = file
	return file, nil
}

// Open implements segment.Files.
func (d *simulatedDisk) Open(name string) (segment.File, error) {
	file := d.files[name]
	if file == nil {
		return nil, &segment.FileError{Operation: "open", Name: name, Err: fs.ErrNotExist}
	}
	return file, nil
}

// ReadFile implements segment.Files.
func (d *simulatedDisk) ReadFile(name string) ([]byte, error) {
	file := d.files[name]
	if file == nil {
		return nil, &segment.FileError{Operation: "read", Name: name, Err: fs.ErrNotExist}
	}
	return append([]byte(nil), file.data...), nil
}

// List implements segment.Files.
func (d *simulatedDisk) List() ([]string, error) {
	names := make([]string, 0, len(d.files))
	for name := range d.files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

// Remove implements segment.Files.
func (d *simulatedDisk) Remove(name string) error {
	d.removed = append(d.removed, removal{name: name, file: d.files[name], after: max(d.world.now, d.synced)})
	delete(d.files, name)
	return nil
}

// SyncFolder implements segment.Files.
func (d *simulatedDisk) SyncFolder() error {
	over := d.beginSync()
	lasting := d.removed[:0]
	for _, r := range d.removed {
		if r.durable == 0 {
			r.durable = max(over, r.after)
		}
		if r.durable > d.world.now {
			lasting = append(lasting, r)
		}
	}
	d.removed = lasting
	return nil
}

// beginSync gives the time at which a sync that begins now is over.
func (d *simulatedDisk) beginSync() time.Duration {
	over := d.world.now + d.machine.syncTime()
	d.synced = max(d.synced, over)
	return over
}

// Write implements segment.File.
func (f *simulatedFile) Write(data []byte) (int, error) {
	if f.disk.machine.fullDisk {
		fits := f.disk.world.random.IntN(len(data) + 1)
		f.data = append(f.data, data[:fits]...)
		return fits, syscall.ENOSPC
	}
	f.data = append(f.data, data...)
	return len(data), nil
}

// ReadAt implements segment.File.
func (f *simulatedFile) ReadAt(buffer []byte, offset int64) (int, error) {
	if offset >= int64(len(f.data)) {
		return 0, io.EOF
	}
	count := copy(buffer, f.data[offset:])
	if count < len(buffer) {
		return count, io.EOF
	}
	return count, nil
}

// Close implements segment.File.
func (f *simulatedFile) Close() error { return nil }

// Sync implements segment.File.
func (f *simulatedFile) Sync() error {
	f.syncs = append(f.syncs, syncPoint{length: len(f.data), at: f.disk.beginSync()})
	return nil
}

// losePower leaves what was synced; each later write is there, torn or gone, and removals may be undone.
func (d *simulatedDisk) losePower() {
	random := d.world.random
	names, _ := d.List()
	wipeAll := random.IntN(3) == 0
	for _, name := range names {
		file := d.files[name]
		durable := -1
		for _, point := range file.syncs {
			if point.at <= d.world.now {
				durable = max(durable, point.length)
			}
		}
		if durable < 0 && (wipeAll || random.IntN(2) == 0) {
			delete(d.files, name)
			continue
		}
		durable = max(durable, 0)
		file.loseTail(durable, wipeAll)
	}
	d.restoreRemoved()
}

// restoreRemoved brings back files whose removal was not durable: all those from one on, since each was removed only
// after the one before.
func (d *simulatedDisk) restoreRemoved() {
	from := 0
	for from < len(d.removed) && d.removed[from].durable > 0 && d.removed[from].durable <= d.world.now {
		from++
	}
	most := from
	for most < len(d.removed) && d.removed[most].after <= d.world.now {
		most++
	}
	from += d.world.random.IntN(most - from + 1)
	for _, r := range d.removed[from:] {
		if d.files[r.name] == nil && r.file != nil {
			d.files[r.name] = r.file
		}
	}
	d.removed, d.synced = nil, 0
}

func (f *simulatedFile) loseTail(durable int, wipe bool) {
	random := f.disk.world.random
	tail := len(f.data) - durable
	if tail <= 0 {
		return
	}
	switch {
	case wipe || random.IntN(3) == 0:
		f.data = f.data[:durable]
	case random.IntN(2) == 0:
		f.data = f.data[:durable+random.IntN(tail)]
	default:
		// A hole: some bytes in the middle were never written.
		from := durable + random.IntN(tail)
		to := from + random.IntN(len(f.data)-from)
		clear(f.data[from:to])
	}
	f.syncs = append(f.syncs, syncPoint{length: durable, at: 0})
}
