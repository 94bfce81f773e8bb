package store

import (
	"testing"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

// refusals keeps what a call was answered with.
type refusals struct{ taken, refused int }

func (r *refusals) Answer(any)              { r.taken++ }
func (r *refusals) Refuse(wire.RefusalBody) { r.refused++ }

// A store whose disk is about to leave the roster takes no end: it would go with the disk, and its teller would take it for kept.
func TestSealedStoreTakesNoEnds(t *testing.T) {
	core := New(Options{}, nil, 0)
	core.Start(true, "own")
	ends := wire.Encode(&wire.EndsBody{Ends: []message.End{{ID: "m", Phase: message.Succeeded}}})
	done := wire.Encode(&wire.CallbackDoneBody{IDs: []string{"m"}})
	tell := func(kind wire.Kind, payload []byte) *refusals {
		answered := &refusals{}
		if err := core.Handle(kind, payload, answered); err != nil {
			t.Fatal(err)
		}
		return answered
	}
	core.Seal(true)
	if got := tell(wire.PutEnds, ends); got.refused != 1 {
		t.Errorf("an end at a sealed store: %+v, want one refusal", got)
	}
	if got := tell(wire.CallbackDone, done); got.refused != 1 {
		t.Errorf("a call-back at a sealed store: %+v, want one refusal", got)
	}
	if held := core.Held(wire.HeldBody{}); len(held.IDs) != 0 {
		t.Errorf("a sealed store holds %v", held.IDs)
	}
	core.Seal(false)
	if got := tell(wire.PutEnds, ends); got.refused != 0 {
		t.Errorf("an end at a store that takes ends again: %+v", got)
	}
	if held := core.Held(wire.HeldBody{}); len(held.IDs) != 1 {
		t.Errorf("a store that takes ends again holds %v", held.IDs)
	}
}
