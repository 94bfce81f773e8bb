package store

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

// Guards against a lost callback: a message had completed, and the carrier that had to make its callback stopped. The
// stores held the message and its outcome with the callback owed, but did not list it for the node that took over.
func TestListsCopyThatArrivesAfterItsOutcome(t *testing.T) {
	f := newFixture(t)
	end := message.Outcome{ID: "m1", Phase: message.Succeeded, Stamp: "s", CallbackOwed: true}
	f.core.PutOutcomes([]message.Outcome{end}, func() {})
	f.flush()
	f.core.AddCopies([]wire.CopiedMessage{{Message: *newMessage("m1"), Outcome: &end}})
	f.flush()
	Expect(f.listed()).To(Equal([]string{"m1"}))
}

// Guards against a list in several parts that repeats a part forever or skips messages. Messages whose outcomes arrived
// before their bytes had joined their unit out of order.
func TestListsMessagesWithEarlyOutcomesOnceAcrossParts(t *testing.T) {
	f := newFixture(t)
	f.core.options.DiskBytes = 64 << 20
	for _, id := range []string{"early1", "early2"} {
		f.core.PutOutcomes([]message.Outcome{{ID: id, Phase: message.Succeeded, Stamp: "s", CallbackOwed: true}}, func() {})
	}
	ids := []string{"m1", "m2", "m3", "early1", "m4", "m5", "m6", "early2"}
	for _, id := range ids {
		m := newMessage(id)
		m.Body = make([]byte, maxAnswerBytes/2)
		f.core.Put(m, 0, func(*wire.RefusalBody) {})
		f.flush()
	}
	Expect(f.listedInParts(len(ids))).To(Equal(ids))
}

// listedInParts lists the unit in at most maxParts parts. It appends a marker if the list does not end within them.
func (f *fixture) listedInParts(maxParts int) []string {
	var ids []string
	body := wire.ListBody{Unit: "u"}
	for range maxParts {
		answer, err := f.core.List(body)
		Expect(err).NotTo(HaveOccurred())
		for i := range answer.Messages {
			ids = append(ids, answer.Messages[i].Message.ID)
		}
		if !answer.More {
			return ids
		}
		body.After = answer.Next
	}
	return append(ids, "unfinished")
}

func newFixture(t *testing.T) *fixture {
	RegisterTestingT(t)
	f := &fixture{path: t.TempDir()}
	f.open(true)
	return f
}

// TestListsPendingMessagesAndOwedCallbacks checks the invariant that a message that is pending, or whose callback is
// owed, is in the list of its unit, in whatever order calls, copies and restarts come.
func TestListsPendingMessagesAndOwedCallbacks(t *testing.T) {
	RegisterTestingT(t)
	folder := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		path, err := os.MkdirTemp(folder, "random")
		Expect(err).NotTo(HaveOccurred())
		defer os.RemoveAll(path)
		s := &randomStore{fixture: &fixture{path: path, skipSync: true}, model: map[string]*modelMessage{}}
		s.fixture.open(true)
		t.Repeat(map[string]func(*rapid.T){
			"put": s.put, "outcome": s.putOutcome, "copy": s.copy, "callback done": s.callbackDone, "void": s.void, "restart": s.restart,
			"clean": s.clean, "advance": s.advance, "": s.compare,
		})
	})
}

// modelMessage is the model of what a store knows of a message.
type modelMessage struct {
	held, void, owed bool
	phase            message.Phase
}

// listed reports whether a list of the message's unit must include it.
func (m *modelMessage) listed() bool {
	return m.held && !m.void && (m.phase == message.Pending || m.owed)
}

// randomStore is a store under random calls, with a plain map as its model.
type randomStore struct {
	fixture *fixture
	model   map[string]*modelMessage
}

const randomUnits = 2

// drawMessage draws a message; its id determines its unit.
func (s *randomStore) drawMessage(t *rapid.T) (*message.Message, *modelMessage) {
	number := rapid.IntRange(0, 7).Draw(t, "message")
	m := newMessage(fmt.Sprintf("m%d", number))
	m.Unit = unitOf(number)
	if s.model[m.ID] == nil {
		s.model[m.ID] = &modelMessage{phase: message.Pending}
	}
	return m, s.model[m.ID]
}

func unitOf(number int) string { return fmt.Sprintf("u%d", number%randomUnits) }

func drawOutcome(t *rapid.T, id string) message.Outcome {
	phase := rapid.SampledFrom([]message.Phase{message.Succeeded, message.DeadLetter}).Draw(t, "phase")
	return message.Outcome{ID: id, Phase: phase, Stamp: "s", CallbackOwed: rapid.Bool().Draw(t, "owed")}
}

func (m *modelMessage) complete(end message.Outcome) {
	if m.phase == message.Pending {
		m.phase, m.owed = end.Phase, end.CallbackOwed
	}
}

func (s *randomStore) put(t *rapid.T) {
	m, known := s.drawMessage(t)
	accepted := false
	s.fixture.core.Put(m, s.fixture.core.RosterEpoch(), func(refusal *wire.RefusalBody) { accepted = refusal == nil })
	s.flush()
	if accepted == known.void {
		t.Fatalf("%s is void: %t, and its put was accepted: %t", m.ID, known.void, accepted)
	}
	known.held = known.held || accepted
}

func (s *randomStore) putOutcome(t *rapid.T) {
	m, known := s.drawMessage(t)
	end := drawOutcome(t, m.ID)
	s.fixture.core.PutOutcomes([]message.Outcome{end}, func() {})
	s.flush()
	known.complete(end)
}

func (s *randomStore) copy(t *rapid.T) {
	m, known := s.drawMessage(t)
	copied := wire.CopiedMessage{Message: *m}
	withBytes := rapid.Bool().Draw(t, "with its bytes")
	if !withBytes {
		copied.Message = message.Message{ID: m.ID, Unit: rapid.SampledFrom([]string{"", m.Unit}).Draw(t, "unit")}
	}
	if !withBytes || rapid.Bool().Draw(t, "with its outcome") {
		end := drawOutcome(t, m.ID)
		copied.Outcome = &end
	}
	s.fixture.core.AddCopies([]wire.CopiedMessage{copied})
	s.flush()
	if known.void {
		return
	}
	known.held = known.held || withBytes
	if copied.Outcome != nil {
		known.complete(*copied.Outcome)
	}
}

func (s *randomStore) callbackDone(t *rapid.T) {
	m, known := s.drawMessage(t)
	s.fixture.core.CallbackDone([]string{m.ID}, func() {})
	s.flush()
	known.owed = false
}

func (s *randomStore) void(t *rapid.T) {
	m, known := s.drawMessage(t)
	voided := false
	s.fixture.core.Cancel(m.ID, func(refusal *wire.RefusalBody) { voided = refusal == nil })
	s.flush()
	known.void = known.void || voided
}

func (s *randomStore) restart(*rapid.T) { s.fixture.open(false) }

func (s *randomStore) clean(*rapid.T) {
	s.fixture.core.bytesAfterCleaning = 0 // clean however little the log has grown
	s.fixture.clean()
}

func (s *randomStore) advance(t *rapid.T) {
	s.fixture.advance(time.Duration(rapid.IntRange(0, 1000).Draw(t, "milliseconds")) * time.Millisecond)
}

func (s *randomStore) flush() { s.fixture.flush() }

func (s *randomStore) compare(t *rapid.T) {
	var wanted, found []string
	for id, known := range s.model {
		if known.listed() {
			wanted = append(wanted, id)
		}
	}
	for number := range randomUnits {
		answer, err := s.fixture.core.List(wire.ListBody{Unit: unitOf(number)})
		if err != nil {
			t.Fatal(err)
		}
		for i := range answer.Messages {
			found = append(found, answer.Messages[i].Message.ID)
		}
	}
	slices.Sort(wanted)
	slices.Sort(found)
	if !slices.Equal(wanted, found) {
		t.Fatalf("listed messages are %v, want %v, which are pending or have an owed callback", found, wanted)
	}
}
