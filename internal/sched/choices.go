package sched

import (
	"container/heap"
	"time"
)

// choices ranks the machines that have room for a task of one job: those that
// hold its image first, then those that have it soonest, then the better.
type choices struct {
	now  time.Duration
	job  *Job
	list []choice // a heap
	// holders without room, for the comparison with fetching; worked out when
	// it is first needed.
	holders []choice
	looked  bool
}

type choice struct {
	m    *Machine
	hit  bool
	cost time.Duration
	left float64
}

func (c *choices) Len() int { return len(c.list) }
func (c *choices) Less(i, k int) bool {
	a, b := &c.list[i], &c.list[k]
	if a.hit != b.hit {
		return a.hit
	}
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	return before(a.m, b.m, c.job, a.left, b.left)
}
func (c *choices) Swap(i, k int) { c.list[i], c.list[k] = c.list[k], c.list[i] }
func (c *choices) Push(x any)    { c.list = append(c.list, x.(choice)) }
func (c *choices) Pop() any {
	x := c.list[len(c.list)-1]
	c.list = c.list[:len(c.list)-1]
	return x
}

func newChoices(now time.Duration, j *Job, roomy []*Machine, env Env) *choices {
	c := &choices{now: now, job: j}
	for _, m := range roomy {
		if !m.reserved && m.Free.Fits(j.Need) && env.Allowed(j, m) {
			c.list = append(c.list, c.rate(m))
		}
	}
	heap.Init(c)
	return c
}

func (c *choices) rate(m *Machine) choice {
	return choice{m, m.Images.Has(c.job.Image), m.fetchTime(c.now, c.job), leftover(m, c.job)}
}

// best is the machine for the next task. What was allowed when the list was
// made may have been taken or ruled out since, by the tasks placed so far.
func (c *choices) best(env Env) (choice, bool) {
	for len(c.list) > 0 {
		if top := c.list[0]; !top.m.reserved && env.Allowed(c.job, top.m) {
			return top, true
		}
		heap.Pop(c)
	}
	return choice{}, false
}

// placed takes in that a task went to the best machine.
func (c *choices) placed() {
	m := c.list[0].m
	if m.Free.Fits(c.job.Need) {
		c.list[0] = c.rate(m)
		heap.Fix(c, 0)
		return
	}
	heap.Pop(c)
	if c.looked {
		c.addHolder(m) // it has the image, or will
	}
}

// soonestHolder is the machine without room that holds the image, or will, and
// should have room first; its cost is Never if there is none.
func (c *choices) soonestHolder(machines []*Machine, env Env) (*Machine, time.Duration) {
	if !c.looked {
		c.looked = true
		for _, m := range machines {
			if !m.reserved && m.Capacity.Fits(c.job.Need) && !m.Free.Fits(c.job.Need) && m.holds(c.job) {
				c.addHolder(m)
			}
		}
	}
	var best *Machine
	cost := Never
	for i := range c.holders {
		h := &c.holders[i]
		// By name where equal: the order must not hang on who came when.
		if h.cost < cost || h.cost == cost && best != nil && h.m.ID < best.ID {
			if !h.m.reserved && env.Allowed(c.job, h.m) {
				best, cost = h.m, h.cost
			}
		}
	}
	return best, cost
}

func (c *choices) addHolder(m *Machine) {
	if w := m.Wait(c.now, c.job); w < Never {
		c.holders = append(c.holders, choice{m: m, cost: max(w, m.fetchTime(c.now, c.job))})
	}
}

// holderChanged takes in that a task has joined m's local queue.
func (c *choices) holderChanged(m *Machine) {
	for i := range c.holders {
		if c.holders[i].m == m {
			c.holders = append(c.holders[:i], c.holders[i+1:]...)
			c.addHolder(m)
			return
		}
	}
}
