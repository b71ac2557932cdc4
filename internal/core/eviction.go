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
	s    *State
	job  *job
	used map[string]sched.Resources // by team, without the tasks chosen
	// chosen are the tasks that are to end: a gang's all together.
	chosen map[*task]bool
	// placed counts, by machine, the tasks for which room was found so far.
	placed map[*machine]int
	// wholeGang says, where room is made for a gang, whether all of it is within
	// its team's guarantee: a part of a gang is of no use.
	wholeGang bool
}

// candidate is one machine, and what to stop there for one more task.
type candidate struct {
	m       *machine
	victims []*task
	loss    float64
}

// guaranteed says whether the job's next task is within its team's guarantee.
func (e *eviction) guaranteed() bool {
	if e.job.Kind == model.Gang {
		return e.wholeGang
	}
	return e.s.guaranteed(e.job, 1, e.used)
}

// cheapestOn picks the tasks on m whose end loses least and makes room for one
// more task; false if stopping all that may be stopped isn't enough.
func (e *eviction) cheapestOn(m *machine) (candidate, bool) {
	c := candidate{m: m}
	need := e.job.need()
	free := m.view.Free.Sub(need.Times(e.placed[m]))
	var stoppable []*task
	for _, t := range m.tasks {
		if t.killing || e.chosen[t] {
			free = free.Add(t.job.need())
		} else if e.mayStop(t, sched.Resources{}) {
			stoppable = append(stoppable, t)
		}
	}
	free = e.pickVictims(&c, stoppable, free)
	if !m.view.Images.Has(e.job.Image) {
		c.loss += e.job.ImageGB / m.view.Rate * e.job.CPUs
	}
	return c, free.Fits(need)
}

// pickVictims adds to c the tasks whose end loses least until one more task of
// the job fits, and returns the room that there is then.
func (e *eviction) pickVictims(c *candidate, stoppable []*task, free sched.Resources) sched.Resources {
	if len(stoppable) == 0 {
		return free
	}
	slices.SortFunc(stoppable, e.s.compareLoss)
	ending := map[string]sched.Resources{} // what each team uses less by the victims so far
	for _, t := range stoppable {
		if free.Fits(e.job.need()) {
			break
		}
		team := t.job.Team
		if slices.ContainsFunc(c.victims, func(v *task) bool { return v.endsWith(t) }) {
			free = free.Add(t.job.need())
			continue
		}
		if !e.mayStop(t, ending[team]) {
			continue // the victims before use up what the team has beyond its guarantee
		}
		ending[team] = ending[team].Add(e.ending(t))
		free = free.Add(t.job.need())
		// What has less time to make up for it counts for more.
		c.loss += e.s.loss(t) * float64(1+model.Rank(model.Low)-t.job.rank)
		c.victims = append(c.victims, t)
	}
	return free
}

// endsWith says whether stopping t ends o as well.
func (t *task) endsWith(o *task) bool {
	return t == o || t.job == o.job && t.job.Kind == model.Gang
}

// compareLoss orders tasks by what stopping them loses, the latest started first
// among equals.
func (s *State) compareLoss(a, b *task) int {
	return cmp.Or(cmp.Compare(s.loss(a), s.loss(b)), cmp.Compare(b.attempt, a.attempt), cmp.Compare(a.index, b.index))
}

// mayStop says whether t may be stopped to make room for the job: it is less
// urgent, or the job is within its team's guarantee and t is work that another
// team runs beyond its own. ending is what that team uses less already.
func (e *eviction) mayStop(t *task, ending sched.Resources) bool {
	if t.killing || t.job == e.job {
		return false
	}
	if t.job.rank > e.job.rank {
		// Else a job that is served once in a while, ahead of its turn, would
		// never get beyond its first task.
		return e.job.rank == model.Rank(model.Prod) || !e.s.firstTask(t)
	}
	if t.job.Team == e.job.Team || !e.guaranteed() {
		return false
	}
	guarantee := e.s.cfg.Teams[t.job.Team].Guaranteed
	left := e.used[t.job.Team].Sub(ending).Sub(e.ending(t))
	return left.CPUs > guarantee.CPUs-guaranteeSlack && left.GPUs > guarantee.GPUs-guaranteeSlack
}

// firstTask says whether t is all that runs of a job that has waited so long
// that one of its tasks went before everything else.
func (s *State) firstTask(t *task) bool {
	return len(t.job.tasks) == 1 && t.job.doneCount == 0 && s.jobAge(t.job) > beginWithin/3
}

// mayStopAll asks again once earlier choices have changed what a team is beyond
// its guarantee.
func (e *eviction) mayStopAll(victims []*task) bool {
	for _, t := range victims {
		if !e.chosen[t] && !e.mayStop(t, sched.Resources{}) {
			return false
		}
	}
	return true
}

// ending is what the team uses less once t has been stopped: a gang ends as a
// whole.
func (e *eviction) ending(t *task) sched.Resources {
	if t.job.Kind != model.Gang {
		return t.job.teamShare()
	}
	var sum sched.Resources
	for _, o := range t.job.tasks {
		if !o.killing && !e.chosen[o] {
			sum = sum.Add(o.job.teamShare())
		}
	}
	return sum
}

// take adds a candidate to the choice.
func (e *eviction) take(c candidate) {
	if e.placed == nil {
		// Most rounds find nothing to stop: they allocate nothing here.
		e.chosen, e.placed = map[*task]bool{}, map[*machine]int{}
	}
	for _, t := range c.victims {
		if e.chosen[t] {
			continue // ends with another task of its gang
		}
		team := t.job.Team
		e.used[team] = e.used[team].Sub(e.ending(t))
		e.chosen[t] = true
		if t.job.Kind == model.Gang {
			for _, o := range t.job.tasks {
				e.chosen[o] = true
			}
		}
	}
	e.used[e.job.Team] = e.used[e.job.Team].Add(e.job.teamShare())
	e.placed[c.m]++
}

// commit stops the victims of a candidate and keeps the room for the job.
func (e *eviction) commit(c candidate, env *roundEnv) {
	s := e.s
	for _, t := range c.victims {
		s.log(slog.LevelInfo, "preempting", "task", t.name, "attempt", t.attempt, "host", c.m.host, "for", e.job.ID, "term", s.leadership.Term)
		s.kill(t, 0)
	}
	c.m.reservedFor, c.m.draining, c.m.reservedUntil = e.job, false, s.now+s.cfg.Lease/2
	env.markTouched(c.m)
}

// loss is the work in CPU seconds that stopping t at once throws away.
func (s *State) loss(t *task) float64 {
	if t.state != model.TaskRunning {
		return 0
	}
	ran := (s.now - t.since).Seconds()
	if t.job.Checkpoint > 0 && ran > t.job.Checkpoint {
		for ran > t.job.Checkpoint {
			ran -= t.job.Checkpoint
		}
	}
	if t.job.Kind == model.Gang {
		ran *= float64(t.job.Tasks) // the others can't go on without it
	}
	return ran * t.job.CPUs
}

// preemptFor stops the least work, by what would be lost, that makes room for
// n tasks of j, one on each machine that suits; it returns for how many.
func (s *State) preemptFor(j *job, n int, suits func(*machine) bool, env *roundEnv, used map[string]sched.Resources) int {
	e := &eviction{s: s, job: j, used: used}
	zones := map[string]int{} // room being made, which counts for the spread
	var options []candidate
	for _, v := range env.views {
		m := v.Ref.(*machine)
		if s.holdsRoomFor(m, j) {
			zones[m.zone]++
		}
		if m.reservedFor != nil && s.now < m.reservedUntil || !v.Capacity.Fits(j.entry.Need) || !suits(m) || !s.allowed(j, m) {
			continue
		}
		if c, ok := e.cheapestOn(m); ok {
			options = append(options, c)
		}
	}
	slices.SortFunc(options, compareCandidates)
	made := 0
	for _, c := range options {
		if made >= n || !s.withinLimit(j, 1) {
			break
		}
		if j.Spread && j.zones[c.m.zone]+zones[c.m.zone] >= j.ZoneCap() || !e.mayStopAll(c.victims) {
			continue
		}
		zones[c.m.zone]++
		made++
		e.take(c)
		e.commit(c, env)
	}
	return made
}
