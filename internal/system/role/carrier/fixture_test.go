package carrier

import (
	"encoding/json"
	"net/http"
	"time"

	"granitewing/internal/system/catalog"
	"granitewing/internal/system/feed"
	"granitewing/internal/system/loop/simulated"
	"granitewing/internal/system/message"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
	"granitewing/internal/system/settings"
	"granitewing/internal/system/tolerance"
	"granitewing/internal/system/wire"
)

// Addresses and names of the fixture.
const (
	keeperAddress   = "10.0.0.1:7000"
	pacedUnit       = "paced/partner"
	keyUnit         = "key/3"
	ownedToken      = 5
	receiverLatency = 5 * time.Millisecond
)

// fixture is one carrier on simulated time, with a keeper that accepts every call and stores whose content a test
// sets.
type fixture struct {
	*simulated.Loop
	core    *Core
	table   *feed.Table
	pushed  feed.Position         // of the latest update that was pushed
	stores  map[string]*storeStub // by address
	sent    []string              // IDs of messages that were sent to workers
	latest  map[string]Attempt    // by message ID
	finish  func(AttemptOutcome)  // finishes the latest attempt
	logged  []string
	reports []error
	// receive returns the status that answers a call-back of a message; if it is nil, call-backs are not answered.
	receive    func(id string) (status int)
	calledBack []string // IDs of messages whose call-back was accepted
}

// storeStub is a store with the answers that a test sets.
type storeStub struct {
	listed         []wire.ListedMessage
	outcomes       map[string]message.Outcome
	unresponsive   bool
	outcomeQueries int               // number of FindOutcomes calls
	raised         []wire.MessageAge // by RaiseAges
	body           []byte            // of all messages; nil if the store has none
}

func (r *fixture) Deliver(attempt Attempt, done func(AttemptOutcome)) {
	r.sent = append(r.sent, attempt.Message.ID)
	r.latest[attempt.Message.ID] = attempt
	r.finish = done
}
func (r *fixture) Post(_ string, body []byte, _ bool, _ time.Duration, done func(int, error)) {
	if r.receive == nil {
		return
	}
	var posted callbackBody
	if err := json.Unmarshal(body, &posted); err != nil {
		panic(err) // the carrier always sends a valid body
	}
	r.After(receiverLatency, func() {
		status := r.receive(posted.ID)
		if status == http.StatusOK {
			r.calledBack = append(r.calledBack, posted.ID)
		}
		done(status, nil)
	})
}
func (r *fixture) ReadCatalog(func(map[string]catalog.Instance, error)) {}
func (r *fixture) LogWarning(_ string, err error)                       { r.reports = append(r.reports, err) }
func (r *fixture) LogInfo(event string)                                 { r.logged = append(r.logged, event) }

const document = `{"resource-version":3,"routes":[{"name":"r","host":"h","path-prefix":"/","kind":"async","timeout-ms":500,` +
	`"target-latency-ms":100,"priority":1,"backend":"partner","retries":3,"ordered":false,"retention-s":60,"target-start-ms":900}],` +
	`"services":[{"name":"partner","max-connections":9,"rate-per-s":100,"static":"10.9.0.1:80"}],"limits":{}}`

// newFixture returns a carrier that owns a paced unit and a key unit, with nothing on the stores.
func newFixture() *fixture {
	r := &fixture{stores: map[string]*storeStub{}, latest: map[string]Attempt{}, table: feed.NewTable("life-1")}
	r.Loop = &simulated.Loop{Reachable: map[string]bool{keeperAddress: true}, Answer: r.answer}
	r.core = New(r, &settings.Settings{NodeName: "edge-1", IP: "10.0.1.1", Zone: "a", FirstPort: 7000, LastPort: 7015, Seeds: []string{keeperAddress},
		Tolerance: tolerance.Tolerance{Machines: 1}, Limits: settings.Limits{MemoryMB: 284}, Bounds: settings.Bounds{Grace: 6 * time.Second, Status: 120 * time.Second}})
	r.core.Start()
	r.Advance(100 * time.Millisecond)
	r.table.Set(keeper.KeyConfiguration, []byte(document))
	r.table.Set(keeper.KeyRoster, wire.Encode(uint64(1)))
	for _, disk := range []string{"disk-1", "disk-2", "disk-3"} {
		r.stores[diskAddress(disk)] = &storeStub{outcomes: map[string]message.Outcome{}}
		r.Reachable[diskAddress(disk)] = true
		r.setDisk(disk, true)
	}
	r.own(ownedToken)
	r.Advance(relistDelay + 100*time.Millisecond) // the first view has the units listed once more
	return r
}

// own makes the carrier the owner of its units under a fencing token.
func (r *fixture) own(token uint64) {
	for _, unit := range []string{pacedUnit, keyUnit} {
		r.table.Set(keeper.PrefixOwner+unit, wire.Encode(&ownership.Owner{Incarnation: r.core.Incarnation(), Token: token}))
	}
	r.push()
}

// push sends the carrier what has changed since the last push, as a keeper does; the first time everything.
func (r *fixture) push() {
	update := r.table.UpdateSince(r.pushed)
	r.pushed = update.Position
	r.core.FeedUpdate(keeperAddress, wire.EncodeUpdate(&update))
}

func diskAddress(disk string) string { return "10.0.0.2:70" + disk[len(disk)-1:] }

func (r *fixture) setDisk(disk string, counted bool) {
	member := session.Member{Address: diskAddress(disk), Disk: disk, Zone: "a"}
	r.table.Set(keeper.PrefixDisk+disk, wire.Encode(&session.Disk{Counted: counted, Member: member}))
}

func (r *fixture) store(disk string) *storeStub { return r.stores[diskAddress(disk)] }

// storesWithOutcomes returns the addresses of the stores that outcomes were sent to.
func (r *fixture) storesWithOutcomes() map[string]bool {
	addresses := map[string]bool{}
	for _, call := range r.Calls {
		if call.Kind == wire.PutOutcomes {
			addresses[call.Address] = true
		}
	}
	return addresses
}

func (r *fixture) answer(address string, kind wire.Kind, payload []byte) ([]byte, error) {
	if stub := r.stores[address]; stub != nil {
		return stub.answer(kind, payload)
	}
	switch kind {
	case wire.OpenSession:
		return wire.Encode(&wire.OpenSessionAnswer{Lease: keeper.MemberLease}), nil
	case wire.Heartbeat:
		return wire.Encode(&wire.HeartbeatAnswer{}), nil
	}
	return wire.Encode(&struct{}{}), nil
}

func (s *storeStub) answer(kind wire.Kind, payload []byte) ([]byte, error) {
	if s.unresponsive {
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
	case wire.FindMessage:
		return wire.Encode(&wire.FindAnswer{Known: true, Phase: message.Pending, Body: s.body, HasBody: s.body != nil, Complete: true}), nil
	case wire.ListPending:
		answer := wire.PendingAnswer{}
		for i := range s.listed {
			m := &s.listed[i].Message
			if s.listed[i].Phase != message.Pending {
				continue
			}
			answer.Messages = append(answer.Messages, wire.PendingMessage{Unit: m.Unit, ID: m.ID, Age: s.listed[i].Age})
		}
		return wire.Encode(&answer), nil
	case wire.RaiseAges:
		var body wire.AgesBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return nil, err
		}
		s.raised = append(s.raised, body.Ages...)
	case wire.FindOutcomes:
		s.outcomeQueries++
		var body wire.FindOutcomesBody
		if err := wire.Decode(kind, payload, &body); err != nil {
			return nil, err
		}
		answer := wire.FindOutcomesAnswer{Complete: true}
		for _, id := range body.IDs {
			if outcome, completed := s.outcomes[id]; completed {
				answer.Outcomes = append(answer.Outcomes, outcome)
			}
		}
		return wire.Encode(&answer), nil
	}
	return wire.Encode(&struct{}{}), nil
}

// deliverBody returns the call that passes on a message, stored by an acceptor that knew the unit's owner under
// the given token.
func deliverBody(id, unit string, token uint64) wire.DeliverBody {
	m := message.Message{ID: id, Unit: unit, Host: "h", Method: "POST", Target: "/x", Token: token, Retention: time.Minute}
	if unit == keyUnit {
		m.Key, m.Sequence = "k", 1
	}
	return wire.DeliverBody{Message: m, Holders: []string{"disk-1", "disk-2"}, Age: 300 * time.Millisecond}
}

var succeeded = message.Outcome{ID: "m1", Phase: message.Succeeded, Stamp: "s"}
