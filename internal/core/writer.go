package core

import (
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// write is one guarded change on its way to the state service.
type write struct {
	change      Change
	modRevision uint64 // version that the key must have
	leaderTerm  uint64 // term whose leadership backs it; 0: any node may
	deadline    time.Duration
	done        func(outcome)
	alsoRemove  []Change // removed along with it
	class       writeClass
	isObsolete  func() bool // no longer wanted, if set
}

// writeClass is the order in which changes go out: no user waits behind the
// leader's bulk.
type writeClass int

const (
	classUser   writeClass = iota
	classJobEnd            // of jobs: users wait for that too
	classRegistry
	classBitmap
)

type outcome int

const (
	written  outcome = iota // durable
	conflict                // the key has changed; the replica shows how
	failed                  // not known to be durable; nothing more is tried
)

// writer coalesces changes: one transaction at a time, and whatever came up
// in the meantime goes into the next.
type writer struct {
	queue       []*write
	txnInFlight bool
	nextTxnAt   time.Duration
}

// queueWrite queues a change, guarded by the version that the replica knows.
func (s *State) queueWrite(w *write) {
	w.modRevision = s.modRevision(w.change.Key)
	s.insertWrite(w)
}

func (s *State) insertWrite(w *write) {
	at := len(s.queue)
	for at > 0 && s.queue[at-1].class > w.class {
		at--
	}
	s.queue = slices.Insert(s.queue, at, w)
}

// setWriteRate divides the state service's write rate: the leader has bulk to
// write, the others only what users ask of them.
func (s *State) setWriteRate(leading bool) {
	n := float64(s.electionConfig.Nodes)
	part := 1 / (2 * n)
	if leading {
		part = 1 - part*(n-1)
	}
	rps := s.cfg.StoreWriteRPS * 0.95 * part
	s.writeRate.SetLimitAt(s.limiterTime(), rate.Limit(rps))
	s.writeRate.SetBurstAt(s.limiterTime(), max(1, int(rps)))
}

const maxTxnBytes = 48 << 10 // of the protocol's 64 KiB, leaving room for guards

// sendNextTxn sends the next transaction, if none is under way.
func (s *State) sendNextTxn() {
	if s.txnInFlight || len(s.queue) == 0 || s.now < s.nextTxnAt {
		return
	}
	waiting := s.queue
	s.queue = nil // what the callbacks below add is kept behind
	b := &batch{maxOps: s.cfg.MaxTxnOps, keys: map[string]bool{}}
	for _, w := range waiting {
		if s.isObsolete(w) {
			w.done(failed)
			continue
		}
		b.add(w)
	}
	late := s.queue
	s.queue = append(b.writes[:len(b.writes):len(b.writes)], b.deferred...)
	for _, w := range late {
		s.insertWrite(w)
	}
	if len(b.writes) == 0 || !s.writeRate.AllowN(s.limiterTime(), min(b.ops, s.writeRate.Burst())) || !s.storeRate.AllowN(s.limiterTime(), 1) {
		return
	}
	s.queue = s.queue[:0:0]
	for _, w := range append(b.deferred, late...) {
		s.insertWrite(w)
	}
	s.transact(b.writes, b.requiresLeadership)
}

// isObsolete says whether w is not to be tried any more: its leadership or its time
// is over, or it is no longer wanted.
func (s *State) isObsolete(w *write) bool {
	if w.leaderTerm != 0 && (!s.IsLeader() || s.leadership.Term != w.leaderTerm) {
		return true
	}
	return s.now >= w.deadline || w.isObsolete != nil && w.isObsolete()
}

// batch gathers writes for one transaction, within the state service's limits.
type batch struct {
	maxOps             int
	writes             []*write
	deferred           []*write // for the transactions to come
	ops, size          int
	requiresLeadership bool // backed by a leadership
	keys               map[string]bool
}

// add takes w into the transaction, or leaves it for a later one.
func (b *batch) add(w *write) {
	n := 1 + len(w.alsoRemove)
	full := b.ops > 0 && (b.ops+n > b.maxOps || b.size+len(w.change.Value) > maxTxnBytes)
	// A user's change must not fail with a leader's term.
	mixed := b.ops > 0 && b.requiresLeadership != (w.leaderTerm != 0)
	if full || mixed || b.keys[w.change.Key] {
		b.deferred = append(b.deferred, w)
		return
	}
	b.requiresLeadership = w.leaderTerm != 0
	b.keys[w.change.Key] = true
	b.ops += n
	b.size += len(w.change.Value) + 2*len(w.change.Key) + 64
	b.writes = append(b.writes, w)
}

func (s *State) transact(batch []*write, led bool) {
	s.txnInFlight = true
	c := StoreCall{Op: StoreTxn, Timeout: time.Second}
	if led {
		// No transaction of a former leader may succeed, however late.
		c.Preconditions = append(c.Preconditions, Precondition{keyTerm, s.termModRevision})
	}
	for _, w := range batch {
		c.Preconditions = append(c.Preconditions, Precondition{w.change.Key, w.modRevision})
		c.Changes = append(c.Changes, w.change)
		c.Changes = append(c.Changes, w.alsoRemove...)
	}
	s.callStore(c, func(d StoreResult) {
		s.txnInFlight = false
		switch d.Status {
		case 200:
			for _, w := range batch {
				s.apply(Item{Key: w.change.Key, Value: w.change.Value, ModRevision: d.Revision, Removed: w.change.Remove})
				for _, x := range w.alsoRemove {
					s.apply(Item{Key: x.Key, ModRevision: d.Revision, Removed: true})
				}
				w.done(written)
			}
		case 409:
			s.resolveConflict(batch, d.FailedKeys)
		case 400:
			s.log(slog.LevelError, "state service refused a transaction", "error", d.Err, "key", batch[0].change.Key)
			for _, w := range batch {
				w.done(failed)
			}
		default:
			// 503 and 429: not executed. No answer: perhaps executed, perhaps
			// later; the same guarded change can be tried again safely, since
			// it either wins once or shows up in the conflict.
			waiting := s.queue
			s.queue = batch
			for _, w := range waiting {
				s.insertWrite(w)
			}
			s.nextTxnAt = s.now + 100*time.Millisecond
			if d.Status == 503 {
				s.failUserWrites()
			}
		}
	})
}

// failUserWrites ends the users' waiting changes: the store refuses us for now,
// and a user is told so at once.
func (s *State) failUserWrites() {
	var rest []*write
	waiting := s.queue
	s.queue = nil
	for _, w := range waiting {
		if w.leaderTerm == 0 {
			w.done(failed)
			continue
		}
		rest = append(rest, w)
	}
	for _, w := range rest {
		s.insertWrite(w)
	}
}

// resolveConflict sorts out a transaction whose guards failed. The cause may be our
// own earlier try whose answer was lost, so the keys are read back first.
func (s *State) resolveConflict(batch []*write, keys []string) {
	bad := map[string]bool{}
	for _, k := range keys {
		bad[k] = true
	}
	s.linearizableRead(func(ok bool) {
		for _, w := range batch {
			switch {
			case !ok:
				s.insertWrite(w)
			case bad[w.change.Key]:
				w.done(conflict)
			case w.leaderTerm != 0 && bad[keyTerm]:
				w.done(failed)
			default:
				s.insertWrite(w)
			}
		}
		if bad[keyTerm] {
			s.stepDownIfSuperseded()
		}
	})
}
