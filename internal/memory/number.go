package memory

import (
	"hash/fnv"
	"strconv"
	"strings"

	"granitewing/logic"
)

// numberOf gives the number that every dispatcher knows a host by: the hexadecimal one within its name, or
// a hash where there is none.
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
