package sim

import (
	"slices"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// gangID is the one gang of each row of TestGangFaults: five tasks, two on a
// machine, that run for 20 s and save each 5 s.
const gangID = "req-000001"

// runWhenGangTasks runs f as soon as n tasks of the gang are in a state.
func (sim *Simulation) runWhenGangTasks(state string, n int, f func()) {
	sim.runWhen(2*second, func() bool { return sim.countInState(gangID, state) >= n }, f)
}

// otherGangMachines are the machines with tasks of the gang, but for the first's.
func (sim *Simulation) otherGangMachines() []*Worker {
	first := sim.machineWithTask(gangID + "/0")
	var workers []*Worker
	for _, endpoint := range sortedKeys(sim.Workers) {
		worker := sim.Workers[endpoint]
		for i := range 5 {
			if worker != first && worker.tasks[model.TaskName(gangID, i)] != nil && !slices.Contains(workers, worker) {
				workers = append(workers, worker)
			}
		}
	}
	return workers
}

// loseGatheringTask keeps the gang from completing and takes a machine whose
// task waits; then runs f.
func (sim *Simulation) loseGatheringTask(f func()) {
	sim.runWhenGangTasks(model.TaskFetching, 5, func() { sim.machineWithTask(gangID + "/4").Pause(8 * second) })
	sim.runWhenGangTasks(model.TaskGathering, 3, func() {
		f()
		sim.Cloud.RemoveMachine(sim.machineWithTask(gangID + "/0").info.Host)
	})
}

// reclaimFirstGangMachine has the cloud recall the machine of the gang's first task.
func (sim *Simulation) reclaimFirstGangMachine() {
	sim.Cloud.Reclaim(sim.machineWithTask(gangID+"/0").info.Host, 9*second)
}

// idleMachines are machines without tasks.
func (sim *Simulation) idleMachines() []*Worker {
	var workers []*Worker
	for _, endpoint := range sortedKeys(sim.Workers) {
		if len(sim.Workers[endpoint].tasks) == 0 {
			workers = append(workers, sim.Workers[endpoint])
		}
	}
	return workers
}

// refuseReplacement: the first machine that is sent a replacement refuses it.
func refuseReplacement(cause string) func(sim *Simulation) {
	return func(sim *Simulation) {
		sim.Cloud.Rent("small", "b", false, 4)
		sim.loseGatheringTask(func() { sim.NextStartRefusal = cause })
	}
}

// checkStartRefused checks that there was a refusal to deal with.
func checkStartRefused(t *testing.T, sim *Simulation) {
	if sim.RefusedStarts == 0 {
		t.Error("no replacement was refused")
	}
}

// gangAttemptCount counts the attempts of the gang of which a task got its image.
func (sim *Simulation) gangAttemptCount() int { return len(sim.Checker.jobs[gangID].gangAttempts) }

// startedGangAttemptCount counts those that started.
func (sim *Simulation) startedGangAttemptCount() int {
	n := 0
	for _, g := range sim.Checker.jobs[gangID].gangAttempts {
		if g.started {
			n++
		}
	}
	return n
}

// TestGangFaults: one gang and one trouble, at the moment that matters. Rules
// hold, and the gang is done in good time unless it is withdrawn.
func TestGangFaults(t *testing.T) {
	for _, tc := range []struct {
		name        string
		editJob     func(job *model.Job)
		editOptions func(opt *Options)
		inject      func(sim *Simulation)
		doneBy      time.Duration // 0: it is withdrawn
		// attempts at most: those begun, one more than those lost.
		maxAttempts int
		check       func(t *testing.T, sim *Simulation)
	}{
		{name: "a replacement is refused: full", inject: refuseReplacement(model.CauseNoCapacity), doneBy: 70 * second, maxAttempts: 1, check: checkStartRefused},
		{name: "a replacement is refused: in use", inject: refuseReplacement(model.CauseInUse), doneBy: 70 * second, maxAttempts: 1, check: checkStartRefused},
		{name: "a replacement is refused: no such task", inject: refuseReplacement(model.CauseNoSuchTask), doneBy: 70 * second, maxAttempts: 1, check: checkStartRefused},
		{name: "a replacement's machine never answers", inject: func(sim *Simulation) {
			sim.Cloud.Rent("small", "b", false, 2)
			sim.loseGatheringTask(func() {
				for _, worker := range sim.idleMachines() {
					worker.Pause(90 * second)
				}
			})
		}, doneBy: 110 * second, maxAttempts: 2},
		{name: "tasks give up before the leader has told them to", inject: func(sim *Simulation) {
			sim.Options.Config.GangWaitTimeout = 4 * second // the workers', who are told less than the leader
			sim.runWhenGangTasks(model.TaskFetching, 5, func() { sim.machineWithTask(gangID + "/4").Pause(9 * second) })
			sim.At(30*second, func() { sim.Options.Config.GangWaitTimeout = 40 * second })
		}, doneBy: 70 * second, maxAttempts: 2},
		{name: "one task is done, the others' machines are out of reach", inject: func(sim *Simulation) {
			sim.runWhenGangTasks(model.TaskRunning, 5, func() {
				sim.After(18*second, func() {
					for _, worker := range sim.otherGangMachines() {
						sim.cutOff(worker, 9*second, "hold")
					}
				})
			})
		}, doneBy: 42 * second, maxAttempts: 1},
		{name: "a task is lost while it runs", inject: func(sim *Simulation) {
			sim.runWhenGangTasks(model.TaskRunning, 5, func() {
				sim.After(7*second, func() { sim.Cloud.RemoveMachine(sim.machineWithTask(gangID + "/0").info.Host) })
			})
		}, doneBy: 70 * second, maxAttempts: 2, check: func(t *testing.T, sim *Simulation) {
			if progress := sim.Checker.jobs[gangID].savedProgress; progress != 5*second {
				t.Errorf("the next attempt goes on from %v, want the checkpoint at 5 s", progress)
			}
		}},
		{name: "a recall, and one stop is lost at first", inject: func(sim *Simulation) {
			sim.runWhenGangTasks(model.TaskRunning, 5, func() {
				sim.After(6*second, func() {
					sim.reclaimFirstGangMachine()
					worker := sim.otherGangMachines()[0]
					worker.CannotReceive = true
					sim.runWhen(sim.Now, func() bool { return sim.countInState(gangID, model.TaskSaving) > 0 }, func() {
						sim.After(time.Second, func() { worker.CannotReceive = false })
					})
				})
			})
		}, doneBy: 80 * second, maxAttempts: 2, check: checkSavedProgress(6 * second)},
		{name: "a recall, and one stop comes after the save has failed", inject: func(sim *Simulation) {
			sim.runWhenGangTasks(model.TaskRunning, 5, func() {
				sim.After(2*second, func() {
					sim.reclaimFirstGangMachine()
					sim.cutOff(sim.otherGangMachines()[0], 14*second, "hold")
				})
			})
		}, doneBy: 100 * second, maxAttempts: 2},
		{name: "the stop of a recall arrives as the gang completes", inject: func(sim *Simulation) {
			sim.runWhenGangTasks(model.TaskRunning, 5, func() {
				// The stop goes out SaveCost and a report before the machine goes:
				// within the last fifth of a second of the gang, by seed.
				early := 2*second + sim.Options.Config.ReportInterval + time.Duration(sim.Options.Seed%3)*60*time.Millisecond
				sim.After(20*second-9*second+early-60*time.Millisecond, sim.reclaimFirstGangMachine)
			})
		}, doneBy: 80 * second, maxAttempts: 2},
		{name: "a machine of the gang hangs and is given up", inject: func(sim *Simulation) {
			sim.runWhenGangTasks(model.TaskRunning, 5, func() {
				sim.After(6*second, func() { sim.machineWithTask(gangID + "/0").Pause(60 * second) })
			})
		}, doneBy: 80 * second, maxAttempts: 2},
		{name: "withdrawn while it gathers", inject: func(sim *Simulation) {
			sim.runWhenGangTasks(model.TaskFetching, 5, func() { sim.machineWithTask(gangID + "/4").Pause(7 * second) })
			sim.runWhenGangTasks(model.TaskGathering, 3, func() { sim.Users.Cancel(gangID) })
		}, maxAttempts: 1},
		{name: "withdrawn while it runs", inject: func(sim *Simulation) {
			sim.runWhenGangTasks(model.TaskRunning, 5, func() { sim.After(4*second, func() { sim.Users.Cancel(gangID) }) })
		}, maxAttempts: 1},
		{name: "withdrawn while it saves", inject: func(sim *Simulation) {
			sim.runWhenGangTasks(model.TaskRunning, 5, func() { sim.After(4*second, sim.reclaimFirstGangMachine) })
			sim.runWhenGangTasks(model.TaskSaving, 1, func() { sim.Users.Cancel(gangID) })
		}, maxAttempts: 1},
		{name: "the leader ends between the first and the last start", inject: func(sim *Simulation) {
			sim.runWhen(2*second, func() bool { return len(sim.Workers) >= 3 }, func() {
				for _, endpoint := range sortedKeys(sim.Workers)[1:] {
					sim.holdCommands(endpoint, 6*second)
				}
			})
			sim.runWhenGangTasks(model.TaskFetching, 1, func() { sim.crashLeader(time.Second) })
		}, doneBy: 80 * second, maxAttempts: 2},
		{name: "the leader ends between the first and the last stop", inject: func(sim *Simulation) {
			sim.runWhenGangTasks(model.TaskRunning, 5, func() {
				sim.After(5*second, func() {
					for _, worker := range sim.otherGangMachines() {
						sim.holdCommands(worker.info.Endpoint, 5*second)
						worker.ReportAnswersLost = true
						sim.After(5*second, func() { worker.ReportAnswersLost = false })
					}
					sim.reclaimFirstGangMachine()
				})
			})
			sim.runWhenGangTasks(model.TaskSaving, 1, func() { sim.crashLeader(500 * time.Millisecond) })
		}, doneBy: 100 * second, maxAttempts: 3},
		{name: "a new leader sees only some of the tasks", inject: func(sim *Simulation) {
			sim.runWhenGangTasks(model.TaskRunning, 5, func() {
				sim.After(3*second, func() {
					sim.cutOff(sim.otherGangMachines()[0], 6*second, "hold")
					sim.crashLeader(time.Second)
				})
			})
		}, doneBy: 60 * second, maxAttempts: 1},
		{name: "a new leader sees only some of the tasks, the others are lost", inject: func(sim *Simulation) {
			sim.runWhenGangTasks(model.TaskRunning, 5, func() {
				sim.After(3*second, func() {
					sim.Cloud.RemoveMachine(sim.otherGangMachines()[0].info.Host)
					sim.crashLeader(time.Second)
				})
			})
		}, doneBy: 90 * second, maxAttempts: 2},
		{name: "reports of an earlier attempt come late, also to a new leader", inject: func(sim *Simulation) {
			sim.NextLeaderCopyFraction, sim.LateReportCopyFraction = 1, 0.5
			sim.runWhenGangTasks(model.TaskRunning, 5, func() {
				sim.After(6*second, func() { sim.Cloud.RemoveMachine(sim.machineWithTask(gangID + "/0").info.Host) })
			})
			sim.runWhen(30*second, func() bool { return sim.startedGangAttemptCount() == 2 }, func() { sim.crashLeader(time.Second) })
		}, doneBy: 90 * second, maxAttempts: 2},
		{name: "tasks of the old attempt remain in another zone: all in one", editJob: func(job *model.Job) { job.OneZone = true }, inject: cutGangZone, doneBy: 100 * second, maxAttempts: 2},
		{name: "tasks of the old attempt remain in another zone: spread", editJob: func(job *model.Job) { job.Spread = true }, inject: cutGangZone, doneBy: 100 * second, maxAttempts: 2},
		{name: "the team is at its limit, the old attempt still on machines", editOptions: func(opt *Options) {
			opt.Config.Teams["tight"] = core.Team{Limit: sched.Resources{CPUs: 10}}
		}, editJob: func(job *model.Job) { job.Team = "tight" }, inject: func(sim *Simulation) {
			sim.Cloud.Rent("small", "b", false, 4)
			sim.runWhenGangTasks(model.TaskRunning, 5, func() {
				sim.After(6*second, func() { sim.cutOff(sim.otherGangMachines()[0], 25*second, "hold") })
			})
		}, doneBy: 100 * second, maxAttempts: 2},
		{name: "a zone is cut off with half of the gang", inject: cutGangZone, doneBy: 100 * second, maxAttempts: 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= uint64(max(3, *seedCount/2)); seed++ {
				opt := DefaultOptions(seed)
				if tc.editOptions != nil {
					tc.editOptions(&opt)
				}
				sim := New(opt)
				sim.TraceEnabled = true
				watchLeaders(sim)
				gang := gangOf(gangID, 5)
				if tc.editJob != nil {
					tc.editJob(&gang)
				}
				sim.At(second, func() { sim.Users.Submit(gang, 20*second) })
				tc.inject(sim)
				sim.RunUntil(120 * second)
				job := sim.Checker.jobs[gangID]
				for _, violation := range sim.Checker.Violations {
					t.Errorf("seed %d: %s", seed, violation)
				}
				if done := job.confirmedDone && job.endConfirmedAt <= tc.doneBy; done != (tc.doneBy > 0) {
					t.Errorf("seed %d: done: %v, at %v, want by %v", seed, job.confirmedDone, job.endConfirmedAt, tc.doneBy)
				}
				if tc.doneBy == 0 && (job.cancelConfirmedAt == 0 || len(job.runningOn) > 0) {
					t.Errorf("seed %d: withdrawn at %v, %d tasks still there", seed, job.cancelConfirmedAt, len(job.runningOn))
				}
				t.Logf("seed %d: %d attempts, %d of them started, done at %v, %v kept", seed, sim.gangAttemptCount(), sim.startedGangAttemptCount(), job.endConfirmedAt, job.savedProgress)
				if n := sim.gangAttemptCount(); n > tc.maxAttempts {
					t.Errorf("seed %d: %d attempts, want %d at most", seed, n, tc.maxAttempts)
				}
				if tc.check != nil {
					tc.check(t, sim)
				}
				if t.Failed() {
					for _, line := range sim.Trace {
						t.Log(line)
					}
					return
				}
			}
		})
	}
}

// checkSavedProgress checks that an orderly stop kept at least so much progress.
func checkSavedProgress(least time.Duration) func(*testing.T, *Simulation) {
	return func(t *testing.T, sim *Simulation) {
		if progress := sim.Checker.jobs[gangID].savedProgress; progress < least {
			t.Errorf("%v of progress kept, want %v", progress, least)
		}
	}
}

// holdCommands delays what the leader sends to a machine directly.
func (sim *Simulation) holdCommands(endpoint string, duration time.Duration) {
	for _, controller := range sim.Controllers {
		sim.link(controller.Name, endpoint).mode = "hold"
		sim.After(duration, func() { sim.Heal(controller.Name, endpoint) })
	}
}

// cutGangZone cuts the zone of the gang's first task off while the gang runs.
func cutGangZone(sim *Simulation) {
	sim.runWhenGangTasks(model.TaskRunning, 5, func() {
		sim.After(6*second, func() {
			zone := sim.machineWithTask(gangID + "/0").info.Zone
			sim.tracef("zone %s is cut off", zone)
			cutZone(sim, zone, 35*second, "hold")
		})
	})
}
