package core

import (
	"encoding/base64"
	"encoding/json"
	"log/slog"
	"math/bits"
	"slices"
	"strconv"
	"strings"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// jobValue is a job in the state service. Once a job is over, its spec is
// dropped: only the outcome must be kept for ever.
type jobValue struct {
	Spec  *model.Job `json:"spec,omitempty"`
	At    int64      `json:"at,omitempty"` // submission, ms of the day's clock
	Phase string     `json:"phase,omitempty"`
	Tasks int        `json:"tasks,omitempty"`
}

// job is a row of the job table.
type job struct {
	model.Job
	phase   string // "" while active
	arrival uint64 // revision of its acceptance: the order of the queue
	at      int64  // time of day of its submission, ms
	rank    int

	doneBits  []uint64
	doneCount int
	chunks    map[int]*chunk
	overAt    time.Duration // when it was seen to be over
	finishing bool          // the write of "done" is under way

	running int // as the leader last told, for display

	// The leader's part.
	tasks   map[int]*task  // bound to a machine, or may still be there
	zones   map[string]int // how many of them in each zone
	next    int            // tasks from here on never started in this term
	retry   []int          // tasks to start again
	entry   *sched.Job
	runs    []time.Duration // what its finished tasks took, as this leader saw, in order
	lostAt  time.Duration   // when a task last had to start again
	gang    gang
	errors  int // exits with "error" in a row
	retryAt time.Duration
}

// bitmapValue is a part of a chunk in the state service: its bytes from From on.
type bitmapValue struct {
	Bits string `json:"b"`
	From int    `json:"from,omitempty"`
}

// chunk is a slice of the finished-task bitmap with its own key, so that the
// largest job fits the store's values.
type chunk struct {
	dirty   bool // bits not yet durable
	writing bool
	open    int           // writes of its parts under way
	at      time.Duration // last write
	durable []uint64
}

const (
	chunkTasks = 32768
	chunkWords = chunkTasks / 64
)

// need is what each task takes of its machine.
func (j *job) need() sched.Resources {
	return sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
}

// teamShare is what each task takes of its team's guarantee and limit, which are
// given in CPUs and GPUs.
func (j *job) teamShare() sched.Resources { return sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs} }

func (j *job) final() bool { return j.phase != "" }

func (j *job) isDone(i int) bool { return j.doneBits[i/64]&(1<<(i%64)) != 0 }

func (j *job) liveTasks() int {
	n := 0
	for _, t := range j.tasks {
		if t.state == model.TaskRunning {
			n++
		}
	}
	return n
}

func (j *job) forgetTerm() {
	j.tasks, j.zones = map[int]*task{}, map[string]int{}
	j.next, j.retry, j.errors, j.retryAt, j.lostAt = 0, nil, 0, 0, 0
	j.entry, j.runs, j.gang = nil, nil, gang{}
	j.finishing = false
}

// waiting is how many tasks want a machine.
func (j *job) waiting() int {
	return max(0, j.Tasks-j.doneCount-len(j.tasks))
}

// take hands out a task that wants a machine.
func (j *job) take() (int, bool) {
	for len(j.retry) > 0 {
		i := j.retry[0]
		j.retry = j.retry[1:]
		if !j.isDone(i) && j.tasks[i] == nil {
			return i, true
		}
	}
	for j.next < j.Tasks {
		i := j.next
		j.next++
		if !j.isDone(i) && j.tasks[i] == nil {
			return i, true
		}
	}
	return 0, false
}

// jobChanged takes a job's key.
func (s *State) jobChanged(id string, it Item) {
	if it.Removed {
		return // never done by us: jobs are kept for ever
	}
	var v jobValue
	if err := json.Unmarshal(it.Value, &v); err != nil {
		s.log(slog.LevelError, "unreadable job", "job", id, "error", err.Error())
		return
	}
	j := s.jobs[id]
	if j == nil {
		j = &job{Job: model.Job{ID: id, Tasks: v.Tasks}, tasks: map[int]*task{}, zones: map[string]int{}}
		s.jobs[id] = j
		if v.Spec != nil {
			j.Job = *v.Spec
			j.arrival, j.at, j.rank = it.Stamp, v.At, model.Rank(j.Priority)
			j.doneBits = make([]uint64, (j.Tasks+63)/64)
			j.chunks = map[int]*chunk{}
			s.active[id] = j
			s.log(slog.LevelDebug, "job queued", "job", id, "class", j.Class, "tasks", j.Tasks, "cpus", j.CPUs, "estimate_s", j.Estimate, "image", j.Image)
		}
	}
	s.dirty = true
	if v.Phase != "" && j.phase == "" {
		j.phase, j.overAt = v.Phase, s.now
		delete(s.active, id)
		s.log(slog.LevelInfo, "job over", "job", id, "phase", v.Phase)
		if v.Phase == model.PhaseAborted && it.Stamp > s.termStamp {
			s.unshared[id] = it.Stamp
		}
		if s.leadership != nil && s.electedAt != 0 {
			s.jobOver(j)
		}
		j.retry, j.chunks, j.doneBits, j.entry = nil, nil, nil, nil
	}
}

// jobOver rids the machines of a job that was withdrawn.
func (s *State) jobOver(j *job) {
	for _, t := range j.tasks {
		s.kill(t, 0)
	}
	for _, m := range s.order {
		if len(m.view.Local) == 0 {
			continue
		}
		kept := m.view.Local[:0]
		for _, q := range m.view.Local {
			if q.Job.ID != j.ID {
				kept = append(kept, q)
			}
		}
		m.view.Local = kept
	}
}

// bitmapChanged merges finished tasks from the state service.
func (s *State) bitmapChanged(name string, it Item) {
	id, at, ok := strings.Cut(name, "/")
	j := s.jobs[id]
	first, _, _ := strings.Cut(at, ".") // the slices of a chunk differ behind the dot
	n, err := strconv.Atoi(first)
	if !ok || err != nil || j == nil || j.final() {
		return
	}
	var v bitmapValue
	if json.Unmarshal(it.Value, &v) != nil || v.From < 0 {
		return
	}
	b, err := base64.StdEncoding.DecodeString(v.Bits)
	if err != nil {
		return
	}
	c := j.chunk(n)
	for i := range b {
		at := v.From + i
		w := n*chunkWords + at/8
		if w >= len(j.doneBits) || at/8 >= len(c.durable) {
			break
		}
		word := uint64(b[i]) << (8 * (at % 8))
		c.durable[at/8] |= word
		fresh := word &^ j.doneBits[w]
		j.doneBits[w] |= word
		j.doneCount += bits.OnesCount64(fresh)
	}
}

func (j *job) chunk(n int) *chunk {
	c := j.chunks[n]
	if c == nil {
		words := min(chunkWords, len(j.doneBits)-n*chunkWords)
		c = &chunk{durable: make([]uint64, max(words, 0))}
		j.chunks[n] = c
	}
	return c
}

// finished notes that a task has completed, whoever reports it and however
// late.
func (s *State) finished(j *job, i int) {
	if j.final() || i >= j.Tasks || j.isDone(i) {
		return
	}
	j.done(i)
	s.dirty = true
	if j.Kind == model.Gang {
		// They complete together: if one is done, all are. The others' own words
		// may never come, where their machines are out of reach.
		for k := range j.Tasks {
			if !j.isDone(k) {
				j.done(k)
			}
		}
	} else if t := j.tasks[i]; t != nil {
		s.kill(t, 0) // its result is kept: another attempt is wasted
	}
	if j.doneCount == j.Tasks {
		s.finishJob(j)
	}
}

func (j *job) done(i int) {
	j.doneBits[i/64] |= 1 << (i % 64)
	j.doneCount++
	j.chunk(i / chunkTasks).dirty = true
}

// durable says whether a finished task is safe to forget.
func (j *job) durable(i int) bool {
	if j.final() {
		return true
	}
	c := j.chunks[i/chunkTasks]
	return c != nil && c.durable[(i%chunkTasks)/64]&(1<<(i%64)) != 0
}

// finishJob makes "done" durable. Against a withdrawal the guard on the key
// decides.
func (s *State) finishJob(j *job) {
	if j.finishing || !s.Leading() {
		return
	}
	j.finishing = true
	key := dirJobs + j.ID
	value := raw(jobValue{Phase: model.PhaseDone, Tasks: j.Tasks})
	var extra []Change
	for _, n := range ordered(j.chunks) {
		k := dirProgress + j.ID + "/" + strconv.Itoa(n)
		for part := 0; s.stamp(k) != 0 && len(extra) < s.cfg.TxnOps-1; part++ {
			extra = append(extra, Change{Key: k, Remove: true})
			k = dirProgress + j.ID + "/" + strconv.Itoa(n) + "." + strconv.Itoa(part+1)
		}
	}
	s.put(&write{
		change: Change{Key: key, Value: value}, leader: s.leadership.Term, deadline: s.now + time.Hour, extra: extra, class: classEnd,
		done: func(r outcome) {
			j.finishing = false
			if r == written {
				s.nudge(key, value)
			}
		},
	})
}

// keepBitmaps writes what has finished, each job at most every few seconds.
func (s *State) keepBitmaps() {
	if s.now < s.bitmapsAt {
		return
	}
	s.bitmapsAt = s.now + s.cfg.WriteEvery/8
	for _, id := range ordered(s.active) {
		j := s.active[id]
		if j.doneCount == j.Tasks {
			s.finishJob(j)
			continue
		}
		for _, n := range ordered(j.chunks) {
			c := j.chunks[n]
			if !c.dirty || c.writing || s.now < c.at+s.cfg.WriteEvery {
				continue
			}
			s.writeChunk(j, n, c)
		}
	}
}

func (s *State) writeChunk(j *job, n int, c *chunk) {
	c.dirty, c.writing, c.at = false, true, s.now
	bits := append([]uint64(nil), j.doneBits[n*chunkWords:n*chunkWords+len(c.durable)]...)
	b := make([]byte, 0, len(bits)*8)
	for _, w := range bits {
		for k := 0; k < 8; k++ {
			b = append(b, byte(w>>(8*k)))
		}
	}
	for len(b) > 0 && b[len(b)-1] == 0 {
		b = b[:len(b)-1]
	}
	// A value holds so many bytes; the first part has the form that all versions
	// read, and the others are written once all know them. Until then what they
	// would hold isn't durable, so that workers keep it.
	most := (s.cfg.ValueBytes - 64) * 3 / 4
	last := max(len(b)-1, 0) / most * most
	if s.clusterVersion < versionGangs && last > 0 {
		if slices.ContainsFunc(c.durable[most/8:], func(w uint64) bool { return w != 0 }) {
			c.dirty, c.writing = true, false
			return // a larger value stands, and would lose what is beyond
		}
		last = 0
	}
	for from := last; from >= 0; from -= most { // the first last: what it sheds stands by then
		part := b[from:min(from+most, len(b))]
		key := dirProgress + j.ID + "/" + strconv.Itoa(n)
		if from > 0 {
			key += "." + strconv.Itoa(from/most)
		}
		c.open++
		s.put(&write{
			change:   Change{Key: key, Value: raw(bitmapValue{base64.StdEncoding.EncodeToString(part), from})},
			leader:   s.leadership.Term,
			deadline: s.now + time.Hour,
			class:    classBitmap,
			// Written after the job's end it would stay for ever.
			moot: func() bool { return j.final() || j.finishing },
			done: func(r outcome) {
				c.open--
				c.writing = c.open > 0
				if r != written {
					c.dirty = true
				}
			},
		})
	}
}
