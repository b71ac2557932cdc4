package core

import (
	"cmp"
	"log/slog"
	"math"
	"slices"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// eviction chooses bound tasks to stop so that waiting tasks of one job fit. It only
// collects them; commit stops them.
type eviction struct {
	s         *State
	job       *job
	teamUsage map[string]sched.Resources // quota by team, with the job's placed tasks instead of the victims
	// victims are the tasks chosen to be stopped. They include all tasks of a gang or none.
	victims map[*task]bool
	// placed counts the tasks of the job that will fit on each machine so far.
	placed map[*machine]int
	// gangWithinGuarantee says, if the job is a gang, whether all of it is within its
	// team's guarantee. A part of a gang is of no use.
	gangWithinGuarantee bool
}

// evictionOption is a machine and the tasks to stop there so that one more task of the
// job fits. There are none to stop if it fits already.
type evictionOption struct {
	machine  *machine
	victims  []*task
	lostWork float64
}

// isWithinGuarantee reports whether the job's next task is within its team's guarantee.
func (e *eviction) isWithinGuarantee() bool {
	if e.job.Kind == model.KindGang {
		return e.gangWithinGuarantee
	}
	return e.s.isWithinGuarantee(e.job, 1, e.teamUsage)
}

// cheapestOption picks the tasks on m that lose the least work if they are stopped to let
// one more task of the job fit. It returns false if stopping all that may be stopped isn't
// enough. The time for a fetch of the image counts as lost work.
func (e *eviction) cheapestOption(m *machine) (evictionOption, bool) {
	option := evictionOption{machine: m}
	need := e.job.need()
	free := m.view.Free.Sub(need.Times(e.placed[m]))
	var stoppable []*task
	for _, t := range m.tasks {
		if t.stopping || e.victims[t] {
			free = free.Add(t.job.need())
		} else if e.canStop(t, sched.Resources{}) {
			stoppable = append(stoppable, t)
		}
	}
	free = e.pickVictims(&option, stoppable, free)
	if !m.view.Images.Has(e.job.Image) {
		option.lostWork += e.job.ImageGB / m.view.FetchGBPerS * e.job.CPUs
	}
	return option, free.Fits(need)
}

// pickVictims adds tasks to option, those with the least lost work first, until one more
// task of the job fits. It returns the free resources after that.
func (e *eviction) pickVictims(option *evictionOption, stoppable []*task, free sched.Resources) sched.Resources {
	if len(stoppable) == 0 {
		return free
	}
	slices.SortFunc(stoppable, e.s.compareLostWork)
	freed := map[string]sched.Resources{} // fall of each team's usage with the victims so far
	for _, t := range stoppable {
		if free.Fits(e.job.need()) {
			break
		}
		team := t.job.Team
		if slices.ContainsFunc(option.victims, func(v *task) bool { return v.endsTogetherWith(t) }) {
			free = free.Add(t.job.need())
			continue
		}
		if !e.canStop(t, freed[team]) {
			continue // stopping it as well would bring its team below its guarantee
		}
		freed[team] = freed[team].Add(e.freedQuota(t))
		free = free.Add(t.job.need())
		// Lost work of more urgent jobs counts for more, since they have less time to redo it.
		option.lostWork += e.s.lostWork(t) * float64(1+model.PriorityRank(model.PriorityLow)-t.job.rank)
		option.victims = append(option.victims, t)
	}
	return free
}

// endsTogetherWith reports whether stopping t also ends o.
func (t *task) endsTogetherWith(o *task) bool {
	return t == o || t.job == o.job && t.job.Kind == model.KindGang
}

// compareLostWork orders tasks by the work that stopping them loses. Among equals the
// task that was started last comes first.
func (s *State) compareLostWork(a, b *task) int {
	return cmp.Or(cmp.Compare(s.lostWork(a), s.lostWork(b)), cmp.Compare(b.attempt, a.attempt), cmp.Compare(a.index, b.index))
}

// canStop reports whether t may be stopped for the job. Either t is less urgent, or the
// job is within its team's guarantee and t belongs to another team that still uses its own
// guarantee in full without t. freed is how much of that team's usage the victims picked
// earlier for the same option free.
func (e *eviction) canStop(t *task, freed sched.Resources) bool {
	if t.stopping || t.job == e.job {
		return false
	}
	if t.job.rank > e.job.rank {
		// The first task of a starved job is stopped only for prod work. Otherwise such
		// a job, which is served only now and then, would never get beyond that task.
		return e.job.rank == model.PriorityRank(model.PriorityProd) || !e.s.isOnlyTaskOfStarvedJob(t)
	}
	if t.job.Team == e.job.Team || !e.isWithinGuarantee() {
		return false
	}
	guarantee := e.s.cfg.Teams[t.job.Team].Guaranteed
	remaining := e.teamUsage[t.job.Team].Sub(freed).Sub(e.freedQuota(t))
	return remaining.CPUs > guarantee.CPUs-guaranteeTolerance && remaining.GPUs > guarantee.GPUs-guaranteeTolerance
}

// isOnlyTaskOfStarvedJob reports whether t is the only task with a machine of a job that
// would be starved without it: the job is old enough, and none of its tasks is done.
func (s *State) isOnlyTaskOfStarvedJob(t *task) bool {
	return len(t.job.tasks) == 1 && t.job.doneCount == 0 && s.jobAge(t.job) > maxFirstStartDelay/3
}

// canStopAll reports whether all victims may still be stopped. Options chosen in the
// meantime may have brought a team down to its guarantee.
func (e *eviction) canStopAll(victims []*task) bool {
	for _, t := range victims {
		if !e.victims[t] && !e.canStop(t, sched.Resources{}) {
			return false
		}
	}
	return true
}

// freedQuota returns by how much the usage of t's team falls when t is stopped. Stopping
// a gang's task stops the whole gang.
func (e *eviction) freedQuota(t *task) sched.Resources {
	if t.job.Kind != model.KindGang {
		return t.job.quotaShare()
	}
	var freed sched.Resources
	for _, o := range t.job.tasks {
		if !o.stopping && !e.victims[o] {
			freed = freed.Add(o.job.quotaShare())
		}
	}
	return freed
}

// choose adds an option to the eviction, so that the next options are compared as if its
// victims were gone and the job's task were placed.
func (e *eviction) choose(option evictionOption) {
	if e.placed == nil {
		// Allocated only here, since most rounds choose nothing.
		e.victims, e.placed = map[*task]bool{}, map[*machine]int{}
	}
	for _, t := range option.victims {
		if e.victims[t] {
			continue // it is stopped together with another task of its gang
		}
		team := t.job.Team
		e.teamUsage[team] = e.teamUsage[team].Sub(e.freedQuota(t))
		e.victims[t] = true
		if t.job.Kind == model.KindGang {
			for _, o := range t.job.tasks {
				e.victims[o] = true
			}
		}
	}
	e.teamUsage[e.job.Team] = e.teamUsage[e.job.Team].Add(e.job.quotaShare())
	e.placed[option.machine]++
}

// commit stops the victims of an option and reserves the capacity for the job.
func (e *eviction) commit(option evictionOption, env *roundEnv) {
	s := e.s
	for _, t := range option.victims {
		s.log(slog.LevelInfo, "preempting", "task", t.name, "attempt", t.attempt, "host", option.machine.host, "for", e.job.ID, "term", s.leadership.Term)
		s.stopTask(t, 0)
	}
	option.machine.reservedFor, option.machine.draining, option.machine.reservedUntil = e.job, false, s.now+s.cfg.Lease/2
	env.markChanged(option.machine)
}

// lostWork returns the work in CPU seconds that is lost if t is stopped at once: what was
// done since its start or its last checkpoint.
func (s *State) lostWork(t *task) float64 {
	if t.state != model.TaskRunning {
		return 0
	}
	unsavedS := (s.now - t.runningSince).Seconds()
	if t.job.CheckpointEveryS > 0 {
		unsavedS = math.Mod(unsavedS, t.job.CheckpointEveryS)
	}
	if t.job.Kind == model.KindGang {
		unsavedS *= float64(t.job.Tasks) // the other tasks can't continue without it
	}
	return unsavedS * t.job.CPUs
}

// preemptFor makes capacity for up to n tasks of j, at most one on each machine for which
// suits returns true, and loses as little work as possible. It returns for how many tasks
// it has made capacity.
func (s *State) preemptFor(j *job, n int, suits func(*machine) bool, env *roundEnv, usage map[string]sched.Resources) int {
	e := &eviction{s: s, job: j, teamUsage: usage}
	reservedInZone := map[string]int{} // machines reserved for j, which count for the spread
	var options []evictionOption
	for _, v := range env.views {
		m := v.Ref.(*machine)
		if s.isReservedFor(m, j) {
			reservedInZone[m.zone]++
		}
		if m.reservedFor != nil && s.now < m.reservedUntil || !v.Capacity.Fits(j.queueEntry.Need) || !suits(m) || !s.allowed(j, m) {
			continue
		}
		if option, ok := e.cheapestOption(m); ok {
			options = append(options, option)
		}
	}
	slices.SortFunc(options, compareOptions)
	made := 0
	for _, option := range options {
		if made >= n || !s.isWithinLimit(j, 1) {
			break
		}
		if j.Spread && j.tasksByZone[option.machine.zone]+reservedInZone[option.machine.zone] >= j.MaxTasksPerZone() || !e.canStopAll(option.victims) {
			continue
		}
		reservedInZone[option.machine.zone]++
		made++
		e.choose(option)
		e.commit(option, env)
	}
	return made
}
