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
	known := map[string]map[string]bool{}
	key := ""
	for _, line := range strings.Split(string(text), "\n") {
		if k, ok := strings.CutPrefix(line, "value "); ok {
			key = k
		} else if value, ok := strings.CutPrefix(line, "  "); ok && key != "" {
			dir, fields := storedFields(key, []byte(value))
			if known[dir] == nil {
				known[dir] = map[string]bool{}
			}
			for _, f := range fields {
				known[dir][f] = true
			}
			key = ""
		}
	}
	// Fields that are left out where they say nothing, which no sample shows.
	for dir, fields := range map[string][]string{"mf/r": {"standing", "quiet"}, "mf/j": {"samePlace", "site", "flavors", "loaners", "dueS"}} {
		for _, f := range fields {
			known[dir][f] = true
		}
	}
	return known
}

// The limits of the state service before and after they are lowered.
const (
	loweredValueBytes      = 2 << 10
	loweredTxnOps          = 4
	loweredWritesPerSecond = 35
)

func (w *Simulation) lowerStoreLimits() {
	w.Store.MaxValueBytes, w.Store.MaxTxnChanges, w.Store.MaxWritesPerSecond = loweredValueBytes, loweredTxnOps, loweredWritesPerSecond
}

// upgradeOptions are those of a cluster that runs the former version and is rolled
// over to the present one, which keeps to the lowered limits from the start.
func upgradeOptions(seed uint64) Options {
	opt := DefaultOptions(seed)
	opt.Config.Teams["tight"] = core.Team{Limit: sched.Resources{CPUs: 9}}
	former := opt.Config
	opt.Config.MaxValueBytes, opt.Config.MaxTxnOps, opt.Config.StoreWriteRPS = loweredValueBytes, loweredTxnOps, loweredWritesPerSecond
	opt.ConfigurePreviousVersion = func(c *core.Config) {
		c.MaxValueBytes, c.MaxTxnOps, c.StoreWriteRPS = former.MaxValueBytes, former.MaxTxnOps, former.StoreWriteRPS
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

func (r *upgradeWatcher) observe(w *Simulation, n *Controller, e core.Effect) core.Effect {
	switch e := e.(type) {
	case core.StoreCall:
		r.checkWrite(w, n, e)
	case core.Reply:
		if st, ok := e.Body.(core.JobStatus); ok && e.Status == 201 && strings.HasPrefix(st.ID, "req-3") && r.firstGangAcceptedAt == 0 {
			r.firstGangAcceptedAt = w.Now
		}
	}
	return e
}

func (r *upgradeWatcher) checkWrite(w *Simulation, n *Controller, c core.StoreCall) {
	if w.OnPreviousVersion[n.Name] {
		return
	}
	if len(c.Changes) > loweredTxnOps {
		r.t.Errorf("%s makes %d changes in a transaction", n.Name, len(c.Changes))
	}
	for _, ch := range c.Changes {
		if len(ch.Value) > loweredValueBytes {
			r.t.Errorf("%s writes %d bytes into %s", n.Name, len(ch.Value), ch.Key)
		}
		// Keys of which the version in production knows nothing, and which it
		// passes over.
		if ch.Key == "mf/forms" {
			if r.versionRaisedAt == 0 {
				r.versionRaisedAt = w.Now
			}
			continue
		}
		if ch.Remove || r.versionRaisedAt != 0 || strings.HasPrefix(ch.Key, "mf/v/") {
			continue
		}
		dir, fields := storedFields(ch.Key, ch.Value)
		if r.knownFields[dir] == nil {
			r.t.Errorf("%s writes %s, which the version in production doesn't read", n.Name, ch.Key)
		}
		for _, f := range fields {
			if !r.knownFields[dir][f] {
				r.t.Errorf("%s writes %s into %s before all controllers are changed over", n.Name, f, ch.Key)
			}
		}
	}
}

// upgradeFaults are the troubles of a roll. turns are the times at which the
// controllers are replaced.
var upgradeFaults = []struct {
	name     string
	limitsAt time.Duration // 0: 100 s, after the roll
	play     func(w *Simulation, turns []time.Duration)
}{
	{name: "the leader ends for a moment", play: func(w *Simulation, _ []time.Duration) {
		w.At(50*second, func() { w.crashLeader(300 * time.Millisecond) })
	}},
	{name: "the state service is out", play: func(w *Simulation, _ []time.Duration) { w.outage(55*second, 68*second) }},
	{name: "the state service refuses the leader", play: func(w *Simulation, _ []time.Duration) {
		w.At(52*second, func() { w.makeStoreUnavailableToLeader(9 * second) })
	}},
	{name: "a zone is cut off", play: func(w *Simulation, _ []time.Duration) {
		w.At(54*second, func() { cutZone(w, "b", 12*second, "hold") })
	}},
	{name: "the leader ends at each step", play: func(w *Simulation, turns []time.Duration) {
		for _, at := range turns {
			w.At(at-2*second, func() { w.crashLeader(time.Second) })
			w.At(at+5*second, func() { w.crashLeader(time.Second) })
		}
	}},
	{name: "the state service refuses a follower", play: func(w *Simulation, turns []time.Duration) {
		w.At(turns[0]+4*second, func() {
			for _, n := range w.Controllers {
				if n != w.Leader() {
					w.Store.UnavailableTo[n.Name] = true
					w.After(25*second, func() { delete(w.Store.UnavailableTo, n.Name) })
					break
				}
			}
		})
	}},
	{name: "the limits fall amid the roll", limitsAt: 57 * second, play: func(*Simulation, []time.Duration) {}},
	{name: "the state service is slow, answers are lost", play: func(w *Simulation, _ []time.Duration) {
		w.At(41*second, func() { w.Store.MaxExtraLatency, w.Store.UnansweredFraction = 300*time.Millisecond, 0.2 })
		w.At(90*second, func() { w.Store.MaxExtraLatency, w.Store.UnansweredFraction = 0, 0 })
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
	known := productionFields(t)
	mixes := map[string]bool{} // leader's version and how many others are old
	var mu sync.Mutex
	t.Cleanup(func() {
		if !t.Failed() && len(mixes) < 6 {
			t.Errorf("mixes of versions seen: %v, want the leader old or new beside none, one or two old ones", mixes)
		}
	})
	for seed := uint64(0); seed < uint64(max(len(upgradeFaults), 2**seedCount)); seed++ {
		day := upgradeFaults[seed%uint64(len(upgradeFaults))]
		t.Run(fmt.Sprint("seed ", seed, ", ", day.name), func(t *testing.T) {
			t.Parallel()
			watch := &upgradeWatcher{t: t, knownFields: known}
			opt := upgradeOptions(seed)
			opt.Tamper = watch.observe
			w := New(opt)
			w.Users.ProbesAllControllers = true
			w.Cloud.BootTimeFactor = 0.2
			for _, zone := range opt.Zones { // more than a page holds under the lowered limits
				w.Cloud.Rent("small", zone, false, 16)
			}
			load(w, 130*second)
			submitGangs(w, 130*second) // from the start: refused for now
			watchLeaders(w)
			watchVersionMixes(w, func(mix string) {
				mu.Lock()
				mixes[mix] = true
				mu.Unlock()
			})
			crash := func(at time.Duration, n *Controller) {
				w.At(at, func() { n.CrashFor(time.Duration(200+w.Rand.IntN(3000)) * time.Millisecond) })
			}
			var turns []time.Duration
			for i, k := range upgradeOrders[seed%uint64(len(upgradeOrders))] {
				n := w.Controllers[k]
				at := time.Duration(40+12*i+w.Rand.IntN(8)) * second
				w.upgradeController(n, at)
				turns = append(turns, at)
				if w.Rand.IntN(2) == 0 {
					crash(at-time.Duration(3+w.Rand.IntN(9))*second, n) // it comes back old
				}
				if w.Rand.IntN(2) == 0 {
					crash(at+time.Duration(5+w.Rand.IntN(5))*second, n) // and new
				}
			}
			day.play(w, turns)
			limitsAt := day.limitsAt
			if limitsAt == 0 {
				limitsAt = 100 * second
			}
			w.At(limitsAt, w.lowerStoreLimits)
			w.At(105*second, func() { // a page that a former leader wrote has to change
				w.Cloud.RemoveMachine("n-000003")
				w.Cloud.RemoveMachine("n-000020")
			})
			w.At(115*second, func() {
				for _, n := range w.Controllers {
					n.CrashFor(500 * time.Millisecond)
				}
			})
			w.RunUntil(220 * second)
			w.Checker.CheckKnown(75 * second)
			w.RunUntil(330 * second)
			w.Checker.CheckServed()
			for _, b := range w.Checker.Violations {
				t.Error(b)
			}
			rolled := turns[len(turns)-1]
			if watch.versionRaisedAt <= rolled || watch.versionRaisedAt > rolled+30*second {
				t.Errorf("the last controller is changed over at %v, the cluster version was raised at %v", rolled, watch.versionRaisedAt)
			}
			if watch.firstGangAcceptedAt <= watch.versionRaisedAt {
				t.Errorf("a gang was accepted at %v, the cluster version was raised at %v", watch.firstGangAcceptedAt, watch.versionRaisedAt)
			}
			if day.limitsAt == 0 && w.Store.RefusedTooLarge+w.Store.RefusedRateLimited > 0 {
				t.Errorf("%d transactions beyond the lowered limits, %d beyond the rate", w.Store.RefusedTooLarge, w.Store.RefusedRateLimited)
			}
			gangs := 0
			for _, x := range w.Checker.jobs {
				if x.spec.Kind == model.KindGang && x.confirmedDone {
					gangs++
				}
			}
			if accepted, done := w.Checker.CountBatchJobs(); accepted < 10 || done < accepted || gangs < 5 {
				t.Errorf("%d of %d jobs and %d gangs done at the end of the day", done, accepted, gangs)
			}
		})
	}
}

// upgradeController changes a controller over to the present version at a time.
func (w *Simulation) upgradeController(n *Controller, at time.Duration) {
	w.At(at, func() {
		w.OnPreviousVersion[n.Name] = false
		n.CrashFor(3 * second)
	})
}

// watchVersionMixes reports, all day, which version leads beside how many former ones.
func watchVersionMixes(w *Simulation, seen func(mix string)) {
	var look func()
	look = func() {
		if l := w.Leader(); l != nil {
			others := 0
			for _, n := range w.Controllers {
				if n != l && n.IsRunning() && n.runsPreviousVersion {
					others++
				}
			}
			seen(fmt.Sprintf("leader old: %v, others old: %d", l.runsPreviousVersion, others))
		}
		w.After(100*time.Millisecond, look)
	}
	look()
}

// TestRollingUpgradeWithUnreachableController: a controller that has been changed over and then can't be
// reached for minutes doesn't keep gangs waiting. One that was changed back does,
// whatever it had noted before, once a controller of the new version has led
// within its reach.
func TestRollingUpgradeWithUnreachableController(t *testing.T) {
	for _, c := range []struct {
		name string
		// play keeps the first controller from the others from some time after its
		// replacement until 200 s; the last one is replaced at 80 s.
		play  func(w *Simulation, n *Controller)
		taken bool // gangs, before it is back
	}{
		{"cut from the other controllers", func(w *Simulation, n *Controller) {
			w.At(46*second, func() { cutFromPeers(w, n, 154*second) })
			w.upgradeController(w.Controllers[1], 65*second)
		}, true},
		{"ended", func(w *Simulation, n *Controller) {
			w.At(50*second, func() { n.CrashFor(150 * second) })
			w.upgradeController(w.Controllers[1], 65*second)
		}, true},
		{"changed back, heard of, and cut off", func(w *Simulation, n *Controller) {
			w.upgradeController(w.Controllers[1], 50*second)
			w.At(58*second, func() { w.Controllers[2].CrashFor(14 * second) })
			w.At(60*second, func() { w.OnPreviousVersion[n.Name] = true; n.CrashFor(second) })
			w.At(70*second, func() { cutFromPeers(w, n, 130*second) })
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= uint64(max(2, *seedCount/2)); seed++ {
				watch := &upgradeWatcher{t: t, knownFields: productionFields(t)}
				opt := upgradeOptions(seed)
				opt.Tamper = watch.observe
				w := New(opt)
				load(w, 130*second)
				submitGangs(w, 130*second)
				watchLeaders(w)
				w.upgradeController(w.Controllers[0], 40*second)
				c.play(w, w.Controllers[0])
				w.upgradeController(w.Controllers[2], 80*second)
				w.RunUntil(200 * second)
				if taken := watch.firstGangAcceptedAt != 0 && watch.firstGangAcceptedAt < 110*second; taken != c.taken {
					t.Errorf("seed %d: the first gang was accepted at %v, the cluster version raised at %v", seed, watch.firstGangAcceptedAt, watch.versionRaisedAt)
				}
				w.RunUntil(250 * second)
				for _, b := range w.Checker.Violations {
					t.Errorf("seed %d: %s", seed, b)
				}
			}
		})
	}
}

// cutFromPeers cuts a controller from the others, not from anything else.
func cutFromPeers(w *Simulation, n *Controller, d time.Duration) {
	for _, o := range w.Controllers {
		if o != n {
			w.Cut(n.Name, o.Name, "drop")
			w.After(d, func() { w.Heal(n.Name, o.Name) })
		}
	}
}
