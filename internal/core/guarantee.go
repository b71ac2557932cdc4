package core

import "mulleinfall/internal/sched"

// guaranteeTolerance absorbs the rounding of amounts added and taken many times.
const guaranteeTolerance = 1e-6

// usageWithoutStopping is what each team's tasks take now, without those being stopped.
func (s *State) usageWithoutStopping() map[string]sched.Resources {
	used := map[string]sched.Resources{}
	for _, m := range s.machinesByName {
		for _, t := range m.tasks {
			if !t.stopping {
				used[t.job.Team] = used[t.job.Team].Add(t.job.quotaShare())
			}
		}
	}
	return used
}

// isWithinGuarantee says whether n more tasks of j are within its team's guarantee.
func (s *State) isWithinGuarantee(j *job, n int, used map[string]sched.Resources) bool {
	g := s.cfg.Teams[j.Team].Guaranteed
	if g.CPUs <= 0 && g.GPUs <= 0 {
		return false
	}
	// Guarantees are given in CPUs and GPUs.
	return g.Fits(used[j.Team].Add(j.quotaShare().Times(n)))
}
