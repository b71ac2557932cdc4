package sim

import (
	"fmt"
	"math"
	"strings"
	"time"

	"mulleinfall/internal/core"
)

// Controllers: each runs a core.

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
	still *pause // stands still
	old   bool   // runs the former version
	// Work is how long each step takes: what comes meanwhile waits for its turn, and
	// ticks are dropped. 0: no time passes.
	Work   time.Duration
	freeAt time.Duration // when the steps that wait have been made
	skew   float64       // of the steady clock
	wall   float64       // of the time of day, in parts of its bound
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
	cfg.Incarnation = n.w.Opt.Seed*1000 + uint64(n.index*100+n.Boots)
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
	n.skew = (n.w.Rnd.Float64() - 0.5) * core.ClockDrift
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
	off := (n.wall + 0.3*math.Sin(n.w.Now.Seconds()/17+float64(n.index))) * n.w.Opt.Config.MaxClockSkew.Seconds()
	n.Step(core.Tick{WallMs: n.w.Now.Milliseconds() + 1e9 + int64(1000*off)})
	n.w.After(50*time.Millisecond, func() { n.tick(life) })
}

// Step feeds the core an event, as soon as it has made the steps before.
func (n *Node) Step(ev core.Event) {
	if n.State == nil {
		return
	}
	if n.Work == 0 {
		n.process(ev)
		return
	}
	_, tick := ev.(core.Tick)
	if tick && n.freeAt > n.w.Now {
		return // a ticker drops what isn't taken
	}
	n.freeAt = max(n.freeAt, n.w.Now) + n.Work
	life := n.life
	n.w.At(n.freeAt, func() {
		if n.life == life && n.State != nil {
			n.process(ev)
		}
	})
}

// process feeds the core an event and carries its effects out.
func (n *Node) process(ev core.Event) {
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

// effect carries an effect of the core out.
func (n *Node) effect(e core.Effect) {
	switch e := e.(type) {
	case core.Reply:
		if f := n.asks[e.RequestID]; f != nil {
			delete(n.asks, e.RequestID)
			f(e)
		}
	case core.StoreCall:
		n.callStore(e)
	case core.CloudCall:
		n.callCloud(e)
	case core.AgentCall:
		n.callAgent(e)
	case core.PeerOut:
		n.sendToPeer(e)
	case core.Log:
		n.log(e)
	}
}

// whileAlive makes functions that do nothing once this life of the process is over.
func (n *Node) whileAlive() func(f func()) func() {
	life := n.life
	return func(f func()) func() {
		return func() {
			if n.life == life && n.State != nil {
				f()
			}
		}
	}
}

func (n *Node) callStore(e core.StoreCall) {
	w, alive := n.w, n.whileAlive()
	w.send(n.Name, "state", func() {
		w.Store.serve(n.Name, e, func(d core.StoreResult) {
			w.send("state", n.Name, alive(func() { n.later(d) }))
		})
		w.repeat(func() { w.Store.serve(n.Name, e, func(core.StoreResult) {}) })
	})
	w.After(e.Timeout, alive(func() { n.later(core.StoreResult{CallID: e.CallID}) }))
}

// cloudTimeout and agentTimeout are for how long a controller waits for an answer.
const (
	cloudTimeout = 5 * time.Second
	agentTimeout = 1500 * time.Millisecond
)

func (n *Node) callCloud(e core.CloudCall) {
	w, alive := n.w, n.whileAlive()
	w.send(n.Name, "cloud", func() {
		d := w.Cloud.serve(e)
		w.repeat(func() { w.Cloud.serve(e) })
		w.send("cloud", n.Name, alive(func() { n.later(d) }))
	})
	w.After(cloudTimeout, alive(func() { n.later(core.CloudResult{CallID: e.CallID}) }))
}

func (n *Node) callAgent(e core.AgentCall) {
	w, alive := n.w, n.whileAlive()
	if n.clock() >= e.SendBefore {
		n.later(core.AgentResult{CallID: e.CallID}) // as the edge: checked last
		return
	}
	w.send(n.Name, e.Endpoint, func() {
		wk := w.Workers[e.Endpoint]
		if wk == nil {
			return
		}
		if w.LateCommands > 0 && w.Rnd.Float64() < w.LateCommands {
			late := 2*time.Second + time.Duration(w.Rnd.Int64N(int64(14*time.Second)))
			w.After(late, func() { wk.commands(e, func(core.AgentResult) {}) })
			return
		}
		wk.commands(e, func(d core.AgentResult) {
			w.send(e.Endpoint, n.Name, alive(func() { n.later(d) }))
		})
		w.repeat(func() { wk.commands(e, func(core.AgentResult) {}) })
	})
	w.After(agentTimeout, alive(func() { n.later(core.AgentResult{CallID: e.CallID}) }))
}

func (n *Node) sendToPeer(e core.PeerOut) {
	for _, o := range n.w.Nodes {
		if o.Name == e.To {
			deliver := func() { o.Step(core.PeerIn{From: n.Name, Msg: e.Msg}) }
			n.w.send(n.Name, e.To, deliver)
			n.w.repeat(deliver)
		}
	}
}

func (n *Node) log(e core.Log) {
	if !n.w.Tell || e.Level < 0 {
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", n.Name, e.Text)
	for i := 0; i+1 < len(e.Args); i += 2 {
		fmt.Fprintf(&b, " %v=%v", e.Args[i], e.Args[i+1])
	}
	n.w.tell("%s", b.String())
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
			if r.SendBefore != 0 && n.clock() >= r.SendBefore {
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
		if n.State != nil && n.State.IsLeaderAt(n.clock()) {
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
				n.ask("copy", func(req uint64) core.Event { return core.WorkerReport{RequestID: req, Report: r} }, func(core.Reply) {})
			}
		}
		w.kept = nil
	}
	w.After(10*time.Millisecond, w.deliverKept)
}
