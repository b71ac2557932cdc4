package core

import (
	"log/slog"
	"time"
)

// Giving machines back, and the zones that are left alone meanwhile.

// maxReturned is how many machines one call to the cloud may return (PROTOCOL).
const maxReturned = 100

// giveBack returns machines that are lost, never came up, or idle.
func (s *State) giveBack() {
	if s.returnBy {
		return
	}
	s.zones = s.zoneView()
	s.countUnaccounted()
	spare := s.newSpareRoom()
	var hosts []string
	for _, m := range s.machinesByName {
		if len(hosts) >= maxReturned {
			break
		}
		switch s.disposition(m) {
		case returnNow:
			hosts = append(hosts, m.host)
		case returnIdle:
			if spare.canSpare(m) {
				hosts = append(hosts, m.host)
			}
		case inUse:
			m.idleSince = s.now
		}
	}
	if len(hosts) > 0 {
		s.returnHosts(hosts)
	}
}

// countUnaccounted counts the machines in reach, and those of them that may run
// tasks that this leader hasn't seen. A zone that is cut off is waited for in any
// case, and says nothing of the rest.
func (s *State) countUnaccounted() {
	s.unaccountedNow, s.inReach = 0, 0
	for _, m := range s.machinesByName {
		if s.zones[m.zone].silent {
			continue
		}
		s.inReach++
		if s.unaccounted(m) {
			s.unaccountedNow++
		}
	}
}

// disposition says what becomes of a machine now.
type disposition int

const (
	keep       disposition = iota // neither used nor to be returned
	inUse                         // its time of idling begins anew
	returnIdle                    // if its room can be spared
	returnNow
)

// disposition says whether m is given back.
func (s *State) disposition(m *machine) disposition {
	switch {
	case m.returning, m.dead, s.overdue(m), s.taken(m):
		return returnNow
	case s.zones[m.zone].silent:
		// Cut off, most likely: what is there goes on working by itself or
		// will, and a machine that lost its work keeps its images.
		return keep
	case s.unresponsive(m), s.missing(m):
		return returnNow
	case m.lapsed:
		return returnIf(s.lostForGood(m))
	case !m.up && !m.rostered:
		return returnIf(s.now-m.rentedAt > s.bootLimit(m))
	case !m.rostered && s.now-m.heard > 2*s.cfg.Lease, s.unreachableTooLong(m):
		return returnNow
	case m.slow && m.empty():
		return returnNow
	case !m.standing && m.recallAt == 0 && m.adopted && m.empty() && len(m.view.Local) == 0:
		if s.settled && s.idleEnough(m) {
			return returnIdle
		}
		return keep
	}
	return inUse
}

func returnIf(now bool) disposition {
	if now {
		return returnNow
	}
	return keep
}

// lostForGood says whether m, whose lease ran out, is given up: not while nobody
// reports, since it is rather this node that is cut off then.
func (s *State) lostForGood(m *machine) bool {
	return s.now-max(s.leaseEnd(m), s.zoneBack[m.zone]) > s.cfg.Lease/2 && s.now-s.lastReportAt < 2*s.cfg.ReportInterval
}

// empty says whether no task is on m, nor may be.
func (m *machine) empty() bool { return len(m.tasks) == 0 && len(m.orphans) == 0 }

// returnHosts asks the cloud to take machines back.
func (s *State) returnHosts(hosts []string) {
	leadership := s.leadership
	ok := s.cloud(CloudCall{Op: CloudReturn, Hosts: hosts}, func(d CloudResult) {
		if s.leadership != leadership {
			return
		}
		s.returnBy = false
		for _, h := range hosts {
			s.returnAnswered(h, d.Status)
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
		if s.overdue(m) {
			s.log(level, "machine given up for cancelled tasks", "host", h, "silent_for", s.now-m.heard, "term", s.leadership.Term)
		}
		s.log(level, "returning machine", "host", h, "up", m.up, "lapsed", m.lapsed, "term", s.leadership.Term)
	}
}

// returnAnswered takes the cloud's answer to a return.
func (s *State) returnAnswered(host string, status int) {
	m := s.machines[host]
	switch {
	case status == 200:
		s.gone(host)
	case m == nil:
	case status == 503 || status == 429:
		// Not done, so the machine is ours as before; held back, it
		// would stand empty for as long as the cloud is in trouble.
		m.returning = m.returnDoubt
		s.dirty = true
	default:
		m.returnDoubt = true // perhaps gone at any moment from now
	}
}

func (s *State) bootLimit(m *machine) time.Duration {
	boot := 30.0
	if m.typ != nil {
		boot = max(m.typ.BootS, 5)
	}
	return time.Duration(s.cfg.GiveUpBoots * boot * float64(time.Second))
}

// idleEnough says whether an idle machine has waited for work as long as
// renting it anew would take, and has used up its minimum charge.
func (s *State) idleEnough(m *machine) bool {
	boot := 30.0
	if m.typ != nil {
		boot = max(m.typ.BootS, 5)
	}
	const minimumCharge = 60 * time.Second // PROTOCOL, /machines/return
	return s.now-m.idleSince > time.Duration(s.cfg.IdleBoots*boot*float64(time.Second)) && s.now-m.rentedAt > minimumCharge
}

// gone notes that the cloud has confirmed a machine's end.
func (s *State) gone(host string) {
	m := s.machines[host]
	if m == nil {
		return
	}
	for _, name := range sortedKeys(m.tasks) {
		s.unbind(m.tasks[name], "machine returned")
	}
	s.drop(host)
	if s.returned == nil {
		s.returned = map[string]time.Duration{}
	}
	s.returned[host] = s.now
	s.unregister(m)
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
