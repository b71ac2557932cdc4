package core

import (
	"slices"
	"strings"
	"time"

	"mulleinfall/internal/election"
	"mulleinfall/internal/model"
)

// This file sends direct commands to workers. A command carries an epoch; a worker answers
// 409 to a command with a lower epoch than the highest that it has seen, or of another
// session, and does not carry it out. When the leader raises the fence, which is the low
// bits of the epoch, earlier commands that are still on their way become invalid as soon
// as the worker has seen the new epoch.
//
// A direct command never starts a task. The network may deliver a copy of a command minutes
// after it was carried out, also to a worker that has just restarted, and such a worker knows
// no epoch that would void the copy. A copy of a stop does no harm. Starts are sent in answers
// to reports only, which a worker drops if they are late. If a start should not wait for the
// next report, a command with a raised epoch makes the worker report at once (requestReport).

// commandState is the leader's state about direct commands.
type commandState struct {
	commandsInFlight int // commands under way
	// commandsInFlightByZone counts the same by the zone of the machine when it was sent.
	commandsInFlightByZone map[string]int
	nextCommandIndex       int // index in machinesByName at which sendCommands starts next
}

// mayProbe says whether a machine may be probed, that is, asked for its report by a
// direct command. The number of direct commands under way is bounded by the sockets that
// are reserved for them (Config.MaxDirectCommands). Probes leave a quarter of them to
// starts and stops: when hundreds of machines become unresponsive at once, each probe
// holds its socket until it times out.
func (s *State) mayProbe() bool { return s.commandsInFlight < max(1, s.cfg.MaxDirectCommands*3/4) }

// epoch returns the current epoch of m: the term in the high bits, the fence of m in the
// low bits.
func (s *State) epoch(m *machine) uint64 { return s.epochBase() | m.fence }

// raiseFence gives m a higher epoch. Once m has seen it, m refuses direct commands that
// were sent earlier.
func (s *State) raiseFence(m *machine) {
	if m.fence < 1<<fenceBits-1 {
		m.fence++
	}
}

// sendCommands sends direct commands to machines that must be probed, and to machines
// with tasks that wait to be started or stopped.
func (s *State) sendCommands() {
	if !s.IsLeader() {
		return
	}
	first := s.nextCommandIndex
	for i := range s.machinesByName {
		index := (first + i) % len(s.machinesByName)
		m := s.machinesByName[index]
		if m.commandInFlight || m.endpoint == "" || m.returning {
			continue
		}
		if s.commandsInFlight >= s.cfg.MaxDirectCommands {
			return
		}
		// The next call starts with the last machine for which a probe was still allowed.
		// If each call started from the front, the machines of one unreachable zone would
		// use all sockets, and the few machines for which all jobs from before this term
		// wait would never be probed.
		if s.mayProbe() {
			s.nextCommandIndex = index
		}
		s.sendNextCommand(m)
	}
}

// sendNextCommand sends m the command that it needs most, if any.
func (s *State) sendNextCommand(m *machine) {
	if m.unverifiedReport != nil && s.mayProbe() {
		s.sendCommand(m, nil)
		return
	}
	if s.now < m.nextCommandAt {
		return
	}
	mayGetOrders := m.reconciled && s.now-m.lastHeardAt <= 2*s.cfg.ReportInterval
	if mayGetOrders && s.sendOrders(m) {
		return
	}
	if s.mayProbe() && s.needsProbe(m) {
		s.sendCommand(m, nil)
	}
}

// needsProbe says whether m should be probed.
func (s *State) needsProbe(m *machine) bool {
	switch {
	case m.unresponsiveSince != 0 && s.commandsInFlightByZone[m.zone] >= s.cfg.MaxDirectCommands/4:
		return false // a zone whose machines are all marked as unresponsive must not use all sockets
	case s.commandsInFlightByZone[m.zone] >= s.cfg.MaxDirectCommands/2:
		return false // nor any other zone that doesn't answer
	case !m.reconciled:
		// If one of its reports was answered in this term, its next report shows the
		// epoch, so that no probe is needed unless that report is late.
		return m.registered && !m.leaseExpired && (m.answeredEpoch == 0 || s.now-m.lastHeardAt > s.cfg.ReportInterval)
	}
	// A machine that is unreachable is probed until it shows that a command has arrived.
	return s.now-m.lastHeardAt > 2*s.cfg.ReportInterval || m.reachability.unreachable && m.highestEpoch < m.reachability.recoveryEpoch
}

// maxCommandOrders bounds the orders in one direct command.
const maxCommandOrders = 100

// sendOrders sends m the stops that have not been sent yet, maxCommandOrders of them at most.
// If tasks wait to be started, it makes the worker report at once. It says whether it has sent
// a command.
func (s *State) sendOrders(m *machine) bool {
	var stops []model.Order
	if m.hasUnsentStops {
		stops = s.unsentStops(m)
		m.hasUnsentStops = len(stops) == maxCommandOrders // there may be more
	}
	switch {
	case s.mayRequestReport(m):
		s.requestReport(m, stops)
	case len(stops) > 0:
		s.sendCommand(m, stops)
	default:
		return false
	}
	return true
}

// unsentStops returns the stops of tasks on m that no direct command has carried yet, in the
// order of the tasks' names, and notes that they are sent. Answers to reports repeat them.
func (s *State) unsentStops(m *machine) []model.Order {
	var stopping []*task
	for _, t := range m.tasks {
		if t.stopping && t.stopRequestedAt != 0 && t.state != "" {
			stopping = append(stopping, t)
		}
	}
	slices.SortFunc(stopping, func(a, b *task) int { return strings.Compare(a.name, b.name) })
	var stops []model.Order
	for _, t := range stopping[:min(len(stopping), maxCommandOrders)] {
		stops = append(stops, t.killOrder())
		t.stopRequestedAt = 0
	}
	return stops
}

// sentCommand is a direct command under way, with what its machine had shown before it was
// sent.
type sentCommand struct {
	machine      *machine
	leadership   *election.Leadership
	session, seq uint64 // session and number of the last report that had been applied
	sentAt       time.Duration
	zone         string
}

// sendCommand sends m orders under its current epoch, or an empty command that only asks
// for its report.
func (s *State) sendCommand(m *machine, orders []model.Order) {
	command := sentCommand{machine: m, leadership: s.leadership, session: m.session, seq: m.seq, sentAt: s.now, zone: m.zone}
	m.commandInFlight = true
	s.commandsInFlight++
	s.commandsInFlightByZone[m.zone]++
	if orders == nil {
		orders = []model.Order{}
	}
	s.recordStopsSent(m, orders, "command")
	s.recordEpochSent(m)
	call := AgentCall{Host: m.host, Endpoint: m.endpoint, Epoch: s.epoch(m), Session: m.session, Orders: orders, SendBefore: s.leadership.ValidUntil()}
	call.CallID = s.registerCall(func(result any) { s.completeCommand(command, result.(AgentResult)) })
	s.emit(call)
}

// completeCommand handles the result of a direct command.
func (s *State) completeCommand(command sentCommand, result AgentResult) {
	if s.leadership != command.leadership {
		return
	}
	m := command.machine
	s.commandsInFlight--
	s.commandsInFlightByZone[command.zone]--
	if s.machines[m.host] != m {
		s.finishVerification(m, false, command.sentAt)
		return
	}
	m.commandInFlight = false
	// An answer under another name is no answer: the address belongs to another machine now.
	answered := result.Report != nil && result.Report.Host == m.host && (result.Status == 200 || result.Status == 409)
	if answered {
		s.handleCommandAnswer(command, result)
	} else {
		s.handleUnansweredCommand(command)
	}
	s.finishVerification(m, answered, command.sentAt)
}

// handleCommandAnswer applies the report in a worker's answer to a command, and sends the
// orders that have been waiting for the answer.
func (s *State) handleCommandAnswer(command sentCommand, result AgentResult) {
	m, r := command.machine, result.Report
	if s.provesRestart(command, r) {
		s.handleRestart(m, r)
	}
	if r.Session > m.session || r.Session == m.session && r.Seq > m.seq {
		s.applyReport(m, r, false)
	}
	if result.Status == 409 {
		m.reportRequests.epochChangeAt = 0 // the worker may not have taken the epoch
		m.nextCommandAt = s.now + s.cfg.ReportInterval/4
		if !m.reconciled {
			m.nextCommandAt = s.now // the session is known now: send again at once
		}
	}
	if s.IsLeader() && !m.commandInFlight && s.now >= m.nextCommandAt {
		s.sendOrders(m)
	}
}

// provesRestart says whether the report r in the answer to a command shows that the worker
// has restarted: its session and number are not above those that the worker had shown before
// the command was sent, or a task of its session is missing.
func (s *State) provesRestart(command sentCommand, r *model.Report) bool {
	if r.Session < command.session || r.Session == command.session && r.Seq <= command.seq {
		return true
	}
	return r.Seq > command.machine.seq && s.lacksListedTask(command.machine, r)
}

// handleUnansweredCommand handles a command that had no valid answer.
func (s *State) handleUnansweredCommand(command sentCommand) {
	m := command.machine
	m.reportRequests.epochChangeAt = 0 // the worker may not have seen the epoch, so that another request may help
	m.nextCommandAt = s.now + s.cfg.Lease/8
	m.hasUnansweredCommand = true
	if m.lastHeardAt > command.sentAt {
		s.countMissedDelivery(m) // m has reported since, so it is up
	}
}

// killOrder returns the order that stops t.
func (t *task) killOrder() model.Order {
	graceS := t.graceS
	return model.Order{Verb: model.OrderKill, Task: t.name, Attempt: t.attempt, GraceS: &graceS}
}
