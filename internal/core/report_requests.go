package core

import (
	"time"

	"mulleinfall/internal/model"
)

// This file lets starts reach workers soon, although they are sent only in answers to reports
// (commands.go). A worker reports by itself once per report interval and when something changes.
// A higher epoch is a change, but counts only once in half a lease: a command with a higher epoch
// requests a report. A worker sends its next report only after the answer to the last one, or
// after 4 s. So a leader holds the reports of machines that have nothing to report soon: if a
// task is placed there meanwhile, the answer carries its start at once.

// reportRequestState is what a leader knows about the epochs that make a machine's worker report.
type reportRequestState struct {
	sentEpoch     uint64        // highest epoch sent to the worker in this term
	epochChangeAt time.Duration // when a higher epoch last made it report, or may have; 0: never
}

// epochChangePeriod is the time in which a worker takes at most one higher epoch as a reason to
// report, by this leader's clock.
func (s *State) epochChangePeriod() time.Duration { return s.cfg.Lease / 2 }

// epochChangeMargin allows for the drift of clocks and for the time that messages take.
func (s *State) epochChangeMargin() time.Duration { return s.cfg.Lease / 64 }

// recordEpochSent notes that the current epoch is sent to m, and whether it may make the worker
// report.
func (s *State) recordEpochSent(m *machine) {
	if s.epoch(m) <= m.reportRequests.sentEpoch {
		return
	}
	m.reportRequests.sentEpoch = s.epoch(m)
	changedAt := m.reportRequests.epochChangeAt
	if changedAt == 0 || s.now >= changedAt+s.epochChangePeriod()-s.epochChangeMargin() {
		m.reportRequests.epochChangeAt = s.now
	}
}

// mayRequestReport says whether m should be made to report at once: a task waits there to be
// started, the answer may carry the start, and a higher epoch makes the worker report now.
func (s *State) mayRequestReport(m *machine) bool {
	if !m.hasUnsentStarts || !m.registered || m.storedUnresponsiveSince != 0 || m.unresponsiveSince != 0 || m.unverifiedReport != nil {
		return false
	}
	return s.canRequestReport(m)
}

// canRequestReport says whether a higher epoch makes the worker of m report now.
func (s *State) canRequestReport(m *machine) bool {
	changedAt := m.reportRequests.epochChangeAt
	return changedAt == 0 || s.now >= changedAt+s.epochChangePeriod()+s.epochChangeMargin()
}

// startDelay estimates how long a start of a task that is placed on m in this round takes to
// reach its worker.
func (s *State) startDelay(m *machine) time.Duration {
	if m.reportPendingInRound == s.roundNumber || s.canRequestReport(m) {
		return 0
	}
	return s.cfg.ReportInterval / 2
}

// markPendingReports notes for this round which machines have a report that waits for an answer.
func (s *State) markPendingReports() {
	for _, pending := range s.pendingReports {
		pending.machine.reportPendingInRound = s.roundNumber
	}
}

// requestReport sends m a command, with the stops, under a higher epoch, so that the worker
// reports at once. A late copy of it can only show the worker an epoch that was used for the
// machine before.
func (s *State) requestReport(m *machine, stops []model.Order) {
	s.raiseFence(m)
	s.logDebug("report requested", "host", m.host, "epoch", s.epoch(m), "term", s.leadership.Term)
	s.sendCommand(m, stops)
}

// maxReportHold bounds how long a report is held, well below the 4 s after which the worker would
// turn to another controller.
const maxReportHold = 2 * time.Second

// reportHold is how long a report may be held: half a report interval at most, so that the next
// one isn't late.
func (s *State) reportHold() time.Duration { return min(maxReportHold, s.cfg.ReportInterval/2) }

// maxPendingToHold bounds the reports that wait for an answer when another one is held. Each of them
// keeps a socket, of which new connections of users need most.
func (s *State) maxPendingToHold() int { return s.cfg.MaxRequests / 4 }

// mayHoldReport says whether the report r of m may be held. Nothing is to be sent to the machine,
// which has capacity for a further task, and nothing has to be reported soon: it has no tasks but
// running replicas, which don't end by themselves.
func (s *State) mayHoldReport(m *machine, r *model.Report) bool {
	if !s.awaitsTasks(m) || r.ReclaimInS != nil || m.hasUnsentStarts || len(m.tasks) != len(r.Tasks) {
		return false
	}
	for _, reported := range r.Tasks {
		t := m.tasks[reported.Task]
		if t == nil || t.stopping || t.state != model.TaskRunning || t.job.Kind != model.KindService {
			return false
		}
	}
	return true
}

// awaitsTasks says whether tasks may be placed on m, now or once it is registered.
func (s *State) awaitsTasks(m *machine) bool {
	if !m.registered {
		return m.reconciled && m.machineType != nil
	}
	if !s.isUsable(m) {
		return false
	}
	s.refreshView(m)
	return m.view.Free.CPUs > 0 && m.view.Free.MemoryGB > 0
}

// answerHeldReports answers the reports that were held for as long as they may be.
func (s *State) answerHeldReports() {
	if s.dispatchNeeded {
		return // they are answered after the round, with the starts that it brings
	}
	due := s.takeReports(func(pending pendingReport) bool {
		return pending.holdUntil != 0 && s.now >= pending.holdUntil && pending.machine.storedUnresponsiveSince == 0
	})
	for _, pending := range due {
		s.answerReport(pending)
	}
}

// refuseHeldReport refuses the report of m that is held, if there is one: the worker has sent
// another one, so it no longer waits for the answer.
func (s *State) refuseHeldReport(m *machine) {
	held := s.takeReports(func(pending pendingReport) bool { return pending.machine == m && pending.holdUntil != 0 })
	for _, pending := range held {
		s.refuseWorker(pending.requestID, "overtaken")
	}
}
