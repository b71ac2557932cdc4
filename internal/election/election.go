// Package election decides which controller may act as leader, with which
// term and until when. It reads no clock: callers pass in monotonic time.
//
// The state service holds a term key with the last term that was won, and a
// leader key, which exists only as long as the leader renews the key's lease.
//
// The leader of a term may act while at least one of two conditions holds:
// (A) its leader key certainly exists, or (B) promises of a majority of all
// controllers to support no other controller are in force. The durations of both
// are counted from the sending of the request that obtained them, and both are
// shortened by the clock drift. A candidate first needs promises from a majority
// and then creates the leader key, on the precondition that the term key has not
// changed since the campaign began. Then neither condition holds for the former
// leader. Not (A): the key can be created only once the former leader's key is
// gone. Not (B): a voter that has promised to support the former leader gives no
// other controller a promise until this promise has expired or was released. Any two
// majorities share a voter, so a candidate's majority includes a voter whose
// promise to the former leader is over. A right to act that has expired does not
// come back: the controller must win a new term.
//
// A process forgets its promises when it ends. After a start the voter
// therefore waits until the last promise of its previous incarnation (the
// process of this controller before the start) has expired, or until every other
// controller has said that it relies on none of them. During this startup wait
// the voter may still support a pre-approved candidate. Two conditions make that
// safe. First, the candidate will create its key on the precondition that the
// term key has the same modification revision (the revision of the state service
// at which a key was last changed) that this process has read since its start.
// Second, the controller that won the term stored there relies on no promise of
// the previous incarnation. Then no other leader can be acting, and once the
// candidate has won, no other candidate that relies on such a promise can win
// with that revision.
//
// While the state service refuses the leader, promises may keep it acting, and
// another controller may confirm to a user a cancellation that the leader does not
// learn of. The leader's view of the cancellations may therefore be no older than
// Config.MaxStaleness. For each of the other controllers, the age is counted from
// the leader's last read of the state service or from the end of the read lease that
// the other controller has granted to the leader, whichever is later; the highest of
// these ages counts. While a read lease is in force, its grantor confirms no cancellation
// that the leader has not acknowledged (as with quorum leases, whose holders
// are informed before a write is confirmed). Once the view is older, the leader
// may not act, whoever supports it.
package election

import (
	"math"
	"time"
)

// Config holds the parameters of the election. All are derived from the settings.
type Config struct {
	Self            string
	Controllers     int           // number of controllers, including this one
	KeyTTL          time.Duration // duration of the leader key's lease in the state service
	PromiseDuration time.Duration // how long a promise binds its voter
	ClockDrift      float64       // bound on the relative drift between two monotonic clocks
	// MaxStaleness is how old a leader's view of the cancellations may be (0: any
	// age). ReadLeaseDuration is how long a read lease binds its grantor.
	MaxStaleness, ReadLeaseDuration time.Duration
}

// Voter holds the promises and read leases that this controller has given.
type Voter struct {
	cfg              Config
	startupWaitUntil time.Duration // promises of the previous incarnation may bind until then
	promisedTo       string        // controller that the last promise supports
	term             uint64        // term of the last promise
	promisedUntil    time.Duration // end of the last promise
	highestTerm      uint64        // highest term that this incarnation has supported
	// The candidate that may be supported during the startup wait.
	preapprovedController string
	preapprovedTerm       uint64
	// readTerm is the highest term whose leader this incarnation has granted a
	// read lease, and readUntil the latest end of its read leases. A read lease
	// that the previous incarnation granted may bind until previousReadUntil, and
	// the term of the leader that holds it is at most previousReadTerm.
	readTerm, previousReadTerm   uint64
	readUntil, previousReadUntil time.Duration
}

// NewVoter creates a voter that starts at now. Its startup wait lasts as long as a
// promise that the previous incarnation may have given just before it ended. A read
// lease granted at that time counts as well, for a leader of any term.
func NewVoter(cfg Config, now time.Duration) *Voter {
	return &Voter{cfg: cfg, startupWaitUntil: now + cfg.lengthenForDrift(cfg.PromiseDuration), previousReadTerm: math.MaxUint64, previousReadUntil: now + cfg.lengthenForDrift(cfg.ReadLeaseDuration)}
}

// EndStartupWait ends the startup wait early. The caller has heard from every
// other controller, since this process started, that it relies on no promise of
// the previous incarnation, and so on no read lease, which only comes with a promise.
func (v *Voter) EndStartupWait() { v.startupWaitUntil, v.previousReadUntil = 0, 0 }

// GrantReadLease gives the leader of term a read lease.
func (v *Voter) GrantReadLease(now time.Duration, term uint64) {
	v.readTerm = max(v.readTerm, term)
	v.readUntil = max(v.readUntil, now+v.cfg.lengthenForDrift(v.cfg.ReadLeaseDuration))
}

// LimitPreviousReadLease records the last term that had been won when this
// process first read the state service. The previous incarnation cannot have
// granted a read lease to the leader of a later term.
func (v *Voter) LimitPreviousReadLease(term uint64) {
	v.previousReadTerm = min(v.previousReadTerm, term)
}

// HasReadLease reports whether a read lease that this voter granted binds it, given
// the last term that it knows to be won. Leases granted to leaders of lower terms
// don't count, since those leaders no longer act. A lease that the previous
// incarnation may have granted counts as granted in previousReadTerm.
func (v *Voter) HasReadLease(now time.Duration, term uint64) bool {
	return now < v.previousReadUntil && v.previousReadTerm >= term || now < v.readUntil && v.readTerm >= term
}

// Preapprove lets the voter support the controller's campaign for term during the
// startup wait. The caller has checked the two conditions in the package comment.
func (v *Voter) Preapprove(controller string, term uint64) {
	v.preapprovedController, v.preapprovedTerm = controller, term
}

// lengthenForDrift returns how long a voter or grantor must keep an obligation of
// duration d on its own clock, so that it outlasts d on the holder's clock. The
// margin is twice the drift, and a millisecond.
func (c Config) lengthenForDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*2*c.ClockDrift) + time.Millisecond
}

// Grant promises to support the controller in term and returns true. It returns false
// if the startup wait (unless the campaign is pre-approved), a promise to another
// controller or support for a higher term forbids that.
func (v *Voter) Grant(now time.Duration, controller string, term uint64) bool {
	if now < v.startupWaitUntil && (controller != v.preapprovedController || term != v.preapprovedTerm) || term < v.highestTerm {
		return false
	}
	if controller != v.promisedTo && now < v.promisedUntil {
		return false
	}
	v.promisedTo, v.term, v.highestTerm = controller, term, term
	v.promisedUntil = now + v.cfg.lengthenForDrift(v.cfg.PromiseDuration)
	return true
}

// Release ends the promise to the controller early. The controller has said that it
// no longer acts in any term up to and including term.
func (v *Voter) Release(controller string, term uint64) {
	if v.promisedTo == controller && v.term <= term {
		v.promisedUntil = 0
	}
}

// PromisedTo returns the controller that this voter last promised to support, and
// whether that promise is in force at now.
func (v *Voter) PromisedTo(now time.Duration) (string, bool) {
	return v.promisedTo, now < v.promisedUntil
}

// IsStartupWaitOver reports whether the startup wait is over at now.
func (v *Voter) IsStartupWaitOver(now time.Duration) bool { return now >= v.startupWaitUntil }

// HighestTerm returns the highest term that this voter has supported since its start.
func (v *Voter) HighestTerm() uint64 { return v.highestTerm }

// Leadership is a campaign for one term, and the leadership that follows once
// the campaign has won.
type Leadership struct {
	cfg  Config
	Term uint64
	// TermModRevision is the modification revision of the term key when the
	// campaign began. Winning the leader key has it as a precondition, and
	// requests for promises carry it.
	TermModRevision   uint64
	campaignStartedAt time.Duration
	keyRequestedAt    time.Duration // when the last request that created or renewed the key's lease was sent
	hasKey            bool
	promises          map[string]time.Duration // by voter: when the promise was requested
	// majorityUntil is when promises of a majority may no longer be in force. It is
	// read with every event, so it is computed only when a promise arrives.
	majorityUntil   time.Duration
	lastReadAt      time.Duration            // when the last complete read of the state service was sent
	readLeasesUntil map[string]time.Duration // by grantor: when its read lease may end
	viewValidUntil  time.Duration            // the view of the cancellations is recent enough until then
	elected         bool
	ended           bool
}

// NewLeadership starts a campaign for term at now. termModRevision is the
// modification revision of the term key, which still holds the previous term.
func NewLeadership(cfg Config, now time.Duration, term, termModRevision uint64) *Leadership {
	return &Leadership{cfg: cfg, Term: term, TermModRevision: termModRevision, campaignStartedAt: now, promises: map[string]time.Duration{}, readLeasesUntil: map[string]time.Duration{}}
}

// RecordRead records a complete read of the state service that was sent at sentAt.
func (l *Leadership) RecordRead(sentAt time.Duration) {
	l.lastReadAt = max(l.lastReadAt, sentAt)
	l.updateViewValidity()
}

// RecordReadLease records a read lease that another controller has granted and
// that was requested at requestedAt. grantorStartedAt is the latest time at which the
// grantor's process can have started. grantorLoaded means that the grantor has
// read the whole state since its start, and so has also reported what its
// previous incarnation confirmed. If it has not, the lease is ignored when the
// grantor may have started after both the last read and the end of its previous
// read lease: no other controller can report what the previous incarnation
// confirmed in between.
func (l *Leadership) RecordReadLease(controller string, requestedAt, grantorStartedAt time.Duration, grantorLoaded bool) {
	if !grantorLoaded && grantorStartedAt > max(l.lastReadAt, l.readLeasesUntil[controller]) {
		return
	}
	l.readLeasesUntil[controller] = max(l.readLeasesUntil[controller], requestedAt+l.shortenForDrift(l.cfg.ReadLeaseDuration))
	l.updateViewValidity()
}

// updateViewValidity computes until when the leader's view is recent enough. Read
// leases count only if every other controller has granted one. The first of
// them to end then bounds the view, unless the last read is later.
func (l *Leadership) updateViewValidity() {
	viewedAt := l.lastReadAt
	if len(l.readLeasesUntil) == l.cfg.Controllers-1 && l.cfg.Controllers > 1 {
		first := true
		for _, until := range l.readLeasesUntil {
			if first || until < viewedAt {
				viewedAt, first = until, false
			}
		}
		viewedAt = max(viewedAt, l.lastReadAt)
	}
	l.viewValidUntil = viewedAt + l.shortenForDrift(l.cfg.MaxStaleness)
}

// ViewValidUntil returns the time until which the leader's view is recent enough.
func (l *Leadership) ViewValidUntil() time.Duration { return l.viewValidUntil }

// RecordPromise records a controller's promise that was requested at requestedAt. It
// ignores the promise if the campaign or leadership has ended.
func (l *Leadership) RecordPromise(now time.Duration, controller string, requestedAt time.Duration) {
	// A promise that an earlier campaign requested doesn't count: the voter may
	// have been released from that promise since.
	if l.expireIfDue(now) || requestedAt < l.campaignStartedAt {
		return
	}
	if previous, ok := l.promises[controller]; !ok || requestedAt > previous {
		l.promises[controller] = requestedAt
		l.majorityUntil = l.computeMajorityUntil()
	}
}

// ConfirmElection records that the leader key was created for this term, under a
// lease that was requested at leaseRequestedAt. If the majority of promises has
// expired meanwhile, it ends the campaign and returns false: without them nothing
// shows that the former leader has stopped.
func (l *Leadership) ConfirmElection(now, leaseRequestedAt time.Duration) bool {
	if l.ended || now >= l.majorityUntil {
		l.ended = true
		return false
	}
	l.elected, l.hasKey, l.keyRequestedAt = true, true, leaseRequestedAt
	// The leader acts only after it has read the state as of its election, so
	// its view counts as read now.
	l.RecordRead(now)
	return true
}

// RecordRenewal records that the leader key was renewed by a request that was sent
// at requestedAt.
func (l *Leadership) RecordRenewal(now, requestedAt time.Duration) {
	if l.expireIfDue(now) {
		return
	}
	if !l.hasKey || requestedAt > l.keyRequestedAt {
		l.hasKey, l.keyRequestedAt = true, requestedAt
	}
}

// RecordKeyLoss records that the state service no longer holds the leader key.
func (l *Leadership) RecordKeyLoss() { l.hasKey = false }

// shortenForDrift returns how long a holder may rely on an obligation of duration d by
// its own clock, so that it stops before d has passed on the clock of the giver.
func (l *Leadership) shortenForDrift(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*2*l.cfg.ClockDrift) - time.Millisecond
}

// KeyValidUntil returns the earliest time at which the leader key may expire, or 0 if
// the key is not known to exist.
func (l *Leadership) KeyValidUntil() time.Duration {
	if !l.hasKey {
		return 0
	}
	return l.keyRequestedAt + l.shortenForDrift(l.cfg.KeyTTL)
}

// computeMajorityUntil returns until when promises of a majority are in force, or
// 0 if fewer controllers have given one.
func (l *Leadership) computeMajorityUntil() time.Duration {
	quorum := l.cfg.Controllers/2 + 1
	if len(l.promises) < quorum {
		return 0
	}
	// The request times are sorted, latest first. Of the quorum latest promises, the
	// last one in this order ends first.
	requestTimes := make([]time.Duration, 0, len(l.promises))
	for _, requestedAt := range l.promises {
		position := len(requestTimes)
		requestTimes = append(requestTimes, requestedAt)
		for position > 0 && requestTimes[position-1] < requestedAt {
			requestTimes[position] = requestTimes[position-1]
			position--
		}
		requestTimes[position] = requestedAt
	}
	return requestTimes[quorum-1] + l.shortenForDrift(l.cfg.PromiseDuration)
}

// HasMajority reports whether promises of a majority are in force at now.
func (l *Leadership) HasMajority(now time.Duration) bool { return now < l.majorityUntil }

// ValidUntil returns the time until which this leadership may act, as far as is
// known now.
func (l *Leadership) ValidUntil() time.Duration {
	if !l.elected || l.ended {
		return 0
	}
	until := max(l.KeyValidUntil(), l.majorityUntil)
	// Without other controllers, no cancellation can be confirmed elsewhere.
	if l.cfg.MaxStaleness > 0 && l.cfg.Controllers > 1 {
		until = min(until, l.viewValidUntil)
	}
	return until
}

// expireIfDue ends an elected leadership whose right to act has expired at now. It
// reports whether the campaign or leadership has ended.
func (l *Leadership) expireIfDue(now time.Duration) bool {
	if l.elected && now >= l.ValidUntil() {
		l.ended = true
	}
	return l.ended
}

// CanAct reports whether this leadership may act at now. If an elected leadership may
// not, the call ends it: it may never act again.
func (l *Leadership) CanAct(now time.Duration) bool {
	return l.elected && !l.expireIfDue(now)
}

// End ends the campaign or leadership for good.
func (l *Leadership) End() { l.ended = true }
