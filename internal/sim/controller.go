package sim

import (
	"fmt"
	"math"
	"strings"
	"time"

	"mulleinfall/internal/core"
)

// Controllers: each runs a core.

// Controller runs a core.
type Controller struct {
	sim                 *Simulation
	Name                string
	index               int
	incarnation         int
	State               *core.State
	pendingRequests     map[uint64]func(core.Reply)
	lastRequest         uint64
	StartCount          int
	paused              *pausedWork // stands still
	runsPreviousVersion bool        // runs the former version
	// StepDuration is how long each step takes: what comes meanwhile waits for its turn, and
	// ticks are dropped. 0: no time passes.
	StepDuration    time.Duration
	busyUntil       time.Duration // when the steps that wait have been made
	clockDrift      float64       // of the steady clock
	wallClockOffset float64       // of the time of day, in parts of its bound
}

// IsRunning says whether the process runs.
func (n *Controller) IsRunning() bool { return n.State != nil }

func (n *Controller) monotonicNow() time.Duration {
	return time.Duration(float64(n.sim.Now) * (1 + n.clockDrift))
}

// Start starts the process.
func (n *Controller) Start() {
	cfg := n.sim.Options.Config
	cfg.Self = n.Name
	cfg.Incarnation = n.sim.Options.Seed*1000 + uint64(n.index*100+n.StartCount)
	for _, o := range n.sim.Controllers {
		if o != n {
			cfg.Peers = append(cfg.Peers, o.Name)
		}
	}
	n.runsPreviousVersion = n.sim.OnPreviousVersion[n.Name]
	if n.runsPreviousVersion {
		cfg.Version = 0
		n.sim.Options.ConfigurePreviousVersion(&cfg)
	}
	n.StartCount++
	n.incarnation++
	n.clockDrift = (n.sim.Rand.Float64() - 0.5) * core.ClockDrift
	n.wallClockOffset = (n.sim.Rand.Float64() - 0.5) * 1.4
	n.pendingRequests = map[uint64]func(core.Reply){}
	n.State = core.New(cfg, n.monotonicNow())
	n.sim.tracef("%s starts", n.Name)
	n.tick(n.incarnation)
}

// Crash kills the process; it starts again after the restart delay.
func (n *Controller) Crash() { n.CrashFor(n.sim.Options.RestartDelay) }

// CrashFor kills the process; it starts again after d.
func (n *Controller) CrashFor(d time.Duration) {
	if n.State == nil {
		return
	}
	n.sim.tracef("%s crashes", n.Name)
	n.State, n.paused = nil, nil
	n.incarnation++
	n.sim.After(d, func() {
		if n.State == nil {
			n.Start()
		}
	})
}

// pausedWork is what a process that stands still has left undone.
type pausedWork struct {
	inStep  bool          // the step that it stands still in was made
	effects []core.Effect // of that step: worked out before, carried out after
	events  []core.Event
}

// Pause has the process stand still for d while clocks run on: in the middle
// of its next step, between the decision and what is done about it.
func (n *Controller) Pause(d time.Duration) {
	if n.State == nil || n.paused != nil {
		return
	}
	n.sim.tracef("%s stands still", n.Name)
	n.paused = &pausedWork{}
	life := n.incarnation
	n.sim.After(d, func() {
		p := n.paused
		if n.incarnation != life || p == nil {
			return
		}
		n.paused = nil
		n.sim.tracef("%s goes on", n.Name)
		for _, e := range p.effects {
			n.applyEffect(e)
		}
		for _, ev := range p.events {
			n.Step(ev)
		}
	})
}

func (n *Controller) tick(life int) {
	if n.incarnation != life || n.State == nil {
		return
	}
	// The time of day wanders within its bound.
	off := (n.wallClockOffset + 0.3*math.Sin(n.sim.Now.Seconds()/17+float64(n.index))) * n.sim.Options.Config.MaxClockSkew.Seconds()
	n.Step(core.Tick{WallMs: n.sim.Now.Milliseconds() + 1e9 + int64(1000*off)})
	n.sim.After(50*time.Millisecond, func() { n.tick(life) })
}

// Step feeds the core an event, as soon as it has made the steps before.
func (n *Controller) Step(ev core.Event) {
	if n.State == nil {
		return
	}
	if n.StepDuration == 0 {
		n.process(ev)
		return
	}
	_, tick := ev.(core.Tick)
	if tick && n.busyUntil > n.sim.Now {
		return // a ticker drops what isn't taken
	}
	n.busyUntil = max(n.busyUntil, n.sim.Now) + n.StepDuration
	life := n.incarnation
	n.sim.At(n.busyUntil, func() {
		if n.incarnation == life && n.State != nil {
			n.process(ev)
		}
	})
}

// process feeds the core an event and carries its effects out.
func (n *Controller) process(ev core.Event) {
	if p := n.paused; p != nil && p.inStep {
		if _, tick := ev.(core.Tick); !tick { // a ticker drops what isn't taken
			p.events = append(p.events, ev)
		}
		return
	}
	for _, e := range n.State.Step(n.monotonicNow(), ev) {
		if n.sim.Options.Tamper != nil {
			e = n.sim.Options.Tamper(n.sim, n, e)
		}
		if p := n.paused; p != nil {
			p.inStep = true
			p.effects = append(p.effects, e)
			continue
		}
		n.applyEffect(e)
	}
}

// deliver posts an event to this life of the process.
func (n *Controller) deliver(ev core.Event) {
	n.Step(ev)
}

// applyEffect carries an effect of the core out.
func (n *Controller) applyEffect(e core.Effect) {
	switch e := e.(type) {
	case core.Reply:
		if f := n.pendingRequests[e.RequestID]; f != nil {
			delete(n.pendingRequests, e.RequestID)
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

// ifSameIncarnation makes functions that do nothing once this life of the process is over.
func (n *Controller) ifSameIncarnation() func(f func()) func() {
	life := n.incarnation
	return func(f func()) func() {
		return func() {
			if n.incarnation == life && n.State != nil {
				f()
			}
		}
	}
}

func (n *Controller) callStore(e core.StoreCall) {
	w, alive := n.sim, n.ifSameIncarnation()
	w.send(n.Name, "state", func() {
		w.Store.serve(n.Name, e, func(d core.StoreResult) {
			w.send("state", n.Name, alive(func() { n.deliver(d) }))
		})
		w.maybeRepeat(func() { w.Store.serve(n.Name, e, func(core.StoreResult) {}) })
	})
	w.After(e.Timeout, alive(func() { n.deliver(core.StoreResult{CallID: e.CallID}) }))
}

// cloudTimeout and agentTimeout are for how long a controller waits for an answer.
const (
	cloudTimeout = 5 * time.Second
	agentTimeout = 1500 * time.Millisecond
)

func (n *Controller) callCloud(e core.CloudCall) {
	w, alive := n.sim, n.ifSameIncarnation()
	w.send(n.Name, "cloud", func() {
		d := w.Cloud.serve(e)
		w.maybeRepeat(func() { w.Cloud.serve(e) })
		w.send("cloud", n.Name, alive(func() { n.deliver(d) }))
	})
	w.After(cloudTimeout, alive(func() { n.deliver(core.CloudResult{CallID: e.CallID}) }))
}

func (n *Controller) callAgent(e core.AgentCall) {
	w, alive := n.sim, n.ifSameIncarnation()
	if n.monotonicNow() >= e.SendBefore {
		n.deliver(core.AgentResult{CallID: e.CallID}) // as the edge: checked last
		return
	}
	w.send(n.Name, e.Endpoint, func() {
		wk := w.Workers[e.Endpoint]
		if wk == nil {
			return
		}
		if w.LateCommandFraction > 0 && w.Rand.Float64() < w.LateCommandFraction {
			late := 2*time.Second + time.Duration(w.Rand.Int64N(int64(14*time.Second)))
			w.After(late, func() { wk.handleCommands(e, func(core.AgentResult) {}) })
			return
		}
		wk.handleCommands(e, func(d core.AgentResult) {
			w.send(e.Endpoint, n.Name, alive(func() { n.deliver(d) }))
		})
		w.maybeRepeat(func() { wk.handleCommands(e, func(core.AgentResult) {}) })
	})
	w.After(agentTimeout, alive(func() { n.deliver(core.AgentResult{CallID: e.CallID}) }))
}

func (n *Controller) sendToPeer(e core.PeerOut) {
	for _, o := range n.sim.Controllers {
		if o.Name == e.To {
			deliver := func() { o.Step(core.PeerIn{From: n.Name, Msg: e.Msg}) }
			n.sim.send(n.Name, e.To, deliver)
			n.sim.maybeRepeat(deliver)
		}
	}
}

func (n *Controller) log(e core.Log) {
	if !n.sim.TraceEnabled || e.Level < 0 {
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", n.Name, e.Text)
	for i := 0; i+1 < len(e.Args); i += 2 {
		fmt.Fprintf(&b, " %v=%v", e.Args[i], e.Args[i+1])
	}
	n.sim.tracef("%s", b.String())
}

// sendRequest sends a request to the node and gives its reply to f.
func (n *Controller) sendRequest(from string, make_ func(uint64) core.Event, f func(core.Reply)) {
	w := n.sim
	w.send(from, n.Name, func() {
		if n.State == nil {
			w.send(n.Name, from, func() { f(core.Reply{}) })
			return
		}
		n.lastRequest++
		n.pendingRequests[n.lastRequest] = func(r core.Reply) {
			if r.SendBefore != 0 && n.monotonicNow() >= r.SendBefore {
				r = core.Reply{Status: 503}
			}
			w.send(n.Name, from, func() { f(r) })
		}
		n.Step(make_(n.lastRequest))
	})
}

// Leader is the node that may act now, or nil. More than one is a broken
// election, which the checker notes.
func (w *Simulation) Leader() *Controller {
	var found *Controller
	for _, n := range w.Controllers {
		if n.State != nil && n.State.IsLeaderAt(n.monotonicNow()) {
			if found != nil {
				w.Checker.reportViolation("two_leaders", "%s and %s", found.Name, n.Name)
			}
			found = n
		}
	}
	return found
}

// deliverReportsToNextLeader gives the reports kept for the next leader to every controller
// as it begins.
func (w *Simulation) deliverReportsToNextLeader() {
	if l := w.Leader(); l != nil && l != w.lastLeader {
		w.lastLeader = l
		for _, r := range w.reportsForNextLeader {
			for _, n := range w.Controllers {
				n.sendRequest("copy", func(req uint64) core.Event { return core.WorkerReport{RequestID: req, Report: r} }, func(core.Reply) {})
			}
		}
		w.reportsForNextLeader = nil
	}
	w.After(10*time.Millisecond, w.deliverReportsToNextLeader)
}
