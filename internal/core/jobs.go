package core

import (
	"log/slog"
	"strconv"
	"time"

	"mulleinfall/internal/exactjson"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// jobValue is a job in the state service. When a job becomes final (done or cancelled),
// its spec is removed: only the outcome is kept for ever.
type jobValue struct {
	Spec        *model.Job `json:"spec,omitempty"`
	SubmittedAt int64      `json:"at,omitempty"`    // wall clock, ms
	Phase       string     `json:"phase,omitempty"` // "" until the job is final
	Tasks       int        `json:"tasks,omitempty"` // of a done job, whose spec is removed
}

// job is a row of the job table.
type job struct {
	model.Job
	phase       string // "" until the job is done or cancelled
	arrival     uint64 // revision at which it was accepted; jobs are queued in this order
	submittedAt int64  // wall clock, ms
	rank        int    // see model.PriorityRank

	doneBits    bitmap // the finished tasks
	doneCount   int
	chunks      map[int]*chunk // sections of doneBits, which are stored separately
	finalSeenAt time.Duration  // when this controller learnt that the job is final
	writingDone bool           // the write of phase "done" is under way

	reportedRunning int // running tasks as last received from the leader, for display

	// The fields below are kept by the leader, for the current term.
	tasks             map[int]*task  // tasks bound to a machine, by index
	tasksByZone       map[string]int // number of bound tasks in each zone
	nextIndex         int            // takeWaitingTask hasn't come to the tasks from this index on yet
	retryIndexes      []int          // tasks that were requeued
	queueEntry        *sched.Job
	runTimes          []time.Duration // of tasks that this leader saw start and finish, sorted
	lastTaskLostAt    time.Duration   // when a task was last requeued
	gang              gangStatus
	consecutiveErrors int           // tasks that exited with cause "error" or "no_such" in a row
	retryAt           time.Duration // no task starts before this time
}

// need returns what each task takes of its machine.
func (j *job) need() sched.Resources {
	return sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB, Tasks: 1}
}

// quotaShare returns what each task takes of its team's guarantee and limit, which are
// given in CPUs and GPUs.
func (j *job) quotaShare() sched.Resources { return sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs} }

// isFinal reports whether the job is done or cancelled.
func (j *job) isFinal() bool { return j.phase != "" }

func (j *job) isDone(i int) bool { return j.doneBits.has(i) }

func (j *job) countRunning() int {
	n := 0
	for _, t := range j.tasks {
		if t.state == model.TaskRunning {
			n++
		}
	}
	return n
}

// resetTerm clears what the leader of the previous term kept about the job.
func (j *job) resetTerm() {
	j.tasks, j.tasksByZone = map[int]*task{}, map[string]int{}
	j.nextIndex, j.retryIndexes, j.consecutiveErrors, j.retryAt, j.lastTaskLostAt = 0, nil, 0, 0, 0
	j.queueEntry, j.runTimes, j.gang = nil, nil, gangStatus{}
	j.writingDone = false
}

// waitingTasks returns how many tasks are neither done nor bound to a machine.
func (j *job) waitingTasks() int {
	return max(0, j.Tasks-j.doneCount-len(j.tasks))
}

// takeWaitingTask removes the next task that needs a machine from the waiting tasks and
// returns its index.
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

// applyJobKey applies a change of a job's key in the state service.
func (s *State) applyJobKey(id string, item Item) {
	if item.Removed {
		return // controllers never remove the key of a job, since its outcome is kept for ever
	}
	var value jobValue
	if err := exactjson.Unmarshal(item.Value, &value); err != nil {
		s.log(slog.LevelError, "job value is not readable", "job", id, "error", err.Error())
		return
	}
	j := s.jobs[id]
	if j == nil {
		j = &job{Job: model.Job{ID: id, Tasks: value.Tasks}, tasks: map[int]*task{}, tasksByZone: map[string]int{}}
		s.jobs[id] = j
		if value.Spec != nil {
			j.Job = *value.Spec
			j.arrival, j.submittedAt, j.rank = item.ModRevision, value.SubmittedAt, model.PriorityRank(j.Priority)
			j.chunks = map[int]*chunk{}
			s.active[id] = j
			s.log(slog.LevelDebug, "job queued", "job", id, "class", j.Class, "tasks", j.Tasks, "cpus", j.CPUs, "estimate_s", j.EstimateS, "image", j.Image)
		}
	}
	s.dispatchNeeded = true
	if value.Phase != "" && j.phase == "" {
		j.phase, j.finalSeenAt = value.Phase, s.now
		delete(s.active, id)
		s.log(slog.LevelInfo, "job finished", "job", id, "phase", value.Phase)
		if value.Phase == model.PhaseAborted && item.ModRevision > s.termModRevision {
			// Before it acted, the leader read all changes up to the revision of its
			// election, but it may not know of this later one.
			s.unacknowledged[id] = item.ModRevision
		}
		if value.Phase == model.PhaseAborted {
			s.logCancellationLearnt(j, item.ModRevision)
		}
		if s.leadership != nil && s.electedAt != 0 {
			s.stopJob(j)
		}
		j.retryIndexes, j.chunks, j.doneBits, j.queueEntry = nil, nil, nil, nil
	}
}

// stopJob stops the tasks of a final job. Its waiting tasks leave the local queues, in
// each of which tasks wait for one machine.
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

// markTaskDone records that a task has completed. The report may come from any
// machine and at any time.
func (s *State) markTaskDone(j *job, index int) {
	if j.isFinal() || index >= j.Tasks || j.isDone(index) {
		return
	}
	j.setDone(index)
	s.dispatchNeeded = true
	if j.Kind == model.KindGang {
		// A gang's tasks complete together, so if one is done, all are. The reports on
		// the others may never arrive if their machines can't reach the controllers.
		for k := range j.Tasks {
			if !j.isDone(k) {
				j.setDone(k)
			}
		}
	} else if t := j.tasks[index]; t != nil {
		s.stopTask(t, 0) // the result is kept, so another attempt is of no use
	}
	if j.doneCount == j.Tasks {
		s.finishJob(j)
	}
}

func (j *job) setDone(index int) {
	j.doneCount += j.doneBits.merge(index/64, 1<<(index%64))
	j.chunk(index / chunkTasks).dirty = true
}

// finishJob writes phase "done" to the state service. The same transaction removes as many
// stored parts of the job's bitmap as fit into it; the rest stay in the state service. If
// the job is cancelled at the same time, the first write wins, and the other fails its
// precondition on the job's key.
func (s *State) finishJob(j *job) {
	if j.writingDone || !s.IsLeader() {
		return
	}
	j.writingDone = true
	key := prefixJobs + j.ID
	value := mustMarshal(jobValue{Phase: model.PhaseDone, Tasks: j.Tasks})
	var removals []Change
	for _, n := range sortedKeys(j.chunks) {
		progressKey := prefixProgress + j.ID + "/" + strconv.Itoa(n)
		for part := 0; s.modRevision(progressKey) != 0 && len(removals) < s.cfg.MaxTxnOps-1; part++ {
			removals = append(removals, Change{Key: progressKey, Remove: true})
			progressKey = prefixProgress + j.ID + "/" + strconv.Itoa(n) + "." + strconv.Itoa(part+1)
		}
	}
	s.queueWrite(&write{
		change: Change{Key: key, Value: value}, leaderTerm: s.leadership.Term, deadline: s.now + time.Hour, alsoRemove: removals, class: classJobEnd,
		done: func(result outcome) {
			j.writingDone = false
			if result == written {
				s.notifyPeers(key, value)
			}
		},
	})
}
