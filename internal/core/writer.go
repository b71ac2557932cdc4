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

func (s *State) pumpWriter() {
	if s.writing || len(s.queue) == 0 || s.now < s.writerAt {
		return
	}
	var batch, rest []*write
	ops, size := 0, 0
	led := false
	keys := map[string]bool{}
	waiting := s.queue
	s.queue = nil // what the callbacks below add is kept behind
	for _, w := range waiting {
		if w.leader != 0 && (!s.Leading() || s.leadership.Term != w.leader) {
			w.done(failed)
			continue
		}
		if s.now >= w.deadline || w.moot != nil && w.moot() {
			w.done(failed)
			continue
		}
		n := 1 + len(w.extra)
		if ops+n > s.cfg.TxnOps && ops > 0 || size+len(w.change.Value) > txnBytes && ops > 0 || keys[w.change.Key] {
			rest = append(rest, w)
			continue
		}
		if ops > 0 && led != (w.leader != 0) {
			// A user's change must not fail with a leader's term.
			rest = append(rest, w)
			continue
		}
		led = w.leader != 0
		keys[w.change.Key] = true
		ops += n
		size += len(w.change.Value) + 2*len(w.change.Key) + 64
		batch = append(batch, w)
	}
	late := s.queue
	s.queue = append(batch[:len(batch):len(batch)], rest...)
	for _, w := range late {
		s.enqueue(w)
	}
	if len(batch) == 0 || !s.writeRate.AllowN(s.at(), min(ops, s.writeRate.Burst())) || !s.storeRate.AllowN(s.at(), 1) {
		return
	}
	s.queue = s.queue[:0:0]
	for _, w := range append(rest, late...) {
		s.enqueue(w)
	}
	s.transact(batch, led)
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
