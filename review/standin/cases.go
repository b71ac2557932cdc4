package main

import (
	"errors"
	"fmt"
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

// playReset: three machines hang for a part of their lease. Then they are reset: they stop
// with all that is on them and are back at once.
func playReset(w *world, trouble bool) (bool, error) {
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
	const id = "req-000002"
	if !w.users.submit(w.batch(id, 12, 90*time.Second)) {
		return false, errors.New("the job is not accepted")
	}
	if err := w.await("all tasks of the job run", 15*time.Second, func() bool { return w.check.countRunning(id) == 12 }); err != nil {
		return false, err
	}
	for w.rec.now() < 40*time.Second {
		time.Sleep(100 * time.Millisecond)
	}
	if trouble {
		hosts := map[string]bool{}
		for i := range 12 {
			hosts[w.check.machineOf(fmt.Sprintf("%s/%d", id, i))] = true
		}
		var ended sync.WaitGroup
		for host := range hosts {
			if wk := w.cloud.workerOf(host); wk != nil && w.resets < 3 {
				third := w.resets
				w.resets++
				ended.Go(func() { w.hangAndReset(wk, third) })
			}
		}
		ended.Wait()
	}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until) && !w.check.isBroken("ran_twice"); {
		time.Sleep(100 * time.Millisecond)
	}
	return w.check.isBroken("ran_twice"), nil
}

// hangAndReset makes a machine hang just after a report was answered, and resets it between
// 14.5 and 15.5 s later, at another third of a second than the other machines.
func (w *world) hangAndReset(wk *worker, third int) {
	for answered := wk.answeredReports(); wk.answeredReports() == answered; {
		time.Sleep(10 * time.Millisecond)
	}
	wk.hang()
	at := w.rec.now() + 14500*time.Millisecond
	at += (time.Duration(third)*time.Second/3 - at%time.Second + time.Second) % time.Second
	time.Sleep(at - w.rec.now())
	wk.reset()
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

// playGuarantee: a guest team without a guarantee fills all machines with urgent services.
// Then a job of low priority arrives that fits into the guarantee of its team.
func playGuarantee(w *world, trouble bool) (bool, error) {
	w.site.teams = []team{{name: w.site.team, cpus: 16}, {name: "choeurs-invites"}}
	w.addMachines(10, 10, 10) // all ordinary machines that the cloud has
	if err := w.start(); err != nil {
		return false, err
	}
	if err := w.awaitLeader(); err != nil {
		return false, err
	}
	// Each service takes a machine. Without the disruption, two machines stay empty.
	services := 30
	if !trouble {
		services = 28
	}
	for i := range services {
		s := w.batch(fmt.Sprintf("req-%06d", 100+i), 2, 0)
		s.Lane, s.Owner, s.Shape, s.Rank, s.CPUs, s.MemoryGB, s.GuessS = "apercu-invites", "choeurs-invites", "service", "prod", 2, 8.5, 0
		if !w.users.submit(s) {
			return false, fmt.Errorf("%s is not accepted", s.ID)
		}
	}
	if err := w.await("all services run", 30*time.Second, func() bool {
		for i := range services {
			if w.check.countRunning(fmt.Sprintf("req-%06d", 100+i)) < 2 {
				return false
			}
		}
		return true
	}); err != nil {
		return false, err
	}
	const id = "req-000001"
	guaranteed := w.batch(id, 2, 10*time.Second)
	guaranteed.Lane, guaranteed.Rank, guaranteed.CPUs, guaranteed.MemoryGB = "vignettes", "low", 4, 23
	if !w.users.submit(guaranteed) {
		return false, errors.New("the job is not accepted")
	}
	// Ten times a second: the job waits if one of its tasks is on no machine, and a machine
	// has room if a task of the job fits beside all that is on it, fetching tasks included.
	accepted, since := w.rec.now(), w.rec.now()
	nextPoll := accepted
	for ; w.rec.now() < 114*time.Second; time.Sleep(100 * time.Millisecond) {
		if w.rec.now() > nextPoll {
			nextPoll += 5 * time.Second
			if _, s := w.users.poll(nil, id); s.Phase == "done" {
				return false, nil
			}
		}
		host := w.roomFor(guaranteed)
		if host == "" || !w.isWaiting(guaranteed) {
			since = w.rec.now()
			continue
		}
		if w.rec.now()-since > 90*time.Second {
			w.check.breakRule("left_waiting", fmt.Sprintf("%s has waited for 90 s, and at every look a machine that fits had room, now %s; its two tasks were started %d times, the 60 of the other team %d times",
				id, host, w.check.startsOf(id), w.check.startsOf("req-0001")))
			return true, nil
		}
	}
	return false, nil
}

// roomFor returns a machine on which a task of the job fits now, or "".
func (w *world) roomFor(j *job) string {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	for host, m := range w.cloud.machines {
		if m.worker != nil && m.worker.hasRoom(j) {
			return host
		}
	}
	return ""
}

// isWaiting says whether a task of the job is neither done nor on a machine, running or
// fetching.
func (w *world) isWaiting(j *job) bool {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	for i := range j.Pieces {
		piece := fmt.Sprintf("%s/%d", j.ID, i)
		waits := !w.check.isDone(piece)
		for _, m := range w.cloud.machines {
			waits = waits && (m.worker == nil || !m.worker.holds(piece))
		}
		if waits {
			return true
		}
	}
	return false
}
