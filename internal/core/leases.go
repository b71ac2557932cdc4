package core

import (
	"log/slog"
	"slices"
	"time"

	"mulleinfall/internal/model"
)

// This file decides when a machine's lease has expired, when a machine is given up
// before that, and when a takeover is complete.

// takeoverState is the progress of a new leader in accounting for the registered
// machines. A machine is accounted for when it has listed its tasks in this term, or
// certainly holds none from before the term.
type takeoverState struct {
	takeoverComplete bool       // every task of jobs from before this term is accounted for
	scanNext         int        // index in machinesByName: the machines before it are accounted for
	scanCount        int        // checks of machines so far, for MachinesScanned
	unaccountedFor   []*machine // machines of all zones that are not accounted for, as of the current dispatch round
}

// leaseEndsAt is when the lease under which the tasks of m may run has certainly expired, if no
// controller renews it again. A worker gets tasks only in answers to its reports, each of which
// renews the lease, so no task runs under a later lease than the last answer gave: also not if the
// worker has restarted since, unnoticed by this leader.
//
// The margin is four times the bound on the clock drift during a lease, plus 1/32 of a lease.
func (s *State) leaseEndsAt(m *machine) time.Duration {
	lease := s.cfg.Lease
	return m.lastReplyAt + lease + time.Duration(float64(lease)*4*ClockDrift) + lease/32
}

// expireLeases unbinds the tasks of machines whose lease has certainly expired, and drops
// their orphaned tasks (tasks on them that this leader has not bound to them).
func (s *State) expireLeases() {
	for _, m := range s.machinesByName {
		if !m.registered || s.now < s.leaseEndsAt(m) {
			continue
		}
		if !m.leaseExpired {
			s.expireLease(m)
		}
		for _, name := range sortedKeys(m.tasks) {
			s.unbind(m.tasks[name], "lease ran out")
			s.dispatchNeeded = true
		}
	}
	s.checkTakeoverComplete()
}

// expireLease records that the lease of m has certainly expired.
func (s *State) expireLease(m *machine) {
	m.leaseExpired, m.reconciled, m.noOldTasks = true, false, true
	s.log(slog.LevelInfo, "machine lost", "host", m.host, "term", s.leadership.Term, "tasks", len(m.tasks),
		"lease_counted_for", s.now-m.lastReplyAt, "silent_for", s.now-m.lastHeardAt)
	clear(m.orphanedTasks)
	s.machinesWithOrphans = slices.DeleteFunc(s.machinesWithOrphans, func(o *machine) bool { return o == m })
	m.view.LocalQueue = nil
	s.dispatchNeeded = true
}

// isUnaccounted says whether m may run tasks that this leader has not seen.
func (s *State) isUnaccounted(m *machine) bool { return m.registered && !m.reconciled && !m.noOldTasks }

// MachinesScanned is how many checks of single machines the takeover has taken so far.
func (s *State) MachinesScanned() int { return s.scanCount }

// checkTakeoverComplete completes the takeover once every task of jobs from before this
// term is accounted for: each registered machine has listed its tasks in this term, its
// lease has expired, or it was removed.
func (s *State) checkTakeoverComplete() {
	if s.takeoverComplete || !s.IsLeader() {
		return
	}
	// This runs for each report. If it checked all machines each time, the work of a
	// takeover would be quadratic in the number of machines.
	for ; s.scanNext < len(s.machinesByName); s.scanNext++ {
		s.scanCount++
		if s.isUnaccounted(s.machinesByName[s.scanNext]) {
			return
		}
	}
	s.scanCount += len(s.machinesByName)
	if slices.ContainsFunc(s.machinesByName, s.isUnaccounted) {
		s.scanNext = 0 // machines were added or removed meanwhile, or one has restarted
		return
	}
	s.takeoverComplete, s.dispatchNeeded = true, true
	s.log(slog.LevelInfo, "all machines accounted for", "term", s.leadership.Term)
}

// hasOverdueCancelledTasks says whether m still holds tasks of a cancelled job when three
// fifths of the time allowed by cancel_s have passed. Such a machine is returned, which
// ends the tasks whatever delays their stop. A new leader first gets two report intervals,
// or three fifths of cancel_s if that is shorter, to stop them. The time allowed counts from
// when this controller learnt of the cancellation. Counted from the election, a late change
// of leader would delay the return until long after cancel_s.
func (s *State) hasOverdueCancelledTasks(m *machine) bool {
	limit := s.cfg.CancelWithin * 3 / 5
	minTermAge := min(limit, 2*s.cfg.ReportInterval)
	isOverdue := func(j *job) bool {
		return j != nil && j.phase == model.PhaseAborted && s.now-j.finalSeenAt > limit && s.now-s.electedAt > minTermAge
	}
	for _, t := range m.tasks {
		if isOverdue(t.job) {
			return true
		}
	}
	for name := range m.orphanedTasks {
		id, _, _ := model.ParseTaskName(name)
		if isOverdue(s.jobs[id]) {
			return true
		}
	}
	return false
}

// wasReclaimed says whether the cloud has reclaimed m, as its notice announced: that was
// due at least a second ago, and m has not reported since it was due. Such a machine is returned by
// name, which makes certain that it is gone. Then its tasks need not wait until its lease
// expires, nor jobs from before the term until it reports.
func (s *State) wasReclaimed(m *machine) bool {
	return m.reclaimAt != 0 && s.now >= m.reclaimAt+time.Second && m.lastHeardAt < m.reclaimAt
}

// workerFailoverTimeout is the longest time that a worker takes to switch from a
// controller that is down to the next: 4 s without an answer, then 1 s (PROTOCOL).
const workerFailoverTimeout = 5 * time.Second

// reportTimeout is how long a machine may go without a report before it is marked as
// unresponsive in the registry or, by a new leader, presumed lost. It is the time that a
// worker needs to switch to another controller, but at least lower and at most upper, which
// the caller derives from the report interval. With a shorter time, many machines that are
// still switching after a controller's crash would lose their leases.
func (s *State) reportTimeout(lower, upper time.Duration) time.Duration {
	return max(lower, min(upper, workerFailoverTimeout))
}

// isPresumedLost says whether m, which has not been heard of in this term, is given up
// although its lease may still run. That is so when it did not answer a command, has had
// the time to find this controller, and at most 1/32 of the reachable machines are
// unaccounted for. Jobs from before this term wait until all machines are accounted for;
// without this rule, a few machines that failed together with the former leader would
// delay all of these jobs by a lease. Machines in unreachable zones are not counted. When
// an earlier version counted them and one of three zones was cut off, nine machines delayed
// all such jobs in the other two.
func (s *State) isPresumedLost(m *machine) bool {
	return s.isUnaccounted(m) && m.session == 0 && m.hasUnansweredCommand &&
		s.now-s.electedAt > s.reportTimeout(s.cfg.ReportInterval*5/4, s.maxReportGap()/2+s.cfg.ReportInterval) && s.unaccountedMachines*32 <= s.reachableMachines
}

// isSilentWithUrgentTasks says whether m is given up before its lease expires. All of these
// must hold: m has a service of the highest priority, or a task of a gang, whose other tasks
// wait until this one has ended; m has listed its tasks in this term, but has been silent
// for half a lease; the term has lasted for a lease; and most machines report, so that
// this controller is not at fault. The service would be down until the lease expires;
// returning the machine takes less time.
func (s *State) isSilentWithUrgentTasks(m *machine) bool {
	maxSilence := s.cfg.Lease / 2
	if !m.reconciled || s.now-m.lastHeardAt < maxSilence || s.now-s.electedAt < s.cfg.Lease {
		return false
	}
	hasUrgentTasks := false
	for _, t := range m.tasks {
		hasUrgentTasks = hasUrgentTasks || t.job.Kind == model.KindService && t.job.rank == 0 || t.job.Kind == model.KindGang
	}
	if !hasUrgentTasks {
		return false
	}
	return s.mostMachinesReport()
}

// mostMachinesReport says whether at least nine tenths of the reconciled machines have
// reported within the last two report intervals. One machine, the one in question, is not
// counted in the total. If so, a machine that does not report is at fault itself, and not
// this controller or the network.
func (s *State) mostMachinesReport() bool {
	reconciled, reporting := 0, 0
	for _, m := range s.machinesByName {
		if m.reconciled {
			reconciled++
			if s.now-m.lastHeardAt < 2*s.cfg.ReportInterval {
				reporting++
			}
		}
	}
	return reconciled > 1 && reporting*10 >= (reconciled-1)*9
}
