package sim

import (
	"fmt"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// Checker watches the rules of the protocol, knowing what really happened.
type Checker struct {
	w        *World
	jobs     map[string]*truth
	Broken   []string
	Starts   int
	Finished int
	// LateStarts counts tasks that began after their job was confirmed as
	// cancelled.
	LateStarts int
	// Cancelled counts tasks that were on a machine when their job's user was told
	// that it is cancelled. LeastMargin is the least time that was left of what is
	// allowed when such a task had gone, LeastMarginTask that task ("": none yet).
	Cancelled       int
	LeastMargin     time.Duration
	LeastMarginTask string
}

// truth is what really became of a job.
type truth struct {
	spec          model.Job
	runTime       time.Duration
	step          time.Duration // by which each task takes longer than the one before
	accepted      bool
	acceptedAt    time.Duration
	progress      time.Duration // of a gang, saved
	gangs         map[uint64]*gangRun
	waits         time.Duration // for how long it has waited beside room for it
	at            time.Duration // first attempt to submit
	began         time.Duration // first start of a task; 0: none
	asked         bool          // its user asked to cancel it
	done          map[string]bool
	on            map[string]*Worker
	toldDone      bool
	toldAt        time.Duration // when it was first told done or cancelled
	toldCancelled time.Duration
}

func (c *Checker) broken(rule, format string, args ...any) {
	line := rule + ": " + fmt.Sprintf(format, args...)
	c.w.tell("BROKEN %s", line)
	c.Broken = append(c.Broken, fmt.Sprintf("%.3f %s", c.w.Now.Seconds(), line))
}

func (c *Checker) submitted(spec model.Job, runTime time.Duration) *truth {
	t := &truth{spec: spec, runTime: runTime, done: map[string]bool{}, on: map[string]*Worker{}, gangs: map[uint64]*gangRun{}}
	c.jobs[spec.ID] = t
	return t
}

func (c *Checker) jobOf(task string) *truth {
	id, _, _ := model.ParseTaskName(task)
	return c.jobs[id]
}

// on notes that a task is on a machine from now.
func (c *Checker) on(task string, wk *Worker, r *run) {
	t := c.jobOf(task)
	c.Starts++
	c.w.tell("task %s attempt %d runs on %s", task, r.attempt, wk.info.Host)
	if o := t.on[task]; o != nil {
		c.broken("ran_twice", "%s on %s and %s", task, o.info.Host, wk.info.Host)
	}
	j := &t.spec
	if !j.AllowsType(wk.info.Type) || j.Zone != "" && j.Zone != wk.info.Zone || wk.info.Spot && !j.Spot {
		c.broken("wrong_place", "%s on %s", task, wk.info.Host)
	}
	here := 1
	for _, o := range t.on {
		if o.info.Zone == wk.info.Zone {
			here++
		} else if j.OneZone {
			c.broken("wrong_place", "%s in %s, others in %s", task, wk.info.Zone, o.info.Zone)
		}
	}
	if j.Spread && here > j.MaxTasksPerZone() {
		c.broken("wrong_place", "%d of %s in %s", here, j.ID, wk.info.Zone)
	}
	if t.toldCancelled != 0 && c.w.Now > t.toldCancelled+c.w.Opt.Config.CancelWithin {
		c.broken("ran_cancelled", "%s starts", task)
	}
	if t.toldCancelled != 0 {
		c.LateStarts++
		// A start on its way, to a machine that hangs too, can come later than the
		// confirmation; but nobody may send one once the stalest view is over.
		if limit := c.w.Opt.Config.CancelWithin - c.w.Opt.Config.Lease; c.w.Now > t.toldCancelled+limit {
			c.broken("late_start", "%s starts, confirmed as cancelled at %v", task, t.toldCancelled)
		}
	}
	t.on[task] = wk
	if t.began == 0 {
		t.began = c.w.Now
	}
	c.quota(j.Team)
}

func (c *Checker) quota(team string) {
	lim := c.w.Opt.Config.Teams[team].Limit
	if lim.CPUs == 0 {
		return
	}
	used := 0.0
	for _, t := range c.jobs {
		if t.spec.Team == team {
			used += float64(len(t.on)) * t.spec.CPUs
		}
	}
	if used > lim.CPUs+1e-6 {
		c.broken("quota", "team %s uses %v of %v CPUs", team, used, lim.CPUs)
	}
}

// off notes that a task has left a machine.
func (c *Checker) off(task string, wk *Worker, r *run) {
	if t := c.jobOf(task); t != nil && t.on[task] == wk {
		delete(t.on, task)
		c.noteMargin(task, t)
		if t.spec.Kind == model.KindGang && !t.done[task] {
			t.gang(r.attempt).left(task, c.w.Now)
		}
		c.w.tell("task %s attempt %d leaves %s", task, r.attempt, wk.info.Host)
	}
}

// noteMargin notes how much of the time allowed was left when a cancelled task had
// gone. It shows which days come near to breaking ran_cancelled.
func (c *Checker) noteMargin(task string, t *truth) {
	if t.toldCancelled == 0 {
		return
	}
	c.Cancelled++
	margin := t.toldCancelled + c.w.Opt.Config.CancelWithin - c.w.Now
	if c.LeastMarginTask == "" || margin < c.LeastMargin {
		c.LeastMargin, c.LeastMarginTask = margin, task
	}
}

// told checks an answer to a user against the truth and earlier answers. An
// answer to a question that was asked before the user was told the end of a
// job may still show it alive: the two crossed on the way.
func (c *Checker) told(t *truth, asked time.Duration, r core.Reply) {
	id := t.spec.ID
	if t.accepted && asked >= t.acceptedAt && (r.Status == 404 || r.Status == 400 || r.Status == 422) {
		c.broken("forgotten", "%s is answered %d", id, r.Status)
	}
	st, ok := r.Body.(core.JobStatus)
	if !ok || r.Status != 200 && r.Status != 201 {
		return
	}
	if asked >= t.toldAt && (t.toldDone && st.Phase != model.PhaseDone || t.toldCancelled != 0 && st.Phase != model.PhaseAborted) {
		c.broken("went_back", "%s is called %s", id, st.Phase)
	}
	switch st.Phase {
	case model.PhaseDone:
		c.toldDone(t)
	case model.PhaseAborted:
		c.toldCancelled(t)
	}
}

// toldDone checks that a job is done as its user is told.
func (c *Checker) toldDone(t *truth) {
	if len(t.done) < t.spec.Tasks {
		c.broken("not_done", "%s with %d of %d", t.spec.ID, len(t.done), t.spec.Tasks)
	}
	if !t.toldDone {
		t.toldDone, t.toldAt = true, c.w.Now
		c.Finished++
		c.w.Users.lookClosely(t)
	}
}

// toldCancelled checks that a job was cancelled by its user, who is told so, and
// that all its tasks are gone in time.
func (c *Checker) toldCancelled(t *truth) {
	if !t.asked {
		c.broken("went_back", "%s is called cancelled unasked", t.spec.ID)
	}
	if t.toldCancelled != 0 {
		return
	}
	t.toldCancelled, t.toldAt = c.w.Now, c.w.Now
	c.w.Users.lookClosely(t)
	limit := c.w.Opt.Config.CancelWithin
	c.w.After(limit+time.Millisecond, func() {
		for task := range t.on {
			c.broken("ran_cancelled", "%s", task)
		}
	})
}
