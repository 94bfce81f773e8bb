package wire

import (
	"fmt"

	"github.com/klauspost/compress/s2"

	"granitewing/internal/system/feed"
)

// Values of the first byte of a feed update's payload.
const (
	updatePlain      = 0
	updateCompressed = 1
)

const (
	compressThreshold = 1 << 10  // bytes; smaller updates are sent without compression
	maxUpdateSize     = 64 << 20 // bytes of an update after decompression
)

// UpdateError is the error for a feed update whose encoding is invalid.
type UpdateError struct{ Reason string }

func (e *UpdateError) Error() string { return "invalid feed update: " + e.Reason }

// EncodeUpdate returns the payload of a feed update. Updates of 1 KiB or more, such as snapshots, are compressed: every
// member gets a snapshot whenever the leader of the sessions group changes.
func EncodeUpdate(update *feed.Update) []byte {
	encoded := Encode(update)
	if len(encoded) < compressThreshold {
		return append([]byte{updatePlain}, encoded...)
	}
	payload := make([]byte, 1+s2.MaxEncodedLen(len(encoded)))
	payload[0] = updateCompressed
	compressed := s2.EncodeBetter(payload[1:], encoded)
	return append([]byte(nil), payload[:1+len(compressed)]...)
}

// DecodeUpdate decodes the payload of a feed update. Its errors are of type *UpdateError or *PayloadError.
func DecodeUpdate(payload []byte) (feed.Update, error) {
	var update feed.Update
	if len(payload) == 0 {
		return update, &UpdateError{Reason: "empty payload"}
	}
	encoded := payload[1:]
	switch payload[0] {
	case updatePlain:
	case updateCompressed:
		length, err := s2.DecodedLen(encoded)
		if err != nil || length > maxUpdateSize {
			return update, &UpdateError{Reason: fmt.Sprintf("decompressed length of %d bytes, %v", length, err)}
		}
		if encoded, err = s2.Decode(nil, encoded); err != nil {
			return update, &UpdateError{Reason: err.Error()}
		}
	default:
		return update, &UpdateError{Reason: fmt.Sprintf("unknown encoding %d", payload[0])}
	}
	return update, Decode(FeedUpdate, encoded, &update)
}
