package sim

import (
	"fmt"
	"testing"
	"time"

	"mulleinfall/internal/core"
)

// BenchmarkSteadyMinute measures a minute of virtual time with many tasks running: the
// leader's work on reports, dispatch rounds and ticks, but also the steps of the other
// controllers and the simulation around them, without the network layers of the real
// service. Scale 1 is about the size of the deployments in service, scale 10 has ten times
// their tasks.
func BenchmarkSteadyMinute(b *testing.B) {
	for _, scale := range []int{1, 10} {
		b.Run(fmt.Sprintf("scale%d", scale), func(b *testing.B) {
			sim := busySimulation(scale, time.Duration(b.N+2)*time.Minute)
			b.ReportAllocs()
			b.ResetTimer()
			sim.RunUntil(time.Duration(b.N+2) * time.Minute)
			b.StopTimer()
			if sim.Checker.TaskStarts == 0 {
				b.Fatal("got no task starts, want at least one")
			}
		})
	}
}

// busySimulation returns a simulation under load after its first two minutes. Batch jobs
// are submitted until the given time, with scale times the tasks, on machines that are
// larger by the same factor.
func busySimulation(scale int, until time.Duration) *Simulation {
	options := DefaultOptions(1)
	options.Capacity = 12
	options.Types[0].CPUs, options.Types[0].MemoryGB, options.Types[0].CacheGB = 4*float64(scale), 16*float64(scale), 60
	sim := New(options)
	submitted := 0
	for at := 2 * second; at < until; at += 4 * second {
		submitted++
		job := batchJob(fmt.Sprintf("req-%06d", submitted), 8*scale)
		sim.At(at, func() { sim.Users.Submit(job, 40*second) })
	}
	sim.RunUntil(2 * time.Minute)
	return sim
}

// BenchmarkReport measures what it costs the leader to handle and answer a worker's
// report, with the creation of the report.
func BenchmarkReport(b *testing.B) {
	for _, scale := range []int{1, 10} {
		b.Run(fmt.Sprintf("scale%d", scale), func(b *testing.B) {
			sim := busySimulation(scale, 2*time.Minute)
			leader, endpoints := sim.Leader(), sortedKeys(sim.Workers)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				leader.State.Step(leader.monotonicNow(), core.WorkerReport{RequestID: 1, Report: sim.Workers[endpoints[i%len(endpoints)]].nextReport()})
			}
		})
	}
}

// BenchmarkPoll measures what it costs the leader to answer a poll of a finished job.
func BenchmarkPoll(b *testing.B) {
	sim := busySimulation(1, 2*time.Minute)
	leader := sim.Leader()
	b.ReportAllocs()
	for b.Loop() {
		if len(leader.State.Step(leader.monotonicNow(), core.Poll{RequestID: 1, ID: "req-000001"})) == 0 {
			b.Fatal("got no answer in the same step, want one, since the job should be finished by now")
		}
	}
}
