package sim

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

var update = flag.Bool("update", false, "rewrite the kept traces")

func serviceJob(id string, tasks int) model.Job {
	return model.Job{ID: id, Team: "t", Class: "c", Kind: model.KindService, Priority: model.PriorityProd,
		Tasks: tasks, CPUs: 2, MemoryGB: 4, Image: "svc", ImageGB: 2, Spread: true}
}

func batchJob(id string, tasks int) model.Job {
	return model.Job{ID: id, Team: "t", Class: "c", Kind: model.KindBatch, Priority: model.PriorityNormal,
		Tasks: tasks, CPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 2, EstimateS: 10}
}

// runningMachine finds the machine that a task is on.
func (w *Simulation) runningMachine(task string) *Worker {
	return w.Checker.jobOf(task).runningOn[task]
}

// host1 finds the machine that shows a task in whatever state.
func (w *Simulation) machineWithTask(task string) *Worker {
	for _, h := range sortedKeys(w.Workers) {
		if w.Workers[h].tasks[task] != nil {
			return w.Workers[h]
		}
	}
	return nil
}

// runWhen runs f as soon as cond holds, from a time on.
func (w *Simulation) runWhen(from time.Duration, cond func() bool, f func()) {
	var look func()
	look = func() {
		if cond() {
			f()
			return
		}
		w.After(10*time.Millisecond, look)
	}
	w.At(from, look)
}

// countInState counts the tasks of a job that are in a state on some machine.
func (w *Simulation) countInState(job, state string) int {
	n := 0
	for _, wk := range w.Workers {
		for task, r := range wk.tasks {
			if id, _, _ := model.ParseTaskName(task); id == job && r.state == state {
				n++
			}
		}
	}
	return n
}

// The stories that are kept as traces for people to read.
var traceScenarios = []struct {
	name  string
	about string
	until time.Duration
	play  func(w *Simulation)
}{
	{"gang-replacement", "A gang gathers, and a machine with a task that waits is taken. The others keep waiting; a replacement with the same attempt completes the gang.", 60 * second, func(w *Simulation) {
		w.Cloud.Rent("small", "b", false, 2) // one more than the gang needs
		w.At(second, func() { w.Users.Submit(gangOf("req-000001", 5), 15*second) })
		w.runWhen(2*second, func() bool { return w.countInState("req-000001", model.TaskFetching) == 5 }, func() {
			w.machineWithTask("req-000001/4").Pause(5 * second)
		})
		w.runWhen(3*second, func() bool { return w.countInState("req-000001", model.TaskGathering) >= 3 }, func() {
			w.tracef("machine %s is taken", w.machineWithTask("req-000001/0").info.Host)
			w.Cloud.RemoveMachine(w.machineWithTask("req-000001/0").info.Host)
		})
	}},
	{"gang-loses-task", "A running gang loses a task with its machine. The others are stopped at once; the next attempt starts when all of them are gone, and goes on from the last checkpoint.", 70 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(gangOf("req-000001", 5), 15*second) })
		w.runWhen(2*second, func() bool { return w.countInState("req-000001", model.TaskRunning) == 5 }, func() {
			w.After(7*second, func() {
				w.tracef("machine %s is taken", w.machineWithTask("req-000001/0").info.Host)
				w.Cloud.RemoveMachine(w.machineWithTask("req-000001/0").info.Host)
			})
		})
	}},
	{"gang-stopped-in-time", "One of a gang's machines is recalled. All tasks are told to stop by one decision, they save together, and the next attempt goes on from there.", 70 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(gangOf("req-000001", 5), 15*second) })
		w.runWhen(2*second, func() bool { return w.countInState("req-000001", model.TaskRunning) == 5 }, func() {
			w.After(2*second, func() {
				w.tracef("machine %s is recalled", w.machineWithTask("req-000001/0").info.Host)
				w.Cloud.Reclaim(w.machineWithTask("req-000001/0").info.Host, 9*second)
			})
		})
	}},
	{"gang-told-too-late", "The same, but one of the others is out of reach and can't be told in time: the save fails, and the gang falls back to its last checkpoint.", 90 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(gangOf("req-000001", 5), 15*second) })
		w.runWhen(2*second, func() bool { return w.countInState("req-000001", model.TaskRunning) == 5 }, func() {
			w.After(2*second, func() {
				gone := w.machineWithTask("req-000001/0")
				w.tracef("machine %s is recalled", gone.info.Host)
				w.Cloud.Reclaim(gone.info.Host, 9*second)
				for _, h := range sortedKeys(w.Workers) {
					if wk := w.Workers[h]; wk != gone && len(wk.tasks) > 0 {
						w.tracef("machine %s can't be reached", wk.info.Host)
						w.cutOff(wk, 12*second, "hold")
						break
					}
				}
			})
		})
	}},
	{"gang-takeover", "The leader crashes while a gang gathers, again while it runs, and again as it is stopped. Each successor takes the attempt over as it is.", 100 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(gangOf("req-000001", 5), 25*second) })
		w.runWhen(2*second, func() bool { return w.countInState("req-000001", model.TaskFetching) == 5 }, func() {
			w.machineWithTask("req-000001/4").Pause(6 * second)
		})
		w.runWhen(3*second, func() bool { return w.countInState("req-000001", model.TaskGathering) >= 3 }, func() { w.crashLeader(second) })
		w.runWhen(3*second, func() bool { return w.countInState("req-000001", model.TaskRunning) == 5 }, func() {
			w.After(3*second, func() { w.crashLeader(second) })
			w.After(11*second, func() {
				w.tracef("machine %s is recalled", w.machineWithTask("req-000001/0").info.Host)
				w.Cloud.Reclaim(w.machineWithTask("req-000001/0").info.Host, 9*second)
			})
			w.runWhen(w.Now+11*second, func() bool { return w.countInState("req-000001", model.TaskSaving) > 0 }, func() { w.crashLeader(second) })
		})
	}},
	{"gang-old-zone", "A gang that must be in one zone runs in one that is cut off. The next attempt starts elsewhere, but not before the old zone's leases are over.", 90 * second, func(w *Simulation) {
		j := gangOf("req-000001", 5)
		j.OneZone = true
		w.At(second, func() { w.Users.Submit(j, 20*second) })
		w.runWhen(2*second, func() bool { return w.countInState(j.ID, model.TaskRunning) == 5 }, func() {
			w.After(2*second, func() {
				zone := w.machineWithTask("req-000001/0").info.Zone
				w.tracef("zone %s is cut off", zone)
				cutZone(w, zone, 35*second, "hold")
			})
		})
	}},
	{"gang-not-completed", "A gang that gathers loses a machine, and nothing else is to be had. While a replacement could still come in time the others wait; then they are stopped at once, and make room.", 90 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(gangOf("req-000001", 5), 15*second) })
		w.runWhen(2*second, func() bool { return w.countInState("req-000001", model.TaskFetching) == 5 }, func() {
			w.machineWithTask("req-000001/4").Pause(5 * second)
		})
		w.runWhen(3*second, func() bool { return w.countInState("req-000001", model.TaskGathering) >= 3 }, func() {
			w.tracef("machine %s is taken, and the cloud has no other", w.machineWithTask("req-000001/0").info.Host)
			w.Cloud.RemoveMachine(w.machineWithTask("req-000001/0").info.Host)
			w.Options.Capacity = 0
		})
		w.At(56*second, func() { w.tracef("the cloud has machines again"); w.Options.Capacity = 4 })
	}},
	{"gangs-compete", "Two gangs come at once, and there is room for one at a time. Neither holds a part of the other's room.", 80 * second, func(w *Simulation) {
		w.Options.Capacity = 1
		w.At(second, func() { w.Users.Submit(gangOf("req-000001", 5), 12*second) })
		w.At(1100*time.Millisecond, func() { w.Users.Submit(gangOf("req-000002", 5), 12*second) })
	}},
	{"gang-limit", "A gang whose tasks together are beyond the team's limit is refused. One that is within it waits for the team's other work to end.", 80 * second, func(w *Simulation) {
		w.Options.Config.Teams["tight"] = core.Team{Limit: sched.Resources{CPUs: 9}}
		never, later, before := gangOf("req-000001", 5), gangOf("req-000002", 4), batchJob("req-000003", 4)
		never.Team, later.Team, before.Team = "tight", "tight", "tight"
		w.At(second, func() { w.Users.Submit(before, 10*second) })
		w.At(5*second, func() { w.Users.SubmitImpossible(never) })
		w.At(5*second, func() { w.Users.Submit(later, 10*second) })
	}},
	{"takeover", "The leader crashes. Its successor fences the machines, adopts what runs and restarts nothing.", 60 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(serviceJob("req-000001", 2), 0) })
		w.At(30*second, func() { w.Leader().Crash() })
	}},
	{"lease-lapse", "A machine hangs past its lease. Its task starts elsewhere, but not before the lease is over.", 100 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(batchJob("req-000001", 2), 40*second) })
		w.At(30*second, func() { w.runningMachine("req-000001/0").Pause(25 * second) })
	}},
	{"deaf-machine", "A machine with a replica neither reports nor answers, though others do: it is returned before its lease is over.", 60 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(serviceJob("req-000001", 2), 0) })
		w.At(30*second, func() { w.runningMachine("req-000001/0").Pause(25 * second) })
	}},
	{"late-command", "A machine hangs with a start on its way; the job is withdrawn meanwhile. The fence keeps the late start from running on.", 60 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(batchJob("req-000001", 1), 10*second) })
		w.At(40*second, func() {
			for _, k := range sortedKeys(w.Workers) {
				w.Workers[k].Pause(4 * second)
			}
			w.Users.Submit(batchJob("req-000002", 2), 10*second)
		})
		w.At(42*second, func() { w.Users.Cancel("req-000002") })
	}},
	{"withdraw-race", "A job is withdrawn just as its last task ends: one guarded change decides, and both users hear the same.", 60 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(batchJob("req-000001", 1), 10*second) })
		var watch func()
		watch = func() {
			t := w.Checker.jobs["req-000001"]
			if t != nil && len(t.doneTasks) == 1 {
				w.Users.Cancel("req-000001")
				return
			}
			w.After(time.Millisecond, watch)
		}
		w.At(2*second, watch)
	}},
	{"outage", "The state service is away for longer than any lease. Promises carry the leader, nothing that runs stops, and submissions wait.", 80 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(serviceJob("req-000001", 2), 0) })
		w.At(30*second, func() { w.Store.Unavailable = true; w.tracef("the state service is away") })
		w.At(35*second, func() { w.Users.Submit(batchJob("req-000002", 1), 5*second) })
		w.At(60*second, func() { w.tracef("the state service is back"); w.Store.Recover() })
	}},
	{"restart-of-all", "All controllers crash at once. They free each other from forgotten promises and lead again before any lease ends.", 60 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(serviceJob("req-000001", 2), 0) })
		w.At(30*second, func() {
			for _, n := range w.Controllers {
				n.Crash()
			}
		})
	}},
	{"cut-leader", "The leader loses the state service alone. A peer refuses its promise; it lets go and the peer takes over.", 60 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(serviceJob("req-000001", 2), 0) })
		w.At(30*second, func() {
			w.tracef("%s loses the state service", w.Leader().Name)
			w.Store.UnavailableTo[w.Leader().Name] = true
		})
	}},
	{"silent-machine", "A machine hangs for most of its lease and is marked on the roster; back in time, it is answered once the mark is off, and keeps its task.", 80 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(batchJob("req-000001", 1), 45*second) })
		w.At(40*second, func() { w.runningMachine("req-000001/0").Pause(8500 * time.Millisecond) })
	}},
	{"zone-and-leader", "A zone is cut off, then the leader crashes. By the marks its successor knows when the zone's leases end, and doesn't give each another one; no machine is returned.", 80 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(serviceJob("req-000001", 16), 0) })
		w.At(40*second, func() {
			zone := w.runningMachine("req-000001/0").info.Zone
			w.tracef("zone %s is cut off", zone)
			cutZone(w, zone, 25*second, "drop")
		})
		w.At(46*second, func() {
			l := w.Leader()
			w.tracef("%s leads", l.Name)
			l.Crash()
		})
	}},
	{"handed-over", "All controllers crash and a zone is cut off, so that nobody knows when it was last answered. The next leader loses the state service before it could mark the zone's machines; it tells its successor, which doesn't give them another lease from its own election.", 90 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(serviceJob("req-000001", 9), 0) })
		w.At(40*second, func() {
			zone := w.runningMachine("req-000001/0").info.Zone
			w.tracef("zone %s is cut off", zone)
			cutZone(w, zone, 40*second, "drop")
			for _, n := range w.Controllers {
				n.Crash()
			}
		})
		var watch func()
		watch = func() {
			if l := w.Leader(); l != nil && w.Now > 44*second {
				w.tracef("%s leads, and loses the state service", l.Name)
				w.Store.UnavailableTo[l.Name] = true
				w.After(20*second, func() { delete(w.Store.UnavailableTo, l.Name) })
				return
			}
			w.After(100*time.Millisecond, watch)
		}
		w.At(44*second, watch)
	}},
	{"out-of-earshot", "A machine's reports arrive, but nothing reaches it. What it was given starts elsewhere once its session is sure to have ended, and it is of use again later.", 110 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(serviceJob("req-000001", 7), 0) })
		w.At(40*second, func() {
			for _, k := range sortedKeys(w.Workers) {
				if wk := w.Workers[k]; len(wk.tasks) == 1 {
					wk.CannotReceive, wk.ReportAnswersLost = true, true
					w.tracef("machine %s is deaf", wk.info.Host)
					w.After(24*second, func() {
						w.tracef("machine %s could hear again", wk.info.Host)
						wk.CannotReceive, wk.ReportAnswersLost = false, false
					})
					break
				}
			}
			w.Users.Submit(batchJob("req-000002", 2), 8*second)
		})
		w.At(46*second, func() { w.Users.Submit(batchJob("req-000004", 2), 8*second) })
		w.At(80*second, func() { w.Users.Submit(batchJob("req-000003", 2), 8*second) })
	}},
	{"answers-lost", "Commands reach a machine, but answers to its reports don't, so that its lease runs out again and again. What runs for longer than a lease doesn't stay stuck there.", 150 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(serviceJob("req-000001", 4), 0) })
		w.At(second, func() { w.Users.Submit(batchJob("req-000002", 4), 25*second) })
		w.At(30*second, func() {
			wk := w.runningMachine("req-000002/0")
			wk.ReportAnswersLost = true
			w.tracef("machine %s gets no answers", wk.info.Host)
		})
	}},
	{"late-copy", "A machine dies; copies of its last reports go on arriving for two leases, one of them never seen before. They hold nothing up.", 80 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(serviceJob("req-000001", 2), 0) })
		w.At(40*second, func() {
			wk := w.runningMachine("req-000001/0")
			rep := wk.nextReport()
			w.tracef("machine %s dies", wk.info.Host)
			w.Cloud.RemoveMachine(wk.info.Host)
			for i := 1; i < 20; i++ {
				late := rep
				late.Seq -= uint64(i % 5)
				w.After(time.Duration(i)*second, func() {
					w.Leader().sendRequest("copy", func(req uint64) core.Event { return core.WorkerReport{RequestID: req, Report: late} }, func(core.Reply) {})
				})
			}
		})
	}},
	{"begins-anew", "A worker begins anew under its name and counts from the start again, while copies of its former reports still come. Its task runs again, and only once.", 90 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(serviceJob("req-000001", 2), 0) })
		w.At(40*second, func() {
			wk := w.runningMachine("req-000001/0")
			rep := wk.nextReport()
			wk.Restart()
			for i := 1; i < 20; i++ {
				late := rep
				late.Seq += uint64(i)
				w.After(time.Duration(i)*700*time.Millisecond, func() {
					w.Leader().sendRequest("copy", func(req uint64) core.Event { return core.WorkerReport{RequestID: req, Report: late} }, func(core.Reply) {})
				})
			}
		})
	}},
	{"alone-with-workers", "The leader loses the state service and its peers, but not the workers. It stops acting, sends them on, refuses users at once, and follows again later.", 80 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(serviceJob("req-000001", 2), 0) })
		w.At(30*second, func() {
			l := w.Leader()
			w.tracef("%s is alone with the workers", l.Name)
			alone(w, l, 25*second)
			for at := 2; at < 30; at += 4 {
				w.After(time.Duration(at)*second, func() {
					asked := w.Now
					l.sendRequest("users", func(req uint64) core.Event { return core.Poll{RequestID: req, ID: "req-000001"} }, func(r core.Reply) {
						w.tracef("%s answers a poll with %d after %d ms", l.Name, r.Status, (w.Now - asked).Milliseconds())
					})
					l.sendRequest("balancer", func(req uint64) core.Event { return core.HealthCheck{RequestID: req} }, func(r core.Reply) {
						w.tracef("%s answers a health check with %d", l.Name, r.Status)
					})
				})
			}
		})
	}},
	{"back-at-once", "The leader's process is back within a fraction of a second, and so is its successor in the middle of the election. No lease ends.", 60 * second, func(w *Simulation) {
		w.At(second, func() { w.Users.Submit(serviceJob("req-000001", 2), 0) })
		w.At(30*second, func() { w.Leader().CrashFor(200 * time.Millisecond) })
		w.At(30250*time.Millisecond, func() {
			for _, n := range w.Controllers {
				if n.StartCount == 1 {
					n.CrashFor(100 * time.Millisecond)
					break
				}
			}
		})
	}},
	{"recall", "A spot machine is recalled without notice while a checkpointed task runs on it.", 70 * second, func(w *Simulation) {
		j := batchJob("req-000001", 1)
		j.Spot, j.CheckpointEveryS, j.CheckpointCostS = true, 5, 2
		w.At(second, func() { w.Users.Submit(j, 15*second) })
		w.At(20*second, func() {
			if wk := w.runningMachine("req-000001/0"); wk != nil {
				w.Cloud.RemoveMachine(wk.info.Host)
			}
		})
	}},
}

// TestTraces plays each story and compares it, line by line, with the trace
// that is kept of it.
func TestTraces(t *testing.T) {
	for _, st := range traceScenarios {
		t.Run(st.name, func(t *testing.T) {
			w := New(DefaultOptions(11))
			w.TraceEnabled = true
			watchLeaders(w)
			st.play(w)
			w.RunUntil(st.until)
			for _, b := range w.Checker.Violations {
				t.Error(b)
			}
			var b strings.Builder
			b.WriteString("# " + st.about + "\n")
			for _, l := range w.Trace {
				b.WriteString(l + "\n")
			}
			file := filepath.Join("testdata", st.name+".trace")
			if *update {
				if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			kept, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if b.String() != string(kept) {
				t.Errorf("the day differs from %s; run with -update and read the difference", file)
			}
		})
	}
}

// TestSameSeedSameTrace: a trace that doesn't replay can't be kept.
func TestSameSeedSameTrace(t *testing.T) {
	play := func() string {
		opt := DefaultOptions(5)
		opt.Config.Teams["tight"] = core.Team{}
		w := New(opt)
		w.TraceEnabled = true
		load(w, 60*second)
		w.At(30*second, func() { w.Leader().Crash() })
		w.RunUntil(90 * second)
		return strings.Join(w.Trace, "\n")
	}
	if a, b := play(), play(); a != b {
		t.Error("two plays of one seed differ")
	}
}
