package sim

import (
	"time"

	"mulleinfall/internal/model"
)

// gangAttempt is one attempt of a gang, a job whose tasks run all at once or not at all. It
// holds the state that the tasks share.
type gangAttempt struct {
	job        *jobRecord
	attempt    uint64
	members    map[string]*Worker // machines of the tasks that have their image, by task name
	started    bool
	startedAt  time.Duration // when all tasks started
	killedAt   time.Duration // first stop order with time to save; 0: none
	savedTasks map[string]bool
	brokenAt   time.Duration // when a task was lost, paused or stopped without saving; 0: not yet
	settled    bool          // the attempt has completed, saved or lost its unsaved progress
}

// gangAttemptFor returns an attempt of the gang, which it creates on first use.
func (j *jobRecord) gangAttemptFor(attempt uint64) *gangAttempt {
	gang := j.gangAttempts[attempt]
	if gang == nil {
		gang = &gangAttempt{job: j, attempt: attempt, members: map[string]*Worker{}, savedTasks: map[string]bool{}}
		j.gangAttempts[attempt] = gang
	}
	return gang
}

// taskReady handles a task that has its image. The task waits until all tasks of the
// gang are ready; the last one starts them all.
func (g *gangAttempt) taskReady(name string, wk *Worker) {
	sim := wk.sim
	g.members[name] = wk
	if len(g.members) < g.job.spec.Tasks || g.started {
		return
	}
	g.started, g.startedAt = true, sim.Now
	sim.tracef("gang %s attempt %d starts", g.job.spec.ID, g.attempt)
	for _, task := range sortedKeys(g.members) {
		member := g.members[task]
		if run := member.tasks[task]; run != nil && run.state == model.TaskGathering {
			run.state, member.hasChanges = model.TaskRunning, true
			run.endsAt = sim.Now + g.job.runTime - g.job.savedProgress
		}
	}
}

// taskGone handles a task that has left its machine. The loss breaks the attempt if that
// has started and is not settled.
func (g *gangAttempt) taskGone(name string, now time.Duration) {
	delete(g.members, name)
	if g.started && g.brokenAt == 0 && !g.settled {
		g.brokenAt = now
		g.settleProgress(now)
	}
}

// settleProgress records the progress of an attempt that has ended without saving on
// the stop order: the progress at the last regular checkpoint before now, or before the
// first stop order with time to save if there was one.
func (g *gangAttempt) settleProgress(now time.Duration) {
	if g.settled {
		return
	}
	g.settled = true
	if g.killedAt != 0 {
		now = g.killedAt
	}
	reached := g.job.savedProgress + now - g.startedAt
	if checkpointInterval := time.Duration(g.job.spec.CheckpointEveryS * float64(time.Second)); checkpointInterval > 0 {
		g.job.savedProgress = max(g.job.savedProgress, reached/checkpointInterval*checkpointInterval)
	}
}

// advanceGangTask changes the state of a gang's task that has its image, if its time
// has come.
func (wk *Worker) advanceGangTask(name string, run *taskRun, job *jobRecord) {
	gang := job.gangAttemptFor(run.attempt)
	for _, member := range gang.members { // a paused member breaks the gang, too
		if gang.started && member.Paused && gang.brokenAt == 0 && !gang.settled {
			gang.brokenAt = wk.sim.Now
			gang.settleProgress(wk.sim.Now)
		}
	}
	switch run.state {
	case model.TaskGathering:
		if wk.sim.Now >= run.startedAt+wk.sim.Options.Config.GangWaitTimeout {
			wk.exitTask(name, run, model.CauseGangIncomplete)
		}
	case model.TaskRunning:
		wk.advanceRunningGangTask(name, run, gang)
	case model.TaskSaving:
		wk.advanceSavingGangTask(name, run, gang)
	}
}

// hasLostPeers reports whether the tasks have noticed by now that the attempt has
// failed: half of peerTimeout after one of them was lost, or peerTimeout after the first
// stop order with time to save. The callers ask only while not all tasks have saved.
func (g *gangAttempt) hasLostPeers(now, peerTimeout time.Duration) bool {
	return g.brokenAt != 0 && now >= g.brokenAt+peerTimeout/2 || g.killedAt != 0 && now >= g.killedAt+peerTimeout
}

// advanceRunningGangTask completes the gang when its time has come, or ends a task that
// has lost its peers.
func (wk *Worker) advanceRunningGangTask(name string, run *taskRun, gang *gangAttempt) {
	sim, job := wk.sim, gang.job
	switch {
	case job.doneTasks[name]:
		wk.exitTask(name, run, model.CauseDone)
	case gang.hasLostPeers(sim.Now, sim.Options.Config.GangPeerTimeout):
		wk.exitTask(name, run, model.CausePeerLost)
	case gang.killedAt == 0 && gang.brokenAt == 0 && sim.Now >= run.endsAt:
		gang.settled = true
		for i := range job.spec.Tasks {
			job.doneTasks[model.TaskName(job.spec.ID, i)] = true
		}
		sim.tracef("gang %s attempt %d is done", job.spec.ID, gang.attempt)
		wk.exitTask(name, run, model.CauseDone)
	}
}

// advanceSavingGangTask ends a task once all tasks have saved, or when it has lost its
// peers.
func (wk *Worker) advanceSavingGangTask(name string, run *taskRun, gang *gangAttempt) {
	sim, job := wk.sim, gang.job
	if sim.Now >= run.endsAt {
		gang.savedTasks[name] = true
	}
	if len(gang.savedTasks) == job.spec.Tasks && gang.brokenAt == 0 && !gang.settled {
		gang.settled = true
		job.savedProgress += gang.killedAt - gang.startedAt
		sim.tracef("gang %s attempt %d has saved %v", job.spec.ID, gang.attempt, job.savedProgress)
	}
	switch {
	case run.saved, gang.settled && gang.brokenAt == 0:
		run.saved = true
		wk.exitTask(name, run, model.CauseStopped)
	case gang.hasLostPeers(sim.Now, sim.Options.Config.GangPeerTimeout):
		gang.settleProgress(sim.Now)
		wk.exitTask(name, run, model.CausePeerLost)
	}
}

// stopGangTask stops a gang's task that has its image. A running task with checkpoints
// saves first if the order gives a grace period that is long enough, and if the first such
// order for the attempt came at most GangPeerTimeout ago.
func (wk *Worker) stopGangTask(name string, run *taskRun, job *jobRecord, graceS *float64) {
	sim, gang := wk.sim, job.gangAttemptFor(run.attempt)
	if run.state == model.TaskRunning && job.spec.CheckpointEveryS > 0 && graceS != nil && *graceS >= job.spec.CheckpointCostS {
		if gang.killedAt == 0 {
			gang.killedAt = sim.Now
		}
		if sim.Now <= gang.killedAt+sim.Options.Config.GangPeerTimeout {
			run.state, run.endsAt, wk.hasChanges = model.TaskSaving, sim.Now+time.Duration(job.spec.CheckpointCostS*float64(time.Second)), true
			return
		}
	}
	if run.state == model.TaskSaving && (graceS == nil || *graceS > 0) {
		return // it is saving already; only a grace period of 0 ends that
	}
	wk.exitTask(name, run, model.CauseStopped)
}
