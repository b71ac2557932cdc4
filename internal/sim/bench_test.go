package sim

import (
	"fmt"
	"testing"
	"time"

	"mulleinfall/internal/core"
)

// BenchmarkSteadyMinute measures what the leader's decisions cost with many
// tasks running: reports, rounds and ticks, without the edges. scale 1 is
// about the size of the deployments in service, 10 ten times their tasks.
func BenchmarkSteadyMinute(b *testing.B) {
	for _, scale := range []int{1, 10} {
		b.Run(fmt.Sprintf("scale%d", scale), func(b *testing.B) {
			w := busySimulation(scale, time.Duration(b.N+2)*time.Minute)
			b.ReportAllocs()
			b.ResetTimer()
			w.RunUntil(time.Duration(b.N+2) * time.Minute)
			b.StopTimer()
			if w.Checker.TaskStarts == 0 {
				b.Fatal("nothing ran")
			}
		})
	}
}

// busySimulation is a world in the middle of its work: batches come until the time given,
// with scale times the tasks on machines that are as much larger.
func busySimulation(scale int, until time.Duration) *Simulation {
	opt := DefaultOptions(1)
	opt.Capacity = 12
	opt.Types[0].CPUs, opt.Types[0].MemoryGB, opt.Types[0].CacheGB = 4*float64(scale), 16*float64(scale), 60
	w := New(opt)
	n := 0
	for at := 2 * second; at < until; at += 4 * second {
		n++
		j := batchJob(fmt.Sprintf("req-%06d", n), 8*scale)
		w.At(at, func() { w.Users.Submit(j, 40*second) })
	}
	w.RunUntil(2 * time.Minute)
	return w
}

// BenchmarkReport measures a worker's report and its answer, BenchmarkPoll a
// user's question about a job that is over.
func BenchmarkReport(b *testing.B) {
	for _, scale := range []int{1, 10} {
		b.Run(fmt.Sprintf("scale%d", scale), func(b *testing.B) {
			w := busySimulation(scale, 2*time.Minute)
			n, keys := w.Leader(), sortedKeys(w.Workers)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				n.State.Step(n.monotonicNow(), core.WorkerReport{RequestID: 1, Report: w.Workers[keys[i%len(keys)]].nextReport()})
			}
		})
	}
}

func BenchmarkPoll(b *testing.B) {
	w := busySimulation(1, 2*time.Minute)
	n := w.Leader()
	b.ReportAllocs()
	for b.Loop() {
		if len(n.State.Step(n.monotonicNow(), core.Poll{RequestID: 1, ID: "req-000001"})) == 0 {
			b.Fatal("not answered at once: the job should be over by now")
		}
	}
}
