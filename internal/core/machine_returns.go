package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/model"
)

// This file decides which machines to return to the cloud, and returns them.

// maxReturnBatch is how many machines one call to the cloud may return (PROTOCOL).
const maxReturnBatch = 100

// returnMachines returns the machines that disposition chooses, mainly those that are lost,
// have never reported, or are idle.
func (s *State) returnMachines() {
	if s.returnInFlight {
		return
	}
	s.zones = s.assessZones()
	s.countUnaccounted()
	spareCapacity := s.newSpareCapacity()
	var hosts []string
	for _, m := range s.machinesByName {
		if len(hosts) >= maxReturnBatch {
			break
		}
		switch s.disposition(m) {
		case returnNow:
			hosts = append(hosts, m.host)
		case returnIfSpare:
			if spareCapacity.allowReturn(m) {
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

// countUnaccounted counts the machines outside unreachable zones, and those of them that
// may run tasks that this leader has not seen. The counts tell whether only a few machines
// are missing (isPresumedLost). A zone that is cut off as a whole would hide that: jobs that
// may have tasks there wait for its machines in any case.
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

// disposition is what to do with a machine now.
type disposition int

const (
	// keepMachine keeps a machine and leaves its idleSince: the machine is idle but not to be
	// returned yet, or it is starting, its lease has expired, or its zone is unreachable.
	keepMachine disposition = iota
	// machineInUse keeps a machine and sets its idleSince to now: it has or may have tasks,
	// or being idle is no reason to return it.
	machineInUse
	returnIfSpare // return it if its capacity need not be kept free
	returnNow
)

// disposition decides what to do with m.
func (s *State) disposition(m *machine) disposition {
	switch {
	case m.returning, m.failed, s.hasOverdueCancelledTasks(m), s.wasReclaimed(m):
		return returnNow // m.returning: the return is repeated until the cloud confirms or refuses it (handleReturnReply)
	case s.zones[m.zone].unreachable:
		// The machines are most likely only cut off. Their tasks go on, or can run there
		// again later, and a machine whose tasks have ended still holds its images.
		return keepMachine
	case s.isSilentWithUrgentTasks(m), s.isPresumedLost(m):
		return returnNow
	case m.leaseExpired:
		return returnNowOrKeep(s.isLostForGood(m))
	case !m.hasReported && !m.registered:
		return returnNowOrKeep(s.now-m.rentedAt > s.bootTimeout(m))
	case !m.registered && s.now-m.lastHeardAt > 2*s.cfg.Lease, s.shouldReturnUnreachable(m):
		return returnNow // an unregistered machine has no lease that expireLeases watches
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

// returnNowOrKeep returns returnNow if now is true, otherwise keepMachine.
func returnNowOrKeep(now bool) disposition {
	if now {
		return returnNow
	}
	return keepMachine
}

// isLostForGood says whether m, whose lease has expired, is given up: half a lease after
// that, or after its zone has recovered, whichever is later. It is kept while no machine
// has reported for two report intervals, because then this controller is more likely to be
// cut off.
func (s *State) isLostForGood(m *machine) bool {
	return s.now-max(s.leaseEndsAt(m), s.zoneRecoveredAt[m.zone]) > s.cfg.Lease/2 && s.now-s.lastReportAt < 2*s.cfg.ReportInterval
}

// isEmpty says whether no task is or may be on m, as far as this leader knows.
func (m *machine) isEmpty() bool { return len(m.tasks) == 0 && len(m.orphanedTasks) == 0 }

// returnHosts asks the cloud to end the rental of machines.
func (s *State) returnHosts(hosts []string) {
	leadership := s.leadership
	sent := s.callCloud(CloudCall{Op: CloudReturn, Hosts: hosts}, func(result CloudResult) {
		if s.leadership != leadership {
			return
		}
		s.returnInFlight = false
		for _, host := range hosts {
			s.handleReturnReply(host, result.Status)
		}
	})
	if !sent {
		return
	}
	s.returnInFlight = true
	for _, host := range hosts {
		m := s.machines[host]
		level := slog.LevelInfo
		if m.returnLogged {
			level = slog.LevelDebug // logged at an earlier attempt
		}
		m.returning, m.returnLogged = true, true
		s.dispatchNeeded = true
		if s.hasOverdueCancelledTasks(m) {
			s.log(level, "machine given up for cancelled tasks", "host", host, "silent_for", s.now-m.lastHeardAt, "term", s.leadership.Term)
		}
		s.log(level, "returning machine", "host", host, "up", m.hasReported, "lapsed", m.leaseExpired, "term", s.leadership.Term)
	}
}

// handleReturnReply handles the cloud's answer to the return of a machine.
func (s *State) handleReturnReply(host string, status int) {
	m := s.machines[host]
	switch {
	case status == 200:
		s.handleMachineGone(host)
	case m == nil:
	case status == 503 || status == 429:
		// The cloud has refused the return, so the machine can be used as before, unless the
		// outcome of an earlier attempt is unknown. If it were not used, it would stay empty
		// for as long as the cloud refuses requests.
		m.returning = m.returnUnconfirmed
		s.dispatchNeeded = true
	default:
		m.returnUnconfirmed = true // the outcome is unknown: it may disappear at any moment
	}
}

// bootTimeout is how long m may take from its rental to its first report: the configured
// multiple of its boot time, which is taken as 5 s at least, and as 30 s while its type is
// unknown.
func (s *State) bootTimeout(m *machine) time.Duration {
	bootS := 30.0
	if m.machineType != nil {
		bootS = max(m.machineType.BootS, 5)
	}
	return model.Duration(s.cfg.GiveUpBoots * bootS)
}

// isIdleLongEnough says whether an idle machine has been idle for the configured multiple
// of its boot time (taken as in bootTimeout), and has been rented for longer than the
// minimum charge covers.
func (s *State) isIdleLongEnough(m *machine) bool {
	bootS := 30.0
	if m.machineType != nil {
		bootS = max(m.machineType.BootS, 5)
	}
	const minimumCharge = 60 * time.Second // the cloud charges for this time at least (PROTOCOL, /machines/return)
	return s.now-m.idleSince > model.Duration(s.cfg.IdleBoots*bootS) && s.now-m.rentedAt > minimumCharge
}

// handleMachineGone removes a machine after the cloud has confirmed that it is gone, and
// unbinds its tasks.
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

// wasRecentlyReturned says whether host was returned so recently that the cloud's list,
// which lags, or a late report may still show it. Such a machine must not be added again.
// An entry that is old enough is removed.
func (s *State) wasRecentlyReturned(host string) bool {
	returnedAt, ok := s.returnedAt[host]
	if !ok {
		return false
	}
	if s.now-returnedAt > 5*s.cfg.ListLag+32*s.cfg.Lease {
		delete(s.returnedAt, host)
		return false
	}
	return true
}
