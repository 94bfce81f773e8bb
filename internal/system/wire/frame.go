// Package wire defines the protocol between the roles (carriers, keepers and stores), and the headers of the HTTP
// protocol that they speak with clients and workers.
//
// A connection is a byte stream that starts with the Preamble, followed by frames. A Frame carries a call, its answer,
// or a push, which has no answer. Its Kind determines the type of the payload, one of the Body and Answer types of this
// package, encoded in msgpack by Encode and Decode. The payload of a feed update has its own encoding, by EncodeUpdate
// and DecodeUpdate. The types are encoded as arrays: their fields keep their order, and new ones are appended.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// Preamble is sent first on each connection, so that a peer with another protocol is detected at once.
const Preamble = "gwsystem1\n"

// MaxFrame is the maximum length of a frame in bytes, without the length field itself.
const MaxFrame = 32 << 20

const frameHeaderSize = 4 + 8 + 1 // length of the rest of the frame, call, kind

// Frame is a call, its answer, or a push.
type Frame struct {
	Call    uint64 // number chosen by the caller and repeated in the answer; 0 for a push
	Kind    Kind
	Payload []byte
}

// FrameError is the error for bytes that are not a frame.
type FrameError struct{ Reason string }

func (e *FrameError) Error() string { return "invalid frame from peer: " + e.Reason }

// PayloadError is the error for a payload that cannot be decoded as the type of its kind.
type PayloadError struct {
	Kind Kind
	Err  error
}

func (e *PayloadError) Error() string {
	return fmt.Sprintf("payload of kind %d: %v", e.Kind, e.Err)
}

func (e *PayloadError) Unwrap() error { return e.Err }

// AppendFrame appends an encoded frame to buffer and returns the extended buffer.
func AppendFrame(buffer []byte, frame Frame) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(frameHeaderSize-4+len(frame.Payload)))
	buffer = binary.LittleEndian.AppendUint64(buffer, frame.Call)
	buffer = append(buffer, byte(frame.Kind))
	return append(buffer, frame.Payload...)
}

// ReadFrame reads the next frame. It returns a *FrameError if the length field is out of range, and else the reader's
// error.
func ReadFrame(reader io.Reader) (Frame, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return Frame{}, err
	}
	length := binary.LittleEndian.Uint32(header[0:])
	if length < frameHeaderSize-4 || length > MaxFrame {
		return Frame{}, &FrameError{Reason: fmt.Sprintf("length %d", length)}
	}
	frame := Frame{Call: binary.LittleEndian.Uint64(header[4:]), Kind: Kind(header[12])}
	frame.Payload = make([]byte, length-(frameHeaderSize-4))
	if _, err := io.ReadFull(reader, frame.Payload); err != nil {
		return Frame{}, err
	}
	return frame, nil
}

// Encode returns the payload of a body. It panics if msgpack cannot encode the type, which never happens with the types
// of this package.
func Encode(body any) []byte {
	payload, err := msgpack.Marshal(body)
	if err != nil {
		panic(err) // a programming error: the body is of a type that msgpack cannot encode
	}
	return payload
}

// Decode decodes a payload into body, a pointer. Its errors are of type *PayloadError, with the given kind.
func Decode(kind Kind, payload []byte, body any) error {
	if err := msgpack.Unmarshal(payload, body); err != nil {
		return &PayloadError{Kind: kind, Err: err}
	}
	return nil
}

// Answerer answers one call, by exactly one of its methods.
type Answerer interface {
	// Answer answers with the body of the call's answer.
	Answer(body any)
	// Refuse reports that the call could not be carried out.
	Refuse(body RefusalBody)
}

// UnknownCallError is the error for a call of a kind that a role does not serve.
type UnknownCallError struct{ Kind Kind }

func (e *UnknownCallError) Error() string { return fmt.Sprintf("unknown call of kind %d", e.Kind) }
