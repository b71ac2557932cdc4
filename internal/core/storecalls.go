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

// Precondition demands that a key has a given version (0: does not exist).
type Precondition struct {
	Key         string
	ModRevision uint64
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
	CallID        uint64
	Op            StoreOp
	Prefix        string
	StartAfter    string // list: starting after this key
	AfterRevision uint64 // watch: revision
	BlockTimeout  time.Duration
	Limit         int
	Preconditions []Precondition
	Changes       []Change
	TTL           time.Duration // grant
	Lease         uint64        // touch, revoke
	Timeout       time.Duration
}

// Item is a key as the state service returns it.
type Item struct {
	Key         string
	Value       json.RawMessage
	ModRevision uint64
	Removed     bool
}

// StoreResult ends a StoreCall. Status 0 means that no answer came.
type StoreResult struct {
	CallID     uint64
	Status     int
	Err        string
	Revision   uint64
	Items      []Item
	More       bool
	Lease      uint64
	FailedKeys []string
}
