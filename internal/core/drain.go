package core

import (
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// drainDivisor limits draining: at a time, one machine plus a share of 1/drainDivisor
// of the usable machines may be drained.
const drainDivisor = 16

// drainMachines keeps a few machines from being refilled with small tasks while jobs
// wait whose tasks need more capacity than any machine has free. To drain a machine for a
// job is to reserve it without stopping tasks. The machines that should have enough
// capacity first are chosen.
func (s *State) drainMachines(queue []*job, env *roundEnv) {
	remaining := 1 + len(env.views)/drainDivisor
	draining := s.continueDraining(env)
	remaining -= len(draining)
	for _, j := range queue {
		if remaining <= 0 || env.BudgetExhausted() {
			return
		}
		if draining[j] || !s.canDrainFor(j) {
			continue
		}
		if m := s.soonestFreeMachine(j, env); m != nil {
			remaining--
			m.reservedFor, m.draining, m.reservedUntil = j, true, s.now+s.cfg.ReportInterval
		}
	}
}

// continueDraining keeps draining the machines that are being drained already while
// their jobs wait. It returns these jobs.
func (s *State) continueDraining(env *roundEnv) map[*job]bool {
	draining := map[*job]bool{}
	for _, v := range env.views {
		m := v.Ref.(*machine)
		if !m.draining || m.reservedFor == nil {
			continue
		}
		switch j := m.reservedFor; {
		case j.queueEntry == nil || j.queueEntry.Waiting == 0:
			m.reservedFor = nil // the job's tasks were placed elsewhere, or it is final
		case s.now < m.reservedUntil && !draining[j] && v.Capacity.Fits(j.queueEntry.Need):
			draining[j] = true // the same machine continues to be drained
			m.reservedUntil = s.now + s.cfg.ReportInterval
		}
	}
	return draining
}

// canDrainFor reports whether a machine may be drained for j. Its tasks must still wait,
// and its team's limit must allow one more. Gangs are left out because the dispatch rule
// reserves machines for them, and prod work because it preempts other work.
func (s *State) canDrainFor(j *job) bool {
	return j.queueEntry.Waiting > 0 && j.rank != model.PriorityRank(model.PriorityProd) && j.Kind != model.KindGang && s.isWithinLimit(j, 1)
}

// soonestFreeMachine returns the machine that should have capacity for a task of j
// first, or nil.
func (s *State) soonestFreeMachine(j *job, env *roundEnv) *machine {
	var best *machine
	shortestWait := sched.Never
	for _, v := range env.views {
		m := v.Ref.(*machine)
		if v.IsReserved() || !v.Capacity.Fits(j.queueEntry.Need) || !s.allowed(j, m) {
			continue // draining a machine that the dispatch rule has reserved for a gang would keep the gang off it
		}
		if w := v.EstimateWait(s.now, j.queueEntry); w < shortestWait {
			best, shortestWait = m, w
		}
	}
	return best
}
