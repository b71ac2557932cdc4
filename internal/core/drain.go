package core

import (
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// drainedPart is the part of all machines that may be kept from being refilled
// at a time, besides one.
const drainedPart = 16

// drainFor keeps a few machines from being refilled bit by bit while jobs wait
// whose tasks need more room than any machine has left: those that should have
// that room first.
func (s *State) drainFor(queue []*job, env *roundEnv) {
	left := 1 + len(env.views)/drainedPart
	begun := s.keepDraining(env)
	left -= len(begun)
	for _, j := range queue {
		if left <= 0 || env.Spent() {
			return
		}
		if begun[j] || !s.wantsDraining(j) {
			continue
		}
		if m := s.soonestRoom(j, env); m != nil {
			left--
			m.reservedFor, m.draining, m.reservedUntil = j, true, s.now+s.cfg.ReportInterval
		}
	}
}

// keepDraining goes on with the machines that are drained already, as long as
// their job waits, and returns those jobs.
func (s *State) keepDraining(env *roundEnv) map[*job]bool {
	begun := map[*job]bool{}
	for _, v := range env.views {
		m := v.Ref.(*machine)
		if !m.draining || m.reservedFor == nil {
			continue
		}
		switch j := m.reservedFor; {
		case j.entry == nil || j.entry.Waiting == 0:
			m.reservedFor = nil // placed elsewhere, or over
		case s.now < m.reservedUntil && !begun[j] && v.Capacity.Fits(j.entry.Need):
			begun[j] = true // stay with it
			m.reservedUntil = s.now + s.cfg.ReportInterval
		}
	}
	return begun
}

// wantsDraining says whether a machine may be drained for j: gangs have room
// kept by the dispatch rule, and prod work stops other work.
func (s *State) wantsDraining(j *job) bool {
	return j.entry.Waiting > 0 && j.rank != model.Rank(model.Prod) && j.Kind != model.Gang && s.withinLimit(j, 1)
}

// soonestRoom is the machine that should have room for a task of j first, or nil.
func (s *State) soonestRoom(j *job, env *roundEnv) *machine {
	var best *machine
	soonest := sched.Never
	for _, v := range env.views {
		m := v.Ref.(*machine)
		if v.Reserved() || !v.Capacity.Fits(j.entry.Need) || !s.allowed(j, m) {
			continue // a gang that is to have it must not be kept off again
		}
		if w := v.Wait(s.now, j.entry); w < soonest {
			best, soonest = m, w
		}
	}
	return best
}
