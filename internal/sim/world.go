// Package sim simulates all that the service deals with — state
// service, cloud, workers, users and the network between them — on a virtual
// clock, and a checker of the rules. Whole-service tests run several cores
// against them: no sockets, no waiting, and the same seed gives the same day.
package sim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
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

type event struct {
	at  time.Duration
	seq uint64
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].seq < e[b].seq
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Defaults is a small deployment: three controllers in three zones.
func Defaults(seed uint64) Options {
	zones := []string{"a", "b", "c"}
	return Options{
		Seed: seed, Nodes: 3, Zones: zones, Restart: 3 * time.Second, ListLag: 5 * time.Second, Capacity: 4,
		Types: []model.MachineType{{
			Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 20, FetchRate: 1, Price: 0.2, SpotPrice: 0.1, BootS: 10, ZonesAvail: zones,
		}},
		Config: core.Config{
			Teams:       map[string]core.Team{"t": {}, "tight": {}},
			Skew:        time.Second,
			ReportEvery: 1500 * time.Millisecond, Lease: 10 * time.Second, CancelIn: 30 * time.Second,
			GangWait: 40 * time.Second, GangPeer: 5 * time.Second, Version: core.NewestVersion,
			StoreRPS: 150, StoreWrites: 50, ValueBytes: 32 << 10, TxnOps: 12, CloudRPS: 6, ListLag: 5 * time.Second,
			Directs: 64, Requests: 800,
			Tuning: core.DefaultTuning(),
		},
	}
}

// New makes a world with all its controllers started.
func New(opt Options) *World {
	w := &World{Opt: opt, Rnd: rand.New(rand.NewPCG(opt.Seed, 7)), Workers: map[string]*Worker{}, links: map[[2]string]*link{}}
	w.Check = &Checker{w: w, jobs: map[string]*truth{}}
	w.Store = newStore(w)
	w.Cloud = &Cloud{w: w, hires: map[string][]string{}, machines: map[string]*rented{}}
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

// link is a direction of the network between two hosts.
type link struct {
	mode string // "", "drop" or "hold"
	held []func()
}

// Cut breaks the network between two hosts, both ways. mode "drop" loses
// packets, "hold" delivers them when the cut is healed.
func (w *World) Cut(a, b, mode string) {
	w.link(a, b).mode = mode
	w.link(b, a).mode = mode
}

// Heal mends it; what was held is delivered late.
func (w *World) Heal(a, b string) {
	for _, l := range []*link{w.link(a, b), w.link(b, a)} {
		l.mode = ""
		held := l.held
		l.held = nil
		for _, f := range held {
			w.After(w.latency(), f)
		}
	}
}

func (w *World) link(a, b string) *link {
	k := [2]string{a, b}
	if w.links[k] == nil {
		w.links[k] = &link{}
	}
	return w.links[k]
}

func (w *World) latency() time.Duration {
	return time.Millisecond + time.Duration(w.Rnd.Int64N(int64(4*time.Millisecond)))
}

// send delivers f from a to b, or not.
func (w *World) send(a, b string, f func()) {
	l := w.link(a, b)
	switch l.mode {
	case "drop":
	case "hold":
		l.held = append(l.held, f)
	default:
		w.After(w.latency(), f)
	}
}

// repeat runs f once more, by a moment or by well over a lease later, for a
// part of the requests.
func (w *World) repeat(f func()) {
	if w.Repeats > 0 && w.Rnd.Float64() < w.Repeats {
		w.After(time.Second+time.Duration(w.Rnd.Int64N(int64(3*w.Opt.Config.Lease))), f)
	}
}

// Node runs a core.
type Node struct {
	w     *World
	Name  string
	index int
	life  int
	State *core.State
	asks  map[uint64]func(core.Reply)
	req   uint64
	Boots int
	still *pause  // stands still
	old   bool    // runs the former version
	skew  float64 // of the steady clock
	wall  float64 // of the time of day, in parts of its bound
}

// Up says whether the process runs.
func (n *Node) Up() bool { return n.State != nil }

func (n *Node) clock() time.Duration {
	return time.Duration(float64(n.w.Now) * (1 + n.skew))
}

// Start starts the process.
func (n *Node) Start() {
	cfg := n.w.Opt.Config
	cfg.Self = n.Name
	cfg.Boot = n.w.Opt.Seed*1000 + uint64(n.index*100+n.Boots)
	for _, o := range n.w.Nodes {
		if o != n {
			cfg.Peers = append(cfg.Peers, o.Name)
		}
	}
	n.old = n.w.Old[n.Name]
	if n.old {
		cfg.Version = 0
		n.w.Opt.Former(&cfg)
	}
	n.Boots++
	n.life++
	n.skew = (n.w.Rnd.Float64() - 0.5) * core.Drift
	n.wall = (n.w.Rnd.Float64() - 0.5) * 1.4
	n.asks = map[uint64]func(core.Reply){}
	n.State = core.New(cfg, n.clock())
	n.w.tell("%s starts", n.Name)
	n.tick(n.life)
}

// Crash kills the process; it starts again after the restart delay.
func (n *Node) Crash() { n.CrashFor(n.w.Opt.Restart) }

// CrashFor kills the process; it starts again after d.
func (n *Node) CrashFor(d time.Duration) {
	if n.State == nil {
		return
	}
	n.w.tell("%s crashes", n.Name)
	n.State, n.still = nil, nil
	n.life++
	n.w.After(d, func() {
		if n.State == nil {
			n.Start()
		}
	})
}

// pause is what a process that stands still has left undone.
type pause struct {
	begun  bool          // the step that it stands still in was made
	out    []core.Effect // of that step: worked out before, carried out after
	events []core.Event
}

// Freeze has the process stand still for d while clocks run on: in the middle
// of its next step, between the decision and what is done about it.
func (n *Node) Freeze(d time.Duration) {
	if n.State == nil || n.still != nil {
		return
	}
	n.w.tell("%s stands still", n.Name)
	n.still = &pause{}
	life := n.life
	n.w.After(d, func() {
		p := n.still
		if n.life != life || p == nil {
			return
		}
		n.still = nil
		n.w.tell("%s goes on", n.Name)
		for _, e := range p.out {
			n.effect(e)
		}
		for _, ev := range p.events {
			n.Step(ev)
		}
	})
}

func (n *Node) tick(life int) {
	if n.life != life || n.State == nil {
		return
	}
	// The time of day wanders within its bound.
	off := (n.wall + 0.3*math.Sin(n.w.Now.Seconds()/17+float64(n.index))) * n.w.Opt.Config.Skew.Seconds()
	n.Step(core.Tick{Wall: n.w.Now.Milliseconds() + 1e9 + int64(1000*off)})
	n.w.After(50*time.Millisecond, func() { n.tick(life) })
}

// Step feeds the core an event and carries its effects out.
func (n *Node) Step(ev core.Event) {
	if n.State == nil {
		return
	}
	if p := n.still; p != nil && p.begun {
		if _, tick := ev.(core.Tick); !tick { // a ticker drops what isn't taken
			p.events = append(p.events, ev)
		}
		return
	}
	for _, e := range n.State.Step(n.clock(), ev) {
		if n.w.Opt.Tamper != nil {
			e = n.w.Opt.Tamper(n.w, n, e)
		}
		if p := n.still; p != nil {
			p.begun = true
			p.out = append(p.out, e)
			continue
		}
		n.effect(e)
	}
}

// later posts an event to this life of the process.
func (n *Node) later(ev core.Event) {
	n.Step(ev)
}

func (n *Node) effect(e core.Effect) {
	w, life := n.w, n.life
	alive := func(f func()) func() {
		return func() {
			if n.life == life && n.State != nil {
				f()
			}
		}
	}
	switch e := e.(type) {
	case core.Reply:
		if f := n.asks[e.Req]; f != nil {
			delete(n.asks, e.Req)
			f(e)
		}
	case core.StoreCall:
		w.send(n.Name, "state", func() {
			w.Store.serve(n.Name, e, func(d core.StoreDone) {
				w.send("state", n.Name, alive(func() { n.later(d) }))
			})
			w.repeat(func() { w.Store.serve(n.Name, e, func(core.StoreDone) {}) })
		})
		w.After(e.Timeout, alive(func() { n.later(core.StoreDone{Call: e.Call}) }))
	case core.CloudCall:
		w.send(n.Name, "cloud", func() {
			d := w.Cloud.serve(e)
			w.repeat(func() { w.Cloud.serve(e) })
			w.send("cloud", n.Name, alive(func() { n.later(d) }))
		})
		w.After(5*time.Second, alive(func() { n.later(core.CloudDone{Call: e.Call}) }))
	case core.AgentCall:
		if n.clock() >= e.Until {
			n.later(core.AgentDone{Call: e.Call}) // as the edge: checked last
			return
		}
		w.send(n.Name, e.Endpoint, func() {
			wk := w.Workers[e.Endpoint]
			if wk == nil {
				return
			}
			wk.commands(e, func(d core.AgentDone) {
				w.send(e.Endpoint, n.Name, alive(func() { n.later(d) }))
			})
			w.repeat(func() { wk.commands(e, func(core.AgentDone) {}) })
		})
		w.After(1500*time.Millisecond, alive(func() { n.later(core.AgentDone{Call: e.Call}) }))
	case core.PeerOut:
		for _, o := range w.Nodes {
			if o.Name == e.To {
				deliver := func() { o.Step(core.PeerIn{From: n.Name, Msg: e.Msg}) }
				w.send(n.Name, e.To, deliver)
				w.repeat(deliver)
			}
		}
	case core.Log:
		if w.Tell && e.Level >= 0 {
			var b strings.Builder
			fmt.Fprintf(&b, "%s: %s", n.Name, e.Text)
			for i := 0; i+1 < len(e.Args); i += 2 {
				fmt.Fprintf(&b, " %v=%v", e.Args[i], e.Args[i+1])
			}
			w.tell("%s", b.String())
		}
	}
}

// ask sends a request to the node and gives its reply to f.
func (n *Node) ask(from string, make_ func(uint64) core.Event, f func(core.Reply)) {
	w := n.w
	w.send(from, n.Name, func() {
		if n.State == nil {
			w.send(n.Name, from, func() { f(core.Reply{}) })
			return
		}
		n.req++
		n.asks[n.req] = func(r core.Reply) {
			if r.Until != 0 && n.clock() >= r.Until {
				r = core.Reply{Status: 503}
			}
			w.send(n.Name, from, func() { f(r) })
		}
		n.Step(make_(n.req))
	})
}

// Leader is the node that may act now, or nil. More than one is a broken
// election, which the checker notes.
func (w *World) Leader() *Node {
	var found *Node
	for _, n := range w.Nodes {
		if n.State != nil && n.State.LeadingAt(n.clock()) {
			if found != nil {
				w.Check.broken("two_leaders", "%s and %s", found.Name, n.Name)
			}
			found = n
		}
	}
	return found
}

// deliverKept gives the reports kept for the next leader to every controller
// as it begins.
func (w *World) deliverKept() {
	if l := w.Leader(); l != nil && l != w.led {
		w.led = l
		for _, r := range w.kept {
			for _, n := range w.Nodes {
				n.ask("copy", func(req uint64) core.Event { return core.ReportIn{Req: req, Report: r} }, func(core.Reply) {})
			}
		}
		w.kept = nil
	}
	w.After(10*time.Millisecond, w.deliverKept)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
