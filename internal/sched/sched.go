// Package sched is the dispatch rule of the design
// (docs/design.md): one global queue by arrival, a local queue per machine,
// hits first, the cheaper of waiting at a holder and fetching elsewhere, and
// out-of-order hits up to a skip limit. It is pure; callers hand in the time.
package sched

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Resources is what a task takes or a machine has left.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// slack absorbs the rounding of decimal amounts added and taken many times.
const slack = 1e-6

// Fits says whether r holds need.
func (r Resources) Fits(need Resources) bool {
	return need.CPUs <= r.CPUs+slack && need.GPUs <= r.GPUs+slack && need.MemoryGB <= r.MemoryGB+slack
}

// Add returns r with o added.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Sub returns r with o taken away.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// Job is a job with waiting tasks, as the dispatcher sees it. All tasks of a
// job are alike, so they share one entry in the global queue.
type Job struct {
	ID       string
	Rank     int    // 0 is the most urgent
	Arrival  uint64 // order of acceptance
	Need     Resources
	Image    string
	ImageGB  float64
	Estimate time.Duration // run time; 0 for services
	Endless  bool          // a service: runs until cancelled
	Gang     bool          // goes only when all its tasks fit now
	OneZone  bool          // a gang all of whose tasks must be in one zone
	Overdue  bool          // a gang for which machines are kept free
	Steady   bool          // a task that has to begin anew would come too late
	Waiting  int           // tasks in the global queue
	Skips    int           // times that a later task went first
	Ref      any           // whatever the caller needs to find its own record
	holding  bool          // a machine is kept free for it in this round
}

// Running is a task on a machine.
type Running struct {
	Need Resources
	End  time.Duration // estimated; Never for services
}

// Never is the end of what has no end to wait for.
const Never = time.Duration(math.MaxInt64)

// Machine is a machine that may take tasks.
type Machine struct {
	ID       string
	Zone     string
	Free     Resources
	Capacity Resources
	Rate     float64   // open fetch rate, GB a second
	Running  []Running // soonest end first
	Images   *Cache
	Fetching []Fetch // fetches under way
	Local    []Queued
	Price    float64 // an hour, for all of it
	Spot     bool    // the cloud may take it back
	Stays    float64 // CPUs of services on it: it can't be given back soon
	Ref      any     // whatever the caller needs to find its own record
	held     bool    // kept free in this round for a task at its skip limit
	class    int     // of its price by the CPU, in this round
}

// Held says whether m is kept free for a task at its skip limit or for a gang.
func (m *Machine) Held() bool { return m.held }

// Fetch is an image on its way to a machine.
type Fetch struct {
	Image string
	GB    float64
	Since time.Duration
}

// Queued is a task in a machine's local queue.
type Queued struct {
	Job *Job
	// Until is when the work that it waits for should be over; later it
	// returns to the global queue, since the estimate was wrong.
	Until time.Duration
}

// Config holds the operator's settings of the rule.
type Config struct {
	SkipLimit int
}

// Env is what the rule asks of its surroundings.
type Env interface {
	// Allowed says whether a task of j may be on m now: type, zone, kind,
	// spread and the job's other tasks. It does not look at room.
	Allowed(j *Job, m *Machine) bool
	// UnderLimit says whether j's team may use more now.
	UnderLimit(j *Job) bool
	// Place binds one waiting task of j to m; false if it can't after all.
	Place(j *Job, m *Machine, path Path) bool
	// Undo takes back what Place did for j in this round.
	Undo(j *Job)
	// Spent says that the round's time budget is used up.
	Spent() bool
}

// Path is the way by which a task came to its machine.
type Path string

// The paths of the rule, counted for the operator.
const (
	Hit      Path = "hit"       // head of the queue to a roomy holder
	SkipHit  Path = "skip_hit"  // hit ahead of earlier tasks
	Fetched  Path = "fetch"     // cheaper to fetch on a free machine
	FromWait Path = "local"     // from a local queue
	AtLimit  Path = "limit"     // passed SkipLimit times, went at once
	Together Path = "gang"      // with all the others of its job
	Passing  Path = "pass_miss" // exception: the tasks ahead fit nowhere now
)

// fetchLeft is the work in GB that m's open fetches still have to do.
func (m *Machine) fetchLeft(now time.Duration) float64 {
	left := 0.0
	for _, f := range m.Fetching {
		left += f.GB
	}
	if len(m.Fetching) > 0 {
		left -= (now - m.Fetching[0].Since).Seconds() * m.Rate
	}
	return max(left, 0)
}

func (m *Machine) fetches(image string) bool {
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
	gb := m.fetchLeft(now)
	if !m.fetches(j.Image) {
		gb += j.ImageGB
	}
	return time.Duration(gb / m.Rate * float64(time.Second))
}

// holds says whether j's image is on m or on its way there.
func (m *Machine) holds(j *Job) bool { return m.Images.Has(j.Image) || m.fetches(j.Image) }

// Add notes one more running task, keeping Running in the order of the ends.
func (m *Machine) Add(r Running) {
	at := sort.Search(len(m.Running), func(i int) bool { return m.Running[i].End > r.End })
	m.Running = slices.Insert(m.Running, at, r)
}

// Wait estimates how long until m has room for one more task of j behind its
// local queue.
func (m *Machine) Wait(now time.Duration, j *Job) time.Duration {
	need := j.Need
	for _, q := range m.Local {
		need = need.Add(q.Job.Need)
	}
	if m.Free.Fits(need) {
		return 0
	}
	free := m.Free
	last := now
	next := 0 // of the local queue
	for _, r := range m.Running {
		if r.End == Never {
			break
		}
		end := r.End
		if end < now {
			end += 2 * (now - end) // overdue: as much again may be to come
		}
		last = max(last, end)
		free = free.Add(r.Need)
		for next < len(m.Local) && free.Fits(m.Local[next].Job.Need) {
			free = free.Sub(m.Local[next].Job.Need)
			next++
		}
		if next == len(m.Local) && free.Fits(j.Need) {
			return last - now
		}
	}
	return Never
}

// Round is the state of one pass over the queue. A round that ran out of
// budget goes on at the job where it stopped.
type Round struct {
	cfg    Config
	resume bool
	last   string
	// held are the machines kept free for a gang since the last round.
	held, before map[*Machine]bool
}

// NewRound starts a dispatcher.
func NewRound(cfg Config) *Round { return &Round{cfg: cfg, held: map[*Machine]bool{}} }

// Run makes one round of decisions. Jobs must be in queue order (rank, then
// arrival). It returns true if the round came to its end.
func (r *Round) Run(now time.Duration, jobs []*Job, machines []*Machine, env Env) bool {
	classify(machines)
	for _, m := range machines {
		m.held = r.resume && r.held[m]
		switch {
		case r.held[m]:
			for _, q := range m.Local {
				q.Job.Waiting++ // elsewhere it may be served sooner
			}
			m.Local = nil
		case len(m.Local) > 0:
			r.serveLocal(now, m, env)
		}
	}
	if !r.resume {
		// The gang's turn comes, if it still waits; it stays with its machines.
		r.before, r.held = r.held, map[*Machine]bool{}
	}
	start := 0
	if r.resume {
		for i, j := range jobs {
			if j.ID == r.last {
				start = i
				break
			}
		}
	}
	r.resume = false
	for _, j := range jobs {
		j.holding = false
	}
	// Most machines of a busy fleet have no room for anything that waits: they
	// are looked at once a round, not once a task.
	roomy := withRoom(jobs[start:], machines)
	for i := start; i < len(jobs); i++ {
		j := jobs[i]
		if j.Waiting == 0 {
			continue
		}
		if env.Spent() {
			r.resume, r.last = true, j.ID
			return false
		}
		if j.Gang {
			r.gang(now, j, machines, env)
			continue
		}
		if !r.job(now, jobs[:i], j, machines, roomy, env) {
			r.resume, r.last = true, j.ID
			return false
		}
	}
	return true
}

// withRoom lists the machines that have room for the least that any job asks
// for in each respect.
func withRoom(jobs []*Job, machines []*Machine) []*Machine {
	least := Resources{math.Inf(1), math.Inf(1), math.Inf(1)}
	for _, j := range jobs {
		if j.Waiting > 0 {
			least.CPUs = min(least.CPUs, j.Need.CPUs)
			least.GPUs = min(least.GPUs, j.Need.GPUs)
			least.MemoryGB = min(least.MemoryGB, j.Need.MemoryGB)
		}
	}
	var roomy []*Machine
	for _, m := range machines {
		if m.Free.Fits(least) {
			roomy = append(roomy, m)
		}
	}
	return roomy
}

// gang sends all tasks of j on their way, or none of them. It knows neither
// local queues nor skips.
func (r *Round) gang(now time.Duration, j *Job, machines []*Machine, env Env) {
	if !env.UnderLimit(j) {
		return
	}
	places, ok := together(now, j, machines, env)
	if !ok {
		r.holdTogether(now, j, machines, env)
		return
	}
	for n := j.Waiting; j.Waiting > 0; {
		// Room is all that together looked at: what one task of the job means
		// for the next, by zone or limit, is asked again for each.
		var m *Machine
		for len(places) > 0 && m == nil {
			if p := places[0]; p.Free.Fits(j.Need) && env.Allowed(j, p) {
				m = p
			} else {
				places = places[1:]
			}
		}
		if m == nil || !env.UnderLimit(j) || !env.Place(j, m, Together) {
			env.Undo(j)
			j.Waiting = n
			return
		}
	}
}

// together lists the machines that have room for all waiting tasks of j, those
// first that have its image soonest, since the gang starts with its last image;
// all of one zone where it must be.
func together(now time.Duration, j *Job, machines []*Machine, env Env) ([]*Machine, bool) {
	var best []*Machine
	found, soonest := false, Never
	for _, zone := range zonesFor(j, machines) {
		var list []*Machine
		cost := map[*Machine]time.Duration{}
		for _, m := range machines {
			if !m.held && (zone == "" || m.Zone == zone) && m.Free.Fits(j.Need) && env.Allowed(j, m) {
				list = append(list, m)
				cost[m] = m.fetchTime(now, j)
			}
		}
		sort.SliceStable(list, func(a, b int) bool {
			if cost[list[a]] != cost[list[b]] {
				return cost[list[a]] < cost[list[b]]
			}
			return better(list[a], list[b], j)
		})
		room, last := 0, time.Duration(0)
		for _, m := range list {
			if room >= j.Waiting {
				break
			}
			room += tasksIn(m.Free, j.Need)
			last = cost[m]
		}
		if room >= j.Waiting && (!found || last < soonest) {
			best, found, soonest = list, true, last
		}
	}
	return best, found
}

// zonesFor lists the zones that are looked at one by one, in order; "" for all
// of them together.
func zonesFor(j *Job, machines []*Machine) []string {
	if !j.OneZone {
		return []string{""}
	}
	var zones []string
	for _, m := range machines {
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// tasksIn is how many tasks of one need room holds.
func tasksIn(room, need Resources) int {
	n := 0
	for room.Fits(need) && n < 1000 {
		room = room.Sub(need)
		n++
	}
	return n
}

// holdTogether keeps the machines free that should have room for the whole gang
// soonest: refilled bit by bit by the tasks of arrays, and by their own local
// queues, they never all had room at once. Only what one gang needs, and for one
// gang at a time.
func (r *Round) holdTogether(now time.Duration, j *Job, machines []*Machine, env Env) {
	if !j.Overdue || len(r.held) > 0 {
		return
	}
	var best []*Machine
	soonest := Never
	for _, zone := range zonesFor(j, machines) {
		var list []*Machine
		holds, wait := map[*Machine]int{}, map[*Machine]time.Duration{}
		for _, m := range machines {
			if m.held || zone != "" && m.Zone != zone || !env.Allowed(j, m) {
				continue
			}
			empty := m.Capacity
			empty.CPUs -= m.Stays // what stays on it makes no room
			n := min(tasksIn(empty, j.Need), j.Waiting)
			if n == 0 {
				continue
			}
			if w := m.freeIn(now, j.Need.Times(n)); w < Never {
				list = append(list, m)
				holds[m], wait[m] = n, w
			}
		}
		sort.SliceStable(list, func(a, b int) bool {
			if x, y := r.before[list[a]], r.before[list[b]]; x != y {
				return x
			}
			if wait[list[a]] != wait[list[b]] {
				return wait[list[a]] < wait[list[b]]
			}
			return better(list[a], list[b], j)
		})
		room := 0
		for i, m := range list {
			if room += holds[m]; room >= j.Waiting {
				last := time.Duration(0)
				for _, m := range list[:i+1] {
					if !r.before[m] {
						last = max(last, wait[m])
					}
				}
				if last < soonest {
					best, soonest = list[:i+1], last
				}
				break
			}
		}
	}
	for _, m := range best {
		m.held = true
		r.held[m] = true
	}
}

// freeIn estimates how long until m has so much room, if nothing more comes to it.
func (m *Machine) freeIn(now time.Duration, need Resources) time.Duration {
	free, last := m.Free, now
	for _, r := range m.Running {
		if free.Fits(need) || r.End == Never {
			break
		}
		end := r.End
		if end < now {
			end += 2 * (now - end) // overdue: as much again may be to come
		}
		last = max(last, end)
		free = free.Add(r.Need)
	}
	if !free.Fits(need) {
		return Never
	}
	return last - now
}

// Times returns r taken n times.
func (r Resources) Times(n int) Resources {
	k := float64(n)
	return Resources{r.CPUs * k, r.GPUs * k, r.MemoryGB * k}
}

// serveLocal gives m's room to its local queue first, and returns what has
// waited longer than estimated to the global queue.
func (r *Round) serveLocal(now time.Duration, m *Machine, env Env) {
	for len(m.Local) > 0 {
		q := m.Local[0]
		if m.Free.Fits(q.Job.Need) && env.UnderLimit(q.Job) && env.Allowed(q.Job, m) {
			m.Local = m.Local[1:]
			q.Job.Waiting++
			if env.Place(q.Job, m, FromWait) {
				continue
			}
			return
		}
		break
	}
	kept := m.Local[:0]
	for _, q := range m.Local {
		if now >= q.Until {
			q.Job.Waiting++
			continue
		}
		kept = append(kept, q)
	}
	m.Local = kept
}

// job sends tasks of j on their way, as many as the rule lets go now. ahead
// are the jobs before it. False: the round's budget is used up. The tasks are
// alike, so the machines are ranked for all of them at once, and a placement
// changes the rank of one machine only.
func (r *Round) job(now time.Duration, ahead []*Job, j *Job, machines, roomy []*Machine, env Env) bool {
	if !env.UnderLimit(j) {
		return true // passed without counting a skip
	}
	c := newChoices(now, j, roomy, env)
	var passed []*Job
	if len(c.list) > 0 {
		passed = earlier(ahead, j, env)
	}
	for first := true; j.Waiting > 0; first = false {
		if !first {
			if env.Spent() {
				return false
			}
			if !env.UnderLimit(j) {
				return true
			}
		}
		for _, a := range passed {
			if a.Skips >= r.cfg.SkipLimit && !a.holding {
				r.hold(now, a, machines, env)
			}
		}
		atLimit := j.Skips >= r.cfg.SkipLimit
		best, ok := c.best(env)
		if !ok {
			// Without a roomy machine there is nothing to compare with: the
			// dispatcher runs when a task waits and a machine has room for it.
			// A task that took to a holder's queue then was stuck behind one
			// estimate while machines became free elsewhere.
			if atLimit && !j.holding && len(roomy) > 0 {
				r.hold(now, j, machines, env)
			}
			return true
		}
		path := Hit
		switch {
		case best.hit && len(passed) > 0:
			path = SkipHit
		case best.hit:
		case atLimit:
			path = AtLimit
		default:
			if busy, cost := c.soonestHolder(machines, env); cost < best.cost {
				busy.Local = append(busy.Local, Queued{Job: j, Until: now + max(cost, time.Second)})
				j.Waiting--
				c.holderChanged(busy)
				continue
			}
			// Only a hit may overtake on the ordinary path. The exception: the
			// tasks ahead found no machine in this very round, so holding this
			// one back would leave the machine idle and help nobody.
			path = Fetched
			if len(passed) > 0 {
				path = Passing
			}
		}
		if !env.Place(j, best.m, path) {
			return true
		}
		for _, a := range passed {
			a.Skips++
		}
		c.placed()
	}
	return true
}

// hold keeps the machine that should have room soonest free for a task at its
// skip limit, which would otherwise starve behind smaller ones.
func (r *Round) hold(now time.Duration, j *Job, machines []*Machine, env Env) {
	j.holding = true
	var best *Machine
	soonest := Never
	for _, m := range machines {
		if m.held || !m.Capacity.Fits(j.Need) || !env.Allowed(j, m) {
			continue
		}
		if w := m.Wait(now, j); w < soonest {
			best, soonest = m, w
		}
	}
	if best != nil {
		best.held = true
	}
}

// earlier lists the jobs of the same rank ahead of j that still wait and are
// not held back by their team's limit.
func earlier(ahead []*Job, j *Job, env Env) []*Job {
	var out []*Job
	for _, a := range ahead {
		if !a.Gang && a.Rank == j.Rank && a.Waiting > 0 && env.UnderLimit(a) {
			out = append(out, a)
		}
	}
	return out
}

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
