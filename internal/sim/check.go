package sim

import (
	"fmt"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// Checker checks the rules of the protocol against what really happened in the
// simulation.
type Checker struct {
	sim  *Simulation
	jobs map[string]*jobRecord
	// Violations are the violations found, each with its time, rule and details.
	Violations []string
	TaskStarts int // tasks that have started, as taskStarted counts them
	JobsDone   int // jobs that were confirmed as done
	// StartsAfterCancellation counts tasks that started after the cancellation of their
	// job was confirmed to its user.
	StartsAfterCancellation int
	// CancelledTasksStopped counts tasks that stopped after the cancellation of their
	// job was confirmed. LeastMargin is the smallest time that remained of CancelWithin
	// when such a task stopped, and LeastMarginTask is that task ("" if there is none).
	CancelledTasksStopped int
	LeastMargin           time.Duration
	LeastMarginTask       string
}

// jobRecord records what really happened to a job.
type jobRecord struct {
	spec               model.Job
	runTime            time.Duration // run time of the first task, or of a gang
	runTimeStep        time.Duration // how much longer each task runs than the one before
	accepted           bool          // a submission was answered with 200 or 201
	acceptedAt         time.Duration
	savedProgress      time.Duration // of a gang: progress in its last checkpoint
	gangAttempts       map[uint64]*gangAttempt
	waitedWithCapacity time.Duration      // how long it has waited without interruption although there is capacity for it
	submittedAt        time.Duration      // first submission
	firstStartedAt     time.Duration      // first start of a task; 0: none yet
	cancelRequested    bool               // its user has requested its cancellation
	doneTasks          map[string]bool    // tasks that have completed
	runningOn          map[string]*Worker // machines of the tasks that have started (see taskStarted), by task name
	confirmedDone      bool               // its user was told that it is done
	endConfirmedAt     time.Duration      // when its user was first told that it is done or cancelled; 0: not yet
	cancelConfirmedAt  time.Duration      // when its user was first told that it is cancelled; 0: not yet
}

// reportViolation records a violation of a rule.
func (c *Checker) reportViolation(rule, format string, args ...any) {
	line := rule + ": " + fmt.Sprintf(format, args...)
	c.sim.tracef("BROKEN %s", line)
	c.Violations = append(c.Violations, fmt.Sprintf("%.3f %s", c.sim.Now.Seconds(), line))
}

// addJob adds a job at its first submission.
func (c *Checker) addJob(spec model.Job, runTime time.Duration) *jobRecord {
	job := &jobRecord{spec: spec, runTime: runTime, doneTasks: map[string]bool{}, runningOn: map[string]*Worker{}, gangAttempts: map[uint64]*gangAttempt{}}
	c.jobs[spec.ID] = job
	return job
}

// jobOf returns the job of a task, or nil if it was never submitted.
func (c *Checker) jobOf(task string) *jobRecord {
	id, _, _ := model.ParseTaskName(task)
	return c.jobs[id]
}

// taskStarted records that a task has started on a machine, and checks that it may run
// there and now. A gang's task counts as started when it begins to gather, that is, has its
// image and waits for the gang's other tasks.
func (c *Checker) taskStarted(task string, wk *Worker, run *taskRun) {
	job := c.jobOf(task)
	c.TaskStarts++
	c.sim.tracef("task %s attempt %d runs on %s", task, run.attempt, wk.info.Host)
	if other := job.runningOn[task]; other != nil {
		c.reportViolation("ran_twice", "%s runs on %s and %s", task, other.info.Host, wk.info.Host)
	}
	spec := &job.spec
	if !spec.AllowsType(wk.info.Type) || spec.Zone != "" && spec.Zone != wk.info.Zone || wk.info.Spot && !spec.Spot {
		c.reportViolation("wrong_place", "%s runs on %s, which its job does not permit", task, wk.info.Host)
	}
	inZone := 1
	for _, other := range job.runningOn {
		if other.info.Zone == wk.info.Zone {
			inZone++
		} else if spec.OneZone {
			c.reportViolation("wrong_place", "%s runs in %s and other tasks in %s, want all in one zone", task, wk.info.Zone, other.info.Zone)
		}
	}
	if spec.Spread && inZone > spec.MaxTasksPerZone() {
		c.reportViolation("wrong_place", "%d tasks of %s run in %s, more than its spread permits", inZone, spec.ID, wk.info.Zone)
	}
	if job.cancelConfirmedAt != 0 && c.sim.Now > job.cancelConfirmedAt+c.sim.Options.Config.CancelWithin {
		c.reportViolation("ran_cancelled", "%s starts after the time allowed to stop cancelled tasks", task)
	}
	if job.cancelConfirmedAt != 0 {
		c.StartsAfterCancellation++
		// A start order that was on its way, also to a paused machine, can arrive after
		// the confirmation. But from CancelWithin - Lease after the confirmation on, even
		// the oldest view of the state that a leader may act on contains the
		// cancellation, so no task may start any more.
		if limit := c.sim.Options.Config.CancelWithin - c.sim.Options.Config.Lease; c.sim.Now > job.cancelConfirmedAt+limit {
			c.reportViolation("late_start", "%s starts, its cancellation was confirmed at %v", task, job.cancelConfirmedAt)
		}
	}
	job.runningOn[task] = wk
	if job.firstStartedAt == 0 {
		job.firstStartedAt = c.sim.Now
	}
	c.checkQuota(spec.Team)
}

// checkQuota checks that a team's started tasks are within its limit of CPUs.
func (c *Checker) checkQuota(team string) {
	limit := c.sim.Options.Config.Teams[team].Limit
	if limit.CPUs == 0 {
		return
	}
	used := 0.0
	for _, job := range c.jobs {
		if job.spec.Team == team {
			used += float64(len(job.runningOn)) * job.spec.CPUs
		}
	}
	if used > limit.CPUs+1e-6 {
		c.reportViolation("quota", "team %s uses %v of %v CPUs", team, used, limit.CPUs)
	}
}

// taskStopped records that a task has left a machine or exited there.
func (c *Checker) taskStopped(task string, wk *Worker, run *taskRun) {
	if job := c.jobOf(task); job != nil && job.runningOn[task] == wk {
		delete(job.runningOn, task)
		c.recordCancelMargin(task, job)
		if job.spec.Kind == model.KindGang && !job.doneTasks[task] {
			job.gangAttemptFor(run.attempt).taskGone(task, c.sim.Now)
		}
		c.sim.tracef("task %s attempt %d leaves %s", task, run.attempt, wk.info.Host)
	}
}

// recordCancelMargin records how much of CancelWithin remained when a cancelled task
// stopped. It shows which scenarios come close to violating ran_cancelled.
func (c *Checker) recordCancelMargin(task string, job *jobRecord) {
	if job.cancelConfirmedAt == 0 {
		return
	}
	c.CancelledTasksStopped++
	margin := job.cancelConfirmedAt + c.sim.Options.Config.CancelWithin - c.sim.Now
	if c.LeastMarginTask == "" || margin < c.LeastMargin {
		c.LeastMargin, c.LeastMarginTask = margin, task
	}
}

// checkReply checks an answer to a user against what really happened and against earlier
// answers. If the user sent the request before the end of the job was confirmed, the
// answer may still show the job as running, since the two messages can cross.
func (c *Checker) checkReply(job *jobRecord, askedAt time.Duration, reply core.Reply) {
	id := job.spec.ID
	if job.accepted && askedAt >= job.acceptedAt && (reply.Status == 404 || reply.Status == 400 || reply.Status == 422) {
		c.reportViolation("forgotten", "%s was accepted, but a request for it got status %d", id, reply.Status)
	}
	status, ok := reply.Body.(core.JobStatus)
	if !ok || reply.Status != 200 && reply.Status != 201 {
		return
	}
	if askedAt >= job.endConfirmedAt && (job.confirmedDone && status.Phase != model.PhaseDone || job.cancelConfirmedAt != 0 && status.Phase != model.PhaseAborted) {
		c.reportViolation("went_back", "%s is reported %s after its end was confirmed", id, status.Phase)
	}
	switch status.Phase {
	case model.PhaseDone:
		c.checkDone(job)
	case model.PhaseAborted:
		c.checkCancelled(job)
	}
}

// checkDone checks that all tasks of a job that is reported as done have completed.
func (c *Checker) checkDone(job *jobRecord) {
	if len(job.doneTasks) < job.spec.Tasks {
		c.reportViolation("not_done", "%s is reported done with %d of %d tasks done", job.spec.ID, len(job.doneTasks), job.spec.Tasks)
	}
	if !job.confirmedDone {
		job.confirmedDone, job.endConfirmedAt = true, c.sim.Now
		c.JobsDone++
		c.sim.Users.probeAllControllers(job)
	}
}

// checkCancelled checks that a job reported as cancelled was cancelled by its user, and
// that all its tasks are gone within CancelWithin of the first such report.
func (c *Checker) checkCancelled(job *jobRecord) {
	if !job.cancelRequested {
		c.reportViolation("went_back", "%s is reported cancelled, but its user did not cancel it", job.spec.ID)
	}
	if job.cancelConfirmedAt != 0 {
		return
	}
	job.cancelConfirmedAt, job.endConfirmedAt = c.sim.Now, c.sim.Now
	c.sim.Users.probeAllControllers(job)
	limit := c.sim.Options.Config.CancelWithin
	c.sim.After(limit+time.Millisecond, func() {
		for task := range job.runningOn {
			c.reportViolation("ran_cancelled", "%s still runs after the time allowed to stop cancelled tasks", task)
		}
	})
}
