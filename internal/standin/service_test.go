package standin

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

const second = time.Second

// load submits a mixed day: services, batches and long low-priority work,
// some of it cancelled.
func load(w *World, until time.Duration) {
	rnd := rand.New(rand.NewPCG(w.Opt.Seed, 99))
	n := 0
	submit := func(at time.Duration, j model.Job, run time.Duration) string {
		n++
		j.ID = fmt.Sprintf("req-%06d", n)
		j.Team, j.Class = "t", "c"
		if n%5 == 0 && j.Kind == model.Batch {
			j.Team = "tight" // no services: they would fill its limit for ever
		}
		w.At(at, func() { w.Users.Submit(j, run) })
		return j.ID
	}
	for at := 2 * second; at < until; at += time.Duration(1+rnd.IntN(6)) * second {
		var id string
		switch rnd.IntN(6) {
		case 0:
			id = submit(at, model.Job{Kind: model.Service, Priority: model.Prod, Tasks: 1 + rnd.IntN(2), CPUs: 2, MemoryGB: 4,
				Image: "svc", ImageGB: 2, Spread: true}, 0)
		case 1:
			id = submit(at, model.Job{Kind: model.Batch, Priority: model.Low, Tasks: 1 + rnd.IntN(3), CPUs: 4, MemoryGB: 10,
				Image: "low", ImageGB: 3, Spot: true, Estimate: 20, Checkpoint: 10, SaveCost: 3}, 25*second)
		default:
			id = submit(at, model.Job{Kind: model.Batch, Priority: model.Normal, Tasks: 1 + rnd.IntN(8), CPUs: 1, MemoryGB: 2,
				Image: fmt.Sprintf("img-%d", rnd.IntN(3)), ImageGB: 2, Spot: true, OneZone: rnd.IntN(6) == 0, Estimate: 8}, 10*second)
		}
		if rnd.IntN(4) == 0 {
			w.At(at+time.Duration(rnd.IntN(30))*second, func() {
				if w.Check.jobs[id].accepted {
					w.Users.Cancel(id)
				}
			})
		}
		w.At(at, func() { w.Users.Stranger(fmt.Sprintf("req-9%05d", rnd.IntN(1000))) })
	}
}

// watchLeaders looks for two leaders at a time, all day.
func watchLeaders(w *World) {
	var look func()
	look = func() {
		w.Leader()
		w.After(10*time.Millisecond, look)
	}
	look()
}

// The days: what the operators have seen, alone and together.
var days = []struct {
	name   string
	faults func(w *World)
}{
	{"quiet", func(w *World) {}},
	{"leader crashes again and again", func(w *World) {
		for at := 30 * second; at < 150*second; at += 23 * second {
			w.At(at, func() {
				if n := w.Leader(); n != nil {
					n.Crash()
				}
			})
		}
	}},
	{"all crash while the state service is down", func(w *World) {
		w.At(40*second, func() { w.Store.Out = true })
		w.At(45*second, func() {
			for _, n := range w.Nodes {
				n.Crash()
			}
		})
		w.At(70*second, w.Store.Recover)
	}},
	{"state outage longer than the lease", func(w *World) {
		w.At(40*second, func() { w.Store.Out = true })
		w.At(70*second, w.Store.Recover)
	}},
	{"leader refused by the state service alone", func(w *World) {
		w.At(40*second, func() {
			n := w.Leader()
			w.Store.Refuse[n.Name] = true
			w.At(80*second, func() { delete(w.Store.Refuse, n.Name) })
		})
	}},
	{"leader cut from the state service, packets held", func(w *World) {
		w.At(40*second, func() {
			n := w.Leader()
			w.Cut(n.Name, "state", "hold")
			w.At(90*second, func() { w.Heal(n.Name, "state") })
		})
	}},
	{"leader cut from all, packets held for minutes", func(w *World) {
		w.At(40*second, func() {
			n := w.Leader()
			hosts := []string{"state", "cloud", "users"}
			for _, o := range w.Nodes {
				hosts = append(hosts, o.Name)
			}
			hosts = append(hosts, sortedKeys(w.Workers)...)
			for _, h := range hosts {
				w.Cut(n.Name, h, "hold")
			}
			w.At(130*second, func() {
				for _, h := range hosts {
					w.Heal(n.Name, h)
				}
			})
		})
	}},
	{"leader cut from the workers alone", func(w *World) {
		w.At(40*second, func() {
			n := w.Leader()
			hosts := sortedKeys(w.Workers)
			for _, h := range hosts {
				w.Cut(n.Name, h, "drop")
			}
			w.At(80*second, func() {
				for _, h := range hosts {
					w.Heal(n.Name, h)
				}
			})
		})
	}},
	{"leader cut from the workers, and its successor crashes", func(w *World) {
		w.At(40*second, func() {
			n := w.Leader()
			cut := map[string]bool{}
			var more func()
			more = func() { // machines that come up later are cut off too
				for _, h := range sortedKeys(w.Workers) {
					if !cut[h] {
						w.Cut(n.Name, h, "hold")
						cut[h] = true
					}
				}
				if w.Now < 100*second {
					w.After(100*time.Millisecond, more)
				}
			}
			more()
			w.At(70*second, func() {
				if l := w.Leader(); l != nil {
					l.Crash()
				}
			})
			w.At(74*second, func() {
				if w.Leader() == n {
					w.Check.broken("cut_leader", "%s leads again, still cut from the workers", n.Name)
				}
			})
			w.At(101*second, func() {
				for _, h := range sortedKeys(cut) {
					w.Heal(n.Name, h)
				}
			})
		})
	}},
	{"restarts inside an election", func(w *World) {
		w.At(40*second, func() { w.Leader().Crash() })
		for i := 0; i < 12; i++ {
			w.At(42*second+time.Duration(i)*700*time.Millisecond, func() { w.Nodes[i%len(w.Nodes)].Crash() })
		}
	}},
	{"machines hang, go on later, and commands come late", func(w *World) {
		for at := 30 * second; at < 140*second; at += 9 * second {
			w.At(at, func() {
				keys := sortedKeys(w.Workers)
				if len(keys) > 0 {
					w.Workers[keys[w.Rnd.IntN(len(keys))]].Hang(time.Duration(4+w.Rnd.IntN(14)) * second)
				}
			})
		}
	}},
	{"machines taken without notice", func(w *World) {
		for at := 30 * second; at < 140*second; at += 11 * second {
			w.At(at, func() {
				keys := sortedKeys(w.Cloud.machines)
				if len(keys) > 0 {
					w.Cloud.Take(keys[w.Rnd.IntN(len(keys))])
				}
			})
		}
	}},
	{"transactions applied twice, the second late", func(w *World) {
		w.Store.Late = 9 * second
		w.At(60*second, func() { w.Leader().Crash() })
	}},
	{"all together", func(w *World) {
		for at := 30 * second; at < 150*second; at += 13 * second {
			w.At(at, func() {
				a, b := w.Nodes[w.Rnd.IntN(3)], w.Nodes[w.Rnd.IntN(3)]
				switch w.Rnd.IntN(6) {
				case 0:
					a.Crash()
				case 1:
					w.Cut(a.Name, "state", "hold")
					w.After(15*second, func() { w.Heal(a.Name, "state") })
				case 2:
					w.Cut(a.Name, b.Name, "hold")
					w.After(20*second, func() { w.Heal(a.Name, b.Name) })
				case 3:
					w.Store.Out = true
					w.After(12*second, w.Store.Recover)
				case 4:
					for _, h := range sortedKeys(w.Workers) {
						w.Cut(a.Name, h, "hold")
						w.After(18*second, func() { w.Heal(a.Name, h) })
					}
				case 5:
					for i, h := range sortedKeys(w.Workers) {
						if i%3 == 0 {
							w.Workers[h].Hang(12 * second)
						}
					}
				}
			})
		}
	}},
}

// TestDays plays whole days with each kind of trouble and checks every rule.
func TestDays(t *testing.T) {
	for _, day := range days {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 4; seed++ {
				opt := Defaults(seed)
				opt.Config.Teams["tight"] = core.Team{Limit: sched.Resources{CPUs: 9}}
				w := New(opt)
				load(w, 150*second)
				watchLeaders(w)
				day.faults(w)
				w.Run(330 * second)
				for _, b := range w.Check.Broken {
					t.Errorf("seed %d: %s", seed, b)
				}
				accepted, done := w.Check.Jobs()
				if accepted < 10 || done < accepted {
					t.Errorf("seed %d: %d of %d jobs done at the end of the day", seed, done, accepted)
				}
				t.Logf("seed %d: %d starts, %d of %d jobs done", seed, w.Check.Starts, done, accepted)
			}
		})
	}
}
