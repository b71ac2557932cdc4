package core

import (
	"encoding/json"
	"time"

	"mulleinfall/internal/model"
)

// origin is who asked: a user's request here, or one that a peer passes on
// because it doesn't reach the state service.
type origin struct {
	req  uint64
	peer string
	ask  uint64
}

// users is what concerns users' requests on this node.
type users struct {
	asks   map[uint64]*ask
	askSeq uint64
	alone  bool // has lost the state service and every peer, and is not back yet
}

// ask is a request passed on to a peer.
type ask struct {
	from  origin
	until time.Duration
}

// init numbers what is asked apart from any other life of this node: a late
// answer to an earlier life would otherwise answer another user's question.
func (u *users) init(boot uint64) { u.asks, u.askSeq = map[uint64]*ask{}, boot<<20 }

// userWait bounds how long a user's change is tried. Users give up after 5 s;
// what is refused sooner is retried sooner.
const userWait = 2 * time.Second

// swamped says whether a user's change that came now could not be written
// before it is given up, because too many wait before it. Whoever asks is told
// so at once.
func (s *State) swamped() bool {
	waiting := 0
	for _, w := range s.queue {
		if w.class != classUser {
			break // they stand in front
		}
		waiting++
	}
	return float64(waiting) >= float64(s.writeRate.Limit())*userWait.Seconds()+float64(s.cfg.TxnOps)
}

func (s *State) answer(o origin, status int, body any, retry int) {
	if o.peer != "" {
		s.emit(PeerOut{o.peer, PeerMsg{Kind: MsgAnswer, Ask: o.ask, Status: status, Value: raw(body), Retry: retry}})
		return
	}
	s.emit(Reply{Req: o.req, Status: status, Body: body, RetryAfter: retry})
}

// later refuses for now. Where a peer reaches the state service and we
// don't, it is asked instead.
func (s *State) later(o origin, why string) {
	s.answer(o, 503, Problem{why}, 1)
}

func (s *State) up(req uint64) {
	// Not ready only while nothing can be served at all: neither from here
	// nor through a peer. Flapping is punished, so a slow state service is
	// no reason, nor is an outage that every node has.
	if s.loaded && !s.isolated() {
		s.emit(Reply{Req: req, Status: 200, Body: map[string]string{"status": "up"}})
		return
	}
	s.emit(Reply{Req: req, Status: 503, Body: Problem{"state not loaded yet"}, RetryAfter: 1})
}

// isolated says whether this node has lost both the state service and the
// other controllers, so that users are better served elsewhere. Once it has,
// the state service must be back for a while.
func (s *State) isolated() bool {
	gap := s.storeGap()
	if s.storeAge() <= gap {
		s.alone = s.alone && s.contact-s.okSince < gap
		return s.alone
	}
	heard := time.Duration(0)
	for _, p := range s.peers {
		heard = max(heard, p.heard)
	}
	if s.now-heard > 2*gap && s.storeAge() > 2*gap && len(s.peers) > 0 {
		s.alone = true
	}
	return s.alone
}

func (s *State) submit(o origin, spec model.Job, wall int64) {
	if len(s.types) == 0 {
		s.later(o, "machine types are not known yet")
		return
	}
	if j := s.jobs[spec.ID]; j != nil {
		s.poll(o, spec.ID) // the same id again: the job's state
		return
	}
	if spec.Kind == model.Gang && s.cfg.GangWait == 0 {
		s.answer(o, 400, Problem{"shape: gangs are not set up here"}, 0)
		return
	}
	if spec.Kind == model.Gang && s.clusterVersion < versionGangs {
		// A controller of the former version may still take this job over.
		s.later(o, "not all controllers know gangs yet")
		return
	}
	if why := s.impossible(&spec); why != "" {
		// Only for a job that isn't known: an accepted one must not be
		// refused later, whatever the settings say by then.
		s.ifUnknown(o, spec.ID,
			func() { s.answer(o, 422, Problem{why}, 0) },
			func() bool { return s.passOn(o, "submit", spec.ID, raw(spec), wall) })
		return
	}
	if s.storeAge() > s.storeGap() && s.passOn(o, "submit", spec.ID, raw(spec), wall) {
		return
	}
	if s.swamped() {
		s.later(o, "too many submissions under way")
		return
	}
	if !s.loaded || s.storeAge() > 2*s.storeGap() {
		s.later(o, "the state service does not answer")
		return
	}
	value := raw(jobValue{Spec: &spec, At: wall})
	if len(value) > s.cfg.ValueBytes {
		s.answer(o, 400, Problem{"job description too long"}, 0)
		return
	}
	key := dirJobs + spec.ID
	s.put(&write{
		change:   Change{Key: key, Value: value},
		deadline: s.now + userWait,
		done: func(r outcome) {
			switch r {
			case written:
				s.nudge(key, value)
				s.answer(o, 201, JobStatus{ID: spec.ID, Phase: model.PhaseQueued}, 0)
			case conflict:
				// Known by now, through another node or an earlier try.
				if s.jobs[spec.ID] != nil {
					s.tell(o, s.jobs[spec.ID])
					return
				}
				s.later(o, "try again")
			default:
				if !s.passOn(o, "submit", spec.ID, raw(spec), wall) {
					s.later(o, "the state service does not answer")
				}
			}
		},
	})
}

// ifUnknown calls f if no such job was accepted, and answers with the job's
// state otherwise. pass tries a peer if that can't be told here.
func (s *State) ifUnknown(o origin, id string, f func(), pass func() bool) {
	if len(s.waiters) >= s.cfg.Requests {
		s.later(o, "too many requests under way")
		return
	}
	s.fresh(func(ok bool) {
		switch j := s.jobs[id]; {
		case !ok && pass():
		case !ok:
			s.later(o, "the state service does not answer")
		case j != nil:
			s.tell(o, j)
		default:
			f()
		}
	})
}

// impossible says why a job can never run, or nothing.
func (s *State) impossible(j *model.Job) string {
	team, ok := s.cfg.Teams[j.Team]
	if !ok {
		return "unknown team"
	}
	zones, fits := s.zonesFor(j)
	if !fits {
		return "a task fits no allowed machine type"
	}
	n := 1.0
	if j.Kind != model.Batch {
		n = float64(j.Tasks)
	}
	lim := team.Limit
	if lim.CPUs > 0 && n*j.CPUs > lim.CPUs || lim.GPUs > 0 && n*j.GPUs > lim.GPUs {
		return "the job needs more than its team's limit"
	}
	places := len(zones)
	if j.OneZone {
		places = min(places, 1)
	}
	if j.Kind == model.Gang && places > 0 && j.Tasks > places*j.ZoneCap() {
		return "the gang's tasks can't be spread over the zones at the same time"
	}
	return ""
}

// zonesFor lists the zones in which a task of j fits an allowed machine type, and
// says whether it fits any. Of a type without zones nothing final is said.
func (s *State) zonesFor(j *model.Job) (zones map[string]bool, fits bool) {
	zones = map[string]bool{}
	for i := range s.typeList {
		t := &s.typeList[i]
		if !t.Fits(j) {
			continue
		}
		fits = fits || j.Zone == ""
		for _, zone := range t.ZonesAvail {
			if j.Zone == "" || j.Zone == zone {
				zones[zone], fits = true, true
			}
		}
	}
	return zones, fits
}

func (s *State) poll(o origin, id string) {
	if j := s.jobs[id]; j != nil && j.final() {
		s.tell(o, j) // final for ever: no need to look
		return
	}
	if s.storeAge() > s.storeGap() && s.passOn(o, "poll", id, nil, 0) {
		return
	}
	s.ifUnknown(o, id,
		func() { s.answer(o, 404, Problem{"no such job"}, 0) },
		func() bool { return s.passOn(o, "poll", id, nil, 0) })
}

func (s *State) withdraw(o origin, id string) {
	if j := s.jobs[id]; j != nil && j.final() {
		s.tell(o, j)
		return
	}
	if s.storeAge() > s.storeGap() && s.passOn(o, "withdraw", id, nil, 0) {
		return
	}
	if s.jobs[id] == nil {
		if len(s.waiters) >= s.cfg.Requests {
			s.later(o, "too many requests under way")
			return
		}
		s.fresh(func(ok bool) {
			switch {
			case !ok:
				s.later(o, "the state service does not answer")
			case s.jobs[id] == nil:
				s.answer(o, 404, Problem{"no such job"}, 0)
			default:
				s.withdraw(o, id)
			}
		})
		return
	}
	if !s.loaded || s.storeAge() > 2*s.storeGap() {
		s.later(o, "the state service does not answer")
		return
	}
	if s.swamped() {
		s.later(o, "too many changes under way")
		return
	}
	key := dirJobs + id
	value := raw(jobValue{Phase: model.PhaseAborted})
	s.put(&write{
		change:   Change{Key: key, Value: value},
		deadline: s.now + userWait,
		done: func(r outcome) {
			j := s.jobs[id]
			switch {
			case r == written:
				s.nudge(key, value)
				s.tell(o, j)
			case r == conflict && j != nil && j.final():
				s.tell(o, j)
			default:
				if !s.passOn(o, "withdraw", id, nil, 0) {
					s.later(o, "the state service does not answer")
				}
			}
		},
	})
}

// status is what a user is told of a job.
func (s *State) status(j *job) JobStatus {
	st := JobStatus{ID: j.ID, Phase: j.phase, Done: j.doneCount}
	if j.phase == model.PhaseDone {
		st.Done = j.Tasks
	}
	if j.phase == "" {
		st.Running = j.running
		if s.Leading() {
			st.Running = j.liveTasks()
		}
		st.Phase = model.PhaseQueued
		if st.Running > 0 {
			st.Phase = model.PhaseRunning
		}
	}
	return st
}

// nudge tells the other nodes of a change that is durable, ahead of the
// watch. A late copy is older than what they know and changes nothing.
func (s *State) nudge(key string, value []byte) {
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgNudge, Key: key, Value: value, Stamp: s.stamps[key]}})
	}
}

// passOn hands a user's request to a peer that reaches the state service. One
// hop only. It may follow a try of our own whose outcome isn't known: the
// change is the same and guarded, so that it is made once.
func (s *State) passOn(o origin, verb, id string, value []byte, wall int64) bool {
	if o.peer != "" {
		return false
	}
	for _, name := range s.cfg.Peers {
		p := s.peers[name]
		if !p.storeOK || s.now-p.heard > s.ecf.Promise {
			continue
		}
		s.users.askSeq++
		s.asks[s.users.askSeq] = &ask{o, s.now + userWait}
		s.emit(PeerOut{name, PeerMsg{Kind: MsgAsk, Ask: s.users.askSeq, Verb: verb, Key: id, Value: value, Wall: wall}})
		return true
	}
	return false
}

func (s *State) expireAsks() {
	for _, id := range ordered(s.asks) {
		a := s.asks[id]
		if s.now >= a.until {
			delete(s.asks, id)
			s.later(a.from, "no answer from a peer")
		}
	}
}

// askedBy serves a request that a peer passes on.
func (s *State) askedBy(from string, m PeerMsg) {
	o := origin{peer: from, ask: m.Ask}
	switch m.Verb {
	case "submit":
		var spec model.Job
		if err := json.Unmarshal(m.Value, &spec); err != nil {
			s.later(o, "garbled")
			return
		}
		s.submit(o, spec, m.Wall)
	case "poll":
		s.poll(o, m.Key)
	case "withdraw":
		s.withdraw(o, m.Key)
	}
}

func (s *State) answered(m PeerMsg) {
	a := s.asks[m.Ask]
	if a == nil {
		return
	}
	delete(s.asks, m.Ask)
	s.answer(a.from, m.Status, json.RawMessage(m.Value), m.Retry)
}
