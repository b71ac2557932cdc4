package core

import (
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// write is one guarded change on its way to the state service.
type write struct {
	change   Change
	stamp    uint64 // version that the key must have
	leader   uint64 // term whose leadership backs it; 0: any node may
	deadline time.Duration
	done     func(outcome)
	extra    []Change // removed along with it
	class    class
	moot     func() bool // no longer wanted, if set
}

// class is the order in which changes go out: no user waits behind the
// leader's bulk.
type class int

const (
	classUser class = iota
	classEnd        // of jobs: users wait for that too
	classRoster
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
	queue    []*write
	writing  bool
	writerAt time.Duration
}

// put queues a change, guarded by the version that the replica knows.
func (s *State) put(w *write) {
	w.stamp = s.stamp(w.change.Key)
	s.enqueue(w)
}

func (s *State) enqueue(w *write) {
	at := len(s.queue)
	for at > 0 && s.queue[at-1].class > w.class {
		at--
	}
	s.queue = slices.Insert(s.queue, at, w)
}

// shareWrites divides the state service's write rate: the leader has bulk to
// write, the others only what users ask of them.
func (s *State) shareWrites(leading bool) {
	n := float64(s.ecf.Nodes)
	part := 1 / (2 * n)
	if leading {
		part = 1 - part*(n-1)
	}
	rps := s.cfg.StoreWrites * 0.95 * part
	s.writeRate.SetLimitAt(s.at(), rate.Limit(rps))
	s.writeRate.SetBurstAt(s.at(), max(1, int(rps)))
}

const txnBytes = 48 << 10 // of the protocol's 64 KiB, leaving room for guards

// pumpWriter sends the next transaction, if none is under way.
func (s *State) pumpWriter() {
	if s.writing || len(s.queue) == 0 || s.now < s.writerAt {
		return
	}
	waiting := s.queue
	s.queue = nil // what the callbacks below add is kept behind
	b := &batch{maxOps: s.cfg.TxnOps, keys: map[string]bool{}}
	for _, w := range waiting {
		if s.outdated(w) {
			w.done(failed)
			continue
		}
		b.add(w)
	}
	late := s.queue
	s.queue = append(b.writes[:len(b.writes):len(b.writes)], b.rest...)
	for _, w := range late {
		s.enqueue(w)
	}
	if len(b.writes) == 0 || !s.writeRate.AllowN(s.at(), min(b.ops, s.writeRate.Burst())) || !s.storeRate.AllowN(s.at(), 1) {
		return
	}
	s.queue = s.queue[:0:0]
	for _, w := range append(b.rest, late...) {
		s.enqueue(w)
	}
	s.transact(b.writes, b.led)
}

// outdated says whether w is not to be tried any more: its leadership or its time
// is over, or it is no longer wanted.
func (s *State) outdated(w *write) bool {
	if w.leader != 0 && (!s.Leading() || s.leadership.Term != w.leader) {
		return true
	}
	return s.now >= w.deadline || w.moot != nil && w.moot()
}

// batch gathers writes for one transaction, within the state service's limits.
type batch struct {
	maxOps    int
	writes    []*write
	rest      []*write // for the transactions to come
	ops, size int
	led       bool // backed by a leadership
	keys      map[string]bool
}

// add takes w into the transaction, or leaves it for a later one.
func (b *batch) add(w *write) {
	n := 1 + len(w.extra)
	full := b.ops > 0 && (b.ops+n > b.maxOps || b.size+len(w.change.Value) > txnBytes)
	// A user's change must not fail with a leader's term.
	mixed := b.ops > 0 && b.led != (w.leader != 0)
	if full || mixed || b.keys[w.change.Key] {
		b.rest = append(b.rest, w)
		return
	}
	b.led = w.leader != 0
	b.keys[w.change.Key] = true
	b.ops += n
	b.size += len(w.change.Value) + 2*len(w.change.Key) + 64
	b.writes = append(b.writes, w)
}

func (s *State) transact(batch []*write, led bool) {
	s.writing = true
	c := StoreCall{Op: StoreTxn, Timeout: time.Second}
	if led {
		// No transaction of a former leader may succeed, however late.
		c.Guards = append(c.Guards, Guard{keyTerm, s.termStamp})
	}
	for _, w := range batch {
		c.Guards = append(c.Guards, Guard{w.change.Key, w.stamp})
		c.Then = append(c.Then, w.change)
		c.Then = append(c.Then, w.extra...)
	}
	s.store(c, func(d StoreDone) {
		s.writing = false
		switch d.Status {
		case 200:
			for _, w := range batch {
				s.apply(Item{Key: w.change.Key, Value: w.change.Value, Stamp: d.Rev, Removed: w.change.Remove})
				for _, x := range w.extra {
					s.apply(Item{Key: x.Key, Stamp: d.Rev, Removed: true})
				}
				w.done(written)
			}
		case 409:
			s.resolve(batch, d.Failed)
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
				s.enqueue(w)
			}
			s.writerAt = s.now + 100*time.Millisecond
			if d.Status == 503 {
				s.failUsers()
			}
		}
	})
}

// failUsers ends the users' waiting changes: the store refuses us for now,
// and a user is told so at once.
func (s *State) failUsers() {
	var rest []*write
	waiting := s.queue
	s.queue = nil
	for _, w := range waiting {
		if w.leader == 0 {
			w.done(failed)
			continue
		}
		rest = append(rest, w)
	}
	for _, w := range rest {
		s.enqueue(w)
	}
}

// resolve sorts out a transaction whose guards failed. The cause may be our
// own earlier try whose answer was lost, so the keys are read back first.
func (s *State) resolve(batch []*write, keys []string) {
	bad := map[string]bool{}
	for _, k := range keys {
		bad[k] = true
	}
	s.fresh(func(ok bool) {
		for _, w := range batch {
			switch {
			case !ok:
				s.enqueue(w)
			case bad[w.change.Key]:
				w.done(conflict)
			case w.leader != 0 && bad[keyTerm]:
				w.done(failed)
			default:
				s.enqueue(w)
			}
		}
		if bad[keyTerm] {
			s.superseded()
		}
	})
}
