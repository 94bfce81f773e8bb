package carrier

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
)

// Guards against messages that are accepted and then expire as dead letters: a message without a key on an ordered route is
// not in order, so no owner of a key checks its service's backlog, and the carrier that accepts it has to.
func TestBacklogIsCheckedForMessagesWithoutAKeyOnAnOrderedRoute(t *testing.T) {
	RegisterTestingT(t)
	const orderedOnly = `{"resource-version":4,"routes":[{"name":"o","host":"h","path-prefix":"/","kind":"async","timeout-ms":500,` +
		`"target-latency-ms":100,"priority":1,"backend":"s","retries":3,"ordered":true,"retention-s":60,"target-start-ms":900}],` +
		`"services":[{"name":"s","max-connections":9,"rate-per-s":0,"static":null}],"limits":{}}`
	r := newFixture()
	r.configure([]byte(orderedOnly))
	submit := func(id, key string) (answer Answer) {
		m := message.Message{ID: id, Host: "h", Method: "POST", Target: "/x", Key: key}
		r.core.Submit(&Submission{Message: m, Path: "/x"}, func(given Answer) { answer = given })
		r.Advance(20 * time.Millisecond)
		return answer
	}
	Expect(submit("before", "").Verdict).To(Equal(Accepted))
	// One message a second completes and 1,000 wait, which takes longer than a quarter of the retention.
	r.core.queue("s").backlog = backlog{due: 1000, rate: 1, measuredAt: r.core.env.Now()}
	Expect(submit("without-key", "").Verdict).To(Equal(Refused))
	Expect(submit("with-key", ownedKey()).Verdict).To(Equal(Refused), "the owner of the key checks it")
}
