package sim

import (
	"fmt"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

func gangOf(id string, tasks int) model.Job {
	j := batchJob(id, tasks)
	j.Kind, j.CPUs, j.Class, j.CheckpointEveryS, j.CheckpointCostS, j.EstimateS = model.KindGang, 2, "gang", 5, 2, 15
	return j
}

// submitGangs submits gangs of one to six tasks beside arrays and services; some must
// be in one zone, some may use spot machines, some belong to a team with a limit,
// some stop other work by their priority or their team's guarantee.
func submitGangs(w *Simulation, until time.Duration) {
	for i, at := 0, 2*second; at < until; i, at = i+1, at+5*second {
		j := gangOf(fmt.Sprintf("req-%06d", 300000+i), 1+(i*5)%6)
		j.OneZone, j.Spot = i%2 == 0, i%3 == 0
		if i%4 == 3 {
			j.Team, j.Tasks = "tight", 1+i%3
		}
		if i%6 == 5 {
			j.CheckpointEveryS, j.CheckpointCostS = 0, 0
		}
		if _, ok := w.Options.Config.Teams["own"]; ok && i%7 == 6 {
			j.Team = "own"
		} else if i%5 == 4 {
			j.Priority = model.PriorityHigh
		}
		run := time.Duration(8+i%14) * second
		w.At(at, func() { w.Users.Submit(j, run) })
	}
}

// TestGangScenarios plays gangs through the troubles of the other days, beside the
// ordinary load, and checks the rules and that all of them are done.
func TestGangScenarios(t *testing.T) {
	type day struct {
		name   string
		faults func(w *Simulation)
	}
	list := []day{{"quiet", func(w *Simulation) {}}}
	for _, d := range faultScenarios {
		switch d.name {
		case "leader crashes again and again", "leader refused by the state service alone", "machines hang, go on later, and commands come late",
			"machines taken without notice", "requests carried out come again", "workers begin anew, with late copies of their former lives",
			"a zone cut off, then the leader crashes", "everything new together", "machines out of earshot", "all together":
			list = append(list, day(d))
		}
	}
	for _, m := range combinedFaultScenarios {
		switch m.name {
		case "commands and their answers are held up for seconds, and the machine goes on", "old reports reach every controller as a new leader begins",
			"answers of the state service are lost, at once or carried out late", "jobs are cancelled as the work changes hands",
			"workers reach no controller, while commands reach them", "all controllers are away for longer than the lease":
			list = append(list, day{m.name, m.faults})
		}
	}
	list = append(list, day{"machines are recalled, and urgent work takes their room", func(w *Simulation) {
		for i := range 12 {
			w.At(time.Duration(25+9*i)*second, func() {
				if keys := sortedKeys(w.Workers); len(keys) > 0 {
					w.Cloud.Reclaim(w.Workers[keys[w.Rand.IntN(len(keys))]].info.Host, 9*second)
				}
			})
			j := serviceJob(fmt.Sprintf("req-%06d", 400000+i), 2)
			w.At(time.Duration(22+9*i)*second, func() { w.Users.Submit(j, 0) })
			w.At(time.Duration(52+9*i)*second, func() { w.Users.Cancel(j.ID) })
		}
	}})
	for _, d := range list {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= uint64(max(1, *seedCount/2)); seed++ {
				opt := DefaultOptions(seed)
				opt.Config.Teams["tight"] = core.Team{Limit: sched.Resources{CPUs: 9}}
				opt.Config.Teams["own"] = core.Team{Guaranteed: sched.Resources{CPUs: 12}}
				w := New(opt)
				submitGangs(w, 130*second)
				load(w, 120*second)
				watchLeaders(w)
				d.faults(w)
				w.At(200*second, w.Checker.CheckWaiting)
				w.RunUntil(240 * second)
				w.Checker.CheckKnown(75 * second)
				w.RunUntil(340 * second)
				w.Checker.CheckServed()
				for _, b := range w.Checker.Violations {
					t.Errorf("seed %d: %s", seed, b)
				}
				gangs, done := 0, 0
				for _, x := range w.Checker.jobs {
					if x.accepted && !x.cancelRequested && x.spec.Kind == model.KindGang {
						gangs++
						if x.confirmedDone || !w.Checker.canStart(x) {
							done++ // services may have left no room for it in any zone
						}
					}
				}
				if gangs == 0 || done < gangs {
					t.Errorf("seed %d: %d of %d gangs done at the end of the day", seed, done, gangs)
				}
				t.Logf("seed %d: %d of %d gangs done, %d starts", seed, done, gangs, w.Checker.TaskStarts)
			}
		})
	}
}

// TestLargeGangStartsUnderArrayLoad: arrays come all the time and take each bit of room that
// ends; a gang that needs most of the machines begins all the same, by machines
// that are kept free for it, and the arrays go on.
func TestLargeGangStartsUnderArrayLoad(t *testing.T) {
	opt := DefaultOptions(3)
	opt.Capacity = 6
	w := New(opt)
	for _, zone := range opt.Zones {
		w.Cloud.Rent("small", zone, false, 6)
	}
	for i := range 80 {
		j := batchJob(fmt.Sprintf("req-%06d", i), 16)
		j.Class = "array"
		w.At(time.Duration(1000+2000*i)*time.Millisecond, func() { w.Users.Submit(j, time.Duration(6+i%7)*second) })
	}
	g := gangOf("req-300000", 5)
	g.OneZone = true
	w.At(60*second, func() { w.Users.Submit(g, 10*second) })
	w.RunUntil(60 * second)
	if n := w.runningTaskCount(); n < 60 {
		t.Fatalf("%d tasks run on 72 CPUs: there is no crowd", n)
	}
	w.RunUntil(120 * second)
	if x := w.Checker.jobs[g.ID]; x.firstStartedAt == 0 || x.firstStartedAt > 105*second {
		t.Errorf("the gang, submitted at 60 s, began at %v", x.firstStartedAt)
	}
	if n := w.runningTaskCount(); n < 50 {
		t.Errorf("%d array tasks run on 72 CPUs", n)
	}
	for _, b := range w.Checker.Violations {
		t.Error(b)
	}
}

// runningTaskCount is how many tasks are on machines.
func (w *Simulation) runningTaskCount() int {
	n := 0
	for _, t := range w.Checker.jobs {
		n += len(t.runningOn)
	}
	return n
}

// TestSpareCapacityForGangs: while gangs come that should start sooner than a machine
// boots, one finds its room free; when they stop coming the machines go back.
func TestSpareCapacityForGangs(t *testing.T) {
	opt := DefaultOptions(4)
	opt.Config.Goals = map[string]core.Goal{"gang": {StartWithin: 5 * second}}
	w := New(opt)
	for i := range 10 {
		g := gangOf(fmt.Sprintf("req-%06d", i), 3)
		w.At(time.Duration(2+15*i)*second, func() { w.Users.Submit(g, 20*second) })
	}
	w.RunUntil(250 * second)
	late := 0
	for _, id := range sortedKeys(w.Checker.jobs) {
		if x := w.Checker.jobs[id]; x.submittedAt > 40*second && x.firstStartedAt-x.submittedAt > 5*second {
			late++
		}
	}
	if late > 1 {
		t.Errorf("%d of 7 gangs waited for a machine to boot", late)
	}
	if n := len(w.Workers); n > 0 {
		t.Errorf("%d machines are kept though no gang has come for 100 s", n)
	}
	for _, b := range w.Checker.Violations {
		t.Error(b)
	}
}

// TestGangLargerThanCloudCapacity: a gang that is larger than what the cloud gives stays
// known and waits; it costs other work nothing that lasts: machines are rented
// for it less and less often, none is kept free for it, and arrays begin as ever.
// Once the cloud has enough it runs.
func TestGangLargerThanCloudCapacity(t *testing.T) {
	opt := DefaultOptions(3)
	opt.Config.Goals = map[string]core.Goal{"gang": {StartWithin: 5 * second}}
	w := New(opt)
	g := gangOf("req-300000", 40) // twenty machines of twelve
	w.At(5*second, func() { w.Users.Submit(g, 10*second) })
	for i := range 20 {
		j := batchJob(fmt.Sprintf("req-%06d", i), 8)
		j.Class = "array"
		w.At(time.Duration(20+25*i)*second, func() { w.Users.Submit(j, 8*second) })
	}
	var rented, idle time.Duration // machine seconds, in the second half
	w.At(300*second, func() {
		var look func()
		look = func() {
			for _, wk := range w.Workers {
				rented += second
				if len(wk.tasks) == 0 {
					idle += second
				}
			}
			w.After(second, look)
		}
		look()
	})
	w.RunUntil(550 * second)
	for i := range 20 {
		if x := w.Checker.jobs[fmt.Sprintf("req-%06d", i)]; x.firstStartedAt == 0 || x.firstStartedAt-x.submittedAt > 25*second {
			t.Errorf("array %d began %v after it was submitted at %v", i, x.firstStartedAt-x.submittedAt, x.submittedAt)
		}
	}
	if x := w.Checker.jobs[g.ID]; x.firstStartedAt != 0 || x.confirmedDone || !x.accepted {
		t.Errorf("the gang: accepted: %v, began at %v", x.accepted, x.firstStartedAt)
	}
	// Two to three machines carry the arrays, and each idles for a minute at most.
	if mean := idle.Seconds() / 250; mean > 4 {
		t.Errorf("%.1f machines idle on average, of %.1f rented", mean, rented.Seconds()/250)
	}
	w.Options.Capacity = 12
	w.RunUntil(1200 * second)
	if x := w.Checker.jobs[g.ID]; !x.confirmedDone {
		t.Error("the cloud has enough, and the gang has not run 650 s later")
	}
	for _, b := range w.Checker.Violations {
		t.Error(b)
	}
}
