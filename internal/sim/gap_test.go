package sim

import (
	"fmt"
	"testing"
	"time"
)

// gaps are the ways in which a confirmed cancellation can miss the leader: the
// state service refuses it alone, others confirm, and then it is out for all.
// Each adds its own trouble at the moment of the confirmations.
var gaps = []struct {
	name string
	// more is called as the state service begins to refuse the leader, with the
	// two others.
	more func(w *World, leader, a, b *Node)
}{
	{"nothing more", func(w *World, leader, a, b *Node) {}},
	{"the leader can't reach the one that confirms", func(w *World, leader, a, b *Node) {
		w.Cut(leader.Name, a.Name, "drop")
		w.Cut(b.Name, a.Name, "drop")
	}},
	{"what the others say is held up on its way to the leader", func(w *World, leader, a, b *Node) {
		w.link(a.Name, leader.Name).mode = "hold"
		w.After(45*second, func() { w.Heal(a.Name, leader.Name) })
	}},
	{"what the leader says doesn't reach the one that confirms", func(w *World, leader, a, b *Node) {
		w.link(leader.Name, a.Name).mode = "drop"
	}},
	{"only one confirms, cut from both others", func(w *World, leader, a, b *Node) {
		w.Store.Refuse[b.Name] = true
		w.Cut(leader.Name, a.Name, "drop")
		w.Cut(b.Name, a.Name, "drop")
		w.After(12*second, func() { delete(w.Store.Refuse, b.Name) })
	}},
	{"only one confirms, ends, and is back at once", func(w *World, leader, a, b *Node) { onlyOneConfirms(w, leader, a, b, 300*time.Millisecond) }},
	{"only one confirms, ends, and is back later", func(w *World, leader, a, b *Node) { onlyOneConfirms(w, leader, a, b, 8*second) }},
	{"the leader ends", func(w *World, leader, a, b *Node) {
		w.After(2500*time.Millisecond, func() { leader.CrashFor(300 * time.Millisecond) })
	}},
	{"machines hang or are deaf", func(w *World, leader, a, b *Node) {
		for i, h := range sortedKeys(w.Workers) {
			wk := w.Workers[h]
			switch i % 4 {
			case 0:
				wk.Hang(8 * second)
			case 1:
				wk.Deaf = true
				w.After(35*second, func() { wk.Deaf = false })
			}
		}
	}},
	{"the answers to the cancelling transactions are lost", func(w *World, leader, a, b *Node) {
		w.link("state", a.Name).mode = "drop"
		w.Cut(leader.Name, a.Name, "drop")
		w.Cut(leader.Name, b.Name, "drop")
		w.After(2*second, func() { w.Heal("state", a.Name); w.Heal(leader.Name, a.Name) })
	}},
	{"the first word to the leader is lost, and it gets a read lease", func(w *World, leader, a, b *Node) {
		w.Users.Quiet = true // asked again, the others would tell the leader again
		w.link(a.Name, leader.Name).mode = "drop"
		w.link(b.Name, leader.Name).mode = "drop"
		w.After(900*time.Millisecond, func() { w.Heal(a.Name, leader.Name); w.Heal(b.Name, leader.Name) })
	}},
	{"the state service is back for one alone, which the leader can't hear", func(w *World, leader, a, b *Node) {
		w.After(14*second, func() {
			w.Cut(leader.Name, a.Name, "drop")
			w.Cut(b.Name, a.Name, "drop")
			w.Store.Refuse[b.Name], w.Store.Refuse[leader.Name] = true, true
			w.Store.Recover()
			w.Users.CancelAt("req-000011", a)
			w.After(4*second, func() { w.Store.Out = true })
		})
		w.After(50*second, func() {
			w.Heal(leader.Name, a.Name)
			w.Heal(b.Name, a.Name)
			delete(w.Store.Refuse, b.Name)
			delete(w.Store.Refuse, leader.Name)
		})
	}},
	{"the state service is back for the others first", func(w *World, leader, a, b *Node) {
		w.Cut(leader.Name, a.Name, "drop")
		w.After(20*second, func() {
			w.Store.Recover() // but not for the leader
			w.After(500*time.Millisecond, func() { w.Store.Out = true })
		})
	}},
}

// onlyOneConfirms has a confirm what neither of the others hears of, and end.
func onlyOneConfirms(w *World, leader, a, b *Node, back time.Duration) {
	w.Store.Refuse[b.Name] = true
	w.Cut(leader.Name, a.Name, "drop")
	w.Cut(b.Name, a.Name, "drop")
	w.After(800*time.Millisecond, func() {
		a.CrashFor(back)
		w.Heal(leader.Name, a.Name)
		w.Heal(b.Name, a.Name)
	})
	w.After(12*second, func() { delete(w.Store.Refuse, b.Name) })
}

// TestGap: the tasks of a job are gone within cancel_s of the confirmation, or
// nobody goes on acting, however long the state service is out afterwards. The
// leader acted on the promise of the third controller for as long as the outage
// lasted, while what the second had confirmed never reached it.
func TestGap(t *testing.T) {
	for _, gap := range gaps {
		t.Run(gap.name, func(t *testing.T) {
			t.Parallel()
			confirmed := 0
			for seed := uint64(1); seed <= 4; seed++ {
				w := New(Defaults(seed))
				watchLeaders(w)
				var ids []string
				for i := range 12 {
					j := batch(fmt.Sprintf("req-%06d", i), 2)
					j.Class = "long"
					ids = append(ids, j.ID)
					w.At(2*second, func() { w.Users.Submit(j, 300*second) })
				}
				w.Run(40 * second)
				l := w.Leader()
				if l == nil {
					t.Fatal("nobody leads")
				}
				a, b := w.Nodes[(l.index+1)%3], w.Nodes[(l.index+2)%3]
				w.Store.Refuse[l.Name] = true
				gap.more(w, l, a, b)
				for i, id := range ids[:9] {
					w.At(w.Now+time.Duration(250+60*i)*time.Millisecond, func() { w.Users.CancelAt(id, []*Node{b, a}[i%2]) })
					w.At(w.Now+time.Duration(50+60*i)*time.Millisecond, func() { w.Users.CancelAt(id, []*Node{a, b}[i%2]) })
				}
				w.At(40800*time.Millisecond, func() { w.Store.Out = true })
				w.At(52*second, func() { delete(w.Store.Refuse, l.Name) })
				w.At(105*second, w.Store.Recover)
				w.Run(150 * second)
				w.Check.Known(75 * second)
				w.Run(230 * second)
				for _, id := range ids[:9] {
					if w.Check.jobs[id].toldCancelled > 0 && w.Check.jobs[id].toldCancelled < 42*second {
						confirmed++
					}
				}
				for _, b := range w.Check.Broken {
					t.Errorf("seed %d: %s", seed, b)
				}
				for _, id := range ids {
					if j := w.Check.jobs[id]; j.toldCancelled == 0 && len(j.on) != j.spec.Tasks {
						t.Errorf("seed %d: %s: %d of %d tasks run long after the outage", seed, id, len(j.on), j.spec.Tasks)
					}
				}
			}
			if confirmed < 9 {
				t.Errorf("%d cancellations confirmed before the outage: the gap was not met", confirmed)
			}
		})
	}
}

// TestOutageKeepsTasks: an outage of the state service, however long, ends no
// task while every controller stands by the leader, also one that ends and is
// back while its read lease would still run. With one out of the leader's reach
// for long, nobody may go on: it might have confirmed cancellations.
func TestOutageKeepsTasks(t *testing.T) {
	cases := []struct {
		name string
		more func(w *World, leader, other *Node)
		kept bool
	}{
		{"all are there", func(w *World, leader, other *Node) {}, true},
		{"one ends and is back within a moment", func(w *World, leader, other *Node) { other.CrashFor(300 * time.Millisecond) }, true},
		{"one ends and is back later", func(w *World, leader, other *Node) { other.CrashFor(3 * second) }, true},
		{"one is cut off", func(w *World, leader, other *Node) {
			w.Cut(leader.Name, other.Name, "hold")
			w.After(40*second, func() { w.Heal(leader.Name, other.Name) })
		}, true},
		{"one is cut off from before the outage on", func(w *World, leader, other *Node) {}, false},
	}
	for _, c := range cases {
		w := New(Defaults(3))
		j := batch("req-000001", 4)
		w.At(2*second, func() { w.Users.Submit(j, 300*second) })
		w.Run(40 * second)
		l := w.Leader()
		other := w.Nodes[(l.index+1)%3]
		if !c.kept {
			w.Cut(l.Name, other.Name, "drop")
		}
		w.Run(41 * second)
		w.Store.Out = true
		w.Run(52 * second)
		c.more(w, l, other)
		w.Run(102 * second)
		kept := len(w.Check.jobs[j.ID].on) == j.Tasks
		if kept != c.kept {
			t.Errorf("%s: the tasks run on: %v, want %v", c.name, kept, c.kept)
		}
		w.Store.Recover()
		w.Heal(l.Name, other.Name)
		w.Run(150 * second)
		for _, b := range w.Check.Broken {
			t.Errorf("%s: %s", c.name, b)
		}
		if c.kept && w.Check.Starts != j.Tasks {
			t.Errorf("%s: %d starts of %d tasks", c.name, w.Check.Starts, j.Tasks)
		}
	}
}
