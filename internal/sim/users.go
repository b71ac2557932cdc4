package sim

import (
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// Users stand in for the users: they submit, poll and cancel.
type Users struct {
	sim *Simulation
	// ProbesAllControllers has users ask at all nodes within milliseconds, and submit again,
	// after a job was accepted, cancelled or done.
	ProbesAllControllers bool
	// StopsPollingAtEnd has users who were told a job's end not ask again.
	StopsPollingAtEnd bool
	// CancelAtEndFraction is the part of the jobs that is cancelled as its last task ends.
	CancelAtEndFraction float64
}

// jobEnded takes that a job's last task has just completed.
func (u *Users) jobEnded(t *jobRecord) {
	if t.cancelRequested || !t.accepted || u.CancelAtEndFraction == 0 || u.sim.Rand.Float64() >= u.CancelAtEndFraction {
		return
	}
	u.sim.After(time.Duration(u.sim.Rand.Int64N(int64(300*time.Millisecond))), func() { u.Cancel(t.spec.ID) })
}

// probeAllControllers asks at all nodes at once and again after 5 and 40 ms, and
// submits the job again.
func (u *Users) probeAllControllers(t *jobRecord) {
	if !u.ProbesAllControllers {
		return
	}
	for _, n := range u.sim.Controllers {
		for _, d := range []time.Duration{0, 5, 40} {
			u.sim.After(d*time.Millisecond, func() {
				asked := u.sim.Now
				told := func(r core.Reply) { u.sim.Checker.checkReply(t, asked, r) }
				u.sendRequestTo(n, func(req uint64) core.Event { return core.Poll{RequestID: req, ID: t.spec.ID} }, 2*time.Second, told)
				u.sendRequestTo(n, u.submitEvent(t.spec), 5*time.Second, told)
			})
		}
	}
}

func (u *Users) submitEvent(spec model.Job) func(uint64) core.Event {
	return func(req uint64) core.Event {
		return core.Submit{RequestID: req, Job: spec, WallMs: u.sim.Now.Milliseconds() + 1e9}
	}
}

// SubmitImpossible has a user submit a job that can never run; accepting it is
// against the rules.
func (u *Users) SubmitImpossible(spec model.Job) {
	u.sendRequest(u.submitEvent(spec), 5*time.Second, func(r core.Reply) {
		if r.Status == 200 || r.Status == 201 || r.Status == 400 {
			u.sim.Checker.reportViolation("accepted", "%s, which can never run, is answered %d", spec.ID, r.Status)
		}
	})
}

// Submit has a user submit a job now whose tasks really run for runTime, and
// follow it to its end.
func (u *Users) Submit(spec model.Job, runTime time.Duration) { u.SubmitStaggered(spec, runTime, 0) }

// SubmitStaggered is Submit for a job each of whose tasks takes step longer than
// the one before.
func (u *Users) SubmitStaggered(spec model.Job, runTime, step time.Duration) {
	w := u.sim
	t := w.Checker.addJob(spec, runTime)
	t.runTimeStep = step
	t.submittedAt = w.Now
	give := w.Now + 60*time.Second
	var try func()
	try = func() {
		if w.Now >= give || t.accepted {
			return
		}
		asked := w.Now
		submit := u.submitEvent(spec)
		w.maybeRepeat(func() { u.sendRequest(submit, 5*time.Second, func(core.Reply) {}) })
		u.sendRequest(submit, 5*time.Second, func(r core.Reply) {
			w.Checker.checkReply(t, asked, r)
			if r.Status == 200 || r.Status == 201 {
				t.accepted, t.acceptedAt = true, w.Now
				u.probeAllControllers(t)
				u.poll(t)
				return
			}
			if r.Status == 400 || r.Status == 422 {
				return
			}
			w.After(time.Second, try)
		})
	}
	try()
}

func (u *Users) poll(t *jobRecord) {
	wait := 5 * time.Second
	over := t.confirmedDone || t.cancelConfirmedAt != 0
	if over && u.StopsPollingAtEnd {
		return
	}
	if over {
		wait = 20 * time.Second // now and then somebody looks again: the answer must stay
	}
	u.sim.After(wait, func() {
		asked := u.sim.Now
		u.pollOnce(t.spec.ID, func(r core.Reply) { u.sim.Checker.checkReply(t, asked, r) })
		if !over {
			u.poll(t)
		}
	})
}

func (u *Users) pollOnce(id string, f func(core.Reply)) {
	u.sendRequest(func(req uint64) core.Event { return core.Poll{RequestID: req, ID: id} }, 2*time.Second, f)
}

// Cancel has the user cancel a job.
func (u *Users) Cancel(id string) { u.CancelVia(id, nil) }

// CancelVia has the user cancel a job by way of node first, then of any.
func (u *Users) CancelVia(id string, node *Controller) {
	t := u.sim.Checker.jobs[id]
	t.cancelRequested = true
	var try func()
	try = func() {
		if t.cancelConfirmedAt != 0 || t.confirmedDone {
			return
		}
		asked := u.sim.Now
		withdraw := func(req uint64) core.Event { return core.Cancel{RequestID: req, ID: id} }
		u.sim.maybeRepeat(func() { u.sendRequest(withdraw, 5*time.Second, func(core.Reply) {}) })
		first := node
		node = nil
		u.sendRequestTo(first, withdraw, 5*time.Second, func(r core.Reply) {
			if r.Status == 404 && !t.accepted {
				return
			}
			u.sim.Checker.checkReply(t, asked, r)
			if r.Status != 200 {
				u.sim.After(time.Second, try)
			}
		})
	}
	try()
}

// PollUnknown asks about a job that nobody submitted.
func (u *Users) PollUnknown(id string) {
	u.pollOnce(id, func(r core.Reply) {
		if r.Status == 200 {
			u.sim.Checker.reportViolation("invented", "%s", id)
		}
	})
}

// sendRequest sends a request to some node, with a time limit.
func (u *Users) sendRequest(make_ func(uint64) core.Event, limit time.Duration, f func(core.Reply)) {
	u.sendRequestTo(nil, make_, limit, f)
}

// sendRequestTo sends it to n, or to some node if n is nil.
func (u *Users) sendRequestTo(n *Controller, make_ func(uint64) core.Event, limit time.Duration, f func(core.Reply)) {
	w := u.sim
	if n == nil {
		n = w.Controllers[w.Rand.IntN(len(w.Controllers))]
	}
	over := false
	end := func(r core.Reply) {
		if !over {
			over = true
			f(r)
		}
	}
	n.sendRequest("users", make_, end)
	w.After(limit, func() { end(core.Reply{}) })
}
