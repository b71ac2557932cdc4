package sim

import (
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// Worker stands in for the worker of one machine.
type Worker struct {
	w    *World
	info model.ListedMachine
	typ  *model.MachineType
	dead bool
	Hung bool
	// Deaf: its reports arrive, but answers and commands don't reach it.
	Deaf bool
	// Mute: it reaches no controller, while commands reach it.
	Mute bool
	// Unanswered: commands reach it, but answers to its reports don't.
	Unanswered bool

	recallAt time.Duration // when the cloud takes the machine, as it has told; 0: not

	session, seq, epoch uint64
	leaseFrom           time.Duration
	tasks               map[string]*run
	images              map[string]bool
	target              int
	inFlight            int // number of the report under way; 0: none
	reports             int
	nextReportAt        time.Duration
	changed             bool
	lastReportAt        time.Duration
	late                []func()      // commands that came while it hung
	epochNotedAt        time.Duration // when a higher epoch last counted as a change
}

type run struct {
	attempt uint64
	state   string
	cause   string
	saved   bool
	end     time.Duration
	began   time.Duration
}

func (w *World) startWorker(info model.ListedMachine, typ *model.MachineType) {
	wk := &Worker{w: w, info: info, typ: typ, session: 1, leaseFrom: w.Now, tasks: map[string]*run{}, images: map[string]bool{}}
	wk.target = w.Rnd.IntN(len(w.Nodes))
	w.Workers[info.Endpoint] = wk
	w.tell("machine %s is up in %s", info.Host, info.Zone)
	wk.nextReportAt = w.Now
	wk.loop()
}

func (wk *Worker) stop() {
	wk.dead = true
	for _, name := range sortedKeys(wk.tasks) {
		wk.w.Check.off(name, wk, wk.tasks[name])
	}
	wk.tasks = map[string]*run{}
	delete(wk.w.Workers, wk.info.Endpoint)
}

// Hang stops the machine for d; it goes on afterwards.
func (wk *Worker) Hang(d time.Duration) {
	wk.Hung = true
	wk.w.tell("machine %s hangs", wk.info.Host)
	since := wk.w.Now
	wk.w.After(d, func() {
		wk.Hung = false
		for _, r := range wk.tasks {
			r.end += wk.w.Now - since
		}
		wk.expire()
		late := wk.late
		wk.late = nil
		for _, f := range late {
			f()
		}
	})
}

func (wk *Worker) loop() {
	if wk.dead {
		return
	}
	// A machine that hangs runs nothing; past its lease nothing of its session
	// can run again, so its tasks count as gone from then on.
	wk.expire()
	if !wk.Hung {
		wk.advance()
		due := wk.w.Now >= wk.nextReportAt || wk.changed && wk.w.Now >= wk.lastReportAt+500*time.Millisecond
		if due && wk.inFlight == 0 {
			wk.sendReport()
		}
	}
	pace := wk.w.Opt.Pace
	if pace == 0 {
		pace = 20 * time.Millisecond
	}
	wk.w.After(pace, wk.loop)
}

func (wk *Worker) expire() {
	if wk.w.Now < wk.leaseFrom+wk.w.Opt.Config.Lease {
		return
	}
	wk.w.tell("machine %s: lease ran out", wk.info.Host)
	for _, name := range sortedKeys(wk.tasks) {
		wk.w.Check.off(name, wk, wk.tasks[name])
	}
	wk.tasks = map[string]*run{}
	wk.session++
	wk.leaseFrom = wk.w.Now
	wk.changed = true
}

// advance moves tasks along: images arrive, tasks end.
func (wk *Worker) advance() {
	for _, name := range sortedKeys(wk.tasks) {
		r := wk.tasks[name]
		t := wk.w.Check.jobOf(name)
		if t != nil && t.spec.Kind == model.KindGang && r.state != model.TaskFetching {
			wk.advanceGang(name, r, t)
			continue
		}
		switch r.state {
		case model.TaskFetching:
			if wk.w.Now >= r.end {
				wk.images[t.spec.Image] = true
				r.began = wk.w.Now
				if t.spec.Kind == model.KindGang {
					r.state, wk.changed = model.TaskGathering, true
					wk.w.Check.on(name, wk, r)
					if t.done[name] {
						wk.exit(name, r, model.CauseDone)
					} else {
						t.gang(r.attempt).arrived(name, wk)
					}
					continue
				}
				r.state, wk.changed = model.TaskRunning, true
				_, i, _ := model.ParseTaskName(name)
				r.end = wk.w.Now + t.runTime + time.Duration(i)*t.step
				if t.spec.Kind == model.KindService {
					r.end = 1 << 62
				}
				wk.w.Check.on(name, wk, r)
				if t.done[name] {
					wk.exit(name, r, model.CauseDone)
				}
			}
		case model.TaskRunning:
			if wk.w.Now >= r.end {
				t.done[name] = true
				wk.exit(name, r, model.CauseDone)
				if len(t.done) == t.spec.Tasks {
					wk.w.Users.ended(t)
				}
			}
		case model.TaskSaving:
			if wk.w.Now >= r.end {
				r.saved = true
				wk.exit(name, r, model.CauseStopped)
			}
		}
	}
}

func (wk *Worker) exit(name string, r *run, cause string) {
	wk.w.Check.off(name, wk, r)
	r.state, r.cause, wk.changed = model.TaskExited, cause, true
}

func (wk *Worker) commands(c core.AgentCall, reply func(core.AgentResult)) {
	run := func() {
		if wk.dead {
			return
		}
		wk.expire()
		d := core.AgentResult{CallID: c.CallID, Status: 200}
		if c.Epoch < wk.epoch || c.Session != wk.session {
			d.Status = 409
		} else {
			wk.noteEpoch(c.Epoch)
			wk.execute(c.Orders)
		}
		rep := wk.report()
		d.Report = &rep
		reply(d)
	}
	if wk.Hung {
		wk.late = append(wk.late, run)
		return
	}
	if !wk.Deaf {
		run()
	}
}

// noteEpoch takes in the epoch of an answer or command. A higher one is worth a
// report of its own, but at most once in half a lease (PROTOCOL): with more changes
// of leader than that, a worker shows the last one's epoch in its next regular report.
func (wk *Worker) noteEpoch(epoch uint64) {
	if epoch <= wk.epoch {
		return
	}
	wk.epoch = epoch
	if now := wk.w.Now; wk.epochNotedAt == 0 || now >= wk.epochNotedAt+wk.w.Opt.Config.Lease/2 {
		wk.epochNotedAt, wk.changed = now, true
	}
}

// Restart ends the worker's process; it is back at once under the same name
// and counts from the start again. What it ran is gone.
func (wk *Worker) Restart() {
	wk.w.tell("worker on %s begins anew", wk.info.Host)
	for _, name := range sortedKeys(wk.tasks) {
		wk.w.Check.off(name, wk, wk.tasks[name])
	}
	wk.tasks = map[string]*run{}
	wk.session, wk.seq, wk.epoch, wk.epochNotedAt = 1, 0, 0, 0
	wk.leaseFrom, wk.changed = wk.w.Now, true
	wk.reports++ // an answer on its way to the former process is lost
	wk.inFlight, wk.late = 0, nil
	wk.target = wk.w.Rnd.IntN(len(wk.w.Nodes))
}

// execute carries commands out in order.
func (wk *Worker) execute(orders []model.Order) {
	for _, o := range orders {
		r := wk.tasks[o.Task]
		switch o.Verb {
		case model.OrderStart:
			wk.start(o, r)
		case model.OrderKill:
			if r != nil && r.attempt == o.Attempt && r.state != model.TaskExited {
				wk.kill(o, r)
			}
		case model.OrderForget:
			if r != nil && r.attempt == o.Attempt && r.state == model.TaskExited {
				delete(wk.tasks, o.Task)
			}
		}
	}
	wk.advance()
}

// start begins an attempt, or refuses it; r is what the machine has of the task.
func (wk *Worker) start(o model.Order, r *run) {
	if r != nil && r.attempt == o.Attempt {
		return
	}
	wk.changed = true
	if r != nil && r.state != model.TaskExited {
		return // in use: the running attempt stays on the list
	}
	n := &run{attempt: o.Attempt, state: model.TaskFetching}
	t := wk.w.Check.jobOf(o.Task)
	switch {
	case wk.w.RefuseNext != "":
		n.state, n.cause = model.TaskExited, wk.w.RefuseNext
		wk.w.RefuseNext = ""
		wk.w.Refusals++
	case t == nil:
		n.state, n.cause = model.TaskExited, model.CauseNoSuchTask
	case wk.fits(t) == 0:
		n.state, n.cause = model.TaskExited, model.CauseNoCapacity
	case wk.images[t.spec.Image]:
		n.end = wk.w.Now
	default:
		n.end = wk.w.Now + time.Duration(t.spec.ImageGB/wk.typ.FetchGBPerS*float64(time.Second))
	}
	wk.tasks[o.Task] = n // from now on it takes room
}

// kill stops a task, which saves if it can and has the time.
func (wk *Worker) kill(o model.Order, r *run) {
	t := wk.w.Check.jobOf(o.Task)
	if t.spec.Kind == model.KindGang && r.state != model.TaskFetching {
		wk.stopGang(o.Task, r, t, o.GraceS)
		return
	}
	if r.state == model.TaskRunning && t.spec.CheckpointEveryS > 0 && o.GraceS != nil && *o.GraceS >= t.spec.CheckpointCostS {
		r.state, r.end, wk.changed = model.TaskSaving, wk.w.Now+time.Duration(t.spec.CheckpointCostS*float64(time.Second)), true
		return
	}
	if r.state == model.TaskSaving && (o.GraceS == nil || *o.GraceS > 0) {
		return
	}
	wk.exit(o.Task, r, model.CauseStopped)
}

// fits is for how many tasks of a job the machine has room.
func (wk *Worker) fits(t *truth) int {
	cpus, mem := wk.typ.CPUs, wk.typ.MemoryGB
	for name, r := range wk.tasks {
		if r.state != model.TaskExited {
			o := wk.w.Check.jobOf(name)
			cpus -= o.spec.CPUs
			mem -= o.spec.MemoryGB
		}
	}
	return int(min((cpus+1e-6)/t.spec.CPUs, (mem+1e-6)/t.spec.MemoryGB))
}
