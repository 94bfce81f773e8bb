package segment

import (
	"encoding/binary"
	"hash/crc32"
)

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
