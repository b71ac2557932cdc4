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
	Seed         uint64
	Controllers  int
	Zones        []string
	Types        []model.MachineType
	Config       core.Config // Self, Peers and Boot are filled in
	RestartDelay time.Duration
	ListLag      time.Duration
	// Capacity is how many machines of each type and zone the cloud has.
	Capacity int
	// WorkerStepInterval is how often a worker looks after its tasks; 0 means 20 ms.
	WorkerStepInterval time.Duration
	// ConfigurePreviousVersion is how a controller of the former version is set up, if Config isn't
	// what that would make of the settings.
	ConfigurePreviousVersion func(*core.Config)
	// Tamper, if set, may change a node's effects: tests of the checker break
	// the service with it on purpose.
	Tamper func(w *Simulation, n *Controller, e core.Effect) core.Effect
}

// Simulation is everything outside the cores.
type Simulation struct {
	Options Options
	Now     time.Duration
	Rand    *rand.Rand
	queue   eventQueue
	seq     uint64

	Controllers []*Controller
	Store       *Store
	Cloud       *Cloud
	Workers     map[string]*Worker
	Users       *Users
	Checker     *Checker

	// LateReportCopyFraction is the part of the workers' reports of which a copy comes late.
	LateReportCopyFraction float64
	// RepeatFraction is the part of the requests carried out that come a second time,
	// late: commands, changes of the state service, calls to the cloud,
	// messages between controllers, users' submissions and cancellations. Nobody
	// gets the second answer.
	RepeatFraction float64

	// LateCommandFraction is the part of the direct commands that are held up on their way:
	// they get no answer and are carried out once, 2 to 16 s late, if epoch and
	// session still match.
	LateCommandFraction float64

	// NextStartRefusal is the reason for which the next start is refused, by whichever
	// machine; "": it isn't. Refusals counts them.
	NextStartRefusal string
	RefusedStarts    int

	// NextLeaderCopyFraction is the part of the workers' reports of which a copy is kept and
	// reaches every controller just as the next leader begins.
	NextLeaderCopyFraction float64
	reportsForNextLeader   []model.Report
	lastLeader             *Controller

	// OnPreviousVersion are the controllers that run the former version when they start.
	OnPreviousVersion map[string]bool

	links        map[[2]string]*link
	Trace        []string // what happened, for people to read
	TraceEnabled bool     // keep the trace
}

// DefaultOptions is a small deployment: three controllers in three zones.
func DefaultOptions(seed uint64) Options {
	zones := []string{"a", "b", "c"}
	return Options{
		Seed: seed, Controllers: 3, Zones: zones, RestartDelay: 3 * time.Second, ListLag: 5 * time.Second, Capacity: 4,
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
func New(opt Options) *Simulation {
	w := &Simulation{Options: opt, Rand: rand.New(rand.NewPCG(opt.Seed, 7)), Workers: map[string]*Worker{}, links: map[[2]string]*link{}}
	w.Checker = &Checker{sim: w, jobs: map[string]*jobRecord{}}
	w.Store = newStore(w)
	w.Cloud = &Cloud{sim: w, rentals: map[string][]string{}, machines: map[string]*rentedMachine{}}
	w.Users = &Users{sim: w}
	w.OnPreviousVersion = map[string]bool{}
	for i := 0; i < opt.Controllers; i++ {
		w.OnPreviousVersion[fmt.Sprintf("n%d", i)] = opt.ConfigurePreviousVersion != nil
		n := &Controller{sim: w, Name: fmt.Sprintf("n%d", i), index: i}
		w.Controllers = append(w.Controllers, n)
	}
	for _, n := range w.Controllers {
		n.Start()
	}
	w.deliverReportsToNextLeader()
	return w
}

// At runs f at time t.
func (w *Simulation) At(t time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{max(t, w.Now), w.seq, f})
}

// After runs f d from now.
func (w *Simulation) After(d time.Duration, f func()) { w.At(w.Now+d, f) }

// RunUntil plays the day until t.
func (w *Simulation) RunUntil(t time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= t {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.run()
	}
	w.Now = t
}

func (w *Simulation) tracef(format string, args ...any) {
	if w.TraceEnabled {
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
