package core

import "time"

// When a leadership ends, also because it has expired, its leader tells the peers which
// machines it has not replied to recently, and for how long. Without that message, the
// successor must assume that the former leader replied to them right up to the
// successor's election, and must wait a whole lease from then before it starts their
// tasks elsewhere. If a zone is cut off and the leader loses the state service before it
// can mark the zone's machines as unresponsive in the registry, the zone's services
// would stay down for up to one lease longer.

// replyAges is the content of the last such message that this controller has received.
type replyAges struct {
	term         uint64
	receivedAt   time.Duration  // when the message arrived, which is after it was sent
	sinceReplyMs map[string]int // by machine: milliseconds from the sender's last reply to it until the message
}

// sendReplyAges tells the peers how long ago this controller last replied to each registered
// machine, if it has not replied for longer than a report interval. The caller has ended this
// controller's leadership of term for good.
func (s *State) sendReplyAges(term uint64) {
	sinceReplyMs := map[string]int{}
	for _, m := range s.machinesByName {
		if m.registered && s.now-m.lastReplyAt > s.cfg.ReportInterval {
			sinceReplyMs[m.host] = int((s.now - m.lastReplyAt) / time.Millisecond)
		}
	}
	if len(sinceReplyMs) == 0 {
		return
	}
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgReplyAges, Term: term, Counts: sinceReplyMs}})
	}
}

// handleReplyAges applies a former leader's message, which may arrive before or after
// this controller's own election. For machines that have reported to this controller in
// its term, the message is not needed.
func (s *State) handleReplyAges(message PeerMsg) {
	if message.Term <= s.replyAges.term {
		// The message is of an earlier term, or a late copy of one that was applied.
		// The ages in a copy would count from the arrival of the copy, so the replies
		// would seem later than they were.
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
