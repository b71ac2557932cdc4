package sim

import (
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// This file simulates the reports of a worker and how it handles the answers.

// nextReport creates a report with the next sequence number.
func (wk *Worker) nextReport() model.Report {
	wk.seq++
	report := model.Report{Host: wk.info.Host, Endpoint: wk.info.Endpoint, Type: wk.info.Type, Zone: wk.info.Zone, Spot: wk.info.Spot,
		Session: wk.session, Seq: wk.seq, Epoch: wk.epoch}
	if wk.reclaimAt != 0 {
		left := (wk.reclaimAt - wk.sim.Now).Seconds()
		report.ReclaimInS = &left
	}
	for _, name := range sortedKeys(wk.tasks) {
		run := wk.tasks[name]
		report.Tasks = append(report.Tasks, model.TaskReport{Task: name, Attempt: run.attempt, State: run.state, Cause: run.cause, Saved: run.saved})
	}
	return report
}

// sendReport sends a report to the current target controller. The next one is due after
// 0.75 to 1.25 report intervals. If there is no answer within 4 s, or if the report or its
// answer is known to be lost, the worker turns to the next controller.
func (wk *Worker) sendReport() {
	sim := wk.sim
	wk.hasChanges = false
	wk.reportCount++
	number := wk.reportCount
	wk.reportInFlight, wk.lastReportAt = number, sim.Now
	interval := sim.Options.Config.ReportInterval
	wk.nextReportAt = sim.Now + interval*3/4 + time.Duration(sim.Rand.Int64N(int64(interval/2)))
	sentAt, session := sim.Now, wk.session
	report := wk.nextReport()
	controller := sim.Controllers[wk.targetController]
	wk.scheduleReportCopies(report)
	if wk.CannotReport {
		wk.retargetAfter(time.Second, wk.nextController())
		return
	}
	controller.sendRequest(wk.info.Endpoint, func(req uint64) core.Event { return core.WorkerReport{RequestID: req, Report: report} }, func(r core.Reply) {
		if wk.stopped || wk.reportInFlight != number {
			return // the worker has stopped waiting for this answer
		}
		if wk.ReportAnswersLost {
			wk.retargetAfter(time.Second, wk.nextController()) // the answer was lost with the connection
			return
		}
		if wk.Paused || wk.CannotReceive {
			return // the timeout below ends the wait
		}
		wk.handleReportReply(controller, sentAt, session, r)
	})
	sim.After(4*time.Second, func() {
		if wk.reportInFlight == number {
			wk.retargetAfter(time.Second, wk.nextController())
		}
	})
}

// scheduleReportCopies copies a report with two probabilities. With
// LateReportCopyFraction, a copy reaches a random controller after 1 s plus up to three
// leases. With NextLeaderCopyFraction, a copy is kept until the next leader takes over and
// then reaches every controller.
func (wk *Worker) scheduleReportCopies(report model.Report) {
	sim := wk.sim
	if sim.LateReportCopyFraction > 0 && sim.Rand.Float64() < sim.LateReportCopyFraction {
		target := sim.Controllers[sim.Rand.IntN(len(sim.Controllers))]
		sim.After(time.Second+time.Duration(sim.Rand.Int64N(int64(3*sim.Options.Config.Lease))), func() {
			target.sendRequest("copy", func(req uint64) core.Event { return core.WorkerReport{RequestID: req, Report: report} }, func(core.Reply) {})
		})
	}
	if sim.NextLeaderCopyFraction > 0 && sim.Rand.Float64() < sim.NextLeaderCopyFraction {
		sim.reportsForNextLeader = append(sim.reportsForNextLeader, report)
	}
}

// nextController returns the index of the controller after the current target.
func (wk *Worker) nextController() int { return (wk.targetController + 1) % len(wk.sim.Controllers) }

// retargetAfter ends the wait for an answer and makes the worker send its next report to
// the target after the delay, or earlier if it has changes to report.
func (wk *Worker) retargetAfter(delay time.Duration, target int) {
	wk.reportInFlight = 0
	wk.targetController = target
	wk.nextReportAt = wk.sim.Now + delay
}

// handleReportReply handles the answer to a report. 200 renews the lease and carries
// orders; the worker ignores the answer if the report was of an earlier session, or if the
// answer's epoch is 0 or lower than the worker's. If the answer is 421 and names another
// controller as the leader, the worker reports to that one within 500 ms. On any other
// answer it reports to the next controller after 1 s.
func (wk *Worker) handleReportReply(controller *Controller, sentAt time.Duration, session uint64, reply core.Reply) {
	sim := wk.sim
	switch reply.Status {
	case 200:
		wk.reportInFlight = 0
		body := reply.Body.(core.ReportReply)
		if session != wk.session || body.Epoch < wk.epoch || body.Epoch == 0 {
			return
		}
		wk.raiseEpoch(body.Epoch)
		wk.leaseStartedAt = max(wk.leaseStartedAt, sentAt)
		wk.executeOrders(body.Orders)
	case 421:
		target, delay := wk.nextController(), time.Second
		if redirect, ok := reply.Body.(core.Redirect); ok && redirect.Leader != "" && redirect.Leader != controller.Name {
			for i, other := range sim.Controllers {
				if other.Name == redirect.Leader {
					target, delay = i, time.Duration(sim.Rand.Int64N(int64(500*time.Millisecond)))
				}
			}
		}
		wk.retargetAfter(delay, target)
	default:
		wk.retargetAfter(time.Second, wk.nextController())
	}
}
