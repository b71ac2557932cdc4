package core

import (
	"sort"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// dispatchState is what a leader keeps from one round of decisions to the next.
type dispatchState struct {
	dispatcher       *sched.Dispatcher
	attemptCounter   uint64           // numbers those of this term
	dispatchNeeded   bool             // something has changed that a round may use
	budgetOverruns   int              // rounds that ran out of budget
	viewBuffer       []*sched.Machine // buffer of a round
	placementsByPath map[sched.Path]int
	teamUsage        map[string]sched.Resources // what each team's tasks take
	nextRoundAt      time.Duration              // no round of decisions before
	nextTimedRoundAt time.Duration              // a round for time's sake alone; not before
	nextDrainAt      time.Duration
	nextCountsAt     time.Duration
}

// hasWaitingTasks says whether any job wants a machine.
func (s *State) hasWaitingTasks() bool {
	for _, j := range s.active {
		if j.waitingTasks() > 0 {
			return true
		}
	}
	return false
}

// isSchedulable says whether tasks of j may start now.
func (s *State) isSchedulable(j *job) bool {
	if s.now < j.retryAt {
		return false
	}
	if s.takeoverComplete || j.arrival > s.electedRevision {
		return true
	}
	// A task of an older job that no machine has shown may still be
	// somewhere, until every machine of the roster that may have been given
	// it is accounted for.
	for _, m := range s.unaccountedFor {
		if s.isUnaccounted(m) && j.AllowsType(m.typeName) && (j.Zone == "" || j.Zone == m.zone) && (j.Spot || !m.spot) {
			return false
		}
	}
	return true
}

// dispatch makes a round of decisions and sends what it decided.
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
	// A round that took long is followed by as much time for everything else:
	// reports and renewals must not starve behind decisions.
	s.nextRoundAt = s.now + env.elapsed() + max(s.cfg.ReportInterval/roundsPerReport, env.elapsed())
	s.answerReports()
	for _, m := range env.changedMachines {
		if s.commandsInFlight >= s.cfg.MaxDirectCommands {
			break // the rest with the next reports and ticks: sockets are few
		}
		if !m.commandInFlight && s.now >= m.nextCommandAt && m.reconciled && m.endpoint != "" {
			s.sendUnsentOrders(m)
		}
	}
}

// roundsPerReport is how many rounds of decisions at most there are in a
// worker's report interval.
const roundsPerReport = 24

// runRound runs the dispatch rule and what follows it for the jobs that wait.
func (s *State) runRound(queue []*job, env *roundEnv) {
	entries := make([]*sched.Job, len(queue))
	for i, j := range queue {
		entries[i] = j.queueEntry
	}
	env.views = s.viewBuffer[:0]
	for _, m := range s.machinesByName {
		if s.isUsable(m) {
			s.refreshView(m)
			env.views = append(env.views, &m.view)
		} else if len(m.view.LocalQueue) > 0 {
			m.view.LocalQueue = nil // back to the global queue
		}
	}
	s.viewBuffer = env.views
	// Local queues hold tasks that are not in the global count; drop entries
	// of jobs that no longer want them.
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
	held := s.preemptForHits(queue, env)
	whole := s.dispatcher.RunRound(s.now, entries, env.views, env)
	for j, n := range held {
		j.queueEntry.Waiting += n
	}
	if !whole {
		s.dispatchNeeded = true // goes on where it stopped
		if s.budgetOverruns++; s.budgetOverruns%4 != 0 {
			return
		}
		// Now and then what follows the rule gets its turn all the same.
	}
	s.preemptForQueue(queue, env)
	if s.now >= s.nextDrainAt {
		s.nextDrainAt = s.now + s.cfg.ReportInterval/4
		s.drainMachines(queue, env)
	}
}

// buildQueue lists the jobs with waiting tasks, most urgent first and then by
// arrival.
func (s *State) buildQueue() []*job {
	if !s.takeoverComplete {
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
				Estimate:  time.Duration(j.EstimateS * float64(time.Second)),
				IsService: j.Kind == model.KindService,
				IsGang:    j.Kind == model.KindGang,
				OneZone:   j.OneZone,
			}
		}
		j.queueEntry.Waiting = n
		j.queueEntry.RestartMissesGoal = s.restartMissesGoal(j)
		// By then machines that were rented for it would be there. Kept free from
		// the start, they cost other gangs their starts in time.
		j.queueEntry.MayReserve = j.Kind == model.KindGang && s.jobAge(j) > 2*s.shortestBoot()
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

// restartMissesGoal says whether a task of j that has to begin anew halfway would miss
// what its class expects.
func (s *State) restartMissesGoal(j *job) bool {
	if j.Kind != model.KindBatch || j.CheckpointEveryS > 0 || s.cfg.Goals[j.Class] == (Goal{}) {
		return false
	}
	// Estimates are often too low.
	return s.jobAge(j)+time.Duration(2.5*j.EstimateS*float64(time.Second)) > s.completionTarget(j)
}

// maxFirstStartDelay is in what time every job must have begun (PROTOCOL, as the
// operators added to it).
const maxFirstStartDelay = 4 * time.Minute

// isStarved says whether j has waited for a third of that without any of its
// tasks having begun. One task then goes before everything else: with more
// urgent work than machines, a class would otherwise never be served at all.
func (s *State) isStarved(j *job) bool {
	return len(j.tasks) == 0 && j.doneCount == 0 && j.Kind != model.KindGang && s.jobAge(j) > maxFirstStartDelay/3
}

// queueRank is a job's place ahead of the order of arrival: only prod work
// goes ahead; among the rest the design's one queue by arrival holds.
func queueRank(j *job) int {
	return j.rank
}

// sendRunningCounts tells the peers how many tasks run, for display.
func (s *State) sendRunningCounts() {
	if s.now < s.nextCountsAt {
		return
	}
	s.nextCountsAt = s.now + time.Second
	counts := make(map[string]int, len(s.active))
	for id, j := range s.active {
		if len(counts) >= 1000 {
			break // for display only; a frame between controllers is bounded
		}
		counts[id] = j.countRunning()
	}
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgRunningCounts, Counts: counts}})
	}
}
