package core

import (
	"log/slog"
	"slices"
	"time"

	"mulleinfall/internal/model"
)

// This file applies the contents of a report to the machine and its tasks.

// applyReport applies a report, which the worker sent on its own (selfSent) or as the
// answer to a direct command. The caller has checked that it is newer than what the machine
// has shown in this term.
func (s *State) applyReport(m *machine, r *model.Report, selfSent bool) {
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
		s.log(slog.LevelDebug, "machine reconciled", "host", m.host, "term", s.leadership.Term, "tasks", len(r.Tasks))
	}
	s.handleReclaimNotice(m, r)
	if !m.reconciled {
		// The machine's lease has expired, or the report may be a late copy from before this
		// term or from before a restart. Only the completed tasks in it are certain.
		s.recordCompletions(r)
		return
	}
	if len(m.orphanedTasks) > 0 {
		clear(m.orphanedTasks)
		m.viewStale = true
		s.machinesWithOrphans = slices.DeleteFunc(s.machinesWithOrphans, func(o *machine) bool { return o == m })
	}
	listed := make(map[string]bool, len(r.Tasks))
	for _, reported := range r.Tasks {
		listed[reported.Task] = true
		s.applyTaskReport(m, reported, r)
	}
	for _, name := range sortedKeys(m.tasks) {
		if !listed[name] {
			s.handleUnlistedTask(m.tasks[name], r, selfSent)
		}
	}
	s.checkTakeoverComplete()
}

// handleNewSession records the first report of a session. If this leader knows an earlier
// session of the machine, the tasks bound in that session are unbound: the worker's lease
// had expired, and the worker has killed all its tasks.
func (s *State) handleNewSession(m *machine, r *model.Report) {
	if m.answeredSeq != 0 && !m.leaseExpired && s.now-m.lastReplyAt < s.cfg.Lease/2 {
		s.markUnreachable(m, "its lease expired although its reports were answered")
	}
	for _, name := range sortedKeys(m.tasks) {
		t := m.tasks[name]
		if m.session != 0 && t.session < r.Session {
			s.unbind(t, "new session")
		}
	}
	// The worker counts the lease of the new session from the start of that session or the
	// sending of a report, so the lease ends no later than counted from now.
	m.leaseExpired, m.lastReplyAt = false, s.now
	m.session, m.answeredSeq = r.Session, 0
}

// handleReclaimNotice records the cloud's notice that it will reclaim the machine.
func (s *State) handleReclaimNotice(m *machine, r *model.Report) {
	if r.ReclaimInS == nil {
		return
	}
	if m.reclaimAt == 0 {
		s.log(slog.LevelInfo, "machine will be reclaimed", "host", m.host, "in_s", *r.ReclaimInS)
		s.dispatchNeeded = true
	}
	m.reclaimAt = s.now + model.Duration(*r.ReclaimInS)
}

// handleUnlistedTask handles a task that is bound to a machine but missing in its report.
// The task is unbound only if no start of it can arrive any more: the worker has sent a
// later report than the one whose answer carried the start. A task that was never listed and
// is not being stopped stays bound; the answer repeats its start.
func (s *State) handleUnlistedTask(t *task, r *model.Report, selfSent bool) {
	m := t.machine
	startMayArrive := t.startSentSeq != 0 && !(selfSent && r.Seq > t.startSentSeq)
	switch {
	case t.startSent && startMayArrive:
	case t.stopping:
		s.unbind(t, "never started")
		s.dispatchNeeded = true
	case t.state != "":
		// An earlier report of the same session listed it.
		s.log(slog.LevelError, "task vanished", "task", t.name, "attempt", t.attempt, "host", m.host, "term", s.leadership.Term)
		s.unbind(t, "vanished")
	}
}

// applyTaskReport applies the state of one task in a report of m.
func (s *State) applyTaskReport(m *machine, reported model.TaskReport, r *model.Report) {
	id, index, ok := model.ParseTaskName(reported.Task)
	if !ok {
		return
	}
	j := s.jobs[id]
	if t := m.tasks[reported.Task]; t != nil && t.attempt == reported.Attempt {
		s.updateTask(t, reported)
		return
	}
	if reported.State == model.TaskExited {
		if j != nil && reported.Cause == model.CauseDone {
			s.markTaskDone(j, index)
		}
		return
	}
	// The task is on the machine, but this leader did not start this attempt: a former
	// leader did. The task is inherited if its job is known and still needs it, and it is
	// not bound already. Otherwise it is orphaned and will be stopped.
	if j != nil && !j.isFinal() && index < j.Tasks && !j.isDone(index) && j.tasks[index] == nil {
		t := &task{job: j, index: index, name: reported.Task, attempt: reported.Attempt, machine: m, session: r.Session, startSent: true, inherited: true}
		s.bind(t)
		if j.Kind == model.KindGang {
			s.adoptGangTask(t)
		}
		s.updateTask(t, reported)
		return
	}
	if len(m.orphanedTasks) == 0 {
		s.machinesWithOrphans = append(s.machinesWithOrphans, m)
	}
	m.orphanedTasks[reported.Task] = reported
	m.viewStale = true
}

// updateTask applies the reported state of a bound task.
func (s *State) updateTask(t *task, reported model.TaskReport) {
	m, j := t.machine, t.job
	t.startSent = true
	if t.state != reported.State {
		s.dispatchNeeded = s.dispatchNeeded || reported.State == model.TaskExited
		m.viewStale, m.hasUnsentStops = true, true
		if reported.State == model.TaskRunning {
			t.runningSince = s.now
			m.view.Images.Use(j.Image, j.ImageGB)
		}
	}
	t.state = reported.State
	if j.Kind == model.KindGang {
		s.applyGangReport(j, reported)
	}
	if reported.State != model.TaskExited {
		return
	}
	if !model.IsKnownCause(reported.Cause) {
		// An unknown cause does not count as the end of the task. The machine is told to
		// forget the task, which is unbound once the machine no longer lists it.
		s.log(slog.LevelError, "task exited with an unknown cause", "task", t.name, "attempt", t.attempt, "host", m.host, "cause", reported.Cause, "term", s.leadership.Term)
		return
	}
	s.unbind(t, reported.Cause)
	switch reported.Cause {
	case model.CauseDone:
		s.recordRunTime(t)
		s.markTaskDone(j, t.index)
		j.consecutiveErrors, m.consecutiveErrors = 0, 0
		m.view.Images.Use(j.Image, j.ImageGB)
	case model.CauseError:
		// The machine is the usual cause, sometimes the job. Both back off for longer
		// each time, so that neither causes a tight loop of restarts.
		j.consecutiveErrors++
		m.consecutiveErrors++
		j.retryAt = s.now + s.backoff(j.consecutiveErrors)
		m.backoffUntil = s.now + 2*s.backoff(m.consecutiveErrors)
		s.log(slog.LevelInfo, "task failed", "task", t.name, "attempt", t.attempt, "host", m.host, "term", s.leadership.Term)
	case model.CauseNoCapacity, model.CauseInUse:
		m.backoffUntil = s.now + s.cfg.ReportInterval
		s.log(slog.LevelInfo, "start refused", "task", t.name, "attempt", t.attempt, "host", m.host, "cause", reported.Cause, "term", s.leadership.Term)
	case model.CauseNoSuchTask:
		j.consecutiveErrors++
		j.retryAt = s.now + s.backoff(j.consecutiveErrors)
		s.log(slog.LevelInfo, "start refused", "task", t.name, "attempt", t.attempt, "host", m.host, "cause", reported.Cause, "term", s.leadership.Term)
	}
}

// backoff is how long to wait after n errors in a row: one report interval after the first,
// twice as long after each further one, up to 32 report intervals, but never longer than a
// lease. Without that limit, where report intervals are long, a few tasks of one job that
// fail together on one bad machine would keep the whole job off all machines for minutes.
func (s *State) backoff(n int) time.Duration {
	return min(s.cfg.ReportInterval<<min(n-1, 5), s.cfg.Lease)
}
