package core

import (
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// drainDivisor is the part of all machines that may be kept from being refilled
// at a time, besides one.
const drainDivisor = 16

// drainMachines keeps a few machines from being refilled bit by bit while jobs wait
// whose tasks need more room than any machine has left: those that should have
// that room first.
func (s *State) drainMachines(queue []*job, env *roundEnv) {
	left := 1 + len(env.views)/drainDivisor
	begun := s.continueDraining(env)
	left -= len(begun)
	for _, j := range queue {
		if left <= 0 || env.BudgetExhausted() {
			return
		}
		if begun[j] || !s.canDrainFor(j) {
			continue
		}
		if m := s.soonestFreeMachine(j, env); m != nil {
			left--
			m.reservedFor, m.draining, m.reservedUntil = j, true, s.now+s.cfg.ReportInterval
		}
	}
}

// continueDraining goes on with the machines that are drained already, as long as
// their job waits, and returns those jobs.
func (s *State) continueDraining(env *roundEnv) map[*job]bool {
	begun := map[*job]bool{}
	for _, v := range env.views {
		m := v.Ref.(*machine)
		if !m.draining || m.reservedFor == nil {
			continue
		}
		switch j := m.reservedFor; {
		case j.queueEntry == nil || j.queueEntry.Waiting == 0:
			m.reservedFor = nil // placed elsewhere, or over
		case s.now < m.reservedUntil && !begun[j] && v.Capacity.Fits(j.queueEntry.Need):
			begun[j] = true // stay with it
			m.reservedUntil = s.now + s.cfg.ReportInterval
		}
	}
	return begun
}

// canDrainFor says whether a machine may be drained for j: gangs have room
// kept by the dispatch rule, and prod work stops other work.
func (s *State) canDrainFor(j *job) bool {
	return j.queueEntry.Waiting > 0 && j.rank != model.PriorityRank(model.PriorityProd) && j.Kind != model.KindGang && s.isWithinLimit(j, 1)
}

// soonestFreeMachine is the machine that should have room for a task of j first, or nil.
func (s *State) soonestFreeMachine(j *job, env *roundEnv) *machine {
	var best *machine
	soonest := sched.Never
	for _, v := range env.views {
		m := v.Ref.(*machine)
		if v.IsReserved() || !v.Capacity.Fits(j.queueEntry.Need) || !s.allowed(j, m) {
			continue // a gang that is to have it must not be kept off again
		}
		if w := v.EstimateWait(s.now, j.queueEntry); w < soonest {
			best, soonest = m, w
		}
	}
	return best
}
