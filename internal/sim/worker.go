package sim

import (
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// Worker stands in for the worker of one machine.
type Worker struct {
	sim         *Simulation
	info        model.ListedMachine
	machineType *model.MachineType
	stopped     bool
	Paused      bool
	// CannotReceive: its reports arrive, but answers and commands don't reach it.
	CannotReceive bool
	// CannotReport: it reaches no controller, while commands reach it.
	CannotReport bool
	// ReportAnswersLost: commands reach it, but answers to its reports don't.
	ReportAnswersLost bool

	reclaimAt time.Duration // when the cloud takes the machine, as it has told; 0: not

	session, seq, epoch uint64
	leaseStartedAt      time.Duration
	tasks               map[string]*taskRun
	images              map[string]bool
	targetController    int
	reportInFlight      int // number of the report under way; 0: none
	reportCount         int
	nextReportAt        time.Duration
	hasChanges          bool
	lastReportAt        time.Duration
	delayedCommands     []func()      // commands that came while it hung
	epochChangeAt       time.Duration // when a higher epoch last counted as a change
}

type taskRun struct {
	attempt   uint64
	state     string
	cause     string
	saved     bool
	endsAt    time.Duration
	startedAt time.Duration
}

func (w *Simulation) startWorker(info model.ListedMachine, typ *model.MachineType) {
	wk := &Worker{sim: w, info: info, machineType: typ, session: 1, leaseStartedAt: w.Now, tasks: map[string]*taskRun{}, images: map[string]bool{}}
	wk.targetController = w.Rand.IntN(len(w.Controllers))
	w.Workers[info.Endpoint] = wk
	w.tracef("machine %s is up in %s", info.Host, info.Zone)
	wk.nextReportAt = w.Now
	wk.loop()
}

func (wk *Worker) stop() {
	wk.stopped = true
	for _, name := range sortedKeys(wk.tasks) {
		wk.sim.Checker.taskStopped(name, wk, wk.tasks[name])
	}
	wk.tasks = map[string]*taskRun{}
	delete(wk.sim.Workers, wk.info.Endpoint)
}

// Pause stops the machine for d; it goes on afterwards.
func (wk *Worker) Pause(d time.Duration) {
	wk.Paused = true
	wk.sim.tracef("machine %s hangs", wk.info.Host)
	since := wk.sim.Now
	wk.sim.After(d, func() {
		wk.Paused = false
		for _, r := range wk.tasks {
			r.endsAt += wk.sim.Now - since
		}
		wk.expireLease()
		late := wk.delayedCommands
		wk.delayedCommands = nil
		for _, f := range late {
			f()
		}
	})
}

func (wk *Worker) loop() {
	if wk.stopped {
		return
	}
	// A machine that hangs runs nothing; past its lease nothing of its session
	// can run again, so its tasks count as gone from then on.
	wk.expireLease()
	if !wk.Paused {
		wk.advanceTasks()
		due := wk.sim.Now >= wk.nextReportAt || wk.hasChanges && wk.sim.Now >= wk.lastReportAt+500*time.Millisecond
		if due && wk.reportInFlight == 0 {
			wk.sendReport()
		}
	}
	pace := wk.sim.Options.WorkerStepInterval
	if pace == 0 {
		pace = 20 * time.Millisecond
	}
	wk.sim.After(pace, wk.loop)
}

func (wk *Worker) expireLease() {
	if wk.sim.Now < wk.leaseStartedAt+wk.sim.Options.Config.Lease {
		return
	}
	wk.sim.tracef("machine %s: lease ran out", wk.info.Host)
	for _, name := range sortedKeys(wk.tasks) {
		wk.sim.Checker.taskStopped(name, wk, wk.tasks[name])
	}
	wk.tasks = map[string]*taskRun{}
	wk.session++
	wk.leaseStartedAt = wk.sim.Now
	wk.hasChanges = true
}

// advanceTasks moves tasks along: images arrive, tasks end.
func (wk *Worker) advanceTasks() {
	for _, name := range sortedKeys(wk.tasks) {
		r := wk.tasks[name]
		t := wk.sim.Checker.jobOf(name)
		if t != nil && t.spec.Kind == model.KindGang && r.state != model.TaskFetching {
			wk.advanceGangTask(name, r, t)
			continue
		}
		switch r.state {
		case model.TaskFetching:
			if wk.sim.Now >= r.endsAt {
				wk.images[t.spec.Image] = true
				r.startedAt = wk.sim.Now
				if t.spec.Kind == model.KindGang {
					r.state, wk.hasChanges = model.TaskGathering, true
					wk.sim.Checker.taskStarted(name, wk, r)
					if t.doneTasks[name] {
						wk.exitTask(name, r, model.CauseDone)
					} else {
						t.gangAttemptFor(r.attempt).taskReady(name, wk)
					}
					continue
				}
				r.state, wk.hasChanges = model.TaskRunning, true
				_, i, _ := model.ParseTaskName(name)
				r.endsAt = wk.sim.Now + t.runTime + time.Duration(i)*t.runTimeStep
				if t.spec.Kind == model.KindService {
					r.endsAt = 1 << 62
				}
				wk.sim.Checker.taskStarted(name, wk, r)
				if t.doneTasks[name] {
					wk.exitTask(name, r, model.CauseDone)
				}
			}
		case model.TaskRunning:
			if wk.sim.Now >= r.endsAt {
				t.doneTasks[name] = true
				wk.exitTask(name, r, model.CauseDone)
				if len(t.doneTasks) == t.spec.Tasks {
					wk.sim.Users.jobEnded(t)
				}
			}
		case model.TaskSaving:
			if wk.sim.Now >= r.endsAt {
				r.saved = true
				wk.exitTask(name, r, model.CauseStopped)
			}
		}
	}
}

func (wk *Worker) exitTask(name string, r *taskRun, cause string) {
	wk.sim.Checker.taskStopped(name, wk, r)
	r.state, r.cause, wk.hasChanges = model.TaskExited, cause, true
}

func (wk *Worker) handleCommands(c core.AgentCall, reply func(core.AgentResult)) {
	run := func() {
		if wk.stopped {
			return
		}
		wk.expireLease()
		d := core.AgentResult{CallID: c.CallID, Status: 200}
		if c.Epoch < wk.epoch || c.Session != wk.session {
			d.Status = 409
		} else {
			wk.raiseEpoch(c.Epoch)
			wk.executeOrders(c.Orders)
		}
		rep := wk.nextReport()
		d.Report = &rep
		reply(d)
	}
	if wk.Paused {
		wk.delayedCommands = append(wk.delayedCommands, run)
		return
	}
	if !wk.CannotReceive {
		run()
	}
}

// raiseEpoch takes in the epoch of an answer or command. A higher one is worth a
// report of its own, but at most once in half a lease (PROTOCOL): with more changes
// of leader than that, a worker shows the last one's epoch in its next regular report.
func (wk *Worker) raiseEpoch(epoch uint64) {
	if epoch <= wk.epoch {
		return
	}
	wk.epoch = epoch
	if now := wk.sim.Now; wk.epochChangeAt == 0 || now >= wk.epochChangeAt+wk.sim.Options.Config.Lease/2 {
		wk.epochChangeAt, wk.hasChanges = now, true
	}
}

// Restart ends the worker's process; it is back at once under the same name
// and counts from the start again. What it ran is gone.
func (wk *Worker) Restart() {
	wk.sim.tracef("worker on %s begins anew", wk.info.Host)
	for _, name := range sortedKeys(wk.tasks) {
		wk.sim.Checker.taskStopped(name, wk, wk.tasks[name])
	}
	wk.tasks = map[string]*taskRun{}
	wk.session, wk.seq, wk.epoch, wk.epochChangeAt = 1, 0, 0, 0
	wk.leaseStartedAt, wk.hasChanges = wk.sim.Now, true
	wk.reportCount++ // an answer on its way to the former process is lost
	wk.reportInFlight, wk.delayedCommands = 0, nil
	wk.targetController = wk.sim.Rand.IntN(len(wk.sim.Controllers))
}

// executeOrders carries commands out in order.
func (wk *Worker) executeOrders(orders []model.Order) {
	for _, o := range orders {
		r := wk.tasks[o.Task]
		switch o.Verb {
		case model.OrderStart:
			wk.startTask(o, r)
		case model.OrderKill:
			if r != nil && r.attempt == o.Attempt && r.state != model.TaskExited {
				wk.killTask(o, r)
			}
		case model.OrderForget:
			if r != nil && r.attempt == o.Attempt && r.state == model.TaskExited {
				delete(wk.tasks, o.Task)
			}
		}
	}
	wk.advanceTasks()
}

// startTask begins an attempt, or refuses it; r is what the machine has of the task.
func (wk *Worker) startTask(o model.Order, r *taskRun) {
	if r != nil && r.attempt == o.Attempt {
		return
	}
	wk.hasChanges = true
	if r != nil && r.state != model.TaskExited {
		return // in use: the running attempt stays on the list
	}
	n := &taskRun{attempt: o.Attempt, state: model.TaskFetching}
	t := wk.sim.Checker.jobOf(o.Task)
	switch {
	case wk.sim.NextStartRefusal != "":
		n.state, n.cause = model.TaskExited, wk.sim.NextStartRefusal
		wk.sim.NextStartRefusal = ""
		wk.sim.RefusedStarts++
	case t == nil:
		n.state, n.cause = model.TaskExited, model.CauseNoSuchTask
	case wk.taskCapacity(t) == 0:
		n.state, n.cause = model.TaskExited, model.CauseNoCapacity
	case wk.images[t.spec.Image]:
		n.endsAt = wk.sim.Now
	default:
		n.endsAt = wk.sim.Now + time.Duration(t.spec.ImageGB/wk.machineType.FetchGBPerS*float64(time.Second))
	}
	wk.tasks[o.Task] = n // from now on it takes room
}

// killTask stops a task, which saves if it can and has the time.
func (wk *Worker) killTask(o model.Order, r *taskRun) {
	t := wk.sim.Checker.jobOf(o.Task)
	if t.spec.Kind == model.KindGang && r.state != model.TaskFetching {
		wk.stopGangTask(o.Task, r, t, o.GraceS)
		return
	}
	if r.state == model.TaskRunning && t.spec.CheckpointEveryS > 0 && o.GraceS != nil && *o.GraceS >= t.spec.CheckpointCostS {
		r.state, r.endsAt, wk.hasChanges = model.TaskSaving, wk.sim.Now+time.Duration(t.spec.CheckpointCostS*float64(time.Second)), true
		return
	}
	if r.state == model.TaskSaving && (o.GraceS == nil || *o.GraceS > 0) {
		return
	}
	wk.exitTask(o.Task, r, model.CauseStopped)
}

// taskCapacity is for how many tasks of a job the machine has room.
func (wk *Worker) taskCapacity(t *jobRecord) int {
	cpus, mem := wk.machineType.CPUs, wk.machineType.MemoryGB
	for name, r := range wk.tasks {
		if r.state != model.TaskExited {
			o := wk.sim.Checker.jobOf(name)
			cpus -= o.spec.CPUs
			mem -= o.spec.MemoryGB
		}
	}
	return int(min((cpus+1e-6)/t.spec.CPUs, (mem+1e-6)/t.spec.MemoryGB))
}
