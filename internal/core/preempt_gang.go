package core

import (
	"cmp"
	"container/heap"
	"maps"
	"strings"

	"mulleinfall/internal/sched"
)

// compareOptions orders eviction options (a machine and the tasks to stop there) by lost
// work, then by name of the machine.
func compareOptions(a, b evictionOption) int {
	return cmp.Or(cmp.Compare(a.lostWork, b.lostWork), strings.Compare(a.machine.host, b.machine.host))
}

// optionHeap is a heap with the option that loses the least work first.
type optionHeap []evictionOption

func (h optionHeap) Len() int           { return len(h) }
func (h optionHeap) Less(a, b int) bool { return compareOptions(h[a], h[b]) < 0 }
func (h optionHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *optionHeap) Push(x any) { *h = append(*h, x.(evictionOption)) }

// Pop implements heap.Interface.
func (h *optionHeap) Pop() any {
	last := len(*h) - 1
	option := (*h)[last]
	*h = (*h)[:last]
	return option
}

// victimSearchesPerReport limits how often victims for a gang are searched for in a
// worker's report interval. More searches would rarely find another result, since little
// changes between reports.
const victimSearchesPerReport = 6

// gangEviction is an eviction after which all waiting tasks of a gang fit.
type gangEviction struct {
	eviction
	chosen   []evictionOption
	lostWork float64
}

// preemptForGang stops other work so that all waiting tasks of a gang fit at once. The
// machines and their victims are chosen together: nothing is stopped if the whole gang
// still wouldn't fit. All chosen machines are reserved for the gang, including those with
// enough free capacity.
func (s *State) preemptForGang(j *job, env *roundEnv, usage map[string]sched.Resources) {
	n := j.queueEntry.Waiting
	// A gang with machines reserved by an earlier search waits for those.
	if s.now < j.gang.nextVictimSearchAt || s.countReserved(j) > 0 || !s.isWithinLimit(j, n) {
		return
	}
	// A search of the fleet for each gang in each round would use up the time budget of
	// the rounds.
	j.gang.nextVictimSearchAt = s.now + s.cfg.ReportInterval/victimSearchesPerReport
	var best *gangEviction
	for _, zone := range candidateZones(j, env.views) {
		if env.BudgetExhausted() {
			s.dispatchNeeded = true
			return
		}
		if e := s.planEvictionInZone(j, n, zone, env, usage); e != nil && (best == nil || e.lostWork < best.lostWork) {
			best = e
		}
	}
	if best == nil {
		return
	}
	for _, option := range best.chosen {
		best.commit(option, env)
	}
	maps.Copy(usage, best.teamUsage)
}

// candidateZones lists the zones in which capacity for the whole gang is looked for, one
// after another. If it may use several zones at once, the list is only "", which stands
// for all zones together.
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

// planEvictionInZone chooses victims so that n tasks of j fit in a zone, those with the
// least lost work first, and stops none of them. The zone "" stands for all zones. The
// result is nil if the tasks can't fit.
func (s *State) planEvictionInZone(j *job, n int, zone string, env *roundEnv, usage map[string]sched.Resources) *gangEviction {
	e := &gangEviction{eviction: eviction{s: s, job: j, teamUsage: maps.Clone(usage), gangWithinGuarantee: s.isWithinGuarantee(j, n, usage)}}
	machines := s.eligibleMachines(j, n, zone, env)
	var options optionHeap
	for _, m := range machines {
		if option, ok := e.cheapestOption(m); ok {
			options = append(options, option)
		}
	}
	heap.Init(&options)
	addedInZone := map[string]int{}
	for n > 0 && len(options) > 0 {
		option := heap.Pop(&options).(evictionOption)
		if j.Spread && j.tasksByZone[option.machine.zone]+addedInZone[option.machine.zone] >= j.MaxTasksPerZone() {
			continue
		}
		// Options chosen since this one was added may have changed its lost work, or may
		// have brought a team down to its guarantee, so that its victims must not be stopped.
		current, ok := e.cheapestOption(option.machine)
		if !ok {
			continue
		}
		if current.lostWork > option.lostWork && len(options) > 0 && compareOptions(current, options[0]) > 0 {
			heap.Push(&options, current)
			continue
		}
		e.choose(current)
		e.chosen = append(e.chosen, current)
		e.lostWork += current.lostWork
		addedInZone[option.machine.zone]++
		n--
		if next, ok := e.cheapestOption(option.machine); ok {
			heap.Push(&options, next)
		}
	}
	if n > 0 {
		return nil
	}
	return e
}

// eligibleMachines lists the machines in a zone that j may use; the zone "" stands for
// all zones. It returns nil if n tasks of j wouldn't fit on them even if all were empty.
func (s *State) eligibleMachines(j *job, n int, zone string, env *roundEnv) []*machine {
	var eligible []*machine
	fitting := 0
	for _, v := range env.views {
		m := v.Ref.(*machine)
		if zone != "" && m.zone != zone || !v.Capacity.Fits(j.need()) || !s.allowed(j, m) {
			continue
		}
		eligible = append(eligible, m)
		fitting += sched.TasksThatFit(v.Capacity, j.need(), j.Tasks)
	}
	if fitting < n {
		return nil
	}
	return eligible
}
