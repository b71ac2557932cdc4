package core

import (
	"time"

	"mulleinfall/internal/model"
)

// Calls to the cloud and the workers, and their ends.

// CloudOp names a call to the cloud.
type CloudOp string

// Calls to the cloud.
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
	Request string // rent: its name, never reused
	Type    string
	Zone    string
	Spot    bool
	Count   int
	Hosts   []string
	After   string
	Limit   int
}

// CloudResult ends a CloudCall.
type CloudResult struct {
	CallID uint64
	Status int
	Err    string
	Types  []model.MachineType
	Hosts  []string
	Listed []model.ListedMachine
	More   bool
}

// AgentCall is a direct command to a worker.
type AgentCall struct {
	CallID     uint64
	Host       string
	Endpoint   string
	Epoch      uint64
	Session    uint64
	Orders     []model.Order
	SendBefore time.Duration // not sent at or after this time
}

// AgentResult ends an AgentCall.
type AgentResult struct {
	CallID uint64
	Status int
	Report *model.Report
}
