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
	Spec  *model.Job `json:"spec,omitempty"`
	At    int64      `json:"at,omitempty"` // submission, ms of the day's clock
	Phase string     `json:"phase,omitempty"`
	Tasks int        `json:"tasks,omitempty"`
}

// job is a row of the job table.
type job struct {
	model.Job
	phase   string // "" while active
	arrival uint64 // revision of its acceptance: the order of the queue
	at      int64  // time of day of its submission, ms
	rank    int

	doneBits  []uint64
	doneCount int
	chunks    map[int]*chunk
	overAt    time.Duration // when it was seen to be over
	finishing bool          // the write of "done" is under way

	running int // as the leader last told, for display

	// The leader's part.
	tasks   map[int]*task  // bound to a machine, or may still be there
	zones   map[string]int // how many of them in each zone
	next    int            // tasks from here on never started in this term
	retry   []int          // tasks to start again
	entry   *sched.Job
	runs    []time.Duration // what its finished tasks took, as this leader saw, in order
	lostAt  time.Duration   // when a task last had to start again
	gang    gang
	errors  int // exits with "error" in a row
	retryAt time.Duration
}

// need is what each task takes of its machine.
func (j *job) need() sched.Resources {
	return sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
}

// teamShare is what each task takes of its team's guarantee and limit, which are
// given in CPUs and GPUs.
func (j *job) teamShare() sched.Resources { return sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs} }

func (j *job) final() bool { return j.phase != "" }

func (j *job) isDone(i int) bool { return j.doneBits[i/64]&(1<<(i%64)) != 0 }

func (j *job) liveTasks() int {
	n := 0
	for _, t := range j.tasks {
		if t.state == model.TaskRunning {
			n++
		}
	}
	return n
}

func (j *job) forgetTerm() {
	j.tasks, j.zones = map[int]*task{}, map[string]int{}
	j.next, j.retry, j.errors, j.retryAt, j.lostAt = 0, nil, 0, 0, 0
	j.entry, j.runs, j.gang = nil, nil, gang{}
	j.finishing = false
}

// waiting is how many tasks want a machine.
func (j *job) waiting() int {
	return max(0, j.Tasks-j.doneCount-len(j.tasks))
}

// take hands out a task that wants a machine.
func (j *job) take() (int, bool) {
	for len(j.retry) > 0 {
		i := j.retry[0]
		j.retry = j.retry[1:]
		if !j.isDone(i) && j.tasks[i] == nil {
			return i, true
		}
	}
	for j.next < j.Tasks {
		i := j.next
		j.next++
		if !j.isDone(i) && j.tasks[i] == nil {
			return i, true
		}
	}
	return 0, false
}

// jobChanged takes a job's key.
func (s *State) jobChanged(id string, it Item) {
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
		j = &job{Job: model.Job{ID: id, Tasks: v.Tasks}, tasks: map[int]*task{}, zones: map[string]int{}}
		s.jobs[id] = j
		if v.Spec != nil {
			j.Job = *v.Spec
			j.arrival, j.at, j.rank = it.ModRevision, v.At, model.Rank(j.Priority)
			j.doneBits = make([]uint64, (j.Tasks+63)/64)
			j.chunks = map[int]*chunk{}
			s.active[id] = j
			s.log(slog.LevelDebug, "job queued", "job", id, "class", j.Class, "tasks", j.Tasks, "cpus", j.CPUs, "estimate_s", j.Estimate, "image", j.Image)
		}
	}
	s.dirty = true
	if v.Phase != "" && j.phase == "" {
		j.phase, j.overAt = v.Phase, s.now
		delete(s.active, id)
		s.log(slog.LevelInfo, "job over", "job", id, "phase", v.Phase)
		if v.Phase == model.PhaseAborted && it.ModRevision > s.termModRevision {
			s.unacknowledged[id] = it.ModRevision
		}
		if v.Phase == model.PhaseAborted {
			s.logCancellationLearnt(j, it.ModRevision)
		}
		if s.leadership != nil && s.electedAt != 0 {
			s.jobOver(j)
		}
		j.retry, j.chunks, j.doneBits, j.entry = nil, nil, nil, nil
	}
}

// jobOver rids the machines of a job that was withdrawn.
func (s *State) jobOver(j *job) {
	for _, t := range j.tasks {
		s.kill(t, 0)
	}
	for _, m := range s.machinesByName {
		if len(m.view.Local) == 0 {
			continue
		}
		kept := m.view.Local[:0]
		for _, q := range m.view.Local {
			if q.Job.ID != j.ID {
				kept = append(kept, q)
			}
		}
		m.view.Local = kept
	}
}

// finished notes that a task has completed, whoever reports it and however
// late.
func (s *State) finished(j *job, i int) {
	if j.final() || i >= j.Tasks || j.isDone(i) {
		return
	}
	j.done(i)
	s.dirty = true
	if j.Kind == model.Gang {
		// They complete together: if one is done, all are. The others' own words
		// may never come, where their machines are out of reach.
		for k := range j.Tasks {
			if !j.isDone(k) {
				j.done(k)
			}
		}
	} else if t := j.tasks[i]; t != nil {
		s.kill(t, 0) // its result is kept: another attempt is wasted
	}
	if j.doneCount == j.Tasks {
		s.finishJob(j)
	}
}

func (j *job) done(i int) {
	j.doneBits[i/64] |= 1 << (i % 64)
	j.doneCount++
	j.chunk(i / chunkTasks).dirty = true
}

// finishJob makes "done" durable. Against a withdrawal the guard on the key
// decides.
func (s *State) finishJob(j *job) {
	if j.finishing || !s.IsLeader() {
		return
	}
	j.finishing = true
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
			j.finishing = false
			if r == written {
				s.notifyPeers(key, value)
			}
		},
	})
}
