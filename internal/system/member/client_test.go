package member

import (
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/feed"
	"granitewing/internal/system/loop/simulated"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
	"granitewing/internal/system/wire"
)

// refusal is the error of a refused call, as the driver reports it.
type refusal struct{ body wire.RefusalBody }

func (r *refusal) Error() string             { return r.body.Reason }
func (r *refusal) Refusal() wire.RefusalBody { return r.body }

const (
	firstKeeper  = "10.0.0.1:7000"
	secondKeeper = "10.0.0.2:7000"
)

var _ = ginkgo.Describe("A client of the keepers", func() {
	var peers *simulated.Loop
	var client *Client
	var lost int
	var faults []error

	ginkgo.BeforeEach(func() {
		lost, faults = 0, nil
		peers = &simulated.Loop{Reachable: map[string]bool{firstKeeper: true, secondKeeper: true}}
		peers.Answer = acceptAll
		self := session.Member{Incarnation: "edge-1+a", Node: "edge-1", Role: session.Carrier}
		client = NewClient(peers, peers, []string{firstKeeper, secondKeeper}, self, Events{
			Changed:     func(_, _ *View) {},
			SessionLost: func() { lost++ },
			Fault:       func(err error) { faults = append(faults, err) },
		})
	})

	ginkgo.It("holds its session while heartbeats are answered, and at most one lease longer", func() {
		client.Start()
		peers.Advance(10 * time.Second)
		Expect(client.LeaseValid()).To(BeTrue())
		peers.Answer = func(string, wire.Kind, []byte) ([]byte, error) { return nil, nil }
		peers.Advance(keeper.MemberLease + heartbeatInterval)
		Expect(client.LeaseValid()).To(BeFalse())
		Expect(client.Joined()).To(BeTrue())
		Expect(lost).To(BeZero(), "no keeper has reported that the session ended")
	})

	ginkgo.It("switches to the leader that a refusal names, even if the settings do not list it", func() {
		const thirdKeeper = "10.0.0.3:7000"
		peers.Reachable[thirdKeeper] = true
		peers.Answer = func(address string, kind wire.Kind, payload []byte) ([]byte, error) {
			if address != thirdKeeper {
				return nil, &refusal{body: wire.RefusalBody{Code: wire.NotLeader, Leader: thirdKeeper}}
			}
			return acceptAll(address, kind, payload)
		}
		client.Start()
		peers.Advance(time.Second)
		Expect(client.Keeper()).To(Equal(thirdKeeper))
		Expect(client.LeaseValid()).To(BeTrue())
	})

	ginkgo.It("opens a session under a new incarnation that names the old one, after its session has ended", func() {
		client.Start()
		peers.Advance(time.Second)
		refuse := true
		peers.Answer = func(address string, kind wire.Kind, payload []byte) ([]byte, error) {
			if refuse {
				refuse = false
				return nil, &refusal{body: wire.RefusalBody{Code: wire.UnknownSession}}
			}
			return acceptAll(address, kind, payload)
		}
		peers.Advance(2 * time.Second)
		Expect(lost).To(Equal(1))
		Expect(client.Incarnation()).NotTo(Equal("edge-1+a"))
		var opened wire.OpenSessionBody
		Expect(wire.Decode(wire.OpenSession, peers.LastCall(wire.OpenSession).Payload, &opened)).To(Succeed())
		Expect(opened.Member.Replaces).To(Equal("edge-1+a"))
		Expect(opened.Renew).To(BeFalse())
		Expect(client.LeaseValid()).To(BeTrue())
	})

	ginkgo.Context("with a feed", func() {
		var table *feed.Table
		push := func(position feed.Position) {
			update := table.UpdateSince(position)
			client.Push(client.Keeper(), wire.EncodeUpdate(&update))
		}
		owner := func(token uint64) []byte {
			return wire.Encode(&ownership.Owner{Incarnation: "edge-1+a", Token: token})
		}

		ginkgo.BeforeEach(func() {
			table = feed.NewTable("epoch-1")
			client.Start()
			peers.Advance(100 * time.Millisecond)
		})

		ginkgo.It("bootstraps from a snapshot, then applies changes, and reports its position with each heartbeat", func() {
			table.Set(keeper.PrefixKeeper+firstKeeper, []byte{1})
			table.Set(keeper.PrefixOwner+"paced/s", owner(3))
			push(feed.Position{})
			Expect(client.View().Owners["paced/s"].Token).To(BeEquivalentTo(3))
			table.Set(keeper.PrefixOwner+"paced/s", owner(4))
			push(client.position)
			Expect(client.View().Owners["paced/s"].Token).To(BeEquivalentTo(4))
			peers.Advance(time.Second)
			var heartbeat wire.HeartbeatBody
			Expect(wire.Decode(wire.Heartbeat, peers.LastCall(wire.Heartbeat).Payload, &heartbeat)).To(Succeed())
			Expect(heartbeat.Position).To(Equal(feed.Position{Epoch: "epoch-1", Offset: table.Offset()}))
		})

		// Guards against a client that ignores updates which begin before its position. A carrier that shuts down
		// renews its session, with the position that it has when it sends the call. The keeper may push further updates
		// before it processes the call, and then resumes from the reported position. When only updates that began
		// exactly at the client's position were applied, the carrier ignored all of them until the keeper had received
		// three heartbeats in a row with no update in between: it saw no new owner and no new configuration for 1.4 to
		// 3.1 s, and what it forwarded was refused.
		ginkgo.It("applies updates that begin before its position, but none that end before it", func() {
			push(feed.Position{})
			reported := client.position
			table.Set(keeper.PrefixOwner+"paced/s", owner(4))
			early := table.UpdateSince(reported)
			push(reported)
			table.Set(keeper.PrefixOwner+"paced/s", owner(5))
			table.Set(keeper.PrefixMember+"gone", wire.Encode(&session.Member{Incarnation: "gone"}))
			table.Delete(keeper.PrefixMember + "gone")
			push(reported)
			Expect(client.View().Owners["paced/s"].Token).To(BeEquivalentTo(5))
			Expect(client.View().Members).NotTo(HaveKey("gone"))
			latest := client.position
			Expect(latest.Offset).To(Equal(table.Offset()))
			client.Push(client.Keeper(), wire.EncodeUpdate(&early))
			Expect(client.position).To(Equal(latest))
		})

		ginkgo.It("ignores updates that begin after its position, or belong to another epoch of the table", func() {
			push(feed.Position{})
			before := client.View()
			table.Set(keeper.PrefixOwner+"paced/s", owner(4))
			lost := table.UpdateSince(client.position).Position
			table.Set(keeper.PrefixOwner+"paced/s", owner(5))
			push(lost)
			Expect(client.View()).To(BeIdenticalTo(before))
			update := table.UpdateSince(client.position)
			update.Base.Epoch, update.Position.Epoch = "epoch-2", "epoch-2"
			client.Push(client.Keeper(), wire.EncodeUpdate(&update))
			Expect(client.View()).To(BeIdenticalTo(before))
		})

		ginkgo.It("never replaces an ownership record by an older one, whichever keeper sends it", func() {
			table.Set(keeper.PrefixOwner+"paced/s", owner(7))
			push(feed.Position{})
			table = feed.NewTable("epoch-2")
			table.Set(keeper.PrefixOwner+"paced/s", owner(6))
			push(feed.Position{})
			Expect(client.View().Owners["paced/s"].Token).To(BeEquivalentTo(7))
		})

		ginkgo.It("drops what a snapshot no longer contains", func() {
			table.Set(keeper.PrefixDeparted+"gone", wire.Encode(&session.Departed{Incarnation: "gone"}))
			push(feed.Position{})
			Expect(client.View().Departed).To(HaveKey("gone"))
			table = feed.NewTable("epoch-2")
			push(feed.Position{})
			Expect(client.View().Departed).To(BeEmpty())
		})

		ginkgo.It("ignores updates from other keepers, and reports updates that it cannot decode", func() {
			before := client.View()
			table.Set(keeper.PrefixKeeper+secondKeeper, []byte{1})
			update := table.UpdateSince(feed.Position{})
			other := firstKeeper
			if client.Keeper() == firstKeeper {
				other = secondKeeper
			}
			client.Push(other, wire.EncodeUpdate(&update))
			Expect(client.View()).To(BeIdenticalTo(before))
			client.Push(client.Keeper(), []byte{9, 9, 9})
			Expect(faults).To(HaveLen(1))
			var malformed *wire.UpdateError
			Expect(errors.As(faults[0], &malformed)).To(BeTrue())
			Expect(client.View()).To(BeIdenticalTo(before))
		})
	})
})

// acceptAll answers every call like a leader that accepts it.
func acceptAll(_ string, kind wire.Kind, _ []byte) ([]byte, error) {
	switch kind {
	case wire.OpenSession:
		return wire.Encode(&wire.OpenSessionAnswer{Lease: keeper.MemberLease}), nil
	case wire.Heartbeat:
		return wire.Encode(&wire.HeartbeatAnswer{}), nil
	}
	return wire.Encode(&struct{}{}), nil
}
