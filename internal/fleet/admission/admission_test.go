package admission

import (
	"testing"

	"granitewing/internal/dispatch"
	"granitewing/internal/fleet/slack"
	"granitewing/logic"
)

// While there is a price, one message in a hundred is admitted without regard to it. While there is none, messages are
// not counted for this.
func TestFreeMessages(t *testing.T) {
	core, err := dispatch.New(logic.Config{Classes: []logic.Class{{Name: "a", Deadline: 1_000_000, WorkerKind: -1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	m := New(core)
	for range 250 {
		if m.Price() != 0 {
			t.Fatal("a price without any report of another member")
		}
	}
	for range 100 {
		m.Asked(1, 2, 1, 1)
	}
	var l slack.Load
	l.Add(m.gauge.Load(1, 0), 2)
	m.price.Set(5_000_000, &l, 2, 2, 10)
	free := 0
	for range 1000 {
		if m.Price() == 0 {
			free++
		}
	}
	if free != 1000/freeInterval {
		t.Errorf("%d of 1,000 messages without a price", free)
	}
}
