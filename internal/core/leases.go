package core

import (
	"log/slog"
	"slices"
	"time"

	"mulleinfall/internal/model"
)

// Machines that are lost, missing or given up, and when a takeover is settled.

// takeoverState is how far a new leader has come in accounting for the machines
// of the roster.
type takeoverState struct {
	takeoverComplete bool       // every task of older jobs is accounted for
	scanNext         int        // of order: the machines before are accounted for
	scanCount        int        // machines looked at in search of others
	unaccountedFor   []*machine // as of this round
}

// leaseEndsAt is when m's lease has surely run out, if nobody answers it again.
func (s *State) leaseEndsAt(m *machine) time.Duration {
	l := s.cfg.Lease
	return m.lastReplyAt + l + time.Duration(float64(l)*4*ClockDrift) + l/32
}

// expireLeases unbinds what was on machines whose lease has surely run out.
func (s *State) expireLeases() {
	for _, m := range s.machinesByName {
		if m.leaseExpired || !m.registered || s.now < s.leaseEndsAt(m) {
			continue
		}
		m.leaseExpired, m.reconciled, m.noOldTasks = true, false, true
		s.log(slog.LevelInfo, "machine lost", "host", m.host, "term", s.leadership.Term, "tasks", len(m.tasks))
		for _, name := range sortedKeys(m.tasks) {
			s.unbind(m.tasks[name], "lease ran out")
		}
		clear(m.orphanedTasks)
		s.machinesWithOrphans = slices.DeleteFunc(s.machinesWithOrphans, func(o *machine) bool { return o == m })
		m.view.LocalQueue = nil
		s.dispatchNeeded = true
	}
	s.checkTakeoverComplete()
}

// isUnaccounted says whether m may run tasks that this leader hasn't seen.
func (s *State) isUnaccounted(m *machine) bool { return m.registered && !m.reconciled && !m.noOldTasks }

// MachinesScanned is how many machines were looked at until this term was settled.
func (s *State) MachinesScanned() int { return s.scanCount }

// checkTakeoverComplete notes when every task of older jobs is accounted for: each
// machine of the roster has shown all it has under this term, or is gone.
func (s *State) checkTakeoverComplete() {
	if s.takeoverComplete || !s.IsLeader() {
		return
	}
	// It is called for each report: looking at all machines each time would
	// make a takeover's work grow with the square of the fleet.
	for ; s.scanNext < len(s.machinesByName); s.scanNext++ {
		s.scanCount++
		if s.isUnaccounted(s.machinesByName[s.scanNext]) {
			return
		}
	}
	s.scanCount += len(s.machinesByName)
	if slices.ContainsFunc(s.machinesByName, s.isUnaccounted) {
		s.scanNext = 0 // the order has changed meanwhile, or one has begun anew
		return
	}
	s.takeoverComplete, s.dispatchNeeded = true, true
	s.log(slog.LevelInfo, "all machines accounted for", "term", s.leadership.Term)
}

// hasOverdueCancelledTasks gives up machines on which tasks of a withdrawn job are still to be
// seen when most of the time allowed for that has passed: whatever holds the
// stop up, returning the machine ends them. A new leader tries to stop them
// first, but doesn't start counting again: with a leader that changed late they
// were given up long after cancel_s.
func (s *State) hasOverdueCancelledTasks(m *machine) bool {
	limit := s.cfg.CancelWithin * 3 / 5
	tried := min(limit, 2*s.cfg.ReportInterval)
	late := func(j *job) bool {
		return j != nil && j.phase == model.PhaseAborted && s.now-j.finalSeenAt > limit && s.now-s.electedAt > tried
	}
	for _, t := range m.tasks {
		if late(t.job) {
			return true
		}
	}
	for name := range m.orphanedTasks {
		id, _, _ := model.ParseTaskName(name)
		if late(s.jobs[id]) {
			return true
		}
	}
	return false
}

// wasReclaimed says whether the cloud has taken m back, as it had told. Returned by
// name it is surely gone: its tasks needn't wait for its lease, nor a
// successor's older jobs for its word.
func (s *State) wasReclaimed(m *machine) bool {
	return m.reclaimAt != 0 && s.now >= m.reclaimAt+time.Second && m.lastHeardAt < m.reclaimAt
}

// workerFailoverTimeout is how long a worker takes at most to turn from a controller that
// is gone to the next: 4 s without an answer, then 1 s (PROTOCOL).
const workerFailoverTimeout = 5 * time.Second

// reportTimeout is the silence after which a machine is rather gone than on its
// way from one controller to the next: soon where reports are rare, late where
// they come more often than a worker finds the next controller. Marked or given
// up earlier, whole parts of a fleet lost their leases after a crash.
func (s *State) reportTimeout(soon, late time.Duration) time.Duration {
	return max(soon, min(late, workerFailoverTimeout))
}

// isPresumedLost says whether m, of which this term has heard nothing, is given up
// though its lease may not be over: nearly all others have shown their tasks,
// it doesn't answer a command, and every older job waits for the last of them.
// A lease for a handful of machines that died with the former leader would
// hold up the whole fleet. Zones that are cut off don't count among the others:
// with one of three gone, nine machines held up all older jobs of the other two.
func (s *State) isPresumedLost(m *machine) bool {
	return s.isUnaccounted(m) && m.session == 0 && m.hasUnansweredCommand &&
		s.now-s.electedAt > s.reportTimeout(s.cfg.ReportInterval*5/4, s.maxReportGap()/2+s.cfg.ReportInterval) && s.unaccountedMachines*32 <= s.reachableMachines
}

// isUnresponsive says whether m is given up before its lease is over: it carries
// services, or tasks of gangs whose others wait for its end, neither reports nor answers, and nearly all others do, so that it
// is the machine and not this node that is out of reach. Waiting for the lease
// would keep the services down for longer than returning it.
func (s *State) isUnresponsive(m *machine) bool {
	quiet := s.cfg.Lease / 2
	if !m.reconciled || s.now-m.lastHeardAt < quiet || s.now-s.electedAt < s.cfg.Lease {
		return false
	}
	services := false
	for _, t := range m.tasks {
		services = services || t.job.Kind == model.KindService && t.job.rank == 0 || t.job.Kind == model.KindGang
	}
	if !services {
		return false
	}
	return s.mostMachinesReport()
}

// mostMachinesReport says whether nearly all machines report: one that doesn't is
// then itself at fault, and not this node or the network.
func (s *State) mostMachinesReport() bool {
	there, well := 0, 0
	for _, o := range s.machinesByName {
		if o.reconciled {
			there++
			if s.now-o.lastHeardAt < 2*s.cfg.ReportInterval {
				well++
			}
		}
	}
	return there > 1 && well*10 >= (there-1)*9
}
