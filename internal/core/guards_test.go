package core

import (
	"slices"
	"testing"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// leading is a state that leads alone in term 4, with a job and a machine that
// has shown the term's epoch.
func leading(t *testing.T) (*State, *job, *machine) {
	t.Helper()
	s := alone()
	s.loaded, s.hasTouch, s.ready, s.settled = true, true, true, true
	s.leadership, s.teams, s.pages = newLeadership(s), map[string]sched.Resources{}, map[int]*page{}
	s.apply(Item{Key: dirJobs + "req-000001", Value: raw(jobValue{Spec: &model.Job{ID: "req-000001", Team: "t", Tasks: 3, Kind: model.Batch}}), Stamp: 5})
	m := s.machine("n-1")
	m.endpoint, m.session, m.seq, m.adopted, m.rostered, m.up = "e", 1, 10, true, true, true
	m.least = s.epochBase()
	return s, s.jobs["req-000001"], m
}

// TestGuardsBehindOthers: these guards stand one behind the other, so that no
// day with one of them taken away breaks a rule. Each is asked for by itself.
func TestGuardsBehindOthers(t *testing.T) {
	t.Run("nobody acts before it has caught up with its election", func(t *testing.T) {
		s, _, _ := leading(t)
		s.ready, s.rev, s.electedRev = false, 7, 9
		s.catchUp()
		for _, read := range []struct {
			rev  uint64
			want bool
		}{{8, false}, {9, true}} {
			if s.Leading() {
				t.Fatal("it leads before it has read what was there at its election")
			}
			s.syncAt = 0
			s.pumpSync()
			c, ok := storeCall(s.out, StoreWatch)
			if !ok {
				t.Fatal("nothing is read")
			}
			s.out = nil
			s.done(c.Call, StoreDone{Call: c.Call, Status: 200, Rev: read.rev})
			if s.Leading() != read.want {
				t.Errorf("read up to %d, elected at 9: leads: %v", read.rev, s.Leading())
			}
		}
	})
	t.Run("an answered command renews no lease", func(t *testing.T) {
		s, _, m := leading(t)
		m.lastReplyAt, s.now = time.Second, 5*time.Second
		end := s.leaseEnd(m)
		s.report(m, &model.Report{Host: "n-1", Session: 1, Seq: 11, Epoch: s.epochBase()}, false)
		if got := s.leaseEnd(m); got != end {
			t.Errorf("the lease ends at %v, then %v", end, got)
		}
	})
	t.Run("nothing listed before the term's epoch is relied on", func(t *testing.T) {
		s, j, m := leading(t)
		m.adopted = false
		s.report(m, &model.Report{Host: "n-1", Session: 1, Seq: 11, Epoch: s.epochBase() - 1,
			Tasks: []model.TaskReport{{Task: "req-000001/0", Attempt: 3, State: model.TaskRunning}, {Task: "req-000001/1", Attempt: 3, State: model.TaskExited, Cause: model.CauseDone}}}, true)
		if len(j.tasks) != 0 || m.adopted {
			t.Errorf("%d tasks taken from a report that may be from before the term", len(j.tasks))
		}
		if !j.isDone(1) {
			t.Error("what has completed stays so, however old the report")
		}
	})
	t.Run("a task isn't gone before the fence", func(t *testing.T) {
		for _, c := range []struct {
			shown uint64 // above the epoch of the command without an answer
			gone  bool
		}{{0, false}, {1, true}} {
			s, j, m := leading(t)
			x := &task{job: j, index: 0, name: "req-000001/0", attempt: 9, m: m, session: 1, issued: true, directEpoch: s.epochBase() | 1}
			s.bind(x)
			s.kill(x, 0)
			s.report(m, &model.Report{Host: "n-1", Session: 1, Seq: 11, Epoch: s.epochBase() | 1 + c.shown}, true)
			if gone := j.tasks[0] == nil; gone != c.gone {
				t.Errorf("epoch %d above the command's: counted as gone: %v", c.shown, gone)
			}
		}
	})
	t.Run("a leader's writes name its term", func(t *testing.T) {
		s, _, _ := leading(t)
		s.transact([]*write{{change: Change{Key: dirPage + "1", Value: raw(1)}, leader: 4, done: func(outcome) {}}}, true)
		c, _ := storeCall(s.out, StoreTxn)
		if !slices.Contains(c.Guards, Guard{keyTerm, s.termStamp}) {
			t.Errorf("guards %v", c.Guards)
		}
	})
	t.Run("a result is forgotten only once it is durable", func(t *testing.T) {
		s, j, m := leading(t)
		r := &model.Report{Host: "n-1", Session: 1, Seq: 11, Tasks: []model.TaskReport{{Task: "req-000001/0", Attempt: 3, State: model.TaskExited, Cause: model.CauseDone}}}
		s.finished(j, 0)
		if o := s.orders(m, r); len(o) != 0 {
			t.Errorf("%v before it is written", o)
		}
		j.chunk(0).durable[0] |= 1
		if o := s.orders(m, r); len(o) != 1 || o[0].Verb != model.Forget {
			t.Errorf("%v once it is written", o)
		}
	})
	t.Run("an answer carries the end of the entitlement", func(t *testing.T) {
		s, _, m := leading(t)
		s.out = nil
		s.answerReport(pendingReport{req: 1, m: m, r: &model.Report{Host: "n-1", Session: 1, Seq: 11}})
		if r, ok := s.out[0].(Reply); !ok || r.Status != 200 || r.Until != s.leadership.Until() {
			t.Errorf("%+v, entitled until %v", s.out, s.leadership.Until())
		}
	})
	t.Run("a lease that has surely run out frees what ran under it", func(t *testing.T) {
		s, j, m := leading(t)
		x := &task{job: j, index: 0, name: "req-000001/0", attempt: 9, m: m, session: 1, issued: true}
		s.bind(x)
		m.lastReplyAt = time.Second
		for _, c := range []struct {
			at    time.Duration
			bound bool
		}{{s.leaseEnd(m) - time.Millisecond, true}, {s.leaseEnd(m), false}} {
			s.now = c.at
			s.lapses()
			if bound := j.tasks[0] != nil; bound != c.bound {
				t.Errorf("at %v, the lease ends at %v: bound: %v", c.at, s.leaseEnd(m), bound)
			}
		}
	})
	t.Run("an entitlement that has run out is over", func(t *testing.T) {
		s, _, _ := leading(t)
		s.now = s.leadership.Until()
		if s.Leading() {
			t.Error("it leads on")
		}
	})
}

// TestUnknownWords: a state or reason that nobody knows, of a machine whose type
// nobody knows, ends no process; it neither unbinds a task
// nor keeps it for ever: the machine is asked to forget what has exited, and the
// task waits again once the machine no longer shows it.
func TestUnknownWords(t *testing.T) {
	s, j, m := leading(t)
	x := &task{job: j, index: 0, name: "req-000001/0", attempt: 9, m: m, session: 1, issued: true}
	s.bind(x)
	seq := uint64(10)
	report := func(tasks ...model.TaskReport) []model.Order {
		seq++
		r := &model.Report{Host: "n-1", Session: 1, Seq: seq, Epoch: s.epochBase(), Tasks: tasks}
		s.report(m, r, true)
		return s.orders(m, r)
	}
	for _, r := range []model.TaskReport{
		{Task: x.name, Attempt: 9, State: "pondering"},
		{Task: x.name, Attempt: 9, State: model.TaskRunning, Cause: "whim"},
		{Task: x.name, Attempt: 9},
	} {
		if orders := report(r); j.tasks[0] != x || len(orders) != 0 {
			t.Errorf("%+v: bound: %v, orders %v", r, j.tasks[0] == x, orders)
		}
	}
	orders := report(model.TaskReport{Task: x.name, Attempt: 9, State: model.TaskExited, Cause: "whim"})
	if j.tasks[0] != x {
		t.Error("unbound by a reason that nobody knows")
	}
	if len(orders) != 1 || orders[0].Verb != model.Forget {
		t.Errorf("orders %v, want to forget it", orders)
	}
	if report(); j.tasks[0] != nil || j.waiting() != 3 {
		t.Errorf("no longer shown: bound: %v, %d tasks wait", j.tasks[0] != nil, j.waiting())
	}
}
