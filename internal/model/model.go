// Package model holds the nouns that the parts of mulleinfall share: jobs,
// machine types, worker reports and orders. Wire names stand only in the
// struct tags; code uses the field's terms.
package model

import "strconv"

// Job is a user's description of a job, as submitted.
type Job struct {
	ID               string   `json:"id"`
	Class            string   `json:"lane"`
	Team             string   `json:"owner"`
	Kind             string   `json:"shape"`
	Priority         string   `json:"rank"`
	Tasks            int      `json:"pieces"`
	CPUs             float64  `json:"cpus"`
	GPUs             float64  `json:"cards"`
	MemoryGB         float64  `json:"memoryGb"`
	Image            string   `json:"build"`
	ImageGB          float64  `json:"pullGb"`
	Types            []string `json:"flavors,omitempty"`
	Zone             string   `json:"site,omitempty"`
	OneZone          bool     `json:"samePlace,omitempty"`
	Spread           bool     `json:"scatter,omitempty"`
	Spot             bool     `json:"loaners,omitempty"`
	EstimateS        float64  `json:"guessS"`
	CheckpointEveryS float64  `json:"snapshotEveryS"`
	CheckpointCostS  float64  `json:"snapshotCostS"`
	DueS             *float64 `json:"dueS,omitempty"`
}

// Values of Job.Kind and Job.Priority.
const (
	KindBatch   = "batch"
	KindService = "service"
	KindGang    = "gang" // all tasks run at the same time, or none

	PriorityProd   = "prod"
	PriorityHigh   = "high"
	PriorityNormal = "normal"
	PriorityLow    = "low"
)

// PriorityRank orders priorities: the smaller, the more urgent.
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
	PhaseAborted = "aborted"
)

// MachineType is one kind of machine that the cloud rents.
type MachineType struct {
	Name        string   `json:"label"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"memoryGb"`
	CacheGB     float64  `json:"localGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Price       float64  `json:"price"`
	SpotPrice   float64  `json:"marketPrice"`
	BootS       float64  `json:"bootS"`
	Zones       []string `json:"sites"`
}

// FitsTask says whether one task of j fits an empty machine of this type.
func (t *MachineType) FitsTask(j *Job) bool {
	return j.CPUs <= t.CPUs && j.GPUs <= t.GPUs && j.MemoryGB <= t.MemoryGB && j.AllowsType(t.Name)
}

// AllowsType says whether the job's list of types admits name.
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

// MaxTasksPerZone is how many tasks of the job may be in one zone at a time.
func (j *Job) MaxTasksPerZone() int {
	if j.Spread {
		return (j.Tasks + 1) / 2
	}
	return j.Tasks
}

// TaskName is the wire name of a task.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskName takes a task name apart.
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
	TaskFetching  = "pulling"
	TaskGathering = "gathering" // of a gang: waits for the other tasks of its attempt
	TaskRunning   = "running"
	TaskSaving    = "saving"
	TaskExited    = "exited"

	CauseDone           = "done"
	CauseStopped        = "halted"
	CauseError          = "error"
	CauseNoCapacity     = "full"
	CauseInUse          = "in_use"
	CauseNoSuchTask     = "no_such"
	CausePeerLost       = "peers" // of a gang: another of its tasks is gone
	CauseGangIncomplete = "alone" // of a gang: it was not complete in time
)

// IsKnownCause says whether cause is one of the reasons for which a task exits.
func IsKnownCause(cause string) bool {
	switch cause {
	case CauseDone, CauseStopped, CauseError, CauseNoCapacity, CauseInUse, CauseNoSuchTask, CausePeerLost, CauseGangIncomplete:
		return true
	}
	return false
}

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	State   string `json:"phase"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"saved,omitempty"`
}

// Report is what a worker says of itself.
type Report struct {
	Host       string       `json:"host"`
	Endpoint   string       `json:"endpoint"`
	Type       string       `json:"flavor"`
	Zone       string       `json:"site"`
	Spot       bool         `json:"loaners"`
	Session    uint64       `json:"tenure"`
	Seq        uint64       `json:"tick"`
	Epoch      uint64       `json:"epoch"`
	ReclaimInS *float64     `json:"recallS"`
	Tasks      []TaskReport `json:"pieces"`
}

// Order verbs.
const (
	OrderStart  = "start"
	OrderKill   = "kill"
	OrderForget = "forget"
)

// Order is one command to a worker.
type Order struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"windDownS,omitempty"`
}

// ListedMachine is a machine as the cloud lists it.
type ListedMachine struct {
	Host     string  `json:"id"`
	Endpoint string  `json:"endpoint"`
	Type     string  `json:"flavor"`
	Zone     string  `json:"site"`
	Spot     bool    `json:"loaners"`
	State    string  `json:"phase"`
	AgeS     float64 `json:"ageS"`
}
