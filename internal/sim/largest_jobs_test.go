package sim

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"mulleinfall/internal/model"
)

// TestLargestJobs guards against memory that grows with the tasks that wait: twelve arrays of
// 100,000 tasks took one leader after the other over its memory limit. What the controllers
// allocate must not depend on the size of such jobs, and an ordinary job must be done beside
// them.
func TestLargestJobs(t *testing.T) {
	const smallSize, largeSize = 1000, 100_000
	for _, kind := range []string{model.KindBatch, model.KindService, model.KindGang} {
		small, large := allocatedBesideJobs(t, kind, smallSize), allocatedBesideJobs(t, kind, largeSize)
		if large > small*3/2 {
			t.Errorf("%s: got %d bytes allocated beside jobs of %d tasks and %d beside jobs of %d, want at most half as much again", kind, small, smallSize, large, largeSize)
		}
	}
}

// allocatedBesideJobs returns how many bytes are allocated in a simulation with waiting jobs of
// a kind and a number of tasks.
func allocatedBesideJobs(t *testing.T, kind string, tasks int) uint64 {
	const waitingJobs = 12
	options := DefaultOptions(5)
	options.Capacity = 40
	sim := New(options)
	for i := range waitingJobs {
		sim.At(time.Duration(2+2*i)*second, func() {
			job := batchJob(fmt.Sprintf("req-%06d", 100+i), tasks)
			job.Kind, job.Priority, job.Spot, job.CPUs = kind, model.PriorityLow, true, 4
			sim.Users.Submit(job, 70*second)
		})
	}
	ordinary := batchJob("req-000001", 4)
	ordinary.Priority = model.PriorityProd // so that it may stop replicas
	sim.At(30*second, func() { sim.Users.Submit(ordinary, 8*second) })
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	sim.RunUntil(150 * second)
	runtime.ReadMemStats(&after)
	for _, violation := range sim.Checker.Violations {
		t.Errorf("%s of %d tasks: %v", kind, tasks, violation)
	}
	if !sim.Checker.jobs[ordinary.ID].confirmedDone {
		t.Errorf("%s of %d tasks: the ordinary job isn't done, want it done", kind, tasks)
	}
	t.Logf("%s of %d tasks: %d bytes allocated", kind, tasks, after.TotalAlloc-before.TotalAlloc)
	return after.TotalAlloc - before.TotalAlloc
}
