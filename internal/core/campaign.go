package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/election"
)

// Campaigns: votes first, the key in the state service second.

// campaignDelay staggers candidacies, so that two rarely split the promises.
func (s *State) campaignDelay() time.Duration {
	return time.Duration((0.05 + 0.25*s.random.Float64()) * float64(s.electionConfig.PromiseDuration))
}

// campaign keeps a leadership up or tries to win one.
func (s *State) campaign() {
	if s.leadership != nil && s.electedAt != 0 {
		s.maintainLeadership()
		return
	}
	if s.leadership != nil {
		s.advanceCampaign()
		return
	}
	if s.now < s.campaignAt || s.now < s.noCampaignUntil || !s.isStoreReachable() || s.leaderNode != "" {
		return
	}
	if node, bound := s.voter.PromisedTo(s.now); bound && node != s.cfg.Self {
		return
	}
	if s.steppedDownUnreached && s.now-s.leaderKeyGoneAt < s.cfg.Lease/4 {
		// It led without being reached before and has heard no worker since:
		// the others go first. Elected again, it cost the workers a lease.
		return
	}
	if s.leadershipExpiredAt != 0 && s.now-s.leadershipExpiredAt < s.cfg.Lease && s.now-s.leaderKeyGoneAt < s.electionConfig.PromiseDuration/2 {
		// It could not keep its own term up: the others go first. Two controllers
		// that computed slowly passed the lead to and fro while a third was well.
		return
	}
	term := max(s.term, s.voter.HighestTerm())
	for _, p := range s.peers {
		term = max(term, p.highestTerm)
	}
	term++
	s.leadership, s.previousTerm = election.NewLeadership(s.electionConfig, s.now, term, s.termModRevision), s.term
	s.requestVotesAt, s.leaseID, s.keyRequestInFlight = 0, 0, false
	s.campaignAt = s.now + s.electionConfig.PromiseDuration // candidacy ends here
	s.advanceCampaign()
}

// advanceCampaign gathers promises, then a lease, then the key under it.
func (s *State) advanceCampaign() {
	if s.now >= s.campaignAt && !s.keyRequestInFlight {
		s.stepDown("no majority in time")
		return
	}
	if s.now >= s.requestVotesAt {
		s.requestVotes(s.electionConfig.PromiseDuration / 6)
	}
	if s.keyRequestInFlight || !s.leadership.HasMajority(s.now) {
		return
	}
	if s.leadership.TermModRevision != s.termModRevision {
		// Promises were given for the version before.
		s.stepDown("another term was won meanwhile")
		return
	}
	s.keyRequestInFlight = true
	if s.leaseID == 0 {
		s.requestLease()
		return
	}
	s.requestLeaderKey()
}

// requestLease asks the state service for the lease of the leader's key.
func (s *State) requestLease() {
	t, sent := s.leadership, s.now
	s.callStore(StoreCall{Op: StoreLease, TTL: s.electionConfig.KeyTTL}, func(d StoreResult) {
		if s.leadership != t {
			return
		}
		s.keyRequestInFlight = false
		if d.Status != 200 {
			s.stepDown("no lease")
			return
		}
		s.leaseID, s.leaseRequestedAt = d.Lease, sent
		s.advanceCampaign()
	})
}

// requestLeaderKey sets the term and the leader's key, if both are as they were when
// the promises were given.
func (s *State) requestLeaderKey() {
	t, sent := s.leadership, s.leaseRequestedAt
	s.callStore(StoreCall{
		Op:            StoreTxn,
		Preconditions: []Precondition{{keyTerm, t.TermModRevision}, {keyLeader, 0}},
		Changes: []Change{
			{Key: keyTerm, Value: mustMarshal(termValue{t.Term, s.cfg.Self})},
			{Key: keyLeader, Value: mustMarshal(leaderValue{s.cfg.Self, t.Term, s.leaseID}), Lease: s.leaseID},
		},
	}, func(d StoreResult) {
		if s.leadership != t {
			return
		}
		s.keyRequestInFlight = false
		if d.Status != 200 || !t.ConfirmElection(s.now, sent) {
			s.leaderKeyNotWon(d)
			return
		}
		s.startLeadership(d.Revision)
	})
}

func (s *State) leaderKeyNotWon(d StoreResult) {
	s.log(slog.LevelDebug, "key not won", "term", s.leadership.Term, "status", d.Status, "failed", d.FailedKeys)
	if d.Status == 409 {
		// Another was faster, or this copy of the state is not what it
		// should be: read it anew rather than fail for ever.
		s.loaded = false
	}
	s.stepDown("key not won")
}

// startLeadership begins the leadership that was won at a revision.
func (s *State) startLeadership(rev uint64) {
	t := s.leadership
	// Before the term is applied: else it would look won by another.
	s.firstTerm = t.TermModRevision == 0 // nobody has led before
	s.electedAt, s.electedRevision = s.now, rev
	s.apply(Item{Key: keyTerm, Value: mustMarshal(termValue{t.Term, s.cfg.Self}), ModRevision: rev})
	s.apply(Item{Key: keyLeader, Value: mustMarshal(leaderValue{s.cfg.Self, t.Term, s.leaseID}), ModRevision: rev})
	s.requestVotesAt, s.renewAt = 0, s.now
	s.log(slog.LevelInfo, "elected", "term", t.Term)
	s.catchUp()
}

// catchUp makes sure that the new leader has seen all that former leaders
// have written, before it acts.
func (s *State) catchUp() {
	t := s.leadership
	s.linearizableRead(func(ok bool) {
		if s.leadership != t || s.caughtUp {
			return
		}
		if !ok || s.revision < s.electedRevision {
			s.catchUp()
			return
		}
		s.caughtUp = true
		s.setWriteRate(true)
		s.takeOver()
	})
}

// recordVoteRefusal ends a candidacy that can't get a majority any more, so that its
// own promise to itself doesn't stand in another's way.
func (s *State) recordVoteRefusal(p *peerState) {
	p.refusedTerm = s.leadership.Term
	left := s.electionConfig.Nodes
	for _, o := range s.peers {
		if o.refusedTerm == s.leadership.Term {
			left--
		}
	}
	if left < s.electionConfig.Nodes/2+1 {
		s.stepDown("refused by the others")
	}
}

// requestVotes asks the peers for promises, as candidate or leader.
func (s *State) requestVotes(every time.Duration) {
	s.requestVotesAt = s.now + every
	t := s.leadership
	s.preapprove(s.cfg.Self, t.Term, t.TermModRevision)
	if s.voter.Grant(s.now, s.cfg.Self, t.Term) {
		t.RecordPromise(s.now, s.cfg.Self, s.now)
	}
	m := PeerMsg{Kind: MsgVoteRequest, Ask: s.cfg.Incarnation, Version: s.cfg.Version, Term: t.Term, Stamp: t.TermModRevision, Sent: s.now, StoreOK: s.isStoreReachable(), StoreAge: s.sinceStoreContact()}
	if s.caughtUp {
		s.acknowledgeUpTo(s.revision)
		m.Rev, m.Read = s.revision, s.now-s.completeReadAt > s.electionConfig.MaxStaleness/4
	}
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, m})
	}
}
