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
func (w *Simulation) runWhenGangTasks(state string, n int, f func()) {
	w.runWhen(2*second, func() bool { return w.countInState(gangID, state) >= n }, f)
}

// otherGangMachines are the machines with tasks of the gang, but for the first's.
func (w *Simulation) otherGangMachines() []*Worker {
	first := w.machineWithTask(gangID + "/0")
	var list []*Worker
	for _, h := range sortedKeys(w.Workers) {
		wk := w.Workers[h]
		for i := range 5 {
			if wk != first && wk.tasks[model.TaskName(gangID, i)] != nil && !slices.Contains(list, wk) {
				list = append(list, wk)
			}
		}
	}
	return list
}

// loseGatheringTask keeps the gang from completing and takes a machine whose
// task waits; then runs f.
func (w *Simulation) loseGatheringTask(f func()) {
	w.runWhenGangTasks(model.TaskFetching, 5, func() { w.machineWithTask(gangID + "/4").Pause(8 * second) })
	w.runWhenGangTasks(model.TaskGathering, 3, func() {
		f()
		w.Cloud.RemoveMachine(w.machineWithTask(gangID + "/0").info.Host)
	})
}

// reclaimFirstGangMachine has the cloud recall the machine of the gang's first task.
func (w *Simulation) reclaimFirstGangMachine() {
	w.Cloud.Reclaim(w.machineWithTask(gangID+"/0").info.Host, 9*second)
}

// idleMachines are machines without tasks.
func (w *Simulation) idleMachines() []*Worker {
	var list []*Worker
	for _, h := range sortedKeys(w.Workers) {
		if len(w.Workers[h].tasks) == 0 {
			list = append(list, w.Workers[h])
		}
	}
	return list
}

// refuseReplacement: the first machine that is sent a replacement refuses it.
func refuseReplacement(cause string) func(w *Simulation) {
	return func(w *Simulation) {
		w.Cloud.Rent("small", "b", false, 4)
		w.loseGatheringTask(func() { w.NextStartRefusal = cause })
	}
}

// checkStartRefused checks that there was a refusal to deal with.
func checkStartRefused(t *testing.T, w *Simulation) {
	if w.RefusedStarts == 0 {
		t.Error("no replacement was refused")
	}
}

// gangAttemptCount counts the attempts of the gang of which a task got its image.
func (w *Simulation) gangAttemptCount() int { return len(w.Checker.jobs[gangID].gangAttempts) }

// startedGangAttemptCount counts those that started.
func (w *Simulation) startedGangAttemptCount() int {
	n := 0
	for _, g := range w.Checker.jobs[gangID].gangAttempts {
		if g.started {
			n++
		}
	}
	return n
}

// TestGangFaults: one gang and one trouble, at the moment that matters. Rules
// hold, and the gang is done in good time unless it is withdrawn.
func TestGangFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		job    func(j *model.Job)
		opt    func(o *Options)
		play   func(w *Simulation)
		doneBy time.Duration // 0: it is withdrawn
		// attempts at most: those begun, one more than those lost.
		attempts int
		check    func(t *testing.T, w *Simulation)
	}{
		{name: "a replacement is refused: full", play: refuseReplacement(model.CauseNoCapacity), doneBy: 70 * second, attempts: 1, check: checkStartRefused},
		{name: "a replacement is refused: in use", play: refuseReplacement(model.CauseInUse), doneBy: 70 * second, attempts: 1, check: checkStartRefused},
		{name: "a replacement is refused: no such task", play: refuseReplacement(model.CauseNoSuchTask), doneBy: 70 * second, attempts: 1, check: checkStartRefused},
		{name: "a replacement's machine never answers", play: func(w *Simulation) {
			w.Cloud.Rent("small", "b", false, 2)
			w.loseGatheringTask(func() {
				for _, wk := range w.idleMachines() {
					wk.Pause(90 * second)
				}
			})
		}, doneBy: 110 * second, attempts: 2},
		{name: "tasks give up before the leader has told them to", play: func(w *Simulation) {
			w.Options.Config.GangWaitTimeout = 4 * second // the workers', who are told less than the leader
			w.runWhenGangTasks(model.TaskFetching, 5, func() { w.machineWithTask(gangID + "/4").Pause(9 * second) })
			w.At(30*second, func() { w.Options.Config.GangWaitTimeout = 40 * second })
		}, doneBy: 70 * second, attempts: 2},
		{name: "one task is done, the others' machines are out of reach", play: func(w *Simulation) {
			w.runWhenGangTasks(model.TaskRunning, 5, func() {
				w.After(18*second, func() {
					for _, wk := range w.otherGangMachines() {
						w.cutOff(wk, 9*second, "hold")
					}
				})
			})
		}, doneBy: 42 * second, attempts: 1},
		{name: "a task is lost while it runs", play: func(w *Simulation) {
			w.runWhenGangTasks(model.TaskRunning, 5, func() {
				w.After(7*second, func() { w.Cloud.RemoveMachine(w.machineWithTask(gangID + "/0").info.Host) })
			})
		}, doneBy: 70 * second, attempts: 2, check: func(t *testing.T, w *Simulation) {
			if p := w.Checker.jobs[gangID].savedProgress; p != 5*second {
				t.Errorf("the next attempt goes on from %v, want the checkpoint at 5 s", p)
			}
		}},
		{name: "a recall, and one stop is lost at first", play: func(w *Simulation) {
			w.runWhenGangTasks(model.TaskRunning, 5, func() {
				w.After(6*second, func() {
					w.reclaimFirstGangMachine()
					wk := w.otherGangMachines()[0]
					wk.CannotReceive = true
					w.runWhen(w.Now, func() bool { return w.countInState(gangID, model.TaskSaving) > 0 }, func() {
						w.After(time.Second, func() { wk.CannotReceive = false })
					})
				})
			})
		}, doneBy: 80 * second, attempts: 2, check: checkSavedProgress(6 * second)},
		{name: "a recall, and one stop comes after the save has failed", play: func(w *Simulation) {
			w.runWhenGangTasks(model.TaskRunning, 5, func() {
				w.After(2*second, func() {
					w.reclaimFirstGangMachine()
					w.cutOff(w.otherGangMachines()[0], 14*second, "hold")
				})
			})
		}, doneBy: 100 * second, attempts: 2},
		{name: "the stop of a recall arrives as the gang completes", play: func(w *Simulation) {
			w.runWhenGangTasks(model.TaskRunning, 5, func() {
				// The stop goes out SaveCost and a report before the machine goes:
				// within the last fifth of a second of the gang, by seed.
				early := 2*second + w.Options.Config.ReportInterval + time.Duration(w.Options.Seed%3)*60*time.Millisecond
				w.After(20*second-9*second+early-60*time.Millisecond, w.reclaimFirstGangMachine)
			})
		}, doneBy: 80 * second, attempts: 2},
		{name: "a machine of the gang hangs and is given up", play: func(w *Simulation) {
			w.runWhenGangTasks(model.TaskRunning, 5, func() {
				w.After(6*second, func() { w.machineWithTask(gangID + "/0").Pause(60 * second) })
			})
		}, doneBy: 80 * second, attempts: 2},
		{name: "withdrawn while it gathers", play: func(w *Simulation) {
			w.runWhenGangTasks(model.TaskFetching, 5, func() { w.machineWithTask(gangID + "/4").Pause(7 * second) })
			w.runWhenGangTasks(model.TaskGathering, 3, func() { w.Users.Cancel(gangID) })
		}, attempts: 1},
		{name: "withdrawn while it runs", play: func(w *Simulation) {
			w.runWhenGangTasks(model.TaskRunning, 5, func() { w.After(4*second, func() { w.Users.Cancel(gangID) }) })
		}, attempts: 1},
		{name: "withdrawn while it saves", play: func(w *Simulation) {
			w.runWhenGangTasks(model.TaskRunning, 5, func() { w.After(4*second, w.reclaimFirstGangMachine) })
			w.runWhenGangTasks(model.TaskSaving, 1, func() { w.Users.Cancel(gangID) })
		}, attempts: 1},
		{name: "the leader ends between the first and the last start", play: func(w *Simulation) {
			w.runWhen(2*second, func() bool { return len(w.Workers) >= 3 }, func() {
				for _, h := range sortedKeys(w.Workers)[1:] {
					w.holdCommands(h, 6*second)
				}
			})
			w.runWhenGangTasks(model.TaskFetching, 1, func() { w.crashLeader(time.Second) })
		}, doneBy: 80 * second, attempts: 2},
		{name: "the leader ends between the first and the last stop", play: func(w *Simulation) {
			w.runWhenGangTasks(model.TaskRunning, 5, func() {
				w.After(5*second, func() {
					for _, wk := range w.otherGangMachines() {
						w.holdCommands(wk.info.Endpoint, 5*second)
						wk.ReportAnswersLost = true
						w.After(5*second, func() { wk.ReportAnswersLost = false })
					}
					w.reclaimFirstGangMachine()
				})
			})
			w.runWhenGangTasks(model.TaskSaving, 1, func() { w.crashLeader(500 * time.Millisecond) })
		}, doneBy: 100 * second, attempts: 3},
		{name: "a new leader sees only some of the tasks", play: func(w *Simulation) {
			w.runWhenGangTasks(model.TaskRunning, 5, func() {
				w.After(3*second, func() {
					w.cutOff(w.otherGangMachines()[0], 6*second, "hold")
					w.crashLeader(time.Second)
				})
			})
		}, doneBy: 60 * second, attempts: 1},
		{name: "a new leader sees only some of the tasks, the others are lost", play: func(w *Simulation) {
			w.runWhenGangTasks(model.TaskRunning, 5, func() {
				w.After(3*second, func() {
					w.Cloud.RemoveMachine(w.otherGangMachines()[0].info.Host)
					w.crashLeader(time.Second)
				})
			})
		}, doneBy: 90 * second, attempts: 2},
		{name: "reports of an earlier attempt come late, also to a new leader", play: func(w *Simulation) {
			w.NextLeaderCopyFraction, w.LateReportCopyFraction = 1, 0.5
			w.runWhenGangTasks(model.TaskRunning, 5, func() {
				w.After(6*second, func() { w.Cloud.RemoveMachine(w.machineWithTask(gangID + "/0").info.Host) })
			})
			w.runWhen(30*second, func() bool { return w.startedGangAttemptCount() == 2 }, func() { w.crashLeader(time.Second) })
		}, doneBy: 90 * second, attempts: 2},
		{name: "tasks of the old attempt remain in another zone: all in one", job: func(j *model.Job) { j.OneZone = true }, play: cutGangZone, doneBy: 100 * second, attempts: 2},
		{name: "tasks of the old attempt remain in another zone: spread", job: func(j *model.Job) { j.Spread = true }, play: cutGangZone, doneBy: 100 * second, attempts: 2},
		{name: "the team is at its limit, the old attempt still on machines", opt: func(o *Options) {
			o.Config.Teams["tight"] = core.Team{Limit: sched.Resources{CPUs: 10}}
		}, job: func(j *model.Job) { j.Team = "tight" }, play: func(w *Simulation) {
			w.Cloud.Rent("small", "b", false, 4)
			w.runWhenGangTasks(model.TaskRunning, 5, func() {
				w.After(6*second, func() { w.cutOff(w.otherGangMachines()[0], 25*second, "hold") })
			})
		}, doneBy: 100 * second, attempts: 2},
		{name: "a zone is cut off with half of the gang", play: cutGangZone, doneBy: 100 * second, attempts: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= uint64(max(3, *seedCount/2)); seed++ {
				opt := DefaultOptions(seed)
				if c.opt != nil {
					c.opt(&opt)
				}
				w := New(opt)
				w.TraceEnabled = true
				watchLeaders(w)
				g := gangOf(gangID, 5)
				if c.job != nil {
					c.job(&g)
				}
				w.At(second, func() { w.Users.Submit(g, 20*second) })
				c.play(w)
				w.RunUntil(120 * second)
				x := w.Checker.jobs[gangID]
				for _, b := range w.Checker.Violations {
					t.Errorf("seed %d: %s", seed, b)
				}
				if done := x.confirmedDone && x.endConfirmedAt <= c.doneBy; done != (c.doneBy > 0) {
					t.Errorf("seed %d: done: %v, at %v, want by %v", seed, x.confirmedDone, x.endConfirmedAt, c.doneBy)
				}
				if c.doneBy == 0 && (x.cancelConfirmedAt == 0 || len(x.runningOn) > 0) {
					t.Errorf("seed %d: withdrawn at %v, %d tasks still there", seed, x.cancelConfirmedAt, len(x.runningOn))
				}
				t.Logf("seed %d: %d attempts, %d of them started, done at %v, %v kept", seed, w.gangAttemptCount(), w.startedGangAttemptCount(), x.endConfirmedAt, x.savedProgress)
				if n := w.gangAttemptCount(); n > c.attempts {
					t.Errorf("seed %d: %d attempts, want %d at most", seed, n, c.attempts)
				}
				if c.check != nil {
					c.check(t, w)
				}
				if t.Failed() {
					for _, line := range w.Trace {
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
	return func(t *testing.T, w *Simulation) {
		if p := w.Checker.jobs[gangID].savedProgress; p < least {
			t.Errorf("%v of progress kept, want %v", p, least)
		}
	}
}

// holdCommands delays what the leader sends to a machine directly.
func (w *Simulation) holdCommands(endpoint string, d time.Duration) {
	for _, n := range w.Controllers {
		w.link(n.Name, endpoint).mode = "hold"
		w.After(d, func() { w.Heal(n.Name, endpoint) })
	}
}

// cutGangZone cuts the zone of the gang's first task off while the gang runs.
func cutGangZone(w *Simulation) {
	w.runWhenGangTasks(model.TaskRunning, 5, func() {
		w.After(6*second, func() {
			zone := w.machineWithTask(gangID + "/0").info.Zone
			w.tracef("zone %s is cut off", zone)
			cutZone(w, zone, 35*second, "hold")
		})
	})
}
