package driver

import (
	"os"
	"path/filepath"
	"strings"
)

// files is what the driver needs of the file system; a test puts an error into each call.
type files interface {
	ReadFile(path string) ([]byte, error)
	WriteFile(path string, text []byte, mode os.FileMode) error
	Rename(from, to string) error
	Remove(path string) error
	Stat(path string) (os.FileInfo, error)
}

// systemFiles are the system's own.
type systemFiles struct{}

func (systemFiles) ReadFile(path string) ([]byte, error)  { return os.ReadFile(path) }
func (systemFiles) Rename(from, to string) error          { return os.Rename(from, to) }
func (systemFiles) Remove(path string) error              { return os.Remove(path) }
func (systemFiles) Stat(path string) (os.FileInfo, error) { return os.Stat(path) }
func (systemFiles) WriteFile(path string, text []byte, mode os.FileMode) error {
	return os.WriteFile(path, text, mode)
}

// fileOf names a file of this dispatcher in $TMPDIR; both processes of one dispatcher have its name.
func (d *Driver) fileOf(kind string) string {
	name := strings.Map(func(r rune) rune {
		if r == '/' || r == 0 || r == '\\' {
			return '_'
		}
		return r
	}, d.cfg.Name)
	return filepath.Join(os.TempDir(), "granitewing-"+name+"."+kind)
}

// replaceFile puts a file in place whole or not at all: who reads it finds the former text or the new one, whenever this
// process ends. The other process of an upgrade writes under another name until then. It is not synced, since $TMPDIR need
// not outlast the machine.
func (d *Driver) replaceFile(path string, text []byte) error {
	beside := path + "." + d.mark
	err := d.files.WriteFile(beside, text, 0o600)
	if err == nil {
		err = d.files.Rename(beside, path)
	}
	if err != nil {
		d.files.Remove(beside)
	}
	return err
}

// sameFile tells whether a file is as it was when it was last looked at.
func sameFile(a, b os.FileInfo) bool {
	return a != nil && b != nil && os.SameFile(a, b) && a.ModTime().Equal(b.ModTime()) && a.Size() == b.Size()
}
