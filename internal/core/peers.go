package core

import (
	"log/slog"
	"time"
)

// This file handles messages from other controllers.

// peerState is what this controller knows about a peer.
type peerState struct {
	reachesStore bool          // the peer reaches the state service, as it last said
	heardAt      time.Duration // when it last requested a vote or answered a vote request
	// refusedForStoreAt is when the peer last refused a promise because this controller
	// had lost the state service.
	refusedForStoreAt time.Duration

	refusedTerm         uint64 // term of this controller's last campaign for which it refused a promise
	highestTerm         uint64 // highest term that it knows of, as it last said
	version             int    // newest version that it knows, as it last said or stored
	versionStored       bool   // its version is stored in the state service
	promisedIncarnation uint64 // its incarnation that last got a promise from this controller
	releasedOurPromises bool   // it relies on no promise of this controller's previous incarnation
}

// handlePeerMessage handles a message from another controller.
func (s *State) handlePeerMessage(from string, message PeerMsg) {
	peer := s.peers[from]
	if peer == nil {
		return
	}
	switch message.Kind {
	case MsgRestarted:
		s.handlePeerRestart(from, message)
	case MsgPromisesReleased:
		// Only an answer to this incarnation's announcement counts.
		if message.Ask == s.cfg.Incarnation {
			s.handlePromisesReleased(peer)
		}
	case MsgVoteRequest:
		s.handleVoteRequest(from, peer, message)
	case MsgPromise:
		s.handlePromise(from, peer, message)
	case MsgRelease:
		if message.Ask == 0 || message.Ask == peer.promisedIncarnation {
			s.voter.Release(from, message.Term)
		}
	case MsgCancelled:
		s.learnCancellations(from, message.Counts)
	case MsgCancelledAck:
		s.handleAcknowledgement(message)
	case MsgReplyAges:
		s.handleReplyAges(message)
	case MsgChange:
		s.apply(Item{Key: message.Key, Value: message.Value, ModRevision: message.Stamp})
	case MsgRunningCounts:
		s.applyRunningCounts(message.Counts)
	case MsgForward:
		s.handleForward(from, message)
	case MsgForwardReply:
		s.handleForwardReply(message)
	}
}

// handlePeerRestart releases a peer that has just started from the promises of its
// previous incarnation, unless this controller may rely on one of them.
func (s *State) handlePeerRestart(from string, message PeerMsg) {
	if s.leadership != nil && (s.electedAt != 0 || s.keyRequestInFlight) {
		return // this controller may rely on such a promise, so the peer must wait
	}
	if s.leadership != nil {
		// The campaign that requested such promises ends, so those that are still on
		// their way here won't count either.
		s.stepDown("a voter has restarted")
	}
	s.emit(PeerOut{from, PeerMsg{Kind: MsgPromisesReleased, Ask: message.Ask}})
}

// handleVoteRequest answers a candidate or a leader that asks for a promise.
func (s *State) handleVoteRequest(from string, peer *peerState, request PeerMsg) {
	peer.reachesStore, peer.heardAt = request.StoreOK, s.now
	s.handlePeerVersion(from, request.Version)
	if request.Rev != 0 && request.Term >= s.term {
		s.acknowledgeUpTo(request.Rev)
	}
	requesterLostStore := s.onlyRequesterLostStore(request)
	if requesterLostStore {
		s.log(slog.LevelInfo, "refusing support to a leader without the state service", "leader", from, "term", request.Term, "its_age", request.StoreAge, "own_age", s.sinceStoreContact())
	}
	if s.yieldsToCandidate(from, request, requesterLostStore) {
		s.stepDown("another candidate goes first")
	}
	s.preapprove(from, request.Term, request.Stamp)
	granted := !requesterLostStore && request.Term >= s.term && s.voter.Grant(s.now, from, request.Term)
	reply := PeerMsg{Kind: MsgPromise, Ask: request.Ask, Version: s.cfg.Version, Term: request.Term, Sent: request.Sent, Granted: granted, Cut: requesterLostStore,
		StoreOK: s.isStoreReachable(), Top: max(s.term, s.voter.HighestTerm())}
	if granted {
		peer.promisedIncarnation = request.Ask
		s.grantReadLease(request, &reply)
	}
	s.emit(PeerOut{from, reply})
}

// onlyRequesterLostStore reports whether the requester has lost the state service while
// this controller has reached it recently and for some time without interruption.
func (s *State) onlyRequesterLostStore(request PeerMsg) bool {
	timeout := s.storeContactTimeout()
	return request.StoreAge > timeout && s.sinceStoreContact() < timeout/2 && s.lastContactAt-s.contactSince > timeout/2
}

// yieldsToCandidate reports whether this controller's campaign gives way to the
// requester's: to one for a higher term or, in the same term, of the controller whose name
// sorts first, if the requester reaches the state service. Without that, two candidates
// that are each bound by their promise to themselves would wait for each other's promises
// until both give up.
func (s *State) yieldsToCandidate(from string, request PeerMsg, requesterLostStore bool) bool {
	if s.leadership == nil || s.electedAt != 0 || s.keyRequestInFlight || requesterLostStore || !request.StoreOK {
		return false
	}
	return request.Term > s.leadership.Term || request.Term == s.leadership.Term && from < s.cfg.Self
}

// handlePromise handles the answer to a vote request: a promise or a refusal.
func (s *State) handlePromise(from string, peer *peerState, answer PeerMsg) {
	peer.reachesStore, peer.heardAt, peer.highestTerm = answer.StoreOK, s.now, answer.Top
	s.handlePeerVersion(from, answer.Version)
	if s.leadership == nil || s.leadership.Term != answer.Term || answer.Ask != s.cfg.Incarnation {
		// The answer is to another campaign or incarnation. In a late answer to the
		// previous incarnation, Sent is a time of that process's clock. If it
		// counted, the promise could seem valid for as long as that process had run.
		return
	}
	switch {
	case answer.Granted:
		s.leadership.RecordPromise(s.now, from, answer.Sent)
		s.applyReadLease(from, answer)
		if s.electedAt == 0 {
			s.advanceCampaign()
		}
	case answer.Cut:
		// Only this kind of refusal counts here: a peer that refuses because of
		// another promise says nothing about the state service.
		peer.refusedForStoreAt = s.now
	case s.electedAt == 0 && !s.keyRequestInFlight:
		s.recordVoteRefusal(peer)
	}
}

// applyRunningCounts applies the leader's numbers of running tasks by job, which replies
// to users show.
func (s *State) applyRunningCounts(counts map[string]int) {
	for id, running := range counts {
		if j := s.active[id]; j != nil {
			j.reportedRunning = running
		}
	}
}
