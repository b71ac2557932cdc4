package core

import (
	"encoding/json"
	"time"
)

// This file defines the calls to the state service and their results.

// StoreOp is the kind of a call to the state service.
type StoreOp string

// Kinds of calls to the state service.
const (
	StoreList   StoreOp = "list"
	StoreWatch  StoreOp = "watch"
	StoreTxn    StoreOp = "txn"
	StoreLease  StoreOp = "grant"
	StoreRenew  StoreOp = "touch"
	StoreRevoke StoreOp = "revoke"
)

// Precondition requires that a key has a given modification revision (0: that it does
// not exist).
type Precondition struct {
	Key         string
	ModRevision uint64
}

// Change sets or removes a key.
type Change struct {
	Key    string
	Value  json.RawMessage // unused if Remove is set
	Lease  uint64          // the key is removed with this lease; 0: none
	Remove bool
}

// StoreCall is a call to the state service.
type StoreCall struct {
	CallID        uint64
	Op            StoreOp
	Prefix        string
	StartAfter    string        // list: start after this key
	AfterRevision uint64        // watch: return changes after this revision
	BlockTimeout  time.Duration // watch: wait at most this long for a change
	Limit         int           // list: maximum number of keys
	Preconditions []Precondition
	Changes       []Change
	TTL           time.Duration // for StoreLease
	Lease         uint64        // for StoreRenew and StoreRevoke
	Timeout       time.Duration
}

// Item is a key and its value as the state service returns them, or a removed key.
type Item struct {
	Key         string
	Value       json.RawMessage
	ModRevision uint64
	Removed     bool
}

// StoreResult is the result of a StoreCall. Status 0 means that the outcome
// is unknown, as without an answer.
type StoreResult struct {
	CallID     uint64
	Status     int
	Err        string
	Revision   uint64 // of the state service
	Items      []Item
	More       bool     // list: there are further keys
	Lease      uint64   // the new lease, for StoreLease
	FailedKeys []string // keys whose preconditions failed
}
