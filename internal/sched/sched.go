// Package sched decides which waiting task goes to which machine
// (docs/design.md). Jobs wait in one global queue by rank, then by arrival, and each
// machine has a local queue. A task preferably goes to a free machine that
// already has its image (a hit), even ahead of earlier tasks, which are skipped
// then. A job that has been skipped as often as the skip limit allows takes any free
// machine, or has one reserved. If no free machine has the image, a task below the
// limit waits in the local queue of a busy machine that has or is fetching it, or has
// the image fetched to a free one, whichever is sooner. The package does no I/O and
// reads no clock: callers pass the current time.
package sched

import "time"

// Job is a job with waiting tasks, as the dispatcher sees it. All tasks of a
// job are alike, so they share one entry in the global queue.
type Job struct {
	ID                string
	Rank              int    // the smaller, the more urgent
	Arrival           uint64 // grows in the order in which jobs were accepted
	Need              Resources
	Image             string
	ImageGB           float64
	Estimate          time.Duration // expected run time of a task; without meaning for services
	IsService         bool          // runs until it is cancelled
	IsGang            bool          // starts only when all its tasks fit now
	OneZone           bool          // all tasks must be in one zone: each zone is tried for a gang, and Env.Allowed checks it
	MayReserve        bool          // a gang for which machines may be reserved
	RestartMissesGoal bool          // a task that has to restart would miss the goal of its class
	Waiting           int           // tasks in the global queue
	Skips             int           // how many tasks of later jobs of its rank were placed while it waited
	Ref               any           // the caller's own record of the job
	reservationTried  bool          // this call of RunRound has tried to reserve a machine for it
}

// Config holds the operator's settings for dispatch.
type Config struct {
	// SkipLimit is how many later tasks may be placed ahead of a waiting job before
	// its tasks take any free machine, or have a machine reserved.
	SkipLimit int
}

// Env is what the dispatcher needs from its caller.
type Env interface {
	// Allowed reports whether a task of j may be on m now, judged by machine type, zone,
	// job kind, spread and the job's other tasks. It doesn't check free capacity.
	Allowed(j *Job, m *Machine) bool
	// WithinLimit reports whether one more task of j keeps its team within its limit.
	WithinLimit(j *Job) bool
	// Place binds one waiting task of j to m. It decrements j.Waiting, and adds the task
	// to what the fields of m show. It returns false if that isn't possible.
	Place(j *Job, m *Machine, path Path) bool
	// Undo reverts all placements of the gang j in this round, except in j.Waiting.
	Undo(j *Job)
	// BudgetExhausted reports whether the round's time budget is used up.
	BudgetExhausted() bool
}

// Path names the rule by which a task was placed on its machine.
type Path string

// Placements are counted by path for the operator.
const (
	PathHit        Path = "hit"       // the machine has the image; no earlier job is skipped
	PathSkipHit    Path = "skip_hit"  // the machine has the image; earlier jobs are skipped
	PathFetch      Path = "fetch"     // a fetch is sooner than the wait for a machine with the image
	PathLocalQueue Path = "local"     // from the machine's local queue
	PathSkipLimit  Path = "limit"     // without the image, for which a job at its skip limit doesn't wait
	PathGang       Path = "gang"      // together with all other waiting tasks of its gang
	PathPassMiss   Path = "pass_miss" // a fetch; the earlier jobs that are skipped fit nowhere now
)
