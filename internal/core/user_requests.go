package core

import (
	"time"

	"mulleinfall/internal/model"
)

// userRequests holds the state of users' requests on this controller.
type userRequests struct {
	forwarded  map[uint64]*forwardedRequest
	forwardSeq uint64
	isolated   bool // see updateIsolation
}

// init makes the numbers of forwarded requests start in a range that only this
// incarnation uses. Otherwise a late reply to a previous incarnation could be taken for
// the reply to another user's request.
func (u *userRequests) init(incarnation uint64) {
	u.forwarded, u.forwardSeq = map[uint64]*forwardedRequest{}, incarnation<<20
}

// userRequestTimeout limits how long a user's change may wait to be written. Users give up
// after 5 s, and they retry sooner if they are refused sooner.
const userRequestTimeout = 2 * time.Second

// isWriteQueueFull reports whether so many users' changes are queued that another one
// would time out before it is written: as many as the write rate allows in that time, plus
// one transaction. Such a request is refused at once.
func (s *State) isWriteQueueFull() bool {
	waiting := 0
	for _, w := range s.queue {
		if w.class != classUser {
			break // users' changes are at the front of the queue
		}
		waiting++
	}
	return float64(waiting) >= float64(s.writeRate.Limit())*userRequestTimeout.Seconds()+float64(s.cfg.MaxTxnOps)
}

// replyToUser answers a user's request, through the peer (another controller) that
// forwarded it if there is one.
func (s *State) replyToUser(from requester, status int, body any, retry int) {
	if from.peer != "" {
		s.emit(PeerOut{from.peer, PeerMsg{Kind: MsgForwardReply, Ask: from.forwardID, Status: status, Value: mustMarshal(body), Retry: retry}})
		return
	}
	s.emit(Reply{RequestID: from.requestID, Status: status, Body: body, RetryAfter: retry})
}

// replyRetryLater tells the user to retry. Callers first try to forward the request to a
// peer if only the peer reaches the state service.
func (s *State) replyRetryLater(from requester, why string) {
	s.replyToUser(from, 503, Problem{why}, 1)
}

// answerHealthCheck answers a health check of this controller.
func (s *State) answerHealthCheck(req uint64) {
	// A controller is "not ready" only while it can serve nothing, neither itself nor
	// through a peer. A status that changes often is penalized, so a slow state service
	// is no reason for it, and neither is an outage that affects all controllers.
	if s.loaded && !s.updateIsolation() {
		s.emit(Reply{RequestID: req, Status: 200, Body: map[string]string{"status": "up"}})
		return
	}
	s.emit(Reply{RequestID: req, Status: 503, Body: Problem{"state not loaded yet"}, RetryAfter: 1})
}

// updateIsolation updates and returns whether this controller is isolated. It becomes
// isolated when it has reached neither the state service nor another controller for two
// store contact timeouts, so that users are better served elsewhere. It remains isolated
// until it has reached the state service for one such timeout without interruption. A
// controller without peers is never isolated.
func (s *State) updateIsolation() bool {
	timeout := s.storeContactTimeout()
	if s.sinceStoreContact() <= timeout {
		s.isolated = s.isolated && s.lastContactAt-s.contactSince < timeout
		return s.isolated
	}
	lastHeardAt := time.Duration(0)
	for _, p := range s.peers {
		lastHeardAt = max(lastHeardAt, p.heardAt)
	}
	if s.now-lastHeardAt > 2*timeout && s.sinceStoreContact() > 2*timeout && len(s.peers) > 0 {
		s.isolated = true
	}
	return s.isolated
}

// poll replies with a job's status.
func (s *State) poll(from requester, id string) {
	if j := s.jobs[id]; j != nil && j.isFinal() {
		s.replyWithStatus(from, j) // a final status doesn't change: no read is needed
		return
	}
	if s.sinceStoreContact() > s.storeContactTimeout() && s.forwardToPeer(from, "poll", id, nil, 0) {
		return
	}
	s.ifNotAccepted(from, id,
		func() { s.replyToUser(from, 404, Problem{"no such job"}, 0) },
		func() bool { return s.forwardToPeer(from, "poll", id, nil, 0) })
}

// cancel handles a user's cancellation of a job.
func (s *State) cancel(from requester, id string) {
	if j := s.jobs[id]; j != nil && j.isFinal() {
		s.replyWithStatus(from, j)
		return
	}
	forward := func() bool { return s.forwardToPeer(from, "withdraw", id, nil, 0) }
	switch {
	case s.sinceStoreContact() > s.storeContactTimeout() && forward():
		// A peer that reaches the state service has the request now.
	case s.jobs[id] == nil:
		s.cancelUnknown(from, id)
	case !s.loaded || s.sinceStoreContact() > 2*s.storeContactTimeout():
		s.replyRetryLater(from, "the state service does not answer")
	case s.isWriteQueueFull():
		s.replyRetryLater(from, "too many changes under way")
	default:
		s.storeCancellation(from, id, forward)
	}
}

// cancelUnknown reads the state service before it replies that there is no such job.
func (s *State) cancelUnknown(from requester, id string) {
	if len(s.pendingReads) >= s.cfg.MaxRequests {
		s.replyRetryLater(from, "too many requests under way")
		return
	}
	s.linearizableRead(func(ok bool) {
		switch {
		case !ok:
			s.replyRetryLater(from, "the state service does not answer")
		case s.jobs[id] == nil:
			s.replyToUser(from, 404, Problem{"no such job"}, 0)
		default:
			s.cancel(from, id)
		}
	})
}

// storeCancellation writes a cancellation to the state service and confirms it to the
// user. forward sends the request to a peer.
func (s *State) storeCancellation(from requester, id string, forward func() bool) {
	key := prefixJobs + id
	value := mustMarshal(jobValue{Phase: model.PhaseAborted})
	s.queueWrite(&write{
		change:   Change{Key: key, Value: value},
		deadline: s.now + userRequestTimeout,
		done: func(result outcome) {
			j := s.jobs[id]
			switch {
			case result == written:
				s.notifyPeers(key, value)
				s.replyWithStatus(from, j)
			case result == conflict && j != nil && j.isFinal():
				s.replyWithStatus(from, j)
			case !forward():
				s.replyRetryLater(from, "the state service does not answer")
			}
		},
	})
}

// jobStatus returns the status of a job as users see it.
func (s *State) jobStatus(j *job) JobStatus {
	status := JobStatus{ID: j.ID, Phase: j.phase, Done: j.doneCount}
	if j.phase == model.PhaseDone {
		status.Done = j.Tasks
	}
	if j.phase == "" {
		status.Running = j.reportedRunning
		if s.IsLeader() {
			status.Running = j.countRunning()
		}
		status.Phase = model.PhaseQueued
		if status.Running > 0 {
			status.Phase = model.PhaseRunning
		}
	}
	return status
}
