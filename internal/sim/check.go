package sim

import (
	"fmt"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// Checker watches the rules of the protocol, knowing what really happened.
type Checker struct {
	sim        *Simulation
	jobs       map[string]*jobRecord
	Violations []string
	TaskStarts int
	JobsDone   int
	// StartsAfterCancellation counts tasks that began after their job was confirmed as
	// cancelled.
	StartsAfterCancellation int
	// CancelledTasksStopped counts tasks that were on a machine when their job's user was told
	// that it is cancelled. LeastMargin is the least time that was left of what is
	// allowed when such a task had gone, LeastMarginTask that task ("": none yet).
	CancelledTasksStopped int
	LeastMargin           time.Duration
	LeastMarginTask       string
}

// jobRecord is what really became of a job.
type jobRecord struct {
	spec               model.Job
	runTime            time.Duration
	runTimeStep        time.Duration // by which each task takes longer than the one before
	accepted           bool
	acceptedAt         time.Duration
	savedProgress      time.Duration // of a gang, saved
	gangAttempts       map[uint64]*gangAttempt
	waitedWithCapacity time.Duration // for how long it has waited beside room for it
	submittedAt        time.Duration // first attempt to submit
	firstStartedAt     time.Duration // first start of a task; 0: none
	cancelRequested    bool          // its user asked to cancel it
	doneTasks          map[string]bool
	runningOn          map[string]*Worker
	confirmedDone      bool
	endConfirmedAt     time.Duration // when it was first told done or cancelled
	cancelConfirmedAt  time.Duration
}

func (c *Checker) reportViolation(rule, format string, args ...any) {
	line := rule + ": " + fmt.Sprintf(format, args...)
	c.sim.tracef("BROKEN %s", line)
	c.Violations = append(c.Violations, fmt.Sprintf("%.3f %s", c.sim.Now.Seconds(), line))
}

func (c *Checker) addJob(spec model.Job, runTime time.Duration) *jobRecord {
	t := &jobRecord{spec: spec, runTime: runTime, doneTasks: map[string]bool{}, runningOn: map[string]*Worker{}, gangAttempts: map[uint64]*gangAttempt{}}
	c.jobs[spec.ID] = t
	return t
}

func (c *Checker) jobOf(task string) *jobRecord {
	id, _, _ := model.ParseTaskName(task)
	return c.jobs[id]
}

// taskStarted notes that a task is on a machine from now.
func (c *Checker) taskStarted(task string, wk *Worker, r *taskRun) {
	t := c.jobOf(task)
	c.TaskStarts++
	c.sim.tracef("task %s attempt %d runs on %s", task, r.attempt, wk.info.Host)
	if o := t.runningOn[task]; o != nil {
		c.reportViolation("ran_twice", "%s on %s and %s", task, o.info.Host, wk.info.Host)
	}
	j := &t.spec
	if !j.AllowsType(wk.info.Type) || j.Zone != "" && j.Zone != wk.info.Zone || wk.info.Spot && !j.Spot {
		c.reportViolation("wrong_place", "%s on %s", task, wk.info.Host)
	}
	here := 1
	for _, o := range t.runningOn {
		if o.info.Zone == wk.info.Zone {
			here++
		} else if j.OneZone {
			c.reportViolation("wrong_place", "%s in %s, others in %s", task, wk.info.Zone, o.info.Zone)
		}
	}
	if j.Spread && here > j.MaxTasksPerZone() {
		c.reportViolation("wrong_place", "%d of %s in %s", here, j.ID, wk.info.Zone)
	}
	if t.cancelConfirmedAt != 0 && c.sim.Now > t.cancelConfirmedAt+c.sim.Options.Config.CancelWithin {
		c.reportViolation("ran_cancelled", "%s starts", task)
	}
	if t.cancelConfirmedAt != 0 {
		c.StartsAfterCancellation++
		// A start on its way, to a machine that hangs too, can come later than the
		// confirmation; but nobody may send one once the stalest view is over.
		if limit := c.sim.Options.Config.CancelWithin - c.sim.Options.Config.Lease; c.sim.Now > t.cancelConfirmedAt+limit {
			c.reportViolation("late_start", "%s starts, confirmed as cancelled at %v", task, t.cancelConfirmedAt)
		}
	}
	t.runningOn[task] = wk
	if t.firstStartedAt == 0 {
		t.firstStartedAt = c.sim.Now
	}
	c.checkQuota(j.Team)
}

func (c *Checker) checkQuota(team string) {
	lim := c.sim.Options.Config.Teams[team].Limit
	if lim.CPUs == 0 {
		return
	}
	used := 0.0
	for _, t := range c.jobs {
		if t.spec.Team == team {
			used += float64(len(t.runningOn)) * t.spec.CPUs
		}
	}
	if used > lim.CPUs+1e-6 {
		c.reportViolation("quota", "team %s uses %v of %v CPUs", team, used, lim.CPUs)
	}
}

// taskStopped notes that a task has left a machine.
func (c *Checker) taskStopped(task string, wk *Worker, r *taskRun) {
	if t := c.jobOf(task); t != nil && t.runningOn[task] == wk {
		delete(t.runningOn, task)
		c.recordCancelMargin(task, t)
		if t.spec.Kind == model.KindGang && !t.doneTasks[task] {
			t.gangAttemptFor(r.attempt).taskGone(task, c.sim.Now)
		}
		c.sim.tracef("task %s attempt %d leaves %s", task, r.attempt, wk.info.Host)
	}
}

// recordCancelMargin notes how much of the time allowed was left when a cancelled task had
// gone. It shows which days come near to breaking ran_cancelled.
func (c *Checker) recordCancelMargin(task string, t *jobRecord) {
	if t.cancelConfirmedAt == 0 {
		return
	}
	c.CancelledTasksStopped++
	margin := t.cancelConfirmedAt + c.sim.Options.Config.CancelWithin - c.sim.Now
	if c.LeastMarginTask == "" || margin < c.LeastMargin {
		c.LeastMargin, c.LeastMarginTask = margin, task
	}
}

// checkReply checks an answer to a user against the truth and earlier answers. An
// answer to a question that was asked before the user was told the end of a
// job may still show it alive: the two crossed on the way.
func (c *Checker) checkReply(t *jobRecord, asked time.Duration, r core.Reply) {
	id := t.spec.ID
	if t.accepted && asked >= t.acceptedAt && (r.Status == 404 || r.Status == 400 || r.Status == 422) {
		c.reportViolation("forgotten", "%s is answered %d", id, r.Status)
	}
	st, ok := r.Body.(core.JobStatus)
	if !ok || r.Status != 200 && r.Status != 201 {
		return
	}
	if asked >= t.endConfirmedAt && (t.confirmedDone && st.Phase != model.PhaseDone || t.cancelConfirmedAt != 0 && st.Phase != model.PhaseAborted) {
		c.reportViolation("went_back", "%s is called %s", id, st.Phase)
	}
	switch st.Phase {
	case model.PhaseDone:
		c.checkDone(t)
	case model.PhaseAborted:
		c.checkCancelled(t)
	}
}

// checkDone checks that a job is done as its user is told.
func (c *Checker) checkDone(t *jobRecord) {
	if len(t.doneTasks) < t.spec.Tasks {
		c.reportViolation("not_done", "%s with %d of %d", t.spec.ID, len(t.doneTasks), t.spec.Tasks)
	}
	if !t.confirmedDone {
		t.confirmedDone, t.endConfirmedAt = true, c.sim.Now
		c.JobsDone++
		c.sim.Users.probeAllControllers(t)
	}
}

// checkCancelled checks that a job was cancelled by its user, who is told so, and
// that all its tasks are gone in time.
func (c *Checker) checkCancelled(t *jobRecord) {
	if !t.cancelRequested {
		c.reportViolation("went_back", "%s is called cancelled unasked", t.spec.ID)
	}
	if t.cancelConfirmedAt != 0 {
		return
	}
	t.cancelConfirmedAt, t.endConfirmedAt = c.sim.Now, c.sim.Now
	c.sim.Users.probeAllControllers(t)
	limit := c.sim.Options.Config.CancelWithin
	c.sim.After(limit+time.Millisecond, func() {
		for task := range t.runningOn {
			c.reportViolation("ran_cancelled", "%s", task)
		}
	})
}
