package core

import (
	"fmt"
	"testing"
	"time"

	"mulleinfall/internal/election"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// TestAnswersCarryStops checks that each answer that renews a worker's lease carries a stop
// for each reported task of a job known to be cancelled, on every path that a report can
// take. If a lease is renewed late and without the stop, the task runs for longer than
// cancel_s.
func TestAnswersCarryStops(t *testing.T) {
	const host, cancelled = "n-1", "req-000001/0"
	for _, row := range []struct {
		name string
		// report returns a report of session 1.
		report func(s *State, m *machine) *model.Report
		hidden bool // the report does not list the cancelled task
	}{
		{"the machine has shown this term's epoch", func(s *State, m *machine) *model.Report {
			return &model.Report{Seq: 6, Epoch: s.epochBase()}
		}, false},
		{"the answer to an earlier report carried a start", func(s *State, m *machine) *model.Report {
			m.tasks[cancelled] = &task{job: s.jobs["req-000001"], name: cancelled, attempt: 9, machine: m, startSent: true, startSentSeq: 6}
			return &model.Report{Seq: 6, Epoch: s.epochBase()}
		}, true},
		{"the machine is new to this leader", func(s *State, m *machine) *model.Report {
			m.reconciled = false
			return &model.Report{Seq: 6, Epoch: 1}
		}, false},
		{"the answer to a command came before the report", func(s *State, m *machine) *model.Report {
			m.seq = 7
			return &model.Report{Seq: 6, Epoch: s.epochBase()}
		}, false},
		{"there are more orders than fit in an answer", func(s *State, m *machine) *model.Report {
			r := &model.Report{Seq: 6, Epoch: s.epochBase()}
			for i := range maxOrders {
				r.Tasks = append(r.Tasks, model.TaskReport{Task: fmt.Sprintf("req-000000/%d", i), Attempt: 3, State: model.TaskExited, Cause: model.CauseStopped})
			}
			return r
		}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newSingleController()
			s.loaded, s.hasContact, s.caughtUp, s.takeoverComplete = true, true, true, true
			s.leadership, s.teamUsage = newLeadership(s), map[string]sched.Resources{}
			s.apply(Item{Key: prefixJobs + "req-000001", Value: mustMarshal(jobValue{Phase: model.PhaseAborted}), ModRevision: 6})
			m := s.ensureMachine(host)
			m.session, m.seq, m.reconciled, m.registered, m.hasReported = 1, 5, true, true, true
			r := row.report(s, m)
			r.Host, r.Session = host, 1
			if !row.hidden {
				r.Tasks = append(r.Tasks, model.TaskReport{Task: cancelled, Attempt: 9, State: model.TaskRunning})
			}
			s.dispatchNeeded, s.effects = true, nil // a new report is then answered after a dispatch round
			s.handleReport(WorkerReport{RequestID: 1, Report: *r})
			for _, task := range m.tasks {
				s.stopTask(task, 0) // as if the leader learnt of the cancellation only now
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
					t.Errorf("got %d orders without an immediate stop of %s in an answer with status 200, want one", len(orders), cancelled)
				}
				if len(orders) > maxOrders {
					t.Errorf("got %d orders in an answer, want maxOrders at most", len(orders))
				}
			}
			if !renewed {
				t.Errorf("got no answer with status 200: %v", s.effects)
			}
		})
	}
}

// TestCancelBound adds up the worst case for many settings: a leader that does not learn of
// a cancellation acts until its view is too old, then the last lease that it renewed runs to
// its end, and both clocks are slow. The sum must be within cancel_s wherever cancel_s is at
// least six fifths of the lease, and within CancelBound.
func TestCancelBound(t *testing.T) {
	const slowestClock = 1 - ClockDrift // rate of the slowest clock
	for lease := 4.0; lease <= 120; lease += 0.5 {
		for factor := 1.2; factor <= 6; factor += 0.05 {
			cfg := Config{Lease: time.Duration(lease * float64(time.Second)), CancelWithin: time.Duration(lease * factor * float64(time.Second)), Peers: []string{"a", "b"}}
			s := New(cfg, 0)
			leadership := election.NewLeadership(s.electionConfig, 0, 1, 0)
			leadership.RecordRead(0) // the cancellation is confirmed right after this
			actsFor := float64(leadership.ViewValidUntil()) / slowestClock
			leaseRunsFor := float64(cfg.Lease) / slowestClock
			if goneAfter := time.Duration(actsFor + leaseRunsFor); goneAfter > cfg.CancelWithin {
				t.Fatalf("lease %v, cancel_s %v: tasks may exist for %v, want cancel_s at most", cfg.Lease, cfg.CancelWithin, goneAfter)
			} else if bound := cfg.CancelBound(); goneAfter > bound {
				t.Fatalf("lease %v, cancel_s %v: tasks may exist for %v, want CancelBound at most, %v", cfg.Lease, cfg.CancelWithin, goneAfter, bound)
			}
		}
	}
}

// containsImmediateStop says whether orders stop an attempt of a task without grace.
func containsImmediateStop(orders []model.Order, task string, attempt uint64) bool {
	for _, o := range orders {
		if o.Verb == model.OrderKill && o.Task == task && o.Attempt == attempt && o.GraceS != nil && *o.GraceS == 0 {
			return true
		}
	}
	return false
}
