package core

import (
	"sort"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// dispatchState is what a leader keeps from one round of decisions to the next.
type dispatchState struct {
	round     *sched.Round
	attempts  uint64           // numbers those of this term
	dirty     bool             // something has changed that a round may use
	cutShort  int              // rounds that ran out of budget
	views     []*sched.Machine // buffer of a round
	paths     map[sched.Path]int
	teams     map[string]sched.Resources // what each team's tasks take
	nextRound time.Duration              // no round of decisions before
	idleRound time.Duration              // a round for time's sake alone; not before
	drainAt   time.Duration
	countsAt  time.Duration
}

// waiting says whether any job wants a machine.
func (s *State) waiting() bool {
	for _, j := range s.active {
		if j.waiting() > 0 {
			return true
		}
	}
	return false
}

// schedulable says whether tasks of j may start now.
func (s *State) schedulable(j *job) bool {
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
	s.dirty = false
	env := &roundEnv{s: s, elapsed: func() time.Duration { return 0 }}
	if s.cfg.Stopwatch != nil {
		env.elapsed = s.cfg.Stopwatch()
	}
	queue := s.queueView()
	if len(queue) > 0 {
		s.decide(queue, env)
	}
	// A round that took long is followed by as much time for everything else:
	// reports and renewals must not starve behind decisions.
	s.nextRound = s.now + env.elapsed() + max(s.cfg.ReportInterval/roundsPerReport, env.elapsed())
	s.answerReports()
	for _, m := range env.touched {
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

// decide runs the dispatch rule and what follows it for the jobs that wait.
func (s *State) decide(queue []*job, env *roundEnv) {
	entries := make([]*sched.Job, len(queue))
	for i, j := range queue {
		entries[i] = j.entry
	}
	env.views = s.views[:0]
	for _, m := range s.machinesByName {
		if s.usable(m) {
			s.refreshView(m)
			env.views = append(env.views, &m.view)
		} else if len(m.view.Local) > 0 {
			m.view.Local = nil // back to the global queue
		}
	}
	s.views = env.views
	// Local queues hold tasks that are not in the global count; drop entries
	// of jobs that no longer want them.
	for _, v := range env.views {
		if len(v.Local) == 0 {
			continue
		}
		kept := v.Local[:0]
		for _, q := range v.Local {
			if q.Job.Ref.(*job).entry == q.Job && q.Job.Waiting > 0 {
				q.Job.Waiting--
				kept = append(kept, q)
			}
		}
		v.Local = kept
	}
	held := s.stopForHits(queue, env)
	whole := s.round.Run(s.now, entries, env.views, env)
	for j, n := range held {
		j.entry.Waiting += n
	}
	if !whole {
		s.dirty = true // goes on where it stopped
		if s.cutShort++; s.cutShort%4 != 0 {
			return
		}
		// Now and then what follows the rule gets its turn all the same.
	}
	s.makeRoom(queue, env)
	if s.now >= s.drainAt {
		s.drainAt = s.now + s.cfg.ReportInterval/4
		s.drainFor(queue, env)
	}
}

// queueView lists the jobs with waiting tasks, most urgent first and then by
// arrival.
func (s *State) queueView() []*job {
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
		if j.entry != nil {
			j.entry.Waiting = 0
		}
		n := j.waiting()
		if n == 0 || !s.schedulable(j) || j.Kind == model.Gang && !s.gangReady(j) {
			continue
		}
		if j.entry == nil {
			j.entry = &sched.Job{
				ID: j.ID, Rank: queueRank(j), Arrival: j.arrival, Ref: j,
				Need:  j.need(),
				Image: j.Image, ImageGB: j.ImageGB,
				Estimate: time.Duration(j.Estimate * float64(time.Second)),
				Endless:  j.Kind == model.Service,
				Gang:     j.Kind == model.Gang,
				OneZone:  j.OneZone,
			}
		}
		j.entry.Waiting = n
		j.entry.Steady = s.steady(j)
		// By then machines that were rented for it would be there. Kept free from
		// the start, they cost other gangs their starts in time.
		j.entry.Overdue = j.Kind == model.Gang && s.jobAge(j) > 2*s.shortestBoot()
		j.entry.Rank = queueRank(j)
		if s.unbegun(j) {
			j.entry.Rank, j.entry.Waiting = -1, 1
			j.entry.Skips = max(j.entry.Skips, s.cfg.SkipLimit)
		}
		queue = append(queue, j)
	}
	sort.Slice(queue, func(a, b int) bool {
		if queue[a].entry.Rank != queue[b].entry.Rank {
			return queue[a].entry.Rank < queue[b].entry.Rank
		}
		return queue[a].arrival < queue[b].arrival
	})
	return queue
}

// steady says whether a task of j that has to begin anew halfway would miss
// what its class expects.
func (s *State) steady(j *job) bool {
	if j.Kind != model.Batch || j.Checkpoint > 0 || s.cfg.Goals[j.Class] == (Goal{}) {
		return false
	}
	// Estimates are often too low.
	return s.jobAge(j)+time.Duration(2.5*j.Estimate*float64(time.Second)) > s.completionTarget(j)
}

// beginWithin is in what time every job must have begun (PROTOCOL, as the
// operators added to it).
const beginWithin = 4 * time.Minute

// unbegun says whether j has waited for a third of that without any of its
// tasks having begun. One task then goes before everything else: with more
// urgent work than machines, a class would otherwise never be served at all.
func (s *State) unbegun(j *job) bool {
	return len(j.tasks) == 0 && j.doneCount == 0 && j.Kind != model.Gang && s.jobAge(j) > beginWithin/3
}

// queueRank is a job's place ahead of the order of arrival: only prod work
// goes ahead; among the rest the design's one queue by arrival holds.
func queueRank(j *job) int {
	return j.rank
}

// shareCounts tells the peers how many tasks run, for display.
func (s *State) shareCounts() {
	if s.now < s.countsAt {
		return
	}
	s.countsAt = s.now + time.Second
	counts := make(map[string]int, len(s.active))
	for id, j := range s.active {
		if len(counts) >= 1000 {
			break // for display only; a frame between controllers is bounded
		}
		counts[id] = j.liveTasks()
	}
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgRunningCounts, Counts: counts}})
	}
}
