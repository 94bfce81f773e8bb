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

// loadedRecord is what a start reads of a record. A message's bytes, which are most of the log, are passed over: every
// start reads the whole log, and what is accepted waits for it.
type loadedRecord struct {
	Kind       recordKind
	Incomplete bool
	Founder    bool
	Disk       string
	ID         string // of the message, whichever kind of record it is
	Unit       string
	Callback   bool // the message has a call-back URL
	Retention  time.Duration
	End        message.End
	At         time.Duration // on the log's clock
}

// Numbers of fields: the records are arrays, in the order of the fields of record and of message.Message.
const (
	recordFields         = 9
	messageFields        = 15
	fieldsBeforeCallback = 6 // behind the unit
	fieldsBehindCallback = 5 // before the retention
)

// FieldsError tells of a record with other fields than this program's.
type FieldsError struct{ Found, Wanted int }

func (e *FieldsError) Error() string {
	return fmt.Sprintf("%d fields instead of %d", e.Found, e.Wanted)
}

// loader reads records of the log, one after the other.
type loader struct {
	reader  bytes.Reader
	decoder *msgpack.Decoder
	units   map[string]string // one string for all messages of a unit
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

// field is one field of an array, read into its place.
type field func() error

func inOrder(fields ...field) error {
	for _, read := range fields {
		if err := read(); err != nil {
			return err
		}
	}
	return nil
}

func (l *loader) arrayOf(wanted int) error {
	found, err := l.decoder.DecodeArrayLen()
	if err == nil && found != wanted {
		return &FieldsError{Found: found, Wanted: wanted}
	}
	return err
}

func (l *loader) readRecord(r *loadedRecord) error {
	if err := l.arrayOf(recordFields); err != nil {
		return err
	}
	d := l.decoder
	kind, err := d.DecodeUint8()
	if err != nil {
		return err
	}
	r.Kind = recordKind(kind)
	return inOrder(
		func() (err error) { r.Incomplete, err = d.DecodeBool(); return err },
		func() (err error) { r.Founder, err = d.DecodeBool(); return err },
		func() (err error) { r.Disk, err = d.DecodeString(); return err },
		func() error { return l.readMessage(r) },
		func() error { return l.readName(&r.ID) },
		func() error { return l.readUnit(r) },
		func() error { return l.readEnd(r) },
		func() error { return l.readTime(&r.At) },
	)
}

// readMessage reads what the index keeps of a message; most kinds of records have none.
func (l *loader) readMessage(r *loadedRecord) error {
	if done, err := l.nothing(); done || err != nil {
		return err
	}
	if err := l.arrayOf(messageFields); err != nil {
		return err
	}
	return inOrder(
		func() error { return l.readName(&r.ID) },
		func() error { return l.readUnit(r) },
		func() error { return l.pass(fieldsBeforeCallback) },
		func() error { return l.readCallback(r) },
		func() error { return l.pass(fieldsBehindCallback) },
		func() error { return l.readTime(&r.Retention) },
	)
}

// pass passes over so many fields.
func (l *loader) pass(fields int) error {
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

func (l *loader) nothing() (bool, error) {
	code, err := l.decoder.PeekCode()
	if err != nil || code != msgpcode.Nil {
		return false, err
	}
	return true, l.decoder.DecodeNil()
}

func (l *loader) readTime(at *time.Duration) error {
	nanoseconds, err := l.decoder.DecodeInt64()
	*at = time.Duration(nanoseconds)
	return err
}

// readName reads a text, which an empty one does not replace.
func (l *loader) readName(name *string) error {
	text, err := l.decoder.DecodeString()
	if text != "" {
		*name = text
	}
	return err
}

func (l *loader) readUnit(r *loadedRecord) error {
	if err := l.readName(&r.Unit); err != nil {
		return err
	}
	known, there := l.units[r.Unit]
	if !there {
		l.units[r.Unit] = r.Unit
		return nil
	}
	r.Unit = known
	return nil
}

func (l *loader) readEnd(r *loadedRecord) error {
	if done, err := l.nothing(); done || err != nil {
		return err
	}
	return l.decoder.Decode(&r.End)
}

// Load takes a record of the log at the start.
func (c *Core) Load(position segment.Position, payload []byte) error {
	if c.loader == nil {
		c.loader = newLoader()
	}
	r, err := c.loader.read(position, payload)
	if err != nil {
		return err
	}
	c.count(position, payload)
	c.clock.loaded(r.At)
	switch r.Kind {
	case recordStarted:
		c.started = true
		c.disk = r.Disk
		c.complete, c.founder = !r.Incomplete, r.Founder
	case recordComplete:
		c.complete = true
	case recordMessage:
		c.loadMessage(position, uint32(len(payload)), &r)
	case recordVoid:
		c.void(c.loadedEntry(&r), r.At)
	case recordEnd:
		c.end(c.loadedEntry(&r), r.End, r.At)
	case recordFenced:
		c.takenOver.add(r.Unit)
		c.takenOver.synced(r.Unit)
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
	return c.index.add(r.ID, r.Unit, r.At)
}

func (c *Core) loadMessage(position segment.Position, size uint32, r *loadedRecord) {
	e := c.loadedEntry(r)
	c.index.join(e, r.Unit)
	e.held, e.position, e.size, e.retention, e.callback = true, position, size, r.Retention, r.Callback
	e.shared = true
}
