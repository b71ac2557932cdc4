package core

import "mulleinfall/internal/sched"

// guaranteeTolerance absorbs rounding errors from adding and subtracting amounts many
// times.
const guaranteeTolerance = 1e-6

// usageWithoutStopping returns what the tasks of each team take of its guarantee and
// limit, without the tasks that are being stopped.
func (s *State) usageWithoutStopping() map[string]sched.Resources {
	usage := map[string]sched.Resources{}
	for _, m := range s.machinesByName {
		for _, t := range m.tasks {
			if !t.stopping {
				usage[t.job.Team] = usage[t.job.Team].Add(t.job.quotaShare())
			}
		}
	}
	return usage
}

// isWithinGuarantee reports whether n more tasks of j are within its team's guarantee,
// given the usage of all teams. A team without a guarantee is never within it.
func (s *State) isWithinGuarantee(j *job, n int, usage map[string]sched.Resources) bool {
	guaranteed := s.cfg.Teams[j.Team].Guaranteed
	if guaranteed.CPUs <= 0 && guaranteed.GPUs <= 0 {
		return false
	}
	// Guarantees are given in CPUs and GPUs: the memory compared here is 0 on both sides.
	return guaranteed.Fits(usage[j.Team].Add(j.quotaShare().Times(n)))
}
