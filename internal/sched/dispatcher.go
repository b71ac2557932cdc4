package sched

import (
	"math"
	"time"
)

// Dispatcher places waiting tasks on machines in rounds. A round that exhausts its
// time budget is continued by the next call of RunRound at the job where it stopped, or
// at the first job if that one has left the queue.
type Dispatcher struct {
	cfg         Config
	isResuming  bool
	resumeJobID string
	// reserved are the machines that were reserved for a gang in the current round or,
	// between two rounds, in the last one. previouslyReserved are those of the round
	// before. Machine.reserved also covers the machines of reserveMachine.
	reserved, previouslyReserved map[*Machine]bool
}

// NewDispatcher returns a dispatcher that begins with a new round.
func NewDispatcher(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, reserved: map[*Machine]bool{}}
}

// RunRound places waiting tasks, or continues a round that exhausted its budget.
// Jobs must be in queue order (rank, then arrival). It returns true if the round
// is complete.
func (d *Dispatcher) RunRound(now time.Duration, jobs []*Job, machines []*Machine, env Env) bool {
	assignPriceClasses(machines)
	for _, m := range machines {
		m.reserved = d.isResuming && d.reserved[m]
		switch {
		case d.reserved[m]: // for a gang, in this round or in the one before
			for _, q := range m.LocalQueue {
				q.Job.Waiting++ // back to the global queue: another machine may be sooner
			}
			m.LocalQueue = nil
		case len(m.LocalQueue) > 0:
			d.serveLocalQueue(now, m, env)
		}
	}
	if !d.isResuming {
		// Machines for a gang are reserved again in each round. Those of the last round
		// are preferred, whichever gang they were for.
		d.previouslyReserved, d.reserved = d.reserved, map[*Machine]bool{}
	}
	start := 0
	if d.isResuming {
		for i, j := range jobs {
			if j.ID == d.resumeJobID {
				start = i
				break
			}
		}
	}
	d.isResuming = false
	for _, j := range jobs {
		j.reservationTried = false
	}
	// Most machines of a busy fleet have no capacity for any waiting task. They are
	// filtered out once here, not for each task.
	withCapacity := machinesWithCapacity(jobs[start:], machines)
	for i := start; i < len(jobs); i++ {
		j := jobs[i]
		if j.Waiting == 0 {
			continue
		}
		if env.BudgetExhausted() {
			d.isResuming, d.resumeJobID = true, j.ID
			return false
		}
		if j.IsGang {
			d.placeGang(now, j, machines, env)
			continue
		}
		if !d.placeJob(now, jobs[:i], j, machines, withCapacity, env) {
			d.isResuming, d.resumeJobID = true, j.ID
			return false
		}
	}
	return true
}

// machinesWithCapacity lists the machines that have free capacity for the smallest need
// of CPUs, of GPUs and of memory among the tasks of all waiting jobs.
func machinesWithCapacity(jobs []*Job, machines []*Machine) []*Machine {
	leastNeed := Resources{CPUs: math.Inf(1), GPUs: math.Inf(1), MemoryGB: math.Inf(1)}
	for _, j := range jobs {
		if j.Waiting > 0 {
			leastNeed.CPUs = min(leastNeed.CPUs, j.Need.CPUs)
			leastNeed.GPUs = min(leastNeed.GPUs, j.Need.GPUs)
			leastNeed.MemoryGB = min(leastNeed.MemoryGB, j.Need.MemoryGB)
		}
	}
	var withCapacity []*Machine
	for _, m := range machines {
		if m.Free.Fits(leastNeed) {
			withCapacity = append(withCapacity, m)
		}
	}
	return withCapacity
}

// serveLocalQueue places tasks of m's local queue on m, in order, as long as the first
// one may be placed. Tasks that have waited longer than estimated return to the global
// queue.
func (d *Dispatcher) serveLocalQueue(now time.Duration, m *Machine, env Env) {
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

// placeJob places as many waiting tasks of j as the dispatch rule allows now. ahead
// are the jobs before j in the queue; placing a task of j skips those of j's rank that
// still wait. It returns false if the round's budget is used up. All tasks of a job are
// alike, so the machines are ranked once for all of them, and each placement changes
// the rank of one machine only.
func (d *Dispatcher) placeJob(now time.Duration, ahead []*Job, j *Job, machines, withCapacity []*Machine, env Env) bool {
	if !env.WithinLimit(j) {
		return true // held back by its team's limit: later tasks don't count as skipping it
	}
	ranking := newMachineRanking(now, j, withCapacity, env)
	var skipped []*Job // the jobs that each placed task of j skips
	if len(ranking.list) > 0 {
		skipped = earlierJobs(ahead, j, env)
	}
	for first := true; j.Waiting > 0; first = false {
		if !first && env.BudgetExhausted() {
			return false
		}
		if !first && !env.WithinLimit(j) {
			return true
		}
		// A job at its skip limit has a machine reserved before it is skipped once more.
		// This may take the machine that is best for j.
		for _, a := range skipped {
			if a.Skips >= d.cfg.SkipLimit && !a.reservationTried {
				d.reserveMachine(now, a, machines, env)
			}
		}
		best, ok := ranking.best(env)
		if !ok {
			d.handleNoMachine(now, j, machines, withCapacity, env)
			return true
		}
		path, waits := d.choosePath(ranking, best, len(skipped) > 0, machines, env)
		if waits {
			continue
		}
		if !env.Place(j, best.machine, path) {
			return true
		}
		for _, a := range skipped {
			a.Skips++
		}
		ranking.placedOnBest()
	}
	return true
}

// handleNoMachine is called if no unreserved machine on which j is allowed has capacity
// for it. If j is at its skip limit and the round found capacity for other tasks, a
// machine is reserved for j. The task doesn't join the local queue of a machine that has
// its image: no machine is free, so there is no fetch time to compare the wait with. In
// such a queue, the task would wait for that machine until the estimated wait is over,
// even if another machine became free sooner.
func (d *Dispatcher) handleNoMachine(now time.Duration, j *Job, machines, withCapacity []*Machine, env Env) {
	if j.Skips >= d.cfg.SkipLimit && !j.reservationTried && len(withCapacity) > 0 {
		d.reserveMachine(now, j, machines, env)
	}
}

// choosePath returns the path by which a task of the ranked job goes to the best
// machine. If waits is true, the task has joined the local queue of a machine that has
// or is fetching its image instead. skipsEarlier says that placing the task skips
// earlier jobs. A hit is a placement on a machine that has the image.
func (d *Dispatcher) choosePath(ranking *machineRanking, best rankedMachine, skipsEarlier bool, machines []*Machine, env Env) (path Path, waits bool) {
	switch {
	case best.hasImage && skipsEarlier:
		return PathSkipHit, false
	case best.hasImage:
		return PathHit, false
	case ranking.job.Skips >= d.cfg.SkipLimit:
		return PathSkipLimit, false
	}
	if holder, wait := ranking.soonestHolder(machines, env); wait < best.delay {
		holder.LocalQueue = append(holder.LocalQueue, QueuedTask{Job: ranking.job, WaitDeadline: ranking.now + max(wait, time.Second)})
		ranking.job.Waiting--
		ranking.updateHolder(holder)
		return "", true
	}
	// Normally only a hit may skip earlier jobs. Here the earlier jobs found no machine
	// in this round, so holding this task back would leave the machine idle without
	// helping them.
	if skipsEarlier {
		return PathPassMiss, false
	}
	return PathFetch, false
}

// reserveMachine reserves one machine for a job at its skip limit: the one that
// should have capacity soonest. Otherwise smaller tasks would starve the job.
func (d *Dispatcher) reserveMachine(now time.Duration, j *Job, machines []*Machine, env Env) {
	j.reservationTried = true
	var best *Machine
	shortestWait := Never
	for _, m := range machines {
		if m.reserved || !m.Capacity.Fits(j.Need) || !env.Allowed(j, m) {
			continue
		}
		if w := m.EstimateWait(now, j); w < shortestWait {
			best, shortestWait = m, w
		}
	}
	if best != nil {
		best.reserved = true
	}
}

// earlierJobs lists the jobs that are skipped if a task of j is placed: those of j's
// rank among the jobs ahead that still wait and are not held back by their team's
// limit. Gangs are left out, since skips don't count for them.
func earlierJobs(ahead []*Job, j *Job, env Env) []*Job {
	var waiting []*Job
	for _, a := range ahead {
		if !a.IsGang && a.Rank == j.Rank && a.Waiting > 0 && env.WithinLimit(a) {
			waiting = append(waiting, a)
		}
	}
	return waiting
}
