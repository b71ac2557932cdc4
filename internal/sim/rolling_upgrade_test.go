package sim

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// storedFields returns the kind of a key of the state service (its first two path
// elements) and the names of all fields in its value, at any depth. The machine names
// in pages of the machine registry (kind mf/r) don't count as fields.
func storedFields(key string, value []byte) (string, []string) {
	dir := strings.Join(strings.SplitN(key, "/", 3)[:2], "/")
	var v any
	if json.Unmarshal(value, &v) != nil {
		return dir, []string{"not JSON"}
	}
	fields := map[string]bool{}
	var add func(v any, top bool)
	add = func(v any, top bool) {
		switch v := v.(type) {
		case []any:
			for _, x := range v {
				add(x, false)
			}
		case map[string]any:
			for k, x := range v {
				if !top || dir != "mf/r" {
					fields[k] = true
				}
				add(x, false)
			}
		}
	}
	add(v, true)
	return dir, slices.Sorted(maps.Keys(fields))
}

// productionFields returns, for each kind of key, the fields that the version in
// production stores. That is the previous version, from which the tests upgrade. Its
// samples are lines "value KEY", each followed by an indented line with the value.
func productionFields(t *testing.T) map[string]map[string]bool {
	t.Helper()
	text, err := os.ReadFile("../core/testdata/production.txt")
	if err != nil {
		t.Fatal(err)
	}
	knownFields := map[string]map[string]bool{}
	key := ""
	for _, line := range strings.Split(string(text), "\n") {
		if k, ok := strings.CutPrefix(line, "value "); ok {
			key = k
		} else if value, ok := strings.CutPrefix(line, "  "); ok && key != "" {
			dir, fields := storedFields(key, []byte(value))
			if knownFields[dir] == nil {
				knownFields[dir] = map[string]bool{}
			}
			for _, field := range fields {
				knownFields[dir][field] = true
			}
			key = ""
		}
	}
	// These fields are omitted when they are empty, and no sample has them.
	for dir, fields := range map[string][]string{"mf/r": {"standing", "quiet"}, "mf/j": {"samePlace", "site", "flavors", "loaners", "dueS"}} {
		for _, field := range fields {
			knownFields[dir][field] = true
		}
	}
	return knownFields
}

// The limits to which the state service is lowered during or after an upgrade: bytes in
// a value, changes in a transaction, and changes a second.
const (
	loweredValueBytes      = 2 << 10
	loweredTxnOps          = 4
	loweredWritesPerSecond = 35
)

// lowerStoreLimits makes the state service apply the lowered limits.
func (s *Simulation) lowerStoreLimits() {
	s.Store.MaxValueBytes, s.Store.MaxTxnChanges, s.Store.MaxWritesPerSecond = loweredValueBytes, loweredTxnOps, loweredWritesPerSecond
}

// upgradeOptions returns the options of a cluster that runs the previous version and
// is upgraded to the present one. The present version keeps to the lowered limits from
// the start, the previous version to the limits before that.
func upgradeOptions(seed uint64) Options {
	opt := DefaultOptions(seed)
	opt.Config.Teams["tight"] = core.Team{Limit: sched.Resources{CPUs: 9}}
	previous := opt.Config
	opt.Config.MaxValueBytes, opt.Config.MaxTxnOps, opt.Config.StoreWriteRPS = loweredValueBytes, loweredTxnOps, loweredWritesPerSecond
	opt.ConfigurePreviousVersion = func(config *core.Config) {
		config.MaxValueBytes, config.MaxTxnOps, config.StoreWriteRPS = previous.MaxValueBytes, previous.MaxTxnOps, previous.StoreWriteRPS
	}
	opt.Capacity = 20
	return opt
}

// upgradeWatcher checks the controllers' writes during a rolling upgrade, and records when
// the cluster version is raised and when the first gang is accepted. The cluster version
// is the version of messages and stored values that the controllers may use. It is raised
// once all controllers run the present version, and only then gangs are accepted.
type upgradeWatcher struct {
	t                   *testing.T
	knownFields         map[string]map[string]bool // fields that the version in production stores, for each kind of key
	versionRaisedAt     time.Duration              // when the cluster version was raised; 0: not yet
	firstGangAcceptedAt time.Duration              // when the first gang was accepted; 0: not yet
}

// observe passes a write to checkWrite, or records the first acceptance of a gang. It
// returns the effect unchanged.
func (watcher *upgradeWatcher) observe(sim *Simulation, controller *Controller, effect core.Effect) core.Effect {
	switch e := effect.(type) {
	case core.StoreCall:
		watcher.checkWrite(sim, controller, e)
	case core.Reply: // the ids of the gangs of submitGangs begin with req-3
		if status, ok := e.Body.(core.JobStatus); ok && e.Status == 201 && strings.HasPrefix(status.ID, "req-3") && watcher.firstGangAcceptedAt == 0 {
			watcher.firstGangAcceptedAt = sim.Now
		}
	}
	return effect
}

// checkWrite checks a transaction of a controller of the present version. It must keep to
// the lowered limits. Until the cluster version is raised, it may write only keys and
// fields that the version in production knows.
func (watcher *upgradeWatcher) checkWrite(sim *Simulation, controller *Controller, call core.StoreCall) {
	if sim.OnPreviousVersion[controller.Name] {
		return
	}
	if len(call.Changes) > loweredTxnOps {
		watcher.t.Errorf("%s: got %d changes in a transaction, want at most the lowered limit of the state service", controller.Name, len(call.Changes))
	}
	for _, change := range call.Changes {
		if len(change.Value) > loweredValueBytes {
			watcher.t.Errorf("%s: got %d bytes written to %s, want at most the lowered limit of the state service", controller.Name, len(change.Value), change.Key)
		}
		// The version in production doesn't know the keys mf/forms (the cluster version)
		// and mf/v/ (the version of each controller), and ignores them. The first write of
		// mf/forms raises the cluster version.
		if change.Key == "mf/forms" {
			if watcher.versionRaisedAt == 0 {
				watcher.versionRaisedAt = sim.Now
			}
			continue
		}
		if change.Remove || watcher.versionRaisedAt != 0 || strings.HasPrefix(change.Key, "mf/v/") {
			continue
		}
		dir, fields := storedFields(change.Key, change.Value)
		if watcher.knownFields[dir] == nil {
			watcher.t.Errorf("%s: got a write of %s, want only keys that the version in production reads", controller.Name, change.Key)
		}
		for _, field := range fields {
			if !watcher.knownFields[dir][field] {
				watcher.t.Errorf("%s: got field %s written to %s, want only fields of the version in production until all controllers are upgraded", controller.Name, field, change.Key)
			}
		}
	}
}

// upgradeFaults are the faults that are injected into a rolling upgrade. inject gets the
// times at which the controllers are upgraded, between 40 and 71 s.
var upgradeFaults = []struct {
	name            string
	limitsLoweredAt time.Duration // when the state service lowers its limits; 0: at 100 s, after the upgrade
	inject          func(sim *Simulation, upgradeTimes []time.Duration)
}{
	{name: "the leader crashes and restarts at once", inject: func(sim *Simulation, _ []time.Duration) {
		sim.At(50*second, func() { sim.crashLeader(300 * time.Millisecond) })
	}},
	{name: "the state service is out", inject: func(sim *Simulation, _ []time.Duration) { sim.storeOutage(55*second, 68*second) }},
	{name: "the state service refuses the leader", inject: func(sim *Simulation, _ []time.Duration) {
		sim.At(52*second, func() { sim.makeStoreUnavailableToLeader(9 * second) })
	}},
	{name: "a zone is cut off", inject: func(sim *Simulation, _ []time.Duration) {
		sim.At(54*second, func() { cutZone(sim, "b", 12*second, "hold") })
	}},
	{name: "the leader crashes before and after each upgrade", inject: func(sim *Simulation, upgradeTimes []time.Duration) {
		for _, at := range upgradeTimes {
			sim.At(at-2*second, func() { sim.crashLeader(time.Second) })
			sim.At(at+5*second, func() { sim.crashLeader(time.Second) })
		}
	}},
	{name: "the state service refuses a follower", inject: func(sim *Simulation, upgradeTimes []time.Duration) {
		sim.At(upgradeTimes[0]+4*second, func() {
			for _, controller := range sim.Controllers {
				if controller != sim.Leader() {
					sim.Store.UnavailableTo[controller.Name] = true
					sim.After(25*second, func() { delete(sim.Store.UnavailableTo, controller.Name) })
					break
				}
			}
		})
	}},
	{name: "the state service lowers its limits during the upgrade", limitsLoweredAt: 57 * second, inject: func(*Simulation, []time.Duration) {}},
	{name: "the state service is slow, and replies are lost", inject: func(sim *Simulation, _ []time.Duration) {
		sim.At(41*second, func() { sim.Store.MaxExtraLatency, sim.Store.UnansweredFraction = 300*time.Millisecond, 0.2 })
		sim.At(90*second, func() { sim.Store.MaxExtraLatency, sim.Store.UnansweredFraction = 0, 0 })
	}},
}

// upgradeOrders are all orders in which three controllers can be upgraded.
var upgradeOrders = [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}

// TestRollingUpgrade upgrades the controllers one by one from the previous version to
// the present one, in each order, under load, with injected faults and with crashes
// that the seed chooses. The state service lowers its limits after that, or with one fault
// during the upgrade. Until the last controller is upgraded, submissions of gangs must be
// answered with "retry later", and everything must be stored in the format of the previous
// version.
func TestRollingUpgrade(t *testing.T) {
	knownFields := productionFields(t)
	mixes := map[string]bool{} // the leader's version and the number of other controllers of the previous version
	var mu sync.Mutex
	t.Cleanup(func() {
		if !t.Failed() && len(mixes) < 6 {
			t.Errorf("got mixes of versions %v, want all six: a leader of the previous or the present version, with none, one or two other controllers of the previous version", mixes)
		}
	})
	for seed := uint64(0); seed < uint64(max(len(upgradeFaults), 2**seedCount)); seed++ {
		fault := upgradeFaults[seed%uint64(len(upgradeFaults))]
		t.Run(fmt.Sprint("seed ", seed, ", ", fault.name), func(t *testing.T) {
			t.Parallel()
			watcher := &upgradeWatcher{t: t, knownFields: knownFields}
			opt := upgradeOptions(seed)
			opt.Tamper = watcher.observe
			sim := New(opt)
			sim.Users.ProbesAllControllers = true
			sim.Cloud.BootTimeFactor = 0.2
			for _, zone := range opt.Zones { // more machines than a registry page holds under the lowered limits
				sim.Cloud.Rent("small", zone, false, 16)
			}
			submitMixedLoad(sim, 130*second)
			submitGangs(sim, 130*second) // from the start, so that some must be retried until the upgrade is complete
			watchLeaders(sim)
			watchVersionMixes(sim, func(mix string) {
				mu.Lock()
				mixes[mix] = true
				mu.Unlock()
			})
			crash := func(at time.Duration, controller *Controller) {
				sim.At(at, func() { controller.CrashFor(time.Duration(200+sim.Rand.IntN(3000)) * time.Millisecond) })
			}
			var upgradeTimes []time.Duration
			for i, k := range upgradeOrders[seed%uint64(len(upgradeOrders))] {
				controller := sim.Controllers[k]
				at := time.Duration(40+12*i+sim.Rand.IntN(8)) * second
				sim.upgradeController(controller, at)
				upgradeTimes = append(upgradeTimes, at)
				if sim.Rand.IntN(2) == 0 {
					crash(at-time.Duration(3+sim.Rand.IntN(9))*second, controller) // restarts with the previous version
				}
				if sim.Rand.IntN(2) == 0 {
					crash(at+time.Duration(5+sim.Rand.IntN(5))*second, controller) // restarts with the present version
				}
			}
			fault.inject(sim, upgradeTimes)
			limitsLoweredAt := fault.limitsLoweredAt
			if limitsLoweredAt == 0 {
				limitsLoweredAt = 100 * second
			}
			sim.At(limitsLoweredAt, sim.lowerStoreLimits)
			sim.At(105*second, func() { // makes the leader change a registry page that a previous leader wrote
				sim.Cloud.RemoveMachine("n-000003")
				sim.Cloud.RemoveMachine("n-000020")
			})
			sim.At(115*second, func() {
				for _, controller := range sim.Controllers {
					controller.CrashFor(500 * time.Millisecond)
				}
			})
			sim.RunUntil(220 * second)
			sim.Checker.CheckKnown(75 * second)
			sim.RunUntil(330 * second)
			sim.Checker.CheckServed()
			for _, violation := range sim.Checker.Violations {
				t.Error(violation)
			}
			lastUpgradeAt := upgradeTimes[len(upgradeTimes)-1]
			if watcher.versionRaisedAt <= lastUpgradeAt || watcher.versionRaisedAt > lastUpgradeAt+30*second {
				t.Errorf("last controller upgraded at %v: got cluster version raised at %v (0s: not), want within 30 s after that", lastUpgradeAt, watcher.versionRaisedAt)
			}
			if watcher.firstGangAcceptedAt <= watcher.versionRaisedAt {
				t.Errorf("got first gang accepted at %v (0s: none), want it after the cluster version is raised at %v", watcher.firstGangAcceptedAt, watcher.versionRaisedAt)
			}
			if fault.limitsLoweredAt == 0 && sim.Store.RefusedTooLarge+sim.Store.RefusedRateLimited > 0 {
				t.Errorf("got %d transactions beyond the lowered limits and %d beyond the lowered rate, want 0", sim.Store.RefusedTooLarge, sim.Store.RefusedRateLimited)
			}
			gangs := 0
			for _, job := range sim.Checker.jobs {
				if job.spec.Kind == model.KindGang && job.confirmedDone {
					gangs++
				}
			}
			if accepted, done := sim.Checker.CountBatchJobs(); accepted < 10 || done < accepted || gangs < 5 {
				t.Errorf("got %d of %d accepted batch jobs and %d gangs done at the end, want at least 10 batch jobs, all of them done, and at least 5 gangs", done, accepted, gangs)
			}
		})
	}
}

// upgradeController restarts a controller with the present version at the given
// time; the restart takes 3 s.
func (s *Simulation) upgradeController(controller *Controller, at time.Duration) {
	s.At(at, func() {
		s.OnPreviousVersion[controller.Name] = false
		controller.CrashFor(3 * second)
	})
}

// watchVersionMixes calls seen every 100 ms, while there is a leader, with a text that says
// whether the leader runs the previous version and how many other running controllers do.
func watchVersionMixes(sim *Simulation, seen func(mix string)) {
	var sample func()
	sample = func() {
		if leader := sim.Leader(); leader != nil {
			others := 0
			for _, controller := range sim.Controllers {
				if controller != leader && controller.IsRunning() && controller.runsPreviousVersion {
					others++
				}
			}
			seen(fmt.Sprintf("leader of the previous version: %v, other controllers of that version: %d", leader.runsPreviousVersion, others))
		}
		sim.After(100*time.Millisecond, sample)
	}
	sample()
}

// TestRollingUpgradeWithUnreachableController checks that a controller that was upgraded
// and then can't be reached for minutes doesn't keep gangs waiting, since it has stored its
// version in the state service. If it was downgraded after that, and a leader of the
// present version could reach it after the downgrade, it must keep gangs waiting.
func TestRollingUpgradeWithUnreachableController(t *testing.T) {
	for _, tc := range []struct {
		name string
		// inject makes the first controller, which is upgraded at 40 s, unreachable for
		// the others from some time on until 200 s. inject also upgrades the second
		// controller. The third one is upgraded at 80 s.
		inject       func(sim *Simulation, controller *Controller)
		acceptsGangs bool // whether gangs are accepted while the controller can't be reached
	}{
		{"upgraded, then cut off from the other controllers", func(sim *Simulation, controller *Controller) {
			sim.At(46*second, func() { cutFromPeers(sim, controller, 154*second) })
			sim.upgradeController(sim.Controllers[1], 65*second)
		}, true},
		{"upgraded, then crashed", func(sim *Simulation, controller *Controller) {
			sim.At(50*second, func() { controller.CrashFor(150 * second) })
			sim.upgradeController(sim.Controllers[1], 65*second)
		}, true},
		{"downgraded, noticed by the leader, then cut off", func(sim *Simulation, controller *Controller) {
			sim.upgradeController(sim.Controllers[1], 50*second)
			sim.At(58*second, func() { sim.Controllers[2].CrashFor(14 * second) })
			sim.At(60*second, func() { sim.OnPreviousVersion[controller.Name] = true; controller.CrashFor(second) })
			sim.At(70*second, func() { cutFromPeers(sim, controller, 130*second) })
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= uint64(max(2, *seedCount/2)); seed++ {
				watcher := &upgradeWatcher{t: t, knownFields: productionFields(t)}
				opt := upgradeOptions(seed)
				opt.Tamper = watcher.observe
				sim := New(opt)
				submitMixedLoad(sim, 130*second)
				submitGangs(sim, 130*second)
				watchLeaders(sim)
				sim.upgradeController(sim.Controllers[0], 40*second)
				tc.inject(sim, sim.Controllers[0])
				sim.upgradeController(sim.Controllers[2], 80*second)
				sim.RunUntil(200 * second)
				if accepted := watcher.firstGangAcceptedAt != 0 && watcher.firstGangAcceptedAt < 110*second; accepted != tc.acceptsGangs {
					t.Errorf("seed %d: got first gang accepted at %v and cluster version raised at %v (0s: not), want one accepted before 110 s if the case sets acceptsGangs, and none before 110 s otherwise", seed, watcher.firstGangAcceptedAt, watcher.versionRaisedAt)
				}
				sim.RunUntil(250 * second)
				for _, violation := range sim.Checker.Violations {
					t.Errorf("seed %d: %s", seed, violation)
				}
			}
		})
	}
}

// cutFromPeers cuts a controller off from the other controllers only, for the given
// duration.
func cutFromPeers(sim *Simulation, controller *Controller, duration time.Duration) {
	for _, other := range sim.Controllers {
		if other != controller {
			sim.Cut(controller.Name, other.Name, "drop")
			sim.After(duration, func() { sim.Heal(controller.Name, other.Name) })
		}
	}
}
