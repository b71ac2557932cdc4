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

var update = flag.Bool("update", false, "rewrite the traces in testdata")

// serviceJob returns a service with production priority whose replicas are spread over
// the zones.
func serviceJob(id string, tasks int) model.Job {
	return model.Job{ID: id, Team: "t", Class: "c", Kind: model.KindService, Priority: model.PriorityProd,
		Tasks: tasks, CPUs: 2, MemoryGB: 4, Image: "svc", ImageGB: 2, Spread: true}
}

// batchJob returns a batch job with normal priority.
func batchJob(id string, tasks int) model.Job {
	return model.Job{ID: id, Team: "t", Class: "c", Kind: model.KindBatch, Priority: model.PriorityNormal,
		Tasks: tasks, CPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 2, EstimateS: 10}
}

// runningMachine returns the machine on which a task has started, or nil.
func (s *Simulation) runningMachine(task string) *Worker {
	return s.Checker.jobOf(task).runningOn[task]
}

// machineWithTask returns a machine that has a task in any state, or nil.
func (s *Simulation) machineWithTask(task string) *Worker {
	for _, endpoint := range sortedKeys(s.Workers) {
		if s.Workers[endpoint].tasks[task] != nil {
			return s.Workers[endpoint]
		}
	}
	return nil
}

// runWhen runs f as soon as the condition holds. It checks every 10 ms from the given
// time on.
func (s *Simulation) runWhen(from time.Duration, condition func() bool, f func()) {
	var check func()
	check = func() {
		if condition() {
			f()
			return
		}
		s.After(10*time.Millisecond, check)
	}
	s.At(from, check)
}

// countInState returns how many tasks of a job are in a state, over all machines.
func (s *Simulation) countInState(job, state string) int {
	count := 0
	for _, wk := range s.Workers {
		for task, run := range wk.tasks {
			if id, _, _ := model.ParseTaskName(task); id == job && run.state == state {
				count++
			}
		}
	}
	return count
}

// traceScenarios are the scenarios whose traces are kept in testdata for people to read.
var traceScenarios = []struct {
	name        string
	description string                // first line of the trace
	until       time.Duration         // end of the run
	run         func(sim *Simulation) // schedules the events of the scenario
}{
	{"gang-replacement", "A machine with waiting tasks is reclaimed while a gang gathers. The other tasks keep waiting. Replacement tasks with the same attempt number complete the gang.", 60 * second, func(sim *Simulation) {
		sim.Cloud.Rent("small", "b", false, 2) // for replacement tasks: three more are rented for the gang
		sim.At(second, func() { sim.Users.Submit(gangJob("req-000001", 5), 15*second) })
		sim.runWhen(2*second, func() bool { return sim.countInState("req-000001", model.TaskFetching) == 5 }, func() {
			sim.machineWithTask("req-000001/4").Pause(5 * second)
		})
		sim.runWhen(3*second, func() bool { return sim.countInState("req-000001", model.TaskGathering) >= 3 }, func() {
			sim.tracef("machine %s is reclaimed without notice", sim.machineWithTask("req-000001/0").info.Host)
			sim.Cloud.RemoveMachine(sim.machineWithTask("req-000001/0").info.Host)
		})
	}},
	{"gang-loses-task", "A running gang loses a task with its machine. The other tasks are stopped at once. The next attempt starts when all of them are gone, and resumes from the last checkpoint.", 70 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(gangJob("req-000001", 5), 15*second) })
		sim.runWhen(2*second, func() bool { return sim.countInState("req-000001", model.TaskRunning) == 5 }, func() {
			sim.After(7*second, func() {
				sim.tracef("machine %s is reclaimed without notice", sim.machineWithTask("req-000001/0").info.Host)
				sim.Cloud.RemoveMachine(sim.machineWithTask("req-000001/0").info.Host)
			})
		})
	}},
	{"gang-stopped-in-time", "One of a gang's machines gets a reclaim notice. All tasks are told to stop by one decision and save together. The next attempt resumes from there.", 70 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(gangJob("req-000001", 5), 15*second) })
		sim.runWhen(2*second, func() bool { return sim.countInState("req-000001", model.TaskRunning) == 5 }, func() {
			sim.After(2*second, func() {
				sim.tracef("machine %s gets a reclaim notice", sim.machineWithTask("req-000001/0").info.Host)
				sim.Cloud.Reclaim(sim.machineWithTask("req-000001/0").info.Host, 9*second)
			})
		})
	}},
	{"gang-told-too-late", "One of a gang's machines gets a reclaim notice, but another is unreachable and can't be told to stop in time. The save fails, and the gang falls back to its last checkpoint.", 90 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(gangJob("req-000001", 5), 15*second) })
		sim.runWhen(2*second, func() bool { return sim.countInState("req-000001", model.TaskRunning) == 5 }, func() {
			sim.After(2*second, func() {
				reclaimed := sim.machineWithTask("req-000001/0")
				sim.tracef("machine %s gets a reclaim notice", reclaimed.info.Host)
				sim.Cloud.Reclaim(reclaimed.info.Host, 9*second)
				for _, endpoint := range sortedKeys(sim.Workers) {
					if wk := sim.Workers[endpoint]; wk != reclaimed && len(wk.tasks) > 0 {
						sim.tracef("machine %s can't be reached", wk.info.Host)
						sim.cutMachine(wk, 12*second, "hold")
						break
					}
				}
			})
		})
	}},
	{"gang-takeover", "The leader crashes while a gang gathers, again while it runs, and again while it is being stopped. Each successor takes over the attempt as it is.", 100 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(gangJob("req-000001", 5), 25*second) })
		sim.runWhen(2*second, func() bool { return sim.countInState("req-000001", model.TaskFetching) == 5 }, func() {
			sim.machineWithTask("req-000001/4").Pause(6 * second)
		})
		sim.runWhen(3*second, func() bool { return sim.countInState("req-000001", model.TaskGathering) >= 3 }, func() { sim.crashLeader(second) })
		sim.runWhen(3*second, func() bool { return sim.countInState("req-000001", model.TaskRunning) == 5 }, func() {
			sim.After(3*second, func() { sim.crashLeader(second) })
			sim.After(11*second, func() {
				sim.tracef("machine %s gets a reclaim notice", sim.machineWithTask("req-000001/0").info.Host)
				sim.Cloud.Reclaim(sim.machineWithTask("req-000001/0").info.Host, 9*second)
			})
			sim.runWhen(sim.Now+11*second, func() bool { return sim.countInState("req-000001", model.TaskSaving) > 0 }, func() { sim.crashLeader(second) })
		})
	}},
	{"gang-old-zone", "A gang that must be in one zone runs in a zone that is cut off. The next attempt starts in another zone, but not before the leases in the old zone have expired.", 90 * second, func(sim *Simulation) {
		job := gangJob("req-000001", 5)
		job.OneZone = true
		sim.At(second, func() { sim.Users.Submit(job, 20*second) })
		sim.runWhen(2*second, func() bool { return sim.countInState(job.ID, model.TaskRunning) == 5 }, func() {
			sim.After(2*second, func() {
				zone := sim.machineWithTask("req-000001/0").info.Zone
				sim.tracef("zone %s is cut off", zone)
				cutZone(sim, zone, 35*second, "hold")
			})
		})
	}},
	{"gang-not-completed", "A gang that gathers loses a machine, and the cloud has no other. The other tasks wait while a replacement could still come in time. Then they are stopped at once and free their capacity.", 90 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(gangJob("req-000001", 5), 15*second) })
		sim.runWhen(2*second, func() bool { return sim.countInState("req-000001", model.TaskFetching) == 5 }, func() {
			sim.machineWithTask("req-000001/4").Pause(5 * second)
		})
		sim.runWhen(3*second, func() bool { return sim.countInState("req-000001", model.TaskGathering) >= 3 }, func() {
			sim.tracef("machine %s is reclaimed without notice, and the cloud has no other", sim.machineWithTask("req-000001/0").info.Host)
			sim.Cloud.RemoveMachine(sim.machineWithTask("req-000001/0").info.Host)
			sim.Options.Capacity = 0
		})
		sim.At(56*second, func() { sim.tracef("the cloud has machines again"); sim.Options.Capacity = 4 })
	}},
	{"gangs-compete", "Two gangs are submitted at once, and there is capacity for one at a time. Neither holds part of the capacity that the other needs.", 80 * second, func(sim *Simulation) {
		sim.Options.Capacity = 1
		sim.At(second, func() { sim.Users.Submit(gangJob("req-000001", 5), 12*second) })
		sim.At(1100*time.Millisecond, func() { sim.Users.Submit(gangJob("req-000002", 5), 12*second) })
	}},
	{"gang-limit", "A gang whose tasks together exceed the team's limit is refused. A gang within the limit waits for the team's other tasks to end.", 80 * second, func(sim *Simulation) {
		sim.Options.Config.Teams["tight"] = core.Team{Limit: sched.Resources{CPUs: 9}}
		impossible, later, earlier := gangJob("req-000001", 5), gangJob("req-000002", 4), batchJob("req-000003", 4)
		impossible.Team, later.Team, earlier.Team = "tight", "tight", "tight"
		sim.At(second, func() { sim.Users.Submit(earlier, 10*second) })
		sim.At(5*second, func() { sim.Users.SubmitImpossible(impossible) })
		sim.At(5*second, func() { sim.Users.Submit(later, 10*second) })
	}},
	{"takeover", "The leader crashes. Its successor fences the machines, reconciles the running tasks and restarts none of them.", 60 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(serviceJob("req-000001", 2), 0) })
		sim.At(30*second, func() { sim.Leader().Crash() })
	}},
	{"lease-lapse", "A machine is paused past the end of its lease. Its tasks start on another machine, but not before the lease has expired.", 100 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(batchJob("req-000001", 2), 40*second) })
		sim.At(30*second, func() { sim.runningMachine("req-000001/0").Pause(25 * second) })
	}},
	{"deaf-machine", "A machine with a replica neither reports nor answers, though another machine does. It is returned to the cloud before its lease has expired.", 60 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(serviceJob("req-000001", 2), 0) })
		sim.At(30*second, func() { sim.runningMachine("req-000001/0").Pause(25 * second) })
	}},
	{"late-command", "The only machine is paused as tasks are placed on it, and their job is cancelled meanwhile. A command asks the machine to report; when it resumes, nothing of the job starts.", 60 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(batchJob("req-000001", 1), 10*second) })
		sim.At(40*second, func() {
			for _, endpoint := range sortedKeys(sim.Workers) {
				sim.Workers[endpoint].Pause(4 * second)
			}
			sim.Users.Submit(batchJob("req-000002", 2), 10*second)
		})
		sim.At(42*second, func() { sim.Users.Cancel("req-000002") })
	}},
	{"withdraw-race", "A job is cancelled just as its last task ends. One transaction with preconditions decides, and all requests get the same answer.", 60 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(batchJob("req-000001", 1), 10*second) })
		var watch func()
		watch = func() {
			job := sim.Checker.jobs["req-000001"]
			if job != nil && len(job.doneTasks) == 1 {
				sim.Users.Cancel("req-000001")
				return
			}
			sim.After(time.Millisecond, watch)
		}
		sim.At(2*second, watch)
	}},
	{"outage", "The state service is unavailable for longer than any lease. The leader stays leader by the promises of its peers, no running task stops, and submissions wait.", 80 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(serviceJob("req-000001", 2), 0) })
		sim.At(30*second, func() { sim.Store.Unavailable = true; sim.tracef("the state service is unavailable") })
		sim.At(35*second, func() { sim.Users.Submit(batchJob("req-000002", 1), 5*second) })
		sim.At(60*second, func() { sim.tracef("the state service is available again"); sim.Store.Recover() })
	}},
	{"restart-of-all", "All controllers crash at once. They release each other from the promises of their previous incarnations, and one leads again before any lease has expired.", 60 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(serviceJob("req-000001", 2), 0) })
		sim.At(30*second, func() {
			for _, controller := range sim.Controllers {
				controller.Crash()
			}
		})
	}},
	{"cut-leader", "The leader alone loses the state service. Its peers refuse it further promises, it steps down, and a peer takes over.", 60 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(serviceJob("req-000001", 2), 0) })
		sim.At(30*second, func() {
			sim.tracef("%s loses the state service", sim.Leader().Name)
			sim.Store.UnavailableTo[sim.Leader().Name] = true
		})
	}},
	{"silent-machine", "A machine is paused for most of its lease and marked in the registry as unresponsive. It resumes in time, is answered once the mark is removed, and keeps its task.", 80 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(batchJob("req-000001", 1), 45*second) })
		sim.At(40*second, func() { sim.runningMachine("req-000001/0").Pause(8500 * time.Millisecond) })
	}},
	{"zone-and-leader", "A zone is cut off, then the leader crashes. From the last-contact times in the registry its successor knows when the zone's leases expire, and does not count another lease for each machine. No machine is returned while the zone is cut off.", 80 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(serviceJob("req-000001", 16), 0) })
		sim.At(40*second, func() {
			zone := sim.runningMachine("req-000001/0").info.Zone
			sim.tracef("zone %s is cut off", zone)
			cutZone(sim, zone, 25*second, "drop")
		})
		sim.At(46*second, func() {
			leader := sim.Leader()
			sim.tracef("%s leads", leader.Name)
			leader.Crash()
		})
	}},
	{"handed-over", "All controllers crash and a zone is cut off, so that no controller knows when the zone's machines were last answered. The next leader loses the state service before it can mark these machines in the registry. It tells its successor, which does not count another lease for them from its own election.", 90 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(serviceJob("req-000001", 9), 0) })
		sim.At(40*second, func() {
			zone := sim.runningMachine("req-000001/0").info.Zone
			sim.tracef("zone %s is cut off", zone)
			cutZone(sim, zone, 40*second, "drop")
			for _, controller := range sim.Controllers {
				controller.Crash()
			}
		})
		var watch func()
		watch = func() {
			if leader := sim.Leader(); leader != nil && sim.Now > 44*second {
				sim.tracef("%s leads, and loses the state service", leader.Name)
				sim.Store.UnavailableTo[leader.Name] = true
				sim.After(20*second, func() { delete(sim.Store.UnavailableTo, leader.Name) })
				return
			}
			sim.After(100*time.Millisecond, watch)
		}
		sim.At(44*second, watch)
	}},
	{"out-of-earshot", "A machine's reports arrive, but no message reaches it. Its task starts elsewhere once its session has certainly ended, and the machine is returned to the cloud.", 110 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(serviceJob("req-000001", 7), 0) })
		sim.At(40*second, func() {
			for _, endpoint := range sortedKeys(sim.Workers) {
				if wk := sim.Workers[endpoint]; len(wk.tasks) == 1 {
					wk.CannotReceive, wk.ReportAnswersLost = true, true
					sim.tracef("machine %s receives no messages", wk.info.Host)
					sim.After(24*second, func() {
						sim.tracef("machine %s receives messages again", wk.info.Host)
						wk.CannotReceive, wk.ReportAnswersLost = false, false
					})
					break
				}
			}
			sim.Users.Submit(batchJob("req-000002", 2), 8*second)
		})
		sim.At(46*second, func() { sim.Users.Submit(batchJob("req-000004", 2), 8*second) })
		sim.At(80*second, func() { sim.Users.Submit(batchJob("req-000003", 2), 8*second) })
	}},
	{"answers-lost", "Commands reach a machine, but answers to its reports don't, so that its lease expires again and again. Tasks that run for longer than a lease don't stay stuck there.", 150 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(serviceJob("req-000001", 4), 0) })
		sim.At(second, func() { sim.Users.Submit(batchJob("req-000002", 4), 25*second) })
		sim.At(30*second, func() {
			wk := sim.runningMachine("req-000002/0")
			wk.ReportAnswersLost = true
			sim.tracef("machine %s gets no answers to its reports", wk.info.Host)
		})
	}},
	{"late-copy", "A machine dies. Copies of its last reports keep arriving for two leases, one of them never received before. They delay nothing.", 80 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(serviceJob("req-000001", 2), 0) })
		sim.At(40*second, func() {
			wk := sim.runningMachine("req-000001/0")
			report := wk.nextReport()
			sim.tracef("machine %s dies", wk.info.Host)
			sim.Cloud.RemoveMachine(wk.info.Host)
			for i := 1; i < 20; i++ {
				lateCopy := report
				lateCopy.Seq -= uint64(i % 5)
				sim.After(time.Duration(i)*second, func() {
					sim.Leader().sendRequest("copy", func(req uint64) core.Event { return core.WorkerReport{RequestID: req, Report: lateCopy} }, func(core.Reply) {})
				})
			}
		})
	}},
	{"begins-anew", "A worker restarts under the same name and counts from the start again, while copies of reports of its previous process still arrive. Its task runs again, and only once.", 90 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(serviceJob("req-000001", 2), 0) })
		sim.At(40*second, func() {
			wk := sim.runningMachine("req-000001/0")
			report := wk.nextReport()
			wk.Restart()
			for i := 1; i < 20; i++ {
				lateCopy := report
				lateCopy.Seq += uint64(i)
				sim.After(time.Duration(i)*700*time.Millisecond, func() {
					sim.Leader().sendRequest("copy", func(req uint64) core.Event { return core.WorkerReport{RequestID: req, Report: lateCopy} }, func(core.Reply) {})
				})
			}
		})
	}},
	{"alone-with-workers", "The leader loses the state service and its peers, but not the workers. It stops acting, redirects the workers, refuses users at once, and becomes a follower again later.", 80 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(serviceJob("req-000001", 2), 0) })
		sim.At(30*second, func() {
			leader := sim.Leader()
			sim.tracef("%s loses the state service and its peers", leader.Name)
			cutFromStoreAndPeers(sim, leader, 25*second)
			for at := 2; at < 30; at += 4 {
				sim.After(time.Duration(at)*second, func() {
					askedAt := sim.Now
					leader.sendRequest("users", func(req uint64) core.Event { return core.Poll{RequestID: req, ID: "req-000001"} }, func(r core.Reply) {
						sim.tracef("%s answers a poll with %d after %d ms", leader.Name, r.Status, (sim.Now - askedAt).Milliseconds())
					})
					leader.sendRequest("balancer", func(req uint64) core.Event { return core.HealthCheck{RequestID: req} }, func(r core.Reply) {
						sim.tracef("%s answers a health check with %d", leader.Name, r.Status)
					})
				})
			}
		})
	}},
	{"back-at-once", "The leader's process is back within a fraction of a second, and another controller restarts as fast in the middle of the election. No lease expires.", 60 * second, func(sim *Simulation) {
		sim.At(second, func() { sim.Users.Submit(serviceJob("req-000001", 2), 0) })
		sim.At(30*second, func() { sim.Leader().CrashFor(200 * time.Millisecond) })
		sim.At(30250*time.Millisecond, func() {
			for _, controller := range sim.Controllers {
				if controller.StartCount == 1 {
					controller.CrashFor(100 * time.Millisecond)
					break
				}
			}
		})
	}},
	{"recall", "A spot machine is reclaimed without notice while a task with checkpoints runs on it.", 70 * second, func(sim *Simulation) {
		job := batchJob("req-000001", 1)
		job.Spot, job.CheckpointEveryS, job.CheckpointCostS = true, 5, 2
		sim.At(second, func() { sim.Users.Submit(job, 15*second) })
		sim.At(20*second, func() {
			if wk := sim.runningMachine("req-000001/0"); wk != nil {
				sim.Cloud.RemoveMachine(wk.info.Host)
			}
		})
	}},
}

// TestTraces runs each scenario and compares its trace, line by line, with the one kept
// in testdata, so that no change of what the service does goes unnoticed.
func TestTraces(t *testing.T) {
	for _, scenario := range traceScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			sim := New(DefaultOptions(11))
			sim.TraceEnabled = true
			watchLeaders(sim)
			scenario.run(sim)
			sim.RunUntil(scenario.until)
			for _, violation := range sim.Checker.Violations {
				t.Error(violation)
			}
			var b strings.Builder
			b.WriteString("# " + scenario.description + "\n")
			for _, line := range sim.Trace {
				b.WriteString(line + "\n")
			}
			file := filepath.Join("testdata", scenario.name+".trace")
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
				t.Errorf("got a trace that differs from %s, want the same; run with -update and read the difference", file)
			}
		})
	}
}

// TestSameSeedSameTrace checks that two runs with the same seed have the same trace.
// Otherwise kept traces could not be compared with new ones.
func TestSameSeedSameTrace(t *testing.T) {
	run := func() string {
		options := DefaultOptions(5)
		options.Config.Teams["tight"] = core.Team{}
		sim := New(options)
		sim.TraceEnabled = true
		submitMixedLoad(sim, 60*second)
		sim.At(30*second, func() { sim.Leader().Crash() })
		sim.RunUntil(90 * second)
		return strings.Join(sim.Trace, "\n")
	}
	if a, b := run(), run(); a != b {
		t.Error("got different traces from two runs with the same seed, want the same")
	}
}
