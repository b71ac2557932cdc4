package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/election"
)

// Campaigns: votes first, the key in the state service second.

// pause staggers candidacies, so that two rarely split the promises.
func (s *State) pause() time.Duration {
	return time.Duration((0.05 + 0.25*s.rnd.Float64()) * float64(s.ecf.Promise))
}

// campaign keeps a leadership up or tries to win one.
func (s *State) campaign() {
	if s.leadership != nil && s.electedAt != 0 {
		s.keepUp()
		return
	}
	if s.leadership != nil {
		s.advanceCampaign()
		return
	}
	if s.now < s.campaignAt || s.now < s.abstainUntil || !s.storeOK() || s.leaderNode != "" {
		return
	}
	if node, bound := s.voter.Bound(s.now); bound && node != s.cfg.Self {
		return
	}
	if s.unreached && s.now-s.leaderGone < s.cfg.Lease/4 {
		// It led without being reached before and has heard no worker since:
		// the others go first. Elected again, it cost the workers a lease.
		return
	}
	if s.entitlementLostAt != 0 && s.now-s.entitlementLostAt < s.cfg.Lease && s.now-s.leaderGone < s.ecf.Promise/2 {
		// It could not keep its own term up: the others go first. Two controllers
		// that computed slowly passed the lead to and fro while a third was well.
		return
	}
	term := max(s.term, s.voter.Top())
	for _, p := range s.peers {
		term = max(term, p.top)
	}
	term++
	s.leadership, s.before = election.NewLeadership(s.ecf, s.now, term, s.termStamp), s.term
	s.requestVotesAt, s.leaseID, s.winningKey = 0, 0, false
	s.campaignAt = s.now + s.ecf.Promise // candidacy ends here
	s.advanceCampaign()
}

// advanceCampaign gathers promises, then a lease, then the key under it.
func (s *State) advanceCampaign() {
	if s.now >= s.campaignAt && !s.winningKey {
		s.stepDown("no majority in time")
		return
	}
	if s.now >= s.requestVotesAt {
		s.requestVotes(s.ecf.Promise / 6)
	}
	if s.winningKey || !s.leadership.Supported(s.now) {
		return
	}
	if s.leadership.Stamp != s.termStamp {
		// Promises were given for the version before.
		s.stepDown("another term was won meanwhile")
		return
	}
	s.winningKey = true
	if s.leaseID == 0 {
		s.requestLease()
		return
	}
	s.requestKey()
}

// requestLease asks the state service for the lease of the leader's key.
func (s *State) requestLease() {
	t, sent := s.leadership, s.now
	s.store(StoreCall{Op: StoreLease, Life: s.ecf.KeyLife}, func(d StoreDone) {
		if s.leadership != t {
			return
		}
		s.winningKey = false
		if d.Status != 200 {
			s.stepDown("no lease")
			return
		}
		s.leaseID, s.leaseRequestedAt = d.Lease, sent
		s.advanceCampaign()
	})
}

// requestKey sets the term and the leader's key, if both are as they were when
// the promises were given.
func (s *State) requestKey() {
	t, sent := s.leadership, s.leaseRequestedAt
	s.store(StoreCall{
		Op:     StoreTxn,
		Guards: []Guard{{keyTerm, t.Stamp}, {keyLeader, 0}},
		Then: []Change{
			{Key: keyTerm, Value: raw(termValue{t.Term, s.cfg.Self})},
			{Key: keyLeader, Value: raw(leaderValue{s.cfg.Self, t.Term, s.leaseID}), Lease: s.leaseID},
		},
	}, func(d StoreDone) {
		if s.leadership != t {
			return
		}
		s.winningKey = false
		if d.Status != 200 || !t.Elected(s.now, sent) {
			s.keyNotWon(d)
			return
		}
		s.elected(d.Rev)
	})
}

func (s *State) keyNotWon(d StoreDone) {
	s.log(slog.LevelDebug, "key not won", "term", s.leadership.Term, "status", d.Status, "failed", d.Failed)
	if d.Status == 409 {
		// Another was faster, or this copy of the state is not what it
		// should be: read it anew rather than fail for ever.
		s.loaded = false
	}
	s.stepDown("key not won")
}

// elected begins the leadership that was won at a revision.
func (s *State) elected(rev uint64) {
	t := s.leadership
	// Before the term is applied: else it would look won by another.
	s.firstTerm = t.Stamp == 0 // nobody has led before
	s.electedAt, s.electedRev = s.now, rev
	s.apply(Item{Key: keyTerm, Value: raw(termValue{t.Term, s.cfg.Self}), Stamp: rev})
	s.apply(Item{Key: keyLeader, Value: raw(leaderValue{s.cfg.Self, t.Term, s.leaseID}), Stamp: rev})
	s.requestVotesAt, s.renewAt = 0, s.now
	s.log(slog.LevelInfo, "elected", "term", t.Term)
	s.catchUp()
}

// catchUp makes sure that the new leader has seen all that former leaders
// have written, before it acts.
func (s *State) catchUp() {
	t := s.leadership
	s.fresh(func(ok bool) {
		if s.leadership != t || s.ready {
			return
		}
		if !ok || s.rev < s.electedRev {
			s.catchUp()
			return
		}
		s.ready = true
		s.shareWrites(true)
		s.takeOver()
	})
}

// outvoted ends a candidacy that can't get a majority any more, so that its
// own promise to itself doesn't stand in another's way.
func (s *State) outvoted(p *peerState) {
	p.refusedTerm = s.leadership.Term
	left := s.ecf.Nodes
	for _, o := range s.peers {
		if o.refusedTerm == s.leadership.Term {
			left--
		}
	}
	if left < s.ecf.Nodes/2+1 {
		s.stepDown("refused by the others")
	}
}

// requestVotes asks the peers for promises, as candidate or leader.
func (s *State) requestVotes(every time.Duration) {
	s.requestVotesAt = s.now + every
	t := s.leadership
	s.vouch(s.cfg.Self, t.Term, t.Stamp)
	if s.voter.Grant(s.now, s.cfg.Self, t.Term) {
		t.Promised(s.now, s.cfg.Self, s.now)
	}
	m := PeerMsg{Kind: MsgVoteRequest, Ask: s.cfg.Boot, Version: s.cfg.Version, Term: t.Term, Stamp: t.Stamp, Sent: s.now, StoreOK: s.storeOK(), StoreAge: s.storeAge()}
	if s.ready {
		s.shared(s.rev)
		m.Rev, m.Read = s.rev, s.now-s.readAt > s.ecf.Staleness/4
	}
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, m})
	}
}
