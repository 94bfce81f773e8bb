package keeper

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/configuration"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/session"
	"granitewing/internal/system/wire"
)

// document returns a configuration with one service of ordered messages.
func document(version string) []byte {
	return []byte(`{"resource-version":` + version + `,"routes":[{"name":"r","host":"h","path-prefix":"/","kind":"async","timeout-ms":500,` +
		`"target-latency-ms":100,"priority":1,"backend":"s","retries":3,"ordered":true,"retention-s":60,"target-start-ms":900}],` +
		`"services":[{"name":"s","max-connections":9,"rate-per-s":0,"static":null}],"limits":{}}`)
}

// call is one call of a keeper. Its outcome is passed to done.
type call struct {
	name   string
	invoke func(c *Core, now time.Duration, done func(err error))
}

// calls lists every call that a keeper answers, with arguments that a deposed leader could answer from its own state.
// docs/design/control-under-loss.md has the same calls in a table.
var calls = []call{
	{"Config.Replace, accepted before", replaces("0", document("1"))},
	{"Config.Replace, based on another version", replaces("0", document("7"))},
	{"Config.Replace, invalid", replaces("1", []byte("{"))},
	{"Config.Replace, with a version that is not higher", replaces("1", document("0"))},
	{"Config.Replace, a new one", replaces("1", document("9"))},
	{"Config.Get", func(c *Core, now time.Duration, done func(error)) {
		c.ReadConfiguration(now, func(_ []byte, err error) { done(err) })
	}},
	{"Retire.Start of an unknown machine", func(c *Core, now time.Duration, done func(error)) { c.RetireMachine(now, "nothing", done) }},
	{"Retire.Start that would leave too few disks", func(c *Core, now time.Duration, done func(error)) {
		c.RetireMachine(now, "storage-10.0.0.2", done)
	}},
	{"Retire.Get of an unknown machine", func(c *Core, now time.Duration, done func(error)) {
		c.Retired(now, "nothing", func(_ bool, err error) { done(err) })
	}},
	{"Retire.Get of a machine that is not retired", func(c *Core, now time.Duration, done func(error)) {
		c.Retired(now, "storage-10.0.0.2", func(_ bool, err error) { done(err) })
	}},
	{"JoinGroup of a member that was removed", func(c *Core, now time.Duration, done func(error)) {
		c.JoinGroup(now, ConfigurationGroup, "10.0.0.9:7000#x", true, done)
	}},
	{"OpenSession, a new one", func(c *Core, now time.Duration, done func(error)) {
		c.OpenSession(now, 7, wire.OpenSessionBody{Member: session.Member{Incarnation: "n", Node: "n", Role: session.Carrier}}, done)
	}},
	{"OpenSession, renewal of an ended one", func(c *Core, now time.Duration, done func(error)) {
		c.OpenSession(now, 7, wire.OpenSessionBody{Member: session.Member{Incarnation: "o"}, Renew: true}, done)
	}},
	{"Heartbeat of an ended session", func(c *Core, now time.Duration, done func(error)) {
		c.Heartbeat(now, 7, wire.HeartbeatBody{Incarnation: "o"}, func(_ time.Duration, err error) { done(err) })
	}},
	{"CloseSession", func(c *Core, now time.Duration, done func(error)) { c.CloseSession(now, "store+10.0.0.1", done) }},
	{"SettleDeparted", func(c *Core, now time.Duration, done func(error)) {
		c.SettleDeparted(now, wire.SettleBody{Incarnation: "o"}, done)
	}},
	{"CountDisk", func(c *Core, now time.Duration, done func(error)) { c.CountDisk(now, "disk of 10.0.0.1", done) }},
	{"DiskDrained", func(c *Core, now time.Duration, done func(error)) { c.DiskDrained(now, "disk of 10.0.0.1", 0, done) }},
	{"Retire.Cancel", func(c *Core, now time.Duration, done func(error)) { c.CancelRetirement(now, "storage-10.0.0.1", done) }},
	{"GroupRemovedNode", func(c *Core, now time.Duration, done func(error)) {
		c.GroupRemovedNode(now, "storage-10.0.0.1", 0, done)
	}},
	{"ReleaseUnit", func(c *Core, now time.Duration, done func(error)) {
		c.ReleaseUnit(now, ownership.KeyUnits()[0], 0, 0, done)
	}},
}

func replaces(base string, raw []byte) func(c *Core, now time.Duration, done func(err error)) {
	return func(c *Core, now time.Duration, done func(err error)) {
		c.ReplaceConfiguration(now, configuration.Order{Base: uint64(base[0] - '0'), Raw: raw}, done)
	}
}

// isInconclusive reports whether an error says nothing about the state, so that the caller has to ask another
// keeper.
func isInconclusive(err error) bool {
	var lost *OutcomeUnknownError
	var notLeader *agreement.NotLeaderError
	return errors.As(err, &lost) || errors.As(err, &notLeader)
}

var _ = Describe("Answers of a keeper", func() {
	// newLedCluster returns three keepers of which one leads all groups, with a configuration and stores.
	newLedCluster := func() (t *cluster, leader string) {
		t = newThreeKeepers()
		leader = t.leader(ConfigurationGroup)
		for id := range Groups {
			for range 20 {
				if t.leader(id) == leader {
					break
				}
				t.cores[t.leader(id)].TransferLeadership(t.now)
				t.advance(300 * time.Millisecond)
			}
		}
		leader = t.leader(SessionGroup)
		var failure error
		t.cores[t.leader(ConfigurationGroup)].ReplaceConfiguration(t.now, configuration.Order{Raw: document("1")}, func(err error) { failure = err })
		t.deliverAll()
		Expect(failure).NotTo(HaveOccurred())
		for i := range 3 {
			t.openStoreSession(i + 1)
		}
		return t, leader
	}

	for _, one := range calls {
		It("make no statement about state after a partition: "+one.name, func() {
			t, _ := newLedCluster()
			// Each leader is called right after the partition, before it can know of it, and again while its successor leads.
			for address, core := range t.cores {
				t.partitioned[address] = true
				for range 12 {
					one.invoke(core, t.now, func(err error) {
						Expect(err).To(HaveOccurred())
						Expect(isInconclusive(err)).To(BeTrue(), "%T %v", err, err)
					})
					t.advance(400 * time.Millisecond)
				}
				delete(t.partitioned, address)
				t.advance(2 * time.Second)
			}
		})

		It("come for every call: "+one.name, func() {
			t, _ := newLedCluster()
			for address, core := range t.cores {
				t.partitioned[address] = true
				answered := false
				one.invoke(core, t.now, func(error) { answered = true })
				t.advance(proposalTimeout + 500*time.Millisecond)
				Expect(answered).To(BeTrue())
				delete(t.partitioned, address)
				t.advance(2 * time.Second)
			}
		})
	}

	It("reset no member on behalf of a deposed leader", func() {
		t, _ := newLedCluster()
		old := t.leader(ConfigurationGroup)
		t.partitioned[old] = true
		var outcome error
		answered := false
		t.cores[old].JoinGroup(t.now, ConfigurationGroup, addressOf(9)+"#late", true, func(err error) { answered, outcome = true, err })
		Expect(answered).To(BeFalse())
		t.advance(3 * time.Second)
		Expect(isInconclusive(outcome)).To(BeTrue())
	})
})
