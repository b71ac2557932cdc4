package core

import "slices"

// What a leader does to stay one, and when it lets go.

// keepUp renews promises and key, and gives the term up when another node
// could serve and this one can't.
func (s *State) keepUp() {
	if s.now >= s.requestVotesAt {
		s.requestVotes(s.ecf.Promise / 4)
	}
	if s.now >= s.renewAt && !s.renewing {
		s.renewKey()
	}
	if !s.ready {
		return
	}
	if s.storeAge() > s.storeGap() {
		// Cut off from the store while a peer reaches it: that peer refuses
		// its promise. Without waiting for the promise to run out, let go.
		for _, p := range s.peers {
			if p.storeOK && s.now-p.heard < s.ecf.Promise/2 && p.refusedAt > s.now-s.ecf.Promise/2 {
				s.abstainUntil = s.now + s.ecf.Promise
				s.stepDown("the state service is out of reach here but not elsewhere")
				return
			}
		}
	}
	s.raiseClusterVersion()
	if s.cutFromWorkers() {
		s.abstainUntil = s.now + s.cfg.Lease
		s.unreached = true
		s.stepDown("no worker reaches this node")
	}
}

// cutFromWorkers says whether reports have stopped coming though machines
// should be there. A worker waits 4 s for an answer and then 1 s more before
// it turns to the next node, so there is no time to wait until one has
// complained elsewhere: with a peer at hand the term is given up, and a
// successor stands ready when they come. If it is the machines that are gone,
// they lapse and nothing further happens.
func (s *State) cutFromWorkers() bool {
	quiet := s.cfg.Lease / 3
	if s.now-s.lastReportAt < quiet || s.now-s.electedAt < 2*quiet {
		return false
	}
	if !slices.ContainsFunc(s.order, func(m *machine) bool { return m.adopted }) {
		return false
	}
	for _, p := range s.peers {
		if p.storeOK && s.now-p.heard < s.ecf.Promise/2 {
			return true
		}
	}
	return false
}

func (s *State) renewKey() {
	t, sent, leaseID := s.leadership, s.now, s.leaseID
	s.renewing = true
	s.renewAt = s.now + s.ecf.KeyLife/4
	// The answer tells of the sending: late, it is still worth what is left of the
	// key's life. Given up after a second, no renewal of a leader that was short
	// of processor time counted, and it lost its term.
	s.store(StoreCall{Op: StoreRenew, Lease: leaseID, Timeout: s.ecf.KeyLife * 3 / 4}, func(d StoreDone) {
		if s.leadership != t {
			return
		}
		s.renewing = false
		switch d.Status {
		case 200:
			t.Renewed(s.now, sent)
		case 404:
			t.KeyLost()
			s.recreateKey()
		default:
			s.renewAt = s.now + s.ecf.KeyLife/10
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
	s.renewing = true
	s.store(StoreCall{Op: StoreLease, Life: s.ecf.KeyLife}, func(d StoreDone) {
		if s.leadership != t {
			return
		}
		s.renewing = false
		if d.Status != 200 {
			return
		}
		s.renewing = true
		leaseID, own := d.Lease, uint64(0)
		if s.leaderTerm == t.Term && s.leaderNode == s.cfg.Self {
			own = s.leaderStamp // set by an earlier try whose answer was lost
		}
		s.store(StoreCall{
			Op:     StoreTxn,
			Guards: []Guard{{keyTerm, s.termStamp}, {keyLeader, own}},
			Then:   []Change{{Key: keyLeader, Value: raw(leaderValue{s.cfg.Self, t.Term, leaseID}), Lease: leaseID}},
		}, func(d StoreDone) {
			if s.leadership != t {
				return
			}
			s.renewing = false
			if d.Status == 200 {
				s.leaseID = leaseID
				t.Renewed(s.now, sent)
				s.apply(Item{Key: keyLeader, Value: raw(leaderValue{s.cfg.Self, t.Term, leaseID}), Stamp: d.Rev})
			}
		})
	})
}
