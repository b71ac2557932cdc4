package core

import "mulleinfall/internal/sched"

// guaranteeSlack absorbs the rounding of amounts added and taken many times.
const guaranteeSlack = 1e-6

// teamUse is what each team's tasks take now, without those being stopped.
func (s *State) teamUse() map[string]sched.Resources {
	used := map[string]sched.Resources{}
	for _, m := range s.machinesByName {
		for _, t := range m.tasks {
			if !t.killing {
				used[t.job.Team] = used[t.job.Team].Add(t.job.teamShare())
			}
		}
	}
	return used
}

// guaranteed says whether n more tasks of j are within its team's guarantee.
func (s *State) guaranteed(j *job, n int, used map[string]sched.Resources) bool {
	g := s.cfg.Teams[j.Team].Guaranteed
	if g.CPUs <= 0 && g.GPUs <= 0 {
		return false
	}
	// Guarantees are given in CPUs and GPUs.
	return g.Fits(used[j.Team].Add(j.teamShare().Times(n)))
}
