package sim

import (
	"fmt"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// largeFleet is a simulation of a large fleet whose machines are up almost at once. It
// counts the controllers' calls to the state service and to workers.
type largeFleet struct {
	*Simulation
	machines int // number of machines rented at the start

	// Counters of changes written to the state service, requests to it, and direct
	// commands to workers, which are those not sent in reply to a report.
	changesWritten, storeRequests, directCommands, maxCommandsInFlight, commandsInFlight int

	roundsByInterval map[time.Duration]int // scheduling rounds, keyed by the number of the report interval in which they start
}

// newDefaultFleet starts a fleet of 450 machines with the default options.
func newDefaultFleet(seed uint64) *largeFleet { return newLargeFleet(DefaultOptions(seed), 150) }

// newLargestDeployment starts a fleet in three zones with the settings of the largest
// deployments.
func newLargestDeployment(seed uint64, machinesPerZone int) *largeFleet {
	return newLargeFleet(largestDeploymentOptions(seed), machinesPerZone)
}

// largestDeploymentOptions returns the options of the largest deployments. Workers make a
// step every 100 ms instead of every 20 ms, so that the simulation takes less time.
func largestDeploymentOptions(seed uint64) Options {
	opt := DefaultOptions(seed)
	config := &opt.Config
	config.ReportInterval, config.Lease, config.CancelWithin = 6*second, 31*second, 51*second
	config.StoreRPS, config.StoreWriteRPS, config.MaxValueBytes, config.MaxTxnOps = 250, 70, 16<<10, 24
	config.MaxDirectCommands, config.MaxRequests = 152, 1990
	opt.WorkerStepInterval = 100 * time.Millisecond
	return opt
}

// newLargeFleet starts a fleet with the given number of machines in each zone, and counts
// the scheduling rounds and the controllers' calls.
func newLargeFleet(opt Options, machinesPerZone int) *largeFleet {
	fleet := &largeFleet{roundsByInterval: map[time.Duration]int{}, machines: machinesPerZone * len(opt.Zones)}
	opt.Capacity = machinesPerZone
	opt.Config.Stopwatch = func() func() time.Duration { // the core starts it once in each scheduling round
		if fleet.Simulation != nil {
			fleet.roundsByInterval[fleet.Now/opt.Config.ReportInterval]++
		}
		return func() time.Duration { return 0 }
	}
	opt.Tamper = func(sim *Simulation, controller *Controller, effect core.Effect) core.Effect {
		switch e := effect.(type) {
		case core.StoreCall:
			fleet.storeRequests++
			fleet.changesWritten += len(e.Changes)
		case core.AgentCall:
			fleet.directCommands++
			fleet.commandsInFlight++
			fleet.maxCommandsInFlight = max(fleet.maxCommandsInFlight, fleet.commandsInFlight)
			sim.After(10*time.Millisecond, func() { fleet.commandsInFlight-- }) // the longest round trip: 5 ms each way
		}
		return effect
	}
	fleet.Simulation = New(opt)
	fleet.Cloud.BootTimeFactor = 0.02 // boots take 0.3 s at most
	for _, zone := range opt.Zones {
		fleet.Cloud.Rent("small", zone, false, machinesPerZone)
	}
	return fleet
}

// submitLoad submits a batch job of 40 tasks every 2 s, which keeps some 400 tasks
// running, and a service of 8 replicas every 10 s.
func (fleet *largeFleet) submitLoad(until time.Duration) {
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

// TestLargeFleet bounds costs that grew with the number of machines in earlier versions:
// writes of the machine registry, scheduling rounds, concurrent direct commands, and the
// time until tasks run after a start and until a new leader has replied to all machines.
func TestLargeFleet(t *testing.T) {
	fleet := newDefaultFleet(1)
	fleet.submitLoad(100 * second)
	fleet.RunUntil(8 * second)
	if n := len(fleet.Workers); n != 450 {
		t.Fatalf("got %d machines up, want 450", n)
	}
	if running := fleet.runningTaskCount(); running < 100 {
		t.Errorf("got %d tasks running 8 s after the start, want at least 100", running)
	}
	// One write for each machine would be 450 changes, which take at least 9 s at the
	// limit of 50 changes a second.
	if fleet.changesWritten > 120 {
		t.Errorf("got %d changes written to the state service in the first 8 s, want at most 120", fleet.changesWritten)
	}
	fleet.RunUntil(40 * second)
	changes, requests := fleet.changesWritten, fleet.storeRequests
	fleet.RunUntil(60 * second)
	requestRate, changeRate := float64(fleet.storeRequests-requests)/20, float64(fleet.changesWritten-changes)/20
	if requestRate > fleet.Options.Config.StoreRPS || changeRate > fleet.Options.Config.StoreWriteRPS {
		t.Errorf("got %.0f requests and %.0f changes a second, want at most the limits of the state service", requestRate, changeRate)
	}
	for at, n := range fleet.roundsByInterval {
		if n > 26 { // the core makes at most 24 rounds in an interval; one more may fall on each end
			t.Errorf("got %d scheduling rounds in the report interval from %v, want at most 26", n, at*fleet.Options.Config.ReportInterval)
		}
	}

	// The leader crashes. Its successor must reach every machine before the machine's
	// lease expires, without querying all of them at the same time.
	commandsBefore, violationsBefore := fleet.directCommands, len(fleet.Checker.Violations)
	running := fleet.runningTaskCount()
	fleet.maxCommandsInFlight = 0
	fleet.Leader().Crash()
	fleet.RunUntil(60*second + fleet.Options.Config.Lease + 2*second)
	if fleet.maxCommandsInFlight > 100 {
		t.Errorf("got %d direct commands at the same time, want at most 100", fleet.maxCommandsInFlight)
	}
	if n := fleet.directCommands - commandsBefore; n > 3*450 {
		t.Errorf("got %d direct commands after the crash, want at most three for each machine", n)
	}
	if runningNow := fleet.runningTaskCount(); runningNow < running/2 {
		t.Errorf("%d tasks ran before the crash; got %d a lease later, want at least half", running, runningNow)
	}
	if len(fleet.Checker.Violations) > violationsBefore {
		t.Error(fleet.Checker.Violations)
	}
	if lost := fleet.lostLeaseCount(); lost > 0 {
		t.Errorf("got %d of 450 machines whose lease expired in the takeover, want 0", lost)
	}
}

// TestLargeFleetZoneCut cuts off one of the three zones of a large fleet for 40 s. Hardly
// any machine of the zone may be returned to the cloud, the other zones must go on, and
// the replicas of services that ran in the cut zone must run in them before the cut ends.
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
		t.Errorf("got %d machines of the cut zone returned, want at most 15", returned)
	}
	for _, id := range sortedKeys(fleet.Checker.jobs) {
		if job := fleet.Checker.jobs[id]; job.spec.Kind == model.KindService && len(job.runningOn) != job.spec.Tasks {
			t.Errorf("%s: got %d replicas running 35 s after the start of the cut, want %d", id, len(job.runningOn), job.spec.Tasks)
		}
	}
	fleet.RunUntil(130 * second)
	for _, violation := range fleet.Checker.Violations {
		t.Error(violation)
	}
}

// TestLostMachinesDoNotDelayTakeover checks that lost machines don't delay a takeover. A
// new leader starts no task of a job from before its election until all machines that may
// already run one are accounted for: each has listed its tasks to this leader, or its tasks
// have certainly ended. A machine that the cloud reclaimed after notice is returned by name, which
// makes sure that it is gone. A machine that died together with the leader is presumed lost
// and returned after a command that it doesn't answer. In earlier versions, one such
// machine of either kind kept all older jobs of a large fleet waiting.
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
		t.Errorf("machine reclaimed by the cloud at 30 s: got it returned by name at %v (0s: not), want by 33 s", returnedAt)
	}
	fleet.Cloud.RemoveMachine("n-000008")
	fleet.Leader().Crash()
	fleet.RunUntil(90 * second)
	if maxDelay := 10 * second; settledAt < electedAt || settledAt-electedAt > maxDelay {
		t.Errorf("leader elected at %v: got all machines accounted for at %v, want after the election and within %v of it", electedAt, settledAt, maxDelay)
	}
	for _, violation := range fleet.Checker.Violations {
		t.Error(violation)
	}
}

// TestCutZoneDoesNotDelayOtherMachines cuts off a zone as all controllers crash. The
// next leader reaches the other zones, but then loses the state service and steps down.
// At that time four machines of the other zones die. The last leader must return these
// four within 6 s of its election, although the machines of the cut zone don't answer its
// commands either. It must have accounted for all machines as soon as the leases in the
// cut zone have expired. In an earlier version the probes of the cut zone's machines left
// those of the other zones without sockets, with about half of the seeds.
func TestCutZoneDoesNotDelayOtherMachines(t *testing.T) {
	for _, seed := range []uint64{2, 4, 5, 7, 9, 13} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkCutZoneDelaysNoOthers(t, seed)
		})
	}
}

func checkCutZoneDelaysNoOthers(t *testing.T, seed uint64) {
	opt := DefaultOptions(seed)
	opt.Config.MaxDirectCommands = 24 // far fewer than the 150 machines of the cut zone
	fleet := newLargeFleet(opt, 150)
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
	for _, endpoint := range sortedKeys(fleet.Workers) {
		if worker := fleet.Workers[endpoint]; worker.info.Zone != zone && len(removed) < 4 {
			removed = append(removed, worker.info.Host)
			fleet.Cloud.RemoveMachine(worker.info.Host)
		}
	}
	fleet.RunUntil(70 * second)
	if len(electedAt) != 3 || len(settledAt) != 2 {
		t.Fatalf("got leaders elected at %v and all machines accounted for at %v, want 3 elections and all machines accounted for twice", electedAt, settledAt)
	}
	for _, host := range removed {
		if at := returnedAt[host]; at == 0 || at-electedAt[2] > 6*second {
			t.Errorf("machine %s died at the election at %v: got it returned at %v (0s: not), want within 6 s of the election", host, electedAt[2], at)
		}
	}
	// The second leader never replied to the cut zone and has told its successor so.
	if limit := electedAt[1] + opt.Config.Lease + second; settledAt[1] > limit {
		t.Errorf("got all machines accounted for at %v, want by %v, when the leases of the cut zone have expired", settledAt[1], limit)
	}
	for _, violation := range fleet.Checker.Violations {
		t.Error(violation)
	}
}

// lostLeaseCount returns the number of machines whose lease has expired since they
// started.
func (fleet *largeFleet) lostLeaseCount() int {
	n := 0
	for _, worker := range fleet.Workers {
		if worker.session > 1 {
			n++
		}
	}
	return n
}

// TestAllocationsOfReports checks that the core makes few allocations to handle a report
// without new information and to reply to it, whatever the size of the fleet.
func TestAllocationsOfReports(t *testing.T) {
	allocations := func(machinesPerZone int) float64 {
		fleet := newLargeFleet(DefaultOptions(2), machinesPerZone)
		fleet.submitLoad(20 * second)
		fleet.RunUntil(20 * second)
		leader, worker := fleet.Leader(), fleet.Workers[sortedKeys(fleet.Workers)[7]]
		reports := make([]model.Report, 201) // AllocsPerRun calls the function once more than 200 times
		for i := range reports {
			reports[i] = worker.nextReport()
		}
		i := 0
		return testing.AllocsPerRun(200, func() {
			effects := leader.State.Step(leader.monotonicNow(), core.WorkerReport{RequestID: 1, Report: reports[i]})
			i++
			if len(effects) == 0 {
				t.Fatal("got no reply in the step that handles the report, want one")
			}
		})
	}
	small, large := allocations(50), allocations(150)
	if small > 12 || large > small+8 {
		t.Errorf("got %v allocations for each report with 150 machines and %v with 450, want at most 12 and at most 8 more", small, large)
	}
}

// TestAllocationsOfRounds checks scheduling rounds and ticks that find nothing to do
// while a job waits for which no machine has free capacity. A tick with its round goes over
// all machines, but may make at most one allocation for each machine.
func TestAllocationsOfRounds(t *testing.T) {
	allocations := func(machinesPerZone int) float64 {
		options := DefaultOptions(2)
		// No page of the registry is written for machines that seem unresponsive because they
		// stand still during the measurement.
		options.Config.MaxClockSkew = 0
		fleet := newLargeFleet(options, machinesPerZone)
		for i := range machinesPerZone { // each service fills three machines, so that all are full
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
		now, roundsBefore := leader.monotonicNow(), roundCount()
		perRound := testing.AllocsPerRun(4, func() { // AllocsPerRun calls the function once more, before the measurement
			now += fleet.Options.Config.ReportInterval/6 + time.Millisecond // a round is due each sixth of a report interval
			leader.State.Step(now, core.Tick{WallMs: now.Milliseconds()})
		})
		if got := roundCount() - roundsBefore; got < 5 || !leader.State.IsLeaderAt(now) {
			t.Fatalf("got %d rounds in 5 ticks and leading %v, want at least 5 and leading", got, leader.State.IsLeaderAt(now))
		}
		return perRound
	}
	small, large := allocations(50), allocations(150)
	if small > 150 || large > 450 {
		t.Errorf("got %v allocations for each tick and round with 150 machines and %v with 450, want at most 150 and 450", small, large)
	}
}

// TestLargestDeployment runs 2,100 machines through a start, ordinary load, a crash of
// the leader, a crash of all controllers, which restart at once and crash again
// during the election, and a pause of a hundred machines for longer than their
// lease. All the while, some requests and reports arrive a second time, late. The test
// bounds the load on the state service and the number of concurrent direct commands, each
// of which takes a connection.
func TestLargestDeployment(t *testing.T) {
	t.Parallel()
	fleet := newLargestDeployment(1, 700)
	fleet.RepeatFraction, fleet.LateReportCopyFraction = 0.03, 0.03
	watchLeaders(fleet.Simulation)
	fleet.submitLoad(150 * second)
	config := fleet.Options.Config

	fleet.RunUntil(15 * second)
	if n := len(fleet.Workers); n != fleet.machines {
		t.Fatalf("got %d machines up, want %d", n, fleet.machines)
	}
	if running := fleet.runningTaskCount(); running < 150 {
		t.Errorf("got %d tasks running 15 s after the start, want at least 150", running)
	}
	if fleet.changesWritten > fleet.machines/4 { // a registry page holds 27 machines and is rewritten as it fills
		t.Errorf("got %d changes written to the state service in the first 15 s, want at most one for four machines", fleet.changesWritten)
	}

	changes, requests := fleet.changesWritten, fleet.storeRequests
	fleet.RunUntil(35 * second)
	if requestRate, changeRate := float64(fleet.storeRequests-requests)/20, float64(fleet.changesWritten-changes)/20; requestRate > config.StoreRPS/2 || changeRate > config.StoreWriteRPS/2 {
		t.Errorf("got %.0f requests and %.0f changes a second under ordinary load, want at most half of the limits", requestRate, changeRate)
	}

	takeover := func(stage string, elections int, until time.Duration) {
		t.Helper()
		commands, lost, running := fleet.directCommands, fleet.lostLeaseCount(), fleet.runningTaskCount()
		changes, requests, from := fleet.changesWritten, fleet.storeRequests, fleet.Now
		fleet.maxCommandsInFlight = 0
		fleet.RunUntil(until)
		elapsedSeconds := (fleet.Now - from).Seconds()
		if fleet.maxCommandsInFlight > config.MaxDirectCommands*3/2 { // the limit is for each controller; the count is over all three, but only one leads at a time
			t.Errorf("%s: got %d direct commands at the same time, want at most 3/2 of the limit", stage, fleet.maxCommandsInFlight)
		}
		if n := fleet.directCommands - commands; n > 3*elections*fleet.machines {
			t.Errorf("%s: got %d direct commands, want at most three for each machine and election", stage, n)
		}
		if requestRate, changeRate := float64(fleet.storeRequests-requests)/elapsedSeconds, float64(fleet.changesWritten-changes)/elapsedSeconds; requestRate > config.StoreRPS/2 || changeRate > config.StoreWriteRPS/2 {
			t.Errorf("%s: got %.0f requests and %.0f changes a second, want at most half of the limits", stage, requestRate, changeRate)
		}
		if n := fleet.lostLeaseCount() - lost; n > 0 {
			t.Errorf("%s: got %d machines whose lease expired, want 0", stage, n)
		}
		if runningNow := fleet.runningTaskCount(); runningNow < running*3/4 {
			t.Errorf("%s: %d tasks ran before; got %d afterwards, want at least three quarters", stage, running, runningNow)
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
	takeover("all controllers crash, and again during the election", 2, 115*second)

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
		t.Errorf("%d machines paused for longer than their lease: got %d reconnected, want at least three quarters", len(paused), reconnected)
	}
	fleet.RepeatFraction, fleet.LateReportCopyFraction = 0, 0
	fleet.Checker.CheckKnown(75 * second)
	fleet.RunUntil(262 * second)
	fleet.Checker.CheckServed()
	for _, violation := range fleet.Checker.Violations {
		t.Error(violation)
	}
	if accepted, done := fleet.Checker.CountBatchJobs(); accepted < 50 || done < accepted {
		t.Errorf("got %d of %d accepted jobs done at the end, want at least 50 jobs and all of them done", done, accepted)
	}
}

// fleetWork holds measures of the controllers' work that may not grow with the fleet.
type fleetWork struct {
	machines                  int
	allocsPerReport           float64       // by the leader
	scansPerMachine           float64       // checks of whether a machine is accounted for, until all are
	commandsPerMachine        float64       // direct commands in the 20 s after the crash of the leader
	takeoverDuration          time.Duration // from the election until all machines are accounted for
	steadyChanges             float64       // changes written to the state service in 30 s of ordinary load, before the crash
	takeoverChanges           float64       // changes written in the 20 s after the crash
	takeoverRequestsPerSecond float64       // requests to the state service in these 20 s
	leastCancelMargin         time.Duration // least time left of cancel_s when a task of a cancelled job was gone
	leasesLost                int           // machines whose lease has expired
}

// measureFleetWork runs a fleet for 70 s. At 50 s ten jobs are cancelled and the
// leader crashes.
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
		t.Fatal("got no leader 20 s after the crash")
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

// TestWorkByFleetSize runs fleets of 500 to 4,000 machines with the same load. It
// bounds what may not grow with the fleet: the leader's allocations for one report,
// the scans of each machine and the commands to each machine in a takeover, and the
// changes written under ordinary load. At each size, no lease may expire in a takeover,
// the load on the state service may reach half of its limits at most, and the tasks of
// jobs that are cancelled as the leader crashes must be gone within a lease of the
// confirmation.
func TestWorkByFleetSize(t *testing.T) {
	limits := largestDeploymentOptions(1).Config
	var smallest fleetWork
	for i, machinesPerZone := range []int{167, 333, 667, 1334} {
		work := measureFleetWork(t, machinesPerZone)
		t.Logf("%+v", work)
		if i == 0 {
			smallest = work
		}
		if work.allocsPerReport > smallest.allocsPerReport+2 {
			t.Errorf("%d machines: got %.0f allocations for a report, want at most 2 more than the %.0f of the smallest fleet", work.machines, work.allocsPerReport, smallest.allocsPerReport)
		}
		if work.scansPerMachine > 6 || work.commandsPerMachine > 3 {
			t.Errorf("%d machines: got %.1f scans and %.1f commands for each machine in a takeover, want at most 6 and 3", work.machines, work.scansPerMachine, work.commandsPerMachine)
		}
		if work.steadyChanges > 1.5*smallest.steadyChanges {
			t.Errorf("%d machines: got %.0f changes in 30 s, want at most 1.5 times the %.0f of the smallest fleet", work.machines, work.steadyChanges, smallest.steadyChanges)
		}
		if work.takeoverDuration <= 0 || work.takeoverDuration > limits.Lease/2 || work.leasesLost > 0 {
			t.Errorf("%d machines: got all accounted for %v after the election and %d expired leases, want a positive time of at most half a lease, and no expired lease", work.machines, work.takeoverDuration, work.leasesLost)
		}
		if work.takeoverRequestsPerSecond > limits.StoreRPS/2 || work.takeoverChanges > 20*limits.StoreWriteRPS/2 {
			t.Errorf("%d machines: got %.0f requests a second and %.0f changes in a takeover, want at most half of the limits", work.machines, work.takeoverRequestsPerSecond, work.takeoverChanges)
		}
		if work.leastCancelMargin < limits.CancelWithin-limits.Lease {
			t.Errorf("%d machines: got the latest cancelled task gone %v before the end of cancel_s, want at least cancel_s less the lease", work.machines, work.leastCancelMargin)
		}
	}
}

// onLog calls f whenever a controller logs the given text.
func (fleet *largeFleet) onLog(text string, f func()) {
	previous := fleet.Options.Tamper
	fleet.Options.Tamper = func(sim *Simulation, controller *Controller, effect core.Effect) core.Effect {
		if entry, ok := effect.(core.Log); ok && entry.Text == text {
			f()
		}
		return previous(sim, controller, effect)
	}
}

// onReturn calls f for each machine that a controller returns to the cloud.
func (fleet *largeFleet) onReturn(f func(host string)) {
	previous := fleet.Options.Tamper
	fleet.Options.Tamper = func(sim *Simulation, controller *Controller, effect core.Effect) core.Effect {
		if call, ok := effect.(core.CloudCall); ok && call.Op == core.CloudReturn {
			for _, host := range call.Hosts {
				f(host)
			}
		}
		return previous(sim, controller, effect)
	}
}
