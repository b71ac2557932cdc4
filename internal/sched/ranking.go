package sched

import (
	"container/heap"
	"time"
)

// machineRanking ranks the machines that have room for a task of one job: those that
// hold its image first, then those that have it soonest, then the better.
type machineRanking struct {
	now  time.Duration
	job  *Job
	list []rankedMachine // a heap
	// holders without room, for the comparison with fetching; worked out when
	// it is first needed.
	holders      []rankedMachine
	holdersKnown bool
}

type rankedMachine struct {
	machine  *Machine
	hasImage bool
	delay    time.Duration
	leftover float64
}

func (c *machineRanking) Len() int { return len(c.list) }
func (c *machineRanking) Less(i, k int) bool {
	a, b := &c.list[i], &c.list[k]
	if a.hasImage != b.hasImage {
		return a.hasImage
	}
	if a.delay != b.delay {
		return a.delay < b.delay
	}
	return isBetterWithLeftover(a.machine, b.machine, c.job, a.leftover, b.leftover)
}
func (c *machineRanking) Swap(i, k int) { c.list[i], c.list[k] = c.list[k], c.list[i] }
func (c *machineRanking) Push(x any)    { c.list = append(c.list, x.(rankedMachine)) }
func (c *machineRanking) Pop() any {
	x := c.list[len(c.list)-1]
	c.list = c.list[:len(c.list)-1]
	return x
}

func newMachineRanking(now time.Duration, j *Job, roomy []*Machine, env Env) *machineRanking {
	c := &machineRanking{now: now, job: j}
	for _, m := range roomy {
		if !m.reserved && m.Free.Fits(j.Need) && env.Allowed(j, m) {
			c.list = append(c.list, c.entryFor(m))
		}
	}
	heap.Init(c)
	return c
}

func (c *machineRanking) entryFor(m *Machine) rankedMachine {
	return rankedMachine{m, m.Images.Has(c.job.Image), m.fetchTime(c.now, c.job), leftoverShare(m, c.job)}
}

// best is the machine for the next task. What was allowed when the list was
// made may have been taken or ruled out since, by the tasks placed so far.
func (c *machineRanking) best(env Env) (rankedMachine, bool) {
	for len(c.list) > 0 {
		if top := c.list[0]; !top.machine.reserved && env.Allowed(c.job, top.machine) {
			return top, true
		}
		heap.Pop(c)
	}
	return rankedMachine{}, false
}

// placedOnBest takes in that a task went to the best machine.
func (c *machineRanking) placedOnBest() {
	m := c.list[0].machine
	if m.Free.Fits(c.job.Need) {
		c.list[0] = c.entryFor(m)
		heap.Fix(c, 0)
		return
	}
	heap.Pop(c)
	if c.holdersKnown {
		c.addHolder(m) // it has the image, or will
	}
}

// soonestHolder is the machine without room that holds the image, or will, and
// should have room first; its cost is Never if there is none.
func (c *machineRanking) soonestHolder(machines []*Machine, env Env) (*Machine, time.Duration) {
	if !c.holdersKnown {
		c.holdersKnown = true
		for _, m := range machines {
			if !m.reserved && m.Capacity.Fits(c.job.Need) && !m.Free.Fits(c.job.Need) && m.holdsImage(c.job) {
				c.addHolder(m)
			}
		}
	}
	var best *Machine
	cost := Never
	for i := range c.holders {
		h := &c.holders[i]
		// By name where equal: the order must not hang on who came when.
		if h.delay < cost || h.delay == cost && best != nil && h.machine.ID < best.ID {
			if !h.machine.reserved && env.Allowed(c.job, h.machine) {
				best, cost = h.machine, h.delay
			}
		}
	}
	return best, cost
}

func (c *machineRanking) addHolder(m *Machine) {
	if w := m.EstimateWait(c.now, c.job); w < Never {
		c.holders = append(c.holders, rankedMachine{machine: m, delay: max(w, m.fetchTime(c.now, c.job))})
	}
}

// updateHolder takes in that a task has joined m's local queue.
func (c *machineRanking) updateHolder(m *Machine) {
	for i := range c.holders {
		if c.holders[i].machine == m {
			c.holders = append(c.holders[:i], c.holders[i+1:]...)
			c.addHolder(m)
			return
		}
	}
}
