package sched

// Resources is what a task needs, or what a machine has in total or left.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// roundingTolerance absorbs rounding errors from adding and subtracting decimal amounts
// many times.
const roundingTolerance = 1e-6

// Fits reports whether need fits in r, up to rounding errors.
func (r Resources) Fits(need Resources) bool {
	return need.CPUs <= r.CPUs+roundingTolerance && need.GPUs <= r.GPUs+roundingTolerance && need.MemoryGB <= r.MemoryGB+roundingTolerance
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	k := float64(n)
	return Resources{r.CPUs * k, r.GPUs * k, r.MemoryGB * k}
}
