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
type limitDealer struct {
	*rights.Dealer
	covers *cover.Book
}

// begin opens the books of a post that has just come here, and asks the keepers what an earlier dealer may have given.
func (p *Part) startDealing(now int64) {
	p.dealingSince = p.seat.Since()
	p.dealers, p.slotBook = map[uint64]*limitDealer{}, nil
	if p.options.Room > 0 {
		p.slotBook = hold.NewBook(now, p.options.Lease, p.options.Room)
		p.adoptSlots(now)
	}
	for _, o := range p.limits {
		covers := cover.NewBook(now, len(p.options.Keepers))
		p.dealers[o.hash] = &limitDealer{rights.NewDealer(now, o.Limit.Limit, &p.sessionCounter, covers), covers}
	}
	p.switchDealer(now, p.options.Self)
}

// cover asks and tells the keepers what is due.
func (p *Part) coverMessages(now int64) (out []*Message) {
	for _, o := range p.limits {
		d := p.dealers[o.hash]
		if !d.covers.Settled() && now >= d.From() {
			d.covers.Settle() // nothing of before can be in use
		}
		ask, tell := d.covers.Round(now, p.options.Lease/retryDivisor, p.options.Keepers)
		for _, k := range ask {
			m := p.newMessage(CoverAsk, lease.Owner{Name: k}, now)
			m.Cover = &Cover{Limit: o.hash}
			out = append(out, m)
		}
		table, version := d.covers.Told()
		for _, k := range tell {
			to, turn := d.covers.To(k)
			m := p.newMessage(CoverPut, to, version)
			m.Cover = &Cover{Limit: o.hash, Turn: turn, Table: table}
			out = append(out, m)
		}
	}
	return p.handleLocal(now, out)
}

// own answers what is for this process itself, which is a keeper as well, and gives the rest.
func (p *Part) handleLocal(now int64, out []*Message) []*Message {
	return slices.DeleteFunc(out, func(m *Message) bool {
		if m.To.Name != p.options.Self.Name {
			return false
		}
		if answer := p.handleCoverRequest(now, m); answer != nil {
			p.handleCoverAnswer(now, answer)
		}
		return true
	})
}

// keep is the keeper's side of covers: it answers the one to whom the post is promised here, and nobody else.
func (p *Part) handleCoverRequest(now int64, m *Message) *Message {
	if p.seat == nil || m.Cover == nil || p.seat.Promised(now) != m.From || !slices.ContainsFunc(p.limits, func(o *localLimit) bool { return o.hash == m.Cover.Limit }) {
		p.refusals.Late++
		return nil
	}
	s, turn := p.coverStores[m.Cover.Limit], p.seat.Turn()
	if s == nil {
		s = &cover.Shelf{}
		p.coverStores[m.Cover.Limit] = s
	}
	if m.Kind == CoverPut && s.Put(turn, m.Cover.Turn, m.Number, m.Cover.Table) {
		answer := p.newMessage(CoverHas, m.From, m.Number)
		answer.Cover = &Cover{Limit: m.Cover.Limit, Turn: turn}
		return answer
	}
	answer := p.newMessage(CoverIs, m.From, m.Number)
	answer.Cover = &Cover{Limit: m.Cover.Limit, Turn: turn}
	answer.Cover.Table, answer.Cover.Known = s.Look()
	return answer
}

// covered takes a keeper's answer, at the dealer.
func (p *Part) handleCoverAnswer(now int64, m *Message) {
	if m.Cover == nil || p.seat == nil || !p.seat.Holds(now) {
		return
	}
	d := p.dealers[m.Cover.Limit]
	switch {
	case d == nil || p.dealingSince != p.seat.Since():
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
	out = p.slotHandoverMessages(now, heir)
	p.seat.Free(now, p.options.Self, heir)
	for _, k := range p.options.Keepers {
		if k != p.options.Self.Name {
			m := p.newMessage(SeatFree, lease.Owner{Name: k}, now)
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
	delete(holders, p.options.Self)
	if heir.Name != "" {
		for _, who := range slices.SortedFunc(maps.Keys(holders), compareOwners) {
			m := p.newMessage(Elsewhere, who, now)
			m.Dealer = heir
			out = append(out, m)
		}
		p.switchDealer(now, heir)
	}
	p.dealers = nil
	return out
}
