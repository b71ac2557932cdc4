package core

import "time"

// Messages between controllers.

// PeerIn is a message from another controller, PeerOut one to it.
type PeerIn struct {
	From string
	Msg  PeerMsg
}

// PeerOut sends a message to another controller, or drops it.
type PeerOut struct {
	To  string
	Msg PeerMsg
}

// Kinds of messages between controllers.
const (
	MsgRestarted          = "hello"      // a fresh process asks whether its earlier life is still counted on
	MsgPromisesReleased   = "free"       // answers that it isn't
	MsgVoteRequest        = "claim"      // asks for a promise
	MsgPromise            = "promise"    // answers it
	MsgRelease            = "release"    // gives a term up
	MsgChange             = "nudge"      // a change that the sender has made durable
	MsgRunningCounts      = "counts"     // running tasks per job, for display
	MsgCancelled          = "cancelled"  // cancellations that the receiver may not know of
	MsgCancelledAck       = "known"      // a leader's acknowledgement of them
	MsgLeadershipTransfer = "unanswered" // machines that a leader had not answered lately when its term ended
	MsgForward            = "ask"        // a user's request, from a node without the store
	MsgForwardReply       = "answer"
)

// PeerMsg is a message between controllers. Sent is the asker's own clock and
// comes back in the answer; so does Ask, which for claims and what follows from
// them is the asker's life (Config.Boot).
type PeerMsg struct {
	Kind     string         `msgpack:"k"`
	Term     uint64         `msgpack:"t,omitempty"`
	Sent     time.Duration  `msgpack:"s,omitempty"`
	Granted  bool           `msgpack:"g,omitempty"`
	Cut      bool           `msgpack:"x,omitempty"` // refused: the claimant has lost the state service
	StoreOK  bool           `msgpack:"o,omitempty"`
	StoreAge time.Duration  `msgpack:"a,omitempty"`
	Top      uint64         `msgpack:"p,omitempty"`
	Key      string         `msgpack:"key,omitempty"`
	Value    []byte         `msgpack:"val,omitempty"`
	Stamp    uint64         `msgpack:"st,omitempty"`
	Counts   map[string]int `msgpack:"c,omitempty"`
	Ask      uint64         `msgpack:"q,omitempty"`
	Verb     string         `msgpack:"v,omitempty"`
	Wall     int64          `msgpack:"wl,omitempty"`
	Status   int            `msgpack:"code,omitempty"`
	Retry    int            `msgpack:"ra,omitempty"`
	Version  int            `msgpack:"fm,omitempty"` // the newest that the sender knows
	Rev      uint64         `msgpack:"rv,omitempty"` // a leader's: it knows of all changes up to here
	Read     bool           `msgpack:"rl,omitempty"` // a read lease is asked for, or granted
	Loaded   bool           `msgpack:"ld,omitempty"` // its grantor has read all since its start
	Age      time.Duration  `msgpack:"ag,omitempty"` // of the grantor's process
}
