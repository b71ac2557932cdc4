package sched

import (
	"slices"
	"sort"
	"time"
)

// Gangs: all tasks of a job go in one round or none does.

// placeGang sends all tasks of j on their way, or none of them. It knows neither
// local queues nor skips.
func (r *Dispatcher) placeGang(now time.Duration, j *Job, machines []*Machine, env Env) {
	if !env.WithinLimit(j) {
		return
	}
	places, ok := gangMachines(now, j, machines, env)
	if !ok {
		r.reserveForGang(now, j, machines, env)
		return
	}
	for n := j.Waiting; j.Waiting > 0; {
		// Room is all that gangPlaces looked at: what one task of the job means
		// for the next, by zone or limit, is asked again for each.
		var m *Machine
		for len(places) > 0 && m == nil {
			if p := places[0]; p.Free.Fits(j.Need) && env.Allowed(j, p) {
				m = p
			} else {
				places = places[1:]
			}
		}
		if m == nil || !env.WithinLimit(j) || !env.Place(j, m, PathGang) {
			env.Undo(j)
			j.Waiting = n
			return
		}
	}
}

// gangMachines lists the machines that have room for all waiting tasks of j, those
// first that have its image soonest, since the gang starts with its last image;
// all of one zone where it must be.
func gangMachines(now time.Duration, j *Job, machines []*Machine, env Env) ([]*Machine, bool) {
	var best []*Machine
	found, soonest := false, Never
	for _, zone := range candidateZones(j, machines) {
		var list []*Machine
		cost := map[*Machine]time.Duration{}
		for _, m := range machines {
			if !m.reserved && (zone == "" || m.Zone == zone) && m.Free.Fits(j.Need) && env.Allowed(j, m) {
				list = append(list, m)
				cost[m] = m.fetchTime(now, j)
			}
		}
		sort.SliceStable(list, func(a, b int) bool {
			if cost[list[a]] != cost[list[b]] {
				return cost[list[a]] < cost[list[b]]
			}
			return isBetter(list[a], list[b], j)
		})
		room, last := 0, time.Duration(0)
		for _, m := range list {
			if room >= j.Waiting {
				break
			}
			room += TasksThatFit(m.Free, j.Need)
			last = cost[m]
		}
		if room >= j.Waiting && (!found || last < soonest) {
			best, found, soonest = list, true, last
		}
	}
	return best, found
}

// candidateZones lists the zones that are looked at one by one, in order; "" for all
// of them together.
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

// TasksThatFit is how many tasks of one need room holds.
func TasksThatFit(room, need Resources) int {
	n := 0
	for room.Fits(need) && n < 1000 {
		room = room.Sub(need)
		n++
	}
	return n
}

// reserveForGang keeps the machines free that should have room for the whole gang
// soonest: refilled bit by bit by the tasks of arrays, and by their own local
// queues, they never all had room at once. Only what one gang needs, and for one
// gang at a time.
func (r *Dispatcher) reserveForGang(now time.Duration, j *Job, machines []*Machine, env Env) {
	if !j.MayReserve || len(r.reserved) > 0 {
		return
	}
	var best []*Machine
	soonest := Never
	for _, zone := range candidateZones(j, machines) {
		var list []*Machine
		holds, wait := map[*Machine]int{}, map[*Machine]time.Duration{}
		for _, m := range machines {
			if m.reserved || zone != "" && m.Zone != zone || !env.Allowed(j, m) {
				continue
			}
			empty := m.Capacity
			empty.CPUs -= m.ServiceCPUs // what stays on it makes no room
			n := min(TasksThatFit(empty, j.Need), j.Waiting)
			if n == 0 {
				continue
			}
			if w := m.estimateTimeToFree(now, j.Need.Times(n)); w < Never {
				list = append(list, m)
				holds[m], wait[m] = n, w
			}
		}
		sort.SliceStable(list, func(a, b int) bool {
			if x, y := r.previouslyReserved[list[a]], r.previouslyReserved[list[b]]; x != y {
				return x
			}
			if wait[list[a]] != wait[list[b]] {
				return wait[list[a]] < wait[list[b]]
			}
			return isBetter(list[a], list[b], j)
		})
		room := 0
		for i, m := range list {
			if room += holds[m]; room >= j.Waiting {
				last := time.Duration(0)
				for _, m := range list[:i+1] {
					if !r.previouslyReserved[m] {
						last = max(last, wait[m])
					}
				}
				if last < soonest {
					best, soonest = list[:i+1], last
				}
				break
			}
		}
	}
	for _, m := range best {
		m.reserved = true
		r.reserved[m] = true
	}
}

// estimateTimeToFree estimates how long until m has so much room, if nothing more comes to it.
func (m *Machine) estimateTimeToFree(now time.Duration, need Resources) time.Duration {
	free, last := m.Free, now
	for _, r := range m.Running {
		if free.Fits(need) || r.EndAt == Never {
			break
		}
		end := r.EndAt
		if end < now {
			end += 2 * (now - end) // overdue: as much again may be to come
		}
		last = max(last, end)
		free = free.Add(r.Need)
	}
	if !free.Fits(need) {
		return Never
	}
	return last - now
}
