// Package model holds the types that all parts of mulleinfall share: jobs,
// machine types, worker reports and orders. Struct tags give the names on the
// wire; field names are the terms that the code uses.
package model

import (
	"strconv"
	"time"
)

// Job is a user's description of a job, as submitted. CPUs, GPUs and memory are
// what each task needs. Fields whose names end in S are in seconds.
type Job struct {
	ID               string   `json:"id"`
	Class            string   `json:"lane"`  // decides which goals for starting and finishing apply
	Team             string   `json:"owner"` // whose guarantee and limit apply
	Kind             string   `json:"shape"`
	Priority         string   `json:"rank"`
	Tasks            int      `json:"pieces"`
	CPUs             float64  `json:"cpus"`
	GPUs             float64  `json:"cards"`
	MemoryGB         float64  `json:"memoryGb"`
	Image            string   `json:"build"`
	ImageGB          float64  `json:"pullGb"`
	Types            []string `json:"flavors,omitempty"`   // allowed machine types; empty: all
	Zone             string   `json:"site,omitempty"`      // the only allowed zone; empty: any
	OneZone          bool     `json:"samePlace,omitempty"` // all tasks must be in the same zone
	Spread           bool     `json:"scatter,omitempty"`   // see MaxTasksPerZone
	Spot             bool     `json:"loaners,omitempty"`   // spot machines are allowed
	EstimateS        float64  `json:"guessS"`              // expected run time of a task
	CheckpointEveryS float64  `json:"snapshotEveryS"`      // 0: tasks save no checkpoints
	CheckpointCostS  float64  `json:"snapshotCostS"`       // how long it takes to save a checkpoint
	DueS             *float64 `json:"dueS,omitempty"`      // when the job is due, after submission
}

// Values of Job.Kind and Job.Priority.
const (
	KindBatch   = "batch"   // its tasks run independently, each until it is done
	KindService = "service" // its tasks run until the job is cancelled
	KindGang    = "gang"    // its tasks run all at the same time or not at all

	PriorityProd   = "prod"
	PriorityHigh   = "high"
	PriorityNormal = "normal"
	PriorityLow    = "low"
)

// PriorityRank maps a priority to its rank: 0 is the most urgent, and 3 stands for
// PriorityLow.
func PriorityRank(priority string) int {
	switch priority {
	case PriorityProd:
		return 0
	case PriorityHigh:
		return 1
	case PriorityNormal:
		return 2
	}
	return 3
}

// Phases of a job as users see them.
const (
	PhaseQueued  = "queued"
	PhaseRunning = "running"
	PhaseDone    = "done"
	PhaseAborted = "aborted" // the job was cancelled
)

// MachineType describes a type of machine that the cloud rents out. Prices are per hour.
type MachineType struct {
	Name        string   `json:"label"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"memoryGb"`
	CacheGB     float64  `json:"localGb"` // size of the image cache
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Price       float64  `json:"price"`
	SpotPrice   float64  `json:"marketPrice"`
	BootS       float64  `json:"bootS"` // how long it takes to boot, in seconds
	Zones       []string `json:"sites"` // where it is offered
}

// FitsTask reports whether one task of j fits an empty machine of this type.
func (t *MachineType) FitsTask(j *Job) bool {
	return j.CPUs <= t.CPUs && j.GPUs <= t.GPUs && j.MemoryGB <= t.MemoryGB && j.AllowsType(t.Name)
}

// AllowsType reports whether the job may run on machines of the named type.
func (j *Job) AllowsType(name string) bool {
	if len(j.Types) == 0 {
		return true
	}
	for _, t := range j.Types {
		if t == name {
			return true
		}
	}
	return false
}

// MaxTasksPerZone returns how many tasks of the job may be in one zone at a time:
// half of them, rounded up, if the job is to be spread.
func (j *Job) MaxTasksPerZone() int {
	if j.Spread {
		return (j.Tasks + 1) / 2
	}
	return j.Tasks
}

// TaskName returns the name that a task has in messages.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskName splits the name of a task into its job's id and its index.
func ParseTaskName(name string) (job string, index int, ok bool) {
	for i := len(name) - 1; i > 0; i-- {
		if name[i] == '/' {
			n, err := strconv.Atoi(name[i+1:])
			return name[:i], n, err == nil && n >= 0
		}
	}
	return "", 0, false
}

// Task states and exit causes in worker reports.
const (
	TaskFetching  = "pulling"   // its image is being fetched
	TaskGathering = "gathering" // a gang's task waits for the other tasks of its attempt
	TaskRunning   = "running"
	TaskSaving    = "saving" // the task was told to stop, and saves a checkpoint first
	TaskExited    = "exited"

	CauseDone           = "done"
	CauseStopped        = "halted" // by a kill order
	CauseError          = "error"
	CauseNoCapacity     = "full"    // the start was refused
	CauseInUse          = "in_use"  // the start was refused
	CauseNoSuchTask     = "no_such" // the start was refused
	CausePeerLost       = "peers"   // another task of the same gang is gone
	CauseGangIncomplete = "alone"   // the gang's other tasks did not all arrive in time
)

// IsKnownCause reports whether cause is one of the causes above.
func IsKnownCause(cause string) bool {
	switch cause {
	case CauseDone, CauseStopped, CauseError, CauseNoCapacity, CauseInUse, CauseNoSuchTask, CausePeerLost, CauseGangIncomplete:
		return true
	}
	return false
}

// TaskReport is the entry of one task in a worker's report.
type TaskReport struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	State   string `json:"phase"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"saved,omitempty"` // a checkpoint was saved before the exit
}

// Report is a worker's report on itself and its tasks. Reports are numbered by Seq. A
// new Session begins when the worker's lease has expired, which ends all its tasks. Epoch
// is the highest epoch of a leader's answers and commands that the worker has seen.
type Report struct {
	Host       string       `json:"host"`
	Endpoint   string       `json:"endpoint"`
	Type       string       `json:"flavor"`
	Zone       string       `json:"site"`
	Spot       bool         `json:"loaners"`
	Session    uint64       `json:"tenure"`
	Seq        uint64       `json:"tick"`
	Epoch      uint64       `json:"epoch"`
	ReclaimInS *float64     `json:"recallS"` // until the cloud reclaims the machine; nil: no notice
	Tasks      []TaskReport `json:"pieces"`
}

// Verbs of an order.
const (
	OrderStart  = "start"
	OrderKill   = "kill"
	OrderForget = "forget" // an exited attempt, which the worker then no longer reports
)

// Order tells a worker what to do with one attempt of a task.
type Order struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"windDownS,omitempty"` // of a kill order: seconds for a checkpoint; 0: none
}

// ListedMachine is a machine as listed by the cloud.
type ListedMachine struct {
	Host     string  `json:"id"`
	Endpoint string  `json:"endpoint"`
	Type     string  `json:"flavor"`
	Zone     string  `json:"site"`
	Spot     bool    `json:"loaners"`
	State    string  `json:"phase"` // starting, running or failed
	AgeS     float64 `json:"ageS"`  // seconds since it was rented
}

// maxDuration bounds durations that users, workers and the cloud give. Eight of them can be
// added without an overflow.
const maxDuration = 1 << 60

// Duration converts seconds, as users, workers and the cloud give them. Values that are too
// large for a time.Duration become maxDuration, about 36 years, or -maxDuration.
func Duration(seconds float64) time.Duration {
	return time.Duration(max(-maxDuration, min(seconds*float64(time.Second), maxDuration)))
}
