package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// referenceRule applies the dispatch rule (see the package comment) task by task and
// machine by machine, without gangs. It is slow, and the Dispatcher with its ranking must
// decide the same.
type referenceRule struct{ cfg Config }

func (r referenceRule) run(now time.Duration, jobs []*Job, machines []*Machine, env Env) {
	assignPriceClasses(machines)
	dispatcher := NewDispatcher(r.cfg)
	for _, m := range machines {
		m.reserved = false
		dispatcher.serveLocalQueue(now, m, env)
	}
	for _, j := range jobs {
		j.reservationTried = false
	}
	for i, j := range jobs {
		// If no machine is free for the job, none of its tasks is placed. So it skips no
		// job ahead of it, and no machine is reserved for one.
		ahead := jobs[:i]
		if !slices.ContainsFunc(machines, func(m *Machine) bool { return !m.reserved && m.Free.Fits(j.Need) && env.Allowed(j, m) }) {
			ahead = nil
		}
		for j.Waiting > 0 && env.WithinLimit(j) && r.placeOne(dispatcher, now, ahead, j, machines, env) {
		}
	}
}

// placeOne places one task of j, or lets it join a local queue. It returns false if the
// task could do neither.
func (r referenceRule) placeOne(dispatcher *Dispatcher, now time.Duration, ahead []*Job, j *Job, machines []*Machine, env Env) bool {
	skipped := earlierJobs(ahead, j, env)
	for _, a := range skipped {
		if a.Skips >= r.cfg.SkipLimit && !a.reservationTried {
			dispatcher.reserveMachine(now, a, machines, env)
		}
	}
	var hit, free, holder *Machine
	fetchDelay, holderDelay := Never, Never
	for _, m := range machines {
		switch {
		case m.reserved || !m.Capacity.Fits(j.Need) || !env.Allowed(j, m):
		case m.Free.Fits(j.Need) && m.Images.Has(j.Image):
			if hit == nil || startsSooner(m, hit, m.StartDelay, hit.StartDelay, j) {
				hit = m
			}
		case m.Free.Fits(j.Need):
			if delay := m.StartDelay + m.fetchTime(now, j); free == nil || startsSooner(m, free, delay, fetchDelay, j) {
				free, fetchDelay = m, delay
			}
		case m.hasOrFetchesImage(j):
			if wait := m.EstimateWait(now, j); wait < Never {
				if delay := max(wait, m.fetchTime(now, j)); delay < holderDelay {
					holder, holderDelay = m, delay
				}
			}
		}
	}
	atLimit := j.Skips >= r.cfg.SkipLimit
	path, target := Path(""), hit
	switch {
	case hit != nil && len(skipped) > 0:
		path = PathSkipHit
	case hit != nil:
		path = PathHit
	case free == nil:
		if atLimit && !j.reservationTried {
			dispatcher.reserveMachine(now, j, machines, env)
		}
		return false
	case atLimit:
		path, target = PathSkipLimit, free
	case holderDelay < fetchDelay:
		holder.LocalQueue = append(holder.LocalQueue, QueuedTask{Job: j, WaitDeadline: now + max(holderDelay, time.Second)})
		j.Waiting--
		return true
	case len(skipped) > 0:
		path, target = PathPassMiss, free
	default:
		path, target = PathFetch, free
	}
	if !env.Place(j, target, path) {
		return false
	}
	for _, a := range skipped {
		a.Skips++
	}
	return true
}

// startsSooner says whether m is preferred to other for a task of j, given the delays until the
// task could run on them.
func startsSooner(m, other *Machine, delay, otherDelay time.Duration, j *Job) bool {
	return delay < otherDelay || delay == otherDelay && isBetter(m, other, j)
}

// randomFleet is a random fleet with jobs, small enough to simulate twice. It implements
// Env and records the decisions.
type randomFleet struct {
	scriptedDispatcher
	zoneOf      map[*Machine]int
	tasksByZone map[string]map[int]int // by job, then zone
	maxPerZone  map[string]int         // tasks of a job in one zone; 0: no limit
}

func (f *randomFleet) Allowed(j *Job, m *Machine) bool {
	maxTasks := f.maxPerZone[j.ID]
	return maxTasks == 0 || f.tasksByZone[j.ID][f.zoneOf[m]] < maxTasks
}

func (f *randomFleet) Place(j *Job, m *Machine, path Path) bool {
	if f.tasksByZone[j.ID] == nil {
		f.tasksByZone[j.ID] = map[int]int{}
	}
	f.tasksByZone[j.ID][f.zoneOf[m]]++
	j.Waiting--
	m.Free = m.Free.Sub(j.Need)
	end := Never
	if !j.IsService {
		end = f.now + j.Estimate
	}
	m.AddRunning(RunningTask{j.Need, end})
	if !m.hasOrFetchesImage(j) {
		m.Fetching = append(m.Fetching, Fetch{j.Image, j.ImageGB, f.now})
	}
	fmt.Fprintf(&f.output, "%s -> %s (%s)\n", j.ID, m.ID, path)
	return true
}

func newRandomFleet(seed uint64) *randomFleet {
	rnd := rand.New(rand.NewPCG(seed, 3))
	f := &randomFleet{zoneOf: map[*Machine]int{}, tasksByZone: map[string]map[int]int{}, maxPerZone: map[string]int{}}
	f.now = 100 * time.Second
	image := func() (string, float64) { n := rnd.IntN(8); return fmt.Sprintf("img-%d", n), 1 + float64(n)/2 }
	for i := range 20 + rnd.IntN(100) {
		m := &Machine{ID: fmt.Sprintf("m%03d", i), FetchGBPerS: 0.5 + rnd.Float64(), Images: &Cache{SizeGB: 12}, Spot: rnd.IntN(4) == 0}
		m.Capacity = Resources{CPUs: []float64{4, 16}[rnd.IntN(2)], MemoryGB: 64}
		m.PricePerHour = m.Capacity.CPUs * []float64{0.04, 0.041, 0.018}[rnd.IntN(3)]
		m.Free = m.Capacity
		m.StartDelay = time.Duration(rnd.IntN(3)/2*3) * time.Second // every third machine gets starts late
		for range rnd.IntN(4) {
			name, gb := image()
			m.Images.Use(name, gb)
		}
		for m.Free.CPUs >= 1 && rnd.IntN(5) > 0 {
			need := Resources{CPUs: 1, MemoryGB: 3}
			m.AddRunning(RunningTask{need, time.Duration(80+rnd.IntN(60)) * time.Second})
			m.Free = m.Free.Sub(need)
		}
		if rnd.IntN(4) == 0 && m.Free.CPUs >= 2 {
			m.ServiceCPUs = 2
			m.AddRunning(RunningTask{Resources{CPUs: 2, MemoryGB: 4}, Never})
			m.Free = m.Free.Sub(Resources{CPUs: 2, MemoryGB: 4})
		}
		if rnd.IntN(5) == 0 {
			name, gb := image()
			m.Fetching = append(m.Fetching, Fetch{name, gb, f.now - time.Second})
		}
		f.zoneOf[m] = rnd.IntN(3)
		f.machines = append(f.machines, m)
	}
	for i := range 1 + rnd.IntN(20) {
		name, gb := image()
		j := &Job{ID: fmt.Sprintf("j%02d", i), Rank: i / 4, Arrival: uint64(i), Image: name, ImageGB: gb,
			Need:    Resources{CPUs: []float64{1, 2, 4}[rnd.IntN(3)], MemoryGB: 3},
			Waiting: 1 + rnd.IntN(40), Estimate: time.Duration(5+rnd.IntN(60)) * time.Second, Skips: rnd.IntN(30), RestartMissesGoal: rnd.IntN(4) == 0}
		if rnd.IntN(4) == 0 {
			j.IsService, j.Waiting = true, 1+rnd.IntN(9)
			f.maxPerZone[j.ID] = (j.Waiting + 1) / 2
		}
		f.jobs = append(f.jobs, j)
	}
	return f
}

// advance moves the clock forward and ends the tasks whose end time has passed.
func (f *randomFleet) advance(d time.Duration) {
	f.now += d
	for _, m := range f.machines {
		for len(m.Running) > 0 && m.Running[0].EndAt <= f.now {
			m.Free = m.Free.Add(m.Running[0].Need)
			m.Running = m.Running[1:]
		}
	}
}

func (f *randomFleet) result() string {
	for _, m := range f.machines {
		for _, q := range m.LocalQueue {
			fmt.Fprintf(&f.output, "%s waits at %s until %v\n", q.Job.ID, m.ID, q.WaitDeadline)
		}
	}
	for _, j := range f.jobs {
		fmt.Fprintf(&f.output, "%s: %d wait, %d skips\n", j.ID, j.Waiting, j.Skips)
	}
	return f.output.String()
}

// TestRankingMatchesReferenceRule guards against decisions that differ from the
// dispatch rule because the dispatcher looks at each machine only once per job, and
// only at machines with free capacity.
func TestRankingMatchesReferenceRule(t *testing.T) {
	paths := map[Path]int{}
	for seed := uint64(1); seed <= 300; seed++ {
		ranked, reference := newRandomFleet(seed), newRandomFleet(seed)
		for range 3 { // later rounds start with local queues and skips
			if !NewDispatcher(Config{SkipLimit: 25}).RunRound(ranked.now, ranked.jobs, ranked.machines, ranked) {
				t.Fatal("round without a budget: got incomplete, want complete")
			}
			referenceRule{Config{SkipLimit: 25}}.run(reference.now, reference.jobs, reference.machines, reference)
			ranked.advance(7 * time.Second)
			reference.advance(7 * time.Second)
		}
		rankedResult, referenceResult := ranked.result(), reference.result()
		if rankedResult != referenceResult {
			rankedLines, referenceLines := strings.Split(rankedResult, "\n"), strings.Split(referenceResult, "\n")
			for i := range rankedLines {
				if i >= len(referenceLines) || rankedLines[i] != referenceLines[i] {
					t.Fatalf("seed %d, line %d: dispatcher got %q, reference rule wants %q", seed, i, rankedLines[i], referenceLines[min(i, len(referenceLines)-1)])
				}
			}
			t.Fatalf("seed %d: got fewer decisions than the reference rule makes", seed)
		}
		for _, p := range []Path{PathHit, PathSkipHit, PathFetch, PathLocalQueue, PathSkipLimit, PathPassMiss} {
			paths[p] += strings.Count(rankedResult, "("+string(p)+")")
		}
	}
	for _, p := range []Path{PathHit, PathSkipHit, PathFetch, PathLocalQueue, PathSkipLimit, PathPassMiss} {
		if paths[p] == 0 {
			t.Errorf("path %s: got no placement, want at least one, or the comparison doesn't cover it", p)
		}
	}
}
