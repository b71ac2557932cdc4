package core

import "time"

// This file defines the messages between controllers.

// PeerIn is a message that has arrived from another controller.
type PeerIn struct {
	From string
	Msg  PeerMsg
}

// PeerOut is a message to send to another controller. It may be lost, late or repeated.
type PeerOut struct {
	To  string
	Msg PeerMsg
}

// Kinds of messages between controllers.
const (
	MsgRestarted        = "hello"      // a new process asks for release from its forgotten promises
	MsgPromisesReleased = "free"       // answer to MsgRestarted: the sender relies on none of these promises
	MsgVoteRequest      = "claim"      // a candidate or leader asks for a promise of support
	MsgPromise          = "promise"    // answer to MsgVoteRequest: a promise or a refusal
	MsgRelease          = "release"    // the sender no longer relies on promises for terms up to Term
	MsgChange           = "nudge"      // a change that the sender has made durable
	MsgRunningCounts    = "counts"     // number of running tasks per job, for replies to users
	MsgCancelled        = "cancelled"  // cancellations that the receiver may not know of
	MsgCancelledAck     = "known"      // a leader's acknowledgement of cancellations
	MsgReplyAges        = "unanswered" // how long ago the sender, whose term has ended, last replied to machines
	MsgForward          = "ask"        // a user's request, from a sender that lost the state service
	MsgForwardReply     = "answer"     // answer to MsgForward: the reply for the user
)

// PeerMsg is a message between controllers. Where the meaning of a field depends on
// Kind, its comment names the kinds.
type PeerMsg struct {
	Kind string `msgpack:"k"`
	Term uint64 `msgpack:"t,omitempty"` // term of the sender's campaign or leadership; MsgPromise: of the request
	// Sent is when a vote request was sent, by the requester's clock. It is returned in
	// the answer.
	Sent    time.Duration `msgpack:"s,omitempty"`
	Granted bool          `msgpack:"g,omitempty"` // MsgPromise: a promise, not a refusal
	// Cut means that the sender refuses a promise because the requester has lost the
	// state service.
	Cut      bool          `msgpack:"x,omitempty"`
	StoreOK  bool          `msgpack:"o,omitempty"`   // the sender reaches the state service
	StoreAge time.Duration `msgpack:"a,omitempty"`   // time since the sender last reached the state service
	Top      uint64        `msgpack:"p,omitempty"`   // highest term that the sender knows
	Key      string        `msgpack:"key,omitempty"` // MsgChange: key; MsgForward: job id
	// Value is the value of Key (MsgChange), or the body of a user's request or of the
	// reply to it (MsgForward, MsgForwardReply).
	Value []byte `msgpack:"val,omitempty"`
	// Stamp is the modification revision of Key (MsgChange) or of the term key
	// (MsgVoteRequest).
	Stamp uint64 `msgpack:"st,omitempty"`
	// Counts holds for each job the number of its running tasks (MsgRunningCounts), for
	// each machine the milliseconds since the sender last replied to it (MsgReplyAges), or
	// for each job the modification revision of its cancellation (MsgCancelled,
	// MsgCancelledAck, and MsgPromise with a read lease).
	Counts map[string]int `msgpack:"c,omitempty"`
	// Ask identifies a forwarded request and is returned in the answer. In vote requests
	// and announcements of a restart it is the incarnation of the sender
	// (Config.Incarnation), and is returned in the answer, too. In a release it is the
	// sender's incarnation to which the promises were given, or 0 for all of them.
	Ask     uint64 `msgpack:"q,omitempty"`
	Verb    string `msgpack:"v,omitempty"`    // MsgForward: submit, poll or withdraw
	Wall    int64  `msgpack:"wl,omitempty"`   // MsgForward: wall-clock time of a submission in ms
	Status  int    `msgpack:"code,omitempty"` // MsgForwardReply: HTTP status
	Retry   int    `msgpack:"ra,omitempty"`   // MsgForwardReply: Retry-After in seconds
	Version int    `msgpack:"fm,omitempty"`   // newest version of messages and stored values that the sender knows
	// Rev means that the sender, a leader, knows all changes up to this revision of the
	// state service.
	Rev  uint64 `msgpack:"rv,omitempty"`
	Read bool   `msgpack:"rl,omitempty"` // a read lease is requested (MsgVoteRequest) or granted (MsgPromise)
	// Loaded means that the grantor of a read lease has read the whole state since its
	// start.
	Loaded bool          `msgpack:"ld,omitempty"`
	Age    time.Duration `msgpack:"ag,omitempty"` // time since the grantor's process started
}
