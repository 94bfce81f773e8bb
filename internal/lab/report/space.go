package report

import "syscall"

// freeSpace returns the number of bytes that an unprivileged user can still write, and whether it is known.
func freeSpace(dir string) (int64, bool) {
	var s syscall.Statfs_t
	if syscall.Statfs(dir, &s) != nil {
		return 0, false
	}
	return int64(s.Bavail) * s.Bsize, true
}
