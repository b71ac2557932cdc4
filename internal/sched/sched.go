// Package sched decides which waiting task goes to which machine
// (docs/design.md). Jobs wait in one global queue in order of arrival, and each
// machine has a local queue. A task preferably goes to a free machine that
// already holds its image (a hit), even ahead of earlier tasks. A job that has
// been skipped as often as the skip limit allows takes any free machine, or has
// one reserved. If no free machine holds the image, a task below the limit waits
// for a machine that does, or has the image fetched to a free one, whichever is
// sooner. The package does no I/O and reads no clock: callers pass the current
// time.
package sched

import "time"

// Job is a job with waiting tasks, as the dispatcher sees it. All tasks of a
// job are alike, so they share one entry in the global queue.
type Job struct {
	ID                string
	Rank              int    // 0 is the most urgent
	Arrival           uint64 // grows in the order in which jobs were accepted
	Need              Resources
	Image             string
	ImageGB           float64
	Estimate          time.Duration // expected run time of a task; 0 for services
	IsService         bool          // runs until it is cancelled
	IsGang            bool          // starts only when all its tasks fit now
	OneZone           bool          // a gang whose tasks must all be in one zone
	MayReserve        bool          // a gang for which machines may be reserved
	RestartMissesGoal bool          // a task that has to restart would miss the goal of its class
	Waiting           int           // tasks in the global queue
	Skips             int           // how often a later task went first
	Ref               any           // the caller's own record of the job
	reservationTried  bool          // reserveMachine has been called for it in this round
}

// Config holds the operator's settings for dispatch.
type Config struct {
	// SkipLimit is how many later tasks may be placed ahead of a waiting job before
	// its next task takes any free machine, or has a machine reserved.
	SkipLimit int
}

// Env is what the dispatcher needs from its caller.
type Env interface {
	// Allowed reports whether a task of j may be on m now by machine type, zone,
	// job kind, spread and the job's other tasks. It doesn't check free capacity.
	Allowed(j *Job, m *Machine) bool
	// WithinLimit reports whether one more task of j keeps its team within its limit.
	WithinLimit(j *Job) bool
	// Place binds one waiting task of j to m. It returns false if that isn't possible.
	Place(j *Job, m *Machine, path Path) bool
	// Undo reverts all placements of j in this round.
	Undo(j *Job)
	// BudgetExhausted reports whether the round's time budget is used up.
	BudgetExhausted() bool
}

// Path names the rule by which a task was placed on its machine.
type Path string

// Placements are counted by path for the operator.
const (
	PathHit        Path = "hit"       // first in the queue; the machine holds the image
	PathSkipHit    Path = "skip_hit"  // a hit that went ahead of earlier tasks
	PathFetch      Path = "fetch"     // a fetch is sooner than the wait for a machine with the image
	PathLocalQueue Path = "local"     // from the machine's local queue
	PathSkipLimit  Path = "limit"     // at the skip limit, so it didn't wait for the image
	PathGang       Path = "gang"      // together with all other tasks of its gang
	PathPassMiss   Path = "pass_miss" // without the image, ahead of tasks that fit nowhere now
)
