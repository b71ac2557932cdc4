package core

import (
	"log/slog"
	"slices"
	"sort"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// waiting says whether any job wants a machine.
func (s *State) waiting() bool {
	for _, j := range s.active {
		if j.waiting() > 0 {
			return true
		}
	}
	return false
}

// ripe says whether tasks of j may start now.
func (s *State) ripe(j *job) bool {
	if s.now < j.retryAt {
		return false
	}
	if s.settled || j.arrival > s.electedRev {
		return true
	}
	// A task of an older job that no machine has shown may still be
	// somewhere, until every machine of the roster that may have been given
	// it is accounted for.
	for _, m := range s.unseen {
		if s.unaccounted(m) && j.AllowsType(m.typeName) && (j.Zone == "" || j.Zone == m.zone) && (j.Spot || !m.spot) {
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
	s.nextRound = s.now + env.elapsed() + max(s.cfg.ReportEvery/roundsPerReport, env.elapsed())
	s.answerBeats()
	for _, m := range env.touched {
		if s.directs >= s.cfg.Directs {
			break // the rest with the next reports and ticks: sockets are few
		}
		if !m.direct && s.now >= m.directAt && m.adopted && m.endpoint != "" {
			s.flush(m)
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
	for _, m := range s.order {
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
		s.drainAt = s.now + s.cfg.ReportEvery/4
		s.drainFor(queue, env)
	}
}

// queueView lists the jobs with waiting tasks, most urgent first and then by
// arrival.
func (s *State) queueView() []*job {
	if !s.settled {
		s.unseen = s.unseen[:0]
		for _, m := range s.order {
			if s.unaccounted(m) {
				s.unseen = append(s.unseen, m)
			}
		}
	}
	var queue []*job
	for _, j := range s.active {
		if j.entry != nil {
			j.entry.Waiting = 0
		}
		n := j.waiting()
		if n == 0 || !s.ripe(j) || j.Kind == model.Gang && len(j.tasks) > 0 {
			continue // a gang waits until all its former tasks are gone
		}
		if j.entry == nil {
			j.entry = &sched.Job{
				ID: j.ID, Rank: queueRank(j), Arrival: j.arrival, Ref: j,
				Need:  sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB},
				Image: j.Image, ImageGB: j.ImageGB,
				Estimate: time.Duration(j.Estimate * float64(time.Second)),
				Endless:  j.Kind == model.Service,
				Gang:     j.Kind == model.Gang,
			}
		}
		j.entry.Waiting = n
		j.entry.Steady = s.steady(j)
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
	return s.age(j)+time.Duration(2.5*j.Estimate*float64(time.Second)) > s.within(j)
}

// beginWithin is in what time every job must have begun (PROTOCOL, as the
// operators added to it).
const beginWithin = 4 * time.Minute

// unbegun says whether j has waited for a third of that without any of its
// tasks having begun. One task then goes before everything else: with more
// urgent work than machines, a class would otherwise never be served at all.
func (s *State) unbegun(j *job) bool {
	return len(j.tasks) == 0 && j.doneCount == 0 && j.Kind != model.Gang && s.age(j) > beginWithin/3
}

// queueRank is a job's place ahead of the order of arrival: only prod work
// goes ahead; among the rest the design's one queue by arrival holds.
func queueRank(j *job) int {
	return j.rank
}

// usable says whether m may be given new tasks. While its mark as silent may
// be on the roster it isn't: a session that has begun since has a lease that no
// successor would know of.
func (s *State) usable(m *machine) bool {
	return m.adopted && m.rostered && m.quietStored == 0 && !m.lapsed && !m.slow && !m.returning && !m.mute.is && m.recallAt == 0 && m.typ != nil &&
		s.now >= m.downUntil && s.now-m.lastBeat < s.silence()
}

// silence is how long a machine may go without a report before it counts as
// silent.
func (s *State) silence() time.Duration { return 2*s.cfg.ReportEvery + s.cfg.Lease/8 }

// refreshView works out m's free room and what runs on it, if anything has
// changed since it was last done.
func (s *State) refreshView(m *machine) {
	if !m.stale {
		return
	}
	m.stale = false
	v := &m.view
	v.Free = v.Capacity
	v.Running = v.Running[:0]
	v.Stays = 0
	for _, t := range m.tasks {
		if t.job.Kind == model.Service && !t.killing {
			v.Stays += t.job.CPUs
		}
		need := sched.Resources{CPUs: t.job.CPUs, GPUs: t.job.GPUs, MemoryGB: t.job.MemoryGB}
		v.Free = v.Free.Sub(need)
		end := sched.Never
		if t.killing {
			end = s.now + time.Duration(t.grace*float64(time.Second)) + time.Second
		} else if t.job.Kind != model.Service {
			begin := t.since
			if t.state != model.TaskRunning {
				begin = s.now
				m.stale = true // the end moves on until it has begun
			}
			end = begin + time.Duration(t.job.Estimate*float64(time.Second))
		}
		v.Add(sched.Running{Need: need, End: end})
	}
	for name := range m.strangers {
		if j := s.strangerJob(name); j != nil {
			v.Free = v.Free.Sub(sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB})
		} else {
			v.Free = sched.Resources{} // unknown size: wait until it is gone
		}
	}
	kept := v.Fetching[:0]
	for _, f := range v.Fetching {
		if !v.Images.Has(f.Image) {
			kept = append(kept, f)
		}
	}
	v.Fetching = kept
}

// strangerJob is the job of a task that is on a machine and shouldn't be; nil
// where its description isn't known: a job that is over is kept without it,
// and a leader that wasn't up before knows no more.
func (s *State) strangerJob(task string) *job {
	id, _, _ := model.SplitTask(task)
	if j := s.jobs[id]; j != nil && j.Team != "" {
		return j
	}
	return nil
}

// roundEnv is what the dispatch rule sees of the state.
type roundEnv struct {
	s       *State
	views   []*sched.Machine
	touched []*machine // in order, each once
	elapsed func() time.Duration
}

func (e *roundEnv) Spent() bool { return e.s.cfg.Budget > 0 && e.elapsed() >= e.s.cfg.Budget }

func (e *roundEnv) touch(m *machine) {
	if !slices.Contains(e.touched, m) {
		e.touched = append(e.touched, m)
	}
}

func (e *roundEnv) Allowed(sj *sched.Job, v *sched.Machine) bool {
	return e.s.allowed(sj.Ref.(*job), v.Ref.(*machine))
}

// allowed checks type, zone, kind and the job's other tasks, counting every
// task that may still be somewhere.
func (s *State) allowed(j *job, m *machine) bool {
	if m.keptFor != nil && m.keptFor != j && s.now < m.keptUntil && (!m.draining || j.rank != model.Rank(model.Prod)) {
		return false
	}
	if !j.AllowsType(m.typeName) || j.Zone != "" && j.Zone != m.zone || m.spot && !j.Spot {
		return false
	}
	here := j.zones[m.zone]
	if j.OneZone && here < len(j.tasks) {
		return false
	}
	return !j.Spread || here < j.ZoneCap()
}

func (e *roundEnv) UnderLimit(sj *sched.Job) bool { return e.s.underLimit(sj.Ref.(*job)) }

// underLimit says whether one more task of j keeps its team within its limit.
func (s *State) underLimit(j *job) bool {
	lim := s.cfg.Teams[j.Team].Limit
	if lim.CPUs == 0 && lim.GPUs == 0 {
		return true
	}
	if !s.settled {
		// Machines that haven't shown their tasks in this term may run more
		// of the team's than we count: even a new job has to wait, or the
		// team would exceed its limit together with what is unseen.
		return false
	}
	used := s.teams[j.Team]
	for _, m := range s.odd {
		for name := range m.strangers {
			o := s.strangerJob(name)
			if o == nil {
				return false // whose it is isn't known: it may be this team's
			}
			if o.Team == j.Team {
				used = used.Add(sched.Resources{CPUs: o.CPUs, GPUs: o.GPUs})
			}
		}
	}
	const slack = 1e-6
	return (lim.CPUs == 0 || used.CPUs+j.CPUs <= lim.CPUs+slack) && (lim.GPUs == 0 || used.GPUs+j.GPUs <= lim.GPUs+slack)
}

// Place binds the next waiting task of a job to a machine.
func (e *roundEnv) Place(sj *sched.Job, v *sched.Machine, path sched.Path) bool {
	s, j, m := e.s, sj.Ref.(*job), v.Ref.(*machine)
	i, ok := j.take()
	if !ok {
		sj.Waiting = 0
		return false
	}
	s.attempts++
	t := &task{
		job: j, index: i, name: model.TaskName(j.ID, i), m: m, session: m.session,
		attempt: s.tenure.Term<<attemptBits | s.attempts,
	}
	s.bind(t)
	sj.Waiting--
	need := sj.Need
	v.Free = v.Free.Sub(need)
	end := sched.Never
	if !sj.Endless {
		end = s.now + sj.Estimate
	}
	v.Add(sched.Running{Need: need, End: end})
	if !v.Images.Has(j.Image) {
		found := false
		for _, f := range v.Fetching {
			found = found || f.Image == j.Image
		}
		if !found {
			v.Fetching = append(v.Fetching, sched.Fetch{Image: j.Image, GB: j.ImageGB, Since: s.now})
		}
	}
	m.idleSince = s.now
	if m.keptFor == j {
		m.keptFor = nil
	}
	s.paths[path]++
	e.touch(m)
	s.log(slog.LevelDebug, "task placed", "task", t.name, "attempt", t.attempt, "host", m.host, "path", string(path), "term", s.tenure.Term)
	return true
}

// Undo takes back the tasks of a gang that doesn't fit as a whole. Nothing of
// them has left this node yet.
func (e *roundEnv) Undo(sj *sched.Job) {
	j := sj.Ref.(*job)
	for _, i := range ordered(j.tasks) {
		t := j.tasks[i]
		e.s.unlink(t)
		e.s.unfetch(t)
		j.retry = append(j.retry, i)
		e.s.refreshView(t.m)
		e.s.paths[sched.Together]--
	}
}

// makeRoom stops work of lower priority for prod work that finds no room, and
// work that other teams run beyond their guarantee for a team within its own.
func (s *State) makeRoom(queue []*job, env *roundEnv) {
	var used map[string]sched.Resources
	for _, j := range queue {
		if j.entry.Waiting == 0 || j.Kind == model.Gang {
			continue
		}
		if used == nil {
			used = s.teamUse()
		}
		if j.rank != model.Rank(model.Prod) && !s.guaranteed(j, used) {
			continue
		}
		if env.Spent() {
			s.dirty = true
			return
		}
		n := j.entry.Waiting
		for _, m := range s.order {
			if m.keptFor == j && !m.draining && s.now < m.keptUntil {
				n-- // room is being made already
			}
		}
		if n > 0 {
			s.preemptFor(j, n, func(*machine) bool { return true }, env, used)
		}
	}
}

// stopForHits makes room for prod work on machines that hold its image, where
// fetching would take longer than its class has to start. The design compares
// the wait at a holder with the fetch elsewhere: a holder whose lower work may
// be stopped has next to no wait. It returns how many tasks of each job are
// held back from the rule meanwhile.
func (s *State) stopForHits(queue []*job, env *roundEnv) map[*job]int {
	held := map[*job]int{}
	var used map[string]sched.Resources
	for _, j := range queue {
		if j.rank != model.Rank(model.Prod) || j.Kind == model.Gang || !s.fetchTooLong(j) {
			continue
		}
		if env.Spent() {
			break // the rule has to have its turn as well
		}
		hits, pending := 0, 0
		holds := func(m *machine) bool { return m.view.Images.Has(j.Image) }
		for _, v := range env.views {
			m := v.Ref.(*machine)
			kept := m.keptFor == j && !m.draining && s.now < m.keptUntil
			switch {
			case !holds(m) || !s.allowed(j, m):
			case v.Free.Fits(j.entry.Need):
				hits++
			case kept:
				pending++
			}
		}
		n := j.entry.Waiting - hits - pending
		if n > 0 {
			if used == nil {
				used = s.teamUse()
			}
			pending += s.preemptFor(j, n, holds, env, used)
		}
		if back := min(pending, j.entry.Waiting); back > 0 {
			held[j] = back
			j.entry.Waiting -= back
		}
	}
	return held
}

// fetchTooLong says whether j, which may still start in the time that its
// class has, would miss it by fetching its image. A lost replica has that time
// anew.
func (s *State) fetchTooLong(j *job) bool {
	goal := s.cfg.Goals[j.Class].Start
	left := goal - s.age(j)
	if j.lostAt != 0 {
		left = max(left, j.lostAt+goal-s.now)
	}
	if goal == 0 || left <= 0 {
		return false
	}
	rate := 0.0
	for i := range s.typeList {
		if t := &s.typeList[i]; t.Fits(&j.Job) {
			rate = max(rate, t.FetchRate)
		}
	}
	// A fetch takes up to half as long again as its rate says.
	return time.Duration(1.5*j.ImageGB/max(rate, 0.001)*float64(time.Second)) > left
}

// teamUse is what each team's tasks take now, without those being stopped.
func (s *State) teamUse() map[string]sched.Resources {
	used := map[string]sched.Resources{}
	for _, m := range s.order {
		for _, t := range m.tasks {
			if !t.killing {
				used[t.job.Team] = used[t.job.Team].Add(sched.Resources{CPUs: t.job.CPUs, GPUs: t.job.GPUs})
			}
		}
	}
	return used
}

// guaranteed says whether one more task of j is within its team's guarantee.
func (s *State) guaranteed(j *job, used map[string]sched.Resources) bool {
	g := s.cfg.Teams[j.Team].Guaranteed
	g.MemoryGB = j.MemoryGB // guarantees are given in CPUs and GPUs
	return (g.CPUs > 0 || g.GPUs > 0) && g.Fits(used[j.Team].Add(sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs}))
}

// mayStop says whether t may be stopped to make room for j.
func (s *State) mayStop(t *task, j *job, used map[string]sched.Resources) bool {
	if t.killing {
		return false
	}
	if t.job.rank > j.rank {
		return true
	}
	g, u := s.cfg.Teams[t.job.Team].Guaranteed, used[t.job.Team]
	beyond := u.CPUs-t.job.CPUs > g.CPUs-1e-6 && u.GPUs-t.job.GPUs > g.GPUs-1e-6
	return t.job.Team != j.Team && s.guaranteed(j, used) && beyond
}

// drainFor keeps a few machines from being refilled bit by bit while jobs wait
// whose tasks need more room than any machine has left: those that should have
// that room first.
func (s *State) drainFor(queue []*job, env *roundEnv) {
	left := 1 + len(env.views)/16
	begun := map[*job]bool{}
	for _, v := range env.views {
		m := v.Ref.(*machine)
		if !m.draining || m.keptFor == nil {
			continue
		}
		switch j := m.keptFor; {
		case j.entry == nil || j.entry.Waiting == 0:
			m.keptFor = nil // placed elsewhere, or over
		case s.now < m.keptUntil && !begun[j] && v.Capacity.Fits(j.entry.Need):
			begun[j] = true // stay with it
			m.keptUntil = s.now + s.cfg.ReportEvery
			left--
		}
	}
	for _, j := range queue {
		if left <= 0 || env.Spent() {
			return
		}
		if j.entry.Waiting == 0 || begun[j] || j.rank == model.Rank(model.Prod) || j.Kind == model.Gang || !s.underLimit(j) {
			continue
		}
		var best *machine
		soonest := sched.Never
		for _, v := range env.views {
			m := v.Ref.(*machine)
			if !v.Capacity.Fits(j.entry.Need) || !s.allowed(j, m) {
				continue
			}
			if w := v.Wait(s.now, j.entry); w < soonest {
				best, soonest = m, w
			}
		}
		if best == nil {
			continue
		}
		left--
		best.keptFor, best.draining, best.keptUntil = j, true, s.now+s.cfg.ReportEvery
	}
}

// victims is work on one machine whose end makes room for one task.
type victims struct {
	m    *machine
	take []*task
	loss float64
}

// preemptFor stops the least work, by what would be lost, that makes room for
// n tasks of j, one on each machine that suits; it returns for how many.
func (s *State) preemptFor(j *job, n int, suits func(*machine) bool, env *roundEnv, used map[string]sched.Resources) int {
	var options []victims
	zones := map[string]int{} // room being made, which counts for the spread
	for _, v := range env.views {
		m := v.Ref.(*machine)
		if m.keptFor == j && !m.draining && s.now < m.keptUntil {
			zones[m.zone]++
		}
		if m.keptFor != nil && s.now < m.keptUntil || !v.Capacity.Fits(j.entry.Need) || !suits(m) || !s.allowed(j, m) {
			continue
		}
		if o, ok := s.victimsOn(m, j, used); ok {
			options = append(options, o)
		}
	}
	sort.Slice(options, func(a, b int) bool {
		return options[a].loss < options[b].loss || options[a].loss == options[b].loss && options[a].m.host < options[b].m.host
	})
	made := 0
	for _, o := range options {
		if made >= n || !s.underLimit(j) {
			break
		}
		if j.Spread && j.zones[o.m.zone]+zones[o.m.zone] >= j.ZoneCap() {
			continue
		}
		if !s.mayStopAll(o.take, j, used) {
			continue // the tasks before have changed what a team is beyond its guarantee
		}
		zones[o.m.zone]++
		made++
		for _, t := range o.take {
			s.log(slog.LevelInfo, "preempting", "task", t.name, "attempt", t.attempt, "host", o.m.host, "for", j.ID, "term", s.tenure.Term)
			used[t.job.Team] = used[t.job.Team].Sub(sched.Resources{CPUs: t.job.CPUs, GPUs: t.job.GPUs})
			s.kill(t, 0)
		}
		used[j.Team] = used[j.Team].Add(j.entry.Need)
		o.m.keptFor, o.m.draining, o.m.keptUntil = j, false, s.now+s.cfg.Lease/2
		env.touch(o.m)
	}
	return made
}

func (s *State) mayStopAll(take []*task, j *job, used map[string]sched.Resources) bool {
	for _, t := range take {
		if !s.mayStop(t, j, used) {
			return false
		}
	}
	return true
}

// victimsOn picks what to stop on m for one task of j.
func (s *State) victimsOn(m *machine, j *job, used map[string]sched.Resources) (victims, bool) {
	o := victims{m: m}
	free := m.view.Free
	var cand []*task
	for _, t := range m.tasks {
		if t.killing {
			free = free.Add(sched.Resources{CPUs: t.job.CPUs, GPUs: t.job.GPUs, MemoryGB: t.job.MemoryGB})
		} else if s.mayStop(t, j, used) {
			cand = append(cand, t)
		}
	}
	sort.Slice(cand, func(a, b int) bool {
		la, lb := s.loss(cand[a]), s.loss(cand[b])
		return la < lb || la == lb && cand[a].attempt > cand[b].attempt
	})
	for _, t := range cand {
		if free.Fits(j.entry.Need) {
			break
		}
		free = free.Add(sched.Resources{CPUs: t.job.CPUs, GPUs: t.job.GPUs, MemoryGB: t.job.MemoryGB})
		// What has less time to make up for it counts for more.
		o.loss += s.loss(t) * float64(1+model.Rank(model.Low)-t.job.rank)
		o.take = append(o.take, t)
	}
	if !m.view.Images.Has(j.Image) {
		o.loss += j.ImageGB / m.view.Rate * j.CPUs
	}
	return o, free.Fits(j.entry.Need)
}

// loss is the work in CPU seconds that stopping t at once throws away.
func (s *State) loss(t *task) float64 {
	if t.state != model.TaskRunning {
		return 0
	}
	ran := (s.now - t.since).Seconds()
	if t.job.Checkpoint > 0 && ran > t.job.Checkpoint {
		for ran > t.job.Checkpoint {
			ran -= t.job.Checkpoint
		}
	}
	if t.job.Kind == model.Gang {
		ran *= float64(t.job.Tasks) // the others can't go on without it
	}
	return ran * t.job.CPUs
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
			break
		}
		counts[id] = j.liveTasks()
	}
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgCounts, Counts: counts}})
	}
}
