package core

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// countLogLines counts the log lines with a level and text among effects.
func countLogLines(effects []Effect, level slog.Level, text string) int {
	count := 0
	for _, e := range effects {
		if line, ok := e.(Log); ok && line.Level == level && line.Text == text {
			count++
		}
	}
	return count
}

// leaderWithCancelledTask returns a leader that learnt at 10 s of the cancellation of a
// job, while a machine still reports the job's task.
func leaderWithCancelledTask() (*State, *job) {
	s := newSingleController()
	s.loaded, s.hasContact, s.caughtUp, s.takeoverComplete = true, true, true, true
	s.leadership, s.teamUsage = newLeadership(s), map[string]sched.Resources{}
	job := &model.Job{ID: "req-000001", Team: "t", Tasks: 1, Kind: model.KindService}
	s.apply(Item{Key: prefixJobs + job.ID, Value: mustMarshal(jobValue{Spec: job}), ModRevision: 5})
	m := s.ensureMachine("n-1")
	m.session, m.reconciled = 1, true
	s.applyTaskReport(m, model.TaskReport{Task: "req-000001/0", Attempt: 7, State: model.TaskRunning}, &model.Report{Session: 1})
	s.now = 10 * time.Second
	s.apply(Item{Key: prefixJobs + job.ID, Value: mustMarshal(jobValue{Phase: model.PhaseAborted}), ModRevision: 6})
	return s, s.jobs[job.ID]
}

// TestCancellationLog checks that the log shows when a cancellation is learnt and
// confirmed, warns while its tasks still exist after half of the time allowed, and shows
// when they are gone.
func TestCancellationLog(t *testing.T) {
	s, j := leaderWithCancelledTask()
	if countLogLines(s.effects, slog.LevelInfo, "cancellation learnt") != 1 {
		t.Errorf("got no line \"cancellation learnt\" or several, want 1: %v", s.effects)
	}
	for range 2 {
		s.replyWithStatus(requester{requestID: 1}, j)
	}
	if lines := countLogLines(s.effects, slog.LevelInfo, "cancellation confirmed"); lines != 1 {
		t.Errorf("got %d lines \"cancellation confirmed\", want 1", lines)
	}
	// cancel_s is 30 s, so half of it has passed at 25 s.
	for _, review := range []struct {
		at    time.Duration
		level slog.Level
	}{{12 * time.Second, slog.LevelInfo}, {24900 * time.Millisecond, slog.LevelInfo}, {26400 * time.Millisecond, slog.LevelWarn}} {
		s.now, s.effects = review.at, nil
		s.reviewCancellations()
		s.reviewCancellations() // a second review in the same report interval logs nothing
		if lines := countLogLines(s.effects, review.level, "cancelled tasks outstanding"); lines != 1 {
			t.Errorf("at %v: got %d lines \"cancelled tasks outstanding\" of level %v, want 1: %v", review.at, lines, review.level, s.effects)
		}
	}
	s.recordStopsSent(s.machines["n-1"], []model.Order{j.tasks[0].killOrder()}, "answer")
	s.unbind(j.tasks[0], model.CauseStopped)
	s.now, s.effects = 28*time.Second, nil
	s.reviewCancellations()
	if countLogLines(s.effects, slog.LevelInfo, "cancelled tasks gone") != 1 || len(s.watched) != 0 {
		t.Errorf("after the last task was gone: got %d cancellations watched, want 0 and one line \"cancelled tasks gone\": %v", len(s.watched), s.effects)
	}
}

// TestCancellationLogIsBounded checks that the number of records that are kept for the log
// is bounded, and that a controller that does not lead removes them after cancel_s.
func TestCancellationLogIsBounded(t *testing.T) {
	s := newSingleController()
	s.loaded = true
	for i := range maxWatchedCancellations + 50 {
		key := fmt.Sprintf("%sreq-%06d", prefixJobs, i)
		s.apply(Item{Key: key, Value: mustMarshal(jobValue{Phase: model.PhaseAborted}), ModRevision: uint64(i + 1)})
	}
	if len(s.watched) != maxWatchedCancellations {
		t.Errorf("got %d cancellations watched, want %d", len(s.watched), maxWatchedCancellations)
	}
	s.now = s.cfg.CancelWithin + time.Second
	s.reviewCancellations()
	if len(s.watched) != 0 {
		t.Errorf("after the time allowed, on a controller that does not lead: got %d cancellations watched, want 0", len(s.watched))
	}
}

// TestDebugLogIsOff checks that answers to reports log debug lines only if the debug level
// is enabled. There is a line for each answer, so they would cost too much otherwise.
func TestDebugLogIsOff(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		s, j := leaderWithCancelledTask()
		s.cfg.DebugLog, s.effects = enabled, nil
		m := s.machines["n-1"]
		s.renewLease(pendingReport{machine: m, report: &model.Report{}}, []model.Order{j.tasks[0].killOrder()})
		lines := countLogLines(s.effects, slog.LevelDebug, "lease renewed") + countLogLines(s.effects, slog.LevelDebug, "stop of a cancelled task sent")
		if (lines == 2) != enabled || !enabled && lines != 0 {
			t.Errorf("debug level enabled %v: got %d debug lines, want 2 if enabled, else 0", enabled, lines)
		}
	}
}
