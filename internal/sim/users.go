package sim

import (
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// Users stand in for the users: they submit, poll and cancel.
type Users struct {
	w *World
	// Close has users ask at all nodes within milliseconds, and submit again,
	// after a job was accepted, cancelled or done.
	Close bool
	// Quiet has users who were told a job's end not ask again.
	Quiet bool
	// AtEnd is the part of the jobs that is cancelled as its last task ends.
	AtEnd float64
}

// ended takes that a job's last task has just completed.
func (u *Users) ended(t *truth) {
	if t.asked || !t.accepted || u.AtEnd == 0 || u.w.Rnd.Float64() >= u.AtEnd {
		return
	}
	u.w.After(time.Duration(u.w.Rnd.Int64N(int64(300*time.Millisecond))), func() { u.Cancel(t.spec.ID) })
}

// lookClosely asks at all nodes at once and again after 5 and 40 ms, and
// submits the job again.
func (u *Users) lookClosely(t *truth) {
	if !u.Close {
		return
	}
	for _, n := range u.w.Nodes {
		for _, d := range []time.Duration{0, 5, 40} {
			u.w.After(d*time.Millisecond, func() {
				asked := u.w.Now
				told := func(r core.Reply) { u.w.Check.told(t, asked, r) }
				u.askAt(n, func(req uint64) core.Event { return core.Poll{RequestID: req, ID: t.spec.ID} }, 2*time.Second, told)
				u.askAt(n, u.submission(t.spec), 5*time.Second, told)
			})
		}
	}
}

func (u *Users) submission(spec model.Job) func(uint64) core.Event {
	return func(req uint64) core.Event {
		return core.Submit{RequestID: req, Job: spec, WallMs: u.w.Now.Milliseconds() + 1e9}
	}
}

// Impossible has a user submit a job that can never run; accepting it is
// against the rules.
func (u *Users) Impossible(spec model.Job) {
	u.ask(u.submission(spec), 5*time.Second, func(r core.Reply) {
		if r.Status == 200 || r.Status == 201 || r.Status == 400 {
			u.w.Check.broken("accepted", "%s, which can never run, is answered %d", spec.ID, r.Status)
		}
	})
}

// Submit has a user submit a job now whose tasks really run for runTime, and
// follow it to its end.
func (u *Users) Submit(spec model.Job, runTime time.Duration) { u.SubmitSpread(spec, runTime, 0) }

// SubmitSpread is Submit for a job each of whose tasks takes step longer than
// the one before.
func (u *Users) SubmitSpread(spec model.Job, runTime, step time.Duration) {
	w := u.w
	t := w.Check.submitted(spec, runTime)
	t.step = step
	t.at = w.Now
	give := w.Now + 60*time.Second
	var try func()
	try = func() {
		if w.Now >= give || t.accepted {
			return
		}
		asked := w.Now
		submit := u.submission(spec)
		w.repeat(func() { u.ask(submit, 5*time.Second, func(core.Reply) {}) })
		u.ask(submit, 5*time.Second, func(r core.Reply) {
			w.Check.told(t, asked, r)
			if r.Status == 200 || r.Status == 201 {
				t.accepted, t.acceptedAt = true, w.Now
				u.lookClosely(t)
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

func (u *Users) poll(t *truth) {
	wait := 5 * time.Second
	over := t.toldDone || t.toldCancelled != 0
	if over && u.Quiet {
		return
	}
	if over {
		wait = 20 * time.Second // now and then somebody looks again: the answer must stay
	}
	u.w.After(wait, func() {
		asked := u.w.Now
		u.look(t.spec.ID, func(r core.Reply) { u.w.Check.told(t, asked, r) })
		if !over {
			u.poll(t)
		}
	})
}

func (u *Users) look(id string, f func(core.Reply)) {
	u.ask(func(req uint64) core.Event { return core.Poll{RequestID: req, ID: id} }, 2*time.Second, f)
}

// Cancel has the user cancel a job.
func (u *Users) Cancel(id string) { u.CancelAt(id, nil) }

// CancelAt has the user cancel a job by way of node first, then of any.
func (u *Users) CancelAt(id string, node *Node) {
	t := u.w.Check.jobs[id]
	t.asked = true
	var try func()
	try = func() {
		if t.toldCancelled != 0 || t.toldDone {
			return
		}
		asked := u.w.Now
		withdraw := func(req uint64) core.Event { return core.Cancel{RequestID: req, ID: id} }
		u.w.repeat(func() { u.ask(withdraw, 5*time.Second, func(core.Reply) {}) })
		first := node
		node = nil
		u.askAt(first, withdraw, 5*time.Second, func(r core.Reply) {
			if r.Status == 404 && !t.accepted {
				return
			}
			u.w.Check.told(t, asked, r)
			if r.Status != 200 {
				u.w.After(time.Second, try)
			}
		})
	}
	try()
}

// Stranger asks about a job that nobody submitted.
func (u *Users) Stranger(id string) {
	u.look(id, func(r core.Reply) {
		if r.Status == 200 {
			u.w.Check.broken("invented", "%s", id)
		}
	})
}

// ask sends a request to some node, with a time limit.
func (u *Users) ask(make_ func(uint64) core.Event, limit time.Duration, f func(core.Reply)) {
	u.askAt(nil, make_, limit, f)
}

// askAt sends it to n, or to some node if n is nil.
func (u *Users) askAt(n *Node, make_ func(uint64) core.Event, limit time.Duration, f func(core.Reply)) {
	w := u.w
	if n == nil {
		n = w.Nodes[w.Rnd.IntN(len(w.Nodes))]
	}
	over := false
	end := func(r core.Reply) {
		if !over {
			over = true
			f(r)
		}
	}
	n.ask("users", make_, end)
	w.After(limit, func() { end(core.Reply{}) })
}
