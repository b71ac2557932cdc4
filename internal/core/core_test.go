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

// newSingleController returns the state of a controller without peers. Tests play the
// state service, the cloud and the workers themselves.
func newSingleController() *State {
	return New(Config{
		Self: "n0", Incarnation: 1, Teams: map[string]Team{"t": {}},
		ReportInterval: 1500 * time.Millisecond, Lease: 10 * time.Second, CancelWithin: 30 * time.Second,
		StoreRPS: 150, StoreWriteRPS: 50, MaxValueBytes: 32 << 10, MaxTxnOps: 12, CloudRPS: 6, ListLag: 5 * time.Second,
		MaxDirectCommands: 64, MaxRequests: 800,
		Tuning: DefaultTuning(),
	}, 0)
}

// newLeadership puts s, which has no peers, into term 4 and returns a leadership of that
// term for the next hour. The test assigns it to s.
func newLeadership(s *State) *election.Leadership {
	s.term, s.termModRevision, s.electedAt = 4, 4, 1
	leadership := election.NewLeadership(s.electionConfig, 0, 4, 0)
	leadership.RecordPromise(0, "n0", 0)
	leadership.ConfirmElection(0, 0)
	leadership.RecordRenewal(0, time.Hour)
	return leadership
}

// findStoreCall returns the first call of op to the state service among the effects.
func findStoreCall(effects []Effect, op StoreOp) (StoreCall, bool) {
	for _, e := range effects {
		if call, ok := e.(StoreCall); ok && call.Op == op {
			return call, true
		}
	}
	return StoreCall{}, false
}

// TestRemovedKeysAreDropped guards against a replica that grows with every key that ever
// existed, and against a late reply of an old watch that restores a removed key.
func TestRemovedKeysAreDropped(t *testing.T) {
	s := newSingleController()
	listCall, _ := findStoreCall(s.Step(0, Tick{}), StoreList)
	s.Step(time.Millisecond, StoreResult{CallID: listCall.CallID, Status: 200, Revision: 4, Items: []Item{{Key: prefixMachines + "n-1", Value: []byte(`{}`), ModRevision: 3}}})
	watchCall, _ := findStoreCall(s.Step(time.Second, Tick{}), StoreWatch)
	gone := Item{Key: prefixMachines + "n-1", ModRevision: 5, Removed: true}
	s.Step(time.Second+time.Millisecond, StoreResult{CallID: watchCall.CallID, Status: 200, Revision: 5, Items: []Item{gone}})
	s.apply(Item{Key: prefixMachines + "n-1", Value: []byte(`{}`), ModRevision: 3})
	if s.modRevision(prefixMachines+"n-1") != 0 || s.machines["n-1"] != nil {
		t.Error("removed key: got it restored by an older value, want it to stay removed")
	}
	s.Step(2*time.Second, Tick{})
	if len(s.modRevisions) != 0 || len(s.removed) != 0 {
		t.Errorf("got modification revisions %v and removed keys %v, want none", s.modRevisions, s.removed)
	}
}

// TestFirstRevisionIsWatched guards against a lost first change: an empty state service
// is at revision 0. A controller that watched from revision 1 on would miss the term of
// the first election, and no later election could be won.
func TestFirstRevisionIsWatched(t *testing.T) {
	s := newSingleController()
	listCall, ok := findStoreCall(s.Step(0, Tick{}), StoreList)
	if !ok {
		t.Fatal("state service at the start: got no list call, want one")
	}
	s.Step(time.Millisecond, StoreResult{CallID: listCall.CallID, Status: 200, Revision: 0})
	watchCall, ok := findStoreCall(s.Step(time.Second, Tick{}), StoreWatch)
	if !ok || watchCall.AfterRevision != 0 {
		t.Errorf("got a watch after revision %d (found: %v), want one after revision 0", watchCall.AfterRevision, ok)
	}
}

// TestMemoryPerEntry limits the memory that the tables need for a machine, a job, and the
// outcome of a final (done or cancelled) job, which is kept for ever.
func TestMemoryPerEntry(t *testing.T) {
	heapBytes := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	const n = 4000
	bytesPerEntry := func(item func(i int) Item) float64 {
		s := newSingleController()
		listCall, _ := findStoreCall(s.Step(0, Tick{}), StoreList)
		before := heapBytes()
		for i := range n {
			s.apply(item(i))
		}
		s.effects = nil
		perEntry := (heapBytes() - before) / n
		runtime.KeepAlive(s)
		runtime.KeepAlive(listCall)
		return perEntry
	}
	machine := bytesPerEntry(func(i int) Item {
		v := machineRecord{Endpoint: fmt.Sprintf("10.1.%d.%d:9000", i/200, i%200), Type: "small", Zone: "a"}
		return Item{Key: fmt.Sprintf("%s%d", prefixPages, i+1), Value: mustMarshal(map[string]machineRecord{fmt.Sprintf("n-%06d", i): v}), ModRevision: uint64(i + 1)}
	})
	job := bytesPerEntry(func(i int) Item {
		id := fmt.Sprintf("req-%06d", i)
		return Item{Key: prefixJobs + id, Value: mustMarshal(jobValue{Spec: &model.Job{ID: id, Team: "t", Class: "c", Kind: model.KindBatch, Priority: model.PriorityLow, Tasks: 40, Image: "img"}}), ModRevision: uint64(i + 1)}
	})
	outcome := bytesPerEntry(func(i int) Item {
		return Item{Key: fmt.Sprintf("%sreq-%06d", prefixJobs, i), Value: mustMarshal(jobValue{Phase: model.PhaseDone, Tasks: 40}), ModRevision: uint64(i + 1)}
	})
	t.Logf("heap bytes per entry: machine %.0f, job %.0f, outcome %.0f", machine, job, outcome)
	if machine > 2048 || job > 2048 || outcome > 1024 {
		t.Errorf("heap bytes per entry: got machine %.0f, job %.0f, outcome %.0f; want at most 2048, 2048 and 1024", machine, job, outcome)
	}
}

// TestUnreachedControllerDelaysCampaign guards against the election of a controller that
// the workers can't reach. A controller that has stepped down for that reason must campaign
// only if no other controller has done so for a while, or once a worker has reached it.
// Otherwise it could be elected again when its successor crashes, which costs the workers
// a lease.
func TestUnreachedControllerDelaysCampaign(t *testing.T) {
	campaigns := func(s *State, at time.Duration) bool {
		for _, e := range s.Step(at, Tick{}) {
			if p, ok := e.(PeerOut); ok && p.Msg.Kind == MsgVoteRequest {
				return true
			}
		}
		return false
	}
	unreached := func() *State {
		cfg := newSingleController().cfg
		cfg.Peers = []string{"n1", "n2"}
		s := New(cfg, 0)
		s.loaded, s.hasContact, s.lastContactAt = true, true, 20*time.Second
		s.steppedDownUnreached, s.leaderKeyChangedAt = true, 20*time.Second
		return s
	}
	s := unreached()
	if campaigns(s, 20*time.Second+time.Second) {
		t.Error("unreached controller: got a campaign 1 s after the leader key changed, want none yet")
	}
	s.lastContactAt = 23 * time.Second
	if !campaigns(s, 23*time.Second) {
		t.Error("unreached controller: got no campaign 3 s after the leader key changed, more than a quarter of the lease, want one")
	}
	s = unreached()
	s.Step(20*time.Second, WorkerReport{RequestID: 1})
	if !campaigns(s, 20*time.Second+time.Second) {
		t.Error("controller that a worker has reached: got no campaign 1 s after the leader key changed, want one")
	}
}

// TestOverrunLeaderDelaysCampaign guards against slow controllers that take turns as
// leader. A controller that lost its leadership because it had too little processor time
// must let the others campaign first. Otherwise two slow controllers could take over from
// each other again and again while a third one is healthy.
func TestOverrunLeaderDelaysCampaign(t *testing.T) {
	cfg := newSingleController().cfg
	cfg.Peers = []string{"n1", "n2"}
	campaignDelay := func(leadershipExpiredAt time.Duration) time.Duration {
		s := New(cfg, 0)
		s.loaded, s.hasContact, s.leadershipExpiredAt = true, true, leadershipExpiredAt
		s.leaderKeyChangedAt = 20 * time.Second
		for at := s.leaderKeyChangedAt; at < 30*time.Second; at += 50 * time.Millisecond {
			s.lastContactAt = at
			for _, e := range s.Step(at, Tick{}) {
				if p, ok := e.(PeerOut); ok && p.Msg.Kind == MsgVoteRequest {
					return at - s.leaderKeyChangedAt
				}
			}
		}
		return time.Hour
	}
	if wait := campaignDelay(0); wait > 100*time.Millisecond {
		t.Errorf("controller that never overran: got a wait of %v, want at most 100ms", wait)
	}
	if wait, halfPromise := campaignDelay(19*time.Second), cfg.Lease*3/32; wait < halfPromise || wait > 2*halfPromise {
		t.Errorf("controller that overran 1 s ago: got a wait of %v, want %v (half of a promise) to twice that", wait, halfPromise)
	}
	if wait := campaignDelay(5 * time.Second); wait > 100*time.Millisecond {
		t.Errorf("controller that overran more than a lease ago: got a wait of %v, want at most 100ms", wait)
	}
}

// TestVotesDuringStartupWait guards against a vote that breaks a promise of the previous
// incarnation, which a controller no longer knows after a restart. Before its startup wait
// is over it may vote only if such promises can't matter. That holds if the precondition
// of the candidate's key is the modification revision of the term key that the controller
// has read since its start. In addition, the winner of that term must be the controller's
// own previous incarnation, or have confirmed that it doesn't rely on its promises.
func TestVotesDuringStartupWait(t *testing.T) {
	startingController := func(winner string) *State {
		cfg := newSingleController().cfg
		cfg.Self, cfg.Peers = "n0", []string{"n1", "n2"}
		s := New(cfg, 0)
		s.loaded, s.hasContact = true, true
		s.term, s.termModRevision, s.termWinner = 4, 40, winner
		s.campaignAt = time.Hour
		return s
	}
	granted := func(s *State, modRevision uint64) bool {
		effects := s.Step(100*time.Millisecond, PeerIn{From: "n1", Msg: PeerMsg{Kind: MsgVoteRequest, Term: 5, Stamp: modRevision, StoreOK: true}})
		for _, e := range effects {
			if p, ok := e.(PeerOut); ok && p.Msg.Kind == MsgPromise {
				return p.Msg.Granted
			}
		}
		t.Fatal("vote request: got no answer, want one")
		return false
	}
	if !granted(startingController("n0"), 40) {
		t.Error("term won by the previous incarnation: got no vote, want one")
	}
	if granted(startingController("n0"), 39) {
		t.Error("request for another revision of the term key: got a vote, want none")
	}
	if granted(startingController("n2"), 40) {
		t.Error("term won by n2, which may rely on a promise of the previous incarnation: got a vote, want none")
	}
	s := startingController("n2")
	s.Step(50*time.Millisecond, PeerIn{From: "n2", Msg: PeerMsg{Kind: MsgPromisesReleased, Ask: s.cfg.Incarnation}})
	if !granted(s, 40) {
		t.Error("term won by n2, which has released the promises: got no vote, want one")
	}
	s = startingController("n2")
	s.Step(50*time.Millisecond, PeerIn{From: "n1", Msg: PeerMsg{Kind: MsgPromisesReleased, Ask: s.cfg.Incarnation}})
	if granted(s, 40) {
		t.Error("term won by n2, promises released by n1 only: got a vote, want none")
	}
	s = startingController("n0")
	s.loaded = false
	if granted(s, 40) {
		t.Error("state not read since the start: got a vote, want none")
	}
}

// TestUserWritesGoFirst guards against users' changes that wait behind the leader's: a
// user's change goes into the next transaction, however many of the leader's are queued.
func TestUserWritesGoFirst(t *testing.T) {
	s := newSingleController()
	s.loaded, s.hasContact = true, true
	for i := range 40 {
		s.queueWrite(&write{change: Change{Key: prefixPages + string(rune('a'+i)), Value: mustMarshal(i)}, class: classBitmap, deadline: time.Hour, done: func(outcome) {}})
	}
	s.queueWrite(&write{change: Change{Key: prefixJobs + "req-000001", Value: mustMarshal(1)}, deadline: time.Hour, done: func(outcome) {}})
	txnCall, ok := findStoreCall(s.Step(time.Second, Tick{}), StoreTxn)
	if !ok || txnCall.Changes[0].Key != prefixJobs+"req-000001" {
		t.Errorf("got a first transaction (found: %v) with changes %+v, want the user's change first", ok, txnCall.Changes)
	}
}

// TestMessagesOfPreviousIncarnationIgnored guards against messages to or from a previous
// incarnation of a process, which may be delivered minutes after its restart. Their term
// or request number may be in use again, and they carry times of another clock.
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
		t.Error("promise to the previous incarnation: got it counted, want it ignored")
	}
	s.Step(time.Second, from("n1", PeerMsg{Kind: MsgPromise, Ask: 7, Term: 5, Sent: time.Second, Granted: true}))
	if !s.leadership.HasMajority(time.Second) {
		t.Error("promise to this incarnation: got it ignored, want it counted")
	}

	s = New(cfg, 0)
	s.voter.EndStartupWait()
	s.campaignAt = time.Hour
	s.Step(time.Second, from("n1", PeerMsg{Kind: MsgVoteRequest, Ask: 21, Term: 5, StoreOK: true}))
	s.Step(time.Second, from("n1", PeerMsg{Kind: MsgRelease, Ask: 20, Term: 5}))
	if _, bound := s.voter.PromisedTo(time.Second); !bound {
		t.Error("release by the previous incarnation of the candidate: got the promise to the present one released, want it kept")
	}
	s.Step(time.Second, from("n1", PeerMsg{Kind: MsgRelease, Ask: 21, Term: 5}))
	if _, bound := s.voter.PromisedTo(time.Second); bound {
		t.Error("release by the candidate: got the promise kept, want it released")
	}

	forwardedID := func(incarnation uint64) uint64 {
		cfg.Incarnation = incarnation
		s = New(cfg, 0)
		s.peers["n1"].reachesStore, s.peers["n1"].heardAt = true, time.Second
		for _, e := range s.Step(time.Second, Poll{RequestID: 1, ID: "req-000001"}) {
			if p, ok := e.(PeerOut); ok && p.Msg.Kind == MsgForward {
				return p.Msg.Ask
			}
		}
		t.Fatal("request of a user: got it not forwarded, want it forwarded")
		return 0
	}
	previousID := forwardedID(7)
	forwardedID(8)
	for _, e := range s.Step(time.Second, from("n1", PeerMsg{Kind: MsgForwardReply, Ask: previousID, Status: 200, Value: []byte("{}")})) {
		if r, ok := e.(Reply); ok {
			t.Errorf("reply to a request of the previous incarnation: got %+v sent to a user, want it ignored", r)
		}
	}
}

// TestUnresponsiveMarkLeavesTimeForSuccessor checks that a machine is not marked as
// unresponsive before its worker has had time to find the next controller, which takes up
// to five seconds after a crash. A marked machine has to wait for two writes of its
// registry page. An earlier version that marked machines too early caused 50% more tasks to
// be killed at the end of their lease in a scenario of crashes and short report intervals.
func TestUnresponsiveMarkLeavesTimeForSuccessor(t *testing.T) {
	for _, c := range []struct{ report, want time.Duration }{
		{1500 * time.Millisecond, 3 * time.Second}, // two report intervals, since the lease is short
		{2500 * time.Millisecond, 5 * time.Second}, // the time that a worker needs
		{6 * time.Second, 9 * time.Second},         // one and a half report intervals
		{3500 * time.Millisecond, 5250 * time.Millisecond},
	} {
		cfg := newSingleController().cfg
		cfg.ReportInterval, cfg.Lease, cfg.MaxClockSkew = c.report, 6*c.report, time.Second
		s := New(cfg, 0)
		s.leadership, s.pages = election.NewLeadership(s.electionConfig, 0, 1, 0), map[int]*registryPage{}
		m := s.ensureMachine("n-000001")
		m.page, m.registered = 1, true
		isMarked := func(at time.Duration) bool {
			s.now, s.nextUnresponsiveCheckAt = at, 0
			s.markUnresponsiveMachines()
			return m.unresponsiveSince != 0
		}
		if isMarked(c.want - time.Millisecond) {
			t.Errorf("report interval %v: got marked within %v without a report, want not yet", c.report, c.want)
		}
		if !isMarked(c.want) {
			t.Errorf("report interval %v: got not marked after %v without a report, want marked", c.report, c.want)
		}
	}
}

// TestFullWriteQueueRefusesAtOnce guards against users who wait for a time-out in vain: a
// submission that can't be written in time is refused when it arrives.
func TestFullWriteQueueRefusesAtOnce(t *testing.T) {
	s := newSingleController()
	s.loaded, s.hasContact, s.lastContactAt = true, true, time.Second
	s.types["small"] = &model.MachineType{Name: "small", CPUs: 4, MemoryGB: 16}
	s.typeList = []model.MachineType{*s.types["small"]}
	s.txnInFlight = true // the last transaction is still under way
	queued := 0
	for i := range 500 {
		j := model.Job{ID: fmt.Sprintf("req-%06d", i), Team: "t", Kind: model.KindBatch, Tasks: 1, CPUs: 1, MemoryGB: 1}
		for _, e := range s.Step(time.Second, Submit{RequestID: uint64(i), Job: j}) {
			if r, ok := e.(Reply); ok {
				if r.Status != 503 || r.RetryAfter < 1 {
					t.Fatalf("refused submission: got %+v, want status 503 with Retry-After", r)
				}
				if writable := float64(s.writeRate.Limit()) * userRequestTimeout.Seconds(); float64(queued) < writable {
					t.Errorf("got a refusal with %d submissions queued, want none before %.0f, which can be written in time", queued, writable)
				}
				return
			}
		}
		queued++
	}
	t.Error("got 500 submissions queued for a state service that takes 50 changes a second, want some refused")
}

// TestLeaderKeyCountsOnlyOnceWritten guards against a leader that relies on a key that
// wasn't written. A leader that loses its key while it still has a majority of promises
// writes the key again, with a new lease. An earlier version renewed the new lease even if
// that transaction had no answer or was refused, counted the key as written, and could act
// at the same time as a successor.
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
		answer := func(op StoreOp, result StoreResult) {
			t.Helper()
			c, ok := findStoreCall(s.effects, op)
			if !ok {
				t.Fatalf("status %d: got no call of %s, want one", status, op)
			}
			result.CallID = c.CallID
			s.effects = nil
			s.completeCall(c.CallID, result)
		}
		answer(StoreLease, StoreResult{Status: 200, Lease: 9})
		answer(StoreTxn, StoreResult{Status: status})
		s.renewKey()
		if c, _ := findStoreCall(s.effects, StoreRenew); c.Lease != 7 {
			t.Errorf("status %d: got a renewal of lease %d, want 7: no key is attached to the other lease", status, c.Lease)
		}
		if s.leadership.KeyValidUntil() != 0 {
			t.Errorf("status %d: got a key that counts, want none: it was not written", status)
		}
	}
}

// TestBackoffBoundedByLease checks that no backoff is longer than a lease. Without that
// limit, a job whose tasks have failed together on one machine would wait for minutes
// while other machines have free capacity.
func TestBackoffBoundedByLease(t *testing.T) {
	s := newSingleController()
	s.cfg.ReportInterval, s.cfg.Lease = 6*time.Second, 31*time.Second
	for n, want := range map[int]time.Duration{1: 6, 2: 12, 3: 24, 4: 31, 40: 31} {
		if got := s.backoff(n); got != want*time.Second {
			t.Errorf("after %d failures: got %v, want %v s", n, got, int(want))
		}
	}
}

// TestOverdueCancellations guards against cancelled tasks that run beyond the time allowed
// because the machine that still shows them is given up too late. The machine counts as
// overdue after three fifths of that time, also for a leader elected in between, which
// first tries to stop the task.
func TestOverdueCancellations(t *testing.T) {
	for _, c := range []struct {
		seen, elected, now float64
		want               bool
	}{
		{10, 1, 27, false}, // 30 s are allowed, three fifths are 18 s
		{10, 1, 29, true},
		{10, 26, 27, false}, // just elected: the stop is under way
		{10, 26, 30, true},
		{26, 26, 30, false}, // this controller has only just read of the cancellation
	} {
		s := newSingleController()
		seconds := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
		s.now, s.electedAt = seconds(c.now), seconds(c.elected)
		j := &job{Job: model.Job{ID: "req-000001"}, phase: model.PhaseAborted, finalSeenAt: seconds(c.seen)}
		s.jobs[j.ID] = j
		bound, orphaned := s.ensureMachine("n-1"), s.ensureMachine("n-2")
		bound.tasks["req-000001/0"] = &task{job: j}
		orphaned.orphanedTasks["req-000001/1"] = model.TaskReport{Task: "req-000001/1"}
		for _, m := range []*machine{bound, orphaned} {
			if got := s.hasOverdueCancelledTasks(m); got != c.want {
				t.Errorf("%s, cancellation seen at %v, elected at %v, now %v: overdue: got %v, want %v", m.host, c.seen, c.elected, c.now, got, c.want)
			}
		}
	}
}

// TestGangAttemptsAreNotMixed checks that a leader that sees two attempts of a gang stops
// both, since tasks of different attempts never find each other. It also checks that a
// machine on which a task of an attempt has ended gets no other task of that attempt,
// since it would treat the start order as a duplicate.
func TestGangAttemptsAreNotMixed(t *testing.T) {
	s := newSingleController()
	s.loaded, s.hasContact, s.caughtUp = true, true, true
	s.leadership, s.teamUsage = newLeadership(s), map[string]sched.Resources{}
	s.apply(Item{Key: prefixJobs + "req-000001", Value: mustMarshal(jobValue{Spec: &model.Job{ID: "req-000001", Team: "t", Tasks: 3, Kind: model.KindGang}}), ModRevision: 5})
	j := s.jobs["req-000001"]
	report := func(host string, index int, attempt uint64, state, cause string) *machine {
		m := s.ensureMachine(host)
		m.session = 1
		s.applyTaskReport(m, model.TaskReport{Task: model.TaskName(j.ID, index), Attempt: attempt, State: state, Cause: cause}, &model.Report{Session: 1})
		return m
	}
	first := report("n-1", 0, 7, model.TaskGathering, "")
	second := report("n-2", 1, 7, model.TaskGathering, "")
	if j.gang.aborting || !s.isGangSchedulable(j) || !s.allowed(j, first) || !s.allowed(j, second) {
		t.Fatalf("two waiting tasks of one attempt: got %+v, want a gang that can be completed on either machine", j.gang)
	}
	report("n-1", 0, 7, model.TaskExited, model.CauseNoCapacity)
	if s.allowed(j, first) || !s.allowed(j, second) || !s.isGangSchedulable(j) {
		t.Errorf("after a refusal by n-1: got allowed on n-1 %v, on n-2 %v, schedulable %v; want false, true, true", s.allowed(j, first), s.allowed(j, second), s.isGangSchedulable(j))
	}
	report("n-3", 2, 9, model.TaskGathering, "")
	for i, other := range j.tasks {
		if !other.stopping {
			t.Errorf("task %d of attempt %d beside another attempt: got it running on, want it stopping", i, other.attempt)
		}
	}
	if s.isGangSchedulable(j) {
		t.Error("two attempts being stopped: got the gang schedulable, want it not schedulable")
	}
}

// TestNewLeaderLearnsRentalTimes guards against another minimum charge for an idle machine
// after a change of leader. A new leader doesn't know when machines were rented, and
// learns it from the cloud's list.
func TestNewLeaderLearnsRentalTimes(t *testing.T) {
	s := newSingleController()
	s.types["small"] = &model.MachineType{Name: "small", BootS: 10}
	m := s.ensureMachine("n-1")
	s.describeMachine(m, "e", "small", "a", false)
	s.now, s.electedAt = 100*time.Second, 90*time.Second
	m.rentedAt, m.idleSince = s.electedAt, s.electedAt
	if s.isIdleLongEnough(m) {
		t.Error("rental time not known yet: got an idle machine to return, want it kept until its minimum charge is used up")
	}
	s.applyListedMachine(model.ListedMachine{Host: "n-1", Endpoint: "e", Type: "small", Zone: "a", State: "running", AgeS: 70})
	if !s.isIdleLongEnough(m) {
		t.Error("machine rented 70 s ago: got it kept, want it returned")
	}
	s.applyListedMachine(model.ListedMachine{Host: "n-1", Endpoint: "e", Type: "small", Zone: "a", State: "running", AgeS: 20})
	if !s.isIdleLongEnough(m) {
		t.Error("after an older list: got the machine kept, want it returned: its rental time must not move forward")
	}
}
