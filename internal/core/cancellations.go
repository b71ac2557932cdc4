package core

import (
	"time"

	"mulleinfall/internal/model"
)

// Whoever may act must know of a cancellation soon enough after a user was told
// of it, also a leader that the state service refuses. With the state service
// out for all right after that, a leader that one controller's promise carried
// on kept the tasks of jobs that the other had confirmed as cancelled, far
// beyond cancel_s. So a leader's view may be no older than staleness: counted
// from its last complete read, or from the end of the read leases that the
// other controllers grant it when it has lost the state service. Under a read
// lease its grantor tells no user of a cancellation that the leader hasn't
// acknowledged. docs/design.md has the whole argument.

// cancellationState is what a controller keeps for that.
type cancellationState struct {
	// unacknowledged are the cancelled jobs of which the leader isn't known to know,
	// with the version of each.
	unacknowledged       map[string]uint64
	pendingConfirmations []pendingConfirmation // users whose answer waits for the leader's acknowledgement
}

// pendingConfirmation is a user who asked about a job that is cancelled.
type pendingConfirmation struct {
	requester requester
	job       *job
	deadline  time.Duration
}

// maxViewAge is how old a leader's view of the cancellations may be: once it has
// stopped, the workers' leases run out. A sixteenth and the drift of the clocks
// stay in reserve. With hardly more time than a lease to cancel in, it is what a
// leader needs to be one at all.
func maxViewAge(cfg Config) time.Duration {
	spare := cfg.CancelWithin - cfg.Lease
	return max(spare-spare/16-time.Duration(float64(cfg.CancelWithin)*4*ClockDrift), promiseDuration(cfg))
}

// CancelBound is how long after its user was told tasks of a cancelled job may be there
// at most, whatever fails: a leader that doesn't know of the cancellation renews leases
// until its view is too old, by its clock (the election shortens that by more than the
// drift), and the last lease runs on, by the worker's. Whoever knows of it renews no
// lease without the stop (renewLease). docs/design.md has the sum term by term.
func (c Config) CancelBound() time.Duration {
	drift := time.Duration(float64(c.Lease) * 2 * ClockDrift)
	return maxViewAge(c) + c.Lease + drift
}

// maxUnacknowledged bounds what is told at a time; with more, no read lease is
// granted.
const maxUnacknowledged = 2000

// recordCompleteRead notes that this copy is complete as of sent.
func (s *State) recordCompleteRead(sent time.Duration) {
	s.completeReadAt = max(s.completeReadAt, sent)
	if s.leadership != nil {
		s.leadership.RecordRead(sent)
	}
}

// acknowledgeUpTo notes that whoever leads knows of all changes up to rev.
func (s *State) acknowledgeUpTo(rev uint64) {
	for id, stamp := range s.unacknowledged {
		if stamp <= rev {
			delete(s.unacknowledged, id)
		}
	}
}

// grantReadLease grants a read lease with a promise, if the leader asks for one and
// this node has lost the state service as well: with it, this node could be
// asked to confirm cancellations, and the leader had better go. Both measures
// are well above what passes between two reads on an ordinary day: leased then,
// cancellations would wait for a leader that has just ended.
func (s *State) grantReadLease(requestVotes PeerMsg, reply *PeerMsg) {
	if !requestVotes.Read || s.sinceStoreContact() < s.electionConfig.MaxStaleness/8 || len(s.unacknowledged) > maxUnacknowledged {
		return
	}
	s.voter.GrantReadLease(s.now, requestVotes.Term)
	reply.Read, reply.Loaded, reply.Age, reply.Counts = true, s.loaded, s.now-s.startedAt, s.unacknowledgedRevisions()
}

// unacknowledgedRevisions lists what the leader may not know of.
func (s *State) unacknowledgedRevisions() map[string]int {
	list := make(map[string]int, len(s.unacknowledged))
	for id, stamp := range s.unacknowledged {
		list[id] = int(stamp)
	}
	return list
}

// applyReadLease takes a read lease and what comes with it.
func (s *State) applyReadLease(from string, m PeerMsg) {
	if !m.Read {
		return
	}
	s.learnCancellations(from, m.Counts)
	age := m.Age - time.Duration(float64(m.Age)*2*ClockDrift)
	s.leadership.RecordReadLease(from, m.Sent, s.now-age, m.Loaded)
}

// learnCancellations takes cancellations from another controller. They are durable, and a
// leader acknowledges them.
func (s *State) learnCancellations(from string, list map[string]int) {
	for _, id := range sortedKeys(list) {
		s.apply(Item{Key: prefixJobs + id, Value: mustMarshal(jobValue{Phase: model.PhaseAborted}), ModRevision: uint64(list[id])})
	}
	if len(list) > 0 && s.IsLeader() {
		s.emit(PeerOut{from, PeerMsg{Kind: MsgCancelledAck, Term: s.leadership.Term, Counts: list}})
	}
}

// handleAcknowledgement notes what a leader knows of. Its successors have read it.
func (s *State) handleAcknowledgement(m PeerMsg) {
	if m.Term < s.term {
		return // its successor may have been elected before the cancellation
	}
	for id, stamp := range m.Counts {
		if s.unacknowledged[id] == uint64(stamp) {
			delete(s.unacknowledged, id)
		}
	}
	s.answerPendingConfirmations()
}

// canConfirm says whether a user may be told that j is cancelled.
func (s *State) canConfirm(j *job) bool {
	_, unshared := s.unacknowledged[j.ID]
	return !unshared || j.phase != model.PhaseAborted || s.IsLeader() || !s.voter.HasReadLease(s.now, s.term)
}

// replyWithStatus answers with a job's state. Of a cancellation nobody is told before the
// leader knows of it, where it relies on that; it is asked, and after a moment
// without its word the user is told to come back.
func (s *State) replyWithStatus(o requester, j *job) {
	if s.canConfirm(j) {
		s.logCancellationConfirmed(j)
		s.replyToUser(o, 200, s.jobStatus(j), 0)
		return
	}
	if len(s.pendingConfirmations) >= s.cfg.MaxRequests {
		s.replyRetryLater(o, "too many requests under way")
		return
	}
	s.pendingConfirmations = append(s.pendingConfirmations, pendingConfirmation{o, j, s.now + userRequestTimeout/2})
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgCancelled, Counts: map[string]int{j.ID: int(s.unacknowledged[j.ID])}}})
	}
}

// answerPendingConfirmations answers the users who wait for that.
func (s *State) answerPendingConfirmations() {
	waiting := s.pendingConfirmations
	s.pendingConfirmations = nil
	for _, u := range waiting {
		switch {
		case s.canConfirm(u.job):
			s.logCancellationConfirmed(u.job)
			s.replyToUser(u.requester, 200, s.jobStatus(u.job), 0)
		case s.now >= u.deadline:
			s.replyRetryLater(u.requester, "the leader does not answer")
		default:
			s.pendingConfirmations = append(s.pendingConfirmations, u)
		}
	}
}
