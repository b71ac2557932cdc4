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
	more func(w *Simulation, leader, a, b *Controller)
}{
	{"nothing more", func(w *Simulation, leader, a, b *Controller) {}},
	{"the leader can't reach the one that confirms", func(w *Simulation, leader, a, b *Controller) {
		w.Cut(leader.Name, a.Name, "drop")
		w.Cut(b.Name, a.Name, "drop")
	}},
	{"what the others say is held up on its way to the leader", func(w *Simulation, leader, a, b *Controller) {
		w.link(a.Name, leader.Name).mode = "hold"
		w.After(45*second, func() { w.Heal(a.Name, leader.Name) })
	}},
	{"what the leader says doesn't reach the one that confirms", func(w *Simulation, leader, a, b *Controller) {
		w.link(leader.Name, a.Name).mode = "drop"
	}},
	{"only one confirms, cut from both others", func(w *Simulation, leader, a, b *Controller) {
		w.Store.UnavailableTo[b.Name] = true
		w.Cut(leader.Name, a.Name, "drop")
		w.Cut(b.Name, a.Name, "drop")
		w.After(12*second, func() { delete(w.Store.UnavailableTo, b.Name) })
	}},
	{"only one confirms, ends, and is back at once", func(w *Simulation, leader, a, b *Controller) {
		isolateAndCrashConfirmer(w, leader, a, b, 300*time.Millisecond)
	}},
	{"only one confirms, ends, and is back later", func(w *Simulation, leader, a, b *Controller) { isolateAndCrashConfirmer(w, leader, a, b, 8*second) }},
	{"the leader ends", func(w *Simulation, leader, a, b *Controller) {
		w.After(2500*time.Millisecond, func() { leader.CrashFor(300 * time.Millisecond) })
	}},
	{"machines hang or are deaf", func(w *Simulation, leader, a, b *Controller) {
		for i, h := range sortedKeys(w.Workers) {
			wk := w.Workers[h]
			switch i % 4 {
			case 0:
				wk.Pause(8 * second)
			case 1:
				wk.CannotReceive = true
				w.After(35*second, func() { wk.CannotReceive = false })
			}
		}
	}},
	{"the answers to the cancelling transactions are lost", func(w *Simulation, leader, a, b *Controller) {
		w.link("state", a.Name).mode = "drop"
		w.Cut(leader.Name, a.Name, "drop")
		w.Cut(leader.Name, b.Name, "drop")
		w.After(2*second, func() { w.Heal("state", a.Name); w.Heal(leader.Name, a.Name) })
	}},
	{"the first word to the leader is lost, and it gets a read lease", func(w *Simulation, leader, a, b *Controller) {
		w.Users.StopsPollingAtEnd = true // asked again, the others would tell the leader again
		w.link(a.Name, leader.Name).mode = "drop"
		w.link(b.Name, leader.Name).mode = "drop"
		w.After(900*time.Millisecond, func() { w.Heal(a.Name, leader.Name); w.Heal(b.Name, leader.Name) })
	}},
	{"the state service is back for one alone, which the leader can't hear", func(w *Simulation, leader, a, b *Controller) {
		w.After(14*second, func() {
			w.Cut(leader.Name, a.Name, "drop")
			w.Cut(b.Name, a.Name, "drop")
			w.Store.UnavailableTo[b.Name], w.Store.UnavailableTo[leader.Name] = true, true
			w.Store.Recover()
			w.Users.CancelVia("req-000011", a)
			w.After(4*second, func() { w.Store.Unavailable = true })
		})
		w.After(50*second, func() {
			w.Heal(leader.Name, a.Name)
			w.Heal(b.Name, a.Name)
			delete(w.Store.UnavailableTo, b.Name)
			delete(w.Store.UnavailableTo, leader.Name)
		})
	}},
	{"the state service is back for the others first", func(w *Simulation, leader, a, b *Controller) {
		w.Cut(leader.Name, a.Name, "drop")
		w.After(20*second, func() {
			w.Store.Recover() // but not for the leader
			w.After(500*time.Millisecond, func() { w.Store.Unavailable = true })
		})
	}},
}

// isolateAndCrashConfirmer has a confirm what neither of the others hears of, and end.
func isolateAndCrashConfirmer(w *Simulation, leader, a, b *Controller, back time.Duration) {
	w.Store.UnavailableTo[b.Name] = true
	w.Cut(leader.Name, a.Name, "drop")
	w.Cut(b.Name, a.Name, "drop")
	w.After(800*time.Millisecond, func() {
		a.CrashFor(back)
		w.Heal(leader.Name, a.Name)
		w.Heal(b.Name, a.Name)
	})
	w.After(12*second, func() { delete(w.Store.UnavailableTo, b.Name) })
}

// TestCancellationVisibilityGap: the tasks of a job are gone within cancel_s of the confirmation, or
// nobody goes on acting, however long the state service is out afterwards. The
// leader acted on the promise of the third controller for as long as the outage
// lasted, while what the second had confirmed never reached it.
func TestCancellationVisibilityGap(t *testing.T) {
	for _, gap := range cancelVisibilityFaults {
		t.Run(gap.name, func(t *testing.T) {
			t.Parallel()
			confirmed := 0
			for seed := uint64(1); seed <= 4; seed++ {
				w := New(DefaultOptions(seed))
				watchLeaders(w)
				var ids []string
				for i := range 12 {
					j := batchJob(fmt.Sprintf("req-%06d", i), 2)
					j.Class = "long"
					ids = append(ids, j.ID)
					w.At(2*second, func() { w.Users.Submit(j, 300*second) })
				}
				w.RunUntil(40 * second)
				l := w.Leader()
				if l == nil {
					t.Fatal("nobody leads")
				}
				a, b := w.Controllers[(l.index+1)%3], w.Controllers[(l.index+2)%3]
				w.Store.UnavailableTo[l.Name] = true
				gap.more(w, l, a, b)
				for i, id := range ids[:9] {
					w.At(w.Now+time.Duration(250+60*i)*time.Millisecond, func() { w.Users.CancelVia(id, []*Controller{b, a}[i%2]) })
					w.At(w.Now+time.Duration(50+60*i)*time.Millisecond, func() { w.Users.CancelVia(id, []*Controller{a, b}[i%2]) })
				}
				w.At(40800*time.Millisecond, func() { w.Store.Unavailable = true })
				w.At(52*second, func() { delete(w.Store.UnavailableTo, l.Name) })
				w.At(105*second, w.Store.Recover)
				w.RunUntil(150 * second)
				w.Checker.CheckKnown(75 * second)
				w.RunUntil(230 * second)
				for _, id := range ids[:9] {
					if w.Checker.jobs[id].cancelConfirmedAt > 0 && w.Checker.jobs[id].cancelConfirmedAt < 42*second {
						confirmed++
					}
				}
				for _, b := range w.Checker.Violations {
					t.Errorf("seed %d: %s", seed, b)
				}
				for _, id := range ids {
					if j := w.Checker.jobs[id]; j.cancelConfirmedAt == 0 && len(j.runningOn) != j.spec.Tasks {
						t.Errorf("seed %d: %s: %d of %d tasks run long after the outage", seed, id, len(j.runningOn), j.spec.Tasks)
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
		name string
		more func(w *Simulation, leader, other *Controller)
		kept bool
	}{
		{"all are there", func(w *Simulation, leader, other *Controller) {}, true},
		{"one ends and is back within a moment", func(w *Simulation, leader, other *Controller) { other.CrashFor(300 * time.Millisecond) }, true},
		{"one ends and is back later", func(w *Simulation, leader, other *Controller) { other.CrashFor(3 * second) }, true},
		{"one is cut off", func(w *Simulation, leader, other *Controller) {
			w.Cut(leader.Name, other.Name, "hold")
			w.After(40*second, func() { w.Heal(leader.Name, other.Name) })
		}, true},
		{"one is cut off from before the outage on", func(w *Simulation, leader, other *Controller) {}, false},
	}
	for _, c := range cases {
		w := New(DefaultOptions(3))
		j := batchJob("req-000001", 4)
		w.At(2*second, func() { w.Users.Submit(j, 300*second) })
		w.RunUntil(40 * second)
		l := w.Leader()
		other := w.Controllers[(l.index+1)%3]
		if !c.kept {
			w.Cut(l.Name, other.Name, "drop")
		}
		w.RunUntil(41 * second)
		w.Store.Unavailable = true
		w.RunUntil(52 * second)
		c.more(w, l, other)
		w.RunUntil(102 * second)
		kept := len(w.Checker.jobs[j.ID].runningOn) == j.Tasks
		if kept != c.kept {
			t.Errorf("%s: the tasks run on: %v, want %v", c.name, kept, c.kept)
		}
		w.Store.Recover()
		w.Heal(l.Name, other.Name)
		w.RunUntil(150 * second)
		for _, b := range w.Checker.Violations {
			t.Errorf("%s: %s", c.name, b)
		}
		if c.kept && w.Checker.TaskStarts != j.Tasks {
			t.Errorf("%s: %d starts of %d tasks", c.name, w.Checker.TaskStarts, j.Tasks)
		}
	}
}
