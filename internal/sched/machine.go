package sched

import (
	"math"
	"slices"
	"sort"
	"time"

	"mulleinfall/internal/model"
)

// RunningTask is a task that takes capacity of a machine, whether it runs already or not.
type RunningTask struct {
	Need  Resources
	EndAt time.Duration // estimated; Never for services
}

// Never is the EndAt of services. As a wait, it means that the tasks with an estimated
// end don't free enough capacity.
const Never = time.Duration(math.MaxInt64)

// Machine is a machine on which tasks may be placed.
type Machine struct {
	ID           string
	Zone         string
	Free         Resources
	Capacity     Resources
	FetchGBPerS  float64       // rate at which the machine fetches images
	Running      []RunningTask // sorted by EndAt
	Images       *Cache
	Fetching     []Fetch // fetches under way, the oldest first
	LocalQueue   []QueuedTask
	StartDelay   time.Duration // until the start of a task that is placed on it now reaches it
	PricePerHour float64       // of the whole machine
	Spot         bool          // the cloud may reclaim it
	ServiceCPUs  float64       // CPUs of the services on it, which keep it from being returned soon
	Ref          any           // the caller's own record of the machine
	reserved     bool          // for a task at its skip limit or for a gang, by the last call of RunRound
	priceClass   int           // see assignPriceClasses; set at the beginning of RunRound
}

// IsReserved reports whether the last call of RunRound has left m reserved for a task at
// its skip limit or for a gang.
func (m *Machine) IsReserved() bool { return m.reserved }

// Fetch is the fetch of an image to a machine.
type Fetch struct {
	Image     string
	GB        float64
	StartedAt time.Duration // when the first task that needs it was placed on the machine
}

// QueuedTask is a task in a machine's local queue.
type QueuedTask struct {
	Job *Job
	// WaitDeadline is when the work that the task waits for should have ended. After
	// that the estimate was wrong, and the task returns to the global queue.
	WaitDeadline time.Duration
}

// remainingFetchGB estimates how many GB the fetches under way on m have left. It
// assumes that m has worked on them at its full rate since the oldest was started.
func (m *Machine) remainingFetchGB(now time.Duration) float64 {
	remaining := 0.0
	for _, f := range m.Fetching {
		remaining += f.GB
	}
	if len(m.Fetching) > 0 {
		remaining -= (now - m.Fetching[0].StartedAt).Seconds() * m.FetchGBPerS
	}
	return max(remaining, 0)
}

func (m *Machine) isFetching(image string) bool {
	for _, f := range m.Fetching {
		if f.Image == image {
			return true
		}
	}
	return false
}

// fetchTime estimates how long a task of j that is placed on m now waits for its
// image: what the fetches under way have left, plus the size of the image unless it is
// one of them, divided by the fetch rate. It is 0 if m has the image.
func (m *Machine) fetchTime(now time.Duration, j *Job) time.Duration {
	if m.Images.Has(j.Image) {
		return 0
	}
	gb := m.remainingFetchGB(now)
	if !m.isFetching(j.Image) {
		gb += j.ImageGB
	}
	return model.Duration(gb / m.FetchGBPerS)
}

// hasOrFetchesImage reports whether m has j's image or is fetching it.
func (m *Machine) hasOrFetchesImage(j *Job) bool {
	return m.Images.Has(j.Image) || m.isFetching(j.Image)
}

// AddRunning adds a running task and keeps Running sorted.
func (m *Machine) AddRunning(r RunningTask) {
	at := sort.Search(len(m.Running), func(i int) bool { return m.Running[i].EndAt > r.EndAt })
	m.Running = slices.Insert(m.Running, at, r)
}

// EstimateWait estimates how long it takes until m has capacity for one more task
// of j after all tasks of its local queue. It returns Never if the running tasks that
// have an estimated end don't free enough.
func (m *Machine) EstimateWait(now time.Duration, j *Job) time.Duration {
	need := j.Need
	for _, q := range m.LocalQueue {
		need = need.Add(q.Job.Need)
	}
	if m.Free.Fits(need) {
		return 0
	}
	free := m.Free
	latestEnd := now
	nextQueued := 0 // index in the local queue of the next task to start
	for _, r := range m.Running {
		if r.EndAt == Never {
			break
		}
		end := r.EndAt
		if end < now {
			end += 2 * (now - end) // overdue: assume that it takes as long again as it is late
		}
		latestEnd = max(latestEnd, end)
		free = free.Add(r.Need)
		for nextQueued < len(m.LocalQueue) && free.Fits(m.LocalQueue[nextQueued].Job.Need) {
			free = free.Sub(m.LocalQueue[nextQueued].Job.Need)
			nextQueued++
		}
		if nextQueued == len(m.LocalQueue) && free.Fits(j.Need) {
			return latestEnd - now
		}
	}
	return Never
}
