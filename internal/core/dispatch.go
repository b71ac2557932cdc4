package core

import (
	"sort"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// dispatchState is what a leader keeps from one dispatch round to the next.
type dispatchState struct {
	dispatcher       *sched.Dispatcher
	attemptCounter   uint64           // number of the last attempt of this term
	dispatchNeeded   bool             // something has changed that may allow a placement
	budgetOverruns   int              // rounds that exhausted their time budget
	roundNumber      uint64           // number of the current round, or of the last one
	viewBuffer       []*sched.Machine // reused by each round
	placementsByPath map[sched.Path]int
	teamUsage        map[string]sched.Resources // quota taken by all bound tasks, by team
	nextRoundAt      time.Duration              // no round before this time
	nextTimedRoundAt time.Duration              // if nothing has changed, no round before this time
	nextDrainAt      time.Duration
	nextCountsAt     time.Duration
}

// hasWaitingTasks reports whether any job has tasks without a machine.
func (s *State) hasWaitingTasks() bool {
	for _, j := range s.active {
		if j.waitingTasks() > 0 {
			return true
		}
	}
	return false
}

// isSchedulable reports whether tasks of j may start now, as far as j's pause after errors
// and an unfinished takeover are concerned.
func (s *State) isSchedulable(j *job) bool {
	if s.now < j.retryAt {
		return false
	}
	if s.takeoverComplete || j.arrival > s.electedRevision {
		return true
	}
	// A task of a job from before this term may still be on a machine that hasn't
	// reported all its tasks in this term. No task of the job may start until every
	// registered machine that may have been given one is accounted for.
	for _, m := range s.unaccountedFor {
		if s.isUnaccounted(m) && j.AllowsType(m.typeName) && (j.Zone == "" || j.Zone == m.zone) && (j.Spot || !m.spot) {
			return false
		}
	}
	return true
}

// dispatch runs a dispatch round, answers the reports that waited for it, and sends
// orders to the machines that it changed.
func (s *State) dispatch() {
	s.dispatchNeeded = false
	env := &roundEnv{s: s, elapsed: func() time.Duration { return 0 }}
	if s.cfg.Stopwatch != nil {
		env.elapsed = s.cfg.Stopwatch()
	}
	queue := s.buildQueue()
	if len(queue) > 0 {
		s.runRound(queue, env)
	}
	// A round that took long is followed by at least as much time without one, which
	// leaves time to process reports and to renew the leadership.
	s.nextRoundAt = s.now + env.elapsed() + max(s.cfg.ReportInterval/roundsPerReport, env.elapsed())
	s.answerReports()
	for _, m := range env.changedMachines {
		if s.commandsInFlight >= s.cfg.MaxDirectCommands {
			break // sockets are limited: the other orders are sent with later reports and ticks
		}
		if !m.commandInFlight && s.now >= m.nextCommandAt && m.reconciled && m.endpoint != "" {
			s.sendOrders(m)
		}
	}
}

// roundsPerReport limits the dispatch rounds in a worker's report interval.
const roundsPerReport = 24

// runRound runs the dispatch rule for the jobs in queue, after preemptForHits has made
// capacity on machines that have the image of prod work (hits). Then it preempts other
// work and drains machines for the jobs that still wait.
func (s *State) runRound(queue []*job, env *roundEnv) {
	entries := make([]*sched.Job, len(queue))
	for i, j := range queue {
		entries[i] = j.queueEntry
	}
	env.views = s.viewBuffer[:0]
	s.roundNumber++
	s.markPendingReports()
	for _, m := range s.machinesByName {
		if s.isUsable(m) {
			s.refreshView(m)
			m.view.StartDelay = s.startDelay(m)
			env.views = append(env.views, &m.view)
		} else if len(m.view.LocalQueue) > 0 {
			m.view.LocalQueue = nil // its tasks return to the global queue
		}
	}
	s.viewBuffer = env.views
	// A task in a local queue waits for one machine and doesn't count in the global queue.
	// Entries in local queues are dropped if their job has no waiting task for them.
	for _, v := range env.views {
		if len(v.LocalQueue) == 0 {
			continue
		}
		kept := v.LocalQueue[:0]
		for _, q := range v.LocalQueue {
			if q.Job.Ref.(*job).queueEntry == q.Job && q.Job.Waiting > 0 {
				q.Job.Waiting--
				kept = append(kept, q)
			}
		}
		v.LocalQueue = kept
	}
	heldBack := s.preemptForHits(queue, env) // tasks that wait for capacity made by preemption, by job
	complete := s.dispatcher.RunRound(s.now, entries, env.views, env)
	for j, n := range heldBack {
		j.queueEntry.Waiting += n
	}
	if !complete {
		s.dispatchNeeded = true // the next round continues where this one stopped
		if s.budgetOverruns++; s.budgetOverruns%4 != 0 {
			return
		}
		// After every fourth incomplete round, the steps below run all the same.
	}
	s.preemptForQueue(queue, env)
	if s.now >= s.nextDrainAt {
		s.nextDrainAt = s.now + s.cfg.ReportInterval/4
		s.drainMachines(queue, env)
	}
}

// buildQueue lists the jobs with waiting tasks that may start, the most urgent first and
// those of the same rank by arrival.
func (s *State) buildQueue() []*job {
	if !s.takeoverComplete {
		// The list includes the machines of unreachable zones, which the number
		// unaccountedMachines leaves out.
		s.unaccountedFor = s.unaccountedFor[:0]
		for _, m := range s.machinesByName {
			if s.isUnaccounted(m) {
				s.unaccountedFor = append(s.unaccountedFor, m)
			}
		}
	}
	var queue []*job
	for _, j := range s.active {
		if j.queueEntry != nil {
			j.queueEntry.Waiting = 0
		}
		n := j.waitingTasks()
		if n == 0 || !s.isSchedulable(j) || j.Kind == model.KindGang && !s.isGangSchedulable(j) {
			continue
		}
		if j.queueEntry == nil {
			j.queueEntry = &sched.Job{
				ID: j.ID, Rank: queueRank(j), Arrival: j.arrival, Ref: j,
				Need:  j.need(),
				Image: j.Image, ImageGB: j.ImageGB,
				Estimate:  model.Duration(j.EstimateS),
				IsService: j.Kind == model.KindService,
				IsGang:    j.Kind == model.KindGang,
				OneZone:   j.OneZone,
			}
		}
		j.queueEntry.Waiting = n
		j.queueEntry.RestartMissesGoal = s.restartMissesGoal(j)
		// Machines rented for the gang would be up by this age. If present machines were
		// reserved for it from the start, other gangs would miss their start goals.
		j.queueEntry.MayReserve = j.Kind == model.KindGang && s.jobAge(j) > 2*s.shortestBootTime()
		j.queueEntry.Rank = queueRank(j)
		if s.isStarved(j) {
			j.queueEntry.Rank, j.queueEntry.Waiting = -1, 1
			j.queueEntry.Skips = max(j.queueEntry.Skips, s.cfg.SkipLimit)
		}
		queue = append(queue, j)
	}
	sort.Slice(queue, func(a, b int) bool {
		if queue[a].queueEntry.Rank != queue[b].queueEntry.Rank {
			return queue[a].queueEntry.Rank < queue[b].queueEntry.Rank
		}
		return queue[a].arrival < queue[b].arrival
	})
	return queue
}

// restartMissesGoal reports whether a task of j that has to restart halfway through
// its run would miss the goal of its class. It is false for services and gangs, for jobs
// that save checkpoints, and for classes without a goal.
func (s *State) restartMissesGoal(j *job) bool {
	if j.Kind != model.KindBatch || j.CheckpointEveryS > 0 || s.cfg.Goals[j.Class] == (Goal{}) {
		return false
	}
	// Half a run and a full one take 1.5 times the estimate. The factor is larger because
	// run times often exceed the estimate.
	return s.jobAge(j)+model.Duration(2.5*j.EstimateS) > s.completionTarget(j)
}

// maxFirstStartDelay is the time within which the first task of every job must have
// started. The operators demand this in an addition to their specification PROTOCOL.
const maxFirstStartDelay = 4 * time.Minute

// isStarved reports whether j has waited for a third of maxFirstStartDelay and none of
// its tasks has a machine or is done. One task of it then goes ahead of everything else.
// Otherwise a class would never be served while there is more urgent work than the
// machines can take. The result is always false for gangs.
func (s *State) isStarved(j *job) bool {
	return len(j.tasks) == 0 && j.doneCount == 0 && j.Kind != model.KindGang && s.jobAge(j) > maxFirstStartDelay/3
}

// queueRank returns j's rank in the queue. A job with a smaller rank goes ahead of
// earlier jobs, and jobs of the same rank are served by arrival.
func queueRank(j *job) int {
	return j.rank
}

// sendRunningCounts sends the peers the number of running tasks of each job, which
// they show to users.
func (s *State) sendRunningCounts() {
	if s.now < s.nextCountsAt {
		return
	}
	s.nextCountsAt = s.now + time.Second
	counts := make(map[string]int, len(s.active))
	for id, j := range s.active {
		if len(counts) >= 1000 {
			break // the size of a message between controllers is limited
		}
		counts[id] = j.countRunning()
	}
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgRunningCounts, Counts: counts}})
	}
}
