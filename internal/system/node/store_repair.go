package node

import (
	"granitewing/internal/system/role/store"
	"granitewing/internal/system/wire"
)

// filledPart is a part of another store's messages, on its way to the goroutine that owns the core.
type filledPart struct {
	messages []wire.CopiedMessage
	last     bool
}

// Fill implements store.RepairEnvironment. Calls come under the mutex, and never more than the channel holds: the filler
// asks each source for one part at a time, and for none while parts wait.
func (n *storeNode) Fill(messages []wire.CopiedMessage, last bool) {
	n.waitingParts.Add(1)
	go func() { n.parts <- filledPart{messages: messages, last: last} }()
}

// askCore has the goroutine that owns the core ask it something; what ask gives is done under the mutex.
func (n *storeNode) askCore(ask func(core *store.Core) (done func())) {
	go func() {
		n.work <- func() {
			done := ask(n.core)
			go n.do(done)
		}
	}()
}

func (n *storeNode) longPending(done func(ids []string)) {
	n.askCore(func(core *store.Core) func() {
		ids := core.LongPending()
		return func() { done(ids) }
	})
}

// Held implements store.RepairEnvironment.
func (n *storeNode) Held(body wire.HeldBody, done func(wire.HeldAnswer)) {
	n.askCore(func(core *store.Core) func() {
		answer := core.Held(body)
		return func() { done(answer) }
	})
}

// Copies implements store.RepairEnvironment.
func (n *storeNode) Copies(ids []string, done func(wire.CopiesBody, error)) {
	n.askCore(func(core *store.Core) func() {
		copies, err := core.Copies(ids)
		return func() { done(copies, err) }
	})
}

// Seal implements store.RepairEnvironment.
func (n *storeNode) Seal(sealed bool, done func()) {
	n.askCore(func(core *store.Core) func() {
		core.Seal(sealed)
		return done
	})
}

// Complete implements store.RepairEnvironment.
func (n *storeNode) Complete() bool { return n.complete.Load() }

// Filling implements store.RepairEnvironment.
func (n *storeNode) Filling() bool { return n.waitingParts.Load() > 0 }

// Report implements store.RepairEnvironment.
func (n *storeNode) Report(event string, err error) { report(event, err) }
