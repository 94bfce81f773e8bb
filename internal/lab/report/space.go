package report

import "syscall"

// freeSpace is what an ordinary user may still write.
func freeSpace(dir string) (int64, bool) {
	var s syscall.Statfs_t
	if syscall.Statfs(dir, &s) != nil {
		return 0, false
	}
	return int64(s.Bavail) * s.Bsize, true
}
