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

// cluster is a set of keepers on simulated time: bootstrap members of all groups, and keepers that joined later.
// Disks sync at once and links have no delay.
type cluster struct {
	cores       map[string]*Core // by address
	now         time.Duration
	partitioned map[string]bool // addresses of partitioned keepers
	identities  int             // number of identities created
}

// newThreeKeepers returns a cluster of three bootstrap members.
func newThreeKeepers() *cluster { return newCluster(3) }

func addressOf(number int) string { return fmt.Sprintf("10.0.0.%d:7000", number) }

// newCluster returns a cluster of keepers that are voters of all groups.
func newCluster(bootstrap int) *cluster {
	var addresses []string
	for i := range bootstrap {
		addresses = append(addresses, addressOf(i+1))
	}
	t := &cluster{cores: map[string]*Core{}, partitioned: map[string]bool{}}
	for _, address := range addresses {
		t.start(address, address, addresses)
	}
	t.advance(4 * time.Second)
	return t
}

// start starts a keeper on an empty disk.
func (t *cluster) start(address, identity string, bootstrap []string) {
	t.identities++
	random := rand.New(rand.NewPCG(uint64(t.identities), 1))
	options := Options{Address: address, Tolerance: &tolerance.Tolerance{Machines: 1}, FeedEpoch: address,
		Random: func(below int64) int64 { return random.Int64N(max(below, 1)) }}
	var stored [Groups]agreement.PersistentState
	for id := range Groups {
		options.IDs[id] = identity
		stored[id].Snapshot.Members.Voters = bootstrap
	}
	core, err := New(options, stored, t.now)
	Expect(err).NotTo(HaveOccurred())
	t.cores[address] = core
}

// join starts a new keeper, which asks the leaders of all groups to admit it.
func (t *cluster) join(address string) {
	t.start(address, FreshIdentity(address, fmt.Sprint(t.identities)), nil)
	for id := range Groups {
		member, knows, _ := t.cores[address].JoinState(t.now, id)
		var failure error
		t.cores[t.leader(id)].JoinGroup(t.now, id, member, knows, func(err error) { failure = err })
		Expect(failure).NotTo(HaveOccurred())
	}
	t.advance(time.Second)
}

// openStoreSession opens a session for the store on a keeper's machine.
func (t *cluster) openStoreSession(number int) {
	host := fmt.Sprintf("10.0.0.%d", number)
	member := session.Member{Incarnation: "store+" + host, Node: "storage-" + host, Role: session.Store, Address: host + ":7100",
		Disk: "disk of " + host, BootstrapDisk: true, Zone: "zone"}
	var failure error
	t.cores[t.leader(SessionGroup)].OpenSession(t.now, Subscriber(number), wire.OpenSessionBody{Member: member}, func(err error) { failure = err })
	t.deliverAll()
	Expect(failure).NotTo(HaveOccurred())
}

// sendHeartbeats extends the sessions of all stores.
func (t *cluster) sendHeartbeats() {
	leader := t.cores[t.leader(SessionGroup)]
	if leader == nil {
		return
	}
	for _, member := range leader.sessions.Members(session.Store) {
		leader.Heartbeat(t.now, 1, wire.HeartbeatBody{Incarnation: member.Incarnation}, func(time.Duration, error) {})
	}
}

// advance lets time pass, in steps of 10 ms.
func (t *cluster) advance(span time.Duration) {
	const step = 10 * time.Millisecond
	for end := t.now + span; t.now < end; t.now += step {
		for _, core := range t.cores {
			core.Tick(t.now)
		}
		t.sendHeartbeats()
		t.deliverAll()
	}
}

// deliverAll persists and delivers until nothing is pending.
func (t *cluster) deliverAll() {
	for t.deliver() {
	}
}

func (t *cluster) connected(from, to string) bool {
	return from == to || !t.partitioned[from] && !t.partitioned[to]
}

// deliver persists what is ready, delivers the messages of the keepers, and reports whether anything was ready.
func (t *cluster) deliver() bool {
	pending := false
	for address, core := range t.cores {
		for id := range Groups {
			ready := core.Ready(id)
			if ready.Empty() {
				continue
			}
			pending = true
			Expect(core.Persisted(t.now, id, &ready)).To(Succeed())
			for _, message := range ready.Messages {
				if to := t.cores[AddressOf(message.To)]; to != nil && t.connected(address, AddressOf(message.To)) {
					to.Step(t.now, id, []agreement.Message{message})
				}
			}
		}
	}
	return pending
}

// leader returns a keeper that considers itself the leader of a group and is not partitioned, or an empty string.
func (t *cluster) leader(id int) string {
	for address, core := range t.cores {
		if _, self := core.Leader(id); self && !t.partitioned[address] {
			return address
		}
	}
	return ""
}

var _ = Describe("A keeper that leads a group", func() {
	It("transfers leadership while it has no session table", func() {
		t := newThreeKeepers()
		former := t.leader(ConfigurationGroup)
		Expect(former).NotTo(BeEmpty())
		// Without the session table, the keeper can't tell whether its own machine is being drained.
		t.cores[former].ResetGroup(t.now, SessionGroup, FreshIdentity(former, "drawn"))
		t.advance(2 * time.Second)
		Expect(t.leader(ConfigurationGroup)).NotTo(BeElementOf("", former))
	})
})
