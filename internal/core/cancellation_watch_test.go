package core

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// countLogLines are the lines of a level and text among effects.
func countLogLines(effects []Effect, level slog.Level, text string) int {
	n := 0
	for _, e := range effects {
		if l, ok := e.(Log); ok && l.Level == level && l.Text == text {
			n++
		}
	}
	return n
}

// leaderWithCancelledTask is a leader that has learnt at 10 s that a job is
// cancelled, whose task a machine still shows.
func leaderWithCancelledTask() (*State, *job) {
	s := newSingleController()
	s.loaded, s.hasContact, s.caughtUp, s.takeoverComplete = true, true, true, true
	s.leadership, s.teamUsage = newLeadership(s), map[string]sched.Resources{}
	spec := &model.Job{ID: "req-000001", Team: "t", Tasks: 1, Kind: model.KindService}
	s.apply(Item{Key: prefixJobs + spec.ID, Value: mustMarshal(jobValue{Spec: spec}), ModRevision: 5})
	m := s.ensureMachine("n-1")
	m.session, m.reconciled = 1, true
	s.applyTaskReport(m, model.TaskReport{Task: "req-000001/0", Attempt: 7, State: model.TaskRunning}, &model.Report{Session: 1})
	s.now = 10 * time.Second
	s.apply(Item{Key: prefixJobs + spec.ID, Value: mustMarshal(jobValue{Phase: model.PhaseAborted}), ModRevision: 6})
	return s, s.jobs[spec.ID]
}

// TestCancellationLog: the log tells of each cancellation, warns while its tasks
// are still to be seen after half of the time allowed, and says when they are gone.
func TestCancellationLog(t *testing.T) {
	s, j := leaderWithCancelledTask()
	if countLogLines(s.effects, slog.LevelInfo, "cancellation learnt") != 1 {
		t.Errorf("not learnt: %v", s.effects)
	}
	for range 2 {
		s.replyWithStatus(requester{requestID: 1}, j)
	}
	if n := countLogLines(s.effects, slog.LevelInfo, "cancellation confirmed"); n != 1 {
		t.Errorf("confirmed %d times, want one line", n)
	}
	for _, c := range []struct {
		at    time.Duration
		level slog.Level
	}{{12 * time.Second, slog.LevelInfo}, {24900 * time.Millisecond, slog.LevelInfo}, {26400 * time.Millisecond, slog.LevelWarn}} {
		s.now, s.effects = c.at, nil
		s.reviewCancellations()
		s.reviewCancellations() // once a report interval
		if n := countLogLines(s.effects, c.level, "cancelled tasks outstanding"); n != 1 {
			t.Errorf("at %v: %d lines of level %v, want 1: %v", c.at, n, c.level, s.effects)
		}
	}
	s.recordStopsSent(s.machines["n-1"], []model.Order{j.tasks[0].killOrder()}, "answer")
	s.unbind(j.tasks[0], model.CauseStopped)
	s.now, s.effects = 28*time.Second, nil
	s.reviewCancellations()
	if countLogLines(s.effects, slog.LevelInfo, "cancelled tasks gone") != 1 || len(s.watched) != 0 {
		t.Errorf("%d cancellations still watched after the last task was gone: %v", len(s.watched), s.effects)
	}
}

// TestCancellationLogIsBounded: what is kept for the log doesn't grow with the
// cancellations, and what isn't the leader's is forgotten in time.
func TestCancellationLogIsBounded(t *testing.T) {
	s := newSingleController()
	s.loaded = true
	for i := range maxWatchedCancellations + 50 {
		key := fmt.Sprintf("%sreq-%06d", prefixJobs, i)
		s.apply(Item{Key: key, Value: mustMarshal(jobValue{Phase: model.PhaseAborted}), ModRevision: uint64(i + 1)})
	}
	if len(s.watched) != maxWatchedCancellations {
		t.Errorf("%d cancellations watched, want %d", len(s.watched), maxWatchedCancellations)
	}
	s.now = s.cfg.CancelWithin + time.Second
	s.reviewCancellations()
	if len(s.watched) != 0 {
		t.Errorf("%d cancellations watched after the time allowed by a controller that doesn't lead", len(s.watched))
	}
}

// TestDebugLogIsOff: the lines of single answers cost nothing unless asked for.
func TestDebugLogIsOff(t *testing.T) {
	for _, wanted := range []bool{false, true} {
		s, j := leaderWithCancelledTask()
		s.cfg.DebugLog, s.effects = wanted, nil
		m := s.machines["n-1"]
		s.renewLease(pendingReport{machine: m, report: &model.Report{}}, []model.Order{j.tasks[0].killOrder()})
		got := countLogLines(s.effects, slog.LevelDebug, "lease renewed") + countLogLines(s.effects, slog.LevelDebug, "stop of a cancelled task sent")
		if (got == 2) != wanted || !wanted && got != 0 {
			t.Errorf("debug lines wanted: %v, got %d", wanted, got)
		}
	}
}
