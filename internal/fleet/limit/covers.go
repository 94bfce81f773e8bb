package limit

import (
	"maps"
	"slices"

	"granitewing/internal/fleet/limit/cover"
	"granitewing/internal/fleet/limit/hold"
	"granitewing/internal/fleet/limit/lease"
	"granitewing/internal/fleet/limit/rights"
)

// Covers and the post's passing on: what keepers know of what a dealer has given, so that the next need not wait.

// Cover is what a message says of one limit's cover.
type Cover struct {
	Limit uint64 // its name's hash
	Turn  int64  // of the keeper's promise
	Known bool   // the keeper knows what may be out
	Table cover.Table
}

// deal is a limit's books while this process deals it.
type deal struct {
	*rights.Dealer
	covers *cover.Book
}

// begin opens the books of a post that has just come here, and asks the keepers what an earlier dealer may have given.
func (p *Part) begin(now int64) {
	p.since = p.seat.Since()
	p.dealers, p.book = map[uint64]*deal{}, nil
	if p.o.Room > 0 {
		p.book = hold.NewBook(now, p.o.Lease, p.o.Room)
		p.inherit(now)
	}
	for _, o := range p.limits {
		covers := cover.NewBook(now, len(p.o.Keepers))
		p.dealers[o.number] = &deal{rights.NewDealer(now, o.Limit.Limit, &p.numbers, covers), covers}
	}
	p.turn(now, p.o.Self)
}

// cover asks and tells the keepers what is due.
func (p *Part) cover(now int64) (out []*Message) {
	for _, o := range p.limits {
		d := p.dealers[o.number]
		if !d.covers.Settled() && now >= d.From() {
			d.covers.Settle() // nothing of before can be in use
		}
		ask, tell := d.covers.Round(now, p.o.Lease/lookPart, p.o.Keepers)
		for _, k := range ask {
			m := p.say(CoverAsk, lease.Owner{Name: k}, now)
			m.Cover = &Cover{Limit: o.number}
			out = append(out, m)
		}
		table, version := d.covers.Told()
		for _, k := range tell {
			to, turn := d.covers.To(k)
			m := p.say(CoverPut, to, version)
			m.Cover = &Cover{Limit: o.number, Turn: turn, Table: table}
			out = append(out, m)
		}
	}
	return p.own(now, out)
}

// own answers what is for this process itself, which is a keeper as well, and gives the rest.
func (p *Part) own(now int64, out []*Message) []*Message {
	return slices.DeleteFunc(out, func(m *Message) bool {
		if m.To.Name != p.o.Self.Name {
			return false
		}
		if answer := p.keep(now, m); answer != nil {
			p.covered(now, answer)
		}
		return true
	})
}

// keep is the keeper's side of covers: it answers the one to whom the post is promised here, and nobody else.
func (p *Part) keep(now int64, m *Message) *Message {
	if p.seat == nil || m.Cover == nil || p.seat.Promised(now) != m.From || !slices.ContainsFunc(p.limits, func(o *own) bool { return o.number == m.Cover.Limit }) {
		p.refusals.Late++
		return nil
	}
	s, turn := p.shelves[m.Cover.Limit], p.seat.Turn()
	if s == nil {
		s = &cover.Shelf{}
		p.shelves[m.Cover.Limit] = s
	}
	if m.Kind == CoverPut && s.Put(turn, m.Cover.Turn, m.Number, m.Cover.Table) {
		answer := p.say(CoverHas, m.From, m.Number)
		answer.Cover = &Cover{Limit: m.Cover.Limit, Turn: turn}
		return answer
	}
	answer := p.say(CoverIs, m.From, m.Number)
	answer.Cover = &Cover{Limit: m.Cover.Limit, Turn: turn}
	answer.Cover.Table, answer.Cover.Known = s.Look()
	return answer
}

// covered takes a keeper's answer, at the dealer.
func (p *Part) covered(now int64, m *Message) {
	if m.Cover == nil || p.seat == nil || !p.seat.Holds(now) {
		return
	}
	d := p.dealers[m.Cover.Limit]
	switch {
	case d == nil || p.since != p.seat.Since():
	case m.Kind == CoverHas:
		d.covers.Has(m.From, m.Cover.Turn, m.Number)
	default:
		if most, known := d.covers.Found(m.From, m.Number, m.Cover.Turn, m.Cover.Table, m.Cover.Known); known {
			d.Adopt(now, most)
			d.covers.Settle()
		}
	}
}

// Leave gives the dealer's post up, for the keeper whose word came last, and says so to the keepers and to those that hold
// rights, who ask that one from now on. What this process holds itself stays with it until its time is over.
func (p *Part) Leave(now int64) (out []*Message) {
	if p.seat == nil {
		return nil
	}
	held := p.seat.Holds(now)
	heir := p.seat.Heir()
	p.seat.Leave()
	if !held {
		return nil
	}
	out = p.bequeath(now, heir)
	p.seat.Free(now, p.o.Self, heir)
	for _, k := range p.o.Keepers {
		if k != p.o.Self.Name {
			m := p.say(SeatFree, lease.Owner{Name: k}, now)
			m.Dealer = heir
			out = append(out, m, m) // twice, as it is said but once and a link may lose it
		}
	}
	holders := map[lease.Owner]bool{}
	for _, d := range p.dealers {
		for _, who := range d.Holders() {
			holders[who] = true
		}
	}
	delete(holders, p.o.Self)
	if heir.Name != "" {
		for _, who := range slices.SortedFunc(maps.Keys(holders), ownerOrder) {
			m := p.say(Elsewhere, who, now)
			m.Dealer = heir
			out = append(out, m)
		}
		p.turn(now, heir)
	}
	p.dealers = nil
	return out
}
