package sim

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// lateCopySeedCount is the number of seeds of TestRandomLateCopies. More than the default are
// meant for searches by hand.
var (
	firstLateCopySeed = flag.Int("copies-from", 1, "first seed of the scenarios in which copies of commands arrive late")
	lateCopySeedCount = flag.Int("copies-seeds", 16, "number of seeds of the scenarios in which copies of commands arrive late")
)

// restartAndDeliverCopies restarts all workers and delivers copies of the commands that they have
// answered, a delay after the restart.
func restartAndDeliverCopies(sim *Simulation, delay time.Duration) {
	for _, endpoint := range sortedKeys(sim.Workers) {
		worker := sim.Workers[endpoint]
		worker.Restart()
		if delay == 0 {
			worker.DeliverCommandCopies()
		} else {
			sim.After(delay, worker.DeliverCommandCopies)
		}
	}
}

// restartControllers crashes all controllers for 0.3 s.
func restartControllers(sim *Simulation) {
	for _, controller := range sim.Controllers {
		controller.CrashFor(300 * time.Millisecond)
	}
}

// cutWorkersOff loses all messages between the workers and the controllers for a while.
func cutWorkersOff(sim *Simulation, length time.Duration) {
	for _, endpoint := range sortedKeys(sim.Workers) {
		cutMachineOff(sim, sim.Workers[endpoint], length)
	}
}

// deliverAllCopies delivers copies of commands to all workers.
func deliverAllCopies(sim *Simulation) {
	for _, endpoint := range sortedKeys(sim.Workers) {
		sim.Workers[endpoint].DeliverCommandCopies()
	}
}

// lateCopyCases are orders of events after which a copy of a direct command that was carried out
// and answered arrives once more. At 20 s the tasks of req-000001 to req-000004 run, and
// req-000001 and req-000002 are cancelled.
var lateCopyCases = []struct {
	name   string
	inject func(sim *Simulation)
}{
	{"cancelled, restarted 40 s later, at once", func(sim *Simulation) {
		sim.At(60*second, func() { restartAndDeliverCopies(sim, 0) })
	}},
	{"cancelled, restarted 40 s later, after 2 ms", func(sim *Simulation) {
		sim.At(60*second, func() { restartAndDeliverCopies(sim, 2*time.Millisecond) })
	}},
	{"cancelled, restarted 40 s later, after 15 ms", func(sim *Simulation) {
		sim.At(60*second, func() { restartAndDeliverCopies(sim, 15*time.Millisecond) })
	}},
	{"cancelled, restarted 40 s later, after 300 ms", func(sim *Simulation) {
		sim.At(60*second, func() { restartAndDeliverCopies(sim, 300*time.Millisecond) })
	}},
	{"moved by a restart, restarted again 25 s later, at once", func(sim *Simulation) {
		sim.At(24*second, func() { restartOneWorker(sim) })
		sim.At(49*second, func() { restartAndDeliverCopies(sim, 0) })
	}},
	{"moved by a restart, restarted again 25 s later, after 15 ms", func(sim *Simulation) {
		sim.At(24*second, func() { restartOneWorker(sim) })
		sim.At(49*second, func() { restartAndDeliverCopies(sim, 15*time.Millisecond) })
	}},
	{"restarted while no controller runs, after 2 s", func(sim *Simulation) {
		sim.At(60*second, func() {
			for _, controller := range sim.Controllers {
				controller.CrashFor(4 * second)
			}
			restartAndDeliverCopies(sim, 2*second)
		})
	}},
	{"restarted and cut off for longer than a lease, at once and in the next session", func(sim *Simulation) {
		sim.At(60*second, func() {
			cutWorkersOff(sim, 25*second)
			restartAndDeliverCopies(sim, 0)
		})
		sim.At(72*second, func() { deliverAllCopies(sim) })
	}},
	{"in the second session, then restarted and cut off until the second session", func(sim *Simulation) {
		sim.At(22*second, func() { cutWorkersOff(sim, 12*second) })
		sim.At(90*second, func() {
			cutWorkersOff(sim, 25*second)
			restartAndDeliverCopies(sim, 0)
		})
		sim.At(101*second, func() { deliverAllCopies(sim) })
	}},
	{"cancelled, no restart", func(sim *Simulation) {
		for at := 21 * second; at < 110*second; at += 3 * second {
			sim.At(at, func() { deliverAllCopies(sim) })
		}
	}},
	{"all controllers restarted within 0.3 s", func(sim *Simulation) {
		sim.At(56*second, func() { restartControllers(sim) })
		for at := 21 * second; at < 110*second; at += 700 * time.Millisecond {
			sim.At(at, func() { deliverAllCopies(sim) })
		}
	}},
}

// restartOneWorker restarts one worker, of which copies of commands are kept.
func restartOneWorker(sim *Simulation) {
	for _, endpoint := range sortedKeys(sim.Workers) {
		if worker := sim.Workers[endpoint]; len(worker.tasks) > 0 && len(worker.commandCopies) > 0 {
			worker.Restart()
			return
		}
	}
}

// newLateCopyScenario starts four services of one team, two of which are cancelled at 20 s, and
// keeps copies of commands.
func newLateCopyScenario(seed uint64) *Simulation {
	sim := New(DefaultOptions(seed))
	sim.KeepCommandCopies = true
	for i := 1; i <= 4; i++ {
		job := serviceJob(fmt.Sprintf("req-%06d", i), 4)
		// The small jobs first let machines boot, so that the services are started on idle ones.
		sim.At(time.Duration(2+2*i)*second, func() { sim.Users.Submit(batchJob(fmt.Sprintf("req-1%05d", i), 3), 3*second) })
		sim.At(time.Duration(14+i)*second, func() { sim.Users.Submit(job, 0) })
	}
	for i := 1; i <= 2; i++ {
		sim.At(20*second, func() { sim.Users.Cancel(fmt.Sprintf("req-%06d", i)) })
	}
	return sim
}

// TestLateCopiesOfCommands guards against a task that runs on two machines at once, and a
// cancelled task that runs again: a copy of a direct start that had been carried out reached a
// worker that had just restarted and knew no epoch.
func TestLateCopiesOfCommands(t *testing.T) {
	for _, c := range lateCopyCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				sim := newLateCopyScenario(seed + 1)
				c.inject(sim)
				sim.RunUntil(130 * second)
				for _, violation := range sim.Checker.Violations {
					t.Errorf("seed %d: %s", seed+1, violation)
				}
			}
		})
	}
}

// newRandomLateCopyScenario draws a scenario in which machines and controllers restart, often
// within a second, zones are cut off, tasks move and jobs are cancelled, and in which copies of
// answered commands arrive at random times up to minutes later, most often just after a machine
// or a controller is back.
func newRandomLateCopyScenario(seed uint64) *Simulation {
	options := DefaultOptions(seed)
	options.Capacity = 12 // enough for all jobs although many machines are given up
	sim := New(options)
	sim.KeepCommandCopies = true
	checkRequeues(sim)
	submitMixedLoad(sim, 150*second)
	watchLeaders(sim)
	for at := 25 * second; at < 160*second; at += 300*time.Millisecond + sim.durationUpTo(3*second) {
		sim.At(at, func() { injectLateCopyFault(sim) })
	}
	return sim
}

// injectLateCopyFault injects one of the events of newRandomLateCopyScenario.
func injectLateCopyFault(sim *Simulation) {
	endpoints := sortedKeys(sim.Workers)
	if len(endpoints) == 0 {
		return
	}
	worker := sim.Workers[endpoints[sim.Rand.IntN(len(endpoints))]]
	switch sim.Rand.IntN(10) {
	case 0, 1, 2, 3:
		worker.Restart()
		deliverCopiesSoon(sim, worker)
	case 4:
		worker.Restart()
		cutMachineOff(sim, worker, sim.Options.Config.Lease+sim.durationUpTo(2*sim.Options.Config.Lease))
		deliverCopiesSoon(sim, worker)
		sim.After(sim.Options.Config.Lease+sim.durationUpTo(second), worker.DeliverCommandCopies)
	case 5:
		cutMachineOff(sim, worker, sim.durationUpTo(2*sim.Options.Config.Lease))
	case 6:
		worker.Pause(sim.durationUpTo(sim.Options.Config.Lease))
	case 7:
		sim.crashLeader(50*time.Millisecond + sim.durationUpTo(2*second))
		sim.After(sim.durationUpTo(3*second), func() { deliverAllCopies(sim) })
	case 8:
		if sim.Rand.IntN(4) == 0 {
			restartControllers(sim)
		}
		sim.After(sim.durationUpTo(second), func() { deliverAllCopies(sim) })
	default:
		sim.After(sim.durationUpTo(60*second), worker.DeliverCommandCopies)
	}
}

// deliverCopiesSoon delivers copies of commands to a worker that has just restarted: at once or
// some milliseconds later in most cases, and once more up to a minute later.
func deliverCopiesSoon(sim *Simulation, worker *Worker) {
	if sim.Rand.IntN(2) == 0 {
		worker.DeliverCommandCopies()
	} else {
		sim.After(sim.durationUpTo(time.Duration(1+sim.Rand.IntN(400))*time.Millisecond), worker.DeliverCommandCopies)
	}
	sim.After(sim.durationUpTo(60*second), worker.DeliverCommandCopies)
}

// TestRandomLateCopies is TestLateCopiesOfCommands for random orders of events.
func TestRandomLateCopies(t *testing.T) {
	for i := range *lateCopySeedCount {
		seed := *firstLateCopySeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newRandomLateCopyScenario(uint64(seed))
			sim.RunUntil(260 * second)
			sim.Checker.CheckKnown(75 * second)
			sim.RunUntil(330 * second)
			sim.Checker.CheckServed()
			for _, violation := range sim.Checker.Violations {
				t.Error(violation)
			}
		})
	}
}

// TestDirectCommandsStartNothing checks that no direct command carries a start or a forget, and
// that tasks are started all the same.
func TestDirectCommandsStartNothing(t *testing.T) {
	sim := New(DefaultOptions(4))
	directOrders := map[string]int{}
	sim.Options.Tamper = func(_ *Simulation, _ *Controller, effect core.Effect) core.Effect {
		if call, ok := effect.(core.AgentCall); ok {
			for _, order := range call.Orders {
				directOrders[order.Verb]++
			}
		}
		return effect
	}
	submitMixedLoad(sim, 100*second)
	sim.RunUntil(120 * second)
	if directOrders[model.OrderStart]+directOrders[model.OrderForget] > 0 || directOrders[model.OrderKill] == 0 || sim.Checker.TaskStarts < 50 {
		t.Errorf("got orders %v in direct commands and %d started tasks, want only kills and at least 50 tasks", directOrders, sim.Checker.TaskStarts)
	}
	if len(sim.Checker.Violations) > 0 {
		t.Error(strings.Join(sim.Checker.Violations, "\n"))
	}
}
