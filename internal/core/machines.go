package core

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// task is a task that is bound to a machine: it is there, or it may be. It is
// unbound only when that machine shows that the attempt is over or never
// began, or when the machine's lease has surely run out, or when the cloud
// has confirmed that the machine is gone.
type task struct {
	job     *job
	index   int
	name    string
	attempt uint64
	m       *machine
	session uint64 // of the worker, at the time of binding
	zone    string // of the machine, at the time of binding

	issued      bool   // a start has been sent
	issuedSeq   uint64 // report in whose answer it was last sent
	directEpoch uint64 // epoch of a direct start without a known outcome

	state   string        // as last reported
	since   time.Duration // running since
	adopted bool          // begun before this leader saw it
	killing bool
	grace   float64
	killAt  time.Duration // when it was told to stop
}

// machine is a row of the machine table.
type machine struct {
	host, endpoint string
	typ            *model.MachineType
	typeName, zone string
	spot           bool
	view           sched.Machine
	stale          bool // the view is older than the tasks
	unsent         bool // there may be starts or stops that haven't been sent

	session, seq uint64
	seen         uint64 // highest epoch that it has shown
	least        uint64 // a report that shows a lower epoch is no news
	fence        uint64 // low bits of the epoch in use

	up       bool // has reported, in this term
	adopted  bool // has shown an epoch of this term: its list is complete
	lapsed   bool // its lease has surely run out
	cleared  bool // nothing from before this term can be on it
	rostered bool // in the state service, so that a successor knows of it
	page     int  // of the roster; 0: none yet
	ownKey   bool // on the roster by a key of its own, as former versions wrote it
	// quiet is since when it hasn't been answered, as wanted in the roster (0:
	// no mark), quietStored the mark that may be there.
	quiet, quietStored int64
	standing           bool // the operators' own, there before us: never returned for being idle
	returning          bool
	// returnDoubt: a return had no answer, so the machine can't be counted on.
	returnDoubt bool
	returnTold  bool
	dead        bool          // the cloud says that it has failed
	heard       time.Duration // last report of any kind
	lastBeat    time.Duration // receipt of the last report answered with 200
	hiredAt     time.Duration
	idleSince   time.Duration
	recallAt    time.Duration // 0: none
	downUntil   time.Duration // no new tasks before (refusals, errors)
	errors      int
	slow        bool // found slow: drained, returned and replaced
	slowSigns   int

	tasks     map[string]*task
	strangers map[string]model.TaskReport

	proof   *heldBeat // a report that waits for the machine's own word
	mute    muteness
	told    uint64 // epoch of the last answer to a report, and that report
	toldSeq uint64

	askedAt time.Duration // when its word was last asked for
	// askedInVain: a direct command had no answer in this term.
	askedInVain bool
	direct      bool          // a direct command is under way
	directAt    time.Duration // no direct command before
	doubt       uint64        // epoch of a direct command without an answer
	keptFor     *job          // room made by preemption is kept for this job
	keptUntil   time.Duration
	draining    bool // kept for a job that waits for its tasks to end, not for preempted ones
}

func (s *State) machine(host string) *machine {
	m := s.machines[host]
	if m == nil {
		m = &machine{host: host, tasks: map[string]*task{}, strangers: map[string]model.TaskReport{}, hiredAt: s.now, idleSince: s.now}
		m.view.ID, m.view.Ref = host, m
		m.stale = true
		s.machines[host] = m
		at, _ := s.place(host)
		s.order = slices.Insert(s.order, at, m)
	}
	return m
}

// place is where host stands or would stand in the order of machines.
func (s *State) place(host string) (int, bool) {
	return slices.BinarySearchFunc(s.order, host, func(m *machine, h string) int { return strings.Compare(m.host, h) })
}

// drop forgets a machine.
func (s *State) drop(host string) {
	delete(s.machines, host)
	if at, ok := s.place(host); ok {
		// A new list: somebody may be going over the old one.
		s.order = slices.Concat(s.order[:at], s.order[at+1:])
	}
	s.odd = slices.DeleteFunc(s.odd, func(m *machine) bool { return m.host == host })
}

// describe sets what kind of machine m is.
func (s *State) describe(m *machine, endpoint, typ, zone string, spot bool) {
	if endpoint != "" {
		m.endpoint = endpoint
	}
	m.typeName, m.zone, m.spot, m.view.Spot = typ, zone, spot, spot
	if t := s.types[typ]; t != nil && m.typ != t {
		m.typ = t
		m.stale = true
		m.view.Capacity = sched.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
		m.view.Rate = max(t.FetchRate, 0.001)
		m.view.Price = t.Price
		if spot {
			m.view.Price = t.SpotPrice
		}
		if m.view.Images == nil {
			m.view.Images = &sched.Cache{}
		}
		m.view.Images.Size = t.CacheGB
	}
}

// forgetTerm drops what only the leader of a term may rely on.
func (m *machine) forgetTerm() {
	m.up, m.adopted, m.lapsed, m.cleared, m.returning, m.direct = false, false, false, false, false, false
	m.returnDoubt, m.returnTold = false, false
	m.tasks = map[string]*task{}
	m.strangers = map[string]model.TaskReport{}
	m.session, m.seq, m.fence, m.doubt, m.directAt, m.recallAt = 0, 0, 0, 0, 0, 0
	m.told, m.toldSeq, m.least, m.askedAt, m.askedInVain = 0, 0, 0, 0, false
	m.keptFor, m.slow, m.slowSigns = nil, false, 0
	m.proof, m.mute = nil, muteness{}
	if !m.rostered {
		m.page = 0 // the page that it was meant for may never have been written
	}
	m.view.Local, m.view.Fetching, m.view.Running = nil, nil, nil
	m.stale, m.unsent = true, false
}

// takeOver begins a term: every machine that a former leader may have given
// tasks is asked, and fenced, by an empty command under the new epoch.
func (s *State) takeOver() {
	s.log(slog.LevelInfo, "leading", "term", s.tenure.Term, "jobs", len(s.active), "machines", len(s.machines))
	s.attempts, s.hires, s.beatAt = 0, 0, s.now
	s.settled, s.looked, s.looks = false, 0, 0
	s.paths = map[sched.Path]int{}
	s.pages, s.rosterAt, s.quietAt = map[int]*page{}, 0, 0
	s.teams, s.odd, s.beats = map[string]sched.Resources{}, nil, nil
	for _, m := range s.order {
		if !m.rostered {
			s.drop(m.host)
			continue
		}
		m.forgetTerm()
		m.lastBeat, m.heard, m.quiet = s.lastAnswered(m), s.electedAt, m.quietStored
		m.idleSince, m.hiredAt = s.now, s.now
		if m.page > 0 {
			s.page(m.page)
		}
	}
	for _, id := range ordered(s.active) {
		j := s.active[id]
		j.forgetTerm()
		if j.doneCount == j.Tasks {
			s.finishJob(j)
		}
	}
	s.startFleet()
	s.checkSettled()
	s.reachOut()
}

func (s *State) epoch(m *machine) uint64 { return s.epochBase() | m.fence }

// leaseEnd is when m's lease has surely run out, if nobody answers it again.
func (s *State) leaseEnd(m *machine) time.Duration {
	l := s.cfg.Lease
	return m.lastBeat + l + time.Duration(float64(l)*4*Drift) + l/32
}

// beat takes a worker's report.
func (s *State) beat(e Beat) {
	s.unreached = false
	if !s.Leading() {
		if s.tenure != nil && s.electedAt != 0 {
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
	if r.Epoch>>fenceBits > s.tenure.Term {
		s.log(slog.LevelInfo, "a worker has seen a higher term", "host", r.Host, "epoch", r.Epoch, "term", s.tenure.Term)
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
	h := heldBeat{req: e.Req, m: m, r: r, at: s.now}
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
func (s *State) overtaken(h heldBeat) {
	m := h.m
	s.lateDones(h.r)
	s.askAgain(m)
	m.lastBeat = max(m.lastBeat, m.heard)
	if !s.unquiet(m) {
		s.beats = append(s.beats, h)
		return
	}
	s.emit(Reply{Req: h.req, Status: 200, Body: BeatReply{s.epoch(m), []model.Order{}}, Until: s.tenure.Until()})
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
	s.log(slog.LevelInfo, "machine has begun anew", "host", m.host, "session", r.Session, "term", s.tenure.Term)
	m.session, m.seq, m.seen = r.Session, 0, 0
	m.told, m.toldSeq, m.mute, m.adopted = 0, 0, muteness{}, false
	m.lapsed, m.lastBeat = false, s.now // its new life has a lease of its own
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
func (s *State) prove(h heldBeat) {
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
func (s *State) accept(h heldBeat) {
	m, r := h.m, h.r
	s.beatAt = s.now
	s.report(m, r, true)
	s.unheard(m, r)
	if m.mute.is {
		s.emit(Reply{Req: h.req, Status: 503, Body: Problem{"answers don't reach this machine"}})
		return
	}
	if !m.rostered && !m.adopted && !m.direct && s.mayProbe() && m.endpoint != "" {
		s.command(m, nil, nil) // a new machine is of use as soon as it shows the epoch
	}
	m.lastBeat = s.now
	if !s.unquiet(m) || s.dirty {
		// Place first, so that what was just freed is filled by this answer,
		// and together with what other reports free in the same moment.
		s.beats = append(s.beats, h)
		return
	}
	s.answerBeat(h)
}

func (s *State) lateDones(r *model.Report) {
	for _, p := range r.Tasks {
		id, i, ok := model.SplitTask(p.Task)
		if j := s.jobs[id]; ok && j != nil && p.State == model.TaskExited && p.Cause == model.CauseDone {
			s.finished(j, i)
		}
	}
}

// heldBeat is a report whose answer waits for the next round of decisions, or
// until its machine's mark is off the roster.
type heldBeat struct {
	req uint64
	m   *machine
	r   *model.Report
	at  time.Duration
}

// mayProbe says whether a machine may be asked whether it is there. Direct
// commands under way are bounded by the sockets that there are for them
// (Config.Directs). A quarter is kept for starts and stops: when hundreds of
// machines fall silent at once, each question holds its socket until it is
// given up.
func (s *State) mayProbe() bool { return s.directs < max(1, s.cfg.Directs*3/4) }

func (s *State) answerBeat(h heldBeat) {
	if !s.Leading() || s.machines[h.m.host] != h.m || h.m.session != h.r.Session || h.m.lapsed || !s.unquiet(h.m) {
		s.emit(Reply{Req: h.req, Status: 503, Body: Problem{"overtaken"}})
		return
	}
	m := h.m
	m.told, m.toldSeq = s.epoch(m), max(m.toldSeq, h.r.Seq)
	s.emit(Reply{Req: h.req, Status: 200, Body: BeatReply{s.epoch(m), s.orders(m, h.r)}, Until: s.tenure.Until()})
}

// answerBeats answers the held reports, but for those whose machine's mark is
// still being taken off the roster.
func (s *State) answerBeats() {
	beats := s.beats
	s.beats = nil
	for _, h := range beats {
		if s.Leading() && h.m.quietStored != 0 && s.now-h.at < s.cfg.ReportEvery {
			s.beats = append(s.beats, h)
			continue
		}
		s.answerBeat(h)
	}
}

// report takes in what a worker says, by its own report (own) or in answer to
// a direct command. The caller has checked that it isn't older than the last.
func (s *State) report(m *machine, r *model.Report, own bool) {
	if r.Session > m.session {
		if m.toldSeq != 0 && !m.lapsed && s.now-m.lastBeat < s.cfg.Lease/2 {
			s.setMute(m, "its lease ran out though it was answered")
		}
		for _, name := range ordered(m.tasks) {
			t := m.tasks[name]
			if m.session != 0 && t.session < r.Session {
				// The worker's lease had run out: it killed all it had.
				s.unbind(t, "new session")
			}
		}
		// The new session has a lease of its own, which began before now.
		m.lapsed, m.lastBeat = false, s.now
		m.session, m.toldSeq = r.Session, 0
	}
	m.heard = s.now
	m.seq, m.seen = r.Seq, max(m.seen, r.Epoch)
	m.up = true
	m.least = max(m.least, r.Epoch)
	s.hears(m, r)
	if r.Epoch >= max(s.epochBase(), m.least) && !m.adopted && !m.lapsed {
		m.adopted = true
		s.dirty = true
		s.log(slog.LevelDebug, "machine adopted", "host", m.host, "term", s.tenure.Term, "tasks", len(r.Tasks))
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
	if len(m.strangers) > 0 {
		clear(m.strangers)
		m.stale = true
		s.odd = slices.DeleteFunc(s.odd, func(o *machine) bool { return o == m })
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
				s.log(slog.LevelError, "task vanished", "task", name, "attempt", t.attempt, "host", m.host, "term", s.tenure.Term)
				s.unbind(t, "vanished")
			}
		} else if t.killing && t.directEpoch != 0 && m.fence <= t.directEpoch&(1<<fenceBits-1) {
			s.raiseFence(m)
		}
	}
	s.checkSettled()
}

// raiseFence gives m a higher epoch: direct commands still on their way to it
// will not run once it has seen that.
func (s *State) raiseFence(m *machine) {
	if m.fence < 1<<fenceBits-1 {
		m.fence++
	}
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
		s.progress(t, p)
		return
	}
	if len(m.strangers) == 0 {
		s.odd = append(s.odd, m)
	}
	m.strangers[p.Task] = p
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
	if p.State != model.TaskExited {
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
		s.log(slog.LevelInfo, "task failed", "task", t.name, "attempt", t.attempt, "host", m.host, "term", s.tenure.Term)
	case model.CauseNoRoom, model.CauseBusy:
		m.downUntil = s.now + s.cfg.ReportEvery
		s.log(slog.LevelInfo, "start refused", "task", t.name, "attempt", t.attempt, "host", m.host, "cause", p.Cause, "term", s.tenure.Term)
	case model.CauseUnknown:
		j.errors++
		j.retryAt = s.now + s.backoff(j.errors)
		s.log(slog.LevelInfo, "start refused", "task", t.name, "attempt", t.attempt, "host", m.host, "cause", p.Cause, "term", s.tenure.Term)
	}
}

func (s *State) backoff(n int) time.Duration {
	return s.cfg.ReportEvery << min(n-1, 5)
}

// bind puts a task into the tables of its job, machine and team.
func (s *State) bind(t *task) {
	t.zone = t.m.zone
	t.job.tasks[t.index], t.m.tasks[t.name] = t, t
	t.job.zones[t.zone]++
	s.teams[t.job.Team] = s.teams[t.job.Team].Add(sched.Resources{CPUs: t.job.CPUs, GPUs: t.job.GPUs})
	t.m.stale, t.m.unsent = true, true
}

// unlink takes it out of them.
func (s *State) unlink(t *task) {
	if t.m.tasks[t.name] != t {
		return
	}
	delete(t.m.tasks, t.name)
	if t.job.tasks[t.index] == t {
		delete(t.job.tasks, t.index)
		t.job.zones[t.zone]--
	}
	s.teams[t.job.Team] = s.teams[t.job.Team].Sub(sched.Resources{CPUs: t.job.CPUs, GPUs: t.job.GPUs})
	t.m.stale = true
}

// unbind frees a task from its machine; if it isn't done it waits again.
func (s *State) unbind(t *task, why string) {
	s.unlink(t)
	s.unfetch(t)
	s.dirty = true
	if why != model.CauseDone && !t.job.final() {
		if t.job.Kind == model.Gang {
			for _, o := range t.job.tasks {
				s.kill(o, t.job.SaveCost*1.25) // no use without this one
			}
		}
		t.job.retry = append(t.job.retry, t.index)
		t.job.lostAt = s.now
		s.log(slog.LevelDebug, "task waits again", "task", t.name, "attempt", t.attempt, "host", t.m.host, "why", why, "term", s.tenure.Term)
	}
}

// unfetch drops the model's fetch when no task waits for the image any more:
// the worker gives it up then too.
func (s *State) unfetch(t *task) {
	v := &t.m.view
	for _, o := range t.m.tasks {
		if o.job.Image == t.job.Image && o.state != model.TaskRunning {
			return
		}
	}
	kept := v.Fetching[:0]
	for _, f := range v.Fetching {
		if f.Image != t.job.Image {
			kept = append(kept, f)
		}
	}
	v.Fetching = kept
}

// kill has a task stopped; grace 0 means at once.
func (s *State) kill(t *task, grace float64) {
	if !t.killing || grace < t.grace {
		t.killing, t.grace, t.killAt = true, grace, s.now
		t.m.stale, t.m.unsent = true, true
	}
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
			if t := m.tasks[p.Task]; t != nil && t.attempt == p.Attempt {
				continue
			}
			if mayForget && (p.Cause != model.CauseDone || j == nil || i >= j.Tasks || j.durable(i)) {
				orders = append(orders, model.Order{Verb: model.Forget, Task: p.Task, Attempt: p.Attempt})
			}
		}
	}
	for _, name := range ordered(m.strangers) {
		if len(orders) < most {
			orders = append(orders, model.Order{Verb: model.Kill, Task: name, Attempt: m.strangers[name].Attempt, Grace: new(float64)})
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

func (t *task) killOrder() model.Order {
	g := t.grace
	return model.Order{Verb: model.Kill, Task: t.name, Attempt: t.attempt, Grace: &g}
}

// lapses unbinds what was on machines whose lease has surely run out.
func (s *State) lapses() {
	for _, m := range s.order {
		if m.lapsed || !m.rostered || s.now < s.leaseEnd(m) {
			continue
		}
		m.lapsed, m.adopted, m.cleared = true, false, true
		s.log(slog.LevelInfo, "machine lost", "host", m.host, "term", s.tenure.Term, "tasks", len(m.tasks))
		for _, name := range ordered(m.tasks) {
			s.unbind(m.tasks[name], "lease ran out")
		}
		clear(m.strangers)
		s.odd = slices.DeleteFunc(s.odd, func(o *machine) bool { return o == m })
		m.view.Local = nil
		s.dirty = true
	}
	s.checkSettled()
}

// unaccounted says whether m may run tasks that this leader hasn't seen.
func (s *State) unaccounted(m *machine) bool { return m.rostered && !m.adopted && !m.cleared }

// Looks is how many machines were looked at until this term was settled.
func (s *State) Looks() int { return s.looks }

// checkSettled notes when every task of older jobs is accounted for: each
// machine of the roster has shown all it has under this term, or is gone.
func (s *State) checkSettled() {
	if s.settled || !s.Leading() {
		return
	}
	// It is called for each report: looking at all machines each time would
	// make a takeover's work grow with the square of the fleet.
	for ; s.looked < len(s.order); s.looked++ {
		s.looks++
		if s.unaccounted(s.order[s.looked]) {
			return
		}
	}
	s.looks += len(s.order)
	if slices.ContainsFunc(s.order, s.unaccounted) {
		s.looked = 0 // the order has changed meanwhile, or one has begun anew
		return
	}
	s.settled, s.dirty = true, true
	s.log(slog.LevelInfo, "all machines accounted for", "term", s.tenure.Term)
}

// overdue gives up machines on which tasks of a withdrawn job are still to be
// seen when most of the time allowed for that has passed: whatever holds the
// stop up, returning the machine ends them.
func (s *State) overdue(m *machine) bool {
	limit := s.cfg.CancelIn * 3 / 5
	late := func(j *job) bool {
		return j != nil && j.phase == model.PhaseAborted && s.now-max(j.overAt, s.electedAt) > limit
	}
	for _, t := range m.tasks {
		if late(t.job) {
			return true
		}
	}
	for name := range m.strangers {
		id, _, _ := model.SplitTask(name)
		if late(s.jobs[id]) {
			return true
		}
	}
	return false
}

// recalls clears machines that the cloud is about to take.
func (s *State) recalls() {
	for _, m := range s.order {
		if m.recallAt == 0 || !m.adopted {
			continue
		}
		for _, t := range m.tasks {
			if !t.killing && s.endsAfter(t, m.recallAt) {
				// Its work is lost in any case: begun anew now rather than when
				// the machine goes.
				s.kill(t, 0)
				continue
			}
			margin := time.Duration(t.job.SaveCost*float64(time.Second)) + s.cfg.ReportEvery
			if !t.killing && s.now >= m.recallAt-margin {
				s.kill(t, t.job.SaveCost*1.25)
			}
		}
	}
}

// endsAfter says whether t, which can't save, will surely run beyond at.
func (s *State) endsAfter(t *task, at time.Duration) bool {
	if t.job.Kind != model.Batch || t.job.Checkpoint > 0 {
		return false
	}
	if t.state != model.TaskRunning || t.since == 0 {
		return t.state != ""
	}
	e, _ := t.job.expect()
	return t.since+e*3/4 > at
}

// reachOut sends direct commands: to machines not heard of in this term, and
// where tasks wait to be started or stopped.
func (s *State) reachOut() {
	if !s.Leading() {
		return
	}
	for _, m := range s.order {
		if m.direct || m.endpoint == "" || m.returning {
			continue
		}
		if s.directs >= s.cfg.Directs {
			return // the others have their turn at the next tick
		}
		if m.proof != nil && s.mayProbe() {
			s.command(m, nil, nil)
			continue
		}
		if s.now < m.directAt {
			continue
		}
		if m.unsent && m.adopted && s.now-m.heard <= 2*s.cfg.ReportEvery {
			s.flush(m)
			continue
		}
		if !s.mayProbe() || m.quiet != 0 && s.directs >= s.cfg.Directs/4 {
			continue // a zone that is cut off must not take all the turns
		}
		if !m.adopted {
			// Once it has reported in this term, its next report shows the
			// epoch, at once.
			if m.rostered && !m.lapsed && (m.told == 0 || s.now-m.heard > s.cfg.ReportEvery) {
				s.command(m, nil, nil)
			}
			continue
		}
		if s.now-m.heard > 2*s.cfg.ReportEvery || m.mute.is && m.seen < m.mute.epoch {
			s.command(m, nil, nil) // is it there at all?
		}
	}
}

// taken says whether the cloud has taken m back, as it had told. Returned by
// name it is surely gone: its tasks needn't wait for its lease, nor a
// successor's older jobs for its word.
func (s *State) taken(m *machine) bool {
	return m.recallAt != 0 && s.now >= m.recallAt+time.Second && m.heard < m.recallAt
}

// missing says whether m, of which this term has heard nothing, is given up
// though its lease may not be over: nearly all others have shown their tasks,
// it doesn't answer a command, and every older job waits for the last of them.
// A lease for a handful of machines that died with the former leader would
// hold up the whole fleet.
func (s *State) missing(m *machine) bool {
	return s.unaccounted(m) && m.session == 0 && m.askedInVain && s.now-s.electedAt > s.cfg.ReportEvery*5/4 && s.unseenNow*32 <= len(s.order)
}

// deaf says whether m is given up before its lease is over: it carries
// services, neither reports nor answers, and nearly all others do, so that it
// is the machine and not this node that is out of reach. Waiting for the lease
// would keep the services down for longer than returning it.
func (s *State) deaf(m *machine) bool {
	quiet := s.cfg.Lease / 2
	if !m.adopted || s.now-m.heard < quiet || s.now-s.electedAt < s.cfg.Lease {
		return false
	}
	services := false
	for _, t := range m.tasks {
		services = services || t.job.Kind == model.Service && t.job.rank == 0
	}
	if !services {
		return false
	}
	return s.othersReport()
}

// othersReport says whether nearly all machines report: one that doesn't is
// then itself at fault, and not this node or the network.
func (s *State) othersReport() bool {
	there, well := 0, 0
	for _, o := range s.order {
		if o.adopted {
			there++
			if s.now-o.heard < 2*s.cfg.ReportEvery {
				well++
			}
		}
	}
	return there > 1 && well*10 >= (there-1)*9
}

// flush sends m's unsent starts and stops directly.
func (s *State) flush(m *machine) {
	var open []*task
	for _, t := range m.tasks {
		if !t.issued || t.killing {
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
		if !t.issued && !t.killing && m.rostered {
			orders = append(orders, model.Order{Verb: model.Start, Task: t.name, Attempt: t.attempt})
			starts = append(starts, t)
		} else if t.killing && t.killAt != 0 && t.state != "" {
			orders = append(orders, t.killOrder())
			t.killAt = 0 // once; reports repeat it
		}
	}
	if len(orders) > 0 {
		s.command(m, orders, starts)
	} else {
		m.unsent = false
	}
}

func (s *State) command(m *machine, orders []model.Order, starts []*task) {
	epoch, tenure := s.epoch(m), s.tenure
	session, seq, sent := m.session, m.seq, s.now
	m.direct = true
	s.directs++
	for _, t := range starts {
		t.issued, t.directEpoch = true, epoch
	}
	c := AgentCall{Host: m.host, Endpoint: m.endpoint, Epoch: epoch, Session: m.session, Orders: orders, Until: tenure.Until()}
	if c.Orders == nil {
		c.Orders = []model.Order{}
	}
	c.Call = s.call(func(res any) {
		d := res.(AgentDone)
		if s.tenure != tenure {
			return
		}
		s.directs--
		if s.machines[m.host] != m {
			s.proven(m, false)
			return
		}
		m.direct = false
		defer func() { s.proven(m, d.Report != nil) }()
		if d.Report == nil || d.Status != 200 && d.Status != 409 {
			// Perhaps it runs later. Raise the fence, so that the next report
			// rules that out, and leave the rest to the reports.
			if len(orders) > 0 {
				m.doubt = max(m.doubt, epoch)
				s.raiseFence(m)
			}
			m.directAt = s.now + s.cfg.Lease/8
			m.askedInVain = true
			if m.heard > sent {
				s.unreachable(m) // it reports meanwhile, so it is there
			}
			return
		}
		if len(starts) > 0 {
			// A copy of a command that was carried out may come late. Whatever
			// makes its starts possible again (a forget, another attempt) goes
			// out under a higher epoch, so that the copy is refused by then: it
			// once started a task a second time.
			s.raiseFence(m)
		}
		for _, t := range starts {
			if t.directEpoch == epoch {
				t.directEpoch = 0 // the outcome is known
				if d.Status == 409 {
					t.issued = t.issuedSeq != 0
				}
			}
		}
		r := d.Report
		if r.Session < session || r.Session == session && r.Seq <= seq {
			// Older than what it had shown before it was asked.
			s.begunAnew(m, r)
		}
		if r.Session > m.session || r.Session == m.session && r.Seq > m.seq {
			s.report(m, r, false)
		}
		if d.Status == 409 {
			m.directAt = s.now + s.cfg.ReportEvery/4
			if !m.adopted {
				m.directAt = s.now // the session is known now: ask again
			}
		}
		if s.Leading() && !m.direct && s.now >= m.directAt {
			s.flush(m)
		}
	})
	s.emit(c)
}
