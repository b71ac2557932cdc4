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
	sim := New(opt)
	borrower := batchJob("req-000001", 12)
	sim.At(second, func() { sim.Users.Submit(borrower, 200*second) })
	claimant := batchJob("req-000002", 4)
	claimant.Team = "own"
	sim.At(60*second, func() { sim.Users.Submit(claimant, 10*second) })
	sim.RunUntil(100 * second)
	if n := len(sim.Checker.jobs["req-000002"].doneTasks); n != 4 {
		t.Errorf("%d of 4 tasks within the guarantee are done after 40 s", n)
	}
	if n := len(sim.Checker.jobs["req-000001"].runningOn); n < 8 {
		t.Errorf("the borrower has %d tasks left, want the 8 that nobody claims", n)
	}
}

// TestEqualPriorityIsNotPreempted: without a guarantee, work doesn't stop work of
// its own priority.
func TestEqualPriorityIsNotPreempted(t *testing.T) {
	opt := DefaultOptions(4)
	opt.Capacity = 1
	sim := New(opt)
	sim.At(second, func() { sim.Users.Submit(batchJob("req-000001", 12), 200*second) })
	other := batchJob("req-000002", 4)
	other.Team = "tight"
	sim.At(60*second, func() { sim.Users.Submit(other, 10*second) })
	sim.RunUntil(100 * second)
	if n := len(sim.Checker.jobs["req-000001"].runningOn); n != 12 {
		t.Errorf("%d of 12 tasks run on", n)
	}
}

// TestProdPreemptsOnlyWhatItNeeds: a replica that finds no room stops lower work,
// and only as much as it needs.
func TestProdPreemptsOnlyWhatItNeeds(t *testing.T) {
	opt := DefaultOptions(4)
	opt.Capacity = 1
	sim := New(opt)
	low := batchJob("req-000001", 12)
	low.Priority = model.PriorityLow
	sim.At(second, func() { sim.Users.Submit(low, 200*second) })
	sim.At(60*second, func() { sim.Users.Submit(serviceJob("req-000002", 1), 0) })
	sim.RunUntil(75 * second)
	if sim.runningMachine("req-000002/0") == nil {
		t.Error("the replica does not run 15 s later")
	}
	if n := len(sim.Checker.jobs["req-000001"].runningOn); n != 10 {
		t.Errorf("%d low tasks left of 12, want 10", n)
	}
}

// TestIdleMachinesServeDuringCloudOutage: a return that the cloud refused
// leaves the machine as it was. It used to stand empty until the cloud was
// back, while jobs waited for it.
func TestIdleMachinesServeDuringCloudOutage(t *testing.T) {
	sim := New(DefaultOptions(4))
	sim.At(second, func() { sim.Users.Submit(batchJob("req-000001", 4), 5*second) })
	sim.At(20*second, func() { sim.Cloud.Unavailable = true })
	sim.At(120*second, func() { sim.Users.Submit(batchJob("req-000002", 4), 5*second) })
	sim.RunUntil(150 * second)
	if n := len(sim.Checker.jobs["req-000002"].doneTasks); n != 4 {
		t.Errorf("%d of 4 tasks done on the idle machine after 30 s", n)
	}
}

// TestGangRunsTogether: all tasks of a gang start in one round, and when one
// is lost with its machine none of the others runs on without it.
func TestGangRunsTogether(t *testing.T) {
	sim := New(DefaultOptions(4))
	gang := batchJob("req-000001", 6)
	gang.Kind, gang.CPUs = model.KindGang, 2
	sim.At(second, func() { sim.Users.Submit(gang, 30*second) })
	var runningCounts []int
	for at := 2 * second; at < 120*second; at += second {
		sim.At(at, func() {
			if job := sim.Checker.jobs["req-000001"]; job != nil && len(job.doneTasks) == 0 {
				runningCounts = append(runningCounts, len(job.runningOn))
			}
		})
	}
	sim.At(40*second, func() {
		if worker := sim.runningMachine("req-000001/0"); worker != nil {
			sim.Cloud.RemoveMachine(worker.info.Host)
		}
	})
	sim.RunUntil(120 * second)
	complete, partial := 0, 0
	for _, n := range runningCounts {
		switch {
		case n == 6:
			complete++
		case n > 0:
			partial++
		}
	}
	// Parts are seen only while images arrive and while a lost lease is
	// waited out.
	if complete == 0 || len(sim.Checker.jobs["req-000001"].doneTasks) != 6 {
		t.Errorf("all six together for %d s, parts for %d s, %d done", complete, partial, len(sim.Checker.jobs["req-000001"].doneTasks))
	}
	for _, violation := range sim.Checker.Violations {
		t.Error(violation)
	}
}

// TestLowPriorityJobDoesNotStarve: more urgent work than the machines can do, all the time,
// with a burst of replicas on top and a machine lost. The largest and least
// urgent job begins all the same.
func TestLowPriorityJobDoesNotStarve(t *testing.T) {
	opt := DefaultOptions(6)
	opt.Capacity = 1 // three machines of 4 CPUs, and three spot ones that nobody may use
	sim := New(opt)
	jobNumber := 1
	for at := second; at < 300*second; at += 4 * second {
		jobNumber++
		job := batchJob(fmt.Sprintf("req-%06d", jobNumber), 6) // 6 tasks of 12 s every 4 s: half as much again as there is room for
		sim.At(at, func() { sim.Users.Submit(job, 12*second) })
	}
	for _, at := range []time.Duration{20, 21, 22} {
		jobNumber++
		job := serviceJob(fmt.Sprintf("req-%06d", jobNumber), 1)
		job.Class = "prod"
		sim.At(at*second, func() { sim.Users.Submit(job, 0) })
	}
	sim.At(100*second, func() { sim.Cloud.RemoveMachine(sortedKeys(sim.Cloud.machines)[0]) })
	low := batchJob("req-000001", 3)
	low.Class, low.Priority, low.CPUs, low.Image = "low", model.PriorityLow, 2, "low"
	sim.At(30*second, func() { sim.Users.Submit(low, 12*second) })
	sim.RunUntil(290 * second)
	sim.Checker.CheckServed()
	for _, violation := range sim.Checker.Violations {
		t.Error(violation)
	}
}

// TestUnresponsiveMachineLeaseIsNotRenewed: a machine comes back from a hang while the
// state service is away, so that its mark as silent can't be taken off the
// roster; then the leader crashes. Its successor goes by the mark, so nobody
// may have renewed the machine's lease in the meantime.
func TestUnresponsiveMachineLeaseIsNotRenewed(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		sim := New(DefaultOptions(seed))
		longJob := batchJob("req-000001", 12) // three machines
		sim.At(second, func() { sim.Users.Submit(longJob, 90*second) })
		// Others leave room when it matters, on machines that aren't returned yet.
		sim.At(second, func() { sim.Users.Submit(batchJob("req-000002", 8), 25*second) })
		sim.At(40*second, func() { sim.runningMachine("req-000001/0").Pause(6 * second) })
		sim.At(45500*time.Millisecond, func() { sim.Store.Unavailable = true })
		sim.At(49*second, func() { sim.Leader().Crash() })
		sim.At(50*second, sim.Store.Recover)
		sim.RunUntil(100 * second)
		for _, violation := range sim.Checker.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		if sim.Checker.TaskStarts < 12 {
			t.Errorf("seed %d: only %d tasks started", seed, sim.Checker.TaskStarts)
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
		logged := 0
		opt.Tamper = func(_ *Simulation, _ *Controller, e core.Effect) core.Effect {
			if l, ok := e.(core.Log); ok && strings.Contains(l.Text, "operators allow") {
				logged++
			}
			return e
		}
		sim := New(opt)
		sim.At(second, func() { sim.Users.Submit(batchJob("req-000001", 60), 200*second) })
		sim.RunUntil(60 * second)
		want, lines := 12, 0
		if limit > 0 {
			want, lines = limit, 1
		}
		if n := len(sim.Cloud.machines); n != want || logged != lines {
			t.Errorf("limit %d: %d machines and %d lines in the log, want %d and %d", limit, n, logged, want, lines)
		}
	}
}

// TestGangPreemption: a gang within its team's guarantee, or more urgent than
// what runs, gets the room of other work on all machines that it needs at once;
// where the gang as a whole still wouldn't fit, nothing is stopped.
func TestGangPreemption(t *testing.T) {
	const arrival = 60 * second
	guaranteedGang := func(tasks int) model.Job {
		gang := gangOf("req-000009", tasks)
		gang.Team = "own"
		return gang
	}
	for _, tc := range []struct {
		name string
		team core.Team // of the gang
		load func(sim *Simulation)
		gang model.Job
		// begins: the gang runs within 15 s; left: tasks of the others that run on.
		starts    bool
		remaining map[string]int
	}{
		{name: "within the guarantee, others borrow", team: core.Team{Guaranteed: sched.Resources{CPUs: 8}}, gang: guaranteedGang(4), starts: true,
			load: func(sim *Simulation) { sim.Users.Submit(batchJob("req-000001", 12), 200*second) }, remaining: map[string]int{"req-000001": 4}},
		{name: "a part of it is beyond the guarantee", team: core.Team{Guaranteed: sched.Resources{CPUs: 8}}, gang: guaranteedGang(5),
			load: func(sim *Simulation) { sim.Users.Submit(batchJob("req-000001", 12), 200*second) }, remaining: map[string]int{"req-000001": 12}},
		{name: "it would not fit into any zone", team: core.Team{Guaranteed: sched.Resources{CPUs: 8}}, gang: func() model.Job { gang := guaranteedGang(3); gang.OneZone = true; return gang }(),
			load: func(sim *Simulation) { sim.Users.Submit(batchJob("req-000001", 12), 200*second) }, remaining: map[string]int{"req-000001": 12}},
		{name: "one zone is cleared for it", team: core.Team{Guaranteed: sched.Resources{CPUs: 8}}, gang: func() model.Job { gang := guaranteedGang(2); gang.OneZone = true; return gang }(), starts: true,
			load: func(sim *Simulation) { sim.Users.Submit(batchJob("req-000001", 12), 200*second) }, remaining: map[string]int{"req-000001": 8}},
		{name: "it would be beyond the team's limit", team: core.Team{Guaranteed: sched.Resources{CPUs: 12}, Limit: sched.Resources{CPUs: 10}}, gang: guaranteedGang(4),
			load: func(sim *Simulation) {
				sameTeam := batchJob("req-000002", 4)
				sameTeam.Team = "own"
				sim.Users.Submit(sameTeam, 200*second)
				sim.Users.Submit(batchJob("req-000001", 8), 200*second)
			}, remaining: map[string]int{"req-000001": 8, "req-000002": 4}},
		{name: "work that saves goes first", team: core.Team{Guaranteed: sched.Resources{CPUs: 8}}, gang: guaranteedGang(3), starts: true,
			load: func(sim *Simulation) {
				checkpointed := batchJob("req-000002", 6)
				checkpointed.CheckpointEveryS, checkpointed.CheckpointCostS = 3, 1
				sim.Users.Submit(checkpointed, 200*second)
				sim.Users.Submit(batchJob("req-000001", 6), 200*second)
			}, remaining: map[string]int{"req-000001": 6, "req-000002": 0}},
		{name: "a borrowing gang ends as a whole", team: core.Team{Guaranteed: sched.Resources{CPUs: 4}}, gang: guaranteedGang(2), starts: true,
			load: func(sim *Simulation) { sim.Users.Submit(gangOf("req-000001", 6), 200*second) }, remaining: map[string]int{"req-000001": 0}},
		{name: "a gang that is partly within its own guarantee runs on", team: core.Team{Guaranteed: sched.Resources{CPUs: 4}}, gang: guaranteedGang(2),
			load: func(sim *Simulation) {
				sim.Options.Config.Teams["t"] = core.Team{Guaranteed: sched.Resources{CPUs: 8}}
				sim.Users.Submit(gangOf("req-000001", 6), 200*second)
			}, remaining: map[string]int{"req-000001": 6}},
		{name: "no guarantee, equally urgent", gang: guaranteedGang(2),
			load: func(sim *Simulation) { sim.Users.Submit(batchJob("req-000001", 12), 200*second) }, remaining: map[string]int{"req-000001": 12}},
		{name: "more urgent than some, who have to make room", gang: func() model.Job { gang := guaranteedGang(3); gang.Priority = model.PriorityHigh; return gang }(), starts: true,
			load: func(sim *Simulation) {
				samePriority := batchJob("req-000002", 6)
				samePriority.Priority = model.PriorityHigh
				sim.Users.Submit(samePriority, 200*second)
				sim.Users.Submit(batchJob("req-000001", 6), 200*second)
			}, remaining: map[string]int{"req-000001": 0, "req-000002": 6}},
		{name: "more urgent than some, but they can't make room for all of it", gang: func() model.Job { gang := guaranteedGang(4); gang.Priority = model.PriorityHigh; return gang }(),
			load: func(sim *Simulation) {
				samePriority := batchJob("req-000002", 6)
				samePriority.Priority = model.PriorityHigh
				sim.Users.Submit(samePriority, 200*second)
				sim.Users.Submit(batchJob("req-000001", 6), 200*second)
			}, remaining: map[string]int{"req-000001": 6, "req-000002": 6}},
		{name: "more urgent than anything else", gang: func() model.Job { gang := guaranteedGang(2); gang.Priority = model.PriorityProd; return gang }(), starts: true,
			load: func(sim *Simulation) { sim.Users.Submit(batchJob("req-000001", 12), 200*second) }, remaining: map[string]int{"req-000001": 8}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			opt := DefaultOptions(4)
			opt.Capacity = 1 // three machines of 4 CPUs, one in each zone, and spot ones that nobody may use
			opt.Config.Teams["own"] = tc.team
			sim := New(opt)
			sim.At(second, func() { tc.load(sim) })
			sim.At(arrival, func() { sim.Users.Submit(tc.gang, 10*second) })
			fewestRunning := map[string]int{}
			var sample func()
			sample = func() {
				for id := range tc.remaining {
					fewestRunning[id] = min(fewestRunning[id], len(sim.Checker.jobs[id].runningOn))
				}
				sim.After(100*time.Millisecond, sample)
			}
			sim.At(arrival-second, func() {
				for id := range tc.remaining {
					fewestRunning[id] = len(sim.Checker.jobs[id].runningOn)
				}
				sample()
			})
			sim.RunUntil(arrival + 15*second)
			for id, want := range tc.remaining {
				if fewestRunning[id] != want {
					t.Errorf("%d tasks of %s run on at least, want %d", fewestRunning[id], id, want)
				}
			}
			if started := sim.Checker.jobs[tc.gang.ID].firstStartedAt != 0; started != tc.starts {
				t.Errorf("the gang has begun within 15 s: %v, want %v", started, tc.starts)
			}
			for _, violation := range sim.Checker.Violations {
				t.Error(violation)
			}
		})
	}
}
