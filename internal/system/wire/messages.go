package wire

import (
	"time"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/feed"
	"granitewing/internal/system/message"
	"granitewing/internal/system/session"
)

// Kind tells calls, answers and pushes apart.
type Kind uint8

// The kinds. An answer has the kind Answer, and Refusal where the peer could not carry out the call.
const (
	Answer Kind = iota + 1
	Refusal
	Greeting // push: the first frame of who was connected to

	// To keepers.
	AgreementMessages // push: between keepers
	OpenSession
	Heartbeat
	CloseSession
	SettleDeparted
	JoinGroup
	CountDisk
	DiskEmptied
	FeedUpdate // push: from a keeper to a member

	// To stores.
	PutMessage
	VoidMessage
	PutEnds
	CallbackDone
	ListUnit
	FindMessage
	ListHeld
	FetchCopies
	PutCopies
	FindEnds

	// To carriers.
	ReserveSequence
	ConfirmMessage
	ForwardMessage

	// To keepers.
	ReleaseUnit
	GroupLeft

	// To carriers.
	TakeTurn
)

// RefusalBody is the payload of a Refusal.
type RefusalBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Code     RefusalCode
	Reason   string
	Leader   string // address of the keeper that leads, where that is known
}

// RefusalCode tells why a call was not carried out.
type RefusalCode uint8

// The codes.
const (
	NotLeader RefusalCode = iota + 1
	UnknownSession
	NotOwner
	NotReady
	Voided
	Failed
	Removed
	StaleRoster
	StaleOffer
)

// AgreementBody carries messages of one group.
type AgreementBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Group    int
	Messages []agreement.Message
}

// JoinGroupBody asks a group's leader to let a newcomer follow.
type JoinGroupBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Group    int
	Member   string
	Knows    bool // the newcomer's disk names a group already
}

// GroupLeftBody tells the leader of the sessions that a control group does without a machine that is being emptied.
type GroupLeftBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Node     string
	Group    int
}

// OpenSessionBody opens a member's session, or renews it on another connection.
type OpenSessionBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Member   session.Member
	Position feed.Position
	Renew    bool // the session was open before; where it is over, it can't be opened again
}

// OpenSessionAnswer tells how long the session lasts without a heartbeat.
type OpenSessionAnswer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Lease    time.Duration
}

// HeartbeatBody keeps a session.
type HeartbeatBody struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation string
	Position    feed.Position // that the member has reached in the feed
}

// HeartbeatAnswer tells how old the keeper's list of workers is.
type HeartbeatAnswer struct {
	_msgpack   struct{} `msgpack:",as_array"`
	CatalogAge time.Duration
}

// CloseSessionBody ends a session; all that the member did is over.
type CloseSessionBody struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation string
}

// SettleBody tells that a departed carrier's messages have all ended.
type SettleBody struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation string
}

// CountDiskBody tells that a store's disk was filled from the others.
type CountDiskBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Disk     string
}

// DiskEmptiedBody tells that all that lies on a leaving disk lies on enough others, by the roster of an epoch.
type DiskEmptiedBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Disk     string
	Epoch    uint64 // 0 of earlier versions, which tell none
}

// ReleaseUnitBody hands a unit over to the carrier that it was offered to.
type ReleaseUnitBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Unit     string
	Token    uint64
	Offer    uint64
}

// FindEndsBody asks which of some messages have ended.
type FindEndsBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	IDs      []string
}

// PutBody stores a message, at the disks of a roster.
type PutBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Message  message.Message
	Epoch    uint64
}

// VoidBody makes a message void: it never runs, whether or not its bytes came or still come.
type VoidBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
}

// EndsBody records ends.
type EndsBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Ends     []message.End
}

// FoundEnds tells the ends of messages that were asked for.
type FoundEnds struct {
	_msgpack struct{} `msgpack:",as_array"`
	Ends     []message.End
	Complete bool // the store holds all that a counted one has to: it knows no end of the others
}

// CallbackDoneBody records that the ends of messages were told.
type CallbackDoneBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	IDs      []string
}

// ListBody asks for a unit's messages that have not ended, or whose call-back is owed.
type ListBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Unit     string
	After    uint64 // place behind which the list goes on
}

// ListedMessage is one message of a list.
type ListedMessage struct {
	_msgpack struct{} `msgpack:",as_array"`
	Message  message.Message
	Phase    message.Phase
	Stamp    string
	Age      time.Duration // since it came to the store, or less: what passed while the store was down is not known
}

// ListAnswer is a part of a unit's list.
type ListAnswer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Messages []ListedMessage
	Next     uint64 // for the next call
	More     bool
	Complete bool // the store holds all that a counted one has to
}

// FindBody asks for a message's state.
type FindBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	WithBody bool
}

// FindAnswer tells what a store knows of a message.
type FindAnswer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Known    bool
	Phase    message.Phase
	Stamp    string
	Body     []byte
	HasBody  bool
	Complete bool
}

// HeldBody asks what a store holds, from a place on.
type HeldBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	After    uint64
}

// HeldState tells what a store holds of a message.
type HeldState uint8

// The parts of a HeldState.
const (
	HeldBytes HeldState = 1 << iota // the message itself, which somebody may still need
	HeldEnd                         // that it has ended
	HeldVoid                        // that it is void
	HeldOwed                        // that its end is still owed to its call-back URL
)

// Has tells whether all of some parts are held.
func (s HeldState) Has(parts HeldState) bool { return s&parts == parts }

// HeldAnswer is a part of what a store holds, in the order of the latest changes. A message that has changed comes again.
type HeldAnswer struct {
	_msgpack struct{} `msgpack:",as_array"`
	IDs      []string
	States   []HeldState // of the messages in IDs
	Next     uint64      // for the next call
	More     bool
	Epoch    uint64 // of a roster: all that was taken for an older one is told, and nothing more is taken for one
	// Disk is the identity of the disk whose store answers. Another than the one that was meant may answer at its machine's address.
	Disk string
}

// FetchBody asks for copies of some messages.
type FetchBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	IDs      []string
}

// CopiedMessage is one record of a copy.
type CopiedMessage struct {
	_msgpack struct{}        `msgpack:",as_array"`
	Message  message.Message // without body where it has ended
	End      *message.End
	Void     bool
	Age      time.Duration // since it came to the store
}

// CopiesBody is copies of messages: the answer of FetchCopies, which may be of the first ones only, and what PutCopies
// has a store keep.
type CopiesBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Messages []CopiedMessage
	More     bool // of an answer: of the others there may be copies as well
}

// ReserveBody asks the owner of a unit for a place in its order.
type ReserveBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Unit     string
	ID       string
	Service  string // that the message is for
	// Retention is the message's: how long it may wait.
	Retention time.Duration
}

// ReserveAnswer is the place; none where too much waits, and RetryAfter tells when to ask again.
type ReserveAnswer struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Token      uint64
	Sequence   uint64
	RetryAfter time.Duration
}

// TakeTurnBody asks who spaces what is sent to a service with a rate for the next turn.
type TakeTurnBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Service  string
	Urgent   bool // it is for a message that was taken over
}

// TakeTurnAnswer gives a turn. Wait is the time until it, or, where none is granted, until it makes sense to ask again.
type TakeTurnAnswer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Granted  bool
	Wait     time.Duration
}

// DeliverAnswer tells that the owner has a message. RetryAfter is for how long it would rather have no more, 0 at most times.
type DeliverAnswer struct {
	_msgpack   struct{} `msgpack:",as_array"`
	RetryAfter time.Duration
}

// DeliverBody hands a stored message to the owner of its unit; of ConfirmMessage and ForwardMessage.
type DeliverBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Message  message.Message
	Holders  []string // nodes of the stores that hold it
	Age      time.Duration
}
