package driver

import (
	"testing"

	"granitewing/internal/fleet/ledger"
	"granitewing/internal/fleet/limit"
	"granitewing/internal/fleet/limit/lease"
)

// suspendedPeers is the connection to the other members of a process that is suspended while it takes their messages.
type suspendedPeers struct {
	now        int64
	suspension int64
	received   []*limit.Message
	sent       []*limit.Message
}

func (s *suspendedPeers) SendReports([]ledger.Outgoing)          {}
func (s *suspendedPeers) ReceiveReports() ledger.Inbox           { return ledger.Inbox{} }
func (s *suspendedPeers) SendLimitMessages(out []*limit.Message) { s.sent = out }
func (s *suspendedPeers) ReceiveLimitMessages() []*limit.Message {
	s.now += s.suspension
	return s.received
}

// A keeper that was suspended in the middle of a round promises the dealer's lease for a whole lease duration from
// when it resumes; requests that arrived meanwhile count from then.
func TestPromiseOfSuspendedKeeper(t *testing.T) {
	const span = 1_000_000
	peers := &suspendedPeers{now: 5 * span}
	l := &fleetLimits{now: func() int64 { return peers.now }, participant: limit.New(0, limit.Options{
		Self: lease.Owner{Name: "n2", Incarnation: 1}, Keepers: []string{"n0", "n1", "n2"}, Lease: span})}
	ask := func(name string) (yes bool) {
		peers.received = []*limit.Message{{Kind: limit.SeatAsk, From: lease.Owner{Name: name, Incarnation: 1}, To: lease.Owner{Name: "n2"}, Number: 1}}
		l.exchange(peers)
		for _, m := range peers.sent {
			yes = yes || m.Kind == limit.SeatYes && m.To.Name == name
		}
		return yes
	}
	peers.suspension = 3 * span
	if !ask("n0") {
		t.Fatal("the lease is not promised")
	}
	peers.suspension = 0
	if peers.now += span / 2; ask("n1") {
		t.Error("promised to another half a lease later")
	}
	if peers.now += span / 2; !ask("n1") {
		t.Error("not promised to another a lease later")
	}
}
