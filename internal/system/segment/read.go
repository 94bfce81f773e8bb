package segment

import "encoding/binary"

// Read returns the payload of the record at a position. The error is a *MissingRecordError if there is no complete
// record, or a *FileError. A position past the end of a segment gives a *FileError for io.EOF or
// io.ErrUnexpectedEOF.
func (l *Log) Read(position Position) ([]byte, error) {
	reader, err := l.reader(position.Segment)
	if err != nil {
		return nil, err
	}
	var header [recordHeaderSize]byte
	if _, err := reader.ReadAt(header[:], int64(position.Offset)); err != nil {
		return nil, &FileError{Operation: "read", Name: fileName(position.Segment), Err: err}
	}
	length := binary.LittleEndian.Uint32(header[0:])
	if length > maxPayload || binary.LittleEndian.Uint32(header[4:]) != headerChecksum(position, length) {
		return nil, &MissingRecordError{Position: position}
	}
	record := make([]byte, recordHeaderSize+int(length))
	if _, err := reader.ReadAt(record, int64(position.Offset)); err != nil {
		return nil, &FileError{Operation: "read", Name: fileName(position.Segment), Err: err}
	}
	payload, size := decode(position, record)
	if size == 0 {
		return nil, &MissingRecordError{Position: position}
	}
	return payload, nil
}

// reader returns an open file of a segment. At most maxReaders older segments stay open; an arbitrary one is closed
// to make room.
func (l *Log) reader(segment uint64) (File, error) {
	if segment == l.CurrentSegment() && l.current != nil {
		return l.current, nil
	}
	if reader := l.readers[segment]; reader != nil {
		return reader, nil
	}
	reader, err := l.files.Open(fileName(segment))
	if err != nil {
		return nil, &FileError{Operation: "open", Name: fileName(segment), Err: err}
	}
	const maxReaders = 32
	if len(l.readers) >= maxReaders {
		for number, other := range l.readers {
			other.Close()
			delete(l.readers, number)
			break
		}
	}
	l.readers[segment] = reader
	return reader, nil
}
