package driver

// arrivals records when the bytes that a client sent ahead were received, oldest first.
type arrivals []arrival

// arrival is a number of bytes received together, with their time in Unix microseconds.
type arrival struct {
	bytes int
	at    int64
}

// Bounds on the size of arrivals. Beyond them bytes are merged into the preceding entry and take its time, so that a
// computed deadline is never later than the true one.
const (
	maxArrivals   = 64
	minArrivalGap = 1000 // microseconds
)

// add records that bytes were received at a time.
func (a *arrivals) add(bytes int, at int64) {
	if last := len(*a) - 1; last >= 0 && (last+1 >= maxArrivals || at-(*a)[last].at < minArrivalGap) {
		(*a)[last].bytes += bytes
		return
	}
	*a = append(*a, arrival{bytes, at})
}

// consume removes the first bytes and returns the time at which the last of them was received.
func (a *arrivals) consume(bytes int) (at int64) {
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
