package core

import (
	"time"

	"mulleinfall/internal/model"
)

// This file defines the calls to the cloud and to workers, and their results.

// CloudOp is the kind of a call to the cloud.
type CloudOp string

// Kinds of calls to the cloud.
const (
	CloudTypes  CloudOp = "types"  // returns the machine types
	CloudList   CloudOp = "list"   // returns the machines, by host
	CloudRent   CloudOp = "rent"   // rents machines
	CloudReturn CloudOp = "return" // ends the rental of machines
)

// CloudCall is a call to the cloud.
type CloudCall struct {
	CallID  uint64
	Op      CloudOp
	Request string   // rent: name of the rental request, never used twice
	Type    string   // rent: machine type
	Zone    string   // rent: zone of the machines
	Spot    bool     // rent: spot machines, which the cloud may reclaim
	Count   int      // rent: number of machines
	Hosts   []string // return: machines to return
	After   string   // list: start after this host
	Limit   int      // list: maximum number of machines
}

// CloudResult is the result of a CloudCall. Status is the HTTP status; 0 means that the
// outcome is unknown, as without an answer.
type CloudResult struct {
	CallID uint64
	Status int
	Err    string
	Types  []model.MachineType
	Hosts  []string              // rent: the new machines, which may be fewer than requested
	Listed []model.ListedMachine // list
	More   bool                  // list: there are further machines
}

// AgentCall is a direct command: a command that the leader sends to a worker, as opposed
// to orders in the answer to a worker's report. Orders may be empty: the worker then only
// answers with its report. A worker refuses the command with status 409 if it has seen a
// higher epoch or is in another session.
type AgentCall struct {
	CallID     uint64
	Host       string
	Endpoint   string
	Epoch      uint64 // orders the leader's commands, see commands.go
	Session    uint64 // the worker's session, which ends with its lease
	Orders     []model.Order
	SendBefore time.Duration // the command is sent only before this time
}

// AgentResult is the result of an AgentCall. Status is the HTTP status; 0 means that the
// outcome is unknown, as without an answer.
type AgentResult struct {
	CallID uint64
	Status int
	Report *model.Report // the worker's report, also with status 409; nil without a readable answer
}
