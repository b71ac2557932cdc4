package sched

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "rewrite the kept traces")

// scriptedDispatcher is a dispatcher with its machines and jobs, driven by a script.
type scriptedDispatcher struct {
	now          time.Duration
	dispatcher   *Dispatcher
	machines     []*Machine
	jobs         []*Job
	cpuLimit     map[string]float64 // CPUs left to a job's team
	budget       int
	budgetChecks int
	gangTasksOn  map[*Machine]int // of the gang at hand
	output       strings.Builder
}

func (b *scriptedDispatcher) Undo(j *Job) {
	for _, m := range b.machines {
		if n := b.gangTasksOn[m]; n > 0 {
			m.Free.CPUs += float64(n) * j.Need.CPUs
			m.Running = m.Running[:len(m.Running)-n]
		}
	}
	clear(b.gangTasksOn)
	fmt.Fprintf(&b.output, "  %s: not all fit, taken back\n", j.ID)
}

func (b *scriptedDispatcher) Allowed(j *Job, m *Machine) bool { return true }
func (b *scriptedDispatcher) BudgetExhausted() bool {
	b.budgetChecks++
	return b.budget > 0 && b.budgetChecks > b.budget
}
func (b *scriptedDispatcher) WithinLimit(j *Job) bool {
	left, ok := b.cpuLimit[j.ID]
	return !ok || j.Need.CPUs <= left
}

func (b *scriptedDispatcher) Place(j *Job, m *Machine, path Path) bool {
	j.Waiting--
	if path == PathGang {
		b.gangTasksOn[m]++
	}
	m.Free = m.Free.Sub(j.Need)
	end := Never
	if !j.IsService {
		end = b.now + m.fetchTime(b.now, j) + j.Estimate
	}
	m.AddRunning(RunningTask{j.Need, end})
	if left, ok := b.cpuLimit[j.ID]; ok {
		b.cpuLimit[j.ID] = left - j.Need.CPUs
	}
	fmt.Fprintf(&b.output, "  %s -> %s (%s)\n", j.ID, m.ID, path)
	if !m.Images.Has(j.Image) {
		m.Images.Use(j.Image, j.ImageGB)
	}
	return true
}

// runLine carries one line of a script out.
func (b *scriptedDispatcher) runLine(t *testing.T, line string) {
	f := strings.Fields(line)
	num := func(i int) float64 {
		v, err := strconv.ParseFloat(f[i], 64)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		return v
	}
	find := func(id string) *Machine {
		for _, m := range b.machines {
			if m.ID == id {
				return m
			}
		}
		t.Fatalf("%s: no machine %s", line, id)
		return nil
	}
	switch f[0] {
	case "machine": // machine ID CPUS IMAGE...
		m := &Machine{ID: f[1], FetchGBPerS: 1, Images: &Cache{SizeGB: 20}}
		m.Capacity = Resources{CPUs: num(2), MemoryGB: 100}
		m.Free = m.Capacity
		for _, im := range f[3:] {
			m.Images.Use(im, 3)
		}
		b.machines = append(b.machines, m)
	case "busy": // busy MACHINE CPUS UNTIL|ever
		m := find(f[1])
		end := Never
		if f[3] != "ever" {
			end = time.Duration(num(3)) * time.Second
		}
		m.AddRunning(RunningTask{Resources{CPUs: num(2)}, end})
		m.Free.CPUs -= num(2)
	case "job": // job ID TASKS CPUS IMAGE GB ESTIMATE [RANK]
		j := &Job{ID: f[1], Waiting: int(num(2)), Need: Resources{CPUs: num(3)}, Image: f[4], ImageGB: num(5),
			Estimate: time.Duration(num(6)) * time.Second, Arrival: uint64(len(b.jobs))}
		if j.Estimate == 0 {
			j.IsService = true
		}
		b.jobs = append(b.jobs, j)
	case "gang": // gang JOB: it is one
		for _, j := range b.jobs {
			j.IsGang = j.IsGang || j.ID == f[1]
		}
	case "limit": // limit JOB CPUS
		b.cpuLimit[f[1]] = num(2)
	case "skipped": // skipped JOB N
		for _, j := range b.jobs {
			if j.ID == f[1] {
				j.Skips = int(num(2))
			}
		}
	case "free": // free MACHINE: its running tasks end
		m := find(f[1])
		m.Free, m.Running = m.Capacity, nil
	case "budget":
		b.budget = int(num(1))
	case "at":
		b.now = time.Duration(num(1)) * time.Second
	case "round":
		b.budgetChecks = 0
		whole := b.dispatcher.RunRound(b.now, b.jobs, b.machines, b)
		if !whole {
			fmt.Fprintf(&b.output, "  budget used up\n")
		}
		for _, m := range b.machines {
			for _, q := range m.LocalQueue {
				fmt.Fprintf(&b.output, "  %s waits at %s until %gs\n", q.Job.ID, m.ID, q.WaitDeadline.Seconds())
			}
			if m.reserved {
				fmt.Fprintf(&b.output, "  %s is kept free\n", m.ID)
			}
		}
		for _, j := range b.jobs {
			if j.Waiting > 0 {
				fmt.Fprintf(&b.output, "  %s: %d in the global queue, passed %d times\n", j.ID, j.Waiting, j.Skips)
			}
		}
	default:
		t.Fatalf("unknown line %q", line)
	}
}

// TestTraces plays the scripts in testdata: lines that begin with two spaces
// are what the dispatcher decided, kept for people to read.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) < 8 {
		t.Fatalf("traces missing: %v %v", files, err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			kept, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			b := &scriptedDispatcher{dispatcher: NewDispatcher(Config{SkipLimit: 25}), cpuLimit: map[string]float64{}, gangTasksOn: map[*Machine]int{}}
			for line := range strings.Lines(string(kept)) {
				if strings.HasPrefix(line, "  ") {
					continue
				}
				b.output.WriteString(line)
				if s := strings.TrimSpace(line); s != "" && !strings.HasPrefix(s, "#") {
					b.runLine(t, s)
				}
			}
			if *update {
				if err := os.WriteFile(file, []byte(b.output.String()), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if got := b.output.String(); got != string(kept) {
				t.Errorf("decisions differ from %s; got:\n%s", file, got)
			}
		})
	}
}

func TestCacheKeepsMostRecent(t *testing.T) {
	c := &Cache{SizeGB: 5}
	c.Use("a", 2)
	c.Use("b", 2)
	c.Use("a", 2)
	c.Use("c", 2)
	if c.Has("b") || !c.Has("a") || !c.Has("c") {
		t.Errorf("want a and c, not b: %v %v %v", c.Has("a"), c.Has("b"), c.Has("c"))
	}
}
