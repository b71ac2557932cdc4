package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// TestGuaranteePreemptsBorrower: a team that borrows all machines has to give back
// what another team's guarantee needs, though the priorities are equal.
func TestGuaranteePreemptsBorrower(t *testing.T) {
	opt := DefaultOptions(4)
	opt.Capacity = 1 // three machines of 4 CPUs, and three spot ones that nobody may use
	opt.Config.Teams["own"] = core.Team{Guaranteed: sched.Resources{CPUs: 4}}
	w := New(opt)
	big := batchJob("req-000001", 12)
	w.At(second, func() { w.Users.Submit(big, 200*second) })
	small := batchJob("req-000002", 4)
	small.Team = "own"
	w.At(60*second, func() { w.Users.Submit(small, 10*second) })
	w.RunUntil(100 * second)
	if n := len(w.Checker.jobs["req-000002"].doneTasks); n != 4 {
		t.Errorf("%d of 4 tasks within the guarantee are done after 40 s", n)
	}
	if n := len(w.Checker.jobs["req-000001"].runningOn); n < 8 {
		t.Errorf("the borrower has %d tasks left, want the 8 that nobody claims", n)
	}
}

// TestEqualPriorityIsNotPreempted: without a guarantee, work doesn't stop work of
// its own priority.
func TestEqualPriorityIsNotPreempted(t *testing.T) {
	opt := DefaultOptions(4)
	opt.Capacity = 1
	w := New(opt)
	w.At(second, func() { w.Users.Submit(batchJob("req-000001", 12), 200*second) })
	other := batchJob("req-000002", 4)
	other.Team = "tight"
	w.At(60*second, func() { w.Users.Submit(other, 10*second) })
	w.RunUntil(100 * second)
	if n := len(w.Checker.jobs["req-000001"].runningOn); n != 12 {
		t.Errorf("%d of 12 tasks run on", n)
	}
}

// TestProdPreemptsOnlyWhatItNeeds: a replica that finds no room stops lower work,
// and only as much as it needs.
func TestProdPreemptsOnlyWhatItNeeds(t *testing.T) {
	opt := DefaultOptions(4)
	opt.Capacity = 1
	w := New(opt)
	low := batchJob("req-000001", 12)
	low.Priority = model.PriorityLow
	w.At(second, func() { w.Users.Submit(low, 200*second) })
	w.At(60*second, func() { w.Users.Submit(serviceJob("req-000002", 1), 0) })
	w.RunUntil(75 * second)
	if w.runningMachine("req-000002/0") == nil {
		t.Error("the replica does not run 15 s later")
	}
	if n := len(w.Checker.jobs["req-000001"].runningOn); n != 10 {
		t.Errorf("%d low tasks left of 12, want 10", n)
	}
}

// TestIdleMachinesServeDuringCloudOutage: a return that the cloud refused
// leaves the machine as it was. It used to stand empty until the cloud was
// back, while jobs waited for it.
func TestIdleMachinesServeDuringCloudOutage(t *testing.T) {
	w := New(DefaultOptions(4))
	w.At(second, func() { w.Users.Submit(batchJob("req-000001", 4), 5*second) })
	w.At(20*second, func() { w.Cloud.Unavailable = true })
	w.At(120*second, func() { w.Users.Submit(batchJob("req-000002", 4), 5*second) })
	w.RunUntil(150 * second)
	if n := len(w.Checker.jobs["req-000002"].doneTasks); n != 4 {
		t.Errorf("%d of 4 tasks done on the idle machine after 30 s", n)
	}
}

// TestGangRunsTogether: all tasks of a gang start in one round, and when one
// is lost with its machine none of the others runs on without it.
func TestGangRunsTogether(t *testing.T) {
	w := New(DefaultOptions(4))
	g := batchJob("req-000001", 6)
	g.Kind, g.CPUs = model.KindGang, 2
	w.At(second, func() { w.Users.Submit(g, 30*second) })
	var seen []int
	for at := 2 * second; at < 120*second; at += second {
		w.At(at, func() {
			if tr := w.Checker.jobs["req-000001"]; tr != nil && len(tr.doneTasks) == 0 {
				seen = append(seen, len(tr.runningOn))
			}
		})
	}
	w.At(40*second, func() {
		if wk := w.runningMachine("req-000001/0"); wk != nil {
			w.Cloud.RemoveMachine(wk.info.Host)
		}
	})
	w.RunUntil(120 * second)
	full, part := 0, 0
	for _, n := range seen {
		switch {
		case n == 6:
			full++
		case n > 0:
			part++
		}
	}
	// Parts are seen only while images arrive and while a lost lease is
	// waited out.
	if full == 0 || len(w.Checker.jobs["req-000001"].doneTasks) != 6 {
		t.Errorf("all six together for %d s, parts for %d s, %d done", full, part, len(w.Checker.jobs["req-000001"].doneTasks))
	}
	for _, b := range w.Checker.Violations {
		t.Error(b)
	}
}

// TestLowPriorityJobDoesNotStarve: more urgent work than the machines can do, all the time,
// with a burst of replicas on top and a machine lost. The largest and least
// urgent job begins all the same.
func TestLowPriorityJobDoesNotStarve(t *testing.T) {
	opt := DefaultOptions(6)
	opt.Capacity = 1 // three machines of 4 CPUs, and three spot ones that nobody may use
	w := New(opt)
	n := 1
	for at := second; at < 300*second; at += 4 * second {
		n++
		j := batchJob(fmt.Sprintf("req-%06d", n), 6) // 6 tasks of 12 s every 4 s: half as much again as there is room for
		w.At(at, func() { w.Users.Submit(j, 12*second) })
	}
	for _, at := range []time.Duration{20, 21, 22} {
		n++
		j := serviceJob(fmt.Sprintf("req-%06d", n), 1)
		j.Class = "prod"
		w.At(at*second, func() { w.Users.Submit(j, 0) })
	}
	w.At(100*second, func() { w.Cloud.RemoveMachine(sortedKeys(w.Cloud.machines)[0]) })
	low := batchJob("req-000001", 3)
	low.Class, low.Priority, low.CPUs, low.Image = "low", model.PriorityLow, 2, "low"
	w.At(30*second, func() { w.Users.Submit(low, 12*second) })
	w.RunUntil(290 * second)
	w.Checker.CheckServed()
	for _, b := range w.Checker.Violations {
		t.Error(b)
	}
}

// TestUnresponsiveMachineLeaseIsNotRenewed: a machine comes back from a hang while the
// state service is away, so that its mark as silent can't be taken off the
// roster; then the leader crashes. Its successor goes by the mark, so nobody
// may have renewed the machine's lease in the meantime.
func TestUnresponsiveMachineLeaseIsNotRenewed(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		w := New(DefaultOptions(seed))
		long := batchJob("req-000001", 12) // three machines
		w.At(second, func() { w.Users.Submit(long, 90*second) })
		// Others leave room when it matters, on machines that aren't returned yet.
		w.At(second, func() { w.Users.Submit(batchJob("req-000002", 8), 25*second) })
		w.At(40*second, func() { w.runningMachine("req-000001/0").Pause(6 * second) })
		w.At(45500*time.Millisecond, func() { w.Store.Unavailable = true })
		w.At(49*second, func() { w.Leader().Crash() })
		w.At(50*second, w.Store.Recover)
		w.RunUntil(100 * second)
		for _, b := range w.Checker.Violations {
			t.Errorf("seed %d: %s", seed, b)
		}
		if w.Checker.TaskStarts < 12 {
			t.Errorf("seed %d: only %d tasks started", seed, w.Checker.TaskStarts)
		}
	}
}

// TestMaxMachinesLimit: rentals stop at the operators' limit, and the
// log says so once. A limit of our own once kept a fleet from renting at all:
// more machines stood there than it allowed.
func TestMaxMachinesLimit(t *testing.T) {
	for _, limit := range []int{0, 5} {
		opt := DefaultOptions(6)
		opt.Config.MaxMachines = limit
		told := 0
		opt.Tamper = func(_ *Simulation, _ *Controller, e core.Effect) core.Effect {
			if l, ok := e.(core.Log); ok && strings.Contains(l.Text, "operators allow") {
				told++
			}
			return e
		}
		w := New(opt)
		w.At(second, func() { w.Users.Submit(batchJob("req-000001", 60), 200*second) })
		w.RunUntil(60 * second)
		want, lines := 12, 0
		if limit > 0 {
			want, lines = limit, 1
		}
		if n := len(w.Cloud.machines); n != want || told != lines {
			t.Errorf("limit %d: %d machines and %d lines in the log, want %d and %d", limit, n, told, want, lines)
		}
	}
}

// TestGangPreemption: a gang within its team's guarantee, or more urgent than
// what runs, gets the room of other work on all machines that it needs at once;
// where the gang as a whole still wouldn't fit, nothing is stopped.
func TestGangPreemption(t *testing.T) {
	const arrival = 60 * second
	own := func(tasks int) model.Job {
		g := gangOf("req-000009", tasks)
		g.Team = "own"
		return g
	}
	for _, c := range []struct {
		name string
		team core.Team // of the gang
		load func(w *Simulation)
		gang model.Job
		// begins: the gang runs within 15 s; left: tasks of the others that run on.
		begins bool
		left   map[string]int
	}{
		{name: "within the guarantee, others borrow", team: core.Team{Guaranteed: sched.Resources{CPUs: 8}}, gang: own(4), begins: true,
			load: func(w *Simulation) { w.Users.Submit(batchJob("req-000001", 12), 200*second) }, left: map[string]int{"req-000001": 4}},
		{name: "a part of it is beyond the guarantee", team: core.Team{Guaranteed: sched.Resources{CPUs: 8}}, gang: own(5),
			load: func(w *Simulation) { w.Users.Submit(batchJob("req-000001", 12), 200*second) }, left: map[string]int{"req-000001": 12}},
		{name: "it would not fit into any zone", team: core.Team{Guaranteed: sched.Resources{CPUs: 8}}, gang: func() model.Job { g := own(3); g.OneZone = true; return g }(),
			load: func(w *Simulation) { w.Users.Submit(batchJob("req-000001", 12), 200*second) }, left: map[string]int{"req-000001": 12}},
		{name: "one zone is cleared for it", team: core.Team{Guaranteed: sched.Resources{CPUs: 8}}, gang: func() model.Job { g := own(2); g.OneZone = true; return g }(), begins: true,
			load: func(w *Simulation) { w.Users.Submit(batchJob("req-000001", 12), 200*second) }, left: map[string]int{"req-000001": 8}},
		{name: "it would be beyond the team's limit", team: core.Team{Guaranteed: sched.Resources{CPUs: 12}, Limit: sched.Resources{CPUs: 10}}, gang: own(4),
			load: func(w *Simulation) {
				mine := batchJob("req-000002", 4)
				mine.Team = "own"
				w.Users.Submit(mine, 200*second)
				w.Users.Submit(batchJob("req-000001", 8), 200*second)
			}, left: map[string]int{"req-000001": 8, "req-000002": 4}},
		{name: "work that saves goes first", team: core.Team{Guaranteed: sched.Resources{CPUs: 8}}, gang: own(3), begins: true,
			load: func(w *Simulation) {
				saves := batchJob("req-000002", 6)
				saves.CheckpointEveryS, saves.CheckpointCostS = 3, 1
				w.Users.Submit(saves, 200*second)
				w.Users.Submit(batchJob("req-000001", 6), 200*second)
			}, left: map[string]int{"req-000001": 6, "req-000002": 0}},
		{name: "a borrowing gang ends as a whole", team: core.Team{Guaranteed: sched.Resources{CPUs: 4}}, gang: own(2), begins: true,
			load: func(w *Simulation) { w.Users.Submit(gangOf("req-000001", 6), 200*second) }, left: map[string]int{"req-000001": 0}},
		{name: "a gang that is partly within its own guarantee runs on", team: core.Team{Guaranteed: sched.Resources{CPUs: 4}}, gang: own(2),
			load: func(w *Simulation) {
				w.Options.Config.Teams["t"] = core.Team{Guaranteed: sched.Resources{CPUs: 8}}
				w.Users.Submit(gangOf("req-000001", 6), 200*second)
			}, left: map[string]int{"req-000001": 6}},
		{name: "no guarantee, equally urgent", gang: own(2),
			load: func(w *Simulation) { w.Users.Submit(batchJob("req-000001", 12), 200*second) }, left: map[string]int{"req-000001": 12}},
		{name: "more urgent than some, who have to make room", gang: func() model.Job { g := own(3); g.Priority = model.PriorityHigh; return g }(), begins: true,
			load: func(w *Simulation) {
				same := batchJob("req-000002", 6)
				same.Priority = model.PriorityHigh
				w.Users.Submit(same, 200*second)
				w.Users.Submit(batchJob("req-000001", 6), 200*second)
			}, left: map[string]int{"req-000001": 0, "req-000002": 6}},
		{name: "more urgent than some, but they can't make room for all of it", gang: func() model.Job { g := own(4); g.Priority = model.PriorityHigh; return g }(),
			load: func(w *Simulation) {
				same := batchJob("req-000002", 6)
				same.Priority = model.PriorityHigh
				w.Users.Submit(same, 200*second)
				w.Users.Submit(batchJob("req-000001", 6), 200*second)
			}, left: map[string]int{"req-000001": 6, "req-000002": 6}},
		{name: "more urgent than anything else", gang: func() model.Job { g := own(2); g.Priority = model.PriorityProd; return g }(), begins: true,
			load: func(w *Simulation) { w.Users.Submit(batchJob("req-000001", 12), 200*second) }, left: map[string]int{"req-000001": 8}},
	} {
		t.Run(c.name, func(t *testing.T) {
			opt := DefaultOptions(4)
			opt.Capacity = 1 // three machines of 4 CPUs, one in each zone, and spot ones that nobody may use
			opt.Config.Teams["own"] = c.team
			w := New(opt)
			w.At(second, func() { c.load(w) })
			w.At(arrival, func() { w.Users.Submit(c.gang, 10*second) })
			least := map[string]int{}
			var look func()
			look = func() {
				for id := range c.left {
					least[id] = min(least[id], len(w.Checker.jobs[id].runningOn))
				}
				w.After(100*time.Millisecond, look)
			}
			w.At(arrival-second, func() {
				for id := range c.left {
					least[id] = len(w.Checker.jobs[id].runningOn)
				}
				look()
			})
			w.RunUntil(arrival + 15*second)
			for id, want := range c.left {
				if least[id] != want {
					t.Errorf("%d tasks of %s run on at least, want %d", least[id], id, want)
				}
			}
			if began := w.Checker.jobs[c.gang.ID].firstStartedAt != 0; began != c.begins {
				t.Errorf("the gang has begun within 15 s: %v, want %v", began, c.begins)
			}
			for _, b := range w.Checker.Violations {
				t.Error(b)
			}
		})
	}
}
