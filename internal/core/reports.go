package core

import (
	"log/slog"
	"slices"
	"time"

	"mulleinfall/internal/model"
)

// This file classifies workers' reports: a report with new information is applied; of a
// stale one only completed tasks are recorded; a doubtful one is first verified by a direct
// query, which is a command that asks the machine for its current report. Late copies of
// reports can arrive at any time. A report shows the highest epoch (commands.go) that its
// worker has seen.

// handleReport handles a report that a worker sent on its own.
func (s *State) handleReport(event WorkerReport) {
	s.steppedDownUnreached = false // a worker reaches this controller
	r := &event.Report
	if s.refuseReport(event.RequestID, r) {
		return
	}
	_, known := s.machines[r.Host]
	m := s.ensureMachine(r.Host)
	if !known {
		m.preexisting = s.newMachinesArePreexisting()
	}
	s.describeMachine(m, r.Endpoint, r.Type, r.Zone, r.Spot)
	s.classifyReport(pendingReport{requestID: event.RequestID, machine: m, report: r, receivedAt: s.now})
}

// refuseReport refuses a report on which this controller must not act, and says whether
// it did: it is not the leader, the machine was returned, or its worker has seen the
// epoch of a later leader.
func (s *State) refuseReport(requestID uint64, r *model.Report) bool {
	switch {
	case !s.IsLeader() && s.leadership != nil && s.electedAt != 0:
		// Elected, but the replica has not caught up, or the right to act has just expired:
		// neither a 200 nor a redirect is right.
		s.refuseWorker(requestID, "not ready to lead")
	case !s.IsLeader():
		s.emit(Reply{RequestID: requestID, Status: 421, Body: Redirect{s.currentLeader()}})
	case s.wasRecentlyReturned(r.Host):
		// The report is a late copy: the cloud has confirmed that the machine is gone.
		s.refuseWorker(requestID, "machine was returned")
	case r.Epoch>>fenceBits > s.leadership.Term:
		s.log(slog.LevelInfo, "a worker has seen a higher term", "host", r.Host, "epoch", r.Epoch, "term", s.leadership.Term)
		s.stepDown("a worker has seen a higher term")
		s.refuseWorker(requestID, "superseded")
	default:
		return false
	}
	return true
}

// refuseWorker answers a worker with 503. The worker then tries the next controller.
func (s *State) refuseWorker(requestID uint64, reason string) {
	s.emit(Reply{RequestID: requestID, Status: 503, Body: Problem{reason}})
}

// classifyReport decides whether a report has new information, is stale, or must be
// verified first.
func (s *State) classifyReport(pending pendingReport) {
	m, r := pending.machine, pending.report
	switch {
	case r.Epoch < m.minEpoch && (r.Session != m.session || r.Seq > m.seq):
		// A worker's epoch only grows until the worker restarts. So the report is a late
		// copy from before a restart, or its worker has restarted and has not seen the
		// epoch yet that this leader requires.
		s.refuseStaleReport(pending, "report is from another incarnation of the worker")
	case r.Session < m.session || m.leaseExpired && r.Session == m.session && m.session != 0:
		// The session is over: nothing may renew its lease.
		s.refuseStaleReport(pending, "session is over")
	case r.Session == m.session && r.Seq <= m.seq && (m.endpoint == "" || !s.isSilent(m)):
		s.answerSupersededReport(pending)
	case m.endpoint != "" && s.needsVerification(m, r):
		s.verifyReport(pending)
	case m.leaseExpired && m.session == 0:
		// The lease expired before the machine was heard of in this term. Only a direct
		// query can tell whether the report is current; the case above makes it once
		// maxReportGap has passed since the election.
		s.refuseWorker(pending.requestID, "busy")
	default:
		s.acceptReport(pending)
	}
}

// needsVerification says whether r, which isn't known to be stale, may nevertheless be a late
// copy from before a restart of its worker, or of a machine that no longer exists.
func (s *State) needsVerification(m *machine, r *model.Report) bool {
	switch {
	case m.session != 0 && r.Session > m.session:
		// A new session means that all earlier tasks on the machine have ended. A report
		// alone does not prove that: after a restart of the machine, late copies from
		// before it can show higher sessions than the current one.
		return true
	case m.lastHeardAt != 0 && s.isSilent(m):
		return true // the first report after a long gap
	default:
		return s.lacksListedTask(m, r)
	}
}

// refuseStaleReport refuses a report that seems older than what its machine has shown, and
// probes the machine (probeAgain). Of the report, only completed tasks are recorded.
func (s *State) refuseStaleReport(pending pendingReport, reason string) {
	s.recordCompletions(pending.report)
	s.probeAgain(pending.machine)
	s.refuseWorker(pending.requestID, reason)
}

// answerSupersededReport answers a report that is no newer than the last one applied of
// its session. The answer to a direct command may have overtaken the report, the report may
// be a late copy, or the worker has restarted and counts its reports from the start again.
// In the last case it may have sent the report just now, so the lease that the answer renews
// counts from now. A late copy must not extend the lease of a machine that no longer exists
// again and again: the caller has made sure that the machine was heard of recently. The
// answer carries no orders, because the report may show tasks that no longer exist. While
// the registry may mark the machine as unresponsive, the answer waits until the mark is
// removed (clearUnresponsiveMark).
func (s *State) answerSupersededReport(pending pendingReport) {
	m := pending.machine
	pending.superseded = true
	s.recordCompletions(pending.report)
	s.probeAgain(m)
	m.lastReplyAt = s.now
	if !s.clearUnresponsiveMark(m) {
		s.pendingReports = append(s.pendingReports, pending)
		return
	}
	s.answerReport(pending)
}

// lacksListedTask says whether r lacks a task that an earlier report of the same session has
// listed, and that had not exited. Such a task disappears only when the worker restarts.
func (s *State) lacksListedTask(m *machine, r *model.Report) bool {
	if !m.reconciled || r.Session != m.session {
		return false
	}
	missing := 0
	for _, t := range m.tasks {
		if t.wasListed(r.Session) {
			missing++
		}
	}
	for _, reported := range r.Tasks {
		if m.tasks[reported.Task].wasListed(r.Session) {
			missing--
		}
	}
	return missing > 0
}

// wasListed says whether a report of this session has listed t, which had not exited.
func (t *task) wasListed(session uint64) bool {
	return t != nil && t.state != "" && t.state != model.TaskExited && t.session == session
}

// probeAgain queries a machine whose report looks stale, once per report interval at
// most. A worker that has restarted under the same name counts sessions and reports from
// the start again; without a query, its reports would be taken for late copies for ever.
func (s *State) probeAgain(m *machine) {
	if m.commandInFlight || m.endpoint == "" || !s.mayProbe() || s.now < m.lastProbeAt+s.cfg.ReportInterval {
		return
	}
	m.lastProbeAt = s.now
	s.sendCommand(m, nil)
}

// handleRestart resets the record of a machine that has restarted and counts sessions or
// reports from the start again. Its tasks are gone unless it lists them. Copies of direct
// commands from before the restart may still reach it, but they start nothing.
func (s *State) handleRestart(m *machine, r *model.Report) {
	s.log(slog.LevelInfo, "machine has restarted", "host", m.host, "session", r.Session, "term", s.leadership.Term)
	m.session, m.seq, m.highestEpoch = r.Session, 0, 0
	m.answeredEpoch, m.answeredSeq, m.reachability, m.reconciled = 0, 0, reachability{}, false
	m.reportRequests = reportRequestState{}      // the worker knows no epoch and no task
	m.leaseExpired, m.lastReplyAt = false, s.now // it has a new lease since the restart
	s.refuseReportsBefore(m, r)
	for _, t := range m.tasks {
		// Answers to reports from before the restart were lost with their connections, so
		// no start in them can still arrive.
		t.startSentSeq, t.session = 0, r.Session
	}
	// Late copies from before the restart may show the same session and higher sequence
	// numbers. From now on only the epoch distinguishes them from new reports.
	s.raiseFence(m)
	m.minEpoch = s.epoch(m)
}

// refuseReportsBefore refuses the reports of m, whose worker has restarted and then sent r,
// that were sent before the restart and have not been answered yet.
func (s *State) refuseReportsBefore(m *machine, r *model.Report) {
	s.pendingReports = slices.DeleteFunc(s.pendingReports, func(pending pendingReport) bool {
		sentBefore := pending.machine == m && (pending.report.Session != r.Session || pending.report.Seq > r.Seq)
		if sentBefore {
			s.refuseWorker(pending.requestID, "machine has restarted")
		}
		return sentBefore
	})
}

// verifyReport queries a machine directly before a report of it is applied or answered,
// because the report shows a new session, lacks a task, or is the first for longer than
// maxReportGap. The report may be a late copy, while the machine has failed or is served by
// another leader. Applying such a copy would keep the tasks of a failed machine bound for
// one more lease.
func (s *State) verifyReport(pending pendingReport) {
	m := pending.machine
	if m.unverifiedReport != nil {
		s.refuseWorker(m.unverifiedReport.requestID, "overtaken")
	}
	m.unverifiedReport = &pending
	// If no query can be sent now, the outcome of the command under way decides, or
	// sendCommands sends a query once a socket is free.
	if !m.commandInFlight && s.mayProbe() {
		s.sendCommand(m, nil)
	}
}

// finishVerification handles a report that waited for a direct query of its machine, if
// there is one. alive says whether the machine answered the query that was sent at sentAt. A
// query from before the report arrived may have been lost in a restart, and its answer may be
// older than the report: if that decides nothing, sendCommands sends another query.
func (s *State) finishVerification(m *machine, alive bool, sentAt time.Duration) {
	pending := m.unverifiedReport
	if pending == nil {
		return
	}
	sentBeforeReport := sentAt < pending.receivedAt
	if sentBeforeReport && s.machines[m.host] == m && (!alive || s.lacksListedTask(m, pending.report)) {
		return
	}
	m.unverifiedReport = nil
	switch {
	case !alive || s.machines[m.host] != m || pending.report.Session != m.session || m.leaseExpired:
		s.recordCompletions(pending.report)
		s.refuseWorker(pending.requestID, "machine does not answer")
	case pending.report.Session == m.session && pending.report.Seq <= m.seq:
		s.answerSupersededReport(*pending)
	case !sentBeforeReport:
		// The answer is newer than the report, but has a lower number: the worker has
		// restarted since it sent the report.
		s.recordCompletions(pending.report)
		s.refuseWorker(pending.requestID, "report is from before a restart")
	default:
		s.acceptReport(*pending)
	}
}

// acceptReport applies a report that has new information, and answers it at once or
// after the next dispatch round.
func (s *State) acceptReport(pending pendingReport) {
	m, r := pending.machine, pending.report
	s.lastReportAt = s.now
	s.applyReport(m, r, true)
	s.checkDelivery(m, r)
	if m.reachability.unreachable {
		// Without an answer with 200, its lease expires (markUnreachable).
		s.refuseWorker(pending.requestID, "answers don't reach this machine")
		return
	}
	if !m.registered && !m.reconciled && !m.commandInFlight && s.mayProbe() && m.endpoint != "" {
		s.sendCommand(m, nil) // a new machine gets tasks only once it has shown an epoch of this term
	}
	m.lastReplyAt = s.now
	s.refuseHeldReport(m)
	if len(s.pendingReports) < s.maxPendingToHold() && s.mayHoldReport(m, r) {
		pending.holdUntil = s.now + s.reportHold()
	}
	if !s.clearUnresponsiveMark(m) || s.dispatchNeeded || pending.holdUntil != 0 {
		// The answer waits until the unresponsive mark is out of the registry, and for
		// the next dispatch round if one is due. It then carries starts for the capacity
		// that this report has freed, and the round also sees the capacity that other
		// reports free at the same time.
		s.pendingReports = append(s.pendingReports, pending)
		return
	}
	s.answerReport(pending)
}

// recordCompletions marks the tasks as done that r shows as completed. It may be called
// with a stale report, since a completed task stays completed.
func (s *State) recordCompletions(r *model.Report) {
	for _, reported := range r.Tasks {
		id, index, ok := model.ParseTaskName(reported.Task)
		if j := s.jobs[id]; ok && j != nil && reported.State == model.TaskExited && reported.Cause == model.CauseDone {
			s.markTaskDone(j, index)
		}
	}
}
