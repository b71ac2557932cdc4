package sched

import (
	"math"
	"time"
)

// Dispatcher places waiting tasks on machines in rounds. A round that exhausts its
// time budget is continued by the next call at the job where it stopped.
type Dispatcher struct {
	cfg         Config
	isResuming  bool
	resumeJobID string
	// reserved are the machines reserved for a gang in this round, and
	// previouslyReserved those of the round before.
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
		case d.reserved[m]:
			for _, q := range m.LocalQueue {
				q.Job.Waiting++ // back to the global queue: another machine may be sooner
			}
			m.LocalQueue = nil
		case len(m.LocalQueue) > 0:
			d.serveLocalQueue(now, m, env)
		}
	}
	if !d.isResuming {
		// A gang that still waits reserves again in this round, and prefers the
		// machines that it had.
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
	// filtered out once a round, not once a task.
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
	leastNeed := Resources{math.Inf(1), math.Inf(1), math.Inf(1)}
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

// serveLocalQueue places tasks of m's local queue on m as long as they fit. Tasks
// that have waited longer than estimated return to the global queue.
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
// are the jobs before j in the queue. It returns false if the round's budget is used
// up. All tasks of a job are alike, so the machines are ranked once for all of them,
// and each placement changes the rank of one machine only.
func (d *Dispatcher) placeJob(now time.Duration, ahead []*Job, j *Job, machines, withCapacity []*Machine, env Env) bool {
	if !env.WithinLimit(j) {
		return true // held back by the limit, which doesn't count as a skip
	}
	ranking := newMachineRanking(now, j, withCapacity, env)
	var skipped []*Job
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

// handleNoMachine is called if no machine has capacity for j. If j is at its skip
// limit and some machine has capacity for other tasks, a machine is reserved for j.
// The task doesn't join the local queue of a machine that holds its image: there is
// no fetch on a free machine to compare the wait with. Tasks that joined one anyway
// were stuck behind a single estimate while other machines became free.
func (d *Dispatcher) handleNoMachine(now time.Duration, j *Job, machines, withCapacity []*Machine, env Env) {
	if j.Skips >= d.cfg.SkipLimit && !j.reservationTried && len(withCapacity) > 0 {
		d.reserveMachine(now, j, machines, env)
	}
}

// choosePath returns the path by which a task of the ranked job goes to the best
// machine. If waits is true, the task has joined the local queue of a machine that
// has its image instead. skipsEarlier says that earlier jobs of the same rank still wait.
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
	// Normally only a hit may overtake earlier tasks. Here the earlier tasks found no
	// machine in this round, so holding this task back would leave the machine idle
	// without helping them.
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

// earlierJobs lists the jobs of j's rank among those ahead of it that still wait and
// are not held back by their team's limit. Gangs are left out, since skips don't
// count for them.
func earlierJobs(ahead []*Job, j *Job, env Env) []*Job {
	var waiting []*Job
	for _, a := range ahead {
		if !a.IsGang && a.Rank == j.Rank && a.Waiting > 0 && env.WithinLimit(a) {
			waiting = append(waiting, a)
		}
	}
	return waiting
}
