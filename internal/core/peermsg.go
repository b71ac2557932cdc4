package core

import "time"

// This file defines the messages between controllers.

// PeerIn is a message that has arrived from another controller.
type PeerIn struct {
	From string
	Msg  PeerMsg
}

// PeerOut is a message to send to another controller. It may be lost.
type PeerOut struct {
	To  string
	Msg PeerMsg
}

// Kinds of messages between controllers.
const (
	MsgRestarted          = "hello"      // a new process asks for release from its forgotten promises
	MsgPromisesReleased   = "free"       // the answer: the sender relies on none of them
	MsgVoteRequest        = "claim"      // asks for a promise
	MsgPromise            = "promise"    // the answer: a promise or a refusal
	MsgRelease            = "release"    // the sender no longer relies on promises for a term
	MsgChange             = "nudge"      // a change that the sender has made durable
	MsgRunningCounts      = "counts"     // number of running tasks per job, for replies to users
	MsgCancelled          = "cancelled"  // cancellations that the receiver may not know of
	MsgCancelledAck       = "known"      // a leader's acknowledgement of cancellations
	MsgLeadershipTransfer = "unanswered" // machines without a recent reply when the sender's term ended
	MsgForward            = "ask"        // a user's request, from a sender that lost the state service
	MsgForwardReply       = "answer"     // the reply to that request
)

// PeerMsg is a message between controllers. Where the meaning of a field depends on
// Kind, its comment names the kinds.
type PeerMsg struct {
	Kind string `msgpack:"k"`
	Term uint64 `msgpack:"t,omitempty"`
	// Sent is a time of the requester's own clock and is returned in the answer.
	Sent    time.Duration `msgpack:"s,omitempty"`
	Granted bool          `msgpack:"g,omitempty"`
	// Cut means that the sender refuses a promise because the requester has lost the
	// state service.
	Cut      bool          `msgpack:"x,omitempty"`
	StoreOK  bool          `msgpack:"o,omitempty"`   // the sender reaches the state service
	StoreAge time.Duration `msgpack:"a,omitempty"`   // time since the sender last reached it
	Top      uint64        `msgpack:"p,omitempty"`   // highest term that the sender knows
	Key      string        `msgpack:"key,omitempty"` // MsgChange: key; MsgForward: job id
	// Value is the value of Key (MsgChange), or the body of a user's request or of the
	// reply to it (MsgForward, MsgForwardReply).
	Value []byte `msgpack:"val,omitempty"`
	// Stamp is the modification revision of Key (MsgChange) or of the term key
	// (MsgVoteRequest).
	Stamp uint64 `msgpack:"st,omitempty"`
	// Counts holds numbers of running tasks by job (MsgRunningCounts), milliseconds since
	// the last reply by machine (MsgLeadershipTransfer), or modification revisions of
	// cancellations by job (other kinds).
	Counts map[string]int `msgpack:"c,omitempty"`
	// Ask identifies a forwarded request and is returned in the answer. In vote requests,
	// their answers, releases and announcements of a restart, it is the incarnation of
	// the requester (Config.Incarnation). A release with Ask 0 holds for every
	// incarnation.
	Ask     uint64 `msgpack:"q,omitempty"`
	Verb    string `msgpack:"v,omitempty"`    // MsgForward: submit, poll or withdraw
	Wall    int64  `msgpack:"wl,omitempty"`   // MsgForward: wall-clock time of a submission in ms
	Status  int    `msgpack:"code,omitempty"` // MsgForwardReply: HTTP status
	Retry   int    `msgpack:"ra,omitempty"`   // MsgForwardReply: Retry-After in seconds
	Version int    `msgpack:"fm,omitempty"`   // newest version that the sender knows
	// Rev means that the sender, a leader, knows all changes up to this revision.
	Rev  uint64 `msgpack:"rv,omitempty"`
	Read bool   `msgpack:"rl,omitempty"` // a read lease is requested or granted
	// Loaded means that the grantor of a read lease has read the whole state since its
	// start.
	Loaded bool          `msgpack:"ld,omitempty"`
	Age    time.Duration `msgpack:"ag,omitempty"` // time since the grantor's process started
}
