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

// What was seen: a message was done, and its call-back never came. The carrier that had to make it stopped, and who took its messages over listed
// them at the stores, which held the message and its owed end and did not list it.
func TestListsACopyThatComesAfterItsEnd(t *testing.T) {
	b := newListedBench(t)
	end := message.End{ID: "m1", Phase: message.Succeeded, Stamp: "s", CallbackOwed: true}
	b.core.Ends([]message.End{end}, func() {})
	b.flush()
	b.core.TakeCopy([]wire.CopiedMessage{{Message: *newMessage("m1"), End: &end}})
	b.flush()
	Expect(b.listed()).To(Equal([]string{"m1"}))
}

// What was seen: a list in parts told the same part again and again, or passed messages over. Those whose ends were known before their bytes had
// joined their unit out of order.
func TestListsLateMessagesOnceOverManyParts(t *testing.T) {
	b := newListedBench(t)
	b.core.options.DiskBytes = 64 << 20
	for _, id := range []string{"late1", "late2"} {
		b.core.Ends([]message.End{{ID: id, Phase: message.Succeeded, Stamp: "s", CallbackOwed: true}}, func() {})
	}
	ids := []string{"m1", "m2", "m3", "late1", "m4", "m5", "m6", "late2"}
	for _, id := range ids {
		m := newMessage(id)
		m.Body = make([]byte, answerBytes/2)
		b.core.Put(m, 0, func(*wire.RefusalBody) {})
		b.flush()
	}
	Expect(b.listedInParts(len(ids))).To(Equal(ids))
}

// listedInParts lists the unit, and gives up after so many parts.
func (b *bench) listedInParts(most int) []string {
	var ids []string
	body := wire.ListBody{Unit: "u"}
	for range most {
		answer, err := b.core.List(body)
		Expect(err).NotTo(HaveOccurred())
		for i := range answer.Messages {
			ids = append(ids, answer.Messages[i].Message.ID)
		}
		if !answer.More {
			return ids
		}
		body.After = answer.Next
	}
	return append(ids, "and no end")
}

func newListedBench(t *testing.T) *bench {
	RegisterTestingT(t)
	b := &bench{path: t.TempDir()}
	b.open(true)
	return b
}

// TestListsWhatWaitsOrIsOwed guards the invariant that a message that waits, or whose end is owed to a receiver, is in the list of its unit, whatever order
// calls, copies and restarts come in.
func TestListsWhatWaitsOrIsOwed(t *testing.T) {
	RegisterTestingT(t)
	folder := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		path, err := os.MkdirTemp(folder, "drawn")
		Expect(err).NotTo(HaveOccurred())
		defer os.RemoveAll(path)
		d := &drawnStore{bench: &bench{path: path, unsynced: true}, model: map[string]*modelMessage{}}
		d.bench.open(true)
		t.Repeat(map[string]func(*rapid.T){
			"put": d.put, "end": d.end, "copy": d.copy, "callback done": d.callbackDone, "void": d.void, "restart": d.restart,
			"clean": d.clean, "pass": d.pass, "": d.compare,
		})
	})
}

// modelMessage is what a store has to know of a message.
type modelMessage struct {
	held, void, owed bool
	phase            message.Phase
}

// listed tells whether who takes the message's unit over has to hear of it.
func (m *modelMessage) listed() bool {
	return m.held && !m.void && (m.phase == message.Pending || m.owed)
}

// drawnStore is a store under drawn calls, beside a model that is a plain map.
type drawnStore struct {
	bench *bench
	model map[string]*modelMessage
}

const drawnUnits = 2

// drawnMessage draws a message; its unit hangs on its id.
func (d *drawnStore) drawnMessage(t *rapid.T) (*message.Message, *modelMessage) {
	number := rapid.IntRange(0, 7).Draw(t, "message")
	m := newMessage(fmt.Sprintf("m%d", number))
	m.Unit = drawnUnit(number)
	if d.model[m.ID] == nil {
		d.model[m.ID] = &modelMessage{phase: message.Pending}
	}
	return m, d.model[m.ID]
}

func drawnUnit(number int) string { return fmt.Sprintf("u%d", number%drawnUnits) }

func drawnEnd(t *rapid.T, id string) message.End {
	phase := rapid.SampledFrom([]message.Phase{message.Succeeded, message.DeadLetter}).Draw(t, "phase")
	return message.End{ID: id, Phase: phase, Stamp: "s", CallbackOwed: rapid.Bool().Draw(t, "owed")}
}

func (m *modelMessage) end(end message.End) {
	if m.phase == message.Pending {
		m.phase, m.owed = end.Phase, end.CallbackOwed
	}
}

func (d *drawnStore) put(t *rapid.T) {
	m, known := d.drawnMessage(t)
	taken := false
	d.bench.core.Put(m, d.bench.core.Epoch(), func(refusal *wire.RefusalBody) { taken = refusal == nil })
	d.flush()
	if taken == known.void {
		t.Fatalf("%s is void: %t, and its put is taken: %t", m.ID, known.void, taken)
	}
	known.held = known.held || taken
}

func (d *drawnStore) end(t *rapid.T) {
	m, known := d.drawnMessage(t)
	end := drawnEnd(t, m.ID)
	d.bench.core.Ends([]message.End{end}, func() {})
	d.flush()
	known.end(end)
}

func (d *drawnStore) copy(t *rapid.T) {
	m, known := d.drawnMessage(t)
	copied := wire.CopiedMessage{Message: *m}
	withBytes := rapid.Bool().Draw(t, "with its bytes")
	if !withBytes {
		copied.Message = message.Message{ID: m.ID, Unit: rapid.SampledFrom([]string{"", m.Unit}).Draw(t, "unit")}
	}
	if !withBytes || rapid.Bool().Draw(t, "ended") {
		end := drawnEnd(t, m.ID)
		copied.End = &end
	}
	d.bench.core.TakeCopy([]wire.CopiedMessage{copied})
	d.flush()
	if known.void {
		return
	}
	known.held = known.held || withBytes
	if copied.End != nil {
		known.end(*copied.End)
	}
}

func (d *drawnStore) callbackDone(t *rapid.T) {
	m, known := d.drawnMessage(t)
	d.bench.core.CallbackDone([]string{m.ID}, func() {})
	d.flush()
	known.owed = false
}

func (d *drawnStore) void(t *rapid.T) {
	m, known := d.drawnMessage(t)
	voided := false
	d.bench.core.Void(m.ID, func(refusal *wire.RefusalBody) { voided = refusal == nil })
	d.flush()
	known.void = known.void || voided
}

func (d *drawnStore) restart(*rapid.T) { d.bench.open(false) }

func (d *drawnStore) clean(*rapid.T) {
	d.bench.core.cleaned = 0 // however little there is to win
	d.bench.clean()
}

func (d *drawnStore) pass(t *rapid.T) {
	d.bench.pass(time.Duration(rapid.IntRange(0, 1000).Draw(t, "milliseconds")) * time.Millisecond)
}

func (d *drawnStore) flush() { d.bench.flush() }

func (d *drawnStore) compare(t *rapid.T) {
	var wanted, found []string
	for id, known := range d.model {
		if known.listed() {
			wanted = append(wanted, id)
		}
	}
	for number := range drawnUnits {
		answer, err := d.bench.core.List(wire.ListBody{Unit: drawnUnit(number)})
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
		t.Fatalf("listed are %v, and %v wait or are owed", found, wanted)
	}
}
