package wire

import "time"

// PendingBody asks for the messages of some units that have been pending for a time.
type PendingBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Units    []string
	MinAge   time.Duration
}

// PendingMessage is a message that a store holds and that has not completed.
type PendingMessage struct {
	_msgpack struct{} `msgpack:",as_array"`
	Unit     string
	ID       string
	Age      time.Duration // as in ListedMessage
}

// PendingAnswer contains the messages that have been pending for the time, of each unit the first that it got.
type PendingAnswer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Messages []PendingMessage
}

// MessageAge is the age of a message at a carrier, which has measured it without a gap.
type MessageAge struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Age      time.Duration
}

// AgesBody tells a store the ages of messages that it takes to be younger, since it was down for some time.
type AgesBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Ages     []MessageAge
}
