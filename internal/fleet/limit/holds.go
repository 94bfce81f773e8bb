package limit

import (
	"encoding/binary"
	"math"

	"granitewing/internal/fleet/limit/hold"
	"granitewing/internal/fleet/limit/lease"
)

// Slots of hosts that are held together: the dealer's book of them, a member's side, and their form in messages.

// Holder is this member's side of slots that are held together.
func (p *Part) Holder() *hold.Holder { return p.holder }

// Lease is for how long a right is given, in microseconds.
func (p *Part) Lease() int64 { return p.o.Lease }

// Held tells what the dealer's book of slots has given, where this process is the dealer.
func (p *Part) Held(now int64) (sets, slots int, deals bool) {
	if p.book == nil || p.seat == nil || !p.seat.Holds(now) || p.since != p.seat.Since() {
		return 0, 0, false
	}
	sets, slots = p.book.Out()
	return sets, slots, now >= p.book.From()
}

// hold answers what members have told of slots, in the messages that answer them.
func (p *Part) hold(now int64, answers map[lease.Owner]*Message) {
	for from, m := range answers {
		p.book.Ask(now, from, m.Number, p.asks[from].Holds, p.asks[from].Look)
	}
	for who, a := range p.book.Deal(now) {
		if m := answers[who]; m != nil {
			m.Held = &a
		}
	}
}

// heirloom is what a dealer that has left has given of slots, and by when at the earliest it left.
type heirloom struct {
	after int64 // on this process's clock: it has heard what this one said then
	all   []hold.Holding
}

// bequeath tells the heir of the post what is given of slots.
func (p *Part) bequeath(now int64, heir lease.Owner) []*Message {
	if p.book == nil || p.since != p.seat.Since() || now < p.book.From() || p.words[heir.Name].who != heir {
		return nil
	}
	m := p.say(SlotsOver, heir, p.words[heir.Name].at)
	m.Table = p.book.Hand(now)
	return []*Message{m, m} // it is said but once, and a link may lose it
}

// inherit has a book that begins take what the dealer just before left, if this is that one's heir. It left after it had heard a
// word of this process's, and a dealer in between would have given nothing for a lease from then on.
func (p *Part) inherit(now int64) {
	if h := p.left; h != nil && p.since-h.after < p.o.Lease {
		p.book.Inherit(now, h.all)
	}
	p.left = nil
}

// appendHolds appends what a message says of slots: of an ask whether it looks, and the items, each an ID, a state, the time left, the run and its spots; of a
// grant whether there is an answer, the IDs, whether others' slots are told, and these; of a book that is handed over each member, its number and its items. Spots are a host and two 32 bit floats.
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
	case SlotsOver:
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
		flag(m.Held.Told)
		b = binary.BigEndian.AppendUint16(b, uint16(len(m.Held.Busy)))
		for _, s := range m.Held.Busy {
			spot(s.Spot)
			b = binary.BigEndian.AppendUint64(b, uint64(s.Left))
		}
	}
	return b
}

// holds reads what a message says of slots.
func (r *reader) holds(m *Message) {
	spot := func() hold.Spot { return hold.Spot{Host: r.uint32(), Rack: r.load(), Zone: r.load()} }
	items := func(most int) (list []hold.Item) {
		n, spots := int(r.byte()), 0
		for i := 0; i < n && !r.bad; i++ {
			item := hold.Item{ID: r.uint64(), State: hold.State(r.byte()), Left: int64(r.uint64()), Run: int64(r.uint64())}
			k := int(r.uint16())
			if spots += k; n > hold.ItemsMost || spots > most || item.State > hold.Runs || item.Left > leftMost || item.Left < -leftMost || item.Run > leftMost || item.Run < 0 {
				r.bad = true
			}
			for j := 0; j < k && !r.bad; j++ {
				item.Spots = append(item.Spots, spot())
			}
			list = append(list, item)
		}
		return list
	}
	switch m.Kind {
	case Ask:
		m.Look = r.byte() == 1
		m.Holds = items(hold.SpotsMost)
	case SlotsOver:
		n := int(r.uint16())
		for i := 0; i < n && !r.bad; i++ {
			h := hold.Holding{}
			h.Who.Name = string(r.take(min(int(r.byte()), nameMost)))
			h.Who.Incarnation, h.Number = r.uint64(), int64(r.uint64())
			h.Items = items(hold.SpotsMost)
			m.Table = append(m.Table, h)
		}
	case Grant:
		if r.byte() == 0 {
			return
		}
		m.Held = &hold.Answer{}
		n := int(r.byte())
		for i := 0; i < n && !r.bad; i++ {
			m.Held.Given = append(m.Held.Given, r.uint64())
		}
		m.Held.Told = r.byte() == 1
		k := int(r.uint16())
		for i := 0; i < k && k <= hold.SpotsMost && !r.bad; i++ {
			m.Held.Busy = append(m.Held.Busy, hold.Busy{Spot: spot(), Left: int64(r.uint64())})
		}
	}
}

// leftMost bounds the time that a member may tell of its slots: a day.
const leftMost = 86_400 * 1_000_000

// load is a figure of traffic, which is none below nothing or without end.
func (r *reader) load() float32 {
	v := math.Float32frombits(r.uint32())
	if !(v >= 0 && v < 1e15) {
		r.bad = true
	}
	return v
}

func (r *reader) uint16() uint16 {
	if b := r.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}
