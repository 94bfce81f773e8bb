package simulation

import (
	"io"
	"io/fs"
	"sort"
	"time"

	"granitewing/internal/system/segment"
)

// simulatedDisk is a folder whose unsynced writes a loss of power may take away.
type simulatedDisk struct {
	world   *world
	files   map[string]*simulatedFile
	removed map[string]*simulatedFile // without a sync of the folder since
	sync    time.Duration             // how long a sync takes
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

func newDisk(w *world, sync time.Duration) *simulatedDisk {
	return &simulatedDisk{world: w, files: map[string]*simulatedFile{}, removed: map[string]*simulatedFile{}, sync: sync}
}

// Create implements segment.Files.
func (d *simulatedDisk) Create(name string) (segment.File, error) {
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
	d.removed[name] = d.files[name]
	delete(d.files, name)
	return nil
}

// SyncFolder implements segment.Files.
func (d *simulatedDisk) SyncFolder() error {
	d.removed = map[string]*simulatedFile{}
	return nil
}

// Write implements segment.File.
func (f *simulatedFile) Write(data []byte) (int, error) {
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

// Sync implements segment.File. The caller goes on at once; the host lets nothing go out before the sync's time is over.
func (f *simulatedFile) Sync() error {
	f.syncs = append(f.syncs, syncPoint{length: len(f.data), at: f.disk.world.now + f.disk.sync})
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
	removed := make([]string, 0, len(d.removed))
	for name := range d.removed {
		removed = append(removed, name)
	}
	sort.Strings(removed)
	for _, name := range removed {
		if d.files[name] == nil && d.removed[name] != nil && random.IntN(2) == 0 {
			d.files[name] = d.removed[name]
		}
	}
	d.removed = map[string]*simulatedFile{}
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
