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
	Self    string
	Nodes   int           // all controllers, this one included
	KeyLife time.Duration // life of the leader's lease in the state service
	Promise time.Duration // how long a supporter binds itself
	Drift   float64       // relative drift between two steady clocks
	// Staleness is how old a leader's view of the cancellations may be (0: any
	// age), ReadLease how long a grantor binds itself.
	Staleness, ReadLease time.Duration
}

// Voter is the supporting side: what this controller has promised.
type Voter struct {
	cfg    Config
	wakeAt time.Duration // promises of an earlier life may bind until here
	node   string
	term   uint64
	until  time.Duration
	top    uint64 // highest term ever supported
	// The candidate that may be supported while asleep.
	vouchedNode string
	vouchedTerm uint64
	// Read leases given: to the leader of a term, and for how long; and until
	// when one that an earlier life gave may bind, to the leader of which term
	// at the latest.
	readTerm, oldTerm  uint64
	readUntil, oldRead time.Duration
}

// NewVoter starts a voter at now. Its first promise waits for the longest one
// that the process before it may have given and forgotten.
func NewVoter(cfg Config, now time.Duration) *Voter {
	return &Voter{cfg: cfg, wakeAt: now + cfg.stretch(cfg.Promise), oldTerm: math.MaxUint64, oldRead: now + cfg.stretch(cfg.ReadLease)}
}

// Wake ends the sleep after a start early: every other controller has said,
// since this process began, that it counts on no promise of an earlier life.
func (v *Voter) Wake() { v.wakeAt, v.oldRead = 0, 0 }

// GrantRead gives the leader of term a read lease.
func (v *Voter) GrantRead(now time.Duration, term uint64) {
	v.readTerm = max(v.readTerm, term)
	v.readUntil = max(v.readUntil, now+v.cfg.stretch(v.cfg.ReadLease))
}

// Since says that term was the last one won when this process first read the
// state service: its earlier life can have given no read lease to a later one.
func (v *Voter) Since(term uint64) { v.oldTerm = min(v.oldTerm, term) }

// ReadLeased says whether a read lease binds this voter, which knows that term
// has been won: the leaders of terms before don't act any more. One that a
// process forgot when it ended counts as given to whoever led then.
func (v *Voter) ReadLeased(now time.Duration, term uint64) bool {
	return now < v.oldRead && v.oldTerm >= term || now < v.readUntil && v.readTerm >= term
}

// Vouch lets the voter support node's candidacy for term while it sleeps. The
// caller has made sure of what the package comment demands.
func (v *Voter) Vouch(node string, term uint64) { v.vouchedNode, v.vouchedTerm = node, term }

func (c Config) stretch(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*2*c.Drift) + time.Millisecond
}

// Grant promises node support for term, if no other promise stands against it.
func (v *Voter) Grant(now time.Duration, node string, term uint64) bool {
	if now < v.wakeAt && (node != v.vouchedNode || term != v.vouchedTerm) || term < v.top {
		return false
	}
	if node != v.node && now < v.until {
		return false
	}
	v.node, v.term, v.top = node, term, term
	v.until = now + v.cfg.stretch(v.cfg.Promise)
	return true
}

// Release ends the promise to node early: the node has said that it no longer
// acts in any term up to term.
func (v *Voter) Release(node string, term uint64) {
	if v.node == node && v.term <= term {
		v.until = 0
	}
}

// Bound names the node that this voter supports now, if any.
func (v *Voter) Bound(now time.Duration) (string, bool) {
	return v.node, now < v.until
}

// Awake says whether this voter may give promises at all.
func (v *Voter) Awake(now time.Duration) bool { return now >= v.wakeAt }

// Top is the highest term that this voter has supported.
func (v *Voter) Top() uint64 { return v.top }

// Leadership is the acting side: a candidacy that may become leadership.
type Leadership struct {
	cfg  Config
	Term uint64
	// Stamp is the version of the term before, as known when the candidacy
	// began: the key is won under a guard on it, and promises name it.
	Stamp   uint64
	began   time.Duration
	keySent time.Duration // sending of the request that last renewed the key
	hasKey  bool
	support map[string]time.Duration // by supporter: sending of the request
	// majority is when the last majority of them may end: asked for with every
	// event, and worked out only when a promise comes.
	majority time.Duration
	read     time.Duration            // sending of the last complete read of the state service
	leases   map[string]time.Duration // by grantor: when its read lease may end
	current  time.Duration            // the view is recent enough until here
	elected  bool
	ended    bool
}

// NewLeadership starts a candidacy for term at now; stamp is the version of the
// term before.
func NewLeadership(cfg Config, now time.Duration, term, stamp uint64) *Leadership {
	return &Leadership{cfg: cfg, Term: term, Stamp: stamp, began: now, support: map[string]time.Duration{}, leases: map[string]time.Duration{}}
}

// Read notes a complete read of the state service that was sent at sent.
func (t *Leadership) Read(sent time.Duration) {
	t.read = max(t.read, sent)
	t.refresh()
}

// LeasedRead notes a read lease that node has granted, asked for at sent. Born
// is the latest time at which the grantor's process can have begun, Loaded says
// that the grantor has told of all that was confirmed before that too: what its
// earlier life confirmed after its own last read lease, nobody else can tell.
func (t *Leadership) LeasedRead(node string, sent, born time.Duration, loaded bool) {
	if !loaded && born > max(t.read, t.leases[node]) {
		return
	}
	t.leases[node] = max(t.leases[node], sent+t.shrink(t.cfg.ReadLease))
	t.refresh()
}

func (t *Leadership) refresh() {
	oldest := t.read
	if len(t.leases) == t.cfg.Nodes-1 && t.cfg.Nodes > 1 {
		first := true
		for _, until := range t.leases {
			if first || until < oldest {
				oldest, first = until, false
			}
		}
		oldest = max(oldest, t.read)
	}
	t.current = oldest + t.shrink(t.cfg.Staleness)
}

// Current is until when the view is recent enough.
func (t *Leadership) Current() time.Duration { return t.current }

// Promised notes a supporter's promise; sent is when it was asked for.
func (t *Leadership) Promised(now time.Duration, node string, sent time.Duration) {
	// A promise that was asked for by an earlier candidacy doesn't count: its
	// giver may have been told since that nobody relies on it.
	if t.lapsed(now) || sent < t.began {
		return
	}
	if old, ok := t.support[node]; !ok || sent > old {
		t.support[node] = sent
		t.majority = t.lastMajority()
	}
}

// Elected notes that the key was created under this term, by a request sent
// at sent. It fails when the promises have run out in the meantime: without
// them nothing shows that the former leader has stopped.
func (t *Leadership) Elected(now, sent time.Duration) bool {
	if t.ended || now >= t.majority {
		t.ended = true
		return false
	}
	t.elected, t.hasKey, t.keySent = true, true, sent
	// It doesn't act before it has read all that was there when it was elected.
	t.Read(now)
	return true
}

// Renewed notes that the leased key was renewed by a request sent at sent.
func (t *Leadership) Renewed(now, sent time.Duration) {
	if t.lapsed(now) {
		return
	}
	if !t.hasKey || sent > t.keySent {
		t.hasKey, t.keySent = true, sent
	}
}

// KeyLost notes that the state service no longer holds our key.
func (t *Leadership) KeyLost() { t.hasKey = false }

func (t *Leadership) shrink(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*2*t.cfg.Drift) - time.Millisecond
}

// KeyUntil is when the leased key may end.
func (t *Leadership) KeyUntil() time.Duration {
	if !t.hasKey {
		return 0
	}
	return t.keySent + t.shrink(t.cfg.KeyLife)
}

// lastMajority is when the last majority of promises may end.
func (t *Leadership) lastMajority() time.Duration {
	need := t.cfg.Nodes/2 + 1
	if len(t.support) < need {
		return 0
	}
	// The need-th youngest promise bounds the majority.
	sent := make([]time.Duration, 0, len(t.support))
	for _, s := range t.support {
		at := len(sent)
		sent = append(sent, s)
		for at > 0 && sent[at-1] < s {
			sent[at] = sent[at-1]
			at--
		}
		sent[at] = s
	}
	return sent[need-1] + t.shrink(t.cfg.Promise)
}

// Supported says whether a majority of promises stands at now.
func (t *Leadership) Supported(now time.Duration) bool { return now < t.majority }

// Until is the time up to which this leadership may act as far as is known.
func (t *Leadership) Until() time.Duration {
	if !t.elected || t.ended {
		return 0
	}
	until := max(t.KeyUntil(), t.majority)
	if t.cfg.Staleness > 0 && t.cfg.Nodes > 1 {
		until = min(until, t.current)
	}
	return until
}

// lapsed ends an elected leadership whose entitlement has run out.
func (t *Leadership) lapsed(now time.Duration) bool {
	if t.elected && now >= t.Until() {
		t.ended = true
	}
	return t.ended
}

// Entitled says whether this leadership may act at now. Once it may not, it never
// may again.
func (t *Leadership) Entitled(now time.Duration) bool {
	return t.elected && !t.lapsed(now)
}

// End gives the leadership up.
func (t *Leadership) End() { t.ended = true }
