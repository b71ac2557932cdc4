package core

import (
	"encoding/json"
	"time"
)

// Calls to the state service and their ends.

// StoreOp names a call to the state service.
type StoreOp string

// Calls to the state service.
const (
	StoreList   StoreOp = "list"
	StoreWatch  StoreOp = "watch"
	StoreTxn    StoreOp = "txn"
	StoreLease  StoreOp = "grant"
	StoreRenew  StoreOp = "touch"
	StoreRevoke StoreOp = "revoke"
)

// Guard demands that a key has a given version (0: does not exist).
type Guard struct {
	Key   string
	Stamp uint64
}

// Change sets or removes a key.
type Change struct {
	Key    string
	Value  json.RawMessage // nil removes
	Lease  uint64
	Remove bool
}

// StoreCall is a call to the state service.
type StoreCall struct {
	Call    uint64
	Op      StoreOp
	Prefix  string
	From    string // list: starting after this key
	After   uint64 // watch: revision
	Block   time.Duration
	Limit   int
	Guards  []Guard
	Then    []Change
	Life    time.Duration // grant
	Lease   uint64        // touch, revoke
	Timeout time.Duration
}

// Item is a key as the state service returns it.
type Item struct {
	Key     string
	Value   json.RawMessage
	Stamp   uint64
	Removed bool
}

// StoreDone ends a StoreCall. Status 0 means that no answer came.
type StoreDone struct {
	Call   uint64
	Status int
	Err    string
	Rev    uint64
	Items  []Item
	More   bool
	Lease  uint64
	Failed []string
}
