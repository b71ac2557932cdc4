// Package core is the controller's logic without input or output. It has one
// State, changed by Step(now, event), which returns the effects to carry out. It
// owns the job, task and machine tables and connects the packages election, sched
// and fleet. The caller passes in monotonic time. The package uses no I/O, clock,
// goroutine or global random source, so replaying a trace of events gives the same effects.
package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// Goal holds the service objectives for the jobs of a class.
type Goal struct {
	StartWithin  time.Duration // target time until a task has started; 0: none
	FinishWithin time.Duration // target time until a job is done; 0: none
	DueFactor    float64       // like FinishWithin, in multiples of the job's DueS; 0: none
}

// Team holds the resources that a team is guaranteed (0: none) and may use at most (0: no
// limit).
type Team struct {
	Guaranteed, Limit sched.Resources
}

// Config holds the settings that core uses.
type Config struct {
	Self        string
	Peers       []string
	Incarnation uint64 // differs for each process of this controller, so after each restart; seeds the random source
	Teams       map[string]Team
	Goals       map[string]Goal // by class

	ReportInterval time.Duration // time between two reports of a worker
	Lease          time.Duration // a worker whose reports are not answered stops its tasks after this time
	// CancelWithin is how long after the confirmation of a cancellation the job's tasks
	// must be gone.
	CancelWithin time.Duration
	// GangWaitTimeout is how long a task of a gang, whose tasks all run at the same
	// time, waits for the other tasks before it gives up. GangPeerTimeout is how soon a
	// running task notices that another one is gone. 0: no gangs.
	GangWaitTimeout, GangPeerTimeout time.Duration
	// Version is the newest version of messages and stored values that this program
	// knows. It is NewestVersion, except in tests that simulate a previous version.
	Version      int
	MaxClockSkew time.Duration // bound on the error of a wall clock; 0: unknown

	// The next fields are the limits of the state service and of the cloud.
	StoreRPS      float64       // requests to the state service per second
	StoreWriteRPS float64       // changes of keys in the state service per second
	MaxValueBytes int           // largest value in the state service
	MaxTxnOps     int           // changes in one transaction
	CloudRPS      float64       // requests to the cloud per second
	ListLag       time.Duration // how far the cloud's list of machines may lag behind

	MaxDirectCommands int // commands to workers (AgentCall) in flight at a time
	MaxRequests       int // users' and workers' requests in progress at a time

	Tuning

	// DebugLog enables log lines of the debug level.
	DebugLog bool

	// RoundBudget is the time that one dispatch round may take (0: unlimited).
	// Stopwatch starts a measurement and returns a function that returns the time
	// since then. If Stopwatch is nil, rounds count as taking no time.
	RoundBudget time.Duration
	Stopwatch   func() func() time.Duration
}

// Tuning holds the settings that operators may change.
type Tuning struct {
	// SkipLimit is how many tasks of later jobs may be placed ahead of a waiting job. After
	// that, the job's tasks take any free machine, even without their image, or have one
	// reserved.
	SkipLimit           int
	BitmapWriteInterval time.Duration // minimum time between two writes of a job's finished tasks
	IdleBoots           float64       // an idle machine is kept for this many boot times of its type
	// GiveUpBoots is the number of boot times after which a rented machine that has not
	// reported is given up.
	GiveUpBoots float64
	// Patience is the share of a batch job's spare time that may pass before more
	// expensive machines are rented for it. The spare time is the time within which the job
	// should be done, minus the times to boot a machine, fetch the image and run; or the
	// time within which it should start, minus boot and fetch, if that is less.
	Patience      float64
	SpareServices int // service tasks for which capacity is reserved
	SpareGangs    int // gangs for which capacity is reserved
	MaxMachines   int // no more machines are rented once there are this many; 0: no limit
}

// DefaultTuning returns the values that apply where the operator sets none.
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

// ClockDrift bounds how far the monotonic clocks of two machines drift apart,
// relative to the time measured (from the operators' protocol specification, here
// PROTOCOL).
const ClockDrift = 0.0005

// Event is an input of State.Step: Tick, Submit, Poll, Cancel, HealthCheck,
// WorkerReport, PeerIn, StoreResult, CloudResult or AgentResult.
type Event any

// Effect is an output of State.Step: Reply, Log, PeerOut, StoreCall, CloudCall or
// AgentCall.
type Effect any

// Tick starts the time-driven work. WallMs is the wall-clock time in milliseconds.
// It is used for the ages of jobs and of unresponsive marks (the times of the last replies
// to unresponsive machines, in the machine registry), never to decide which controller
// may act as leader.
type Tick struct{ WallMs int64 }

// Submit is a user's submission, whose form the package api has checked. WallMs is
// the wall-clock time at which it arrived, in milliseconds.
type Submit struct {
	RequestID uint64
	Job       model.Job
	WallMs    int64
}

// Poll is a user's request for a job's status.
type Poll struct {
	RequestID uint64
	ID        string
}

// Cancel is a user's cancellation of a job.
type Cancel struct {
	RequestID uint64
	ID        string
}

// HealthCheck asks whether this controller can serve requests.
type HealthCheck struct{ RequestID uint64 }

// WorkerReport is a report that a worker sends by itself, as opposed to one that
// answers a command (AgentResult).
type WorkerReport struct {
	RequestID uint64
	Report    model.Report
}

// Reply answers a user, a worker or a health check. If SendBefore is set, the reply
// is sent only before that time: a process that gets too little CPU time must not
// send it after the right to act as leader, on which the reply is based, has expired.
type Reply struct {
	RequestID  uint64
	Status     int
	Body       any
	RetryAfter int // seconds; 0: none
	SendBefore time.Duration
}

// JobStatus is the body of successful replies to users.
type JobStatus struct {
	ID      string `json:"id"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// ReportReply is the body of a 200 reply to a worker, which renews the worker's lease.
// Epoch is the leader's current epoch for that machine: the worker refuses commands of
// a lower epoch from then on.
type ReportReply struct {
	Epoch  uint64        `json:"epoch"`
	Orders []model.Order `json:"orders"`
}

// Redirect is the body of a 421 reply to a worker. It names the leader, if known.
type Redirect struct {
	Leader string `json:"steward,omitempty"`
}

// Problem is the body of replies that refuse a request.
type Problem struct {
	Error string `json:"error"`
}

// Log is a log line to write.
type Log struct {
	Level slog.Level
	Text  string
	Args  []any
}
