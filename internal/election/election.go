// Package election decides who may act for the controllers, until when, and
// with which term. It is pure: callers hand in the steady clock.
//
// A leader of a term may act while (A) its leased key in the state service is
// surely alive, or (B) a majority of all controllers has promised to support
// no other. Both are counted from the sending of the request that won them
// and shortened by clock drift. A candidate needs a majority of promises and
// then the key, created under a guard on the term. A supporter of the former
// leader gives no promise before its own has run out, so the two majorities
// meet in a controller for which the former leader's promise is over; and the
// key can be created only once the former leader's lease has ended.
// Entitlement that has lapsed once is gone for good: the term must be won
// anew.
//
// A process forgets its promises when it ends. It therefore sleeps after a
// start until the longest of them has run out, or until every other
// controller has said that it holds none that it counts on. Asleep, it may
// still support a candidate whose key will be guarded by the very version of
// the term that this process has read since its start, if the holder of that
// term counts on none of its earlier promises: no other leader can be acting,
// and no other candidate that counts on them can win that version any more
// once this one has.
//
// A leader that the state service refuses may be carried on by promises while
// another controller confirms cancellations that it never hears of. Its view
// may therefore be no older than Config.Staleness, counted for each of the
// others from the last read of the state service, or from the end of a read
// lease: while that is in force, its grantor confirms no cancellation that the
// leader hasn't acknowledged (as the holders of quorum leases are told before
// a write is). Beyond that the leader may not act, whoever supports it.
package election

import (
	"math"
	"time"
)

// Config holds the times of the election, all derived from the settings.
type Config struct {
	Self            string
	Nodes           int           // all controllers, this one included
	KeyTTL          time.Duration // life of the leader's lease in the state service
	PromiseDuration time.Duration // how long a supporter binds itself
	ClockDrift      float64       // relative drift between two steady clocks
	// MaxStaleness is how old a leader's view of the cancellations may be (0: any
	// age), ReadLease how long a grantor binds itself.
	MaxStaleness, ReadLeaseDuration time.Duration
}

// Voter is the supporting side: what this controller has promised.
type Voter struct {
	cfg              Config
	startupWaitUntil time.Duration // promises of an earlier life may bind until here
	promisedTo       string
	term             uint64
	promisedUntil    time.Duration
	highestTerm      uint64 // highest term ever supported
	// The candidate that may be supported while asleep.
	preapprovedNode string
	preapprovedTerm uint64
	// Read leases given: to the leader of a term, and for how long; and until
	// when one that an earlier life gave may bind, to the leader of which term
	// at the latest.
	readTerm, previousReadTerm   uint64
	readUntil, previousReadUntil time.Duration
}

// NewVoter starts a voter at now. Its first promise waits for the longest one
// that the process before it may have given and forgotten.
func NewVoter(cfg Config, now time.Duration) *Voter {
	return &Voter{cfg: cfg, startupWaitUntil: now + cfg.lengthenForDrift(cfg.PromiseDuration), previousReadTerm: math.MaxUint64, previousReadUntil: now + cfg.lengthenForDrift(cfg.ReadLeaseDuration)}
}

// EndStartupWait ends the sleep after a start early: every other controller has said,
// since this process began, that it counts on no promise of an earlier life.
func (v *Voter) EndStartupWait() { v.startupWaitUntil, v.previousReadUntil = 0, 0 }

// GrantReadLease gives the leader of term a read lease.
func (v *Voter) GrantReadLease(now time.Duration, term uint64) {
	v.readTerm = max(v.readTerm, term)
	v.readUntil = max(v.readUntil, now+v.cfg.lengthenForDrift(v.cfg.ReadLeaseDuration))
}

// LimitPreviousReadLease says that term was the last one won when this process first read the
// state service: its earlier life can have given no read lease to a later one.
func (v *Voter) LimitPreviousReadLease(term uint64) {
	v.previousReadTerm = min(v.previousReadTerm, term)
}

// HasReadLease says whether a read lease binds this voter, which knows that term
// has been won: the leaders of terms before don't act any more. One that a
// process forgot when it ended counts as given to whoever led then.
func (v *Voter) HasReadLease(now time.Duration, term uint64) bool {
	return now < v.previousReadUntil && v.previousReadTerm >= term || now < v.readUntil && v.readTerm >= term
}

// Preapprove lets the voter support node's candidacy for term while it sleeps. The
// caller has made sure of what the package comment demands.
func (v *Voter) Preapprove(node string, term uint64) {
	v.preapprovedNode, v.preapprovedTerm = node, term
}

func (c Config) lengthenForDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*2*c.ClockDrift) + time.Millisecond
}

// Grant promises node support for term, if no other promise stands against it.
func (v *Voter) Grant(now time.Duration, node string, term uint64) bool {
	if now < v.startupWaitUntil && (node != v.preapprovedNode || term != v.preapprovedTerm) || term < v.highestTerm {
		return false
	}
	if node != v.promisedTo && now < v.promisedUntil {
		return false
	}
	v.promisedTo, v.term, v.highestTerm = node, term, term
	v.promisedUntil = now + v.cfg.lengthenForDrift(v.cfg.PromiseDuration)
	return true
}

// Release ends the promise to node early: the node has said that it no longer
// acts in any term up to term.
func (v *Voter) Release(node string, term uint64) {
	if v.promisedTo == node && v.term <= term {
		v.promisedUntil = 0
	}
}

// PromisedTo names the node that this voter supports now, if any.
func (v *Voter) PromisedTo(now time.Duration) (string, bool) {
	return v.promisedTo, now < v.promisedUntil
}

// CanPromise says whether this voter may give promises at all.
func (v *Voter) CanPromise(now time.Duration) bool { return now >= v.startupWaitUntil }

// HighestTerm is the highest term that this voter has supported.
func (v *Voter) HighestTerm() uint64 { return v.highestTerm }

// Leadership is the acting side: a candidacy that may become leadership.
type Leadership struct {
	cfg  Config
	Term uint64
	// TermModRevision is the version of the term before, as known when the candidacy
	// began: the key is won under a guard on it, and promises name it.
	TermModRevision   uint64
	campaignStartedAt time.Duration
	keyRequestedAt    time.Duration // sending of the request that last renewed the key
	hasKey            bool
	promises          map[string]time.Duration // by supporter: sending of the request
	// majorityUntil is when the last majority of them may end: asked for with every
	// event, and worked out only when a promise comes.
	majorityUntil   time.Duration
	lastReadAt      time.Duration            // sending of the last complete read of the state service
	readLeasesUntil map[string]time.Duration // by grantor: when its read lease may end
	viewValidUntil  time.Duration            // the view is recent enough until here
	elected         bool
	ended           bool
}

// NewLeadership starts a candidacy for term at now; stamp is the version of the
// term before.
func NewLeadership(cfg Config, now time.Duration, term, stamp uint64) *Leadership {
	return &Leadership{cfg: cfg, Term: term, TermModRevision: stamp, campaignStartedAt: now, promises: map[string]time.Duration{}, readLeasesUntil: map[string]time.Duration{}}
}

// RecordRead notes a complete read of the state service that was sent at sent.
func (t *Leadership) RecordRead(sent time.Duration) {
	t.lastReadAt = max(t.lastReadAt, sent)
	t.updateViewValidity()
}

// RecordReadLease notes a read lease that node has granted, asked for at sent. Born
// is the latest time at which the grantor's process can have begun, Loaded says
// that the grantor has told of all that was confirmed before that too: what its
// earlier life confirmed after its own last read lease, nobody else can tell.
func (t *Leadership) RecordReadLease(node string, sent, born time.Duration, loaded bool) {
	if !loaded && born > max(t.lastReadAt, t.readLeasesUntil[node]) {
		return
	}
	t.readLeasesUntil[node] = max(t.readLeasesUntil[node], sent+t.shortenForDrift(t.cfg.ReadLeaseDuration))
	t.updateViewValidity()
}

func (t *Leadership) updateViewValidity() {
	oldest := t.lastReadAt
	if len(t.readLeasesUntil) == t.cfg.Nodes-1 && t.cfg.Nodes > 1 {
		first := true
		for _, until := range t.readLeasesUntil {
			if first || until < oldest {
				oldest, first = until, false
			}
		}
		oldest = max(oldest, t.lastReadAt)
	}
	t.viewValidUntil = oldest + t.shortenForDrift(t.cfg.MaxStaleness)
}

// ViewValidUntil is until when the view is recent enough.
func (t *Leadership) ViewValidUntil() time.Duration { return t.viewValidUntil }

// RecordPromise notes a supporter's promise; sent is when it was asked for.
func (t *Leadership) RecordPromise(now time.Duration, node string, sent time.Duration) {
	// A promise that was asked for by an earlier candidacy doesn't count: its
	// giver may have been told since that nobody relies on it.
	if t.expireIfDue(now) || sent < t.campaignStartedAt {
		return
	}
	if old, ok := t.promises[node]; !ok || sent > old {
		t.promises[node] = sent
		t.majorityUntil = t.computeMajorityUntil()
	}
}

// ConfirmElection notes that the key was created under this term, by a request sent
// at sent. It fails when the promises have run out in the meantime: without
// them nothing shows that the former leader has stopped.
func (t *Leadership) ConfirmElection(now, sent time.Duration) bool {
	if t.ended || now >= t.majorityUntil {
		t.ended = true
		return false
	}
	t.elected, t.hasKey, t.keyRequestedAt = true, true, sent
	// It doesn't act before it has read all that was there when it was elected.
	t.RecordRead(now)
	return true
}

// RecordRenewal notes that the leased key was renewed by a request sent at sent.
func (t *Leadership) RecordRenewal(now, sent time.Duration) {
	if t.expireIfDue(now) {
		return
	}
	if !t.hasKey || sent > t.keyRequestedAt {
		t.hasKey, t.keyRequestedAt = true, sent
	}
}

// RecordKeyLoss notes that the state service no longer holds our key.
func (t *Leadership) RecordKeyLoss() { t.hasKey = false }

func (t *Leadership) shortenForDrift(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*2*t.cfg.ClockDrift) - time.Millisecond
}

// KeyValidUntil is when the leased key may end.
func (t *Leadership) KeyValidUntil() time.Duration {
	if !t.hasKey {
		return 0
	}
	return t.keyRequestedAt + t.shortenForDrift(t.cfg.KeyTTL)
}

// computeMajorityUntil is when the last majority of promises may end.
func (t *Leadership) computeMajorityUntil() time.Duration {
	need := t.cfg.Nodes/2 + 1
	if len(t.promises) < need {
		return 0
	}
	// The need-th youngest promise bounds the majority.
	sent := make([]time.Duration, 0, len(t.promises))
	for _, s := range t.promises {
		at := len(sent)
		sent = append(sent, s)
		for at > 0 && sent[at-1] < s {
			sent[at] = sent[at-1]
			at--
		}
		sent[at] = s
	}
	return sent[need-1] + t.shortenForDrift(t.cfg.PromiseDuration)
}

// HasMajority says whether a majority of promises stands at now.
func (t *Leadership) HasMajority(now time.Duration) bool { return now < t.majorityUntil }

// ValidUntil is the time up to which this leadership may act as far as is known.
func (t *Leadership) ValidUntil() time.Duration {
	if !t.elected || t.ended {
		return 0
	}
	until := max(t.KeyValidUntil(), t.majorityUntil)
	if t.cfg.MaxStaleness > 0 && t.cfg.Nodes > 1 {
		until = min(until, t.viewValidUntil)
	}
	return until
}

// expireIfDue ends an elected leadership whose entitlement has run out.
func (t *Leadership) expireIfDue(now time.Duration) bool {
	if t.elected && now >= t.ValidUntil() {
		t.ended = true
	}
	return t.ended
}

// CanAct says whether this leadership may act at now. Once it may not, it never
// may again.
func (t *Leadership) CanAct(now time.Duration) bool {
	return t.elected && !t.expireIfDue(now)
}

// End gives the leadership up.
func (t *Leadership) End() { t.ended = true }
