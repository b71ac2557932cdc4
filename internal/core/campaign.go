package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/election"
)

// A campaign first collects promises from a majority of the controllers and then
// creates the leader key in the state service. A promise, or vote, binds a controller
// for a limited time to support no other candidate or leader (see package election).

// campaignDelay returns a random delay before the next campaign. It spreads campaigns
// out, so that two candidates rarely split the promises between them.
func (s *State) campaignDelay() time.Duration {
	return time.Duration((0.05 + 0.25*s.random.Float64()) * float64(s.electionConfig.PromiseDuration))
}

// campaign maintains this controller's leadership, continues its campaign, or starts a
// campaign if there is no leader and no reason to let other controllers go first.
func (s *State) campaign() {
	if s.leadership != nil && s.electedAt != 0 {
		s.maintainLeadership()
		return
	}
	if s.leadership != nil {
		s.advanceCampaign()
		return
	}
	if s.now < s.campaignAt || s.now < s.noCampaignUntil || !s.isStoreReachable() || s.leaderName != "" {
		return
	}
	if supported, inForce := s.voter.PromisedTo(s.now); inForce && supported != s.cfg.Self {
		return
	}
	if s.steppedDownUnreached && s.now-s.leaderKeyChangedAt < s.cfg.Lease/4 {
		// This controller stepped down because no worker reached it, and it has
		// received no report since. For a quarter of a lease after the leader key
		// was removed, the other controllers go first: if this one were elected
		// again, the workers would lose their leases.
		return
	}
	if s.leadershipExpiredAt != 0 && s.now-s.leadershipExpiredAt < s.cfg.Lease && s.now-s.leaderKeyChangedAt < s.electionConfig.PromiseDuration/2 {
		// This controller could not renew its last leadership in time, less than a
		// lease ago. So the other controllers go first for half a promise duration
		// after the leader key was removed. Otherwise two slow controllers can take
		// turns as leader while a third would work well.
		return
	}
	term := max(s.term, s.voter.HighestTerm())
	for _, p := range s.peers {
		term = max(term, p.highestTerm)
	}
	term++
	s.leadership, s.previousTerm = election.NewLeadership(s.electionConfig, s.now, term, s.termModRevision), s.term
	s.requestVotesAt, s.leaseID, s.keyRequestInFlight = 0, 0, false
	s.campaignAt = s.now + s.electionConfig.PromiseDuration // deadline of this campaign
	s.advanceCampaign()
}

// advanceCampaign takes the next step of a campaign: it collects promises, then
// requests a lease, then creates the leader key under that lease.
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
		// The promises were given for an earlier revision of the term key.
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

// requestLease requests the lease of the leader key from the state service.
func (s *State) requestLease() {
	leadership, sentAt := s.leadership, s.now
	s.callStore(StoreCall{Op: StoreLease, TTL: s.electionConfig.KeyTTL}, func(result StoreResult) {
		if s.leadership != leadership {
			return
		}
		s.keyRequestInFlight = false
		if result.Status != 200 {
			s.stepDown("no lease for the leader key")
			return
		}
		s.leaseID, s.leaseRequestedAt = result.Lease, sentAt
		s.advanceCampaign()
	})
}

// requestLeaderKey writes the term key and creates the leader key, on the preconditions
// that the term key has not changed since the campaign began and that there is no leader
// key.
func (s *State) requestLeaderKey() {
	leadership, leaseRequestedAt := s.leadership, s.leaseRequestedAt
	s.callStore(StoreCall{
		Op:            StoreTxn,
		Preconditions: []Precondition{{keyTerm, leadership.TermModRevision}, {keyLeader, 0}},
		Changes: []Change{
			{Key: keyTerm, Value: mustMarshal(termValue{leadership.Term, s.cfg.Self})},
			{Key: keyLeader, Value: mustMarshal(leaderValue{s.cfg.Self, leadership.Term, s.leaseID}), Lease: s.leaseID},
		},
	}, func(result StoreResult) {
		if s.leadership != leadership {
			return
		}
		s.keyRequestInFlight = false
		if result.Status != 200 || !leadership.ConfirmElection(s.now, leaseRequestedAt) {
			s.leaderKeyNotWon(result)
			return
		}
		s.startLeadership(result.Revision)
	})
}

// leaderKeyNotWon ends a campaign whose request for the leader key failed, or succeeded
// but was answered only after the promises had expired.
func (s *State) leaderKeyNotWon(result StoreResult) {
	s.log(slog.LevelDebug, "leader key not won", "term", s.leadership.Term, "status", result.Status, "failed", result.FailedKeys)
	if result.Status == 409 {
		// Another candidate was faster, or the replica differs from the state
		// service. In the second case every later campaign would fail as well, so
		// everything is read again.
		s.loaded = false
	}
	s.stepDown("leader key not won")
}

// startLeadership starts the leadership that was won at revision.
func (s *State) startLeadership(revision uint64) {
	leadership := s.leadership
	s.firstTerm = leadership.TermModRevision == 0 // no controller has led before
	// electedAt must be set before the term key is applied, or the term would look
	// as if another controller had won it.
	s.electedAt, s.electedRevision = s.now, revision
	s.apply(Item{Key: keyTerm, Value: mustMarshal(termValue{leadership.Term, s.cfg.Self}), ModRevision: revision})
	s.apply(Item{Key: keyLeader, Value: mustMarshal(leaderValue{s.cfg.Self, leadership.Term, s.leaseID}), ModRevision: revision})
	s.requestVotesAt, s.renewAt = 0, s.now
	s.log(slog.LevelInfo, "elected", "term", leadership.Term)
	s.catchUp()
}

// catchUp reads the state as of the election, so that the new leader knows everything
// that former leaders have written before it acts.
func (s *State) catchUp() {
	leadership := s.leadership
	s.linearizableRead(func(ok bool) {
		if s.leadership != leadership || s.caughtUp {
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

// recordVoteRefusal records a peer's refusal of a promise for this campaign. It ends a
// campaign that cannot get a majority any more, so that this controller's promise to
// itself does not block another candidate.
func (s *State) recordVoteRefusal(peer *peerState) {
	peer.refusedTerm = s.leadership.Term
	possibleVotes := s.electionConfig.Controllers
	for _, other := range s.peers {
		if other.refusedTerm == s.leadership.Term {
			possibleVotes--
		}
	}
	if possibleVotes < s.electionConfig.Controllers/2+1 {
		s.stepDown("refused by the others")
	}
}

// requestVotes asks this controller's own voter and the peers for promises, as
// candidate or leader. The next request is due after interval. A leader that has caught
// up also asks for read leases (see package election) once its last complete read is
// older than a quarter of the allowed age.
func (s *State) requestVotes(interval time.Duration) {
	s.requestVotesAt = s.now + interval
	leadership := s.leadership
	s.preapprove(s.cfg.Self, leadership.Term, leadership.TermModRevision)
	if s.voter.Grant(s.now, s.cfg.Self, leadership.Term) {
		leadership.RecordPromise(s.now, s.cfg.Self, s.now)
	}
	request := PeerMsg{Kind: MsgVoteRequest, Ask: s.cfg.Incarnation, Version: s.cfg.Version, Term: leadership.Term, Stamp: leadership.TermModRevision, Sent: s.now, StoreOK: s.isStoreReachable(), StoreAge: s.sinceStoreContact()}
	if s.caughtUp {
		s.acknowledgeUpTo(s.revision)
		request.Rev, request.Read = s.revision, s.now-s.completeReadAt > s.electionConfig.MaxStaleness/4
	}
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, request})
	}
}
