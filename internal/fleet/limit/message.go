package limit

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"

	"granitewing/internal/fleet/limit/cover"
	"granitewing/internal/fleet/limit/hold"
	"granitewing/internal/fleet/limit/lease"
	"granitewing/internal/fleet/limit/rights"
)

// Kind is the type of a message.
type Kind uint8

// The message kinds.
const (
	SeatAsk      Kind = iota // a keeper asks another keeper for a promise of the dealer's post
	SeatYes                  // a keeper promises the post
	Ask                      // a member asks the dealer for rights
	Grant                    // the dealer answers an Ask
	Redirect                 // a keeper that is not the dealer, or no longer, names the dealer that it knows of
	SeatRelease              // the dealer gives up its post in favour of a successor
	CoverAsk                 // the dealer asks a keeper what it knows of a limit's cover
	CoverState               // a keeper answers with its turn and its table
	CoverPut                 // the dealer sends a table; Number is the table's version
	CoverStored              // a keeper confirms that it has the table of that version
	SlotHandover             // a leaving dealer hands its grants of slots over; Number is the Clock of the successor's last promise
	kindCount
)

// Message is a message from one process to another. Number is the time of a request on the requester's clock, and
// the answer repeats it; of CoverPut and CoverStored it is the version of the table, of
// SlotHandover the Clock of the successor's last promise.
type Message struct {
	Kind     Kind
	From, To lease.Owner // To.Incarnation is 0 if unknown
	Number   int64
	Clock    int64 // of SeatYes: when the promise was given, on the sender's clock
	Asks     []ItemAsk
	Grants   []ItemGrant
	Dealer   lease.Owner // of Redirect: the dealer; of SeatRelease: the successor
	Cover    *Cover      // of the cover kinds

	Holds []hold.Item // of Ask: slots that the member wants or has
	Look  bool        // of Ask: the member wants to know the slots of others
	Table []hold.Holding
	Held  *hold.Answer // of Grant: the answer to Holds; nil if the dealer has no book of slots
}

// ItemAsk is a holder's ask for one limit.
type ItemAsk struct {
	Limit uint64 // limitHash of the limit's name
	rights.Ask
}

// ItemGrant is the dealer's grant of one limit.
type ItemGrant struct {
	Limit uint64
	rights.Grant
}

// Version is the first byte of a message. Reports of the ledger start with another byte, which tells the two apart.
const Version = 0x51

const (
	maxNameLength   = 128  // bytes of a process name
	maxLimits       = 64   // in one message
	maxCoverEntries = 4096 // processes in one cover table
)

// ErrMalformed is returned for bytes that are not a valid message.
var ErrMalformed = errors.New("limit: not a message")

// limitHash identifies a limit in messages by the FNV-1a hash of its name.
func limitHash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// Append appends the encoding of a message to b, big endian: version, kind, the three processes From, To and
// Dealer, Number and Clock, then the count of asks or grants and these. Demand is a 32 bit float. Slots follow
// (appendHolds), then a cover: limit, the keeper's turn, whether the table is known, the number of entries, and
// the entries.
func Append(b []byte, m *Message) []byte {
	b = append(b, Version, byte(m.Kind))
	for _, o := range []lease.Owner{m.From, m.To, m.Dealer} {
		b = append(b, byte(len(o.Name)))
		b = append(b, o.Name...)
		b = binary.BigEndian.AppendUint64(b, o.Incarnation)
	}
	b = binary.BigEndian.AppendUint64(b, uint64(m.Number))
	b = binary.BigEndian.AppendUint64(b, uint64(m.Clock))
	b = append(b, byte(max(len(m.Asks), len(m.Grants))))
	for _, a := range m.Asks {
		b = binary.BigEndian.AppendUint64(b, a.Limit)
		b = binary.BigEndian.AppendUint64(b, a.Session)
		b = binary.BigEndian.AppendUint64(b, uint64(a.Spent))
		b = binary.BigEndian.AppendUint64(b, uint64(a.Returned))
		b = binary.BigEndian.AppendUint32(b, uint32(min(a.Old, math.MaxUint32)))
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(a.Demand)))
	}
	for _, g := range m.Grants {
		b = binary.BigEndian.AppendUint64(b, g.Limit)
		b = binary.BigEndian.AppendUint64(b, g.Session)
		b = binary.BigEndian.AppendUint64(b, uint64(g.Granted))
		b = binary.BigEndian.AppendUint64(b, uint64(g.Keep))
	}
	b = appendHolds(b, m)
	if c := m.Cover; c != nil {
		known := byte(0)
		if c.Known {
			known = 1
		}
		b = binary.BigEndian.AppendUint64(b, c.Limit)
		b = binary.BigEndian.AppendUint64(b, uint64(c.Turn))
		b = append(b, known)
		b = binary.BigEndian.AppendUint32(b, uint32(len(c.Table)))
		for _, key := range slices.Sorted(maps.Keys(c.Table)) {
			b = binary.BigEndian.AppendUint64(b, key)
			b = binary.BigEndian.AppendUint32(b, uint32(min(c.Table[key], math.MaxUint32)))
		}
	}
	return b
}

// Parse decodes a message, or returns ErrMalformed. It does not check the counts in asks and grants; the dealer and the
// holders do.
func Parse(b []byte) (*Message, error) {
	r := reader{b: b}
	if r.byte() != Version || r.failed {
		return nil, fmt.Errorf("%w of version %#x", ErrMalformed, Version)
	}
	m := &Message{Kind: Kind(r.byte())}
	for _, o := range []*lease.Owner{&m.From, &m.To, &m.Dealer} {
		o.Name = string(r.take(min(int(r.byte()), maxNameLength)))
		o.Incarnation = r.uint64()
	}
	m.Number, m.Clock = int64(r.uint64()), int64(r.uint64())
	n := int(r.byte())
	for i := 0; i < n && !r.failed; i++ {
		switch m.Kind {
		case Ask:
			m.Asks = append(m.Asks, ItemAsk{r.uint64(), rights.Ask{Session: r.uint64(), Spent: int64(r.uint64()), Returned: int64(r.uint64()), Old: int64(r.uint32()), Demand: r.float()}})
		case Grant:
			m.Grants = append(m.Grants, ItemGrant{r.uint64(), rights.Grant{To: m.To, Session: r.uint64(), Granted: int64(r.uint64()), Keep: int64(r.uint64())}})
		default:
			r.failed = true
		}
	}
	r.slots(m)
	if m.Kind >= CoverAsk && m.Kind <= CoverStored {
		m.Cover = r.cover()
	}
	if r.failed || len(r.b) > 0 || m.Kind >= kindCount || n > maxLimits || m.From.Name == "" {
		return nil, ErrMalformed
	}
	return m, nil
}

// reader takes fields off the front of b. Once bytes are missing it has failed and returns zeros.
type reader struct {
	b      []byte
	failed bool
}

func (r *reader) take(n int) []byte {
	if r.failed || len(r.b) < n {
		r.failed = true
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) uint64() uint64 {
	if b := r.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *reader) uint32() uint32 {
	if b := r.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) float() float64 { return float64(math.Float32frombits(r.uint32())) }

func (r *reader) cover() *Cover {
	c := &Cover{Limit: r.uint64(), Turn: int64(r.uint64()), Known: r.byte() == 1, Table: cover.Table{}}
	n := r.uint32()
	if n > maxCoverEntries {
		r.failed = true
	}
	for i := uint32(0); i < n && !r.failed; i++ {
		key := r.uint64()
		c.Table[key] = int64(r.uint32())
	}
	return c
}
