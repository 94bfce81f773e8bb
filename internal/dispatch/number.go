package dispatch

import (
	"hash/fnv"
	"strconv"
	"strings"

	"granitewing/logic"
)

// workerIDOf returns the id by which every dispatcher knows a host: the hexadecimal number after the first dash of
// its name, or a 32-bit FNV-1a hash of the name if there is none.
func workerIDOf(name string) logic.WorkerID {
	if _, hex, ok := strings.Cut(name, "-"); ok {
		if v, err := strconv.ParseUint(hex, 16, 32); err == nil {
			return logic.WorkerID(v)
		}
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return logic.WorkerID(h.Sum32())
}
