package core

import "slices"

// maintainLeadership renews the promises and the leader key, and raises the cluster
// version if that is due. It steps down if this controller cannot serve, because it has
// lost the state service or the workers, and another one could lead.
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
		// This leader is cut off from the state service. If a peer that reaches the
		// service has refused to renew its promise for that reason, this leader steps
		// down without waiting for the other promises to expire.
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
		s.stepDown("no worker reaches this controller")
	}
}

// isCutFromWorkers reports whether no worker's report has arrived for a third of a
// lease, though there are machines that should report, and a peer could lead instead.
// It returns false until two thirds of a lease have passed since the election. A
// worker waits 4 s for an answer and then 1 s more before it turns to the next controller.
// So there is no time to wait until a worker has reported to a peer: the leader steps down
// early, so that a successor is ready when the workers turn to it. If the machines
// themselves are gone, their leases expire and stepping down does no further harm.
func (s *State) isCutFromWorkers() bool {
	timeout := s.cfg.Lease / 3
	if s.now-s.lastReportAt < timeout || s.now-s.electedAt < 2*timeout {
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

// renewKey renews the lease of the leader key.
func (s *State) renewKey() {
	leadership, sentAt, leaseID := s.leadership, s.now, s.leaseID
	s.renewalInFlight = true
	s.renewAt = s.now + s.electionConfig.KeyTTL/4
	// A renewal counts from its sending, so a late answer still covers the rest of
	// the key's TTL. With the usual timeout of one second, a leader that is short of
	// CPU time would get no renewal in time and lose its term.
	s.callStore(StoreCall{Op: StoreRenew, Lease: leaseID, Timeout: s.electionConfig.KeyTTL * 3 / 4}, func(result StoreResult) {
		if s.leadership != leadership {
			return
		}
		s.renewalInFlight = false
		switch result.Status {
		case 200:
			leadership.RecordRenewal(s.now, sentAt)
		case 404:
			leadership.RecordKeyLoss()
			s.recreateKey()
		default:
			s.renewAt = s.now + s.electionConfig.KeyTTL/10
		}
	})
}

// recreateKey creates the leader key again, after its lease ended while promises kept
// the leadership valid. The precondition on the term key makes this fail once another
// controller has been elected. The new lease counts only when the key is known to
// exist under it: a leader that renewed a lease without the key would wrongly believe
// that no other controller can be elected.
func (s *State) recreateKey() {
	leadership, leaseRequestedAt := s.leadership, s.now
	s.renewalInFlight = true
	s.callStore(StoreCall{Op: StoreLease, TTL: s.electionConfig.KeyTTL}, func(result StoreResult) {
		if s.leadership != leadership {
			return
		}
		s.renewalInFlight = false
		if result.Status != 200 {
			return
		}
		s.renewalInFlight = true
		leaseID, ownModRevision := result.Lease, uint64(0)
		if s.leaderTerm == leadership.Term && s.leaderName == s.cfg.Self {
			// An earlier attempt, whose answer was lost, created the key.
			ownModRevision = s.leaderModRevision
		}
		s.callStore(StoreCall{
			Op:            StoreTxn,
			Preconditions: []Precondition{{keyTerm, s.termModRevision}, {keyLeader, ownModRevision}},
			Changes:       []Change{{Key: keyLeader, Value: mustMarshal(leaderValue{s.cfg.Self, leadership.Term, leaseID}), Lease: leaseID}},
		}, func(result StoreResult) {
			if s.leadership != leadership {
				return
			}
			s.renewalInFlight = false
			if result.Status == 200 {
				s.leaseID = leaseID
				leadership.RecordRenewal(s.now, leaseRequestedAt)
				s.apply(Item{Key: keyLeader, Value: mustMarshal(leaderValue{s.cfg.Self, leadership.Term, leaseID}), ModRevision: result.Revision})
			}
		})
	})
}
