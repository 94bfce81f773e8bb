package driver

import (
	"os"
	"path/filepath"
	"strings"
)

// fileSystem holds the file operations that the driver needs; tests replace it to inject errors.
type fileSystem interface {
	ReadFile(path string) ([]byte, error)
	WriteFile(path string, text []byte, mode os.FileMode) error
	Rename(from, to string) error
	Remove(path string) error
	Stat(path string) (os.FileInfo, error)
}

// osFileSystem is the real file system.
type osFileSystem struct{}

func (osFileSystem) ReadFile(path string) ([]byte, error)  { return os.ReadFile(path) }
func (osFileSystem) Rename(from, to string) error          { return os.Rename(from, to) }
func (osFileSystem) Remove(path string) error              { return os.Remove(path) }
func (osFileSystem) Stat(path string) (os.FileInfo, error) { return os.Stat(path) }
func (osFileSystem) WriteFile(path string, text []byte, mode os.FileMode) error {
	return os.WriteFile(path, text, mode)
}

// stateFile returns the path of a file of this dispatcher in $TMPDIR; both processes of an upgrade use the same path.
func (d *Driver) stateFile(kind string) string {
	name := strings.Map(func(r rune) rune {
		if r == '/' || r == 0 || r == '\\' {
			return '_'
		}
		return r
	}, d.cfg.Name)
	return filepath.Join(os.TempDir(), "granitewing-"+name+"."+kind)
}

// replaceFile replaces a file atomically: readers see either the old or the new content, even if this process dies.
// Each process of an upgrade writes to a temporary file of its own. There is no fsync, since $TMPDIR need not survive
// a reboot.
func (d *Driver) replaceFile(path string, text []byte) error {
	tmp := path + "." + d.tempSuffix
	err := d.files.WriteFile(tmp, text, 0o600)
	if err == nil {
		err = d.files.Rename(tmp, path)
	}
	if err != nil {
		d.files.Remove(tmp)
	}
	return err
}

// sameFileState reports whether a file is unchanged since it was last examined.
func sameFileState(a, b os.FileInfo) bool {
	return a != nil && b != nil && os.SameFile(a, b) && a.ModTime().Equal(b.ModTime()) && a.Size() == b.Size()
}
