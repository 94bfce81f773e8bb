package segment

import (
	"errors"
	"io"
)

// Replay calls visit for every complete record in order, and then begins a new segment; if the disk is full, the
// first Append begins it instead. A payload is valid until visit returns. Within a segment replay stops at the
// first incomplete record, since anything after it was never synced. Each file is synced before it is read, so that
// the caller does not act on records that a loss of power could still remove. Replay stops at the first error of
// visit and returns it; its own errors are *FileError.
func (l *Log) Replay(visit func(position Position, payload []byte) error) error {
	for _, number := range l.segments {
		if err := l.replaySegment(number, visit); err != nil {
			return err
		}
	}
	l.replayBuffer = nil
	err := l.rotate()
	if IsDiskFull(err) {
		l.needsSegment = true
		return nil
	}
	return err
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

// readSynced syncs a file and returns its content, which is valid until the next call: all segments share one buffer.
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
		if length == len(l.replayBuffer) {
			l.replayBuffer = append(l.replayBuffer, make([]byte, max(minReplayBuffer, len(l.replayBuffer)))...)
		}
		count, err := file.ReadAt(l.replayBuffer[length:], int64(length))
		length += count
		if errors.Is(err, io.EOF) {
			return l.replayBuffer[:length], nil
		}
		if err != nil {
			return nil, &FileError{Operation: "read", Name: name, Err: err}
		}
	}
}
