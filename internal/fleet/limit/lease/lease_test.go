package lease

import (
	"fmt"
	"testing"
)

// Keepers that ask at the same time, each having promised the post to itself, don't block each other for ever.
func TestSplitVote(t *testing.T) {
	const length, round, delay = 2_000_000, 100_000, 50_000
	for n := 2; n <= 7; n++ {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("n", i))
		}
		var seats []*Seat
		for _, name := range names {
			s := New(0, Owner{Name: name}, names, length)
			s.promised, s.promisedUntil = s.self, length+round // each has asked, and has no answer yet
			s.askedAt = length + 1
			seats = append(seats, s)
		}
		type ask struct {
			from   int
			number int64
		}
		var asks []ask
		holder := -1
		for now := int64(length + 1); now < 4*length && holder < 0; now += round {
			for _, a := range asks { // asks and answers arrive before the next round
				for i, s := range seats {
					if i != a.from && s.Ask(now-round+delay, seats[a.from].self) {
						seats[a.from].Promise(now-round+2*delay, s.self, a.number)
					}
				}
			}
			asks = nil
			for i, s := range seats {
				if s.Holds(now) {
					holder = i
				}
				if s.Round(now) {
					asks = append(asks, ask{i, now})
				}
			}
		}
		if holder < 0 {
			t.Errorf("%d keepers: none has the post after three lengths", n)
		}
	}
}
