// Package wire is what the roles say to each other: frames over a byte stream, and the messages in them, in msgpack.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// Preamble opens each connection, so that a foreign peer is told apart at once.
const Preamble = "gwsystem1\n"

// MaxFrame bounds a frame, in bytes.
const MaxFrame = 32 << 20

const frameHeader = 4 + 8 + 1 // length of what follows, call, kind

// Frame is a call, its answer, or a push (call 0).
type Frame struct {
	Call    uint64 // chosen by the caller; an answer repeats it
	Kind    Kind
	Payload []byte
}

// FrameError tells of bytes that are no frame.
type FrameError struct{ Reason string }

func (e *FrameError) Error() string { return "peer's bytes are no frame: " + e.Reason }

// PayloadError tells of a payload that is not what its kind says.
type PayloadError struct {
	Kind Kind
	Err  error
}

func (e *PayloadError) Error() string { return fmt.Sprintf("payload of kind %d: %v", e.Kind, e.Err) }

func (e *PayloadError) Unwrap() error { return e.Err }

// AppendFrame appends a frame to buffer.
func AppendFrame(buffer []byte, frame Frame) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(frameHeader-4+len(frame.Payload)))
	buffer = binary.LittleEndian.AppendUint64(buffer, frame.Call)
	buffer = append(buffer, byte(frame.Kind))
	return append(buffer, frame.Payload...)
}

// ReadFrame reads the next frame.
func ReadFrame(reader io.Reader) (Frame, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return Frame{}, err
	}
	length := binary.LittleEndian.Uint32(header[0:])
	if length < frameHeader-4 || length > MaxFrame {
		return Frame{}, &FrameError{Reason: fmt.Sprintf("length %d", length)}
	}
	frame := Frame{Call: binary.LittleEndian.Uint64(header[4:]), Kind: Kind(header[12])}
	frame.Payload = make([]byte, length-(frameHeader-4))
	if _, err := io.ReadFull(reader, frame.Payload); err != nil {
		return Frame{}, err
	}
	return frame, nil
}

// Encode gives the payload of a body. The bodies of this package always encode.
func Encode(body any) []byte {
	payload, err := msgpack.Marshal(body)
	if err != nil {
		panic(err) // a body of ours that msgpack doesn't know: a fault of the program
	}
	return payload
}

// Decode reads a payload into a body.
func Decode(kind Kind, payload []byte, body any) error {
	if err := msgpack.Unmarshal(payload, body); err != nil {
		return &PayloadError{Kind: kind, Err: err}
	}
	return nil
}

// Answerer answers one call.
type Answerer interface {
	Answer(body any)
	Refuse(body RefusalBody)
}

// UnknownCallError tells of a call that a role does not know.
type UnknownCallError struct{ Kind Kind }

func (e *UnknownCallError) Error() string { return fmt.Sprintf("unknown call of kind %d", e.Kind) }
