package core

import (
	"slices"
	"strings"
	"time"

	"mulleinfall/internal/model"
)

// This file answers workers' reports.

// reportState is the leader's state about the reports that it has received.
type reportState struct {
	pendingReports []pendingReport // answered by answerReports
	lastReportAt   time.Duration   // when a report with new information last came
}

// pendingReport is a report that has not been answered yet. Its answer may wait for a
// direct query that verifies the report, for the next dispatch round, or until the registry
// no longer marks its machine as unresponsive (registry.go). The mark holds the time of the
// last reply, and a new leader counts the machine's lease from it. If the report were
// answered while the mark is stored, a new leader would take the lease for expired too early.
type pendingReport struct {
	requestID  uint64
	machine    *machine
	report     *model.Report
	receivedAt time.Duration
	superseded bool          // see answerSupersededReport
	holdUntil  time.Duration // it is held until then, unless an order is to be sent (mayHoldReport); 0: not held
}

// answerReport answers a report, with orders unless it is superseded, or with 503 if its worker's lease must not be
// renewed: this controller no longer leads, the machine's record was removed, its session or
// lease has ended, or its unresponsive mark is still in the registry.
func (s *State) answerReport(pending pendingReport) {
	if !s.IsLeader() || s.machines[pending.machine.host] != pending.machine || pending.machine.session != pending.report.Session || pending.machine.leaseExpired || !s.clearUnresponsiveMark(pending.machine) {
		s.emit(Reply{RequestID: pending.requestID, Status: 503, Body: Problem{"overtaken"}})
		return
	}
	m := pending.machine
	if pending.superseded {
		s.renewLease(pending, []model.Order{})
		return
	}
	m.answeredEpoch, m.answeredSeq, m.answeredAt = s.epoch(m), max(m.answeredSeq, pending.report.Seq), s.now
	s.renewLease(pending, s.ordersFor(m, pending.report))
}

// renewLease answers a report with 200, which renews its worker's lease. The worker counts
// the lease from when it sent the report, so this leader must not count it from before the
// report arrived, whatever the report shows. The answer carries
// a stop for each reported task whose job is final (done or cancelled), ahead of all other
// orders; the worker applies both the renewal and the stops, or neither. So a leader that
// knows of a cancellation renews no lease without stopping the cancelled tasks, except for
// those beyond maxOrders on one machine. In an earlier version, answers lacked the stops
// until a report of the machine had shown an epoch of the term: several leaders in a row
// renewed leases without them, and cancelled tasks ran for longer than cancel_s.
func (s *State) renewLease(pending pendingReport, orders []model.Order) {
	pending.machine.lastReplyAt = max(pending.machine.lastReplyAt, pending.receivedAt)
	orders = s.withStops(pending.machine, pending.report, orders)
	s.logLeaseRenewed(pending.machine, pending.report, len(orders))
	s.recordStopsSent(pending.machine, orders, "answer")
	s.recordEpochSent(pending.machine)
	s.emit(Reply{RequestID: pending.requestID, Status: 200, Body: ReportReply{s.epoch(pending.machine), orders}, SendBefore: s.leadership.ValidUntil()})
}

// withStops puts the stops that the answer to r must carry in front of orders, and cuts
// the result to maxOrders.
func (s *State) withStops(m *machine, r *model.Report, orders []model.Order) []model.Order {
	stops := s.addStopsForPendingStarts(m, s.stopsForReportedTasks(r))
	if len(stops) == 0 {
		return orders
	}
	for _, o := range orders {
		if o.Verb != model.OrderKill || !containsStop(stops, o) {
			stops = append(stops, o)
		}
	}
	return stops[:min(len(stops), maxOrders)]
}

// stopsForReportedTasks returns stops, without a grace period, for the tasks in r that have
// not exited although their jobs are final.
func (s *State) stopsForReportedTasks(r *model.Report) []model.Order {
	var stops []model.Order
	for _, reported := range r.Tasks {
		if reported.State != model.TaskExited && s.isJobOfTaskFinal(reported.Task) {
			stops = append(stops, model.Order{Verb: model.OrderKill, Task: reported.Task, Attempt: reported.Attempt, GraceS: new(float64)})
		}
	}
	return stops
}

// addStopsForPendingStarts adds stops for tasks of final jobs whose start was sent in the answer
// to an earlier report, and which the worker may not have shown yet.
func (s *State) addStopsForPendingStarts(m *machine, stops []model.Order) []model.Order {
	var starting []*task
	for _, t := range m.tasks {
		if t.stopping && t.startSent && t.job.isFinal() && !containsStop(stops, t.killOrder()) {
			starting = append(starting, t)
		}
	}
	slices.SortFunc(starting, func(a, b *task) int { return strings.Compare(a.name, b.name) })
	for _, t := range starting {
		stops = append(stops, t.killOrder())
	}
	return stops
}

// containsStop says whether orders contain a stop of the attempt that o stops.
func containsStop(orders []model.Order, o model.Order) bool {
	return slices.ContainsFunc(orders, func(other model.Order) bool {
		return other.Verb == model.OrderKill && other.Task == o.Task && other.Attempt == o.Attempt
	})
}

// isJobOfTaskFinal says whether a task's job is known to be done or cancelled.
func (s *State) isJobOfTaskFinal(task string) bool {
	id, _, _ := model.ParseTaskName(task)
	j := s.jobs[id]
	return j != nil && j.isFinal()
}

// answerReports answers the pending reports. Those of machines whose unresponsive mark is
// still being removed from the registry wait on, but are refused after a report interval. Those
// that are held wait on as well.
func (s *State) answerReports() {
	due := s.takeReports(func(pending pendingReport) bool { return !s.IsLeader() || !s.mustWait(pending) })
	for _, pending := range due {
		s.answerReport(pending)
	}
}

// mustWait says whether a pending report can't be answered yet, or is held on.
func (s *State) mustWait(pending pendingReport) bool {
	m := pending.machine
	if m.storedUnresponsiveSince != 0 && s.now-pending.receivedAt < s.cfg.ReportInterval {
		return true
	}
	return s.now < pending.holdUntil && s.mayHoldReport(m, pending.report)
}

// takeReports removes the pending reports that are due and returns them.
func (s *State) takeReports(isDue func(pendingReport) bool) []pendingReport {
	var due []pendingReport
	s.pendingReports = slices.DeleteFunc(s.pendingReports, func(pending pendingReport) bool {
		if !isDue(pending) {
			return false
		}
		due = append(due, pending)
		return true
	})
	return due
}

// maxOrders bounds the orders in one answer, so that the answer fits in a line of 64 KiB.
const maxOrders = 400

// ordersFor returns the orders for m in answer to its report r: none before m is reconciled,
// that is, before one of its reports has shown an epoch of this term. Orders are repeated
// with every report until the reports show that they were carried out.
func (s *State) ordersFor(m *machine, r *model.Report) []model.Order {
	orders := []model.Order{}
	if !m.reconciled || m.session != r.Session {
		return orders
	}
	listed := make(map[string]model.TaskReport, len(r.Tasks))
	for _, reported := range r.Tasks {
		listed[reported.Task] = reported
		if len(orders) < maxOrders && s.mayForget(m, reported) {
			orders = append(orders, model.Order{Verb: model.OrderForget, Task: reported.Task, Attempt: reported.Attempt})
		}
	}
	for _, name := range sortedKeys(m.orphanedTasks) {
		if len(orders) < maxOrders {
			orders = append(orders, model.Order{Verb: model.OrderKill, Task: name, Attempt: m.orphanedTasks[name].Attempt, GraceS: new(float64)})
		}
	}
	for _, name := range sortedKeys(m.tasks) {
		if len(orders) >= maxOrders {
			break
		}
		t := m.tasks[name]
		reported, shown := listed[name]
		shown = shown && reported.Attempt == t.attempt
		switch {
		case t.stopping && shown:
			orders = append(orders, t.killOrder())
		case !t.stopping && !shown && m.registered:
			t.startSent, t.startSentSeq = true, r.Seq
			orders = append(orders, model.Order{Verb: model.OrderStart, Task: name, Attempt: t.attempt})
		}
	}
	m.hasUnsentStarts = m.hasUnsentStarts && (!m.registered || len(orders) >= maxOrders)
	return orders
}

// mayForget says whether m may forget an exited task that it lists. No start of a forgotten
// attempt can arrive late, since starts are sent in answers to reports only. An attempt that is
// still bound is forgotten only if its cause is unknown (updateTask), and a completed task
// only once its result is durable.
func (s *State) mayForget(m *machine, reported model.TaskReport) bool {
	if reported.State != model.TaskExited {
		return false
	}
	if t := m.tasks[reported.Task]; t != nil && t.attempt == reported.Attempt && model.IsKnownCause(reported.Cause) {
		return false
	}
	id, index, _ := model.ParseTaskName(reported.Task)
	j := s.jobs[id]
	return reported.Cause != model.CauseDone || j == nil || index >= j.Tasks || j.isDurable(index)
}
