package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"granitewing/logic"
)

// The form of a report in a message of the membership's library: a version, then the sender's name, its incarnation and
// sequence, and what it holds and is asked for, each list after its length. Big endian; figures are 32 bit floats.
const (
	version  = 1
	nameMost = 128
	// MessageMost is what fits one datagram of the library's beside its own head.
	MessageMost = 1300
)

// ErrForm tells that bytes are no report.
var ErrForm = errors.New("ledger: not a report")

// Append appends a report's bytes. What does not fit a message is left out, the least of it first.
func Append(b []byte, r *Report) []byte {
	start := len(b)
	name := r.From[:min(len(r.From), nameMost)]
	b = append(b, version, byte(len(name)))
	b = append(b, name...)
	b = binary.BigEndian.AppendUint64(b, r.Incarnation)
	b = binary.BigEndian.AppendUint64(b, r.Seq)
	asked := r.Asked[:min(len(r.Asked), AskedMost)]
	room := MessageMost - (len(b) - start) - 3 - 12*len(asked)
	held := r.Held[:min(len(r.Held), room/8)]
	b = binary.BigEndian.AppendUint16(b, uint16(len(held)))
	for _, h := range held {
		b = binary.BigEndian.AppendUint32(b, uint32(h.Host))
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(h.Work)))
	}
	b = append(b, byte(len(asked)))
	for _, a := range asked {
		b = binary.BigEndian.AppendUint64(b, a.Set)
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(a.Load)))
	}
	return b
}

// Parse reads a report. Its figures are not checked here but by Hear.
func Parse(b []byte) (*Report, error) {
	if len(b) < 2 || b[0] != version {
		return nil, fmt.Errorf("%w of version %d", ErrForm, version)
	}
	n := int(b[1])
	if b = b[2:]; n == 0 || n > nameMost || len(b) < n+18 {
		return nil, ErrForm
	}
	r := &Report{From: string(b[:n]), Incarnation: binary.BigEndian.Uint64(b[n:]), Seq: binary.BigEndian.Uint64(b[n+8:])}
	b = b[n+16:]
	n = int(binary.BigEndian.Uint16(b))
	if b = b[2:]; len(b) < 8*n+1 {
		return nil, ErrForm
	}
	for ; n > 0; n-- {
		work := math.Float32frombits(binary.BigEndian.Uint32(b[4:]))
		r.Held = append(r.Held, Held{logic.WorkerID(binary.BigEndian.Uint32(b)), float64(work)})
		b = b[8:]
	}
	n = int(b[0])
	if b = b[1:]; len(b) != 12*n {
		return nil, ErrForm
	}
	for ; n > 0; n-- {
		load := math.Float32frombits(binary.BigEndian.Uint32(b[8:]))
		r.Asked = append(r.Asked, Asked{binary.BigEndian.Uint64(b), float64(load)})
		b = b[12:]
	}
	return r, nil
}
