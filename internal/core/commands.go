package core

import (
	"slices"
	"strings"

	"mulleinfall/internal/model"
)

// Direct commands to workers, and the fence that outdates them.

// mayProbe says whether a machine may be asked whether it is there. Direct
// commands under way are bounded by the sockets that there are for them
// (Config.Directs). A quarter is kept for starts and stops: when hundreds of
// machines fall silent at once, each question holds its socket until it is
// given up.
func (s *State) mayProbe() bool { return s.directs < max(1, s.cfg.Directs*3/4) }

func (s *State) epoch(m *machine) uint64 { return s.epochBase() | m.fence }

// raiseFence gives m a higher epoch: direct commands still on their way to it
// will not run once it has seen that.
func (s *State) raiseFence(m *machine) {
	if m.fence < 1<<fenceBits-1 {
		m.fence++
	}
}

// reachOut sends direct commands: to machines not heard of in this term, and
// where tasks wait to be started or stopped.
func (s *State) reachOut() {
	if !s.Leading() {
		return
	}
	first := s.reachFrom
	for i := range s.order {
		at := (first + i) % len(s.order)
		m := s.order[at]
		if m.direct || m.endpoint == "" || m.returning {
			continue
		}
		if s.directs >= s.cfg.Directs {
			return
		}
		// Whoever is left over when the sockets are used up has its turn next:
		// begun from the front each time, a zone that was cut off had all of them
		// for its own, and the few that everybody waited for were never asked.
		if s.mayProbe() {
			s.reachFrom = at
		}
		if m.proof != nil && s.mayProbe() {
			s.command(m, nil, nil)
			continue
		}
		if s.now < m.directAt {
			continue
		}
		if m.unsent && m.adopted && s.now-m.heard <= 2*s.cfg.ReportEvery {
			s.flush(m)
			continue
		}
		if !s.mayProbe() || m.silentSince != 0 && s.directs >= s.cfg.Directs/4 {
			continue // a zone that is cut off must not take all the turns
		}
		if !m.adopted {
			// Once it has reported in this term, its next report shows the
			// epoch, at once.
			if m.rostered && !m.lapsed && (m.told == 0 || s.now-m.heard > s.cfg.ReportEvery) {
				s.command(m, nil, nil)
			}
			continue
		}
		if s.now-m.heard > 2*s.cfg.ReportEvery || m.reach.lost && m.seen < m.reach.epoch {
			s.command(m, nil, nil) // is it there at all?
		}
	}
}

// flush sends m's unsent starts and stops directly.
func (s *State) flush(m *machine) {
	var open []*task
	for _, t := range m.tasks {
		if !t.issued || t.killing {
			open = append(open, t)
		}
	}
	slices.SortFunc(open, func(a, b *task) int { return strings.Compare(a.name, b.name) })
	var orders []model.Order
	var starts []*task
	for _, t := range open {
		if len(orders) >= 100 {
			break
		}
		if !t.issued && !t.killing && m.rostered {
			orders = append(orders, model.Order{Verb: model.Start, Task: t.name, Attempt: t.attempt})
			starts = append(starts, t)
		} else if t.killing && t.killAt != 0 && t.state != "" {
			orders = append(orders, t.killOrder())
			t.killAt = 0 // once; reports repeat it
		}
	}
	if len(orders) > 0 {
		s.command(m, orders, starts)
	} else {
		m.unsent = false
	}
}

func (s *State) command(m *machine, orders []model.Order, starts []*task) {
	epoch, leadership := s.epoch(m), s.leadership
	session, seq, sent := m.session, m.seq, s.now
	m.direct = true
	s.directs++
	for _, t := range starts {
		t.issued, t.directEpoch = true, epoch
	}
	c := AgentCall{Host: m.host, Endpoint: m.endpoint, Epoch: epoch, Session: m.session, Orders: orders, Until: leadership.Until()}
	if c.Orders == nil {
		c.Orders = []model.Order{}
	}
	c.Call = s.call(func(res any) {
		d := res.(AgentDone)
		if s.leadership != leadership {
			return
		}
		s.directs--
		if s.machines[m.host] != m {
			s.proven(m, false)
			return
		}
		m.direct = false
		defer func() { s.proven(m, d.Report != nil) }()
		if d.Report == nil || d.Status != 200 && d.Status != 409 {
			// Perhaps it runs later. Raise the fence, so that the next report
			// rules that out, and leave the rest to the reports.
			if len(orders) > 0 {
				m.doubt = max(m.doubt, epoch)
				s.raiseFence(m)
			}
			m.directAt = s.now + s.cfg.Lease/8
			m.askedInVain = true
			if m.heard > sent {
				s.countMissedDelivery(m) // it reports meanwhile, so it is there
			}
			return
		}
		if len(starts) > 0 {
			// A copy of a command that was carried out may come late. Whatever
			// makes its starts possible again (a forget, another attempt) goes
			// out under a higher epoch, so that the copy is refused by then: it
			// once started a task a second time.
			s.raiseFence(m)
		}
		for _, t := range starts {
			if t.directEpoch == epoch {
				t.directEpoch = 0 // the outcome is known
				if d.Status == 409 {
					t.issued = t.issuedSeq != 0
				}
			}
		}
		r := d.Report
		if r.Session < session || r.Session == session && r.Seq <= seq {
			// Older than what it had shown before it was asked.
			s.begunAnew(m, r)
		}
		if r.Session > m.session || r.Session == m.session && r.Seq > m.seq {
			s.report(m, r, false)
		}
		if d.Status == 409 {
			m.directAt = s.now + s.cfg.ReportEvery/4
			if !m.adopted {
				m.directAt = s.now // the session is known now: ask again
			}
		}
		if s.Leading() && !m.direct && s.now >= m.directAt {
			s.flush(m)
		}
	})
	s.emit(c)
}

func (t *task) killOrder() model.Order {
	g := t.grace
	return model.Order{Verb: model.Kill, Task: t.name, Attempt: t.attempt, Grace: &g}
}
