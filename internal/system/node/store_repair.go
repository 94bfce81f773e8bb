package node

import (
	"granitewing/internal/system/role/store"
	"granitewing/internal/system/wire"
)

// backfillPart is a batch of copies of another store's messages, from the Backfiller or the Drainer, for the goroutine
// that owns the core.
type backfillPart struct {
	messages []wire.CopiedMessage
	last     bool
}

// AddCopies implements store.RepairEnvironment. It is called under the mutex by the Backfiller and the Drainer. The
// number of waiting goroutines that the Backfiller causes is bounded, because it requests one part at a time from each
// source, and none while parts are pending.
func (n *storeNode) AddCopies(messages []wire.CopiedMessage, last bool) {
	n.pendingParts.Add(1)
	go func() { n.backfillParts <- backfillPart{messages: messages, last: last} }()
}

// queryCore runs query on the goroutine that owns the core, and the function that query returns under the mutex.
func (n *storeNode) queryCore(query func(core *store.Core) (done func())) {
	go func() {
		n.coreTasks <- func() {
			done := query(n.core)
			go n.withLock(done)
		}
	}()
}

// longPending passes the ids of messages that have been pending for long to done.
func (n *storeNode) longPending(done func(ids []string)) {
	n.queryCore(func(core *store.Core) func() {
		ids := core.LongPending()
		return func() { done(ids) }
	})
}

// longPendingUnits passes the units of carriers with messages that have been pending for long to done.
func (n *storeNode) longPendingUnits(done func(units []string)) {
	n.queryCore(func(core *store.Core) func() {
		units := core.LongPendingCarrierUnits()
		return func() { done(units) }
	})
}

// ListHeld implements store.RepairEnvironment.
func (n *storeNode) ListHeld(body wire.HeldBody, done func(wire.HeldAnswer)) {
	n.queryCore(func(core *store.Core) func() {
		answer := core.ListHeld(body)
		return func() { done(answer) }
	})
}

// Copies implements store.RepairEnvironment.
func (n *storeNode) Copies(ids []string, done func(wire.CopiesBody, error)) {
	n.queryCore(func(core *store.Core) func() {
		copies, err := core.Copies(ids)
		return func() { done(copies, err) }
	})
}

// RefuseOutcomes implements store.RepairEnvironment.
func (n *storeNode) RefuseOutcomes(sealed bool, done func()) {
	n.queryCore(func(core *store.Core) func() {
		core.RefuseOutcomes(sealed)
		return done
	})
}

// Complete implements store.RepairEnvironment.
func (n *storeNode) Complete() bool { return n.complete.Load() }

// CopiesPending implements store.RepairEnvironment.
func (n *storeNode) CopiesPending() bool { return n.pendingParts.Load() > 0 }

// LogWarning implements store.RepairEnvironment.
func (n *storeNode) LogWarning(event string, err error) { report(event, err) }
