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
	commandsInFlight int // under way
	nextCommandIndex int // of order: the next machine to look after
}

// mayProbe says whether a machine may be asked whether it is there. Direct
// commands under way are bounded by the sockets that there are for them
// (Config.Directs). A quarter is kept for starts and stops: when hundreds of
// machines fall silent at once, each question holds its socket until it is
// given up.
func (s *State) mayProbe() bool { return s.commandsInFlight < max(1, s.cfg.MaxDirectCommands*3/4) }

func (s *State) epoch(m *machine) uint64 { return s.epochBase() | m.fence }

// raiseFence gives m a higher epoch: direct commands still on their way to it
// will not run once it has seen that.
func (s *State) raiseFence(m *machine) {
	if m.fence < 1<<fenceBits-1 {
		m.fence++
	}
}

// sendCommands sends direct commands: to machines not heard of in this term, and
// where tasks wait to be started or stopped.
func (s *State) sendCommands() {
	if !s.IsLeader() {
		return
	}
	first := s.nextCommandIndex
	for i := range s.machinesByName {
		at := (first + i) % len(s.machinesByName)
		m := s.machinesByName[at]
		if m.commandInFlight || m.endpoint == "" || m.returning {
			continue
		}
		if s.commandsInFlight >= s.cfg.MaxDirectCommands {
			return
		}
		// Whoever is left over when the sockets are used up has its turn next:
		// begun from the front each time, a zone that was cut off had all of them
		// for its own, and the few that everybody waited for were never asked.
		if s.mayProbe() {
			s.nextCommandIndex = at
		}
		switch {
		case m.unverifiedReport != nil && s.mayProbe():
			s.sendCommand(m, nil, nil)
		case s.now < m.nextCommandAt:
		case m.hasUnsentOrders && m.reconciled && s.now-m.lastHeardAt <= 2*s.cfg.ReportInterval:
			s.sendUnsentOrders(m)
		case s.mayProbe() && s.needsProbe(m):
			s.sendCommand(m, nil, nil)
		}
	}
}

// needsProbe says whether m is to be asked whether it is there.
func (s *State) needsProbe(m *machine) bool {
	switch {
	case m.unresponsiveSince != 0 && s.commandsInFlight >= s.cfg.MaxDirectCommands/4:
		return false // a zone that is cut off must not take all the turns
	case !m.reconciled:
		// Once it has reported in this term, its next report shows the
		// epoch, at once.
		return m.registered && !m.leaseExpired && (m.answeredEpoch == 0 || s.now-m.lastHeardAt > s.cfg.ReportInterval)
	}
	return s.now-m.lastHeardAt > 2*s.cfg.ReportInterval || m.reachability.unreachable && m.highestEpoch < m.reachability.recoveryEpoch
}

// sendUnsentOrders sends m's unsent starts and stops directly.
func (s *State) sendUnsentOrders(m *machine) {
	var open []*task
	for _, t := range m.tasks {
		if !t.startSent || t.stopping {
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
		if !t.startSent && !t.stopping && m.registered {
			orders = append(orders, model.Order{Verb: model.OrderStart, Task: t.name, Attempt: t.attempt})
			starts = append(starts, t)
		} else if t.stopping && t.stopRequestedAt != 0 && t.state != "" {
			orders = append(orders, t.killOrder())
			t.stopRequestedAt = 0 // once; reports repeat it
		}
	}
	if len(orders) > 0 {
		s.sendCommand(m, orders, starts)
	} else {
		m.hasUnsentOrders = false
	}
}

// sendCommand sends m orders under its present epoch, or an empty command that asks
// for its report. starts are the tasks that the orders start.
func (s *State) sendCommand(m *machine, orders []model.Order, starts []*task) {
	epoch, leadership := s.epoch(m), s.leadership
	session, seq, sent := m.session, m.seq, s.now
	m.commandInFlight = true
	s.commandsInFlight++
	for _, t := range starts {
		t.startSent, t.unconfirmedStartEpoch = true, epoch
	}
	if orders == nil {
		orders = []model.Order{}
	}
	s.recordStopsSent(m, orders, "command")
	c := AgentCall{Host: m.host, Endpoint: m.endpoint, Epoch: epoch, Session: m.session, Orders: orders, SendBefore: leadership.ValidUntil()}
	c.CallID = s.registerCall(func(res any) {
		d := res.(AgentResult)
		if s.leadership != leadership {
			return
		}
		s.commandsInFlight--
		if s.machines[m.host] != m {
			s.finishVerification(m, false)
			return
		}
		m.commandInFlight = false
		defer func() { s.finishVerification(m, d.Report != nil) }()
		if d.Report == nil || d.Status != 200 && d.Status != 409 {
			s.handleUnansweredCommand(m, epoch, sent, len(orders) > 0)
			return
		}
		s.recordStartOutcome(m, starts, epoch, d.Status)
		r := d.Report
		if r.Session < session || r.Session == session && r.Seq <= seq {
			// Older than what it had shown before it was asked.
			s.handleRestart(m, r)
		}
		if r.Session > m.session || r.Session == m.session && r.Seq > m.seq {
			s.applyReport(m, r, false)
		}
		if d.Status == 409 {
			m.nextCommandAt = s.now + s.cfg.ReportInterval/4
			if !m.reconciled {
				m.nextCommandAt = s.now // the session is known now: ask again
			}
		}
		if s.IsLeader() && !m.commandInFlight && s.now >= m.nextCommandAt {
			s.sendUnsentOrders(m)
		}
	})
	s.emit(c)
}

// handleUnansweredCommand takes that a command had no answer: perhaps it runs later.
// The fence is raised, so that the next report rules that out, and the rest is
// left to the reports.
func (s *State) handleUnansweredCommand(m *machine, epoch uint64, sent time.Duration, orders bool) {
	if orders {
		m.unconfirmedEpoch = max(m.unconfirmedEpoch, epoch)
		s.raiseFence(m)
	}
	m.nextCommandAt = s.now + s.cfg.Lease/8
	m.hasUnansweredCommand = true
	if m.lastHeardAt > sent {
		s.countMissedDelivery(m) // it reports meanwhile, so it is there
	}
}

// recordStartOutcome takes the outcome of starts. A copy of a command that was
// carried out may come late. Whatever makes its starts possible again (a forget,
// another attempt) goes out under a higher epoch, so that the copy is refused by
// then: it once started a task a second time.
func (s *State) recordStartOutcome(m *machine, starts []*task, epoch uint64, status int) {
	if len(starts) > 0 {
		s.raiseFence(m)
	}
	for _, t := range starts {
		if t.unconfirmedStartEpoch != epoch {
			continue
		}
		t.unconfirmedStartEpoch = 0 // the outcome is known
		if status == 409 {
			t.startSent = t.startSentSeq != 0
		}
	}
}

func (t *task) killOrder() model.Order {
	g := t.graceS
	return model.Order{Verb: model.OrderKill, Task: t.name, Attempt: t.attempt, GraceS: &g}
}
