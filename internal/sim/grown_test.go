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
func newLargestDeployment(seed uint64, machinesPerZone int) *grown {
	return growTo(largest(seed), machinesPerZone)
}

// largest are the settings of the largest deployments, less the time that workers
// need for details.
func largest(seed uint64) Options {
	opt := DefaultOptions(seed)
	config := &opt.Config
	config.ReportInterval, config.Lease, config.CancelWithin = 6*second, 31*second, 51*second
	config.StoreRPS, config.StoreWriteRPS, config.MaxValueBytes, config.MaxTxnOps = 250, 70, 16<<10, 24
	config.MaxDirectCommands, config.MaxRequests = 152, 1990
	opt.WorkerStepInterval = 100 * time.Millisecond
	return opt
}

func growTo(opt Options, machinesPerZone int) *grown {
	fleet := &grown{roundsByInterval: map[time.Duration]int{}, machines: machinesPerZone * len(opt.Zones)}
	opt.Capacity = machinesPerZone
	opt.Config.Stopwatch = func() func() time.Duration {
		if fleet.Simulation != nil {
			fleet.roundsByInterval[fleet.Now/opt.Config.ReportInterval]++
		}
		return func() time.Duration { return 0 }
	}
	opt.Tamper = func(sim *Simulation, controller *Controller, e core.Effect) core.Effect {
		switch e := e.(type) {
		case core.StoreCall:
			fleet.storeRequests++
			fleet.changesWritten += len(e.Changes)
		case core.AgentCall:
			fleet.directCommands++
			fleet.commandsInFlight++
			fleet.maxCommandsInFlight = max(fleet.maxCommandsInFlight, fleet.commandsInFlight)
			sim.After(10*time.Millisecond, func() { fleet.commandsInFlight-- }) // the longest way there and back
		}
		return e
	}
	fleet.Simulation = New(opt)
	fleet.Cloud.BootTimeFactor = 0.02 // up within a moment
	for _, zone := range opt.Zones {
		fleet.Cloud.Rent("small", zone, false, machinesPerZone)
	}
	return fleet
}

// submitLoad keeps some 400 tasks running in jobs of 40, and services of 8.
func (fleet *grown) submitLoad(until time.Duration) {
	for i, at := 0, second; at < until; i, at = i+1, at+2*second {
		job := batchJob(fmt.Sprintf("req-%06d", i), 40)
		job.Class, job.Image = "batch", fmt.Sprintf("img-%d", i%6)
		fleet.At(at, func() { fleet.Users.Submit(job, 20*second) })
		if i%5 == 0 {
			service := serviceJob(fmt.Sprintf("req-%06d", 500000+i), 8)
			service.Class = "service"
			fleet.At(at, func() { fleet.Users.Submit(service, 0) })
		}
	}
}

// TestLargeFleet counts, at the size of the largest deployments, what once grew
// with the fleet: writes of the roster, rounds of decisions, direct commands at
// a time, and how long it takes until all machines are of use.
func TestLargeFleet(t *testing.T) {
	fleet := newDefaultFleet(1)
	fleet.submitLoad(100 * second)
	fleet.RunUntil(8 * second)
	if n := len(fleet.Workers); n != 450 {
		t.Fatalf("%d machines are up, want 450", n)
	}
	if running := fleet.runningTaskCount(); running < 100 {
		t.Errorf("%d tasks run 8 s after the start: the machines aren't of use yet", running)
	}
	// One write a machine would be 450, and more than half a minute's worth.
	if fleet.changesWritten > 120 {
		t.Errorf("%d changes written to the state service in the first 8 s", fleet.changesWritten)
	}
	fleet.RunUntil(40 * second)
	changes, requests := fleet.changesWritten, fleet.storeRequests
	fleet.RunUntil(60 * second)
	requestRate, changeRate := float64(fleet.storeRequests-requests)/20, float64(fleet.changesWritten-changes)/20
	if requestRate > fleet.Options.Config.StoreRPS || changeRate > fleet.Options.Config.StoreWriteRPS {
		t.Errorf("%.0f requests and %.0f changes a second, more than the state service takes", requestRate, changeRate)
	}
	for at, n := range fleet.roundsByInterval {
		if n > 26 { // 24, and one at each end
			t.Errorf("%d rounds of decisions in the report interval from %v", n, at*fleet.Options.Config.ReportInterval)
		}
	}

	// The leader crashes: its successor must reach every machine well inside
	// the lease, without asking all of them at the same moment.
	before, violations := fleet.directCommands, len(fleet.Checker.Violations)
	running := fleet.runningTaskCount()
	fleet.maxCommandsInFlight = 0
	fleet.Leader().Crash()
	fleet.RunUntil(60*second + fleet.Options.Config.Lease + 2*second)
	if fleet.maxCommandsInFlight > 100 {
		t.Errorf("%d direct commands at the same time", fleet.maxCommandsInFlight)
	}
	if n := fleet.directCommands - before; n > 3*450 {
		t.Errorf("%d direct commands after the takeover", n)
	}
	if runningNow := fleet.runningTaskCount(); runningNow < running/2 {
		t.Errorf("%d tasks ran before the crash, %d a lease later", running, runningNow)
	}
	if len(fleet.Checker.Violations) > violations {
		t.Error(fleet.Checker.Violations)
	}
	if lost := fleet.lostLeaseCount(); lost > 0 {
		t.Errorf("%d of 450 machines lost their lease in the takeover", lost)
	}
}

// TestLargeFleetZoneCut: a third of a large fleet is cut off. Nothing of it is
// returned, the rest goes on, and what the zone held runs elsewhere before the
// cut is over.
func TestLargeFleetZoneCut(t *testing.T) {
	fleet := newDefaultFleet(2)
	fleet.submitLoad(60 * second)
	fleet.At(50*second, func() { cutZone(fleet.Simulation, "c", 40*second, "hold") })
	fleet.RunUntil(85 * second)
	returned := 0
	for _, machine := range fleet.Cloud.machines {
		if machine.Zone == "c" && machine.removed {
			returned++
		}
	}
	if returned > 15 {
		t.Errorf("%d machines of the zone that was only cut off were returned", returned)
	}
	for _, id := range sortedKeys(fleet.Checker.jobs) {
		if job := fleet.Checker.jobs[id]; job.spec.Kind == model.KindService && len(job.runningOn) != job.spec.Tasks {
			t.Errorf("%s: %d of %d replicas run 35 s after the cut", id, len(job.runningOn), job.spec.Tasks)
		}
	}
	fleet.RunUntil(130 * second)
	for _, violation := range fleet.Checker.Violations {
		t.Error(violation)
	}
}

// TestLostMachinesDoNotDelayTakeover: a machine that the cloud has taken after notice
// is returned by name, so that it is surely gone; one that died with the leader
// is given up after a command in vain. Either once kept every older job of a
// large fleet waiting after an election.
func TestLostMachinesDoNotDelayTakeover(t *testing.T) {
	fleet := newLargestDeployment(3, 150)
	fleet.submitLoad(100 * second)
	var returnedAt, electedAt, settledAt time.Duration
	fleet.onReturn(func(host string) {
		if host == "n-000007" && returnedAt == 0 {
			returnedAt = fleet.Now
		}
	})
	fleet.onLog("elected", func() { electedAt = fleet.Now })
	fleet.onLog("all machines accounted for", func() { settledAt = fleet.Now })
	fleet.At(20*second, func() { fleet.Cloud.Reclaim("n-000007", 10*second) })
	fleet.RunUntil(40 * second)
	if returnedAt == 0 || returnedAt > 33*second {
		t.Errorf("the machine taken at 30 s was returned at %v", returnedAt)
	}
	fleet.Cloud.RemoveMachine("n-000008")
	fleet.Leader().Crash()
	fleet.RunUntil(90 * second)
	if maxDelay := 10 * second; settledAt < electedAt || settledAt-electedAt > maxDelay {
		t.Errorf("elected at %v, all machines accounted for at %v, want within %v", electedAt, settledAt, maxDelay)
	}
	for _, violation := range fleet.Checker.Violations {
		t.Error(violation)
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
	fleet := growTo(opt, 150)
	fleet.submitLoad(100 * second)
	var electedAt, settledAt []time.Duration
	returnedAt := map[string]time.Duration{}
	fleet.onReturn(func(host string) { returnedAt[host] = fleet.Now })
	fleet.onLog("elected", func() { electedAt = append(electedAt, fleet.Now) })
	fleet.onLog("all machines accounted for", func() { settledAt = append(settledAt, fleet.Now) })
	fleet.RunUntil(40 * second)
	zone := fleet.Workers[sortedKeys(fleet.Workers)[0]].info.Zone
	cutZone(fleet.Simulation, zone, 60*second, "drop")
	for _, controller := range fleet.Controllers {
		controller.Crash()
	}
	for fleet.Leader() == nil && fleet.Now < 60*second {
		fleet.RunUntil(fleet.Now + 50*time.Millisecond)
	}
	fleet.RunUntil(fleet.Now + second)
	leader := fleet.Leader()
	fleet.Store.UnavailableTo[leader.Name] = true
	for leader == fleet.Leader() {
		fleet.RunUntil(fleet.Now + 50*time.Millisecond)
	}
	var removed []string
	for _, k := range sortedKeys(fleet.Workers) {
		if worker := fleet.Workers[k]; worker.info.Zone != zone && len(removed) < 4 {
			removed = append(removed, worker.info.Host)
			fleet.Cloud.RemoveMachine(worker.info.Host)
		}
	}
	fleet.RunUntil(70 * second)
	if len(electedAt) != 3 || len(settledAt) != 2 {
		t.Fatalf("elected at %v, all machines accounted for at %v", electedAt, settledAt)
	}
	for _, host := range removed {
		if at := returnedAt[host]; at == 0 || at-electedAt[2] > 6*second {
			t.Errorf("%s, which died at the election at %v, was returned at %v", host, electedAt[2], at)
		}
	}
	if limit := electedAt[1] + opt.Config.Lease + second; settledAt[1] > limit {
		t.Errorf("all machines accounted for at %v, want at %v, when the leases of the cut zone are over", settledAt[1], limit)
	}
	for _, violation := range fleet.Checker.Violations {
		t.Error(violation)
	}
}

// lostLeaseCount counts the machines whose lease has run out since they came up.
func (fleet *grown) lostLeaseCount() int {
	n := 0
	for _, worker := range fleet.Workers {
		if worker.session > 1 {
			n++
		}
	}
	return n
}

// TestAllocationsOfReports: what the core allocates for a report that brings
// nothing new and for its answer is a handful, whatever the size of the fleet.
func TestAllocationsOfReports(t *testing.T) {
	allocations := func(machinesPerZone int) float64 {
		fleet := growTo(DefaultOptions(2), machinesPerZone)
		fleet.submitLoad(20 * second)
		fleet.RunUntil(20 * second)
		leader, worker := fleet.Leader(), fleet.Workers[sortedKeys(fleet.Workers)[7]]
		reports := make([]model.Report, 201)
		for i := range reports {
			reports[i] = worker.nextReport()
		}
		i := 0
		return testing.AllocsPerRun(200, func() {
			out := leader.State.Step(leader.monotonicNow(), core.WorkerReport{RequestID: 1, Report: reports[i]})
			i++
			if len(out) == 0 {
				t.Fatal("no answer at once")
			}
		})
	}
	small, large := allocations(50), allocations(150)
	if small > 12 || large > small+8 {
		t.Errorf("%v allocations a report with 150 machines, %v with 450", small, large)
	}
}

// TestAllocationsOfRounds: rounds of decisions and ticks that find nothing to do,
// while a job waits that fits nowhere now, go over all machines, but allocate less
// than once for each.
func TestAllocationsOfRounds(t *testing.T) {
	allocations := func(machinesPerZone int) float64 {
		fleet := growTo(DefaultOptions(2), machinesPerZone)
		for i := range machinesPerZone { // each takes three machines
			fleet.At(second, func() { fleet.Users.Submit(serviceJob(fmt.Sprintf("req-%06d", i), 6), 0) })
		}
		fleet.At(30*second, func() {
			job := batchJob("req-900000", 4)
			fleet.Users.Submit(job, 10*second)
		})
		fleet.RunUntil(40 * second)
		leader := fleet.Leader()
		roundCount := func() (total int) {
			for _, n := range fleet.roundsByInterval {
				total += n
			}
			return total
		}
		now, before := leader.monotonicNow(), roundCount()
		perRound := testing.AllocsPerRun(4, func() { // and once before
			now += fleet.Options.Config.ReportInterval/6 + time.Millisecond // a round is due each sixth
			leader.State.Step(now, core.Tick{WallMs: now.Milliseconds()})
		})
		if got := roundCount() - before; got < 5 || !leader.State.IsLeaderAt(now) {
			t.Fatalf("%d rounds in 5 ticks, leading: %v", got, leader.State.IsLeaderAt(now))
		}
		return perRound
	}
	small, large := allocations(50), allocations(150)
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
	fleet := newLargestDeployment(1, 700)
	fleet.RepeatFraction, fleet.LateReportCopyFraction = 0.03, 0.03
	watchLeaders(fleet.Simulation)
	fleet.submitLoad(150 * second)
	config := fleet.Options.Config

	fleet.RunUntil(15 * second)
	if n := len(fleet.Workers); n != fleet.machines {
		t.Fatalf("%d machines are up, want %d", n, fleet.machines)
	}
	if running := fleet.runningTaskCount(); running < 150 {
		t.Errorf("%d tasks run 15 s after the start: the machines aren't of use yet", running)
	}
	if fleet.changesWritten > fleet.machines/4 { // a page holds 27 machines, and is written again as it fills
		t.Errorf("%d changes written to the state service in the first 15 s", fleet.changesWritten)
	}

	changes, requests := fleet.changesWritten, fleet.storeRequests
	fleet.RunUntil(35 * second)
	if requestRate, changeRate := float64(fleet.storeRequests-requests)/20, float64(fleet.changesWritten-changes)/20; requestRate > config.StoreRPS/2 || changeRate > config.StoreWriteRPS/2 {
		t.Errorf("%.0f requests and %.0f changes a second on an ordinary day", requestRate, changeRate)
	}

	takeover := func(stage string, elections int, until time.Duration) {
		t.Helper()
		commands, lost, running := fleet.directCommands, fleet.lostLeaseCount(), fleet.runningTaskCount()
		changes, requests, from := fleet.changesWritten, fleet.storeRequests, fleet.Now
		fleet.maxCommandsInFlight = 0
		fleet.RunUntil(until)
		elapsedSeconds := (fleet.Now - from).Seconds()
		if fleet.maxCommandsInFlight > config.MaxDirectCommands*3/2 { // of three controllers, one leads at a time
			t.Errorf("%s: %d direct commands at the same time", stage, fleet.maxCommandsInFlight)
		}
		if n := fleet.directCommands - commands; n > 3*elections*fleet.machines {
			t.Errorf("%s: %d direct commands", stage, n)
		}
		if requestRate, changeRate := float64(fleet.storeRequests-requests)/elapsedSeconds, float64(fleet.changesWritten-changes)/elapsedSeconds; requestRate > config.StoreRPS/2 || changeRate > config.StoreWriteRPS/2 {
			t.Errorf("%s: %.0f requests and %.0f changes a second", stage, requestRate, changeRate)
		}
		if n := fleet.lostLeaseCount() - lost; n > 0 {
			t.Errorf("%s: %d machines lost their lease", stage, n)
		}
		if runningNow := fleet.runningTaskCount(); runningNow < running*3/4 {
			t.Errorf("%s: %d tasks ran before, %d now", stage, running, runningNow)
		}
	}
	fleet.Leader().Crash()
	takeover("the leader crashes", 1, 75*second)

	for _, controller := range fleet.Controllers {
		controller.CrashFor(300 * time.Millisecond)
	}
	for i, controller := range fleet.Controllers {
		fleet.After(time.Duration(6000+400*i)*time.Millisecond, func() { controller.CrashFor(200 * time.Millisecond) })
	}
	takeover("all crash, again inside the election", 2, 115*second)

	paused := sortedKeys(fleet.Workers)[300:400]
	for _, endpoint := range paused {
		fleet.Workers[endpoint].Pause(40 * second)
	}
	fleet.RunUntil(185 * second)
	reconnected := 0
	for _, endpoint := range paused {
		if worker := fleet.Workers[endpoint]; worker != nil && worker.epoch > 0 && fleet.Now < worker.leaseStartedAt+config.Lease {
			reconnected++
		}
	}
	if reconnected < len(paused)*3/4 {
		t.Errorf("of %d machines that hung for longer than their lease %d are back", len(paused), reconnected)
	}
	fleet.RepeatFraction, fleet.LateReportCopyFraction = 0, 0
	fleet.Checker.CheckKnown(75 * second)
	fleet.RunUntil(262 * second)
	fleet.Checker.CheckServed()
	for _, violation := range fleet.Checker.Violations {
		t.Error(violation)
	}
	if accepted, done := fleet.Checker.CountBatchJobs(); accepted < 50 || done < accepted {
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
func measureFleetWork(t *testing.T, machinesPerZone int) fleetWork {
	fleet := newLargestDeployment(1, machinesPerZone)
	fleet.submitLoad(60 * second)
	var electedAt, settledAt time.Duration
	fleet.onLog("elected", func() { electedAt = fleet.Now })
	fleet.onLog("all machines accounted for", func() { settledAt = fleet.Now })
	fleet.RunUntil(20 * second)
	changes := fleet.changesWritten
	fleet.RunUntil(50 * second)
	work := fleetWork{machines: fleet.machines, steadyChanges: float64(fleet.changesWritten - changes)}
	changes, requests, commands := fleet.changesWritten, fleet.storeRequests, fleet.directCommands
	fleet.cancelRunningJobs(10, 0)
	fleet.Leader().Crash()
	fleet.RunUntil(70 * second)
	leader := fleet.Leader()
	if leader == nil {
		t.Fatal("nobody leads")
	}
	work.takeoverChanges, work.takeoverRequestsPerSecond = float64(fleet.changesWritten-changes), float64(fleet.storeRequests-requests)/20
	work.scansPerMachine = float64(leader.State.MachinesScanned()) / float64(fleet.machines)
	work.commandsPerMachine = float64(fleet.directCommands-commands) / float64(fleet.machines)
	work.takeoverDuration, work.leastCancelMargin, work.leasesLost = settledAt-electedAt, fleet.Checker.LeastMargin, fleet.lostLeaseCount()
	worker := fleet.Workers[sortedKeys(fleet.Workers)[machinesPerZone]]
	report := worker.nextReport()
	work.allocsPerReport = testing.AllocsPerRun(100, func() {
		report.Seq++
		leader.State.Step(leader.monotonicNow(), core.WorkerReport{RequestID: 1, Report: report})
	})
	for _, violation := range fleet.Checker.Violations {
		t.Error(violation)
	}
	return work
}

// TestWorkByFleetSize counts, at 500 to 4,000 machines with the same load, what may
// not grow with the fleet: the leader's work on one report, the machines that it looks
// at and asks until a takeover is settled (by machine), and what it writes on an
// ordinary day. With 4,000 the takeover keeps to the state service's rates and to the
// leases, and tasks cancelled in it are gone in time.
func TestWorkByFleetSize(t *testing.T) {
	limits := largest(1).Config
	var smallest fleetWork
	for i, machinesPerZone := range []int{167, 333, 667, 1334} {
		work := measureFleetWork(t, machinesPerZone)
		t.Logf("%+v", work)
		if i == 0 {
			smallest = work
		}
		if work.allocsPerReport > smallest.allocsPerReport+2 {
			t.Errorf("%d machines: a report takes %.0f allocations, %.0f in the smallest fleet", work.machines, work.allocsPerReport, smallest.allocsPerReport)
		}
		if work.scansPerMachine > 6 || work.commandsPerMachine > 3 {
			t.Errorf("%d machines: %.1f looks and %.1f commands a machine until a takeover is settled", work.machines, work.scansPerMachine, work.commandsPerMachine)
		}
		if work.steadyChanges > 1.5*smallest.steadyChanges {
			t.Errorf("%d machines: %.0f changes in 30 s, %.0f in the smallest fleet", work.machines, work.steadyChanges, smallest.steadyChanges)
		}
		if work.takeoverDuration <= 0 || work.takeoverDuration > limits.Lease/2 || work.leasesLost > 0 {
			t.Errorf("%d machines: all accounted for %v after the election, %d leases lost", work.machines, work.takeoverDuration, work.leasesLost)
		}
		if work.takeoverRequestsPerSecond > limits.StoreRPS/2 || work.takeoverChanges > 20*limits.StoreWriteRPS/2 {
			t.Errorf("%d machines: %.0f requests a second and %.0f changes in a takeover", work.machines, work.takeoverRequestsPerSecond, work.takeoverChanges)
		}
		if work.leastCancelMargin < limits.CancelWithin-limits.Lease {
			t.Errorf("%d machines: tasks cancelled in the takeover were gone %v before the time allowed was over", work.machines, work.leastCancelMargin)
		}
	}
}

// onLog calls f whenever a controller logs a text.
func (fleet *grown) onLog(text string, f func()) {
	before := fleet.Options.Tamper
	fleet.Options.Tamper = func(sim *Simulation, controller *Controller, e core.Effect) core.Effect {
		if l, ok := e.(core.Log); ok && l.Text == text {
			f()
		}
		return before(sim, controller, e)
	}
}

// onReturn calls f for each machine that a controller asks the cloud to take back.
func (fleet *grown) onReturn(f func(host string)) {
	before := fleet.Options.Tamper
	fleet.Options.Tamper = func(sim *Simulation, controller *Controller, e core.Effect) core.Effect {
		if call, ok := e.(core.CloudCall); ok && call.Op == core.CloudReturn {
			for _, host := range call.Hosts {
				f(host)
			}
		}
		return before(sim, controller, e)
	}
}
