package core

import (
	"log/slog"
	"slices"
	"time"

	"mulleinfall/internal/model"
)

// Workers' reports: which are news, which late copies, and what is answered.

// takeReport takes a worker's report.
func (s *State) takeReport(e ReportIn) {
	s.unreached = false
	if !s.Leading() {
		if s.leadership != nil && s.electedAt != 0 {
			// Not caught up yet: neither a 200 nor a redirect.
			s.emit(Reply{Req: e.Req, Status: 503, Body: Problem{"not ready to lead"}})
			return
		}
		s.emit(Reply{Req: e.Req, Status: 421, Body: Redirect{s.leaderName()}})
		return
	}
	r := &e.Report
	if s.recentlyReturned(r.Host) {
		// A late copy: the cloud has confirmed that the machine is gone.
		s.emit(Reply{Req: e.Req, Status: 503, Body: Problem{"machine was returned"}})
		return
	}
	if r.Epoch>>fenceBits > s.leadership.Term {
		s.log(slog.LevelInfo, "a worker has seen a higher term", "host", r.Host, "epoch", r.Epoch, "term", s.leadership.Term)
		s.stepDown("a worker has seen a higher term")
		s.emit(Reply{Req: e.Req, Status: 503, Body: Problem{"superseded"}})
		return
	}
	_, known := s.machines[r.Host]
	m := s.machine(r.Host)
	if !known {
		m.standing = s.foundFirst()
	}
	s.describe(m, r.Endpoint, r.Type, r.Zone, r.Spot)
	h := pendingReport{req: e.Req, m: m, r: r, at: s.now}
	switch {
	case r.Epoch < m.least && (r.Session != m.session || r.Seq > m.seq):
		// A worker's epoch only grows: this is from before it began anew, or it
		// has just done so and nobody knows yet.
		s.lateDones(r)
		s.askAgain(m)
		s.emit(Reply{Req: e.Req, Status: 503, Body: Problem{"report is from another life of this machine"}})
	case r.Session < m.session || m.lapsed && r.Session == m.session && m.session != 0:
		// Of a session that is over: nothing may renew that lease.
		s.lateDones(r)
		s.askAgain(m)
		s.emit(Reply{Req: e.Req, Status: 503, Body: Problem{"session is over"}})
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
		s.emit(Reply{Req: e.Req, Status: 503, Body: Problem{"busy"}})
	default:
		s.accept(h)
	}
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
	if !s.clearSilence(m) {
		s.pendingReports = append(s.pendingReports, h)
		return
	}
	s.emit(Reply{Req: h.req, Status: 200, Body: ReportReply{s.epoch(m), []model.Order{}}, Until: s.leadership.Until()})
}

// askAgain asks a machine whose report looks old for its own word: a worker
// that has begun anew under the same name counts from the start again, and
// must not be taken for its own late copy for ever.
func (s *State) askAgain(m *machine) {
	if m.direct || m.endpoint == "" || !s.mayProbe() || s.now < m.askedAt+s.cfg.ReportEvery {
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
	m.told, m.toldSeq, m.reach, m.adopted = 0, 0, reachability{}, false
	m.lapsed, m.lastReplyAt = false, s.now // its new life has a lease of its own
	for _, t := range m.tasks {
		// Answers to reports of the former life died with its connections.
		t.issuedSeq, t.session = 0, r.Session
	}
	// Copies from the former life may show the same session and more reports:
	// from now on only the epoch tells them from news.
	s.raiseFence(m)
	m.least = s.epoch(m)
}

// prove asks a machine that hasn't been heard of for a while, or never, before
// its report is believed: it may be a late copy, and the machine dead or
// another leader's business long since. A copy believed would hold the tasks
// of a dead machine for a lease more.
func (s *State) prove(h pendingReport) {
	m := h.m
	if m.proof != nil {
		s.emit(Reply{Req: m.proof.req, Status: 503, Body: Problem{"overtaken"}})
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
		s.emit(Reply{Req: h.req, Status: 503, Body: Problem{"machine does not answer"}})
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
		s.emit(Reply{Req: h.req, Status: 503, Body: Problem{"answers don't reach this machine"}})
		return
	}
	if !m.rostered && !m.adopted && !m.direct && s.mayProbe() && m.endpoint != "" {
		s.command(m, nil, nil) // a new machine is of use as soon as it shows the epoch
	}
	m.lastReplyAt = s.now
	if !s.clearSilence(m) || s.dirty {
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

// pendingReport is a report whose answer waits for the next round of decisions, or
// until its machine's mark is off the roster.
type pendingReport struct {
	req uint64
	m   *machine
	r   *model.Report
	at  time.Duration
}

func (s *State) answerReport(h pendingReport) {
	if !s.Leading() || s.machines[h.m.host] != h.m || h.m.session != h.r.Session || h.m.lapsed || !s.clearSilence(h.m) {
		s.emit(Reply{Req: h.req, Status: 503, Body: Problem{"overtaken"}})
		return
	}
	m := h.m
	m.told, m.toldSeq = s.epoch(m), max(m.toldSeq, h.r.Seq)
	s.emit(Reply{Req: h.req, Status: 200, Body: ReportReply{s.epoch(m), s.orders(m, h.r)}, Until: s.leadership.Until()})
}

// answerReports answers the held reports, but for those whose machine's mark is
// still being taken off the roster.
func (s *State) answerReports() {
	pendingReports := s.pendingReports
	s.pendingReports = nil
	for _, h := range pendingReports {
		if s.Leading() && h.m.silentStored != 0 && s.now-h.at < s.cfg.ReportEvery {
			s.pendingReports = append(s.pendingReports, h)
			continue
		}
		s.answerReport(h)
	}
}

// report takes in what a worker says, by its own report (own) or in answer to
// a direct command. The caller has checked that it isn't older than the last.
func (s *State) report(m *machine, r *model.Report, own bool) {
	if r.Session > m.session {
		if m.toldSeq != 0 && !m.lapsed && s.now-m.lastReplyAt < s.cfg.Lease/2 {
			s.markUnreachable(m, "its lease ran out though it was answered")
		}
		for _, name := range ordered(m.tasks) {
			t := m.tasks[name]
			if m.session != 0 && t.session < r.Session {
				// The worker's lease had run out: it killed all it had.
				s.unbind(t, "new session")
			}
		}
		// The new session has a lease of its own, which began before now.
		m.lapsed, m.lastReplyAt = false, s.now
		m.session, m.toldSeq = r.Session, 0
	}
	m.heard = s.now
	m.seq, m.seen = r.Seq, max(m.seen, r.Epoch)
	m.up = true
	m.least = max(m.least, r.Epoch)
	s.confirmDelivery(m, r)
	if r.Epoch >= max(s.epochBase(), m.least) && !m.adopted && !m.lapsed {
		m.adopted = true
		s.dirty = true
		s.log(slog.LevelDebug, "machine adopted", "host", m.host, "term", s.leadership.Term, "tasks", len(r.Tasks))
	}
	if r.Recall != nil {
		if m.recallAt == 0 {
			s.log(slog.LevelInfo, "machine recalled", "host", m.host, "in_s", *r.Recall)
			s.dirty = true
		}
		m.recallAt = s.now + time.Duration(*r.Recall*float64(time.Second))
	}
	if !m.adopted {
		// It may be a late copy from before this term: what it lists is not
		// relied on, but for what has completed.
		s.lateDones(r)
		return
	}
	if len(m.orphans) > 0 {
		clear(m.orphans)
		m.stale = true
		s.orphaned = slices.DeleteFunc(s.orphaned, func(o *machine) bool { return o == m })
	}
	listed := make(map[string]bool, len(r.Tasks))
	for _, p := range r.Tasks {
		listed[p.Task] = true
		s.piece(m, p, r)
	}
	for _, name := range ordered(m.tasks) {
		t := m.tasks[name]
		if listed[name] {
			continue
		}
		// Not shown. Conclusive only when no start can still arrive: the
		// worker has moved on from the answer that carried it, and has shown
		// an epoch above that of any direct command without an outcome.
		gone := m.adopted && t.issued && (t.directEpoch == 0 || r.Epoch > t.directEpoch) && (t.issuedSeq == 0 || own && r.Seq > t.issuedSeq)
		if gone || m.adopted && !t.issued {
			if t.killing {
				s.unbind(t, "never started")
				s.dirty = true
			} else if t.state != "" {
				// It was there and is not any more, in the same session.
				s.log(slog.LevelError, "task vanished", "task", name, "attempt", t.attempt, "host", m.host, "term", s.leadership.Term)
				s.unbind(t, "vanished")
			}
		} else if t.killing && t.directEpoch != 0 && m.fence <= t.directEpoch&(1<<fenceBits-1) {
			s.raiseFence(m)
		}
	}
	s.checkSettled()
}

// piece takes one task of a report.
func (s *State) piece(m *machine, p model.TaskReport, r *model.Report) {
	id, i, ok := model.SplitTask(p.Task)
	if !ok {
		return
	}
	j := s.jobs[id]
	if t := m.tasks[p.Task]; t != nil && t.attempt == p.Attempt {
		s.progress(t, p)
		return
	}
	if p.State == model.TaskExited {
		if j != nil && p.Cause == model.CauseDone {
			s.finished(j, i)
		}
		return
	}
	// Alive and not ours by this attempt: adopt what a former leader began,
	// unless the job is over or the task is somewhere else.
	if j != nil && !j.final() && i < j.Tasks && !j.isDone(i) && j.tasks[i] == nil {
		t := &task{job: j, index: i, name: p.Task, attempt: p.Attempt, m: m, session: r.Session, issued: true, adopted: true}
		s.bind(t)
		if j.Kind == model.Gang {
			s.adoptGang(t)
		}
		s.progress(t, p)
		return
	}
	if len(m.orphans) == 0 {
		s.orphaned = append(s.orphaned, m)
	}
	m.orphans[p.Task] = p
	m.stale = true
}

// progress takes a bound task's reported state.
func (s *State) progress(t *task, p model.TaskReport) {
	m, j := t.m, t.job
	t.issued = true
	if t.state != p.State {
		s.dirty = s.dirty || p.State == model.TaskExited
		m.stale, m.unsent = true, true
		if p.State == model.TaskRunning {
			t.since = s.now
			m.view.Images.Use(j.Image, j.ImageGB)
		}
	}
	t.state = p.State
	if j.Kind == model.Gang {
		s.observeGang(j, p)
	}
	if p.State != model.TaskExited {
		return
	}
	if !model.KnownCause(p.Cause) {
		// Its end is not taken from a word that nobody knows. The machine is asked
		// to forget it: once it no longer shows the task, that is gone.
		s.log(slog.LevelError, "task exited with an unknown reason", "task", t.name, "attempt", t.attempt, "host", m.host, "cause", p.Cause, "term", s.leadership.Term)
		return
	}
	s.unbind(t, p.Cause)
	switch p.Cause {
	case model.CauseDone:
		s.ran(t)
		s.finished(j, t.index)
		j.errors, m.errors = 0, 0
		m.view.Images.Use(j.Image, j.ImageGB)
	case model.CauseError:
		// Mostly the machine is at fault, sometimes the job: both pause for
		// longer each time, so that neither makes a tight loop.
		j.errors++
		m.errors++
		j.retryAt = s.now + s.backoff(j.errors)
		m.downUntil = s.now + 2*s.backoff(m.errors)
		s.log(slog.LevelInfo, "task failed", "task", t.name, "attempt", t.attempt, "host", m.host, "term", s.leadership.Term)
	case model.CauseNoRoom, model.CauseBusy:
		m.downUntil = s.now + s.cfg.ReportEvery
		s.log(slog.LevelInfo, "start refused", "task", t.name, "attempt", t.attempt, "host", m.host, "cause", p.Cause, "term", s.leadership.Term)
	case model.CauseUnknown:
		j.errors++
		j.retryAt = s.now + s.backoff(j.errors)
		s.log(slog.LevelInfo, "start refused", "task", t.name, "attempt", t.attempt, "host", m.host, "cause", p.Cause, "term", s.leadership.Term)
	}
}

// backoff is how long to wait after n failures in a row: a lease at most. Some
// tasks of an array that failed together on one bad machine kept the whole job
// from all others for minutes where reports are rare.
func (s *State) backoff(n int) time.Duration {
	return min(s.cfg.ReportEvery<<min(n-1, 5), s.cfg.Lease)
}

// orders says what m is to do, in answer to its report r. All of it can be
// repeated with every report until the reports show that it was done.
func (s *State) orders(m *machine, r *model.Report) []model.Order {
	orders := []model.Order{}
	if !m.adopted || m.session != r.Session {
		return orders
	}
	const most = 400 // keeps the answer's one line under 64 KiB
	listed := make(map[string]model.TaskReport, len(r.Tasks))
	// A forgotten attempt could be started again by a direct command that is
	// still on its way; until m has seen a higher epoch nothing is forgotten.
	mayForget := !m.direct && (m.doubt == 0 || m.seen > m.doubt)
	for _, p := range r.Tasks {
		listed[p.Task] = p
		if len(orders) >= most {
			continue
		}
		if p.State == model.TaskExited {
			id, i, _ := model.SplitTask(p.Task)
			j := s.jobs[id]
			if t := m.tasks[p.Task]; t != nil && t.attempt == p.Attempt && model.KnownCause(p.Cause) {
				continue
			}
			if mayForget && (p.Cause != model.CauseDone || j == nil || i >= j.Tasks || j.durable(i)) {
				orders = append(orders, model.Order{Verb: model.Forget, Task: p.Task, Attempt: p.Attempt})
			}
		}
	}
	for _, name := range ordered(m.orphans) {
		if len(orders) < most {
			orders = append(orders, model.Order{Verb: model.Kill, Task: name, Attempt: m.orphans[name].Attempt, Grace: new(float64)})
		}
	}
	for _, name := range ordered(m.tasks) {
		if len(orders) >= most {
			break
		}
		t := m.tasks[name]
		p, shown := listed[name]
		shown = shown && p.Attempt == t.attempt
		switch {
		case t.killing && shown:
			orders = append(orders, t.killOrder())
		case !t.killing && !shown && m.rostered:
			t.issued, t.issuedSeq = true, r.Seq
			orders = append(orders, model.Order{Verb: model.Start, Task: name, Attempt: t.attempt})
		}
	}
	return orders
}
