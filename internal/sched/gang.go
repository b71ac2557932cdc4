package sched

import (
	"slices"
	"sort"
	"time"
)

// Gangs: all tasks of a job are placed in the same round, or none of them.

// placeGang places all waiting tasks of j, or none of them. Gangs don't use local
// queues, and skips don't count for them.
func (d *Dispatcher) placeGang(now time.Duration, j *Job, machines []*Machine, env Env) {
	if !env.WithinLimit(j) {
		return
	}
	targets, ok := gangMachines(now, j, machines, env)
	if !ok {
		d.reserveForGang(now, j, machines, env)
		return
	}
	for waitingBefore := j.Waiting; j.Waiting > 0; {
		// gangMachines checked the machines with no task placed yet. Each task that is
		// placed changes what the zones and the team's limit allow for the next one, so
		// both are checked again here.
		var m *Machine
		for len(targets) > 0 && m == nil {
			if p := targets[0]; p.Free.Fits(j.Need) && env.Allowed(j, p) {
				m = p
			} else {
				targets = targets[1:]
			}
		}
		if m == nil || !env.WithinLimit(j) || !env.Place(j, m, PathGang) {
			env.Undo(j)
			j.Waiting = waitingBefore
			return
		}
	}
}

// gangMachines lists all machines on which a task of j may be placed now. Those that
// have the image soonest come first, since the gang starts once the last of its tasks
// has its image. If the gang needs a single zone, only the machines of the zone where
// it can start soonest are listed. The result is false if the machines, or those of
// each single zone, don't have capacity for all waiting tasks of j.
func gangMachines(now time.Duration, j *Job, machines []*Machine, env Env) ([]*Machine, bool) {
	var best []*Machine
	found, shortestDelay := false, Never
	for _, zone := range candidateZones(j, machines) {
		var eligible []*Machine
		readyAfter := map[*Machine]time.Duration{}
		for _, m := range machines {
			if !m.reserved && (zone == "" || m.Zone == zone) && m.Free.Fits(j.Need) && env.Allowed(j, m) {
				eligible = append(eligible, m)
				readyAfter[m] = m.StartDelay + m.fetchTime(now, j)
			}
		}
		sort.SliceStable(eligible, func(a, b int) bool {
			if readyAfter[eligible[a]] != readyAfter[eligible[b]] {
				return readyAfter[eligible[a]] < readyAfter[eligible[b]]
			}
			return isBetter(eligible[a], eligible[b], j)
		})
		fitting, longestDelay := 0, time.Duration(0)
		for _, m := range eligible {
			if fitting >= j.Waiting {
				break
			}
			fitting += TasksThatFit(m.Free, j.Need, j.Waiting)
			longestDelay = readyAfter[m]
		}
		if fitting >= j.Waiting && (!found || longestDelay < shortestDelay) {
			best, found, shortestDelay = eligible, true, longestDelay
		}
	}
	return best, found
}

// candidateZones lists the zones in which capacity for the whole gang j is looked for,
// one after another in order of their names. If j may use several zones at once, the
// list is only "", which stands for all zones together.
func candidateZones(j *Job, machines []*Machine) []string {
	if !j.OneZone {
		return []string{""}
	}
	var zones []string
	for _, m := range machines {
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// reserveForGang reserves the machines that should have capacity for the whole gang
// soonest. Without this, single tasks of other jobs and of local queues would refill
// the machines one by one, and the gang would never find enough capacity at once. Only
// as many machines as one gang needs are reserved, and for one gang at a time.
func (d *Dispatcher) reserveForGang(now time.Duration, j *Job, machines []*Machine, env Env) {
	if !j.MayReserve || len(d.reserved) > 0 {
		return
	}
	var best []*Machine
	shortestWait := Never
	for _, zone := range candidateZones(j, machines) {
		var eligible []*Machine
		tasksOn, waitFor := map[*Machine]int{}, map[*Machine]time.Duration{}
		for _, m := range machines {
			if m.reserved || zone != "" && m.Zone != zone || !env.Allowed(j, m) {
				continue
			}
			empty := m.Capacity
			empty.CPUs -= m.ServiceCPUs // services don't end, so their CPUs don't come free
			n := TasksThatFit(empty, j.Need, j.Waiting)
			if n == 0 {
				continue
			}
			if w := m.estimateTimeToFree(now, j.Need.Times(n)); w < Never {
				eligible = append(eligible, m)
				tasksOn[m], waitFor[m] = n, w
			}
		}
		sort.SliceStable(eligible, func(a, b int) bool {
			if x, y := d.previouslyReserved[eligible[a]], d.previouslyReserved[eligible[b]]; x != y {
				return x
			}
			if waitFor[eligible[a]] != waitFor[eligible[b]] {
				return waitFor[eligible[a]] < waitFor[eligible[b]]
			}
			return isBetter(eligible[a], eligible[b], j)
		})
		fitting := 0
		for i, m := range eligible {
			if fitting += tasksOn[m]; fitting >= j.Waiting {
				longestWait := time.Duration(0) // machines reserved in the last round count as no wait
				for _, m := range eligible[:i+1] {
					if !d.previouslyReserved[m] {
						longestWait = max(longestWait, waitFor[m])
					}
				}
				if longestWait < shortestWait {
					best, shortestWait = eligible[:i+1], longestWait
				}
				break
			}
		}
	}
	for _, m := range best {
		m.reserved = true
		d.reserved[m] = true
	}
}

// estimateTimeToFree estimates how long it takes until need fits m's free capacity
// if no more tasks are placed on m. It returns Never if the running tasks that have an
// estimated end don't free enough.
func (m *Machine) estimateTimeToFree(now time.Duration, need Resources) time.Duration {
	free, latestEnd := m.Free, now
	for _, r := range m.Running {
		if free.Fits(need) || r.EndAt == Never {
			break
		}
		end := r.EndAt
		if end < now {
			end += 2 * (now - end) // overdue: assume that it takes as long again as it is late
		}
		latestEnd = max(latestEnd, end)
		free = free.Add(r.Need)
	}
	if !free.Fits(need) {
		return Never
	}
	return latestEnd - now
}
