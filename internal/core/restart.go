package core

import "log/slog"

// What a controller that has just started has forgotten of its earlier life.

// announceRestart asks the peers, after a start, to free this node from promises of an
// earlier life. Waiting them out would cost the workers a part of their lease
// after all controllers have crashed.
func (s *State) announceRestart() {
	if s.voter.Awake(s.now) || s.now < s.announceAt {
		return
	}
	s.announceAt = s.now + s.ecf.Promise/8
	for _, p := range s.cfg.Peers {
		if !s.peers[p].free {
			s.emit(PeerOut{p, PeerMsg{Kind: MsgRestarted, Ask: s.cfg.Boot}})
		}
	}
}

// freed notes a peer's answer to hello.
func (s *State) freed(p *peerState) {
	p.free = true
	for _, o := range s.peers {
		if !o.free {
			return
		}
	}
	if !s.voter.Awake(s.now) {
		s.log(slog.LevelInfo, "no promise of an earlier life is counted on")
		s.voter.Wake()
	}
}

// vouch lets this node support a candidate though it has just started and
// has forgotten its promises. Waiting them out cost the workers a fifth of
// their lease after a crash, while another controller was out of reach and
// couldn't say that it counts on none of them. See the package election for
// why the conditions suffice: the term's version was read since the start, and
// its holder is this node's own earlier life or has said that it is free.
func (s *State) vouch(node string, term, stamp uint64) {
	if s.voter.Awake(s.now) || !s.loaded || stamp != s.termStamp {
		return
	}
	if p := s.peers[s.termNode]; s.termStamp == 0 || s.termNode == s.cfg.Self || p != nil && p.free {
		s.voter.Vouch(node, term)
	}
}

// releaseEarlierLife ends at once what is left of a leadership that this node had
// before it started anew: its key, and the promises given to it. Nobody acts
// on them any more, and waiting them out would cost the workers their leases.
func (s *State) releaseEarlierLife() {
	if s.leaderNode != s.cfg.Self || s.leadership != nil {
		return
	}
	if s.leaderLease != 0 {
		s.store(StoreCall{Op: StoreRevoke, Lease: s.leaderLease}, func(StoreDone) {})
	}
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgRelease, Term: s.leaderTerm}})
	}
}
