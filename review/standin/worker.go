package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// worker is the stand-in of a machine with its worker. It follows "Workers -> controller
// nodes": reports, tokens, leases, sessions, commands.
type worker struct {
	world    *world
	machine  *rented
	flavor   machineType
	endpoint string
	ln       net.Listener

	mu        sync.Mutex
	stopped   bool
	life      int // grows with each restart of the machine
	tenure    uint64
	tick      uint64
	epoch     uint64
	leaseFrom time.Time // when the last answered report was sent, or the session began
	tasks     map[string]*run
	images    map[string]bool
	target    int // index of the controller to which it reports
	changed   bool
	epochAt   time.Time

	paused   bool
	hungAt   time.Time
	answered int // reports answered with 200
}

// run is one attempt of a task on a machine.
type run struct {
	try          uint64
	phase, cause string
	saved        bool
	since        time.Time // when the phase began
	ends         time.Time
}

type order struct {
	Verb      string   `json:"verb"`
	Piece     string   `json:"piece"`
	Try       uint64   `json:"try"`
	WindDownS *float64 `json:"windDownS"`
}

type pieceReport struct {
	Piece string `json:"piece"`
	Try   uint64 `json:"try"`
	Phase string `json:"phase"`
	Cause string `json:"cause,omitempty"`
	Saved bool   `json:"saved,omitempty"`
}

type report struct {
	Host     string        `json:"host"`
	Endpoint string        `json:"endpoint"`
	Flavor   string        `json:"flavor"`
	Site     string        `json:"site"`
	Loaners  bool          `json:"loaners"`
	Tenure   uint64        `json:"tenure"`
	Tick     uint64        `json:"tick"`
	Epoch    uint64        `json:"epoch"`
	RecallS  *float64      `json:"recallS"`
	Pieces   []pieceReport `json:"pieces"`
}

func newWorker(w *world, m *rented, flavor machineType) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wk := &worker{world: w, machine: m, flavor: flavor, endpoint: ln.Addr().String(), ln: ln, images: map[string]bool{}, tasks: map[string]*run{},
		tenure: 1, leaseFrom: time.Now()}
	w.rec.logf("%s is up in %s at %s", m.id, m.site, wk.endpoint)
	go func() { _ = http.Serve(ln, http.HandlerFunc(wk.serve)) }()
	go wk.live()
	go wk.reportLoop()
	return wk, nil
}

// stop ends the machine with all that is on it.
func (wk *worker) stop() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.stopped = true
	wk.killAll("machine gone")
	wk.ln.Close()
}

func (wk *worker) killAll(why string) {
	for piece, r := range wk.tasks {
		if r.phase == "running" || r.phase == "saving" {
			wk.world.check.off(piece, r.try, wk.machine.id, why)
		}
	}
	wk.tasks = map[string]*run{}
}

// hang makes the machine hang: it runs nothing and answers nothing until reset or resume.
func (wk *worker) hang() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.paused, wk.hungAt = true, time.Now()
	wk.world.rec.sayf("TROUBLE %s hangs (tick %d)", wk.machine.id, wk.tick)
}

// reset stops the machine with all that is on it and brings it back at once, under the
// same name and address. Its worker starts anew: session 1, no token seen. What was sent to
// it before is lost.
func (wk *worker) reset() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.expire()
	wk.world.rec.sayf("TROUBLE %s stops with all that is on it, and is back at once", wk.machine.id)
	wk.killAll("machine reset")
	wk.life++
	wk.paused = false
	wk.tenure, wk.tick, wk.epoch, wk.leaseFrom, wk.changed, wk.epochAt = 1, 0, 0, time.Now(), true, time.Time{}
}

// resume makes a hanging machine go on.
func (wk *worker) resume() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.paused = false
	for _, r := range wk.tasks {
		if !r.ends.IsZero() {
			r.ends = r.ends.Add(time.Since(wk.hungAt))
		}
	}
	wk.expire()
	wk.world.rec.sayf("TROUBLE %s goes on", wk.machine.id)
}

// answeredReports is how many reports were answered with 200.
func (wk *worker) answeredReports() int {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return wk.answered
}

// live advances the tasks and ends the lease.
func (wk *worker) live() {
	for {
		time.Sleep(20 * time.Millisecond)
		wk.mu.Lock()
		if wk.stopped {
			wk.mu.Unlock()
			return
		}
		wk.expire()
		if !wk.paused {
			wk.advance()
		}
		wk.mu.Unlock()
	}
}

// expire ends the session if the last answered report was sent too long ago. A hanging
// machine never goes on with the tasks of a session whose lease is over, so its tasks
// count as gone from that moment.
func (wk *worker) expire() {
	if time.Since(wk.leaseFrom) <= wk.world.site.lease() {
		return
	}
	wk.world.rec.logf("%s: lease over, session %d ends", wk.machine.id, wk.tenure)
	wk.killAll("lease over")
	wk.tenure++
	wk.leaseFrom, wk.changed = time.Now(), true
}

func (wk *worker) advance() {
	now := time.Now()
	for piece, r := range wk.tasks {
		j := wk.world.users.jobOf(piece)
		switch {
		case r.phase == "pulling" && now.After(r.ends):
			wk.images[j.Build] = true
			r.phase, r.since, r.ends = "running", now, time.Time{}
			wk.changed = true
			if j.Shape != "service" {
				r.ends = now.Add(j.run)
			}
			wk.world.check.on(piece, r.try, wk.machine)
			switch {
			case wk.world.check.isDone(piece):
				wk.exit(piece, r, "done")
			case j.faulty:
				wk.exit(piece, r, "error")
			}
		case r.phase == "running" && !r.ends.IsZero() && now.After(r.ends):
			wk.world.check.setDone(piece)
			wk.exit(piece, r, "done")
		case r.phase == "saving" && now.After(r.ends):
			r.saved = true
			wk.exit(piece, r, "halted")
		}
	}
}

func (wk *worker) exit(piece string, r *run, cause string) {
	if r.phase == "running" || r.phase == "saving" {
		wk.world.check.off(piece, r.try, wk.machine.id, cause)
	}
	r.phase, r.cause, r.since = "exited", cause, time.Now()
	wk.changed = true
}

func (wk *worker) raise(epoch uint64) {
	if epoch <= wk.epoch {
		return
	}
	wk.epoch = epoch
	if time.Since(wk.epochAt) >= wk.world.site.lease()/2 {
		wk.epochAt, wk.changed = time.Now(), true
	}
}

// nextReport makes a report with the next tick.
func (wk *worker) nextReport() report {
	wk.tick++
	r := report{Host: wk.machine.id, Endpoint: wk.endpoint, Flavor: wk.machine.flavor, Site: wk.machine.site, Loaners: wk.machine.loaners,
		Tenure: wk.tenure, Tick: wk.tick, Epoch: wk.epoch, Pieces: []pieceReport{}}
	var names []string
	for piece := range wk.tasks {
		names = append(names, piece)
	}
	sort.Strings(names)
	for _, piece := range names {
		t := wk.tasks[piece]
		r.Pieces = append(r.Pieces, pieceReport{piece, t.try, t.phase, t.cause, t.saved})
	}
	return r
}

// execute carries out commands in order.
func (wk *worker) execute(orders []order, via string) {
	for _, o := range orders {
		wk.world.rec.logf("%s: %s %s try %d by %s", wk.machine.id, o.Verb, o.Piece, o.Try, via)
		t := wk.tasks[o.Piece]
		switch o.Verb {
		case "start":
			wk.begin(o, t)
		case "kill":
			if t == nil || t.try != o.Try || t.phase == "exited" {
				continue
			}
			j := wk.world.users.jobOf(o.Piece)
			grace := 0.0
			if o.WindDownS != nil {
				grace = *o.WindDownS
			}
			switch {
			case t.phase == "running" && j.SnapshotEveryS > 0 && grace >= j.SnapshotCostS:
				t.phase, t.since, t.ends = "saving", time.Now(), time.Now().Add(time.Duration(j.SnapshotCostS*float64(time.Second)))
				wk.changed = true
			case t.phase == "saving" && grace > 0:
			default:
				wk.exit(o.Piece, t, "halted")
			}
		case "forget":
			if t != nil && t.try == o.Try && t.phase == "exited" {
				delete(wk.tasks, o.Piece)
			}
		}
	}
}

func (wk *worker) begin(o order, t *run) {
	if t != nil && t.try == o.Try {
		return
	}
	wk.changed = true
	if t != nil && t.phase != "exited" {
		return // in use by another attempt, which the reports show
	}
	j := wk.world.users.jobOf(o.Piece)
	next := &run{try: o.Try, phase: "exited", since: time.Now()}
	cpus, memory := wk.flavor.CPUs, wk.flavor.MemoryGB
	for piece, other := range wk.tasks {
		if other.phase != "exited" {
			k := wk.world.users.jobOf(piece)
			cpus, memory = cpus-k.CPUs, memory-k.MemoryGB
		}
	}
	switch {
	case j == nil:
		next.cause = "no_such"
	case j.CPUs > cpus+1e-6 || j.MemoryGB > memory+1e-6:
		next.cause = "full"
	default:
		next.phase, next.ends = "pulling", time.Now()
		if !wk.images[j.Build] {
			next.ends = next.ends.Add(time.Duration(j.PullGB / wk.flavor.FetchGBPerS * float64(time.Second)))
		}
	}
	wk.tasks[o.Piece] = next
}

// hasRoom says whether a task of a job fits beside all tasks that are on the machine.
func (wk *worker) hasRoom(j *job) bool {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	cpus, memory := wk.flavor.CPUs, wk.flavor.MemoryGB
	for piece, other := range wk.tasks {
		if other.phase != "exited" {
			k := wk.world.users.jobOf(piece)
			cpus, memory = cpus-k.CPUs, memory-k.MemoryGB
		}
	}
	return !wk.stopped && j.CPUs <= cpus+1e-6 && j.MemoryGB <= memory+1e-6
}

// holds says whether a task is on the machine, running, fetching or saving.
func (wk *worker) holds(piece string) bool {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	t := wk.tasks[piece]
	return t != nil && t.phase != "exited"
}

// serve answers direct commands.
func (wk *worker) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	var c struct {
		Epoch  *uint64 `json:"epoch"`
		Tenure *uint64 `json:"tenure"`
		Orders []order `json:"orders"`
	}
	if r.URL.Path == "/status" {
		wk.mu.Lock()
		defer wk.mu.Unlock()
		answer(w, 200, wk.nextReport())
		return
	}
	if r.URL.Path != "/commands" || json.Unmarshal(body, &c) != nil || c.Epoch == nil || c.Tenure == nil {
		answer(w, 400, map[string]string{"error": "malformed"})
		return
	}
	carryOut := func() (int, report) {
		wk.mu.Lock()
		defer wk.mu.Unlock()
		wk.expire()
		status := 200
		if *c.Epoch < wk.epoch || *c.Tenure != wk.tenure {
			status = 409
		} else {
			wk.raise(*c.Epoch)
			wk.execute(c.Orders, "command")
		}
		return status, wk.nextReport()
	}
	wk.mu.Lock()
	life := wk.life
	wk.mu.Unlock()
	for wk.hangs() {
		time.Sleep(20 * time.Millisecond)
	}
	wk.mu.Lock()
	lost := wk.life != life
	wk.mu.Unlock()
	if lost {
		wk.world.rec.logf("%s: a command from before the reset is lost", wk.machine.id)
		<-r.Context().Done() // the sender hears nothing
		panic(http.ErrAbortHandler)
	}
	status, rep := carryOut()
	wk.world.rec.logf("%s: command token %d session %d with %d orders: %d", wk.machine.id, *c.Epoch, *c.Tenure, len(c.Orders), status)
	answer(w, status, rep)
}

func (wk *worker) hangs() bool {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return wk.paused && !wk.stopped
}

// reportLoop sends the reports.
func (wk *worker) reportLoop() {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	<-wk.world.ready
	wk.target = wk.world.rand(len(wk.world.nodes))
	var last time.Time
	for {
		interval := time.Duration(wk.world.site.reportS * (0.75 + 0.5*float64(wk.world.rand(1000))/1000) * float64(time.Second))
		due := last.Add(interval)
		for {
			wk.mu.Lock()
			stopped, changed, paused := wk.stopped, wk.changed, wk.paused
			wk.mu.Unlock()
			if stopped {
				client.CloseIdleConnections()
				return
			}
			now := time.Now()
			if !paused && (!now.Before(due) || changed && now.Sub(last) >= 500*time.Millisecond) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		last = time.Now()
		wk.sendReport(client, last)
	}
}

// sendReport sends a report and handles the response.
func (wk *worker) sendReport(client *http.Client, sentAt time.Time) {
	wk.mu.Lock()
	wk.changed = false
	rep := wk.nextReport()
	life, target := wk.life, wk.target
	wk.mu.Unlock()
	node := wk.world.nodes[target]
	body, _ := json.Marshal(rep)
	status, b := 0, []byte(nil)
	resp, err := client.Post("http://"+node.api+"/agent/beat", "application/json", bytes.NewReader(body))
	if err == nil {
		status = resp.StatusCode
		b, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			status = 0
		}
	}
	wk.world.rec.logf("%s: report tick %d session %d token %d to %s: %d %.300s | %.200s", wk.machine.id, rep.Tick, rep.Tenure, rep.Epoch, node.name, status, b, body)
	for wk.hangs() {
		time.Sleep(20 * time.Millisecond)
	}
	switch {
	case time.Since(sentAt) > 4*time.Second:
		status = 0
	case status == 421:
		var redirect struct {
			Steward string `json:"steward"`
		}
		_ = json.Unmarshal(b, &redirect)
		for i, n := range wk.world.nodes {
			if n.name == redirect.Steward && i != target {
				wk.mu.Lock()
				wk.target, wk.changed = i, true
				wk.mu.Unlock()
				return
			}
		}
	}
	wk.mu.Lock()
	if life != wk.life || wk.stopped {
		wk.mu.Unlock()
		return // the answer was lost with the connection of the former process
	}
	if status == 200 {
		wk.handleAnswer(rep, sentAt, b)
		wk.mu.Unlock()
		return
	}
	wk.target = (target + 1) % len(wk.world.nodes)
	wk.mu.Unlock()
	time.Sleep(time.Second)
	wk.mu.Lock()
	wk.changed = true
	wk.mu.Unlock()
}

// handleAnswer handles a 200 to a report.
func (wk *worker) handleAnswer(rep report, sentAt time.Time, b []byte) {
	var a struct {
		Epoch  uint64  `json:"epoch"`
		Orders []order `json:"orders"`
	}
	wk.expire()
	if json.Unmarshal(b, &a) != nil || a.Epoch == 0 || a.Epoch < wk.epoch || rep.Tenure != wk.tenure {
		return // dropped
	}
	wk.raise(a.Epoch)
	wk.leaseFrom = sentAt
	wk.answered++
	wk.execute(a.Orders, "answer")
}
