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
	StoreList   StoreOp = "list"   // returns the keys with Prefix, in lexical order
	StoreWatch  StoreOp = "watch"  // returns the changes of keys with Prefix after AfterRevision
	StoreTxn    StoreOp = "txn"    // makes Changes if all Preconditions hold
	StoreLease  StoreOp = "grant"  // creates a lease
	StoreRenew  StoreOp = "touch"  // renews a lease
	StoreRevoke StoreOp = "revoke" // ends a lease, which removes its keys
)

// Precondition requires that a key has a given modification revision: the revision of the
// state service at which the key was last changed (0: the key does not exist).
type Precondition struct {
	Key         string
	ModRevision uint64
}

// Change sets or removes a key.
type Change struct {
	Key    string
	Value  json.RawMessage // unused if Remove is set
	Lease  uint64          // the key is removed when this lease ends; 0: none
	Remove bool
}

// StoreCall is a call to the state service.
type StoreCall struct {
	CallID        uint64
	Op            StoreOp
	Prefix        string        // list and watch
	StartAfter    string        // list: start after this key
	AfterRevision uint64        // watch: return changes after this revision
	BlockTimeout  time.Duration // watch: wait at most this long for a change; 0: answer at once
	Limit         int           // list: maximum number of keys
	Preconditions []Precondition
	Changes       []Change
	TTL           time.Duration // for StoreLease
	Lease         uint64        // for StoreRenew and StoreRevoke
	Timeout       time.Duration // after this time without an answer the result has status 0
}

// Item is a key and its value as the state service returns them, or a removed key.
type Item struct {
	Key         string
	Value       json.RawMessage
	ModRevision uint64 // revision of the key's last change or of its removal
	Removed     bool
}

// StoreResult is the result of a StoreCall. Status is the HTTP status; 0 means that the
// outcome is unknown, as without an answer.
type StoreResult struct {
	CallID     uint64
	Status     int
	Err        string
	Revision   uint64 // of the state service at the answer; txn: the revision of the changes
	Items      []Item
	More       bool     // list: there are further keys
	Lease      uint64   // the new lease, for StoreLease
	FailedKeys []string // txn with status 409: keys whose preconditions failed
}
