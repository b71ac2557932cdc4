package standin

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSteadyMinute measures what the leader's decisions cost with many
// tasks running: reports, rounds and ticks, without the edges. scale 1 is
// about the size of the deployments in service, 10 ten times their tasks.
func BenchmarkSteadyMinute(b *testing.B) {
	for _, scale := range []int{1, 10} {
		b.Run(fmt.Sprintf("scale%d", scale), func(b *testing.B) {
			opt := Defaults(1)
			opt.Capacity = 12
			opt.Types[0].CPUs, opt.Types[0].MemoryGB, opt.Types[0].CacheGB = 4*float64(scale), 16*float64(scale), 60
			w := New(opt)
			n := 0
			add := func(at time.Duration) {
				n++
				j := batch(fmt.Sprintf("req-%06d", n), 8*scale)
				w.At(at, func() { w.Users.Submit(j, 40*second) })
			}
			for at := 2 * second; at < time.Duration(b.N+2)*time.Minute; at += 4 * second {
				add(at)
			}
			w.Run(2 * time.Minute)
			b.ReportAllocs()
			b.ResetTimer()
			w.Run(time.Duration(b.N+2) * time.Minute)
			b.StopTimer()
			if w.Check.Starts == 0 {
				b.Fatal("nothing ran")
			}
		})
	}
}
