package sched

import (
	"math"
	"slices"
)

// The order of machines that serve a job equally soon.

// better orders machines that serve j equally soon. Work that can't afford to
// begin anew goes to machines that stay; the spot machines are left to what
// can. Otherwise work is drawn together on the machines that are cheapest by the CPU, then on those that services keep
// anyway, then on the fullest, so that the others run empty and can be given
// back.
func better(a, b *Machine, j *Job) bool {
	return before(a, b, j, leftover(a, j), leftover(b, j))
}

func before(a, b *Machine, j *Job, leftA, leftB float64) bool {
	if j.Steady && a.Spot != b.Spot {
		return b.Spot
	}
	if a.class != b.class {
		return a.class < b.class
	}
	if sa, sb := a.Stays > 0, b.Stays > 0; sa != sb {
		return sa
	}
	if math.Abs(leftA-leftB) > slack {
		return leftA < leftB
	}
	return a.ID < b.ID
}

// classify sorts the machines' prices by the CPU into classes: prices that
// follow one another within a fifth are alike.
func classify(machines []*Machine) {
	var prices []float64
	for _, m := range machines {
		if p := m.perCPU(); !slices.Contains(prices, p) {
			prices = append(prices, p)
		}
	}
	slices.Sort(prices)
	class := make([]int, len(prices))
	for i := 1; i < len(prices); i++ {
		class[i] = class[i-1]
		if prices[i] > 1.2*prices[i-1] {
			class[i]++
		}
	}
	for _, m := range machines {
		at, _ := slices.BinarySearch(prices, m.perCPU())
		m.class = class[at]
	}
}

func (m *Machine) perCPU() float64 { return m.Price / max(m.Capacity.CPUs, 1) }

func leftover(m *Machine, j *Job) float64 {
	left := 0.0
	if m.Capacity.CPUs > 0 {
		left += (m.Free.CPUs - j.Need.CPUs) / m.Capacity.CPUs
	}
	if m.Capacity.MemoryGB > 0 {
		left += (m.Free.MemoryGB - j.Need.MemoryGB) / m.Capacity.MemoryGB
	}
	if m.Capacity.GPUs > 0 {
		left += (m.Free.GPUs - j.Need.GPUs) / m.Capacity.GPUs
	}
	return left
}
