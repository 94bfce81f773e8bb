package segment

import (
	"errors"
	"fmt"
	"hash/crc32"
	"strings"
)

// Format and sizes, in bytes.
const (
	recordHeaderSize     = 12       // payload length, checksum of position and length, checksum of the payload; 4 bytes each
	maxPayload           = 64 << 20 // a header with a greater length is no record
	segmentPrefix        = "segment-"
	defaultSegmentLength = 8 << 20 // a segment that has reached its length gets no more records

	minReplayBuffer = 256 << 10 // first size of the replay buffer; it doubles as needed
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Position is the position of a record: the number of its segment and the byte offset of its header in it.
type Position struct {
	Segment uint64
	Offset  uint32
}

// Log is a write-ahead log in the segment files of one directory. It is not safe for concurrent use.
type Log struct {
	files         Directory
	segments      []uint64        // segment numbers, ascending; the last is written to
	current       File            // newest segment; nil until Replay or Append has created one
	offset        uint32          // end of the records in current
	segmentLength uint32          // length in bytes at which the next segment begins
	broken        error           // cause, after a failed write or sync
	needsSegment  bool            // the disk was full at the last write or first rotation: the next Append rotates
	buffer        []byte          // encoded records of one Append, reused
	readers       map[uint64]File // open older segments, by number
	replayBuffer  []byte          // content of the segment that Replay reads, reused
}

// Open reads the list of segments. Records are appended to a new segment, so that the torn end of an older one is
// never overwritten. A segment is closed for writes at segmentLength bytes; 0 means 8 MiB. Replay must be called
// before the first Append, since it creates the segment that Append writes to; this is not checked. The error is a
// *FileError.
func Open(files Directory, segmentLength uint32) (*Log, error) {
	if segmentLength == 0 {
		segmentLength = defaultSegmentLength
	}
	names, err := files.List()
	if err != nil {
		return nil, &FileError{Operation: "list", Name: "log directory", Err: err}
	}
	log := &Log{files: files, segmentLength: segmentLength, readers: map[uint64]File{}}
	for _, name := range names {
		var number uint64
		if !strings.HasPrefix(name, segmentPrefix) {
			continue
		}
		if _, err := fmt.Sscanf(name, segmentPrefix+"%016x", &number); err == nil {
			log.segments = append(log.segments, number)
		}
	}
	return log, nil
}

func fileName(number uint64) string { return fmt.Sprintf(segmentPrefix+"%016x", number) }

// Empty reports whether the log has no segment. Before Replay that means that the directory holds no log.
func (l *Log) Empty() bool { return len(l.segments) == 0 }

// Append writes records to the end of the log in a single write and returns their positions. They are durable after
// the next Sync. The error is a *DiskFullError if the disk is full, a *FailedError after a failed write or sync, or a
// *FileError if no new segment could be created.
func (l *Log) Append(payloads ...[]byte) ([]Position, error) {
	if l.broken != nil {
		return nil, &FailedError{Cause: l.broken}
	}
	if l.needsSegment {
		if err := l.rotate(); err != nil {
			return nil, asFullError(err)
		}
	}
	if l.offset >= l.segmentLength {
		if err := l.Sync(); err != nil {
			return nil, err
		}
		if err := l.rotate(); err != nil {
			return nil, asFullError(err)
		}
	}
	positions := make([]Position, len(payloads))
	l.buffer = l.buffer[:0]
	for i, payload := range payloads {
		positions[i] = Position{Segment: l.CurrentSegment(), Offset: l.offset + uint32(len(l.buffer))}
		l.buffer = encode(l.buffer, positions[i], payload)
	}
	if _, err := l.current.Write(l.buffer); err != nil {
		var full *DiskFullError
		if err := asFullError(err); errors.As(err, &full) {
			l.needsSegment = true
			return nil, full
		}
		return nil, l.fail("write", err)
	}
	l.offset += uint32(len(l.buffer))
	const maxKeptBuffer = 1 << 20
	if cap(l.buffer) > maxKeptBuffer {
		l.buffer = nil
	}
	return positions, nil
}

// Sync makes all appended records durable. After a failure it returns a *FailedError, and the log accepts no more
// records.
func (l *Log) Sync() error {
	if l.broken != nil {
		return &FailedError{Cause: l.broken}
	}
	if l.current == nil {
		return nil // nothing was written since Open
	}
	if err := l.current.Sync(); err != nil {
		return l.fail("sync", err)
	}
	return nil
}

func (l *Log) fail(operation string, err error) error {
	l.broken = &FileError{Operation: operation, Name: fileName(l.CurrentSegment()), Err: err}
	return &FailedError{Cause: l.broken}
}

// CurrentSegment returns the number of the newest segment, or 0 if there is none.
func (l *Log) CurrentSegment() uint64 {
	if len(l.segments) == 0 {
		return 0
	}
	return l.segments[len(l.segments)-1]
}

// Segments returns the numbers of all segments, oldest first.
func (l *Log) Segments() []uint64 { return append([]uint64(nil), l.segments...) }

// Rotate syncs the current segment and begins a new one. Errors are those of Append and Sync.
func (l *Log) Rotate() error {
	if l.broken != nil {
		return &FailedError{Cause: l.broken}
	}
	if err := l.Sync(); err != nil {
		return err
	}
	return asFullError(l.rotate())
}

// rotate creates the next segment and makes its directory entry durable before anything is written to it.
func (l *Log) rotate() error {
	next := l.CurrentSegment() + 1
	file, err := l.files.Create(fileName(next))
	if err != nil {
		return &FileError{Operation: "create", Name: fileName(next), Err: err}
	}
	if err := l.files.SyncDir(); err != nil {
		file.Close()
		return &FileError{Operation: "sync directory after creating", Name: fileName(next), Err: err}
	}
	if l.current != nil {
		l.current.Close()
	}
	l.current, l.offset, l.needsSegment = file, 0, false
	l.segments = append(l.segments, next)
	return nil
}

// Close closes all files. Records that were not synced may be lost.
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

// RemoveOldestSegment removes the oldest segment, unless it is the only one. The removal is durable when it returns, so
// that no later segment can disappear before it. The error is a *FileError.
func (l *Log) RemoveOldestSegment() error {
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
	if err := l.files.SyncDir(); err != nil {
		return &FileError{Operation: "sync directory after removing", Name: fileName(oldest), Err: err}
	}
	l.segments = l.segments[1:]
	return nil
}
