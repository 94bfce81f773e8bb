// Package admission connects the admission of jobs at one dispatcher to the price of the whole fleet. It measures the
// demand that the dispatcher's core receives, adds the loads that the ledger brings from the other members, and offers
// the core the price that package slack computes from both.
//
// The dispatcher makes one Admission and calls Round in every round of reports. The package does no I/O and reads no
// clock.
package admission

import (
	"granitewing/internal/dispatch"
	"granitewing/internal/fleet/ledger"
	"granitewing/internal/fleet/slack"
)

// Admission holds the demand and the price of one dispatcher. It must not be used by two goroutines at once.
type Admission struct {
	gauge   slack.Gauge
	price   slack.Price
	state   State
	queries int // queries for the price, counted while the price was above 0
}

// State is a snapshot of an Admission, for metrics. It covers the members of the fleet with a valid report.
type State struct {
	Price    float64 // of a slot-second, in the unit of the value that the settings give to classes
	Asked    float64 // demand in slot-seconds a second
	Waits    float64 // work waiting at hosts, in slot-seconds
	Capacity float64 // of the ready hosts, in slot-seconds a second
	Heard    int     // dispatchers whose load is included, this one among them
}

// State returns the state after the last round.
func (m *Admission) State() State { return m.state }

// New returns an Admission without a price, and makes the core ask it for the price of each message.
func New(core *dispatch.Core) *Admission {
	m := &Admission{}
	core.Price(m)
	return m
}

// freeInterval is the number of messages, while there is a price, of which one is admitted without regard to the price.
// So no message that could be served in time is refused forever, however low its value.
const freeInterval = 100

// Price implements dispatch.Prices: it returns the price for the next message, which is 0 for one in freeInterval.
func (m *Admission) Price() float64 {
	p := m.price.Now()
	if p > 0 {
		if m.queries++; m.queries%freeInterval == 0 {
			return 0
		}
	}
	return p
}

// Asked implements dispatch.Prices: it records the value, slot-work and slack in seconds of a message that arrived.
func (m *Admission) Asked(now int64, value, work, slack float64) {
	m.gauge.Asked(now, value, work, slack)
}

// Round runs one round: it puts this dispatcher's own load into its report and updates the price from that and the
// valid loads of other members. members is the number of dispatchers in the fleet, this one included.
func (m *Admission) Round(now int64, l *ledger.Ledger, core *dispatch.Core, members int, own *ledger.Report) {
	waiting, capacity := core.PendingWork()
	own.Load = m.gauge.Load(now, waiting)
	sum, heard := l.Load(now)
	sum.Add(own.Load, 1)
	m.state = State{m.price.Set(now, &sum, heard+1, members, capacity), sum.Asked(), sum.Waits(), capacity, heard + 1}
}
