// Package segment is a write-ahead log of checksummed records in segment files.
//
// Open reads the list of segments in a directory, Log.Replay passes the stored records to the caller, and then
// Log.Append and Log.Sync write records. A record is durable once Sync has returned. After a loss of power, records
// that follow the last sync may be present, absent or torn; checksums detect a torn record, and replay of its
// segment ends there. A log removes old data a whole segment at a time, with Log.RemoveOldestSegment.
//
// Directory and File are the interface to the file system, so that tests can inject faults. OSDirectory implements
// Directory with the operating system's files.
package segment

import (
	"io"
	"os"
	"path/filepath"
	"sort"
)

// File is an open segment file. Write appends; Sync makes all bytes written so far durable.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	Sync() error
}

// Directory is the directory that holds the segment files of a log. Names are relative to it.
type Directory interface {
	// Create creates a file for reading and writing, or truncates an existing one.
	Create(name string) (File, error)
	// Open opens an existing file for reading and syncing.
	Open(name string) (File, error)
	// ReadFile returns the content of a file.
	ReadFile(name string) ([]byte, error)
	// List returns the names of the files in the directory, sorted. Subdirectories are omitted.
	List() ([]string, error)
	// Remove deletes a file.
	Remove(name string) error
	// SyncDir makes the creation and removal of files durable.
	SyncDir() error
}

// OSDirectory implements Directory with a directory of the operating system.
type OSDirectory struct{ path string }

// OpenDirectory returns the directory at path, which it creates if it does not exist. The error is a *FileError.
func OpenDirectory(path string) (*OSDirectory, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, &FileError{Operation: "create directory", Name: path, Err: err}
	}
	return &OSDirectory{path: path}, nil
}

func (f *OSDirectory) join(name string) string { return filepath.Join(f.path, name) }

// Create implements Directory.
func (f *OSDirectory) Create(name string) (File, error) {
	return os.OpenFile(f.join(name), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o644)
}

// Open implements Directory.
func (f *OSDirectory) Open(name string) (File, error) { return os.OpenFile(f.join(name), os.O_RDWR, 0) }

// ReadFile implements Directory.
func (f *OSDirectory) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.join(name)) }

// List implements Directory.
func (f *OSDirectory) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// Remove implements Directory.
func (f *OSDirectory) Remove(name string) error { return os.Remove(f.join(name)) }

// SyncDir implements Directory.
func (f *OSDirectory) SyncDir() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
