package core

import (
	"time"

	"mulleinfall/internal/model"
)

// users is what concerns users' requests on this node.
type users struct {
	asks   map[uint64]*forwardedRequest
	askSeq uint64
	alone  bool // has lost the state service and every peer, and is not back yet
}

// init numbers what is asked apart from any other life of this node: a late
// answer to an earlier life would otherwise answer another user's question.
func (u *users) init(boot uint64) { u.asks, u.askSeq = map[uint64]*forwardedRequest{}, boot<<20 }

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
	return float64(waiting) >= float64(s.writeRate.Limit())*userWait.Seconds()+float64(s.cfg.MaxTxnOps)
}

func (s *State) answer(o requester, status int, body any, retry int) {
	if o.peer != "" {
		s.emit(PeerOut{o.peer, PeerMsg{Kind: MsgForwardReply, Ask: o.forwardID, Status: status, Value: mustMarshal(body), Retry: retry}})
		return
	}
	s.emit(Reply{RequestID: o.requestID, Status: status, Body: body, RetryAfter: retry})
}

// later refuses for now. Where a peer reaches the state service and we
// don't, it is asked instead.
func (s *State) later(o requester, why string) {
	s.answer(o, 503, Problem{why}, 1)
}

func (s *State) up(req uint64) {
	// Not ready only while nothing can be served at all: neither from here
	// nor through a peer. Flapping is punished, so a slow state service is
	// no reason, nor is an outage that every node has.
	if s.loaded && !s.isolated() {
		s.emit(Reply{RequestID: req, Status: 200, Body: map[string]string{"status": "up"}})
		return
	}
	s.emit(Reply{RequestID: req, Status: 503, Body: Problem{"state not loaded yet"}, RetryAfter: 1})
}

// isolated says whether this node has lost both the state service and the
// other controllers, so that users are better served elsewhere. Once it has,
// the state service must be back for a while.
func (s *State) isolated() bool {
	gap := s.storeContactTimeout()
	if s.sinceStoreContact() <= gap {
		s.alone = s.alone && s.lastContactAt-s.contactSince < gap
		return s.alone
	}
	heard := time.Duration(0)
	for _, p := range s.peers {
		heard = max(heard, p.heardAt)
	}
	if s.now-heard > 2*gap && s.sinceStoreContact() > 2*gap && len(s.peers) > 0 {
		s.alone = true
	}
	return s.alone
}

func (s *State) poll(o requester, id string) {
	if j := s.jobs[id]; j != nil && j.final() {
		s.replyWithStatus(o, j) // final for ever: no need to look
		return
	}
	if s.sinceStoreContact() > s.storeContactTimeout() && s.forwardToPeer(o, "poll", id, nil, 0) {
		return
	}
	s.ifUnknown(o, id,
		func() { s.answer(o, 404, Problem{"no such job"}, 0) },
		func() bool { return s.forwardToPeer(o, "poll", id, nil, 0) })
}

func (s *State) withdraw(o requester, id string) {
	if j := s.jobs[id]; j != nil && j.final() {
		s.replyWithStatus(o, j)
		return
	}
	pass := func() bool { return s.forwardToPeer(o, "withdraw", id, nil, 0) }
	switch {
	case s.sinceStoreContact() > s.storeContactTimeout() && pass():
	case s.jobs[id] == nil:
		s.withdrawUnknown(o, id)
	case !s.loaded || s.sinceStoreContact() > 2*s.storeContactTimeout():
		s.later(o, "the state service does not answer")
	case s.swamped():
		s.later(o, "too many changes under way")
	default:
		s.storeWithdrawal(o, id, pass)
	}
}

// withdrawUnknown reads the state service before a job counts as unknown.
func (s *State) withdrawUnknown(o requester, id string) {
	if len(s.pendingReads) >= s.cfg.MaxRequests {
		s.later(o, "too many requests under way")
		return
	}
	s.linearizableRead(func(ok bool) {
		switch {
		case !ok:
			s.later(o, "the state service does not answer")
		case s.jobs[id] == nil:
			s.answer(o, 404, Problem{"no such job"}, 0)
		default:
			s.withdraw(o, id)
		}
	})
}

// storeWithdrawal makes a cancellation durable and confirms it; pass hands it to
// a peer.
func (s *State) storeWithdrawal(o requester, id string, pass func() bool) {
	key := prefixJobs + id
	value := mustMarshal(jobValue{Phase: model.PhaseAborted})
	s.queueWrite(&write{
		change:   Change{Key: key, Value: value},
		deadline: s.now + userWait,
		done: func(r outcome) {
			j := s.jobs[id]
			switch {
			case r == written:
				s.notifyPeers(key, value)
				s.replyWithStatus(o, j)
			case r == conflict && j != nil && j.final():
				s.replyWithStatus(o, j)
			case !pass():
				s.later(o, "the state service does not answer")
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
		if s.IsLeader() {
			st.Running = j.liveTasks()
		}
		st.Phase = model.PhaseQueued
		if st.Running > 0 {
			st.Phase = model.PhaseRunning
		}
	}
	return st
}
