package core

import (
	"time"

	"mulleinfall/internal/model"
)

// userRequests is what concerns users' requests on this node.
type userRequests struct {
	forwarded  map[uint64]*forwardedRequest
	forwardSeq uint64
	isolated   bool // has lost the state service and every peer, and is not back yet
}

// init numbers what is asked apart from any other life of this node: a late
// answer to an earlier life would otherwise answer another user's question.
func (u *userRequests) init(boot uint64) {
	u.forwarded, u.forwardSeq = map[uint64]*forwardedRequest{}, boot<<20
}

// userRequestTimeout bounds how long a user's change is tried. Users give up after 5 s;
// what is refused sooner is retried sooner.
const userRequestTimeout = 2 * time.Second

// isWriteQueueFull says whether a user's change that came now could not be written
// before it is given up, because too many wait before it. Whoever asks is told
// so at once.
func (s *State) isWriteQueueFull() bool {
	waiting := 0
	for _, w := range s.queue {
		if w.class != classUser {
			break // they stand in front
		}
		waiting++
	}
	return float64(waiting) >= float64(s.writeRate.Limit())*userRequestTimeout.Seconds()+float64(s.cfg.MaxTxnOps)
}

func (s *State) replyToUser(o requester, status int, body any, retry int) {
	if o.peer != "" {
		s.emit(PeerOut{o.peer, PeerMsg{Kind: MsgForwardReply, Ask: o.forwardID, Status: status, Value: mustMarshal(body), Retry: retry}})
		return
	}
	s.emit(Reply{RequestID: o.requestID, Status: status, Body: body, RetryAfter: retry})
}

// replyRetryLater refuses for now. Where a peer reaches the state service and we
// don't, it is asked instead.
func (s *State) replyRetryLater(o requester, why string) {
	s.replyToUser(o, 503, Problem{why}, 1)
}

func (s *State) answerHealthCheck(req uint64) {
	// Not ready only while nothing can be served at all: neither from here
	// nor through a peer. Flapping is punished, so a slow state service is
	// no reason, nor is an outage that every node has.
	if s.loaded && !s.updateIsolation() {
		s.emit(Reply{RequestID: req, Status: 200, Body: map[string]string{"status": "up"}})
		return
	}
	s.emit(Reply{RequestID: req, Status: 503, Body: Problem{"state not loaded yet"}, RetryAfter: 1})
}

// updateIsolation says whether this node has lost both the state service and the
// other controllers, so that users are better served elsewhere. Once it has,
// the state service must be back for a while.
func (s *State) updateIsolation() bool {
	gap := s.storeContactTimeout()
	if s.sinceStoreContact() <= gap {
		s.isolated = s.isolated && s.lastContactAt-s.contactSince < gap
		return s.isolated
	}
	heard := time.Duration(0)
	for _, p := range s.peers {
		heard = max(heard, p.heardAt)
	}
	if s.now-heard > 2*gap && s.sinceStoreContact() > 2*gap && len(s.peers) > 0 {
		s.isolated = true
	}
	return s.isolated
}

func (s *State) poll(o requester, id string) {
	if j := s.jobs[id]; j != nil && j.isFinal() {
		s.replyWithStatus(o, j) // final for ever: no need to look
		return
	}
	if s.sinceStoreContact() > s.storeContactTimeout() && s.forwardToPeer(o, "poll", id, nil, 0) {
		return
	}
	s.ifNotAccepted(o, id,
		func() { s.replyToUser(o, 404, Problem{"no such job"}, 0) },
		func() bool { return s.forwardToPeer(o, "poll", id, nil, 0) })
}

func (s *State) cancel(o requester, id string) {
	if j := s.jobs[id]; j != nil && j.isFinal() {
		s.replyWithStatus(o, j)
		return
	}
	pass := func() bool { return s.forwardToPeer(o, "withdraw", id, nil, 0) }
	switch {
	case s.sinceStoreContact() > s.storeContactTimeout() && pass():
	case s.jobs[id] == nil:
		s.cancelUnknown(o, id)
	case !s.loaded || s.sinceStoreContact() > 2*s.storeContactTimeout():
		s.replyRetryLater(o, "the state service does not answer")
	case s.isWriteQueueFull():
		s.replyRetryLater(o, "too many changes under way")
	default:
		s.storeCancellation(o, id, pass)
	}
}

// cancelUnknown reads the state service before a job counts as unknown.
func (s *State) cancelUnknown(o requester, id string) {
	if len(s.pendingReads) >= s.cfg.MaxRequests {
		s.replyRetryLater(o, "too many requests under way")
		return
	}
	s.linearizableRead(func(ok bool) {
		switch {
		case !ok:
			s.replyRetryLater(o, "the state service does not answer")
		case s.jobs[id] == nil:
			s.replyToUser(o, 404, Problem{"no such job"}, 0)
		default:
			s.cancel(o, id)
		}
	})
}

// storeCancellation makes a cancellation durable and confirms it; pass hands it to
// a peer.
func (s *State) storeCancellation(o requester, id string, pass func() bool) {
	key := prefixJobs + id
	value := mustMarshal(jobValue{Phase: model.PhaseAborted})
	s.queueWrite(&write{
		change:   Change{Key: key, Value: value},
		deadline: s.now + userRequestTimeout,
		done: func(r outcome) {
			j := s.jobs[id]
			switch {
			case r == written:
				s.notifyPeers(key, value)
				s.replyWithStatus(o, j)
			case r == conflict && j != nil && j.isFinal():
				s.replyWithStatus(o, j)
			case !pass():
				s.replyRetryLater(o, "the state service does not answer")
			}
		},
	})
}

// jobStatus is what a user is told of a job.
func (s *State) jobStatus(j *job) JobStatus {
	st := JobStatus{ID: j.ID, Phase: j.phase, Done: j.doneCount}
	if j.phase == model.PhaseDone {
		st.Done = j.Tasks
	}
	if j.phase == "" {
		st.Running = j.reportedRunning
		if s.IsLeader() {
			st.Running = j.countRunning()
		}
		st.Phase = model.PhaseQueued
		if st.Running > 0 {
			st.Phase = model.PhaseRunning
		}
	}
	return st
}
