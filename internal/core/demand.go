package core

import (
	"sort"
	"time"

	"mulleinfall/internal/fleet"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// What is planned with: what waits, what is there or on its way, what may be had.

// shortestBoot is the boot time of the type that is up first.
func (s *State) shortestBoot() time.Duration {
	boot := 0.0
	for i := range s.typeList {
		if b := s.typeList[i].BootS; boot == 0 || b < boot {
			boot = b
		}
	}
	return time.Duration(boot * float64(time.Second))
}

// demands lists what waits, most urgent first, and the room to keep free.
func (s *State) demands() []fleet.Demand {
	var wants []fleet.Demand
	for _, j := range s.waitingJobs() {
		if s.now < j.gang.nextRentalAt {
			continue
		}
		w := s.demandFor(j, j.waitingTasks())
		w.CanWait = !s.isUrgent(j)
		wants = append(wants, w)
	}
	if j := s.largestService(); j != nil && s.cfg.SpareServices > 0 {
		spare := &job{Job: j.Job}
		spare.Spread, spare.Zone = false, ""
		wants = append(wants, s.demandFor(spare, s.cfg.SpareServices))
	}
	if g := s.spareGang(); g != nil {
		w := s.demandFor(g, g.Tasks*s.cfg.SpareGangs)
		w.AllOrNothing = false // nothing waits for it yet
		wants = append(wants, w)
	}
	return wants
}

// expectedCapacity lists the room that there is or will be before a machine rented now
// could be up.
func (s *State) expectedCapacity() []fleet.ExpectedCapacity {
	var list []fleet.ExpectedCapacity
	horizon := s.now + s.shortestBoot()
	for _, m := range s.machinesByName {
		if s.zones[m.zone].unreachable || m.machineType == nil || m.returning || m.failed || m.leaseExpired || m.slow || m.reclaimAt != 0 {
			continue
		}
		c := fleet.ExpectedCapacity{Type: m.typeName, Zone: m.zone, Spot: m.spot, Free: m.view.Capacity}
		if m.hasReported {
			if m.reachability.unreachable || s.now-m.lastHeardAt >= s.maxReportGap() {
				continue // perhaps gone: not to be counted on
			}
			if c.Free = s.freeAt(m, horizon); c.Free.CPUs <= 0 || c.Free.MemoryGB <= 0 {
				continue // full for longer: nothing to plan with
			}
		}
		list = append(list, c)
	}
	return list
}

// freeAt is the room of m at a time, if nothing more comes to it: room that
// running work should free is as good as a rented machine.
func (s *State) freeAt(m *machine, at time.Duration) sched.Resources {
	s.refreshView(m)
	free := m.view.Free
	for _, r := range m.view.Running {
		if r.EndAt >= at {
			break
		}
		free = free.Add(r.Need)
	}
	return free
}

// jobAge is how long ago j was submitted.
func (s *State) jobAge(j *job) time.Duration {
	if j.submittedAt == 0 || s.wallMs < j.submittedAt {
		return 0
	}
	return time.Duration(s.wallMs-j.submittedAt) * time.Millisecond
}

// isUrgent says whether j can't wait any longer for room on the machines
// there are, or for cheap ones: part of the time that its class leaves beyond
// boot, fetch and run has passed.
func (s *State) isUrgent(j *job) bool {
	if j.Kind != model.KindBatch {
		return true
	}
	boot, rate := 0.0, 0.0
	for i := range s.typeList {
		t := &s.typeList[i]
		if t.FitsTask(&j.Job) && (boot == 0 || t.BootS < boot) {
			boot, rate = t.BootS, t.FetchGBPerS
		}
	}
	// Estimates and boot times are often exceeded by half.
	ready := 1.5*boot + j.ImageGB/max(rate, 0.001)
	spare := s.completionTarget(j) - time.Duration((ready+1.25*j.EstimateS)*float64(time.Second))
	if start := s.cfg.Goals[j.Class].StartWithin; start > 0 {
		spare = min(spare, start-time.Duration(ready*float64(time.Second)))
	}
	return s.jobAge(j) >= time.Duration(s.cfg.Patience*float64(spare))
}

// completionTarget is the time in which j should be done.
func (s *State) completionTarget(j *job) time.Duration {
	g := s.cfg.Goals[j.Class]
	switch {
	case g.FinishWithin > 0:
		return g.FinishWithin
	case g.DueFactor > 0 && j.DueS != nil:
		return time.Duration(g.DueFactor * *j.DueS * float64(time.Second))
	case j.DueS != nil:
		return time.Duration(*j.DueS * float64(time.Second))
	}
	return s.cfg.CancelWithin
}

func (s *State) demandFor(j *job, n int) fleet.Demand {
	w := fleet.Demand{Job: &j.Job, Count: n, Need: j.need()}
	w.OneZone, w.AllOrNothing = j.OneZone, j.Kind == model.KindGang
	if w.OneZone && len(j.tasks) > 0 {
		bound := j.Job
		for zone, n := range j.tasksByZone {
			if n > 0 {
				bound.Zone = zone
			}
		}
		w.Job = &bound
	}
	if j.Spread {
		w.ZoneAllowance = func(zone string) int {
			return j.MaxTasksPerZone() - j.tasksByZone[zone]
		}
	}
	return w
}

func (s *State) waitingJobs() []*job {
	var queue []*job
	for _, j := range s.active {
		if j.waitingTasks() > 0 {
			queue = append(queue, j)
		}
	}
	sort.Slice(queue, func(a, b int) bool {
		if queue[a].rank != queue[b].rank {
			return queue[a].rank < queue[b].rank
		}
		return queue[a].arrival < queue[b].arrival
	})
	return queue
}

// offers lists what can be asked for now.
func (s *State) offers(have map[string]int) []fleet.Offer {
	var out []fleet.Offer
	for i := range s.typeList {
		t := s.types[s.typeList[i].Name]
		for _, zone := range t.Zones {
			if s.zones[zone].unreachable {
				continue
			}
			for _, spot := range []bool{false, true} {
				if r := s.refusedOffers[offerKey{t.Name, zone, spot}]; r != nil && s.now < r.retryAt {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				out = append(out, fleet.Offer{Type: t, Zone: zone, Spot: spot, Price: price, MachinesInZone: have[zone]})
			}
		}
	}
	return out
}
