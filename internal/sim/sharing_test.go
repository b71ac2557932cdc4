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

// TestGuaranteePreemptsBorrower checks that a team that borrows all machines (uses them
// beyond its own guarantee) loses the capacity that another team's guarantee needs, and no
// more, although the priorities are equal.
func TestGuaranteePreemptsBorrower(t *testing.T) {
	opt := DefaultOptions(4)
	opt.Capacity = 1 // three machines of 4 CPUs, and three spot machines that these jobs may not use
	opt.Config.Teams["own"] = core.Team{Guaranteed: sched.Resources{CPUs: 4}}
	sim := New(opt)
	borrower := batchJob("req-000001", 12)
	sim.At(second, func() { sim.Users.Submit(borrower, 200*second) })
	claimant := batchJob("req-000002", 4)
	claimant.Team = "own"
	sim.At(60*second, func() { sim.Users.Submit(claimant, 10*second) })
	sim.RunUntil(100 * second)
	if n := len(sim.Checker.jobs["req-000002"].doneTasks); n != 4 {
		t.Errorf("got %d tasks within the guarantee done 40 s after their submission, want 4", n)
	}
	if n := len(sim.Checker.jobs["req-000001"].runningOn); n < 8 {
		t.Errorf("got %d tasks of the borrower still running, want at least the 8 that the guarantee leaves it", n)
	}
}

// TestEqualPriorityIsNotPreempted checks that a job without a guarantee doesn't
// preempt jobs of its own priority.
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
		t.Errorf("got %d tasks of the first job still running, want 12", n)
	}
}

// TestProdPreemptsOnlyWhatItNeeds checks that a replica of a service that finds no
// free capacity preempts tasks of lower priority, and only as many as it needs.
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
		t.Error("got replica not running 15 s after its submission, want running")
	}
	if n := len(sim.Checker.jobs["req-000001"].runningOn); n != 10 {
		t.Errorf("got %d of 12 low-priority tasks still running, want 10", n)
	}
}

// TestIdleMachinesServeDuringCloudOutage checks that a machine gets tasks again after
// the cloud has refused its return. In an earlier version, such a machine stayed empty
// until the cloud was back, while jobs waited.
func TestIdleMachinesServeDuringCloudOutage(t *testing.T) {
	sim := New(DefaultOptions(4))
	sim.At(second, func() { sim.Users.Submit(batchJob("req-000001", 4), 5*second) })
	sim.At(20*second, func() { sim.Cloud.Unavailable = true })
	sim.At(120*second, func() { sim.Users.Submit(batchJob("req-000002", 4), 5*second) })
	sim.RunUntil(150 * second)
	if n := len(sim.Checker.jobs["req-000002"].doneTasks); n != 4 {
		t.Errorf("got %d tasks of the second job done 30 s after its submission in the outage, want 4", n)
	}
}

// TestGangRunsTogether checks that all tasks of a gang run at the same time, and that
// the gang is done even if one machine is lost while the gang runs.
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
	// Only a part of the gang runs while images are fetched, and while the lease of the
	// lost machine has not expired.
	if complete == 0 || len(sim.Checker.jobs["req-000001"].doneTasks) != 6 {
		t.Errorf("got all six tasks running for %d s, a part of them for %d s, and %d tasks done; want all together for a time, and six done", complete, partial, len(sim.Checker.jobs["req-000001"].doneTasks))
	}
	for _, violation := range sim.Checker.Violations {
		t.Error(violation)
	}
}

// TestLowPriorityJobDoesNotStarve continuously submits more urgent work than the machines
// can do, adds a burst of service replicas, and removes a machine. The job of the lowest
// priority, which is the only one of its class and so counts as the largest, must still
// start within maxStartDelay, which CheckServed checks.
func TestLowPriorityJobDoesNotStarve(t *testing.T) {
	opt := DefaultOptions(6)
	opt.Capacity = 1 // three machines of 4 CPUs, and three spot machines that these jobs may not use
	sim := New(opt)
	jobNumber := 1
	for at := second; at < 300*second; at += 4 * second {
		jobNumber++
		job := batchJob(fmt.Sprintf("req-%06d", jobNumber), 6) // 6 tasks of 12 s every 4 s need 18 CPUs, one and a half times what there is
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

// TestUnresponsiveMachineLeaseIsNotRenewed pauses a machine for 6 s, so that the leader
// marks it in the registry as unresponsive, with the time of the last reply to it. The
// machine resumes while the state service is out, so that the leader can't remove the mark.
// Then the leader crashes. Its successor counts the machine's lease from the time in the
// mark. No controller may have renewed the lease in the meantime, because the successor
// would then start the machine's tasks elsewhere while they still run.
func TestUnresponsiveMachineLeaseIsNotRenewed(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		sim := New(DefaultOptions(seed))
		longJob := batchJob("req-000001", 12) // three machines
		sim.At(second, func() { sim.Users.Submit(longJob, 90*second) })
		// At the time of the faults this job has ended and has left free capacity on
		// machines that are not returned yet.
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
			t.Errorf("seed %d: got %d task starts, want at least 12", seed, sim.Checker.TaskStarts)
		}
	}
}

// TestMaxMachinesLimit checks that no more machines are rented than the operators
// allow, that reaching the limit is logged once, and that there is no limit if they set
// none. An earlier version had a built-in limit, which kept a fleet with more machines than
// that from renting at all.
func TestMaxMachinesLimit(t *testing.T) {
	for _, limit := range []int{0, 5} {
		opt := DefaultOptions(6)
		opt.Config.MaxMachines = limit
		logged := 0
		opt.Tamper = func(_ *Simulation, _ *Controller, effect core.Effect) core.Effect {
			if entry, ok := effect.(core.Log); ok && strings.Contains(entry.Text, "operators allow") {
				logged++
			}
			return effect
		}
		sim := New(opt)
		sim.At(second, func() { sim.Users.Submit(batchJob("req-000001", 60), 200*second) })
		sim.RunUntil(60 * second)
		want, lines := 12, 0 // without a limit: all machines that these jobs may use, 4 in each zone
		if limit > 0 {
			want, lines = limit, 1
		}
		if n := len(sim.Cloud.machines); n != want || logged != lines {
			t.Errorf("limit %d: got %d machines rented and %d log lines about the limit, want %d and %d", limit, n, logged, want, lines)
		}
	}
}

// TestGangPreemption checks that a gang within its team's guarantee, or more urgent
// than running work, preempts as much other work as all its tasks together need. If
// the whole gang wouldn't fit even then, nothing is preempted.
func TestGangPreemption(t *testing.T) {
	const arrival = 60 * second
	ownTeamGang := func(tasks int) model.Job {
		gang := gangJob("req-000009", tasks)
		gang.Team = "own"
		return gang
	}
	for _, tc := range []struct {
		name string
		team core.Team // the team of the gang
		load func(sim *Simulation)
		gang model.Job
		// starts says whether the gang starts within 15 s. wantFewestRunning holds, for each
		// other job, the smallest number of its tasks that run at any moment until then.
		starts            bool
		wantFewestRunning map[string]int
	}{
		{name: "within the guarantee, and another team borrows", team: core.Team{Guaranteed: sched.Resources{CPUs: 8}}, gang: ownTeamGang(4), starts: true,
			load: func(sim *Simulation) { sim.Users.Submit(batchJob("req-000001", 12), 200*second) }, wantFewestRunning: map[string]int{"req-000001": 4}},
		{name: "a part of the gang is beyond the guarantee", team: core.Team{Guaranteed: sched.Resources{CPUs: 8}}, gang: ownTeamGang(5),
			load: func(sim *Simulation) { sim.Users.Submit(batchJob("req-000001", 12), 200*second) }, wantFewestRunning: map[string]int{"req-000001": 12}},
		{name: "the gang would not fit into any zone", team: core.Team{Guaranteed: sched.Resources{CPUs: 8}}, gang: func() model.Job { gang := ownTeamGang(3); gang.OneZone = true; return gang }(),
			load: func(sim *Simulation) { sim.Users.Submit(batchJob("req-000001", 12), 200*second) }, wantFewestRunning: map[string]int{"req-000001": 12}},
		{name: "the gang preempts the tasks of one zone", team: core.Team{Guaranteed: sched.Resources{CPUs: 8}}, gang: func() model.Job { gang := ownTeamGang(2); gang.OneZone = true; return gang }(), starts: true,
			load: func(sim *Simulation) { sim.Users.Submit(batchJob("req-000001", 12), 200*second) }, wantFewestRunning: map[string]int{"req-000001": 8}},
		{name: "the gang would exceed the team's limit", team: core.Team{Guaranteed: sched.Resources{CPUs: 12}, Limit: sched.Resources{CPUs: 10}}, gang: ownTeamGang(4),
			load: func(sim *Simulation) {
				sameTeam := batchJob("req-000002", 4)
				sameTeam.Team = "own"
				sim.Users.Submit(sameTeam, 200*second)
				sim.Users.Submit(batchJob("req-000001", 8), 200*second)
			}, wantFewestRunning: map[string]int{"req-000001": 8, "req-000002": 4}},
		{name: "work with checkpoints is preempted first", team: core.Team{Guaranteed: sched.Resources{CPUs: 8}}, gang: ownTeamGang(3), starts: true,
			load: func(sim *Simulation) {
				checkpointed := batchJob("req-000002", 6)
				checkpointed.CheckpointEveryS, checkpointed.CheckpointCostS = 3, 1
				sim.Users.Submit(checkpointed, 200*second)
				sim.Users.Submit(batchJob("req-000001", 6), 200*second)
			}, wantFewestRunning: map[string]int{"req-000001": 6, "req-000002": 0}},
		{name: "a borrowing gang is preempted as a whole", team: core.Team{Guaranteed: sched.Resources{CPUs: 4}}, gang: ownTeamGang(2), starts: true,
			load: func(sim *Simulation) { sim.Users.Submit(gangJob("req-000001", 6), 200*second) }, wantFewestRunning: map[string]int{"req-000001": 0}},
		{name: "a gang that is partly within its own guarantee is not preempted", team: core.Team{Guaranteed: sched.Resources{CPUs: 4}}, gang: ownTeamGang(2),
			load: func(sim *Simulation) {
				sim.Options.Config.Teams["t"] = core.Team{Guaranteed: sched.Resources{CPUs: 8}}
				sim.Users.Submit(gangJob("req-000001", 6), 200*second)
			}, wantFewestRunning: map[string]int{"req-000001": 6}},
		{name: "no guarantee and equal priority", gang: ownTeamGang(2),
			load: func(sim *Simulation) { sim.Users.Submit(batchJob("req-000001", 12), 200*second) }, wantFewestRunning: map[string]int{"req-000001": 12}},
		{name: "higher priority than some jobs, which are preempted", gang: func() model.Job { gang := ownTeamGang(3); gang.Priority = model.PriorityHigh; return gang }(), starts: true,
			load: func(sim *Simulation) {
				samePriority := batchJob("req-000002", 6)
				samePriority.Priority = model.PriorityHigh
				sim.Users.Submit(samePriority, 200*second)
				sim.Users.Submit(batchJob("req-000001", 6), 200*second)
			}, wantFewestRunning: map[string]int{"req-000001": 0, "req-000002": 6}},
		{name: "higher priority than some jobs, whose capacity is too small for the gang", gang: func() model.Job { gang := ownTeamGang(4); gang.Priority = model.PriorityHigh; return gang }(),
			load: func(sim *Simulation) {
				samePriority := batchJob("req-000002", 6)
				samePriority.Priority = model.PriorityHigh
				sim.Users.Submit(samePriority, 200*second)
				sim.Users.Submit(batchJob("req-000001", 6), 200*second)
			}, wantFewestRunning: map[string]int{"req-000001": 6, "req-000002": 6}},
		{name: "higher priority than all other jobs", gang: func() model.Job { gang := ownTeamGang(2); gang.Priority = model.PriorityProd; return gang }(), starts: true,
			load: func(sim *Simulation) { sim.Users.Submit(batchJob("req-000001", 12), 200*second) }, wantFewestRunning: map[string]int{"req-000001": 8}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			opt := DefaultOptions(4)
			opt.Capacity = 1 // three machines of 4 CPUs, one in each zone, and spot machines that these jobs may not use
			opt.Config.Teams["own"] = tc.team
			sim := New(opt)
			sim.At(second, func() { tc.load(sim) })
			sim.At(arrival, func() { sim.Users.Submit(tc.gang, 10*second) })
			fewestRunning := map[string]int{}
			var sample func()
			sample = func() {
				for id := range tc.wantFewestRunning {
					fewestRunning[id] = min(fewestRunning[id], len(sim.Checker.jobs[id].runningOn))
				}
				sim.After(100*time.Millisecond, sample)
			}
			sim.At(arrival-second, func() {
				for id := range tc.wantFewestRunning {
					fewestRunning[id] = len(sim.Checker.jobs[id].runningOn)
				}
				sample()
			})
			sim.RunUntil(arrival + 15*second)
			for id, want := range tc.wantFewestRunning {
				if fewestRunning[id] != want {
					t.Errorf("got %d tasks of %s running at the moment with the fewest, want %d", fewestRunning[id], id, want)
				}
			}
			if started := sim.Checker.jobs[tc.gang.ID].firstStartedAt != 0; started != tc.starts {
				t.Errorf("got gang started within 15 s: %v, want %v", started, tc.starts)
			}
			for _, violation := range sim.Checker.Violations {
				t.Error(violation)
			}
		})
	}
}
