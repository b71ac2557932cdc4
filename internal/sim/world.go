// Package sim simulates all that the service deals with — state
// service, cloud, workers, users and the network between them — on a virtual
// clock, and a checker of the rules. Whole-service tests run several cores
// against them: no sockets, no waiting, and the same seed gives the same day.
package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// Options describe a day.
type Options struct {
	Seed    uint64
	Nodes   int
	Zones   []string
	Types   []model.MachineType
	Config  core.Config // Self, Peers and Boot are filled in
	Restart time.Duration
	ListLag time.Duration
	// Capacity is how many machines of each type and zone the cloud has.
	Capacity int
	// Pace is how often a worker looks after its tasks; 0 means 20 ms.
	Pace time.Duration
	// Former is how a controller of the former version is set up, if Config isn't
	// what that would make of the settings.
	Former func(*core.Config)
	// Tamper, if set, may change a node's effects: tests of the checker break
	// the service with it on purpose.
	Tamper func(w *World, n *Node, e core.Effect) core.Effect
}

// World is everything outside the cores.
type World struct {
	Opt   Options
	Now   time.Duration
	Rnd   *rand.Rand
	queue events
	seq   uint64

	Nodes   []*Node
	Store   *Store
	Cloud   *Cloud
	Workers map[string]*Worker
	Users   *Users
	Check   *Checker

	// Copies is the part of the workers' reports of which a copy comes late.
	Copies float64
	// Repeats is the part of the requests carried out that come a second time,
	// late: commands, changes of the state service, calls to the cloud,
	// messages between controllers, users' submissions and cancellations. Nobody
	// gets the second answer.
	Repeats float64

	// LateCommands is the part of the direct commands that are held up on their way:
	// they get no answer and are carried out once, 2 to 16 s late, if epoch and
	// session still match.
	LateCommands float64

	// RefuseNext is the reason for which the next start is refused, by whichever
	// machine; "": it isn't. Refusals counts them.
	RefuseNext string
	Refusals   int

	// ForNext is the part of the workers' reports of which a copy is kept and
	// reaches every controller just as the next leader begins.
	ForNext float64
	kept    []model.Report
	led     *Node

	// Old are the controllers that run the former version when they start.
	Old map[string]bool

	links map[[2]string]*link
	Trace []string // what happened, for people to read
	Tell  bool     // keep the trace
}

// Defaults is a small deployment: three controllers in three zones.
func Defaults(seed uint64) Options {
	zones := []string{"a", "b", "c"}
	return Options{
		Seed: seed, Nodes: 3, Zones: zones, Restart: 3 * time.Second, ListLag: 5 * time.Second, Capacity: 4,
		Types: []model.MachineType{{
			Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 20, FetchGBPerS: 1, Price: 0.2, SpotPrice: 0.1, BootS: 10, Zones: zones,
		}},
		Config: core.Config{
			Teams:          map[string]core.Team{"t": {}, "tight": {}},
			MaxClockSkew:   time.Second,
			ReportInterval: 1500 * time.Millisecond, Lease: 10 * time.Second, CancelWithin: 30 * time.Second,
			GangWaitTimeout: 40 * time.Second, GangPeerTimeout: 5 * time.Second, Version: core.NewestVersion,
			StoreRPS: 150, StoreWriteRPS: 50, MaxValueBytes: 32 << 10, MaxTxnOps: 12, CloudRPS: 6, ListLag: 5 * time.Second,
			MaxDirectCommands: 64, MaxRequests: 800,
			Tuning: core.DefaultTuning(),
		},
	}
}

// New makes a world with all its controllers started.
func New(opt Options) *World {
	w := &World{Opt: opt, Rnd: rand.New(rand.NewPCG(opt.Seed, 7)), Workers: map[string]*Worker{}, links: map[[2]string]*link{}}
	w.Check = &Checker{w: w, jobs: map[string]*truth{}}
	w.Store = newStore(w)
	w.Cloud = &Cloud{w: w, rentals: map[string][]string{}, machines: map[string]*rented{}}
	w.Users = &Users{w: w}
	w.Old = map[string]bool{}
	for i := 0; i < opt.Nodes; i++ {
		w.Old[fmt.Sprintf("n%d", i)] = opt.Former != nil
		n := &Node{w: w, Name: fmt.Sprintf("n%d", i), index: i}
		w.Nodes = append(w.Nodes, n)
	}
	for _, n := range w.Nodes {
		n.Start()
	}
	w.deliverKept()
	return w
}

// At runs f at time t.
func (w *World) At(t time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{max(t, w.Now), w.seq, f})
}

// After runs f d from now.
func (w *World) After(d time.Duration, f func()) { w.At(w.Now+d, f) }

// Run plays the day until t.
func (w *World) Run(t time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= t {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.f()
	}
	w.Now = t
}

func (w *World) tell(format string, args ...any) {
	if w.Tell {
		w.Trace = append(w.Trace, fmt.Sprintf("%9.3f %s", w.Now.Seconds(), fmt.Sprintf(format, args...)))
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
