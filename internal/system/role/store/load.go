package store

import (
	"bytes"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"granitewing/internal/system/message"
	"granitewing/internal/system/segment"
)

// loadedRecord is what a start reads of a record. The bytes of messages, which are most of the log, are skipped:
// every start reads the whole log, and no message is accepted until that is done.
type loadedRecord struct {
	Kind       recordKind
	Incomplete bool
	Founder    bool
	Disk       string
	ID         string // of the message, for every kind of record
	Unit       string
	Callback   bool // the message has a callback URL
	Delay      time.Duration
	Retention  time.Duration
	End        message.Outcome
	At         time.Duration // on the log's clock
}

// Numbers of fields. Records are arrays of the fields of record and of message.Message, in their order.
const (
	recordFields         = 9
	messageFields        = 15
	fieldsBeforeCallback = 6 // after the unit
	fieldsAfterCallback  = 4 // before the delay
)

// FieldsError reports a record whose number of fields differs from this program's.
type FieldsError struct{ Found, Wanted int }

func (e *FieldsError) Error() string {
	return fmt.Sprintf("array has %d fields, want %d", e.Found, e.Wanted)
}

// loader decodes records of the log, one after the other.
type loader struct {
	reader  bytes.Reader
	decoder *msgpack.Decoder
	units   map[string]string // interns unit names, so that all messages of a unit share one string
}

func newLoader() *loader {
	return &loader{decoder: msgpack.NewDecoder(nil), units: map[string]string{}}
}

func (l *loader) read(position segment.Position, payload []byte) (loadedRecord, error) {
	l.reader.Reset(payload)
	l.decoder.Reset(&l.reader)
	var r loadedRecord
	if err := l.readRecord(&r); err != nil {
		return r, &RecordError{Position: position, Err: err}
	}
	return r, nil
}

// fieldReader reads the next field of an array into its destination.
type fieldReader func() error

func readFields(fields ...fieldReader) error {
	for _, read := range fields {
		if err := read(); err != nil {
			return err
		}
	}
	return nil
}

func (l *loader) expectArray(wanted int) error {
	found, err := l.decoder.DecodeArrayLen()
	if err == nil && found != wanted {
		return &FieldsError{Found: found, Wanted: wanted}
	}
	return err
}

func (l *loader) readRecord(r *loadedRecord) error {
	if err := l.expectArray(recordFields); err != nil {
		return err
	}
	d := l.decoder
	kind, err := d.DecodeUint8()
	if err != nil {
		return err
	}
	r.Kind = recordKind(kind)
	return readFields(
		func() (err error) { r.Incomplete, err = d.DecodeBool(); return err },
		func() (err error) { r.Founder, err = d.DecodeBool(); return err },
		func() (err error) { r.Disk, err = d.DecodeString(); return err },
		func() error { return l.readMessage(r) },
		func() error { return l.readNonEmptyString(&r.ID) },
		func() error { return l.readUnit(r) },
		func() error { return l.readEnd(r) },
		func() error { return l.readDuration(&r.At) },
	)
}

// readMessage reads what the index keeps of a message. Most kinds of records have no message.
func (l *loader) readMessage(r *loadedRecord) error {
	if done, err := l.skipNil(); done || err != nil {
		return err
	}
	if err := l.expectArray(messageFields); err != nil {
		return err
	}
	return readFields(
		func() error { return l.readNonEmptyString(&r.ID) },
		func() error { return l.readUnit(r) },
		func() error { return l.skipFields(fieldsBeforeCallback) },
		func() error { return l.readCallback(r) },
		func() error { return l.skipFields(fieldsAfterCallback) },
		func() error { return l.readDuration(&r.Delay) },
		func() error { return l.readDuration(&r.Retention) },
	)
}

// skipFields skips a number of fields.
func (l *loader) skipFields(fields int) error {
	for range fields {
		if err := l.decoder.Skip(); err != nil {
			return err
		}
	}
	return nil
}

func (l *loader) readCallback(r *loadedRecord) error {
	length, err := l.decoder.DecodeBytesLen()
	if err != nil {
		return err
	}
	r.Callback = length > 0
	return l.decoder.ReadFull(make([]byte, max(0, length)))
}

func (l *loader) skipNil() (bool, error) {
	code, err := l.decoder.PeekCode()
	if err != nil || code != msgpcode.Nil {
		return false, err
	}
	return true, l.decoder.DecodeNil()
}

func (l *loader) readDuration(at *time.Duration) error {
	nanoseconds, err := l.decoder.DecodeInt64()
	*at = time.Duration(nanoseconds)
	return err
}

// readNonEmptyString reads a string and leaves the destination unchanged if the string is empty.
func (l *loader) readNonEmptyString(name *string) error {
	text, err := l.decoder.DecodeString()
	if text != "" {
		*name = text
	}
	return err
}

func (l *loader) readUnit(r *loadedRecord) error {
	if err := l.readNonEmptyString(&r.Unit); err != nil {
		return err
	}
	interned, found := l.units[r.Unit]
	if !found {
		l.units[r.Unit] = r.Unit
		return nil
	}
	r.Unit = interned
	return nil
}

func (l *loader) readEnd(r *loadedRecord) error {
	if done, err := l.skipNil(); done || err != nil {
		return err
	}
	return l.decoder.Decode(&r.End)
}

// Load applies a record of the log during the replay at start. It returns a RecordError if the record can't be
// decoded.
func (c *Core) Load(position segment.Position, payload []byte) error {
	if c.loader == nil {
		c.loader = newLoader()
	}
	r, err := c.loader.read(position, payload)
	if err != nil {
		return err
	}
	c.addSize(position, payload)
	c.clock.advanceTo(r.At)
	switch r.Kind {
	case recordStarted:
		c.started = true
		c.disk = r.Disk
		c.complete, c.bootstrapDisk = !r.Incomplete, r.Founder
	case recordComplete:
		c.complete = true
	case recordMessage:
		c.loadMessage(position, &r)
	case recordVoid:
		c.markVoid(c.entryFor(&r), r.At)
	case recordEnd:
		c.setOutcome(c.entryFor(&r), r.End, r.At)
	case recordFenced:
		c.takenOver.add(r.Unit)
		c.takenOver.markDurable(r.Unit)
	case recordAge:
		c.loadAge(&r)
	case recordCallbackDone:
		if e := c.index.get(r.ID); e != nil {
			e.callbackOwed = false
		}
	}
	return nil
}

// entryFor returns the entry of a record's message, and creates it if the record is the first for that message.
func (c *Core) entryFor(r *loadedRecord) *entry {
	if e := c.index.get(r.ID); e != nil {
		return e
	}
	return c.index.add(r.ID, r.Unit, r.At)
}

func (c *Core) loadMessage(position segment.Position, r *loadedRecord) {
	e := c.entryFor(r)
	c.index.joinUnit(e, r.Unit)
	e.held, e.position, e.lifetime, e.hasCallback = true, position, r.Delay+r.Retention, r.Callback
	e.shared = true
}
