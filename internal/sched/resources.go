package sched

// Resources is what a task needs, or what a machine has in total or left.
type Resources struct {
	CPUs, GPUs, MemoryGB float64
	// Tasks is the number of tasks, of which a machine takes a limited number. Amounts for
	// teams leave it out.
	Tasks int
}

// MaxTasksPerMachine is how many tasks a machine may have at once, however little each of
// them needs. It bounds the size of the worker's reports and of the orders to it.
const MaxTasksPerMachine = 1000

// MachineCapacity returns the capacity of a machine with these amounts.
func MachineCapacity(cpus, gpus, memoryGB float64) Resources {
	return Resources{CPUs: cpus, GPUs: gpus, MemoryGB: memoryGB, Tasks: MaxTasksPerMachine}
}

// roundingTolerance absorbs rounding errors from adding and subtracting decimal amounts
// many times.
const roundingTolerance = 1e-6

// Fits reports whether need fits in r, up to rounding errors.
func (r Resources) Fits(need Resources) bool {
	return need.CPUs <= r.CPUs+roundingTolerance && need.GPUs <= r.GPUs+roundingTolerance &&
		need.MemoryGB <= r.MemoryGB+roundingTolerance && need.Tasks <= r.Tasks
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB, r.Tasks + o.Tasks}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB, r.Tasks - o.Tasks}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	k := float64(n)
	return Resources{r.CPUs * k, r.GPUs * k, r.MemoryGB * k, r.Tasks * n}
}

// TasksThatFit returns how many tasks that take need each fit in free, limit at most. It
// divides instead of counting: users choose the needs, which may be 0 or too small to change
// the difference.
func TasksThatFit(free, need Resources, limit int) int {
	if limit <= 0 || !free.Fits(need) {
		return 0
	}
	count := float64(limit)
	for _, amount := range [][2]float64{{free.CPUs, need.CPUs}, {free.GPUs, need.GPUs}, {free.MemoryGB, need.MemoryGB}} {
		if amount[1] > 0 {
			count = min(count, (amount[0]+roundingTolerance)/amount[1])
		}
	}
	if need.Tasks > 0 {
		count = min(count, float64(free.Tasks/need.Tasks))
	}
	return int(count)
}
