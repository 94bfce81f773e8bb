package segment

import (
	"encoding/binary"
	"hash/crc32"
)

// encode appends a record to buffer. The header's checksum covers the position, so that leftover bytes of an older
// file, or of another position, are not taken for a record.
func encode(buffer []byte, position Position, payload []byte) []byte {
	var header [recordHeaderSize]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], headerChecksum(position, uint32(len(payload))))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(payload, castagnoli))
	return append(append(buffer, header[:]...), payload...)
}

// headerChecksum returns the checksum of a record's position and payload length.
func headerChecksum(position Position, length uint32) uint32 {
	var fields [16]byte
	binary.LittleEndian.PutUint64(fields[0:], position.Segment)
	binary.LittleEndian.PutUint32(fields[8:], position.Offset)
	binary.LittleEndian.PutUint32(fields[12:], length)
	return crc32.Checksum(fields[:], castagnoli)
}

// decode reads the record at the start of data, whose position in the log is given. size is the length of the
// record with its header, or 0 if data does not begin with a complete record. payload is a part of data.
func decode(position Position, data []byte) (payload []byte, size int) {
	if len(data) < recordHeaderSize {
		return nil, 0
	}
	length := binary.LittleEndian.Uint32(data[0:])
	if length > maxPayload || binary.LittleEndian.Uint32(data[4:]) != headerChecksum(position, length) {
		return nil, 0
	}
	end := recordHeaderSize + int(length)
	if len(data) < end {
		return nil, 0
	}
	payload = data[recordHeaderSize:end]
	if binary.LittleEndian.Uint32(data[8:]) != crc32.Checksum(payload, castagnoli) {
		return nil, 0
	}
	return payload, end
}
