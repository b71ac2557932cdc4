package sim

import (
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// A worker's reports and what it does with the answers.

func (wk *Worker) report() model.Report {
	wk.seq++
	rep := model.Report{Host: wk.info.Host, Endpoint: wk.info.Endpoint, Type: wk.info.Type, Zone: wk.info.Zone, Spot: wk.info.Spot,
		Session: wk.session, Seq: wk.seq, Epoch: wk.epoch}
	if wk.recallAt != 0 {
		left := (wk.recallAt - wk.w.Now).Seconds()
		rep.ReclaimInS = &left
	}
	for _, name := range sortedKeys(wk.tasks) {
		r := wk.tasks[name]
		rep.Tasks = append(rep.Tasks, model.TaskReport{Task: name, Attempt: r.attempt, State: r.state, Cause: r.cause, Saved: r.saved})
	}
	return rep
}

// sendReport sends a report.
func (wk *Worker) sendReport() {
	w := wk.w
	wk.changed = false
	wk.reports++
	number := wk.reports
	wk.inFlight, wk.lastReportAt = number, w.Now
	every := w.Opt.Config.ReportInterval
	wk.nextReportAt = w.Now + every*3/4 + time.Duration(w.Rnd.Int64N(int64(every/2)))
	sent, session := w.Now, wk.session
	rep := wk.report()
	node := w.Nodes[wk.target]
	wk.copyReport(rep)
	if wk.Mute {
		wk.turnTo(time.Second, wk.following())
		return
	}
	node.ask(wk.info.Endpoint, func(req uint64) core.Event { return core.WorkerReport{RequestID: req, Report: rep} }, func(r core.Reply) {
		if wk.dead || wk.inFlight != number {
			return // given up: dropped
		}
		if wk.Unanswered {
			wk.turnTo(time.Second, wk.following()) // the connection broke
			return
		}
		if wk.Hung || wk.Deaf {
			return // the time limit below moves it on
		}
		wk.answered(node, sent, session, r)
	})
	w.After(4*time.Second, func() {
		if wk.inFlight == number {
			wk.turnTo(time.Second, wk.following())
		}
	})
}

// copyReport has copies of a report come late, if the day wants that.
func (wk *Worker) copyReport(rep model.Report) {
	w := wk.w
	if w.Copies > 0 && w.Rnd.Float64() < w.Copies {
		// To whichever controller.
		to := w.Nodes[w.Rnd.IntN(len(w.Nodes))]
		w.After(time.Second+time.Duration(w.Rnd.Int64N(int64(3*w.Opt.Config.Lease))), func() {
			to.ask("copy", func(req uint64) core.Event { return core.WorkerReport{RequestID: req, Report: rep} }, func(core.Reply) {})
		})
	}
	if w.ForNext > 0 && w.Rnd.Float64() < w.ForNext {
		w.kept = append(w.kept, rep)
	}
}

// following is the controller after the one that it reports to.
func (wk *Worker) following() int { return (wk.target + 1) % len(wk.w.Nodes) }

// turnTo sends the next report to a controller, after a while.
func (wk *Worker) turnTo(wait time.Duration, target int) {
	wk.inFlight = 0
	wk.target = target
	wk.nextReportAt = wk.w.Now + wait
}

// answered takes a controller's answer to a report.
func (wk *Worker) answered(node *Node, sent time.Duration, session uint64, r core.Reply) {
	w := wk.w
	switch r.Status {
	case 200:
		wk.inFlight = 0
		body := r.Body.(core.ReportReply)
		if session != wk.session || body.Epoch < wk.epoch || body.Epoch == 0 {
			return
		}
		wk.noteEpoch(body.Epoch)
		wk.leaseFrom = max(wk.leaseFrom, sent)
		wk.execute(body.Orders)
	case 421:
		to, wait := wk.following(), time.Second
		if red, ok := r.Body.(core.Redirect); ok && red.Leader != "" && red.Leader != node.Name {
			for i, o := range w.Nodes {
				if o.Name == red.Leader {
					to, wait = i, time.Duration(w.Rnd.Int64N(int64(500*time.Millisecond)))
				}
			}
		}
		wk.turnTo(wait, to)
	default:
		wk.turnTo(time.Second, wk.following())
	}
}
