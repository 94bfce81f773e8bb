package keeper

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/session"
	"granitewing/internal/system/tolerance"
	"granitewing/internal/system/wire"
)

// fleet is keepers that founded all groups, and newcomers, on simulated time, disks that sync at once and links without
// delay.
type fleet struct {
	cores map[string]*Core // by address
	now   time.Duration
	cut   map[string]bool // addresses of keepers that reach no other
	drawn int             // identities
}

func newTrio() *fleet { return newFleet(3) }

func addressOf(number int) string { return fmt.Sprintf("10.0.0.%d:7000", number) }

// newFleet gives so many keepers, which are voters of all groups.
func newFleet(founders int) *fleet {
	var addresses []string
	for i := range founders {
		addresses = append(addresses, addressOf(i+1))
	}
	t := &fleet{cores: map[string]*Core{}, cut: map[string]bool{}}
	for _, address := range addresses {
		t.start(address, address, addresses)
	}
	t.pass(4 * time.Second)
	return t
}

// start starts a keeper on an empty disk.
func (t *fleet) start(address, identity string, founders []string) {
	t.drawn++
	random := rand.New(rand.NewPCG(uint64(t.drawn), 1))
	options := Options{Address: address, Tolerance: &tolerance.Tolerance{Machines: 1}, FeedEpoch: address,
		Random: func(below int64) int64 { return random.Int64N(max(below, 1)) }}
	var stored [Groups]agreement.Stored
	for id := range Groups {
		options.IDs[id] = identity
		stored[id].Snapshot.Members.Voters = founders
	}
	core, err := New(options, stored, t.now)
	Expect(err).NotTo(HaveOccurred())
	t.cores[address] = core
}

// join starts a newcomer, which asks the leaders of all groups to let it follow.
func (t *fleet) join(address string) {
	t.start(address, FreshIdentity(address, fmt.Sprint(t.drawn)), nil)
	for id := range Groups {
		member, knows, _ := t.cores[address].Joining(t.now, id)
		var failure error
		t.cores[t.leader(id)].JoinGroup(t.now, id, member, knows, func(err error) { failure = err })
		Expect(failure).NotTo(HaveOccurred())
	}
	t.pass(time.Second)
}

// store opens a session of the store beside a keeper.
func (t *fleet) store(number int) {
	host := fmt.Sprintf("10.0.0.%d", number)
	member := session.Member{Incarnation: "store+" + host, Node: "storage-" + host, Role: session.Store, Address: host + ":7100",
		Disk: "disk of " + host, Founder: true, Zone: "zone"}
	var failure error
	t.cores[t.leader(SessionGroup)].OpenSession(t.now, Subscriber(number), wire.OpenSessionBody{Member: member}, func(err error) { failure = err })
	t.settleAll()
	Expect(failure).NotTo(HaveOccurred())
}

// beat has the stores' sessions last.
func (t *fleet) beat() {
	leader := t.cores[t.leader(SessionGroup)]
	if leader == nil {
		return
	}
	for _, member := range leader.sessions.Members(session.Store) {
		leader.Heartbeat(t.now, 1, wire.HeartbeatBody{Incarnation: member.Incarnation}, func(time.Duration, error) {})
	}
}

func (t *fleet) pass(span time.Duration) {
	const step = 10 * time.Millisecond
	for end := t.now + span; t.now < end; t.now += step {
		for _, core := range t.cores {
			core.Tick(t.now)
		}
		t.beat()
		t.settleAll()
	}
}

func (t *fleet) settleAll() {
	for t.settle() {
	}
}

func (t *fleet) reach(from, to string) bool { return from == to || !t.cut[from] && !t.cut[to] }

// settle persists and delivers what the keepers have to say, and tells whether there was anything.
func (t *fleet) settle() bool {
	busy := false
	for address, core := range t.cores {
		for id := range Groups {
			ready := core.Ready(id)
			if ready.Empty() {
				continue
			}
			busy = true
			Expect(core.Persisted(t.now, id, &ready)).To(Succeed())
			for _, message := range ready.Messages {
				if to := t.cores[AddressOf(message.To)]; to != nil && t.reach(address, AddressOf(message.To)) {
					to.Step(t.now, id, []agreement.Message{message})
				}
			}
		}
	}
	return busy
}

// leader gives who leads a group, as it sees itself, of those that reach the others; empty where nobody does.
func (t *fleet) leader(id int) string {
	for address, core := range t.cores {
		if _, self := core.Leader(id); self && !t.cut[address] {
			return address
		}
	}
	return ""
}

var _ = Describe("A keeper that leads a group", func() {
	It("leaves the lead to others while it knows no table of sessions", func() {
		t := newTrio()
		former := t.leader(ConfigurationGroup)
		Expect(former).NotTo(BeEmpty())
		// The group of the sessions does without it: it could not tell that its own machine is to leave.
		t.cores[former].ResetGroup(t.now, SessionGroup, FreshIdentity(former, "drawn"))
		t.pass(2 * time.Second)
		Expect(t.leader(ConfigurationGroup)).NotTo(BeElementOf("", former))
	})
})
