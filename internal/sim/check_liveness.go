package sim

import (
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// What is judged besides the rules: that everybody is served and answered.

// maxWaitWithCapacity is how long a job may wait, once troubles are over, beside a
// machine that has room for it (as the operators added to the protocol).
const maxWaitWithCapacity = 90 * time.Second

// CheckWaiting looks each second, from now on, for jobs that wait though a machine
// that they may use has room and their team is under its limit.
func (c *Checker) CheckWaiting() {
	for _, id := range sortedKeys(c.jobs) {
		t := c.jobs[id]
		if !t.accepted || t.cancelRequested || !c.canStart(t) {
			t.waitedWithCapacity = 0
			continue
		}
		if t.waitedWithCapacity += time.Second; t.waitedWithCapacity == maxWaitWithCapacity {
			c.reportViolation("left_waiting", "%s: %d of %d tasks on machines, %d done", id, len(t.runningOn), t.spec.Tasks, len(t.doneTasks))
		}
	}
	c.sim.After(time.Second, c.CheckWaiting)
}

// canStart says whether a task of t that is on no machine could be on one; of a
// gang, all of them.
func (c *Checker) canStart(t *jobRecord) bool {
	j := &t.spec
	left, used, zones := c.placement(t)
	limit := c.sim.Options.Config.Teams[j.Team].Limit.CPUs
	if left <= 0 || limit > 0 && used+j.CPUs > limit {
		return false
	}
	need := 1
	if j.Kind == model.KindGang {
		need = j.Tasks
	}
	room := map[string]int{} // by zone, or in all of them
	for _, e := range sortedKeys(c.sim.Workers) {
		wk := c.sim.Workers[e]
		if !wk.acceptsTasks() || !allowsPlacement(j, wk, zones) {
			continue
		}
		zone := wk.info.Zone
		if !j.OneZone {
			zone = ""
		}
		if room[zone] += wk.taskCapacity(t); room[zone] >= need {
			return true
		}
	}
	return false
}

// placement counts the tasks of t that want a machine, the CPUs that its team uses,
// and t's tasks on machines by zone.
func (c *Checker) placement(t *jobRecord) (left int, used float64, zones map[string]int) {
	left, zones = t.spec.Tasks-len(t.doneTasks), map[string]int{}
	for task, wk := range t.runningOn {
		if !t.doneTasks[task] {
			left--
		}
		zones[wk.info.Zone]++
	}
	fetching := map[string]bool{}
	for _, e := range sortedKeys(c.sim.Workers) {
		for task, r := range c.sim.Workers[e].tasks {
			o := c.jobOf(task)
			if r.state != model.TaskExited && o.spec.Team == t.spec.Team {
				used += o.spec.CPUs
			}
			if r.state == model.TaskFetching && o == t && !fetching[task] && !t.doneTasks[task] {
				fetching[task] = true
				left--
				zones[c.sim.Workers[e].info.Zone]++
			}
		}
	}
	return left, used, zones
}

// acceptsTasks says whether the machine is in reach and stays.
func (wk *Worker) acceptsTasks() bool {
	return !wk.Paused && !wk.CannotReceive && !wk.CannotReport && wk.reclaimAt == 0
}

// allowsPlacement says whether a task of j may be on wk, beside its tasks in each zone.
func allowsPlacement(j *model.Job, wk *Worker, zones map[string]int) bool {
	here := zones[wk.info.Zone]
	switch {
	case !j.AllowsType(wk.info.Type), j.Zone != "" && j.Zone != wk.info.Zone, wk.info.Spot && !j.Spot:
		return false
	case j.Spread && here >= j.MaxTasksPerZone():
		return false
	}
	return !j.OneZone || here > 0 || len(zones) == 0
}

// CountBatchJobs counts the jobs that were accepted and neither cancelled nor services,
// and how many of them users were told are done.
func (c *Checker) CountBatchJobs() (accepted, done int) {
	for _, t := range c.jobs {
		if t.accepted && !t.cancelRequested && t.spec.Kind == model.KindBatch {
			accepted++
			if t.confirmedDone {
				done++
			}
		}
	}
	return
}

// maxStartDelay is what the protocol allows the largest jobs to begin.
const maxStartDelay = 4 * time.Minute

// CheckServed checks at the end of a day that every class and team, and the largest
// jobs of each class, had at least half of their accepted, uncancelled jobs
// begun, and that the largest began in time.
func (c *Checker) CheckServed() {
	type tally struct{ jobs, begun int }
	count := map[string]*tally{}
	add := func(group string, t *jobRecord) {
		g := count[group]
		if g == nil {
			g = &tally{}
			count[group] = g
		}
		g.jobs++
		if t.firstStartedAt != 0 {
			g.begun++
		}
	}
	largest := map[string]int{}
	for _, t := range c.jobs {
		largest[t.spec.Class] = max(largest[t.spec.Class], t.spec.Tasks)
	}
	for _, id := range sortedKeys(c.jobs) {
		t := c.jobs[id]
		if !t.accepted || t.cancelRequested {
			continue
		}
		add("class "+t.spec.Class, t)
		add("team "+t.spec.Team, t)
		if t.spec.Tasks == largest[t.spec.Class] {
			add("largest of "+t.spec.Class, t)
			if (t.firstStartedAt == 0 && c.sim.Now-t.submittedAt > maxStartDelay) || t.firstStartedAt-t.submittedAt > maxStartDelay {
				c.reportViolation("starved", "%s, a largest job of its class, had not begun %v after it was submitted", id, maxStartDelay)
			}
		}
	}
	for _, group := range sortedKeys(count) {
		if g := count[group]; 2*g.begun < g.jobs {
			c.reportViolation("starved", "%s: %d of %d jobs begun", group, g.begun, g.jobs)
		}
	}
}

// CheckKnown has every node asked for every accepted job and checks the answers:
// within the time given all must be right, and what wasn't cancelled is done
// or runs.
func (c *Checker) CheckKnown(within time.Duration) {
	for _, id := range sortedKeys(c.jobs) {
		t := c.jobs[id]
		if !t.accepted {
			continue
		}
		for _, n := range c.sim.Controllers {
			answered := false
			asked := c.sim.Now
			var try func()
			try = func() {
				if answered || c.sim.Now > asked+within {
					return
				}
				sent := c.sim.Now
				n.sendRequest("users", func(req uint64) core.Event { return core.Poll{RequestID: req, ID: id} }, func(r core.Reply) {
					c.checkReply(t, sent, r)
					answered = answered || r.Status == 200
				})
				c.sim.After(2*time.Second, try)
			}
			try()
			c.sim.At(asked+within, func() {
				if !answered {
					c.reportViolation("forgotten", "%s: no answer from %s in %v", id, n.Name, within)
				}
			})
		}
		if t.spec.Kind == model.KindService && !t.cancelRequested {
			c.sim.At(c.sim.Now+within, func() {
				if len(t.runningOn) != t.spec.Tasks {
					c.reportViolation("forgotten", "%s: %d of %d replicas run", id, len(t.runningOn), t.spec.Tasks)
				}
			})
		}
	}
}
