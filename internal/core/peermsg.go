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
	MsgRestarted          = "hello"      // a new process asks whether the receiver relies on promises of its previous incarnation
	MsgPromisesReleased   = "free"       // the answer that it does not
	MsgVoteRequest        = "claim"      // asks for a promise
	MsgPromise            = "promise"    // the answer: a promise or a refusal
	MsgRelease            = "release"    // the sender no longer relies on promises for a term
	MsgChange             = "nudge"      // a change that the sender has made durable
	MsgRunningCounts      = "counts"     // number of running tasks per job, for replies to users
	MsgCancelled          = "cancelled"  // cancellations that the receiver may not know of
	MsgCancelledAck       = "known"      // a leader's acknowledgement of cancellations
	MsgLeadershipTransfer = "unanswered" // machines that a leader had not replied to recently when its term ended
	MsgForward            = "ask"        // a user's request, from a controller that has lost the state service
	MsgForwardReply       = "answer"     // the reply to a forwarded request
)

// PeerMsg is a message between controllers. Sent is a time of the requester's own clock
// and is returned in the answer. So is Ask, which identifies a forwarded request. In
// vote requests, their answers, releases and announcements of a restart, Ask is the
// incarnation of the requester (Config.Incarnation). A release with Ask 0 holds for
// every incarnation. Where the meaning of a field depends on Kind, its comment names
// the kinds.
type PeerMsg struct {
	Kind     string         `msgpack:"k"`
	Term     uint64         `msgpack:"t,omitempty"`
	Sent     time.Duration  `msgpack:"s,omitempty"`
	Granted  bool           `msgpack:"g,omitempty"`
	Cut      bool           `msgpack:"x,omitempty"`   // refused because the requester has lost the state service
	StoreOK  bool           `msgpack:"o,omitempty"`   // the sender reaches the state service
	StoreAge time.Duration  `msgpack:"a,omitempty"`   // time since the sender's last contact with the state service
	Top      uint64         `msgpack:"p,omitempty"`   // highest term that the sender knows
	Key      string         `msgpack:"key,omitempty"` // MsgChange: key; MsgForward: job id
	Value    []byte         `msgpack:"val,omitempty"` // MsgChange: value; MsgForward, MsgForwardReply: body
	Stamp    uint64         `msgpack:"st,omitempty"`  // modification revision; MsgChange: of Key; MsgVoteRequest: of the term key
	Counts   map[string]int `msgpack:"c,omitempty"`   // by job: running tasks or revisions of cancellations; MsgLeadershipTransfer: milliseconds by machine
	Ask      uint64         `msgpack:"q,omitempty"`
	Verb     string         `msgpack:"v,omitempty"`    // MsgForward: submit, poll or withdraw
	Wall     int64          `msgpack:"wl,omitempty"`   // MsgForward: wall-clock time of a submission, in ms
	Status   int            `msgpack:"code,omitempty"` // MsgForwardReply: HTTP status
	Retry    int            `msgpack:"ra,omitempty"`   // MsgForwardReply: Retry-After in seconds
	Version  int            `msgpack:"fm,omitempty"`   // newest version that the sender knows
	Rev      uint64         `msgpack:"rv,omitempty"`   // from a leader: it knows all changes up to this revision
	Read     bool           `msgpack:"rl,omitempty"`   // a read lease is requested or granted
	Loaded   bool           `msgpack:"ld,omitempty"`   // the grantor has read the whole state since its start
	Age      time.Duration  `msgpack:"ag,omitempty"`   // time since the start of the grantor's process
}
