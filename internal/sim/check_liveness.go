package sim

import (
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// This file checks progress, where check.go checks safety: that all jobs are run and all
// requests are answered.

// maxWaitWithCapacity is how long a job may wait after the end of the faults while a
// machine has capacity for it. The operators have added this bound to the protocol.
const maxWaitWithCapacity = 90 * time.Second

// CheckWaiting checks every second from now on that no job waits for
// maxWaitWithCapacity although machines that it may use have capacity for it and its
// team is below its limit.
func (c *Checker) CheckWaiting() {
	for _, id := range sortedKeys(c.jobs) {
		job := c.jobs[id]
		if !job.accepted || job.cancelRequested || !c.canStart(job) {
			job.waitedWithCapacity = 0
			continue
		}
		if job.waitedWithCapacity += time.Second; job.waitedWithCapacity == maxWaitWithCapacity {
			c.reportViolation("left_waiting", "%s waits although there is capacity for it: %d of %d tasks on machines, %d done", id, len(job.runningOn), job.spec.Tasks, len(job.doneTasks))
		}
	}
	c.sim.After(time.Second, c.CheckWaiting)
}

// canStart reports whether a waiting task of the job could be placed on a machine now.
// For a gang, all its tasks must fit on the machines at once, but the team's limit is
// checked for one task only.
func (c *Checker) canStart(job *jobRecord) bool {
	spec := &job.spec
	waiting, usedCPUs, tasksInZone := c.placement(job)
	limit := c.sim.Options.Config.Teams[spec.Team].Limit.CPUs
	if waiting <= 0 || limit > 0 && usedCPUs+spec.CPUs > limit {
		return false
	}
	needed := 1
	if spec.Kind == model.KindGang {
		needed = spec.Tasks
	}
	capacity := map[string]int{} // tasks that fit, by zone or (with key "") in all zones
	for _, endpoint := range sortedKeys(c.sim.Workers) {
		wk := c.sim.Workers[endpoint]
		if !wk.acceptsTasks() || !allowsPlacement(spec, wk, tasksInZone) {
			continue
		}
		zone := wk.info.Zone
		if !spec.OneZone {
			zone = ""
		}
		if capacity[zone] += wk.taskCapacity(job); capacity[zone] >= needed {
			return true
		}
	}
	return false
}

// placement returns how many tasks of the job wait for a machine, the CPUs that its team
// uses, and how many of the job's tasks are on machines in each zone. Tasks that fetch
// their image count as on a machine.
func (c *Checker) placement(job *jobRecord) (waiting int, usedCPUs float64, tasksInZone map[string]int) {
	waiting, tasksInZone = job.spec.Tasks-len(job.doneTasks), map[string]int{}
	for task, wk := range job.runningOn {
		if !job.doneTasks[task] {
			waiting--
		}
		tasksInZone[wk.info.Zone]++
	}
	fetching := map[string]bool{}
	for _, endpoint := range sortedKeys(c.sim.Workers) {
		for task, run := range c.sim.Workers[endpoint].tasks {
			other := c.jobOf(task)
			if run.state != model.TaskExited && other.spec.Team == job.spec.Team {
				usedCPUs += other.spec.CPUs
			}
			if run.state == model.TaskFetching && other == job && !fetching[task] && !job.doneTasks[task] {
				fetching[task] = true
				waiting--
				tasksInZone[c.sim.Workers[endpoint].info.Zone]++
			}
		}
	}
	return waiting, usedCPUs, tasksInZone
}

// acceptsTasks reports whether the machine is not paused or being reclaimed, commands
// reach it, and its reports reach the controllers.
func (wk *Worker) acceptsTasks() bool {
	return !wk.Paused && !wk.CannotReceive && !wk.CannotReport && wk.reclaimAt == 0
}

// allowsPlacement reports whether a job permits another of its tasks on a machine, given
// its tasks in each zone.
func allowsPlacement(spec *model.Job, wk *Worker, tasksInZone map[string]int) bool {
	inZone := tasksInZone[wk.info.Zone]
	switch {
	case !spec.AllowsType(wk.info.Type), spec.Zone != "" && spec.Zone != wk.info.Zone, wk.info.Spot && !spec.Spot:
		return false
	case spec.Spread && inZone >= spec.MaxTasksPerZone():
		return false
	}
	return !spec.OneZone || inZone > 0 || len(tasksInZone) == 0
}

// CountBatchJobs returns the number of accepted batch jobs that were not cancelled, and
// how many of them were confirmed to their users as done.
func (c *Checker) CountBatchJobs() (accepted, done int) {
	for _, job := range c.jobs {
		if job.accepted && !job.cancelRequested && job.spec.Kind == model.KindBatch {
			accepted++
			if job.confirmedDone {
				done++
			}
		}
	}
	return
}

// maxStartDelay is the time within which the protocol requires the largest jobs to
// start.
const maxStartDelay = 4 * time.Minute

// CheckServed checks at the end of a run that at least half of the accepted, uncancelled
// jobs have started in every class, in every team and among the largest jobs of each
// class, which are those with the most tasks. It also checks that each of the largest
// jobs started within maxStartDelay of its submission. A job starts with its first task.
func (c *Checker) CheckServed() {
	type tally struct{ jobs, started int }
	tallies := map[string]*tally{}
	add := func(group string, job *jobRecord) {
		groupTally := tallies[group]
		if groupTally == nil {
			groupTally = &tally{}
			tallies[group] = groupTally
		}
		groupTally.jobs++
		if job.firstStartedAt != 0 {
			groupTally.started++
		}
	}
	largest := map[string]int{}
	for _, job := range c.jobs {
		largest[job.spec.Class] = max(largest[job.spec.Class], job.spec.Tasks)
	}
	for _, id := range sortedKeys(c.jobs) {
		job := c.jobs[id]
		if !job.accepted || job.cancelRequested {
			continue
		}
		add("class "+job.spec.Class, job)
		add("team "+job.spec.Team, job)
		if job.spec.Tasks == largest[job.spec.Class] {
			add("largest of "+job.spec.Class, job)
			if (job.firstStartedAt == 0 && c.sim.Now-job.submittedAt > maxStartDelay) || job.firstStartedAt-job.submittedAt > maxStartDelay {
				c.reportViolation("starved", "%s, a largest job of its class, had not started %v after it was submitted", id, maxStartDelay)
			}
		}
	}
	for _, group := range sortedKeys(tallies) {
		if groupTally := tallies[group]; 2*groupTally.started < groupTally.jobs {
			c.reportViolation("starved", "%s: got %d of %d jobs started, want at least half", group, groupTally.started, groupTally.jobs)
		}
	}
}

// CheckKnown polls every accepted job at every controller and checks the answers. Each
// controller must answer with 200 within the given time. All replicas of services that
// were not cancelled must run at the end of that time.
func (c *Checker) CheckKnown(within time.Duration) {
	for _, id := range sortedKeys(c.jobs) {
		job := c.jobs[id]
		if !job.accepted {
			continue
		}
		for _, controller := range c.sim.Controllers {
			isAnswered := false
			startedAt := c.sim.Now
			var poll func()
			poll = func() {
				if isAnswered || c.sim.Now > startedAt+within {
					return
				}
				askedAt := c.sim.Now
				controller.sendRequest("users", func(req uint64) core.Event { return core.Poll{RequestID: req, ID: id} }, func(reply core.Reply) {
					c.checkReply(job, askedAt, reply)
					isAnswered = isAnswered || reply.Status == 200
				})
				c.sim.After(2*time.Second, poll)
			}
			poll()
			c.sim.At(startedAt+within, func() {
				if !isAnswered {
					c.reportViolation("forgotten", "%s: no answer with status 200 from %s within %v", id, controller.Name, within)
				}
			})
		}
		if job.spec.Kind == model.KindService && !job.cancelRequested {
			c.sim.At(c.sim.Now+within, func() {
				if len(job.runningOn) != job.spec.Tasks {
					c.reportViolation("forgotten", "%s: got %d of %d replicas running, want all", id, len(job.runningOn), job.spec.Tasks)
				}
			})
		}
	}
}
