package sim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// Each meeting is a day on which two troubles or more meet, as the operators
// have seen rules broken. On all of them users look closely, cancel at the end,
// and send odd requests; the checker knows the rules and what is judged besides.
var combinedFaultScenarios = []struct {
	name string
	// limit is what team "tight" may use, in CPUs; 0: 9.
	limit  float64
	opt    func(o *Options)
	load   func(w *Simulation)
	faults func(w *Simulation)
}{
	{name: "the state service is slow and refuses the leader, then all, while users cancel and ask", faults: func(w *Simulation) {
		w.At(30*second, func() { w.Store.MaxExtraLatency = 900 * time.Millisecond })
		w.At(45*second, func() { w.makeStoreUnavailableToLeader(30 * second) })
		w.At(45500*time.Millisecond, func() { w.cancelRunningJobs(6, 8*second) })
		w.outage(47*second, 84*second)
		w.At(60*second, func() { w.cancelRunningJobs(6, 0) })
		w.At(120*second, func() { w.Store.MaxExtraLatency = 0 })
	}},
	{name: "more work than room, urgent and not, over slow links", load: func(w *Simulation) { submitOverload(w, 110*second) }, faults: func(w *Simulation) {
		w.At(20*second, func() { w.Store.MaxExtraLatency = 300 * time.Millisecond })
		w.At(60*second, func() { w.crashLeader(time.Second) })
	}},
	{name: "ten changes of the leader in two minutes, also inside an outage", faults: func(w *Simulation) {
		for i := range 4 {
			w.At(time.Duration(33+30*i)*second, func() {
				if l := w.Leader(); l != nil {
					l.Pause(time.Duration(2+w.Rand.IntN(9)) * second)
				}
			})
		}
		for i := range 10 {
			w.At(time.Duration(30+12*i)*second, func() { w.crashLeader(time.Duration(200+w.Rand.IntN(4000)) * time.Millisecond) })
		}
		w.outage(64*second, 81*second)
		for i := range 3 {
			w.At(time.Duration(65+4*i)*second, func() { w.Controllers[i].CrashFor(500 * time.Millisecond) })
		}
	}},
	{name: "a leader ends while machines with long tasks can't be reached or don't hear", load: func(w *Simulation) { submitLongJobs(w, 10) }, faults: func(w *Simulation) {
		w.At(50*second, func() {
			for i, h := range sortedKeys(w.Workers) {
				wk := w.Workers[h]
				switch i % 4 {
				case 0:
					w.cutOff(wk, 24*second, "hold")
				case 1:
					wk.ReportAnswersLost = true
					w.After(22*second, func() { wk.ReportAnswersLost = false })
				case 2:
					wk.CannotReceive = true
					w.After(16*second, func() { wk.CannotReceive = false })
				}
			}
		})
		w.At(52*second, func() { w.crashLeader(time.Second) })
		w.At(80*second, func() { w.cancelRunningJobs(4, 0) })
	}},
	{name: "jobs of two or three tasks end far apart across a change of the leader", load: func(w *Simulation) { submitStaggeredJobs(w, 120*second) }, faults: func(w *Simulation) {
		for i := range 6 {
			w.At(time.Duration(25+20*i)*second, func() { w.crashLeader(time.Duration(100+w.Rand.IntN(3000)) * time.Millisecond) })
		}
		w.At(20*second, func() { w.Store.UnansweredFraction = 0.2 })
		w.At(140*second, func() { w.Store.UnansweredFraction = 0 })
	}},
	{name: "controllers hand over and back, all end, one returns within a second", faults: func(w *Simulation) {
		for i := range 4 {
			at := time.Duration(30+25*i) * second
			w.At(at, func() { w.makeStoreUnavailableToLeader(4 * second) })
			w.At(at+3*second, func() { w.cancelRunningJobs(3, 0) })
			w.At(at+8*second, func() {
				for k, n := range w.Controllers {
					n.CrashFor(time.Duration(300+6000*((k+i)%3)) * time.Millisecond)
				}
			})
		}
	}},
	{name: "jobs bound to one zone lose machines", load: func(w *Simulation) { submitZoneBoundJobs(w, 110*second) }, faults: func(w *Simulation) {
		for i := range 8 {
			w.At(time.Duration(25+13*i)*second, func() {
				if keys := sortedKeys(w.Cloud.machines); len(keys) > 0 {
					w.Cloud.RemoveMachine(keys[w.Rand.IntN(len(keys))])
				}
				if keys := sortedKeys(w.Workers); len(keys) > 0 {
					w.Workers[keys[w.Rand.IntN(len(keys))]].Pause(time.Duration(3+w.Rand.IntN(20)) * second)
				}
			})
		}
		w.At(60*second, func() { cutZone(w, "b", 30*second, "hold") })
		w.At(66*second, func() { w.crashLeader(time.Second) })
	}},
	{name: "one-task jobs come four a second, a quarter cancelled", load: func(w *Simulation) { submitSmallJobs(w, 130*second) }, opt: func(o *Options) { o.Capacity = 12 }, faults: func(w *Simulation) {
		w.At(50*second, func() { w.crashLeader(2 * second) })
		w.At(80*second, func() { w.makeStoreUnavailableToLeader(10 * second) })
		w.outage(110*second, 118*second)
	}},
	{name: "answers of the state service are lost, at once or carried out late", faults: func(w *Simulation) {
		w.At(20*second, func() { w.Store.UnansweredFraction, w.Store.ApplyUnansweredAtOnce = 0.3, true })
		w.At(45*second, func() { w.crashLeader(500 * time.Millisecond) })
		w.At(70*second, func() { w.Store.ApplyUnansweredAtOnce = false })
		w.At(90*second, func() { w.crashLeader(300 * time.Millisecond) })
		w.At(95*second, func() { w.cancelRunningJobs(4, 5*second) })
		w.At(130*second, func() { w.Store.UnansweredFraction = 0 })
	}},
	{name: "old reports reach every controller as a new leader begins", faults: func(w *Simulation) {
		w.NextLeaderCopyFraction, w.LateReportCopyFraction = 0.4, 0.2
		for i := range 6 {
			w.At(time.Duration(30+19*i)*second, func() {
				if keys := sortedKeys(w.Cloud.machines); len(keys) > 0 {
					w.Cloud.RemoveMachine(keys[w.Rand.IntN(len(keys))])
				}
				if keys := sortedKeys(w.Workers); len(keys) > 0 {
					w.Workers[keys[w.Rand.IntN(len(keys))]].Pause(time.Duration(3+w.Rand.IntN(14)) * second)
					w.Workers[keys[w.Rand.IntN(len(keys))]].Restart()
				}
				w.crashLeader(time.Duration(100+w.Rand.IntN(2500)) * time.Millisecond)
			})
		}
		w.At(150*second, func() { w.NextLeaderCopyFraction, w.LateReportCopyFraction = 0, 0 })
	}},
	{name: "commands and their answers are held up for seconds, and the machine goes on", faults: func(w *Simulation) {
		w.RepeatFraction, w.LateReportCopyFraction = 0.3, 0.1
		w.At(160*second, func() { w.RepeatFraction, w.LateReportCopyFraction = 0, 0 })
		for i := range 14 {
			w.At(time.Duration(25+8*i)*second, func() {
				if keys := sortedKeys(w.Workers); len(keys) > 0 {
					h := keys[w.Rand.IntN(len(keys))]
					if l := w.Leader(); l != nil {
						ways := [][2]string{{l.Name, h}, {h, l.Name}}
						w.link(ways[i%2][0], ways[i%2][1]).mode = "hold"
						w.After(time.Duration(2+w.Rand.IntN(9))*second, func() { w.Heal(l.Name, h) })
					}
				}
				if i%3 == 0 {
					w.cancelRunningJobs(2, 3*second)
				}
			})
		}
		w.At(70*second, func() { w.crashLeader(400 * time.Millisecond) })
	}},
	{name: "a full team, cancelled jobs on machines out of reach, and the leader changes", limit: 8, load: func(w *Simulation) { submitFullTeamJobs(w, 120*second) }, faults: func(w *Simulation) {
		for i := range 4 {
			at := time.Duration(30+25*i) * second
			w.At(at, func() {
				for k, h := range sortedKeys(w.Workers) {
					switch {
					case i%2 == 1: // they hear the new leader, and then for a while nothing more
					case k%3 == 0:
						w.cutOff(w.Workers[h], 14*second, "hold")
					case k%3 == 1:
						w.Workers[h].Pause(7 * second)
					}
				}
			})
			if i%2 == 1 {
				w.At(at+time.Second, func() { w.makeUnreachableOnceFenced(at + 9*second) })
			}
			w.At(at+time.Second, func() {
				w.crashLeader(time.Duration(300+2000*i) * time.Millisecond)
				if i == 3 { // none is left that knows what the cancelled jobs were
					w.After(time.Second, func() {
						for _, n := range w.Controllers {
							n.CrashFor(400 * time.Millisecond)
						}
					})
				}
			})
			w.At(at+1300*time.Millisecond, func() { w.cancelRunningJobs(2, 0) })
			for k := range 6 { // new jobs, while some of what runs can't be seen
				j := batchJob(fmt.Sprintf("req-%06d", 710000+10*i+k), 2)
				j.Class, j.Spot, j.Team = "full", true, "tight"
				w.At(at+time.Duration(2+k)*second, func() { w.Users.Submit(j, 8*second) })
			}
			w.At(at+6*second, func() { w.cancelRunningJobs(1, 0) })
		}
	}},
	{name: "a leader cut from state service and peers, jobs are cancelled through the new one", load: func(w *Simulation) { submitLongJobs(w, 24) }, faults: func(w *Simulation) {
		for i := range 2 {
			at := time.Duration(45+40*i) * second
			w.At(at, func() {
				if l := w.Leader(); l != nil {
					alone(w, l, 26*second)
				}
			})
			w.At(at+time.Second, func() { w.cancelRunningJobs(3, 0) })
			w.At(at+7*second, func() { w.cancelRunningJobs(3, 0) })
		}
	}},
	{name: "workers reach no controller, while commands reach them", faults: func(w *Simulation) {
		for i := range 3 {
			w.At(time.Duration(30+33*i)*second, func() {
				for k, h := range sortedKeys(w.Workers) {
					if wk := w.Workers[h]; i == 1 || k%2 == 0 {
						wk.CannotReport = true
						w.After(time.Duration(5+9*i)*second, func() { wk.CannotReport = false })
					}
				}
				w.After(3*second, func() { w.cancelRunningJobs(3, 0) })
				if i == 2 {
					w.After(4*second, func() { w.crashLeader(time.Second) })
				}
			})
		}
	}},
	{name: "all controllers are away for longer than the lease", faults: func(w *Simulation) {
		w.At(50*second, func() { w.cancelRunningJobs(3, 12*second) })
		w.At(51*second, func() {
			for _, n := range w.Controllers {
				n.CrashFor(15 * second)
			}
		})
		w.At(100*second, func() {
			for i, n := range w.Controllers {
				n.CrashFor(time.Duration(11+6*i) * second)
			}
		})
	}},
	{name: "a zone with workers and a controller is cut off for longer than the lease", faults: func(w *Simulation) {
		w.At(40*second, func() { cutZone(w, "a", 25*second, "hold") })
		w.At(44*second, func() { w.cancelRunningJobs(4, 0) })
		w.At(90*second, func() {
			if l := w.Leader(); l != nil {
				cutZone(w, w.Options.Zones[l.index], 20*second, "drop")
			}
		})
		w.At(92*second, func() { w.cancelRunningJobs(4, 0) })
		w.At(97*second, func() { w.crashLeader(time.Second) })
	}},
	{name: "jobs are cancelled as the work changes hands", faults: func(w *Simulation) {
		for i := range 6 {
			at := time.Duration(30+20*i) * second
			w.At(at, func() {
				if i%2 == 0 {
					w.makeStoreUnavailableToLeader(5 * second)
				} else {
					w.crashLeader(300 * time.Millisecond)
				}
			})
			for k := range 8 {
				w.At(at+time.Duration(400*k)*time.Millisecond, func() { w.cancelRunningJobs(1, 0) })
			}
		}
	}},
	{name: "new machines get work at once while writes lag, and the leader ends", opt: func(o *Options) { o.Types[0].BootS = 1 }, faults: func(w *Simulation) {
		for i := range 5 {
			at := time.Duration(20+25*i) * second
			w.At(at, func() {
				w.Store.MaxExtraLatency, w.Store.UnansweredFraction, w.Store.ApplyUnansweredAtOnce = 800*time.Millisecond, 0.3, i%2 == 0
				for _, h := range sortedKeys(w.Workers)[:min(3, len(w.Workers))] {
					w.Cloud.RemoveMachine(w.Workers[h].info.Host) // others are rented in their place
				}
				for k := range 6 {
					j := batchJob(fmt.Sprintf("req-%06d", 700000+10*i+k), 3)
					j.Class, j.Spot = "sudden", true
					w.Users.Submit(j, 12*second)
				}
			})
			w.At(at+time.Duration(2000+600*i)*time.Millisecond, func() { w.crashLeader(300 * time.Millisecond) })
			w.At(at+12*second, func() { w.Store.MaxExtraLatency, w.Store.UnansweredFraction = 0, 0 })
		}
	}},
	{name: "a cancellation, a question or a repeated submission meets the end, with no other trouble", load: func(w *Simulation) {
		w.Users.CancelAtEndFraction = 0.7
		submitStaggeredJobs(w, 130*second)
	}, faults: func(w *Simulation) {}},
}

// crashLeader kills whoever leads.
func (w *Simulation) crashLeader(d time.Duration) {
	if l := w.Leader(); l != nil {
		l.CrashFor(d)
	}
}

// makeUnreachableOnceFenced makes machines that run cancelled tasks deaf as soon as they
// have shown themselves to a new leader, so that it knows of tasks that it can't
// stop yet.
func (w *Simulation) makeUnreachableOnceFenced(until time.Duration) {
	term := map[*Worker]uint64{}
	for _, wk := range w.Workers {
		term[wk] = wk.epoch >> 20
	}
	var look func()
	look = func() {
		for _, h := range sortedKeys(w.Workers) {
			wk := w.Workers[h]
			for task := range wk.tasks {
				if w.Checker.jobOf(task).cancelRequested && wk.epoch>>20 > term[wk] && !wk.CannotReceive {
					wk.CannotReceive = true
					w.After(8*second, func() { wk.CannotReceive = false })
				}
			}
		}
		if w.Now < until {
			w.After(5*time.Millisecond, look)
		}
	}
	look()
}

// makeStoreUnavailableToLeader has the state service refuse whoever leads.
func (w *Simulation) makeStoreUnavailableToLeader(d time.Duration) {
	if l := w.Leader(); l != nil {
		w.Store.UnavailableTo[l.Name] = true
		w.After(d, func() { delete(w.Store.UnavailableTo, l.Name) })
	}
}

func (w *Simulation) outage(from, to time.Duration) {
	w.At(from, func() { w.Store.Unavailable = true })
	w.At(to, w.Store.Recover)
}

// cutOff cuts a machine from all controllers.
func (w *Simulation) cutOff(wk *Worker, d time.Duration, mode string) {
	for _, n := range w.Controllers {
		w.Cut(n.Name, wk.info.Endpoint, mode)
		w.After(d, func() { w.Heal(n.Name, wk.info.Endpoint) })
	}
}

// cancelRunningJobs has users cancel n jobs that run, within a fifth of a second, those
// that would run on for long first; with hang, machines that run them hang that
// long.
func (w *Simulation) cancelRunningJobs(n int, hang time.Duration) {
	ids := sortedKeys(w.Checker.jobs)
	w.Rand.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	slices.SortStableFunc(ids, func(a, b string) int {
		return cmp.Compare(w.Checker.jobs[b].runTime/(60*second), w.Checker.jobs[a].runTime/(60*second))
	})
	for _, id := range ids {
		t := w.Checker.jobs[id]
		if n == 0 || !t.accepted || t.cancelRequested || t.confirmedDone || len(t.runningOn) == 0 {
			continue
		}
		n--
		if hang > 0 {
			for _, task := range sortedKeys(t.runningOn) {
				if wk := t.runningOn[task]; !wk.Paused {
					wk.Pause(hang)
				}
			}
		}
		w.After(time.Duration(w.Rand.Int64N(int64(200*time.Millisecond))), func() { w.Users.Cancel(id) })
	}
}

// submitLongJobs submits jobs that run for most of the day, some of a team at its limit.
func submitLongJobs(w *Simulation, n int) {
	for i := range n {
		j := batchJob(fmt.Sprintf("req-%06d", 600000+i), 2+i%2)
		j.Class, j.Spot = "long", i%2 == 0
		if i%4 == 0 {
			j.Team = "tight"
		}
		w.At(time.Duration(2+5*i)*second, func() { w.Users.Submit(j, 80*second) })
	}
}

// submitStaggeredJobs submits jobs of two or three tasks that end far apart.
func submitStaggeredJobs(w *Simulation, until time.Duration) {
	for i, at := 0, 2*second; at < until; i, at = i+1, at+3*second {
		j := batchJob(fmt.Sprintf("req-%06d", i), 2+i%2)
		j.Class, j.Spot = "apart", true
		w.At(at, func() { w.Users.SubmitStaggered(j, 4*second, 25*second) })
	}
}

// submitZoneBoundJobs submits jobs that must stay in one zone, one that they name or any.
func submitZoneBoundJobs(w *Simulation, until time.Duration) {
	for i, at := 0, 2*second; at < until; i, at = i+1, at+4*second {
		j := batchJob(fmt.Sprintf("req-%06d", i), 1+i%6)
		j.Class, j.Spot, j.OneZone = "bound", true, true
		if i%3 == 0 {
			j.Zone, j.OneZone = w.Options.Zones[i/3%3], i%2 == 0
		}
		run := time.Duration(6+i%20) * second
		if i%7 == 3 {
			j = serviceJob(j.ID, 2)
			j.Class, j.Spread, j.OneZone = "boundservice", false, true
		}
		w.At(at, func() { w.Users.Submit(j, run) })
	}
}

// submitSmallJobs submits one-task jobs four a second, a quarter of them cancelled.
func submitSmallJobs(w *Simulation, until time.Duration) {
	rnd := rand.New(rand.NewPCG(w.Options.Seed, 5))
	for i, at := 0, 2*second; at < until; i, at = i+1, at+250*time.Millisecond {
		j := batchJob(fmt.Sprintf("req-%06d", i), 1)
		j.Class, j.Spot = "small", true
		w.At(at, func() { w.Users.Submit(j, 5*second) })
		if i%4 == 0 {
			w.At(at+time.Duration(rnd.IntN(9000))*time.Millisecond, func() {
				if w.Checker.jobs[j.ID].accepted {
					w.Users.Cancel(j.ID)
				}
			})
		}
	}
}

// submitFullTeamJobs keeps a team at its limit.
func submitFullTeamJobs(w *Simulation, until time.Duration) {
	for i, at := 0, 2*second; at < until; i, at = i+1, at+7*second {
		j := batchJob(fmt.Sprintf("req-%06d", i), 1+i%4)
		j.Class, j.Spot, j.Team, j.EstimateS = "full", true, "tight", 20
		w.At(at, func() { w.Users.Submit(j, 20*second) })
	}
}

// submitOverload submits more than there is room for, urgent and not.
func submitOverload(w *Simulation, until time.Duration) {
	for i, at := 0, 2*second; at < until; i, at = i+1, at+2*second {
		j := batchJob(fmt.Sprintf("req-%06d", i), 3+i%5)
		j.Class, j.Spot, j.Priority, j.CPUs = "crowd"+j.Priority, true, []string{model.PriorityNormal, model.PriorityLow, model.PriorityHigh}[i%3], 2
		if i%9 == 4 {
			j = serviceJob(j.ID, 1)
			j.Class = "crowdservice"
			w.At(at+60*second, func() { w.Users.Cancel(j.ID) })
		}
		w.At(at, func() { w.Users.Submit(j, 7*second) })
	}
}

// sendRepeatedAndImpossibleRequests has users repeat submissions, cancel what is done and submit what can
// never run.
func sendRepeatedAndImpossibleRequests(w *Simulation, until time.Duration) {
	for i, at := 0, 20*second; at < until; i, at = i+1, at+7*second {
		w.At(at, func() {
			never := batchJob(fmt.Sprintf("req-%06d", 800000+i), 1)
			switch i % 3 {
			case 0:
				never.CPUs = 64
			case 1:
				never.Zone = "nowhere"
			case 2:
				never.Team = "nobody"
			}
			w.Users.SubmitImpossible(never)
			for _, id := range sortedKeys(w.Checker.jobs) {
				t := w.Checker.jobs[id]
				asked := w.Now
				switch {
				case !t.accepted || w.Rand.IntN(4) > 0:
				case t.confirmedDone:
					w.Users.sendRequest(func(req uint64) core.Event { return core.Cancel{RequestID: req, ID: id} }, 5*second, func(r core.Reply) { w.Checker.checkReply(t, asked, r) })
				case t.cancelConfirmedAt == 0:
					w.Users.sendRequest(w.Users.submitEvent(t.spec), 5*second, func(r core.Reply) { w.Checker.checkReply(t, asked, r) })
				}
			}
		})
	}
}

// extraSeeds are seeds whose day shows a guard that those of the others don't.
var extraSeeds = map[string][]uint64{
	"a full team, cancelled jobs on machines out of reach, and the leader changes": {6}, // new jobs before the takeover is settled
}

// TestCombinedFaults plays a day of each meeting of troubles and checks the rules and
// what is judged besides: nothing waits beside room, everything is answered.
func TestCombinedFaults(t *testing.T) {
	for _, m := range combinedFaultScenarios {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			list := extraSeeds[m.name]
			for seed := range max(1, *seedCount/2) {
				list = append(list, uint64(seed+1))
			}
			for _, seed := range list {
				opt := DefaultOptions(seed)
				limit := m.limit
				if limit == 0 {
					limit = 9
				}
				opt.Config.Teams["tight"] = core.Team{Limit: sched.Resources{CPUs: limit}}
				if m.opt != nil {
					m.opt(&opt)
				}
				w := New(opt)
				w.Users.ProbesAllControllers, w.Users.CancelAtEndFraction = true, 0.1
				if m.load != nil {
					m.load(w)
				} else {
					load(w, 130*second)
					submitLongJobs(w, 20)
				}
				sendRepeatedAndImpossibleRequests(w, 150*second)
				watchLeaders(w)
				m.faults(w)
				w.At(170*second, w.Checker.CheckWaiting)
				w.RunUntil(200 * second)
				w.Checker.CheckKnown(75 * second)
				w.RunUntil(300 * second)
				w.Checker.CheckServed()
				for _, b := range w.Checker.Violations {
					t.Errorf("seed %d: %s", seed, b)
				}
				accepted, done := w.Checker.CountBatchJobs()
				if accepted == 0 || done < accepted {
					t.Errorf("seed %d: %d of %d jobs done at the end of the day", seed, done, accepted)
				}
				t.Logf("seed %d: %d starts, %d of them late, %d of %d jobs done", seed, w.Checker.TaskStarts, w.Checker.StartsAfterCancellation, done, accepted)
			}
		})
	}
}
