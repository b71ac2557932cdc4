package core

import (
	"cmp"
	"container/heap"
	"maps"
	"strings"

	"mulleinfall/internal/sched"
)

// compareOptions orders candidates by what would be lost.
func compareOptions(a, b evictionOption) int {
	return cmp.Or(cmp.Compare(a.lostWork, b.lostWork), strings.Compare(a.machine.host, b.machine.host))
}

// optionHeap has the candidate with the least loss in front.
type optionHeap []evictionOption

func (h optionHeap) Len() int           { return len(h) }
func (h optionHeap) Less(a, b int) bool { return compareOptions(h[a], h[b]) < 0 }
func (h optionHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *optionHeap) Push(x any) { *h = append(*h, x.(evictionOption)) }

// Pop implements heap.Interface.
func (h *optionHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}

// preemptionsPerReport is how often at most room is looked for, for one gang, in
// a worker's report interval: between reports little changes.
const preemptionsPerReport = 6

// gangEviction is a complete choice: with it all waiting tasks of a gang fit.
type gangEviction struct {
	eviction
	options  []evictionOption
	lostWork float64
}

// preemptForGang stops other work so that all waiting tasks of a gang fit at
// once. The machines and the victims on all of them are one decision: nothing is
// stopped where the gang as a whole still wouldn't fit, and all the room, that
// which is free already included, is kept until the gang takes it.
func (s *State) preemptForGang(j *job, env *roundEnv, used map[string]sched.Resources) {
	n := j.queueEntry.Waiting
	if s.now < j.gang.nextPreemptionAt || s.countReserved(j) > 0 || !s.isWithinLimit(j, n) {
		return
	}
	// Going over the fleet for each gang in each round would take the rounds' time.
	j.gang.nextPreemptionAt = s.now + s.cfg.ReportInterval/preemptionsPerReport
	var best *gangEviction
	for _, zone := range candidateZones(j, env.views) {
		if env.BudgetExhausted() {
			s.dispatchNeeded = true
			return
		}
		if e := s.evictInZone(j, n, zone, env, used); e != nil && (best == nil || e.lostWork < best.lostWork) {
			best = e
		}
	}
	if best == nil {
		return
	}
	for _, c := range best.options {
		best.commit(c, env)
	}
	maps.Copy(used, best.teamUsage)
}

// candidateZones lists the zones in which a gang's room is looked for one by one;
// "" stands for all of them together.
func candidateZones(j *job, views []*sched.Machine) []string {
	if !j.OneZone {
		return []string{""}
	}
	zones := map[string]bool{}
	for _, v := range views {
		zones[v.Zone] = true
	}
	return sortedKeys(zones)
}

// evictInZone finds room for n tasks of j in one zone (""; in any), the least
// loss first, or returns nil if there is none.
func (s *State) evictInZone(j *job, n int, zone string, env *roundEnv, used map[string]sched.Resources) *gangEviction {
	e := &gangEviction{eviction: eviction{s: s, job: j, teamUsage: maps.Clone(used), gangWithinGuarantee: s.isWithinGuarantee(j, n, used)}}
	machines := s.eligibleMachines(j, n, zone, env)
	var open optionHeap
	for _, m := range machines {
		if c, ok := e.cheapestOption(m); ok {
			open = append(open, c)
		}
	}
	heap.Init(&open)
	perZone := map[string]int{}
	for n > 0 && len(open) > 0 {
		c := heap.Pop(&open).(evictionOption)
		if j.Spread && j.tasksByZone[c.machine.zone]+perZone[c.machine.zone] >= j.MaxTasksPerZone() {
			continue
		}
		// Choices made since may have changed what this one costs, or whether
		// its victims may be stopped at all.
		now, ok := e.cheapestOption(c.machine)
		if !ok {
			continue
		}
		if now.lostWork > c.lostWork && len(open) > 0 && compareOptions(now, open[0]) > 0 {
			heap.Push(&open, now)
			continue
		}
		e.choose(now)
		e.options = append(e.options, now)
		e.lostWork += now.lostWork
		perZone[c.machine.zone]++
		n--
		if next, ok := e.cheapestOption(c.machine); ok {
			heap.Push(&open, next)
		}
	}
	if n > 0 {
		return nil
	}
	return e
}

// eligibleMachines lists the machines in a zone (""; in any) that j may use, or nothing
// where all of them empty wouldn't hold n of its tasks.
func (s *State) eligibleMachines(j *job, n int, zone string, env *roundEnv) []*machine {
	var list []*machine
	room := 0
	for _, v := range env.views {
		m := v.Ref.(*machine)
		if zone != "" && m.zone != zone || !v.Capacity.Fits(j.need()) || !s.allowed(j, m) {
			continue
		}
		list = append(list, m)
		room += sched.TasksThatFit(v.Capacity, j.need())
	}
	if room < n {
		return nil
	}
	return list
}
