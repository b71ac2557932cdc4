package core

import (
	"mulleinfall/internal/model"
)

// Room that is kept free for services and gangs to come.

// spareCapacity is the room that is to be kept free for services and gangs, and how
// many idle machines may go at a time.
type spareCapacity struct {
	s            *State
	returnsLeft  int
	service      *job
	serviceTasks int // for tasks of the service
	gang         *job
	gangZone     string
	gangTasks    int // for tasks of the gang, in its zone
}

// idleReturnDivisor is the part of all machines that may go at a time, for being idle.
const idleReturnDivisor = 16

func (s *State) newSpareCapacity() *spareCapacity {
	r := &spareCapacity{s: s, returnsLeft: 1 + len(s.machinesByName)/idleReturnDivisor, service: s.largestService()}
	for _, m := range s.machinesByName {
		r.serviceTasks += s.serviceTasksThatFit(m, r.service)
	}
	r.gang, r.gangZone, r.gangTasks = s.spareGangCapacity()
	return r
}

// allowReturn says whether m may go, and if so counts it as gone.
func (r *spareCapacity) allowReturn(m *machine) bool {
	own, ofGang := r.s.serviceTasksThatFit(m, r.service), 0
	if r.gang != nil && m.zone == r.gangZone {
		ofGang = r.s.gangTasksThatFit(m, r.gang)
	}
	enough := (own == 0 || r.serviceTasks-own >= r.s.cfg.SpareServices) &&
		(ofGang == 0 || r.gangTasks-ofGang >= r.gang.Tasks*r.s.cfg.SpareGangs)
	if r.returnsLeft <= 0 || !enough {
		return false
	}
	r.returnsLeft--
	r.serviceTasks -= own
	r.gangTasks -= ofGang
	return true
}

// largestService is a job with the most demanding service tasks of now, or nil.
func (s *State) largestService() *job {
	var best *job
	for _, j := range s.active {
		if j.Kind == model.KindService && j.rank == 0 && (best == nil || j.CPUs > best.CPUs || j.CPUs == best.CPUs && j.arrival < best.arrival) {
			best = j
		}
	}
	return best
}

// serviceTasksThatFit is for how many of the service tasks of j m has room, up to
// what is to be kept free.
func (s *State) serviceTasksThatFit(m *machine, j *job) int {
	if j == nil || m.spot || !s.isUsable(m) {
		return 0
	}
	need := j.need()
	n := 0
	for free := m.view.Free; n < s.cfg.SpareServices && free.Fits(need); free = free.Sub(need) {
		n++
	}
	return n
}
