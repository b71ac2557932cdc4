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

// sendUnsentOrders sends the unsent starts and stops of m by a direct command, 100 of them
// at most.
func (s *State) sendUnsentOrders(m *machine) {
	var unsent []*task
	for _, t := range m.tasks {
		if !t.startSent || t.stopping {
			unsent = append(unsent, t)
		}
	}
	slices.SortFunc(unsent, func(a, b *task) int { return strings.Compare(a.name, b.name) })
	var orders []model.Order
	var starts []*task
	for _, t := range unsent {
		if len(orders) >= 100 {
			break
		}
		if !t.startSent && !t.stopping && m.mayGetDirectStarts() {
			orders = append(orders, model.Order{Verb: model.OrderStart, Task: t.name, Attempt: t.attempt})
			starts = append(starts, t)
		} else if t.stopping && t.stopRequestedAt != 0 && t.state != "" {
			orders = append(orders, t.killOrder())
			t.stopRequestedAt = 0 // the stop is sent directly once; answers to reports repeat it
		}
	}
	if len(orders) > 0 {
		s.sendCommand(m, orders, starts)
	} else {
		m.hasUnsentOrders = false
	}
}

// mayGetDirectStarts says whether tasks may be started on m by direct commands: a successor
// would know of it, and doesn't count its lease from an earlier mark (markUnresponsiveMachines).
func (m *machine) mayGetDirectStarts() bool {
	return m.registered && m.unresponsiveSince == 0 && m.storedUnresponsiveSince == 0
}

// sentCommand is a direct command under way, with what its machine had shown before it was
// sent.
type sentCommand struct {
	machine      *machine
	leadership   *election.Leadership
	epoch        uint64
	hasOrders    bool
	starts       []*task // tasks that it starts
	session, seq uint64  // session and number of the last report that had been applied
	sentAt       time.Duration
	zone         string
}

// sendCommand sends m orders under its current epoch, or an empty command that only asks
// for its report. starts are the tasks that the orders start.
func (s *State) sendCommand(m *machine, orders []model.Order, starts []*task) {
	command := sentCommand{
		machine: m, leadership: s.leadership, epoch: s.epoch(m), hasOrders: len(orders) > 0,
		starts: starts, session: m.session, seq: m.seq, sentAt: s.now, zone: m.zone,
	}
	m.commandInFlight = true
	s.commandsInFlight++
	s.commandsInFlightByZone[m.zone]++
	for _, t := range starts {
		t.startSent, t.unconfirmedStartEpoch, t.directStartAt = true, command.epoch, s.now
	}
	if orders == nil {
		orders = []model.Order{}
	}
	s.recordStopsSent(m, orders, "command")
	call := AgentCall{Host: m.host, Endpoint: m.endpoint, Epoch: command.epoch, Session: m.session, Orders: orders, SendBefore: s.leadership.ValidUntil()}
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
	for _, t := range command.starts {
		t.directStartAt = s.now // until then, the worker may have restarted before the start came
	}
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
	s.recordStartOutcome(m, command.starts, command.epoch, result.Status)
	if s.provesRestart(command, r) {
		s.handleRestart(m, r)
	} else {
		s.recordSameIncarnation(command, r)
	}
	if r.Session > m.session || r.Session == m.session && r.Seq > m.seq {
		s.applyReport(m, r, false)
	}
	if result.Status == 409 {
		m.nextCommandAt = s.now + s.cfg.ReportInterval/4
		if !m.reconciled {
			m.nextCommandAt = s.now // the session is known now: send again at once
		}
	}
	if s.IsLeader() && !m.commandInFlight && s.now >= m.nextCommandAt {
		s.sendUnsentOrders(m)
	}
}

// recordSameIncarnation uses the tasks that the answer r to a command lists again. They show
// that the worker has not restarted since they were started, so the lease of the tasks that the
// command started counts from no later than theirs.
func (s *State) recordSameIncarnation(command sentCommand, r *model.Report) {
	if len(command.starts) == 0 || r.Session != command.machine.session {
		return
	}
	latest := s.now
	for _, reported := range r.Tasks {
		if t := command.machine.tasks[reported.Task]; t.wasListed(r.Session) && t.attempt == reported.Attempt {
			latest = min(latest, t.directStartAt)
		}
	}
	for _, t := range command.starts {
		t.directStartAt = min(t.directStartAt, latest)
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

// handleUnansweredCommand handles a command that had no valid answer. The command may still
// be carried out later, so that its outcome is unknown. If it had orders, the fence is
// raised: once a report shows the higher epoch, the command can no longer be carried out.
func (s *State) handleUnansweredCommand(command sentCommand) {
	m := command.machine
	if command.hasOrders {
		m.unconfirmedEpoch = max(m.unconfirmedEpoch, command.epoch)
		s.raiseFence(m)
	}
	m.nextCommandAt = s.now + s.cfg.Lease/8
	m.hasUnansweredCommand = true
	if m.lastHeardAt > command.sentAt {
		s.countMissedDelivery(m) // m has reported since, so it is up
	}
}

// recordStartOutcome records the outcome of direct starts. A late copy of the command may
// still arrive after it was carried out. In an earlier version such a copy started a task a
// second time. So the fence is raised: all that could make these starts valid again, such as
// a forget or another attempt, is sent under a higher epoch, after which the copy is refused.
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
			t.startSent = t.startSentSeq != 0 // refused: sent only if an answer carried it as well
		}
	}
}

// killOrder returns the order that stops t.
func (t *task) killOrder() model.Order {
	graceS := t.graceS
	return model.Order{Verb: model.OrderKill, Task: t.name, Attempt: t.attempt, GraceS: &graceS}
}
