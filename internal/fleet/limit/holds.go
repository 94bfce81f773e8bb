package limit

import (
	"encoding/binary"
	"math"

	"granitewing/internal/fleet/limit/hold"
	"granitewing/internal/fleet/limit/lease"
)

// Slots of hosts that are held together for gangs: the dealer's book, the member's side, and the message encoding.

// Holder returns this member's side of slots that are held together.
func (p *Part) Holder() *hold.Holder { return p.slotHolder }

// Lease returns how long a right is granted, in microseconds.
func (p *Part) Lease() int64 { return p.options.Lease }

// SlotBook returns how many sets and slots the dealer's book has granted and whether it grants now. All are zero
// unless this process is the dealer.
func (p *Part) SlotBook(now int64) (sets, slots int, deals bool) {
	if p.slotBook == nil || p.seat == nil || !p.seat.Holds(now) || p.dealingSince != p.seat.Since() {
		return 0, 0, false
	}
	sets, slots = p.slotBook.Out()
	return sets, slots, now >= p.slotBook.From()
}

// answerSlotAsks passes the members' asks to the book of slots and stores its answers in their reply messages.
func (p *Part) answerSlotAsks(now int64, answers map[lease.Owner]*Message) {
	for from, m := range answers {
		p.slotBook.Ask(now, from, m.Number, p.pendingAsks[from].Holds, p.pendingAsks[from].Look)
	}
	for who, a := range p.slotBook.Deal(now) {
		if m := answers[who]; m != nil {
			m.Held = &a
		}
	}
}

// slotHandover is what a former dealer had granted when it left, with the earliest time at which it can have left.
type slotHandover struct {
	notBefore int64 // on this process's clock: when it sent the promise that the former dealer had received
	holdings  []hold.Holding
}

// slotHandoverMessages returns the messages that tell the successor which slots are granted.
func (p *Part) slotHandoverMessages(now int64, successor lease.Owner) []*Message {
	if p.slotBook == nil || p.dealingSince != p.seat.Since() || now < p.slotBook.From() || p.promises[successor.Name].from != successor {
		return nil
	}
	m := p.newMessage(SlotHandover, successor, p.promises[successor.Name].at)
	m.Table = p.slotBook.Handover(now)
	return []*Message{m, m} // sent twice: the message is not repeated later and a link may lose it
}

// adoptSlots gives a new book the grants of the immediately preceding dealer, if that dealer chose this process as
// its successor. That dealer left after it had received a promise from this process, and a dealer in between would
// have granted nothing for a lease from then on. So the handover is dropped if this process became the dealer a lease
// or more after that promise.
func (p *Part) adoptSlots(now int64) {
	if h := p.handover; h != nil && p.dealingSince-h.notBefore < p.options.Lease {
		p.slotBook.Inherit(now, h.holdings)
	}
	p.handover = nil
}

// appendHolds appends the slots of a message, big endian.
//
// Ask: whether the member wants to know others' slots, and its items. An item is ID, state, time left, run time
// and spots.
// Grant: whether there is an answer; if so the granted IDs, whether others' slots follow, and these slots with
// their time left.
// SlotHandover: each member with its number and items.
//
// A spot is a host and two 32 bit floats.
func appendHolds(b []byte, m *Message) []byte {
	spot := func(s hold.Spot) {
		b = binary.BigEndian.AppendUint32(b, s.Host)
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(s.Rack))
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(s.Zone))
	}
	flag := func(on bool) {
		v := byte(0)
		if on {
			v = 1
		}
		b = append(b, v)
	}
	items := func(list []hold.Item) {
		b = append(b, byte(len(list)))
		for _, i := range list {
			b = binary.BigEndian.AppendUint64(b, i.ID)
			b = append(b, byte(i.State))
			b = binary.BigEndian.AppendUint64(b, uint64(i.Left))
			b = binary.BigEndian.AppendUint64(b, uint64(i.Run))
			b = binary.BigEndian.AppendUint16(b, uint16(len(i.Spots)))
			for _, s := range i.Spots {
				spot(s)
			}
		}
	}
	switch m.Kind {
	case Ask:
		flag(m.Look)
		items(m.Holds)
	case SlotHandover:
		b = binary.BigEndian.AppendUint16(b, uint16(len(m.Table)))
		for _, h := range m.Table {
			b = append(b, byte(len(h.Who.Name)))
			b = append(b, h.Who.Name...)
			b = binary.BigEndian.AppendUint64(b, h.Who.Incarnation)
			b = binary.BigEndian.AppendUint64(b, uint64(h.Number))
			items(h.Items)
		}
	case Grant:
		flag(m.Held != nil)
		if m.Held == nil {
			break
		}
		b = append(b, byte(len(m.Held.Given)))
		for _, id := range m.Held.Given {
			b = binary.BigEndian.AppendUint64(b, id)
		}
		flag(m.Held.BusyIncluded)
		b = binary.BigEndian.AppendUint16(b, uint16(len(m.Held.Busy)))
		for _, s := range m.Held.Busy {
			spot(s.Spot)
			b = binary.BigEndian.AppendUint64(b, uint64(s.Left))
		}
	}
	return b
}

// slots reads what appendHolds wrote.
func (r *reader) slots(m *Message) {
	spot := func() hold.Spot { return hold.Spot{Host: r.uint32(), Rack: r.traffic(), Zone: r.traffic()} }
	items := func(maxSpots int) (list []hold.Item) {
		n, spots := int(r.byte()), 0
		for i := 0; i < n && !r.failed; i++ {
			item := hold.Item{ID: r.uint64(), State: hold.State(r.byte()), Left: int64(r.uint64()), Run: int64(r.uint64())}
			k := int(r.uint16())
			if spots += k; n > hold.MaxItems || spots > maxSpots || item.State > hold.Runs || item.Left > maxSlotTime || item.Left < -maxSlotTime || item.Run > maxSlotTime || item.Run < 0 {
				r.failed = true
			}
			for j := 0; j < k && !r.failed; j++ {
				item.Spots = append(item.Spots, spot())
			}
			list = append(list, item)
		}
		return list
	}
	switch m.Kind {
	case Ask:
		m.Look = r.byte() == 1
		m.Holds = items(hold.MaxSpots)
	case SlotHandover:
		n := int(r.uint16())
		for i := 0; i < n && !r.failed; i++ {
			h := hold.Holding{}
			h.Who.Name = string(r.take(min(int(r.byte()), maxNameLength)))
			h.Who.Incarnation, h.Number = r.uint64(), int64(r.uint64())
			h.Items = items(hold.MaxSpots)
			m.Table = append(m.Table, h)
		}
	case Grant:
		if r.byte() == 0 {
			return
		}
		m.Held = &hold.Answer{}
		n := int(r.byte())
		for i := 0; i < n && !r.failed; i++ {
			m.Held.Given = append(m.Held.Given, r.uint64())
		}
		m.Held.BusyIncluded = r.byte() == 1
		k := int(r.uint16())
		for i := 0; i < k && k <= hold.MaxSpots && !r.failed; i++ {
			m.Held.Busy = append(m.Held.Busy, hold.Busy{Spot: spot(), Left: int64(r.uint64())})
		}
	}
}

// maxSlotTime bounds the times in an item: one day in microseconds.
const maxSlotTime = 86_400 * 1_000_000

// traffic reads a traffic rate, which must be finite and not negative.
func (r *reader) traffic() float32 {
	v := math.Float32frombits(r.uint32())
	if !(v >= 0 && v < 1e15) {
		r.failed = true
	}
	return v
}

func (r *reader) uint16() uint16 {
	if b := r.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}
