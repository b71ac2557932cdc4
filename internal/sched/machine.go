package sched

import (
	"math"
	"slices"
	"sort"
	"time"
)

// RunningTask is a task on a machine.
type RunningTask struct {
	Need  Resources
	EndAt time.Duration // estimated; Never for services
}

// Never is the end of what has no end to wait for.
const Never = time.Duration(math.MaxInt64)

// Machine is a machine that may take tasks.
type Machine struct {
	ID           string
	Zone         string
	Free         Resources
	Capacity     Resources
	FetchGBPerS  float64       // open fetch rate, GB a second
	Running      []RunningTask // soonest end first
	Images       *Cache
	Fetching     []Fetch // fetches under way
	LocalQueue   []QueuedTask
	PricePerHour float64 // an hour, for all of it
	Spot         bool    // the cloud may take it back
	ServiceCPUs  float64 // CPUs of services on it: it can't be given back soon
	Ref          any     // whatever the caller needs to find its own record
	reserved     bool    // kept free in this round for a task at its skip limit
	priceClass   int     // of its price by the CPU, in this round
}

// IsReserved says whether m is kept free for a task at its skip limit or for a gang.
func (m *Machine) IsReserved() bool { return m.reserved }

// Fetch is an image on its way to a machine.
type Fetch struct {
	Image     string
	GB        float64
	StartedAt time.Duration
}

// QueuedTask is a task in a machine's local queue.
type QueuedTask struct {
	Job *Job
	// WaitDeadline is when the work that it waits for should be over; later it
	// returns to the global queue, since the estimate was wrong.
	WaitDeadline time.Duration
}

// remainingFetchGB is the work in GB that m's open fetches still have to do.
func (m *Machine) remainingFetchGB(now time.Duration) float64 {
	left := 0.0
	for _, f := range m.Fetching {
		left += f.GB
	}
	if len(m.Fetching) > 0 {
		left -= (now - m.Fetching[0].StartedAt).Seconds() * m.FetchGBPerS
	}
	return max(left, 0)
}

func (m *Machine) isFetching(image string) bool {
	for _, f := range m.Fetching {
		if f.Image == image {
			return true
		}
	}
	return false
}

// fetchTime is the design's estimate for a task of j on m from now on: image
// size over the open fetch rate, plus the fetches already under way.
func (m *Machine) fetchTime(now time.Duration, j *Job) time.Duration {
	if m.Images.Has(j.Image) {
		return 0
	}
	gb := m.remainingFetchGB(now)
	if !m.isFetching(j.Image) {
		gb += j.ImageGB
	}
	return time.Duration(gb / m.FetchGBPerS * float64(time.Second))
}

// holdsImage says whether j's image is on m or on its way there.
func (m *Machine) holdsImage(j *Job) bool { return m.Images.Has(j.Image) || m.isFetching(j.Image) }

// AddRunning notes one more running task, keeping Running in the order of the ends.
func (m *Machine) AddRunning(r RunningTask) {
	at := sort.Search(len(m.Running), func(i int) bool { return m.Running[i].EndAt > r.EndAt })
	m.Running = slices.Insert(m.Running, at, r)
}

// EstimateWait estimates how long until m has room for one more task of j behind its
// local queue.
func (m *Machine) EstimateWait(now time.Duration, j *Job) time.Duration {
	need := j.Need
	for _, q := range m.LocalQueue {
		need = need.Add(q.Job.Need)
	}
	if m.Free.Fits(need) {
		return 0
	}
	free := m.Free
	last := now
	next := 0 // of the local queue
	for _, r := range m.Running {
		if r.EndAt == Never {
			break
		}
		end := r.EndAt
		if end < now {
			end += 2 * (now - end) // overdue: as much again may be to come
		}
		last = max(last, end)
		free = free.Add(r.Need)
		for next < len(m.LocalQueue) && free.Fits(m.LocalQueue[next].Job.Need) {
			free = free.Sub(m.LocalQueue[next].Job.Need)
			next++
		}
		if next == len(m.LocalQueue) && free.Fits(j.Need) {
			return last - now
		}
	}
	return Never
}
