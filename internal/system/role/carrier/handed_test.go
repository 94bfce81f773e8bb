package carrier

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/catalog"
	"granitewing/internal/system/feed"
	"granitewing/internal/system/link"
	"granitewing/internal/system/loop/simulated"
	"granitewing/internal/system/message"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
	"granitewing/internal/system/settings"
	"granitewing/internal/system/tolerance"
	"granitewing/internal/system/wire"
)

// Addresses and names of the rig.
const (
	keeperAddress = "10.0.0.1:7000"
	pacedUnit     = "paced/partner"
	keyUnit       = "key/3"
	ownToken      = 5
	receiverTime  = 5 * time.Millisecond
)

// rig is one carrier on simulated time, a keeper that takes everything, and stores that hold what a test says.
type rig struct {
	*simulated.Loop
	core    *Core
	table   *feed.Table
	stores  map[string]*heldStore // by address
	sent    []string              // ids of messages that workers got
	finish  func(Outcome)         // of the latest of them
	informs []string
	reports []error
	// receive answers a call-back of a message; nil where none is answered.
	receive func(id string) (status int)
	told    []string // ids of messages whose call-back was taken
}

// heldStore is what a store tells.
type heldStore struct {
	listed []wire.ListedMessage
	ends   map[string]message.End
	silent bool
	asked  int // for ends
}

func (r *rig) Deliver(attempt Attempt, done func(Outcome)) {
	r.sent = append(r.sent, attempt.Message.ID)
	r.finish = done
}
func (r *rig) Post(_ string, body []byte, _ bool, _ time.Duration, done func(int, error)) {
	if r.receive == nil {
		return
	}
	var form callbackForm
	if err := json.Unmarshal(body, &form); err != nil {
		panic(err) // a form of ours
	}
	r.After(receiverTime, func() {
		status := r.receive(form.ID)
		if status == http.StatusOK {
			r.told = append(r.told, form.ID)
		}
		done(status, nil)
	})
}
func (r *rig) ReadCatalog(func(map[string]catalog.Instance, error)) {}
func (r *rig) Report(_ string, err error)                           { r.reports = append(r.reports, err) }
func (r *rig) Inform(event string)                                  { r.informs = append(r.informs, event) }

const document = `{"resource-version":3,"routes":[{"name":"r","host":"h","path-prefix":"/","kind":"async","timeout-ms":500,` +
	`"target-latency-ms":100,"priority":1,"backend":"partner","retries":3,"ordered":false,"retention-s":60,"target-start-ms":900}],` +
	`"services":[{"name":"partner","max-connections":9,"rate-per-s":100,"static":"10.9.0.1:80"}],"limits":{}}`

// newRig gives a carrier that owns a paced unit and a unit of keys, with nothing on the stores.
func newRig() *rig {
	r := &rig{stores: map[string]*heldStore{}, table: feed.NewTable("life-1")}
	r.Loop = &simulated.Loop{Reachable: map[string]bool{keeperAddress: true}, Answer: r.answer}
	r.core = New(r, &settings.Settings{NodeName: "edge-1", IP: "10.0.1.1", Zone: "a", FirstPort: 7000, LastPort: 7015, Seeds: []string{keeperAddress},
		Tolerance: tolerance.Tolerance{Machines: 1}, Limits: settings.Limits{MemoryMB: 284}, Bounds: settings.Bounds{Grace: 6 * time.Second, Status: 120 * time.Second}})
	r.core.Start()
	r.Pass(100 * time.Millisecond)
	r.table.Set(keeper.KeyConfiguration, []byte(document))
	r.table.Set(keeper.KeyRoster, wire.Encode(uint64(1)))
	for _, disk := range []string{"disk-1", "disk-2", "disk-3"} {
		r.stores[diskAddress(disk)] = &heldStore{ends: map[string]message.End{}}
		r.Reachable[diskAddress(disk)] = true
		r.setDisk(disk, true)
	}
	r.own(ownToken)
	r.Pass(100 * time.Millisecond)
	return r
}

// own makes the carrier the owner of its units under a token.
func (r *rig) own(token uint64) {
	for _, unit := range []string{pacedUnit, keyUnit} {
		r.table.Set(keeper.PrefixOwner+unit, wire.Encode(&ownership.Owner{Incarnation: r.core.Incarnation(), Token: token}))
	}
	r.push()
}

func (r *rig) push() {
	update := r.table.Since(feed.Position{})
	r.core.FeedUpdate(keeperAddress, wire.EncodeUpdate(&update))
}

func diskAddress(disk string) string { return "10.0.0.2:70" + disk[len(disk)-1:] }

func (r *rig) setDisk(disk string, counted bool) {
	member := session.Member{Address: diskAddress(disk), Disk: disk, Zone: "a"}
	r.table.Set(keeper.PrefixDisk+disk, wire.Encode(&session.Disk{Counted: counted, Member: member}))
}

func (r *rig) store(disk string) *heldStore { return r.stores[diskAddress(disk)] }

// toldEnds gives the addresses of the stores that were told of ends.
func (r *rig) toldEnds() map[string]bool {
	told := map[string]bool{}
	for _, call := range r.Calls {
		if call.Kind == wire.PutEnds {
			told[call.Address] = true
		}
	}
	return told
}

func (r *rig) answer(address string, kind wire.Kind, payload []byte) ([]byte, error) {
	if held := r.stores[address]; held != nil {
		return held.answer(kind, payload)
	}
	switch kind {
	case wire.OpenSession:
		return wire.Encode(&wire.OpenSessionAnswer{Lease: keeper.MemberLease}), nil
	case wire.Heartbeat:
		return wire.Encode(&wire.HeartbeatAnswer{}), nil
	}
	return wire.Encode(&struct{}{}), nil
}

func (s *heldStore) answer(kind wire.Kind, payload []byte) ([]byte, error) {
	if s.silent {
		return nil, nil
	}
	switch kind {
	case wire.ListUnit:
		var body wire.ListBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return nil, err
		}
		answer := wire.ListAnswer{Complete: true}
		for _, listed := range s.listed {
			if listed.Message.Unit == body.Unit {
				answer.Messages = append(answer.Messages, listed)
			}
		}
		return wire.Encode(&answer), nil
	case wire.FindEnds:
		s.asked++
		var body wire.FindEndsBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return nil, err
		}
		answer := wire.FoundEnds{Complete: true}
		for _, id := range body.IDs {
			if end, ended := s.ends[id]; ended {
				answer.Ends = append(answer.Ends, end)
			}
		}
		return wire.Encode(&answer), nil
	}
	return wire.Encode(&struct{}{}), nil
}

// handed gives a message that its acceptor stored while it knew the unit's owner by a token.
func handed(id, unit string, token uint64) wire.DeliverBody {
	m := message.Message{ID: id, Unit: unit, Host: "h", Method: "POST", Target: "/x", Token: token, Retention: time.Minute}
	if unit == keyUnit {
		m.Key, m.Sequence = "k", 1
	}
	return wire.DeliverBody{Message: m, Holders: []string{"disk-1", "disk-2"}, Age: 300 * time.Millisecond}
}

var succeeded = message.End{ID: "m1", Phase: message.Succeeded, Stamp: "s"}

// What was seen: a message ran again, at the next owner of its unit, after a success that a former owner's carrier had read.
// How it came about and its cause: see the scenarios of the simulation's test of messages that are forwarded after their end.
var _ = ginkgo.Describe("An owner that is handed a message", func() {
	var r *rig

	ginkgo.BeforeEach(func() { r = newRig() })

	for _, unit := range []string{pacedUnit, keyUnit} {
		ginkgo.It("does not run it where a former owner has ended it: "+unit, func() {
			r.store("disk-2").ends["m1"] = succeeded
			refusal := r.core.Deliver(handed("m1", unit, ownToken-1))
			Expect(refusal).NotTo(BeNil(), "it is not known yet")
			Expect(refusal.Code).To(Equal(wire.NotReady))
			r.Pass(50 * time.Millisecond)
			Expect(r.core.Deliver(handed("m1", unit, ownToken-1))).To(BeNil(), "it is done with")
			r.Pass(3 * time.Second)
			Expect(r.sent).To(BeEmpty())
			Expect(r.core.Figures().EndedBefore).To(BeEquivalentTo(1))
			Expect(r.informs).To(ContainElement(ContainSubstring("had ended under a former owner")))
		})

		ginkgo.It("runs it once the stores that hold it know of no end: "+unit, func() {
			Expect(r.core.Deliver(handed("m1", unit, ownToken-1))).NotTo(BeNil())
			Expect(r.sent).To(BeEmpty())
			r.Pass(50 * time.Millisecond)
			Expect(r.core.Deliver(handed("m1", unit, ownToken-1))).To(BeNil())
			r.Pass(time.Second)
			Expect(r.sent).To(Equal([]string{"m1"}))
		})

		ginkgo.It("asks nobody where it was accepted under this owner: "+unit, func() {
			Expect(r.core.Deliver(handed("m1", unit, ownToken))).To(BeNil())
			Expect(r.core.Deliver(handed("m1", unit, ownToken))).To(BeNil())
			r.Pass(time.Second)
			Expect(r.sent).To(Equal([]string{"m1"}))
			Expect(r.store("disk-1").asked).To(BeZero())
		})

		ginkgo.It("refuses it where it was accepted under a later owner: "+unit, func() {
			refusal := r.core.Deliver(handed("m1", unit, ownToken+1))
			Expect(refusal).NotTo(BeNil())
			Expect(refusal.Code).To(Equal(wire.NotOwner))
			r.Pass(time.Second)
			Expect(r.sent).To(BeEmpty())
		})
	}

	ginkgo.It("waits for a store that is silent, and no longer than for one that may be lost", func() {
		r.store("disk-1").silent = true
		r.core.Deliver(handed("m1", pacedUnit, ownToken-1))
		r.Pass(listAllWithin - 100*time.Millisecond)
		Expect(r.sent).To(BeEmpty())
		r.Pass(300 * time.Millisecond)
		Expect(r.sent).To(Equal([]string{"m1"}))
	})

	ginkgo.It("does not run it while no store that holds it answers", func() {
		r.store("disk-1").silent, r.store("disk-2").silent = true, true
		r.core.Deliver(handed("m1", pacedUnit, ownToken-1))
		r.Pass(5 * time.Second)
		Expect(r.sent).To(BeEmpty())
		r.store("disk-1").silent, r.store("disk-2").silent = false, false
		r.Pass(2 * time.Second)
		Expect(r.sent).To(Equal([]string{"m1"}))
	})

	ginkgo.It("asks all stores that count, and again where one was not there", func() {
		r.store("disk-3").ends["m1"] = succeeded
		r.Reachable["10.0.0.2:703"] = false
		r.core.Deliver(handed("m1", pacedUnit, ownToken-1))
		r.Pass(200 * time.Millisecond)
		Expect(r.sent).To(BeEmpty())
		r.Reachable["10.0.0.2:703"] = true
		r.Pass(3 * time.Second)
		Expect(r.sent).To(BeEmpty())
		Expect(r.core.Figures().EndedBefore).To(BeEquivalentTo(1))
	})

	ginkgo.It("asks where the message may be older than what it remembers of its own ends", func() {
		for id := range maxRecentEnds + 1 {
			r.core.recent.add(r.Now(), message.End{ID: string(rune(id)) + "x", Phase: message.Succeeded})
		}
		r.store("disk-1").ends["m1"] = succeeded
		Expect(r.core.Deliver(handed("m1", pacedUnit, ownToken))).NotTo(BeNil())
		r.Pass(time.Second)
		Expect(r.sent).To(BeEmpty())
	})

	ginkgo.It("leaves it to the next owner where the unit goes meanwhile", func() {
		r.store("disk-1").silent = true
		r.core.Deliver(handed("m1", pacedUnit, ownToken-1))
		waiting := r.core.waitingBytes
		Expect(waiting).To(BeNumerically(">", 0))
		r.table.Set(keeper.PrefixOwner+pacedUnit, wire.Encode(&ownership.Owner{Incarnation: "edge-2+x", Token: ownToken + 1}))
		r.push()
		r.Pass(3 * time.Second)
		Expect(r.sent).To(BeEmpty())
		Expect(r.core.waitingBytes).To(BeZero())
	})

	ginkgo.It("bounds the messages that it asks for at a time", func() {
		for _, held := range r.stores {
			held.silent = true
		}
		for id := range maxEndQueries + 10 {
			Expect(r.core.Deliver(handed(string(rune(id))+"y", pacedUnit, ownToken-1))).NotTo(BeNil())
		}
		Expect(r.core.units[pacedUnit].endQueries).To(HaveLen(maxEndQueries))
	})
})

var _ = ginkgo.Describe("A recovery", func() {
	listed := func(id string) wire.ListedMessage {
		return wire.ListedMessage{Message: handed(id, pacedUnit, 1).Message, Phase: message.Pending}
	}

	ginkgo.It("leaves out a list that comes while ends are asked for", func() {
		r := newRig()
		for _, held := range r.stores {
			held.ends["m1"] = succeeded
		}
		r.store("disk-2").listed = []wire.ListedMessage{listed("m2")}
		late := r.store("disk-3")
		late.listed = []wire.ListedMessage{listed("m1")}
		late.silent = true
		r.own(ownToken + 1)
		u := r.core.units[pacedUnit]
		for tries := 0; u.recovery.round == nil && tries < 3000; tries++ {
			r.Pass(time.Millisecond) // until the lists of the two others are taken as enough
		}
		Expect(u.recovery.finished).To(BeFalse(), "their ends are asked for")
		*u.recovery.listed["disk-3"] = listing{messages: late.listed, complete: true, done: true, epoch: 1}
		r.Pass(time.Second)
		Expect(u.recovery.finished).To(BeTrue())
		Expect(r.sent).To(Equal([]string{"m2"}))
	})

	ginkgo.It("has counted disks that did not tell learn the ends of what it found", func() {
		r := newRig()
		r.store("disk-1").listed = []wire.ListedMessage{listed("m1")}
		r.Reachable["10.0.0.2:702"] = false
		r.own(ownToken + 1)
		r.Pass(2 * time.Second)
		Expect(r.sent).To(Equal([]string{"m1"}))
		Expect(r.core.units[pacedUnit].items["m1"].holders).To(Equal([]string{"disk-1", "disk-2"}))
	})
})

var _ = ginkgo.Describe("A carrier that accepts a message for an owner", func() {
	ginkgo.It("has the message bear the token that it knew before any store was given it", func() {
		r := newRig()
		var stored wire.PutBody
		var answered Answer
		r.core.Submit(&Submission{Message: message.Message{ID: "m1", Host: "h", Method: "POST", Target: "/x"}, Path: "/x"}, func(a Answer) { answered = a })
		Expect(wire.Decode(wire.PutMessage, r.Last(wire.PutMessage).Payload, &stored)).To(Succeed())
		Expect(stored.Message.Unit).To(Equal(pacedUnit))
		Expect(stored.Message.Token).To(BeEquivalentTo(ownToken))
		r.Pass(time.Second)
		Expect(answered.Verdict).To(Equal(Accepted))
		Expect(r.sent).To(Equal([]string{"m1"}))
	})

	ginkgo.It("forwards until it has an answer, and once", func() {
		r := newRig()
		const other = "10.0.1.2:7001"
		r.Reachable[other] = true
		refusals := 3
		r.Answer = func(address string, kind wire.Kind, payload []byte) ([]byte, error) {
			if address != other {
				return r.answer(address, kind, payload)
			}
			if refusals--; refusals >= 0 {
				return nil, &link.RefusedError{Body: wire.RefusalBody{Code: wire.NotReady}}
			}
			return wire.Encode(&wire.DeliverAnswer{}), nil
		}
		r.table.Set(keeper.PrefixMember+"edge-2+x", wire.Encode(&session.Member{Incarnation: "edge-2+x", Role: session.Carrier, Address: other}))
		r.table.Set(keeper.PrefixOwner+pacedUnit, wire.Encode(&ownership.Owner{Incarnation: "edge-2+x", Token: ownToken + 1}))
		r.push()
		r.core.Submit(&Submission{Message: message.Message{ID: "m1", Host: "h", Method: "POST", Target: "/x"}, Path: "/x"}, func(Answer) {})
		r.Pass(2 * time.Second)
		Expect(refusals).To(Equal(-1))
		Expect(r.core.waitingBytes).To(BeZero())
	})
})
