// Package core is mulleinfall without input or output: one State, changed by
// Step(now, event), which answers with the effects to carry out. It owns the
// job, task and machine tables and ties election, sched and fleet together.
// Time is the steady clock as the caller hands it in; there is no I/O, clock,
// goroutine or global random source here, so a trace of events replays.
package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// Goal is what is expected of the jobs of a class.
type Goal struct {
	StartWithin  time.Duration // tasks should start within; 0: nothing is said
	FinishWithin time.Duration // jobs should be done within; 0: nothing is said
	DueFactor    float64       // jobs should be done within their due time this many times; 0: nothing is said
}

// Team is what a team is guaranteed and may use at most (0: no limit).
type Team struct {
	Guaranteed, Limit sched.Resources
}

// Config is everything that core takes from the settings.
type Config struct {
	Self        string
	Peers       []string
	Incarnation uint64 // differs between lives of this node; seeds its random source
	Teams       map[string]Team
	Goals       map[string]Goal // by class: what its users expect

	ReportInterval time.Duration
	Lease          time.Duration
	CancelWithin   time.Duration
	// GangWaitTimeout is how long a gang's task waits for the others, GangPeer how soon
	// it notices that one is gone. 0: no gangs.
	GangWaitTimeout, GangPeerTimeout time.Duration
	// Version is the newest version of messages and stored values that this program
	// knows: NewestVersion, but in tests that play a former version.
	Version      int
	MaxClockSkew time.Duration // bound on how far the time of day is off; 0: not known

	StoreRPS      float64
	StoreWriteRPS float64
	MaxValueBytes int
	MaxTxnOps     int
	CloudRPS      float64
	ListLag       time.Duration

	MaxDirectCommands int // direct commands under way at a time
	MaxRequests       int // users' and workers' requests under way at a time

	Tuning

	// DebugLog says that lines of the debug level are wanted.
	DebugLog bool

	// RoundBudget is the time that one round of decisions may take (0: any), and
	// Stopwatch starts a measurement whose result tells how much has passed.
	// Nil: no time passes.
	RoundBudget time.Duration
	Stopwatch   func() func() time.Duration
}

// Tuning holds what operators may set themselves.
type Tuning struct {
	SkipLimit           int           // design's limit on being passed
	BitmapWriteInterval time.Duration // bitmap writes of one job
	IdleBoots           float64       // keep an idle machine for this many boot times
	GiveUpBoots         float64       // give up a machine after this many boot times
	Patience            float64       // part of a job's spare time that may pass before dearer machines are rented
	SpareServices       int           // service tasks for which room is kept free
	SpareGangs          int           // gangs for which room is kept free
	MaxMachines         int           // never rent beyond this; 0: whatever the cloud has
}

// DefaultTuning is in force where the operator says nothing.
func DefaultTuning() Tuning {
	return Tuning{
		SkipLimit:           25,
		BitmapWriteInterval: 2 * time.Second,
		IdleBoots:           0.5,
		GiveUpBoots:         4,
		Patience:            0.25,
		SpareServices:       2,
		SpareGangs:          1,
	}
}

// ClockDrift bounds how far the steady clocks of two machines drift apart,
// relative to the time measured (PROTOCOL).
const ClockDrift = 0.0005

// Event is one thing that happened: one of the types below.
type Event any

// Effect is one thing to do: one of the types below.
type Effect any

// Tick lets time-driven work happen. Wall is the time of day in milliseconds;
// it serves to tell the age of a job, never to decide who may act.
type Tick struct{ WallMs int64 }

// Submit is a user's submission, checked for form by the edge. Wall is the
// time of day in milliseconds.
type Submit struct {
	RequestID uint64
	Job       model.Job
	WallMs    int64
}

// Poll asks for a job's state, Withdraw cancels it.
type Poll struct {
	RequestID uint64
	ID        string
}

// Cancel is a user's cancellation.
type Cancel struct {
	RequestID uint64
	ID        string
}

// HealthCheck is a health check.
type HealthCheck struct{ RequestID uint64 }

// WorkerReport is a worker's report on its own initiative.
type WorkerReport struct {
	RequestID uint64
	Report    model.Report
}

// Reply answers a user, a worker or a health check. When Until is set, the
// edge sends it only before that time: a starved processor must not let an
// answer out after the entitlement behind it has ended.
type Reply struct {
	RequestID  uint64
	Status     int
	Body       any
	RetryAfter int // seconds; 0: none
	SendBefore time.Duration
}

// JobStatus is the body of answers to users.
type JobStatus struct {
	ID      string `json:"id"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// ReportReply is the body of a 200 to a worker.
type ReportReply struct {
	Epoch  uint64        `json:"epoch"`
	Orders []model.Order `json:"orders"`
}

// Redirect is the body of a 421 to a worker.
type Redirect struct {
	Leader string `json:"steward,omitempty"`
}

// Problem is the body of refusals.
type Problem struct {
	Error string `json:"error"`
}

// Log is a line for the log.
type Log struct {
	Level slog.Level
	Text  string
	Args  []any
}
