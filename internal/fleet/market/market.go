// Package market has a dispatcher let jobs in by the price that its fleet finds (slack): it carries what is asked for between
// the decisions, the ledger that brings the loads of the others, and the price. It does no I/O and reads no clock.
package market

import (
	"granitewing/internal/fleet/ledger"
	"granitewing/internal/fleet/slack"
	"granitewing/internal/memory"
)

// Market is one dispatcher's. It must not be used by two goroutines at once.
type Market struct {
	gauge slack.Gauge
	price slack.Price
	state State
	asked int // messages that came while there was a price
}

// State is what a market tells of itself, of the whole fleet as far as it is heard.
type State struct {
	Price    float64 // of a slot-second, in the worth that the settings give to classes
	Asked    float64 // slot-work a second that is asked for
	Waits    float64 // slot-work that waits at hosts
	Capacity float64 // slot-work a second that the ready hosts can do
	Heard    int     // dispatchers whose load is in it, this one among them
}

// State tells how things were when it sat last.
func (m *Market) State() State { return m.state }

// New makes one, and has the core ask it for the price of each message.
func New(core *memory.Core) *Market {
	m := &Market{}
	core.Price(m)
	return m
}

// freeEvery is how many messages come to a dispatcher while there is a price for one that is judged without: so nothing that
// could be served in time is shut out for ever, whatever it is worth.
const freeEvery = 100

// Price implements memory.Prices.
func (m *Market) Price() float64 {
	p := m.price.Now()
	if p > 0 {
		if m.asked++; m.asked%freeEvery == 0 {
			return 0
		}
	}
	return p
}

// Asked implements memory.Prices.
func (m *Market) Asked(now int64, worth, work, slack float64) { m.gauge.Asked(now, worth, work, slack) }

// Sit sets the price by what is heard, and puts this dispatcher's own load into its report. members is how many dispatchers
// there are, this one among them.
func (m *Market) Sit(now int64, l *ledger.Ledger, core *memory.Core, members int, own *ledger.Report) {
	waits, capacity := core.Waits()
	own.Load = m.gauge.Load(now, waits)
	sum, heard := l.Load(now)
	sum.Add(own.Load, 1)
	m.state = State{m.price.Set(now, &sum, heard+1, members, capacity), sum.Asked(), sum.Waits(), capacity, heard + 1}
}
