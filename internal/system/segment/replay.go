package segment

import (
	"errors"
	"io"
)

// Replay hands over every whole record in order, then opens a new segment; where the disk has no room for one, the first
// Append does. A payload stands until visit returns. Within a segment it stops at the first record that is not whole: what
// follows was never synced. The files are synced first, so that nothing is acted on which a loss of power could still take
// away.
func (l *Log) Replay(visit func(position Position, payload []byte) error) error {
	for _, number := range l.segments {
		if err := l.replaySegment(number, visit); err != nil {
			return err
		}
	}
	l.replayed = nil
	err := l.rotate()
	if IsFull(err) {
		l.torn = true
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
