package core

import (
	"log/slog"
	"slices"
	"time"

	"mulleinfall/internal/model"
)

// This file finds machines that are much slower than their type promises. Their tasks take
// longer than other tasks of the same job, but they keep getting tasks, because they hold
// the images.

// slowRatio and slowSamples define a slow machine: it has at least slowSamples tasks whose
// run took slowRatio times the expected run time of their jobs or longer. Finished tasks
// count since the last one that took less than three quarters of that, and running ones if
// they have already exceeded it. The expected run time of a job is known once slowSamples
// run times are recorded; tasks of other jobs don't count.
const (
	slowRatio   = 2.0
	slowSamples = 3
)

// expectedRunTime is how long a task of j should run: the median of the recorded run times,
// or the user's estimate while fewer than slowSamples are recorded. It also says whether the
// time comes from recorded runs.
func (j *job) expectedRunTime() (time.Duration, bool) {
	if len(j.runTimes) < slowSamples {
		return model.Duration(j.EstimateS), false
	}
	return j.runTimes[len(j.runTimes)/2], true
}

// recordRunTime records the run time of a finished task, for 64 tasks of a job at most, and
// compares it with the expected one. Tasks inherited from a former leader are left out,
// since this leader did not see their start.
func (s *State) recordRunTime(t *task) {
	if t.inherited || t.runningSince == 0 || t.job.Kind == model.KindGang {
		return // all tasks of a gang run at the speed of its slowest machine
	}
	took := s.now - t.runningSince
	if expected, known := t.job.expectedRunTime(); known && expected > 0 {
		t.machine.compareRunTime(float64(took) / float64(expected))
	}
	if len(t.job.runTimes) < 64 {
		index, _ := slices.BinarySearch(t.job.runTimes, took)
		t.job.runTimes = slices.Insert(t.job.runTimes, index, took)
	}
}

// compareRunTime counts a finished task as slow if ratio, its run time divided by the
// expected one, is at least slowRatio. It resets the count if ratio is less than three
// quarters of slowRatio, and leaves it in between.
func (m *machine) compareRunTime(ratio float64) {
	if ratio >= slowRatio {
		m.slowRuns++
	} else if ratio < slowRatio*0.75 {
		m.slowRuns = 0
	}
}

// slowState is the leader's state about the search for slow machines.
type slowState struct {
	nextSlowScanAt time.Duration
}

// findSlowMachines looks for slow machines, once per second. It marks each that it finds,
// and stops those of its tasks that should end sooner after a restart on another machine.
func (s *State) findSlowMachines() {
	if s.now < s.nextSlowScanAt {
		return
	}
	s.nextSlowScanAt = s.now + time.Second
	for _, m := range s.machinesByName {
		if m.slow || !m.reconciled {
			continue
		}
		slowTasks := m.slowRuns
		for _, t := range m.tasks {
			expected, known := t.job.expectedRunTime()
			if known && t.job.Kind != model.KindGang && t.state == model.TaskRunning && t.runningSince > 0 && s.now-t.runningSince > model.Duration(slowRatio*expected.Seconds()) {
				slowTasks++
			}
		}
		if slowTasks < slowSamples {
			continue
		}
		m.slow = true
		s.dispatchNeeded = true
		s.log(slog.LevelInfo, "machine is slow", "host", m.host, "signs", slowTasks, "term", s.leadership.Term)
		for _, name := range sortedKeys(m.tasks) {
			s.moveOffSlowMachine(m.tasks[name])
		}
	}
}

// moveOffSlowMachine stops t if it does not run yet, or if the rest of its run on this
// machine should take longer than a restart on another one. The whole run here is taken to
// last four times the expected run time, and a restart a quarter longer than that time. A
// task with checkpoints is always stopped, with 5/4 of the time that a checkpoint takes; a
// service never is.
func (s *State) moveOffSlowMachine(t *task) {
	if t.stopping || t.job.Kind == model.KindService {
		return
	}
	if t.job.CheckpointEveryS > 0 {
		s.stopTask(t, t.job.CheckpointCostS*1.25)
		return
	}
	expected, _ := t.job.expectedRunTime()
	estimatedRun := model.Duration(2 * slowRatio * expected.Seconds()) // twice the limit for slow runs
	if t.state != model.TaskRunning || estimatedRun-(s.now-t.runningSince) > expected+expected/4 {
		s.stopTask(t, 0)
	}
}
