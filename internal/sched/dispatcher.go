package sched

import (
	"math"
	"time"
)

// Dispatcher is the state of one pass over the queue. A round that ran out of
// budget goes on at the job where it stopped.
type Dispatcher struct {
	cfg         Config
	isResuming  bool
	resumeJobID string
	// reserved are the machines kept free for a gang since the last round.
	reserved, previouslyReserved map[*Machine]bool
}

// NewDispatcher starts a dispatcher.
func NewDispatcher(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, reserved: map[*Machine]bool{}}
}

// RunRound makes one round of decisions. Jobs must be in queue order (rank, then
// arrival). It returns true if the round came to its end.
func (r *Dispatcher) RunRound(now time.Duration, jobs []*Job, machines []*Machine, env Env) bool {
	assignPriceClasses(machines)
	for _, m := range machines {
		m.reserved = r.isResuming && r.reserved[m]
		switch {
		case r.reserved[m]:
			for _, q := range m.LocalQueue {
				q.Job.Waiting++ // elsewhere it may be served sooner
			}
			m.LocalQueue = nil
		case len(m.LocalQueue) > 0:
			r.serveLocalQueue(now, m, env)
		}
	}
	if !r.isResuming {
		// The gang's turn comes, if it still waits; it stays with its machines.
		r.previouslyReserved, r.reserved = r.reserved, map[*Machine]bool{}
	}
	start := 0
	if r.isResuming {
		for i, j := range jobs {
			if j.ID == r.resumeJobID {
				start = i
				break
			}
		}
	}
	r.isResuming = false
	for _, j := range jobs {
		j.hasReservation = false
	}
	// Most machines of a busy fleet have no room for anything that waits: they
	// are looked at once a round, not once a task.
	roomy := machinesWithCapacity(jobs[start:], machines)
	for i := start; i < len(jobs); i++ {
		j := jobs[i]
		if j.Waiting == 0 {
			continue
		}
		if env.BudgetExhausted() {
			r.isResuming, r.resumeJobID = true, j.ID
			return false
		}
		if j.IsGang {
			r.placeGang(now, j, machines, env)
			continue
		}
		if !r.placeJob(now, jobs[:i], j, machines, roomy, env) {
			r.isResuming, r.resumeJobID = true, j.ID
			return false
		}
	}
	return true
}

// machinesWithCapacity lists the machines that have room for the least that any job asks
// for in each respect.
func machinesWithCapacity(jobs []*Job, machines []*Machine) []*Machine {
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

// serveLocalQueue gives m's room to its local queue first, and returns what has
// waited longer than estimated to the global queue.
func (r *Dispatcher) serveLocalQueue(now time.Duration, m *Machine, env Env) {
	for len(m.LocalQueue) > 0 {
		q := m.LocalQueue[0]
		if m.Free.Fits(q.Job.Need) && env.WithinLimit(q.Job) && env.Allowed(q.Job, m) {
			m.LocalQueue = m.LocalQueue[1:]
			q.Job.Waiting++
			if env.Place(q.Job, m, PathLocalQueue) {
				continue
			}
			return
		}
		break
	}
	kept := m.LocalQueue[:0]
	for _, q := range m.LocalQueue {
		if now >= q.WaitDeadline {
			q.Job.Waiting++
			continue
		}
		kept = append(kept, q)
	}
	m.LocalQueue = kept
}

// placeJob sends tasks of j on their way, as many as the rule lets go now. ahead
// are the jobs before it. False: the round's budget is used up. The tasks are
// alike, so the machines are ranked for all of them at once, and a placement
// changes the rank of one machine only.
func (r *Dispatcher) placeJob(now time.Duration, ahead []*Job, j *Job, machines, roomy []*Machine, env Env) bool {
	if !env.WithinLimit(j) {
		return true // passed without counting a skip
	}
	c := newMachineRanking(now, j, roomy, env)
	var passed []*Job
	if len(c.list) > 0 {
		passed = earlierJobs(ahead, j, env)
	}
	for first := true; j.Waiting > 0; first = false {
		if !first && env.BudgetExhausted() {
			return false
		}
		if !first && !env.WithinLimit(j) {
			return true
		}
		for _, a := range passed {
			if a.Skips >= r.cfg.SkipLimit && !a.hasReservation {
				r.reserveMachine(now, a, machines, env)
			}
		}
		best, ok := c.best(env)
		if !ok {
			r.handleNoMachine(now, j, machines, roomy, env)
			return true
		}
		path, waits := r.choosePath(c, best, len(passed) > 0, machines, env)
		if waits {
			continue
		}
		if !env.Place(j, best.machine, path) {
			return true
		}
		for _, a := range passed {
			a.Skips++
		}
		c.placedOnBest()
	}
	return true
}

// handleNoMachine takes that no machine has room for j. Without a roomy machine there is
// nothing to compare with: the dispatcher runs when a task waits and a machine has
// room for it. A task that took to a holder's queue then was stuck behind one
// estimate while machines became free elsewhere.
func (r *Dispatcher) handleNoMachine(now time.Duration, j *Job, machines, roomy []*Machine, env Env) {
	if j.Skips >= r.cfg.SkipLimit && !j.hasReservation && len(roomy) > 0 {
		r.reserveMachine(now, j, machines, env)
	}
}

// choosePath is the way by which a task of the job goes to the best machine; waits says
// that it has joined the local queue of a holder instead.
func (r *Dispatcher) choosePath(c *machineRanking, best rankedMachine, passes bool, machines []*Machine, env Env) (path Path, waits bool) {
	switch {
	case best.hasImage && passes:
		return PathSkipHit, false
	case best.hasImage:
		return PathHit, false
	case c.job.Skips >= r.cfg.SkipLimit:
		return PathSkipLimit, false
	}
	if busy, cost := c.soonestHolder(machines, env); cost < best.delay {
		busy.LocalQueue = append(busy.LocalQueue, QueuedTask{Job: c.job, WaitDeadline: c.now + max(cost, time.Second)})
		c.job.Waiting--
		c.updateHolder(busy)
		return "", true
	}
	// Only a hit may overtake on the ordinary path. The exception: the
	// tasks ahead found no machine in this very round, so reserving this
	// one back would leave the machine idle and help nobody.
	if passes {
		return PathPassMiss, false
	}
	return PathFetch, false
}

// reserveMachine keeps the machine that should have room soonest free for a task at its
// skip limit, which would otherwise starve behind smaller ones.
func (r *Dispatcher) reserveMachine(now time.Duration, j *Job, machines []*Machine, env Env) {
	j.hasReservation = true
	var best *Machine
	soonest := Never
	for _, m := range machines {
		if m.reserved || !m.Capacity.Fits(j.Need) || !env.Allowed(j, m) {
			continue
		}
		if w := m.EstimateWait(now, j); w < soonest {
			best, soonest = m, w
		}
	}
	if best != nil {
		best.reserved = true
	}
}

// earlierJobs lists the jobs of the same rank ahead of j that still wait and are
// not held back by their team's limit.
func earlierJobs(ahead []*Job, j *Job, env Env) []*Job {
	var out []*Job
	for _, a := range ahead {
		if !a.IsGang && a.Rank == j.Rank && a.Waiting > 0 && env.WithinLimit(a) {
			out = append(out, a)
		}
	}
	return out
}
