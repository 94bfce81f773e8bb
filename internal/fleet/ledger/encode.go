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

// The encoding of a report inside a message of the membership library, all integers in big endian and all figures as
// 32-bit floats:
//
//	1 byte   version
//	1 byte   kind
//	1 byte   length of the sender's name, then the name
//	8 bytes  incarnation
//	8 bytes  sequence number
//	2 bytes  members covered
//	4 bytes  age in microseconds
//	2 bytes  number of hosts with outstanding work, then 8 bytes each: host, work
//	2 bytes  number of data sets, then 12 bytes each: set, load
//	2 bytes  number of votes, then 9 bytes each: host, zone, bad, good
//	2 bytes  number of runs, then 12 bytes each: host, running time, work
//	1 byte   0 if there is no load, else one more than its nonzero figures, then 5 bytes each: index, figure
const (
	version       = 4
	maxNameLength = 128
	// MaxMessage is the maximum size in bytes of a dispatcher's report of itself. It fits one datagram of a common
	// network together with the header of the membership library.
	MaxMessage = 1300
	// MaxSum is the maximum size in bytes of a sum. The network may fragment one that is larger than MaxMessage.
	MaxSum = 16_000
)

// ErrForm says that a message is not a well-formed report.
var ErrForm = errors.New("ledger: malformed report")

// Append appends the encoding of a report to b and returns the extended slice. Entries that do not fit a message are
// left out: first runs, then outstanding work, each from the end of its list, where the smallest entries are.
func Append(b []byte, r *Report) []byte {
	start := len(b)
	name := r.From[:min(len(r.From), maxNameLength)]
	b = append(b, version, byte(r.Kind), byte(len(name)))
	b = append(b, name...)
	b = binary.BigEndian.AppendUint64(b, r.Incarnation)
	b = binary.BigEndian.AppendUint64(b, r.Seq)
	b = binary.BigEndian.AppendUint16(b, uint16(r.Members))
	b = binary.BigEndian.AppendUint32(b, uint32(r.Age))
	maxSize, maxSets := MaxMessage, MaxSets
	if r.Kind != Own {
		maxSize, maxSets = MaxSum, maxSumEntries
	}
	asked := r.Asked[:min(len(r.Asked), maxSets)]
	votes := r.Votes[:min(len(r.Votes), maxSumEntries)] // votes against hosts come first
	if r.Kind == Own {
		votes = votes[:min(len(votes), verdict.MaxVotes)]
	}
	load := appendLoad(nil, r.Load)
	space := maxSize - (len(b) - start) - 8 - 12*len(asked) - voteSize*len(votes) - len(load)
	held := r.Held[:min(len(r.Held), space/8)]
	ran := r.Ran[:min(len(r.Ran), (space-8*len(held))/runSize)] // outstanding work is more important than runs
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

// appendLoad appends a load: one more than the number of its nonzero figures, so that 0 means no load, and those
// figures, each after its index.
func appendLoad(b []byte, l *slack.Load) []byte {
	if l == nil {
		return append(b, 0)
	}
	countAt := len(b)
	b = append(b, 1)
	for i, v := range l {
		if v > negligible {
			b[countAt]++
			b = append(b, byte(i))
			b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(v)))
		}
	}
	return b
}

// parseLoad reads what appendLoad wrote; it must take up all of b.
func parseLoad(b []byte) (*slack.Load, error) {
	if len(b) == 1 && b[0] == 0 {
		return nil, nil
	}
	if len(b) == 0 || len(b) != 1+figureSize*(int(b[0])-1) {
		return nil, ErrForm
	}
	l := &slack.Load{}
	for b = b[1:]; len(b) > 0; b = b[figureSize:] {
		if b[0] >= slack.Size {
			return nil, ErrForm
		}
		l[b[0]] = float64(math.Float32frombits(binary.BigEndian.Uint32(b[1:])))
	}
	return l, nil
}

// Encoded sizes in bytes of a vote, of the runs at a host, and of a figure of a load.
const (
	voteSize   = 9
	runSize    = 12
	figureSize = 5
)

// Parse decodes a report. It returns an error that wraps ErrForm for bytes that are not a report of this version. It
// does not check the figures; Accept does.
func Parse(b []byte) (*Report, error) {
	if len(b) < 3 || b[0] != version {
		return nil, fmt.Errorf("%w: want version %d", ErrForm, version)
	}
	kind, n := Kind(b[1]), int(b[2])
	if b = b[3:]; kind >= kinds || n == 0 || n > maxNameLength || len(b) < n+24 {
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
		r.Held = append(r.Held, HostWork{logic.WorkerID(binary.BigEndian.Uint32(b)), float64(work)})
		b = b[8:]
	}
	n = int(binary.BigEndian.Uint16(b))
	if b = b[2:]; len(b) < 12*n+2 {
		return nil, ErrForm
	}
	for ; n > 0; n-- {
		load := math.Float32frombits(binary.BigEndian.Uint32(b[8:]))
		r.Asked = append(r.Asked, SetDemand{binary.BigEndian.Uint64(b), float64(load)})
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
	if b = b[2:]; len(b) < runSize*n {
		return nil, ErrForm
	}
	for ; n > 0; n-- {
		run, work := math.Float32frombits(binary.BigEndian.Uint32(b[4:])), math.Float32frombits(binary.BigEndian.Uint32(b[8:]))
		r.Ran = append(r.Ran, HostRuns{logic.WorkerID(binary.BigEndian.Uint32(b)), float64(run), float64(work)})
		b = b[runSize:]
	}
	var err error
	r.Load, err = parseLoad(b)
	return r, err
}
