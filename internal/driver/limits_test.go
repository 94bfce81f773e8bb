package driver

import (
	"testing"

	"granitewing/internal/fleet/ledger"
	"granitewing/internal/fleet/limit"
	"granitewing/internal/fleet/limit/lease"
)

// stopped is the way to the others of a process that stands still while it takes what they have said.
type stopped struct {
	now   int64
	stops int64
	heard []*limit.Message
	said  []*limit.Message
}

func (s *stopped) Tell([]ledger.Out)        {}
func (s *stopped) Take() ledger.Heard       { return ledger.Heard{} }
func (s *stopped) Say(out []*limit.Message) { s.said = out }
func (s *stopped) Said() []*limit.Message   { s.now += s.stops; return s.heard }

// A keeper that is stopped in the middle of a round promises the post for a whole lease from when it goes on: what asked
// meanwhile counts from then.
func TestPromiseOfAKeeperThatWasStopped(t *testing.T) {
	const span = 1_000_000
	way := &stopped{now: 5 * span}
	l := &fleetLimits{now: func() int64 { return way.now }, part: limit.New(0, limit.Options{
		Self: lease.Owner{Name: "n2", Incarnation: 1}, Keepers: []string{"n0", "n1", "n2"}, Lease: span})}
	ask := func(name string) (yes bool) {
		way.heard = []*limit.Message{{Kind: limit.SeatAsk, From: lease.Owner{Name: name, Incarnation: 1}, To: lease.Owner{Name: "n2"}, Number: 1}}
		l.round(way)
		for _, m := range way.said {
			yes = yes || m.Kind == limit.SeatYes && m.To.Name == name
		}
		return yes
	}
	way.stops = 3 * span
	if !ask("n0") {
		t.Fatal("the post is not promised")
	}
	way.stops = 0
	if way.now += span / 2; ask("n1") {
		t.Error("promised to another half a lease later")
	}
	if way.now += span / 2; !ask("n1") {
		t.Error("not promised to another a lease later")
	}
}
