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
	w      *World
	rev    uint64
	items  map[string]*stored
	log    []core.Item
	leases map[uint64]*lease
	next   uint64
	Out    bool            // an outage: every node gets 503
	Refuse map[string]bool // nodes that alone get 503
	Late   time.Duration   // if set, each transaction is also applied this much later again
	// Unanswered is the part of the transactions that get no answer. They are
	// carried out 2 to 12 s later, after newer ones, or at once if AtOnce is set.
	Unanswered float64
	AtOnce     bool
	// MaxValue and MaxOps bound values, in bytes, and the changes of a
	// transaction, MaxWrites the changes a second; 0: they are not bounded. Refused
	// counts what was beyond.
	MaxValue, MaxOps, MaxWrites int
	Refused, Refused429         int
	wrote                       []time.Duration
	// Slow is how much longer than usual answers may take.
	Slow  time.Duration
	waits []*watch
	Txns  int
}

type stored struct {
	value json.RawMessage
	stamp uint64
	lease uint64
}

type lease struct {
	life time.Duration
	ends time.Duration
}

type watch struct {
	call  core.StoreCall
	reply func(core.StoreResult)
	done  bool
	node  string
}

func newStore(w *World) *Store {
	s := &Store{w: w, items: map[string]*stored{}, leases: map[uint64]*lease{}, Refuse: map[string]bool{}}
	var expire func()
	expire = func() {
		for id := uint64(1); id <= s.next; id++ {
			if l := s.leases[id]; l != nil && !s.Out && w.Now >= l.ends {
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
	s.Out = false
	for _, l := range s.leases {
		l.ends = s.w.Now + l.life
	}
	s.wake()
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for _, k := range sortedKeys(s.items) {
		if s.items[k].lease == id {
			s.rev++
			delete(s.items, k)
			s.log = append(s.log, core.Item{Key: k, ModRevision: s.rev, Removed: true})
		}
	}
	s.wake()
}

func (s *Store) serve(node string, c core.StoreCall, reply func(core.StoreResult)) {
	if c.Op == core.StoreWatch && c.BlockTimeout > 0 {
		wt := &watch{call: c, reply: reply, node: node}
		s.waits = append(s.waits, wt)
		s.w.After(c.BlockTimeout, func() { s.answerWatch(wt, true) })
		s.wake()
		return
	}
	if s.Out || s.Refuse[node] {
		reply(core.StoreResult{CallID: c.CallID, Status: 503})
		return
	}
	if c.Op == core.StoreTxn && s.Unanswered > 0 && s.w.Rnd.Float64() < s.Unanswered {
		if s.AtOnce {
			s.do(c)
		} else {
			s.w.After(2*time.Second+time.Duration(s.w.Rnd.Int64N(int64(10*time.Second))), func() { s.do(c) })
		}
		return
	}
	if s.Slow > 0 {
		s.w.After(time.Duration(s.w.Rnd.Int64N(int64(s.Slow))), func() { reply(s.do(c)) })
		return
	}
	reply(s.do(c))
	if c.Op == core.StoreTxn && s.Late > 0 {
		s.w.After(s.Late, func() { s.do(c) })
	}
}

func (s *Store) wake() {
	for _, wt := range s.waits {
		s.answerWatch(wt, false)
	}
	kept := s.waits[:0]
	for _, wt := range s.waits {
		if !wt.done {
			kept = append(kept, wt)
		}
	}
	s.waits = kept
}

func (s *Store) answerWatch(wt *watch, timeUp bool) {
	if wt.done || s.Out || s.Refuse[wt.node] {
		return // open watches wait during an outage
	}
	d := s.do(core.StoreCall{CallID: wt.call.CallID, Op: core.StoreWatch, Prefix: wt.call.Prefix, AfterRevision: wt.call.AfterRevision})
	if len(d.Items) > 0 || timeUp {
		wt.done = true
		wt.reply(d)
	}
}

// do carries a call out at once.
func (s *Store) do(c core.StoreCall) core.StoreResult {
	d := core.StoreResult{CallID: c.CallID, Status: 200, Revision: s.rev}
	switch c.Op {
	case core.StoreList:
		s.list(c, &d)
	case core.StoreWatch:
		for _, it := range s.log {
			if it.ModRevision > c.AfterRevision && strings.HasPrefix(it.Key, c.Prefix) {
				d.Items = append(d.Items, it)
			}
		}
	case core.StoreLease:
		s.next++
		s.leases[s.next] = &lease{c.TTL, s.w.Now + c.TTL}
		d.Lease = s.next
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
		d.Items = append(d.Items, core.Item{Key: keys[i], Value: it.value, ModRevision: it.stamp})
	}
}

// changeLease renews a lease or ends it.
func (s *Store) changeLease(c core.StoreCall, d *core.StoreResult) {
	l := s.leases[c.Lease]
	switch {
	case l == nil:
		d.Status = 404
	case c.Op == core.StoreRenew:
		l.ends = s.w.Now + l.life
	default:
		s.endLease(c.Lease)
	}
}

// transact carries a transaction out if its guards hold.
func (s *Store) transact(c core.StoreCall, d *core.StoreResult) {
	s.Txns++
	if d.Status = s.beyond(c); d.Status != 200 {
		return
	}
	for _, ch := range c.Changes {
		if ch.Lease != 0 && s.leases[ch.Lease] == nil {
			d.Status, d.Err = 400, "no such lease"
			return
		}
	}
	for _, g := range c.Preconditions {
		if s.stampOf(g.Key) != g.ModRevision {
			d.FailedKeys = append(d.FailedKeys, g.Key)
		}
	}
	if len(d.FailedKeys) > 0 {
		d.Status = 409
		return
	}
	s.rev++
	for _, ch := range c.Changes {
		s.change(ch)
	}
	d.Revision = s.rev
	s.w.After(0, s.wake)
}

// stampOf is the version of a key; 0 where it does not exist.
func (s *Store) stampOf(key string) uint64 {
	if it := s.items[key]; it != nil {
		return it.stamp
	}
	return 0
}

// change sets or removes a key at the present revision.
func (s *Store) change(ch core.Change) {
	if !ch.Remove {
		s.items[ch.Key] = &stored{ch.Value, s.rev, ch.Lease}
		s.log = append(s.log, core.Item{Key: ch.Key, Value: ch.Value, ModRevision: s.rev})
		return
	}
	if s.items[ch.Key] != nil {
		delete(s.items, ch.Key)
		s.log = append(s.log, core.Item{Key: ch.Key, ModRevision: s.rev, Removed: true})
	}
}

// beyond is what a transaction gets that is beyond the limits: 400 or 429.
func (s *Store) beyond(c core.StoreCall) int {
	large := s.MaxOps > 0 && (len(c.Changes) > s.MaxOps || len(c.Preconditions) > 4*s.MaxOps)
	for _, ch := range c.Changes {
		large = large || s.MaxValue > 0 && len(ch.Value) > s.MaxValue
	}
	if large {
		s.Refused++
		return 400
	}
	if s.MaxWrites == 0 {
		return 200
	}
	for len(s.wrote) > 0 && s.wrote[0] < s.w.Now-time.Second {
		s.wrote = s.wrote[1:]
	}
	// Bursts of one second's worth are allowed on top.
	if len(s.wrote)+len(c.Changes) > 2*s.MaxWrites {
		s.Refused429++
		return 429
	}
	for range c.Changes {
		s.wrote = append(s.wrote, s.w.Now)
	}
	return 200
}
