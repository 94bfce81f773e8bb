// Package segment keeps records in a log of segment files, with checksums, over a small file interface that tests can
// fault. A record counts once Sync has returned; what follows the last sync may be present, absent or torn after a
// loss of power, and is recognised as such.
package segment

import (
	"io"
	"os"
	"path/filepath"
	"sort"
)

// File is an open file of a log.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	Sync() error
}

// Files is the folder that a log is kept in.
type Files interface {
	// Create makes a new file or empties an old one.
	Create(name string) (File, error)
	// Open opens a file for reading and syncing.
	Open(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// List gives the names in the folder, sorted.
	List() ([]string, error)
	Remove(name string) error
	// SyncFolder makes creations and removals durable.
	SyncFolder() error
}

// Folder is Files on the operating system's disk.
type Folder struct{ path string }

// OpenFolder makes the folder if it isn't there.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, &FileError{Operation: "make folder", Name: path, Err: err}
	}
	return &Folder{path: path}, nil
}

func (f *Folder) join(name string) string { return filepath.Join(f.path, name) }

// Create implements Files.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(f.join(name), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o644)
}

// Open implements Files.
func (f *Folder) Open(name string) (File, error) { return os.OpenFile(f.join(name), os.O_RDWR, 0) }

// ReadFile implements Files.
func (f *Folder) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.join(name)) }

// List implements Files.
func (f *Folder) List() ([]string, error) {
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

// Remove implements Files.
func (f *Folder) Remove(name string) error { return os.Remove(f.join(name)) }

// SyncFolder implements Files.
func (f *Folder) SyncFolder() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
