package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// Gangs: the tasks of a gang find each other by their attempt number. They start
// when the last of them has its image, and a part of a gang is of no use.

// gangState is what a leader keeps about gangs in general.
type gangState struct {
	nextGangCheckAt time.Duration         // no check for incomplete gangs before this time
	recentGangs     map[string]recentGang // the largest recent gang of each class
}

// gangStatus is what a leader knows about a gang's current or most recent attempt.
type gangStatus struct {
	attempt        uint64
	started        bool          // its tasks run or ran, so that a lost task can't be replaced
	gatheringSince time.Duration // when a task was first seen waiting for the others; 0: never
	aborting       bool          // the attempt is being stopped; the next one starts when its tasks are gone
	// excludedHosts are the machines on which a task of this attempt has ended. They
	// would treat another start order of this attempt as a duplicate.
	excludedHosts map[string]bool

	// When the cloud doesn't provide all machines that the gang needs, renting for it
	// pauses until nextRentalAt. rentPauses counts the pauses, and machinesRented says
	// whether any machine was rented for the gang since the last pause began.
	machinesRented bool
	rentPauses     int
	nextRentalAt   time.Duration

	nextVictimSearchAt time.Duration // no search for tasks to preempt for the gang before this time
}

// isGangSchedulable reports whether tasks of j may be placed now: either all of them,
// or those that are missing while the others wait for them. While tasks of an attempt
// that has started or is being aborted are left, a task placed now could run twice, or
// in another zone than the rest.
func (s *State) isGangSchedulable(j *job) bool {
	if len(j.tasks) == 0 {
		return true
	}
	return !j.gang.aborting && !j.gang.started && s.canCompleteGang(j)
}

// canCompleteGang reports whether an attempt that hasn't started can still be completed:
// a missing task, if placed now, must have its image before the first of the tasks that
// wait for it gives up.
func (s *State) canCompleteGang(j *job) bool {
	return j.gang.gatheringSince == 0 || s.now+s.maxFetchTime(j)+2*s.cfg.ReportInterval < j.gang.gatheringSince+s.cfg.GangWaitTimeout
}

// abortGang stops all tasks of the gang's attempt together.
func (s *State) abortGang(j *job, graceS float64) {
	if !j.gang.aborting {
		s.log(slog.LevelDebug, "gang stopped", "job", j.ID, "attempt", j.gang.attempt, "grace_s", graceS, "term", s.leadership.Term)
	}
	j.gang.aborting = true
	for _, t := range j.tasks {
		s.markStopping(t, graceS)
	}
}

// handleLostGangTask reacts to the loss of a gang's task. If the attempt hasn't started
// and no task has given up, the lost task is replaced on another machine. Otherwise the
// attempt is aborted.
func (s *State) handleLostGangTask(t *task, why string) {
	g := &t.job.gang
	switch {
	case g.aborting:
	case g.started, why == model.CausePeerLost, why == model.CauseGangIncomplete:
		// The other tasks' work is of no use any more, so they free their machines at once.
		s.abortGang(t.job, 0)
	case t.attempt == g.attempt:
		if g.excludedHosts == nil {
			g.excludedHosts = map[string]bool{}
		}
		g.excludedHosts[t.machine.host] = true
	}
}

// applyGangReport applies the reported state of a gang's task.
func (s *State) applyGangReport(j *job, p model.TaskReport) {
	switch p.State {
	case model.TaskGathering:
		if j.gang.gatheringSince == 0 {
			j.gang.gatheringSince = s.now
		}
	case model.TaskRunning, model.TaskSaving:
		j.gang.started = true
	}
}

// adoptGangTask takes over a task that was started under a former leader and has been
// bound. Tasks of different attempts never find each other, so if there are several
// attempts, all are stopped.
func (s *State) adoptGangTask(t *task) {
	j := t.job
	if len(j.tasks) == 1 { // t is the gang's only bound task
		j.gang = gangStatus{attempt: t.attempt}
	} else if t.attempt != j.gang.attempt {
		s.abortGang(j, 0)
	}
	if j.gang.aborting {
		s.markStopping(t, 0)
	}
}

// abortIncompleteGangs stops attempts that can't be completed. Either a task was lost
// after the start, before this leader knew that the attempt had started, or no machine
// was found for a missing task while the others waited. If such gangs were kept waiting,
// two of them could block each other, each with half of the capacity that it needs.
func (s *State) abortIncompleteGangs() {
	if s.now < s.nextGangCheckAt {
		return
	}
	s.nextGangCheckAt = s.now + max(s.cfg.ReportInterval/6, time.Second/4)
	for _, id := range sortedKeys(s.active) {
		j := s.active[id]
		if j.Kind != model.KindGang || j.gang.aborting || len(j.tasks) == 0 || j.waitingTasks() == 0 || !s.isSchedulable(j) {
			continue
		}
		if j.gang.started || !s.canCompleteGang(j) {
			s.abortGang(j, 0)
		}
	}
}

// recentGang is the gang with the most tasks among the recently seen gangs of a class.
type recentGang struct {
	job    *job
	seenAt time.Duration
}

// spareGang returns the gang for which spare capacity is kept, or nil. It stands for the
// next gang to arrive, and is like the recent gang that needs the most CPUs. Only classes
// count whose start goal is at most one and a half times the shortest boot time, so that
// machines rented on the arrival of the gang would come too late. Gangs for which the
// cloud doesn't provide enough machines are left out. The spare gang must fit in one
// zone, which may be any.
func (s *State) spareGang() *job {
	if s.cfg.SpareGangs == 0 || s.cfg.GangWaitTimeout == 0 {
		return nil
	}
	if s.recentGangs == nil {
		s.recentGangs = map[string]recentGang{}
	}
	for _, id := range sortedKeys(s.active) {
		j := s.active[id]
		if j.Kind != model.KindGang || j.gang.rentPauses > 0 {
			continue // the cloud doesn't provide enough machines even for this gang, which waits already
		}
		if recent, ok := s.recentGangs[j.Class]; !ok || j.Tasks >= recent.job.Tasks || s.now-recent.seenAt > s.spareCapacityTimeout() {
			s.recentGangs[j.Class] = recentGang{j, s.now}
		}
	}
	var best *job
	for _, class := range sortedKeys(s.recentGangs) {
		recent := s.recentGangs[class]
		start := s.cfg.Goals[class].StartWithin
		if s.now-recent.seenAt > s.spareCapacityTimeout() || s.exceedsCloudCapacity(recent.job) || start == 0 || start > s.shortestBootTime()*3/2 {
			continue
		}
		if best == nil || float64(recent.job.Tasks)*recent.job.CPUs > float64(best.Tasks)*best.CPUs {
			best = recent.job
		}
	}
	if best == nil {
		return nil
	}
	spare := &job{Job: best.Job}
	spare.Zone, spare.OneZone = "", true
	return spare
}

// exceedsCloudCapacity reports whether j isn't final and the cloud didn't provide enough
// machines for it.
func (s *State) exceedsCloudCapacity(j *job) bool { return !j.isFinal() && j.gang.rentPauses > 0 }

// spareCapacityTimeout returns how long spare capacity is kept after a gang was last
// active. After that, idle machines are returned.
func (s *State) spareCapacityTimeout() time.Duration { return 2 * s.shortestBootTime() }

// gangTasksThatFit returns how many tasks of the spare gang g fit on m now.
func (s *State) gangTasksThatFit(m *machine, g *job) int {
	if !s.isUsable(m) || m.spot && !g.Spot || !g.AllowsType(m.typeName) {
		return 0
	}
	return sched.TasksThatFit(m.view.Free, g.need(), g.Tasks)
}

// spareGangCapacity returns the spare gang, the zone in which most tasks of its size fit
// now, and how many fit there.
func (s *State) spareGangCapacity() (*job, string, int) {
	gang := s.spareGang()
	if gang == nil {
		return nil, "", 0
	}
	fitting := map[string]int{}
	for _, m := range s.machinesByName {
		fitting[m.zone] += s.gangTasksThatFit(m, gang)
	}
	zone, most := "", 0
	for _, candidate := range sortedKeys(fitting) {
		if fitting[candidate] > most {
			zone, most = candidate, fitting[candidate]
		}
	}
	return gang, zone, most
}
