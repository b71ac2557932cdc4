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
	Call    uint64
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

// CloudDone ends a CloudCall.
type CloudDone struct {
	Call   uint64
	Status int
	Err    string
	Types  []model.MachineType
	Hosts  []string
	Listed []model.Listed
	More   bool
}

// AgentCall is a direct command to a worker.
type AgentCall struct {
	Call     uint64
	Host     string
	Endpoint string
	Epoch    uint64
	Session  uint64
	Orders   []model.Order
	Until    time.Duration // not sent at or after this time
}

// AgentDone ends an AgentCall.
type AgentDone struct {
	Call   uint64
	Status int
	Report *model.Report
}
