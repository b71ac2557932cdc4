package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/model"
)

// This file detects machines that are reachable in one direction only: their reports
// arrive, but answers and commands do not reach them. Such a machine looks healthy, but
// tasks sent to it never start, its lease expires, and in each new session it is given the
// same tasks again, because it holds their image. That a report arrives does not prove that
// the lease was renewed or that an order was carried out. So the leader checks whether the
// reports show the epoch that its answers carried and the tasks that they started.

// reachability is what a leader knows about deliveries to one machine.
type reachability struct {
	unreachable        bool          // answers and commands do not reach it
	missedDeliveries   int           // answers and commands in a row that did not reach it
	unreachableCount   int           // how often it was found unreachable
	recoveryEpoch      uint64        // lowest epoch of the commands sent since it was found unreachable
	firstUnreachableAt time.Duration // when it was first found unreachable
	earliestRecoveryAt time.Duration // it stays unreachable at least until then
}

// maxMissedDeliveries is how many missed deliveries in a row make a machine unreachable. A
// single answer or command can be lost.
const maxMissedDeliveries = 2

// checkDelivery checks whether a report that the worker sent on its own, not in reply to a
// command, shows the last answer sent to the machine.
func (s *State) checkDelivery(m *machine, r *model.Report) {
	switch {
	case m.reachability.unreachable || m.answeredSeq == 0 || r.Seq <= m.answeredSeq:
		// The machine is known to be unreachable, or has no answer in this session yet, or
		// the report is no newer than the last one answered.
	case s.now-m.answeredAt < s.cfg.ReportInterval/3:
		// The report came so soon after the answer that its worker has probably sent it
		// without knowledge of the answer; it may be a late copy. If such reports counted,
		// several copies that reach a new leader at once would get healthy machines marked
		// as unreachable, and their leases would expire.
	case r.Epoch >= m.answeredEpoch && !s.hasMissingStart(m, r):
		m.reachability.missedDeliveries = 0
	default:
		s.countMissedDelivery(m)
	}
}

// countMissedDelivery counts a delivery that m has missed, and marks m as unreachable if
// there were too many in a row.
func (s *State) countMissedDelivery(m *machine) {
	if m.reachability.missedDeliveries++; m.reachability.missedDeliveries >= maxMissedDeliveries {
		s.markUnreachable(m, "it reports, but does not show the answers and commands sent to it")
	}
}

// hasMissingStart says whether r lacks a task whose start was sent in the answer to an
// earlier report.
func (s *State) hasMissingStart(m *machine, r *model.Report) bool {
	for _, t := range m.tasks {
		if t.state == "" && !t.stopping && t.startSentSeq != 0 && r.Seq > t.startSentSeq && t.session == r.Session {
			return true
		}
	}
	return false
}

// markUnreachable marks m as unreachable: its new reports are refused, and it is given no
// new tasks. Its lease is then no longer renewed and expires, so that its session ends and
// its tasks can run elsewhere. The fence is raised, so that only what is sent from now on
// carries the new epoch. m counts as reachable again when a report shows that epoch, but
// not before earliestRecoveryAt: the first time there is no minimum wait, the second time
// it is one lease, the third time two leases, and so on.
func (s *State) markUnreachable(m *machine, why string) {
	if m.reachability.unreachable {
		return
	}
	s.raiseFence(m)
	m.reachability.unreachable, m.reachability.missedDeliveries, m.reachability.recoveryEpoch = true, 0, s.epoch(m)
	m.reachability.earliestRecoveryAt = s.now + time.Duration(m.reachability.unreachableCount)*s.cfg.Lease
	if m.reachability.unreachableCount++; m.reachability.unreachableCount == 1 {
		m.reachability.firstUnreachableAt = s.now
	}
	s.log(slog.LevelInfo, "machine is unreachable", "host", m.host, "why", why, "term", s.leadership.Term)
	s.dispatchNeeded = true
}

// confirmDelivery makes m reachable again when a report shows that a command has arrived,
// but not before earliestRecoveryAt.
func (s *State) confirmDelivery(m *machine, r *model.Report) {
	if m.reachability.unreachable && r.Epoch >= m.reachability.recoveryEpoch && s.now >= m.reachability.earliestRecoveryAt {
		m.reachability.unreachable = false
		s.log(slog.LevelInfo, "machine is reachable again", "host", m.host, "term", s.leadership.Term)
		s.dispatchNeeded = true
	}
}

// shouldReturnUnreachable says whether m should be returned: it is unreachable now, most
// machines report, and either more than three leases have passed since it was first found
// unreachable, even if it recovered in between, or it has been found unreachable more than
// twice. The number of times counts because of machines that commands reach but answers do
// not: they recover each time, but each of their leases expires, which ends all tasks that
// run for longer than a lease.
func (s *State) shouldReturnUnreachable(m *machine) bool {
	return m.reachability.unreachable && (s.now-m.reachability.firstUnreachableAt > 3*s.cfg.Lease || m.reachability.unreachableCount > 2) && s.mostMachinesReport()
}
