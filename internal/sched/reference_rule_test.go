package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// referenceRule is the rule as the design tells it, task by task and machine by
// machine: slow, and the measure for the ranking that Round uses.
type referenceRule struct{ cfg Config }

func (r referenceRule) run(now time.Duration, jobs []*Job, machines []*Machine, env Env) {
	assignPriceClasses(machines)
	round := NewDispatcher(r.cfg)
	for _, m := range machines {
		m.reserved = false
		round.serveLocalQueue(now, m, env)
	}
	for _, j := range jobs {
		j.hasReservation = false
	}
	for i, j := range jobs {
		// A job that finds no place takes none from those it would pass.
		ahead := jobs[:i]
		if !slices.ContainsFunc(machines, func(m *Machine) bool { return !m.reserved && m.Free.Fits(j.Need) && env.Allowed(j, m) }) {
			ahead = nil
		}
		for j.Waiting > 0 && env.WithinLimit(j) && r.placeOne(round, now, ahead, j, machines, env) {
		}
	}
}

func (r referenceRule) placeOne(round *Dispatcher, now time.Duration, ahead []*Job, j *Job, machines []*Machine, env Env) bool {
	passed := earlierJobs(ahead, j, env)
	for _, a := range passed {
		if a.Skips >= r.cfg.SkipLimit && !a.hasReservation {
			round.reserveMachine(now, a, machines, env)
		}
	}
	var hit, free, busy *Machine
	freeCost, busyCost := Never, Never
	for _, m := range machines {
		switch {
		case m.reserved || !m.Capacity.Fits(j.Need) || !env.Allowed(j, m):
		case m.Free.Fits(j.Need) && m.Images.Has(j.Image):
			if hit == nil || isBetter(m, hit, j) {
				hit = m
			}
		case m.Free.Fits(j.Need):
			if c := m.fetchTime(now, j); free == nil || c < freeCost || c == freeCost && isBetter(m, free, j) {
				free, freeCost = m, c
			}
		case m.holdsImage(j):
			if w := m.EstimateWait(now, j); w < Never {
				if c := max(w, m.fetchTime(now, j)); c < busyCost {
					busy, busyCost = m, c
				}
			}
		}
	}
	atLimit := j.Skips >= r.cfg.SkipLimit
	path, to := Path(""), hit
	switch {
	case hit != nil && len(passed) > 0:
		path = PathSkipHit
	case hit != nil:
		path = PathHit
	case free == nil:
		if atLimit && !j.hasReservation {
			round.reserveMachine(now, j, machines, env)
		}
		return false
	case atLimit:
		path, to = PathSkipLimit, free
	case busyCost < freeCost:
		busy.LocalQueue = append(busy.LocalQueue, QueuedTask{Job: j, WaitDeadline: now + max(busyCost, time.Second)})
		j.Waiting--
		return true
	case len(passed) > 0:
		path, to = PathPassMiss, free
	default:
		path, to = PathFetch, free
	}
	if !env.Place(j, to, path) {
		return false
	}
	for _, a := range passed {
		a.Skips++
	}
	return true
}

// randomFleet is a random fleet with jobs, of a size that a test can play twice.
type randomFleet struct {
	scriptedDispatcher
	zoneOf      map[*Machine]int
	tasksByZone map[string]map[int]int // per job and zone
	maxPerZone  map[string]int         // most in one zone; 0: any
}

func (t *randomFleet) Allowed(j *Job, m *Machine) bool {
	most := t.maxPerZone[j.ID]
	return most == 0 || t.tasksByZone[j.ID][t.zoneOf[m]] < most
}

func (t *randomFleet) Place(j *Job, m *Machine, path Path) bool {
	if t.tasksByZone[j.ID] == nil {
		t.tasksByZone[j.ID] = map[int]int{}
	}
	t.tasksByZone[j.ID][t.zoneOf[m]]++
	j.Waiting--
	m.Free = m.Free.Sub(j.Need)
	end := Never
	if !j.IsService {
		end = t.now + j.Estimate
	}
	m.AddRunning(RunningTask{j.Need, end})
	if !m.holdsImage(j) {
		m.Fetching = append(m.Fetching, Fetch{j.Image, j.ImageGB, t.now})
	}
	fmt.Fprintf(&t.output, "%s -> %s (%s)\n", j.ID, m.ID, path)
	return true
}

func newRandomFleet(seed uint64) *randomFleet {
	rnd := rand.New(rand.NewPCG(seed, 3))
	t := &randomFleet{zoneOf: map[*Machine]int{}, tasksByZone: map[string]map[int]int{}, maxPerZone: map[string]int{}}
	t.now = 100 * time.Second
	image := func() (string, float64) { n := rnd.IntN(8); return fmt.Sprintf("img-%d", n), 1 + float64(n)/2 }
	for i := range 20 + rnd.IntN(100) {
		m := &Machine{ID: fmt.Sprintf("m%03d", i), FetchGBPerS: 0.5 + rnd.Float64(), Images: &Cache{SizeGB: 12}, Spot: rnd.IntN(4) == 0}
		m.Capacity = Resources{CPUs: []float64{4, 16}[rnd.IntN(2)], MemoryGB: 64}
		m.PricePerHour = m.Capacity.CPUs * []float64{0.04, 0.041, 0.018}[rnd.IntN(3)]
		m.Free = m.Capacity
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
			m.Fetching = append(m.Fetching, Fetch{name, gb, t.now - time.Second})
		}
		t.zoneOf[m] = rnd.IntN(3)
		t.machines = append(t.machines, m)
	}
	for i := range 1 + rnd.IntN(20) {
		name, gb := image()
		j := &Job{ID: fmt.Sprintf("j%02d", i), Rank: i / 4, Arrival: uint64(i), Image: name, ImageGB: gb,
			Need:    Resources{CPUs: []float64{1, 2, 4}[rnd.IntN(3)], MemoryGB: 3},
			Waiting: 1 + rnd.IntN(40), Estimate: time.Duration(5+rnd.IntN(60)) * time.Second, Skips: rnd.IntN(30), RestartMissesGoal: rnd.IntN(4) == 0}
		if rnd.IntN(4) == 0 {
			j.IsService, j.Waiting = true, 1+rnd.IntN(9)
			t.maxPerZone[j.ID] = (j.Waiting + 1) / 2
		}
		t.jobs = append(t.jobs, j)
	}
	return t
}

// advance lets time go by: what should have ended by then has.
func (t *randomFleet) advance(d time.Duration) {
	t.now += d
	for _, m := range t.machines {
		for len(m.Running) > 0 && m.Running[0].EndAt <= t.now {
			m.Free = m.Free.Add(m.Running[0].Need)
			m.Running = m.Running[1:]
		}
	}
}

func (t *randomFleet) result() string {
	for _, m := range t.machines {
		for _, q := range m.LocalQueue {
			fmt.Fprintf(&t.output, "%s waits at %s until %v\n", q.Job.ID, m.ID, q.WaitDeadline)
		}
	}
	for _, j := range t.jobs {
		fmt.Fprintf(&t.output, "%s: %d wait, %d skips\n", j.ID, j.Waiting, j.Skips)
	}
	return t.output.String()
}

// TestRankingMatchesReferenceRule: looking at each machine once a job, and
// only at those with room, must not change what is decided.
func TestRankingMatchesReferenceRule(t *testing.T) {
	paths := map[Path]int{}
	for seed := uint64(1); seed <= 300; seed++ {
		a, b := newRandomFleet(seed), newRandomFleet(seed)
		for range 3 { // later rounds begin with local queues and skips
			if !NewDispatcher(Config{SkipLimit: 25}).RunRound(a.now, a.jobs, a.machines, a) {
				t.Fatal("a round without a budget did not come to its end")
			}
			referenceRule{Config{SkipLimit: 25}}.run(b.now, b.jobs, b.machines, b)
			a.advance(7 * time.Second)
			b.advance(7 * time.Second)
		}
		ra, rb := a.result(), b.result()
		if ra != rb {
			la, lb := strings.Split(ra, "\n"), strings.Split(rb, "\n")
			for i := range la {
				if i >= len(lb) || la[i] != lb[i] {
					t.Fatalf("seed %d, line %d: ranked %q, plain %q", seed, i, la[i], lb[min(i, len(lb)-1)])
				}
			}
			t.Fatalf("seed %d: the plain rule decided more", seed)
		}
		for _, p := range []Path{PathHit, PathSkipHit, PathFetch, PathLocalQueue, PathSkipLimit, PathPassMiss} {
			paths[p] += strings.Count(ra, "("+string(p)+")")
		}
	}
	for _, p := range []Path{PathHit, PathSkipHit, PathFetch, PathLocalQueue, PathSkipLimit, PathPassMiss} {
		if paths[p] == 0 {
			t.Errorf("no start by path %s: the comparison leaves it out", p)
		}
	}
}
