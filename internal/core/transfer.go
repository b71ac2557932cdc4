package core

import "time"

// A leader that gives its term up while it can still speak tells the others
// which machines it has not answered lately, and for how long. Its successor
// would otherwise have to count their leases from its own election: with a zone
// cut off, and a leader that lost the state service before it could mark the
// zone's machines, their replicas were down for the whole of a term more.

// leadershipTransfer is what a leader has said of the machines when its term was over.
type leadershipTransfer struct {
	term         uint64
	receivedAt   time.Duration  // of its receipt: later than it was said, never earlier
	sinceReplyMs map[string]int // ms since each was last answered
}

// transferLeadership tells the peers, once this term has ended for good.
func (s *State) transferLeadership(term uint64) {
	ages := map[string]int{}
	for _, m := range s.machinesByName {
		if ago := s.now - m.lastReplyAt; m.registered && ago > s.cfg.ReportInterval {
			ages[m.host] = int(ago / time.Millisecond)
		}
	}
	if len(ages) == 0 {
		return
	}
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgLeadershipTransfer, Term: term, Counts: ages}})
	}
}

// handleTransfer takes that in. It may come before this node is elected, or after.
func (s *State) handleTransfer(m PeerMsg) {
	if m.Term <= s.transfer.term {
		return // a copy, which tells a later time of the same; or of a term before
	}
	s.transfer = leadershipTransfer{m.Term, s.now, m.Counts}
	if !s.IsLeader() {
		return
	}
	for _, m := range s.machinesByName {
		if m.registered && !m.hasReported && m.answeredEpoch == 0 {
			m.lastReplyAt = min(m.lastReplyAt, s.latestPossibleReplyAt(m))
		}
	}
}

// transferredReplyAt is when m was last answered, as far as the leader before this one
// has said. What an earlier one has said is of no use: the one between may have
// answered m since.
func (s *State) transferredReplyAt(m *machine) (time.Duration, bool) {
	ms, ok := s.transfer.sinceReplyMs[m.host]
	return s.transfer.receivedAt - time.Duration(ms)*time.Millisecond, ok && s.transfer.term == s.previousTerm
}
