package core

import "log/slog"

// What a controller that has just started has forgotten of its earlier life.

// announceRestart asks the peers, after a start, to free this node from promises of an
// earlier life. Waiting them out would cost the workers a part of their lease
// after all controllers have crashed.
func (s *State) announceRestart() {
	if s.voter.CanPromise(s.now) || s.now < s.announceRestartAt {
		return
	}
	s.announceRestartAt = s.now + s.electionConfig.PromiseDuration/8
	for _, p := range s.cfg.Peers {
		if !s.peers[p].releasedOurPromises {
			s.emit(PeerOut{p, PeerMsg{Kind: MsgRestarted, Ask: s.cfg.Incarnation}})
		}
	}
}

// handlePromisesReleased notes a peer's answer to hello.
func (s *State) handlePromisesReleased(p *peerState) {
	p.releasedOurPromises = true
	for _, o := range s.peers {
		if !o.releasedOurPromises {
			return
		}
	}
	if !s.voter.CanPromise(s.now) {
		s.log(slog.LevelInfo, "no promise of an earlier life is counted on")
		s.voter.EndStartupWait()
	}
}

// preapprove lets this node support a candidate though it has just started and
// has forgotten its promises. Waiting them out cost the workers a fifth of
// their lease after a crash, while another controller was out of reach and
// couldn't say that it counts on none of them. See the package election for
// why the conditions suffice: the term's version was read since the start, and
// its holder is this node's own earlier life or has said that it is free.
func (s *State) preapprove(node string, term, stamp uint64) {
	if s.voter.CanPromise(s.now) || !s.loaded || stamp != s.termModRevision {
		return
	}
	if p := s.peers[s.termWinner]; s.termModRevision == 0 || s.termWinner == s.cfg.Self || p != nil && p.releasedOurPromises {
		s.voter.Preapprove(node, term)
	}
}

// releasePreviousIncarnation ends at once what is left of a leadership that this node had
// before it started anew: its key, and the promises given to it. Nobody acts
// on them any more, and waiting them out would cost the workers their leases.
func (s *State) releasePreviousIncarnation() {
	if s.leaderNode != s.cfg.Self || s.leadership != nil {
		return
	}
	if s.leaderLease != 0 {
		s.callStore(StoreCall{Op: StoreRevoke, Lease: s.leaderLease}, func(StoreResult) {})
	}
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgRelease, Term: s.leaderTerm}})
	}
}
