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

// whenGang runs f as soon as n tasks of the gang are in a state.
func (w *World) whenGang(state string, n int, f func()) {
	w.when(2*second, func() bool { return w.shows(gangID, state) >= n }, f)
}

// others are the machines with tasks of the gang, but for the first's.
func (w *World) others() []*Worker {
	first := w.machineOf(gangID + "/0")
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

// loseOneGathering keeps the gang from completing and takes a machine whose
// task waits; then runs f.
func (w *World) loseOneGathering(f func()) {
	w.whenGang(model.TaskFetching, 5, func() { w.machineOf(gangID + "/4").Hang(8 * second) })
	w.whenGang(model.TaskGathering, 3, func() {
		f()
		w.Cloud.Take(w.machineOf(gangID + "/0").info.Host)
	})
}

// recallFirst has the cloud recall the machine of the gang's first task.
func (w *World) recallFirst() {
	w.Cloud.Recall(w.machineOf(gangID+"/0").info.Host, 9*second)
}

// spares are machines without tasks.
func (w *World) spares() []*Worker {
	var list []*Worker
	for _, h := range sortedKeys(w.Workers) {
		if len(w.Workers[h].tasks) == 0 {
			list = append(list, w.Workers[h])
		}
	}
	return list
}

// refusedReplacement: the first machine that is sent a replacement refuses it.
func refusedReplacement(cause string) func(w *World) {
	return func(w *World) {
		w.Cloud.Rent("small", "b", false, 4)
		w.loseOneGathering(func() { w.RefuseNext = cause })
	}
}

// refused checks that there was a refusal to deal with.
func refused(t *testing.T, w *World) {
	if w.Refusals == 0 {
		t.Error("no replacement was refused")
	}
}

// attempts counts the attempts of the gang of which a task got its image.
func (w *World) attempts() int { return len(w.Check.jobs[gangID].gangs) }

// completed counts those that started.
func (w *World) completed() int {
	n := 0
	for _, g := range w.Check.jobs[gangID].gangs {
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
		play   func(w *World)
		doneBy time.Duration // 0: it is withdrawn
		// attempts at most: those begun, one more than those lost.
		attempts int
		check    func(t *testing.T, w *World)
	}{
		{name: "a replacement is refused: full", play: refusedReplacement(model.CauseNoCapacity), doneBy: 70 * second, attempts: 1, check: refused},
		{name: "a replacement is refused: in use", play: refusedReplacement(model.CauseInUse), doneBy: 70 * second, attempts: 1, check: refused},
		{name: "a replacement is refused: no such task", play: refusedReplacement(model.CauseNoSuchTask), doneBy: 70 * second, attempts: 1, check: refused},
		{name: "a replacement's machine never answers", play: func(w *World) {
			w.Cloud.Rent("small", "b", false, 2)
			w.loseOneGathering(func() {
				for _, wk := range w.spares() {
					wk.Hang(90 * second)
				}
			})
		}, doneBy: 110 * second, attempts: 2},
		{name: "tasks give up before the leader has told them to", play: func(w *World) {
			w.Opt.Config.GangWaitTimeout = 4 * second // the workers', who are told less than the leader
			w.whenGang(model.TaskFetching, 5, func() { w.machineOf(gangID + "/4").Hang(9 * second) })
			w.At(30*second, func() { w.Opt.Config.GangWaitTimeout = 40 * second })
		}, doneBy: 70 * second, attempts: 2},
		{name: "one task is done, the others' machines are out of reach", play: func(w *World) {
			w.whenGang(model.TaskRunning, 5, func() {
				w.After(18*second, func() {
					for _, wk := range w.others() {
						w.cutOff(wk, 9*second, "hold")
					}
				})
			})
		}, doneBy: 42 * second, attempts: 1},
		{name: "a task is lost while it runs", play: func(w *World) {
			w.whenGang(model.TaskRunning, 5, func() {
				w.After(7*second, func() { w.Cloud.Take(w.machineOf(gangID + "/0").info.Host) })
			})
		}, doneBy: 70 * second, attempts: 2, check: func(t *testing.T, w *World) {
			if p := w.Check.jobs[gangID].progress; p != 5*second {
				t.Errorf("the next attempt goes on from %v, want the checkpoint at 5 s", p)
			}
		}},
		{name: "a recall, and one stop is lost at first", play: func(w *World) {
			w.whenGang(model.TaskRunning, 5, func() {
				w.After(6*second, func() {
					w.recallFirst()
					wk := w.others()[0]
					wk.Deaf = true
					w.when(w.Now, func() bool { return w.shows(gangID, model.TaskSaving) > 0 }, func() {
						w.After(time.Second, func() { wk.Deaf = false })
					})
				})
			})
		}, doneBy: 80 * second, attempts: 2, check: saved(6 * second)},
		{name: "a recall, and one stop comes after the save has failed", play: func(w *World) {
			w.whenGang(model.TaskRunning, 5, func() {
				w.After(2*second, func() {
					w.recallFirst()
					w.cutOff(w.others()[0], 14*second, "hold")
				})
			})
		}, doneBy: 100 * second, attempts: 2},
		{name: "the stop of a recall arrives as the gang completes", play: func(w *World) {
			w.whenGang(model.TaskRunning, 5, func() {
				// The stop goes out SaveCost and a report before the machine goes:
				// within the last fifth of a second of the gang, by seed.
				early := 2*second + w.Opt.Config.ReportInterval + time.Duration(w.Opt.Seed%3)*60*time.Millisecond
				w.After(20*second-9*second+early-60*time.Millisecond, w.recallFirst)
			})
		}, doneBy: 80 * second, attempts: 2},
		{name: "a machine of the gang hangs and is given up", play: func(w *World) {
			w.whenGang(model.TaskRunning, 5, func() {
				w.After(6*second, func() { w.machineOf(gangID + "/0").Hang(60 * second) })
			})
		}, doneBy: 80 * second, attempts: 2},
		{name: "withdrawn while it gathers", play: func(w *World) {
			w.whenGang(model.TaskFetching, 5, func() { w.machineOf(gangID + "/4").Hang(7 * second) })
			w.whenGang(model.TaskGathering, 3, func() { w.Users.Cancel(gangID) })
		}, attempts: 1},
		{name: "withdrawn while it runs", play: func(w *World) {
			w.whenGang(model.TaskRunning, 5, func() { w.After(4*second, func() { w.Users.Cancel(gangID) }) })
		}, attempts: 1},
		{name: "withdrawn while it saves", play: func(w *World) {
			w.whenGang(model.TaskRunning, 5, func() { w.After(4*second, w.recallFirst) })
			w.whenGang(model.TaskSaving, 1, func() { w.Users.Cancel(gangID) })
		}, attempts: 1},
		{name: "the leader ends between the first and the last start", play: func(w *World) {
			w.when(2*second, func() bool { return len(w.Workers) >= 3 }, func() {
				for _, h := range sortedKeys(w.Workers)[1:] {
					w.holdCommands(h, 6*second)
				}
			})
			w.whenGang(model.TaskFetching, 1, func() { w.crashLeader(time.Second) })
		}, doneBy: 80 * second, attempts: 2},
		{name: "the leader ends between the first and the last stop", play: func(w *World) {
			w.whenGang(model.TaskRunning, 5, func() {
				w.After(5*second, func() {
					for _, wk := range w.others() {
						w.holdCommands(wk.info.Endpoint, 5*second)
						wk.Unanswered = true
						w.After(5*second, func() { wk.Unanswered = false })
					}
					w.recallFirst()
				})
			})
			w.whenGang(model.TaskSaving, 1, func() { w.crashLeader(500 * time.Millisecond) })
		}, doneBy: 100 * second, attempts: 3},
		{name: "a new leader sees only some of the tasks", play: func(w *World) {
			w.whenGang(model.TaskRunning, 5, func() {
				w.After(3*second, func() {
					w.cutOff(w.others()[0], 6*second, "hold")
					w.crashLeader(time.Second)
				})
			})
		}, doneBy: 60 * second, attempts: 1},
		{name: "a new leader sees only some of the tasks, the others are lost", play: func(w *World) {
			w.whenGang(model.TaskRunning, 5, func() {
				w.After(3*second, func() {
					w.Cloud.Take(w.others()[0].info.Host)
					w.crashLeader(time.Second)
				})
			})
		}, doneBy: 90 * second, attempts: 2},
		{name: "reports of an earlier attempt come late, also to a new leader", play: func(w *World) {
			w.ForNext, w.Copies = 1, 0.5
			w.whenGang(model.TaskRunning, 5, func() {
				w.After(6*second, func() { w.Cloud.Take(w.machineOf(gangID + "/0").info.Host) })
			})
			w.when(30*second, func() bool { return w.completed() == 2 }, func() { w.crashLeader(time.Second) })
		}, doneBy: 90 * second, attempts: 2},
		{name: "tasks of the old attempt remain in another zone: all in one", job: func(j *model.Job) { j.OneZone = true }, play: cutGangsZone, doneBy: 100 * second, attempts: 2},
		{name: "tasks of the old attempt remain in another zone: spread", job: func(j *model.Job) { j.Spread = true }, play: cutGangsZone, doneBy: 100 * second, attempts: 2},
		{name: "the team is at its limit, the old attempt still on machines", opt: func(o *Options) {
			o.Config.Teams["tight"] = core.Team{Limit: sched.Resources{CPUs: 10}}
		}, job: func(j *model.Job) { j.Team = "tight" }, play: func(w *World) {
			w.Cloud.Rent("small", "b", false, 4)
			w.whenGang(model.TaskRunning, 5, func() {
				w.After(6*second, func() { w.cutOff(w.others()[0], 25*second, "hold") })
			})
		}, doneBy: 100 * second, attempts: 2},
		{name: "a zone is cut off with half of the gang", play: cutGangsZone, doneBy: 100 * second, attempts: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= uint64(max(3, *seeds/2)); seed++ {
				opt := Defaults(seed)
				if c.opt != nil {
					c.opt(&opt)
				}
				w := New(opt)
				w.Tell = true
				watchLeaders(w)
				g := gangOf(gangID, 5)
				if c.job != nil {
					c.job(&g)
				}
				w.At(second, func() { w.Users.Submit(g, 20*second) })
				c.play(w)
				w.Run(120 * second)
				x := w.Check.jobs[gangID]
				for _, b := range w.Check.Broken {
					t.Errorf("seed %d: %s", seed, b)
				}
				if done := x.toldDone && x.toldAt <= c.doneBy; done != (c.doneBy > 0) {
					t.Errorf("seed %d: done: %v, at %v, want by %v", seed, x.toldDone, x.toldAt, c.doneBy)
				}
				if c.doneBy == 0 && (x.toldCancelled == 0 || len(x.on) > 0) {
					t.Errorf("seed %d: withdrawn at %v, %d tasks still there", seed, x.toldCancelled, len(x.on))
				}
				t.Logf("seed %d: %d attempts, %d of them started, done at %v, %v kept", seed, w.attempts(), w.completed(), x.toldAt, x.progress)
				if n := w.attempts(); n > c.attempts {
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

// saved checks that an orderly stop kept at least so much progress.
func saved(least time.Duration) func(*testing.T, *World) {
	return func(t *testing.T, w *World) {
		if p := w.Check.jobs[gangID].progress; p < least {
			t.Errorf("%v of progress kept, want %v", p, least)
		}
	}
}

// holdCommands delays what the leader sends to a machine directly.
func (w *World) holdCommands(endpoint string, d time.Duration) {
	for _, n := range w.Nodes {
		w.link(n.Name, endpoint).mode = "hold"
		w.After(d, func() { w.Heal(n.Name, endpoint) })
	}
}

// cutGangsZone cuts the zone of the gang's first task off while the gang runs.
func cutGangsZone(w *World) {
	w.whenGang(model.TaskRunning, 5, func() {
		w.After(6*second, func() {
			zone := w.machineOf(gangID + "/0").info.Zone
			w.tell("zone %s is cut off", zone)
			cutZone(w, zone, 35*second, "hold")
		})
	})
}
