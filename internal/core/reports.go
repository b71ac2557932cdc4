package core

import (
	"log/slog"

	"mulleinfall/internal/model"
)

// Workers' reports: which are news, which late copies, and what is answered.

// takeReport takes a worker's report.
func (s *State) takeReport(e WorkerReport) {
	s.steppedDownUnreached = false
	r := &e.Report
	if s.refuseReport(e.RequestID, r) {
		return
	}
	_, known := s.machines[r.Host]
	m := s.machine(r.Host)
	if !known {
		m.standing = s.foundFirst()
	}
	s.describe(m, r.Endpoint, r.Type, r.Zone, r.Spot)
	s.sortReport(pendingReport{req: e.RequestID, m: m, r: r, at: s.now})
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
	case s.recentlyReturned(r.Host):
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

// sortReport tells news of a machine from late copies of its reports.
func (s *State) sortReport(h pendingReport) {
	m, r := h.m, h.r
	switch {
	case r.Epoch < m.minEpoch && (r.Session != m.session || r.Seq > m.seq):
		// A worker's epoch only grows: this is from before it began anew, or it
		// has just done so and nobody knows yet.
		s.notNews(h, "report is from another life of this machine")
	case r.Session < m.session || m.lapsed && r.Session == m.session && m.session != 0:
		// Of a session that is over: nothing may renew that lease.
		s.notNews(h, "session is over")
	case r.Session == m.session && r.Seq <= m.seq:
		s.overtaken(h)
	case m.session != 0 && r.Session > m.session && m.endpoint != "":
		// A new session ends all that was on the machine. That is not taken
		// from a report alone: after the machine has begun anew, copies from
		// its earlier life show higher sessions than the present one.
		s.prove(h)
	case m.heard != 0 && s.now-m.heard >= s.silence() && m.endpoint != "":
		s.prove(h)
	case m.lapsed && m.session == 0:
		// Lost before it was ever heard of in this term: only its own word
		// tells a report of now from one of before.
		s.refuseWorker(h.req, "busy")
	default:
		s.accept(h)
	}
}

// notNews refuses a report that is older than what its machine has shown, but
// for what has completed, and asks the machine for its own word.
func (s *State) notNews(h pendingReport, why string) {
	s.lateDones(h.r)
	s.askAgain(h.m)
	s.refuseWorker(h.req, why)
}

// overtaken answers a report that is older than what its machine has shown
// since: the answer to a direct command came first, or the report is a late
// copy. Only the first kind has a worker waiting for the answer, which may
// renew its lease; it was sent before the newer message came, so that counts
// as the last contact, and not now: a copy says nothing of now.
func (s *State) overtaken(h pendingReport) {
	m := h.m
	s.lateDones(h.r)
	s.askAgain(m)
	m.lastReplyAt = max(m.lastReplyAt, m.heard)
	if !s.clearUnresponsiveMark(m) {
		s.pendingReports = append(s.pendingReports, h)
		return
	}
	s.renewLease(h, []model.Order{})
}

// askAgain asks a machine whose report looks old for its own word: a worker
// that has begun anew under the same name counts from the start again, and
// must not be taken for its own late copy for ever.
func (s *State) askAgain(m *machine) {
	if m.direct || m.endpoint == "" || !s.mayProbe() || s.now < m.askedAt+s.cfg.ReportInterval {
		return
	}
	m.askedAt = s.now
	s.command(m, nil, nil)
}

// begunAnew takes in that a machine counts sessions or reports from the start
// again. What it had is gone unless it shows it; only direct commands of its
// former life may still reach it, which the fence and each task's epoch of
// doubt take care of.
func (s *State) begunAnew(m *machine, r *model.Report) {
	s.log(slog.LevelInfo, "machine has begun anew", "host", m.host, "session", r.Session, "term", s.leadership.Term)
	m.session, m.seq, m.seen = r.Session, 0, 0
	m.answeredEpoch, m.answeredSeq, m.reach, m.adopted = 0, 0, reachability{}, false
	m.lapsed, m.lastReplyAt = false, s.now // its new life has a lease of its own
	for _, t := range m.tasks {
		// Answers to reports of the former life died with its connections.
		t.issuedSeq, t.session = 0, r.Session
	}
	// Copies from the former life may show the same session and more reports:
	// from now on only the epoch tells them from news.
	s.raiseFence(m)
	m.minEpoch = s.epoch(m)
}

// prove asks a machine that hasn't been heard of for a while, or never, before
// its report is believed: it may be a late copy, and the machine dead or
// another leader's business long since. A copy believed would hold the tasks
// of a dead machine for a lease more.
func (s *State) prove(h pendingReport) {
	m := h.m
	if m.proof != nil {
		s.refuseWorker(m.proof.req, "overtaken")
	}
	m.proof = &h
	if !m.direct && s.mayProbe() {
		s.command(m, nil, nil) // else reachOut asks, as soon as others have answered
	}
}

// proven goes on with a report that waited for a sign of life.
func (s *State) proven(m *machine, alive bool) {
	h := m.proof
	if h == nil {
		return
	}
	m.proof = nil
	switch {
	case !alive || s.machines[m.host] != m || h.r.Session != m.session || m.lapsed:
		s.lateDones(h.r)
		s.refuseWorker(h.req, "machine does not answer")
	case h.r.Session == m.session && h.r.Seq <= m.seq:
		s.overtaken(*h)
	default:
		s.accept(*h)
	}
}

// accept takes a report as news of its machine.
func (s *State) accept(h pendingReport) {
	m, r := h.m, h.r
	s.lastReportAt = s.now
	s.report(m, r, true)
	s.checkDelivery(m, r)
	if m.reach.lost {
		s.refuseWorker(h.req, "answers don't reach this machine")
		return
	}
	if !m.rostered && !m.adopted && !m.direct && s.mayProbe() && m.endpoint != "" {
		s.command(m, nil, nil) // a new machine is of use as soon as it shows the epoch
	}
	m.lastReplyAt = s.now
	if !s.clearUnresponsiveMark(m) || s.dirty {
		// Place first, so that what was just freed is filled by this answer,
		// and together with what other reports free in the same moment.
		s.pendingReports = append(s.pendingReports, h)
		return
	}
	s.answerReport(h)
}

func (s *State) lateDones(r *model.Report) {
	for _, p := range r.Tasks {
		id, i, ok := model.SplitTask(p.Task)
		if j := s.jobs[id]; ok && j != nil && p.State == model.TaskExited && p.Cause == model.CauseDone {
			s.finished(j, i)
		}
	}
}
