package segment

import (
	"errors"
	"fmt"
	"hash/crc32"
	"strings"
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
	torn     bool // the last write, or the first segment of this life, found no room: the next Append begins a segment
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

// Append writes records at the end, in one write; they count after the next Sync.
func (l *Log) Append(payloads ...[]byte) ([]Position, error) {
	if l.broken != nil {
		return nil, &BrokenError{Cause: l.broken}
	}
	if l.torn {
		if err := l.rotate(); err != nil {
			return nil, noRoom(err)
		}
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
	if l.current == nil {
		return nil // nothing was written in this life
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

// Current is the number of the newest segment, 0 where there is none.
func (l *Log) Current() uint64 {
	if len(l.segments) == 0 {
		return 0
	}
	return l.segments[len(l.segments)-1]
}

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
	return noRoom(l.rotate())
}

func (l *Log) rotate() error {
	next := l.Current() + 1
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
	l.current, l.offset, l.torn = file, 0, false
	l.segments = append(l.segments, next)
	return nil
}

// Close closes all files. What was not synced may be lost.
func (l *Log) Close() {
	if l.current != nil {
		l.current.Close()
		l.current = nil
	}
	for number, reader := range l.readers {
		reader.Close()
		delete(l.readers, number)
	}
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
