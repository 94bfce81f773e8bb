package store

import (
	"slices"
	"strings"

	"granitewing/internal/system/ownership"
)

// maxTakenOver bounds the units that are remembered as taken over, the latest last.
const maxTakenOver = 4096

// carrierUnits begins the names of units of carriers, which have no owner by a token.
var carrierUnits = ownership.CarrierUnit("")

// takeOver prepares the listing of a unit by who takes it over. A carrier that does not know yet that its session is over may
// still put messages into its unit: what it has put is listed, once it is synced, and nothing more is taken for the unit
// afterwards. So a message that its carrier accepts is known to who delivers it.
func (c *Core) takeOver(unit string, list func()) {
	if !strings.HasPrefix(unit, carrierUnits) {
		list()
		return
	}
	c.takenOver.add(unit)
	if slices.ContainsFunc(c.index.after(unit, 0), func(e *entry) bool { return e.putting }) {
		c.answers = append(c.answers, list)
		return
	}
	list()
}

// units is a set of the names of units that were added last.
type units struct {
	known map[string]bool
	order []string
}

func (u *units) add(name string) {
	if u.known[name] {
		return
	}
	if u.known == nil {
		u.known = map[string]bool{}
	}
	u.known[name] = true
	u.order = append(u.order, name)
	for len(u.order) > maxTakenOver {
		delete(u.known, u.order[0])
		u.order = u.order[1:]
	}
}
