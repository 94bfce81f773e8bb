package driver

// arrivals are the times at which the bytes that a client has sent ahead came, the oldest first.
type arrivals []arrival

// arrival is some bytes that came together.
type arrival struct {
	bytes int
	at    int64
}

// Bounds on what is kept of arrivals: beyond them pieces count as come with the one before, so that a deadline is never
// taken to be later than it is.
const (
	arrivalsMost = 64
	arrivalsGap  = 1000 // microseconds
)

// add books bytes that came at a time.
func (a *arrivals) add(bytes int, at int64) {
	if last := len(*a) - 1; last >= 0 && (last+1 >= arrivalsMost || at-(*a)[last].at < arrivalsGap) {
		(*a)[last].bytes += bytes
		return
	}
	*a = append(*a, arrival{bytes, at})
}

// take takes the first bytes and gives the time at which the last of them came.
func (a *arrivals) take(bytes int) (at int64) {
	for i := range *a {
		p := &(*a)[i]
		at = p.at
		if bytes < p.bytes {
			p.bytes -= bytes
			*a = append((*a)[:0], (*a)[i:]...)
			return at
		}
		bytes -= p.bytes
		if bytes == 0 {
			*a = append((*a)[:0], (*a)[i+1:]...)
			return at
		}
	}
	*a = (*a)[:0]
	return at
}
