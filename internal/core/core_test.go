package core

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"mulleinfall/internal/election"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// newSingleController makes the state of a controller without peers, for tests that play
// the outside by hand.
func newSingleController() *State {
	return New(Config{
		Self: "n0", Incarnation: 1, Teams: map[string]Team{"t": {}},
		ReportInterval: 1500 * time.Millisecond, Lease: 10 * time.Second, CancelWithin: 30 * time.Second,
		StoreRPS: 150, StoreWriteRPS: 50, MaxValueBytes: 32 << 10, MaxTxnOps: 12, CloudRPS: 6, ListLag: 5 * time.Second,
		MaxDirectCommands: 64, MaxRequests: 800,
		Tuning: DefaultTuning(),
	}, 0)
}

// newLeadership makes s, which has no peers, the leader of term 4 until further notice.
func newLeadership(s *State) *election.Leadership {
	s.term, s.termModRevision, s.electedAt = 4, 4, 1
	t := election.NewLeadership(s.electionConfig, 0, 4, 0)
	t.RecordPromise(0, "n0", 0)
	t.ConfirmElection(0, 0)
	t.RecordRenewal(0, time.Hour)
	return t
}

func findStoreCall(effects []Effect, op StoreOp) (StoreCall, bool) {
	for _, e := range effects {
		if c, ok := e.(StoreCall); ok && c.Op == op {
			return c, true
		}
	}
	return StoreCall{}, false
}

// TestRemovedKeysAreDropped: the copy of the state must not grow with every
// key that ever was, and an old watch's news must not bring one back.
func TestRemovedKeysAreDropped(t *testing.T) {
	s := newSingleController()
	c, _ := findStoreCall(s.Step(0, Tick{}), StoreList)
	s.Step(time.Millisecond, StoreResult{CallID: c.CallID, Status: 200, Revision: 4, Items: []Item{{Key: prefixMachines + "n-1", Value: []byte(`{}`), ModRevision: 3}}})
	w, _ := findStoreCall(s.Step(time.Second, Tick{}), StoreWatch)
	gone := Item{Key: prefixMachines + "n-1", ModRevision: 5, Removed: true}
	s.Step(time.Second+time.Millisecond, StoreResult{CallID: w.CallID, Status: 200, Revision: 5, Items: []Item{gone}})
	s.apply(Item{Key: prefixMachines + "n-1", Value: []byte(`{}`), ModRevision: 3})
	if s.modRevision(prefixMachines+"n-1") != 0 || s.machines["n-1"] != nil {
		t.Error("old news brought a removed key back")
	}
	s.Step(2*time.Second, Tick{})
	if len(s.modRevisions) != 0 || len(s.removed) != 0 {
		t.Errorf("still kept: %v %v", s.modRevisions, s.removed)
	}
}

// TestFirstRevisionIsWatched: an empty store is at revision 0. A controller
// that watched from 1 on missed the term of the first election, and no later
// election could be won.
func TestFirstRevisionIsWatched(t *testing.T) {
	s := newSingleController()
	c, ok := findStoreCall(s.Step(0, Tick{}), StoreList)
	if !ok {
		t.Fatal("nothing is read at the start")
	}
	s.Step(time.Millisecond, StoreResult{CallID: c.CallID, Status: 200, Revision: 0})
	w, ok := findStoreCall(s.Step(time.Second, Tick{}), StoreWatch)
	if !ok || w.AfterRevision != 0 {
		t.Errorf("watch after %d (asked: %v), want 0", w.AfterRevision, ok)
	}
}

// TestMemoryPerEntry bounds what the tables take of the memory: a machine, a job, and
// the outcome of a job that is over, which is kept for ever.
func TestMemoryPerEntry(t *testing.T) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	const n = 4000
	grows := func(item func(i int) Item) float64 {
		s := newSingleController()
		c, _ := findStoreCall(s.Step(0, Tick{}), StoreList)
		before := heap()
		for i := range n {
			s.apply(item(i))
		}
		s.effects = nil
		each := (heap() - before) / n
		runtime.KeepAlive(s)
		runtime.KeepAlive(c)
		return each
	}
	machine := grows(func(i int) Item {
		v := machineRecord{Endpoint: fmt.Sprintf("10.1.%d.%d:9000", i/200, i%200), Type: "small", Zone: "a"}
		return Item{Key: fmt.Sprintf("%s%d", prefixPages, i+1), Value: mustMarshal(map[string]machineRecord{fmt.Sprintf("n-%06d", i): v}), ModRevision: uint64(i + 1)}
	})
	job := grows(func(i int) Item {
		id := fmt.Sprintf("req-%06d", i)
		return Item{Key: prefixJobs + id, Value: mustMarshal(jobValue{Spec: &model.Job{ID: id, Team: "t", Class: "c", Kind: model.KindBatch, Priority: model.PriorityLow, Tasks: 40, Image: "img"}}), ModRevision: uint64(i + 1)}
	})
	over := grows(func(i int) Item {
		return Item{Key: fmt.Sprintf("%sreq-%06d", prefixJobs, i), Value: mustMarshal(jobValue{Phase: model.PhaseDone, Tasks: 40}), ModRevision: uint64(i + 1)}
	})
	t.Logf("bytes of the heap: a machine %.0f, a job %.0f, an outcome %.0f", machine, job, over)
	if machine > 2048 || job > 2048 || over > 1024 {
		t.Errorf("bytes of the heap: a machine %.0f, a job %.0f, an outcome %.0f; at most 2048, 2048 and 1024 are allowed", machine, job, over)
	}
}

// TestUnreachedControllerDelaysCampaign: a node that gave up leading because no
// worker reached it was elected again when its successor crashed, and cost the
// workers a lease. It now runs only when nobody else has after a while, or
// once a worker has come.
func TestUnreachedControllerDelaysCampaign(t *testing.T) {
	claims := func(s *State, at time.Duration) bool {
		for _, e := range s.Step(at, Tick{}) {
			if p, ok := e.(PeerOut); ok && p.Msg.Kind == MsgVoteRequest {
				return true
			}
		}
		return false
	}
	fresh := func() *State {
		cfg := newSingleController().cfg
		cfg.Peers = []string{"n1", "n2"}
		s := New(cfg, 0)
		s.loaded, s.hasContact, s.lastContactAt = true, true, 20*time.Second
		s.steppedDownUnreached, s.leaderKeyGoneAt = true, 20*time.Second
		return s
	}
	s := fresh()
	if claims(s, 20*time.Second+time.Second) {
		t.Error("it ran at once")
	}
	s.lastContactAt = 23 * time.Second
	if !claims(s, 23*time.Second) {
		t.Error("it does not run though nobody else has for a quarter of the lease")
	}
	s = fresh()
	s.Step(20*time.Second, WorkerReport{RequestID: 1})
	if !claims(s, 20*time.Second+time.Second) {
		t.Error("a worker has come, and it does not run")
	}
}

// TestOverrunLeaderDelaysCampaign: a controller that could not keep its own
// term up, short of processor time, gives the others a start. Two slow ones
// passed the lead to and fro, a takeover each time, while a third was well.
func TestOverrunLeaderDelaysCampaign(t *testing.T) {
	cfg := newSingleController().cfg
	cfg.Peers = []string{"n1", "n2"}
	runs := func(entitlementLostAt time.Duration) time.Duration {
		s := New(cfg, 0)
		s.loaded, s.hasContact, s.leadershipExpiredAt = true, true, entitlementLostAt
		s.leaderKeyGoneAt = 20 * time.Second
		for at := s.leaderKeyGoneAt; at < 30*time.Second; at += 50 * time.Millisecond {
			s.lastContactAt = at
			for _, e := range s.Step(at, Tick{}) {
				if p, ok := e.(PeerOut); ok && p.Msg.Kind == MsgVoteRequest {
					return at - s.leaderKeyGoneAt
				}
			}
		}
		return time.Hour
	}
	if wait := runs(0); wait > 100*time.Millisecond {
		t.Errorf("a controller that is well waits %v", wait)
	}
	if wait, half := runs(19*time.Second), cfg.Lease*3/32; wait < half || wait > 2*half {
		t.Errorf("one that overran waits %v, want half of a promise, %v, and not for ever", wait, half)
	}
	if wait := runs(5 * time.Second); wait > 100*time.Millisecond {
		t.Errorf("one that overran more than a lease ago still waits %v", wait)
	}
}

// TestVotesDuringStartupWait: a controller that has just started doesn't know
// what its earlier life promised. It supports a candidate at once only where
// that can't matter: the candidate's key is guarded by the version of the term
// that was read since the start, and the holder of that term is this node's own
// earlier life or has said that it counts on nothing.
func TestVotesDuringStartupWait(t *testing.T) {
	asleep := func(holder string) *State {
		cfg := newSingleController().cfg
		cfg.Self, cfg.Peers = "n0", []string{"n1", "n2"}
		s := New(cfg, 0)
		s.loaded, s.hasContact = true, true
		s.term, s.termModRevision, s.termWinner = 4, 40, holder
		s.campaignAt = time.Hour
		return s
	}
	granted := func(s *State, stamp uint64) bool {
		out := s.Step(100*time.Millisecond, PeerIn{From: "n1", Msg: PeerMsg{Kind: MsgVoteRequest, Term: 5, Stamp: stamp, StoreOK: true}})
		for _, e := range out {
			if p, ok := e.(PeerOut); ok && p.Msg.Kind == MsgPromise {
				return p.Msg.Granted
			}
		}
		t.Fatal("the claim was not answered")
		return false
	}
	if !granted(asleep("n0"), 40) {
		t.Error("it sleeps out promises that only its own earlier life could have needed")
	}
	if granted(asleep("n0"), 39) {
		t.Error("it supports a candidate whose key is not guarded by the term that it has read")
	}
	if granted(asleep("n2"), 40) {
		t.Error("it supports a candidate though n2 may lead by a promise of its earlier life")
	}
	s := asleep("n2")
	s.Step(50*time.Millisecond, PeerIn{From: "n2", Msg: PeerMsg{Kind: MsgPromisesReleased, Ask: s.cfg.Incarnation}})
	if !granted(s, 40) {
		t.Error("n2 has said that it counts on nothing, and it sleeps on")
	}
	s = asleep("n2")
	s.Step(50*time.Millisecond, PeerIn{From: "n1", Msg: PeerMsg{Kind: MsgPromisesReleased, Ask: s.cfg.Incarnation}})
	if granted(s, 40) {
		t.Error("it took n1's word for n2's")
	}
	s = asleep("n0")
	s.loaded = false
	if granted(s, 40) {
		t.Error("it supports a candidate by a version that it has not read")
	}
}

// TestUserWritesGoFirst: however much the leader has to write, what a user waits for
// is in the next transaction.
func TestUserWritesGoFirst(t *testing.T) {
	s := newSingleController()
	s.loaded, s.hasContact = true, true
	for i := range 40 {
		s.queueWrite(&write{change: Change{Key: prefixPages + string(rune('a'+i)), Value: mustMarshal(i)}, class: classBitmap, deadline: time.Hour, done: func(outcome) {}})
	}
	s.queueWrite(&write{change: Change{Key: prefixJobs + "req-000001", Value: mustMarshal(1)}, deadline: time.Hour, done: func(outcome) {}})
	c, ok := findStoreCall(s.Step(time.Second, Tick{}), StoreTxn)
	if !ok || c.Changes[0].Key != prefixJobs+"req-000001" {
		t.Errorf("the first transaction (%v) begins with %+v", ok, c.Changes)
	}
}

// TestMessagesOfPreviousIncarnationIgnored: what was said to or by a process before it
// started anew may be delivered minutes later. Its terms and questions may have
// the same numbers as those of now, its clock showed another time.
func TestMessagesOfPreviousIncarnationIgnored(t *testing.T) {
	cfg := newSingleController().cfg
	cfg.Self, cfg.Peers, cfg.Incarnation = "n0", []string{"n1", "n2"}, 7
	from := func(name string, m PeerMsg) PeerIn { return PeerIn{From: name, Msg: m} }

	s := New(cfg, 0)
	s.voter.EndStartupWait()
	s.leadership = election.NewLeadership(s.electionConfig, time.Second, 5, 0)
	s.campaignAt = time.Hour
	s.Step(time.Second, from("n1", PeerMsg{Kind: MsgPromise, Ask: 6, Term: 5, Sent: 5 * time.Minute, Granted: true}))
	if s.leadership.HasMajority(time.Second) {
		t.Error("a promise to an earlier life is counted")
	}
	s.Step(time.Second, from("n1", PeerMsg{Kind: MsgPromise, Ask: 7, Term: 5, Sent: time.Second, Granted: true}))
	if !s.leadership.HasMajority(time.Second) {
		t.Error("a promise to this life is not counted")
	}

	s = New(cfg, 0)
	s.voter.EndStartupWait()
	s.campaignAt = time.Hour
	s.Step(time.Second, from("n1", PeerMsg{Kind: MsgVoteRequest, Ask: 21, Term: 5, StoreOK: true}))
	s.Step(time.Second, from("n1", PeerMsg{Kind: MsgRelease, Ask: 20, Term: 5}))
	if _, bound := s.voter.PromisedTo(time.Second); !bound {
		t.Error("the end of an earlier life's candidacy frees the promise to this one")
	}
	s.Step(time.Second, from("n1", PeerMsg{Kind: MsgRelease, Ask: 21, Term: 5}))
	if _, bound := s.voter.PromisedTo(time.Second); bound {
		t.Error("the end of the candidacy does not free the promise")
	}

	ask := func(boot uint64) uint64 {
		cfg.Incarnation = boot
		s = New(cfg, 0)
		s.peers["n1"].reachesStore, s.peers["n1"].heardAt = true, time.Second
		for _, e := range s.Step(time.Second, Poll{RequestID: 1, ID: "req-000001"}) {
			if p, ok := e.(PeerOut); ok && p.Msg.Kind == MsgForward {
				return p.Msg.Ask
			}
		}
		t.Fatal("the question is not passed on")
		return 0
	}
	old := ask(7)
	ask(8)
	for _, e := range s.Step(time.Second, from("n1", PeerMsg{Kind: MsgForwardReply, Ask: old, Status: 200, Value: []byte("{}")})) {
		if r, ok := e.(Reply); ok {
			t.Errorf("the answer to an earlier life's question answers this one's: %+v", r)
		}
	}
}

// TestUnresponsiveMarkLeavesTimeForSuccessor: after a crash workers come to the successor
// within five seconds. Marked as silent before that, each had to wait for two
// writes of its page, and on a day of crashes at short reports half as many
// tasks again were killed by their lease.
func TestUnresponsiveMarkLeavesTimeForSuccessor(t *testing.T) {
	for _, c := range []struct{ report, want time.Duration }{
		{1500 * time.Millisecond, 3 * time.Second}, // two reports, where a lease is short
		{2500 * time.Millisecond, 5 * time.Second}, // as long as a worker needs
		{6 * time.Second, 9 * time.Second},         // a report and a half
		{3500 * time.Millisecond, 5250 * time.Millisecond},
	} {
		cfg := newSingleController().cfg
		cfg.ReportInterval, cfg.Lease, cfg.MaxClockSkew = c.report, 6*c.report, time.Second
		s := New(cfg, 0)
		s.leadership, s.pages = election.NewLeadership(s.electionConfig, 0, 1, 0), map[int]*registryPage{}
		m := s.ensureMachine("n-000001")
		m.page, m.registered = 1, true
		marked := func(at time.Duration) bool {
			s.now, s.nextUnresponsiveCheckAt = at, 0
			s.markUnresponsiveMachines()
			return m.unresponsiveSince != 0
		}
		if marked(c.want - time.Millisecond) {
			t.Errorf("reports every %v: marked before %v of silence", c.report, c.want)
		}
		if !marked(c.want) {
			t.Errorf("reports every %v: not marked after %v of silence", c.report, c.want)
		}
	}
}

// TestFullWriteQueueRefusesAtOnce: a submission that couldn't be written before it
// is given up is refused when it comes, not when its time is over.
func TestFullWriteQueueRefusesAtOnce(t *testing.T) {
	s := newSingleController()
	s.loaded, s.hasContact, s.lastContactAt = true, true, time.Second
	s.types["small"] = &model.MachineType{Name: "small", CPUs: 4, MemoryGB: 16}
	s.typeList = []model.MachineType{*s.types["small"]}
	s.txnInFlight = true // the last transaction is still under way
	taken := 0
	for i := range 500 {
		j := model.Job{ID: fmt.Sprintf("req-%06d", i), Team: "t", Kind: model.KindBatch, Tasks: 1, CPUs: 1, MemoryGB: 1}
		for _, e := range s.Step(time.Second, Submit{RequestID: uint64(i), Job: j}) {
			if r, ok := e.(Reply); ok {
				if r.Status != 503 || r.RetryAfter < 1 {
					t.Fatalf("answered %+v", r)
				}
				if can := float64(s.writeRate.Limit()) * userRequestTimeout.Seconds(); float64(taken) < can {
					t.Errorf("refused with %d waiting, though %.0f can be written in time", taken, can)
				}
				return
			}
		}
		taken++
	}
	t.Error("500 submissions wait for a state service that takes 50 changes a second")
}

// TestLeaderKeyCountsOnlyOnceWritten: a leader whose key was lost while promises
// carried it sets it again. Where that transaction had no answer or was refused,
// it kept the new lease up all the same and took it for the key, with which it
// would have acted beside a successor.
func TestLeaderKeyCountsOnlyOnceWritten(t *testing.T) {
	for _, status := range []int{0, 409, 503} {
		s := newSingleController()
		s.loaded, s.hasContact = true, true
		s.leadership = election.NewLeadership(s.electionConfig, 0, 4, 0)
		s.term, s.termModRevision, s.leaseID, s.electedAt, s.caughtUp = 4, 40, 7, 1, true
		s.leadership.RecordPromise(0, "n0", 0)
		s.leadership.ConfirmElection(0, 0)
		s.leadership.RecordKeyLoss()
		s.recreateKey()
		answer := func(op StoreOp, d StoreResult) {
			t.Helper()
			c, ok := findStoreCall(s.effects, op)
			if !ok {
				t.Fatalf("status %d: no call of %s", status, op)
			}
			d.CallID = c.CallID
			s.effects = nil
			s.completeCall(c.CallID, d)
		}
		answer(StoreLease, StoreResult{Status: 200, Lease: 9})
		answer(StoreTxn, StoreResult{Status: status})
		s.renewKey()
		if c, _ := findStoreCall(s.effects, StoreRenew); c.Lease != 7 {
			t.Errorf("status %d: lease %d is kept up, though no key hangs on it", status, c.Lease)
		}
		if s.leadership.KeyValidUntil() != 0 {
			t.Errorf("status %d: the key counts though it isn't set", status)
		}
	}
}

// TestBackoffBoundedByLease: whatever fails, nobody waits longer than a lease for it: a
// job whose tasks failed together on one machine waited for minutes beside
// others with room.
func TestBackoffBoundedByLease(t *testing.T) {
	s := newSingleController()
	s.cfg.ReportInterval, s.cfg.Lease = 6*time.Second, 31*time.Second
	for n, want := range map[int]time.Duration{1: 6, 2: 12, 3: 24, 4: 31, 40: 31} {
		if got := s.backoff(n); got != want*time.Second {
			t.Errorf("after %d failures: %v, want %v s", n, got, int(want))
		}
	}
}

// TestOverdueCancellations: a machine that still shows a withdrawn job's task is
// given up after three fifths of the time allowed, also by a leader elected in
// between, which first tries to stop it.
func TestOverdueCancellations(t *testing.T) {
	for _, c := range []struct {
		seen, elected, now float64
		want               bool
	}{
		{10, 1, 27, false}, // 30 s are allowed
		{10, 1, 29, true},
		{10, 26, 27, false}, // just elected: the stop is under way
		{10, 26, 30, true},
		{26, 26, 30, false}, // this life has just read of it
	} {
		s := newSingleController()
		at := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
		s.now, s.electedAt = at(c.now), at(c.elected)
		j := &job{Job: model.Job{ID: "req-000001"}, phase: model.PhaseAborted, finalSeenAt: at(c.seen)}
		s.jobs[j.ID] = j
		bound, orphaned := s.ensureMachine("n-1"), s.ensureMachine("n-2")
		bound.tasks["req-000001/0"] = &task{job: j}
		orphaned.orphanedTasks["req-000001/1"] = model.TaskReport{Task: "req-000001/1"}
		for _, m := range []*machine{bound, orphaned} {
			if got := s.hasOverdueCancelledTasks(m); got != c.want {
				t.Errorf("%s, seen at %v, elected at %v, now %v: given up: %v, want %v", m.host, c.seen, c.elected, c.now, got, c.want)
			}
		}
	}
}

// TestGangAttemptsAreNotMixed: tasks of different attempts never find each other, so a
// leader that finds both stops them; and a machine on which a task of the
// attempt has ended would take another start of it for a repeat.
func TestGangAttemptsAreNotMixed(t *testing.T) {
	s := newSingleController()
	s.loaded, s.hasContact, s.caughtUp = true, true, true
	s.leadership, s.teamUsage = newLeadership(s), map[string]sched.Resources{}
	s.apply(Item{Key: prefixJobs + "req-000001", Value: mustMarshal(jobValue{Spec: &model.Job{ID: "req-000001", Team: "t", Tasks: 3, Kind: model.KindGang}}), ModRevision: 5})
	j := s.jobs["req-000001"]
	shows := func(host string, index int, attempt uint64, state, cause string) *machine {
		m := s.ensureMachine(host)
		m.session = 1
		s.applyTaskReport(m, model.TaskReport{Task: model.TaskName(j.ID, index), Attempt: attempt, State: state, Cause: cause}, &model.Report{Session: 1})
		return m
	}
	a := shows("n-1", 0, 7, model.TaskGathering, "")
	b := shows("n-2", 1, 7, model.TaskGathering, "")
	if j.gang.aborting || !s.isGangSchedulable(j) || !s.allowed(j, a) || !s.allowed(j, b) {
		t.Fatalf("two tasks of one attempt wait: %+v", j.gang)
	}
	shows("n-1", 0, 7, model.TaskExited, model.CauseNoCapacity)
	if s.allowed(j, a) || !s.allowed(j, b) || !s.isGangSchedulable(j) {
		t.Errorf("after a refusal by n-1: allowed there %v, on n-2 %v, a replacement may go %v", s.allowed(j, a), s.allowed(j, b), s.isGangSchedulable(j))
	}
	shows("n-3", 2, 9, model.TaskGathering, "")
	for i, x := range j.tasks {
		if !x.stopping {
			t.Errorf("task %d of attempt %d goes on beside another attempt", i, x.attempt)
		}
	}
	if s.isGangSchedulable(j) {
		t.Error("tasks are placed while both attempts are being ended")
	}
}

// TestNewLeaderLearnsRentalTimes: a new leader doesn't know when machines were rented.
// The list tells, and an idle one goes back without another minimum charge.
func TestNewLeaderLearnsRentalTimes(t *testing.T) {
	s := newSingleController()
	s.types["small"] = &model.MachineType{Name: "small", BootS: 10}
	m := s.ensureMachine("n-1")
	s.describeMachine(m, "e", "small", "a", false)
	s.now, s.electedAt = 100*time.Second, 90*time.Second
	m.rentedAt, m.idleSince = s.electedAt, s.electedAt
	if s.isIdleLongEnough(m) {
		t.Error("given back before it is known that its minimum charge is used up")
	}
	s.applyListedMachine(model.ListedMachine{Host: "n-1", Endpoint: "e", Type: "small", Zone: "a", State: "running", AgeS: 70})
	if !s.isIdleLongEnough(m) {
		t.Error("kept though the cloud says that it was rented 70 s ago")
	}
	s.applyListedMachine(model.ListedMachine{Host: "n-1", Endpoint: "e", Type: "small", Zone: "a", State: "running", AgeS: 20})
	if !s.isIdleLongEnough(m) {
		t.Error("an older list made it younger")
	}
}
