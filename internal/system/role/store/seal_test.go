package store

import (
	"testing"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

// replyCounter counts the answers and refusals of a call.
type replyCounter struct{ accepted, refused int }

func (c *replyCounter) Answer(any)              { c.accepted++ }
func (c *replyCounter) Refuse(wire.RefusalBody) { c.refused++ }

// Checks that a store whose disk is about to leave the roster refuses outcomes: an accepted outcome would be lost with
// the disk, while its sender would consider it stored.
func TestSealedStoreRefusesOutcomes(t *testing.T) {
	core := New(Options{}, nil, 0)
	core.Start(true, "own")
	ends := wire.Encode(&wire.OutcomesBody{Outcomes: []message.Outcome{{ID: "m", Phase: message.Succeeded}}})
	done := wire.Encode(&wire.CallbackDoneBody{IDs: []string{"m"}})
	send := func(kind wire.Kind, payload []byte) *replyCounter {
		answered := &replyCounter{}
		if err := core.Handle(kind, payload, answered); err != nil {
			t.Fatal(err)
		}
		return answered
	}
	core.RefuseOutcomes(true)
	if got := send(wire.PutOutcomes, ends); got.refused != 1 {
		t.Errorf("an outcome at a sealed store: %+v, want one refusal", got)
	}
	if got := send(wire.CallbackDone, done); got.refused != 1 {
		t.Errorf("a completed callback at a sealed store: %+v, want one refusal", got)
	}
	if held := core.ListHeld(wire.HeldBody{}); len(held.IDs) != 0 {
		t.Errorf("a sealed store holds %v, want nothing", held.IDs)
	}
	core.RefuseOutcomes(false)
	if got := send(wire.PutOutcomes, ends); got.refused != 0 {
		t.Errorf("an outcome at an unsealed store: %+v, want no refusal", got)
	}
	if held := core.ListHeld(wire.HeldBody{}); len(held.IDs) != 1 {
		t.Errorf("an unsealed store holds %v, want one message", held.IDs)
	}
}
