package core

import (
	"slices"
	"strings"
	"testing"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// newLeader is a state that leads alone in term 4, with a job and a machine that
// has shown the term's epoch.
func newLeader(t *testing.T) (*State, *job, *machine) {
	t.Helper()
	s := newSingleController()
	s.loaded, s.hasContact, s.caughtUp, s.takeoverComplete = true, true, true, true
	s.leadership, s.teamUsage, s.pages = newLeadership(s), map[string]sched.Resources{}, map[int]*registryPage{}
	s.apply(Item{Key: prefixJobs + "req-000001", Value: mustMarshal(jobValue{Spec: &model.Job{ID: "req-000001", Team: "t", Tasks: 3, Kind: model.KindBatch}}), ModRevision: 5})
	m := s.ensureMachine("n-1")
	m.endpoint, m.session, m.seq, m.reconciled, m.registered, m.hasReported = "e", 1, 10, true, true, true
	m.minEpoch = s.epochBase()
	return s, s.jobs["req-000001"], m
}

// TestSafeguardsOneByOne: these guards stand one behind the other, so that no
// day with one of them taken away breaks a rule. Each is asked for by itself.
func TestSafeguardsOneByOne(t *testing.T) {
	t.Run("nobody acts before it has caught up with its election", func(t *testing.T) {
		s, _, _ := newLeader(t)
		s.caughtUp, s.revision, s.electedRevision = false, 7, 9
		s.catchUp()
		for _, read := range []struct {
			rev  uint64
			want bool
		}{{8, false}, {9, true}} {
			if s.IsLeader() {
				t.Fatal("it leads before it has read what was there at its election")
			}
			s.nextReadAt = 0
			s.sendLinearizableRead()
			c, ok := findStoreCall(s.effects, StoreWatch)
			if !ok {
				t.Fatal("nothing is read")
			}
			s.effects = nil
			s.completeCall(c.CallID, StoreResult{CallID: c.CallID, Status: 200, Revision: read.rev})
			if s.IsLeader() != read.want {
				t.Errorf("read up to %d, elected at 9: leads: %v", read.rev, s.IsLeader())
			}
		}
	})
	t.Run("an answered command renews no lease", func(t *testing.T) {
		s, _, m := newLeader(t)
		m.lastReplyAt, s.now = time.Second, 5*time.Second
		end := s.leaseEndsAt(m)
		s.applyReport(m, &model.Report{Host: "n-1", Session: 1, Seq: 11, Epoch: s.epochBase()}, false)
		if got := s.leaseEndsAt(m); got != end {
			t.Errorf("the lease ends at %v, then %v", end, got)
		}
	})
	t.Run("nothing listed before the term's epoch is relied on", func(t *testing.T) {
		s, j, m := newLeader(t)
		m.reconciled = false
		s.applyReport(m, &model.Report{Host: "n-1", Session: 1, Seq: 11, Epoch: s.epochBase() - 1,
			Tasks: []model.TaskReport{{Task: "req-000001/0", Attempt: 3, State: model.TaskRunning}, {Task: "req-000001/1", Attempt: 3, State: model.TaskExited, Cause: model.CauseDone}}}, true)
		if len(j.tasks) != 0 || m.reconciled {
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
			s, j, m := newLeader(t)
			x := &task{job: j, index: 0, name: "req-000001/0", attempt: 9, machine: m, session: 1, startSent: true, unconfirmedStartEpoch: s.epochBase() | 1}
			s.bind(x)
			s.stopTask(x, 0)
			s.applyReport(m, &model.Report{Host: "n-1", Session: 1, Seq: 11, Epoch: s.epochBase() | 1 + c.shown}, true)
			if gone := j.tasks[0] == nil; gone != c.gone {
				t.Errorf("epoch %d above the command's: counted as gone: %v", c.shown, gone)
			}
		}
	})
	t.Run("a leader's writes name its term", func(t *testing.T) {
		s, _, _ := newLeader(t)
		s.transact([]*write{{change: Change{Key: prefixPages + "1", Value: mustMarshal(1)}, leaderTerm: 4, done: func(outcome) {}}}, true)
		c, _ := findStoreCall(s.effects, StoreTxn)
		if !slices.Contains(c.Preconditions, Precondition{keyTerm, s.termModRevision}) {
			t.Errorf("guards %v", c.Preconditions)
		}
	})
	t.Run("a result is forgotten only once it is durable", func(t *testing.T) {
		s, j, m := newLeader(t)
		r := &model.Report{Host: "n-1", Session: 1, Seq: 11, Tasks: []model.TaskReport{{Task: "req-000001/0", Attempt: 3, State: model.TaskExited, Cause: model.CauseDone}}}
		s.markTaskDone(j, 0)
		if o := s.ordersFor(m, r); len(o) != 0 {
			t.Errorf("%v before it is written", o)
		}
		j.chunk(0).durableBits[0] |= 1
		if o := s.ordersFor(m, r); len(o) != 1 || o[0].Verb != model.OrderForget {
			t.Errorf("%v once it is written", o)
		}
	})
	t.Run("an answer carries the end of the entitlement", func(t *testing.T) {
		s, _, m := newLeader(t)
		s.effects = nil
		s.answerReport(pendingReport{requestID: 1, machine: m, report: &model.Report{Host: "n-1", Session: 1, Seq: 11}})
		if r, ok := s.effects[0].(Reply); !ok || r.Status != 200 || r.SendBefore != s.leadership.ValidUntil() {
			t.Errorf("%+v, entitled until %v", s.effects, s.leadership.ValidUntil())
		}
	})
	t.Run("a lease that has surely run out frees what ran under it", func(t *testing.T) {
		s, j, m := newLeader(t)
		x := &task{job: j, index: 0, name: "req-000001/0", attempt: 9, machine: m, session: 1, startSent: true}
		s.bind(x)
		m.lastReplyAt = time.Second
		for _, c := range []struct {
			at    time.Duration
			bound bool
		}{{s.leaseEndsAt(m) - time.Millisecond, true}, {s.leaseEndsAt(m), false}} {
			s.now = c.at
			s.expireLeases()
			if bound := j.tasks[0] != nil; bound != c.bound {
				t.Errorf("at %v, the lease ends at %v: bound: %v", c.at, s.leaseEndsAt(m), bound)
			}
		}
	})
	t.Run("an entitlement that has run out is over", func(t *testing.T) {
		s, _, _ := newLeader(t)
		s.now = s.leadership.ValidUntil()
		if s.IsLeader() {
			t.Error("it leads on")
		}
	})
}

// TestUnknownStatesAndCauses: a state or reason that nobody knows, of a machine whose type
// nobody knows, ends no process; it neither unbinds a task
// nor keeps it for ever: the machine is asked to forget what has exited, and the
// task waits again once the machine no longer shows it.
func TestUnknownStatesAndCauses(t *testing.T) {
	s, j, m := newLeader(t)
	x := &task{job: j, index: 0, name: "req-000001/0", attempt: 9, machine: m, session: 1, startSent: true}
	s.bind(x)
	seq := uint64(10)
	report := func(tasks ...model.TaskReport) []model.Order {
		seq++
		r := &model.Report{Host: "n-1", Session: 1, Seq: seq, Epoch: s.epochBase(), Tasks: tasks}
		s.applyReport(m, r, true)
		return s.ordersFor(m, r)
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
	if len(orders) != 1 || orders[0].Verb != model.OrderForget {
		t.Errorf("orders %v, want to forget it", orders)
	}
	if report(); j.tasks[0] != nil || j.waitingTasks() != 3 {
		t.Errorf("no longer shown: bound: %v, %d tasks wait", j.tasks[0] != nil, j.waitingTasks())
	}
}

// TestGangSafeguards: what keeps gangs whole, each guard by itself where another
// stands behind it on the simulated days.
func TestGangSafeguards(t *testing.T) {
	gathering := func(t *testing.T) (*State, *job, *machine) {
		s, _, m := newLeader(t)
		s.cfg.GangWaitTimeout = 40 * time.Second
		s.apply(Item{Key: prefixJobs + "req-000002", Value: mustMarshal(jobValue{Spec: &model.Job{ID: "req-000002", Team: "t", Tasks: 3, CPUs: 1, Kind: model.KindGang}}), ModRevision: 6})
		j := s.jobs["req-000002"]
		for i := range 2 {
			s.bind(&task{job: j, index: i, name: model.TaskName(j.ID, i), attempt: 7, machine: m, session: 1, startSent: true, state: model.TaskGathering})
		}
		j.gang = gangStatus{attempt: 7}
		return s, j, m
	}
	t.Run("a task that is lost while others run is not replaced", func(t *testing.T) {
		for _, began := range []bool{false, true} {
			s, j, _ := gathering(t)
			j.gang.started = began
			if ready := s.isGangSchedulable(j); ready == began {
				t.Errorf("began: %v, a third task may be placed: %v", began, ready)
			}
		}
	})
	t.Run("a gang that has begun and misses a task is ended", func(t *testing.T) {
		for _, began := range []bool{false, true} {
			s, j, _ := gathering(t)
			j.gang.started = began
			s.abortIncompleteGangs()
			if j.gang.aborting != began || j.tasks[0].stopping != began {
				t.Errorf("began: %v, ended: %v", began, j.gang.aborting)
			}
		}
	})
	t.Run("a task that shows up while its gang is being ended is stopped", func(t *testing.T) {
		s, j, m := gathering(t)
		s.abortGang(j, 0)
		s.applyTaskReport(m, model.TaskReport{Task: model.TaskName(j.ID, 2), Attempt: 7, State: model.TaskGathering}, &model.Report{Session: 1})
		if x := j.tasks[2]; x == nil || !x.stopping {
			t.Errorf("the third task is adopted and goes on: %+v", x)
		}
	})
	t.Run("a gang on a machine that is drained stops as a whole, with the time to save", func(t *testing.T) {
		s, j, m := gathering(t)
		other := s.ensureMachine("n-2")
		j.CheckpointEveryS, j.CheckpointCostS, j.gang.started = 20, 4, true
		s.bind(&task{job: j, index: 2, name: model.TaskName(j.ID, 2), attempt: 7, machine: other, session: 1, startSent: true, state: model.TaskRunning})
		m.slowRuns = slowSamples
		s.findSlowMachines()
		for i, x := range j.tasks {
			if !x.stopping || x.graceS < j.CheckpointCostS {
				t.Errorf("task %d: stopped: %v, %v s to save", i, x.stopping, x.graceS)
			}
		}
	})
	t.Run("room that is being made for a gang is not made twice", func(t *testing.T) {
		s, _, _ := newLeader(t)
		s.types["small"] = &model.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, FetchGBPerS: 1}
		s.typeList = []model.MachineType{*s.types["small"]}
		low := &job{Job: model.Job{ID: "req-000003", Team: "t", Kind: model.KindBatch, Tasks: 8, CPUs: 1}, rank: model.PriorityRank(model.PriorityLow), tasks: map[int]*task{}, tasksByZone: map[string]int{}, doneBits: make([]uint64, 1)}
		g := &job{Job: model.Job{ID: "req-000004", Team: "t", Kind: model.KindGang, Tasks: 2, CPUs: 2}, rank: model.PriorityRank(model.PriorityHigh), tasks: map[int]*task{}, tasksByZone: map[string]int{}}
		g.queueEntry = &sched.Job{ID: g.ID, Waiting: 2, Need: g.need(), IsGang: true, Ref: g}
		env := &roundEnv{s: s, elapsed: func() time.Duration { return 0 }}
		for i, host := range []string{"n-1", "n-2"} {
			m := s.ensureMachine(host)
			s.describeMachine(m, "e", "small", "a", false)
			m.session, m.reconciled, m.registered, m.hasReported = 1, true, true, true
			for k := range 4 {
				s.bind(&task{job: low, index: 4*i + k, name: model.TaskName(low.ID, 4*i+k), attempt: 5, machine: m, session: 1, startSent: true, state: model.TaskRunning})
			}
			s.refreshView(m)
			env.views = append(env.views, &m.view)
		}
		stopped := func() (n int) {
			for _, x := range low.tasks {
				if x.stopping {
					n++
				}
			}
			return n
		}
		s.preemptForGang(g, env, s.usageWithoutStopping())
		if n := stopped(); n != 4 {
			t.Fatalf("%d tasks stopped, want 4", n)
		}
		s.now += s.cfg.ReportInterval // some have ended, and their room is kept
		for _, m := range s.machinesByName {
			m.viewStale = true
			s.refreshView(m)
		}
		g.queueEntry.Waiting = 2
		for _, m := range s.machinesByName { // as if others had come in between
			if m.reservedFor == nil {
				continue
			}
			for _, x := range m.tasks {
				x.stopping = false
			}
		}
		s.preemptForGang(g, env, s.usageWithoutStopping())
		if n := stopped(); n != 0 {
			t.Errorf("%d tasks more are stopped while room is kept", n)
		}
	})
	t.Run("a job's first task in a long time is not stopped for a gang", func(t *testing.T) {
		for _, c := range []struct {
			age  time.Duration
			want bool
		}{{maxFirstStartDelay / 2, false}, {maxFirstStartDelay / 4, true}} {
			s, _, m := newLeader(t)
			s.wallMs = int64(time.Hour / time.Millisecond)
			low := &job{Job: model.Job{ID: "req-000003", Team: "t", Kind: model.KindBatch, Tasks: 8}, rank: model.PriorityRank(model.PriorityLow), tasks: map[int]*task{}, tasksByZone: map[string]int{}, doneBits: make([]uint64, 1)}
			low.submittedAt = s.wallMs - int64(c.age/time.Millisecond)
			x := &task{job: low, name: "req-000003/0", machine: m, session: 1}
			s.bind(x)
			e := &eviction{s: s, job: &job{Job: model.Job{Kind: model.KindGang, Team: "t"}, rank: model.PriorityRank(model.PriorityHigh)}}
			if got := e.canStop(x, sched.Resources{}); got != c.want {
				t.Errorf("a job of %v with one task: may be stopped: %v", c.age, got)
			}
		}
	})
}

// TestImpossibleJobs: what can never run is refused, and nothing else.
func TestImpossibleJobs(t *testing.T) {
	s := newSingleController()
	s.cfg.Teams["tight"] = Team{Limit: sched.Resources{CPUs: 8}}
	s.typeList = []model.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, Zones: []string{"a", "b"}},
		{Name: "large", CPUs: 16, MemoryGB: 64, Zones: []string{"a"}},
	}
	gang := model.Job{Team: "t", Kind: model.KindGang, Tasks: 4, CPUs: 2, MemoryGB: 4}
	with := func(change func(j *model.Job)) model.Job {
		j := gang
		change(&j)
		return j
	}
	for _, c := range []struct {
		name string
		job  model.Job
		want bool
	}{
		{"a gang", gang, false},
		{"within the limit", with(func(j *model.Job) { j.Team = "tight" }), false},
		{"all tasks together beyond the limit", with(func(j *model.Job) { j.Team, j.Tasks = "tight", 5 }), true},
		{"an array whose tasks go one after the other", with(func(j *model.Job) { j.Team, j.Tasks, j.Kind = "tight", 5, model.KindBatch }), false},
		{"unknown team", with(func(j *model.Job) { j.Team = "nobody" }), true},
		{"no machine is so large", with(func(j *model.Job) { j.CPUs = 17 }), true},
		{"none in that zone", with(func(j *model.Job) { j.CPUs, j.Zone = 8, "b" }), true},
		{"spread over two zones", with(func(j *model.Job) { j.Spread = true }), false},
		{"spread, with one zone to be had", with(func(j *model.Job) { j.Spread, j.CPUs = true, 8 }), true},
		{"spread in one zone", with(func(j *model.Job) { j.Spread, j.OneZone = true, true }), true},
		{"spread in the only zone allowed", with(func(j *model.Job) { j.Spread, j.Zone = true, "a" }), true},
		{"one task, spread in one zone", with(func(j *model.Job) { j.Spread, j.OneZone, j.Tasks = true, true, 1 }), false},
		{"an array spread in one zone", with(func(j *model.Job) { j.Spread, j.OneZone, j.Kind = true, true, model.KindBatch }), false},
		{"larger than anything there is now", with(func(j *model.Job) { j.Tasks = 10_000 }), false},
	} {
		if why := s.infeasibleReason(&c.job); (why != "") != c.want {
			t.Errorf("%s: refused with %q, want to be refused: %v", c.name, why, c.want)
		}
	}
}

// TestFinalRefusalsNeedLinearizableRead: a controller whose copy lags behind must not refuse
// for good what another has accepted: a job of a former version was answered with
// 400 where the limits had been lowered since.
func TestFinalRefusalsNeedLinearizableRead(t *testing.T) {
	for _, c := range []struct {
		name   string
		job    model.Job
		status int
	}{
		{"can never run", model.Job{Team: "nobody", Kind: model.KindBatch, Tasks: 1}, 422},
		{"too long for the limits that are to come", model.Job{Team: "t", Kind: model.KindBatch, Tasks: 1, Image: strings.Repeat("x", 3000)}, 400},
		{"gangs are not set up", model.Job{Team: "t", Kind: model.KindGang, Tasks: 2}, 400},
	} {
		for _, accepted := range []bool{false, true} {
			s := newSingleController()
			s.cfg.MaxValueBytes = 2 << 10
			s.loaded, s.hasContact, s.lastContactAt = true, true, time.Second
			s.types["small"] = &model.MachineType{Name: "small", CPUs: 4, MemoryGB: 16}
			s.typeList = []model.MachineType{*s.types["small"]}
			c.job.ID = "req-000001"
			out := s.Step(time.Second, Submit{RequestID: 1, Job: c.job})
			for _, e := range out {
				if r, ok := e.(Reply); ok {
					t.Fatalf("%s: answered %d before the state service was read", c.name, r.Status)
				}
			}
			call, ok := findStoreCall(out, StoreWatch)
			if !ok {
				t.Fatalf("%s: nothing is read", c.name)
			}
			d := StoreResult{CallID: call.CallID, Status: 200, Revision: 7}
			want := c.status
			if accepted {
				d.Items = []Item{{Key: prefixJobs + c.job.ID, Value: mustMarshal(jobValue{Spec: &c.job}), ModRevision: 7}}
				want = 200
			}
			got := 0
			for _, e := range s.Step(time.Second, d) {
				if r, ok := e.(Reply); ok {
					got = r.Status
				}
			}
			if got != want {
				t.Errorf("%s, accepted before: %v: answered %d, want %d", c.name, accepted, got, want)
			}
		}
	}
}
