package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// addMachines rents machines that are up at the start.
func (w *world) addMachines(perZone ...int) {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	for i, n := range perZone {
		for range n {
			w.cloud.rent(w.site.types[0].Label, w.site.zones[i], false, 0)
		}
	}
}

// awaitLeader waits until a controller leads and the load balancer has healthy nodes.
func (w *world) awaitLeader() error {
	return w.await("a controller leads and serves", 30*time.Second, func() bool { return w.leader() != nil && w.users.pick() != nil })
}

// batch returns an array like those of the deployments.
func (w *world) batch(id string, pieces int, run time.Duration) *job {
	return &job{ID: id, Lane: "edition-nuit", Owner: w.site.team, Shape: "batch", Rank: "normal", Pieces: pieces, CPUs: 1, MemoryGB: 6.6,
		Build: "img-01", PullGB: 1.5, GuessS: run.Seconds(), run: run}
}

// playRestart: a machine stops and is back at once while a start is on its way to it, and
// direct commands are held up.
func playRestart(w *world, trouble bool) (bool, error) {
	w.addMachines(8, 6, 8)
	if err := w.start(); err != nil {
		return false, err
	}
	if err := w.awaitLeader(); err != nil {
		return false, err
	}
	// A first array brings the image to the machines.
	if !w.users.submit(w.batch("req-000001", 55, 4*time.Second)) {
		return false, errors.New("the first array is not accepted")
	}
	if err := w.await("the first array is done", 45*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		_, s := w.users.poll(nil, "req-000001")
		return s.Phase == "done"
	}); err != nil {
		return false, err
	}
	for w.rec.now() < 55*time.Second {
		time.Sleep(100 * time.Millisecond)
	}
	const id = "req-000002"
	if trouble {
		w.holdCommands(id+"/0", 25*time.Second)
	}
	if !w.users.submit(w.batch(id, 1, 50*time.Second)) {
		return false, errors.New("the job is not accepted")
	}
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until) && !w.check.isBroken("ran_twice"); {
		time.Sleep(100 * time.Millisecond)
	}
	if w.check.startsOf(id) == 0 {
		return false, errors.New("the task never started")
	}
	return w.check.isBroken("ran_twice"), nil
}

// holdCommands waits for the direct command that starts the given task, and holds it up for
// 2.2 s. Half a second after it was sent, its machine stops and is back at once. For d, all
// direct commands to this one machine are held up, from 2 to 16 s each, without an answer.
func (w *world) holdCommands(piece string, d time.Duration) {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	var mu sync.Mutex
	var chosen *worker
	var until time.Time
	for _, m := range w.cloud.machines {
		wk := m.worker
		if wk == nil {
			continue
		}
		wk.mu.Lock()
		wk.lateCommand = func(body string) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case chosen == nil && strings.Contains(body, fmt.Sprintf("%q", piece)):
				chosen, until = wk, time.Now().Add(d)
				time.AfterFunc(500*time.Millisecond, wk.restart)
				return 2200 * time.Millisecond
			case chosen == wk && time.Now().Before(until):
				return 2*time.Second + time.Duration(w.rand(14000))*time.Millisecond
			}
			return 0
		}
		wk.mu.Unlock()
	}
}

// playWeightless: a user submits a job by mistake whose task takes nothing of its machine.
func playWeightless(w *world, trouble bool) (bool, error) {
	if err := w.start(); err != nil {
		return false, err
	}
	if err := w.awaitLeader(); err != nil {
		return false, err
	}
	weightless := &job{ID: "req-000001", Lane: "resultados", Owner: w.site.team, Shape: "batch", Rank: "normal", Pieces: 1,
		Build: "img-01", PullGB: 1, Flavors: []string{"envido-dieciseis"}, SamePlace: true, GuessS: 5, run: 5 * time.Second}
	if !trouble {
		weightless.CPUs, weightless.MemoryGB = 1, 3.1
	}
	if !w.users.submit(weightless) {
		w.rec.sayf("%s is not accepted", weightless.ID)
	}
	for until := time.Now().Add(18 * time.Second); time.Now().Before(until) && w.users.countHealthy() > 1; {
		time.Sleep(100 * time.Millisecond)
	}
	// From here on there is no trouble any more.
	const id = "req-000002"
	other := &job{ID: id, Lane: "resultados", Owner: w.site.team, Shape: "batch", Rank: "normal", Pieces: 2, CPUs: 1, MemoryGB: 3.1,
		Build: "img-01", PullGB: 1, GuessS: 10, run: 10 * time.Second}
	if !w.users.submit(other) {
		return false, errors.New("the job is not accepted")
	}
	// The rule allows a wait of 90 s while a machine has room.
	var room time.Duration
	for lastPoll := time.Now(); w.rec.now() < 115*time.Second; time.Sleep(100 * time.Millisecond) {
		if time.Since(lastPoll) > 5*time.Second {
			lastPoll = time.Now()
			w.users.poll(nil, id)
		}
		if room == 0 && w.hasMachine() {
			room = w.rec.now()
			w.rec.sayf("a machine with room for %s is up", id)
		}
		if w.check.startsOf(id) > 0 {
			return false, nil
		}
		if room != 0 && w.rec.now()-room > 91*time.Second {
			w.check.breakRule("left_waiting", id+" has waited for 90 s while a machine that fits has room")
			return true, nil
		}
	}
	return false, errors.New("no machine was up for 90 s")
}

// hasMachine says whether a machine is up.
func (w *world) hasMachine() bool {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	for _, m := range w.cloud.machines {
		if m.worker != nil && m.gone.IsZero() {
			return true
		}
	}
	return false
}
