package sched

import (
	"container/heap"
	"time"
)

// machineRanking ranks the machines that have capacity for a task of one job:
// those that have its image first, then by how soon they have it, then by isBetter.
type machineRanking struct {
	now  time.Duration
	job  *Job
	list []rankedMachine // a heap
	// holders are the machines without capacity that have the image or are fetching
	// it. Waiting for one of them is compared with fetching elsewhere. They are
	// determined when they are first needed; until then holdersKnown is false.
	holders      []rankedMachine
	holdersKnown bool
}

// rankedMachine is a machine with what decides its rank.
type rankedMachine struct {
	machine  *Machine
	hasImage bool
	delay    time.Duration // until a task placed on it or queued at it could run
	leftover float64       // see leftoverShare
}

func (r *machineRanking) Len() int { return len(r.list) }
func (r *machineRanking) Less(i, k int) bool {
	a, b := &r.list[i], &r.list[k]
	if a.hasImage != b.hasImage {
		return a.hasImage
	}
	if a.delay != b.delay {
		return a.delay < b.delay
	}
	return isBetterWithLeftover(a.machine, b.machine, r.job, a.leftover, b.leftover)
}
func (r *machineRanking) Swap(i, k int) { r.list[i], r.list[k] = r.list[k], r.list[i] }
func (r *machineRanking) Push(x any)    { r.list = append(r.list, x.(rankedMachine)) }
func (r *machineRanking) Pop() any {
	x := r.list[len(r.list)-1]
	r.list = r.list[:len(r.list)-1]
	return x
}

// newMachineRanking ranks those of the given machines on which a task of j fits and is
// allowed now.
func newMachineRanking(now time.Duration, j *Job, withCapacity []*Machine, env Env) *machineRanking {
	ranking := &machineRanking{now: now, job: j}
	for _, m := range withCapacity {
		if !m.reserved && m.Free.Fits(j.Need) && env.Allowed(j, m) {
			ranking.list = append(ranking.list, ranking.entryFor(m))
		}
	}
	heap.Init(ranking)
	return ranking
}

func (r *machineRanking) entryFor(m *Machine) rankedMachine {
	return rankedMachine{m, m.Images.Has(r.job.Image), m.StartDelay + m.fetchTime(r.now, r.job), leftoverShare(m, r.job)}
}

// best returns the machine for the next task. It drops machines that have been
// reserved or are no longer allowed since the ranking was made.
func (r *machineRanking) best(env Env) (rankedMachine, bool) {
	for len(r.list) > 0 {
		if top := r.list[0]; !top.machine.reserved && env.Allowed(r.job, top.machine) {
			return top, true
		}
		heap.Pop(r)
	}
	return rankedMachine{}, false
}

// placedOnBest updates the ranking after a task was placed on the best machine.
func (r *machineRanking) placedOnBest() {
	m := r.list[0].machine
	if m.Free.Fits(r.job.Need) {
		r.list[0] = r.entryFor(m)
		heap.Fix(r, 0)
		return
	}
	heap.Pop(r)
	if r.holdersKnown {
		r.addHolder(m) // it has the image or is fetching it now
	}
}

// soonestHolder returns the machine without capacity that has the image or is
// fetching it and should have capacity first, with the wait for it. The wait is
// Never if there is no such machine.
func (r *machineRanking) soonestHolder(machines []*Machine, env Env) (*Machine, time.Duration) {
	if !r.holdersKnown {
		r.holdersKnown = true
		for _, m := range machines {
			if !m.reserved && m.Capacity.Fits(r.job.Need) && !m.Free.Fits(r.job.Need) && m.hasOrFetchesImage(r.job) {
				r.addHolder(m)
			}
		}
	}
	var best *Machine
	shortestWait := Never
	for i := range r.holders {
		holder := &r.holders[i]
		// IDs break ties: the choice must not depend on the order of insertion.
		if holder.delay < shortestWait || holder.delay == shortestWait && best != nil && holder.machine.ID < best.ID {
			if !holder.machine.reserved && env.Allowed(r.job, holder.machine) {
				best, shortestWait = holder.machine, holder.delay
			}
		}
	}
	return best, shortestWait
}

// addHolder adds m to the holders, with the estimated wait for it.
func (r *machineRanking) addHolder(m *Machine) {
	if w := m.EstimateWait(r.now, r.job); w < Never {
		r.holders = append(r.holders, rankedMachine{machine: m, delay: max(w, m.fetchTime(r.now, r.job))})
	}
}

// updateHolder updates the wait for m after a task has joined its local queue.
func (r *machineRanking) updateHolder(m *Machine) {
	for i := range r.holders {
		if r.holders[i].machine == m {
			r.holders = append(r.holders[:i], r.holders[i+1:]...)
			r.addHolder(m)
			return
		}
	}
}
