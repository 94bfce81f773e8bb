package store

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"granitewing/internal/system/message"
	"granitewing/internal/system/segment"
)

// loadedRecord is a record as a start reads it: what the index doesn't keep, a message's bytes above all, is passed over.
// Its fields are those of record, in the same order.
type loadedRecord struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Kind       recordKind
	Incomplete bool
	Founder    bool
	Disk       string
	Message    *loadedMessage
	ID         string
	Unit       string
	End        *message.End
	Wall       int64
}

// loadedMessage has the fields of message.Message, in the same order.
type loadedMessage struct {
	_msgpack  struct{} `msgpack:",as_array"`
	ID        string
	Unit      string
	Route     passedOver
	Host      passedOver
	Method    passedOver
	Target    passedOver
	Headers   passedOver
	Key       passedOver
	Callback  passedOver
	Body      passedOver
	Token     passedOver
	Sequence  passedOver
	Accepted  passedOver
	Delay     passedOver
	Retention time.Duration
}

// passedOver is a field that is not read.
type passedOver struct{}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (*passedOver) DecodeMsgpack(decoder *msgpack.Decoder) error { return decoder.Skip() }

func decodeLoaded(position segment.Position, payload []byte) (*loadedRecord, error) {
	var r loadedRecord
	if err := msgpack.Unmarshal(payload, &r); err != nil {
		return nil, &RecordError{Position: position, Err: err}
	}
	return &r, nil
}

// Load takes a record of the log at the start.
func (c *Core) Load(position segment.Position, payload []byte) error {
	r, err := decodeLoaded(position, payload)
	if err != nil {
		return err
	}
	c.count(position, payload)
	switch r.Kind {
	case recordStarted:
		c.started = true
		c.disk = r.Disk
		c.complete, c.founder = !r.Incomplete, r.Founder
	case recordComplete:
		c.complete = true
	case recordMessage:
		c.loadMessage(position, uint32(len(payload)), r)
	case recordVoid:
		c.void(c.loadedEntry(r), c.since(r.Wall))
	case recordEnd:
		c.end(c.loadedEntry(r), *r.End, c.since(r.Wall))
	case recordCallbackDone:
		if e := c.index.get(r.ID); e != nil {
			e.callbackOwed = false
		}
	}
	return nil
}

// loadedEntry is the entry of a record's message, which may be known by that record alone.
func (c *Core) loadedEntry(r *loadedRecord) *entry {
	if e := c.index.get(r.ID); e != nil {
		return e
	}
	return c.index.add(r.ID, r.Unit, c.since(r.Wall))
}

func (c *Core) loadMessage(position segment.Position, size uint32, r *loadedRecord) {
	e := c.index.get(r.Message.ID)
	if e == nil {
		e = c.index.add(r.Message.ID, r.Message.Unit, c.since(r.Wall))
	}
	if e.unit == "" {
		e.unit = r.Message.Unit
		c.index.join(e)
	}
	e.held, e.position, e.size, e.retention = true, position, size, r.Message.Retention
	e.shared = true
}
