package wire

import (
	"time"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/feed"
	"granitewing/internal/system/message"
	"granitewing/internal/system/session"
)

// Kind is the kind of a frame: an answer, a certain call or a certain push.
type Kind uint8

// The kinds, grouped by the role that serves the call. The values are part of the protocol: new kinds are added at the
// end, so a role may have several groups.
const (
	Answer   Kind = iota + 1 // to a call that was carried out; the type of its body depends on the call
	Refusal                  // to a call that was not carried out, with a RefusalBody
	Greeting                 // push: the first frame from the side that accepted the connection

	// To keepers.
	AgreementMessages // push between keepers, with an AgreementBody
	OpenSession       // with an OpenSessionBody, answered by an OpenSessionAnswer
	Heartbeat         // with a HeartbeatBody, answered by a HeartbeatAnswer
	CloseSession      // with a CloseSessionBody
	SettleDeparted    // with a SettleBody
	JoinGroup         // from a keeper, with a JoinGroupBody
	CountDisk         // from a store, with a CountDiskBody
	DiskDrained       // from a store, with a DiskDrainedBody
	FeedUpdate        // push from a keeper to a member, encoded by EncodeUpdate

	// To stores.
	PutMessage    // with a PutBody
	CancelMessage // with a CancelBody
	PutOutcomes   // with an OutcomesBody
	CallbackDone  // with a CallbackDoneBody
	ListUnit      // with a ListBody, answered by a ListAnswer
	FindMessage   // with a FindBody, answered by a FindAnswer
	ListHeld      // with a HeldBody, answered by a HeldAnswer
	FetchCopies   // with a FetchBody, answered by a CopiesBody
	PutCopies     // with a CopiesBody
	FindOutcomes  // with a FindOutcomesBody, answered by a FindOutcomesAnswer

	// To carriers.
	ReserveSequence // with a ReserveBody, answered by a ReserveAnswer
	ConfirmMessage  // with a DeliverBody for a message with a reserved sequence number, answered by a DeliverAnswer
	ForwardMessage  // with a DeliverBody, answered by a DeliverAnswer

	// To keepers.
	ReleaseUnit      // from a carrier, with a ReleaseUnitBody
	GroupRemovedNode // from a keeper, with a GroupRemovedNodeBody

	// To carriers.
	AcquirePermit // with an AcquirePermitBody, answered by an AcquirePermitAnswer

	// To stores.
	ListPending // with a PendingBody, answered by a PendingAnswer
	RaiseAges   // with an AgesBody
)

// RefusalBody is the payload of a Refusal.
type RefusalBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Code     RefusalCode
	Reason   string
	Leader   string // address of the keeper that leads; empty if unknown
}

// RefusalCode is the reason why a call was not carried out.
type RefusalCode uint8

// The codes. The values are part of the protocol.
const (
	NotLeader        RefusalCode = iota + 1 // the keeper does not lead the group; RefusalBody.Leader may name the leader
	UnknownSession                          // the session has ended: the member must open another under a new incarnation
	NotOwner                                // the carrier does not own the unit, or its messages have been taken over
	NotReady                                // the owner of the unit cannot serve the call now; it may be repeated
	Cancelled                               // the message has been cancelled
	CallFailed                              // any other reason, such as a full disk
	RemovedFromGroup                        // the keeper was removed from the group that it wants to join
	StaleRoster                             // the call is for an older roster of disks than the store's
	StaleOffer                              // the offer of the unit was withdrawn: the unit stays with its owner
)

// AgreementBody carries messages of the agreement protocol of one replica group.
type AgreementBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Group    int
	Messages []agreement.Message
}

// JoinGroupBody asks the leader of a replica group to add a keeper as a learner.
type JoinGroupBody struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Group         int
	Member        string
	HasGroupState bool // the disk of the keeper already holds state of a group
}

// GroupRemovedNodeBody notifies the leader of the sessions group that a replica group has removed a draining machine.
type GroupRemovedNodeBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Node     string
	Group    int
}

// OpenSessionBody opens the session of a member, or renews it, on another connection or with a changed Member.
type OpenSessionBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Member   session.Member
	Position feed.Position // that the member has reached in the feed
	Renew    bool          // the session was open before: if it has ended, the call is refused
}

// OpenSessionAnswer grants the lease of a session.
type OpenSessionAnswer struct {
	_msgpack struct{}      `msgpack:",as_array"`
	Lease    time.Duration // for which the member may act on its session, counted from when it sent the call
}

// HeartbeatBody renews the lease of a session.
type HeartbeatBody struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation string
	Position    feed.Position // that the member has reached in the feed
}

// HeartbeatAnswer contains the age of the keeper's list of workers.
type HeartbeatAnswer struct {
	_msgpack   struct{} `msgpack:",as_array"`
	CatalogAge time.Duration
}

// CloseSessionBody ends the session of a member that shuts down. The member does nothing under its incarnation any more.
type CloseSessionBody struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation string
}

// SettleBody notifies the keepers that all messages of a departed carrier have completed.
type SettleBody struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation string
	Adopter     string // incarnation of the carrier that reports it; empty from earlier versions, which do not send it
}

// CountDiskBody notifies the keepers that a store's disk has been backfilled from the other disks.
type CountDiskBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Disk     string
}

// DiskDrainedBody notifies the keepers that all messages on a leaving disk have enough replicas on other disks, by the
// roster of disks of the given epoch.
type DiskDrainedBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Disk     string
	Epoch    uint64 // 0 from earlier versions, which do not send it
}

// ReleaseUnitBody hands a unit over to the carrier that it was offered to.
type ReleaseUnitBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Unit     string
	Token    uint64 // the owner's fencing token
	Offer    uint64 // number of the offer
}

// FindOutcomesBody queries the outcomes of some messages.
type FindOutcomesBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	IDs      []string
}

// PutBody stores a message on a disk that the roster of the given epoch contains.
type PutBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Message  message.Message
	Epoch    uint64
}

// CancelBody cancels a message: it never runs, whether the store has received it already or receives it later.
type CancelBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
}

// OutcomesBody records the outcomes of messages.
type OutcomesBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Outcomes []message.Outcome
}

// FindOutcomesAnswer contains the outcomes that a store has of the messages in a FindOutcomesBody.
type FindOutcomesAnswer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Outcomes []message.Outcome
	Complete bool // the store holds all that a disk must hold to count toward the write quorum: it knows no outcome of the messages not in Outcomes
}

// CallbackDoneBody records that the call-backs with the outcomes of messages were made.
type CallbackDoneBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	IDs      []string
}

// ListBody asks for a unit's messages that have not completed, or whose call-back is pending.
type ListBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Unit     string
	After    uint64 // position after which the list continues; 0 for its start
}

// ListedMessage is one message of a list.
type ListedMessage struct {
	_msgpack struct{} `msgpack:",as_array"`
	Message  message.Message
	Phase    message.Phase
	Stamp    string        // of the successful run
	Age      time.Duration // since the store received it, or less: the store cannot measure the time while it is down
}

// ListAnswer is a part of the list of a unit's messages.
type ListAnswer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Messages []ListedMessage
	Next     uint64 // ListBody.After of the next call
	More     bool   // the list continues
	Complete bool   // the store holds everything that a disk must hold to count toward the write quorum
}

// FindBody asks for the state of a message.
type FindBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	WithBody bool // the answer contains the message's body, if the store has it
}

// FindAnswer contains the state of a message, as a store has it.
type FindAnswer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Known    bool     // the store holds the message or its outcome
	Phase    message.Phase
	Stamp    string // of the successful run
	Body     []byte
	HasBody  bool
	Complete bool // as in ListAnswer
}

// HeldBody asks for the list of what a store holds, after a position.
type HeldBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	After    uint64
}

// HeldState is the set of what a store holds of a message.
type HeldState uint8

// The elements of a HeldState.
const (
	HeldMessage         HeldState = 1 << iota // the message itself, which may still be needed
	HeldOutcome                               // its outcome
	HeldCancellation                          // that it has been cancelled
	HeldPendingCallback                       // that the call-back with its outcome is still pending
)

// Has reports whether the set contains all of some elements.
func (s HeldState) Has(parts HeldState) bool { return s&parts == parts }

// HeldAnswer is a part of the list of what a store holds, in the order in which the messages last changed. A message
// that changes after it was listed is listed again.
type HeldAnswer struct {
	_msgpack struct{} `msgpack:",as_array"`
	IDs      []string
	States   []HeldState // of the messages in IDs, in the same order
	Next     uint64      // HeldBody.After of the next call
	More     bool        // the list continues
	// Epoch is that of a roster of disks: the list has everything that was stored for older rosters, and the store
	// accepts nothing more for them.
	Epoch uint64
	// Disk is the identity of the disk whose store answers. It may differ from the expected one, because a store with
	// another disk may answer at its machine's address.
	Disk string
}

// FetchBody asks for copies of some messages.
type FetchBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	IDs      []string
}

// CopiedMessage is the copy of what a store holds of one message.
type CopiedMessage struct {
	_msgpack  struct{}         `msgpack:",as_array"`
	Message   message.Message  // only with ID and unit if the message itself is not needed any more, or was cancelled
	Outcome   *message.Outcome // the outcome; nil if there is none
	Cancelled bool             // the message has been cancelled
	Age       time.Duration    // since the store received it
}

// CopiesBody contains copies of messages: the answer to FetchCopies, which may cover only the first of the requested
// messages, or what PutCopies stores.
type CopiesBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Messages []CopiedMessage
	More     bool // in an answer: it was cut at its maximum size, and the store may hold the remaining messages too
}

// ReserveBody asks the owner of a unit for a sequence number for a message.
type ReserveBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Unit     string
	ID       string
	Service  string // that runs the message
	// Retention is how long the message may wait.
	Retention time.Duration
}

// ReserveAnswer contains the reserved sequence number. If RetryAfter is not zero, none was reserved because too many
// messages wait, and the client should retry after that time.
type ReserveAnswer struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Token      uint64   // the owner's fencing token
	Sequence   uint64
	RetryAfter time.Duration
}

// AcquirePermitBody asks the carrier that enforces the rate limit of a service for the next send permit.
type AcquirePermitBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Service  string
	Urgent   bool // the permit is for a message that was taken over from another carrier
}

// AcquirePermitAnswer grants a send permit or not. Wait is the time until the permit may be used or, if none is
// granted, until the caller should ask again.
type AcquirePermitAnswer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Granted  bool
	Wait     time.Duration
}

// DeliverAnswer acknowledges that the owner of the unit has accepted a message. RetryAfter is for how long the owner
// asks clients to send no more messages; usually 0.
type DeliverAnswer struct {
	_msgpack   struct{} `msgpack:",as_array"`
	RetryAfter time.Duration
}

// DeliverBody passes a stored message to the owner of its unit, in ConfirmMessage and ForwardMessage.
type DeliverBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Message  message.Message
	Holders  []string      // identities of the disks that hold it, or whose stores were asked to store it
	Age      time.Duration // since the accepting carrier received it
}
