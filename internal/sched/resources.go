package sched

// Resources is what a task takes or a machine has left.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// roundingTolerance absorbs the rounding of decimal amounts added and taken many times.
const roundingTolerance = 1e-6

// Fits says whether r holds need.
func (r Resources) Fits(need Resources) bool {
	return need.CPUs <= r.CPUs+roundingTolerance && need.GPUs <= r.GPUs+roundingTolerance && need.MemoryGB <= r.MemoryGB+roundingTolerance
}

// Add returns r with o added.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Sub returns r with o taken away.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// Times returns r taken n times.
func (r Resources) Times(n int) Resources {
	k := float64(n)
	return Resources{r.CPUs * k, r.GPUs * k, r.MemoryGB * k}
}
