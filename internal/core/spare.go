package core

import (
	"mulleinfall/internal/model"
)

// Room that is kept free for services and gangs to come.

// spareRoom is the room that is to be kept free for services and gangs, and how
// many idle machines may go at a time.
type spareRoom struct {
	s        *State
	idle     int
	service  *job
	room     int // for tasks of the service
	gang     *job
	gangZone string
	gangRoom int // for tasks of the gang, in its zone
}

// idlePart is the part of all machines that may go at a time, for being idle.
const idlePart = 16

func (s *State) newSpareRoom() *spareRoom {
	r := &spareRoom{s: s, idle: 1 + len(s.machinesByName)/idlePart, service: s.serviceNeed()}
	for _, m := range s.machinesByName {
		r.room += s.serviceRoomOn(m, r.service)
	}
	r.gang, r.gangZone, r.gangRoom = s.gangRoom()
	return r
}

// canSpare says whether m may go, and if so counts it as gone.
func (r *spareRoom) canSpare(m *machine) bool {
	own, ofGang := r.s.serviceRoomOn(m, r.service), 0
	if r.gang != nil && m.zone == r.gangZone {
		ofGang = r.s.gangRoomOn(m, r.gang)
	}
	enough := (own == 0 || r.room-own >= r.s.cfg.SpareServices) &&
		(ofGang == 0 || r.gangRoom-ofGang >= r.gang.Tasks*r.s.cfg.SpareGangs)
	if r.idle <= 0 || !enough {
		return false
	}
	r.idle--
	r.room -= own
	r.gangRoom -= ofGang
	return true
}

// serviceNeed is a job with the most demanding service tasks of now, or nil.
func (s *State) serviceNeed() *job {
	var best *job
	for _, j := range s.active {
		if j.Kind == model.Service && j.rank == 0 && (best == nil || j.CPUs > best.CPUs || j.CPUs == best.CPUs && j.arrival < best.arrival) {
			best = j
		}
	}
	return best
}

// serviceRoomOn is for how many of the service tasks of j m has room, up to
// what is to be kept free.
func (s *State) serviceRoomOn(m *machine, j *job) int {
	if j == nil || m.spot || !s.usable(m) {
		return 0
	}
	need := j.need()
	n := 0
	for free := m.view.Free; n < s.cfg.SpareServices && free.Fits(need); free = free.Sub(need) {
		n++
	}
	return n
}
