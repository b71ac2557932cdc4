package core

import (
	"log/slog"
	"time"
)

// Messages from other controllers.

type peerState struct {
	reachesStore      bool
	heardAt           time.Duration
	refusedForStoreAt time.Duration

	refusedTerm         uint64
	highestTerm         uint64 // highest term that the peer knows of
	version             int    // the newest that it knows, by its last word or note
	versionStored       bool   // the state service holds its note of that
	promisedIncarnation uint64 // of the peer, that this node last promised support to
	releasedOurPromises bool   // has said that it counts on no promise of our earlier life
}

// handlePeerMessage takes a message from another controller.
func (s *State) handlePeerMessage(from string, m PeerMsg) {
	p := s.peers[from]
	if p == nil {
		return
	}
	switch m.Kind {
	case MsgRestarted:
		s.handlePeerRestart(from, m)
	case MsgPromisesReleased:
		// Only an answer to this life's question counts.
		if m.Ask == s.cfg.Incarnation {
			s.handlePromisesReleased(p)
		}
	case MsgVoteRequest:
		s.handleVoteRequest(from, p, m)
	case MsgPromise:
		s.handlePromise(from, p, m)
	case MsgRelease:
		if m.Ask == 0 || m.Ask == p.promisedIncarnation {
			s.voter.Release(from, m.Term)
		}
	case MsgCancelled:
		s.learnCancellations(from, m.Counts)
	case MsgCancelledAck:
		s.handleAcknowledgement(m)
	case MsgLeadershipTransfer:
		s.handleTransfer(m)
	case MsgChange:
		s.apply(Item{Key: m.Key, Value: m.Value, ModRevision: m.Stamp})
	case MsgRunningCounts:
		s.applyRunningCounts(m.Counts)
	case MsgForward:
		s.handleForward(from, m)
	case MsgForwardReply:
		s.handleForwardReply(m)
	}
}

// handlePeerRestart answers a controller that has just started, unless this one
// counts on a promise of its earlier life.
func (s *State) handlePeerRestart(from string, m PeerMsg) {
	if s.leadership != nil && (s.electedAt != 0 || s.keyRequestInFlight) {
		return // it is counted on, perhaps: let it sleep
	}
	if s.leadership != nil {
		// Promises that are still on their way here die with the
		// candidacy that asked for them.
		s.stepDown("a supporter has started anew")
	}
	s.emit(PeerOut{from, PeerMsg{Kind: MsgPromisesReleased, Ask: m.Ask}})
}

// handleVoteRequest answers a candidate or a leader that asks for a promise.
func (s *State) handleVoteRequest(from string, p *peerState, m PeerMsg) {
	p.reachesStore, p.heardAt = m.StoreOK, s.now
	s.handlePeerVersion(from, m.Version)
	if m.Rev != 0 && m.Term >= s.term {
		s.acknowledgeUpTo(m.Rev)
	}
	cut := s.onlyRequesterLostStore(m)
	if cut {
		s.log(slog.LevelInfo, "refusing support to a leader without the state service", "leader", from, "term", m.Term, "its_age", m.StoreAge, "own_age", s.sinceStoreContact())
	}
	if s.yieldsToCandidate(from, m, cut) {
		s.stepDown("another candidate goes first")
	}
	s.preapprove(from, m.Term, m.Stamp)
	granted := !cut && m.Term >= s.term && s.voter.Grant(s.now, from, m.Term)
	reply := PeerMsg{Kind: MsgPromise, Ask: m.Ask, Version: s.cfg.Version, Term: m.Term, Sent: m.Sent, Granted: granted, Cut: cut,
		StoreOK: s.isStoreReachable(), Top: max(s.term, s.voter.HighestTerm())}
	if granted {
		p.promisedIncarnation = m.Ask
		s.grantReadLease(m, &reply)
	}
	s.emit(PeerOut{from, reply})
}

// onlyRequesterLostStore says whether the asker has lost the state service and this
// node has not.
func (s *State) onlyRequesterLostStore(m PeerMsg) bool {
	gap := s.storeContactTimeout()
	return m.StoreAge > gap && s.sinceStoreContact() < gap/2 && s.lastContactAt-s.contactSince > gap/2
}

// yieldsToCandidate says whether this node's candidacy gives way to another's: each
// bound to itself, two candidates would wait for one another's promises until
// both give up.
func (s *State) yieldsToCandidate(from string, m PeerMsg, cut bool) bool {
	if s.leadership == nil || s.electedAt != 0 || s.keyRequestInFlight || cut || !m.StoreOK {
		return false
	}
	return m.Term > s.leadership.Term || m.Term == s.leadership.Term && from < s.cfg.Self
}

// handlePromise takes the answer to a request for a vote.
func (s *State) handlePromise(from string, p *peerState, m PeerMsg) {
	p.reachesStore, p.heardAt, p.highestTerm = m.StoreOK, s.now, m.Top
	s.handlePeerVersion(from, m.Version)
	if s.leadership == nil || s.leadership.Term != m.Term || m.Ask != s.cfg.Incarnation {
		// A late answer to an earlier life tells the time of another clock:
		// counted, it would support this one for as long as that had run.
		return
	}
	switch {
	case m.Granted:
		s.leadership.RecordPromise(s.now, from, m.Sent)
		s.applyReadLease(from, m)
		if s.electedAt == 0 {
			s.advanceCampaign()
		}
	case m.Cut:
		// Only this kind of refusal: a peer that is bound to another for
		// a while says nothing about the state service.
		p.refusedForStoreAt = s.now
	case s.electedAt == 0 && !s.keyRequestInFlight:
		s.recordVoteRefusal(p)
	}
}

// applyRunningCounts takes the numbers of running tasks from the leader, for display.
func (s *State) applyRunningCounts(counts map[string]int) {
	for id, n := range counts {
		if j := s.active[id]; j != nil {
			j.reportedRunning = n
		}
	}
}
