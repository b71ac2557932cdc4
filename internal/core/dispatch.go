package core

import (
	"log/slog"
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
	for _, m := range s.machines {
		if s.unaccounted(m) && j.AllowsType(m.typeName) && (j.Zone == "" || j.Zone == m.zone) && (j.Spot || !m.spot) {
			return false
		}
	}
	return true
}

// dispatch makes a round of decisions and sends what it decided.
func (s *State) dispatch() {
	s.dirty = false
	s.nextRound = s.now + s.cfg.ReportEvery/6
	env := &roundEnv{s: s, views: map[*sched.Machine]*machine{}, spent: func() bool { return false }}
	if s.cfg.Budget != nil {
		env.spent = s.cfg.Budget()
	}
	queue := s.queueView()
	env.jobs = make(map[*sched.Job]*job, len(queue))
	entries := make([]*sched.Job, len(queue))
	for i, j := range queue {
		entries[i] = j.entry
		env.jobs[j.entry] = j
	}
	var views []*sched.Machine
	for _, m := range s.sortedMachines() {
		if s.usable(m) {
			s.refreshView(m)
			views = append(views, &m.view)
			env.views[&m.view] = m
		} else if len(m.view.Local) > 0 {
			m.view.Local = nil // back to the global queue
		}
	}
	// Local queues hold tasks that are not in the global count; drop entries
	// of jobs that no longer want them.
	for _, v := range views {
		kept := v.Local[:0]
		for _, q := range v.Local {
			if env.jobs[q.Job] != nil && q.Job.Waiting > 0 {
				q.Job.Waiting--
				kept = append(kept, q)
			}
		}
		v.Local = kept
	}
	if !s.round.Run(s.now, entries, views, env) {
		s.dirty = true // goes on where it stopped
	}
	s.makeRoom(queue, env)
	s.drainFor(queue, env)
	for _, host := range ordered(env.touched) {
		m := env.touched[host]
		if !m.direct && s.now >= m.directAt && m.adopted && m.endpoint != "" {
			s.flush(m)
		}
	}
}

// queueView lists the jobs with waiting tasks, most urgent first and then by
// arrival.
func (s *State) queueView() []*job {
	var queue []*job
	for _, j := range s.active {
		n := j.waiting()
		if n == 0 || !s.ripe(j) || j.Kind == model.Gang && len(j.tasks) > 0 {
			continue // a gang waits until all its former tasks are gone
		}
		if j.entry == nil {
			j.entry = &sched.Job{
				ID: j.ID, Rank: queueRank(j), Arrival: j.arrival,
				Need:  sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB},
				Image: j.Image, ImageGB: j.ImageGB,
				Estimate: time.Duration(j.Estimate * float64(time.Second)),
				Endless:  j.Kind == model.Service,
				Gang:     j.Kind == model.Gang,
			}
		}
		j.entry.Waiting = n
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

// queueRank is a job's place ahead of the order of arrival: only prod work
// goes ahead; among the rest the design's one queue by arrival holds.
func queueRank(j *job) int {
	return j.rank
}

func (s *State) sortedMachines() []*machine {
	list := make([]*machine, 0, len(s.machines))
	for _, m := range s.machines {
		list = append(list, m)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].host < list[b].host })
	return list
}

// usable says whether m may be given new tasks.
func (s *State) usable(m *machine) bool {
	return m.adopted && m.rostered && !m.lapsed && !m.slow && !m.returning && m.recallAt == 0 && m.typ != nil &&
		s.now >= m.downUntil && s.now-m.lastBeat < 2*s.cfg.ReportEvery+s.cfg.Lease/8
}

// refreshView works out m's free room and what runs on it.
func (s *State) refreshView(m *machine) {
	v := &m.view
	v.Free = v.Capacity
	v.Running = v.Running[:0]
	v.Stays = 0
	for _, name := range ordered(m.tasks) {
		t := m.tasks[name]
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
			}
			end = begin + time.Duration(t.job.Estimate*float64(time.Second))
		}
		v.Running = append(v.Running, sched.Running{Need: need, End: end})
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
	jobs    map[*sched.Job]*job
	views   map[*sched.Machine]*machine
	touched map[string]*machine
	spent   func() bool
}

func (e *roundEnv) Spent() bool { return e.spent() }

func (e *roundEnv) Allowed(sj *sched.Job, v *sched.Machine) bool {
	return e.s.allowed(e.jobs[sj], e.views[v])
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
	if j.OneZone || j.Spread {
		here := 0
		for _, t := range j.tasks {
			if t.m.zone == m.zone {
				here++
			} else if j.OneZone {
				return false
			}
		}
		if j.Spread && here >= j.ZoneCap() {
			return false
		}
	}
	return true
}

func (e *roundEnv) UnderLimit(sj *sched.Job) bool { return e.s.underLimit(e.jobs[sj]) }

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
	var used sched.Resources
	for _, m := range s.machines {
		for _, t := range m.tasks {
			if t.job.Team == j.Team {
				used = used.Add(sched.Resources{CPUs: t.job.CPUs, GPUs: t.job.GPUs})
			}
		}
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
	s, j, m := e.s, e.jobs[sj], e.views[v]
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
	j.tasks[i], m.tasks[t.name] = t, t
	sj.Waiting--
	need := sj.Need
	v.Free = v.Free.Sub(need)
	end := sched.Never
	if !sj.Endless {
		end = s.now + sj.Estimate
	}
	v.Running = append(v.Running, sched.Running{Need: need, End: end})
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
	if e.touched == nil {
		e.touched = map[string]*machine{}
	}
	e.touched[m.host] = m
	s.log(slog.LevelDebug, "task placed", "task", t.name, "attempt", t.attempt, "host", m.host, "path", string(path), "term", s.tenure.Term)
	return true
}

// Undo takes back the tasks of a gang that doesn't fit as a whole. Nothing of
// them has left this node yet.
func (e *roundEnv) Undo(sj *sched.Job) {
	j := e.jobs[sj]
	for _, i := range ordered(j.tasks) {
		t := j.tasks[i]
		delete(j.tasks, i)
		delete(t.m.tasks, t.name)
		e.s.unfetch(t)
		j.retry = append(j.retry, i)
		e.s.refreshView(t.m)
		e.s.paths[sched.Together]--
	}
}

// makeRoom stops work of lower priority for prod work that finds no room, and
// work that other teams run beyond their guarantee for a team within its own.
func (s *State) makeRoom(queue []*job, env *roundEnv) {
	used := s.teamUse()
	for _, j := range queue {
		if j.Kind == model.Gang || j.rank != model.Rank(model.Prod) && !s.guaranteed(j, used) {
			continue
		}
		n := j.entry.Waiting
		for _, m := range s.machines {
			if m.keptFor == j && !m.draining && s.now < m.keptUntil {
				n-- // room is being made already
			}
		}
		for ; n > 0 && s.underLimit(j); n-- {
			if !s.preemptFor(j, env, used) {
				break
			}
			used[j.Team] = used[j.Team].Add(j.entry.Need)
		}
	}
}

// teamUse is what each team's tasks take now.
func (s *State) teamUse() map[string]sched.Resources {
	used := map[string]sched.Resources{}
	for _, m := range s.machines {
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
	for _, m := range env.views {
		if m.draining && m.keptFor != nil && (m.keptFor.entry == nil || m.keptFor.entry.Waiting == 0) {
			m.keptFor = nil // placed elsewhere, or over
		}
	}
	for _, j := range queue {
		if left == 0 || j.entry.Waiting == 0 || j.rank == model.Rank(model.Prod) || j.Kind == model.Gang || !s.underLimit(j) {
			continue
		}
		var best *machine
		soonest := sched.Never
		for _, m := range s.sortedMachines() {
			if env.views[&m.view] == nil || !m.view.Capacity.Fits(j.entry.Need) {
				continue
			}
			if m.draining && m.keptFor == j && s.now < m.keptUntil {
				best, soonest = m, 0 // begun: stay with it
				break
			}
			if !s.allowed(j, m) {
				continue
			}
			if w := m.view.Wait(s.now, j.entry); w < soonest {
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

// preemptFor stops the least work, by what would be lost, that makes room for
// one task of j on one machine.
func (s *State) preemptFor(j *job, env *roundEnv, used map[string]sched.Resources) bool {
	var best *machine
	var victims []*task
	bestLoss := 0.0
	for _, m := range s.sortedMachines() {
		if !s.usable(m) || m.keptFor != nil && s.now < m.keptUntil || !m.view.Capacity.Fits(j.entry.Need) || !s.allowed(j, m) {
			continue
		}
		free := m.view.Free
		var cand []*task
		for _, t := range m.tasks {
			if s.mayStop(t, j, used) {
				cand = append(cand, t)
			} else if t.killing {
				free = free.Add(sched.Resources{CPUs: t.job.CPUs, GPUs: t.job.GPUs, MemoryGB: t.job.MemoryGB})
			}
		}
		sort.Slice(cand, func(a, b int) bool {
			la, lb := s.loss(cand[a]), s.loss(cand[b])
			return la < lb || la == lb && cand[a].attempt > cand[b].attempt
		})
		loss := 0.0
		var take []*task
		for _, t := range cand {
			if free.Fits(j.entry.Need) {
				break
			}
			free = free.Add(sched.Resources{CPUs: t.job.CPUs, GPUs: t.job.GPUs, MemoryGB: t.job.MemoryGB})
			// What has less time to make up for it counts for more.
			loss += s.loss(t) * float64(1+model.Rank(model.Low)-t.job.rank)
			take = append(take, t)
		}
		if !free.Fits(j.entry.Need) {
			continue
		}
		if !m.view.Images.Has(j.Image) {
			loss += j.ImageGB / m.view.Rate * j.CPUs
		}
		if best == nil || loss < bestLoss {
			best, victims, bestLoss = m, take, loss
		}
	}
	if best == nil {
		return false
	}
	for _, t := range victims {
		s.log(slog.LevelInfo, "preempting", "task", t.name, "attempt", t.attempt, "host", best.host, "for", j.ID, "term", s.tenure.Term)
		used[t.job.Team] = used[t.job.Team].Sub(sched.Resources{CPUs: t.job.CPUs, GPUs: t.job.GPUs})
		s.kill(t, 0)
	}
	best.keptFor, best.draining, best.keptUntil = j, false, s.now+s.cfg.Lease/2
	if env.touched == nil {
		env.touched = map[string]*machine{}
	}
	env.touched[best.host] = best
	return true
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
