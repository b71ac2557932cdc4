package core

import (
	"log/slog"

	"mulleinfall/internal/model"
)

// Workers' reports: which are news, which late copies, and what is answered.

// handleReport takes a worker's report.
func (s *State) handleReport(e WorkerReport) {
	s.steppedDownUnreached = false
	r := &e.Report
	if s.refuseReport(e.RequestID, r) {
		return
	}
	_, known := s.machines[r.Host]
	m := s.ensureMachine(r.Host)
	if !known {
		m.preexisting = s.newMachinesArePreexisting()
	}
	s.describeMachine(m, r.Endpoint, r.Type, r.Zone, r.Spot)
	s.classifyReport(pendingReport{req: e.RequestID, machine: m, report: r, receivedAt: s.now})
}

// refuseReport answers a report that this node must not act on: it doesn't lead,
// the machine was returned, or its worker has heard of a later leader.
func (s *State) refuseReport(req uint64, r *model.Report) bool {
	switch {
	case !s.IsLeader() && s.leadership != nil && s.electedAt != 0:
		// Not caught up yet: neither a 200 nor a redirect.
		s.refuseWorker(req, "not ready to lead")
	case !s.IsLeader():
		s.emit(Reply{RequestID: req, Status: 421, Body: Redirect{s.currentLeader()}})
	case s.wasRecentlyReturned(r.Host):
		// A late copy: the cloud has confirmed that the machine is gone.
		s.refuseWorker(req, "machine was returned")
	case r.Epoch>>fenceBits > s.leadership.Term:
		s.log(slog.LevelInfo, "a worker has seen a higher term", "host", r.Host, "epoch", r.Epoch, "term", s.leadership.Term)
		s.stepDown("a worker has seen a higher term")
		s.refuseWorker(req, "superseded")
	default:
		return false
	}
	return true
}

// refuseWorker sends a worker to the next controller.
func (s *State) refuseWorker(req uint64, why string) {
	s.emit(Reply{RequestID: req, Status: 503, Body: Problem{why}})
}

// classifyReport tells news of a machine from late copies of its reports.
func (s *State) classifyReport(h pendingReport) {
	m, r := h.machine, h.report
	switch {
	case r.Epoch < m.minEpoch && (r.Session != m.session || r.Seq > m.seq):
		// A worker's epoch only grows: this is from before it began anew, or it
		// has just done so and nobody knows yet.
		s.refuseStaleReport(h, "report is from another life of this machine")
	case r.Session < m.session || m.leaseExpired && r.Session == m.session && m.session != 0:
		// Of a session that is over: nothing may renew that lease.
		s.refuseStaleReport(h, "session is over")
	case r.Session == m.session && r.Seq <= m.seq:
		s.answerSupersededReport(h)
	case m.session != 0 && r.Session > m.session && m.endpoint != "":
		// A new session ends all that was on the machine. That is not taken
		// from a report alone: after the machine has begun anew, copies from
		// its earlier life show higher sessions than the present one.
		s.verifyReport(h)
	case m.lastHeardAt != 0 && s.now-m.lastHeardAt >= s.maxReportGap() && m.endpoint != "":
		s.verifyReport(h)
	case m.leaseExpired && m.session == 0:
		// Lost before it was ever heard of in this term: only its own word
		// tells a report of now from one of before.
		s.refuseWorker(h.req, "busy")
	default:
		s.acceptReport(h)
	}
}

// refuseStaleReport refuses a report that is older than what its machine has shown, but
// for what has completed, and asks the machine for its own word.
func (s *State) refuseStaleReport(h pendingReport, why string) {
	s.recordCompletions(h.report)
	s.probeAgain(h.machine)
	s.refuseWorker(h.req, why)
}

// answerSupersededReport answers a report that is older than what its machine has shown
// since: the answer to a direct command came first, or the report is a late
// copy. Only the first kind has a worker waiting for the answer, which may
// renew its lease; it was sent before the newer message came, so that counts
// as the last contact, and not now: a copy says nothing of now.
func (s *State) answerSupersededReport(h pendingReport) {
	m := h.machine
	s.recordCompletions(h.report)
	s.probeAgain(m)
	m.lastReplyAt = max(m.lastReplyAt, m.lastHeardAt)
	if !s.clearUnresponsiveMark(m) {
		s.pendingReports = append(s.pendingReports, h)
		return
	}
	s.renewLease(h, []model.Order{})
}

// probeAgain asks a machine whose report looks old for its own word: a worker
// that has begun anew under the same name counts from the start again, and
// must not be taken for its own late copy for ever.
func (s *State) probeAgain(m *machine) {
	if m.commandInFlight || m.endpoint == "" || !s.mayProbe() || s.now < m.lastProbeAt+s.cfg.ReportInterval {
		return
	}
	m.lastProbeAt = s.now
	s.sendCommand(m, nil, nil)
}

// handleRestart takes in that a machine counts sessions or reports from the start
// again. What it had is gone unless it shows it; only direct commands of its
// former life may still reach it, which the fence and each task's epoch of
// doubt take care of.
func (s *State) handleRestart(m *machine, r *model.Report) {
	s.log(slog.LevelInfo, "machine has begun anew", "host", m.host, "session", r.Session, "term", s.leadership.Term)
	m.session, m.seq, m.highestEpoch = r.Session, 0, 0
	m.answeredEpoch, m.answeredSeq, m.reachability, m.reconciled = 0, 0, reachability{}, false
	m.leaseExpired, m.lastReplyAt = false, s.now // its new life has a lease of its own
	for _, t := range m.tasks {
		// Answers to reports of the former life died with its connections.
		t.startSentSeq, t.session = 0, r.Session
	}
	// Copies from the former life may show the same session and more reports:
	// from now on only the epoch tells them from news.
	s.raiseFence(m)
	m.minEpoch = s.epoch(m)
}

// verifyReport asks a machine that hasn't been heard of for a while, or never, before
// its report is believed: it may be a late copy, and the machine dead or
// another leader's business long since. A copy believed would hold the tasks
// of a dead machine for a lease more.
func (s *State) verifyReport(h pendingReport) {
	m := h.machine
	if m.unverifiedReport != nil {
		s.refuseWorker(m.unverifiedReport.req, "overtaken")
	}
	m.unverifiedReport = &h
	if !m.commandInFlight && s.mayProbe() {
		s.sendCommand(m, nil, nil) // else reachOut asks, as soon as others have answered
	}
}

// finishVerification goes on with a report that waited for a sign of life.
func (s *State) finishVerification(m *machine, alive bool) {
	h := m.unverifiedReport
	if h == nil {
		return
	}
	m.unverifiedReport = nil
	switch {
	case !alive || s.machines[m.host] != m || h.report.Session != m.session || m.leaseExpired:
		s.recordCompletions(h.report)
		s.refuseWorker(h.req, "machine does not answer")
	case h.report.Session == m.session && h.report.Seq <= m.seq:
		s.answerSupersededReport(*h)
	default:
		s.acceptReport(*h)
	}
}

// acceptReport takes a report as news of its machine.
func (s *State) acceptReport(h pendingReport) {
	m, r := h.machine, h.report
	s.lastReportAt = s.now
	s.applyReport(m, r, true)
	s.checkDelivery(m, r)
	if m.reachability.unreachable {
		s.refuseWorker(h.req, "answers don't reach this machine")
		return
	}
	if !m.registered && !m.reconciled && !m.commandInFlight && s.mayProbe() && m.endpoint != "" {
		s.sendCommand(m, nil, nil) // a new machine is of use as soon as it shows the epoch
	}
	m.lastReplyAt = s.now
	if !s.clearUnresponsiveMark(m) || s.dispatchNeeded {
		// Place first, so that what was just freed is filled by this answer,
		// and together with what other reports free in the same moment.
		s.pendingReports = append(s.pendingReports, h)
		return
	}
	s.answerReport(h)
}

func (s *State) recordCompletions(r *model.Report) {
	for _, p := range r.Tasks {
		id, i, ok := model.ParseTaskName(p.Task)
		if j := s.jobs[id]; ok && j != nil && p.State == model.TaskExited && p.Cause == model.CauseDone {
			s.markTaskDone(j, i)
		}
	}
}
