package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/model"
)

// This file logs the course of cancellations, so that a task that outlives its
// cancellation can be traced: when the controller learnt of the cancellation, when it
// confirmed it to a user, when it sent the stops, and when the last task was gone. No
// decision depends on these records.

const (
	// maxWatchedCancellations bounds the records kept for the log.
	maxWatchedCancellations = 2000
	// cancellationWarningShare is the share of Config.CancelWithin (cancel_s, the time
	// allowed for ending a cancelled job's tasks) after which the log warns of tasks
	// that still exist.
	cancellationWarningShare = 0.5
)

// cancellationRecord is the record of one cancelled job.
type cancellationRecord struct {
	job         *job
	revision    uint64        // revision of the cancellation in the state service; 0: unknown
	confirmed   bool          // this controller has confirmed it to a user
	stopCount   int           // number of stop orders sent
	firstStopAt time.Duration // 0: no stop was sent
	lastStopAt  time.Duration
}

// cancellationWatch holds the records of cancellations whose end has not been logged yet.
type cancellationWatch struct {
	watched      map[string]*cancellationRecord // by job id
	nextReviewAt time.Duration                  // reviewCancellations does nothing before
}

// watchCancellation returns the record of j's cancellation and creates it if there is
// none. It returns nil if there are too many records.
func (s *State) watchCancellation(j *job, revision uint64) *cancellationRecord {
	if record := s.watched[j.ID]; record != nil {
		return record
	}
	if len(s.watched) >= maxWatchedCancellations {
		return nil
	}
	record := &cancellationRecord{job: j, revision: revision}
	s.watched[j.ID] = record
	return record
}

// logCancellationLearnt logs that this controller has learnt of a cancellation.
func (s *State) logCancellationLearnt(j *job, revision uint64) {
	if !s.loaded {
		return // the first read contains all cancellations ever made
	}
	if s.watchCancellation(j, revision) != nil {
		s.log(slog.LevelInfo, "cancellation learnt", "job", j.ID, "rev", revision, "read_age", s.now-s.completeReadAt, "leading", s.IsLeader())
	}
}

// logCancellationConfirmed logs, once, that a cancellation is confirmed to a user.
func (s *State) logCancellationConfirmed(j *job) {
	if j.phase != model.PhaseAborted {
		return
	}
	record := s.watched[j.ID]
	if record == nil || record.confirmed {
		return
	}
	record.confirmed = true
	s.log(slog.LevelInfo, "cancellation confirmed", "job", j.ID, "rev", record.revision, "known_for", s.now-j.finalSeenAt, "leading", s.IsLeader())
}

// recordStopsSent records the stops of cancelled jobs' tasks among the orders sent to a
// machine. sentBy says whether they are sent in an answer or by a command.
func (s *State) recordStopsSent(m *machine, orders []model.Order, sentBy string) {
	for _, o := range orders {
		if o.Verb == model.OrderKill {
			s.recordStopSent(o.Task, m.host, sentBy)
		}
	}
}

// recordStopSent records a stop of task, if its job is cancelled.
func (s *State) recordStopSent(task, host, sentBy string) {
	id, _, _ := model.ParseTaskName(task)
	j := s.jobs[id]
	if j == nil || j.phase != model.PhaseAborted {
		return
	}
	record := s.watchCancellation(j, 0)
	if record == nil {
		return
	}
	if record.stopCount == 0 {
		record.firstStopAt = s.now
	}
	record.stopCount++
	record.lastStopAt = s.now
	s.logDebug("stop of a cancelled task sent", "task", task, "host", host, "by", sentBy, "term", s.leadership.Term)
}

// logLeaseRenewed logs an answer that renews a worker's lease, and until when this leader
// has the right to act.
func (s *State) logLeaseRenewed(m *machine, r *model.Report, orderCount int) {
	if !s.cfg.DebugLog {
		return // this runs for each report: don't compute the attributes in vain
	}
	l := s.leadership
	s.logDebug("lease renewed", "host", m.host, "session", r.Session, "seq", r.Seq, "newest_seq", m.seq, "adopted", m.reconciled, "orders", orderCount, "epoch", s.epoch(m),
		"until", l.ValidUntil(), "key_until", l.KeyValidUntil(), "view_until", l.ViewValidUntil(), "now", s.now)
}

// logDebug logs a line at debug level if the operator has enabled that level.
func (s *State) logDebug(text string, args ...any) {
	if s.cfg.DebugLog {
		s.log(slog.LevelDebug, text, args...)
	}
}

// reviewCancellations logs once per report interval how many cancelled jobs may still have
// tasks, and logs each whose tasks are gone.
func (s *State) reviewCancellations() {
	if s.now < s.nextReviewAt {
		return
	}
	s.nextReviewAt = s.now + s.cfg.ReportInterval
	orphanedJobs := s.jobsWithOrphanedTasks()
	var oldest *cancellationRecord
	outstanding := 0
	for _, id := range sortedKeys(s.watched) {
		record := s.watched[id]
		if s.IsLeader() && (len(record.job.tasks) > 0 || orphanedJobs[id]) {
			outstanding++
			if oldest == nil || record.job.finalSeenAt < oldest.job.finalSeenAt {
				oldest = record
			}
			continue
		}
		s.endCancellationWatch(id, record)
	}
	if oldest == nil {
		return
	}
	level, knownFor := slog.LevelInfo, s.now-oldest.job.finalSeenAt
	if float64(knownFor) >= cancellationWarningShare*float64(s.cfg.CancelWithin) {
		level = slog.LevelWarn
	}
	s.log(level, "cancelled tasks outstanding", "jobs", outstanding, "oldest", oldest.job.ID, "known_for", knownFor, "allowed", s.cfg.CancelWithin,
		"stops", oldest.stopCount, "term", s.leadership.Term)
}

// endCancellationWatch removes the record of a cancellation once it is no longer needed. It
// is called if this controller knows of no task of the job, or does not lead. A leader that
// has accounted for all machines can be certain that the tasks are gone: it removes the
// record, and logs the end if stops were sent. Otherwise the record is removed once
// cancel_s has passed.
func (s *State) endCancellationWatch(id string, record *cancellationRecord) {
	knownFor := s.now - record.job.finalSeenAt
	switch {
	case s.IsLeader() && s.takeoverComplete:
		delete(s.watched, id)
		if record.stopCount > 0 {
			s.log(slog.LevelInfo, "cancelled tasks gone", "job", id, "known_for", knownFor, "stops", record.stopCount,
				"first_stop_after", record.firstStopAt-record.job.finalSeenAt, "last_stop_after", record.lastStopAt-record.job.finalSeenAt, "term", s.leadership.Term)
		}
	case knownFor > s.cfg.CancelWithin:
		delete(s.watched, id)
	}
}

// jobsWithOrphanedTasks returns the ids of the jobs that have orphaned tasks on any machine.
// A task is orphaned if a machine reports it although this leader has not bound it to that
// machine.
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
