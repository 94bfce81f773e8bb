package segment

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"strings"
	"syscall"
)

// Sizes of the format.
const (
	recordHeader  = 12 // length, check of the length and place, check of the payload; 4 bytes each
	maxRecord     = 64 << 20
	namePrefix    = "segment-"
	defaultLength = 8 << 20

	firstReplayBuffer = 256 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// FileError is a failed call on a file.
type FileError struct {
	Operation string
	Name      string
	Err       error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s %s: %v", e.Operation, e.Name, e.Err) }

func (e *FileError) Unwrap() error { return e.Err }

// BrokenError answers every call after a write or a sync failed: whether the disk holds what was written is not known,
// and a later sync that succeeds would prove nothing.
type BrokenError struct{ Cause error }

func (e *BrokenError) Error() string {
	return fmt.Sprintf("the log takes no more records: %v", e.Cause)
}

func (e *BrokenError) Unwrap() error { return e.Cause }

// FullError tells that the disk has no room. Nothing of the write counts; a later one may succeed.
type FullError struct{ Err error }

func (e *FullError) Error() string { return fmt.Sprintf("the disk is full: %v", e.Err) }

func (e *FullError) Unwrap() error { return e.Err }

// noRoom makes a FullError of an error that says so, and leaves others.
func noRoom(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return &FullError{Err: err}
	}
	return err
}

// MissingRecordError answers a read of a place that holds no whole record.
type MissingRecordError struct{ Position Position }

func (e *MissingRecordError) Error() string {
	return fmt.Sprintf("no record at segment %d offset %d", e.Position.Segment, e.Position.Offset)
}

// Position of a record.
type Position struct {
	Segment uint64
	Offset  uint32
}

// Log is the segments of one folder. It belongs to one goroutine.
type Log struct {
	files    Files
	segments []uint64 // numbers of the segments, ascending; the last is written to
	current  File
	offset   uint32
	length   uint32
	broken   error
	torn     bool // the last write found no room: what it left is no record, and nothing may follow it
	buffer   []byte
	readers  map[uint64]File
	replayed []byte // buffer of Replay
}

// Open reads the folder. Records are appended to a new segment, so that a torn tail is never written over. Replay must
// be called before the first Append.
func Open(files Files, segmentLength uint32) (*Log, error) {
	if segmentLength == 0 {
		segmentLength = defaultLength
	}
	names, err := files.List()
	if err != nil {
		return nil, &FileError{Operation: "list", Name: "log folder", Err: err}
	}
	log := &Log{files: files, length: segmentLength, readers: map[uint64]File{}}
	for _, name := range names {
		var number uint64
		if !strings.HasPrefix(name, namePrefix) {
			continue
		}
		if _, err := fmt.Sscanf(name, namePrefix+"%016x", &number); err == nil {
			log.segments = append(log.segments, number)
		}
	}
	return log, nil
}

func fileName(number uint64) string { return fmt.Sprintf(namePrefix+"%016x", number) }

// Empty tells whether the folder held no segment.
func (l *Log) Empty() bool { return len(l.segments) == 0 }

// Replay hands over every whole record in order, then opens a new segment. A payload stands until visit returns. Within a segment it stops at the first record
// that is not whole: what follows was never synced. The files are synced first, so that nothing is acted on which a
// loss of power could still take away.
func (l *Log) Replay(visit func(position Position, payload []byte) error) error {
	for _, number := range l.segments {
		if err := l.replaySegment(number, visit); err != nil {
			return err
		}
	}
	l.replayed = nil
	return l.rotate()
}

func (l *Log) replaySegment(number uint64, visit func(Position, []byte) error) error {
	data, err := l.readSynced(fileName(number))
	if err != nil {
		return err
	}
	offset := 0
	for {
		position := Position{Segment: number, Offset: uint32(offset)}
		payload, size := decode(position, data[offset:])
		if size == 0 {
			return nil
		}
		if err := visit(position, payload); err != nil {
			return err
		}
		offset += size
	}
}

// readSynced syncs a file and gives its bytes, which stand until the next call: all segments are read into one buffer.
func (l *Log) readSynced(name string) ([]byte, error) {
	file, err := l.files.Open(name)
	if err != nil {
		return nil, &FileError{Operation: "open", Name: name, Err: err}
	}
	defer file.Close()
	if err := file.Sync(); err != nil {
		return nil, &FileError{Operation: "sync", Name: name, Err: err}
	}
	length := 0
	for {
		if length == len(l.replayed) {
			l.replayed = append(l.replayed, make([]byte, max(firstReplayBuffer, len(l.replayed)))...)
		}
		count, err := file.ReadAt(l.replayed[length:], int64(length))
		length += count
		if errors.Is(err, io.EOF) {
			return l.replayed[:length], nil
		}
		if err != nil {
			return nil, &FileError{Operation: "read", Name: name, Err: err}
		}
	}
}

// encode appends a record to buffer. The place is part of the checks, so that bytes of an older file are no record.
func encode(buffer []byte, position Position, payload []byte) []byte {
	var header [recordHeader]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], placeCheck(position, uint32(len(payload))))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(payload, castagnoli))
	return append(append(buffer, header[:]...), payload...)
}

func placeCheck(position Position, length uint32) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[0:], position.Segment)
	binary.LittleEndian.PutUint32(place[8:], position.Offset)
	binary.LittleEndian.PutUint32(place[12:], length)
	return crc32.Checksum(place[:], castagnoli)
}

// decode reads the record at the start of data; size is 0 where there is no whole one.
func decode(position Position, data []byte) (payload []byte, size int) {
	if len(data) < recordHeader {
		return nil, 0
	}
	length := binary.LittleEndian.Uint32(data[0:])
	if length > maxRecord || binary.LittleEndian.Uint32(data[4:]) != placeCheck(position, length) {
		return nil, 0
	}
	end := recordHeader + int(length)
	if len(data) < end {
		return nil, 0
	}
	payload = data[recordHeader:end]
	if binary.LittleEndian.Uint32(data[8:]) != crc32.Checksum(payload, castagnoli) {
		return nil, 0
	}
	return payload, end
}

// Append writes records at the end, in one write; they count after the next Sync.
func (l *Log) Append(payloads ...[]byte) ([]Position, error) {
	if l.broken != nil {
		return nil, &BrokenError{Cause: l.broken}
	}
	if l.torn {
		if err := l.rotate(); err != nil {
			return nil, noRoom(err)
		}
		l.torn = false
	}
	if l.offset >= l.length {
		if err := l.Sync(); err != nil {
			return nil, err
		}
		if err := l.rotate(); err != nil {
			return nil, noRoom(err)
		}
	}
	positions := make([]Position, len(payloads))
	l.buffer = l.buffer[:0]
	for i, payload := range payloads {
		positions[i] = Position{Segment: l.Current(), Offset: l.offset + uint32(len(l.buffer))}
		l.buffer = encode(l.buffer, positions[i], payload)
	}
	if _, err := l.current.Write(l.buffer); err != nil {
		var full *FullError
		if err := noRoom(err); errors.As(err, &full) {
			l.torn = true
			return nil, full
		}
		return nil, l.fail("write", err)
	}
	l.offset += uint32(len(l.buffer))
	const keptBuffer = 1 << 20
	if cap(l.buffer) > keptBuffer {
		l.buffer = nil
	}
	return positions, nil
}

// Sync makes all appended records durable. After a failure the log takes no more.
func (l *Log) Sync() error {
	if l.broken != nil {
		return &BrokenError{Cause: l.broken}
	}
	if err := l.current.Sync(); err != nil {
		return l.fail("sync", err)
	}
	return nil
}

func (l *Log) fail(operation string, err error) error {
	l.broken = &FileError{Operation: operation, Name: fileName(l.Current()), Err: err}
	return &BrokenError{Cause: l.broken}
}

// Current is the number of the segment that is written to.
func (l *Log) Current() uint64 { return l.segments[len(l.segments)-1] }

// Segments gives the numbers of all segments, oldest first.
func (l *Log) Segments() []uint64 { return append([]uint64(nil), l.segments...) }

// Rotate goes on in a new segment.
func (l *Log) Rotate() error {
	if l.broken != nil {
		return &BrokenError{Cause: l.broken}
	}
	if err := l.Sync(); err != nil {
		return err
	}
	return l.rotate()
}

func (l *Log) rotate() error {
	next := uint64(1)
	if len(l.segments) > 0 {
		next = l.Current() + 1
	}
	file, err := l.files.Create(fileName(next))
	if err != nil {
		return &FileError{Operation: "create", Name: fileName(next), Err: err}
	}
	if err := l.files.SyncFolder(); err != nil {
		file.Close()
		return &FileError{Operation: "sync folder for", Name: fileName(next), Err: err}
	}
	if l.current != nil {
		l.current.Close()
	}
	l.current, l.offset = file, 0
	l.segments = append(l.segments, next)
	return nil
}

// RemoveOldest removes the oldest segment and makes that durable, before a later one can be removed.
func (l *Log) RemoveOldest() error {
	if len(l.segments) < 2 {
		return nil
	}
	oldest := l.segments[0]
	if reader := l.readers[oldest]; reader != nil {
		reader.Close()
		delete(l.readers, oldest)
	}
	if err := l.files.Remove(fileName(oldest)); err != nil {
		return &FileError{Operation: "remove", Name: fileName(oldest), Err: err}
	}
	if err := l.files.SyncFolder(); err != nil {
		return &FileError{Operation: "sync folder without", Name: fileName(oldest), Err: err}
	}
	l.segments = l.segments[1:]
	return nil
}

// Read gives the payload of a record.
func (l *Log) Read(position Position) ([]byte, error) {
	reader, err := l.reader(position.Segment)
	if err != nil {
		return nil, err
	}
	var header [recordHeader]byte
	if _, err := reader.ReadAt(header[:], int64(position.Offset)); err != nil {
		return nil, &FileError{Operation: "read", Name: fileName(position.Segment), Err: err}
	}
	length := binary.LittleEndian.Uint32(header[0:])
	if length > maxRecord || binary.LittleEndian.Uint32(header[4:]) != placeCheck(position, length) {
		return nil, &MissingRecordError{Position: position}
	}
	record := make([]byte, recordHeader+int(length))
	if _, err := reader.ReadAt(record, int64(position.Offset)); err != nil {
		return nil, &FileError{Operation: "read", Name: fileName(position.Segment), Err: err}
	}
	payload, size := decode(position, record)
	if size == 0 {
		return nil, &MissingRecordError{Position: position}
	}
	return payload, nil
}

func (l *Log) reader(segment uint64) (File, error) {
	if segment == l.Current() {
		return l.current, nil
	}
	if reader := l.readers[segment]; reader != nil {
		return reader, nil
	}
	reader, err := l.files.Open(fileName(segment))
	if err != nil {
		return nil, &FileError{Operation: "open", Name: fileName(segment), Err: err}
	}
	const mostReaders = 32
	if len(l.readers) >= mostReaders {
		for number, other := range l.readers {
			other.Close()
			delete(l.readers, number)
			break
		}
	}
	l.readers[segment] = reader
	return reader, nil
}
