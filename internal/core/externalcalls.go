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
	CloudTypes  CloudOp = "types"
	CloudList   CloudOp = "list"
	CloudRent   CloudOp = "rent"
	CloudReturn CloudOp = "return"
)

// CloudCall is a call to the cloud.
type CloudCall struct {
	CallID  uint64
	Op      CloudOp
	Request string // rent: name of the rental request, never used twice
	Type    string // rent: machine type
	Zone    string
	Spot    bool
	Count   int      // rent: number of machines
	Hosts   []string // return: machines to return
	After   string   // list: start after this host
	Limit   int      // list: maximum number of machines
}

// CloudResult is the result of a CloudCall. Status 0 means that the outcome is
// unknown, as without an answer.
type CloudResult struct {
	CallID uint64
	Status int
	Err    string
	Types  []model.MachineType
	Hosts  []string // rent: the new machines
	Listed []model.ListedMachine
	More   bool // list: there are further machines
}

// AgentCall is a direct command to a worker. Orders may be empty: the worker then only
// answers with its report.
type AgentCall struct {
	CallID     uint64
	Host       string
	Endpoint   string
	Epoch      uint64
	Session    uint64
	Orders     []model.Order
	SendBefore time.Duration // the command is sent only before this time
}

// AgentResult is the result of an AgentCall. Status 0 means that the outcome is
// unknown, as without an answer.
type AgentResult struct {
	CallID uint64
	Status int
	Report *model.Report
}
