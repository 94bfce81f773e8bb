package limit

import (
	"maps"
	"slices"

	"granitewing/internal/fleet/limit/cover"
	"granitewing/internal/fleet/limit/hold"
	"granitewing/internal/fleet/limit/lease"
	"granitewing/internal/fleet/limit/rights"
)

// Covers and the transfer of the dealer's post. Keepers store what a dealer may have granted, so that its
// successor can start without waiting for those grants to expire.

// Cover is the part of a message that concerns the cover of one limit.
type Cover struct {
	Limit uint64 // limitHash of the limit's name
	Turn  int64  // the keeper's turn: it changes with each new promise of the post
	Known bool   // the keeper knows what may be outstanding
	Table cover.Table
}

// limitDealer is the dealer of one limit with its book of covers.
type limitDealer struct {
	*rights.Dealer
	covers *cover.Book
}

// startDealing opens new books when this process has just become the dealer. Each limit's covers are then
// requested from the keepers, to learn what an earlier dealer may have granted.
func (p *Part) startDealing(now int64) {
	p.dealingSince = p.seat.Since()
	p.dealers, p.slotBook = map[uint64]*limitDealer{}, nil
	if p.options.SlotsPerHost > 0 {
		p.slotBook = hold.NewBook(now, p.options.Lease, p.options.SlotsPerHost)
		p.adoptSlots(now)
	}
	for _, o := range p.limits {
		covers := cover.NewBook(now, len(p.options.Keepers))
		p.dealers[o.hash] = &limitDealer{rights.NewDealer(now, o.Limit.Limit, &p.sessionCounter, covers), covers}
	}
	p.switchDealer(now, p.options.Self)
}

// coverMessages returns the requests and tables of covers that are due to the keepers.
func (p *Part) coverMessages(now int64) (out []*Message) {
	for _, o := range p.limits {
		d := p.dealers[o.hash]
		if !d.covers.Settled() && now >= d.From() {
			d.covers.Settle() // all earlier grants have expired
		}
		ask, tell := d.covers.Round(now, p.options.Lease/retryDivisor, p.options.Keepers)
		for _, k := range ask {
			m := p.newMessage(CoverAsk, lease.Owner{Name: k}, now)
			m.Cover = &Cover{Limit: o.hash}
			out = append(out, m)
		}
		table, version := d.covers.Table()
		for _, k := range tell {
			to, turn := d.covers.Keeper(k)
			m := p.newMessage(CoverPut, to, version)
			m.Cover = &Cover{Limit: o.hash, Turn: turn, Table: table}
			out = append(out, m)
		}
	}
	return p.handleLocal(now, out)
}

// handleLocal handles the messages that are addressed to this process itself, since the dealer is also a keeper,
// and returns the others.
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

// handleCoverRequest is the keeper's side of covers. It answers only the process to which the post is promised
// here.
func (p *Part) handleCoverRequest(now int64, m *Message) *Message {
	if p.seat == nil || m.Cover == nil || p.seat.Promised(now) != m.From || !slices.ContainsFunc(p.limits, func(o *localLimit) bool { return o.hash == m.Cover.Limit }) {
		p.refusals.Late++
		return nil
	}
	s, turn := p.coverStores[m.Cover.Limit], p.seat.Turn()
	if s == nil {
		s = &cover.Replica{}
		p.coverStores[m.Cover.Limit] = s
	}
	if m.Kind == CoverPut && s.Put(turn, m.Cover.Turn, m.Number, m.Cover.Table) {
		answer := p.newMessage(CoverStored, m.From, m.Number)
		answer.Cover = &Cover{Limit: m.Cover.Limit, Turn: turn}
		return answer
	}
	answer := p.newMessage(CoverState, m.From, m.Number)
	answer.Cover = &Cover{Limit: m.Cover.Limit, Turn: turn}
	answer.Cover.Table, answer.Cover.Known = s.Look()
	return answer
}

// handleCoverAnswer handles a keeper's answer at the dealer.
func (p *Part) handleCoverAnswer(now int64, m *Message) {
	if m.Cover == nil || p.seat == nil || !p.seat.Holds(now) {
		return
	}
	d := p.dealers[m.Cover.Limit]
	switch {
	case d == nil || p.dealingSince != p.seat.Since():
	case m.Kind == CoverStored:
		d.covers.Confirmed(m.From, m.Cover.Turn, m.Number)
	default:
		if table, known := d.covers.Found(m.From, m.Number, m.Cover.Turn, m.Cover.Table, m.Cover.Known); known {
			d.Adopt(now, table)
			d.covers.Settle()
		}
	}
}

// Leave gives up the dealer's post in favour of the keeper whose promise came last. It returns messages for the
// keepers and for all holders of rights, which then ask that successor. Rights that this process holds itself stay
// valid until they expire.
func (p *Part) Leave(now int64) (out []*Message) {
	if p.seat == nil {
		return nil
	}
	held := p.seat.Holds(now)
	successor := p.seat.Successor()
	p.seat.Leave()
	if !held {
		return nil
	}
	out = p.slotHandoverMessages(now, successor)
	p.seat.Release(now, p.options.Self, successor)
	for _, k := range p.options.Keepers {
		if k != p.options.Self.Name {
			m := p.newMessage(SeatRelease, lease.Owner{Name: k}, now)
			m.Dealer = successor
			out = append(out, m, m) // sent twice: the message is not repeated later and a link may lose it
		}
	}
	holders := map[lease.Owner]bool{}
	for _, d := range p.dealers {
		for _, who := range d.Holders() {
			holders[who] = true
		}
	}
	delete(holders, p.options.Self)
	if successor.Name != "" {
		for _, who := range slices.SortedFunc(maps.Keys(holders), compareOwners) {
			m := p.newMessage(Redirect, who, now)
			m.Dealer = successor
			out = append(out, m)
		}
		p.switchDealer(now, successor)
	}
	p.dealers = nil
	return out
}
