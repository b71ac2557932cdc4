package core

import (
	"log/slog"
	"slices"
	"time"

	"mulleinfall/internal/model"
)

// A machine can be much slower than its type promises. Its tasks then miss
// what the others of their job reach, and it goes on drawing work because it
// holds their image. It is found by what its tasks took, measured by the
// other tasks of the same jobs.
const (
	slowRatio   = 2.0 // twice what the others took
	slowSamples = 3   // on this many tasks
)

// expectedRunTime is how long a task of j should run: what its finished tasks took, or
// the owner's estimate while too few have finished.
func (j *job) expectedRunTime() (time.Duration, bool) {
	if len(j.runTimes) < slowSamples {
		return time.Duration(j.EstimateS * float64(time.Second)), false
	}
	return j.runTimes[len(j.runTimes)/2], true
}

// recordRunTime notes what a finished task took. Only starts that this leader saw count.
func (s *State) recordRunTime(t *task) {
	if t.inherited || t.runningSince == 0 || t.job.Kind == model.KindGang {
		return // a gang runs at the speed of its slowest machine, whichever that is
	}
	took := s.now - t.runningSince
	if e, sure := t.job.expectedRunTime(); sure && e > 0 {
		t.machine.compareRunTime(float64(took) / float64(e))
	}
	if len(t.job.runTimes) < 64 {
		at, _ := slices.BinarySearch(t.job.runTimes, took)
		t.job.runTimes = slices.Insert(t.job.runTimes, at, took)
	}
}

// compareRunTime weighs one task's time against the time it should have taken.
func (m *machine) compareRunTime(ratio float64) {
	if ratio >= slowRatio {
		m.slowRuns++
	} else if ratio < slowRatio*0.75 {
		m.slowRuns = 0
	}
}

// slowState paces the search for slow machines.
type slowState struct {
	nextSlowScanAt time.Duration
}

// findSlowMachines looks for slow machines among those whose tasks overrun, and moves
// away what would end sooner if it began anew elsewhere.
func (s *State) findSlowMachines() {
	if s.now < s.nextSlowScanAt {
		return
	}
	s.nextSlowScanAt = s.now + time.Second
	for _, m := range s.machinesByName {
		if m.slow || !m.reconciled {
			continue
		}
		signs := m.slowRuns
		for _, t := range m.tasks {
			e, sure := t.job.expectedRunTime()
			if sure && t.job.Kind != model.KindGang && t.state == model.TaskRunning && t.runningSince > 0 && s.now-t.runningSince > time.Duration(slowRatio*float64(e)) {
				signs++
			}
		}
		if signs < slowSamples {
			continue
		}
		m.slow = true
		s.dispatchNeeded = true
		s.log(slog.LevelInfo, "machine is slow", "host", m.host, "signs", signs, "term", s.leadership.Term)
		for _, name := range sortedKeys(m.tasks) {
			s.moveOffSlowMachine(m.tasks[name])
		}
	}
}

// moveOffSlowMachine stops t if running it anew elsewhere should be quicker than
// the rest of its run here.
func (s *State) moveOffSlowMachine(t *task) {
	if t.stopping || t.job.Kind == model.KindService {
		return
	}
	if t.job.CheckpointEveryS > 0 {
		s.stopTask(t, t.job.CheckpointCostS*1.25)
		return
	}
	e, _ := t.job.expectedRunTime()
	whole := time.Duration(2 * slowRatio * float64(e)) // slower than slowRatio: take twice that
	if t.state != model.TaskRunning || whole-(s.now-t.runningSince) > e+e/4 {
		s.stopTask(t, 0)
	}
}
