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
	m       *machine
	session uint64 // of the worker, at the time of binding
	zone    string // of the machine, at the time of binding

	issued      bool   // a start has been sent
	issuedSeq   uint64 // report in whose answer it was last sent
	directEpoch uint64 // epoch of a direct start without a known outcome

	state   string        // as last reported
	since   time.Duration // running since
	adopted bool          // begun before this leader saw it
	killing bool
	grace   float64
	killAt  time.Duration // when it was told to stop
}

// bind puts a task into the tables of its job, machine and team.
func (s *State) bind(t *task) {
	t.zone = t.m.zone
	t.job.tasks[t.index], t.m.tasks[t.name] = t, t
	t.job.zones[t.zone]++
	s.teams[t.job.Team] = s.teams[t.job.Team].Add(t.job.teamShare())
	t.m.viewStale, t.m.hasUnsentOrders = true, true
}

// unlink takes it out of them.
func (s *State) unlink(t *task) {
	if t.m.tasks[t.name] != t {
		return
	}
	delete(t.m.tasks, t.name)
	if t.job.tasks[t.index] == t {
		delete(t.job.tasks, t.index)
		t.job.zones[t.zone]--
	}
	s.teams[t.job.Team] = s.teams[t.job.Team].Sub(t.job.teamShare())
	t.m.viewStale = true
}

// unbind frees a task from its machine; if it isn't done it waits again.
func (s *State) unbind(t *task, why string) {
	s.unlink(t)
	s.unfetch(t)
	s.dirty = true
	if t.job.phase == model.PhaseAborted {
		s.logDebug("cancelled task gone", "task", t.name, "attempt", t.attempt, "host", t.m.host, "why", why, "term", s.leadership.Term)
	}
	if why != model.CauseDone && !t.job.final() {
		if t.job.Kind == model.Gang {
			s.gangLost(t, why)
		}
		t.job.retry = append(t.job.retry, t.index)
		t.job.lostAt = s.now
		s.log(slog.LevelDebug, "task waits again", "task", t.name, "attempt", t.attempt, "host", t.m.host, "why", why, "term", s.leadership.Term)
	}
}

// unfetch drops the model's fetch when no task waits for the image any more:
// the worker gives it up then too.
func (s *State) unfetch(t *task) {
	v := &t.m.view
	for _, o := range t.m.tasks {
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

// kill has a task stopped; grace 0 means at once. A gang is stopped as a whole,
// by one decision: told one after the other, its tasks could not save together.
func (s *State) kill(t *task, grace float64) {
	s.stop(t, grace)
	if t.job.Kind == model.Gang && !t.job.final() {
		s.abortGang(t.job, grace)
	}
}

func (s *State) stop(t *task, grace float64) {
	if !t.killing || grace < t.grace {
		t.killing, t.grace, t.killAt = true, grace, s.now
		t.m.viewStale, t.m.hasUnsentOrders = true, true
	}
}

// recalls clears machines that the cloud is about to take.
func (s *State) recalls() {
	for _, m := range s.machinesByName {
		if m.reclaimAt == 0 || !m.reconciled {
			continue
		}
		for _, t := range m.tasks {
			if !t.killing && s.endsAfter(t, m.reclaimAt) {
				// Its work is lost in any case: begun anew now rather than when
				// the machine goes.
				s.kill(t, 0)
				continue
			}
			margin := time.Duration(t.job.SaveCost*float64(time.Second)) + s.cfg.ReportInterval
			if !t.killing && s.now >= m.reclaimAt-margin {
				s.kill(t, t.job.SaveCost*1.25)
			}
		}
	}
}

// endsAfter says whether t, which can't save, will surely run beyond at.
func (s *State) endsAfter(t *task, at time.Duration) bool {
	if t.job.Kind != model.Batch || t.job.Checkpoint > 0 {
		return false
	}
	if t.state != model.TaskRunning || t.since == 0 {
		return t.state != ""
	}
	e, _ := t.job.expectedRunTime()
	return t.since+e*3/4 > at
}
