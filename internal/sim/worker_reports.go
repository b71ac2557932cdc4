package sim

import (
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// A worker's reports and what it does with the answers.

func (wk *Worker) nextReport() model.Report {
	wk.seq++
	rep := model.Report{Host: wk.info.Host, Endpoint: wk.info.Endpoint, Type: wk.info.Type, Zone: wk.info.Zone, Spot: wk.info.Spot,
		Session: wk.session, Seq: wk.seq, Epoch: wk.epoch}
	if wk.reclaimAt != 0 {
		left := (wk.reclaimAt - wk.sim.Now).Seconds()
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
	w := wk.sim
	wk.hasChanges = false
	wk.reportCount++
	number := wk.reportCount
	wk.reportInFlight, wk.lastReportAt = number, w.Now
	every := w.Options.Config.ReportInterval
	wk.nextReportAt = w.Now + every*3/4 + time.Duration(w.Rand.Int64N(int64(every/2)))
	sent, session := w.Now, wk.session
	rep := wk.nextReport()
	node := w.Controllers[wk.targetController]
	wk.scheduleReportCopies(rep)
	if wk.CannotReport {
		wk.retargetAfter(time.Second, wk.nextController())
		return
	}
	node.sendRequest(wk.info.Endpoint, func(req uint64) core.Event { return core.WorkerReport{RequestID: req, Report: rep} }, func(r core.Reply) {
		if wk.stopped || wk.reportInFlight != number {
			return // given up: dropped
		}
		if wk.ReportAnswersLost {
			wk.retargetAfter(time.Second, wk.nextController()) // the connection broke
			return
		}
		if wk.Paused || wk.CannotReceive {
			return // the time limit below moves it on
		}
		wk.handleReportReply(node, sent, session, r)
	})
	w.After(4*time.Second, func() {
		if wk.reportInFlight == number {
			wk.retargetAfter(time.Second, wk.nextController())
		}
	})
}

// scheduleReportCopies has copies of a report come late, if the day wants that.
func (wk *Worker) scheduleReportCopies(rep model.Report) {
	w := wk.sim
	if w.LateReportCopyFraction > 0 && w.Rand.Float64() < w.LateReportCopyFraction {
		// To whichever controller.
		to := w.Controllers[w.Rand.IntN(len(w.Controllers))]
		w.After(time.Second+time.Duration(w.Rand.Int64N(int64(3*w.Options.Config.Lease))), func() {
			to.sendRequest("copy", func(req uint64) core.Event { return core.WorkerReport{RequestID: req, Report: rep} }, func(core.Reply) {})
		})
	}
	if w.NextLeaderCopyFraction > 0 && w.Rand.Float64() < w.NextLeaderCopyFraction {
		w.reportsForNextLeader = append(w.reportsForNextLeader, rep)
	}
}

// nextController is the controller after the one that it reports to.
func (wk *Worker) nextController() int { return (wk.targetController + 1) % len(wk.sim.Controllers) }

// retargetAfter sends the next report to a controller, after a while.
func (wk *Worker) retargetAfter(wait time.Duration, target int) {
	wk.reportInFlight = 0
	wk.targetController = target
	wk.nextReportAt = wk.sim.Now + wait
}

// handleReportReply takes a controller's answer to a report.
func (wk *Worker) handleReportReply(node *Controller, sent time.Duration, session uint64, r core.Reply) {
	w := wk.sim
	switch r.Status {
	case 200:
		wk.reportInFlight = 0
		body := r.Body.(core.ReportReply)
		if session != wk.session || body.Epoch < wk.epoch || body.Epoch == 0 {
			return
		}
		wk.raiseEpoch(body.Epoch)
		wk.leaseStartedAt = max(wk.leaseStartedAt, sent)
		wk.executeOrders(body.Orders)
	case 421:
		to, wait := wk.nextController(), time.Second
		if red, ok := r.Body.(core.Redirect); ok && red.Leader != "" && red.Leader != node.Name {
			for i, o := range w.Controllers {
				if o.Name == red.Leader {
					to, wait = i, time.Duration(w.Rand.Int64N(int64(500*time.Millisecond)))
				}
			}
		}
		wk.retargetAfter(wait, to)
	default:
		wk.retargetAfter(time.Second, wk.nextController())
	}
}
