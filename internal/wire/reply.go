package wire

import (
	"encoding/binary"
	"math"

	"granitewing/logic"
)

// Reply builds the reply to one batch; its buffer is reused. Add encodes the actions of the decision module, the
// other methods the remaining records of the protocol.
type Reply struct {
	b []byte
}

// Begin starts the reply to the batch with the number seq.
func (r *Reply) Begin(seq uint32) {
	r.b = append(r.b[:0], make([]byte, replyLen)...)
	binary.BigEndian.PutUint32(r.b[4:], seq)
}

// Bytes completes the reply and returns it. The slice is valid until the next Begin.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.b, uint32(len(r.b)))
	return r.b
}

// Add appends one action of an instance.
func (r *Reply) Add(inst uint16, a *logic.Action) {
	switch a.Kind {
	case logic.ActSend:
		r.header(actSend, inst, 12)
		r.u32(uint32(a.Job))
		r.u32(uint32(a.Worker))
		r.u32(clamp32(a.Timeout))
	case logic.ActCancel:
		r.header(actCancel, inst, 6)
		r.u32(uint32(a.Job))
		r.b = binary.BigEndian.AppendUint16(r.b, uint16(a.Attempt))
	case logic.ActRefuse:
		r.header(actRefuse, inst, 8)
		r.u32(uint32(a.Job))
		r.u32(clamp32(a.After))
	case logic.ActFail:
		r.header(actFail, inst, 4)
		r.u32(uint32(a.Job))
	case logic.ActWake:
		r.header(actRemind, inst, 12)
		r.u32(a.Token)
		r.b = binary.BigEndian.AppendUint64(r.b, uint64(max(a.At, 0)))
	case logic.ActSubscribe:
		r.header(actSubscribe, inst, 1)
		r.b = append(r.b, 1)
	}
}

// Fault appends a notice that an instance cannot continue. Text beyond 65535 bytes is cut off.
func (r *Reply) Fault(inst uint16, text string) {
	text = text[:min(len(text), math.MaxUint16)]
	r.header(actPanic, inst, 2+len(text))
	r.lengthPrefixed([]byte(text))
}

// Tell appends a message to one peer, or to all peers if peer is negative.
func (r *Reply) Tell(inst uint16, peer int, data []byte) {
	to := uint16(math.MaxUint16)
	if peer >= 0 {
		to = uint16(peer)
	}
	r.header(actTell, inst, 4+len(data))
	r.b = binary.BigEndian.AppendUint16(r.b, to)
	r.lengthPrefixed(data)
}

// Record appends a line for the simulator's report. Text beyond 65535 bytes is cut off.
func (r *Reply) Record(inst uint16, text string) {
	text = text[:min(len(text), math.MaxUint16)]
	r.header(actRecord, inst, 2+len(text))
	r.lengthPrefixed([]byte(text))
}

// ListAll appends a request for the whole worker list.
func (r *Reply) ListAll(inst uint16) { r.header(actList, inst, 0) }

// Release appends a request to close idle connections to a worker.
func (r *Reply) Release(inst uint16, worker uint32) {
	r.header(actRelease, inst, 4)
	r.u32(worker)
}

// Inspect appends a probe of a worker.
func (r *Reply) Inspect(inst uint16, worker uint32) {
	r.header(actInspect, inst, 4)
	r.u32(worker)
}

func (r *Reply) header(code uint8, inst uint16, n int) {
	r.b = append(r.b, code)
	r.u32(uint32(n + 2))
	r.b = binary.BigEndian.AppendUint16(r.b, inst)
}

func (r *Reply) u32(v uint32) { r.b = binary.BigEndian.AppendUint32(r.b, v) }

func (r *Reply) lengthPrefixed(t []byte) {
	r.b = binary.BigEndian.AppendUint16(r.b, uint16(len(t)))
	r.b = append(r.b, t...)
}

func clamp32(v int64) uint32 { return uint32(max(0, min(v, math.MaxUint32))) }
