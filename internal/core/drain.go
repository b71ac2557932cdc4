package core

import (
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// drainFor keeps a few machines from being refilled bit by bit while jobs wait
// whose tasks need more room than any machine has left: those that should have
// that room first.
func (s *State) drainFor(queue []*job, env *roundEnv) {
	left := 1 + len(env.views)/16
	begun := map[*job]bool{}
	for _, v := range env.views {
		m := v.Ref.(*machine)
		if !m.draining || m.keptFor == nil {
			continue
		}
		switch j := m.keptFor; {
		case j.entry == nil || j.entry.Waiting == 0:
			m.keptFor = nil // placed elsewhere, or over
		case s.now < m.keptUntil && !begun[j] && v.Capacity.Fits(j.entry.Need):
			begun[j] = true // stay with it
			m.keptUntil = s.now + s.cfg.ReportEvery
			left--
		}
	}
	for _, j := range queue {
		if left <= 0 || env.Spent() {
			return
		}
		if j.entry.Waiting == 0 || begun[j] || j.rank == model.Rank(model.Prod) || j.Kind == model.Gang || !s.withinLimit(j, 1) {
			continue
		}
		var best *machine
		soonest := sched.Never
		for _, v := range env.views {
			m := v.Ref.(*machine)
			if v.Held() || !v.Capacity.Fits(j.entry.Need) || !s.allowed(j, m) {
				continue // a gang that is to have it must not be kept off again
			}
			if w := v.Wait(s.now, j.entry); w < soonest {
				best, soonest = m, w
			}
		}
		if best == nil {
			continue
		}
		left--
		best.keptFor, best.draining, best.keptUntil = j, true, s.now+s.cfg.ReportEvery
	}
}
