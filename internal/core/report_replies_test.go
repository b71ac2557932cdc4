package core

import (
	"fmt"
	"testing"
	"time"

	"mulleinfall/internal/election"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// TestAnswersCarryStops: an answer that renews a worker's lease carries the order to
// stop each task that the report shows of a job known to be cancelled, whichever way
// the report takes. Renewed without it late enough, the lease outlives cancel_s.
func TestAnswersCarryStops(t *testing.T) {
	const host, cancelled = "n-1", "req-000001/0"
	for _, c := range []struct {
		name string
		// report is what the worker says, in session 1.
		report func(s *State, m *machine) *model.Report
		hidden bool // the report doesn't show the task
	}{
		{"the machine has shown this term's epoch", func(s *State, m *machine) *model.Report {
			return &model.Report{Seq: 6, Epoch: s.epochBase()}
		}, false},
		{"a start is on its way", func(s *State, m *machine) *model.Report {
			m.tasks[cancelled] = &task{job: s.jobs["req-000001"], name: cancelled, attempt: 9, machine: m, startSent: true, unconfirmedStartEpoch: s.epoch(m)}
			return &model.Report{Seq: 6, Epoch: s.epochBase()}
		}, true},
		{"the machine is new to this leader", func(s *State, m *machine) *model.Report {
			m.reconciled = false
			return &model.Report{Seq: 6, Epoch: 1}
		}, false},
		{"a command's answer has overtaken the report", func(s *State, m *machine) *model.Report {
			m.seq = 7
			return &model.Report{Seq: 6, Epoch: s.epochBase()}
		}, false},
		{"there is more to order than fits", func(s *State, m *machine) *model.Report {
			r := &model.Report{Seq: 6, Epoch: s.epochBase()}
			for i := range maxOrders {
				r.Tasks = append(r.Tasks, model.TaskReport{Task: fmt.Sprintf("req-000000/%d", i), Attempt: 3, State: model.TaskExited, Cause: model.CauseStopped})
			}
			return r
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSingleController()
			s.loaded, s.hasContact, s.caughtUp, s.takeoverComplete = true, true, true, true
			s.leadership, s.teamUsage = newLeadership(s), map[string]sched.Resources{}
			s.apply(Item{Key: prefixJobs + "req-000001", Value: mustMarshal(jobValue{Phase: model.PhaseAborted}), ModRevision: 6})
			m := s.ensureMachine(host)
			m.session, m.seq, m.reconciled, m.registered, m.hasReported = 1, 5, true, true, true
			r := c.report(s, m)
			r.Host, r.Session = host, 1
			if !c.hidden {
				r.Tasks = append(r.Tasks, model.TaskReport{Task: cancelled, Attempt: 9, State: model.TaskRunning})
			}
			started := s.epoch(m)
			s.dispatchNeeded, s.effects = true, nil // so that a new report is answered after a round
			s.handleReport(WorkerReport{RequestID: 1, Report: *r})
			for _, task := range m.tasks {
				s.stopTask(task, 0) // only now is the cancellation learnt
			}
			s.answerReports()
			renewed := false
			for _, e := range s.effects {
				reply, ok := e.(Reply)
				if !ok || reply.Status != 200 {
					continue
				}
				renewed = true
				orders := reply.Body.(ReportReply).Orders
				if !containsImmediateStop(orders, cancelled, 9) {
					t.Errorf("the lease is renewed by %d orders without a stop of %s", len(orders), cancelled)
				}
				if epoch := reply.Body.(ReportReply).Epoch; c.hidden && epoch <= started {
					t.Errorf("a start under epoch %d may still come after the answer under epoch %d", started, epoch)
				}
				if len(orders) > maxOrders {
					t.Errorf("%d orders, more than fit", len(orders))
				}
			}
			if !renewed {
				t.Errorf("not answered 200: %v", s.effects)
			}
		})
	}
}

// TestCancelBound adds up the worst case for all settings: a leader without news acts
// until its view is too old, the last lease that it renewed runs on, and clocks drift
// against one another. It stays within cancel_s wherever that is at least six fifths of
// the lease.
func TestCancelBound(t *testing.T) {
	const slow = 1 - ClockDrift // the slowest clock
	for lease := 4.0; lease <= 120; lease += 0.5 {
		for times := 1.2; times <= 6; times += 0.05 {
			cfg := Config{Lease: time.Duration(lease * float64(time.Second)), CancelWithin: time.Duration(lease * times * float64(time.Second)), Peers: []string{"a", "b"}}
			s := New(cfg, 0)
			leadership := election.NewLeadership(s.electionConfig, 0, 1, 0)
			leadership.RecordRead(0) // the cancellation is confirmed right after this
			acts := float64(leadership.ViewValidUntil()) / slow
			runs := float64(cfg.Lease) / slow
			if gone := time.Duration(acts + runs); gone > cfg.CancelWithin {
				t.Fatalf("lease %v, cancel_s %v: tasks may be there for %v", cfg.Lease, cfg.CancelWithin, gone)
			} else if bound := cfg.CancelBound(); gone > bound {
				t.Fatalf("lease %v, cancel_s %v: tasks may be there for %v, the bound is %v", cfg.Lease, cfg.CancelWithin, gone, bound)
			}
		}
	}
}

// containsImmediateStop says whether orders stop an attempt of a task at once.
func containsImmediateStop(orders []model.Order, task string, attempt uint64) bool {
	for _, o := range orders {
		if o.Verb == model.OrderKill && o.Task == task && o.Attempt == attempt && o.GraceS != nil && *o.GraceS == 0 {
			return true
		}
	}
	return false
}
