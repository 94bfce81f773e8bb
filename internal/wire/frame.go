// Package wire implements the protocol of the simulator, the operators' program that runs the decisions of package
// logic over batches of events (not internal/lab/virtual): frames of binary big-endian records on a pipe, and the
// settings text in the first record of a scheduler instance. It also parses these settings for other front ends. It
// takes no scheduling decisions.
//
// ReadFrame reads a frame of events, Batch decodes its records one by one into an Event, and Reply builds the
// frame of actions that answers it. Times are in microseconds.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Codes of the event records, sent by the simulator.
const (
	EvStart    = 1  // starts an instance with its settings and seed
	EvUpdate   = 2  // an instance receives worker list Set, or a failure to obtain one
	EvArrival  = 3  // a job arrives
	EvFlowing  = 4  // an attempt has begun to stream its result
	EvAnswer   = 5  // outcome of an attempt
	EvHangup   = 6  // a client has disconnected
	EvWake     = 7  // a time requested by a wake-up action
	EvProbed   = 8  // result of a probe
	EvInbox    = 9  // a message from a peer
	EvKill     = 10 // ends an instance
	EvLedger   = 11 // sets worker list Set, for all instances
	EvProgress = 12 // an attempt has started, or reports its completed share
)

// Codes of the action records, sent in replies.
const (
	actTell      = 1  // Reply.Tell: a message to a peer, or to all
	actPanic     = 2  // Reply.Fault: an instance cannot continue
	actFail      = 3  // logic.ActFail
	actCancel    = 4  // logic.ActCancel
	actSend      = 5  // logic.ActSend
	actRecord    = 6  // Reply.Record: a line for the simulator's report
	actList      = 7  // Reply.ListAll: request for the whole worker list
	actRefuse    = 8  // logic.ActRefuse
	actRelease   = 9  // Reply.Release: close idle connections to a worker
	actRemind    = 10 // logic.ActWake
	actSubscribe = 11 // logic.ActSubscribe
	actInspect   = 12 // Reply.Inspect: a probe of a worker
)

const (
	headerLen       = 20
	replyLen        = 8
	recordHeaderLen = 5
	entryLen        = 22
	readChunk       = 1 << 20 // bytes allocated at a time, so that a claimed length alone allocates nothing
)

// Entry is one worker in a worker list.
type Entry struct {
	Zone    uint8
	UpSince uint64
	Weight  float32
	Kind    uint16
	Phase   uint8
	Cell    uint16
	Worker  uint32
}

// Event is one decoded record. Only the fields of its code are set. Slices point into the frame or are reused by
// the next call of Next.
type Event struct {
	Code    uint8
	Inst    uint16 // scheduler instance
	Seed    uint64
	Text    []byte // settings (EvStart) or a peer's message (EvInbox)
	How     uint8  // EvUpdate: 0 = cached list, 1 = no list obtained, 2 = full list, 3 = changes
	Rev     uint32 // revision of the list
	Set     uint16 // number of the worker list
	Entries []byte // entries of an EvLedger, entryLen bytes each; see EachEntry
	Job     uint32
	Key     uint64 // data set of the job
	Flags   uint16 // bit 0: Hint is set; bit 1: the client has sent the job before
	Class   uint8
	Tenant  uint16
	Hint    uint32 // expected work in microseconds
	Memory  float32
	At      uint64 // client's deadline
	Slots   float32
	Attempt uint16
	Worker  uint32
	Elapsed uint32 // microseconds
	Result  uint8
	Settled bool // the job has its answer already
	Note    uint8
	Stats   []float32 // load report values in the order of the setting Report.Names
	Topic   uint8     // EvProgress: 1 = started, 2 = Share is set
	Share   float32   // completed share of the work, 0 to 1
	Token   uint32    // identifies the requested wake-up
	Author  uint32    // sending peer
}

// ReadFrame reads one frame into buf, which grows only as bytes arrive. It returns io.EOF if the input ends
// between frames, and another error for a frame that is truncated or states an impossible length.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	if cap(buf) < headerLen {
		buf = make([]byte, headerLen, 1<<16)
	}
	buf = buf[:headerLen]
	if _, err := io.ReadFull(r, buf); err != nil {
		if errors.Is(err, io.EOF) {
			return buf, io.EOF
		}
		return buf, fmt.Errorf("frame header cut short: %w", err)
	}
	total := int(binary.BigEndian.Uint32(buf[8:]))
	seq := binary.BigEndian.Uint32(buf[16:])
	if total < headerLen {
		return buf, fmt.Errorf("batch %d: frame length %d is less than its header", seq, total)
	}
	for len(buf) < total {
		have := len(buf)
		want := min(total, max(cap(buf), have+readChunk))
		if want > cap(buf) {
			grown := make([]byte, have, max(want, min(total, 2*cap(buf))))
			copy(grown, buf)
			buf = grown
		}
		want = min(total, cap(buf))
		buf = buf[:want]
		if _, err := io.ReadFull(r, buf[have:]); err != nil {
			return buf, fmt.Errorf("batch %d: frame cut short, %d bytes stated: %w", seq, total, err)
		}
	}
	return buf, nil
}

// Batch iterates over the records of one frame.
type Batch struct {
	Now       int64
	Seq       uint32
	remaining uint32
	rest      []byte
}

// Open starts the iteration over a frame returned by ReadFrame. It fails if the frame is shorter than its header.
func (b *Batch) Open(frame []byte) error {
	if len(frame) < headerLen {
		return fmt.Errorf("frame of %d bytes has no header", len(frame))
	}
	b.Now = clampTime(binary.BigEndian.Uint64(frame))
	b.remaining = binary.BigEndian.Uint32(frame[12:])
	b.Seq = binary.BigEndian.Uint32(frame[16:])
	b.rest = frame[headerLen:]
	return nil
}

// Check decodes the whole batch once without consuming it, so that a malformed one is detected before any of it is
// acted on.
func (b Batch) Check(e *Event) error {
	for {
		more, err := b.Next(e)
		if err != nil {
			return err
		}
		if !more {
			return nil
		}
	}
}

// Next decodes the next record into e and reports false at the end. Records of unknown code are skipped; a
// malformed record is an error.
func (b *Batch) Next(e *Event) (bool, error) {
	for {
		if b.remaining == 0 {
			if len(b.rest) != 0 {
				return false, fmt.Errorf("batch %d: %d bytes left after the last record", b.Seq, len(b.rest))
			}
			return false, nil
		}
		if len(b.rest) < recordHeaderLen {
			return false, fmt.Errorf("batch %d: %d records missing at the end", b.Seq, b.remaining)
		}
		code := b.rest[0]
		n := int64(binary.BigEndian.Uint32(b.rest[1:]))
		if n > int64(len(b.rest)-recordHeaderLen) {
			return false, fmt.Errorf("batch %d: record of code %d states %d bytes, %d are left",
				b.Seq, code, n, len(b.rest)-recordHeaderLen)
		}
		c := cursor{b: b.rest[recordHeaderLen : recordHeaderLen+n]}
		b.rest = b.rest[recordHeaderLen+n:]
		b.remaining--
		if !decode(code, &c, e) {
			continue
		}
		if c.truncated {
			return false, fmt.Errorf("batch %d: record of code %d is shorter than its fields", b.Seq, code)
		}
		return true, nil
	}
}

// decode fills e and reports whether the code is known.
func decode(code uint8, c *cursor, e *Event) bool {
	e.Code = code
	if code == EvLedger {
		e.Set = c.u16()
		n := int64(c.u32())
		if n*entryLen > int64(len(c.b)) {
			c.truncated = true
			n = 0
		}
		e.Entries = c.take(int(n) * entryLen)
		return true
	}
	if code < EvStart || code > EvProgress {
		return false
	}
	e.Inst = c.u16()
	switch code {
	case EvStart:
		e.Seed, e.Text = c.u64(), c.take(int(c.u32()))
	case EvUpdate:
		e.How, e.Rev, e.Set = c.u8(), c.u32(), c.u16()
	case EvArrival:
		e.Job, e.Key, e.Flags, e.Class = c.u32(), c.u64(), c.u16(), c.u8()
		e.Tenant, e.Hint, e.Memory, e.At, e.Slots = c.u16(), c.u32(), c.f32(), c.u64(), c.f32()
	case EvFlowing:
		e.Job, e.Attempt, e.Worker, e.Elapsed = c.u32(), c.u16(), c.u32(), c.u32()
	case EvAnswer:
		e.Job, e.Attempt, e.Worker, e.Result = c.u32(), c.u16(), c.u32(), c.u8()
		e.Elapsed, e.Settled, e.Note = c.u32(), c.u8() != 0, c.u8()
		e.Stats = c.floats(e.Stats[:0])
	case EvHangup:
		e.Job = c.u32()
	case EvWake:
		e.Token = c.u32()
	case EvProbed:
		e.Elapsed, e.Result, e.Worker = c.u32(), c.u8(), c.u32()
		e.Stats = c.floats(e.Stats[:0])
	case EvInbox:
		e.Author, e.Text = c.u32(), c.take(int(c.u16()))
	case EvProgress:
		e.Job, e.Attempt, e.Worker, e.Topic, e.Share = c.u32(), c.u16(), c.u32(), c.u8(), c.f32()
	}
	return true
}

// EachEntry calls f for each entry of a worker list; raw is Event.Entries.
func EachEntry(raw []byte, f func(Entry)) {
	for ; len(raw) >= entryLen; raw = raw[entryLen:] {
		c := cursor{b: raw[:entryLen]}
		f(Entry{Zone: c.u8(), UpSince: c.u64(), Weight: c.f32(), Kind: c.u16(), Phase: c.u8(),
			Cell: c.u16(), Worker: c.u32()})
	}
}

// clampTime limits a time to the range of int64.
func clampTime(v uint64) int64 {
	return int64(min(v, math.MaxInt64))
}

// cursor reads big-endian fields. Past the end it returns zeros and sets truncated.
type cursor struct {
	b         []byte
	truncated bool
}

func (c *cursor) take(n int) []byte {
	if n < 0 || n > len(c.b) {
		c.truncated = true
		c.b = nil
		return nil
	}
	v := c.b[:n]
	c.b = c.b[n:]
	return v
}

func (c *cursor) u8() uint8 {
	if v := c.take(1); v != nil {
		return v[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if v := c.take(2); v != nil {
		return binary.BigEndian.Uint16(v)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if v := c.take(4); v != nil {
		return binary.BigEndian.Uint32(v)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if v := c.take(8); v != nil {
		return binary.BigEndian.Uint64(v)
	}
	return 0
}

func (c *cursor) f32() float32 { return math.Float32frombits(c.u32()) }

func (c *cursor) floats(dst []float32) []float32 {
	for n := int(c.u8()); n > 0 && !c.truncated; n-- {
		dst = append(dst, c.f32())
	}
	return dst
}
