package sched

import (
	"math"
	"slices"
)

// The order of machines that serve a job equally soon.

// isBetter orders machines that serve j equally soon. Work that can't afford to
// begin anew goes to machines that stay; the spot machines are left to what
// can. Otherwise work is drawn together on the machines that are cheapest by the CPU, then on those that services keep
// anyway, then on the fullest, so that the others run empty and can be given
// back.
func isBetter(a, b *Machine, j *Job) bool {
	return isBetterWithLeftover(a, b, j, leftoverShare(a, j), leftoverShare(b, j))
}

func isBetterWithLeftover(a, b *Machine, j *Job, leftA, leftB float64) bool {
	if j.RestartMissesGoal && a.Spot != b.Spot {
		return b.Spot
	}
	if a.priceClass != b.priceClass {
		return a.priceClass < b.priceClass
	}
	if sa, sb := a.ServiceCPUs > 0, b.ServiceCPUs > 0; sa != sb {
		return sa
	}
	if math.Abs(leftA-leftB) > roundingTolerance {
		return leftA < leftB
	}
	return a.ID < b.ID
}

// assignPriceClasses sorts the machines' prices by the CPU into classes: prices that
// follow one another within a fifth are alike.
func assignPriceClasses(machines []*Machine) {
	var prices []float64
	for _, m := range machines {
		if p := m.pricePerCPU(); !slices.Contains(prices, p) {
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
		at, _ := slices.BinarySearch(prices, m.pricePerCPU())
		m.priceClass = class[at]
	}
}

func (m *Machine) pricePerCPU() float64 { return m.PricePerHour / max(m.Capacity.CPUs, 1) }

func leftoverShare(m *Machine, j *Job) float64 {
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
