package sim

import (
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// What is judged besides the rules: that everybody is served and answered.

// leftWaiting is how long a job may wait, once troubles are over, beside a
// machine that has room for it (as the operators added to the protocol).
const leftWaiting = 90 * time.Second

// Waits looks each second, from now on, for jobs that wait though a machine
// that they may use has room and their team is under its limit.
func (c *Checker) Waits() {
	for _, id := range sortedKeys(c.jobs) {
		t := c.jobs[id]
		if !t.accepted || t.asked || !c.couldStart(t) {
			t.waits = 0
			continue
		}
		if t.waits += time.Second; t.waits == leftWaiting {
			c.broken("left_waiting", "%s: %d of %d tasks on machines, %d done", id, len(t.on), t.spec.Tasks, len(t.done))
		}
	}
	c.w.After(time.Second, c.Waits)
}

// couldStart says whether a task of t that is on no machine could be on one; of a
// gang, all of them.
func (c *Checker) couldStart(t *truth) bool {
	j := &t.spec
	left, used, zones := c.placed(t)
	limit := c.w.Opt.Config.Teams[j.Team].Limit.CPUs
	if left <= 0 || limit > 0 && used+j.CPUs > limit {
		return false
	}
	need := 1
	if j.Kind == model.KindGang {
		need = j.Tasks
	}
	room := map[string]int{} // by zone, or in all of them
	for _, e := range sortedKeys(c.w.Workers) {
		wk := c.w.Workers[e]
		if !wk.takesWork() || !allows(j, wk, zones) {
			continue
		}
		zone := wk.info.Zone
		if !j.OneZone {
			zone = ""
		}
		if room[zone] += wk.fits(t); room[zone] >= need {
			return true
		}
	}
	return false
}

// placed counts the tasks of t that want a machine, the CPUs that its team uses,
// and t's tasks on machines by zone.
func (c *Checker) placed(t *truth) (left int, used float64, zones map[string]int) {
	left, zones = t.spec.Tasks-len(t.done), map[string]int{}
	for task, wk := range t.on {
		if !t.done[task] {
			left--
		}
		zones[wk.info.Zone]++
	}
	fetching := map[string]bool{}
	for _, e := range sortedKeys(c.w.Workers) {
		for task, r := range c.w.Workers[e].tasks {
			o := c.jobOf(task)
			if r.state != model.TaskExited && o.spec.Team == t.spec.Team {
				used += o.spec.CPUs
			}
			if r.state == model.TaskFetching && o == t && !fetching[task] && !t.done[task] {
				fetching[task] = true
				left--
				zones[c.w.Workers[e].info.Zone]++
			}
		}
	}
	return left, used, zones
}

// takesWork says whether the machine is in reach and stays.
func (wk *Worker) takesWork() bool {
	return !wk.Hung && !wk.Deaf && !wk.Mute && wk.recallAt == 0
}

// allows says whether a task of j may be on wk, beside its tasks in each zone.
func allows(j *model.Job, wk *Worker, zones map[string]int) bool {
	here := zones[wk.info.Zone]
	switch {
	case !j.AllowsType(wk.info.Type), j.Zone != "" && j.Zone != wk.info.Zone, wk.info.Spot && !j.Spot:
		return false
	case j.Spread && here >= j.MaxTasksPerZone():
		return false
	}
	return !j.OneZone || here > 0 || len(zones) == 0
}

// Jobs counts the jobs that were accepted and neither cancelled nor services,
// and how many of them users were told are done.
func (c *Checker) Jobs() (accepted, done int) {
	for _, t := range c.jobs {
		if t.accepted && !t.asked && t.spec.Kind == model.KindBatch {
			accepted++
			if t.toldDone {
				done++
			}
		}
	}
	return
}

// beginWithin is what the protocol allows the largest jobs to begin.
const beginWithin = 4 * time.Minute

// Served checks at the end of a day that every class and team, and the largest
// jobs of each class, had at least half of their accepted, uncancelled jobs
// begun, and that the largest began in time.
func (c *Checker) Served() {
	type tally struct{ jobs, begun int }
	count := map[string]*tally{}
	add := func(group string, t *truth) {
		g := count[group]
		if g == nil {
			g = &tally{}
			count[group] = g
		}
		g.jobs++
		if t.began != 0 {
			g.begun++
		}
	}
	largest := map[string]int{}
	for _, t := range c.jobs {
		largest[t.spec.Class] = max(largest[t.spec.Class], t.spec.Tasks)
	}
	for _, id := range sortedKeys(c.jobs) {
		t := c.jobs[id]
		if !t.accepted || t.asked {
			continue
		}
		add("class "+t.spec.Class, t)
		add("team "+t.spec.Team, t)
		if t.spec.Tasks == largest[t.spec.Class] {
			add("largest of "+t.spec.Class, t)
			if (t.began == 0 && c.w.Now-t.at > beginWithin) || t.began-t.at > beginWithin {
				c.broken("starved", "%s, a largest job of its class, had not begun %v after it was submitted", id, beginWithin)
			}
		}
	}
	for _, group := range sortedKeys(count) {
		if g := count[group]; 2*g.begun < g.jobs {
			c.broken("starved", "%s: %d of %d jobs begun", group, g.begun, g.jobs)
		}
	}
}

// Known has every node asked for every accepted job and checks the answers:
// within the time given all must be right, and what wasn't cancelled is done
// or runs.
func (c *Checker) Known(within time.Duration) {
	for _, id := range sortedKeys(c.jobs) {
		t := c.jobs[id]
		if !t.accepted {
			continue
		}
		for _, n := range c.w.Nodes {
			answered := false
			asked := c.w.Now
			var try func()
			try = func() {
				if answered || c.w.Now > asked+within {
					return
				}
				sent := c.w.Now
				n.ask("users", func(req uint64) core.Event { return core.Poll{RequestID: req, ID: id} }, func(r core.Reply) {
					c.told(t, sent, r)
					answered = answered || r.Status == 200
				})
				c.w.After(2*time.Second, try)
			}
			try()
			c.w.At(asked+within, func() {
				if !answered {
					c.broken("forgotten", "%s: no answer from %s in %v", id, n.Name, within)
				}
			})
		}
		if t.spec.Kind == model.KindService && !t.asked {
			c.w.At(c.w.Now+within, func() {
				if len(t.on) != t.spec.Tasks {
					c.broken("forgotten", "%s: %d of %d replicas run", id, len(t.on), t.spec.Tasks)
				}
			})
		}
	}
}
