package sim

import (
	"time"

	"mulleinfall/internal/model"
)

// gangRun is one attempt of a gang, as its tasks see one another.
type gangRun struct {
	t       *truth
	attempt uint64
	members map[string]*Worker // tasks that have their image, and where
	started bool
	at      time.Duration // of the start
	killed  time.Duration // first stop with time to save; 0: none
	saved   map[string]bool
	broken  time.Duration // a task is gone, or was stopped at once; 0: not
	over    bool          // its progress has been settled
}

func (t *truth) gang(attempt uint64) *gangRun {
	g := t.gangs[attempt]
	if g == nil {
		g = &gangRun{t: t, attempt: attempt, members: map[string]*Worker{}, saved: map[string]bool{}}
		t.gangs[attempt] = g
	}
	return g
}

// arrived takes that a task has its image: it waits, and the last one starts
// all of them.
func (g *gangRun) arrived(name string, wk *Worker) {
	w := wk.w
	g.members[name] = wk
	if len(g.members) < g.t.spec.Tasks || g.started {
		return
	}
	g.started, g.at = true, w.Now
	w.tell("gang %s attempt %d starts", g.t.spec.ID, g.attempt)
	for _, task := range sortedKeys(g.members) {
		m := g.members[task]
		if r := m.tasks[task]; r != nil && r.state == model.TaskGathering {
			r.state, m.changed = model.TaskRunning, true
			r.end = w.Now + g.t.runTime - g.t.progress
		}
	}
}

// left takes that a task is gone from its machine.
func (g *gangRun) left(name string, now time.Duration) {
	delete(g.members, name)
	if g.started && g.broken == 0 && !g.over {
		g.broken = now
		g.settle(now)
	}
}

// settle fixes the progress of an attempt that has ended without saving: what
// its last checkpoint holds.
func (g *gangRun) settle(now time.Duration) {
	if g.over {
		return
	}
	g.over = true
	if g.killed != 0 {
		now = g.killed
	}
	reached := g.t.progress + now - g.at
	if every := time.Duration(g.t.spec.CheckpointEveryS * float64(time.Second)); every > 0 {
		g.t.progress = max(g.t.progress, reached/every*every)
	}
}

// advanceGang moves a gang's task along that has its image.
func (wk *Worker) advanceGang(name string, r *run, t *truth) {
	g := t.gang(r.attempt)
	for _, m := range g.members { // a machine that hangs is noticed as well
		if g.started && m.Hung && g.broken == 0 && !g.over {
			g.broken = wk.w.Now
			g.settle(wk.w.Now)
		}
	}
	switch r.state {
	case model.TaskGathering:
		if wk.w.Now >= r.began+wk.w.Opt.Config.GangWaitTimeout {
			wk.exit(name, r, model.CauseGangIncomplete)
		}
	case model.TaskRunning:
		wk.advanceRunning(name, r, g)
	case model.TaskSaving:
		wk.advanceSaving(name, r, g)
	}
}

// missesPeers says whether a task has noticed by now that another is gone, or that
// it wasn't told of a stop in time.
func (g *gangRun) missesPeers(now, peer time.Duration) bool {
	return g.broken != 0 && now >= g.broken+peer/2 || g.killed != 0 && now >= g.killed+peer
}

// advanceRunning completes a gang, or ends a task that is left behind.
func (wk *Worker) advanceRunning(name string, r *run, g *gangRun) {
	w, t := wk.w, g.t
	switch {
	case t.done[name]:
		wk.exit(name, r, model.CauseDone)
	case g.missesPeers(w.Now, w.Opt.Config.GangPeerTimeout):
		wk.exit(name, r, model.CausePeerLost)
	case g.killed == 0 && g.broken == 0 && w.Now >= r.end:
		g.over = true
		for i := range t.spec.Tasks {
			t.done[model.TaskName(t.spec.ID, i)] = true
		}
		w.tell("gang %s attempt %d is done", t.spec.ID, g.attempt)
		wk.exit(name, r, model.CauseDone)
	}
}

// advanceSaving ends a task once all have saved, or can't.
func (wk *Worker) advanceSaving(name string, r *run, g *gangRun) {
	w, t := wk.w, g.t
	if w.Now >= r.end {
		g.saved[name] = true
	}
	if len(g.saved) == t.spec.Tasks && g.broken == 0 && !g.over {
		g.over = true
		t.progress += g.killed - g.at
		w.tell("gang %s attempt %d has saved %v", t.spec.ID, g.attempt, t.progress)
	}
	switch {
	case r.saved, g.over && g.broken == 0:
		r.saved = true
		wk.exit(name, r, model.CauseStopped)
	case g.missesPeers(w.Now, w.Opt.Config.GangPeerTimeout):
		g.settle(w.Now)
		wk.exit(name, r, model.CausePeerLost)
	}
}

// stopGang is a kill of a gang's task that has its image.
func (wk *Worker) stopGang(name string, r *run, t *truth, grace *float64) {
	w, g := wk.w, t.gang(r.attempt)
	if r.state == model.TaskRunning && t.spec.CheckpointEveryS > 0 && grace != nil && *grace >= t.spec.CheckpointCostS {
		if g.killed == 0 {
			g.killed = w.Now
		}
		if w.Now <= g.killed+w.Opt.Config.GangPeerTimeout {
			r.state, r.end, wk.changed = model.TaskSaving, w.Now+time.Duration(t.spec.CheckpointCostS*float64(time.Second)), true
			return
		}
	}
	if r.state == model.TaskSaving && (grace == nil || *grace > 0) {
		return
	}
	wk.exit(name, r, model.CauseStopped)
}
