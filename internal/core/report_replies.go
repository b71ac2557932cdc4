package core

import (
	"slices"
	"strings"
	"time"

	"mulleinfall/internal/model"
)

// Answers to workers' reports.

// reportState is what a leader keeps of the reports that it has taken.
type reportState struct {
	pendingReports []pendingReport // to be answered after the next round
	lastReportAt   time.Duration   // of a report that was news
}

// pendingReport is a report whose answer waits for the next round of decisions, or
// until its machine's mark is off the roster.
type pendingReport struct {
	req        uint64
	machine    *machine
	report     *model.Report
	receivedAt time.Duration
}

func (s *State) answerReport(h pendingReport) {
	if !s.IsLeader() || s.machines[h.machine.host] != h.machine || h.machine.session != h.report.Session || h.machine.leaseExpired || !s.clearUnresponsiveMark(h.machine) {
		s.emit(Reply{RequestID: h.req, Status: 503, Body: Problem{"overtaken"}})
		return
	}
	m := h.machine
	m.answeredEpoch, m.answeredSeq, m.answeredAt = s.epoch(m), max(m.answeredSeq, h.report.Seq), s.now
	s.renewLease(h, s.ordersFor(m, h.report))
}

// renewLease answers a report with 200, which renews its worker's lease. With the
// renewal goes the stop of each task that the report shows of a job that is over,
// whatever else the machine may be told: the worker takes both or neither. So no lease
// outlives, by the word of a leader that knows of a cancellation, the stop of its
// tasks. Answers to machines that weren't adopted yet once renewed leases without it,
// term after term, until the tasks were there beyond cancel_s.
func (s *State) renewLease(h pendingReport, orders []model.Order) {
	orders = s.withStops(h.machine, h.report, orders)
	s.logLeaseRenewed(h.machine, h.report, len(orders))
	s.recordStopsSent(h.machine, orders, "answer")
	s.emit(Reply{RequestID: h.req, Status: 200, Body: ReportReply{s.epoch(h.machine), orders}, SendBefore: s.leadership.ValidUntil()})
}

// withStops puts the stops that an answer to r must carry in front of orders, which
// are cut to what fits.
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

// stopsForReportedTasks are the stops of the tasks that r shows of jobs that are over.
func (s *State) stopsForReportedTasks(r *model.Report) []model.Order {
	var stops []model.Order
	for _, p := range r.Tasks {
		if p.State != model.TaskExited && s.isJobOfTaskFinal(p.Task) {
			stops = append(stops, model.Order{Verb: model.OrderKill, Task: p.Task, Attempt: p.Attempt, GraceS: new(float64)})
		}
	}
	return stops
}

// addStopsForPendingStarts adds the stops of tasks whose start may have come between a report and
// its answer. A start that comes later still finds a higher epoch.
func (s *State) addStopsForPendingStarts(m *machine, stops []model.Order) []model.Order {
	var starting []*task
	for _, t := range m.tasks {
		if t.stopping && t.startSent && t.job.isFinal() && !containsStop(stops, t.killOrder()) {
			starting = append(starting, t)
		}
	}
	slices.SortFunc(starting, func(a, b *task) int { return strings.Compare(a.name, b.name) })
	for _, t := range starting {
		if t.unconfirmedStartEpoch != 0 && s.epoch(m) <= t.unconfirmedStartEpoch {
			s.raiseFence(m)
		}
		stops = append(stops, t.killOrder())
	}
	return stops
}

// containsStop says whether orders stop the attempt that o stops.
func containsStop(orders []model.Order, o model.Order) bool {
	return slices.ContainsFunc(orders, func(other model.Order) bool {
		return other.Verb == model.OrderKill && other.Task == o.Task && other.Attempt == o.Attempt
	})
}

// isJobOfTaskFinal says whether a task's job is known to be cancelled or done.
func (s *State) isJobOfTaskFinal(task string) bool {
	id, _, _ := model.ParseTaskName(task)
	j := s.jobs[id]
	return j != nil && j.isFinal()
}

// answerReports answers the held reports, but for those whose machine's mark is
// still being taken off the roster.
func (s *State) answerReports() {
	pendingReports := s.pendingReports
	s.pendingReports = nil
	for _, h := range pendingReports {
		if s.IsLeader() && h.machine.storedUnresponsiveSince != 0 && s.now-h.receivedAt < s.cfg.ReportInterval {
			s.pendingReports = append(s.pendingReports, h)
			continue
		}
		s.answerReport(h)
	}
}

// maxOrders keeps an answer's one line under 64 KiB.
const maxOrders = 400

// ordersFor says what m is to do, in answer to its report r. All of it can be
// repeated with every report until the reports show that it was done.
func (s *State) ordersFor(m *machine, r *model.Report) []model.Order {
	orders := []model.Order{}
	if !m.reconciled || m.session != r.Session {
		return orders
	}
	listed := make(map[string]model.TaskReport, len(r.Tasks))
	for _, p := range r.Tasks {
		listed[p.Task] = p
		if len(orders) < maxOrders && s.mayForget(m, p) {
			orders = append(orders, model.Order{Verb: model.OrderForget, Task: p.Task, Attempt: p.Attempt})
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
		p, shown := listed[name]
		shown = shown && p.Attempt == t.attempt
		switch {
		case t.stopping && shown:
			orders = append(orders, t.killOrder())
		case !t.stopping && !shown && m.registered:
			t.startSent, t.startSentSeq = true, r.Seq
			orders = append(orders, model.Order{Verb: model.OrderStart, Task: name, Attempt: t.attempt})
		}
	}
	return orders
}

// mayForget says whether m may forget an exited task that it shows. A forgotten
// attempt could be started again by a direct command that is still on its way;
// until m has seen a higher epoch nothing is forgotten. Nor is a result that isn't
// durable yet.
func (s *State) mayForget(m *machine, p model.TaskReport) bool {
	if p.State != model.TaskExited || m.commandInFlight || m.unconfirmedEpoch != 0 && m.highestEpoch <= m.unconfirmedEpoch {
		return false
	}
	if t := m.tasks[p.Task]; t != nil && t.attempt == p.Attempt && model.IsKnownCause(p.Cause) {
		return false
	}
	id, i, _ := model.ParseTaskName(p.Task)
	j := s.jobs[id]
	return p.Cause != model.CauseDone || j == nil || i >= j.Tasks || j.isDurable(i)
}
