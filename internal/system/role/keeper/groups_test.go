package keeper

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/tolerance"
)

// trio is three keepers that are voters of all groups, on simulated time, disks that sync at once and links without delay.
type trio struct {
	cores map[string]*Core // by address
	now   time.Duration
}

func newTrio() *trio {
	var addresses []string
	for i := range 3 {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:7000", i+1))
	}
	t := &trio{cores: map[string]*Core{}}
	for i, address := range addresses {
		random := rand.New(rand.NewPCG(uint64(i), 1))
		options := Options{Address: address, Tolerance: &tolerance.Tolerance{Machines: 1}, FeedEpoch: address,
			Random: func(below int64) int64 { return random.Int64N(max(below, 1)) }}
		var stored [Groups]agreement.Stored
		for id := range Groups {
			options.IDs[id] = address
			stored[id].Snapshot.Members.Voters = addresses
		}
		core, err := New(options, stored, 0)
		Expect(err).NotTo(HaveOccurred())
		t.cores[address] = core
	}
	t.pass(4 * time.Second)
	return t
}

func (t *trio) pass(span time.Duration) {
	const step = 10 * time.Millisecond
	for end := t.now + span; t.now < end; t.now += step {
		for _, core := range t.cores {
			core.Tick(t.now)
		}
		for t.settle() {
		}
	}
}

// settle persists and delivers what the keepers have to say, and tells whether there was anything.
func (t *trio) settle() bool {
	busy := false
	for _, core := range t.cores {
		for id := range Groups {
			ready := core.Ready(id)
			if ready.Empty() {
				continue
			}
			busy = true
			Expect(core.Persisted(t.now, id, &ready)).To(Succeed())
			for _, message := range ready.Messages {
				if to := t.cores[AddressOf(message.To)]; to != nil {
					to.Step(t.now, id, []agreement.Message{message})
				}
			}
		}
	}
	return busy
}

// leader gives who leads a group, as it sees itself; empty where nobody does.
func (t *trio) leader(id int) string {
	for address, core := range t.cores {
		if _, self := core.Leader(id); self {
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
