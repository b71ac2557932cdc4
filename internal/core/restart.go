package core

import "log/slog"

// A controller that has just started has forgotten the promises that its previous
// incarnation gave. Its voter therefore gives no promise during a startup wait, which the
// functions below shorten or make exceptions to (see package election).

// announceRestart asks the peers, during the startup wait, to release this controller from
// promises of its previous incarnation. Without that, the startup wait lasts until these
// promises have expired, and a crash of all controllers costs the workers a part of their
// lease.
func (s *State) announceRestart() {
	if s.voter.IsStartupWaitOver(s.now) || s.now < s.announceRestartAt {
		return
	}
	s.announceRestartAt = s.now + s.electionConfig.PromiseDuration/8
	for _, p := range s.cfg.Peers {
		if !s.peers[p].releasedOurPromises {
			s.emit(PeerOut{p, PeerMsg{Kind: MsgRestarted, Ask: s.cfg.Incarnation}})
		}
	}
}

// handlePromisesReleased records that a peer relies on no promise of this controller's
// previous incarnation. The startup wait ends once all peers have said so.
func (s *State) handlePromisesReleased(peer *peerState) {
	peer.releasedOurPromises = true
	for _, other := range s.peers {
		if !other.releasedOurPromises {
			return
		}
	}
	if !s.voter.IsStartupWaitOver(s.now) {
		s.log(slog.LevelInfo, "startup wait over: no peer relies on an earlier promise")
		s.voter.EndStartupWait()
	}
}

// preapprove lets this controller support a candidate during its startup wait. Without
// that, the workers lose up to a fifth of their lease (PromiseDuration) after a crash while
// another controller is unreachable and cannot release the earlier promises. The conditions
// are explained in the package election: this process has read, since its start, the
// modification revision of the term key that the candidate names; and either no term was
// won yet, or the winner of the last term is this controller's own previous incarnation or
// has said that it relies on no earlier promise.
func (s *State) preapprove(candidate string, term, termModRevision uint64) {
	if s.voter.IsStartupWaitOver(s.now) || !s.loaded || termModRevision != s.termModRevision {
		return
	}
	if holder := s.peers[s.termWinner]; s.termModRevision == 0 || s.termWinner == s.cfg.Self || holder != nil && holder.releasedOurPromises {
		s.voter.Preapprove(candidate, term)
	}
}

// releaseEarlierLeadership ends what is left of an earlier leadership of this controller,
// usually of its previous incarnation: the leader key, and the promises that support that
// leadership. No process acts on them any more. If the other controllers waited until key
// and promises expire, the workers would lose their leases.
func (s *State) releaseEarlierLeadership() {
	if s.leaderName != s.cfg.Self || s.leadership != nil {
		return
	}
	if s.leaderLeaseID != 0 {
		s.callStore(StoreCall{Op: StoreRevoke, Lease: s.leaderLeaseID}, func(StoreResult) {})
	}
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgRelease, Term: s.leaderTerm}})
	}
}
