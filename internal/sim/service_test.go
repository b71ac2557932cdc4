package sim

import (
	"flag"
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
func load(w *Simulation, until time.Duration) {
	rnd := rand.New(rand.NewPCG(w.Options.Seed, 99))
	n := 0
	submit := func(at time.Duration, j model.Job, run time.Duration) string {
		n++
		j.ID = fmt.Sprintf("req-%06d", n)
		j.Team, j.Class = "t", j.Kind+j.Priority
		if n%5 == 0 && j.Kind == model.KindBatch {
			j.Team = "tight" // no services: they would fill its limit for ever
		}
		w.At(at, func() { w.Users.Submit(j, run) })
		return j.ID
	}
	for at := 2 * second; at < until; at += time.Duration(1+rnd.IntN(6)) * second {
		var id string
		switch rnd.IntN(6) {
		case 0:
			id = submit(at, model.Job{Kind: model.KindService, Priority: model.PriorityProd, Tasks: 1 + rnd.IntN(2), CPUs: 2, MemoryGB: 4,
				Image: "svc", ImageGB: 2, Spread: true}, 0)
		case 1:
			id = submit(at, model.Job{Kind: model.KindBatch, Priority: model.PriorityLow, Tasks: 1 + rnd.IntN(3), CPUs: 4, MemoryGB: 10,
				Image: "low", ImageGB: 3, Spot: true, EstimateS: 20, CheckpointEveryS: 10, CheckpointCostS: 3}, 25*second)
		default:
			id = submit(at, model.Job{Kind: model.KindBatch, Priority: model.PriorityNormal, Tasks: 1 + rnd.IntN(8), CPUs: 1, MemoryGB: 2,
				Image: fmt.Sprintf("img-%d", rnd.IntN(3)), ImageGB: 2, Spot: true, OneZone: rnd.IntN(6) == 0, EstimateS: 8}, 10*second)
		}
		if rnd.IntN(4) == 0 {
			w.At(at+time.Duration(rnd.IntN(30))*second, func() {
				if w.Checker.jobs[id].accepted {
					w.Users.Cancel(id)
				}
			})
		}
		w.At(at, func() { w.Users.PollUnknown(fmt.Sprintf("req-9%05d", rnd.IntN(1000))) })
	}
}

// watchLeaders looks for two leaders at a time, all day.
func watchLeaders(w *Simulation) {
	var look func()
	look = func() {
		w.Leader()
		w.After(10*time.Millisecond, look)
	}
	look()
}

// The days: what the operators have seen, alone and together.
var faultScenarios = []struct {
	name   string
	faults func(w *Simulation)
}{
	{"quiet", func(w *Simulation) {}},
	{"leader crashes again and again", func(w *Simulation) {
		for at := 30 * second; at < 150*second; at += 23 * second {
			w.At(at, func() {
				if n := w.Leader(); n != nil {
					n.Crash()
				}
			})
		}
	}},
	{"all crash while the state service is down", func(w *Simulation) {
		w.At(40*second, func() { w.Store.Unavailable = true })
		w.At(45*second, func() {
			for _, n := range w.Controllers {
				n.Crash()
			}
		})
		w.At(70*second, w.Store.Recover)
	}},
	{"state outage longer than the lease", func(w *Simulation) {
		w.At(40*second, func() { w.Store.Unavailable = true })
		w.At(70*second, w.Store.Recover)
	}},
	{"leader refused by the state service alone", func(w *Simulation) {
		w.At(40*second, func() {
			n := w.Leader()
			w.Store.UnavailableTo[n.Name] = true
			w.At(80*second, func() { delete(w.Store.UnavailableTo, n.Name) })
		})
	}},
	{"leader cut from the state service, packets held", func(w *Simulation) {
		w.At(40*second, func() {
			n := w.Leader()
			w.Cut(n.Name, "state", "hold")
			w.At(90*second, func() { w.Heal(n.Name, "state") })
		})
	}},
	{"leader cut from all, packets held for minutes", func(w *Simulation) {
		w.At(40*second, func() {
			n := w.Leader()
			hosts := []string{"state", "cloud", "users"}
			for _, o := range w.Controllers {
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
	{"leader cut from the workers alone", func(w *Simulation) {
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
	{"leader cut from the workers, and its successor crashes", func(w *Simulation) {
		w.At(40*second, func() {
			n := w.Leader()
			cut := map[string]bool{}
			for i := 1; i <= 60; i++ { // machines that come up later are cut off too
				h := fmt.Sprintf("wn-%06d", i)
				w.Cut(n.Name, h, "hold")
				cut[h] = true
			}
			w.At(70*second, func() {
				if l := w.Leader(); l != nil {
					l.Crash()
				}
			})
			w.At(74*second, func() {
				if w.Leader() == n {
					w.Checker.reportViolation("cut_leader", "%s leads again, still cut from the workers", n.Name)
				}
			})
			w.At(101*second, func() {
				for _, h := range sortedKeys(cut) {
					w.Heal(n.Name, h)
				}
			})
		})
	}},
	{"restarts inside an election", func(w *Simulation) {
		w.At(40*second, func() { w.Leader().Crash() })
		for i := 0; i < 12; i++ {
			w.At(42*second+time.Duration(i)*700*time.Millisecond, func() { w.Controllers[i%len(w.Controllers)].Crash() })
		}
	}},
	{"machines hang, go on later, and commands come late", func(w *Simulation) {
		for at := 30 * second; at < 140*second; at += 9 * second {
			w.At(at, func() {
				keys := sortedKeys(w.Workers)
				if len(keys) > 0 {
					w.Workers[keys[w.Rand.IntN(len(keys))]].Pause(time.Duration(4+w.Rand.IntN(14)) * second)
				}
			})
		}
	}},
	{"machines taken without notice", func(w *Simulation) {
		for at := 30 * second; at < 140*second; at += 11 * second {
			w.At(at, func() {
				keys := sortedKeys(w.Cloud.machines)
				if len(keys) > 0 {
					w.Cloud.RemoveMachine(keys[w.Rand.IntN(len(keys))])
				}
			})
		}
	}},
	{"transactions applied twice, the second late", func(w *Simulation) {
		w.Store.ReplayDelay = 9 * second
		w.At(60*second, func() { w.Leader().Crash() })
	}},
	{"machines out of earshot", func(w *Simulation) {
		for at := 30 * second; at < 140*second; at += 19 * second {
			w.At(at, func() { makeMachineUnreachable(w, time.Duration(8+w.Rand.IntN(30))*second) })
		}
		// A new leader must not wait for a deaf machine for ever.
		w.At(70*second, func() { makeMachineUnreachable(w, 100*second) })
		w.At(75*second, func() {
			if l := w.Leader(); l != nil {
				l.Crash()
			}
		})
	}},
	{"answers lost again and again, then a machine cut off", func(w *Simulation) {
		for at := 30 * second; at < 150*second; at += 7 * second {
			w.At(at, func() {
				keys := sortedKeys(w.Workers)
				if len(keys) == 0 {
					return
				}
				wk := w.Workers[keys[w.Rand.IntN(len(keys))]]
				wk.ReportAnswersLost = true
				w.After(time.Duration(9000+w.Rand.IntN(3000))*time.Millisecond, func() {
					wk.ReportAnswersLost = false
					if w.Rand.IntN(2) == 0 {
						for _, n := range w.Controllers {
							w.Cut(n.Name, wk.info.Endpoint, "drop")
							w.After(15*second, func() { w.Heal(n.Name, wk.info.Endpoint) })
						}
					}
				})
			})
		}
	}},
	{"late copies of reports", func(w *Simulation) {
		w.LateReportCopyFraction = 0.3
		for at := 40 * second; at < 150*second; at += 31 * second {
			w.At(at, func() {
				if n := w.Leader(); n != nil {
					n.Crash()
				}
			})
			w.At(at+11*second, func() {
				if keys := sortedKeys(w.Cloud.machines); len(keys) > 0 {
					w.Cloud.RemoveMachine(keys[w.Rand.IntN(len(keys))])
				}
			})
		}
		w.At(160*second, func() { w.LateReportCopyFraction = 0 })
	}},
	{"requests carried out come again", func(w *Simulation) {
		w.LateReportCopyFraction, w.RepeatFraction = 0.2, 0.4
		for at := 40 * second; at < 150*second; at += 17 * second {
			w.At(at, func() {
				if n := w.Leader(); n != nil && w.Rand.IntN(2) == 0 {
					n.CrashFor(time.Duration(50+w.Rand.IntN(3000)) * time.Millisecond)
				}
				if keys := sortedKeys(w.Workers); len(keys) > 0 {
					w.Workers[keys[w.Rand.IntN(len(keys))]].Pause(time.Duration(2+w.Rand.IntN(12)) * time.Second)
				}
			})
		}
		w.At(200*second, func() { w.LateReportCopyFraction, w.RepeatFraction = 0, 0 })
	}},
	{"the leader stands still, and clocks run on", func(w *Simulation) {
		w.LateReportCopyFraction, w.RepeatFraction = 0.1, 0.1
		for i, at := range []time.Duration{35, 70, 105, 140} {
			w.At(at*second+time.Duration(w.Rand.IntN(2000))*time.Millisecond, func() {
				l := w.Leader()
				if l == nil {
					return
				}
				l.Pause(time.Duration(1+w.Rand.IntN(24)) * second)
				if i%2 == 1 { // and so does, for a moment, whoever would succeed
					o := w.Controllers[w.Rand.IntN(len(w.Controllers))]
					w.After(second, func() { o.Pause(time.Duration(500+w.Rand.IntN(4000)) * time.Millisecond) })
				}
				if keys := sortedKeys(w.Workers); len(keys) > 0 {
					w.Workers[keys[w.Rand.IntN(len(keys))]].Pause(time.Duration(2+w.Rand.IntN(12)) * second)
				}
			})
		}
		w.At(200*second, func() { w.LateReportCopyFraction, w.RepeatFraction = 0, 0 })
	}},
	{"a controller keeps only its workers", func(w *Simulation) {
		for i, at := range []time.Duration{40, 75, 110} {
			w.At(at*second, func() {
				n := w.Controllers[i%len(w.Controllers)]
				if l := w.Leader(); i != 1 && l != nil {
					n = l
				}
				alone(w, n, 20*second)
			})
		}
	}},
	{"workers begin anew, with late copies of their former lives", func(w *Simulation) {
		w.LateReportCopyFraction = 0.3
		for at := 30 * second; at < 140*second; at += 7 * second {
			w.At(at, func() {
				if keys := sortedKeys(w.Workers); len(keys) > 0 {
					w.Workers[keys[w.Rand.IntN(len(keys))]].Restart()
				}
			})
		}
		w.At(90*second, func() { w.Controllers[0].CrashFor(300 * time.Millisecond) })
		w.At(160*second, func() { w.LateReportCopyFraction = 0 })
	}},
	{"controllers back within a moment, also inside elections", func(w *Simulation) {
		for at := 30 * second; at < 140*second; at += 9 * second {
			w.At(at, func() {
				n := w.Controllers[w.Rand.IntN(len(w.Controllers))]
				if l := w.Leader(); l != nil && w.Rand.IntN(3) > 0 {
					n = l
				}
				n.CrashFor(time.Duration(50+w.Rand.IntN(500)) * time.Millisecond)
				o := w.Controllers[w.Rand.IntN(len(w.Controllers))]
				w.After(time.Duration(w.Rand.IntN(900))*time.Millisecond, func() { o.CrashFor(100 * time.Millisecond) })
				w.After(time.Second, func() { n.CrashFor(200 * time.Millisecond) })
			})
		}
	}},
	{"a zone cut off, then the leader crashes", func(w *Simulation) {
		w.At(50*second, func() { cutZone(w, "a", 60*second, "hold") })
		w.At(58*second, func() { w.Controllers[1].Crash() })
		w.At(64*second, func() {
			if l := w.Leader(); l != nil {
				l.Crash()
			}
		})
		w.At(130*second, func() { cutZone(w, "b", 15*second, "drop") })
	}},
	{"controllers refuse one another", func(w *Simulation) {
		w.At(40*second, func() {
			for _, a := range w.Controllers {
				for _, b := range w.Controllers {
					if a != b {
						w.Cut(a.Name, b.Name, "drop")
					}
				}
			}
		})
		w.At(50*second, func() {
			if l := w.Leader(); l != nil {
				l.CrashFor(200 * time.Millisecond)
			}
		})
		w.At(85*second, func() {
			for _, a := range w.Controllers {
				for _, b := range w.Controllers {
					if a != b {
						w.Heal(a.Name, b.Name)
					}
				}
			}
		})
	}},
	{"everything new together", func(w *Simulation) {
		w.LateReportCopyFraction = 0.2
		for at := 30 * second; at < 150*second; at += 11 * second {
			w.At(at, func() {
				a, b := w.Controllers[w.Rand.IntN(3)], w.Controllers[w.Rand.IntN(3)]
				switch w.Rand.IntN(8) {
				case 0:
					a.CrashFor(time.Duration(50+w.Rand.IntN(3000)) * time.Millisecond)
					w.After(700*time.Millisecond, func() { b.CrashFor(150 * time.Millisecond) })
				case 1:
					alone(w, a, 14*second)
				case 2:
					makeMachineUnreachable(w, 25*second)
				case 3:
					cutZone(w, w.Options.Zones[w.Rand.IntN(3)], 25*second, "hold")
				case 4:
					if keys := sortedKeys(w.Workers); len(keys) > 0 {
						w.Workers[keys[w.Rand.IntN(len(keys))]].Restart()
					}
				case 5:
					w.Store.Unavailable = true
					w.After(12*second, w.Store.Recover)
				case 6:
					w.Cut(a.Name, b.Name, "hold")
					w.After(20*second, func() { w.Heal(a.Name, b.Name) })
				case 7:
					if keys := sortedKeys(w.Workers); len(keys) > 0 {
						w.Workers[keys[w.Rand.IntN(len(keys))]].Pause(time.Duration(4+w.Rand.IntN(14)) * second)
					}
				}
			})
		}
		w.At(160*second, func() { w.LateReportCopyFraction = 0 })
	}},
	{"all together", func(w *Simulation) {
		for at := 30 * second; at < 150*second; at += 13 * second {
			w.At(at, func() {
				a, b := w.Controllers[w.Rand.IntN(3)], w.Controllers[w.Rand.IntN(3)]
				switch w.Rand.IntN(6) {
				case 0:
					a.Crash()
				case 1:
					w.Cut(a.Name, "state", "hold")
					w.After(15*second, func() { w.Heal(a.Name, "state") })
				case 2:
					w.Cut(a.Name, b.Name, "hold")
					w.After(20*second, func() { w.Heal(a.Name, b.Name) })
				case 3:
					w.Store.Unavailable = true
					w.After(12*second, w.Store.Recover)
				case 4:
					for _, h := range sortedKeys(w.Workers) {
						w.Cut(a.Name, h, "hold")
						w.After(18*second, func() { w.Heal(a.Name, h) })
					}
				case 5:
					for i, h := range sortedKeys(w.Workers) {
						if i%3 == 0 {
							w.Workers[h].Pause(12 * second)
						}
					}
				}
			})
		}
	}},
}

// makeMachineUnreachable puts one machine out of earshot for d.
func makeMachineUnreachable(w *Simulation, d time.Duration) {
	keys := sortedKeys(w.Workers)
	if len(keys) == 0 {
		return
	}
	wk := w.Workers[keys[w.Rand.IntN(len(keys))]]
	w.tracef("machine %s is deaf", wk.info.Host)
	wk.CannotReceive, wk.ReportAnswersLost = true, w.Rand.IntN(2) == 0
	w.After(d, func() { wk.CannotReceive, wk.ReportAnswersLost = false, false })
}

// alone cuts a controller from the state service and the others for d, but not
// from the workers and users.
func alone(w *Simulation, n *Controller, d time.Duration) {
	hosts := []string{"state"}
	for _, o := range w.Controllers {
		if o != n {
			hosts = append(hosts, o.Name)
		}
	}
	for _, h := range hosts {
		w.Cut(n.Name, h, "hold")
	}
	w.After(d, func() {
		for _, h := range hosts {
			w.Heal(n.Name, h)
		}
	})
}

// cutZone cuts a zone's machines and its controller from everything outside;
// inside, the network works.
func cutZone(w *Simulation, zone string, d time.Duration, mode string) {
	in := map[string]bool{}
	out := map[string]bool{"state": true, "cloud": true, "users": true}
	for i, n := range w.Controllers {
		if w.Options.Zones[i%len(w.Options.Zones)] == zone {
			in[n.Name] = true
		} else {
			out[n.Name] = true
		}
	}
	for _, e := range sortedKeys(w.Workers) {
		if w.Workers[e].info.Zone == zone {
			in[e] = true
		} else {
			out[e] = true
		}
	}
	for _, a := range sortedKeys(in) {
		for _, b := range sortedKeys(out) {
			w.Cut(a, b, mode)
		}
	}
	w.After(d, func() {
		for _, a := range sortedKeys(in) {
			for _, b := range sortedKeys(out) {
				w.Heal(a, b)
			}
		}
	})
}

// regressionSeeds are seeds whose day once broke a rule.
var regressionSeeds = map[string][]uint64{
	"answers lost again and again, then a machine cut off": {29, 60}, // a new session's lease counted from the old one
	"everything new together":                              {46, 63}, // work on a marked machine; a held answer
	"requests carried out come again":                      {7, 24},  // a copy of a command started what had been forgotten
}

// more seeds than these few are for hunting by hand.
var seedCount = flag.Int("seeds", 4, "seeds that each day is played with")

// TestFaultScenarios plays whole days with each kind of trouble and checks every rule.
func TestFaultScenarios(t *testing.T) {
	for _, day := range faultScenarios {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			var list []uint64
			for seed := range *seedCount {
				list = append(list, uint64(seed+1))
			}
			for _, seed := range append(list, regressionSeeds[day.name]...) {
				opt := DefaultOptions(seed)
				opt.Config.Teams["tight"] = core.Team{Limit: sched.Resources{CPUs: 9}}
				w := New(opt)
				load(w, 150*second)
				watchLeaders(w)
				day.faults(w)
				w.RunUntil(250 * second)
				w.Checker.CheckKnown(75 * second)
				w.RunUntil(330 * second)
				w.Checker.CheckServed()
				for _, b := range w.Checker.Violations {
					t.Errorf("seed %d: %s", seed, b)
				}
				accepted, done := w.Checker.CountBatchJobs()
				if accepted < 10 || done < accepted {
					t.Errorf("seed %d: %d of %d jobs done at the end of the day", seed, done, accepted)
				}
				t.Logf("seed %d: %d starts, %d of %d jobs done", seed, w.Checker.TaskStarts, done, accepted)
			}
		})
	}
}
