package store

import (
	"slices"
	"strings"

	"granitewing/internal/system/ownership"
	"granitewing/internal/system/segment"
)

// maxTakenOver limits the units that are remembered as taken over. The oldest are dropped first.
const maxTakenOver = 4096

// carrierUnitPrefix is the prefix of the units of carriers, which have no owner with a fencing token.
var carrierUnitPrefix = ownership.CarrierUnit("")

// takeOver prepares the listing of a unit for a node that takes it over. A carrier that does not know yet that its
// session has expired may still put messages into its unit. What it has put so far is listed once it is synced, and
// no more messages are accepted for the unit, by this incarnation of the store or a later one. So every message
// that the carrier accepts is known to the node that delivers it.
func (c *Core) takeOver(unit string, list func()) {
	if !strings.HasPrefix(unit, carrierUnitPrefix) {
		list()
		return
	}
	if !c.takenOver.has(unit) {
		c.fence(unit)
	}
	if !c.takenOver.durable[unit] || slices.ContainsFunc(c.index.entriesAfter(unit, 0), func(e *entry) bool { return e.writing }) {
		c.answers = append(c.answers, list)
		return
	}
	list()
}

// fence refuses all further messages for a unit. On a full disk the fence lasts only for this incarnation of the
// store, since a listing must not wait for disk space.
func (c *Core) fence(unit string) {
	c.takenOver.add(unit)
	synced := func() { c.takenOver.markDurable(unit) }
	c.batch = append(c.batch, pendingRecord{payload: c.encode(record{Kind: recordFenced, Unit: unit}),
		onSynced: func(segment.Position) { synced() }, onDiskFull: synced})
}

// takenOverUnits is the set of the unit names that were added last, bounded by maxTakenOver.
type takenOverUnits struct {
	durable map[string]bool // by name: whether the unit's fence is synced, or was dropped on a full disk
	order   []string        // of adding
}

func (u *takenOverUnits) has(name string) bool {
	_, known := u.durable[name]
	return known
}

func (u *takenOverUnits) add(name string) {
	if u.has(name) {
		return
	}
	if u.durable == nil {
		u.durable = map[string]bool{}
	}
	u.durable[name] = false
	u.order = append(u.order, name)
	for len(u.order) > maxTakenOver {
		delete(u.durable, u.order[0])
		u.order = u.order[1:]
	}
}

func (u *takenOverUnits) markDurable(name string) {
	if u.has(name) {
		u.durable[name] = true
	}
}
