package sim

import (
	"fmt"
	"testing"
	"time"
)

// cancelVisibilityFaults are the ways in which a confirmed cancellation can miss the leader: the
// state service refuses it alone, others confirm, and then it is out for all.
// Each adds its own trouble at the moment of the confirmations.
var cancelVisibilityFaults = []struct {
	name string
	// more is called as the state service begins to refuse the leader, with the
	// two others.
	inject func(sim *Simulation, leader, confirmer, third *Controller)
}{
	{"nothing more", func(sim *Simulation, leader, confirmer, third *Controller) {}},
	{"the leader can't reach the one that confirms", func(sim *Simulation, leader, confirmer, third *Controller) {
		sim.Cut(leader.Name, confirmer.Name, "drop")
		sim.Cut(third.Name, confirmer.Name, "drop")
	}},
	{"what the others say is held up on its way to the leader", func(sim *Simulation, leader, confirmer, third *Controller) {
		sim.link(confirmer.Name, leader.Name).mode = "hold"
		sim.After(45*second, func() { sim.Heal(confirmer.Name, leader.Name) })
	}},
	{"what the leader says doesn't reach the one that confirms", func(sim *Simulation, leader, confirmer, third *Controller) {
		sim.link(leader.Name, confirmer.Name).mode = "drop"
	}},
	{"only one confirms, cut from both others", func(sim *Simulation, leader, confirmer, third *Controller) {
		sim.Store.UnavailableTo[third.Name] = true
		sim.Cut(leader.Name, confirmer.Name, "drop")
		sim.Cut(third.Name, confirmer.Name, "drop")
		sim.After(12*second, func() { delete(sim.Store.UnavailableTo, third.Name) })
	}},
	{"only one confirms, ends, and is back at once", func(sim *Simulation, leader, confirmer, third *Controller) {
		isolateAndCrashConfirmer(sim, leader, confirmer, third, 300*time.Millisecond)
	}},
	{"only one confirms, ends, and is back later", func(sim *Simulation, leader, confirmer, third *Controller) {
		isolateAndCrashConfirmer(sim, leader, confirmer, third, 8*second)
	}},
	{"the leader ends", func(sim *Simulation, leader, confirmer, third *Controller) {
		sim.After(2500*time.Millisecond, func() { leader.CrashFor(300 * time.Millisecond) })
	}},
	{"machines hang or are deaf", func(sim *Simulation, leader, confirmer, third *Controller) {
		for i, endpoint := range sortedKeys(sim.Workers) {
			worker := sim.Workers[endpoint]
			switch i % 4 {
			case 0:
				worker.Pause(8 * second)
			case 1:
				worker.CannotReceive = true
				sim.After(35*second, func() { worker.CannotReceive = false })
			}
		}
	}},
	{"the answers to the cancelling transactions are lost", func(sim *Simulation, leader, confirmer, third *Controller) {
		sim.link("state", confirmer.Name).mode = "drop"
		sim.Cut(leader.Name, confirmer.Name, "drop")
		sim.Cut(leader.Name, third.Name, "drop")
		sim.After(2*second, func() { sim.Heal("state", confirmer.Name); sim.Heal(leader.Name, confirmer.Name) })
	}},
	{"the first word to the leader is lost, and it gets a read lease", func(sim *Simulation, leader, confirmer, third *Controller) {
		sim.Users.StopsPollingAtEnd = true // asked again, the others would tell the leader again
		sim.link(confirmer.Name, leader.Name).mode = "drop"
		sim.link(third.Name, leader.Name).mode = "drop"
		sim.After(900*time.Millisecond, func() { sim.Heal(confirmer.Name, leader.Name); sim.Heal(third.Name, leader.Name) })
	}},
	{"the state service is back for one alone, which the leader can't hear", func(sim *Simulation, leader, confirmer, third *Controller) {
		sim.After(14*second, func() {
			sim.Cut(leader.Name, confirmer.Name, "drop")
			sim.Cut(third.Name, confirmer.Name, "drop")
			sim.Store.UnavailableTo[third.Name], sim.Store.UnavailableTo[leader.Name] = true, true
			sim.Store.Recover()
			sim.Users.CancelVia("req-000011", confirmer)
			sim.After(4*second, func() { sim.Store.Unavailable = true })
		})
		sim.After(50*second, func() {
			sim.Heal(leader.Name, confirmer.Name)
			sim.Heal(third.Name, confirmer.Name)
			delete(sim.Store.UnavailableTo, third.Name)
			delete(sim.Store.UnavailableTo, leader.Name)
		})
	}},
	{"the state service is back for the others first", func(sim *Simulation, leader, confirmer, third *Controller) {
		sim.Cut(leader.Name, confirmer.Name, "drop")
		sim.After(20*second, func() {
			sim.Store.Recover() // but not for the leader
			sim.After(500*time.Millisecond, func() { sim.Store.Unavailable = true })
		})
	}},
}

// isolateAndCrashConfirmer has a confirm what neither of the others hears of, and end.
func isolateAndCrashConfirmer(sim *Simulation, leader, confirmer, third *Controller, restartDelay time.Duration) {
	sim.Store.UnavailableTo[third.Name] = true
	sim.Cut(leader.Name, confirmer.Name, "drop")
	sim.Cut(third.Name, confirmer.Name, "drop")
	sim.After(800*time.Millisecond, func() {
		confirmer.CrashFor(restartDelay)
		sim.Heal(leader.Name, confirmer.Name)
		sim.Heal(third.Name, confirmer.Name)
	})
	sim.After(12*second, func() { delete(sim.Store.UnavailableTo, third.Name) })
}

// TestCancellationVisibilityGap: the tasks of a job are gone within cancel_s of the confirmation, or
// nobody goes on acting, however long the state service is out afterwards. The
// leader acted on the promise of the third controller for as long as the outage
// lasted, while what the second had confirmed never reached it.
func TestCancellationVisibilityGap(t *testing.T) {
	for _, fault := range cancelVisibilityFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			confirmed := 0
			for seed := uint64(1); seed <= 4; seed++ {
				sim := New(DefaultOptions(seed))
				watchLeaders(sim)
				var ids []string
				for i := range 12 {
					job := batchJob(fmt.Sprintf("req-%06d", i), 2)
					job.Class = "long"
					ids = append(ids, job.ID)
					sim.At(2*second, func() { sim.Users.Submit(job, 300*second) })
				}
				sim.RunUntil(40 * second)
				leader := sim.Leader()
				if leader == nil {
					t.Fatal("nobody leads")
				}
				confirmer, third := sim.Controllers[(leader.index+1)%3], sim.Controllers[(leader.index+2)%3]
				sim.Store.UnavailableTo[leader.Name] = true
				fault.inject(sim, leader, confirmer, third)
				for i, id := range ids[:9] {
					sim.At(sim.Now+time.Duration(250+60*i)*time.Millisecond, func() { sim.Users.CancelVia(id, []*Controller{third, confirmer}[i%2]) })
					sim.At(sim.Now+time.Duration(50+60*i)*time.Millisecond, func() { sim.Users.CancelVia(id, []*Controller{confirmer, third}[i%2]) })
				}
				sim.At(40800*time.Millisecond, func() { sim.Store.Unavailable = true })
				sim.At(52*second, func() { delete(sim.Store.UnavailableTo, leader.Name) })
				sim.At(105*second, sim.Store.Recover)
				sim.RunUntil(150 * second)
				sim.Checker.CheckKnown(75 * second)
				sim.RunUntil(230 * second)
				for _, id := range ids[:9] {
					if sim.Checker.jobs[id].cancelConfirmedAt > 0 && sim.Checker.jobs[id].cancelConfirmedAt < 42*second {
						confirmed++
					}
				}
				for _, violation := range sim.Checker.Violations {
					t.Errorf("seed %d: %s", seed, violation)
				}
				for _, id := range ids {
					if job := sim.Checker.jobs[id]; job.cancelConfirmedAt == 0 && len(job.runningOn) != job.spec.Tasks {
						t.Errorf("seed %d: %s: %d of %d tasks run long after the outage", seed, id, len(job.runningOn), job.spec.Tasks)
					}
				}
			}
			if confirmed < 9 {
				t.Errorf("%d cancellations confirmed before the outage: the gap was not met", confirmed)
			}
		})
	}
}

// TestStoreOutageKeepsTasks: an outage of the state service, however long, ends no
// task while every controller stands by the leader, also one that ends and is
// back while its read lease would still run. With one out of the leader's reach
// for long, nobody may go on: it might have confirmed cancellations.
func TestStoreOutageKeepsTasks(t *testing.T) {
	cases := []struct {
		name   string
		inject func(sim *Simulation, leader, other *Controller)
		kept   bool
	}{
		{"all are there", func(sim *Simulation, leader, other *Controller) {}, true},
		{"one ends and is back within a moment", func(sim *Simulation, leader, other *Controller) { other.CrashFor(300 * time.Millisecond) }, true},
		{"one ends and is back later", func(sim *Simulation, leader, other *Controller) { other.CrashFor(3 * second) }, true},
		{"one is cut off", func(sim *Simulation, leader, other *Controller) {
			sim.Cut(leader.Name, other.Name, "hold")
			sim.After(40*second, func() { sim.Heal(leader.Name, other.Name) })
		}, true},
		{"one is cut off from before the outage on", func(sim *Simulation, leader, other *Controller) {}, false},
	}
	for _, tc := range cases {
		sim := New(DefaultOptions(3))
		job := batchJob("req-000001", 4)
		sim.At(2*second, func() { sim.Users.Submit(job, 300*second) })
		sim.RunUntil(40 * second)
		leader := sim.Leader()
		other := sim.Controllers[(leader.index+1)%3]
		if !tc.kept {
			sim.Cut(leader.Name, other.Name, "drop")
		}
		sim.RunUntil(41 * second)
		sim.Store.Unavailable = true
		sim.RunUntil(52 * second)
		tc.inject(sim, leader, other)
		sim.RunUntil(102 * second)
		kept := len(sim.Checker.jobs[job.ID].runningOn) == job.Tasks
		if kept != tc.kept {
			t.Errorf("%s: the tasks run on: %v, want %v", tc.name, kept, tc.kept)
		}
		sim.Store.Recover()
		sim.Heal(leader.Name, other.Name)
		sim.RunUntil(150 * second)
		for _, violation := range sim.Checker.Violations {
			t.Errorf("%s: %s", tc.name, violation)
		}
		if tc.kept && sim.Checker.TaskStarts != job.Tasks {
			t.Errorf("%s: %d starts of %d tasks", tc.name, sim.Checker.TaskStarts, job.Tasks)
		}
	}
}
