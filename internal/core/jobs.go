package core

import (
	"encoding/json"
	"log/slog"
	"strconv"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// jobValue is a job in the state service. Once a job is over, its spec is
// dropped: only the outcome must be kept for ever.
type jobValue struct {
	Spec        *model.Job `json:"spec,omitempty"`
	SubmittedAt int64      `json:"at,omitempty"` // submission, ms of the day's clock
	Phase       string     `json:"phase,omitempty"`
	Tasks       int        `json:"tasks,omitempty"`
}

// job is a row of the job table.
type job struct {
	model.Job
	phase       string // "" while active
	arrival     uint64 // revision of its acceptance: the order of the queue
	submittedAt int64  // time of day of its submission, ms
	rank        int

	doneBits    []uint64
	doneCount   int
	chunks      map[int]*chunk
	finalSeenAt time.Duration // when it was seen to be over
	writingDone bool          // the write of "done" is under way

	reportedRunning int // as the leader last told, for display

	// The leader's part.
	tasks             map[int]*task  // bound to a machine, or may still be there
	tasksByZone       map[string]int // how many of them in each zone
	nextIndex         int            // tasks from here on never started in this term
	retryIndexes      []int          // tasks to start again
	queueEntry        *sched.Job
	runTimes          []time.Duration // what its finished tasks took, as this leader saw, in order
	lastTaskLostAt    time.Duration   // when a task last had to start again
	gang              gangStatus
	consecutiveErrors int // exits with "error" in a row
	retryAt           time.Duration
}

// need is what each task takes of its machine.
func (j *job) need() sched.Resources {
	return sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
}

// quotaShare is what each task takes of its team's guarantee and limit, which are
// given in CPUs and GPUs.
func (j *job) quotaShare() sched.Resources { return sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs} }

func (j *job) isFinal() bool { return j.phase != "" }

func (j *job) isDone(i int) bool { return j.doneBits[i/64]&(1<<(i%64)) != 0 }

func (j *job) countRunning() int {
	n := 0
	for _, t := range j.tasks {
		if t.state == model.TaskRunning {
			n++
		}
	}
	return n
}

func (j *job) resetTerm() {
	j.tasks, j.tasksByZone = map[int]*task{}, map[string]int{}
	j.nextIndex, j.retryIndexes, j.consecutiveErrors, j.retryAt, j.lastTaskLostAt = 0, nil, 0, 0, 0
	j.queueEntry, j.runTimes, j.gang = nil, nil, gangStatus{}
	j.writingDone = false
}

// waitingTasks is how many tasks want a machine.
func (j *job) waitingTasks() int {
	return max(0, j.Tasks-j.doneCount-len(j.tasks))
}

// takeWaitingTask hands out a task that wants a machine.
func (j *job) takeWaitingTask() (int, bool) {
	for len(j.retryIndexes) > 0 {
		i := j.retryIndexes[0]
		j.retryIndexes = j.retryIndexes[1:]
		if !j.isDone(i) && j.tasks[i] == nil {
			return i, true
		}
	}
	for j.nextIndex < j.Tasks {
		i := j.nextIndex
		j.nextIndex++
		if !j.isDone(i) && j.tasks[i] == nil {
			return i, true
		}
	}
	return 0, false
}

// applyJobKey takes a job's key.
func (s *State) applyJobKey(id string, it Item) {
	if it.Removed {
		return // never done by us: jobs are kept for ever
	}
	var v jobValue
	if err := json.Unmarshal(it.Value, &v); err != nil {
		s.log(slog.LevelError, "unreadable job", "job", id, "error", err.Error())
		return
	}
	j := s.jobs[id]
	if j == nil {
		j = &job{Job: model.Job{ID: id, Tasks: v.Tasks}, tasks: map[int]*task{}, tasksByZone: map[string]int{}}
		s.jobs[id] = j
		if v.Spec != nil {
			j.Job = *v.Spec
			j.arrival, j.submittedAt, j.rank = it.ModRevision, v.SubmittedAt, model.PriorityRank(j.Priority)
			j.doneBits = make([]uint64, (j.Tasks+63)/64)
			j.chunks = map[int]*chunk{}
			s.active[id] = j
			s.log(slog.LevelDebug, "job queued", "job", id, "class", j.Class, "tasks", j.Tasks, "cpus", j.CPUs, "estimate_s", j.EstimateS, "image", j.Image)
		}
	}
	s.dispatchNeeded = true
	if v.Phase != "" && j.phase == "" {
		j.phase, j.finalSeenAt = v.Phase, s.now
		delete(s.active, id)
		s.log(slog.LevelInfo, "job over", "job", id, "phase", v.Phase)
		if v.Phase == model.PhaseAborted && it.ModRevision > s.termModRevision {
			s.unacknowledged[id] = it.ModRevision
		}
		if v.Phase == model.PhaseAborted {
			s.logCancellationLearnt(j, it.ModRevision)
		}
		if s.leadership != nil && s.electedAt != 0 {
			s.stopJob(j)
		}
		j.retryIndexes, j.chunks, j.doneBits, j.queueEntry = nil, nil, nil, nil
	}
}

// stopJob rids the machines of a job that was withdrawn.
func (s *State) stopJob(j *job) {
	for _, t := range j.tasks {
		s.stopTask(t, 0)
	}
	for _, m := range s.machinesByName {
		if len(m.view.LocalQueue) == 0 {
			continue
		}
		kept := m.view.LocalQueue[:0]
		for _, q := range m.view.LocalQueue {
			if q.Job.ID != j.ID {
				kept = append(kept, q)
			}
		}
		m.view.LocalQueue = kept
	}
}

// markTaskDone notes that a task has completed, whoever reports it and however
// late.
func (s *State) markTaskDone(j *job, i int) {
	if j.isFinal() || i >= j.Tasks || j.isDone(i) {
		return
	}
	j.setDone(i)
	s.dispatchNeeded = true
	if j.Kind == model.KindGang {
		// They complete together: if one is done, all are. The others' own words
		// may never come, where their machines are out of reach.
		for k := range j.Tasks {
			if !j.isDone(k) {
				j.setDone(k)
			}
		}
	} else if t := j.tasks[i]; t != nil {
		s.stopTask(t, 0) // its result is kept: another attempt is wasted
	}
	if j.doneCount == j.Tasks {
		s.finishJob(j)
	}
}

func (j *job) setDone(i int) {
	j.doneBits[i/64] |= 1 << (i % 64)
	j.doneCount++
	j.chunk(i / chunkTasks).dirty = true
}

// finishJob makes "done" durable. Against a withdrawal the guard on the key
// decides.
func (s *State) finishJob(j *job) {
	if j.writingDone || !s.IsLeader() {
		return
	}
	j.writingDone = true
	key := prefixJobs + j.ID
	value := mustMarshal(jobValue{Phase: model.PhaseDone, Tasks: j.Tasks})
	var extra []Change
	for _, n := range sortedKeys(j.chunks) {
		k := prefixProgress + j.ID + "/" + strconv.Itoa(n)
		for part := 0; s.modRevision(k) != 0 && len(extra) < s.cfg.MaxTxnOps-1; part++ {
			extra = append(extra, Change{Key: k, Remove: true})
			k = prefixProgress + j.ID + "/" + strconv.Itoa(n) + "." + strconv.Itoa(part+1)
		}
	}
	s.queueWrite(&write{
		change: Change{Key: key, Value: value}, leaderTerm: s.leadership.Term, deadline: s.now + time.Hour, alsoRemove: extra, class: classJobEnd,
		done: func(r outcome) {
			j.writingDone = false
			if r == written {
				s.notifyPeers(key, value)
			}
		},
	})
}
