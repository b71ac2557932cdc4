package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/model"
)

// Giving machines back, and the zones that are left alone meanwhile.

// giveBack returns machines that are lost, never came up, or idle.
func (s *State) giveBack() {
	if s.returnBy {
		return
	}
	var hosts []string
	s.zones = s.zoneView()
	s.unaccountedNow, s.inReach = 0, 0
	for _, m := range s.order {
		if s.zones[m.zone].silent {
			continue // each is waited for in any case, and says nothing of the rest
		}
		s.inReach++
		if s.unaccounted(m) {
			s.unaccountedNow++
		}
	}
	service := s.serviceNeed()
	room := 0
	for _, m := range s.order {
		room += s.serviceRoomOn(m, service)
	}
	gang, gangZone, gangRoom := s.gangRoom()
	idle := 1 + len(s.order)/16 // of idle machines at a time
	for _, m := range s.order {
		if len(hosts) >= 100 {
			break
		}
		switch {
		case m.returning, m.dead, s.overdue(m), s.taken(m):
			hosts = append(hosts, m.host)
		case s.zones[m.zone].silent:
			// Cut off, most likely: what is there goes on working by itself or
			// will, and a machine that lost its work keeps its images.
		case s.unresponsive(m), s.missing(m):
			hosts = append(hosts, m.host)
		case m.lapsed:
			// Not while nobody reports: then it is rather us who are cut off.
			if s.now-max(s.leaseEnd(m), s.zoneBack[m.zone]) > s.cfg.Lease/2 && s.now-s.lastReportAt < 2*s.cfg.ReportEvery {
				hosts = append(hosts, m.host)
			}
		case !m.up && !m.rostered:
			if s.now-m.rentedAt > s.bootLimit(m) {
				hosts = append(hosts, m.host)
			}
		case !m.rostered && s.now-m.heard > 2*s.cfg.Lease, s.unreachableTooLong(m):
			hosts = append(hosts, m.host)
		case m.slow && len(m.tasks) == 0 && len(m.orphans) == 0:
			hosts = append(hosts, m.host)
		case !m.standing && m.recallAt == 0 && m.adopted && len(m.tasks) == 0 && len(m.orphans) == 0 && len(m.view.Local) == 0:
			own, ofGang := s.serviceRoomOn(m, service), 0
			if gang != nil && m.zone == gangZone {
				ofGang = s.gangRoomOn(m, gang)
			}
			if s.settled && idle > 0 && s.idleEnough(m) && (own == 0 || room-own >= s.cfg.SpareServices) &&
				(ofGang == 0 || gangRoom-ofGang >= gang.Tasks*s.cfg.SpareGangs) {
				idle--
				room -= own
				gangRoom -= ofGang
				hosts = append(hosts, m.host)
			}
		default:
			m.idleSince = s.now
		}
	}
	if len(hosts) == 0 {
		return
	}
	leadership := s.leadership
	ok := s.cloud(CloudCall{Op: CloudReturn, Hosts: hosts}, func(d CloudDone) {
		if s.leadership != leadership {
			return
		}
		s.returnBy = false
		for _, h := range hosts {
			m := s.machines[h]
			switch {
			case d.Status == 200:
				s.gone(h)
			case m == nil:
			case d.Status == 503 || d.Status == 429:
				// Not done, so the machine is ours as before; held back, it
				// would stand empty for as long as the cloud is in trouble.
				m.returning = m.returnDoubt
				s.dirty = true
			default:
				m.returnDoubt = true // perhaps gone at any moment from now
			}
		}
	})
	if !ok {
		return
	}
	s.returnBy = true
	for _, h := range hosts {
		m := s.machines[h]
		level := slog.LevelInfo
		if m.returnTold {
			level = slog.LevelDebug // tried before
		}
		m.returning, m.returnTold = true, true
		s.dirty = true
		s.log(level, "returning machine", "host", h, "up", m.up, "lapsed", m.lapsed, "term", s.leadership.Term)
	}
}

func (s *State) bootLimit(m *machine) time.Duration {
	boot := 30.0
	if m.typ != nil {
		boot = max(m.typ.BootS, 5)
	}
	return time.Duration(s.cfg.GiveUpBoot * boot * float64(time.Second))
}

// idleEnough says whether an idle machine has waited for work as long as
// renting it anew would take, and has used up its minimum charge.
func (s *State) idleEnough(m *machine) bool {
	boot := 30.0
	if m.typ != nil {
		boot = max(m.typ.BootS, 5)
	}
	const minimumCharge = 60 * time.Second // PROTOCOL, /machines/return
	return s.now-m.idleSince > time.Duration(s.cfg.IdleReturn*boot*float64(time.Second)) && s.now-m.rentedAt > minimumCharge
}

// gone notes that the cloud has confirmed a machine's end.
func (s *State) gone(host string) {
	m := s.machines[host]
	if m == nil {
		return
	}
	for _, name := range ordered(m.tasks) {
		s.unbind(m.tasks[name], "machine returned")
	}
	s.drop(host)
	if s.returned == nil {
		s.returned = map[string]time.Duration{}
	}
	s.returned[host] = s.now
	s.strike(m)
	s.dirty = true
	s.checkSettled()
}

// recentlyReturned keeps the lagging list from bringing a machine back.
func (s *State) recentlyReturned(host string) bool {
	at, ok := s.returned[host]
	if !ok {
		return false
	}
	if s.now-at > 5*s.cfg.ListLag+32*s.cfg.Lease {
		delete(s.returned, host)
		return false
	}
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

// zoneState is what this leader hears of a zone's machines.
type zoneState struct {
	machines, heard int
	silent          bool
}

// zoneView finds the zones that are out of reach as a whole: most of their
// machines, and at least a few, don't report. Nothing is rented there nor
// counted on, and nothing returned, since what looks lost is only cut off;
// but not for ever.
func (s *State) zoneView() map[string]zoneState {
	zones := map[string]zoneState{}
	for _, m := range s.order {
		if !m.rostered || m.returning {
			continue
		}
		z := zones[m.zone]
		z.machines++
		if m.up && s.now-m.heard < s.silence() {
			z.heard++
		}
		zones[m.zone] = z
	}
	for _, name := range ordered(zones) {
		z := zones[name]
		if z.machines < 3 || z.heard*2 >= z.machines {
			if _, ok := s.silentAt[name]; ok {
				delete(s.silentAt, name)
				s.zoneBack[name] = s.now // its machines come back one by one
			}
			continue
		}
		if s.silentAt == nil {
			s.silentAt, s.zoneBack = map[string]time.Duration{}, map[string]time.Duration{}
		}
		if _, ok := s.silentAt[name]; !ok {
			s.silentAt[name] = s.now
			s.log(slog.LevelInfo, "zone out of reach", "zone", name, "machines", z.machines, "heard", z.heard, "term", s.leadership.Term)
		}
		z.silent = s.now-s.silentAt[name] < silentLeases*s.cfg.Lease
		zones[name] = z
	}
	return zones
}

// silentLeases is for how many leases a zone may be out of reach before its
// machines are given up.
const silentLeases = 16
