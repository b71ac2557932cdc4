package core

import (
	"log/slog"
	"slices"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// The dispatch rule's view of machines and jobs.

// isUsable reports whether m may be given new tasks. One of the conditions is that the
// state service certainly doesn't record m as unresponsive: while it does, a successor
// wouldn't know of the lease of a session that the worker has started since.
func (s *State) isUsable(m *machine) bool {
	return m.reconciled && m.registered && m.storedUnresponsiveSince == 0 && !m.leaseExpired && !m.slow && !m.returning && !m.reachability.unreachable && m.reclaimAt == 0 && m.machineType != nil &&
		s.now >= m.backoffUntil && s.now-m.lastReplyAt < s.maxReportGap()
}

// maxReportGap returns how long a machine may go without a report before it counts as
// silent.
func (s *State) maxReportGap() time.Duration { return 2*s.cfg.ReportInterval + s.cfg.Lease/8 }

// isSilent says whether no report of m was applied for maxReportGap or longer.
func (s *State) isSilent(m *machine) bool { return s.now-m.lastHeardAt >= s.maxReportGap() }

// refreshView updates the free resources, running tasks and fetches in m's view if the
// view is stale.
func (s *State) refreshView(m *machine) {
	if !m.viewStale {
		return
	}
	m.viewStale = false
	v := &m.view
	v.Free = v.Capacity
	v.Running = v.Running[:0]
	v.ServiceCPUs = 0
	for _, t := range m.tasks {
		if t.job.Kind == model.KindService && !t.stopping {
			v.ServiceCPUs += t.job.CPUs
		}
		need := t.job.need()
		v.Free = v.Free.Sub(need)
		endAt := sched.Never
		if t.stopping {
			endAt = s.now + model.Duration(t.graceS) + time.Second
		} else if t.job.Kind != model.KindService {
			startAt := t.runningSince
			if t.state != model.TaskRunning {
				startAt = s.now
				m.viewStale = true // the end moves until the task is running
			}
			endAt = startAt + model.Duration(t.job.EstimateS)
		}
		v.AddRunning(sched.RunningTask{Need: need, EndAt: endAt})
	}
	for name := range m.orphanedTasks {
		if j := s.orphanedTaskJob(name); j != nil {
			v.Free = v.Free.Sub(j.need())
		} else {
			v.Free = sched.Resources{} // unknown size: nothing is placed until the task is gone
		}
	}
	kept := v.Fetching[:0]
	for _, f := range v.Fetching {
		if !v.Images.Has(f.Image) {
			kept = append(kept, f)
		}
	}
	v.Fetching = kept
}

// orphanedTaskJob returns the job of a task that is on a machine but shouldn't be. It
// returns nil if the job's spec isn't known: a final job is stored without it, so a
// controller that started later never read it.
func (s *State) orphanedTaskJob(task string) *job {
	id, _, _ := model.ParseTaskName(task)
	if j := s.jobs[id]; j != nil && j.Team != "" {
		return j
	}
	return nil
}

// roundEnv implements sched.Env on the state, for one dispatch round.
type roundEnv struct {
	s               *State
	views           []*sched.Machine
	changedMachines []*machine           // in order of the first change
	gangTasks       []*task              // tasks of gangs that were placed in this round, for Undo
	elapsed         func() time.Duration // since the start of the round
}

// BudgetExhausted implements sched.Env.
func (e *roundEnv) BudgetExhausted() bool {
	return e.s.cfg.RoundBudget > 0 && e.elapsed() >= e.s.cfg.RoundBudget
}

// markChanged notes that m may get orders after the round.
func (e *roundEnv) markChanged(m *machine) {
	if !slices.Contains(e.changedMachines, m) {
		e.changedMachines = append(e.changedMachines, m)
	}
}

// Allowed implements sched.Env.
func (e *roundEnv) Allowed(entry *sched.Job, v *sched.Machine) bool {
	return e.s.allowed(entry.Ref.(*job), v.Ref.(*machine))
}

// allowed reports whether a task of j may be placed on m now. It checks m's reservation,
// type and zone, whether j may use spot machines, the zones of j's other tasks, and the
// hosts that a gang's attempt excludes, but not free capacity. Prod work may use a machine
// that is drained for another job. A task that may still be on a machine counts as being
// there.
func (s *State) allowed(j *job, m *machine) bool {
	if m.reservedFor != nil && m.reservedFor != j && s.now < m.reservedUntil && (!m.draining || j.rank != model.PriorityRank(model.PriorityProd)) {
		return false
	}
	if !j.AllowsType(m.typeName) || j.Zone != "" && j.Zone != m.zone || m.spot && !j.Spot {
		return false
	}
	if j.Kind == model.KindGang && j.gang.excludedHosts[m.host] {
		return false
	}
	tasksInZone := j.tasksByZone[m.zone]
	if j.OneZone && tasksInZone < len(j.tasks) {
		return false
	}
	return !j.Spread || tasksInZone < j.MaxTasksPerZone()
}

// WithinLimit implements sched.Env.
func (e *roundEnv) WithinLimit(entry *sched.Job) bool { return e.s.isWithinLimit(entry.Ref.(*job), 1) }

// isWithinLimit reports whether n more tasks of j keep its team within its limit.
func (s *State) isWithinLimit(j *job, n int) bool {
	limit := s.cfg.Teams[j.Team].Limit
	if limit.CPUs == 0 && limit.GPUs == 0 {
		return true
	}
	if !s.takeoverComplete {
		// Machines that haven't reported their tasks in this term may run more tasks of
		// the team than are counted here. Even a new job has to wait, or the team could
		// exceed its limit.
		return false
	}
	usage := s.teamUsage[j.Team]
	for _, m := range s.machinesWithOrphans {
		for name := range m.orphanedTasks {
			orphanJob := s.orphanedTaskJob(name)
			if orphanJob == nil {
				return false // the task's team is unknown and may be this one
			}
			if orphanJob.Team == j.Team {
				usage = usage.Add(orphanJob.quotaShare())
			}
		}
	}
	usage = usage.Add(j.quotaShare().Times(n))
	const tolerance = 1e-6
	return (limit.CPUs == 0 || usage.CPUs <= limit.CPUs+tolerance) && (limit.GPUs == 0 || usage.GPUs <= limit.GPUs+tolerance)
}

// Place binds the next waiting task of a job to a machine. It implements sched.Env.
func (e *roundEnv) Place(entry *sched.Job, v *sched.Machine, path sched.Path) bool {
	s, j, m := e.s, entry.Ref.(*job), v.Ref.(*machine)
	index, ok := j.takeWaitingTask()
	if !ok {
		entry.Waiting = 0
		return false
	}
	s.attemptCounter++
	t := &task{
		job: j, index: index, name: model.TaskName(j.ID, index), machine: m, session: m.session,
		attempt: s.leadership.Term<<attemptBits | s.attemptCounter,
	}
	if j.Kind == model.KindGang {
		if len(j.tasks) == 0 {
			j.gang = gangStatus{attempt: t.attempt}
		}
		t.attempt = j.gang.attempt // tasks of a gang find each other by it
		e.gangTasks = append(e.gangTasks, t)
	}
	s.bind(t)
	entry.Waiting--
	need := entry.Need
	v.Free = v.Free.Sub(need)
	endAt := sched.Never
	if !entry.IsService {
		endAt = s.now + entry.Estimate
	}
	v.AddRunning(sched.RunningTask{Need: need, EndAt: endAt})
	if !v.Images.Has(j.Image) {
		found := false
		for _, f := range v.Fetching {
			found = found || f.Image == j.Image
		}
		if !found {
			v.Fetching = append(v.Fetching, sched.Fetch{Image: j.Image, GB: j.ImageGB, StartedAt: s.now})
		}
	}
	m.idleSince = s.now
	if m.reservedFor == j {
		m.reservedFor = nil
	}
	s.placementsByPath[path]++
	e.markChanged(m)
	s.log(slog.LevelDebug, "task placed", "task", t.name, "attempt", t.attempt, "host", m.host, "path", string(path), "term", s.leadership.Term)
	return true
}

// Undo reverts the placements of a gang that doesn't fit as a whole. Orders are sent only
// after the round, so none has been sent for them. It implements sched.Env.
func (e *roundEnv) Undo(entry *sched.Job) {
	j := entry.Ref.(*job)
	e.gangTasks = slices.DeleteFunc(e.gangTasks, func(t *task) bool {
		if t.job != j {
			return false
		}
		e.s.removeFromTables(t)
		e.s.dropUnusedFetch(t)
		j.retryIndexes = append(j.retryIndexes, t.index)
		e.s.refreshView(t.machine)
		e.s.placementsByPath[sched.PathGang]--
		return true
	})
}
