// Package sched is the dispatch rule of the design
// (docs/design.md): one global queue by arrival, a local queue per machine,
// hits first, the cheaper of waiting at a holder and fetching elsewhere, and
// out-of-order hits up to a skip limit. It is pure; callers hand in the time.
package sched

import "time"

// Job is a job with waiting tasks, as the dispatcher sees it. All tasks of a
// job are alike, so they share one entry in the global queue.
type Job struct {
	ID                string
	Rank              int    // 0 is the most urgent
	Arrival           uint64 // order of acceptance
	Need              Resources
	Image             string
	ImageGB           float64
	Estimate          time.Duration // run time; 0 for services
	IsService         bool          // a service: runs until cancelled
	IsGang            bool          // goes only when all its tasks fit now
	OneZone           bool          // a gang all of whose tasks must be in one zone
	MayReserve        bool          // a gang for which machines are kept free
	RestartMissesGoal bool          // a task that has to begin anew would come too late
	Waiting           int           // tasks in the global queue
	Skips             int           // times that a later task went first
	Ref               any           // whatever the caller needs to find its own record
	hasReservation    bool          // a machine is kept free for it in this round
}

// Config holds the operator's settings of the rule.
type Config struct {
	SkipLimit int
}

// Env is what the rule asks of its surroundings.
type Env interface {
	// Allowed says whether a task of j may be on m now: type, zone, kind,
	// spread and the job's other tasks. It does not look at room.
	Allowed(j *Job, m *Machine) bool
	// WithinLimit says whether j's team may use more now.
	WithinLimit(j *Job) bool
	// Place binds one waiting task of j to m; false if it can't after all.
	Place(j *Job, m *Machine, path Path) bool
	// Undo takes back what Place did for j in this round.
	Undo(j *Job)
	// BudgetExhausted says that the round's time budget is used up.
	BudgetExhausted() bool
}

// Path is the way by which a task came to its machine.
type Path string

// The paths of the rule, counted for the operator.
const (
	PathHit        Path = "hit"       // head of the queue to a roomy holder
	PathSkipHit    Path = "skip_hit"  // hit ahead of earlier tasks
	PathFetch      Path = "fetch"     // cheaper to fetch on a free machine
	PathLocalQueue Path = "local"     // from a local queue
	PathSkipLimit  Path = "limit"     // passed SkipLimit times, went at once
	PathGang       Path = "gang"      // with all the others of its job
	PathPassMiss   Path = "pass_miss" // exception: the tasks ahead fit nowhere now
)
