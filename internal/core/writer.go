package core

import (
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// write is one change that waits to be written to the state service, with its
// preconditions.
type write struct {
	change      Change
	modRevision uint64 // modification revision that the key must have
	leaderTerm  uint64 // only the leader of this term may write it; 0: any controller may
	deadline    time.Duration
	done        func(outcome) // called once, with the result
	alsoRemove  []Change      // keys removed in the same transaction, without preconditions
	class       writeClass
	isObsolete  func() bool // if set, reports whether the write is no longer needed
}

// writeClass determines the order in which changes are written. Users' changes come
// first, so that they do not wait behind the leader's bulk of changes.
type writeClass int

const (
	classUser     writeClass = iota // submissions and cancellations
	classJobEnd                     // ends of jobs, for which users wait too
	classRegistry                   // registry pages, machine types and versions
	classBitmap                     // bitmaps of finished tasks
)

// outcome is the result of a write.
type outcome int

const (
	written  outcome = iota // the change is durable
	conflict                // the key had another modification revision; the replica has been read again since
	failed                  // given up: the change may or may not have been made durable
)

// writer combines changes into transactions. One transaction is in flight at a time;
// changes that are queued meanwhile go into the next one.
type writer struct {
	queue       []*write
	txnInFlight bool
	nextTxnAt   time.Duration
}

// queueWrite queues a change, with the key's modification revision in the replica as
// precondition.
func (s *State) queueWrite(w *write) {
	w.modRevision = s.modRevision(w.change.Key)
	s.insertWrite(w)
}

// insertWrite puts w into the queue behind all writes of its class and of the classes
// before.
func (s *State) insertWrite(w *write) {
	position := len(s.queue)
	for position > 0 && s.queue[position-1].class > w.class {
		position--
	}
	s.queue = slices.Insert(s.queue, position, w)
}

// setWriteRate sets this controller's share of the state service's write rate. The
// leader gets the largest share for its bulk of changes; the others only write what
// users request of them.
func (s *State) setWriteRate(leading bool) {
	controllers := float64(s.electionConfig.Controllers)
	share := 1 / (2 * controllers)
	if leading {
		share = 1 - share*(controllers-1)
	}
	writesPerSecond := s.cfg.StoreWriteRPS * 0.95 * share
	s.writeRate.SetLimitAt(s.limiterTime(), rate.Limit(writesPerSecond))
	s.writeRate.SetBurstAt(s.limiterTime(), max(1, int(writesPerSecond)))
}

// maxTxnBytes limits the estimated size of a transaction's changes. The state service
// accepts 64 KiB; the rest is left for preconditions.
const maxTxnBytes = 48 << 10

// sendNextTxn sends the next transaction, if none is in flight and the rate limits
// allow it. It also ends the writes that are not to be tried any more.
func (s *State) sendNextTxn() {
	if s.txnInFlight || len(s.queue) == 0 || s.now < s.nextTxnAt {
		return
	}
	waiting := s.queue
	s.queue = nil // collects the writes that the callbacks below queue
	next := &batch{maxOps: s.cfg.MaxTxnOps, keys: map[string]bool{}}
	for _, w := range waiting {
		if s.shouldDrop(w) {
			w.done(failed)
			continue
		}
		next.add(w)
	}
	added := s.queue
	// All writes stay queued if the transaction cannot be sent now.
	s.queue = append(next.writes[:len(next.writes):len(next.writes)], next.deferred...)
	for _, w := range added {
		s.insertWrite(w)
	}
	// The limiter never allows more than its burst at once, so a larger transaction
	// counts as that many changes.
	if len(next.writes) == 0 || !s.writeRate.AllowN(s.limiterTime(), min(next.ops, s.writeRate.Burst())) || !s.storeRate.AllowN(s.limiterTime(), 1) {
		return
	}
	s.queue = s.queue[:0:0]
	for _, w := range append(next.deferred, added...) {
		s.insertWrite(w)
	}
	s.transact(next.writes, next.requiresLeadership)
}

// shouldDrop reports whether w must not be tried any more, because its leadership or
// its deadline is over, or because it is no longer needed.
func (s *State) shouldDrop(w *write) bool {
	if w.leaderTerm != 0 && (!s.IsLeader() || s.leadership.Term != w.leaderTerm) {
		return true
	}
	return s.now >= w.deadline || w.isObsolete != nil && w.isObsolete()
}

// batch collects writes for one transaction, within the state service's limits.
type batch struct {
	maxOps             int
	writes             []*write
	deferred           []*write        // left for later transactions
	ops, size          int             // number of changes, and estimated bytes
	requiresLeadership bool            // whether the writes are those of a leader's term
	keys               map[string]bool // keys of the writes
}

// add adds w to the transaction, or defers it to a later one. A second write of the same
// key is always deferred, since its precondition would fail.
func (b *batch) add(w *write) {
	ops := 1 + len(w.alsoRemove)
	full := b.ops > 0 && (b.ops+ops > b.maxOps || b.size+len(w.change.Value) > maxTxnBytes)
	// A user's change must not fail because a leader's term has ended, so it is not
	// sent with changes that require leadership.
	mixed := b.ops > 0 && b.requiresLeadership != (w.leaderTerm != 0)
	if full || mixed || b.keys[w.change.Key] {
		b.deferred = append(b.deferred, w)
		return
	}
	b.requiresLeadership = w.leaderTerm != 0
	b.keys[w.change.Key] = true
	b.ops += ops
	b.size += len(w.change.Value) + 2*len(w.change.Key) + 64
	b.writes = append(b.writes, w)
}

// transact sends a transaction and handles its result. requiresLeadership adds the
// precondition that this leader's term is still the last one that was won.
func (s *State) transact(writes []*write, requiresLeadership bool) {
	s.txnInFlight = true
	call := StoreCall{Op: StoreTxn, Timeout: time.Second}
	if requiresLeadership {
		// No transaction of a former leader may succeed, however late it arrives.
		call.Preconditions = append(call.Preconditions, Precondition{keyTerm, s.termModRevision})
	}
	for _, w := range writes {
		call.Preconditions = append(call.Preconditions, Precondition{w.change.Key, w.modRevision})
		call.Changes = append(call.Changes, w.change)
		call.Changes = append(call.Changes, w.alsoRemove...)
	}
	s.callStore(call, func(result StoreResult) {
		s.txnInFlight = false
		switch result.Status {
		case 200:
			for _, w := range writes {
				s.apply(Item{Key: w.change.Key, Value: w.change.Value, ModRevision: result.Revision, Removed: w.change.Remove})
				for _, change := range w.alsoRemove {
					s.apply(Item{Key: change.Key, ModRevision: result.Revision, Removed: true})
				}
				w.done(written)
			}
		case 409:
			s.resolveConflict(writes, result.FailedKeys)
		case 400:
			s.log(slog.LevelError, "state service rejected a transaction as invalid", "error", result.Err, "key", writes[0].change.Key)
			for _, w := range writes {
				w.done(failed)
			}
		default:
			// The writes are queued again, in front of the others of their class.
			// With 503 and 429 the transaction was not executed. Without an answer
			// it may have been executed, or may yet be. Retrying is safe because
			// of the preconditions: the change is made at most once, and a retry
			// of a change that was made fails as a conflict.
			waiting := s.queue
			s.queue = writes
			for _, w := range waiting {
				s.insertWrite(w)
			}
			s.nextTxnAt = s.now + 100*time.Millisecond
			if result.Status == 503 {
				s.failUserWrites()
			}
		}
	})
}

// failUserWrites fails the queued changes that any controller may write, mostly users'
// changes. The state service refuses this controller for now, and users are told so at
// once.
func (s *State) failUserWrites() {
	var remaining []*write
	waiting := s.queue
	s.queue = nil
	for _, w := range waiting {
		if w.leaderTerm == 0 {
			w.done(failed)
			continue
		}
		remaining = append(remaining, w)
	}
	for _, w := range remaining {
		s.insertWrite(w)
	}
}

// resolveConflict handles a transaction of which some preconditions failed. The cause may
// be this controller's own earlier attempt whose answer was lost, so the state is read
// before the outcome of each write is decided. If that read fails, all writes are queued
// again. Otherwise those whose own preconditions held are queued again, unless they require
// leadership and another term was won.
func (s *State) resolveConflict(writes []*write, failedKeys []string) {
	hasFailed := map[string]bool{}
	for _, key := range failedKeys {
		hasFailed[key] = true
	}
	s.linearizableRead(func(ok bool) {
		for _, w := range writes {
			switch {
			case !ok:
				s.insertWrite(w)
			case hasFailed[w.change.Key]:
				w.done(conflict)
			case w.leaderTerm != 0 && hasFailed[keyTerm]:
				w.done(failed)
			default:
				s.insertWrite(w)
			}
		}
		if hasFailed[keyTerm] {
			s.stepDownIfSuperseded()
		}
	})
}
