package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/model"
)

// A task is bound to a machine before it is started. Start and stop orders reach the
// worker in the answer to its report, and stops, sooner, by a direct command.

// task is a task that is bound to a machine: it runs there, or it may. It is unbound
// only when the machine's reports show that the attempt has ended, never started or is no
// longer listed, when the machine's lease has certainly expired (a report of a new session
// shows this as well), or when the cloud has confirmed that the machine is gone.
type task struct {
	job     *job
	index   int
	name    string
	attempt uint64 // number of this start of the task, or of the gang of which it is a part
	machine *machine
	session uint64 // session of the worker when the task was bound, or since handleRestart
	zone    string // zone of the machine when the task was bound

	startSent    bool   // a start order has been sent
	startSentSeq uint64 // number of the report in whose answer it was last sent; 0: in none

	state           string        // as last reported; "": not reported yet
	runningSince    time.Duration // when it was first reported running
	inherited       bool          // started under a former leader
	stopping        bool          // it is to be stopped
	graceS          float64       // seconds that it has for a checkpoint when it is stopped
	stopRequestedAt time.Duration // when the stop was decided; 0 once it was sent by direct command
}

// bind adds a task to the tables of its job, machine and team.
func (s *State) bind(t *task) {
	t.zone = t.machine.zone
	t.job.tasks[t.index], t.machine.tasks[t.name] = t, t
	t.job.tasksByZone[t.zone]++
	s.teamUsage[t.job.Team] = s.teamUsage[t.job.Team].Add(t.job.quotaShare())
	t.machine.viewStale, t.machine.hasUnsentStarts = true, t.machine.hasUnsentStarts || !t.startSent
}

// removeFromTables removes a task from the tables of its job, machine and team.
func (s *State) removeFromTables(t *task) {
	if t.machine.tasks[t.name] != t {
		return
	}
	delete(t.machine.tasks, t.name)
	if t.job.tasks[t.index] == t {
		delete(t.job.tasks, t.index)
		t.job.tasksByZone[t.zone]--
	}
	s.teamUsage[t.job.Team] = s.teamUsage[t.job.Team].Sub(t.job.quotaShare())
	t.machine.viewStale = true
}

// unbind removes a task from its machine. The task is requeued unless why is CauseDone or
// its job is final. why is the cause from the worker's report, or a text for the log.
func (s *State) unbind(t *task, why string) {
	s.removeFromTables(t)
	s.dropUnusedFetch(t)
	s.dispatchNeeded = true
	if t.job.phase == model.PhaseAborted {
		s.logDebug("cancelled task gone", "task", t.name, "attempt", t.attempt, "host", t.machine.host, "why", why, "term", s.leadership.Term)
	}
	if why != model.CauseDone && !t.job.isFinal() {
		if t.job.Kind == model.KindGang {
			s.handleLostGangTask(t, why)
		}
		t.job.retryIndexes = append(t.job.retryIndexes, t.index)
		t.job.lastTaskLostAt = s.now
		s.log(slog.LevelDebug, "task requeued", "task", t.name, "attempt", t.attempt, "host", t.machine.host, "why", why, "term", s.leadership.Term)
	}
}

// dropUnusedFetch removes the fetch of t's image from the view of its machine if no task
// there waits for the image any more: the worker then aborts the fetch too.
func (s *State) dropUnusedFetch(t *task) {
	v := &t.machine.view
	for _, other := range t.machine.tasks {
		if other.job.Image == t.job.Image && other.state != model.TaskRunning {
			return
		}
	}
	kept := v.Fetching[:0]
	for _, f := range v.Fetching {
		if f.Image != t.job.Image {
			kept = append(kept, f)
		}
	}
	v.Fetching = kept
}

// stopTask requests a stop of a task within graceS seconds; 0 means at once. A gang is
// stopped as a whole: if its tasks were stopped one after another, they could not save a
// checkpoint together.
func (s *State) stopTask(t *task, graceS float64) {
	s.markStopping(t, graceS)
	if t.job.Kind == model.KindGang && !t.job.isFinal() {
		s.abortGang(t.job, graceS)
	}
}

// markStopping marks a single task to be stopped, or shortens its grace time.
func (s *State) markStopping(t *task, graceS float64) {
	if !t.stopping || graceS < t.graceS {
		t.stopping, t.graceS, t.stopRequestedAt = true, graceS, s.now
		t.machine.viewStale, t.machine.hasUnsentStops = true, true
	}
}

// stopBeforeReclaim stops the tasks on machines that the cloud is about to reclaim: at
// once if a task can neither finish nor save its work, otherwise when there is just enough
// time left for a checkpoint.
func (s *State) stopBeforeReclaim() {
	for _, m := range s.machinesByName {
		if m.reclaimAt == 0 || !m.reconciled {
			continue
		}
		for _, t := range m.tasks {
			if !t.stopping && s.runsBeyond(t, m.reclaimAt) {
				// Its work is lost in any case, so it is restarted now rather than when
				// the machine goes.
				s.stopTask(t, 0)
				continue
			}
			margin := model.Duration(t.job.CheckpointCostS) + s.cfg.ReportInterval
			if !t.stopping && s.now >= m.reclaimAt-margin {
				s.stopTask(t, t.job.CheckpointCostS*1.25)
			}
		}
	}
}

// runsBeyond reports whether t is a batch task that saves no checkpoints and will run
// beyond the deadline, even if it takes only three quarters of the expected time. A task
// that the worker has reported, but not as running, counts as running beyond the deadline;
// a task that was never reported does not.
func (s *State) runsBeyond(t *task, deadline time.Duration) bool {
	if t.job.Kind != model.KindBatch || t.job.CheckpointEveryS > 0 {
		return false
	}
	if t.state != model.TaskRunning || t.runningSince == 0 {
		return t.state != ""
	}
	expected, _ := t.job.expectedRunTime()
	return t.runningSince+expected*3/4 > deadline
}
