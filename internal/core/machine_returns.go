package core

import (
	"log/slog"
	"time"
)

// Giving machines back, and the zones that are left alone meanwhile.

// maxReturnBatch is how many machines one call to the cloud may return (PROTOCOL).
const maxReturnBatch = 100

// returnMachines returns machines that are lost, never came up, or idle.
func (s *State) returnMachines() {
	if s.returnInFlight {
		return
	}
	s.zones = s.assessZones()
	s.countUnaccounted()
	spare := s.newSpareCapacity()
	var hosts []string
	for _, m := range s.machinesByName {
		if len(hosts) >= maxReturnBatch {
			break
		}
		switch s.disposition(m) {
		case returnNow:
			hosts = append(hosts, m.host)
		case returnIfSpare:
			if spare.allowReturn(m) {
				hosts = append(hosts, m.host)
			}
		case machineInUse:
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
	s.unaccountedMachines, s.reachableMachines = 0, 0
	for _, m := range s.machinesByName {
		if s.zones[m.zone].unreachable {
			continue
		}
		s.reachableMachines++
		if s.isUnaccounted(m) {
			s.unaccountedMachines++
		}
	}
}

// disposition says what becomes of a machine now.
type disposition int

const (
	keepMachine   disposition = iota // neither used nor to be returned
	machineInUse                     // its time of idling begins anew
	returnIfSpare                    // if its room can be spared
	returnNow
)

// disposition says whether m is given back.
func (s *State) disposition(m *machine) disposition {
	switch {
	case m.returning, m.failed, s.hasOverdueCancelledTasks(m), s.wasReclaimed(m):
		return returnNow
	case s.zones[m.zone].unreachable:
		// Cut off, most likely: what is there goes on working by itself or
		// will, and a machine that lost its work keeps its images.
		return keepMachine
	case s.isUnresponsive(m), s.isPresumedLost(m):
		return returnNow
	case m.leaseExpired:
		return returnIf(s.isLostForGood(m))
	case !m.hasReported && !m.registered:
		return returnIf(s.now-m.rentedAt > s.bootTimeout(m))
	case !m.registered && s.now-m.lastHeardAt > 2*s.cfg.Lease, s.isUnreachableTooLong(m):
		return returnNow
	case m.slow && m.isEmpty():
		return returnNow
	case !m.preexisting && m.reclaimAt == 0 && m.reconciled && m.isEmpty() && len(m.view.LocalQueue) == 0:
		if s.takeoverComplete && s.isIdleLongEnough(m) {
			return returnIfSpare
		}
		return keepMachine
	}
	return machineInUse
}

func returnIf(now bool) disposition {
	if now {
		return returnNow
	}
	return keepMachine
}

// isLostForGood says whether m, whose lease ran out, is given up: not while nobody
// reports, since it is rather this node that is cut off then.
func (s *State) isLostForGood(m *machine) bool {
	return s.now-max(s.leaseEndsAt(m), s.zoneRecoveredAt[m.zone]) > s.cfg.Lease/2 && s.now-s.lastReportAt < 2*s.cfg.ReportInterval
}

// isEmpty says whether no task is on m, nor may be.
func (m *machine) isEmpty() bool { return len(m.tasks) == 0 && len(m.orphanedTasks) == 0 }

// returnHosts asks the cloud to take machines back.
func (s *State) returnHosts(hosts []string) {
	leadership := s.leadership
	ok := s.callCloud(CloudCall{Op: CloudReturn, Hosts: hosts}, func(d CloudResult) {
		if s.leadership != leadership {
			return
		}
		s.returnInFlight = false
		for _, h := range hosts {
			s.handleReturnReply(h, d.Status)
		}
	})
	if !ok {
		return
	}
	s.returnInFlight = true
	for _, h := range hosts {
		m := s.machines[h]
		level := slog.LevelInfo
		if m.returnLogged {
			level = slog.LevelDebug // tried before
		}
		m.returning, m.returnLogged = true, true
		s.dispatchNeeded = true
		if s.hasOverdueCancelledTasks(m) {
			s.log(level, "machine given up for cancelled tasks", "host", h, "silent_for", s.now-m.lastHeardAt, "term", s.leadership.Term)
		}
		s.log(level, "returning machine", "host", h, "up", m.hasReported, "lapsed", m.leaseExpired, "term", s.leadership.Term)
	}
}

// handleReturnReply takes the cloud's answer to a return.
func (s *State) handleReturnReply(host string, status int) {
	m := s.machines[host]
	switch {
	case status == 200:
		s.handleMachineGone(host)
	case m == nil:
	case status == 503 || status == 429:
		// Not done, so the machine is ours as before; held back, it
		// would stand empty for as long as the cloud is in trouble.
		m.returning = m.returnUnconfirmed
		s.dispatchNeeded = true
	default:
		m.returnUnconfirmed = true // perhaps gone at any moment from now
	}
}

func (s *State) bootTimeout(m *machine) time.Duration {
	boot := 30.0
	if m.machineType != nil {
		boot = max(m.machineType.BootS, 5)
	}
	return time.Duration(s.cfg.GiveUpBoots * boot * float64(time.Second))
}

// isIdleLongEnough says whether an idle machine has waited for work as long as
// renting it anew would take, and has used up its minimum charge.
func (s *State) isIdleLongEnough(m *machine) bool {
	boot := 30.0
	if m.machineType != nil {
		boot = max(m.machineType.BootS, 5)
	}
	const minimumCharge = 60 * time.Second // PROTOCOL, /machines/return
	return s.now-m.idleSince > time.Duration(s.cfg.IdleBoots*boot*float64(time.Second)) && s.now-m.rentedAt > minimumCharge
}

// handleMachineGone notes that the cloud has confirmed a machine's end.
func (s *State) handleMachineGone(host string) {
	m := s.machines[host]
	if m == nil {
		return
	}
	for _, name := range sortedKeys(m.tasks) {
		s.unbind(m.tasks[name], "machine returned")
	}
	s.removeMachine(host)
	if s.returnedAt == nil {
		s.returnedAt = map[string]time.Duration{}
	}
	s.returnedAt[host] = s.now
	s.unregister(m)
	s.dispatchNeeded = true
	s.checkTakeoverComplete()
}

// wasRecentlyReturned keeps the lagging list from bringing a machine back.
func (s *State) wasRecentlyReturned(host string) bool {
	at, ok := s.returnedAt[host]
	if !ok {
		return false
	}
	if s.now-at > 5*s.cfg.ListLag+32*s.cfg.Lease {
		delete(s.returnedAt, host)
		return false
	}
	return true
}
