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

// storedFields lists the fields of a stored value, of whatever depth, by the kind of
// its key; the names of machines in the roster are none.
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

// productionFields are the fields that the version in production stores.
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
			for _, f := range fields {
				knownFields[dir][f] = true
			}
			key = ""
		}
	}
	// Fields that are left out where they say nothing, which no sample shows.
	for dir, fields := range map[string][]string{"mf/r": {"standing", "quiet"}, "mf/j": {"samePlace", "site", "flavors", "loaners", "dueS"}} {
		for _, f := range fields {
			knownFields[dir][f] = true
		}
	}
	return knownFields
}

// The limits of the state service before and after they are lowered.
const (
	loweredValueBytes      = 2 << 10
	loweredTxnOps          = 4
	loweredWritesPerSecond = 35
)

func (sim *Simulation) lowerStoreLimits() {
	sim.Store.MaxValueBytes, sim.Store.MaxTxnChanges, sim.Store.MaxWritesPerSecond = loweredValueBytes, loweredTxnOps, loweredWritesPerSecond
}

// upgradeOptions are those of a cluster that runs the former version and is rolled
// over to the present one, which keeps to the lowered limits from the start.
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

// upgradeWatcher looks at all that is written and answered while the cluster is
// rolled over.
type upgradeWatcher struct {
	t                   *testing.T
	knownFields         map[string]map[string]bool // fields that the version in production stores
	versionRaisedAt     time.Duration              // when the cluster version was
	firstGangAcceptedAt time.Duration              // when the first gang was accepted
}

func (r *upgradeWatcher) observe(sim *Simulation, controller *Controller, e core.Effect) core.Effect {
	switch e := e.(type) {
	case core.StoreCall:
		r.checkWrite(sim, controller, e)
	case core.Reply:
		if st, ok := e.Body.(core.JobStatus); ok && e.Status == 201 && strings.HasPrefix(st.ID, "req-3") && r.firstGangAcceptedAt == 0 {
			r.firstGangAcceptedAt = sim.Now
		}
	}
	return e
}

func (r *upgradeWatcher) checkWrite(sim *Simulation, controller *Controller, call core.StoreCall) {
	if sim.OnPreviousVersion[controller.Name] {
		return
	}
	if len(call.Changes) > loweredTxnOps {
		r.t.Errorf("%s makes %d changes in a transaction", controller.Name, len(call.Changes))
	}
	for _, change := range call.Changes {
		if len(change.Value) > loweredValueBytes {
			r.t.Errorf("%s writes %d bytes into %s", controller.Name, len(change.Value), change.Key)
		}
		// Keys of which the version in production knows nothing, and which it
		// passes over.
		if change.Key == "mf/forms" {
			if r.versionRaisedAt == 0 {
				r.versionRaisedAt = sim.Now
			}
			continue
		}
		if change.Remove || r.versionRaisedAt != 0 || strings.HasPrefix(change.Key, "mf/v/") {
			continue
		}
		dir, fields := storedFields(change.Key, change.Value)
		if r.knownFields[dir] == nil {
			r.t.Errorf("%s writes %s, which the version in production doesn't read", controller.Name, change.Key)
		}
		for _, f := range fields {
			if !r.knownFields[dir][f] {
				r.t.Errorf("%s writes %s into %s before all controllers are changed over", controller.Name, f, change.Key)
			}
		}
	}
}

// upgradeFaults are the troubles of a roll. turns are the times at which the
// controllers are replaced.
var upgradeFaults = []struct {
	name            string
	limitsLoweredAt time.Duration // 0: 100 s, after the roll
	inject          func(sim *Simulation, upgradeTimes []time.Duration)
}{
	{name: "the leader ends for a moment", inject: func(sim *Simulation, _ []time.Duration) {
		sim.At(50*second, func() { sim.crashLeader(300 * time.Millisecond) })
	}},
	{name: "the state service is out", inject: func(sim *Simulation, _ []time.Duration) { sim.outage(55*second, 68*second) }},
	{name: "the state service refuses the leader", inject: func(sim *Simulation, _ []time.Duration) {
		sim.At(52*second, func() { sim.makeStoreUnavailableToLeader(9 * second) })
	}},
	{name: "a zone is cut off", inject: func(sim *Simulation, _ []time.Duration) {
		sim.At(54*second, func() { cutZone(sim, "b", 12*second, "hold") })
	}},
	{name: "the leader ends at each step", inject: func(sim *Simulation, upgradeTimes []time.Duration) {
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
	{name: "the limits fall amid the roll", limitsLoweredAt: 57 * second, inject: func(*Simulation, []time.Duration) {}},
	{name: "the state service is slow, answers are lost", inject: func(sim *Simulation, _ []time.Duration) {
		sim.At(41*second, func() { sim.Store.MaxExtraLatency, sim.Store.UnansweredFraction = 300*time.Millisecond, 0.2 })
		sim.At(90*second, func() { sim.Store.MaxExtraLatency, sim.Store.UnansweredFraction = 0, 0 })
	}},
}

// upgradeOrders of replacing three controllers.
var upgradeOrders = [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}

// TestRollingUpgrade rolls the controllers over from the former version to the present
// one, in each order, with crashes that the seed chooses, under load and with
// troubles; then the state service lowers its limits. Users of gangs are told to
// come back until the last controller has been changed over; until then all that
// is stored has the former version's form.
func TestRollingUpgrade(t *testing.T) {
	knownFields := productionFields(t)
	mixes := map[string]bool{} // leader's version and how many others are old
	var mu sync.Mutex
	t.Cleanup(func() {
		if !t.Failed() && len(mixes) < 6 {
			t.Errorf("mixes of versions seen: %v, want the leader old or new beside none, one or two old ones", mixes)
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
			for _, zone := range opt.Zones { // more than a page holds under the lowered limits
				sim.Cloud.Rent("small", zone, false, 16)
			}
			load(sim, 130*second)
			submitGangs(sim, 130*second) // from the start: refused for now
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
					crash(at-time.Duration(3+sim.Rand.IntN(9))*second, controller) // it comes back old
				}
				if sim.Rand.IntN(2) == 0 {
					crash(at+time.Duration(5+sim.Rand.IntN(5))*second, controller) // and new
				}
			}
			fault.inject(sim, upgradeTimes)
			limitsLoweredAt := fault.limitsLoweredAt
			if limitsLoweredAt == 0 {
				limitsLoweredAt = 100 * second
			}
			sim.At(limitsLoweredAt, sim.lowerStoreLimits)
			sim.At(105*second, func() { // a page that a former leader wrote has to change
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
				t.Errorf("the last controller is changed over at %v, the cluster version was raised at %v", lastUpgradeAt, watcher.versionRaisedAt)
			}
			if watcher.firstGangAcceptedAt <= watcher.versionRaisedAt {
				t.Errorf("a gang was accepted at %v, the cluster version was raised at %v", watcher.firstGangAcceptedAt, watcher.versionRaisedAt)
			}
			if fault.limitsLoweredAt == 0 && sim.Store.RefusedTooLarge+sim.Store.RefusedRateLimited > 0 {
				t.Errorf("%d transactions beyond the lowered limits, %d beyond the rate", sim.Store.RefusedTooLarge, sim.Store.RefusedRateLimited)
			}
			gangs := 0
			for _, job := range sim.Checker.jobs {
				if job.spec.Kind == model.KindGang && job.confirmedDone {
					gangs++
				}
			}
			if accepted, done := sim.Checker.CountBatchJobs(); accepted < 10 || done < accepted || gangs < 5 {
				t.Errorf("%d of %d jobs and %d gangs done at the end of the day", done, accepted, gangs)
			}
		})
	}
}

// upgradeController changes a controller over to the present version at a time.
func (sim *Simulation) upgradeController(controller *Controller, at time.Duration) {
	sim.At(at, func() {
		sim.OnPreviousVersion[controller.Name] = false
		controller.CrashFor(3 * second)
	})
}

// watchVersionMixes reports, all day, which version leads beside how many former ones.
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
			seen(fmt.Sprintf("leader old: %v, others old: %d", leader.runsPreviousVersion, others))
		}
		sim.After(100*time.Millisecond, sample)
	}
	sample()
}

// TestRollingUpgradeWithUnreachableController: a controller that has been changed over and then can't be
// reached for minutes doesn't keep gangs waiting. One that was changed back does,
// whatever it had noted before, once a controller of the new version has led
// within its reach.
func TestRollingUpgradeWithUnreachableController(t *testing.T) {
	for _, tc := range []struct {
		name string
		// play keeps the first controller from the others from some time after its
		// replacement until 200 s; the last one is replaced at 80 s.
		inject       func(sim *Simulation, controller *Controller)
		acceptsGangs bool // gangs, before it is back
	}{
		{"cut from the other controllers", func(sim *Simulation, controller *Controller) {
			sim.At(46*second, func() { cutFromPeers(sim, controller, 154*second) })
			sim.upgradeController(sim.Controllers[1], 65*second)
		}, true},
		{"ended", func(sim *Simulation, controller *Controller) {
			sim.At(50*second, func() { controller.CrashFor(150 * second) })
			sim.upgradeController(sim.Controllers[1], 65*second)
		}, true},
		{"changed back, heard of, and cut off", func(sim *Simulation, controller *Controller) {
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
				load(sim, 130*second)
				submitGangs(sim, 130*second)
				watchLeaders(sim)
				sim.upgradeController(sim.Controllers[0], 40*second)
				tc.inject(sim, sim.Controllers[0])
				sim.upgradeController(sim.Controllers[2], 80*second)
				sim.RunUntil(200 * second)
				if accepted := watcher.firstGangAcceptedAt != 0 && watcher.firstGangAcceptedAt < 110*second; accepted != tc.acceptsGangs {
					t.Errorf("seed %d: the first gang was accepted at %v, the cluster version raised at %v", seed, watcher.firstGangAcceptedAt, watcher.versionRaisedAt)
				}
				sim.RunUntil(250 * second)
				for _, violation := range sim.Checker.Violations {
					t.Errorf("seed %d: %s", seed, violation)
				}
			}
		})
	}
}

// cutFromPeers cuts a controller from the others, not from anything else.
func cutFromPeers(sim *Simulation, controller *Controller, duration time.Duration) {
	for _, other := range sim.Controllers {
		if other != controller {
			sim.Cut(controller.Name, other.Name, "drop")
			sim.After(duration, func() { sim.Heal(controller.Name, other.Name) })
		}
	}
}
