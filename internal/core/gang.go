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
	gangsAt   time.Duration       // attempts are looked through again; not before
	gangsSeen map[string]seenGang // the largest lately, by class
}

// gang is what a leader knows of the attempt that is on machines, or last was.
type gang struct {
	attempt        uint64
	began          bool          // its tasks run, or ran: no other may take a lost one's place
	gatheringSince time.Duration // when one of them was first seen to wait for the others; 0: none
	aborting       bool          // it is being ended; the next attempt begins when all of it are gone
	// excluded are the machines on which a task of this attempt has ended: they
	// would take another start of it for a repeat.
	excluded map[string]bool

	// Of a gang that waits: whether machines were rented for it since it last
	// found that the cloud doesn't give enough, how often that was, and when they
	// are rented for it again.
	rented     bool
	rentPauses int
	rentAt     time.Duration
	preemptAt  time.Duration // room is looked for by stopping others' work; not before
}

// gangReady says whether tasks of j may be placed now: all of them, or those
// that are missing of a gang that still waits for them. While anything is left
// of an attempt that began, or is being ended, a task started elsewhere could
// run twice, or in another zone than the rest.
func (s *State) gangReady(j *job) bool {
	if len(j.tasks) == 0 {
		return true
	}
	return !j.gang.aborting && !j.gang.began && s.gangHasTime(j)
}

// gangHasTime says whether a gang that waits can still be completed: a task
// that takes a lost one's place must have its image before the first of the
// others gives up.
func (s *State) gangHasTime(j *job) bool {
	return j.gang.gatheringSince == 0 || s.now+s.longestFetch(j)+2*s.cfg.ReportInterval < j.gang.gatheringSince+s.cfg.GangWaitTimeout
}

// abortGang ends an attempt: all its tasks are stopped by one decision.
func (s *State) abortGang(j *job, grace float64) {
	if !j.gang.aborting {
		s.log(slog.LevelDebug, "gang stopped", "job", j.ID, "attempt", j.gang.attempt, "grace_s", grace, "term", s.leadership.Term)
	}
	j.gang.aborting = true
	for _, t := range j.tasks {
		s.stop(t, grace)
	}
}

// gangLost takes that t of a gang is gone.
func (s *State) gangLost(t *task, why string) {
	g := &t.job.gang
	switch {
	case g.aborting:
	case g.began, why == model.CausePeers, why == model.CauseAlone:
		// Nothing that the others still do counts: at once they make room.
		s.abortGang(t.job, 0)
	case t.attempt == g.attempt:
		if g.excluded == nil {
			g.excluded = map[string]bool{}
		}
		g.excluded[t.m.host] = true
	}
}

// observeGang takes what a report shows of a gang's task.
func (s *State) observeGang(j *job, p model.TaskReport) {
	switch p.State {
	case model.TaskGathering:
		if j.gang.gatheringSince == 0 {
			j.gang.gatheringSince = s.now
		}
	case model.TaskRunning, model.TaskSaving:
		j.gang.began = true
	}
}

// adoptGang takes over a task that a former leader began. Tasks of different
// attempts never find each other.
func (s *State) adoptGang(t *task) {
	j := t.job
	if len(j.tasks) == 1 {
		j.gang = gang{attempt: t.attempt}
	} else if t.attempt != j.gang.attempt {
		s.abortGang(j, 0)
	}
	if j.gang.aborting {
		s.stop(t, 0)
	}
}

// reconcileGangs ends attempts that can't be completed: one that lost a task after it
// began, before this leader knew of it, or that found no place for a missing one
// in the time for which the others wait. Kept waiting, two such gangs held
// each other's room half filled.
func (s *State) reconcileGangs() {
	if s.now < s.gangsAt {
		return
	}
	s.gangsAt = s.now + max(s.cfg.ReportInterval/6, time.Second/4)
	for _, id := range sortedKeys(s.active) {
		j := s.active[id]
		if j.Kind != model.Gang || j.gang.aborting || len(j.tasks) == 0 || j.waiting() == 0 || !s.schedulable(j) {
			continue
		}
		if j.gang.began || !s.gangHasTime(j) {
			s.abortGang(j, 0)
		}
	}
}

// seenGang is the largest gang of a class lately.
type seenGang struct {
	job *job
	at  time.Duration
}

// spareGang is the gang for which room is kept free, or nil: the largest of the
// classes that come now and should start sooner than a machine could be rented.
// Its zone doesn't matter yet.
func (s *State) spareGang() *job {
	if s.cfg.SpareGangs == 0 || s.cfg.GangWaitTimeout == 0 {
		return nil
	}
	if s.gangsSeen == nil {
		s.gangsSeen = map[string]seenGang{}
	}
	for _, id := range sortedKeys(s.active) {
		j := s.active[id]
		if j.Kind != model.Gang || j.gang.rentPauses > 0 {
			continue // not what can't be had even for a gang that waits
		}
		if g, ok := s.gangsSeen[j.Class]; !ok || j.Tasks >= g.job.Tasks || s.now-g.at > s.spareTime() {
			s.gangsSeen[j.Class] = seenGang{j, s.now}
		}
	}
	var best *job
	for _, class := range sortedKeys(s.gangsSeen) {
		g := s.gangsSeen[class]
		start := s.cfg.Goals[class].StartWithin
		if s.now-g.at > s.spareTime() || s.tooLarge(g.job) || start == 0 || start > s.shortestBoot()*3/2 {
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

// tooLarge says whether the cloud didn't give enough for a gang that still waits.
func (s *State) tooLarge(j *job) bool { return !j.final() && j.gang.rentPauses > 0 }

// spareTime is for how long room is kept free after the last gang: machines that
// then have nothing to do go back.
func (s *State) spareTime() time.Duration { return 2 * s.shortestBoot() }

// gangRoomOn is for how many tasks of the spare gang m has room.
func (s *State) gangRoomOn(m *machine, g *job) int {
	if !s.usable(m) || m.spot && !g.Spot || !g.AllowsType(m.typeName) {
		return 0
	}
	need := g.need()
	n := 0
	for free := m.view.Free; n < g.Tasks && free.Fits(need); free = free.Sub(need) {
		n++
	}
	return n
}

// gangRoom is the zone that has most room for the spare gang, and for how many
// of its tasks.
func (s *State) gangRoom() (*job, string, int) {
	g := s.spareGang()
	if g == nil {
		return nil, "", 0
	}
	room := map[string]int{}
	for _, m := range s.machinesByName {
		room[m.zone] += s.gangRoomOn(m, g)
	}
	zone, most := "", 0
	for _, z := range sortedKeys(room) {
		if room[z] > most {
			zone, most = z, room[z]
		}
	}
	return g, zone, most
}
