// Package sched decides which waiting task goes to which machine
// (docs/design.md). Jobs wait in one global queue by rank, then by arrival, and each
// machine has a local queue. Below, a machine is free if it is not reserved and has
// enough free capacity for the task.
//
// A task preferably goes to a free machine that already has its image (a hit), even while
// earlier jobs wait; this skips those of the same rank. The tasks of a job that has been
// skipped as often as the skip limit allows go to any free machine. If there is none, one
// machine is reserved for the job. If none of the free machines has the image and the job
// is below the limit, the task either waits in the local queue of a machine that has or
// is fetching the image but lacks capacity, or goes to a free machine, which fetches it,
// whichever is sooner.
//
// The package does no I/O and reads no clock: callers pass the current time.
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
	OneZone           bool          // all tasks must be in one zone: Env.Allowed enforces this, and capacity for a gang is looked for zone by zone
	MayReserve        bool          // a gang for which machines may be reserved
	RestartMissesGoal bool          // a task that restarts halfway would miss the goal of its job's class, so machines that the cloud can't reclaim are preferred
	Waiting           int           // tasks in the global queue
	Skips             int           // how often it was skipped, see Config.SkipLimit; the caller may raise it
	Ref               any           // the caller's own record of the job
	reservationTried  bool          // this call of RunRound has tried to reserve a machine for it
}

// Config holds the operator's settings for dispatch.
type Config struct {
	// SkipLimit is the number of skips (Job.Skips) from which a job's tasks go to any free
	// machine, or have one reserved if there is none. A waiting job is skipped when a task
	// of a later job of its rank is placed from the global queue. Gangs neither skip nor
	// are skipped, and a job held back by its team's limit is not skipped.
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
	PathPassMiss   Path = "pass_miss" // the machine fetches the image; earlier jobs are skipped, which found no machine in this round
)
