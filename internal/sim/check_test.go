package sim

import (
	"strings"
	"testing"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// editOrders returns an effect with f applied to its orders, whether the controller sends
// them in a reply to a report or in a direct command.
func editOrders(e core.Effect, f func([]model.Order) []model.Order) core.Effect {
	switch e := e.(type) {
	case core.Reply:
		if body, ok := e.Body.(core.ReportReply); ok {
			body.Orders = f(body.Orders)
			e.Body = body
			return e
		}
	case core.AgentCall:
		e.Orders = f(e.Orders)
		return e
	}
	return e
}

// editJobStatus returns an effect with f applied to the job status if it is a reply with
// status 200 to a user.
func editJobStatus(e core.Effect, f func(core.JobStatus) core.JobStatus) core.Effect {
	if r, ok := e.(core.Reply); ok {
		if status, ok := r.Body.(core.JobStatus); ok && r.Status == 200 {
			r.Body = f(status)
			return r
		}
	}
	return e
}

// TestCheckerReportsEachViolation breaks the service on purpose, once for each rule in
// its table, and checks that the checker reports a violation of that rule. Otherwise
// whole-service tests could pass although a rule is violated.
func TestCheckerReportsEachViolation(t *testing.T) {
	var repeatedStarts []model.Order
	heldStarts := map[string]model.Order{}
	withoutKills := func(orders []model.Order) []model.Order {
		kept := []model.Order{}
		for _, order := range orders {
			if order.Verb != model.OrderKill {
				kept = append(kept, order)
			}
		}
		return kept
	}
	cases := []struct {
		rule   string
		tamper func(sim *Simulation, controller *Controller, e core.Effect) core.Effect
		setup  func(sim *Simulation)
	}{
		{rule: "ran_twice", tamper: func(sim *Simulation, controller *Controller, e core.Effect) core.Effect {
			// Each task is also started, as a further attempt, on every machine that gets
			// orders from then on, and no task is stopped.
			return editOrders(e, func(orders []model.Order) []model.Order {
				for _, order := range orders {
					if order.Verb == model.OrderStart {
						repeatedStarts = append(repeatedStarts, model.Order{Verb: model.OrderStart, Task: order.Task, Attempt: order.Attempt + 1})
					}
				}
				return append(withoutKills(orders), repeatedStarts...)
			})
		}},
		{rule: "quota", setup: func(sim *Simulation) {
			// The controllers have started without this limit, so only the checker knows it.
			sim.Options.Config.Teams = map[string]core.Team{"t": {Limit: sched.Resources{CPUs: 2}}}
		}},
		{rule: "wrong_place", tamper: func(sim *Simulation, controller *Controller, e core.Effect) core.Effect {
			// The start of replica 1 is sent to the machine that starts replica 0, although the
			// job's replicas must be spread over the zones.
			return editOrders(e, func(orders []model.Order) []model.Order {
				kept := []model.Order{}
				for _, order := range withoutKills(orders) {
					if order.Verb == model.OrderStart && strings.HasSuffix(order.Task, "/1") {
						heldStarts[order.Task] = order
						continue
					}
					if job, isFirst := strings.CutSuffix(order.Task, "/0"); isFirst && order.Verb == model.OrderStart && sim.Checker.jobs[job].spec.Tasks == 2 {
						secondStart, ok := heldStarts[job+"/1"]
						if !ok {
							continue // the order is sent again, and both starts go out then
						}
						kept = append(kept, secondStart)
					}
					kept = append(kept, order)
				}
				return kept
			})
		}, setup: func(sim *Simulation) {
			sim.At(0, func() {
				sim.Users.Submit(model.Job{ID: "req-500000", Team: "t", Class: "c", Kind: model.KindService, Priority: model.PriorityProd,
					Tasks: 2, CPUs: 0.5, MemoryGB: 1, Image: "svc", ImageGB: 1, Spread: true}, 0)
			})
		}},
		{rule: "ran_cancelled", tamper: func(sim *Simulation, controller *Controller, e core.Effect) core.Effect {
			return editOrders(e, withoutKills)
		}, setup: func(sim *Simulation) {
			sim.At(20*second, func() {
				sim.Users.Submit(model.Job{ID: "req-500000", Team: "t", Class: "c", Kind: model.KindService, Priority: model.PriorityProd,
					Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "svc", ImageGB: 1}, 0)
			})
			sim.At(60*second, func() {
				sim.Cloud.Unavailable = true // otherwise the machine is returned before CancelWithin has passed
				sim.Users.Cancel("req-500000")
			})
		}},
		{rule: "late_start", tamper: func(sim *Simulation, controller *Controller, e core.Effect) core.Effect {
			return editJobStatus(e, func(status core.JobStatus) core.JobStatus {
				if status.ID == "req-500000" && sim.Now > 60*second {
					status.Phase = model.PhaseAborted
				}
				return status
			})
		}, setup: func(sim *Simulation) {
			sim.At(20*second, func() {
				sim.Users.Submit(model.Job{ID: "req-500000", Team: "t", Class: "c", Kind: model.KindBatch, Priority: model.PriorityLow,
					Tasks: 120, CPUs: 2, MemoryGB: 1, Image: "low", ImageGB: 1, EstimateS: 10}, 15*second)
			})
			sim.At(60*second, func() { sim.Checker.jobs["req-500000"].cancelRequested = true }) // the user seems to have cancelled and replies say so, but the job goes on
		}},
		{rule: "forgotten", tamper: func(sim *Simulation, controller *Controller, e core.Effect) core.Effect {
			if r, ok := e.(core.Reply); ok && r.Status == 200 && sim.Now > 60*second {
				if _, ok := r.Body.(core.JobStatus); ok {
					return core.Reply{RequestID: r.RequestID, Status: 404}
				}
			}
			return e
		}},
		{rule: "invented", tamper: func(sim *Simulation, controller *Controller, e core.Effect) core.Effect {
			if r, ok := e.(core.Reply); ok && r.Status == 404 {
				return core.Reply{RequestID: r.RequestID, Status: 200, Body: core.JobStatus{}}
			}
			return e
		}},
		{rule: "not_done", tamper: func(sim *Simulation, controller *Controller, e core.Effect) core.Effect {
			return editJobStatus(e, func(status core.JobStatus) core.JobStatus {
				status.Phase = model.PhaseDone
				return status
			})
		}},
		{rule: "went_back", tamper: func(sim *Simulation, controller *Controller, e core.Effect) core.Effect {
			return editJobStatus(e, func(status core.JobStatus) core.JobStatus {
				if sim.Now > 80*second {
					status.Phase = model.PhaseRunning
				}
				return status
			})
		}},
	}
	for _, test := range cases {
		t.Run(test.rule, func(t *testing.T) {
			repeatedStarts = nil
			options := DefaultOptions(3)
			options.Tamper = test.tamper
			sim := New(options)
			if test.setup != nil {
				test.setup(sim)
			}
			submitMixedLoad(sim, 90*second)
			sim.RunUntil(160 * second)
			for _, violation := range sim.Checker.Violations {
				if strings.Contains(violation, test.rule+":") {
					return
				}
			}
			t.Errorf("got violations %v, want at least one of this rule", sim.Checker.Violations)
		})
	}
}
