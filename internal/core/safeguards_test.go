package core

import (
	"slices"
	"strings"
	"testing"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// newLeader returns a controller without peers that leads in term 4, with a job of three
// tasks and a machine that has shown the term's epoch.
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

// TestSafeguardsOneByOne checks each of several safeguards alone. They protect against the
// same faults, so that no simulated scenario fails if just one of them is missing.
func TestSafeguardsOneByOne(t *testing.T) {
	t.Run("a controller does not lead before it has caught up with its election", func(t *testing.T) {
		s, _, _ := newLeader(t)
		s.caughtUp, s.revision, s.electedRevision = false, 7, 9
		s.catchUp()
		for _, read := range []struct {
			rev  uint64
			want bool
		}{{8, false}, {9, true}} {
			if s.IsLeader() {
				t.Fatal("the controller leads before it has read the state as of its election")
			}
			s.nextReadAt = 0
			s.sendLinearizableRead()
			c, ok := findStoreCall(s.effects, StoreWatch)
			if !ok {
				t.Fatal("got no read of the state service")
			}
			s.effects = nil
			s.completeCall(c.CallID, StoreResult{CallID: c.CallID, Status: 200, Revision: read.rev})
			if s.IsLeader() != read.want {
				t.Errorf("read up to revision %d, elected at 9: got IsLeader %v, want the opposite", read.rev, s.IsLeader())
			}
		}
	})
	t.Run("an answered command renews no lease", func(t *testing.T) {
		s, _, m := newLeader(t)
		m.lastReplyAt, s.now = time.Second, 5*time.Second
		endsAt := s.leaseEndsAt(m)
		s.applyReport(m, &model.Report{Host: "n-1", Session: 1, Seq: 11, Epoch: s.epochBase()}, false)
		if got := s.leaseEndsAt(m); got != endsAt {
			t.Errorf("after the command: got a lease until %v, want %v as before", got, endsAt)
		}
	})
	t.Run("a report without the term's epoch counts for completed tasks only", func(t *testing.T) {
		s, j, m := newLeader(t)
		m.reconciled = false
		s.applyReport(m, &model.Report{Host: "n-1", Session: 1, Seq: 11, Epoch: s.epochBase() - 1,
			Tasks: []model.TaskReport{{Task: "req-000001/0", Attempt: 3, State: model.TaskRunning}, {Task: "req-000001/1", Attempt: 3, State: model.TaskExited, Cause: model.CauseDone}}}, true)
		if len(j.tasks) != 0 || m.reconciled {
			t.Errorf("got %d tasks from a report that may be from before the term, want 0 and the machine not reconciled", len(j.tasks))
		}
		if !j.isDone(1) {
			t.Error("the completed task in an old report is not marked done")
		}
	})
	t.Run("an unlisted task is unbound only by a later report than the one whose answer carried its start", func(t *testing.T) {
		for _, c := range []struct {
			seq            uint64 // number of the report; the answer to report 11 carried the start
			selfSent, gone bool
		}{{11, true, false}, {12, false, false}, {12, true, true}} {
			s, j, m := newLeader(t)
			placed := &task{job: j, index: 0, name: "req-000001/0", attempt: 9, machine: m, session: 1, startSent: true, startSentSeq: 11}
			s.bind(placed)
			s.stopTask(placed, 0)
			s.applyReport(m, &model.Report{Host: "n-1", Session: 1, Seq: c.seq, Epoch: s.epochBase()}, c.selfSent)
			if gone := j.tasks[0] == nil; gone != c.gone {
				t.Errorf("report %d, sent by itself %v: got unbound %v, want the opposite", c.seq, c.selfSent, gone)
			}
		}
	})
	t.Run("a leader's writes have its term as a precondition", func(t *testing.T) {
		s, _, _ := newLeader(t)
		s.transact([]*write{{change: Change{Key: prefixPages + "1", Value: mustMarshal(1)}, leaderTerm: 4, done: func(outcome) {}}}, true)
		c, _ := findStoreCall(s.effects, StoreTxn)
		if !slices.Contains(c.Preconditions, Precondition{keyTerm, s.termModRevision}) {
			t.Errorf("got preconditions %v, want the key of the term among them", c.Preconditions)
		}
	})
	t.Run("a result is forgotten only once it is durable", func(t *testing.T) {
		s, j, m := newLeader(t)
		r := &model.Report{Host: "n-1", Session: 1, Seq: 11, Tasks: []model.TaskReport{{Task: "req-000001/0", Attempt: 3, State: model.TaskExited, Cause: model.CauseDone}}}
		s.markTaskDone(j, 0)
		if orders := s.ordersFor(m, r); len(orders) != 0 {
			t.Errorf("before the result is written: got orders %v, want none", orders)
		}
		j.chunk(0).durableBits[0] |= 1
		if orders := s.ordersFor(m, r); len(orders) != 1 || orders[0].Verb != model.OrderForget {
			t.Errorf("once the result is written: got orders %v, want one to forget the task", orders)
		}
	})
	t.Run("an answer must be sent before the right to act as leader expires", func(t *testing.T) {
		s, _, m := newLeader(t)
		s.effects = nil
		s.answerReport(pendingReport{requestID: 1, machine: m, report: &model.Report{Host: "n-1", Session: 1, Seq: 11}})
		if r, ok := s.effects[0].(Reply); !ok || r.Status != 200 || r.SendBefore != s.leadership.ValidUntil() {
			t.Errorf("got %+v, want an answer with status 200 to send before %v", s.effects, s.leadership.ValidUntil())
		}
	})
	t.Run("tasks are unbound once the lease has certainly expired", func(t *testing.T) {
		s, j, m := newLeader(t)
		placed := &task{job: j, index: 0, name: "req-000001/0", attempt: 9, machine: m, session: 1, startSent: true}
		s.bind(placed)
		m.lastReplyAt = time.Second
		for _, c := range []struct {
			at    time.Duration
			bound bool
		}{{s.leaseEndsAt(m) - time.Millisecond, true}, {s.leaseEndsAt(m), false}} {
			s.now = c.at
			s.expireLeases()
			if bound := j.tasks[0] != nil; bound != c.bound {
				t.Errorf("at %v, lease until %v: got bound %v, want the opposite", c.at, s.leaseEndsAt(m), bound)
			}
		}
	})
	t.Run("a leader stops leading when its right to act expires", func(t *testing.T) {
		s, _, _ := newLeader(t)
		s.now = s.leadership.ValidUntil()
		if s.IsLeader() {
			t.Error("got IsLeader true at the end of the right to act, want false")
		}
	})
}

// TestUnknownStatesAndCauses checks that a task report with an unknown state or cause, from
// a machine of an unknown type, does not crash the controller. Such a report must not unbind
// the task, nor keep it bound for ever: the machine is told to forget the exited task, and
// the task is requeued once the machine no longer lists it.
func TestUnknownStatesAndCauses(t *testing.T) {
	s, j, m := newLeader(t)
	bound := &task{job: j, index: 0, name: "req-000001/0", attempt: 9, machine: m, session: 1, startSent: true}
	s.bind(bound)
	seq := uint64(10)
	apply := func(tasks ...model.TaskReport) []model.Order {
		seq++
		r := &model.Report{Host: "n-1", Session: 1, Seq: seq, Epoch: s.epochBase(), Tasks: tasks}
		s.applyReport(m, r, true)
		return s.ordersFor(m, r)
	}
	for _, r := range []model.TaskReport{
		{Task: bound.name, Attempt: 9, State: "unknown_state"},
		{Task: bound.name, Attempt: 9, State: model.TaskRunning, Cause: "unknown_cause"},
		{Task: bound.name, Attempt: 9},
	} {
		if orders := apply(r); j.tasks[0] != bound || len(orders) != 0 {
			t.Errorf("%+v: got bound %v and orders %v, want true and no orders", r, j.tasks[0] == bound, orders)
		}
	}
	orders := apply(model.TaskReport{Task: bound.name, Attempt: 9, State: model.TaskExited, Cause: "unknown_cause"})
	if j.tasks[0] != bound {
		t.Error("the task was unbound by an unknown cause")
	}
	if len(orders) != 1 || orders[0].Verb != model.OrderForget {
		t.Errorf("got orders %v, want one to forget the task", orders)
	}
	if apply(); j.tasks[0] != nil || j.waitingTasks() != 3 {
		t.Errorf("once the task is no longer listed: got bound %v and %d waiting tasks, want false and 3", j.tasks[0] != nil, j.waitingTasks())
	}
}

// TestGangSafeguards checks each of the safeguards alone that make a gang run and stop as a
// whole. In the simulated scenarios, one covers for another that is missing.
func TestGangSafeguards(t *testing.T) {
	// gathering returns a leader with a gang of three, two of whose tasks wait for the third.
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
		for _, started := range []bool{false, true} {
			s, j, _ := gathering(t)
			j.gang.started = started
			if schedulable := s.isGangSchedulable(j); schedulable == started {
				t.Errorf("gang started: %v: got schedulable %v, want the opposite", started, schedulable)
			}
		}
	})
	t.Run("a started gang with a missing task is stopped", func(t *testing.T) {
		for _, started := range []bool{false, true} {
			s, j, _ := gathering(t)
			j.gang.started = started
			s.abortIncompleteGangs()
			if j.gang.aborting != started || j.tasks[0].stopping != started {
				t.Errorf("gang started: %v: got aborting %v, want aborting and its tasks stopped if started, else neither", started, j.gang.aborting)
			}
		}
	})
	t.Run("a task that is reported while its gang is being stopped is stopped too", func(t *testing.T) {
		s, j, m := gathering(t)
		s.abortGang(j, 0)
		s.applyTaskReport(m, model.TaskReport{Task: model.TaskName(j.ID, 2), Attempt: 7, State: model.TaskGathering}, &model.Report{Session: 1})
		if placed := j.tasks[2]; placed == nil || !placed.stopping {
			t.Errorf("got the third task %+v, want it bound and stopping", placed)
		}
	})
	t.Run("a gang with a task on a slow machine is stopped as a whole, with time to save", func(t *testing.T) {
		s, j, m := gathering(t)
		other := s.ensureMachine("n-2")
		j.CheckpointEveryS, j.CheckpointCostS, j.gang.started = 20, 4, true
		s.bind(&task{job: j, index: 2, name: model.TaskName(j.ID, 2), attempt: 7, machine: other, session: 1, startSent: true, state: model.TaskRunning})
		m.slowRuns = slowSamples
		s.findSlowMachines()
		for i, placed := range j.tasks {
			if !placed.stopping || placed.graceS < j.CheckpointCostS {
				t.Errorf("task %d: got stopping %v with a grace of %v s, want true and at least the checkpoint cost", i, placed.stopping, placed.graceS)
			}
		}
	})
	t.Run("capacity that is being freed for a gang is not freed twice", func(t *testing.T) {
		s, _, _ := newLeader(t)
		s.types["small"] = &model.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, FetchGBPerS: 1}
		s.typeList = []model.MachineType{*s.types["small"]}
		lowJob := &job{Job: model.Job{ID: "req-000003", Team: "t", Kind: model.KindBatch, Tasks: 8, CPUs: 1}, rank: model.PriorityRank(model.PriorityLow), tasks: map[int]*task{}, tasksByZone: map[string]int{}, doneBits: make([]uint64, 1)}
		waitingGang := &job{Job: model.Job{ID: "req-000004", Team: "t", Kind: model.KindGang, Tasks: 2, CPUs: 2}, rank: model.PriorityRank(model.PriorityHigh), tasks: map[int]*task{}, tasksByZone: map[string]int{}}
		waitingGang.queueEntry = &sched.Job{ID: waitingGang.ID, Waiting: 2, Need: waitingGang.need(), IsGang: true, Ref: waitingGang}
		env := &roundEnv{s: s, elapsed: func() time.Duration { return 0 }}
		for i, host := range []string{"n-1", "n-2"} {
			m := s.ensureMachine(host)
			s.describeMachine(m, "e", "small", "a", false)
			m.session, m.reconciled, m.registered, m.hasReported = 1, true, true, true
			for k := range 4 {
				s.bind(&task{job: lowJob, index: 4*i + k, name: model.TaskName(lowJob.ID, 4*i+k), attempt: 5, machine: m, session: 1, startSent: true, state: model.TaskRunning})
			}
			s.refreshView(m)
			env.views = append(env.views, &m.view)
		}
		stopped := func() (count int) {
			for _, placed := range lowJob.tasks {
				if placed.stopping {
					count++
				}
			}
			return count
		}
		s.preemptForGang(waitingGang, env, s.usageWithoutStopping())
		if count := stopped(); count != 4 {
			t.Fatalf("got %d tasks stopped, want 4", count)
		}
		s.now += s.cfg.ReportInterval // the freed capacity is still reserved for the gang
		for _, m := range s.machinesByName {
			m.viewStale = true
			s.refreshView(m)
		}
		waitingGang.queueEntry.Waiting = 2
		for _, m := range s.machinesByName { // as if new tasks had replaced the stopped ones
			if m.reservedFor == nil {
				continue
			}
			for _, placed := range m.tasks {
				placed.stopping = false
			}
		}
		s.preemptForGang(waitingGang, env, s.usageWithoutStopping())
		if count := stopped(); count != 0 {
			t.Errorf("got %d more tasks stopped while capacity is reserved, want 0", count)
		}
	})
	t.Run("the only task of a job that has waited long for it is not stopped for a gang", func(t *testing.T) {
		for _, c := range []struct {
			age  time.Duration
			want bool
		}{{maxFirstStartDelay / 2, false}, {maxFirstStartDelay / 4, true}} {
			s, _, m := newLeader(t)
			s.wallMs = int64(time.Hour / time.Millisecond)
			lowJob := &job{Job: model.Job{ID: "req-000003", Team: "t", Kind: model.KindBatch, Tasks: 8}, rank: model.PriorityRank(model.PriorityLow), tasks: map[int]*task{}, tasksByZone: map[string]int{}, doneBits: make([]uint64, 1)}
			lowJob.submittedAt = s.wallMs - int64(c.age/time.Millisecond)
			placed := &task{job: lowJob, name: "req-000003/0", machine: m, session: 1}
			s.bind(placed)
			search := &eviction{s: s, job: &job{Job: model.Job{Kind: model.KindGang, Team: "t"}, rank: model.PriorityRank(model.PriorityHigh)}}
			if got := search.canStop(placed, sched.Resources{}); got != c.want {
				t.Errorf("a job of age %v with one task: got canStop %v, want the opposite", c.age, got)
			}
		}
	})
}

// TestImpossibleJobs checks that exactly the jobs that can never run are refused.
func TestImpossibleJobs(t *testing.T) {
	s := newSingleController()
	s.cfg.Teams["tight"] = Team{Limit: sched.Resources{CPUs: 8}}
	s.typeList = []model.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, Zones: []string{"a", "b"}},
		{Name: "large", CPUs: 16, MemoryGB: 64, Zones: []string{"a"}},
	}
	gang := model.Job{Team: "t", Kind: model.KindGang, Tasks: 4, CPUs: 2, MemoryGB: 4}
	gangWith := func(change func(j *model.Job)) model.Job {
		j := gang
		change(&j)
		return j
	}
	for _, row := range []struct {
		name string
		job  model.Job
		want bool
	}{
		{"a gang", gang, false},
		{"a gang that needs exactly its team's limit", gangWith(func(j *model.Job) { j.Team = "tight" }), false},
		{"a gang whose tasks together exceed the limit", gangWith(func(j *model.Job) { j.Team, j.Tasks = "tight", 5 }), true},
		{"a batch job whose tasks can run one after the other", gangWith(func(j *model.Job) { j.Team, j.Tasks, j.Kind = "tight", 5, model.KindBatch }), false},
		{"unknown team", gangWith(func(j *model.Job) { j.Team = "unknown" }), true},
		{"larger than any machine type", gangWith(func(j *model.Job) { j.CPUs = 17 }), true},
		{"no machine type large enough in its zone", gangWith(func(j *model.Job) { j.CPUs, j.Zone = 8, "b" }), true},
		{"spread over two zones", gangWith(func(j *model.Job) { j.Spread = true }), false},
		{"spread, with machines that are large enough in one zone only", gangWith(func(j *model.Job) { j.Spread, j.CPUs = true, 8 }), true},
		{"spread in one zone", gangWith(func(j *model.Job) { j.Spread, j.OneZone = true, true }), true},
		{"spread in the only zone allowed", gangWith(func(j *model.Job) { j.Spread, j.Zone = true, "a" }), true},
		{"one task, spread in one zone", gangWith(func(j *model.Job) { j.Spread, j.OneZone, j.Tasks = true, true, 1 }), false},
		{"a batch job spread in one zone", gangWith(func(j *model.Job) { j.Spread, j.OneZone, j.Kind = true, true, model.KindBatch }), false},
		{"more tasks than fit on the present machines", gangWith(func(j *model.Job) { j.Tasks = 10_000 }), false},
	} {
		if reason := s.infeasibleReason(&row.job); (reason != "") != row.want {
			t.Errorf("%s: got reason %q, want a reason: %v", row.name, reason, row.want)
		}
	}
}

// TestFinalRefusalsNeedLinearizableRead checks that a controller whose replica lags does not
// finally refuse a job that another controller has accepted. Without a linearizable read, a
// job that a former version has accepted would be answered with 400 or 422 once the limits
// are lower.
func TestFinalRefusalsNeedLinearizableRead(t *testing.T) {
	for _, row := range []struct {
		name   string
		job    model.Job
		status int
	}{
		{"can never run", model.Job{Team: "unknown", Kind: model.KindBatch, Tasks: 1}, 422},
		{"longer than a value in the state service may be", model.Job{Team: "t", Kind: model.KindBatch, Tasks: 1, Image: strings.Repeat("x", 3000)}, 400},
		{"a gang, while the settings have no gang timeouts", model.Job{Team: "t", Kind: model.KindGang, Tasks: 2}, 400},
	} {
		for _, accepted := range []bool{false, true} {
			s := newSingleController()
			s.cfg.MaxValueBytes = 2 << 10
			s.loaded, s.hasContact, s.lastContactAt = true, true, time.Second
			s.types["small"] = &model.MachineType{Name: "small", CPUs: 4, MemoryGB: 16}
			s.typeList = []model.MachineType{*s.types["small"]}
			row.job.ID = "req-000001"
			effects := s.Step(time.Second, Submit{RequestID: 1, Job: row.job})
			for _, effect := range effects {
				if r, ok := effect.(Reply); ok {
					t.Fatalf("%s: got answer %d before the state service was read, want none", row.name, r.Status)
				}
			}
			call, ok := findStoreCall(effects, StoreWatch)
			if !ok {
				t.Fatalf("%s: got no read of the state service", row.name)
			}
			result := StoreResult{CallID: call.CallID, Status: 200, Revision: 7}
			want := row.status
			if accepted {
				result.Items = []Item{{Key: prefixJobs + row.job.ID, Value: mustMarshal(jobValue{Spec: &row.job}), ModRevision: 7}}
				want = 200
			}
			got := 0
			for _, effect := range s.Step(time.Second, result) {
				if r, ok := effect.(Reply); ok {
					got = r.Status
				}
			}
			if got != want {
				t.Errorf("%s, accepted before: %v: got status %d, want %d", row.name, accepted, got, want)
			}
		}
	}
}
