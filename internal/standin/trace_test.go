package standin

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

var update = flag.Bool("update", false, "rewrite the kept traces")

func service(id string, tasks int) model.Job {
	return model.Job{ID: id, Team: "t", Class: "c", Kind: model.Service, Priority: model.Prod,
		Tasks: tasks, CPUs: 2, MemoryGB: 4, Image: "svc", ImageGB: 2, Spread: true}
}

func batch(id string, tasks int) model.Job {
	return model.Job{ID: id, Team: "t", Class: "c", Kind: model.Batch, Priority: model.Normal,
		Tasks: tasks, CPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 2, Estimate: 10}
}

// host finds the machine that a task is on.
func (w *World) host(task string) *Worker { return w.Check.jobOf(task).on[task] }

// The stories that are kept as traces for people to read.
var stories = []struct {
	name  string
	about string
	until time.Duration
	play  func(w *World)
}{
	{"takeover", "The leader crashes. Its successor fences the machines, adopts what runs and restarts nothing.", 60 * second, func(w *World) {
		w.At(second, func() { w.Users.Submit(service("req-000001", 2), 0) })
		w.At(30*second, func() { w.Leader().Crash() })
	}},
	{"lease-lapse", "A machine hangs past its lease. Its task starts elsewhere, but not before the lease is over.", 100 * second, func(w *World) {
		w.At(second, func() { w.Users.Submit(batch("req-000001", 2), 40*second) })
		w.At(30*second, func() { w.host("req-000001/0").Hang(25 * second) })
	}},
	{"deaf-machine", "A machine with a replica neither reports nor answers, though others do: it is returned before its lease is over.", 60 * second, func(w *World) {
		w.At(second, func() { w.Users.Submit(service("req-000001", 2), 0) })
		w.At(30*second, func() { w.host("req-000001/0").Hang(25 * second) })
	}},
	{"late-command", "A machine hangs with a start on its way; the job is withdrawn meanwhile. The fence keeps the late start from running on.", 60 * second, func(w *World) {
		w.At(second, func() { w.Users.Submit(batch("req-000001", 1), 10*second) })
		w.At(40*second, func() {
			for _, k := range sortedKeys(w.Workers) {
				w.Workers[k].Hang(4 * second)
			}
			w.Users.Submit(batch("req-000002", 2), 10*second)
		})
		w.At(42*second, func() { w.Users.Cancel("req-000002") })
	}},
	{"withdraw-race", "A job is withdrawn just as its last task ends: one guarded change decides, and both users hear the same.", 60 * second, func(w *World) {
		w.At(second, func() { w.Users.Submit(batch("req-000001", 1), 10*second) })
		var watch func()
		watch = func() {
			t := w.Check.jobs["req-000001"]
			if t != nil && len(t.done) == 1 {
				w.Users.Cancel("req-000001")
				return
			}
			w.After(time.Millisecond, watch)
		}
		w.At(2*second, watch)
	}},
	{"outage", "The state service is away for longer than any lease. Promises carry the leader, nothing that runs stops, and submissions wait.", 80 * second, func(w *World) {
		w.At(second, func() { w.Users.Submit(service("req-000001", 2), 0) })
		w.At(30*second, func() { w.Store.Out = true; w.tell("the state service is away") })
		w.At(35*second, func() { w.Users.Submit(batch("req-000002", 1), 5*second) })
		w.At(60*second, func() { w.tell("the state service is back"); w.Store.Recover() })
	}},
	{"restart-of-all", "All controllers crash at once. They free each other from forgotten promises and lead again before any lease ends.", 60 * second, func(w *World) {
		w.At(second, func() { w.Users.Submit(service("req-000001", 2), 0) })
		w.At(30*second, func() {
			for _, n := range w.Nodes {
				n.Crash()
			}
		})
	}},
	{"cut-leader", "The leader loses the state service alone. A peer refuses its promise; it lets go and the peer takes over.", 60 * second, func(w *World) {
		w.At(second, func() { w.Users.Submit(service("req-000001", 2), 0) })
		w.At(30*second, func() { w.tell("%s loses the state service", w.Leader().Name); w.Store.Refuse[w.Leader().Name] = true })
	}},
	{"recall", "A spot machine is recalled without notice while a checkpointed task runs on it.", 70 * second, func(w *World) {
		j := batch("req-000001", 1)
		j.Spot, j.Checkpoint, j.SaveCost = true, 5, 2
		w.At(second, func() { w.Users.Submit(j, 15*second) })
		w.At(20*second, func() {
			if wk := w.host("req-000001/0"); wk != nil {
				w.Cloud.Take(wk.info.Host)
			}
		})
	}},
}

// TestStories plays each story and compares it, line by line, with the trace
// that is kept of it.
func TestStories(t *testing.T) {
	for _, st := range stories {
		t.Run(st.name, func(t *testing.T) {
			w := New(Defaults(11))
			w.Tell = true
			watchLeaders(w)
			st.play(w)
			w.Run(st.until)
			for _, b := range w.Check.Broken {
				t.Error(b)
			}
			var b strings.Builder
			b.WriteString("# " + st.about + "\n")
			for _, l := range w.Trace {
				b.WriteString(l + "\n")
			}
			file := filepath.Join("testdata", st.name+".trace")
			if *update {
				if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			kept, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if b.String() != string(kept) {
				t.Errorf("the day differs from %s; run with -update and read the difference", file)
			}
		})
	}
}

// TestSameSeedSameDay: a trace that doesn't replay can't be kept.
func TestSameSeedSameDay(t *testing.T) {
	play := func() string {
		opt := Defaults(5)
		opt.Config.Teams["tight"] = core.Team{}
		w := New(opt)
		w.Tell = true
		load(w, 60*second)
		w.At(30*second, func() { w.Leader().Crash() })
		w.Run(90 * second)
		return strings.Join(w.Trace, "\n")
	}
	if a, b := play(), play(); a != b {
		t.Error("two plays of one seed differ")
	}
}
