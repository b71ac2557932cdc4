package core

import (
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// Preemption: tasks are stopped and their machines reserved for other tasks that wait.

// preemptForQueue makes capacity for jobs that still wait. Prod work, gangs and teams
// within their guarantee may stop work of lower priority, and teams within their
// guarantee also the work with which other teams exceed theirs.
func (s *State) preemptForQueue(queue []*job, env *roundEnv) {
	var usage map[string]sched.Resources
	for _, j := range queue {
		if j.queueEntry.Waiting == 0 {
			continue
		}
		if usage == nil {
			usage = s.usageWithoutStopping()
		}
		if !s.canPreempt(j, usage) {
			continue
		}
		if env.BudgetExhausted() {
			s.dispatchNeeded = true
			return
		}
		if j.Kind == model.KindGang {
			s.preemptForGang(j, env, usage)
			continue
		}
		if n := j.queueEntry.Waiting - s.countReserved(j); n > 0 {
			s.preemptFor(j, n, func(*machine) bool { return true }, env, usage)
		}
	}
}

// canPreempt reports whether other work may be stopped for waiting tasks of j. It may
// if j is prod work, if j is a gang, since its capacity would never come free all at
// once, or if j's next task is within its team's guarantee.
func (s *State) canPreempt(j *job, usage map[string]sched.Resources) bool {
	return j.rank == model.PriorityRank(model.PriorityProd) || j.Kind == model.KindGang || s.isWithinGuarantee(j, 1, usage)
}

// countReserved counts the machines that are reserved for j by preemption.
func (s *State) countReserved(j *job) int {
	n := 0
	for _, m := range s.machinesByName {
		if s.isReservedFor(m, j) {
			n++
		}
	}
	return n
}

// isReservedFor reports whether m is reserved for j by preemption.
func (s *State) isReservedFor(m *machine, j *job) bool {
	return m.reservedFor == j && !m.draining && s.now < m.reservedUntil
}

// preemptForHits makes capacity for prod work on machines that have its image (hits) if
// fetching the image would take longer than the start goal of its class allows. The
// dispatch rule compares the wait for a machine that has the image with a fetch
// elsewhere, but doesn't know that preemption makes that wait short. Tasks that wait for
// capacity made by preemption, in this round or an earlier one, are therefore taken off
// Waiting, so that the dispatch rule leaves them. The result is how many of each job.
func (s *State) preemptForHits(queue []*job, env *roundEnv) map[*job]int {
	heldBack := map[*job]int{}
	var usage map[string]sched.Resources
	for _, j := range queue {
		if j.rank != model.PriorityRank(model.PriorityProd) || j.Kind == model.KindGang || !s.isFetchTooLong(j) {
			continue
		}
		if env.BudgetExhausted() {
			break // the dispatch rule has to run as well
		}
		hits, pending := 0, 0
		hasImage := func(m *machine) bool { return m.view.Images.Has(j.Image) }
		for _, v := range env.views {
			m := v.Ref.(*machine)
			switch {
			case !hasImage(m) || !s.allowed(j, m):
			case v.Free.Fits(j.queueEntry.Need):
				hits++
			case s.isReservedFor(m, j):
				pending++
			}
		}
		n := j.queueEntry.Waiting - hits - pending
		if n > 0 {
			if usage == nil {
				usage = s.usageWithoutStopping()
			}
			pending += s.preemptFor(j, n, hasImage, env, usage)
		}
		if held := min(pending, j.queueEntry.Waiting); held > 0 {
			heldBack[j] = held
			j.queueEntry.Waiting -= held
		}
	}
	return heldBack
}

// isFetchTooLong reports whether j can still reach the start goal of its class, but not
// if it has to fetch its image. If a task was requeued, the goal counts from the last time.
func (s *State) isFetchTooLong(j *job) bool {
	goal := s.cfg.Goals[j.Class].StartWithin
	remaining := goal - s.jobAge(j)
	if j.lastTaskLostAt != 0 {
		remaining = max(remaining, j.lastTaskLostAt+goal-s.now)
	}
	if goal == 0 || remaining <= 0 {
		return false
	}
	return s.maxFetchTime(j) > remaining
}

// maxFetchTime returns how long a fetch of j's image may take on the machine type with
// the highest fetch rate that j can use, if nothing else is fetched there. A fetch may
// take half as long again as the rate says.
func (s *State) maxFetchTime(j *job) time.Duration {
	rate := 0.0
	for i := range s.typeList {
		if t := &s.typeList[i]; t.FitsTask(&j.Job) {
			rate = max(rate, t.FetchGBPerS)
		}
	}
	return model.Duration(1.5 * j.ImageGB / max(rate, 0.001))
}
