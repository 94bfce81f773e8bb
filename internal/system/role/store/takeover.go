package store

import (
	"slices"
	"strings"

	"granitewing/internal/system/ownership"
	"granitewing/internal/system/segment"
)

// maxTakenOver bounds the units that are remembered as taken over, the latest last.
const maxTakenOver = 4096

// carrierUnits begins the names of units of carriers, which have no owner by a token.
var carrierUnits = ownership.CarrierUnit("")

// takeOver prepares the listing of a unit by who takes it over. A carrier that does not know yet that its session is over may
// still put messages into its unit: what it has put is listed, once it is synced, and nothing more is taken for the unit
// afterwards, in this life of the store or a later one. So a message that its carrier accepts is known to who delivers it.
func (c *Core) takeOver(unit string, list func()) {
	if !strings.HasPrefix(unit, carrierUnits) {
		list()
		return
	}
	if !c.takenOver.has(unit) {
		c.fence(unit)
	}
	if !c.takenOver.known[unit] || slices.ContainsFunc(c.index.after(unit, 0), func(e *entry) bool { return e.putting }) {
		c.answers = append(c.answers, list)
		return
	}
	list()
}

// fence has nothing more be taken for a unit. On a full disk that holds for this life of the store alone: a list is not to wait for room.
func (c *Core) fence(unit string) {
	c.takenOver.add(unit)
	synced := func() { c.takenOver.synced(unit) }
	c.batch = append(c.batch, pendingRecord{payload: c.encode(record{Kind: recordFenced, Unit: unit}),
		synced: func(segment.Position) { synced() }, refused: synced})
}

// units is a set of the names of units that were added last.
type units struct {
	known map[string]bool // by name: whether the unit's record is synced
	order []string
}

func (u *units) has(name string) bool {
	_, known := u.known[name]
	return known
}

func (u *units) add(name string) {
	if u.has(name) {
		return
	}
	if u.known == nil {
		u.known = map[string]bool{}
	}
	u.known[name] = false
	u.order = append(u.order, name)
	for len(u.order) > maxTakenOver {
		delete(u.known, u.order[0])
		u.order = u.order[1:]
	}
}

func (u *units) synced(name string) {
	if u.has(name) {
		u.known[name] = true
	}
}
