package sim

import (
	"fmt"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// gangJob returns a gang whose tasks take 2 CPUs each, write a checkpoint every 5 s
// and need 2 s to save.
func gangJob(id string, tasks int) model.Job {
	job := batchJob(id, tasks)
	job.Kind, job.CPUs, job.Class, job.CheckpointEveryS, job.CheckpointCostS, job.EstimateS = model.KindGang, 2, "gang", 5, 2, 15
	return job
}

// submitGangs submits a gang of one to six tasks every 5 s until the given time.
// Some must be in one zone, some may use spot machines, some write no checkpoints, some
// belong to team "tight", which has a limit, and some preempt other work by their priority
// or by the guarantee of team "own".
func submitGangs(sim *Simulation, until time.Duration) {
	for i, at := 0, 2*second; at < until; i, at = i+1, at+5*second {
		job := gangJob(fmt.Sprintf("req-%06d", 300000+i), 1+(i*5)%6)
		job.OneZone, job.Spot = i%2 == 0, i%3 == 0
		if i%4 == 3 {
			job.Team, job.Tasks = "tight", 1+i%3
		}
		if i%6 == 5 {
			job.CheckpointEveryS, job.CheckpointCostS = 0, 0
		}
		if _, ok := sim.Options.Config.Teams["own"]; ok && i%7 == 6 {
			job.Team = "own"
		} else if i%5 == 4 {
			job.Priority = model.PriorityHigh
		}
		runTime := time.Duration(8+i%14) * second
		sim.At(at, func() { sim.Users.Submit(job, runTime) })
	}
}

// TestGangScenarios runs gangs and the mixed load through some of the fault scenarios and
// combined faults. It checks that no rule is violated and that each gang that was not
// cancelled is done or can't start at the end.
func TestGangScenarios(t *testing.T) {
	type scenario struct {
		name   string
		inject func(sim *Simulation)
	}
	scenarios := []scenario{{"no faults", func(sim *Simulation) {}}}
	for _, fs := range faultScenarios {
		switch fs.name {
		case "the leader crashes repeatedly", "the state service refuses only the leader", "machines pause and then continue, and commands arrive late",
			"machines are reclaimed without notice", "requests are carried out a second time", "workers restart, and late copies of reports from before the restart arrive",
			"a zone is cut off, then the leader crashes", "mixed short restarts, isolated controllers, unreachable machines, outages and pauses", "controllers can't reach machines", "mixed crashes, cut links, outages and pauses":
			scenarios = append(scenarios, scenario(fs))
		}
	}
	for _, cf := range combinedFaultScenarios {
		switch cf.name {
		case "commands and their replies are delayed by seconds", "old reports reach every controller as a new leader starts",
			"replies of the state service are lost, and their transactions are applied at once or late", "jobs are cancelled while the leader changes",
			"workers can't reach controllers, while commands reach workers", "all controllers are down for longer than the lease":
			scenarios = append(scenarios, scenario{cf.name, cf.inject})
		}
	}
	scenarios = append(scenarios, scenario{"machines are reclaimed, and urgent work takes their capacity", func(sim *Simulation) {
		for i := range 12 {
			sim.At(time.Duration(25+9*i)*second, func() {
				if keys := sortedKeys(sim.Workers); len(keys) > 0 {
					sim.Cloud.Reclaim(sim.Workers[keys[sim.Rand.IntN(len(keys))]].info.Host, 9*second)
				}
			})
			job := serviceJob(fmt.Sprintf("req-%06d", 400000+i), 2)
			sim.At(time.Duration(22+9*i)*second, func() { sim.Users.Submit(job, 0) })
			sim.At(time.Duration(52+9*i)*second, func() { sim.Users.Cancel(job.ID) })
		}
	}})
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= uint64(max(1, *seedCount/2)); seed++ {
				opt := DefaultOptions(seed)
				opt.Config.Teams["tight"] = core.Team{Limit: sched.Resources{CPUs: 9}}
				opt.Config.Teams["own"] = core.Team{Guaranteed: sched.Resources{CPUs: 12}}
				sim := New(opt)
				submitGangs(sim, 130*second)
				submitMixedLoad(sim, 120*second)
				watchLeaders(sim)
				sc.inject(sim)
				sim.At(200*second, sim.Checker.CheckWaiting)
				sim.RunUntil(240 * second)
				sim.Checker.CheckKnown(75 * second)
				sim.RunUntil(340 * second)
				sim.Checker.CheckServed()
				for _, violation := range sim.Checker.Violations {
					t.Errorf("seed %d: %s", seed, violation)
				}
				gangs, doneOrCannotStart := 0, 0
				for _, job := range sim.Checker.jobs {
					if job.accepted && !job.cancelRequested && job.spec.Kind == model.KindGang {
						gangs++
						if job.confirmedDone || !sim.Checker.canStart(job) {
							doneOrCannotStart++ // a gang can't start if its tasks are on machines already, or if services or its team's limit leave no capacity for it
						}
					}
				}
				if gangs == 0 || doneOrCannotStart < gangs {
					t.Errorf("seed %d: got %d of %d gangs done or unable to start at the end, want at least one gang and all of them", seed, doneOrCannotStart, gangs)
				}
				t.Logf("seed %d: %d of %d gangs done or unable to start, %d task starts", seed, doneOrCannotStart, gangs, sim.Checker.TaskStarts)
			}
		})
	}
}

// TestLargeGangStartsUnderArrayLoad continuously submits arrays (batch jobs of many
// tasks), which take all capacity that becomes free. A gang that needs three of the six
// machines of a zone must still start, on machines that are reserved for it, and the
// arrays must go on.
func TestLargeGangStartsUnderArrayLoad(t *testing.T) {
	opt := DefaultOptions(3)
	opt.Capacity = 6
	sim := New(opt)
	for _, zone := range opt.Zones {
		sim.Cloud.Rent("small", zone, false, 6)
	}
	for i := range 80 {
		job := batchJob(fmt.Sprintf("req-%06d", i), 16)
		job.Class = "array"
		sim.At(time.Duration(1000+2000*i)*time.Millisecond, func() { sim.Users.Submit(job, time.Duration(6+i%7)*second) })
	}
	gang := gangJob("req-300000", 5)
	gang.OneZone = true
	sim.At(60*second, func() { sim.Users.Submit(gang, 10*second) })
	sim.RunUntil(60 * second)
	if n := sim.runningTaskCount(); n < 60 {
		t.Fatalf("got %d tasks running on 72 CPUs at 60 s, before the gang is submitted, want at least 60", n)
	}
	sim.RunUntil(120 * second)
	if job := sim.Checker.jobs[gang.ID]; job.firstStartedAt == 0 || job.firstStartedAt > 105*second {
		t.Errorf("gang submitted at 60 s: got first start at %v (0s: none), want it by 105 s", job.firstStartedAt)
	}
	if n := sim.runningTaskCount(); n < 50 {
		t.Errorf("got %d tasks running on 72 CPUs at 120 s, after the gang has started, want at least 50", n)
	}
	for _, violation := range sim.Checker.Violations {
		t.Error(violation)
	}
}

// runningTaskCount returns the number of tasks that run on machines.
func (s *Simulation) runningTaskCount() int {
	n := 0
	for _, job := range s.Checker.jobs {
		n += len(job.runningOn)
	}
	return n
}

// TestSpareCapacityForGangs checks that capacity for one gang is reserved while gangs
// are submitted that should start sooner than a machine boots, and that the machines are
// returned when no more gangs are submitted.
func TestSpareCapacityForGangs(t *testing.T) {
	opt := DefaultOptions(4)
	opt.Config.Goals = map[string]core.Goal{"gang": {StartWithin: 5 * second}}
	sim := New(opt)
	for i := range 10 {
		gang := gangJob(fmt.Sprintf("req-%06d", i), 3)
		sim.At(time.Duration(2+15*i)*second, func() { sim.Users.Submit(gang, 20*second) })
	}
	sim.RunUntil(250 * second)
	lateGangs := 0
	for _, id := range sortedKeys(sim.Checker.jobs) {
		if job := sim.Checker.jobs[id]; job.submittedAt > 40*second && job.firstStartedAt-job.submittedAt > 5*second {
			lateGangs++
		}
	}
	if lateGangs > 1 {
		t.Errorf("gangs submitted after 40 s: got %d of 7 started later than 5 s after submission, want at most 1", lateGangs)
	}
	if n := len(sim.Workers); n > 0 {
		t.Errorf("got %d machines up 113 s after the last gang was submitted, want 0", n)
	}
	for _, violation := range sim.Checker.Violations {
		t.Error(violation)
	}
}

// TestGangLargerThanCloudCapacity submits a gang that needs more machines than the
// cloud has. The gang must stay known and wait, at no lasting cost to other work:
// machines must be rented for it less and less often and not be reserved for it, and
// arrays (batch jobs of many tasks) must start in time. The gang must run once the cloud
// has enough machines.
func TestGangLargerThanCloudCapacity(t *testing.T) {
	opt := DefaultOptions(3)
	opt.Config.Goals = map[string]core.Goal{"gang": {StartWithin: 5 * second}}
	sim := New(opt)
	gang := gangJob("req-300000", 40) // needs twenty machines; the cloud has twelve
	sim.At(5*second, func() { sim.Users.Submit(gang, 10*second) })
	for i := range 20 {
		job := batchJob(fmt.Sprintf("req-%06d", i), 8)
		job.Class = "array"
		sim.At(time.Duration(20+25*i)*second, func() { sim.Users.Submit(job, 8*second) })
	}
	var rented, idle time.Duration // machine time from 300 s on, summed over all machines
	sim.At(300*second, func() {
		var sample func()
		sample = func() {
			for _, worker := range sim.Workers {
				rented += second
				if len(worker.tasks) == 0 {
					idle += second
				}
			}
			sim.After(second, sample)
		}
		sample()
	})
	sim.RunUntil(550 * second)
	for i := range 20 {
		if job := sim.Checker.jobs[fmt.Sprintf("req-%06d", i)]; job.firstStartedAt == 0 || job.firstStartedAt-job.submittedAt > 25*second {
			t.Errorf("array %d: got start %v (negative: none) after its submission at %v, want at most 25 s", i, job.firstStartedAt-job.submittedAt, job.submittedAt)
		}
	}
	if job := sim.Checker.jobs[gang.ID]; job.firstStartedAt != 0 || job.confirmedDone || !job.accepted {
		t.Errorf("gang larger than the cloud, at 550 s: got accepted %v, first started at %v (0s: not), want accepted, not started and not confirmed as done (the last is not shown)", job.accepted, job.firstStartedAt)
	}
	// There was one sample per second for 250 s. The arrays take two to three machines, each
	// of which idles for at most a minute.
	if meanIdle := idle.Seconds() / 250; meanIdle > 4 {
		t.Errorf("got %.1f of %.1f rented machines idle on average, want at most 4", meanIdle, rented.Seconds()/250)
	}
	sim.Options.Capacity = 12
	sim.RunUntil(1200 * second)
	if job := sim.Checker.jobs[gang.ID]; !job.confirmedDone {
		t.Error("got gang not done 650 s after the cloud has enough machines, want done")
	}
	for _, violation := range sim.Checker.Violations {
		t.Error(violation)
	}
}
