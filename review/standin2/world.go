//go:build review2

// Command standin2 plays everything around the controllers for the cases of the second
// review: the state service, the cloud, the machines with their workers, the users and the
// platform that starts and ends the controllers. It follows the operators' pages. Each case
// is a scenario; the program exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"fmt"
	"math/rand"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// limits are the figures of a small deployment (kerbrat-engraving in the brief).
type limits struct {
	reportS, leaseS, cancelS       float64
	rps, writeRPS, valueKB         float64
	txnOps                         int
	cloudRPS, listLagS             float64
	coreShare, ramMB               float64
	files                          int
	restartS                       float64 // how long the platform takes to start a controller again
	team                           string
	zones                          []string
	cpusMax                        float64 // limit of the team; 0: none
	flavor                         string
	flavorCPUs, flavorMemGB, bootS float64
	price, spotPrice, fetchGBPerS  float64
}

// kerbrat returns the limits of the first deployment of the brief.
func kerbrat() limits {
	return limits{
		reportS: 2.5, leaseS: 16, cancelS: 36, rps: 100, writeRPS: 30, valueKB: 16, txnOps: 24,
		cloudRPS: 4, listLagS: 10, coreShare: 0.18, ramMB: 179, files: 1200, restartS: 8,
		team: "gravure", zones: []string{"quimper-a", "lorient-b", "rennes-c"},
		flavor: "biniou-quatre", flavorCPUs: 4, flavorMemGB: 32, bootS: 20, price: 0.26, spotPrice: 0.12, fetchGBPerS: 1,
	}
}

// naipe returns the limits of the second deployment of the brief.
func naipe() limits {
	return limits{
		reportS: 1.5, leaseS: 10, cancelS: 30, rps: 150, writeRPS: 50, valueKB: 32, txnOps: 12,
		cloudRPS: 6, listLagS: 5, coreShare: 0.072, ramMB: 98, files: 1000, restartS: 3,
		team: "operaciones", zones: []string{"montevideo-centro", "montevideo-cerro", "canelones-nube", "salto-norte"},
		flavor: "truco-cuatro", flavorCPUs: 4, flavorMemGB: 16, bootS: 40, price: 0.16, spotPrice: 0.07, fetchGBPerS: 1,
	}
}

// world holds the stand-ins of one run. Its lock protects all their state.
type world struct {
	mu       sync.Mutex
	limits   limits
	start    time.Time
	random   *dice
	record   *os.File
	dir      string // temporary folder
	store    *store
	cloud    *cloud
	nodes    []*node
	workers  []*worker
	jobs     map[string]*job
	runs     map[string]*worker // the machine on which each task is, by task
	broken   []string           // rules that were broken
	stopping bool
}

func newWorld(l limits, recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	w := &world{limits: l, start: time.Now(), random: &dice{source: rand.New(rand.NewSource(1))}, record: record, dir: dir, jobs: map[string]*job{}, runs: map[string]*worker{}}
	return w, nil
}

// since returns the seconds since the start of the run.
func (w *world) since() float64 { return time.Since(w.start).Seconds() }

// logf writes a line of the record. The caller holds the lock or doesn't; the file
// serializes lines by itself.
func (w *world) logf(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", w.since(), fmt.Sprintf(format, args...))
}

// breakRule notes that a rule was broken. The caller holds the lock.
func (w *world) breakRule(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	if slices.Contains(w.broken, line) {
		return
	}
	w.broken = append(w.broken, line)
	w.logf("RULE BROKEN: %s", line)
}

// isBroken says whether a rule was broken so far.
func (w *world) isBroken() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.broken) > 0
}

// listen opens a listener on a free port of a loopback address. The address depends on the
// process, so that runs at the same time don't take each other's ports.
func listen() (net.Listener, error) {
	pid := os.Getpid()
	if ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16&63, pid>>8&255, 1+pid&127)); err == nil {
		return ln, nil
	}
	return net.Listen("tcp", "127.0.0.1:0")
}

// freeAddr returns a loopback address with a port that is free now.
func freeAddr() (string, error) {
	ln, err := listen()
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// job is a job as its user knows it.
type job struct {
	id, shape   string
	pieces      int
	cpus, memGB float64
	image       string
	imageGB     float64
	runS        float64 // true run time of each task; services run for ever
	saveEveryS  float64
	saveCostS   float64
	spec        map[string]any
	submitted   bool
	accepted    bool
	askedCancel bool
	cancelled   time.Time // when a node first said that the job is cancelled
	final       string    // "done" or "aborted" once a node has said so
	finalAt     time.Time
	done        map[string]bool
	lastAnswer  time.Time // when a question about it was last answered
	acceptedAt  time.Time
}

// newJob describes a job. Fields of change replace or add to those of the submission.
func (w *world) newJob(id, lane, shape, rank string, pieces int, cpus, memGB, imageGB, runS float64, change map[string]any) *job {
	guess := runS
	if shape == "service" {
		guess = 0
	}
	spec := map[string]any{"id": id, "lane": lane, "owner": w.limits.team, "shape": shape, "rank": rank, "pieces": pieces,
		"cpus": cpus, "cards": 0.0, "memoryGb": memGB, "build": "img-" + lane, "pullGb": imageGB, "flavors": nil, "site": nil,
		"samePlace": false, "scatter": false, "loaners": false, "guessS": guess, "snapshotEveryS": 0.0, "snapshotCostS": 0.0, "dueS": nil}
	for k, v := range change {
		spec[k] = v
	}
	j := &job{id: id, shape: shape, pieces: pieces, cpus: cpus, memGB: memGB, image: spec["build"].(string), imageGB: imageGB, runS: runS, spec: spec, done: map[string]bool{}}
	j.saveEveryS, _ = spec["snapshotEveryS"].(float64)
	j.saveCostS, _ = spec["snapshotCostS"].(float64)
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	return j
}

// dice is a source of random numbers for all goroutines.
type dice struct {
	mu     sync.Mutex
	source *rand.Rand
}

func (d *dice) Intn(n int) int   { d.mu.Lock(); defer d.mu.Unlock(); return d.source.Intn(n) }
func (d *dice) Float64() float64 { d.mu.Lock(); defer d.mu.Unlock(); return d.source.Float64() }
