// Package sim simulates everything that the controllers communicate with: the
// state service, the cloud, workers, users and the network between them. It runs
// on a virtual clock, and a checker records violations of the protocol's rules.
// Whole-service tests run several controller cores against it without sockets or
// real waiting. The same seed always gives the same run.
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

// Options configure a simulation.
type Options struct {
	Seed        uint64
	Controllers int // number of controllers
	Zones       []string
	Types       []model.MachineType
	// Config is the configuration of every controller. Controller.Start sets Self,
	// Peers and Incarnation.
	Config core.Config
	// RestartDelay is the time from Controller.Crash to the next start of the process.
	RestartDelay time.Duration
	// ListLag is how old the cloud's list of machines is.
	ListLag time.Duration
	// Capacity is the number of machines that the cloud has of each type in each
	// zone, counted separately for spot and other machines.
	Capacity int
	// WorkerStepInterval is the time between two steps of a worker, in which it
	// advances its tasks and reports. 0 means 20 ms.
	WorkerStepInterval time.Duration
	// ConfigurePreviousVersion, if set, makes all controllers run the previous version of
	// the software at first. It changes a controller's copy of Config to what that version
	// makes of the same settings.
	ConfigurePreviousVersion func(*core.Config)
	// Tamper, if set, can replace the effects of a controller. Tests use it to break
	// the service on purpose or to observe the effects.
	Tamper func(s *Simulation, c *Controller, e core.Effect) core.Effect
}

// Simulation is a simulated cluster with its virtual clock.
type Simulation struct {
	Options Options
	Now     time.Duration // virtual time since the start of the simulation
	Rand    *rand.Rand
	queue   eventQueue
	seq     uint64 // number of the last event queued

	Controllers []*Controller
	Store       *Store
	Cloud       *Cloud
	Workers     map[string]*Worker
	Users       *Users
	Checker     *Checker

	// LateReportCopyFraction is the fraction of the workers' reports of which a late
	// copy arrives at a random controller.
	LateReportCopyFraction float64
	// RepeatFraction is the fraction of requests that are carried out a second time
	// later: commands, calls to the state service and the cloud, messages between
	// controllers, and users' submissions and cancellations. Any answer to the second
	// one is dropped.
	RepeatFraction float64

	// LateCommandFraction is the fraction of direct commands (orders that a worker gets
	// outside of answers to its reports) that the network delays by 2 to 16 s. They get no
	// answer. The worker carries them out once, unless it has a higher epoch or another
	// session by then.
	LateCommandFraction float64

	// KeepCommandCopies makes each worker keep copies of the direct commands that it has
	// answered. DeliverCommandCopies delivers them once more.
	KeepCommandCopies bool

	// NextStartRefusal, if not empty, is the cause with which the next start of a task
	// is refused, on any machine. RefusedStarts counts such refusals.
	NextStartRefusal string
	RefusedStarts    int

	// NextLeaderCopyFraction is the fraction of the workers' reports of which a copy is
	// kept and delivered to every controller when the next leader takes over.
	NextLeaderCopyFraction float64
	reportsForNextLeader   []model.Report
	lastLeader             *Controller // the leader that was last observed

	// OnPreviousVersion holds, by name, whether a controller runs the previous version of
	// the software from its next start on.
	OnPreviousVersion map[string]bool

	links        map[[2]string]*link // by sender and receiver
	Trace        []string            // log of the events, one line each
	TraceEnabled bool                // whether Trace is recorded
}

// DefaultOptions returns the options of a small deployment: three controllers, and
// machines of one type in three zones.
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

// New creates a simulation and starts all its controllers.
func New(options Options) *Simulation {
	s := &Simulation{Options: options, Rand: rand.New(rand.NewPCG(options.Seed, 7)), Workers: map[string]*Worker{}, links: map[[2]string]*link{}}
	s.Checker = &Checker{sim: s, jobs: map[string]*jobRecord{}}
	s.Store = newStore(s)
	s.Cloud = &Cloud{sim: s, rentals: map[string][]string{}, machines: map[string]*rentedMachine{}}
	s.Users = &Users{sim: s}
	s.OnPreviousVersion = map[string]bool{}
	for i := 0; i < options.Controllers; i++ {
		s.OnPreviousVersion[fmt.Sprintf("n%d", i)] = options.ConfigurePreviousVersion != nil
		c := &Controller{sim: s, Name: fmt.Sprintf("n%d", i), index: i}
		s.Controllers = append(s.Controllers, c)
	}
	for _, c := range s.Controllers {
		c.Start()
	}
	s.deliverReportsToNextLeader()
	return s
}

// At schedules f to run at time t, or at the current time if t has passed.
func (s *Simulation) At(t time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{max(t, s.Now), s.seq, f})
}

// After schedules f to run after the duration d.
func (s *Simulation) After(d time.Duration, f func()) { s.At(s.Now+d, f) }

// RunUntil runs all events up to and including time t and sets the clock to t.
func (s *Simulation) RunUntil(t time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= t {
		e := heap.Pop(&s.queue).(event)
		s.Now = e.at
		e.run()
	}
	s.Now = t
}

// tracef adds a line with the current time to the trace, if it is enabled.
func (s *Simulation) tracef(format string, args ...any) {
	if s.TraceEnabled {
		s.Trace = append(s.Trace, fmt.Sprintf("%9.3f %s", s.Now.Seconds(), fmt.Sprintf(format, args...)))
	}
}

// sortedKeys returns the keys of a map in lexical order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
