package sim

import (
	"fmt"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

func gangOf(id string, tasks int) model.Job {
	job := batchJob(id, tasks)
	job.Kind, job.CPUs, job.Class, job.CheckpointEveryS, job.CheckpointCostS, job.EstimateS = model.KindGang, 2, "gang", 5, 2, 15
	return job
}

// submitGangs submits gangs of one to six tasks beside arrays and services; some must
// be in one zone, some may use spot machines, some belong to a team with a limit,
// some stop other work by their priority or their team's guarantee.
func submitGangs(sim *Simulation, until time.Duration) {
	for i, at := 0, 2*second; at < until; i, at = i+1, at+5*second {
		job := gangOf(fmt.Sprintf("req-%06d", 300000+i), 1+(i*5)%6)
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

// TestGangScenarios plays gangs through the troubles of the other days, beside the
// ordinary load, and checks the rules and that all of them are done.
func TestGangScenarios(t *testing.T) {
	type day struct {
		name   string
		inject func(sim *Simulation)
	}
	scenarios := []day{{"quiet", func(sim *Simulation) {}}}
	for _, scenario := range faultScenarios {
		switch scenario.name {
		case "leader crashes again and again", "leader refused by the state service alone", "machines hang, go on later, and commands come late",
			"machines taken without notice", "requests carried out come again", "workers begin anew, with late copies of their former lives",
			"a zone cut off, then the leader crashes", "everything new together", "machines out of earshot", "all together":
			scenarios = append(scenarios, day(scenario))
		}
	}
	for _, scenario := range combinedFaultScenarios {
		switch scenario.name {
		case "commands and their answers are held up for seconds, and the machine goes on", "old reports reach every controller as a new leader begins",
			"answers of the state service are lost, at once or carried out late", "jobs are cancelled as the work changes hands",
			"workers reach no controller, while commands reach them", "all controllers are away for longer than the lease":
			scenarios = append(scenarios, day{scenario.name, scenario.inject})
		}
	}
	scenarios = append(scenarios, day{"machines are recalled, and urgent work takes their room", func(sim *Simulation) {
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
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= uint64(max(1, *seedCount/2)); seed++ {
				opt := DefaultOptions(seed)
				opt.Config.Teams["tight"] = core.Team{Limit: sched.Resources{CPUs: 9}}
				opt.Config.Teams["own"] = core.Team{Guaranteed: sched.Resources{CPUs: 12}}
				sim := New(opt)
				submitGangs(sim, 130*second)
				load(sim, 120*second)
				watchLeaders(sim)
				scenario.inject(sim)
				sim.At(200*second, sim.Checker.CheckWaiting)
				sim.RunUntil(240 * second)
				sim.Checker.CheckKnown(75 * second)
				sim.RunUntil(340 * second)
				sim.Checker.CheckServed()
				for _, violation := range sim.Checker.Violations {
					t.Errorf("seed %d: %s", seed, violation)
				}
				gangs, done := 0, 0
				for _, job := range sim.Checker.jobs {
					if job.accepted && !job.cancelRequested && job.spec.Kind == model.KindGang {
						gangs++
						if job.confirmedDone || !sim.Checker.canStart(job) {
							done++ // services may have left no room for it in any zone
						}
					}
				}
				if gangs == 0 || done < gangs {
					t.Errorf("seed %d: %d of %d gangs done at the end of the day", seed, done, gangs)
				}
				t.Logf("seed %d: %d of %d gangs done, %d starts", seed, done, gangs, sim.Checker.TaskStarts)
			}
		})
	}
}

// TestLargeGangStartsUnderArrayLoad: arrays come all the time and take each bit of room that
// ends; a gang that needs most of the machines begins all the same, by machines
// that are kept free for it, and the arrays go on.
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
	gang := gangOf("req-300000", 5)
	gang.OneZone = true
	sim.At(60*second, func() { sim.Users.Submit(gang, 10*second) })
	sim.RunUntil(60 * second)
	if n := sim.runningTaskCount(); n < 60 {
		t.Fatalf("%d tasks run on 72 CPUs: there is no crowd", n)
	}
	sim.RunUntil(120 * second)
	if job := sim.Checker.jobs[gang.ID]; job.firstStartedAt == 0 || job.firstStartedAt > 105*second {
		t.Errorf("the gang, submitted at 60 s, began at %v", job.firstStartedAt)
	}
	if n := sim.runningTaskCount(); n < 50 {
		t.Errorf("%d array tasks run on 72 CPUs", n)
	}
	for _, violation := range sim.Checker.Violations {
		t.Error(violation)
	}
}

// runningTaskCount is how many tasks are on machines.
func (sim *Simulation) runningTaskCount() int {
	n := 0
	for _, job := range sim.Checker.jobs {
		n += len(job.runningOn)
	}
	return n
}

// TestSpareCapacityForGangs: while gangs come that should start sooner than a machine
// boots, one finds its room free; when they stop coming the machines go back.
func TestSpareCapacityForGangs(t *testing.T) {
	opt := DefaultOptions(4)
	opt.Config.Goals = map[string]core.Goal{"gang": {StartWithin: 5 * second}}
	sim := New(opt)
	for i := range 10 {
		gang := gangOf(fmt.Sprintf("req-%06d", i), 3)
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
		t.Errorf("%d of 7 gangs waited for a machine to boot", lateGangs)
	}
	if n := len(sim.Workers); n > 0 {
		t.Errorf("%d machines are kept though no gang has come for 100 s", n)
	}
	for _, violation := range sim.Checker.Violations {
		t.Error(violation)
	}
}

// TestGangLargerThanCloudCapacity: a gang that is larger than what the cloud gives stays
// known and waits; it costs other work nothing that lasts: machines are rented
// for it less and less often, none is kept free for it, and arrays begin as ever.
// Once the cloud has enough it runs.
func TestGangLargerThanCloudCapacity(t *testing.T) {
	opt := DefaultOptions(3)
	opt.Config.Goals = map[string]core.Goal{"gang": {StartWithin: 5 * second}}
	sim := New(opt)
	gang := gangOf("req-300000", 40) // twenty machines of twelve
	sim.At(5*second, func() { sim.Users.Submit(gang, 10*second) })
	for i := range 20 {
		job := batchJob(fmt.Sprintf("req-%06d", i), 8)
		job.Class = "array"
		sim.At(time.Duration(20+25*i)*second, func() { sim.Users.Submit(job, 8*second) })
	}
	var rented, idle time.Duration // machine seconds, in the second half
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
			t.Errorf("array %d began %v after it was submitted at %v", i, job.firstStartedAt-job.submittedAt, job.submittedAt)
		}
	}
	if job := sim.Checker.jobs[gang.ID]; job.firstStartedAt != 0 || job.confirmedDone || !job.accepted {
		t.Errorf("the gang: accepted: %v, began at %v", job.accepted, job.firstStartedAt)
	}
	// Two to three machines carry the arrays, and each idles for a minute at most.
	if meanIdle := idle.Seconds() / 250; meanIdle > 4 {
		t.Errorf("%.1f machines idle on average, of %.1f rented", meanIdle, rented.Seconds()/250)
	}
	sim.Options.Capacity = 12
	sim.RunUntil(1200 * second)
	if job := sim.Checker.jobs[gang.ID]; !job.confirmedDone {
		t.Error("the cloud has enough, and the gang has not run 650 s later")
	}
	for _, violation := range sim.Checker.Violations {
		t.Error(violation)
	}
}
