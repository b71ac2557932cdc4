package sim

import (
	"time"

	"mulleinfall/internal/model"
)

// gangAttempt is one attempt of a gang, as its tasks see one another.
type gangAttempt struct {
	job        *jobRecord
	attempt    uint64
	members    map[string]*Worker // tasks that have their image, and where
	started    bool
	startedAt  time.Duration // of the start
	killedAt   time.Duration // first stop with time to save; 0: none
	savedTasks map[string]bool
	brokenAt   time.Duration // a task is gone, or was stopped at once; 0: not
	settled    bool          // its progress has been settled
}

func (t *jobRecord) gangAttemptFor(attempt uint64) *gangAttempt {
	g := t.gangAttempts[attempt]
	if g == nil {
		g = &gangAttempt{job: t, attempt: attempt, members: map[string]*Worker{}, savedTasks: map[string]bool{}}
		t.gangAttempts[attempt] = g
	}
	return g
}

// taskReady takes that a task has its image: it waits, and the last one starts
// all of them.
func (g *gangAttempt) taskReady(name string, wk *Worker) {
	w := wk.sim
	g.members[name] = wk
	if len(g.members) < g.job.spec.Tasks || g.started {
		return
	}
	g.started, g.startedAt = true, w.Now
	w.tracef("gang %s attempt %d starts", g.job.spec.ID, g.attempt)
	for _, task := range sortedKeys(g.members) {
		m := g.members[task]
		if r := m.tasks[task]; r != nil && r.state == model.TaskGathering {
			r.state, m.hasChanges = model.TaskRunning, true
			r.endsAt = w.Now + g.job.runTime - g.job.savedProgress
		}
	}
}

// taskGone takes that a task is gone from its machine.
func (g *gangAttempt) taskGone(name string, now time.Duration) {
	delete(g.members, name)
	if g.started && g.brokenAt == 0 && !g.settled {
		g.brokenAt = now
		g.settleProgress(now)
	}
}

// settleProgress fixes the progress of an attempt that has ended without saving: what
// its last checkpoint holds.
func (g *gangAttempt) settleProgress(now time.Duration) {
	if g.settled {
		return
	}
	g.settled = true
	if g.killedAt != 0 {
		now = g.killedAt
	}
	reached := g.job.savedProgress + now - g.startedAt
	if every := time.Duration(g.job.spec.CheckpointEveryS * float64(time.Second)); every > 0 {
		g.job.savedProgress = max(g.job.savedProgress, reached/every*every)
	}
}

// advanceGangTask moves a gang's task along that has its image.
func (wk *Worker) advanceGangTask(name string, r *taskRun, t *jobRecord) {
	g := t.gangAttemptFor(r.attempt)
	for _, m := range g.members { // a machine that hangs is noticed as well
		if g.started && m.Paused && g.brokenAt == 0 && !g.settled {
			g.brokenAt = wk.sim.Now
			g.settleProgress(wk.sim.Now)
		}
	}
	switch r.state {
	case model.TaskGathering:
		if wk.sim.Now >= r.startedAt+wk.sim.Options.Config.GangWaitTimeout {
			wk.exitTask(name, r, model.CauseGangIncomplete)
		}
	case model.TaskRunning:
		wk.advanceRunningGangTask(name, r, g)
	case model.TaskSaving:
		wk.advanceSavingGangTask(name, r, g)
	}
}

// hasLostPeers says whether a task has noticed by now that another is gone, or that
// it wasn't told of a stop in time.
func (g *gangAttempt) hasLostPeers(now, peer time.Duration) bool {
	return g.brokenAt != 0 && now >= g.brokenAt+peer/2 || g.killedAt != 0 && now >= g.killedAt+peer
}

// advanceRunningGangTask completes a gang, or ends a task that is left behind.
func (wk *Worker) advanceRunningGangTask(name string, r *taskRun, g *gangAttempt) {
	w, t := wk.sim, g.job
	switch {
	case t.doneTasks[name]:
		wk.exitTask(name, r, model.CauseDone)
	case g.hasLostPeers(w.Now, w.Options.Config.GangPeerTimeout):
		wk.exitTask(name, r, model.CausePeerLost)
	case g.killedAt == 0 && g.brokenAt == 0 && w.Now >= r.endsAt:
		g.settled = true
		for i := range t.spec.Tasks {
			t.doneTasks[model.TaskName(t.spec.ID, i)] = true
		}
		w.tracef("gang %s attempt %d is done", t.spec.ID, g.attempt)
		wk.exitTask(name, r, model.CauseDone)
	}
}

// advanceSavingGangTask ends a task once all have saved, or can't.
func (wk *Worker) advanceSavingGangTask(name string, r *taskRun, g *gangAttempt) {
	w, t := wk.sim, g.job
	if w.Now >= r.endsAt {
		g.savedTasks[name] = true
	}
	if len(g.savedTasks) == t.spec.Tasks && g.brokenAt == 0 && !g.settled {
		g.settled = true
		t.savedProgress += g.killedAt - g.startedAt
		w.tracef("gang %s attempt %d has saved %v", t.spec.ID, g.attempt, t.savedProgress)
	}
	switch {
	case r.saved, g.settled && g.brokenAt == 0:
		r.saved = true
		wk.exitTask(name, r, model.CauseStopped)
	case g.hasLostPeers(w.Now, w.Options.Config.GangPeerTimeout):
		g.settleProgress(w.Now)
		wk.exitTask(name, r, model.CausePeerLost)
	}
}

// stopGangTask is a kill of a gang's task that has its image.
func (wk *Worker) stopGangTask(name string, r *taskRun, t *jobRecord, grace *float64) {
	w, g := wk.sim, t.gangAttemptFor(r.attempt)
	if r.state == model.TaskRunning && t.spec.CheckpointEveryS > 0 && grace != nil && *grace >= t.spec.CheckpointCostS {
		if g.killedAt == 0 {
			g.killedAt = w.Now
		}
		if w.Now <= g.killedAt+w.Options.Config.GangPeerTimeout {
			r.state, r.endsAt, wk.hasChanges = model.TaskSaving, w.Now+time.Duration(t.spec.CheckpointCostS*float64(time.Second)), true
			return
		}
	}
	if r.state == model.TaskSaving && (grace == nil || *grace > 0) {
		return
	}
	wk.exitTask(name, r, model.CauseStopped)
}
