package sim

import (
	"fmt"
	"testing"
	"time"
)

// cancelVisibilityFaults are ways in which a leader can miss a cancellation that was
// confirmed to a user. In each case the state service refuses only the leader, other
// controllers confirm cancellations, and then the state service is out for all
// controllers. Each case adds a fault of its own as the state service begins to refuse
// the leader.
var cancelVisibilityFaults = []struct {
	name string
	// inject is called as the state service begins to refuse the leader. The
	// confirmer and the third controller are the two followers; users cancel jobs
	// through both.
	inject func(sim *Simulation, leader, confirmer, third *Controller)
}{
	{"no further fault", func(sim *Simulation, leader, confirmer, third *Controller) {}},
	{"the confirmer is cut off from the other controllers", func(sim *Simulation, leader, confirmer, third *Controller) {
		sim.Cut(leader.Name, confirmer.Name, "drop")
		sim.Cut(third.Name, confirmer.Name, "drop")
	}},
	{"messages of the confirmer to the leader are delayed by 45 s", func(sim *Simulation, leader, confirmer, third *Controller) {
		sim.link(confirmer.Name, leader.Name).mode = "hold"
		sim.After(45*second, func() { sim.Heal(confirmer.Name, leader.Name) })
	}},
	{"messages of the leader to the confirmer are lost", func(sim *Simulation, leader, confirmer, third *Controller) {
		sim.link(leader.Name, confirmer.Name).mode = "drop"
	}},
	{"only the confirmer reaches the state service, and it is cut off from the other controllers", func(sim *Simulation, leader, confirmer, third *Controller) {
		sim.Store.UnavailableTo[third.Name] = true
		sim.Cut(leader.Name, confirmer.Name, "drop")
		sim.Cut(third.Name, confirmer.Name, "drop")
		sim.After(12*second, func() { delete(sim.Store.UnavailableTo, third.Name) })
	}},
	{"only the confirmer reaches the state service, and it crashes and restarts at once", func(sim *Simulation, leader, confirmer, third *Controller) {
		isolateAndCrashConfirmer(sim, leader, confirmer, third, 300*time.Millisecond)
	}},
	{"only the confirmer reaches the state service, and it crashes and restarts after 8 s", func(sim *Simulation, leader, confirmer, third *Controller) {
		isolateAndCrashConfirmer(sim, leader, confirmer, third, 8*second)
	}},
	{"the leader crashes and restarts at once", func(sim *Simulation, leader, confirmer, third *Controller) {
		sim.After(2500*time.Millisecond, func() { leader.CrashFor(300 * time.Millisecond) })
	}},
	{"some machines pause, and controllers can't reach others", func(sim *Simulation, leader, confirmer, third *Controller) {
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
	{"the replies to the cancelling transactions are lost", func(sim *Simulation, leader, confirmer, third *Controller) {
		sim.link("state", confirmer.Name).mode = "drop"
		sim.Cut(leader.Name, confirmer.Name, "drop")
		sim.Cut(leader.Name, third.Name, "drop")
		sim.After(2*second, func() { sim.Heal("state", confirmer.Name); sim.Heal(leader.Name, confirmer.Name) })
	}},
	{"the first messages to the leader are lost, and it gets a read lease", func(sim *Simulation, leader, confirmer, third *Controller) {
		sim.Users.StopsPollingAtEnd = true // with each further poll the followers would notify the leader again
		sim.link(confirmer.Name, leader.Name).mode = "drop"
		sim.link(third.Name, leader.Name).mode = "drop"
		sim.After(900*time.Millisecond, func() { sim.Heal(confirmer.Name, leader.Name); sim.Heal(third.Name, leader.Name) })
	}},
	{"the state service recovers for the confirmer only, and the confirmer is cut off from the other controllers", func(sim *Simulation, leader, confirmer, third *Controller) {
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
	{"the state service recovers for 500 ms while the leader is cut off from the confirmer", func(sim *Simulation, leader, confirmer, third *Controller) {
		sim.Cut(leader.Name, confirmer.Name, "drop")
		sim.After(20*second, func() {
			sim.Store.Recover() // by now it no longer refuses the leader
			sim.After(500*time.Millisecond, func() { sim.Store.Unavailable = true })
		})
	}},
}

// isolateAndCrashConfirmer lets only the confirmer use the state service and cuts it
// off from the other controllers, so that neither of them learns of the cancellations
// that it confirms. After 800 ms the confirmer crashes and the network is restored. The
// confirmer restarts after the given delay.
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

// TestCancellationVisibilityGap checks that the tasks of a cancelled job are gone
// within cancel_s of the confirmation to the user, however long the state service is
// out afterwards. A leader that can't learn of all confirmed cancellations must stop
// acting. A leader once acted for the whole outage by the promise of the third
// controller, while the cancellations that the second one had confirmed never reached
// it.
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
					t.Fatal("got no leader at 40 s")
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
						t.Errorf("seed %d: %s: got %d tasks running 125 s after the outage, want %d", seed, id, len(job.runningOn), job.spec.Tasks)
					}
				}
			}
			if confirmed < 9 {
				t.Errorf("got %d cancellations confirmed before 42 s, with all seeds, want at least 9", confirmed)
			}
		})
	}
}

// TestStoreOutageKeepsTasks checks that an outage of the state service ends no task,
// however long it is, while all other controllers grant read leases to the leader. One
// of them may crash and restart while its read lease still runs, or be out of the
// leader's reach for less time than the last read lease and the allowed age of the
// leader's view cover. If the leader can't reach a controller from before the outage on,
// no controller may act for long, because that one might have confirmed cancellations.
func TestStoreOutageKeepsTasks(t *testing.T) {
	cases := []struct {
		name   string
		inject func(sim *Simulation, leader, other *Controller)
		kept   bool
	}{
		{"all controllers are up", func(sim *Simulation, leader, other *Controller) {}, true},
		{"one controller crashes and restarts at once", func(sim *Simulation, leader, other *Controller) { other.CrashFor(300 * time.Millisecond) }, true},
		{"one controller crashes and restarts after 3 s", func(sim *Simulation, leader, other *Controller) { other.CrashFor(3 * second) }, true},
		{"one controller is cut off from the leader during the outage", func(sim *Simulation, leader, other *Controller) {
			sim.Cut(leader.Name, other.Name, "hold")
			sim.After(40*second, func() { sim.Heal(leader.Name, other.Name) })
		}, true},
		{"one controller is cut off from the leader before the outage", func(sim *Simulation, leader, other *Controller) {}, false},
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
			t.Errorf("%s: got all tasks still running: %v, want %v", tc.name, kept, tc.kept)
		}
		sim.Store.Recover()
		sim.Heal(leader.Name, other.Name)
		sim.RunUntil(150 * second)
		for _, violation := range sim.Checker.Violations {
			t.Errorf("%s: %s", tc.name, violation)
		}
		if tc.kept && sim.Checker.TaskStarts != job.Tasks {
			t.Errorf("%s: got %d task starts, want %d", tc.name, sim.Checker.TaskStarts, job.Tasks)
		}
	}
}
