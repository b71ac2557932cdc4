package core

import "slices"

// What a leader does to stay one, and when it lets go.

// maintainLeadership renews promises and key, and gives the term up when another node
// could serve and this one can't.
func (s *State) maintainLeadership() {
	if s.now >= s.requestVotesAt {
		s.requestVotes(s.electionConfig.PromiseDuration / 4)
	}
	if s.now >= s.renewAt && !s.renewalInFlight {
		s.renewKey()
	}
	if !s.caughtUp {
		return
	}
	if s.sinceStoreContact() > s.storeContactTimeout() {
		// Cut off from the store while a peer reaches it: that peer refuses
		// its promise. Without waiting for the promise to run out, let go.
		for _, p := range s.peers {
			if p.reachesStore && s.now-p.heardAt < s.electionConfig.PromiseDuration/2 && p.refusedForStoreAt > s.now-s.electionConfig.PromiseDuration/2 {
				s.noCampaignUntil = s.now + s.electionConfig.PromiseDuration
				s.stepDown("the state service is out of reach here but not elsewhere")
				return
			}
		}
	}
	s.raiseClusterVersion()
	if s.isCutFromWorkers() {
		s.noCampaignUntil = s.now + s.cfg.Lease
		s.steppedDownUnreached = true
		s.stepDown("no worker reaches this node")
	}
}

// isCutFromWorkers says whether reports have stopped coming though machines
// should be there. A worker waits 4 s for an answer and then 1 s more before
// it turns to the next node, so there is no time to wait until one has
// complained elsewhere: with a peer at hand the term is given up, and a
// successor stands ready when they come. If it is the machines that are gone,
// they lapse and nothing further happens.
func (s *State) isCutFromWorkers() bool {
	quiet := s.cfg.Lease / 3
	if s.now-s.lastReportAt < quiet || s.now-s.electedAt < 2*quiet {
		return false
	}
	if !slices.ContainsFunc(s.machinesByName, func(m *machine) bool { return m.reconciled }) {
		return false
	}
	for _, p := range s.peers {
		if p.reachesStore && s.now-p.heardAt < s.electionConfig.PromiseDuration/2 {
			return true
		}
	}
	return false
}

func (s *State) renewKey() {
	t, sent, leaseID := s.leadership, s.now, s.leaseID
	s.renewalInFlight = true
	s.renewAt = s.now + s.electionConfig.KeyTTL/4
	// The answer tells of the sending: late, it is still worth what is left of the
	// key's life. Given up after a second, no renewal of a leader that was short
	// of processor time counted, and it lost its term.
	s.callStore(StoreCall{Op: StoreRenew, Lease: leaseID, Timeout: s.electionConfig.KeyTTL * 3 / 4}, func(d StoreResult) {
		if s.leadership != t {
			return
		}
		s.renewalInFlight = false
		switch d.Status {
		case 200:
			t.RecordRenewal(s.now, sent)
		case 404:
			t.RecordKeyLoss()
			s.recreateKey()
		default:
			s.renewAt = s.now + s.electionConfig.KeyTTL/10
		}
	})
}

// recreateKey sets the leader key again after a lease that ended while promises
// carried the leader on. The guard on the term keeps it from succeeding once
// another has been elected. Only a key that is known to be set counts: a new
// lease that was kept up without one made the leader believe that nobody else
// could be elected.
func (s *State) recreateKey() {
	t, sent := s.leadership, s.now
	s.renewalInFlight = true
	s.callStore(StoreCall{Op: StoreLease, TTL: s.electionConfig.KeyTTL}, func(d StoreResult) {
		if s.leadership != t {
			return
		}
		s.renewalInFlight = false
		if d.Status != 200 {
			return
		}
		s.renewalInFlight = true
		leaseID, own := d.Lease, uint64(0)
		if s.leaderTerm == t.Term && s.leaderNode == s.cfg.Self {
			own = s.leaderModRevision // set by an earlier try whose answer was lost
		}
		s.callStore(StoreCall{
			Op:            StoreTxn,
			Preconditions: []Precondition{{keyTerm, s.termModRevision}, {keyLeader, own}},
			Changes:       []Change{{Key: keyLeader, Value: mustMarshal(leaderValue{s.cfg.Self, t.Term, leaseID}), Lease: leaseID}},
		}, func(d StoreResult) {
			if s.leadership != t {
				return
			}
			s.renewalInFlight = false
			if d.Status == 200 {
				s.leaseID = leaseID
				t.RecordRenewal(s.now, sent)
				s.apply(Item{Key: keyLeader, Value: mustMarshal(leaderValue{s.cfg.Self, t.Term, leaseID}), ModRevision: d.Revision})
			}
		})
	})
}
