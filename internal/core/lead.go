package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/election"
)

// leadState is what concerns leadership: promises, candidacy and the key.
type leadState struct {
	voter              *election.Voter
	peers              map[string]*peerState
	leadership         *election.Leadership // candidacy or leadership; nil for a follower
	leaseID            uint64               // lease of the leader key
	leaseRequestedAt   time.Duration        // sending of the request that got it
	keyRequestInFlight bool                 // lease or key transaction under way
	renewalInFlight    bool                 // a renewal of the key is under way

	// Nothing of the kind before these times.
	campaignAt, requestVotesAt, renewAt, announceRestartAt, noCampaignUntil time.Duration

	steppedDownUnreached bool          // stepped down because no worker came, and none has come since
	leadershipExpiredAt  time.Duration // stepped down because its entitlement ran out; 0: never

	electedAt       time.Duration
	electedRevision uint64
	previousTerm    uint64             // the term before this one, whose version the key was won under
	transfer        leadershipTransfer // by a leader whose term has ended
	firstTerm       bool               // nobody has led, and so rented, before this term
	caughtUp        bool               // the replica has caught up with the election
}

// IsLeader says whether this node may act as leader now.
func (s *State) IsLeader() bool {
	return s.leadership != nil && s.caughtUp && s.leadership.CanAct(s.now)
}

// term of the leader's keys: attempts, rental requests and epochs are built from it, so
// that none is ever used twice. All stay below 2^53.
const (
	fenceBits   = 20
	attemptBits = 24
)

func (s *State) epochBase() uint64 { return s.leadership.Term << fenceBits }

// stepDownIfExpired ends a leadership whose entitlement has run out.
func (s *State) stepDownIfExpired() {
	if s.leadership != nil && s.electedAt != 0 && !s.leadership.CanAct(s.now) {
		s.leadershipExpiredAt = s.now
		s.stepDown("entitlement ran out")
	}
}

// stepDownIfSuperseded ends a leadership or candidacy overtaken by a higher term.
func (s *State) stepDownIfSuperseded() {
	if s.leadership != nil && s.term > s.leadership.Term {
		s.stepDown("a higher term was won")
	}
	if s.leadership != nil && s.electedAt == 0 && !s.keyRequestInFlight && s.term >= s.leadership.Term {
		s.stepDown("the term was won by another")
	}
}

func (s *State) stepDown(why string) {
	if s.leadership == nil {
		return
	}
	term := s.leadership.Term
	s.leadership.End()
	if s.electedAt != 0 {
		s.log(slog.LevelInfo, "stepping down", "term", term, "why", why)
	} else {
		s.log(slog.LevelDebug, "candidacy over", "term", term, "why", why)
	}
	// Peers need not wait out a promise that nobody relies on any more, nor
	// the store a lease. A term that was won is never used again; one that
	// wasn't may be, by a later life of this node, so that its release names
	// the life that it is from.
	life := s.cfg.Incarnation
	if s.electedAt != 0 {
		life = 0
	}
	if s.caughtUp {
		s.transferLeadership(term)
	}
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgRelease, Term: term, Ask: life}})
	}
	s.voter.Release(s.cfg.Self, term)
	if s.leaseID != 0 {
		s.callStore(StoreCall{Op: StoreRevoke, Lease: s.leaseID}, func(StoreResult) {})
	}
	s.leadership, s.leaseID, s.caughtUp, s.takeoverComplete, s.electedAt, s.renewalInFlight = nil, 0, false, false, 0, false
	s.campaignAt = s.now + s.campaignDelay()
	s.answerReports()
	for _, m := range s.machinesByName {
		s.finishVerification(m, false)
		m.resetForTerm()
	}
	s.machinesWithOrphans, s.teamUsage, s.commandsInFlight = nil, nil, 0
	s.setWriteRate(false)
	for _, j := range s.active {
		j.resetTerm()
	}
	s.fleetState = fleetState{}
}

// currentLeader is the node that leads as far as this one knows.
func (s *State) currentLeader() string {
	if s.leadership != nil && s.electedAt != 0 {
		return s.cfg.Self
	}
	if node, bound := s.voter.PromisedTo(s.now); bound && node != s.cfg.Self {
		return node
	}
	if s.leaderNode != s.cfg.Self {
		return s.leaderNode
	}
	return ""
}

// IsLeaderAt says whether this node may act as leader at now. It changes
// nothing: a test can ask without ending what has lapsed.
func (s *State) IsLeaderAt(now time.Duration) bool {
	return s.leadership != nil && s.caughtUp && s.electedAt != 0 && now < s.leadership.ValidUntil()
}
