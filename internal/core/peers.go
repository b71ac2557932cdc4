package core

import (
	"log/slog"
	"time"
)

// Messages from other controllers.

type peerState struct {
	storeOK   bool
	heard     time.Duration
	refusedAt time.Duration

	refusedTerm uint64
	top         uint64 // highest term that the peer knows of
	version     int    // the newest that it knows, by its last word or note
	noted       bool   // the state service holds its note of that
	life        uint64 // of the peer, that this node last promised support to
	free        bool   // has said that it counts on no promise of our earlier life
}

// peer takes a message from another controller.
func (s *State) peer(from string, m PeerMsg) {
	p := s.peers[from]
	if p == nil {
		return
	}
	switch m.Kind {
	case MsgRestarted:
		s.peerRestarted(from, m)
	case MsgFree:
		// Only an answer to this life's question counts.
		if m.Ask == s.cfg.Boot {
			s.freed(p)
		}
	case MsgVoteRequest:
		s.voteRequested(from, p, m)
	case MsgPromise:
		s.promised(from, p, m)
	case MsgRelease:
		if m.Ask == 0 || m.Ask == p.life {
			s.voter.Release(from, m.Term)
		}
	case MsgCancelled:
		s.learn(from, m.Counts)
	case MsgKnown:
		s.acknowledged(m)
	case MsgUnanswered:
		s.takenFrom(m)
	case MsgNudge:
		s.apply(Item{Key: m.Key, Value: m.Value, Stamp: m.Stamp})
	case MsgCounts:
		s.showCounts(m.Counts)
	case MsgAsk:
		s.askedBy(from, m)
	case MsgAnswer:
		s.answered(m)
	}
}

// peerRestarted answers a controller that has just started, unless this one
// counts on a promise of its earlier life.
func (s *State) peerRestarted(from string, m PeerMsg) {
	if s.leadership != nil && (s.electedAt != 0 || s.winningKey) {
		return // it is counted on, perhaps: let it sleep
	}
	if s.leadership != nil {
		// Promises that are still on their way here die with the
		// candidacy that asked for them.
		s.stepDown("a supporter has started anew")
	}
	s.emit(PeerOut{from, PeerMsg{Kind: MsgFree, Ask: m.Ask}})
}

// voteRequested answers a candidate or a leader that asks for a promise.
func (s *State) voteRequested(from string, p *peerState, m PeerMsg) {
	p.storeOK, p.heard = m.StoreOK, s.now
	s.heardVersion(from, m.Version)
	if m.Rev != 0 && m.Term >= s.term {
		s.shared(m.Rev)
	}
	cut := s.lostStoreAlone(m)
	if cut {
		s.log(slog.LevelInfo, "refusing support to a leader without the state service", "leader", from, "term", m.Term, "its_age", m.StoreAge, "own_age", s.storeAge())
	}
	if s.rivalGoesFirst(from, m, cut) {
		s.stepDown("another candidate goes first")
	}
	s.vouch(from, m.Term, m.Stamp)
	granted := !cut && m.Term >= s.term && s.voter.Grant(s.now, from, m.Term)
	reply := PeerMsg{Kind: MsgPromise, Ask: m.Ask, Version: s.cfg.Version, Term: m.Term, Sent: m.Sent, Granted: granted, Cut: cut,
		StoreOK: s.storeOK(), Top: max(s.term, s.voter.Top())}
	if granted {
		p.life = m.Ask
		s.leaseRead(m, &reply)
	}
	s.emit(PeerOut{from, reply})
}

// lostStoreAlone says whether the asker has lost the state service and this
// node has not.
func (s *State) lostStoreAlone(m PeerMsg) bool {
	gap := s.storeGap()
	return m.StoreAge > gap && s.storeAge() < gap/2 && s.contact-s.okSince > gap/2
}

// rivalGoesFirst says whether this node's candidacy gives way to another's: each
// bound to itself, two candidates would wait for one another's promises until
// both give up.
func (s *State) rivalGoesFirst(from string, m PeerMsg, cut bool) bool {
	if s.leadership == nil || s.electedAt != 0 || s.winningKey || cut || !m.StoreOK {
		return false
	}
	return m.Term > s.leadership.Term || m.Term == s.leadership.Term && from < s.cfg.Self
}

// promised takes the answer to a request for a vote.
func (s *State) promised(from string, p *peerState, m PeerMsg) {
	p.storeOK, p.heard, p.top = m.StoreOK, s.now, m.Top
	s.heardVersion(from, m.Version)
	if s.leadership == nil || s.leadership.Term != m.Term || m.Ask != s.cfg.Boot {
		// A late answer to an earlier life tells the time of another clock:
		// counted, it would support this one for as long as that had run.
		return
	}
	switch {
	case m.Granted:
		s.leadership.Promised(s.now, from, m.Sent)
		s.readLeased(from, m)
		if s.electedAt == 0 {
			s.advanceCampaign()
		}
	case m.Cut:
		// Only this kind of refusal: a peer that is bound to another for
		// a while says nothing about the state service.
		p.refusedAt = s.now
	case s.electedAt == 0 && !s.winningKey:
		s.outvoted(p)
	}
}

// showCounts takes the numbers of running tasks from the leader, for display.
func (s *State) showCounts(counts map[string]int) {
	for id, n := range counts {
		if j := s.active[id]; j != nil {
			j.running = n
		}
	}
}
