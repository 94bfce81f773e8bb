package store

import (
	"fmt"
	"strings"
	"time"

	"granitewing/internal/system/member"
	"granitewing/internal/system/ordered"
)

// Times and limits of looking for orphaned units.
const (
	orphanCheckInterval = 5 * time.Second
	maxCheckedUnits     = 4096 // in one check
)

// OrphanedUnitsError reports carriers' units with messages that have been pending for long although no carrier is
// responsible for them: the carrier has left, and its messages count as completed.
type OrphanedUnitsError struct{ Units []string }

func (e *OrphanedUnitsError) Error() string { return strings.Join(e.Units, ", ") }

// OrphanReporter logs units whose messages nobody is responsible for.
type OrphanReporter struct {
	env     RepairEnvironment
	session *member.Client
	pending func(done func(units []string)) // requests the result of Core.LongPendingCarrierUnits
	// suspected holds the units that were orphaned at the latest check, and whether that was logged. The view may have
	// lagged, so a unit is logged only at its second check.
	suspected map[string]bool
}

// NewOrphanReporter returns a reporter, which does nothing until Start. pending requests the units with messages that
// have been pending for long from the core.
func NewOrphanReporter(env RepairEnvironment, session *member.Client, pending func(done func(units []string))) *OrphanReporter {
	return &OrphanReporter{env: env, session: session, pending: pending}
}

// Start begins to check every orphanCheckInterval.
func (o *OrphanReporter) Start() {
	o.env.After(orphanCheckInterval, o.Start)
	if o.session.SessionOpen() {
		o.pending(func(units []string) { o.report(orphanedUnits(units, o.session.View())) })
	}
}

func (o *OrphanReporter) report(orphaned []string) {
	var confirmed []string
	suspected := map[string]bool{}
	for _, unit := range orphaned {
		logged, known := o.suspected[unit]
		if known && !logged {
			confirmed = append(confirmed, unit)
		}
		suspected[unit] = known
	}
	o.suspected = suspected
	if len(confirmed) > 0 {
		o.env.LogWarning(fmt.Sprintf("%d units hold pending messages that no carrier is responsible for", len(confirmed)), &OrphanedUnitsError{Units: confirmed})
	}
}

// orphanedUnits returns the carriers' units whose carrier is neither a member nor departed.
func orphanedUnits(units []string, view *member.View) []string {
	var orphaned []string
	for _, unit := range units {
		incarnation, ofCarrier := strings.CutPrefix(unit, carrierUnitPrefix)
		_, live := view.Members[incarnation]
		_, departed := view.Departed[incarnation]
		if ofCarrier && !live && !departed {
			orphaned = append(orphaned, unit)
		}
	}
	return orphaned
}

// LongPendingCarrierUnits returns at most maxCheckedUnits units of carriers with a message that has been pending for
// long.
func (c *Core) LongPendingCarrierUnits() []string {
	var units []string
	for name, unit := range ordered.Map(c.index.units) {
		if len(units) >= maxCheckedUnits {
			break
		}
		if strings.HasPrefix(name, carrierUnitPrefix) && c.anyLongPending(unit) {
			units = append(units, name)
		}
	}
	return units
}

func (c *Core) anyLongPending(unit *unitIndex) bool {
	for _, e := range unit.entries {
		if c.longPending(e) {
			return true
		}
	}
	return false
}
