package sched

import (
	"math"
	"slices"
)

// Preference among machines on which a job's task would start equally soon.

// isBetter reports whether a is preferred to b for a task of j that would start
// equally soon on both. Tasks that would miss their goal if they had to restart go
// to machines that the cloud doesn't reclaim, and leave spot machines to other work.
// Otherwise work is packed on the machines in the lowest class of price per CPU, then
// on those that services keep in use anyway, then on the fullest, so that the other
// machines become empty and can be returned.
func isBetter(a, b *Machine, j *Job) bool {
	return isBetterWithLeftover(a, b, j, leftoverShare(a, j), leftoverShare(b, j))
}

// isBetterWithLeftover is isBetter with leftoverShare of both machines given.
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

// assignPriceClasses sorts the machines' prices per CPU into classes: a price that
// is at most a fifth above the next lower one is in the same class.
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

// leftoverShare returns the sum of the shares of m's CPUs, memory and GPUs that are
// still free after one more task of j is placed on it.
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
