package sim

import (
	"strings"
	"testing"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// editOrders changes the orders that a node sends, whichever way they go.
func editOrders(e core.Effect, f func([]model.Order) []model.Order) core.Effect {
	switch e := e.(type) {
	case core.Reply:
		if b, ok := e.Body.(core.ReportReply); ok {
			b.Orders = f(b.Orders)
			e.Body = b
			return e
		}
	case core.AgentCall:
		e.Orders = f(e.Orders)
		return e
	}
	return e
}

// editJobStatus changes what users are told.
func editJobStatus(e core.Effect, f func(core.JobStatus) core.JobStatus) core.Effect {
	if r, ok := e.(core.Reply); ok {
		if st, ok := r.Body.(core.JobStatus); ok && r.Status == 200 {
			r.Body = f(st)
			return r
		}
	}
	return e
}

// TestCheckerReportsEachViolation breaks the service on purpose, once for each rule,
// and expects the checker to say so.
func TestCheckerReportsEachViolation(t *testing.T) {
	var seen []model.Order
	moved := map[string]model.Order{}
	noKills := func(o []model.Order) []model.Order {
		kept := []model.Order{}
		for _, x := range o {
			if x.Verb != model.OrderKill {
				kept = append(kept, x)
			}
		}
		return kept
	}
	cases := []struct {
		rule   string
		tamper func(w *Simulation, n *Controller, e core.Effect) core.Effect
		setup  func(w *Simulation)
	}{
		{rule: "ran_twice", tamper: func(w *Simulation, n *Controller, e core.Effect) core.Effect {
			return editOrders(e, func(o []model.Order) []model.Order {
				for _, x := range o {
					if x.Verb == model.OrderStart {
						seen = append(seen, model.Order{Verb: model.OrderStart, Task: x.Task, Attempt: x.Attempt + 1})
					}
				}
				return append(noKills(o), seen...)
			})
		}},
		{rule: "quota", setup: func(w *Simulation) {
			w.Options.Config.Teams = map[string]core.Team{"t": {Limit: sched.Resources{CPUs: 2}}}
		}},
		{rule: "wrong_place", tamper: func(w *Simulation, n *Controller, e core.Effect) core.Effect {
			// Replica 1 is sent wherever replica 0 goes.
			return editOrders(e, func(o []model.Order) []model.Order {
				kept := []model.Order{}
				for _, x := range noKills(o) {
					if x.Verb == model.OrderStart && strings.HasSuffix(x.Task, "/1") {
						moved[x.Task] = x
						continue
					}
					if pair, first := strings.CutSuffix(x.Task, "/0"); first && x.Verb == model.OrderStart && w.Checker.jobs[pair].spec.Tasks == 2 {
						m, ok := moved[pair+"/1"]
						if !ok {
							continue // it is sent again, and by then both go
						}
						kept = append(kept, m)
					}
					kept = append(kept, x)
				}
				return kept
			})
		}, setup: func(w *Simulation) {
			w.At(0, func() {
				w.Users.Submit(model.Job{ID: "req-500000", Team: "t", Class: "c", Kind: model.KindService, Priority: model.PriorityProd,
					Tasks: 2, CPUs: 0.5, MemoryGB: 1, Image: "svc", ImageGB: 1, Spread: true}, 0)
			})
		}},
		{rule: "ran_cancelled", tamper: func(w *Simulation, n *Controller, e core.Effect) core.Effect {
			return editOrders(e, noKills)
		}, setup: func(w *Simulation) {
			w.At(20*second, func() {
				w.Users.Submit(model.Job{ID: "req-500000", Team: "t", Class: "c", Kind: model.KindService, Priority: model.PriorityProd,
					Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "svc", ImageGB: 1}, 0)
			})
			w.At(60*second, func() {
				w.Cloud.Unavailable = true // else the machine is returned before the time is up
				w.Users.Cancel("req-500000")
			})
		}},
		{rule: "late_start", tamper: func(w *Simulation, n *Controller, e core.Effect) core.Effect {
			return editJobStatus(e, func(st core.JobStatus) core.JobStatus {
				if st.ID == "req-500000" && w.Now > 60*second {
					st.Phase = model.PhaseAborted
				}
				return st
			})
		}, setup: func(w *Simulation) {
			w.At(20*second, func() {
				w.Users.Submit(model.Job{ID: "req-500000", Team: "t", Class: "c", Kind: model.KindBatch, Priority: model.PriorityLow,
					Tasks: 120, CPUs: 2, MemoryGB: 1, Image: "low", ImageGB: 1, EstimateS: 10}, 15*second)
			})
			w.At(60*second, func() { w.Checker.jobs["req-500000"].cancelRequested = true }) // and is told so, while it goes on
		}},
		{rule: "forgotten", tamper: func(w *Simulation, n *Controller, e core.Effect) core.Effect {
			if r, ok := e.(core.Reply); ok && r.Status == 200 && w.Now > 60*second {
				if _, ok := r.Body.(core.JobStatus); ok {
					return core.Reply{RequestID: r.RequestID, Status: 404}
				}
			}
			return e
		}},
		{rule: "invented", tamper: func(w *Simulation, n *Controller, e core.Effect) core.Effect {
			if r, ok := e.(core.Reply); ok && r.Status == 404 {
				return core.Reply{RequestID: r.RequestID, Status: 200, Body: core.JobStatus{}}
			}
			return e
		}},
		{rule: "not_done", tamper: func(w *Simulation, n *Controller, e core.Effect) core.Effect {
			return editJobStatus(e, func(st core.JobStatus) core.JobStatus {
				st.Phase = model.PhaseDone
				return st
			})
		}},
		{rule: "went_back", tamper: func(w *Simulation, n *Controller, e core.Effect) core.Effect {
			return editJobStatus(e, func(st core.JobStatus) core.JobStatus {
				if w.Now > 80*second {
					st.Phase = model.PhaseRunning
				}
				return st
			})
		}},
	}
	for _, c := range cases {
		t.Run(c.rule, func(t *testing.T) {
			seen = nil
			opt := DefaultOptions(3)
			opt.Tamper = c.tamper
			w := New(opt)
			if c.setup != nil {
				c.setup(w)
			}
			load(w, 90*second)
			w.RunUntil(160 * second)
			for _, b := range w.Checker.Violations {
				if strings.Contains(b, c.rule+":") {
					return
				}
			}
			t.Errorf("the checker did not notice; it saw %v", w.Checker.Violations)
		})
	}
}
