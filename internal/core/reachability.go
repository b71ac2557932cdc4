package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/model"
)

// A machine can be reachable in one direction only: its reports arrive, but
// answers and commands don't reach it. It then looks healthy, while what is sent to it
// never starts, its lease runs out, and each new session draws the same work
// again because it holds the image. A report received is neither a lease
// renewed nor an order carried out, so the leader looks for signs that its
// answers arrive: the epoch that they carried and the starts.

// reachability is what a leader knows of that.
type reachability struct {
	unreachable        bool          // nothing that is sent arrives there
	missedDeliveries   int           // in a row that it doesn't get what it is sent
	unreachableCount   int           // how often it was found so
	recoveryEpoch      uint64        // whoever shows it has heard us since
	firstUnreachableAt time.Duration // the first time
	earliestRecoveryAt time.Duration // not trusted before
}

// maxMissedDeliveries is how many signs in a row make a machine unreachable: one answer or
// command can be lost.
const maxMissedDeliveries = 2

// checkDelivery looks for signs of our answers in a machine's own report.
func (s *State) checkDelivery(m *machine, r *model.Report) {
	switch {
	case m.reachability.unreachable || m.answeredSeq == 0 || r.Seq <= m.answeredSeq:
		// Known, or not answered in this session yet.
	case s.now-m.answeredAt < s.cfg.ReportInterval/3:
		// Too soon after our answer to have been sent in its knowledge: a late copy.
		// Several that came at once to a new leader had sound machines marked, and
		// what ran there lost its leases.
	case r.Epoch >= m.answeredEpoch && !s.hasMissingStart(m, r):
		m.reachability.missedDeliveries = 0
	default:
		s.countMissedDelivery(m)
	}
}

// countMissedDelivery counts one sign that nothing reaches m.
func (s *State) countMissedDelivery(m *machine) {
	if m.reachability.missedDeliveries++; m.reachability.missedDeliveries >= maxMissedDeliveries {
		s.markUnreachable(m, "it reports, but shows nothing of what it is sent")
	}
}

// hasMissingStart says whether a start that was sent in an answer before this report
// is not in it.
func (s *State) hasMissingStart(m *machine, r *model.Report) bool {
	for _, t := range m.tasks {
		if t.state == "" && !t.stopping && t.unconfirmedStartEpoch == 0 && t.startSentSeq != 0 && r.Seq > t.startSentSeq && t.session == r.Session {
			return true
		}
	}
	return false
}

// markUnreachable gives m no work and no answers any more, so that its session is sure
// to end and its tasks can run elsewhere. It is trusted again once it shows an
// epoch that only a command from now on carries, later each time.
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

// confirmDelivery ends that when a report shows that a command has arrived.
func (s *State) confirmDelivery(m *machine, r *model.Report) {
	if m.reachability.unreachable && r.Epoch >= m.reachability.recoveryEpoch && s.now >= m.reachability.earliestRecoveryAt {
		m.reachability.unreachable = false
		s.log(slog.LevelInfo, "machine is reachable again", "host", m.host, "term", s.leadership.Term)
		s.dispatchNeeded = true
	}
}

// isUnreachableTooLong says whether m is to be returned: it is out of earshot for long
// or again and again. Where commands arrive and only answers don't, each
// session of it would otherwise end whatever runs longer than a lease.
func (s *State) isUnreachableTooLong(m *machine) bool {
	return m.reachability.unreachable && (s.now-m.reachability.firstUnreachableAt > 3*s.cfg.Lease || m.reachability.unreachableCount > 2) && s.mostMachinesReport()
}
