package core

import (
	"time"

	"mulleinfall/internal/model"
)

// This file makes sure that the leader learns of a cancellation soon enough after any
// controller has confirmed it to a user, also when the leader can't reach the state
// service. Without these rules the following happened: right after one controller had
// confirmed cancellations, the state service failed for all controllers. The leader did
// not know of the cancellations, kept leading by the promise (a vote that binds for a
// limited time) of another controller, and kept the tasks running far beyond cancel_s.
//
// So a leader's view of the cancellations may be no older than maxViewAge. Its age counts
// from the leader's last complete read or, if that is later, from the earliest end of the
// read leases that all other controllers have granted to a leader without access to the
// state service. While a read lease binds a controller, it confirms no cancellation that
// the leader has not acknowledged. docs/design.md has the whole argument.

// cancellationState is a controller's state about unconfirmed cancellations.
type cancellationState struct {
	// unacknowledged holds the cancelled jobs that the leader may not know of, with the
	// modification revision of each.
	unacknowledged map[string]uint64
	// pendingConfirmations holds the users whose answers wait for the leader's
	// acknowledgement.
	pendingConfirmations []pendingConfirmation
}

// pendingConfirmation is a user who waits for the status of a cancelled job.
type pendingConfirmation struct {
	requester requester
	job       *job
	deadline  time.Duration
}

// maxViewAge is how old a leader's view of the cancellations may be. Once a leader with
// an older view has stopped, the workers' leases take up to a lease more to expire, so
// the age is bounded by what cancel_s leaves beyond a lease, less a sixteenth of that and
// the drift of the clocks. If cancel_s is hardly longer than a lease, the bound is the
// promise duration; with a shorter bound, no leader could act at all.
func maxViewAge(cfg Config) time.Duration {
	remaining := cfg.CancelWithin - cfg.Lease
	return max(remaining-remaining/16-time.Duration(float64(cfg.CancelWithin)*4*ClockDrift), promiseDuration(cfg))
}

// CancelBound is the longest time for which tasks of a cancelled job may exist after the
// cancellation was confirmed to its user, whatever fails. A leader that does not know of
// the cancellation renews leases until its view is too old by its own clock; the package
// election shortens that time by more than the drift. The last lease then runs by the
// worker's clock. A leader that knows of the cancellation renews no lease without the stop
// (renewLease). docs/design.md has the sum term by term.
func (c Config) CancelBound() time.Duration {
	drift := time.Duration(float64(c.Lease) * 2 * ClockDrift)
	return maxViewAge(c) + c.Lease + drift
}

// maxUnacknowledged bounds the cancellations that are sent with a read lease. A controller
// with more unacknowledged cancellations grants no read lease.
const maxUnacknowledged = 2000

// recordCompleteRead records that the replica has all changes up to sentAt, when the read
// was sent.
func (s *State) recordCompleteRead(sentAt time.Duration) {
	s.completeReadAt = max(s.completeReadAt, sentAt)
	if s.leadership != nil {
		s.leadership.RecordRead(sentAt)
	}
}

// acknowledgeUpTo records that the current leader knows of all changes up to a revision
// of the state service.
func (s *State) acknowledgeUpTo(revision uint64) {
	for id, modRevision := range s.unacknowledged {
		if modRevision <= revision {
			delete(s.unacknowledged, id)
		}
	}
}

// grantReadLease adds a read lease to a promise if the leader asks for one and this
// controller has lost the state service as well. A controller that reaches the state
// service may have to confirm cancellations, so it should not bind itself; the leader
// should step down instead. The time without the state service after which a leader asks,
// and the one after which a controller grants, are both well above the usual time between
// two reads. Read leases in normal operation would make confirmations wait for a leader
// that has just stepped down.
func (s *State) grantReadLease(request PeerMsg, reply *PeerMsg) {
	if !request.Read || s.sinceStoreContact() < s.electionConfig.MaxStaleness/8 || len(s.unacknowledged) > maxUnacknowledged {
		return
	}
	s.voter.GrantReadLease(s.now, request.Term)
	reply.Read, reply.Loaded, reply.Age, reply.Counts = true, s.loaded, s.now-s.startedAt, s.unacknowledgedRevisions()
}

// unacknowledgedRevisions returns the cancelled jobs that the leader may not know of, with
// the modification revision of each.
func (s *State) unacknowledgedRevisions() map[string]int {
	revisions := make(map[string]int, len(s.unacknowledged))
	for id, modRevision := range s.unacknowledged {
		revisions[id] = int(modRevision)
	}
	return revisions
}

// applyReadLease applies the read lease in a promise and the cancellations sent with it.
func (s *State) applyReadLease(from string, m PeerMsg) {
	if !m.Read {
		return
	}
	s.learnCancellations(from, m.Counts)
	// The clocks drift: the grantor's process has run for at least this long.
	age := m.Age - time.Duration(float64(m.Age)*2*ClockDrift)
	s.leadership.RecordReadLease(from, m.Sent, s.now-age, m.Loaded)
}

// learnCancellations applies cancellations that another controller has sent. They are
// already in the state service. A leader acknowledges them.
func (s *State) learnCancellations(from string, revisions map[string]int) {
	for _, id := range sortedKeys(revisions) {
		s.apply(Item{Key: prefixJobs + id, Value: mustMarshal(jobValue{Phase: model.PhaseAborted}), ModRevision: uint64(revisions[id])})
	}
	if len(revisions) > 0 && s.IsLeader() {
		s.emit(PeerOut{from, PeerMsg{Kind: MsgCancelledAck, Term: s.leadership.Term, Counts: revisions}})
	}
}

// handleAcknowledgement records the cancellations that the leader knows of. Its successors
// read them from the state service before they act.
func (s *State) handleAcknowledgement(m PeerMsg) {
	if m.Term < s.term {
		return // a later leader may have been elected, and have read the state, before the cancellation
	}
	for id, modRevision := range m.Counts {
		if s.unacknowledged[id] == uint64(modRevision) {
			delete(s.unacknowledged, id)
		}
	}
	s.answerPendingConfirmations()
}

// canConfirm says whether the status of j may be sent to a user. It may not while all of
// these hold: j is cancelled, the leader may not know of that, this controller does not
// lead, and a read lease binds it.
func (s *State) canConfirm(j *job) bool {
	_, isUnacknowledged := s.unacknowledged[j.ID]
	return !isUnacknowledged || j.phase != model.PhaseAborted || s.IsLeader() || !s.voter.HasReadLease(s.now, s.term)
}

// replyWithStatus answers a user with the status of j. A cancellation that may not be
// confirmed yet is sent to the other controllers first. If the leader does not acknowledge
// it within half of userRequestTimeout, the user gets a "retry later" reply.
func (s *State) replyWithStatus(user requester, j *job) {
	if s.canConfirm(j) {
		s.logCancellationConfirmed(j)
		s.replyToUser(user, 200, s.jobStatus(j), 0)
		return
	}
	if len(s.pendingConfirmations) >= s.cfg.MaxRequests {
		s.replyRetryLater(user, "too many requests under way")
		return
	}
	s.pendingConfirmations = append(s.pendingConfirmations, pendingConfirmation{user, j, s.now + userRequestTimeout/2})
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgCancelled, Counts: map[string]int{j.ID: int(s.unacknowledged[j.ID])}}})
	}
}

// answerPendingConfirmations answers the users whose cancellations can be confirmed by now,
// and those who have waited too long.
func (s *State) answerPendingConfirmations() {
	waiting := s.pendingConfirmations
	s.pendingConfirmations = nil
	for _, pending := range waiting {
		switch {
		case s.canConfirm(pending.job):
			s.logCancellationConfirmed(pending.job)
			s.replyToUser(pending.requester, 200, s.jobStatus(pending.job), 0)
		case s.now >= pending.deadline:
			s.replyRetryLater(pending.requester, "the leader does not answer")
		default:
			s.pendingConfirmations = append(s.pendingConfirmations, pending)
		}
	}
}
