package core

import (
	"sort"
	"time"

	"mulleinfall/internal/fleet"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// This file collects the input of fleet.Plan: the demand for machines, the expected
// capacity, and the offers of the cloud.

// shortestBootTime is the shortest boot time of all machine types.
func (s *State) shortestBootTime() time.Duration {
	bootS := 0.0
	for i := range s.typeList {
		if b := s.typeList[i].BootS; bootS == 0 || b < bootS {
			bootS = b
		}
	}
	return model.Duration(bootS)
}

// demands lists the waiting tasks, those of the highest priority first, and then the
// capacity to keep free for services and gangs that may arrive (spare_capacity.go).
func (s *State) demands() []fleet.Demand {
	var demands []fleet.Demand
	for _, j := range s.waitingJobs() {
		if s.now < j.gang.nextRentalAt {
			continue // see postponeRentals
		}
		demand := s.demandFor(j, j.waitingTasks())
		demand.CanWait = !s.isUrgent(j)
		demands = append(demands, demand)
	}
	if j := s.largestService(); j != nil && s.cfg.SpareServices > 0 {
		spareService := &job{Job: j.Job}
		spareService.Spread, spareService.Zone = false, "" // the spare capacity may be in any zone
		demands = append(demands, s.demandFor(spareService, s.cfg.SpareServices))
	}
	if spareGang := s.spareGang(); spareGang != nil {
		demand := s.demandFor(spareGang, spareGang.Tasks*s.cfg.SpareGangs)
		demand.AllOrNothing = false // nothing waits for it yet
		demands = append(demands, demand)
	}
	return demands
}

// expectedCapacity lists the free capacity that each machine will have by the time when a
// machine rented now could be up. All of a machine that has not reported yet counts as free.
func (s *State) expectedCapacity() []fleet.ExpectedCapacity {
	var expected []fleet.ExpectedCapacity
	horizon := s.now + s.shortestBootTime()
	for _, m := range s.machinesByName {
		if s.zones[m.zone].unreachable || m.machineType == nil || m.returning || m.failed || m.leaseExpired || m.slow || m.reclaimAt != 0 {
			continue
		}
		capacity := fleet.ExpectedCapacity{Type: m.typeName, Zone: m.zone, Spot: m.spot, Free: m.view.Capacity}
		if m.hasReported {
			if m.reachability.unreachable || s.now-m.lastHeardAt >= s.maxReportGap() {
				continue // it may be gone
			}
			if capacity.Free = s.freeAt(m, horizon); capacity.Free.CPUs <= 0 || capacity.Free.MemoryGB <= 0 {
				continue // it has no capacity by then
			}
		}
		expected = append(expected, capacity)
	}
	return expected
}

// freeAt is the free capacity of m at a time, if it gets no more tasks. It includes the
// capacity of running tasks that should have ended by then, which need not be rented.
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

// isUrgent says whether j can no longer wait for capacity on present machines or for
// cheaper ones. Only batch jobs can wait: until the share fleet.patience of their spare time
// has passed since the submission. The spare time is what the completion target leaves
// besides boot, image fetch and run, or what the start goal of the class leaves besides boot
// and image fetch if that is less.
func (s *State) isUrgent(j *job) bool {
	if j.Kind != model.KindBatch {
		return true
	}
	bootS, fetchGBPerS := 0.0, 0.0
	for i := range s.typeList {
		machineType := &s.typeList[i]
		if machineType.FitsTask(&j.Job) && (bootS == 0 || machineType.BootS < bootS) {
			bootS, fetchGBPerS = machineType.BootS, machineType.FetchGBPerS
		}
	}
	// Actual boot and run times often exceed the stated ones by half. That is allowed for
	// in full for the boot and in part for the run.
	readyS := 1.5*bootS + j.ImageGB/max(fetchGBPerS, 0.001)
	spare := s.completionTarget(j) - model.Duration(readyS+1.25*j.EstimateS)
	if startWithin := s.cfg.Goals[j.Class].StartWithin; startWithin > 0 {
		spare = min(spare, startWithin-model.Duration(readyS))
	}
	return s.jobAge(j) >= time.Duration(s.cfg.Patience*float64(spare))
}

// completionTarget is the time within which j should be done after its submission. A job
// with neither a finish goal nor a due time gets cancel_s.
func (s *State) completionTarget(j *job) time.Duration {
	goal := s.cfg.Goals[j.Class]
	switch {
	case goal.FinishWithin > 0:
		return goal.FinishWithin
	case goal.DueFactor > 0 && j.DueS != nil:
		return model.Duration(goal.DueFactor * *j.DueS)
	case j.DueS != nil:
		return model.Duration(*j.DueS)
	}
	return s.cfg.CancelWithin
}

// demandFor returns the demand of count tasks of j.
func (s *State) demandFor(j *job, count int) fleet.Demand {
	demand := fleet.Demand{Job: &j.Job, Count: count, Need: j.need()}
	demand.OneZone, demand.AllOrNothing = j.OneZone, j.Kind == model.KindGang
	if demand.OneZone && len(j.tasks) > 0 {
		// The other tasks must be in the zone of those that have a machine.
		jobInZone := j.Job
		for zone, bound := range j.tasksByZone {
			if bound > 0 {
				jobInZone.Zone = zone
			}
		}
		demand.Job = &jobInZone
	}
	if j.Spread {
		demand.ZoneAllowance = func(zone string) int {
			return j.MaxTasksPerZone() - j.tasksByZone[zone]
		}
	}
	return demand
}

// waitingJobs lists the jobs with waiting tasks, by priority and then by arrival.
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

// offers lists the machines that can be requested from the cloud now. machinesByZone is
// the number of present machines in each zone.
func (s *State) offers(machinesByZone map[string]int) []fleet.Offer {
	var offers []fleet.Offer
	for i := range s.typeList {
		machineType := s.types[s.typeList[i].Name]
		for _, zone := range machineType.Zones {
			if s.zones[zone].unreachable {
				continue
			}
			for _, spot := range []bool{false, true} {
				if r := s.refusedOffers[offerKey{machineType.Name, zone, spot}]; r != nil && s.now < r.retryAt {
					continue
				}
				price := machineType.Price
				if spot {
					price = machineType.SpotPrice
				}
				offers = append(offers, fleet.Offer{Type: machineType, Zone: zone, Spot: spot, Price: price, MachinesInZone: machinesByZone[zone]})
			}
		}
	}
	return offers
}
