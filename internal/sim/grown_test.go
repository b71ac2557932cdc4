package sim

import (
	"fmt"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// grown is a world with hundreds of machines that are up at once, and counters
// of what the controllers do to the outside.
type grown struct {
	*Simulation
	machines                                                                             int
	changesWritten, storeRequests, directCommands, maxCommandsInFlight, commandsInFlight int
	roundsByInterval                                                                     map[time.Duration]int // by report interval
}

// newDefaultFleet has 450 machines and the settings of Defaults.
func newDefaultFleet(seed uint64) *grown { return growTo(DefaultOptions(seed), 150) }

// newLargestDeployment has three times zone machines and the settings of the largest
// deployments.
func newLargestDeployment(seed uint64, zone int) *grown { return growTo(largest(seed), zone) }

// largest are the settings of the largest deployments, less the time that workers
// need for details.
func largest(seed uint64) Options {
	opt := DefaultOptions(seed)
	c := &opt.Config
	c.ReportInterval, c.Lease, c.CancelWithin = 6*second, 31*second, 51*second
	c.StoreRPS, c.StoreWriteRPS, c.MaxValueBytes, c.MaxTxnOps = 250, 70, 16<<10, 24
	c.MaxDirectCommands, c.MaxRequests = 152, 1990
	opt.WorkerStepInterval = 100 * time.Millisecond
	return opt
}

func growTo(opt Options, zone int) *grown {
	g := &grown{roundsByInterval: map[time.Duration]int{}, machines: zone * len(opt.Zones)}
	opt.Capacity = zone
	opt.Config.Stopwatch = func() func() time.Duration {
		if g.Simulation != nil {
			g.roundsByInterval[g.Now/opt.Config.ReportInterval]++
		}
		return func() time.Duration { return 0 }
	}
	opt.Tamper = func(w *Simulation, n *Controller, e core.Effect) core.Effect {
		switch e := e.(type) {
		case core.StoreCall:
			g.storeRequests++
			g.changesWritten += len(e.Changes)
		case core.AgentCall:
			g.directCommands++
			g.commandsInFlight++
			g.maxCommandsInFlight = max(g.maxCommandsInFlight, g.commandsInFlight)
			w.After(10*time.Millisecond, func() { g.commandsInFlight-- }) // the longest way there and back
		}
		return e
	}
	g.Simulation = New(opt)
	g.Cloud.BootTimeFactor = 0.02 // up within a moment
	for _, name := range opt.Zones {
		g.Cloud.Rent("small", name, false, zone)
	}
	return g
}

// submitLoad keeps some 400 tasks running in jobs of 40, and services of 8.
func (g *grown) submitLoad(until time.Duration) {
	for i, at := 0, second; at < until; i, at = i+1, at+2*second {
		j := batchJob(fmt.Sprintf("req-%06d", i), 40)
		j.Class, j.Image = "batch", fmt.Sprintf("img-%d", i%6)
		g.At(at, func() { g.Users.Submit(j, 20*second) })
		if i%5 == 0 {
			sv := serviceJob(fmt.Sprintf("req-%06d", 500000+i), 8)
			sv.Class = "service"
			g.At(at, func() { g.Users.Submit(sv, 0) })
		}
	}
}

// TestLargeFleet counts, at the size of the largest deployments, what once grew
// with the fleet: writes of the roster, rounds of decisions, direct commands at
// a time, and how long it takes until all machines are of use.
func TestLargeFleet(t *testing.T) {
	g := newDefaultFleet(1)
	g.submitLoad(100 * second)
	g.RunUntil(8 * second)
	if n := len(g.Workers); n != 450 {
		t.Fatalf("%d machines are up, want 450", n)
	}
	if on := g.runningTaskCount(); on < 100 {
		t.Errorf("%d tasks run 8 s after the start: the machines aren't of use yet", on)
	}
	// One write a machine would be 450, and more than half a minute's worth.
	if g.changesWritten > 120 {
		t.Errorf("%d changes written to the state service in the first 8 s", g.changesWritten)
	}
	g.RunUntil(40 * second)
	puts, requests := g.changesWritten, g.storeRequests
	g.RunUntil(60 * second)
	rps, wps := float64(g.storeRequests-requests)/20, float64(g.changesWritten-puts)/20
	if rps > g.Options.Config.StoreRPS || wps > g.Options.Config.StoreWriteRPS {
		t.Errorf("%.0f requests and %.0f changes a second, more than the state service takes", rps, wps)
	}
	for at, n := range g.roundsByInterval {
		if n > 26 { // 24, and one at each end
			t.Errorf("%d rounds of decisions in the report interval from %v", n, at*g.Options.Config.ReportInterval)
		}
	}

	// The leader crashes: its successor must reach every machine well inside
	// the lease, without asking all of them at the same moment.
	before, killed := g.directCommands, len(g.Checker.Violations)
	running := g.runningTaskCount()
	g.maxCommandsInFlight = 0
	g.Leader().Crash()
	g.RunUntil(60*second + g.Options.Config.Lease + 2*second)
	if g.maxCommandsInFlight > 100 {
		t.Errorf("%d direct commands at the same time", g.maxCommandsInFlight)
	}
	if n := g.directCommands - before; n > 3*450 {
		t.Errorf("%d direct commands after the takeover", n)
	}
	if now := g.runningTaskCount(); now < running/2 {
		t.Errorf("%d tasks ran before the crash, %d a lease later", running, now)
	}
	if len(g.Checker.Violations) > killed {
		t.Error(g.Checker.Violations)
	}
	if lost := g.lostLeaseCount(); lost > 0 {
		t.Errorf("%d of 450 machines lost their lease in the takeover", lost)
	}
}

// TestLargeFleetZoneCut: a third of a large fleet is cut off. Nothing of it is
// returned, the rest goes on, and what the zone held runs elsewhere before the
// cut is over.
func TestLargeFleetZoneCut(t *testing.T) {
	g := newDefaultFleet(2)
	g.submitLoad(60 * second)
	g.At(50*second, func() { cutZone(g.Simulation, "c", 40*second, "hold") })
	g.RunUntil(85 * second)
	gone := 0
	for _, m := range g.Cloud.machines {
		if m.Zone == "c" && m.removed {
			gone++
		}
	}
	if gone > 15 {
		t.Errorf("%d machines of the zone that was only cut off were returned", gone)
	}
	for _, id := range sortedKeys(g.Checker.jobs) {
		if j := g.Checker.jobs[id]; j.spec.Kind == model.KindService && len(j.runningOn) != j.spec.Tasks {
			t.Errorf("%s: %d of %d replicas run 35 s after the cut", id, len(j.runningOn), j.spec.Tasks)
		}
	}
	g.RunUntil(130 * second)
	for _, b := range g.Checker.Violations {
		t.Error(b)
	}
}

// TestLostMachinesDoNotDelayTakeover: a machine that the cloud has taken after notice
// is returned by name, so that it is surely gone; one that died with the leader
// is given up after a command in vain. Either once kept every older job of a
// large fleet waiting after an election.
func TestLostMachinesDoNotDelayTakeover(t *testing.T) {
	g := newLargestDeployment(3, 150)
	g.submitLoad(100 * second)
	var returned, elected, settled time.Duration
	g.onReturn(func(host string) {
		if host == "n-000007" && returned == 0 {
			returned = g.Now
		}
	})
	g.onLog("elected", func() { elected = g.Now })
	g.onLog("all machines accounted for", func() { settled = g.Now })
	g.At(20*second, func() { g.Cloud.Reclaim("n-000007", 10*second) })
	g.RunUntil(40 * second)
	if returned == 0 || returned > 33*second {
		t.Errorf("the machine taken at 30 s was returned at %v", returned)
	}
	g.Cloud.RemoveMachine("n-000008")
	g.Leader().Crash()
	g.RunUntil(90 * second)
	if late := 10 * second; settled < elected || settled-elected > late {
		t.Errorf("elected at %v, all machines accounted for at %v, want within %v", elected, settled, late)
	}
	for _, b := range g.Checker.Violations {
		t.Error(b)
	}
}

// TestCutZoneDoesNotDelayOtherMachines: a zone is cut off as all controllers crash; the
// next leader answers the other zones and loses the state service, and a few of
// their machines die just then. Its successor finds those few missing at once,
// though it asks hundreds of the cut zone's machines in vain, and has all
// machines accounted for when the cut zone's leases are over.
func TestCutZoneDoesNotDelayOtherMachines(t *testing.T) {
	opt := DefaultOptions(5)
	opt.Config.MaxDirectCommands = 24
	g := growTo(opt, 150)
	g.submitLoad(100 * second)
	var elected, settled []time.Duration
	returned := map[string]time.Duration{}
	g.onReturn(func(host string) { returned[host] = g.Now })
	g.onLog("elected", func() { elected = append(elected, g.Now) })
	g.onLog("all machines accounted for", func() { settled = append(settled, g.Now) })
	g.RunUntil(40 * second)
	cut := g.Workers[sortedKeys(g.Workers)[0]].info.Zone
	cutZone(g.Simulation, cut, 60*second, "drop")
	for _, n := range g.Controllers {
		n.Crash()
	}
	for g.Leader() == nil && g.Now < 60*second {
		g.RunUntil(g.Now + 50*time.Millisecond)
	}
	g.RunUntil(g.Now + second)
	l := g.Leader()
	g.Store.UnavailableTo[l.Name] = true
	for l == g.Leader() {
		g.RunUntil(g.Now + 50*time.Millisecond)
	}
	var dead []string
	for _, k := range sortedKeys(g.Workers) {
		if wk := g.Workers[k]; wk.info.Zone != cut && len(dead) < 4 {
			dead = append(dead, wk.info.Host)
			g.Cloud.RemoveMachine(wk.info.Host)
		}
	}
	g.RunUntil(70 * second)
	if len(elected) != 3 || len(settled) != 2 {
		t.Fatalf("elected at %v, all machines accounted for at %v", elected, settled)
	}
	for _, h := range dead {
		if at := returned[h]; at == 0 || at-elected[2] > 6*second {
			t.Errorf("%s, which died at the election at %v, was returned at %v", h, elected[2], at)
		}
	}
	if over := elected[1] + opt.Config.Lease + second; settled[1] > over {
		t.Errorf("all machines accounted for at %v, want at %v, when the leases of the cut zone are over", settled[1], over)
	}
	for _, b := range g.Checker.Violations {
		t.Error(b)
	}
}

// lostLeaseCount counts the machines whose lease has run out since they came up.
func (g *grown) lostLeaseCount() int {
	n := 0
	for _, wk := range g.Workers {
		if wk.session > 1 {
			n++
		}
	}
	return n
}

// TestAllocationsOfReports: what the core allocates for a report that brings
// nothing new and for its answer is a handful, whatever the size of the fleet.
func TestAllocationsOfReports(t *testing.T) {
	cost := func(zone int) float64 {
		g := growTo(DefaultOptions(2), zone)
		g.submitLoad(20 * second)
		g.RunUntil(20 * second)
		n, wk := g.Leader(), g.Workers[sortedKeys(g.Workers)[7]]
		reports := make([]model.Report, 201)
		for i := range reports {
			reports[i] = wk.nextReport()
		}
		i := 0
		return testing.AllocsPerRun(200, func() {
			out := n.State.Step(n.monotonicNow(), core.WorkerReport{RequestID: 1, Report: reports[i]})
			i++
			if len(out) == 0 {
				t.Fatal("no answer at once")
			}
		})
	}
	small, large := cost(50), cost(150)
	if small > 12 || large > small+8 {
		t.Errorf("%v allocations a report with 150 machines, %v with 450", small, large)
	}
}

// TestAllocationsOfRounds: rounds of decisions and ticks that find nothing to do,
// while a job waits that fits nowhere now, go over all machines, but allocate less
// than once for each.
func TestAllocationsOfRounds(t *testing.T) {
	cost := func(zone int) float64 {
		g := growTo(DefaultOptions(2), zone)
		for i := range zone { // each takes three machines
			g.At(second, func() { g.Users.Submit(serviceJob(fmt.Sprintf("req-%06d", i), 6), 0) })
		}
		g.At(30*second, func() {
			j := batchJob("req-900000", 4)
			g.Users.Submit(j, 10*second)
		})
		g.RunUntil(40 * second)
		n := g.Leader()
		made := func() (all int) {
			for _, n := range g.roundsByInterval {
				all += n
			}
			return all
		}
		now, before := n.monotonicNow(), made()
		each := testing.AllocsPerRun(4, func() { // and once before
			now += g.Options.Config.ReportInterval/6 + time.Millisecond // a round is due each sixth
			n.State.Step(now, core.Tick{WallMs: now.Milliseconds()})
		})
		if got := made() - before; got < 5 || !n.State.IsLeaderAt(now) {
			t.Fatalf("%d rounds in 5 ticks, leading: %v", got, n.State.IsLeaderAt(now))
		}
		return each
	}
	small, large := cost(50), cost(150)
	if small > 150 || large > 450 {
		t.Errorf("%v allocations a tick and round with 150 machines, %v with 450", small, large)
	}
}

// TestLargestDeployment is a day of some 2,000 machines: it starts, serves, loses its
// leader, then all controllers, which are back within a moment and crash again
// inside the election, and a hundred machines hang for longer than their lease.
// Requests carried out and reports come again, late, all day. What each of this
// asks of the state service and of the sockets is bounded.
func TestLargestDeployment(t *testing.T) {
	t.Parallel()
	g := newLargestDeployment(1, 700)
	g.RepeatFraction, g.LateReportCopyFraction = 0.03, 0.03
	watchLeaders(g.Simulation)
	g.submitLoad(150 * second)
	c := g.Options.Config

	g.RunUntil(15 * second)
	if n := len(g.Workers); n != g.machines {
		t.Fatalf("%d machines are up, want %d", n, g.machines)
	}
	if on := g.runningTaskCount(); on < 150 {
		t.Errorf("%d tasks run 15 s after the start: the machines aren't of use yet", on)
	}
	if g.changesWritten > g.machines/4 { // a page holds 27 machines, and is written again as it fills
		t.Errorf("%d changes written to the state service in the first 15 s", g.changesWritten)
	}

	puts, requests := g.changesWritten, g.storeRequests
	g.RunUntil(35 * second)
	if rps, wps := float64(g.storeRequests-requests)/20, float64(g.changesWritten-puts)/20; rps > c.StoreRPS/2 || wps > c.StoreWriteRPS/2 {
		t.Errorf("%.0f requests and %.0f changes a second on an ordinary day", rps, wps)
	}

	takeover := func(what string, elections int, until time.Duration) {
		t.Helper()
		directs, lost, running := g.directCommands, g.lostLeaseCount(), g.runningTaskCount()
		puts, requests, from := g.changesWritten, g.storeRequests, g.Now
		g.maxCommandsInFlight = 0
		g.RunUntil(until)
		took := (g.Now - from).Seconds()
		if g.maxCommandsInFlight > c.MaxDirectCommands*3/2 { // of three controllers, one leads at a time
			t.Errorf("%s: %d direct commands at the same time", what, g.maxCommandsInFlight)
		}
		if n := g.directCommands - directs; n > 3*elections*g.machines {
			t.Errorf("%s: %d direct commands", what, n)
		}
		if rps, wps := float64(g.storeRequests-requests)/took, float64(g.changesWritten-puts)/took; rps > c.StoreRPS/2 || wps > c.StoreWriteRPS/2 {
			t.Errorf("%s: %.0f requests and %.0f changes a second", what, rps, wps)
		}
		if n := g.lostLeaseCount() - lost; n > 0 {
			t.Errorf("%s: %d machines lost their lease", what, n)
		}
		if now := g.runningTaskCount(); now < running*3/4 {
			t.Errorf("%s: %d tasks ran before, %d now", what, running, now)
		}
	}
	g.Leader().Crash()
	takeover("the leader crashes", 1, 75*second)

	for _, n := range g.Controllers {
		n.CrashFor(300 * time.Millisecond)
	}
	for i, n := range g.Controllers {
		g.After(time.Duration(6000+400*i)*time.Millisecond, func() { n.CrashFor(200 * time.Millisecond) })
	}
	takeover("all crash, again inside the election", 2, 115*second)

	hung := sortedKeys(g.Workers)[300:400]
	for _, e := range hung {
		g.Workers[e].Pause(40 * second)
	}
	g.RunUntil(185 * second)
	back := 0
	for _, e := range hung {
		if wk := g.Workers[e]; wk != nil && wk.epoch > 0 && g.Now < wk.leaseStartedAt+c.Lease {
			back++
		}
	}
	if back < len(hung)*3/4 {
		t.Errorf("of %d machines that hung for longer than their lease %d are back", len(hung), back)
	}
	g.RepeatFraction, g.LateReportCopyFraction = 0, 0
	g.Checker.CheckKnown(75 * second)
	g.RunUntil(262 * second)
	g.Checker.CheckServed()
	for _, b := range g.Checker.Violations {
		t.Error(b)
	}
	if accepted, done := g.Checker.CountBatchJobs(); accepted < 50 || done < accepted {
		t.Errorf("%d of %d jobs done at the end of the day", done, accepted)
	}
}

// fleetWork are what may not grow with the fleet.
type fleetWork struct {
	machines                  int
	allocsPerReport           float64       // of the leader
	scansPerMachine           float64       // until a takeover is settled
	commandsPerMachine        float64       // of the takeover
	takeoverDuration          time.Duration // the election
	steadyChanges             float64       // in the state service, in 30 s
	takeoverChanges           float64       // in the 20 s after the leader's end
	takeoverRequestsPerSecond float64       // to it, in these
	leastCancelMargin         time.Duration // of the tasks of cancelled jobs
	leasesLost                int
}

// measureFleetWork plays a minute of a fleet whose leader ends as jobs are cancelled.
func measureFleetWork(t *testing.T, zone int) fleetWork {
	g := newLargestDeployment(1, zone)
	g.submitLoad(60 * second)
	var elected, settled time.Duration
	g.onLog("elected", func() { elected = g.Now })
	g.onLog("all machines accounted for", func() { settled = g.Now })
	g.RunUntil(20 * second)
	puts := g.changesWritten
	g.RunUntil(50 * second)
	c := fleetWork{machines: g.machines, steadyChanges: float64(g.changesWritten - puts)}
	puts, requests, directs := g.changesWritten, g.storeRequests, g.directCommands
	g.cancelRunningJobs(10, 0)
	g.Leader().Crash()
	g.RunUntil(70 * second)
	n := g.Leader()
	if n == nil {
		t.Fatal("nobody leads")
	}
	c.takeoverChanges, c.takeoverRequestsPerSecond = float64(g.changesWritten-puts), float64(g.storeRequests-requests)/20
	c.scansPerMachine = float64(n.State.MachinesScanned()) / float64(g.machines)
	c.commandsPerMachine = float64(g.directCommands-directs) / float64(g.machines)
	c.takeoverDuration, c.leastCancelMargin, c.leasesLost = settled-elected, g.Checker.LeastMargin, g.lostLeaseCount()
	wk := g.Workers[sortedKeys(g.Workers)[zone]]
	rep := wk.nextReport()
	c.allocsPerReport = testing.AllocsPerRun(100, func() {
		rep.Seq++
		n.State.Step(n.monotonicNow(), core.WorkerReport{RequestID: 1, Report: rep})
	})
	for _, b := range g.Checker.Violations {
		t.Error(b)
	}
	return c
}

// TestWorkByFleetSize counts, at 500 to 4,000 machines with the same load, what may
// not grow with the fleet: the leader's work on one report, the machines that it looks
// at and asks until a takeover is settled (by machine), and what it writes on an
// ordinary day. With 4,000 the takeover keeps to the state service's rates and to the
// leases, and tasks cancelled in it are gone in time.
func TestWorkByFleetSize(t *testing.T) {
	limits := largest(1).Config
	var smallest fleetWork
	for i, zone := range []int{167, 333, 667, 1334} {
		c := measureFleetWork(t, zone)
		t.Logf("%+v", c)
		if i == 0 {
			smallest = c
		}
		if c.allocsPerReport > smallest.allocsPerReport+2 {
			t.Errorf("%d machines: a report takes %.0f allocations, %.0f in the smallest fleet", c.machines, c.allocsPerReport, smallest.allocsPerReport)
		}
		if c.scansPerMachine > 6 || c.commandsPerMachine > 3 {
			t.Errorf("%d machines: %.1f looks and %.1f commands a machine until a takeover is settled", c.machines, c.scansPerMachine, c.commandsPerMachine)
		}
		if c.steadyChanges > 1.5*smallest.steadyChanges {
			t.Errorf("%d machines: %.0f changes in 30 s, %.0f in the smallest fleet", c.machines, c.steadyChanges, smallest.steadyChanges)
		}
		if c.takeoverDuration <= 0 || c.takeoverDuration > limits.Lease/2 || c.leasesLost > 0 {
			t.Errorf("%d machines: all accounted for %v after the election, %d leases lost", c.machines, c.takeoverDuration, c.leasesLost)
		}
		if c.takeoverRequestsPerSecond > limits.StoreRPS/2 || c.takeoverChanges > 20*limits.StoreWriteRPS/2 {
			t.Errorf("%d machines: %.0f requests a second and %.0f changes in a takeover", c.machines, c.takeoverRequestsPerSecond, c.takeoverChanges)
		}
		if c.leastCancelMargin < limits.CancelWithin-limits.Lease {
			t.Errorf("%d machines: tasks cancelled in the takeover were gone %v before the time allowed was over", c.machines, c.leastCancelMargin)
		}
	}
}

// onLog calls f whenever a controller logs a text.
func (g *grown) onLog(text string, f func()) {
	before := g.Options.Tamper
	g.Options.Tamper = func(w *Simulation, n *Controller, e core.Effect) core.Effect {
		if l, ok := e.(core.Log); ok && l.Text == text {
			f()
		}
		return before(w, n, e)
	}
}

// onReturn calls f for each machine that a controller asks the cloud to take back.
func (g *grown) onReturn(f func(host string)) {
	before := g.Options.Tamper
	g.Options.Tamper = func(w *Simulation, n *Controller, e core.Effect) core.Effect {
		if c, ok := e.(core.CloudCall); ok && c.Op == core.CloudReturn {
			for _, h := range c.Hosts {
				f(h)
			}
		}
		return before(w, n, e)
	}
}
