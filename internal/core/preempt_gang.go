package core

import (
	"cmp"
	"container/heap"
	"maps"
	"strings"

	"mulleinfall/internal/sched"
)

// compareCandidates orders candidates by what would be lost.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.loss, b.loss), strings.Compare(a.m.host, b.m.host))
}

// candidateHeap has the candidate with the least loss in front.
type candidateHeap []candidate

func (h candidateHeap) Len() int           { return len(h) }
func (h candidateHeap) Less(a, b int) bool { return compareCandidates(h[a], h[b]) < 0 }
func (h candidateHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *candidateHeap) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop implements heap.Interface.
func (h *candidateHeap) Pop() any {
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
	candidates []candidate
	loss       float64
}

// preemptForGang stops other work so that all waiting tasks of a gang fit at
// once. The machines and the victims on all of them are one decision: nothing is
// stopped where the gang as a whole still wouldn't fit, and all the room, that
// which is free already included, is kept until the gang takes it.
func (s *State) preemptForGang(j *job, env *roundEnv, used map[string]sched.Resources) {
	n := j.entry.Waiting
	if s.now < j.gang.preemptAt || s.roomReserved(j) > 0 || !s.withinLimit(j, n) {
		return
	}
	// Going over the fleet for each gang in each round would take the rounds' time.
	j.gang.preemptAt = s.now + s.cfg.ReportInterval/preemptionsPerReport
	var best *gangEviction
	for _, zone := range gangZones(j, env.views) {
		if env.Spent() {
			s.dirty = true
			return
		}
		if e := s.evictInZone(j, n, zone, env, used); e != nil && (best == nil || e.loss < best.loss) {
			best = e
		}
	}
	if best == nil {
		return
	}
	for _, c := range best.candidates {
		best.commit(c, env)
	}
	maps.Copy(used, best.used)
}

// gangZones lists the zones in which a gang's room is looked for one by one;
// "" stands for all of them together.
func gangZones(j *job, views []*sched.Machine) []string {
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
	e := &gangEviction{eviction: eviction{s: s, job: j, used: maps.Clone(used), wholeGang: s.guaranteed(j, n, used)}}
	machines := s.machinesFor(j, n, zone, env)
	var open candidateHeap
	for _, m := range machines {
		if c, ok := e.cheapestOn(m); ok {
			open = append(open, c)
		}
	}
	heap.Init(&open)
	perZone := map[string]int{}
	for n > 0 && len(open) > 0 {
		c := heap.Pop(&open).(candidate)
		if j.Spread && j.zones[c.m.zone]+perZone[c.m.zone] >= j.ZoneCap() {
			continue
		}
		// Choices made since may have changed what this one costs, or whether
		// its victims may be stopped at all.
		now, ok := e.cheapestOn(c.m)
		if !ok {
			continue
		}
		if now.loss > c.loss && len(open) > 0 && compareCandidates(now, open[0]) > 0 {
			heap.Push(&open, now)
			continue
		}
		e.take(now)
		e.candidates = append(e.candidates, now)
		e.loss += now.loss
		perZone[c.m.zone]++
		n--
		if next, ok := e.cheapestOn(c.m); ok {
			heap.Push(&open, next)
		}
	}
	if n > 0 {
		return nil
	}
	return e
}

// machinesFor lists the machines in a zone (""; in any) that j may use, or nothing
// where all of them empty wouldn't hold n of its tasks.
func (s *State) machinesFor(j *job, n int, zone string, env *roundEnv) []*machine {
	var list []*machine
	room := 0
	for _, v := range env.views {
		m := v.Ref.(*machine)
		if zone != "" && m.zone != zone || !v.Capacity.Fits(j.need()) || !s.allowed(j, m) {
			continue
		}
		list = append(list, m)
		room += sched.TasksIn(v.Capacity, j.need())
	}
	if room < n {
		return nil
	}
	return list
}
