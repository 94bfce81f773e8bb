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

// document is a configuration with a service of ordered messages.
func document(version string) []byte {
	return []byte(`{"resource-version":` + version + `,"routes":[{"name":"r","host":"h","path-prefix":"/","kind":"async","timeout-ms":500,` +
		`"target-latency-ms":100,"priority":1,"backend":"s","retries":3,"ordered":true,"retention-s":60,"target-start-ms":900}],` +
		`"services":[{"name":"s","max-connections":9,"rate-per-s":0,"static":null}],"limits":{}}`)
}

// call is one call of a keeper, whose outcome goes to done.
type call struct {
	name string
	make func(c *Core, now time.Duration, done func(err error))
}

// calls are all that a keeper answers, with what it would answer from its own state: this is the table of
// docs/design/control-under-loss.md.
var calls = []call{
	{"Config.Replace, taken before", replaces("0", document("1"))},
	{"Config.Replace, on another version", replaces("0", document("7"))},
	{"Config.Replace, invalid", replaces("1", []byte("{"))},
	{"Config.Replace, of no higher version", replaces("1", document("0"))},
	{"Config.Replace, a fresh one", replaces("1", document("9"))},
	{"Config.Get", func(c *Core, now time.Duration, done func(error)) {
		c.Read(now, func(_ []byte, err error) { done(err) })
	}},
	{"Retire.Start of no machine", func(c *Core, now time.Duration, done func(error)) { c.RetireMachine(now, "nothing", done) }},
	{"Retire.Start where too few would be left", func(c *Core, now time.Duration, done func(error)) {
		c.RetireMachine(now, "storage-10.0.0.2", done)
	}},
	{"Retire.Get of no machine", func(c *Core, now time.Duration, done func(error)) {
		c.Retired(now, "nothing", func(_ bool, err error) { done(err) })
	}},
	{"Retire.Get of a machine that stays", func(c *Core, now time.Duration, done func(error)) {
		c.Retired(now, "storage-10.0.0.2", func(_ bool, err error) { done(err) })
	}},
	{"JoinGroup of a member that was removed", func(c *Core, now time.Duration, done func(error)) {
		c.JoinGroup(now, ConfigurationGroup, "10.0.0.9:7000#x", true, done)
	}},
	{"OpenSession, a new one", func(c *Core, now time.Duration, done func(error)) {
		c.OpenSession(now, 7, wire.OpenSessionBody{Member: session.Member{Incarnation: "n", Node: "n", Role: session.Carrier}}, done)
	}},
	{"OpenSession, of one that is over", func(c *Core, now time.Duration, done func(error)) {
		c.OpenSession(now, 7, wire.OpenSessionBody{Member: session.Member{Incarnation: "o"}, Renew: true}, done)
	}},
	{"Heartbeat of a session that is over", func(c *Core, now time.Duration, done func(error)) {
		c.Heartbeat(now, 7, wire.HeartbeatBody{Incarnation: "o"}, func(_ time.Duration, err error) { done(err) })
	}},
	{"CloseSession", func(c *Core, now time.Duration, done func(error)) { c.CloseSession(now, "store+10.0.0.1", done) }},
	{"SettleDeparted", func(c *Core, now time.Duration, done func(error)) { c.Settle(now, "o", done) }},
	{"CountDisk", func(c *Core, now time.Duration, done func(error)) { c.CountDisk(now, "disk of 10.0.0.1", done) }},
	{"DiskEmptied", func(c *Core, now time.Duration, done func(error)) { c.DiskEmptied(now, "disk of 10.0.0.1", 0, done) }},
	{"Retire.Cancel", func(c *Core, now time.Duration, done func(error)) { c.CancelRetirement(now, "storage-10.0.0.1", done) }},
	{"GroupLeft", func(c *Core, now time.Duration, done func(error)) { c.GroupLeft(now, "storage-10.0.0.1", 0, done) }},
	{"ReleaseUnit", func(c *Core, now time.Duration, done func(error)) {
		c.ReleaseUnit(now, ownership.KeyUnits()[0], 0, 0, done)
	}},
}

func replaces(base string, raw []byte) func(c *Core, now time.Duration, done func(err error)) {
	return func(c *Core, now time.Duration, done func(err error)) {
		c.Replace(now, configuration.Order{Base: uint64(base[0] - '0'), Raw: raw}, done)
	}
}

// knowsNothing tells whether an error says nothing of state: another keeper is to be asked.
func knowsNothing(err error) bool {
	var lost *LostError
	var notLeader *agreement.NotLeaderError
	return errors.As(err, &lost) || errors.As(err, &notLeader)
}

var _ = Describe("What a keeper answers", func() {
	// led gives three keepers of which one leads all groups, with a configuration and stores.
	led := func() (t *fleet, leader string) {
		t = newTrio()
		leader = t.leader(ConfigurationGroup)
		for id := range Groups {
			for range 20 {
				if t.leader(id) == leader {
					break
				}
				t.cores[t.leader(id)].Yield(t.now)
				t.pass(300 * time.Millisecond)
			}
		}
		leader = t.leader(SessionGroup)
		var failure error
		t.cores[t.leader(ConfigurationGroup)].Replace(t.now, configuration.Order{Raw: document("1")}, func(err error) { failure = err })
		t.settleAll()
		Expect(failure).NotTo(HaveOccurred())
		for i := range 3 {
			t.store(i + 1)
		}
		return t, leader
	}

	for _, one := range calls {
		It("says nothing of state once it is cut off: "+one.name, func() {
			t, _ := led()
			// Every leader is asked right after the cut, when it does not know of it, and again while its successor leads.
			for address, core := range t.cores {
				t.cut[address] = true
				for range 12 {
					one.make(core, t.now, func(err error) {
						Expect(err).To(HaveOccurred())
						Expect(knowsNothing(err)).To(BeTrue(), "%T %v", err, err)
					})
					t.pass(400 * time.Millisecond)
				}
				delete(t.cut, address)
				t.pass(2 * time.Second)
			}
		})

		It("has an end for every call: "+one.name, func() {
			t, _ := led()
			for address, core := range t.cores {
				t.cut[address] = true
				answered := false
				one.make(core, t.now, func(error) { answered = true })
				t.pass(orderWait + 500*time.Millisecond)
				Expect(answered).To(BeTrue())
				delete(t.cut, address)
				t.pass(2 * time.Second)
			}
		})
	}

	It("resets no member on the word of a leader that was deposed", func() {
		t, _ := led()
		old := t.leader(ConfigurationGroup)
		t.cut[old] = true
		var asked error
		answered := false
		t.cores[old].JoinGroup(t.now, ConfigurationGroup, addressOf(9)+"#late", true, func(err error) { answered, asked = true, err })
		Expect(answered).To(BeFalse())
		t.pass(3 * time.Second)
		Expect(knowsNothing(asked)).To(BeTrue())
	})
})
