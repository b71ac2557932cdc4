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

// scriptedDispatcher runs a dispatcher whose machines and jobs are set up by a
// script. It implements Env and records the decisions.
type scriptedDispatcher struct {
	now          time.Duration
	dispatcher   *Dispatcher
	machines     []*Machine
	jobs         []*Job
	cpuLimit     map[string]float64 // by job: CPUs that its team may still use
	budget       int                // calls of BudgetExhausted that return false in a round; 0: all
	budgetChecks int                // calls of BudgetExhausted in this round
	gangTasksOn  map[*Machine]int   // tasks of gangs placed since the last Undo
	output       strings.Builder
}

func (d *scriptedDispatcher) Undo(j *Job) {
	for _, m := range d.machines {
		if n := d.gangTasksOn[m]; n > 0 {
			m.Free.CPUs += float64(n) * j.Need.CPUs
			m.Running = m.Running[:len(m.Running)-n]
		}
	}
	clear(d.gangTasksOn)
	fmt.Fprintf(&d.output, "  %s: not all fit, taken back\n", j.ID)
}

func (d *scriptedDispatcher) Allowed(j *Job, m *Machine) bool { return true }
func (d *scriptedDispatcher) BudgetExhausted() bool {
	d.budgetChecks++
	return d.budget > 0 && d.budgetChecks > d.budget
}
func (d *scriptedDispatcher) WithinLimit(j *Job) bool {
	left, ok := d.cpuLimit[j.ID]
	return !ok || j.Need.CPUs <= left
}

func (d *scriptedDispatcher) Place(j *Job, m *Machine, path Path) bool {
	j.Waiting--
	if path == PathGang {
		d.gangTasksOn[m]++
	}
	m.Free = m.Free.Sub(j.Need)
	end := Never
	if !j.IsService {
		end = d.now + m.fetchTime(d.now, j) + j.Estimate
	}
	m.AddRunning(RunningTask{j.Need, end})
	if left, ok := d.cpuLimit[j.ID]; ok {
		d.cpuLimit[j.ID] = left - j.Need.CPUs
	}
	fmt.Fprintf(&d.output, "  %s -> %s (%s)\n", j.ID, m.ID, path)
	if !m.Images.Has(j.Image) {
		m.Images.Use(j.Image, j.ImageGB)
	}
	return true
}

// runLine executes one line of a script.
func (d *scriptedDispatcher) runLine(t *testing.T, line string) {
	fields := strings.Fields(line)
	number := func(i int) float64 {
		v, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		return v
	}
	findMachine := func(id string) *Machine {
		for _, m := range d.machines {
			if m.ID == id {
				return m
			}
		}
		t.Fatalf("%s: no machine %s", line, id)
		return nil
	}
	switch fields[0] {
	case "machine": // machine ID CPUS IMAGE...
		m := &Machine{ID: fields[1], FetchGBPerS: 1, Images: &Cache{SizeGB: 20}}
		m.Capacity = Resources{CPUs: number(2), MemoryGB: 100}
		m.Free = m.Capacity
		for _, im := range fields[3:] {
			m.Images.Use(im, 3)
		}
		d.machines = append(d.machines, m)
	case "busy": // busy MACHINE CPUS UNTIL|ever
		m := findMachine(fields[1])
		end := Never
		if fields[3] != "ever" {
			end = time.Duration(number(3)) * time.Second
		}
		m.AddRunning(RunningTask{Resources{CPUs: number(2)}, end})
		m.Free.CPUs -= number(2)
	case "job": // job ID TASKS CPUS IMAGE GB ESTIMATE; an estimate of 0 makes it a service
		j := &Job{ID: fields[1], Waiting: int(number(2)), Need: Resources{CPUs: number(3)}, Image: fields[4], ImageGB: number(5),
			Estimate: time.Duration(number(6)) * time.Second, Arrival: uint64(len(d.jobs))}
		if j.Estimate == 0 {
			j.IsService = true
		}
		d.jobs = append(d.jobs, j)
	case "gang": // gang JOB: makes the job a gang
		for _, j := range d.jobs {
			j.IsGang = j.IsGang || j.ID == fields[1]
		}
	case "limit": // limit JOB CPUS: CPUs that the job's team may still use
		d.cpuLimit[fields[1]] = number(2)
	case "skipped": // skipped JOB N
		for _, j := range d.jobs {
			if j.ID == fields[1] {
				j.Skips = int(number(2))
			}
		}
	case "free": // free MACHINE: ends its running tasks
		m := findMachine(fields[1])
		m.Free, m.Running = m.Capacity, nil
	case "budget": // budget CALLS: see scriptedDispatcher.budget
		d.budget = int(number(1))
	case "at": // at SECONDS
		d.now = time.Duration(number(1)) * time.Second
	case "round":
		d.budgetChecks = 0
		complete := d.dispatcher.RunRound(d.now, d.jobs, d.machines, d)
		if !complete {
			fmt.Fprintf(&d.output, "  budget used up\n")
		}
		for _, m := range d.machines {
			for _, q := range m.LocalQueue {
				fmt.Fprintf(&d.output, "  %s waits at %s until %gs\n", q.Job.ID, m.ID, q.WaitDeadline.Seconds())
			}
			if m.reserved {
				fmt.Fprintf(&d.output, "  %s is kept free\n", m.ID)
			}
		}
		for _, j := range d.jobs {
			if j.Waiting > 0 {
				fmt.Fprintf(&d.output, "  %s: %d in the global queue, passed %d times\n", j.ID, j.Waiting, j.Skips)
			}
		}
	default:
		t.Fatalf("unknown line %q", line)
	}
}

// TestTraces runs the scripts in testdata. Lines that begin with two spaces are the
// decisions that the dispatcher is expected to make.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) < 8 {
		t.Fatalf("got traces %v (error %v), want at least 8", files, err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			kept, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			d := &scriptedDispatcher{dispatcher: NewDispatcher(Config{SkipLimit: 25}), cpuLimit: map[string]float64{}, gangTasksOn: map[*Machine]int{}}
			for line := range strings.Lines(string(kept)) {
				if strings.HasPrefix(line, "  ") {
					continue
				}
				d.output.WriteString(line)
				if s := strings.TrimSpace(line); s != "" && !strings.HasPrefix(s, "#") {
					d.runLine(t, s)
				}
			}
			if *update {
				if err := os.WriteFile(file, []byte(d.output.String()), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if got := d.output.String(); got != string(kept) {
				t.Errorf("decisions differ from %s, got:\n%s", file, got)
			}
		})
	}
}

// TestCacheKeepsMostRecent checks that a full cache drops the image that was used
// least recently, not the one that was fetched first.
func TestCacheKeepsMostRecent(t *testing.T) {
	c := &Cache{SizeGB: 5}
	c.Use("a", 2)
	c.Use("b", 2)
	c.Use("a", 2)
	c.Use("c", 2)
	if c.Has("b") || !c.Has("a") || !c.Has("c") {
		t.Errorf("got a %v, b %v, c %v; want a and c, not b", c.Has("a"), c.Has("b"), c.Has("c"))
	}
}

// TestGangPrefersMachinesThatGetItsStartNow guards against gangs that start late because one of
// their tasks waits for a report of its machine.
func TestGangPrefersMachinesThatGetItsStartNow(t *testing.T) {
	var machines []*Machine
	for i, startDelay := range []time.Duration{3 * time.Second, 0, 3 * time.Second, 0} {
		capacity := Resources{CPUs: 4, MemoryGB: 16}
		machines = append(machines, &Machine{ID: string(rune('a' + i)), Capacity: capacity, Free: capacity, FetchGBPerS: 1, Images: &Cache{SizeGB: 9}, StartDelay: startDelay})
	}
	gang := &Job{ID: "gang", IsGang: true, Need: Resources{CPUs: 4, MemoryGB: 8}, Image: "img", ImageGB: 1, Waiting: 2}
	got, ok := gangMachines(0, gang, machines, &randomFleet{})
	if !ok || len(got) != 4 || got[0].ID != "b" || got[1].ID != "d" {
		t.Errorf("got machines %v, want b and d first", got)
	}
}
