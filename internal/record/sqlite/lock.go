package sqlite

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// takeLock holds a lock beside the file for as long as the process lives, so that a second dispatcher on one file is
// refused at its start. SQLite's own lock is held for the length of a write alone.
func (s *Store) takeLock() error {
	f, err := os.OpenFile(s.o.Path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("store %s can't be opened; check that the folder is there and may be written: %w", s.o.Path, err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return fmt.Errorf("store %s is in use by another dispatcher", s.o.Path)
		}
		return fmt.Errorf("store %s: lock: %w", s.o.Path, err)
	}
	s.lock = f
	return nil
}

func (s *Store) unlock() {
	if s.lock != nil {
		s.lock.Close()
		s.lock = nil
	}
}
