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

// bench is a dispatcher with its machines and jobs, driven by a script.
type bench struct {
	now      time.Duration
	round    *Round
	machines []*Machine
	jobs     []*Job
	limit    map[string]float64 // CPUs left to a job's team
	budget   int
	spent    int
	placed   map[*Machine]int // of the gang at hand
	out      strings.Builder
}

func (b *bench) Undo(j *Job) {
	for _, m := range b.machines {
		if n := b.placed[m]; n > 0 {
			m.Free.CPUs += float64(n) * j.Need.CPUs
			m.Running = m.Running[:len(m.Running)-n]
		}
	}
	clear(b.placed)
	fmt.Fprintf(&b.out, "  %s: not all fit, taken back\n", j.ID)
}

func (b *bench) Allowed(j *Job, m *Machine) bool { return true }
func (b *bench) Spent() bool                     { b.spent++; return b.budget > 0 && b.spent > b.budget }
func (b *bench) UnderLimit(j *Job) bool {
	left, ok := b.limit[j.ID]
	return !ok || j.Need.CPUs <= left
}

func (b *bench) Place(j *Job, m *Machine, path Path) bool {
	j.Waiting--
	if path == Together {
		b.placed[m]++
	}
	m.Free = m.Free.Sub(j.Need)
	end := Never
	if !j.Endless {
		end = b.now + m.fetchTime(b.now, j) + j.Estimate
	}
	m.Add(Running{j.Need, end})
	if left, ok := b.limit[j.ID]; ok {
		b.limit[j.ID] = left - j.Need.CPUs
	}
	fmt.Fprintf(&b.out, "  %s -> %s (%s)\n", j.ID, m.ID, path)
	if !m.Images.Has(j.Image) {
		m.Images.Use(j.Image, j.ImageGB)
	}
	return true
}

// do carries one line of a script out.
func (b *bench) do(t *testing.T, line string) {
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
		m := &Machine{ID: f[1], Rate: 1, Images: &Cache{Size: 20}}
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
		m.Add(Running{Resources{CPUs: num(2)}, end})
		m.Free.CPUs -= num(2)
	case "job": // job ID TASKS CPUS IMAGE GB ESTIMATE [RANK]
		j := &Job{ID: f[1], Waiting: int(num(2)), Need: Resources{CPUs: num(3)}, Image: f[4], ImageGB: num(5),
			Estimate: time.Duration(num(6)) * time.Second, Arrival: uint64(len(b.jobs))}
		if j.Estimate == 0 {
			j.Endless = true
		}
		b.jobs = append(b.jobs, j)
	case "gang": // gang JOB: it is one
		for _, j := range b.jobs {
			j.Gang = j.Gang || j.ID == f[1]
		}
	case "limit": // limit JOB CPUS
		b.limit[f[1]] = num(2)
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
		b.spent = 0
		whole := b.round.Run(b.now, b.jobs, b.machines, b)
		if !whole {
			fmt.Fprintf(&b.out, "  budget used up\n")
		}
		for _, m := range b.machines {
			for _, q := range m.Local {
				fmt.Fprintf(&b.out, "  %s waits at %s until %gs\n", q.Job.ID, m.ID, q.Until.Seconds())
			}
			if m.reserved {
				fmt.Fprintf(&b.out, "  %s is kept free\n", m.ID)
			}
		}
		for _, j := range b.jobs {
			if j.Waiting > 0 {
				fmt.Fprintf(&b.out, "  %s: %d in the global queue, passed %d times\n", j.ID, j.Waiting, j.Skips)
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
			b := &bench{round: NewRound(Config{SkipLimit: 25}), limit: map[string]float64{}, placed: map[*Machine]int{}}
			for line := range strings.Lines(string(kept)) {
				if strings.HasPrefix(line, "  ") {
					continue
				}
				b.out.WriteString(line)
				if s := strings.TrimSpace(line); s != "" && !strings.HasPrefix(s, "#") {
					b.do(t, s)
				}
			}
			if *update {
				if err := os.WriteFile(file, []byte(b.out.String()), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if got := b.out.String(); got != string(kept) {
				t.Errorf("decisions differ from %s; got:\n%s", file, got)
			}
		})
	}
}

func TestCacheKeepsMostRecent(t *testing.T) {
	c := &Cache{Size: 5}
	c.Use("a", 2)
	c.Use("b", 2)
	c.Use("a", 2)
	c.Use("c", 2)
	if c.Has("b") || !c.Has("a") || !c.Has("c") {
		t.Errorf("want a and c, not b: %v %v %v", c.Has("a"), c.Has("b"), c.Has("c"))
	}
}
