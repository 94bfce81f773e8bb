package limit

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"granitewing/internal/fleet/limit/lease"
)

// The talk between members, keepers and the dealer: what was heard is taken at once, what is to be said is said in rounds.

// asksMost is how many members' asks wait for the next round.
const asksMost = 4096

// Hear takes a message that came to this process. It returns what must be answered at once, or nil.
func (p *Part) Hear(now int64, m *Message) *Message {
	if m.To.Name != p.o.Self.Name || m.To.Incarnation != 0 && m.To.Incarnation != p.o.Self.Incarnation || m.From == p.o.Self {
		p.refusals.Strange++ // for a former process of this name, or another's
		return nil
	}
	switch m.Kind {
	case SeatAsk:
		if p.seat != nil && p.seat.Ask(now, m.From) {
			yes := p.say(SeatYes, m.From, m.Number)
			yes.Clock = now
			return yes
		}
	case SeatYes:
		if p.seat != nil {
			p.seat.Yes(now, m.From, m.Number)
			if slices.Contains(p.o.Keepers, m.From.Name) {
				p.words[m.From.Name] = word{m.From, m.Clock}
			}
		}
	case SeatFree:
		if p.seat != nil {
			p.seat.Free(now, m.From, m.Dealer)
		}
	case SlotsOver:
		if slices.Contains(p.o.Keepers, m.From.Name) && m.Number <= now {
			p.left = &heirloom{m.Number, m.Table}
			if p.book != nil && p.seat.Holds(now) && p.since == p.seat.Since() && now < p.book.From() {
				p.inherit(now) // the post was here before the word of what it has given
			}
		}
	case CoverAsk, CoverPut:
		return p.keep(now, m)
	case CoverIs, CoverHas:
		p.covered(now, m)
	case Ask:
		if old := p.asks[m.From]; p.seat == nil {
			p.refusals.Strange++ // it is no keeper
		} else if old != nil && old.Number > m.Number {
			p.refusals.Late++
		} else if old == nil && len(p.asks) >= asksMost {
			p.refusals.Full++
		} else {
			p.asks[m.From] = m
		}
	case Grant:
		p.granted(now, m)
	case Elsewhere:
		if m.From.Name == p.dealer.Name && m.Dealer.Name != p.o.Self.Name && m.Dealer != p.dealer {
			p.turn(now, m.Dealer)
		}
	}
	return nil
}

func (p *Part) say(kind Kind, to lease.Owner, number int64) *Message {
	return &Message{Kind: kind, From: p.o.Self, To: to, Number: number}
}

func (p *Part) granted(now int64, m *Message) {
	if m.From.Name != p.dealer.Name {
		p.refusals.Late++ // by one that was left; what it gave stays with it until its lease is over
		return
	}
	p.dealer, p.answered, p.nothing = m.From, now, len(m.Grants) == 0 && m.Held == nil
	if m.Held != nil {
		p.holder.Granted(now, m.Number, *m.Held)
	}
	for _, g := range m.Grants {
		for _, o := range p.limits {
			if o.number == g.Limit {
				o.holder.Granted(now, m.Number, m.From, g.Grant)
			}
		}
	}
}

// choose turns to the keeper whose turn it is, where nobody has said who deals.
func (p *Part) choose(now int64) {
	if len(p.o.Keepers) > 0 {
		p.turn(now, lease.Owner{Name: p.o.Keepers[p.guess%len(p.o.Keepers)]})
		p.guess++
	}
}

func (p *Part) turn(now int64, to lease.Owner) {
	p.dealer, p.answered, p.asked, p.nothing = to, now, 0, false
}

// Round says what to tell whom now.
func (p *Part) Round(now int64) []*Message {
	var out []*Message
	if p.seat != nil {
		if p.seat.Round(now) {
			for _, k := range p.o.Keepers {
				if k != p.o.Self.Name {
					out = append(out, p.say(SeatAsk, lease.Owner{Name: k}, now))
				}
			}
		}
		out = append(out, p.deal(now)...)
	}
	if m := p.ask(now); m != nil {
		out = append(out, m)
	}
	return out
}

// deal answers the members' asks, by a word on who deals where it is not this process.
func (p *Part) deal(now int64) []*Message {
	defer clear(p.asks)
	if !p.seat.Holds(now) {
		p.dealers = nil
		other := p.seat.Promised(now)
		if other.Name == "" || other.Name == p.o.Self.Name {
			return nil
		}
		var out []*Message
		for _, from := range p.askers() {
			m := p.say(Elsewhere, from, p.asks[from].Number)
			m.Dealer = other
			out = append(out, m)
		}
		return out
	}
	if p.dealers == nil || p.since != p.seat.Since() {
		p.begin(now)
	}
	answers := map[lease.Owner]*Message{}
	askers := p.askers()
	for _, from := range askers {
		m := p.asks[from]
		answers[from] = p.say(Grant, from, m.Number)
		for _, a := range m.Asks {
			if d := p.dealers[a.Limit]; d != nil {
				d.Ask(now, from, a.Ask)
			}
		}
	}
	if len(answers) == 0 {
		return p.cover(now)
	}
	for _, o := range p.limits {
		for _, g := range p.dealers[o.number].Deal(now) {
			if m := answers[g.To]; m != nil {
				m.Grants = append(m.Grants, ItemGrant{o.number, g})
			}
		}
	}
	if p.book != nil {
		p.hold(now, answers)
	}
	var out []*Message
	for _, from := range askers {
		if from == p.o.Self {
			p.granted(now, answers[from])
		} else {
			out = append(out, answers[from])
		}
	}
	return append(out, p.cover(now)...)
}

// askers gives those that wait for an answer, in an order that a play repeats.
func (p *Part) askers() []lease.Owner {
	return slices.SortedFunc(maps.Keys(p.asks), ownerOrder)
}

func ownerOrder(a, b lease.Owner) int {
	return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// ask says what this member wants of the dealer, if it wants anything.
func (p *Part) ask(now int64) *Message {
	deals := p.seat != nil && p.seat.Holds(now)
	gap := p.o.Lease / askPart
	switch waits := p.asked > 0 && p.asked >= p.answered; {
	case deals:
	case p.dealer.Name == p.o.Self.Name || waits && now-p.answered > p.o.Lease/deafPart:
		p.choose(now)
	case waits || p.nothing:
		gap = p.o.Lease / lookPart
	}
	if p.asked > 0 && now-p.asked < gap {
		return nil
	}
	m := p.say(Ask, p.dealer, now)
	for _, o := range p.limits {
		if a, any := o.holder.Ask(now, p.dealer); any {
			m.Asks = append(m.Asks, ItemAsk{o.number, a})
		}
	}
	var any bool
	if m.Holds, m.Look, any = p.holder.Ask(now); len(m.Asks) == 0 && !any || p.dealer.Name == p.o.Self.Name && !deals {
		return nil
	}
	p.asked = now
	if deals {
		p.asks[p.o.Self] = m // answered with the others in the next round
		return nil
	}
	return m
}
