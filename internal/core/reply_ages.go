package core

import "time"

// A leader that steps down tells its peers which machines it has not replied to
// recently, and for how long. Without that message, its successor would have to assume
// replies until its own election, from which those machines' leases would count. When a
// zone is cut off and the leader loses the state service before it can mark the zone's
// machines as unresponsive in the registry, their services would then stay down for a
// further lease.

// replyAges is the content of the message that a leader sent when its term ended.
type replyAges struct {
	term         uint64
	receivedAt   time.Duration  // when the message arrived, which is after it was sent
	sinceReplyMs map[string]int // by machine: milliseconds from the last reply to it until the message
}

// sendReplyAges sends the peers this message. The caller has ended this controller's
// leadership of term for good.
func (s *State) sendReplyAges(term uint64) {
	sinceReplyMs := map[string]int{}
	for _, m := range s.machinesByName {
		if sinceReply := s.now - m.lastReplyAt; m.registered && sinceReply > s.cfg.ReportInterval {
			sinceReplyMs[m.host] = int(sinceReply / time.Millisecond)
		}
	}
	if len(sinceReplyMs) == 0 {
		return
	}
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgReplyAges, Term: term, Counts: sinceReplyMs}})
	}
}

// handleReplyAges applies a former leader's message. It may arrive before or after this
// controller's own election. Machines that have reported to this controller don't need it.
func (s *State) handleReplyAges(message PeerMsg) {
	if message.Term <= s.replyAges.term {
		// The message is of an earlier term, or a late copy. The times in a copy
		// would count from the arrival of the copy and so be too late.
		return
	}
	s.replyAges = replyAges{message.Term, s.now, message.Counts}
	if !s.IsLeader() {
		return
	}
	for _, m := range s.machinesByName {
		if m.registered && !m.hasReported && m.answeredEpoch == 0 {
			m.lastReplyAt = min(m.lastReplyAt, s.latestPossibleReplyAt(m))
		}
	}
}

// reportedReplyAt returns the latest time at which the previous leader can have replied
// to m, if its message says that. The message of an earlier leader does not count: the
// leaders in between may have replied to m since.
func (s *State) reportedReplyAt(m *machine) (time.Duration, bool) {
	ms, ok := s.replyAges.sinceReplyMs[m.host]
	return s.replyAges.receivedAt - time.Duration(ms)*time.Millisecond, ok && s.replyAges.term == s.previousTerm
}
