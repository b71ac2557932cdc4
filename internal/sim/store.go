package sim

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"mulleinfall/internal/core"
)

// Store stands in for the state service.
type Store struct {
	sim           *Simulation
	revision      uint64
	items         map[string]*storedValue
	changeLog     []core.Item
	leases        map[uint64]*lease
	lastLeaseID   uint64
	Unavailable   bool            // an outage: every node gets 503
	UnavailableTo map[string]bool // nodes that alone get 503
	ReplayDelay   time.Duration   // if set, each transaction is also applied this much later again
	// UnansweredFraction is the part of the transactions that get no answer. They are
	// carried out 2 to 12 s later, after newer ones, or at once if AtOnce is set.
	UnansweredFraction    float64
	ApplyUnansweredAtOnce bool
	// MaxValueBytes and MaxOps bound values, in bytes, and the changes of a
	// transaction, MaxWrites the changes a second; 0: they are not bounded. Refused
	// counts what was beyond.
	MaxValueBytes, MaxTxnChanges, MaxWritesPerSecond int
	RefusedTooLarge, RefusedRateLimited              int
	recentWrites                                     []time.Duration
	// MaxExtraLatency is how much longer than usual answers may take.
	MaxExtraLatency time.Duration
	watches         []*watch
	TxnCount        int
}

type storedValue struct {
	value       json.RawMessage
	modRevision uint64
	leaseID     uint64
}

type lease struct {
	duration time.Duration
	endsAt   time.Duration
}

type watch struct {
	call       core.StoreCall
	reply      func(core.StoreResult)
	done       bool
	controller string
}

func newStore(w *Simulation) *Store {
	s := &Store{sim: w, items: map[string]*storedValue{}, leases: map[uint64]*lease{}, UnavailableTo: map[string]bool{}}
	var expire func()
	expire = func() {
		for id := uint64(1); id <= s.lastLeaseID; id++ {
			if l := s.leases[id]; l != nil && !s.Unavailable && w.Now >= l.endsAt {
				s.endLease(id)
			}
		}
		w.After(50*time.Millisecond, expire)
	}
	w.After(0, expire)
	return s
}

// Recover ends an outage: all leases get their full time again.
func (s *Store) Recover() {
	s.Unavailable = false
	for _, l := range s.leases {
		l.endsAt = s.sim.Now + l.duration
	}
	s.answerWatches()
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for _, k := range sortedKeys(s.items) {
		if s.items[k].leaseID == id {
			s.revision++
			delete(s.items, k)
			s.changeLog = append(s.changeLog, core.Item{Key: k, ModRevision: s.revision, Removed: true})
		}
	}
	s.answerWatches()
}

func (s *Store) serve(node string, c core.StoreCall, reply func(core.StoreResult)) {
	if c.Op == core.StoreWatch && c.BlockTimeout > 0 {
		wt := &watch{call: c, reply: reply, controller: node}
		s.watches = append(s.watches, wt)
		s.sim.After(c.BlockTimeout, func() { s.answerWatch(wt, true) })
		s.answerWatches()
		return
	}
	if s.Unavailable || s.UnavailableTo[node] {
		reply(core.StoreResult{CallID: c.CallID, Status: 503})
		return
	}
	if c.Op == core.StoreTxn && s.UnansweredFraction > 0 && s.sim.Rand.Float64() < s.UnansweredFraction {
		if s.ApplyUnansweredAtOnce {
			s.apply(c)
		} else {
			s.sim.After(2*time.Second+time.Duration(s.sim.Rand.Int64N(int64(10*time.Second))), func() { s.apply(c) })
		}
		return
	}
	if s.MaxExtraLatency > 0 {
		s.sim.After(time.Duration(s.sim.Rand.Int64N(int64(s.MaxExtraLatency))), func() { reply(s.apply(c)) })
		return
	}
	reply(s.apply(c))
	if c.Op == core.StoreTxn && s.ReplayDelay > 0 {
		s.sim.After(s.ReplayDelay, func() { s.apply(c) })
	}
}

func (s *Store) answerWatches() {
	for _, wt := range s.watches {
		s.answerWatch(wt, false)
	}
	kept := s.watches[:0]
	for _, wt := range s.watches {
		if !wt.done {
			kept = append(kept, wt)
		}
	}
	s.watches = kept
}

func (s *Store) answerWatch(wt *watch, timeUp bool) {
	if wt.done || s.Unavailable || s.UnavailableTo[wt.controller] {
		return // open watches wait during an outage
	}
	d := s.apply(core.StoreCall{CallID: wt.call.CallID, Op: core.StoreWatch, Prefix: wt.call.Prefix, AfterRevision: wt.call.AfterRevision})
	if len(d.Items) > 0 || timeUp {
		wt.done = true
		wt.reply(d)
	}
}

// apply carries a call out at once.
func (s *Store) apply(c core.StoreCall) core.StoreResult {
	d := core.StoreResult{CallID: c.CallID, Status: 200, Revision: s.revision}
	switch c.Op {
	case core.StoreList:
		s.list(c, &d)
	case core.StoreWatch:
		for _, it := range s.changeLog {
			if it.ModRevision > c.AfterRevision && strings.HasPrefix(it.Key, c.Prefix) {
				d.Items = append(d.Items, it)
			}
		}
	case core.StoreLease:
		s.lastLeaseID++
		s.leases[s.lastLeaseID] = &lease{c.TTL, s.sim.Now + c.TTL}
		d.Lease = s.lastLeaseID
	case core.StoreRenew, core.StoreRevoke:
		s.changeLease(c, &d)
	case core.StoreTxn:
		s.transact(c, &d)
	}
	return d
}

// list returns keys in order, as many as were asked for.
func (s *Store) list(c core.StoreCall, d *core.StoreResult) {
	keys := sortedKeys(s.items)
	for i := sort.SearchStrings(keys, c.Prefix); i < len(keys) && strings.HasPrefix(keys[i], c.Prefix); i++ {
		if keys[i] <= c.StartAfter {
			continue
		}
		if len(d.Items) == c.Limit {
			d.More = true
			return
		}
		it := s.items[keys[i]]
		d.Items = append(d.Items, core.Item{Key: keys[i], Value: it.value, ModRevision: it.modRevision})
	}
}

// changeLease renews a lease or ends it.
func (s *Store) changeLease(c core.StoreCall, d *core.StoreResult) {
	l := s.leases[c.Lease]
	switch {
	case l == nil:
		d.Status = 404
	case c.Op == core.StoreRenew:
		l.endsAt = s.sim.Now + l.duration
	default:
		s.endLease(c.Lease)
	}
}

// transact carries a transaction out if its guards hold.
func (s *Store) transact(c core.StoreCall, d *core.StoreResult) {
	s.TxnCount++
	if d.Status = s.checkLimits(c); d.Status != 200 {
		return
	}
	for _, ch := range c.Changes {
		if ch.Lease != 0 && s.leases[ch.Lease] == nil {
			d.Status, d.Err = 400, "no such lease"
			return
		}
	}
	for _, g := range c.Preconditions {
		if s.modRevisionOf(g.Key) != g.ModRevision {
			d.FailedKeys = append(d.FailedKeys, g.Key)
		}
	}
	if len(d.FailedKeys) > 0 {
		d.Status = 409
		return
	}
	s.revision++
	for _, ch := range c.Changes {
		s.applyChange(ch)
	}
	d.Revision = s.revision
	s.sim.After(0, s.answerWatches)
}

// modRevisionOf is the version of a key; 0 where it does not exist.
func (s *Store) modRevisionOf(key string) uint64 {
	if it := s.items[key]; it != nil {
		return it.modRevision
	}
	return 0
}

// applyChange sets or removes a key at the present revision.
func (s *Store) applyChange(ch core.Change) {
	if !ch.Remove {
		s.items[ch.Key] = &storedValue{ch.Value, s.revision, ch.Lease}
		s.changeLog = append(s.changeLog, core.Item{Key: ch.Key, Value: ch.Value, ModRevision: s.revision})
		return
	}
	if s.items[ch.Key] != nil {
		delete(s.items, ch.Key)
		s.changeLog = append(s.changeLog, core.Item{Key: ch.Key, ModRevision: s.revision, Removed: true})
	}
}

// checkLimits is what a transaction gets that is beyond the limits: 400 or 429.
func (s *Store) checkLimits(c core.StoreCall) int {
	large := s.MaxTxnChanges > 0 && (len(c.Changes) > s.MaxTxnChanges || len(c.Preconditions) > 4*s.MaxTxnChanges)
	for _, ch := range c.Changes {
		large = large || s.MaxValueBytes > 0 && len(ch.Value) > s.MaxValueBytes
	}
	if large {
		s.RefusedTooLarge++
		return 400
	}
	if s.MaxWritesPerSecond == 0 {
		return 200
	}
	for len(s.recentWrites) > 0 && s.recentWrites[0] < s.sim.Now-time.Second {
		s.recentWrites = s.recentWrites[1:]
	}
	// Bursts of one second's worth are allowed on top.
	if len(s.recentWrites)+len(c.Changes) > 2*s.MaxWritesPerSecond {
		s.RefusedRateLimited++
		return 429
	}
	for range c.Changes {
		s.recentWrites = append(s.recentWrites, s.sim.Now)
	}
	return 200
}
