package core

import (
	"log/slog"
	"slices"
	"time"

	"mulleinfall/internal/model"
)

// What a report shows of the tasks on its machine.

// applyReport takes in what a worker says, by its own report (own) or in answer to
// a direct command. The caller has checked that it isn't older than the last.
func (s *State) applyReport(m *machine, r *model.Report, own bool) {
	if r.Session > m.session {
		s.handleNewSession(m, r)
	}
	m.lastHeardAt = s.now
	m.seq, m.highestEpoch = r.Seq, max(m.highestEpoch, r.Epoch)
	m.hasReported = true
	m.minEpoch = max(m.minEpoch, r.Epoch)
	s.confirmDelivery(m, r)
	if r.Epoch >= max(s.epochBase(), m.minEpoch) && !m.reconciled && !m.leaseExpired {
		m.reconciled = true
		s.dispatchNeeded = true
		s.log(slog.LevelDebug, "machine adopted", "host", m.host, "term", s.leadership.Term, "tasks", len(r.Tasks))
	}
	s.handleReclaimNotice(m, r)
	if !m.reconciled {
		// It may be a late copy from before this term: what it lists is not
		// relied on, but for what has completed.
		s.recordCompletions(r)
		return
	}
	if len(m.orphanedTasks) > 0 {
		clear(m.orphanedTasks)
		m.viewStale = true
		s.machinesWithOrphans = slices.DeleteFunc(s.machinesWithOrphans, func(o *machine) bool { return o == m })
	}
	listed := make(map[string]bool, len(r.Tasks))
	for _, p := range r.Tasks {
		listed[p.Task] = true
		s.applyTaskReport(m, p, r)
	}
	for _, name := range sortedKeys(m.tasks) {
		if !listed[name] {
			s.handleUnlistedTask(m.tasks[name], r, own)
		}
	}
	s.checkTakeoverComplete()
}

// handleNewSession takes that a machine's worker has begun a new session: its lease
// had run out, and it killed all it had.
func (s *State) handleNewSession(m *machine, r *model.Report) {
	if m.answeredSeq != 0 && !m.leaseExpired && s.now-m.lastReplyAt < s.cfg.Lease/2 {
		s.markUnreachable(m, "its lease ran out though it was answered")
	}
	for _, name := range sortedKeys(m.tasks) {
		t := m.tasks[name]
		if m.session != 0 && t.session < r.Session {
			s.unbind(t, "new session")
		}
	}
	// The new session has a lease of its own, which began before now.
	m.leaseExpired, m.lastReplyAt = false, s.now
	m.session, m.answeredSeq = r.Session, 0
}

// handleReclaimNotice takes the cloud's notice that it will take the machine.
func (s *State) handleReclaimNotice(m *machine, r *model.Report) {
	if r.ReclaimInS == nil {
		return
	}
	if m.reclaimAt == 0 {
		s.log(slog.LevelInfo, "machine recalled", "host", m.host, "in_s", *r.ReclaimInS)
		s.dispatchNeeded = true
	}
	m.reclaimAt = s.now + time.Duration(*r.ReclaimInS*float64(time.Second))
}

// handleUnlistedTask takes that a report doesn't show a task that is bound to its machine.
// That is conclusive only when no start can still arrive: the worker has moved on
// from the answer that carried it, and has shown an epoch above that of any direct
// command without an outcome.
func (s *State) handleUnlistedTask(t *task, r *model.Report, own bool) {
	m := t.machine
	gone := t.startSent && (t.unconfirmedStartEpoch == 0 || r.Epoch > t.unconfirmedStartEpoch) && (t.startSentSeq == 0 || own && r.Seq > t.startSentSeq)
	switch {
	case !gone && t.startSent:
		if t.stopping && t.unconfirmedStartEpoch != 0 && m.fence <= t.unconfirmedStartEpoch&(1<<fenceBits-1) {
			s.raiseFence(m)
		}
	case t.stopping:
		s.unbind(t, "never started")
		s.dispatchNeeded = true
	case t.state != "":
		// It was there and is not any more, in the same session.
		s.log(slog.LevelError, "task vanished", "task", t.name, "attempt", t.attempt, "host", m.host, "term", s.leadership.Term)
		s.unbind(t, "vanished")
	}
}

// applyTaskReport takes one task of a report.
func (s *State) applyTaskReport(m *machine, p model.TaskReport, r *model.Report) {
	id, i, ok := model.ParseTaskName(p.Task)
	if !ok {
		return
	}
	j := s.jobs[id]
	if t := m.tasks[p.Task]; t != nil && t.attempt == p.Attempt {
		s.updateTask(t, p)
		return
	}
	if p.State == model.TaskExited {
		if j != nil && p.Cause == model.CauseDone {
			s.markTaskDone(j, i)
		}
		return
	}
	// Alive and not ours by this attempt: adopt what a former leader began,
	// unless the job is over or the task is somewhere else.
	if j != nil && !j.isFinal() && i < j.Tasks && !j.isDone(i) && j.tasks[i] == nil {
		t := &task{job: j, index: i, name: p.Task, attempt: p.Attempt, machine: m, session: r.Session, startSent: true, inherited: true}
		s.bind(t)
		if j.Kind == model.KindGang {
			s.adoptGangTask(t)
		}
		s.updateTask(t, p)
		return
	}
	if len(m.orphanedTasks) == 0 {
		s.machinesWithOrphans = append(s.machinesWithOrphans, m)
	}
	m.orphanedTasks[p.Task] = p
	m.viewStale = true
}

// updateTask takes a bound task's reported state.
func (s *State) updateTask(t *task, p model.TaskReport) {
	m, j := t.machine, t.job
	t.startSent = true
	if t.state != p.State {
		s.dispatchNeeded = s.dispatchNeeded || p.State == model.TaskExited
		m.viewStale, m.hasUnsentOrders = true, true
		if p.State == model.TaskRunning {
			t.runningSince = s.now
			m.view.Images.Use(j.Image, j.ImageGB)
		}
	}
	t.state = p.State
	if j.Kind == model.KindGang {
		s.applyGangReport(j, p)
	}
	if p.State != model.TaskExited {
		return
	}
	if !model.IsKnownCause(p.Cause) {
		// Its end is not taken from a word that nobody knows. The machine is asked
		// to forget it: once it no longer shows the task, that is gone.
		s.log(slog.LevelError, "task exited with an unknown reason", "task", t.name, "attempt", t.attempt, "host", m.host, "cause", p.Cause, "term", s.leadership.Term)
		return
	}
	s.unbind(t, p.Cause)
	switch p.Cause {
	case model.CauseDone:
		s.recordRunTime(t)
		s.markTaskDone(j, t.index)
		j.consecutiveErrors, m.consecutiveErrors = 0, 0
		m.view.Images.Use(j.Image, j.ImageGB)
	case model.CauseError:
		// Mostly the machine is at fault, sometimes the job: both pause for
		// longer each time, so that neither makes a tight loop.
		j.consecutiveErrors++
		m.consecutiveErrors++
		j.retryAt = s.now + s.backoff(j.consecutiveErrors)
		m.backoffUntil = s.now + 2*s.backoff(m.consecutiveErrors)
		s.log(slog.LevelInfo, "task failed", "task", t.name, "attempt", t.attempt, "host", m.host, "term", s.leadership.Term)
	case model.CauseNoCapacity, model.CauseInUse:
		m.backoffUntil = s.now + s.cfg.ReportInterval
		s.log(slog.LevelInfo, "start refused", "task", t.name, "attempt", t.attempt, "host", m.host, "cause", p.Cause, "term", s.leadership.Term)
	case model.CauseNoSuchTask:
		j.consecutiveErrors++
		j.retryAt = s.now + s.backoff(j.consecutiveErrors)
		s.log(slog.LevelInfo, "start refused", "task", t.name, "attempt", t.attempt, "host", m.host, "cause", p.Cause, "term", s.leadership.Term)
	}
}

// backoff is how long to wait after n failures in a row: a lease at most. Some
// tasks of an array that failed together on one bad machine kept the whole job
// from all others for minutes where reports are rare.
func (s *State) backoff(n int) time.Duration {
	return min(s.cfg.ReportInterval<<min(n-1, 5), s.cfg.Lease)
}
