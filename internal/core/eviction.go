package core

import (
	"cmp"
	"log/slog"
	"slices"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// eviction chooses running tasks to stop so that waiting tasks of one job find
// room. It only collects; nothing is stopped before commit.
type eviction struct {
	s         *State
	job       *job
	teamUsage map[string]sched.Resources // by team, without the tasks chosen
	// victims are the tasks that are to end: a gang's all together.
	victims map[*task]bool
	// placed counts, by machine, the tasks for which room was found so far.
	placed map[*machine]int
	// gangWithinGuarantee says, where room is made for a gang, whether all of it is within
	// its team's guarantee: a part of a gang is of no use.
	gangWithinGuarantee bool
}

// evictionOption is one machine, and what to stop there for one more task.
type evictionOption struct {
	machine  *machine
	victims  []*task
	lostWork float64
}

// isWithinGuarantee says whether the job's next task is within its team's guarantee.
func (e *eviction) isWithinGuarantee() bool {
	if e.job.Kind == model.KindGang {
		return e.gangWithinGuarantee
	}
	return e.s.isWithinGuarantee(e.job, 1, e.teamUsage)
}

// cheapestOption picks the tasks on m whose end loses least and makes room for one
// more task; false if stopping all that may be stopped isn't enough.
func (e *eviction) cheapestOption(m *machine) (evictionOption, bool) {
	c := evictionOption{machine: m}
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
	free = e.pickVictims(&c, stoppable, free)
	if !m.view.Images.Has(e.job.Image) {
		c.lostWork += e.job.ImageGB / m.view.FetchGBPerS * e.job.CPUs
	}
	return c, free.Fits(need)
}

// pickVictims adds to c the tasks whose end loses least until one more task of
// the job fits, and returns the room that there is then.
func (e *eviction) pickVictims(c *evictionOption, stoppable []*task, free sched.Resources) sched.Resources {
	if len(stoppable) == 0 {
		return free
	}
	slices.SortFunc(stoppable, e.s.compareLostWork)
	ending := map[string]sched.Resources{} // what each team uses less by the victims so far
	for _, t := range stoppable {
		if free.Fits(e.job.need()) {
			break
		}
		team := t.job.Team
		if slices.ContainsFunc(c.victims, func(v *task) bool { return v.endsTogetherWith(t) }) {
			free = free.Add(t.job.need())
			continue
		}
		if !e.canStop(t, ending[team]) {
			continue // the victims before use up what the team has beyond its guarantee
		}
		ending[team] = ending[team].Add(e.freedQuota(t))
		free = free.Add(t.job.need())
		// What has less time to make up for it counts for more.
		c.lostWork += e.s.lostWork(t) * float64(1+model.PriorityRank(model.PriorityLow)-t.job.rank)
		c.victims = append(c.victims, t)
	}
	return free
}

// endsTogetherWith says whether stopping t ends o as well.
func (t *task) endsTogetherWith(o *task) bool {
	return t == o || t.job == o.job && t.job.Kind == model.KindGang
}

// compareLostWork orders tasks by what stopping them loses, the latest started first
// among equals.
func (s *State) compareLostWork(a, b *task) int {
	return cmp.Or(cmp.Compare(s.lostWork(a), s.lostWork(b)), cmp.Compare(b.attempt, a.attempt), cmp.Compare(a.index, b.index))
}

// canStop says whether t may be stopped to make room for the job: it is less
// urgent, or the job is within its team's guarantee and t is work that another
// team runs beyond its own. ending is what that team uses less already.
func (e *eviction) canStop(t *task, ending sched.Resources) bool {
	if t.stopping || t.job == e.job {
		return false
	}
	if t.job.rank > e.job.rank {
		// Else a job that is served once in a while, ahead of its turn, would
		// never get beyond its first task.
		return e.job.rank == model.PriorityRank(model.PriorityProd) || !e.s.isOnlyTaskOfStarvedJob(t)
	}
	if t.job.Team == e.job.Team || !e.isWithinGuarantee() {
		return false
	}
	guarantee := e.s.cfg.Teams[t.job.Team].Guaranteed
	left := e.teamUsage[t.job.Team].Sub(ending).Sub(e.freedQuota(t))
	return left.CPUs > guarantee.CPUs-guaranteeTolerance && left.GPUs > guarantee.GPUs-guaranteeTolerance
}

// isOnlyTaskOfStarvedJob says whether t is all that runs of a job that has waited so long
// that one of its tasks went before everything else.
func (s *State) isOnlyTaskOfStarvedJob(t *task) bool {
	return len(t.job.tasks) == 1 && t.job.doneCount == 0 && s.jobAge(t.job) > maxFirstStartDelay/3
}

// canStopAll asks again once earlier choices have changed what a team is beyond
// its guarantee.
func (e *eviction) canStopAll(victims []*task) bool {
	for _, t := range victims {
		if !e.victims[t] && !e.canStop(t, sched.Resources{}) {
			return false
		}
	}
	return true
}

// freedQuota is what the team uses less once t has been stopped: a gang ends as a
// whole.
func (e *eviction) freedQuota(t *task) sched.Resources {
	if t.job.Kind != model.KindGang {
		return t.job.quotaShare()
	}
	var sum sched.Resources
	for _, o := range t.job.tasks {
		if !o.stopping && !e.victims[o] {
			sum = sum.Add(o.job.quotaShare())
		}
	}
	return sum
}

// choose adds a candidate to the choice.
func (e *eviction) choose(c evictionOption) {
	if e.placed == nil {
		// Most rounds find nothing to stop: they allocate nothing here.
		e.victims, e.placed = map[*task]bool{}, map[*machine]int{}
	}
	for _, t := range c.victims {
		if e.victims[t] {
			continue // ends with another task of its gang
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
	e.placed[c.machine]++
}

// commit stops the victims of a candidate and keeps the room for the job.
func (e *eviction) commit(c evictionOption, env *roundEnv) {
	s := e.s
	for _, t := range c.victims {
		s.log(slog.LevelInfo, "preempting", "task", t.name, "attempt", t.attempt, "host", c.machine.host, "for", e.job.ID, "term", s.leadership.Term)
		s.stopTask(t, 0)
	}
	c.machine.reservedFor, c.machine.draining, c.machine.reservedUntil = e.job, false, s.now+s.cfg.Lease/2
	env.markChanged(c.machine)
}

// lostWork is the work in CPU seconds that stopping t at once throws away.
func (s *State) lostWork(t *task) float64 {
	if t.state != model.TaskRunning {
		return 0
	}
	ran := (s.now - t.runningSince).Seconds()
	if t.job.CheckpointEveryS > 0 && ran > t.job.CheckpointEveryS {
		for ran > t.job.CheckpointEveryS {
			ran -= t.job.CheckpointEveryS
		}
	}
	if t.job.Kind == model.KindGang {
		ran *= float64(t.job.Tasks) // the others can't go on without it
	}
	return ran * t.job.CPUs
}

// preemptFor stops the least work, by what would be lost, that makes room for
// n tasks of j, one on each machine that suits; it returns for how many.
func (s *State) preemptFor(j *job, n int, suits func(*machine) bool, env *roundEnv, used map[string]sched.Resources) int {
	e := &eviction{s: s, job: j, teamUsage: used}
	zones := map[string]int{} // room being made, which counts for the spread
	var options []evictionOption
	for _, v := range env.views {
		m := v.Ref.(*machine)
		if s.isReservedFor(m, j) {
			zones[m.zone]++
		}
		if m.reservedFor != nil && s.now < m.reservedUntil || !v.Capacity.Fits(j.queueEntry.Need) || !suits(m) || !s.allowed(j, m) {
			continue
		}
		if c, ok := e.cheapestOption(m); ok {
			options = append(options, c)
		}
	}
	slices.SortFunc(options, compareOptions)
	made := 0
	for _, c := range options {
		if made >= n || !s.isWithinLimit(j, 1) {
			break
		}
		if j.Spread && j.tasksByZone[c.machine.zone]+zones[c.machine.zone] >= j.MaxTasksPerZone() || !e.canStopAll(c.victims) {
			continue
		}
		zones[c.machine.zone]++
		made++
		e.choose(c)
		e.commit(c, env)
	}
	return made
}
