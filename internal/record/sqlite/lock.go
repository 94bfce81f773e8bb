package sqlite

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// acquireLock locks a file beside the database for the lifetime of the process, so that a second dispatcher that
// uses the same database fails at start. SQLite's own lock is held only during a write.
func (s *Store) acquireLock() error {
	f, err := os.OpenFile(s.options.Path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("store %s can't be opened; check that the folder is there and may be written: %w", s.options.Path, err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return fmt.Errorf("store %s is in use by another dispatcher", s.options.Path)
		}
		return fmt.Errorf("store %s: lock: %w", s.options.Path, err)
	}
	s.lock = f
	return nil
}

func (s *Store) releaseLock() {
	if s.lock != nil {
		s.lock.Close()
		s.lock = nil
	}
}
