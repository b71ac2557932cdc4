package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/model"
)

// What a controller writes down of cancellations, so that a task that outlives
// one can be traced: when the cancellation was learnt and confirmed to a user,
// when the stops were sent, and when the last task was gone. It decides nothing.

const (
	// maxWatchedCancellations bounds what is kept for the log.
	maxWatchedCancellations = 2000
	// cancellationWarningShare is the part of the time allowed after which the log
	// warns of tasks that are still to be seen.
	cancellationWarningShare = 0.5
)

// cancellationRecord is what is kept of one cancelled job.
type cancellationRecord struct {
	job         *job
	revision    uint64        // of the state service; 0: not known any more
	confirmed   bool          // this controller has told a user
	stopCount   int           // stop orders sent
	firstStopAt time.Duration // 0: none was sent
	lastStopAt  time.Duration
}

// cancellationWatch holds the cancellations of which the log still has to tell.
type cancellationWatch struct {
	watched      map[string]*cancellationRecord
	nextReviewAt time.Duration // the next line on those outstanding
}

// watchCancellation begins to keep what is logged of j's cancellation.
func (s *State) watchCancellation(j *job, revision uint64) *cancellationRecord {
	if c := s.watched[j.ID]; c != nil {
		return c
	}
	if len(s.watched) >= maxWatchedCancellations {
		return nil
	}
	c := &cancellationRecord{job: j, revision: revision}
	s.watched[j.ID] = c
	return c
}

// logCancellationLearnt notes that this controller has learnt of a cancellation.
func (s *State) logCancellationLearnt(j *job, revision uint64) {
	if !s.loaded {
		return // the first reading brings those of all time
	}
	if s.watchCancellation(j, revision) != nil {
		s.log(slog.LevelInfo, "cancellation learnt", "job", j.ID, "rev", revision, "read_age", s.now-s.completeReadAt, "leading", s.IsLeader())
	}
}

// logCancellationConfirmed notes that a user is told of a cancellation.
func (s *State) logCancellationConfirmed(j *job) {
	if j.phase != model.PhaseAborted {
		return
	}
	c := s.watched[j.ID]
	if c == nil || c.confirmed {
		return
	}
	c.confirmed = true
	s.log(slog.LevelInfo, "cancellation confirmed", "job", j.ID, "rev", c.revision, "known_for", s.now-j.finalSeenAt, "leading", s.IsLeader())
}

// recordStopsSent notes the stops among the orders that a machine is sent.
func (s *State) recordStopsSent(m *machine, orders []model.Order, way string) {
	for _, o := range orders {
		if o.Verb == model.OrderKill {
			s.recordStopSent(o.Task, m.host, way)
		}
	}
}

// recordStopSent notes that a worker is sent a stop of a cancelled job's task.
func (s *State) recordStopSent(task, host, way string) {
	id, _, _ := model.ParseTaskName(task)
	j := s.jobs[id]
	if j == nil || j.phase != model.PhaseAborted {
		return
	}
	c := s.watchCancellation(j, 0)
	if c == nil {
		return
	}
	if c.stopCount == 0 {
		c.firstStopAt = s.now
	}
	c.stopCount++
	c.lastStopAt = s.now
	s.logDebug("stop of a cancelled task sent", "task", task, "host", host, "by", way, "term", s.leadership.Term)
}

// logLeaseRenewed notes the answer that renews a worker's lease, and by what right.
func (s *State) logLeaseRenewed(m *machine, r *model.Report, orders int) {
	if !s.cfg.DebugLog {
		return // a line a report: what it tells isn't even worked out otherwise
	}
	l := s.leadership
	s.logDebug("lease renewed", "host", m.host, "session", r.Session, "seq", r.Seq, "adopted", m.reconciled, "orders", orders, "epoch", s.epoch(m),
		"until", l.ValidUntil(), "key_until", l.KeyValidUntil(), "view_until", l.ViewValidUntil(), "now", s.now)
}

// logDebug logs a line that is worth its cost only while an operator asks for it.
func (s *State) logDebug(text string, args ...any) {
	if s.cfg.DebugLog {
		s.log(slog.LevelDebug, text, args...)
	}
}

// reviewCancellations tells once a report interval of the cancellations whose
// tasks may still be there, and of each whose tasks are gone.
func (s *State) reviewCancellations() {
	if s.now < s.nextReviewAt {
		return
	}
	s.nextReviewAt = s.now + s.cfg.ReportInterval
	shown := s.jobsWithOrphanedTasks()
	var oldest *cancellationRecord
	outstanding := 0
	for _, id := range sortedKeys(s.watched) {
		c := s.watched[id]
		if s.IsLeader() && (len(c.job.tasks) > 0 || shown[id]) {
			outstanding++
			if oldest == nil || c.job.finalSeenAt < oldest.job.finalSeenAt {
				oldest = c
			}
			continue
		}
		s.endCancellationWatch(id, c)
	}
	if oldest == nil {
		return
	}
	level, known := slog.LevelInfo, s.now-oldest.job.finalSeenAt
	if float64(known) >= cancellationWarningShare*float64(s.cfg.CancelWithin) {
		level = slog.LevelWarn
	}
	s.log(level, "cancelled tasks outstanding", "jobs", outstanding, "oldest", oldest.job.ID, "known_for", known, "allowed", s.cfg.CancelWithin,
		"stops", oldest.stopCount, "term", s.leadership.Term)
}

// endCancellationWatch forgets a cancellation: its tasks are gone as far as this
// leader can know, or it is another controller's to look after them.
func (s *State) endCancellationWatch(id string, c *cancellationRecord) {
	over := s.now - c.job.finalSeenAt
	switch {
	case s.IsLeader() && s.takeoverComplete:
		delete(s.watched, id)
		if c.stopCount > 0 {
			s.log(slog.LevelInfo, "cancelled tasks gone", "job", id, "known_for", over, "stops", c.stopCount,
				"first_stop_after", c.firstStopAt-c.job.finalSeenAt, "last_stop_after", c.lastStopAt-c.job.finalSeenAt, "term", s.leadership.Term)
		}
	case over > s.cfg.CancelWithin:
		delete(s.watched, id)
	}
}

// jobsWithOrphanedTasks are the jobs whose tasks are seen on machines that shouldn't have
// them.
func (s *State) jobsWithOrphanedTasks() map[string]bool {
	jobs := map[string]bool{}
	for _, m := range s.machinesWithOrphans {
		for task := range m.orphanedTasks {
			id, _, _ := model.ParseTaskName(task)
			jobs[id] = true
		}
	}
	return jobs
}
