package carrier

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/wire"
)

// orderedDocument returns a configuration with an unordered route for the prefix "/", and, if wanted, an ordered route
// with call-backs for "/in/".
func orderedDocument(version int, withOrdered bool) []byte {
	route := func(name, prefix string, ordered bool) string {
		return fmt.Sprintf(`{"name":"%s","host":"h","path-prefix":"%s","kind":"async","timeout-ms":500,"target-latency-ms":100,"priority":1,`+
			`"backend":"partner","retries":3,"ordered":%t,"retention-s":60,"callback-url":%t,"target-start-ms":900}`, name, prefix, ordered, ordered)
	}
	routes := route("r", "/", false)
	if withOrdered {
		routes += "," + route("o", "/in/", true)
	}
	return []byte(fmt.Sprintf(`{"resource-version":%d,"routes":[%s],"services":[{"name":"partner","max-connections":9,"rate-per-s":100,`+
		`"static":"10.9.0.1:80"}],"limits":{}}`, version, routes))
}

// ownedKey returns an ordering key of the unit that the fixture's carrier owns.
func ownedKey() string {
	for number := 0; ; number++ {
		if key := fmt.Sprintf("k%d", number); ownership.KeyUnit(key) == keyUnit {
			return key
		}
	}
}

func (r *fixture) configure(document []byte) {
	r.table.Set(keeper.KeyConfiguration, document)
	r.push()
}

// submit has the carrier accept a message with a key and a call-back URL, as the client of the route for "/in/" sends it.
func (r *fixture) submit(id, key string, delay time.Duration) {
	verdict := Verdict(0)
	m := message.Message{ID: id, Host: "h", Method: "POST", Target: "/in/x", Key: key, Callback: "http://10.8.0.1:80/done", Delay: delay}
	r.core.Submit(&Submission{Message: m, Path: "/in/x"}, func(answer Answer) { verdict = answer.Verdict })
	r.Advance(20 * time.Millisecond)
	Expect(verdict).To(Equal(Accepted), "%s", id)
}

// senderKey returns the ordering key that a message's worker is sent.
func senderKey(attempt Attempt) string {
	for _, header := range attempt.Message.Headers {
		if header.Name == wire.HeaderOrderingKey {
			return header.Value
		}
	}
	return attempt.Message.Key
}

// Guards against a message that runs without the key that its client sent, on a route without order, and against such
// messages waiting for each other or for messages in order with the same key.
func TestKeyOfAnUnorderedRouteReachesTheWorkerAndOrdersNothing(t *testing.T) {
	RegisterTestingT(t)
	r := newFixture()
	key := ownedKey()
	r.configure(orderedDocument(4, true))
	r.submit("ordered-1", key, 0)
	Expect(r.sent).To(Equal([]string{"ordered-1"}))

	r.configure(orderedDocument(5, false))
	r.submit("unordered-1", key, 0)
	r.submit("unordered-2", key, 0)
	r.Advance(100 * time.Millisecond)
	Expect(r.sent).To(Equal([]string{"ordered-1", "unordered-1", "unordered-2"}), "none of them waits for another")
	for _, id := range r.sent {
		Expect(senderKey(r.latest[id])).To(Equal(key), "%s", id)
	}
	Expect(r.latest["unordered-1"].Message.Key).To(BeEmpty())
	Expect(r.core.Counters().KeyedUnordered).To(BeEquivalentTo(2))
}

// Guards against an order that is lost while its route is removed and added again: messages that were accepted on the
// ordered route stay in order.
func TestMessagesInOrderStayInOrderWhileTheirRouteIsAway(t *testing.T) {
	RegisterTestingT(t)
	r := newFixture()
	key := ownedKey()
	r.configure(orderedDocument(4, true))
	r.submit("ordered-1", key, 2*time.Second)
	r.configure(orderedDocument(5, false))
	r.submit("unordered-1", key, 2*time.Second)
	r.configure(orderedDocument(6, true))
	r.submit("ordered-2", key, 0)
	r.Advance(time.Second)
	Expect(r.sent).To(BeEmpty(), "ordered-2 comes after ordered-1")
	r.Advance(1200 * time.Millisecond)
	Expect(r.sent).To(ConsistOf("ordered-1", "unordered-1"))
	Expect(senderKey(r.latest["unordered-1"])).To(Equal(key))
	Expect(r.latest["ordered-1"].Message.Key).To(Equal(key))
}

// Guards against keys that are lost when a carrier takes messages over: they are listed with the key that their client
// sent, go by age, and do not wait for each other. A message that an earlier build stored without its key runs without.
func TestKeyedMessagesWithoutOrderAreTakenOver(t *testing.T) {
	RegisterTestingT(t)
	r := newFixture()
	listed := func(id string, age time.Duration, headers ...message.Header) wire.ListedMessage {
		m := deliverBody(id, pacedUnit, 0).Message
		m.Headers = headers
		return wire.ListedMessage{Message: m, Phase: message.Pending, Age: age}
	}
	header := message.Header{Name: wire.HeaderOrderingKey, Value: "k"}
	r.store("disk-1").listed = []wire.ListedMessage{listed("newer", 2*time.Second, header), listed("older", 9*time.Second, header), listed("earlier-build", time.Second)}
	r.own(ownedToken + 1)
	r.Advance(time.Second)
	Expect(r.sent).To(Equal([]string{"older", "newer", "earlier-build"}))
	Expect(senderKey(r.latest["older"])).To(Equal("k"))
	Expect(senderKey(r.latest["newer"])).To(Equal("k"))
	Expect(senderKey(r.latest["earlier-build"])).To(BeEmpty())
}

// Call-backs are those of routes with call-backs (PROTOCOL, 'On callback-url routes'): a message that is accepted on one
// keeps its own when the route is removed, and a message that a route without them accepts gets none.
func TestCallbacksFollowTheRouteThatAcceptedTheMessage(t *testing.T) {
	RegisterTestingT(t)
	r := newFixture()
	r.receive = func(string) int { return 200 }
	r.configure(orderedDocument(4, true))
	r.submit("called", ownedKey(), 500*time.Millisecond)
	r.configure(orderedDocument(5, false))
	r.Advance(600 * time.Millisecond)
	r.finish(AttemptOutcome{Kind: RunSucceeded, Stamp: "s"})
	r.submit("not-called", ownedKey(), 0)
	r.finish(AttemptOutcome{Kind: RunSucceeded, Stamp: "s"})
	r.Advance(time.Second)
	Expect(r.sent).To(Equal([]string{"called", "not-called"}))
	Expect(r.calledBack).To(Equal([]string{"called"}))
}
