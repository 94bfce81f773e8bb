package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"granitewing/internal/fleet/slack"
	"granitewing/internal/fleet/verdict"
	"granitewing/logic"
)

// The form of a report in a message of the membership's library: a version, the kind, the sender's name, its incarnation and
// sequence, for how many it speaks and how old that is, and what it holds and is asked for, each list after its length.
// Votes follow, nine bytes each, runs, twelve, and of a load the figures that are not 0, each after its place. Big endian; figures are 32 bit floats.
const (
	version  = 4
	nameMost = 128
	// MessageMost is what a dispatcher's report of itself takes at most: it fits one datagram of a common network beside
	// the library's own head.
	MessageMost = 1300
	// SumMost is what a sum takes at most; beyond MessageMost a network may carry it in pieces.
	SumMost = 16_000
)

// ErrForm tells that bytes are no report.
var ErrForm = errors.New("ledger: not a report")

// Append appends a report's bytes. What does not fit a message is left out, the least of it first.
func Append(b []byte, r *Report) []byte {
	start := len(b)
	name := r.From[:min(len(r.From), nameMost)]
	b = append(b, version, byte(r.Kind), byte(len(name)))
	b = append(b, name...)
	b = binary.BigEndian.AppendUint64(b, r.Incarnation)
	b = binary.BigEndian.AppendUint64(b, r.Seq)
	b = binary.BigEndian.AppendUint16(b, uint16(r.Members))
	b = binary.BigEndian.AppendUint32(b, uint32(r.Age))
	most, sets := MessageMost, AskedMost
	if r.Kind != Own {
		most, sets = SumMost, sumMost
	}
	asked := r.Asked[:min(len(r.Asked), sets)]
	votes := r.Votes[:min(len(r.Votes), sumMost)] // the first are those against hosts
	if r.Kind == Own {
		votes = votes[:min(len(votes), verdict.VotesMost)]
	}
	load := appendLoad(nil, r.Load)
	room := most - (len(b) - start) - 8 - 12*len(asked) - voteSize*len(votes) - len(load)
	held := r.Held[:min(len(r.Held), room/8)]
	ran := r.Ran[:min(len(r.Ran), (room-8*len(held))/ranSize)] // what is outstanding matters more
	b = binary.BigEndian.AppendUint16(b, uint16(len(held)))
	for _, h := range held {
		b = binary.BigEndian.AppendUint32(b, uint32(h.Host))
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(h.Work)))
	}
	b = binary.BigEndian.AppendUint16(b, uint16(len(asked)))
	for _, a := range asked {
		b = binary.BigEndian.AppendUint64(b, a.Set)
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(a.Load)))
	}
	b = binary.BigEndian.AppendUint16(b, uint16(len(votes)))
	for _, v := range votes {
		b = binary.BigEndian.AppendUint32(b, uint32(v.Host))
		b = append(b, v.Zone)
		b = binary.BigEndian.AppendUint16(b, v.Bad)
		b = binary.BigEndian.AppendUint16(b, v.Good)
	}
	b = binary.BigEndian.AppendUint16(b, uint16(len(ran)))
	for _, a := range ran {
		b = binary.BigEndian.AppendUint32(b, uint32(a.Host))
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(a.Run)))
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(a.Work)))
	}
	return append(b, load...)
}

// appendLoad appends a load: the number of its figures, one more than there are so that 0 is no load, and the figures.
func appendLoad(b []byte, l *slack.Load) []byte {
	if l == nil {
		return append(b, 0)
	}
	at := len(b)
	b = append(b, 1)
	for i, v := range l {
		if v > nothing {
			b[at]++
			b = append(b, byte(i))
			b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(v)))
		}
	}
	return b
}

func parseLoad(b []byte) (*slack.Load, error) {
	if len(b) == 1 && b[0] == 0 {
		return nil, nil
	}
	if len(b) == 0 || len(b) != 1+loadSize*(int(b[0])-1) {
		return nil, ErrForm
	}
	l := &slack.Load{}
	for b = b[1:]; len(b) > 0; b = b[loadSize:] {
		if b[0] >= slack.Size {
			return nil, ErrForm
		}
		l[b[0]] = float64(math.Float32frombits(binary.BigEndian.Uint32(b[1:])))
	}
	return l, nil
}

// Bytes of a vote, of the runs at a host, and of a figure of a load.
const (
	voteSize = 9
	ranSize  = 12
	loadSize = 5
)

// Parse reads a report. Its figures are not checked here but by Hear.
func Parse(b []byte) (*Report, error) {
	if len(b) < 3 || b[0] != version {
		return nil, fmt.Errorf("%w of version %d", ErrForm, version)
	}
	kind, n := Kind(b[1]), int(b[2])
	if b = b[3:]; kind >= kinds || n == 0 || n > nameMost || len(b) < n+24 {
		return nil, ErrForm
	}
	r := &Report{Kind: kind, From: string(b[:n]), Incarnation: binary.BigEndian.Uint64(b[n:]), Seq: binary.BigEndian.Uint64(b[n+8:]),
		Members: int(binary.BigEndian.Uint16(b[n+16:])), Age: int64(binary.BigEndian.Uint32(b[n+18:]))}
	b = b[n+22:]
	n = int(binary.BigEndian.Uint16(b))
	if b = b[2:]; len(b) < 8*n+2 {
		return nil, ErrForm
	}
	for ; n > 0; n-- {
		work := math.Float32frombits(binary.BigEndian.Uint32(b[4:]))
		r.Held = append(r.Held, Held{logic.WorkerID(binary.BigEndian.Uint32(b)), float64(work)})
		b = b[8:]
	}
	n = int(binary.BigEndian.Uint16(b))
	if b = b[2:]; len(b) < 12*n+2 {
		return nil, ErrForm
	}
	for ; n > 0; n-- {
		load := math.Float32frombits(binary.BigEndian.Uint32(b[8:]))
		r.Asked = append(r.Asked, Asked{binary.BigEndian.Uint64(b), float64(load)})
		b = b[12:]
	}
	n = int(binary.BigEndian.Uint16(b))
	if b = b[2:]; len(b) < voteSize*n+2 {
		return nil, ErrForm
	}
	for ; n > 0; n-- {
		r.Votes = append(r.Votes, verdict.Vote{Host: logic.WorkerID(binary.BigEndian.Uint32(b)), Zone: b[4], Bad: binary.BigEndian.Uint16(b[5:]), Good: binary.BigEndian.Uint16(b[7:])})
		b = b[voteSize:]
	}
	n = int(binary.BigEndian.Uint16(b))
	if b = b[2:]; len(b) < ranSize*n {
		return nil, ErrForm
	}
	for ; n > 0; n-- {
		run, work := math.Float32frombits(binary.BigEndian.Uint32(b[4:])), math.Float32frombits(binary.BigEndian.Uint32(b[8:]))
		r.Ran = append(r.Ran, Ran{logic.WorkerID(binary.BigEndian.Uint32(b)), float64(run), float64(work)})
		b = b[ranSize:]
	}
	var err error
	r.Load, err = parseLoad(b)
	return r, err
}
