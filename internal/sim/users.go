package sim

import (
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// Users simulates the users, who submit, poll and cancel jobs.
type Users struct {
	sim *Simulation
	// ProbesAllControllers makes users poll all controllers within milliseconds, and
	// submit the job again, whenever a job is accepted or they are told that it is
	// cancelled or done.
	ProbesAllControllers bool
	// StopsPollingAtEnd makes users schedule no more polls of a job once its end is
	// confirmed to them. Without it they poll once more at the end (see poll).
	StopsPollingAtEnd bool
	// CancelAtEndFraction is the fraction of batch jobs that users cancel just after the
	// last task has ended.
	CancelAtEndFraction float64
}

// jobEnded handles the completion of a batch job's last task: for a fraction
// CancelAtEndFraction of the accepted jobs that the user has not cancelled before, the
// user cancels the job within 300 ms.
func (u *Users) jobEnded(job *jobRecord) {
	if job.cancelRequested || !job.accepted || u.CancelAtEndFraction == 0 || u.sim.Rand.Float64() >= u.CancelAtEndFraction {
		return
	}
	u.sim.After(time.Duration(u.sim.Rand.Int64N(int64(300*time.Millisecond))), func() { u.Cancel(job.spec.ID) })
}

// probeAllControllers polls a job at every controller and submits it there again: at
// once, after 5 ms and after 40 ms. It does nothing unless ProbesAllControllers is set.
func (u *Users) probeAllControllers(job *jobRecord) {
	if !u.ProbesAllControllers {
		return
	}
	for _, controller := range u.sim.Controllers {
		for _, delayMs := range []time.Duration{0, 5, 40} {
			u.sim.After(delayMs*time.Millisecond, func() {
				askedAt := u.sim.Now
				check := func(r core.Reply) { u.sim.Checker.checkReply(job, askedAt, r) }
				u.sendRequestTo(controller, func(req uint64) core.Event { return core.Poll{RequestID: req, ID: job.spec.ID} }, 2*time.Second, check)
				u.sendRequestTo(controller, u.submitEvent(job.spec), 5*time.Second, check)
			})
		}
	}
}

// submitEvent returns a function that creates the event of a submission from its
// request id. The event holds the right wall-clock time; the wall clocks of the
// controllers differ from it by their error.
func (u *Users) submitEvent(spec model.Job) func(uint64) core.Event {
	return func(req uint64) core.Event {
		return core.Submit{RequestID: req, Job: spec, WallMs: u.sim.Now.Milliseconds() + 1e9}
	}
}

// SubmitImpossible submits a job that can never run. It is a violation if the job is
// accepted, or refused with 400 instead of 422.
func (u *Users) SubmitImpossible(spec model.Job) {
	u.sendRequest(u.submitEvent(spec), 5*time.Second, func(r core.Reply) {
		if r.Status == 200 || r.Status == 201 || r.Status == 400 {
			u.sim.Checker.reportViolation("accepted", "%s, which can never run: got status %d, want none of 200, 201 and 400", spec.ID, r.Status)
		}
	})
}

// Submit submits a job, whose tasks run for runTime, and polls it until its end.
func (u *Users) Submit(spec model.Job, runTime time.Duration) { u.SubmitStaggered(spec, runTime, 0) }

// SubmitStaggered is like Submit, but each task runs for step longer than the one
// before it. The user retries the submission for up to 60 s, a second after each failed
// try, until it is accepted, or refused with 400 or 422.
func (u *Users) SubmitStaggered(spec model.Job, runTime, step time.Duration) {
	sim := u.sim
	job := sim.Checker.addJob(spec, runTime)
	job.runTimeStep = step
	job.submittedAt = sim.Now
	giveUpAt := sim.Now + 60*time.Second
	var trySubmit func()
	trySubmit = func() {
		if sim.Now >= giveUpAt || job.accepted {
			return
		}
		askedAt := sim.Now
		submit := u.submitEvent(spec)
		sim.maybeRepeat(func() { u.sendRequest(submit, 5*time.Second, func(core.Reply) {}) })
		u.sendRequest(submit, 5*time.Second, func(r core.Reply) {
			sim.Checker.checkReply(job, askedAt, r)
			if r.Status == 200 || r.Status == 201 {
				job.accepted, job.acceptedAt = true, sim.Now
				u.probeAllControllers(job)
				u.poll(job)
				return
			}
			if r.Status == 400 || r.Status == 422 {
				return
			}
			sim.After(time.Second, trySubmit)
		})
	}
	trySubmit()
}

// poll polls a job every 5 s until its end is confirmed. A poll that is scheduled by then
// still goes out. Unless StopsPollingAtEnd is set, a last poll follows 20 s after that one.
func (u *Users) poll(job *jobRecord) {
	delay := 5 * time.Second
	hasEnded := job.confirmedDone || job.cancelConfirmedAt != 0
	if hasEnded && u.StopsPollingAtEnd {
		return
	}
	if hasEnded {
		delay = 20 * time.Second // the answer must still be the same
	}
	u.sim.After(delay, func() {
		askedAt := u.sim.Now
		u.pollOnce(job.spec.ID, func(r core.Reply) { u.sim.Checker.checkReply(job, askedAt, r) })
		if !hasEnded {
			u.poll(job)
		}
	})
}

// pollOnce polls a job at a random controller and passes the reply to handleReply.
func (u *Users) pollOnce(id string, handleReply func(core.Reply)) {
	u.sendRequest(func(req uint64) core.Event { return core.Poll{RequestID: req, ID: id} }, 2*time.Second, handleReply)
}

// Cancel cancels a job through random controllers.
func (u *Users) Cancel(id string) { u.CancelVia(id, nil) }

// CancelVia cancels a job. The first request goes to the given controller (nil: a
// random one), retries go to random ones. The user retries a second after each failed
// request until one succeeds or the end of the job is confirmed, and gives up if the
// answer is 404 before the job has been accepted.
func (u *Users) CancelVia(id string, controller *Controller) {
	job := u.sim.Checker.jobs[id]
	job.cancelRequested = true
	var tryCancel func()
	tryCancel = func() {
		if job.cancelConfirmedAt != 0 || job.confirmedDone {
			return
		}
		askedAt := u.sim.Now
		newEvent := func(req uint64) core.Event { return core.Cancel{RequestID: req, ID: id} }
		u.sim.maybeRepeat(func() { u.sendRequest(newEvent, 5*time.Second, func(core.Reply) {}) })
		first := controller
		controller = nil
		u.sendRequestTo(first, newEvent, 5*time.Second, func(r core.Reply) {
			if r.Status == 404 && !job.accepted {
				return
			}
			u.sim.Checker.checkReply(job, askedAt, r)
			if r.Status != 200 {
				u.sim.After(time.Second, tryCancel)
			}
		})
	}
	tryCancel()
}

// PollUnknown polls a job that was never submitted. It is a violation if the answer
// is 200.
func (u *Users) PollUnknown(id string) {
	u.pollOnce(id, func(r core.Reply) {
		if r.Status == 200 {
			u.sim.Checker.reportViolation("invented", "%s was never submitted, but a poll of it got status 200", id)
		}
	})
}

// sendRequest sends a request to a random controller. See sendRequestTo.
func (u *Users) sendRequest(newEvent func(uint64) core.Event, timeout time.Duration, handleReply func(core.Reply)) {
	u.sendRequestTo(nil, newEvent, timeout, handleReply)
}

// sendRequestTo sends a request to a controller, or to a random one if controller is
// nil, and passes the reply to handleReply. The reply is empty after the timeout.
func (u *Users) sendRequestTo(controller *Controller, newEvent func(uint64) core.Event, timeout time.Duration, handleReply func(core.Reply)) {
	sim := u.sim
	if controller == nil {
		controller = sim.Controllers[sim.Rand.IntN(len(sim.Controllers))]
	}
	isAnswered := false
	finish := func(r core.Reply) {
		if !isAnswered {
			isAnswered = true
			handleReply(r)
		}
	}
	controller.sendRequest("users", newEvent, finish)
	sim.After(timeout, func() { finish(core.Reply{}) })
}
