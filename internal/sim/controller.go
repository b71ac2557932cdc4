package sim

import (
	"fmt"
	"math"
	"strings"
	"time"

	"mulleinfall/internal/core"
)

// Controller simulates one controller process, which runs a core.State.
type Controller struct {
	sim                 *Simulation
	Name                string
	index               int
	generation          int                         // goes up at each start and each crash; what was scheduled under an earlier value is dropped
	State               *core.State                 // nil while the process is down
	pendingRequests     map[uint64]func(core.Reply) // handlers of the replies, by request id
	lastRequest         uint64                      // id of the last request received
	StartCount          int
	paused              *pausedWork // nil unless the process is paused
	runsPreviousVersion bool
	// StepDuration is how long each step of the core takes. Events that arrive during
	// a step wait for their turn, and ticks are dropped. With 0, steps take no time.
	StepDuration    time.Duration
	busyUntil       time.Duration // when all queued steps are complete
	clockDrift      float64       // relative error of the monotonic clock
	wallClockOffset float64       // constant part of the wall clock's error, -0.7 to 0.7 times MaxClockSkew
}

// IsRunning reports whether the process runs.
func (c *Controller) IsRunning() bool { return c.State != nil }

// monotonicNow returns the time on the controller's monotonic clock.
func (c *Controller) monotonicNow() time.Duration {
	return time.Duration(float64(c.sim.Now) * (1 + c.clockDrift))
}

// Start starts the process with a new core.
func (c *Controller) Start() {
	cfg := c.sim.Options.Config
	cfg.Self = c.Name
	cfg.Incarnation = c.sim.Options.Seed*1000 + uint64(c.index*100+c.StartCount)
	for _, peer := range c.sim.Controllers {
		if peer != c {
			cfg.Peers = append(cfg.Peers, peer.Name)
		}
	}
	c.runsPreviousVersion = c.sim.OnPreviousVersion[c.Name]
	if c.runsPreviousVersion {
		cfg.Version = 0
		c.sim.Options.ConfigurePreviousVersion(&cfg)
	}
	c.StartCount++
	c.generation++
	c.clockDrift = (c.sim.Rand.Float64() - 0.5) * core.ClockDrift
	c.wallClockOffset = (c.sim.Rand.Float64() - 0.5) * 1.4
	c.pendingRequests = map[uint64]func(core.Reply){}
	c.State = core.New(cfg, c.monotonicNow())
	c.sim.tracef("%s starts", c.Name)
	c.tick(c.generation)
}

// Crash kills the process. It starts again after Options.RestartDelay.
func (c *Controller) Crash() { c.CrashFor(c.sim.Options.RestartDelay) }

// CrashFor kills the process. It starts again after d.
func (c *Controller) CrashFor(d time.Duration) {
	if c.State == nil {
		return
	}
	c.sim.tracef("%s crashes", c.Name)
	c.State, c.paused = nil, nil
	c.generation++
	c.sim.After(d, func() {
		if c.State == nil {
			c.Start()
		}
	})
}

// pausedWork is the work that a paused process does when it resumes.
type pausedWork struct {
	inStep  bool          // the core has made the step in which the process is paused
	effects []core.Effect // effects of that step, applied after the pause
	events  []core.Event  // events that arrived during the pause
}

// Pause pauses the process for d while the clocks run on. The pause takes effect in
// the next step that has effects, between the core's decision and its execution: the
// core makes that step before the pause, and the effects are applied after it.
func (c *Controller) Pause(d time.Duration) {
	if c.State == nil || c.paused != nil {
		return
	}
	c.sim.tracef("%s is paused", c.Name)
	c.paused = &pausedWork{}
	generation := c.generation
	c.sim.After(d, func() {
		work := c.paused
		if c.generation != generation || work == nil {
			return
		}
		c.paused = nil
		c.sim.tracef("%s resumes", c.Name)
		for _, e := range work.effects {
			c.applyEffect(e)
		}
		for _, ev := range work.events {
			c.Step(ev)
		}
	})
}

// tick sends the core a tick every 50 ms until the generation changes.
func (c *Controller) tick(generation int) {
	if c.generation != generation || c.State == nil {
		return
	}
	// The error of the wall clock varies by up to 0.3 times MaxClockSkew around its
	// constant part, so that it stays within MaxClockSkew. At the start of the simulation
	// the wall clock shows 1e9 ms, for users as well.
	offsetS := (c.wallClockOffset + 0.3*math.Sin(c.sim.Now.Seconds()/17+float64(c.index))) * c.sim.Options.Config.MaxClockSkew.Seconds()
	c.Step(core.Tick{WallMs: c.sim.Now.Milliseconds() + 1e9 + int64(1000*offsetS)})
	c.sim.After(50*time.Millisecond, func() { c.tick(generation) })
}

// Step passes an event to the core, as soon as the core has made the steps queued
// before it.
func (c *Controller) Step(ev core.Event) {
	if c.State == nil {
		return
	}
	if c.StepDuration == 0 {
		c.process(ev)
		return
	}
	_, tick := ev.(core.Tick)
	if tick && c.busyUntil > c.sim.Now {
		return // a time.Ticker drops ticks that are not received in time
	}
	c.busyUntil = max(c.busyUntil, c.sim.Now) + c.StepDuration
	generation := c.generation
	c.sim.At(c.busyUntil, func() {
		if c.generation == generation && c.State != nil {
			c.process(ev)
		}
	})
}

// process passes an event to the core and applies the resulting effects. Once a pause
// has taken effect (see Pause), it keeps events for later instead and drops ticks.
func (c *Controller) process(ev core.Event) {
	if p := c.paused; p != nil && p.inStep {
		if _, tick := ev.(core.Tick); !tick { // a time.Ticker drops ticks that are not received in time
			p.events = append(p.events, ev)
		}
		return
	}
	for _, e := range c.State.Step(c.monotonicNow(), ev) {
		if c.sim.Options.Tamper != nil {
			e = c.sim.Options.Tamper(c.sim, c, e)
		}
		if p := c.paused; p != nil {
			p.inStep = true
			p.effects = append(p.effects, e)
			continue
		}
		c.applyEffect(e)
	}
}

// deliver passes the result of a call to the core.
func (c *Controller) deliver(ev core.Event) {
	c.Step(ev)
}

// applyEffect carries out an effect of the core.
func (c *Controller) applyEffect(e core.Effect) {
	switch e := e.(type) {
	case core.Reply:
		if f := c.pendingRequests[e.RequestID]; f != nil {
			delete(c.pendingRequests, e.RequestID)
			f(e)
		}
	case core.StoreCall:
		c.callStore(e)
	case core.CloudCall:
		c.callCloud(e)
	case core.AgentCall:
		c.callAgent(e)
	case core.PeerOut:
		c.sendToPeer(e)
	case core.Log:
		c.log(e)
	}
}

// ifSameGeneration returns a wrapper for functions. A wrapped function does nothing
// if the process has crashed or restarted since ifSameGeneration was called.
func (c *Controller) ifSameGeneration() func(f func()) func() {
	generation := c.generation
	return func(f func()) func() {
		return func() {
			if c.generation == generation && c.State != nil {
				f()
			}
		}
	}
}

// callStore sends a call to the state service. After the call's timeout the core gets
// an empty result, which it ignores if it already has an answer.
func (c *Controller) callStore(call core.StoreCall) {
	sim, ifSameGeneration := c.sim, c.ifSameGeneration()
	sim.send(c.Name, "state", func() {
		sim.Store.serve(c.Name, call, func(result core.StoreResult) {
			sim.send("state", c.Name, ifSameGeneration(func() { c.deliver(result) }))
		})
		sim.maybeRepeat(func() { sim.Store.serve(c.Name, call, func(core.StoreResult) {}) })
	})
	sim.After(call.Timeout, ifSameGeneration(func() { c.deliver(core.StoreResult{CallID: call.CallID}) }))
}

// cloudTimeout and agentTimeout are how long a controller waits for an answer of the
// cloud and of a worker.
const (
	cloudTimeout = 5 * time.Second
	agentTimeout = 1500 * time.Millisecond
)

// callCloud sends a call to the cloud and waits up to cloudTimeout for the answer. See
// callStore for what happens after the timeout.
func (c *Controller) callCloud(call core.CloudCall) {
	sim, ifSameGeneration := c.sim, c.ifSameGeneration()
	sim.send(c.Name, "cloud", func() {
		result := sim.Cloud.serve(call)
		sim.maybeRepeat(func() { sim.Cloud.serve(call) })
		sim.send("cloud", c.Name, ifSameGeneration(func() { c.deliver(result) }))
	})
	sim.After(cloudTimeout, ifSameGeneration(func() { c.deliver(core.CloudResult{CallID: call.CallID}) }))
}

// callAgent sends a command to a worker and waits up to agentTimeout for the answer. It
// sends nothing if the controller's right to send the command has expired. See callStore
// for what happens after the timeout.
func (c *Controller) callAgent(call core.AgentCall) {
	sim, ifSameGeneration := c.sim, c.ifSameGeneration()
	if c.monotonicNow() >= call.SendBefore {
		c.deliver(core.AgentResult{CallID: call.CallID}) // the real network layer, too, makes this check just before it sends
		return
	}
	sim.send(c.Name, call.Endpoint, func() {
		wk := sim.Workers[call.Endpoint]
		if wk == nil {
			return
		}
		if sim.LateCommandFraction > 0 && sim.Rand.Float64() < sim.LateCommandFraction {
			late := 2*time.Second + time.Duration(sim.Rand.Int64N(int64(14*time.Second)))
			sim.After(late, func() { wk.handleCommands(call, func(core.AgentResult) {}) })
			return
		}
		wk.handleCommands(call, func(result core.AgentResult) {
			sim.send(call.Endpoint, c.Name, ifSameGeneration(func() { c.deliver(result) }))
		})
		sim.maybeRepeat(func() { wk.handleCommands(call, func(core.AgentResult) {}) })
	})
	sim.After(agentTimeout, ifSameGeneration(func() { c.deliver(core.AgentResult{CallID: call.CallID}) }))
}

// sendToPeer sends a message to another controller.
func (c *Controller) sendToPeer(e core.PeerOut) {
	for _, peer := range c.sim.Controllers {
		if peer.Name == e.To {
			deliver := func() { peer.Step(core.PeerIn{From: c.Name, Msg: e.Msg}) }
			c.sim.send(c.Name, e.To, deliver)
			c.sim.maybeRepeat(deliver)
		}
	}
}

// log adds a log line of the core to the trace, unless it is a debug line.
func (c *Controller) log(e core.Log) {
	if !c.sim.TraceEnabled || e.Level < 0 {
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", c.Name, e.Text)
	for i := 0; i+1 < len(e.Args); i += 2 {
		fmt.Fprintf(&b, " %v=%v", e.Args[i], e.Args[i+1])
	}
	c.sim.tracef("%s", b.String())
}

// sendRequest sends a request to the controller and passes the reply to handleReply.
// The reply is empty if the process is down when the request arrives, and becomes 503 if
// the controller's right to send it has expired. There is none if the process crashes
// before it replies. newEvent creates the event from the request id.
func (c *Controller) sendRequest(from string, newEvent func(uint64) core.Event, handleReply func(core.Reply)) {
	sim := c.sim
	sim.send(from, c.Name, func() {
		if c.State == nil {
			sim.send(c.Name, from, func() { handleReply(core.Reply{}) })
			return
		}
		c.lastRequest++
		c.pendingRequests[c.lastRequest] = func(r core.Reply) {
			if r.SendBefore != 0 && c.monotonicNow() >= r.SendBefore {
				r = core.Reply{Status: 503}
			}
			sim.send(c.Name, from, func() { handleReply(r) })
		}
		c.Step(newEvent(c.lastRequest))
	})
}

// Leader returns the controller that has the right to act as leader now, or nil. It
// reports a violation if more than one has it.
func (s *Simulation) Leader() *Controller {
	var found *Controller
	for _, c := range s.Controllers {
		if c.State != nil && c.State.IsLeaderAt(c.monotonicNow()) {
			if found != nil {
				s.Checker.reportViolation("two_leaders", "%s and %s", found.Name, c.Name)
			}
			found = c
		}
	}
	return found
}

// deliverReportsToNextLeader checks every 10 ms whether the leader is another controller
// than the last one. If so, it sends the reports kept for that moment to every controller.
func (s *Simulation) deliverReportsToNextLeader() {
	if leader := s.Leader(); leader != nil && leader != s.lastLeader {
		s.lastLeader = leader
		for _, r := range s.reportsForNextLeader {
			for _, c := range s.Controllers {
				c.sendRequest("copy", func(req uint64) core.Event { return core.WorkerReport{RequestID: req, Report: r} }, func(core.Reply) {})
			}
		}
		s.reportsForNextLeader = nil
	}
	s.After(10*time.Millisecond, s.deliverReportsToNextLeader)
}
