package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/election"
)

// leadState holds the state of elections and of this controller's leadership.
type leadState struct {
	voter              *election.Voter
	peers              map[string]*peerState
	leadership         *election.Leadership // campaign or leadership; nil for a follower
	leaseID            uint64               // lease of the leader key
	leaseRequestedAt   time.Duration        // when that lease was requested
	keyRequestInFlight bool                 // a candidate's request for the lease or the key
	renewalInFlight    bool                 // a leader's request to renew or recreate the key

	// campaignAt is when the next campaign may start, or the deadline of the current
	// one. Votes are next requested at requestVotesAt, the leader key is next renewed
	// at renewAt, and a restart is next announced at announceRestartAt. Until
	// noCampaignUntil this controller does not campaign, because it has stepped down
	// in favor of another controller.
	campaignAt, requestVotesAt, renewAt, announceRestartAt, noCampaignUntil time.Duration

	// steppedDownUnreached is set if this controller stepped down because no worker
	// reached it, and no worker has reached it since.
	steppedDownUnreached bool
	leadershipExpiredAt  time.Duration // when its right to act last expired; 0: never

	electedAt       time.Duration // when leadership was won; 0: none, or still a campaign
	electedRevision uint64        // revision at which it was won
	previousTerm    uint64        // last term that was won before the campaign began
	replyAges       replyAges     // last such message from a leader whose term has ended
	firstTerm       bool          // no controller has led before this term, so none can have rented machines
	caughtUp        bool          // the replica (this controller's copy of the state) includes all changes before the election
}

// IsLeader reports whether this controller may act as leader now. Like Leadership.CanAct,
// the call ends an expired leadership for good.
func (s *State) IsLeader() bool {
	return s.leadership != nil && s.caughtUp && s.leadership.CanAct(s.now)
}

// Epochs (which order a leader's commands to a machine, see commands.go), attempts to run
// a task, and rental requests are identified by the term and a counter, so that none is
// used twice. In epochs and attempts, which are numbers, the term is shifted left by
// fenceBits or attemptBits, and the counter is in the low bits. The counter of an epoch is
// called the fence: raising it fences off earlier commands. Both numbers must stay below
// 2^53 to be exact in JSON, which holds for terms below 2^29.
const (
	fenceBits   = 20
	attemptBits = 24
)

// epochBase returns the lowest epoch of this leader's term.
func (s *State) epochBase() uint64 { return s.leadership.Term << fenceBits }

// stepDownIfExpired ends a leadership whose right to act has expired.
func (s *State) stepDownIfExpired() {
	if s.leadership != nil && s.electedAt != 0 && !s.leadership.CanAct(s.now) {
		s.leadershipExpiredAt = s.now
		s.stepDown("leadership expired")
	}
}

// stepDownIfSuperseded ends a leadership or campaign if a higher term was won, and a
// campaign also if its term was won by another controller. While the campaign's own
// request for the leader key is in flight, that request may be what won the term.
func (s *State) stepDownIfSuperseded() {
	if s.leadership != nil && s.term > s.leadership.Term {
		s.stepDown("a higher term was won")
	}
	if s.leadership != nil && s.electedAt == 0 && !s.keyRequestInFlight && s.term >= s.leadership.Term {
		s.stepDown("another controller won the term")
	}
}

// stepDown ends this controller's leadership or campaign, if there is one.
func (s *State) stepDown(why string) {
	if s.leadership == nil {
		return
	}
	term := s.leadership.Term
	s.leadership.End()
	if s.electedAt != 0 {
		s.log(slog.LevelInfo, "stepping down", "term", term, "why", why)
	} else {
		s.log(slog.LevelDebug, "campaign ended", "term", term, "why", why)
	}
	// The promises and the lease of the leader key are released early, because this
	// controller no longer relies on them. A term that was won is never used again,
	// so its release is valid for every incarnation (0). A term that was not won may
	// be used again after a restart of this controller, so its release names this
	// incarnation.
	incarnation := s.cfg.Incarnation
	if s.electedAt != 0 {
		incarnation = 0
	}
	if s.caughtUp {
		s.sendReplyAges(term)
	}
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgRelease, Term: term, Ask: incarnation}})
	}
	s.voter.Release(s.cfg.Self, term)
	if s.leaseID != 0 {
		s.callStore(StoreCall{Op: StoreRevoke, Lease: s.leaseID}, func(StoreResult) {})
	}
	s.leadership, s.leaseID, s.caughtUp, s.takeoverComplete, s.electedAt, s.renewalInFlight = nil, 0, false, false, 0, false
	s.campaignAt = s.now + s.campaignDelay()
	s.answerReports()
	for _, m := range s.machinesByName {
		s.finishVerification(m, false, s.now)
		m.resetForTerm()
	}
	s.machinesWithOrphans, s.teamUsage, s.commandsInFlight, s.commandsInFlightByZone = nil, nil, 0, map[string]int{}
	s.setWriteRate(false)
	for _, j := range s.active {
		j.resetTerm()
	}
	s.fleetState = fleetState{}
}

// currentLeader returns the controller to which workers should report, or "" if this
// controller knows none. That is this controller once it has won an election; else the
// controller that its voter's promise supports, which may still be a candidate; else the
// one in the leader key, unless that still names this controller.
func (s *State) currentLeader() string {
	if s.leadership != nil && s.electedAt != 0 {
		return s.cfg.Self
	}
	if supported, inForce := s.voter.PromisedTo(s.now); inForce && supported != s.cfg.Self {
		return supported
	}
	if s.leaderName != s.cfg.Self {
		return s.leaderName
	}
	return ""
}

// IsLeaderAt reports whether this controller may act as leader at now. Unlike IsLeader
// it does not end an expired leadership, so a test can call it without changing the State.
func (s *State) IsLeaderAt(now time.Duration) bool {
	return s.leadership != nil && s.caughtUp && s.electedAt != 0 && now < s.leadership.ValidUntil()
}
