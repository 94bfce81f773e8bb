// Package message is what a message is to all roles: its bytes, its place in the fleet and the end it came to.
package message

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Version is the version of a configuration; 0 where it is not known.
type Version uint64

// DecodeMsgpack reads a version. Earlier builds wrote the route's name in its place, which says nothing of a version.
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

// Header is one header of the client's request that a delivery repeats.
type Header struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Name, Value string
}

// Message is one accepted request, as it lies on the stores' disks.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string   // X-Request-Id
	Unit     string   // what orders, paces and delivers it
	Version  Version  // of the configuration under which it was accepted
	Host     string
	Method   string
	Target   string // path and query, unchanged
	Headers  []Header
	Key      string // X-Ordering-Key on ordered routes
	Callback string
	Body     []byte
	// Token is the fencing token of the unit's owner that the carrier that accepted the message knew before any store was given it, 0
	// where it knew none or the unit has no token: no owner under an earlier token was ever given the message. With Sequence, the count of
	// the owner that gave the place, it orders the messages of a key.
	Token    uint64
	Sequence uint64
	// Accepted is the wall clock when the request was read, in milliseconds since 1970: for people who read a log. Clocks may
	// be stepped and differ, so nothing is decided by it.
	Accepted  int64
	Delay     time.Duration
	Retention time.Duration
}

// Phase of a message.
type Phase string

// The phases, in the words of the protocol.
const (
	Pending    Phase = "pending"
	Succeeded  Phase = "succeeded"
	DeadLetter Phase = "dead_letter"
)

// OwedTimes is for how many times the time for which states are asked a store keeps an end whose call-back is owed, and a carrier tries to
// make that call-back.
const OwedTimes = 2

// End is the end of a message.
type End struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Phase    Phase
	Stamp    string // of the successful run
	// CallbackOwed is set while the end has to be told to the message's call-back URL.
	CallbackOwed bool
}
