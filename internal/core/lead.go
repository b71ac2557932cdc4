package core

import (
	"log/slog"
	"slices"
	"time"

	"mulleinfall/internal/election"
	"mulleinfall/internal/sched"
)

// lead is what concerns leadership: promises, candidacy and the leader's own
// bookkeeping, which a new term starts afresh.
type lead struct {
	voter             *election.Voter
	peers             map[string]*peerState
	leadership        *election.Leadership // candidacy or leadership; nil for a follower
	leaseID           uint64               // lease of the leader key
	leaseRequestedAt  time.Duration        // sending of the request that got it
	winningKey        bool                 // lease or key transaction under way
	raisingVersion    bool                 // the write of the cluster version is under way
	versionNoted      bool                 // this controller's own version is in the state service
	ownVersion        int                  // as noted there, perhaps by an earlier life
	noteVersionAt     time.Duration        // not before
	campaignAt        time.Duration
	requestVotesAt    time.Duration
	renewAt           time.Duration
	announceAt        time.Duration
	renewing          bool
	unreached         bool          // stepped down because no worker came, and none has come since
	entitlementLostAt time.Duration // stepped down because its entitlement ran out; 0: never
	abstainUntil      time.Duration // no candidacy before

	electedAt      time.Duration
	electedRev     uint64
	before         uint64             // the term before this one, whose version the key was won under
	transfer       leadershipTransfer // by a leader whose term has ended
	firstTerm      bool               // nobody has led, and so rented, before this term
	ready          bool               // the replica has caught up with the election
	settled        bool               // every task of older jobs is accounted for
	scanNext       int                // of order: the machines before are accounted for
	scanned        int                // machines looked at in search of others
	attempts       uint64
	rentals        uint64
	dirty          bool
	nextRound      time.Duration // no round of decisions before
	idleRound      time.Duration
	drainAt        time.Duration
	bitmapsAt      time.Duration
	cutShort       int              // rounds that ran out of budget
	unaccountedFor []*machine       // not accounted for, as of this round
	views          []*sched.Machine // buffer of a round
	pendingReports []pendingReport  // reports to be answered after the next round
	pages          map[int]*page    // of the roster
	rosterAt       time.Duration
	silenceAt      time.Duration
	directs        int                        // direct commands under way
	reachFrom      int                        // of order: the next machine to look after by a direct command
	teams          map[string]sched.Resources // what each team's tasks take
	countsAt       time.Duration
	slowAt         time.Duration
	gangsAt        time.Duration
	gangsSeen      map[string]seenGang // by class
	lastReportAt   time.Duration       // last report answered with 200
	round          *sched.Round
	paths          map[sched.Path]int
	fleetState
}

type peerState struct {
	storeOK   bool
	heard     time.Duration
	refusedAt time.Duration

	refusedTerm uint64
	top         uint64 // highest term that the peer knows of
	version     int    // the newest that it knows, by its last word or note
	noted       bool   // the state service holds its note of that
	life        uint64 // of the peer, that this node last promised support to
	free        bool   // has said that it counts on no promise of our earlier life
}

// Leading says whether this node may act as leader now.
func (s *State) Leading() bool {
	return s.leadership != nil && s.ready && s.leadership.Entitled(s.now)
}

// term of the leader's keys: attempts, hires and epochs are built from it, so
// that none is ever used twice. All stay below 2^53.
const (
	fenceBits   = 20
	attemptBits = 24
)

func (s *State) epochBase() uint64 { return s.leadership.Term << fenceBits }

// checkEntitlement ends a leadership whose entitlement has run out.
func (s *State) checkEntitlement() {
	if s.leadership != nil && s.electedAt != 0 && !s.leadership.Entitled(s.now) {
		s.entitlementLostAt = s.now
		s.stepDown("entitlement ran out")
	}
}

// superseded ends a leadership or candidacy overtaken by a higher term.
func (s *State) superseded() {
	if s.leadership != nil && s.term > s.leadership.Term {
		s.stepDown("a higher term was won")
	}
	if s.leadership != nil && s.electedAt == 0 && !s.winningKey && s.term >= s.leadership.Term {
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
	life := s.cfg.Boot
	if s.electedAt != 0 {
		life = 0
	}
	if s.ready {
		s.transferLeadership(term)
	}
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgRelease, Term: term, Ask: life}})
	}
	s.voter.Release(s.cfg.Self, term)
	if s.leaseID != 0 {
		s.store(StoreCall{Op: StoreRevoke, Lease: s.leaseID}, func(StoreDone) {})
	}
	s.leadership, s.leaseID, s.ready, s.settled, s.electedAt, s.renewing = nil, 0, false, false, 0, false
	s.campaignAt = s.now + s.pause()
	s.answerReports()
	for _, m := range s.order {
		s.proven(m, false)
		m.forgetTerm()
	}
	s.orphaned, s.teams, s.directs = nil, nil, 0
	s.shareWrites(false)
	for _, j := range s.active {
		j.forgetTerm()
	}
	s.fleetState = fleetState{}
}

// pause staggers candidacies, so that two rarely split the promises.
func (s *State) pause() time.Duration {
	return time.Duration((0.05 + 0.25*s.rnd.Float64()) * float64(s.ecf.Promise))
}

// announceRestart asks the peers, after a start, to free this node from promises of an
// earlier life. Waiting them out would cost the workers a part of their lease
// after all controllers have crashed.
func (s *State) announceRestart() {
	if s.voter.Awake(s.now) || s.now < s.announceAt {
		return
	}
	s.announceAt = s.now + s.ecf.Promise/8
	for _, p := range s.cfg.Peers {
		if !s.peers[p].free {
			s.emit(PeerOut{p, PeerMsg{Kind: MsgRestarted, Ask: s.cfg.Boot}})
		}
	}
}

// freed notes a peer's answer to hello.
func (s *State) freed(p *peerState) {
	p.free = true
	for _, o := range s.peers {
		if !o.free {
			return
		}
	}
	if !s.voter.Awake(s.now) {
		s.log(slog.LevelInfo, "no promise of an earlier life is counted on")
		s.voter.Wake()
	}
}

// vouch lets this node support a candidate though it has just started and
// has forgotten its promises. Waiting them out cost the workers a fifth of
// their lease after a crash, while another controller was out of reach and
// couldn't say that it counts on none of them. See the package election for
// why the conditions suffice: the term's version was read since the start, and
// its holder is this node's own earlier life or has said that it is free.
func (s *State) vouch(node string, term, stamp uint64) {
	if s.voter.Awake(s.now) || !s.loaded || stamp != s.termStamp {
		return
	}
	if p := s.peers[s.termNode]; s.termStamp == 0 || s.termNode == s.cfg.Self || p != nil && p.free {
		s.voter.Vouch(node, term)
	}
}

// releaseEarlierLife ends at once what is left of a leadership that this node had
// before it started anew: its key, and the promises given to it. Nobody acts
// on them any more, and waiting them out would cost the workers their leases.
func (s *State) releaseEarlierLife() {
	if s.leaderNode != s.cfg.Self || s.leadership != nil {
		return
	}
	if s.leaderLease != 0 {
		s.store(StoreCall{Op: StoreRevoke, Lease: s.leaderLease}, func(StoreDone) {})
	}
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgRelease, Term: s.leaderTerm}})
	}
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

// advanceCampaign gathers promises and the key.
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
	t := s.leadership
	if t.Stamp != s.termStamp {
		// Promises were given for the version before.
		s.stepDown("another term was won meanwhile")
		return
	}
	if s.leaseID == 0 {
		s.winningKey = true
		sent := s.now
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
		return
	}
	s.winningKey = true
	sent := s.leaseRequestedAt
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
			s.log(slog.LevelDebug, "key not won", "term", t.Term, "status", d.Status, "failed", d.Failed)
			if d.Status == 409 {
				// Another was faster, or this copy of the state is not what it
				// should be: read it anew rather than fail for ever.
				s.loaded = false
			}
			s.stepDown("key not won")
			return
		}
		// Before the term is applied: else it would look won by another.
		s.firstTerm = t.Stamp == 0 // nobody has led before
		s.electedAt, s.electedRev = s.now, d.Rev
		s.apply(Item{Key: keyTerm, Value: raw(termValue{t.Term, s.cfg.Self}), Stamp: d.Rev})
		s.apply(Item{Key: keyLeader, Value: raw(leaderValue{s.cfg.Self, t.Term, s.leaseID}), Stamp: d.Rev})
		s.requestVotesAt, s.renewAt = 0, s.now
		s.log(slog.LevelInfo, "elected", "term", t.Term)
		s.catchUp()
	})
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

// peer takes a message from another controller.
func (s *State) peer(from string, m PeerMsg) {
	p := s.peers[from]
	if p == nil {
		return
	}
	switch m.Kind {
	case MsgRestarted:
		if s.leadership != nil && (s.electedAt != 0 || s.winningKey) {
			return // it is counted on, perhaps: let it sleep
		}
		if s.leadership != nil {
			// Promises that are still on their way here die with the
			// candidacy that asked for them.
			s.stepDown("a supporter has started anew")
		}
		s.emit(PeerOut{from, PeerMsg{Kind: MsgFree, Ask: m.Ask}})
	case MsgFree:
		// Only an answer to this life's question counts.
		if m.Ask == s.cfg.Boot {
			s.freed(p)
		}
	case MsgVoteRequest:
		p.storeOK, p.heard = m.StoreOK, s.now
		s.heardVersion(from, m.Version)
		if m.Rev != 0 && m.Term >= s.term {
			s.shared(m.Rev)
		}
		cut := false
		if m.StoreAge > s.storeGap() && s.storeAge() < s.storeGap()/2 && s.contact-s.okSince > s.storeGap()/2 {
			// The claimant has lost the state service and this node has not.
			cut = true
			s.log(slog.LevelInfo, "refusing support to a leader without the state service", "leader", from, "term", m.Term, "its_age", m.StoreAge, "own_age", s.storeAge())
		}
		if s.leadership != nil && s.electedAt == 0 && !s.winningKey && !cut && m.StoreOK &&
			(m.Term > s.leadership.Term || m.Term == s.leadership.Term && from < s.cfg.Self) {
			// Two candidates, each bound to itself, would wait for one
			// another's promises until both give up.
			s.stepDown("another candidate goes first")
		}
		s.vouch(from, m.Term, m.Stamp)
		granted := !cut && m.Term >= s.term && s.voter.Grant(s.now, from, m.Term)
		reply := PeerMsg{Kind: MsgPromise, Ask: m.Ask, Version: s.cfg.Version, Term: m.Term, Sent: m.Sent, Granted: granted, Cut: cut,
			StoreOK: s.storeOK(), Top: max(s.term, s.voter.Top())}
		if granted {
			p.life = m.Ask
			s.leaseRead(m, &reply)
		}
		s.emit(PeerOut{from, reply})
	case MsgPromise:
		p.storeOK, p.heard, p.top = m.StoreOK, s.now, m.Top
		s.heardVersion(from, m.Version)
		if s.leadership == nil || s.leadership.Term != m.Term || m.Ask != s.cfg.Boot {
			// A late answer to an earlier life tells the time of another clock:
			// counted, it would support this one for as long as that had run.
			return
		}
		if m.Granted {
			s.leadership.Promised(s.now, from, m.Sent)
			s.readLeased(from, m)
			if s.electedAt == 0 {
				s.advanceCampaign()
			}
		} else if m.Cut {
			// Only this kind of refusal: a peer that is bound to another for
			// a while says nothing about the state service.
			p.refusedAt = s.now
		} else if s.electedAt == 0 && !s.winningKey {
			s.outvoted(p)
		}
	case MsgRelease:
		if m.Ask == 0 || m.Ask == p.life {
			s.voter.Release(from, m.Term)
		}
	case MsgCancelled:
		s.learn(from, m.Counts)
	case MsgKnown:
		s.acknowledged(m)
	case MsgUnanswered:
		s.takenFrom(m)
	case MsgNudge:
		s.apply(Item{Key: m.Key, Value: m.Value, Stamp: m.Stamp})
	case MsgCounts:
		for id, n := range m.Counts {
			if j := s.active[id]; j != nil {
				j.running = n
			}
		}
	case MsgAsk:
		s.askedBy(from, m)
	case MsgAnswer:
		s.answered(m)
	}
}

// leaderName is the node that leads as far as this one knows.
func (s *State) leaderName() string {
	if s.leadership != nil && s.electedAt != 0 {
		return s.cfg.Self
	}
	if node, bound := s.voter.Bound(s.now); bound && node != s.cfg.Self {
		return node
	}
	if s.leaderNode != s.cfg.Self {
		return s.leaderNode
	}
	return ""
}

// LeadingAt says whether this node may act as leader at now. It changes
// nothing: a test can ask without ending what has lapsed.
func (s *State) LeadingAt(now time.Duration) bool {
	return s.leadership != nil && s.ready && s.electedAt != 0 && now < s.leadership.Until()
}
