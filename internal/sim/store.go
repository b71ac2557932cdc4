package sim

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"mulleinfall/internal/core"
)

// Store simulates the state service: a key-value store with revisions, leases,
// transactions and watches.
type Store struct {
	sim           *Simulation
	revision      uint64
	items         map[string]*storedValue
	changeLog     []core.Item // all changes in the order of their revisions, for watches
	leases        map[uint64]*lease
	lastLeaseID   uint64
	Unavailable   bool            // outage: calls of all controllers get 503, but blocking watches get no answer
	UnavailableTo map[string]bool // controllers to which this happens while others are served
	// ReplayDelay, if set, makes each answered transaction be applied a second time this
	// much later. It has no effect while MaxExtraLatency is set.
	ReplayDelay time.Duration
	// UnansweredFraction is the fraction of transactions that get no answer. They are
	// applied 2 to 12 s later, so that newer transactions may be applied before them. If
	// ApplyUnansweredAtOnce is set, they are applied at once.
	UnansweredFraction    float64
	ApplyUnansweredAtOnce bool
	// MaxValueBytes limits the size of a value, MaxTxnChanges the changes of a
	// transaction and MaxWritesPerSecond the changes per second (see checkLimits). 0
	// means no limit. RefusedTooLarge counts the transactions refused by the first two
	// limits, RefusedRateLimited those refused by the third.
	MaxValueBytes, MaxTxnChanges, MaxWritesPerSecond int
	RefusedTooLarge, RefusedRateLimited              int
	recentWrites                                     []time.Duration // time of each change of the last second that was within the limits
	// MaxExtraLatency, if set, makes each call be applied and answered only after a random
	// delay below it. Excluded are blocking watches, calls that get 503 and transactions
	// that get no answer.
	MaxExtraLatency time.Duration
	watches         []*watch // watch calls that wait for a change
	TxnCount        int      // transactions applied or refused by transact, repeated ones included
}

// storedValue is the current value of a key.
type storedValue struct {
	value       json.RawMessage
	modRevision uint64
	leaseID     uint64 // 0: the key belongs to no lease
}

// lease is a lease of the state service. Its keys are removed when it ends.
type lease struct {
	duration time.Duration
	endsAt   time.Duration // unless it is renewed before
}

// watch is a watch call that blocks until there is a change or its time is up. See
// answerWatch for watches during an outage.
type watch struct {
	call       core.StoreCall
	reply      func(core.StoreResult)
	done       bool
	controller string
}

// newStore creates an empty store that checks every 50 ms for expired leases. Leases
// don't expire while Unavailable is set.
func newStore(sim *Simulation) *Store {
	s := &Store{sim: sim, items: map[string]*storedValue{}, leases: map[uint64]*lease{}, UnavailableTo: map[string]bool{}}
	var expire func()
	expire = func() {
		for id := uint64(1); id <= s.lastLeaseID; id++ {
			if l := s.leases[id]; l != nil && !s.Unavailable && sim.Now >= l.endsAt {
				s.endLease(id)
			}
		}
		sim.After(50*time.Millisecond, expire)
	}
	sim.After(0, expire)
	return s
}

// Recover ends an outage. Every lease gets its full duration again.
func (s *Store) Recover() {
	s.Unavailable = false
	for _, l := range s.leases {
		l.endsAt = s.sim.Now + l.duration
	}
	s.answerWatches()
}

// endLease ends a lease and removes its keys.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for _, key := range sortedKeys(s.items) {
		if s.items[key].leaseID == id {
			s.revision++
			delete(s.items, key)
			s.changeLog = append(s.changeLog, core.Item{Key: key, ModRevision: s.revision, Removed: true})
		}
	}
	s.answerWatches()
}

// serve handles a call of a controller and injects the faults that are set. It calls
// reply with the result, unless the call gets no answer.
func (s *Store) serve(controller string, call core.StoreCall, reply func(core.StoreResult)) {
	if call.Op == core.StoreWatch && call.BlockTimeout > 0 {
		pending := &watch{call: call, reply: reply, controller: controller}
		s.watches = append(s.watches, pending)
		s.sim.After(call.BlockTimeout, func() { s.answerWatch(pending, true) })
		s.answerWatches()
		return
	}
	if s.Unavailable || s.UnavailableTo[controller] {
		reply(core.StoreResult{CallID: call.CallID, Status: 503})
		return
	}
	if call.Op == core.StoreTxn && s.UnansweredFraction > 0 && s.sim.Rand.Float64() < s.UnansweredFraction {
		if s.ApplyUnansweredAtOnce {
			s.apply(call)
		} else {
			s.sim.After(2*time.Second+time.Duration(s.sim.Rand.Int64N(int64(10*time.Second))), func() { s.apply(call) })
		}
		return
	}
	if s.MaxExtraLatency > 0 {
		s.sim.After(time.Duration(s.sim.Rand.Int64N(int64(s.MaxExtraLatency))), func() { reply(s.apply(call)) })
		return
	}
	reply(s.apply(call))
	if call.Op == core.StoreTxn && s.ReplayDelay > 0 {
		s.sim.After(s.ReplayDelay, func() { s.apply(call) })
	}
}

// answerWatches answers all watches for which there are changes, and removes those that
// are answered.
func (s *Store) answerWatches() {
	for _, pending := range s.watches {
		s.answerWatch(pending, false)
	}
	kept := s.watches[:0]
	for _, pending := range s.watches {
		if !pending.done {
			kept = append(kept, pending)
		}
	}
	s.watches = kept
}

// answerWatch answers a watch if there are changes for it or its time is up. During an
// outage it leaves the watch open. If the time is up then, the watch is answered by the
// first answerWatches after the outage that finds a change for it.
func (s *Store) answerWatch(pending *watch, timeUp bool) {
	if pending.done || s.Unavailable || s.UnavailableTo[pending.controller] {
		return
	}
	result := s.apply(core.StoreCall{CallID: pending.call.CallID, Op: core.StoreWatch, Prefix: pending.call.Prefix, AfterRevision: pending.call.AfterRevision})
	if len(result.Items) > 0 || timeUp {
		pending.done = true
		pending.reply(result)
	}
}

// apply carries out a call and returns its result.
func (s *Store) apply(call core.StoreCall) core.StoreResult {
	result := core.StoreResult{CallID: call.CallID, Status: 200, Revision: s.revision}
	switch call.Op {
	case core.StoreList:
		s.list(call, &result)
	case core.StoreWatch:
		for _, item := range s.changeLog {
			if item.ModRevision > call.AfterRevision && strings.HasPrefix(item.Key, call.Prefix) {
				result.Items = append(result.Items, item)
			}
		}
	case core.StoreLease:
		s.lastLeaseID++
		s.leases[s.lastLeaseID] = &lease{call.TTL, s.sim.Now + call.TTL}
		result.Lease = s.lastLeaseID
	case core.StoreRenew, core.StoreRevoke:
		s.changeLease(call, &result)
	case core.StoreTxn:
		s.transact(call, &result)
	}
	return result
}

// list adds the items with the call's prefix and after its start key to the result, in
// lexical order of their keys, up to the limit of the call.
func (s *Store) list(call core.StoreCall, result *core.StoreResult) {
	keys := sortedKeys(s.items)
	for i := sort.SearchStrings(keys, call.Prefix); i < len(keys) && strings.HasPrefix(keys[i], call.Prefix); i++ {
		if keys[i] <= call.StartAfter {
			continue
		}
		if len(result.Items) == call.Limit {
			result.More = true
			return
		}
		item := s.items[keys[i]]
		result.Items = append(result.Items, core.Item{Key: keys[i], Value: item.value, ModRevision: item.modRevision})
	}
}

// changeLease renews or revokes a lease.
func (s *Store) changeLease(call core.StoreCall, result *core.StoreResult) {
	held := s.leases[call.Lease]
	switch {
	case held == nil:
		result.Status = 404
	case call.Op == core.StoreRenew:
		held.endsAt = s.sim.Now + held.duration
	default:
		s.endLease(call.Lease)
	}
}

// transact applies a transaction if it is within the limits and its preconditions
// hold.
func (s *Store) transact(call core.StoreCall, result *core.StoreResult) {
	s.TxnCount++
	if result.Status = s.checkLimits(call); result.Status != 200 {
		return
	}
	for _, change := range call.Changes {
		if change.Lease != 0 && s.leases[change.Lease] == nil {
			result.Status, result.Err = 400, "no such lease"
			return
		}
	}
	for _, precondition := range call.Preconditions {
		if s.modRevisionOf(precondition.Key) != precondition.ModRevision {
			result.FailedKeys = append(result.FailedKeys, precondition.Key)
		}
	}
	if len(result.FailedKeys) > 0 {
		result.Status = 409
		return
	}
	s.revision++
	for _, change := range call.Changes {
		s.applyChange(change)
	}
	result.Revision = s.revision
	s.sim.After(0, s.answerWatches)
}

// modRevisionOf returns the modification revision of a key, or 0 if the key does not
// exist.
func (s *Store) modRevisionOf(key string) uint64 {
	if item := s.items[key]; item != nil {
		return item.modRevision
	}
	return 0
}

// applyChange sets or removes a key at the current revision.
func (s *Store) applyChange(change core.Change) {
	if !change.Remove {
		s.items[change.Key] = &storedValue{change.Value, s.revision, change.Lease}
		s.changeLog = append(s.changeLog, core.Item{Key: change.Key, Value: change.Value, ModRevision: s.revision})
		return
	}
	if s.items[change.Key] != nil {
		delete(s.items, change.Key)
		s.changeLog = append(s.changeLog, core.Item{Key: change.Key, ModRevision: s.revision, Removed: true})
	}
}

// checkLimits returns the status for a transaction: 400 if it is too large, 429 if it
// exceeds the rate limit, or 200. The number of preconditions may be up to four
// times MaxTxnChanges. Changes within the limits count for the rate even if the
// transaction fails later.
func (s *Store) checkLimits(call core.StoreCall) int {
	isTooLarge := s.MaxTxnChanges > 0 && (len(call.Changes) > s.MaxTxnChanges || len(call.Preconditions) > 4*s.MaxTxnChanges)
	for _, change := range call.Changes {
		isTooLarge = isTooLarge || s.MaxValueBytes > 0 && len(change.Value) > s.MaxValueBytes
	}
	if isTooLarge {
		s.RefusedTooLarge++
		return 400
	}
	if s.MaxWritesPerSecond == 0 {
		return 200
	}
	for len(s.recentWrites) > 0 && s.recentWrites[0] < s.sim.Now-time.Second {
		s.recentWrites = s.recentWrites[1:]
	}
	// Any second may have twice MaxWritesPerSecond changes: one second's worth of them
	// and a burst of as many.
	if len(s.recentWrites)+len(call.Changes) > 2*s.MaxWritesPerSecond {
		s.RefusedRateLimited++
		return 429
	}
	for range call.Changes {
		s.recentWrites = append(s.recentWrites, s.sim.Now)
	}
	return 200
}
