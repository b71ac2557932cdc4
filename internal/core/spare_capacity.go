package core

import (
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// Spare capacity: idle machines are kept for services and gangs that may arrive.

// spareCapacity decides which idle machines may be returned, so that enough capacity
// stays free for services and gangs.
type spareCapacity struct {
	s            *State
	returnsLeft  int  // idle machines that may still be returned in this pass
	service      *job // see largestService; nil: none
	serviceTasks int  // tasks of the service that fit on the free capacity
	gang         *job // see spareGang; nil: none
	gangZone     string
	gangTasks    int // tasks of the gang that fit on the free capacity in gangZone
}

// idleReturnDivisor limits the return of idle machines: at a time, one machine plus a
// share of 1/idleReturnDivisor of all machines may be returned.
const idleReturnDivisor = 16

// newSpareCapacity determines what capacity is free for services and gangs now.
func (s *State) newSpareCapacity() *spareCapacity {
	r := &spareCapacity{s: s, returnsLeft: 1 + len(s.machinesByName)/idleReturnDivisor, service: s.largestService()}
	for _, m := range s.machinesByName {
		r.serviceTasks += s.serviceTasksThatFit(m, r.service)
	}
	r.gang, r.gangZone, r.gangTasks = s.spareGangCapacity()
	return r
}

// allowReturn reports whether the idle machine m may be returned: the limit on returns
// allows it, and m isn't needed for the spare capacity, that is for SpareServices tasks of
// the service and for SpareGangs gangs. If so, m's capacity no longer counts as spare.
func (r *spareCapacity) allowReturn(m *machine) bool {
	serviceTasks, gangTasks := r.s.serviceTasksThatFit(m, r.service), 0
	if r.gang != nil && m.zone == r.gangZone {
		gangTasks = r.s.gangTasksThatFit(m, r.gang)
	}
	enough := (serviceTasks == 0 || r.serviceTasks-serviceTasks >= r.s.cfg.SpareServices) &&
		(gangTasks == 0 || r.gangTasks-gangTasks >= r.gang.Tasks*r.s.cfg.SpareGangs)
	if r.returnsLeft <= 0 || !enough {
		return false
	}
	r.returnsLeft--
	r.serviceTasks -= serviceTasks
	r.gangTasks -= gangTasks
	return true
}

// largestService returns the active prod service whose tasks need the most CPUs, or nil.
func (s *State) largestService() *job {
	var best *job
	for _, j := range s.active {
		if j.Kind == model.KindService && j.rank == 0 && (best == nil || j.CPUs > best.CPUs || j.CPUs == best.CPUs && j.arrival < best.arrival) {
			best = j
		}
	}
	return best
}

// serviceTasksThatFit returns how many tasks of the service j fit on m now, up to
// SpareServices. Spot machines don't count.
func (s *State) serviceTasksThatFit(m *machine, j *job) int {
	if j == nil || m.spot || !s.isUsable(m) {
		return 0
	}
	return sched.TasksThatFit(m.view.Free, j.need(), s.cfg.SpareServices)
}
