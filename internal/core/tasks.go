package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/model"
)

// Tasks: bound to a machine before they are started, unbound once that is
// surely over.

// task is a task that is bound to a machine: it is there, or it may be. It is
// unbound only when that machine shows that the attempt is over or never
// began, or when the machine's lease has surely run out, or when the cloud
// has confirmed that the machine is gone.
type task struct {
	job     *job
	index   int
	name    string
	attempt uint64
	machine *machine
	session uint64 // of the worker, at the time of binding
	zone    string // of the machine, at the time of binding

	startSent             bool   // a start has been sent
	startSentSeq          uint64 // report in whose answer it was last sent
	unconfirmedStartEpoch uint64 // epoch of a direct start without a known outcome

	state           string        // as last reported
	runningSince    time.Duration // running since
	inherited       bool          // begun before this leader saw it
	stopping        bool
	graceS          float64
	stopRequestedAt time.Duration // when it was told to stop
}

// bind puts a task into the tables of its job, machine and team.
func (s *State) bind(t *task) {
	t.zone = t.machine.zone
	t.job.tasks[t.index], t.machine.tasks[t.name] = t, t
	t.job.tasksByZone[t.zone]++
	s.teamUsage[t.job.Team] = s.teamUsage[t.job.Team].Add(t.job.quotaShare())
	t.machine.viewStale, t.machine.hasUnsentOrders = true, true
}

// removeFromTables takes it out of them.
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

// unbind frees a task from its machine; if it isn't done it waits again.
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
		s.log(slog.LevelDebug, "task waits again", "task", t.name, "attempt", t.attempt, "host", t.machine.host, "why", why, "term", s.leadership.Term)
	}
}

// dropUnusedFetch drops the model's fetch when no task waits for the image any more:
// the worker gives it up then too.
func (s *State) dropUnusedFetch(t *task) {
	v := &t.machine.view
	for _, o := range t.machine.tasks {
		if o.job.Image == t.job.Image && o.state != model.TaskRunning {
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

// stopTask has a task stopped; grace 0 means at once. A gang is stopped as a whole,
// by one decision: told one after the other, its tasks could not save together.
func (s *State) stopTask(t *task, grace float64) {
	s.markStopping(t, grace)
	if t.job.Kind == model.KindGang && !t.job.isFinal() {
		s.abortGang(t.job, grace)
	}
}

func (s *State) markStopping(t *task, grace float64) {
	if !t.stopping || grace < t.graceS {
		t.stopping, t.graceS, t.stopRequestedAt = true, grace, s.now
		t.machine.viewStale, t.machine.hasUnsentOrders = true, true
	}
}

// stopBeforeReclaim clears machines that the cloud is about to take.
func (s *State) stopBeforeReclaim() {
	for _, m := range s.machinesByName {
		if m.reclaimAt == 0 || !m.reconciled {
			continue
		}
		for _, t := range m.tasks {
			if !t.stopping && s.runsBeyond(t, m.reclaimAt) {
				// Its work is lost in any case: begun anew now rather than when
				// the machine goes.
				s.stopTask(t, 0)
				continue
			}
			margin := time.Duration(t.job.CheckpointCostS*float64(time.Second)) + s.cfg.ReportInterval
			if !t.stopping && s.now >= m.reclaimAt-margin {
				s.stopTask(t, t.job.CheckpointCostS*1.25)
			}
		}
	}
}

// runsBeyond says whether t, which can't save, will surely run beyond at.
func (s *State) runsBeyond(t *task, at time.Duration) bool {
	if t.job.Kind != model.KindBatch || t.job.CheckpointEveryS > 0 {
		return false
	}
	if t.state != model.TaskRunning || t.runningSince == 0 {
		return t.state != ""
	}
	e, _ := t.job.expectedRunTime()
	return t.runningSince+e*3/4 > at
}
