package wire

import (
	"fmt"

	"github.com/klauspost/compress/s2"

	"granitewing/internal/system/feed"
)

// The first byte of a feed update's payload.
const (
	updatePlain      = 0
	updateCompressed = 1
)

const (
	compressFrom = 1 << 10  // bytes of an update; smaller ones go as they are
	maxUpdate    = 64 << 20 // bytes of an update that is not compressed
)

// UpdateError tells of a feed update that can't be read.
type UpdateError struct{ Reason string }

func (e *UpdateError) Error() string { return "feed update: " + e.Reason }

// EncodeUpdate gives the payload of a feed update. A whole table is compressed: every member gets one whenever the leader of the
// sessions changes.
func EncodeUpdate(update *feed.Update) []byte {
	encoded := Encode(update)
	if len(encoded) < compressFrom {
		return append([]byte{updatePlain}, encoded...)
	}
	payload := make([]byte, 1+s2.MaxEncodedLen(len(encoded)))
	payload[0] = updateCompressed
	compressed := s2.EncodeBetter(payload[1:], encoded)
	return append([]byte(nil), payload[:1+len(compressed)]...)
}

// DecodeUpdate reads the payload of a feed update.
func DecodeUpdate(payload []byte) (feed.Update, error) {
	var update feed.Update
	if len(payload) == 0 {
		return update, &UpdateError{Reason: "it is empty"}
	}
	encoded := payload[1:]
	switch payload[0] {
	case updatePlain:
	case updateCompressed:
		length, err := s2.DecodedLen(encoded)
		if err != nil || length > maxUpdate {
			return update, &UpdateError{Reason: fmt.Sprintf("%d bytes, %v", length, err)}
		}
		if encoded, err = s2.Decode(nil, encoded); err != nil {
			return update, &UpdateError{Reason: err.Error()}
		}
	default:
		return update, &UpdateError{Reason: fmt.Sprintf("it begins with %d", payload[0])}
	}
	return update, Decode(FeedUpdate, encoded, &update)
}
