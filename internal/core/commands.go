package core

import (
	"slices"
	"strings"
	"time"

	"mulleinfall/internal/model"
)

// Direct commands to workers, and the fence that outdates them.

// commandState is what concerns direct commands.
type commandState struct {
	directs   int // under way
	reachFrom int // of order: the next machine to look after
}

// mayProbe says whether a machine may be asked whether it is there. Direct
// commands under way are bounded by the sockets that there are for them
// (Config.Directs). A quarter is kept for starts and stops: when hundreds of
// machines fall silent at once, each question holds its socket until it is
// given up.
func (s *State) mayProbe() bool { return s.directs < max(1, s.cfg.MaxDirectCommands*3/4) }

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
	if !s.IsLeader() {
		return
	}
	first := s.reachFrom
	for i := range s.machinesByName {
		at := (first + i) % len(s.machinesByName)
		m := s.machinesByName[at]
		if m.direct || m.endpoint == "" || m.returning {
			continue
		}
		if s.directs >= s.cfg.MaxDirectCommands {
			return
		}
		// Whoever is left over when the sockets are used up has its turn next:
		// begun from the front each time, a zone that was cut off had all of them
		// for its own, and the few that everybody waited for were never asked.
		if s.mayProbe() {
			s.reachFrom = at
		}
		switch {
		case m.proof != nil && s.mayProbe():
			s.command(m, nil, nil)
		case s.now < m.directAt:
		case m.unsent && m.adopted && s.now-m.heard <= 2*s.cfg.ReportInterval:
			s.flush(m)
		case s.mayProbe() && s.wantsProbe(m):
			s.command(m, nil, nil)
		}
	}
}

// wantsProbe says whether m is to be asked whether it is there.
func (s *State) wantsProbe(m *machine) bool {
	switch {
	case m.silentSince != 0 && s.directs >= s.cfg.MaxDirectCommands/4:
		return false // a zone that is cut off must not take all the turns
	case !m.adopted:
		// Once it has reported in this term, its next report shows the
		// epoch, at once.
		return m.rostered && !m.lapsed && (m.answeredEpoch == 0 || s.now-m.heard > s.cfg.ReportInterval)
	}
	return s.now-m.heard > 2*s.cfg.ReportInterval || m.reach.lost && m.seen < m.reach.epoch
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

// command sends m orders under its present epoch, or an empty command that asks
// for its report. starts are the tasks that the orders start.
func (s *State) command(m *machine, orders []model.Order, starts []*task) {
	epoch, leadership := s.epoch(m), s.leadership
	session, seq, sent := m.session, m.seq, s.now
	m.direct = true
	s.directs++
	for _, t := range starts {
		t.issued, t.directEpoch = true, epoch
	}
	if orders == nil {
		orders = []model.Order{}
	}
	s.stopsSent(m, orders, "command")
	c := AgentCall{Host: m.host, Endpoint: m.endpoint, Epoch: epoch, Session: m.session, Orders: orders, SendBefore: leadership.ValidUntil()}
	c.CallID = s.registerCall(func(res any) {
		d := res.(AgentResult)
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
			s.commandUnanswered(m, epoch, sent, len(orders) > 0)
			return
		}
		s.startsAnswered(m, starts, epoch, d.Status)
		r := d.Report
		if r.Session < session || r.Session == session && r.Seq <= seq {
			// Older than what it had shown before it was asked.
			s.begunAnew(m, r)
		}
		if r.Session > m.session || r.Session == m.session && r.Seq > m.seq {
			s.report(m, r, false)
		}
		if d.Status == 409 {
			m.directAt = s.now + s.cfg.ReportInterval/4
			if !m.adopted {
				m.directAt = s.now // the session is known now: ask again
			}
		}
		if s.IsLeader() && !m.direct && s.now >= m.directAt {
			s.flush(m)
		}
	})
	s.emit(c)
}

// commandUnanswered takes that a command had no answer: perhaps it runs later.
// The fence is raised, so that the next report rules that out, and the rest is
// left to the reports.
func (s *State) commandUnanswered(m *machine, epoch uint64, sent time.Duration, orders bool) {
	if orders {
		m.doubt = max(m.doubt, epoch)
		s.raiseFence(m)
	}
	m.directAt = s.now + s.cfg.Lease/8
	m.askedInVain = true
	if m.heard > sent {
		s.countMissedDelivery(m) // it reports meanwhile, so it is there
	}
}

// startsAnswered takes the outcome of starts. A copy of a command that was
// carried out may come late. Whatever makes its starts possible again (a forget,
// another attempt) goes out under a higher epoch, so that the copy is refused by
// then: it once started a task a second time.
func (s *State) startsAnswered(m *machine, starts []*task, epoch uint64, status int) {
	if len(starts) > 0 {
		s.raiseFence(m)
	}
	for _, t := range starts {
		if t.directEpoch != epoch {
			continue
		}
		t.directEpoch = 0 // the outcome is known
		if status == 409 {
			t.issued = t.issuedSeq != 0
		}
	}
}

func (t *task) killOrder() model.Order {
	g := t.grace
	return model.Order{Verb: model.Kill, Task: t.name, Attempt: t.attempt, Grace: &g}
}
