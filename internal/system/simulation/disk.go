package simulation

import (
	"io"
	"io/fs"
	"sort"
	"syscall"
	"time"

	"granitewing/internal/system/segment"
)

// simulatedDisk is a directory whose unsynced writes may be lost with the power. Its calls return at once. The host
// sends nothing out before the time of a sync has passed, so a loss of power within this time finds the writes of the
// sync partly done.
type simulatedDisk struct {
	world    *world
	machine  *machine
	files    map[string]*simulatedFile
	removed  []removal     // in the order of removal
	syncedAt time.Duration // when all syncs begun so far have finished
}

// removal is a file that was removed. After a loss of power the file exists again if a sync that began before the
// removal had not finished, and it may exist again until the sync of the removal itself has finished.
type removal struct {
	name      string
	file      *simulatedFile
	earliest  time.Duration // the removal can't be durable before
	durableAt time.Duration // the removal is durable from then on; 0 if the directory has not been synced since
}

type simulatedFile struct {
	disk  *simulatedDisk
	data  []byte
	syncs []syncPoint
}

// syncPoint is a length of a file that is durable from a time on.
type syncPoint struct {
	length int
	at     time.Duration
}

func newDisk(w *world, m *machine) *simulatedDisk {
	return &simulatedDisk{world: w, machine: m, files: map[string]*simulatedFile{}}
}

// Create implements segment.Directory. It fails with ENOSPC on a full disk.
func (d *simulatedDisk) Create(name string) (segment.File, error) {
	if d.machine.diskFull {
		return nil, syscall.ENOSPC
	}
	file := &simulatedFile{disk: d}
	d.files[name] = file
	return file, nil
}

// Open implements segment.Directory.
func (d *simulatedDisk) Open(name string) (segment.File, error) {
	file := d.files[name]
	if file == nil {
		return nil, &segment.FileError{Operation: "open", Name: name, Err: fs.ErrNotExist}
	}
	return file, nil
}

// ReadFile implements segment.Directory.
func (d *simulatedDisk) ReadFile(name string) ([]byte, error) {
	file := d.files[name]
	if file == nil {
		return nil, &segment.FileError{Operation: "read", Name: name, Err: fs.ErrNotExist}
	}
	return append([]byte(nil), file.data...), nil
}

// List implements segment.Directory. The names are sorted.
func (d *simulatedDisk) List() ([]string, error) {
	names := make([]string, 0, len(d.files))
	for name := range d.files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

// Remove implements segment.Directory.
func (d *simulatedDisk) Remove(name string) error {
	d.removed = append(d.removed, removal{name: name, file: d.files[name], earliest: max(d.world.now, d.syncedAt)})
	delete(d.files, name)
	return nil
}

// SyncDir implements segment.Directory.
func (d *simulatedDisk) SyncDir() error {
	finished := d.beginSync()
	remaining := d.removed[:0]
	for _, r := range d.removed {
		if r.durableAt == 0 {
			r.durableAt = max(finished, r.earliest)
		}
		if r.durableAt > d.world.now {
			remaining = append(remaining, r)
		}
	}
	d.removed = remaining
	return nil
}

// beginSync returns the time at which a sync that begins now finishes.
func (d *simulatedDisk) beginSync() time.Duration {
	finished := d.world.now + d.machine.syncTime()
	d.syncedAt = max(d.syncedAt, finished)
	return finished
}

// Write implements segment.File. On a full disk it writes a random part of the data and fails with ENOSPC.
func (f *simulatedFile) Write(data []byte) (int, error) {
	if f.disk.machine.diskFull {
		written := f.disk.world.random.IntN(len(data) + 1)
		f.data = append(f.data, data[:written]...)
		return written, syscall.ENOSPC
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

// losePower keeps what was synced. Each later write is kept, torn or lost at random, and removals may be undone.
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

// restoreRemoved brings back files whose removal was not durable. Removals are durable in their order, so these are
// all removals from a random one on.
func (d *simulatedDisk) restoreRemoved() {
	from := 0
	for from < len(d.removed) && d.removed[from].durableAt > 0 && d.removed[from].durableAt <= d.world.now {
		from++
	}
	end := from
	for end < len(d.removed) && d.removed[end].earliest <= d.world.now {
		end++
	}
	from += d.world.random.IntN(end - from + 1)
	for _, r := range d.removed[from:] {
		if d.files[r.name] == nil && r.file != nil {
			d.files[r.name] = r.file
		}
	}
	d.removed, d.syncedAt = nil, 0
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
