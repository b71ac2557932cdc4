package sched

import (
	"math"
	"time"
)

// Round is the state of one pass over the queue. A round that ran out of
// budget goes on at the job where it stopped.
type Round struct {
	cfg    Config
	resume bool
	last   string
	// reserved are the machines kept free for a gang since the last round.
	reserved, reservedBefore map[*Machine]bool
}

// NewRound starts a dispatcher.
func NewRound(cfg Config) *Round { return &Round{cfg: cfg, reserved: map[*Machine]bool{}} }

// Run makes one round of decisions. Jobs must be in queue order (rank, then
// arrival). It returns true if the round came to its end.
func (r *Round) Run(now time.Duration, jobs []*Job, machines []*Machine, env Env) bool {
	classify(machines)
	for _, m := range machines {
		m.reserved = r.resume && r.reserved[m]
		switch {
		case r.reserved[m]:
			for _, q := range m.Local {
				q.Job.Waiting++ // elsewhere it may be served sooner
			}
			m.Local = nil
		case len(m.Local) > 0:
			r.serveLocal(now, m, env)
		}
	}
	if !r.resume {
		// The gang's turn comes, if it still waits; it stays with its machines.
		r.reservedBefore, r.reserved = r.reserved, map[*Machine]bool{}
	}
	start := 0
	if r.resume {
		for i, j := range jobs {
			if j.ID == r.last {
				start = i
				break
			}
		}
	}
	r.resume = false
	for _, j := range jobs {
		j.reserving = false
	}
	// Most machines of a busy fleet have no room for anything that waits: they
	// are looked at once a round, not once a task.
	roomy := withRoom(jobs[start:], machines)
	for i := start; i < len(jobs); i++ {
		j := jobs[i]
		if j.Waiting == 0 {
			continue
		}
		if env.Spent() {
			r.resume, r.last = true, j.ID
			return false
		}
		if j.Gang {
			r.gang(now, j, machines, env)
			continue
		}
		if !r.job(now, jobs[:i], j, machines, roomy, env) {
			r.resume, r.last = true, j.ID
			return false
		}
	}
	return true
}

// withRoom lists the machines that have room for the least that any job asks
// for in each respect.
func withRoom(jobs []*Job, machines []*Machine) []*Machine {
	least := Resources{math.Inf(1), math.Inf(1), math.Inf(1)}
	for _, j := range jobs {
		if j.Waiting > 0 {
			least.CPUs = min(least.CPUs, j.Need.CPUs)
			least.GPUs = min(least.GPUs, j.Need.GPUs)
			least.MemoryGB = min(least.MemoryGB, j.Need.MemoryGB)
		}
	}
	var roomy []*Machine
	for _, m := range machines {
		if m.Free.Fits(least) {
			roomy = append(roomy, m)
		}
	}
	return roomy
}

// serveLocal gives m's room to its local queue first, and returns what has
// waited longer than estimated to the global queue.
func (r *Round) serveLocal(now time.Duration, m *Machine, env Env) {
	for len(m.Local) > 0 {
		q := m.Local[0]
		if m.Free.Fits(q.Job.Need) && env.UnderLimit(q.Job) && env.Allowed(q.Job, m) {
			m.Local = m.Local[1:]
			q.Job.Waiting++
			if env.Place(q.Job, m, FromWait) {
				continue
			}
			return
		}
		break
	}
	kept := m.Local[:0]
	for _, q := range m.Local {
		if now >= q.Until {
			q.Job.Waiting++
			continue
		}
		kept = append(kept, q)
	}
	m.Local = kept
}

// job sends tasks of j on their way, as many as the rule lets go now. ahead
// are the jobs before it. False: the round's budget is used up. The tasks are
// alike, so the machines are ranked for all of them at once, and a placement
// changes the rank of one machine only.
func (r *Round) job(now time.Duration, ahead []*Job, j *Job, machines, roomy []*Machine, env Env) bool {
	if !env.UnderLimit(j) {
		return true // passed without counting a skip
	}
	c := newChoices(now, j, roomy, env)
	var passed []*Job
	if len(c.list) > 0 {
		passed = earlier(ahead, j, env)
	}
	for first := true; j.Waiting > 0; first = false {
		if !first && env.Spent() {
			return false
		}
		if !first && !env.UnderLimit(j) {
			return true
		}
		for _, a := range passed {
			if a.Skips >= r.cfg.SkipLimit && !a.reserving {
				r.reserve(now, a, machines, env)
			}
		}
		best, ok := c.best(env)
		if !ok {
			r.nowhere(now, j, machines, roomy, env)
			return true
		}
		path, waits := r.path(c, best, len(passed) > 0, machines, env)
		if waits {
			continue
		}
		if !env.Place(j, best.m, path) {
			return true
		}
		for _, a := range passed {
			a.Skips++
		}
		c.placed()
	}
	return true
}

// nowhere takes that no machine has room for j. Without a roomy machine there is
// nothing to compare with: the dispatcher runs when a task waits and a machine has
// room for it. A task that took to a holder's queue then was stuck behind one
// estimate while machines became free elsewhere.
func (r *Round) nowhere(now time.Duration, j *Job, machines, roomy []*Machine, env Env) {
	if j.Skips >= r.cfg.SkipLimit && !j.reserving && len(roomy) > 0 {
		r.reserve(now, j, machines, env)
	}
}

// path is the way by which a task of the job goes to the best machine; waits says
// that it has joined the local queue of a holder instead.
func (r *Round) path(c *choices, best choice, passes bool, machines []*Machine, env Env) (path Path, waits bool) {
	switch {
	case best.hit && passes:
		return SkipHit, false
	case best.hit:
		return Hit, false
	case c.job.Skips >= r.cfg.SkipLimit:
		return AtLimit, false
	}
	if busy, cost := c.soonestHolder(machines, env); cost < best.cost {
		busy.Local = append(busy.Local, Queued{Job: c.job, Until: c.now + max(cost, time.Second)})
		c.job.Waiting--
		c.holderChanged(busy)
		return "", true
	}
	// Only a hit may overtake on the ordinary path. The exception: the
	// tasks ahead found no machine in this very round, so reserving this
	// one back would leave the machine idle and help nobody.
	if passes {
		return Passing, false
	}
	return Fetched, false
}

// reserve keeps the machine that should have room soonest free for a task at its
// skip limit, which would otherwise starve behind smaller ones.
func (r *Round) reserve(now time.Duration, j *Job, machines []*Machine, env Env) {
	j.reserving = true
	var best *Machine
	soonest := Never
	for _, m := range machines {
		if m.reserved || !m.Capacity.Fits(j.Need) || !env.Allowed(j, m) {
			continue
		}
		if w := m.Wait(now, j); w < soonest {
			best, soonest = m, w
		}
	}
	if best != nil {
		best.reserved = true
	}
}

// earlier lists the jobs of the same rank ahead of j that still wait and are
// not held back by their team's limit.
func earlier(ahead []*Job, j *Job, env Env) []*Job {
	var out []*Job
	for _, a := range ahead {
		if !a.Gang && a.Rank == j.Rank && a.Waiting > 0 && env.UnderLimit(a) {
			out = append(out, a)
		}
	}
	return out
}
