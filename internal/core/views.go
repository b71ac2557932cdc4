package core

import (
	"log/slog"
	"slices"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// What the dispatch rule sees of machines and jobs.

// isUsable says whether m may be given new tasks. While its mark as silent may
// be on the roster it isn't: a session that has begun since has a lease that no
// successor would know of.
func (s *State) isUsable(m *machine) bool {
	return m.reconciled && m.registered && m.storedUnresponsiveSince == 0 && !m.leaseExpired && !m.slow && !m.returning && !m.reachability.unreachable && m.reclaimAt == 0 && m.machineType != nil &&
		s.now >= m.backoffUntil && s.now-m.lastReplyAt < s.maxReportGap()
}

// maxReportGap is how long a machine may go without a report before it counts as
// silent.
func (s *State) maxReportGap() time.Duration { return 2*s.cfg.ReportInterval + s.cfg.Lease/8 }

// refreshView works out m's free room and what runs on it, if anything has
// changed since it was last done.
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
		end := sched.Never
		if t.stopping {
			end = s.now + time.Duration(t.graceS*float64(time.Second)) + time.Second
		} else if t.job.Kind != model.KindService {
			begin := t.runningSince
			if t.state != model.TaskRunning {
				begin = s.now
				m.viewStale = true // the end moves on until it has begun
			}
			end = begin + time.Duration(t.job.EstimateS*float64(time.Second))
		}
		v.AddRunning(sched.RunningTask{Need: need, EndAt: end})
	}
	for name := range m.orphanedTasks {
		if j := s.orphanedTaskJob(name); j != nil {
			v.Free = v.Free.Sub(j.need())
		} else {
			v.Free = sched.Resources{} // unknown size: wait until it is gone
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

// orphanedTaskJob is the job of a task that is on a machine and shouldn't be; nil
// where its description isn't known: a job that is over is kept without it,
// and a leader that wasn't up before knows no more.
func (s *State) orphanedTaskJob(task string) *job {
	id, _, _ := model.ParseTaskName(task)
	if j := s.jobs[id]; j != nil && j.Team != "" {
		return j
	}
	return nil
}

// roundEnv is what the dispatch rule sees of the state.
type roundEnv struct {
	s               *State
	views           []*sched.Machine
	changedMachines []*machine // in order, each once
	// gangTasks are the tasks of gangs that were placed in this round.
	gangTasks []*task
	elapsed   func() time.Duration
}

func (e *roundEnv) BudgetExhausted() bool {
	return e.s.cfg.RoundBudget > 0 && e.elapsed() >= e.s.cfg.RoundBudget
}

func (e *roundEnv) markChanged(m *machine) {
	if !slices.Contains(e.changedMachines, m) {
		e.changedMachines = append(e.changedMachines, m)
	}
}

func (e *roundEnv) Allowed(sj *sched.Job, v *sched.Machine) bool {
	return e.s.allowed(sj.Ref.(*job), v.Ref.(*machine))
}

// allowed checks type, zone, kind and the job's other tasks, counting every
// task that may still be somewhere.
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
	here := j.tasksByZone[m.zone]
	if j.OneZone && here < len(j.tasks) {
		return false
	}
	return !j.Spread || here < j.MaxTasksPerZone()
}

func (e *roundEnv) WithinLimit(sj *sched.Job) bool { return e.s.isWithinLimit(sj.Ref.(*job), 1) }

// isWithinLimit says whether n more tasks of j keep its team within its limit.
func (s *State) isWithinLimit(j *job, n int) bool {
	lim := s.cfg.Teams[j.Team].Limit
	if lim.CPUs == 0 && lim.GPUs == 0 {
		return true
	}
	if !s.takeoverComplete {
		// Machines that haven't shown their tasks in this term may run more
		// of the team's than we count: even a new job has to wait, or the
		// team would exceed its limit together with what is unseen.
		return false
	}
	used := s.teamUsage[j.Team]
	for _, m := range s.machinesWithOrphans {
		for name := range m.orphanedTasks {
			o := s.orphanedTaskJob(name)
			if o == nil {
				return false // whose it is isn't known: it may be this team's
			}
			if o.Team == j.Team {
				used = used.Add(o.quotaShare())
			}
		}
	}
	used = used.Add(j.quotaShare().Times(n))
	const slack = 1e-6
	return (lim.CPUs == 0 || used.CPUs <= lim.CPUs+slack) && (lim.GPUs == 0 || used.GPUs <= lim.GPUs+slack)
}

// Place binds the next waiting task of a job to a machine.
func (e *roundEnv) Place(sj *sched.Job, v *sched.Machine, path sched.Path) bool {
	s, j, m := e.s, sj.Ref.(*job), v.Ref.(*machine)
	i, ok := j.takeWaitingTask()
	if !ok {
		sj.Waiting = 0
		return false
	}
	s.attemptCounter++
	t := &task{
		job: j, index: i, name: model.TaskName(j.ID, i), machine: m, session: m.session,
		attempt: s.leadership.Term<<attemptBits | s.attemptCounter,
	}
	if j.Kind == model.KindGang {
		if len(j.tasks) == 0 {
			j.gang = gangStatus{attempt: t.attempt}
		}
		t.attempt = j.gang.attempt // by which its tasks find each other
		e.gangTasks = append(e.gangTasks, t)
	}
	s.bind(t)
	sj.Waiting--
	need := sj.Need
	v.Free = v.Free.Sub(need)
	end := sched.Never
	if !sj.IsService {
		end = s.now + sj.Estimate
	}
	v.AddRunning(sched.RunningTask{Need: need, EndAt: end})
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

// Undo takes back the tasks of a gang that were placed in this round and don't
// fit as a whole. Nothing of them has left this node yet.
func (e *roundEnv) Undo(sj *sched.Job) {
	j := sj.Ref.(*job)
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
