package sim

import (
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// Worker simulates one machine and the worker process on it. Its tasks run no longer than
// its lease, which is renewed by answers of the leader to its reports.
type Worker struct {
	sim         *Simulation
	info        model.ListedMachine
	machineType *model.MachineType
	stopped     bool // the machine no longer exists
	Paused      bool
	// CannotReceive is set while neither commands nor answers to its reports reach the
	// worker. Its reports reach the controllers. The worker waits for each answer until
	// its timeout.
	CannotReceive bool
	// CannotReport is set while the worker's reports reach no controller, which it notices
	// at once. Commands reach the worker.
	CannotReport bool
	// ReportAnswersLost is set while answers to the worker's reports are lost. The worker
	// notices the loss when the answer would have arrived, as if the connection broke.
	// Its reports reach the controllers, and commands reach the worker.
	ReportAnswersLost bool

	reclaimAt time.Duration // when the cloud reclaims the machine; 0: no notice given

	// session is raised when the lease expires. seq is the sequence number of the last
	// report, which the worker sent by itself or in the answer to a command. epoch is the
	// highest epoch received so far: orders with a lower one come from an earlier leader or
	// are outdated, and are refused.
	session, seq, epoch uint64
	leaseStartedAt      time.Duration // when the report that renewed the lease was sent, or the session began
	tasks               map[string]*taskRun
	images              map[string]bool // images in the cache
	targetController    int             // index of the controller that gets the next report
	// reportCount numbers the reports that the worker sends by itself, so that it recognizes
	// their answers. reportInFlight is the number of the one whose answer it waits for
	// (0: none).
	reportInFlight int
	// incarnation counts the starts of the worker process. A pause ends with the incarnation
	// in which it began.
	incarnation     int
	reportCount     int
	nextReportAt    time.Duration // when the next report is due, if there are no changes
	hasChanges      bool          // there is something to report before nextReportAt
	lastReportAt    time.Duration
	delayedCommands []func() // commands received while paused
	// commandCopies are the direct commands that were answered, also by earlier incarnations,
	// if Simulation.KeepCommandCopies is set.
	commandCopies []core.AgentCall
	epochChangeAt time.Duration // when a higher epoch last triggered a report; 0: not yet
}

// taskRun is one attempt of a task on a machine.
type taskRun struct {
	attempt   uint64
	state     string
	cause     string        // why it exited
	saved     bool          // it exited after saving a checkpoint
	endsAt    time.Duration // when fetching, running or saving ends
	startedAt time.Duration // when its image was complete
}

// startWorker starts the worker of a machine that has booted.
func (s *Simulation) startWorker(info model.ListedMachine, machineType *model.MachineType) {
	wk := &Worker{sim: s, info: info, machineType: machineType, session: 1, leaseStartedAt: s.Now, tasks: map[string]*taskRun{}, images: map[string]bool{}}
	wk.targetController = s.Rand.IntN(len(s.Controllers))
	s.Workers[info.Endpoint] = wk
	s.tracef("machine %s is up in %s", info.Host, info.Zone)
	wk.nextReportAt = s.Now
	wk.loop()
}

// stop ends the machine and all tasks on it.
func (wk *Worker) stop() {
	wk.stopped = true
	for _, name := range sortedKeys(wk.tasks) {
		wk.sim.Checker.taskStopped(name, wk, wk.tasks[name])
	}
	wk.tasks = map[string]*taskRun{}
	delete(wk.sim.Workers, wk.info.Endpoint)
}

// Pause pauses the machine for d. If its lease expires meanwhile, its tasks end, otherwise
// they take that much longer. When the machine resumes, it first handles the commands that
// have arrived during the pause.
func (wk *Worker) Pause(d time.Duration) {
	wk.Paused = true
	wk.sim.tracef("machine %s is paused", wk.info.Host)
	pausedAt, incarnation := wk.sim.Now, wk.incarnation
	wk.sim.After(d, func() {
		if wk.incarnation != incarnation {
			return // the restart ended the pause
		}
		wk.Paused = false
		for _, run := range wk.tasks {
			run.endsAt += wk.sim.Now - pausedAt
		}
		wk.expireLease()
		commands := wk.delayedCommands
		wk.delayedCommands = nil
		for _, handle := range commands {
			handle()
		}
	})
}

// loop makes one step of the worker and schedules the next one.
func (wk *Worker) loop() {
	if wk.stopped {
		return
	}
	// A paused machine runs nothing. After its lease has expired no task of its session
	// can run again, so its tasks count as stopped from then on.
	wk.expireLease()
	if !wk.Paused {
		wk.advanceTasks()
		due := wk.sim.Now >= wk.nextReportAt || wk.hasChanges && wk.sim.Now >= wk.lastReportAt+500*time.Millisecond
		if due && wk.reportInFlight == 0 {
			wk.sendReport()
		}
	}
	interval := wk.sim.Options.WorkerStepInterval
	if interval == 0 {
		interval = 20 * time.Millisecond
	}
	wk.sim.After(interval, wk.loop)
}

// expireLease ends all tasks and starts a new session if the lease has expired.
func (wk *Worker) expireLease() {
	if wk.sim.Now < wk.leaseStartedAt+wk.sim.Options.Config.Lease {
		return
	}
	wk.sim.tracef("machine %s: lease expired", wk.info.Host)
	for _, name := range sortedKeys(wk.tasks) {
		wk.sim.Checker.taskStopped(name, wk, wk.tasks[name])
	}
	wk.tasks = map[string]*taskRun{}
	wk.session++
	wk.leaseStartedAt = wk.sim.Now
	wk.hasChanges = true
}

// advanceTasks changes the states of tasks whose time has come: images are complete,
// tasks end, checkpoints are saved. A task whose work an earlier attempt has completed has
// nothing left to do and exits as soon as it has started.
func (wk *Worker) advanceTasks() {
	for _, name := range sortedKeys(wk.tasks) {
		run := wk.tasks[name]
		job := wk.sim.Checker.jobOf(name)
		if job != nil && job.spec.Kind == model.KindGang && run.state != model.TaskFetching {
			wk.advanceGangTask(name, run, job)
			continue
		}
		switch run.state {
		case model.TaskFetching:
			if wk.sim.Now >= run.endsAt {
				wk.images[job.spec.Image] = true
				run.startedAt = wk.sim.Now
				if job.spec.Kind == model.KindGang {
					run.state, wk.hasChanges = model.TaskGathering, true
					wk.sim.Checker.taskStarted(name, wk, run)
					if job.doneTasks[name] {
						wk.exitTask(name, run, model.CauseDone)
					} else {
						job.gangAttemptFor(run.attempt).taskReady(name, wk)
					}
					continue
				}
				run.state, wk.hasChanges = model.TaskRunning, true
				_, i, _ := model.ParseTaskName(name)
				run.endsAt = wk.sim.Now + job.runTime + time.Duration(i)*job.runTimeStep
				if job.spec.Kind == model.KindService {
					run.endsAt = 1 << 62 // never
				}
				wk.sim.Checker.taskStarted(name, wk, run)
				if job.doneTasks[name] {
					wk.exitTask(name, run, model.CauseDone)
				}
			}
		case model.TaskRunning:
			if wk.sim.Now >= run.endsAt {
				job.doneTasks[name] = true
				wk.exitTask(name, run, model.CauseDone)
				if len(job.doneTasks) == job.spec.Tasks {
					wk.sim.Users.jobEnded(job)
				}
			}
		case model.TaskSaving:
			if wk.sim.Now >= run.endsAt {
				run.saved = true
				wk.exitTask(name, run, model.CauseStopped)
			}
		}
	}
}

// exitTask sets a task to exited.
func (wk *Worker) exitTask(name string, run *taskRun, cause string) {
	wk.sim.Checker.taskStopped(name, wk, run)
	run.state, run.cause, wk.hasChanges = model.TaskExited, cause, true
}

// handleCommands carries out the orders of a direct command and answers with a report.
// It refuses the orders with 409 if the epoch is lower than the worker's or the session
// differs. A paused machine does this when it resumes.
func (wk *Worker) handleCommands(call core.AgentCall, reply func(core.AgentResult)) {
	handle := func() {
		if wk.stopped {
			return
		}
		wk.expireLease()
		result := core.AgentResult{CallID: call.CallID, Status: 200}
		if call.Epoch < wk.epoch || call.Session != wk.session {
			result.Status = 409
		} else {
			wk.raiseEpoch(call.Epoch)
			wk.executeOrders(call.Orders)
		}
		report := wk.nextReport()
		result.Report = &report
		wk.keepCopy(call, result.Status)
		reply(result)
	}
	if wk.Paused {
		wk.delayedCommands = append(wk.delayedCommands, handle)
		return
	}
	if !wk.CannotReceive {
		handle()
	}
}

// maxCommandCopies bounds how many commands a worker keeps; the oldest are dropped.
const maxCommandCopies = 40

// keepCopy keeps a command that was carried out.
func (wk *Worker) keepCopy(call core.AgentCall, status int) {
	if !wk.sim.KeepCommandCopies || status != 200 {
		return
	}
	wk.commandCopies = append(wk.commandCopies, call)
	if excess := len(wk.commandCopies) - maxCommandCopies; excess > 0 {
		wk.commandCopies = wk.commandCopies[excess:]
	}
}

// DeliverCommandCopies delivers once more all direct commands that the worker and its earlier
// incarnations have answered, in their order, as a network that has held copies of them back. The
// answers are dropped.
func (wk *Worker) DeliverCommandCopies() {
	copies := wk.commandCopies
	if len(copies) > 0 && !wk.stopped {
		wk.sim.tracef("machine %s gets copies of %d commands", wk.info.Host, len(copies))
	}
	for _, call := range copies {
		wk.handleCommands(call, func(core.AgentResult) {})
	}
}

// raiseEpoch applies the epoch of an answer or command. A higher epoch triggers a
// report before the regular one, but at most once per half lease, as the protocol
// requires. If the leader changes more often, the next regular report shows the latest
// epoch.
func (wk *Worker) raiseEpoch(epoch uint64) {
	if epoch <= wk.epoch {
		return
	}
	wk.epoch = epoch
	if now := wk.sim.Now; wk.epochChangeAt == 0 || now >= wk.epochChangeAt+wk.sim.Options.Config.Lease/2 {
		wk.epochChangeAt, wk.hasChanges = now, true
	}
}

// Restart restarts the worker process at once under the same name. Its tasks end, and
// its session, sequence number and epoch are those of a worker that starts for the first
// time. The cached images remain. A pause ends, and the commands that have arrived during
// it are lost.
func (wk *Worker) Restart() {
	if wk.stopped {
		return
	}
	wk.expireLease()
	wk.sim.tracef("worker on %s restarts", wk.info.Host)
	wk.incarnation++
	wk.Paused = false
	for _, name := range sortedKeys(wk.tasks) {
		wk.sim.Checker.taskStopped(name, wk, wk.tasks[name])
	}
	wk.tasks = map[string]*taskRun{}
	wk.session, wk.seq, wk.epoch, wk.epochChangeAt = 1, 0, 0, 0
	wk.leaseStartedAt, wk.hasChanges = wk.sim.Now, true
	// An answer to a report of the previous process is dropped, since the worker waits for
	// none now and no later report gets the same number.
	wk.reportCount++
	wk.reportInFlight, wk.delayedCommands = 0, nil
	wk.targetController = wk.sim.Rand.IntN(len(wk.sim.Controllers))
}

// executeOrders carries out orders one after another.
func (wk *Worker) executeOrders(orders []model.Order) {
	for _, order := range orders {
		run := wk.tasks[order.Task]
		switch order.Verb {
		case model.OrderStart:
			wk.startTask(order, run)
		case model.OrderKill:
			if run != nil && run.attempt == order.Attempt && run.state != model.TaskExited {
				wk.killTask(order, run)
			}
		case model.OrderForget:
			if run != nil && run.attempt == order.Attempt && run.state == model.TaskExited {
				delete(wk.tasks, order.Task)
			}
		}
	}
	wk.advanceTasks()
}

// startTask starts an attempt or refuses it. current is the attempt of the task that
// the machine has, or nil.
func (wk *Worker) startTask(order model.Order, current *taskRun) {
	if current != nil && current.attempt == order.Attempt {
		return
	}
	wk.hasChanges = true
	if current != nil && current.state != model.TaskExited {
		return // the next report shows the other attempt, which still runs
	}
	run := &taskRun{attempt: order.Attempt, state: model.TaskFetching}
	job := wk.sim.Checker.jobOf(order.Task)
	switch {
	case wk.sim.NextStartRefusal != "":
		run.state, run.cause = model.TaskExited, wk.sim.NextStartRefusal
		wk.sim.NextStartRefusal = ""
		wk.sim.RefusedStarts++
	case job == nil:
		run.state, run.cause = model.TaskExited, model.CauseNoSuchTask
	case wk.taskCapacity(job) == 0:
		run.state, run.cause = model.TaskExited, model.CauseNoCapacity
	case wk.images[job.spec.Image]:
		run.endsAt = wk.sim.Now
	default:
		run.endsAt = wk.sim.Now + time.Duration(job.spec.ImageGB/wk.machineType.FetchGBPerS*float64(time.Second))
	}
	wk.tasks[order.Task] = run // uses capacity from now on
}

// killTask stops a task. A running task with checkpoints saves one first if the order gives
// a grace period that is long enough. A task that is saving goes on, unless the order gives
// a grace period of 0.
func (wk *Worker) killTask(order model.Order, run *taskRun) {
	job := wk.sim.Checker.jobOf(order.Task)
	if job.spec.Kind == model.KindGang && run.state != model.TaskFetching {
		wk.stopGangTask(order.Task, run, job, order.GraceS)
		return
	}
	if run.state == model.TaskRunning && job.spec.CheckpointEveryS > 0 && order.GraceS != nil && *order.GraceS >= job.spec.CheckpointCostS {
		run.state, run.endsAt, wk.hasChanges = model.TaskSaving, wk.sim.Now+time.Duration(job.spec.CheckpointCostS*float64(time.Second)), true
		return
	}
	if run.state == model.TaskSaving && (order.GraceS == nil || *order.GraceS > 0) {
		return // it is saving already; only a grace period of 0 ends that
	}
	wk.exitTask(order.Task, run, model.CauseStopped)
}

// maxTaskCapacity bounds the result of taskCapacity, for tasks that need next to nothing.
const maxTaskCapacity = 1e6

// taskCapacity returns how many tasks of a job fit into the free capacity of the
// machine, up to maxTaskCapacity.
func (wk *Worker) taskCapacity(job *jobRecord) int {
	cpus, memoryGB := wk.machineType.CPUs, wk.machineType.MemoryGB
	for name, run := range wk.tasks {
		if run.state != model.TaskExited {
			other := wk.sim.Checker.jobOf(name)
			cpus -= other.spec.CPUs
			memoryGB -= other.spec.MemoryGB
		}
	}
	return int(min((cpus+1e-6)/job.spec.CPUs, (memoryGB+1e-6)/job.spec.MemoryGB, maxTaskCapacity))
}
