package core

import (
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// Making room: work that is stopped or kept off for more urgent work.

// preemptForQueue stops work of lower priority for prod work and for gangs that find no
// room, and work that other teams run beyond their guarantee for a team within
// its own.
func (s *State) preemptForQueue(queue []*job, env *roundEnv) {
	var used map[string]sched.Resources
	for _, j := range queue {
		if j.queueEntry.Waiting == 0 {
			continue
		}
		if used == nil {
			used = s.usageWithoutStopping()
		}
		if !s.canPreempt(j, used) {
			continue
		}
		if env.BudgetExhausted() {
			s.dispatchNeeded = true
			return
		}
		if j.Kind == model.KindGang {
			s.preemptForGang(j, env, used)
			continue
		}
		if n := j.queueEntry.Waiting - s.countReserved(j); n > 0 {
			s.preemptFor(j, n, func(*machine) bool { return true }, env, used)
		}
	}
}

// canPreempt says whether other work may be stopped for waiting tasks of j: it
// is prod work, a gang, whose room would never come free all at once by itself,
// or its next task is within its team's guarantee.
func (s *State) canPreempt(j *job, used map[string]sched.Resources) bool {
	return j.rank == model.PriorityRank(model.PriorityProd) || j.Kind == model.KindGang || s.isWithinGuarantee(j, 1, used)
}

// countReserved counts the machines whose room is kept for j.
func (s *State) countReserved(j *job) int {
	n := 0
	for _, m := range s.machinesByName {
		if s.isReservedFor(m, j) {
			n++
		}
	}
	return n
}

// isReservedFor says whether room that preemption makes on m is kept for j.
func (s *State) isReservedFor(m *machine, j *job) bool {
	return m.reservedFor == j && !m.draining && s.now < m.reservedUntil
}

// preemptForHits makes room for prod work on machines that hold its image, where
// fetching would take longer than its class has to start. The design compares
// the wait at a holder with the fetch elsewhere: a holder whose lower work may
// be stopped has next to no wait. It returns how many tasks of each job are
// held back from the rule meanwhile.
func (s *State) preemptForHits(queue []*job, env *roundEnv) map[*job]int {
	held := map[*job]int{}
	var used map[string]sched.Resources
	for _, j := range queue {
		if j.rank != model.PriorityRank(model.PriorityProd) || j.Kind == model.KindGang || !s.isFetchTooLong(j) {
			continue
		}
		if env.BudgetExhausted() {
			break // the rule has to have its turn as well
		}
		hits, pending := 0, 0
		holds := func(m *machine) bool { return m.view.Images.Has(j.Image) }
		for _, v := range env.views {
			m := v.Ref.(*machine)
			switch {
			case !holds(m) || !s.allowed(j, m):
			case v.Free.Fits(j.queueEntry.Need):
				hits++
			case s.isReservedFor(m, j):
				pending++
			}
		}
		n := j.queueEntry.Waiting - hits - pending
		if n > 0 {
			if used == nil {
				used = s.usageWithoutStopping()
			}
			pending += s.preemptFor(j, n, holds, env, used)
		}
		if back := min(pending, j.queueEntry.Waiting); back > 0 {
			held[j] = back
			j.queueEntry.Waiting -= back
		}
	}
	return held
}

// isFetchTooLong says whether j, which may still start in the time that its
// class has, would miss it by fetching its image. A lost replica has that time
// anew.
func (s *State) isFetchTooLong(j *job) bool {
	goal := s.cfg.Goals[j.Class].StartWithin
	left := goal - s.jobAge(j)
	if j.lastTaskLostAt != 0 {
		left = max(left, j.lastTaskLostAt+goal-s.now)
	}
	if goal == 0 || left <= 0 {
		return false
	}
	return s.maxFetchTime(j) > left
}

// maxFetchTime is how long a fetch of j's image may take where nothing else is
// fetched: up to half as long again as its rate says.
func (s *State) maxFetchTime(j *job) time.Duration {
	rate := 0.0
	for i := range s.typeList {
		if t := &s.typeList[i]; t.FitsTask(&j.Job) {
			rate = max(rate, t.FetchGBPerS)
		}
	}
	return time.Duration(1.5 * j.ImageGB / max(rate, 0.001) * float64(time.Second))
}
