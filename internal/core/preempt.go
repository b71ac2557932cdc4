package core

import (
	"log/slog"
	"sort"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// Making room: work that is stopped or kept off for more urgent work.

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
	return s.longestFetch(j) > left
}

// longestFetch is how long a fetch of j's image may take where nothing else is
// fetched: up to half as long again as its rate says.
func (s *State) longestFetch(j *job) time.Duration {
	rate := 0.0
	for i := range s.typeList {
		if t := &s.typeList[i]; t.Fits(&j.Job) {
			rate = max(rate, t.FetchRate)
		}
	}
	return time.Duration(1.5 * j.ImageGB / max(rate, 0.001) * float64(time.Second))
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
			if v.Held() || !v.Capacity.Fits(j.entry.Need) || !s.allowed(j, m) {
				continue // a gang that is to have it must not be kept off again
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
