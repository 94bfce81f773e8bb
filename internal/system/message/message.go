// Package message defines the message that all roles exchange and stores keep on disk: an accepted client request
// (Message), its state (Phase) and its outcome (Outcome). The types are encoded as msgpack arrays, so the order of
// their fields is part of the stored format.
package message

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Version is the version of a configuration; 0 if it is not known.
type Version uint64

// DecodeMsgpack reads a version. Earlier builds wrote the name of the route in this position; such a value reads as
// version 0.
func (v *Version) DecodeMsgpack(decoder *msgpack.Decoder) error {
	code, err := decoder.PeekCode()
	if err != nil {
		return err
	}
	if msgpcode.IsString(code) {
		*v = 0
		return decoder.Skip()
	}
	number, err := decoder.DecodeUint64()
	*v = Version(number)
	return err
}

// Header is one header of the client's request, which is sent again on delivery.
type Header struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Name, Value string
}

// Message is one accepted request in the form in which the stores keep it on disk.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string   // X-Request-Id
	Unit     string   // unit that orders, rate-limits and delivers the message
	Version  Version  // of the configuration under which the message was accepted
	Host     string
	Method   string
	Target   string   // path and query, unchanged
	Headers  []Header // of the client's request, sent unchanged; also X-Ordering-Key if the message is not in order
	Key      string   // ordering key by which the message is in order, from X-Ordering-Key; empty if its route is not ordered
	Callback string   // URL that is notified of the outcome, from X-Callback-Url; empty if no callback is wanted
	Body     []byte
	// Token guarantees that no owner of the unit with an earlier fencing token was ever given the message. It is the
	// token of the owner that the accepting carrier knew before it sent the message to any store, or 0 if the carrier
	// knew none or the unit has no token. Token and Sequence together order the messages of a key; Sequence is the counter of
	// the owner that assigned the position.
	Token    uint64
	Sequence uint64
	// Accepted is the wall clock time when the request was read, in milliseconds since 1970. It is meant for
	// people who read a log. Clocks may be stepped and may differ between machines, so no decision uses it.
	Accepted  int64
	Delay     time.Duration // X-Delay-Ms: the message is due this long after it was accepted
	Retention time.Duration // how long the message may wait for delivery
}

// Phase is the state of a message: pending, or the kind of its outcome.
type Phase string

// The phases, with the values that the protocol uses.
const (
	Pending    Phase = "pending"
	Succeeded  Phase = "succeeded"
	DeadLetter Phase = "dead_letter"
)

// OwedCallbackFactor is a multiple of the time for which message states can be queried (settings.Bounds.Status). For that long a store keeps an
// outcome whose callback is owed, and a carrier retries the callback.
const OwedCallbackFactor = 2

// Outcome is the outcome of a message.
type Outcome struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Phase    Phase
	Stamp    string // signature that the worker returned for the successful run (wire.HeaderSignature)
	// CallbackOwed is set until the outcome has been delivered to the message's callback URL.
	CallbackOwed bool
}
