package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// shape lists the fields of a stored value, of whatever depth, by the kind of
// its key; the names of machines in the roster are none.
func shape(key string, value []byte) (string, []string) {
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

// productionShapes are the fields that the version in production stores.
func productionShapes(t *testing.T) map[string]map[string]bool {
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
			dir, fields := shape(key, []byte(value))
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

// TestRoll rolls the controllers over from the former version to the present
// one, in an order and with crashes that the seed chooses, under load and with
// troubles; then the state service lowers its limits. Users of gangs are told to
// come back until the last controller has been changed over; until then all that
// is stored has the former version's form.
func TestRoll(t *testing.T) {
	known := productionShapes(t)
	for seed := uint64(1); seed <= uint64(max(4, 2**seeds)); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			opt := Defaults(seed)
			opt.Config.Teams["tight"] = core.Team{Limit: sched.Resources{CPUs: 9}}
			former := opt.Config
			opt.Config.ValueBytes, opt.Config.TxnOps, opt.Config.StoreWrites = 2<<10, 4, 35
			opt.Former = func(c *core.Config) {
				c.ValueBytes, c.TxnOps, c.StoreWrites = former.ValueBytes, former.TxnOps, former.StoreWrites
			}
			rolled, raised, gangAt := time.Duration(0), time.Duration(0), time.Duration(0)
			opt.Tamper = func(w *World, n *Node, e core.Effect) core.Effect {
				switch e := e.(type) {
				case core.StoreCall:
					for _, ch := range e.Then {
						if ch.Key == "mf/forms" {
							if raised == 0 {
								raised = w.Now
							}
							continue
						}
						if ch.Remove || w.Old[n.Name] || raised != 0 {
							continue
						}
						dir, fields := shape(ch.Key, ch.Value)
						for _, f := range fields {
							if !known[dir][f] {
								t.Errorf("%s writes %s into %s before all controllers are changed over", n.Name, f, ch.Key)
							}
						}
					}
				case core.Reply:
					if st, ok := e.Body.(core.JobStatus); ok && e.Status == 201 && strings.HasPrefix(st.ID, "req-3") && gangAt == 0 {
						gangAt = w.Now
					}
				}
				return e
			}
			opt.Capacity = 20
			w := New(opt)
			w.Users.Close = true
			w.Cloud.Slow = 0.2
			for _, zone := range opt.Zones { // more than a page holds under the lowered limits
				w.Cloud.Rent("small", zone, false, 16)
			}
			load(w, 130*second)
			gangs(w, 130*second) // from the start: refused for now
			watchLeaders(w)
			order := w.Rnd.Perm(3)
			crash := func(at time.Duration, n *Node) {
				w.At(at, func() { n.CrashFor(time.Duration(200+w.Rnd.IntN(3000)) * time.Millisecond) })
			}
			for i, k := range order {
				n := w.Nodes[k]
				at := time.Duration(40+12*i+w.Rnd.IntN(8)) * second
				w.At(at, func() {
					w.Old[n.Name] = false
					n.CrashFor(3 * second)
				})
				rolled = at
				if w.Rnd.IntN(2) == 0 {
					crash(at-time.Duration(3+w.Rnd.IntN(9))*second, n) // it comes back old
				}
				if w.Rnd.IntN(2) == 0 {
					crash(at+time.Duration(5+w.Rnd.IntN(5))*second, n) // and new
				}
			}
			switch seed % 4 {
			case 0:
				w.At(50*second, func() { w.crashLeader(300 * time.Millisecond) })
			case 1:
				w.outage(55*second, 68*second)
			case 2:
				w.At(52*second, func() { w.refuseLeader(9 * second) })
			case 3:
				w.At(54*second, func() { cutZone(w, "b", 12*second, "hold") })
			}
			w.At(100*second, func() { w.Store.MaxValue, w.Store.MaxOps, w.Store.MaxWrites = 2<<10, 4, 35 })
			w.At(105*second, func() { // a page that a former leader wrote has to change
				w.Cloud.Take("n-000003")
				w.Cloud.Take("n-000020")
			})
			w.At(115*second, func() {
				for _, n := range w.Nodes {
					n.CrashFor(500 * time.Millisecond)
				}
			})
			w.Run(220 * second)
			w.Check.Known(75 * second)
			w.Run(330 * second)
			w.Check.Served()
			for _, b := range w.Check.Broken {
				t.Error(b)
			}
			if raised <= rolled || raised > rolled+30*second {
				t.Errorf("the last controller is changed over at %v, the cluster version was raised at %v", rolled, raised)
			}
			if gangAt <= raised {
				t.Errorf("a gang was accepted at %v, the cluster version was raised at %v", gangAt, raised)
			}
			if w.Store.Refused > 0 || w.Store.Refused429 > 0 {
				t.Errorf("%d transactions beyond the lowered limits, %d beyond the rate", w.Store.Refused, w.Store.Refused429)
			}
			gangs := 0
			for _, x := range w.Check.jobs {
				if x.spec.Kind == model.Gang && x.toldDone {
					gangs++
				}
			}
			if accepted, done := w.Check.Jobs(); accepted < 10 || done < accepted || gangs < 5 {
				t.Errorf("%d of %d jobs and %d gangs done at the end of the day", done, accepted, gangs)
			}
		})
	}
}
