package limit

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"granitewing/internal/fleet/limit/lease"
)

// The protocol between members, keepers and the dealer. Received messages are handled at once; new requests and
// the dealer's answers are sent in rounds.

// maxPendingAsks bounds the asks that wait for the next round.
const maxPendingAsks = 4096

// Receive handles a received message. It returns the message to be sent in answer at once, or nil.
func (p *Part) Receive(now int64, m *Message) *Message {
	if m.To.Name != p.options.Self.Name || m.To.Incarnation != 0 && m.To.Incarnation != p.options.Self.Incarnation || m.From == p.options.Self {
		p.refusals.Misaddressed++ // for an earlier incarnation, or for another process
		return nil
	}
	switch m.Kind {
	case SeatAsk:
		if p.seat != nil && p.seat.Ask(now, m.From) {
			yes := p.newMessage(SeatYes, m.From, m.Number)
			yes.Clock = now
			return yes
		}
	case SeatYes:
		if p.seat != nil {
			p.seat.Promise(now, m.From, m.Number)
			if slices.Contains(p.options.Keepers, m.From.Name) {
				p.promises[m.From.Name] = promise{m.From, m.Clock}
			}
		}
	case SeatRelease:
		if p.seat != nil {
			p.seat.Release(now, m.From, m.Dealer)
		}
	case SlotHandover:
		if slices.Contains(p.options.Keepers, m.From.Name) && m.Number <= now {
			p.handover = &slotHandover{m.Number, m.Table}
			if p.slotBook != nil && p.seat.Holds(now) && p.dealingSince == p.seat.Since() && now < p.slotBook.From() {
				p.adoptSlots(now) // this process became dealer before the handover arrived
			}
		}
	case CoverAsk, CoverPut:
		return p.handleCoverRequest(now, m)
	case CoverState, CoverStored:
		p.handleCoverAnswer(now, m)
	case Ask:
		if earlier := p.pendingAsks[m.From]; p.seat == nil {
			p.refusals.Misaddressed++ // this process is not a keeper
		} else if earlier != nil && earlier.Number > m.Number {
			p.refusals.Late++
		} else if earlier == nil && len(p.pendingAsks) >= maxPendingAsks {
			p.refusals.Full++
		} else {
			p.pendingAsks[m.From] = m
		}
	case Grant:
		p.handleGrant(now, m)
	case Redirect:
		if m.From.Name == p.dealer.Name && m.Dealer.Name != p.options.Self.Name && m.Dealer != p.dealer {
			p.switchDealer(now, m.Dealer)
		}
	}
	return nil
}

func (p *Part) newMessage(kind Kind, to lease.Owner, number int64) *Message {
	return &Message{Kind: kind, From: p.options.Self, To: to, Number: number}
}

// handleGrant handles the answer of the dealer to an ask.
func (p *Part) handleGrant(now int64, m *Message) {
	if m.From.Name != p.dealer.Name {
		p.refusals.Late++ // from a former dealer, whose earlier grants stay valid until their lease ends
		return
	}
	p.dealer, p.answeredAt, p.emptyAnswer = m.From, now, len(m.Grants) == 0 && m.Held == nil
	if m.Held != nil {
		p.slotHolder.Granted(now, m.Number, *m.Held)
	}
	for _, g := range m.Grants {
		for _, o := range p.limits {
			if o.hash == g.Limit {
				o.holder.Granted(now, m.Number, m.From, g.Grant)
			}
		}
	}
}

// tryNextKeeper makes the next keeper in the list the one to ask while the dealer is unknown; Round sends the ask.
func (p *Part) tryNextKeeper(now int64) {
	if len(p.options.Keepers) > 0 {
		p.switchDealer(now, lease.Owner{Name: p.options.Keepers[p.nextKeeper%len(p.options.Keepers)]})
		p.nextKeeper++
	}
}

// switchDealer asks another process for rights from now on.
func (p *Part) switchDealer(now int64, to lease.Owner) {
	p.dealer, p.answeredAt, p.askedAt, p.emptyAnswer = to, now, 0, false
}

// Round returns the messages that are due now.
func (p *Part) Round(now int64) []*Message {
	var out []*Message
	if p.seat != nil {
		if p.seat.Round(now) {
			for _, k := range p.options.Keepers {
				if k != p.options.Self.Name {
					out = append(out, p.newMessage(SeatAsk, lease.Owner{Name: k}, now))
				}
			}
		}
		out = append(out, p.answerAsks(now)...)
	}
	if m := p.askDealer(now); m != nil {
		out = append(out, m)
	}
	return out
}

// answerAsks answers the members' asks at the dealer. A keeper that is not the dealer names the process to which
// it promised the post.
func (p *Part) answerAsks(now int64) []*Message {
	defer clear(p.pendingAsks)
	if !p.seat.Holds(now) {
		p.dealers = nil
		other := p.seat.Promised(now)
		if other.Name == "" || other.Name == p.options.Self.Name {
			return nil
		}
		var out []*Message
		for _, from := range p.sortedAskers() {
			m := p.newMessage(Redirect, from, p.pendingAsks[from].Number)
			m.Dealer = other
			out = append(out, m)
		}
		return out
	}
	if p.dealers == nil || p.dealingSince != p.seat.Since() {
		p.startDealing(now)
	}
	answers := map[lease.Owner]*Message{}
	askers := p.sortedAskers()
	for _, from := range askers {
		m := p.pendingAsks[from]
		answers[from] = p.newMessage(Grant, from, m.Number)
		for _, a := range m.Asks {
			if d := p.dealers[a.Limit]; d != nil {
				d.Ask(now, from, a.Ask)
			}
		}
	}
	if len(answers) == 0 {
		return p.coverMessages(now)
	}
	for _, o := range p.limits {
		for _, g := range p.dealers[o.hash].Deal(now) {
			if m := answers[g.To]; m != nil {
				m.Grants = append(m.Grants, ItemGrant{o.hash, g})
			}
		}
	}
	if p.slotBook != nil {
		p.answerSlotAsks(now, answers)
	}
	var out []*Message
	for _, from := range askers {
		if from == p.options.Self {
			p.handleGrant(now, answers[from])
		} else {
			out = append(out, answers[from])
		}
	}
	return append(out, p.coverMessages(now)...)
}

// sortedAskers returns the processes with pending asks in a fixed order, so that a simulated run can be repeated.
func (p *Part) sortedAskers() []lease.Owner {
	return slices.SortedFunc(maps.Keys(p.pendingAsks), compareOwners)
}

func compareOwners(a, b lease.Owner) int {
	return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// askDealer returns this member's ask to the dealer, or nil if none is due.
func (p *Part) askDealer(now int64) *Message {
	deals := p.seat != nil && p.seat.Holds(now)
	gap := p.options.Lease / askDivisor
	switch waits := p.askedAt > 0 && p.askedAt >= p.answeredAt; {
	case deals:
	case p.dealer.Name == p.options.Self.Name || waits && now-p.answeredAt > p.options.Lease/dealerTimeoutDivisor:
		p.tryNextKeeper(now)
	case waits || p.emptyAnswer:
		gap = p.options.Lease / retryDivisor
	}
	if p.askedAt > 0 && now-p.askedAt < gap {
		return nil
	}
	m := p.newMessage(Ask, p.dealer, now)
	for _, o := range p.limits {
		if a, any := o.holder.Ask(now, p.dealer); any {
			m.Asks = append(m.Asks, ItemAsk{o.hash, a})
		}
	}
	var any bool
	if m.Holds, m.Look, any = p.slotHolder.Ask(now); len(m.Asks) == 0 && !any || p.dealer.Name == p.options.Self.Name && !deals {
		return nil
	}
	p.askedAt = now
	if deals {
		p.pendingAsks[p.options.Self] = m // answered with the others in the next round
		return nil
	}
	return m
}
