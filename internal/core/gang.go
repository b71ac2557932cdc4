package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/model"
)

// A gang's tasks find each other by their attempt, start when the last of them
// has its image, and are of no use one without the others.

// gangState is what a leader knows of gangs besides each one.
type gangState struct {
	nextGangCheckAt time.Duration         // attempts are looked through again; not before
	recentGangs     map[string]recentGang // the largest lately, by class
}

// gangStatus is what a leader knows of the attempt that is on machines, or last was.
type gangStatus struct {
	attempt        uint64
	started        bool          // its tasks run, or ran: no other may take a lost one's place
	gatheringSince time.Duration // when one of them was first seen to wait for the others; 0: none
	aborting       bool          // it is being ended; the next attempt begins when all of it are gone
	// excludedHosts are the machines on which a task of this attempt has ended: they
	// would take another start of it for a repeat.
	excludedHosts map[string]bool

	// Of a gang that waits: whether machines were rented for it since it last
	// found that the cloud doesn't give enough, how often that was, and when they
	// are rented for it again.
	machinesRented   bool
	rentPauses       int
	nextRentalAt     time.Duration
	nextPreemptionAt time.Duration // room is looked for by stopping others' work; not before
}

// isGangSchedulable says whether tasks of j may be placed now: all of them, or those
// that are missing of a gang that still waits for them. While anything is left
// of an attempt that began, or is being ended, a task started elsewhere could
// run twice, or in another zone than the rest.
func (s *State) isGangSchedulable(j *job) bool {
	if len(j.tasks) == 0 {
		return true
	}
	return !j.gang.aborting && !j.gang.started && s.canCompleteGang(j)
}

// canCompleteGang says whether a gang that waits can still be completed: a task
// that takes a lost one's place must have its image before the first of the
// others gives up.
func (s *State) canCompleteGang(j *job) bool {
	return j.gang.gatheringSince == 0 || s.now+s.maxFetchTime(j)+2*s.cfg.ReportInterval < j.gang.gatheringSince+s.cfg.GangWaitTimeout
}

// abortGang ends an attempt: all its tasks are stopped by one decision.
func (s *State) abortGang(j *job, grace float64) {
	if !j.gang.aborting {
		s.log(slog.LevelDebug, "gang stopped", "job", j.ID, "attempt", j.gang.attempt, "grace_s", grace, "term", s.leadership.Term)
	}
	j.gang.aborting = true
	for _, t := range j.tasks {
		s.markStopping(t, grace)
	}
}

// handleLostGangTask takes that t of a gang is gone.
func (s *State) handleLostGangTask(t *task, why string) {
	g := &t.job.gang
	switch {
	case g.aborting:
	case g.started, why == model.CausePeerLost, why == model.CauseGangIncomplete:
		// Nothing that the others still do counts: at once they make room.
		s.abortGang(t.job, 0)
	case t.attempt == g.attempt:
		if g.excludedHosts == nil {
			g.excludedHosts = map[string]bool{}
		}
		g.excludedHosts[t.machine.host] = true
	}
}

// applyGangReport takes what a report shows of a gang's task.
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

// adoptGangTask takes over a task that a former leader began. Tasks of different
// attempts never find each other.
func (s *State) adoptGangTask(t *task) {
	j := t.job
	if len(j.tasks) == 1 {
		j.gang = gangStatus{attempt: t.attempt}
	} else if t.attempt != j.gang.attempt {
		s.abortGang(j, 0)
	}
	if j.gang.aborting {
		s.markStopping(t, 0)
	}
}

// abortIncompleteGangs ends attempts that can't be completed: one that lost a task after it
// began, before this leader knew of it, or that found no place for a missing one
// in the time for which the others wait. Kept waiting, two such gangs held
// each other's room half filled.
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

// recentGang is the largest gang of a class lately.
type recentGang struct {
	job    *job
	seenAt time.Duration
}

// spareGang is the gang for which room is kept free, or nil: the largest of the
// classes that come now and should start sooner than a machine could be rented.
// Its zone doesn't matter yet.
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
			continue // not what can't be had even for a gang that waits
		}
		if g, ok := s.recentGangs[j.Class]; !ok || j.Tasks >= g.job.Tasks || s.now-g.seenAt > s.spareCapacityTimeout() {
			s.recentGangs[j.Class] = recentGang{j, s.now}
		}
	}
	var best *job
	for _, class := range sortedKeys(s.recentGangs) {
		g := s.recentGangs[class]
		start := s.cfg.Goals[class].StartWithin
		if s.now-g.seenAt > s.spareCapacityTimeout() || s.exceedsCloudCapacity(g.job) || start == 0 || start > s.shortestBoot()*3/2 {
			continue
		}
		if best == nil || float64(g.job.Tasks)*g.job.CPUs > float64(best.Tasks)*best.CPUs {
			best = g.job
		}
	}
	if best == nil {
		return nil
	}
	spare := &job{Job: best.Job}
	spare.Zone, spare.OneZone = "", true
	return spare
}

// exceedsCloudCapacity says whether the cloud didn't give enough for a gang that still waits.
func (s *State) exceedsCloudCapacity(j *job) bool { return !j.isFinal() && j.gang.rentPauses > 0 }

// spareCapacityTimeout is for how long room is kept free after the last gang: machines that
// then have nothing to do go back.
func (s *State) spareCapacityTimeout() time.Duration { return 2 * s.shortestBoot() }

// gangTasksThatFit is for how many tasks of the spare gang m has room.
func (s *State) gangTasksThatFit(m *machine, g *job) int {
	if !s.isUsable(m) || m.spot && !g.Spot || !g.AllowsType(m.typeName) {
		return 0
	}
	need := g.need()
	n := 0
	for free := m.view.Free; n < g.Tasks && free.Fits(need); free = free.Sub(need) {
		n++
	}
	return n
}

// spareGangCapacity is the zone that has most room for the spare gang, and for how many
// of its tasks.
func (s *State) spareGangCapacity() (*job, string, int) {
	g := s.spareGang()
	if g == nil {
		return nil, "", 0
	}
	room := map[string]int{}
	for _, m := range s.machinesByName {
		room[m.zone] += s.gangTasksThatFit(m, g)
	}
	zone, most := "", 0
	for _, z := range sortedKeys(room) {
		if room[z] > most {
			zone, most = z, room[z]
		}
	}
	return g, zone, most
}
