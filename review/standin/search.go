package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// watched is what the users know of a job in a search.
type watched struct {
	mu          sync.Mutex
	job         *job
	accepted    bool
	final       string        // "done" or "aborted", once a user was told so
	cancelAsked bool          // its user has asked to cancel it
	finalAt     time.Duration // when a user was first told
	answeredAt  time.Duration // when a question about it was last answered
}

// hear checks an answer about a job to a request sent at sentAt.
func (x *watched) hear(w *world, sentAt time.Duration, code int, s status) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.accepted && (code == 404 || code == 400 || code == 422) {
		w.check.mu.Lock()
		w.check.breakRule("forgotten", fmt.Sprintf("%s: %d", x.job.ID, code))
		w.check.mu.Unlock()
	}
	if code != 200 && code != 201 {
		return
	}
	x.answeredAt = w.rec.now()
	if x.final != "" && sentAt > x.finalAt && s.Phase != x.final {
		w.check.mu.Lock()
		w.check.breakRule("went_back", fmt.Sprintf("%s was %s and is %s", x.job.ID, x.final, s.Phase))
		w.check.mu.Unlock()
	}
	if x.final != "" || s.Phase != "done" && s.Phase != "aborted" {
		return
	}
	x.final, x.finalAt = s.Phase, w.rec.now()
	w.rec.sayf("user: %s is %s", x.job.ID, s.Phase)
	if s.Phase == "done" {
		for i := range x.job.Pieces {
			if !w.check.isDone(fmt.Sprintf("%s/%d", x.job.ID, i)) {
				w.check.mu.Lock()
				w.check.breakRule("not_done", fmt.Sprintf("%s/%d", x.job.ID, i))
				w.check.mu.Unlock()
			}
		}
		return
	}
	if !x.cancelAsked {
		w.check.mu.Lock()
		w.check.breakRule("went_back", x.job.ID+" is cancelled though nobody asked for it")
		w.check.mu.Unlock()
	}
	time.AfterFunc(w.site.cancel(), func() {
		if w.check.countRunning(x.job.ID) > 0 {
			w.check.mu.Lock()
			w.check.breakRule("ran_cancelled", x.job.ID)
			w.check.mu.Unlock()
		}
	})
}

// follow plays the user of one job.
func (x *watched) follow(w *world, cancelAfter time.Duration, end time.Duration) {
	if !w.users.submit(x.job) {
		return
	}
	x.mu.Lock()
	x.accepted, x.answeredAt = true, w.rec.now()
	x.mu.Unlock()
	look := func() {
		for _, n := range w.nodes {
			go func() {
				sentAt := w.rec.now()
				code, s := w.users.poll(n, x.job.ID)
				x.hear(w, sentAt, code, s)
			}()
		}
	}
	look()
	from := w.rec.now()
	for w.rec.now() < end {
		time.Sleep(time.Duration(2000+w.rand(2000)) * time.Millisecond)
		x.mu.Lock()
		final := x.final
		x.mu.Unlock()
		if cancelAfter > 0 && w.rec.now()-from > cancelAfter && final == "" {
			x.mu.Lock()
			x.cancelAsked = true
			x.mu.Unlock()
			sentAt := w.rec.now()
			if phase := w.users.withdraw(nil, x.job.ID); phase != "" {
				x.hear(w, sentAt, 200, status{Phase: phase})
				look()
			}
			continue
		}
		sentAt := w.rec.now()
		code, s := w.users.poll(nil, x.job.ID)
		x.hear(w, sentAt, code, s)
	}
}

// playSearch plays random troubles around real processes and checks the rules. It is no
// case, but a search for one.
func playSearch(w *world, trouble bool) (bool, error) {
	w.addMachines(5, 5, 5)
	if err := w.start(); err != nil {
		return false, err
	}
	if err := w.awaitLeader(); err != nil {
		return false, err
	}
	const end = 108 * time.Second
	go func() {
		for i := 0; w.rec.now() < 75*time.Second; i++ {
			j := w.batch(fmt.Sprintf("req-%06d", 100+i), 1+w.rand(9), time.Duration(4+w.rand(20))*time.Second)
			j.Build, j.PullGB = fmt.Sprintf("img-%d", w.rand(4)), 0.5
			cancelAfter := time.Duration(0)
			switch w.rand(5) {
			case 0:
				j.Shape, j.Rank, j.Pieces, j.CPUs, j.Scatter, j.GuessS = "service", "prod", 1+w.rand(2), 2, true, 0
				if w.rand(2) == 0 {
					cancelAfter = time.Duration(5+w.rand(30)) * time.Second
				}
			case 1:
				cancelAfter = time.Duration(1+w.rand(20)) * time.Second
			case 2:
				j.SamePlace = true
			}
			go (&watched{job: j}).follow(w, cancelAfter, end)
			time.Sleep(time.Duration(300+w.rand(2500)) * time.Millisecond)
		}
	}()
	for trouble && w.rec.now() < 85*time.Second {
		time.Sleep(time.Duration(2+w.rand(8)) * time.Second)
		n := w.nodes[w.rand(3)]
		if l := w.leader(); l != nil && w.rand(2) == 0 {
			n = l
		}
		d := time.Duration(500+w.rand(15000)) * time.Millisecond
		switch w.rand(7) {
		case 0:
			n.signal(syscall.SIGKILL)
		case 1:
			n.signal(syscall.SIGSTOP)
			time.AfterFunc(d, func() { n.signal(syscall.SIGCONT) })
		case 2:
			w.state.setOutage(true)
			time.AfterFunc(d, func() { w.state.setOutage(false) })
		case 3:
			w.state.refuse(n.name, true)
			time.AfterFunc(d, func() { w.state.refuse(n.name, false) })
		case 4:
			for range 1 + w.rand(4) {
				if wk := w.cloud.workerOf(fmt.Sprintf("n-%06d", 1+w.rand(15))); wk != nil {
					wk.hang()
					time.AfterFunc(time.Duration(1000+w.rand(25000))*time.Millisecond, wk.resume)
				}
			}
		case 5:
			w.state.setFate(func(string, string) txnFate {
				if w.rand(3) == 0 {
					return txnFate{true, time.Duration(w.rand(2)) * time.Duration(2000+w.rand(10000)) * time.Millisecond}
				}
				return txnFate{}
			})
			time.AfterFunc(d, func() { w.state.setFate(nil) })
		case 6:
			for _, m := range w.nodes {
				if w.rand(2) == 0 {
					m.signal(syscall.SIGKILL)
				}
			}
		}
	}
	for w.rec.now() < end {
		time.Sleep(time.Second)
	}
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	return len(w.check.broken) > 0, nil
}

// playGap plays the meeting that issue 24 is about: jobs are cancelled at the moment at which
// the state service refuses the leader alone, and a second later it is out for all for
// longer than cancel_s. It is no case, but a try of that entry.
func playGap(w *world, trouble bool) (bool, error) {
	w.addMachines(8, 6, 8)
	if err := w.start(); err != nil {
		return false, err
	}
	if err := w.awaitLeader(); err != nil {
		return false, err
	}
	var jobs []*watched
	for i := range 16 {
		x := &watched{job: w.batch(fmt.Sprintf("req-%06d", 1+i), 4, 10*time.Minute), accepted: true, cancelAsked: true}
		if !w.users.submit(x.job) {
			return false, fmt.Errorf("%s is not accepted", x.job.ID)
		}
		jobs = append(jobs, x)
	}
	for w.rec.now() < 25*time.Second {
		time.Sleep(100 * time.Millisecond)
	}
	leader := w.leader()
	if leader == nil {
		return false, fmt.Errorf("no leader")
	}
	if trouble {
		w.state.refuse(leader.name, true)
		if w.rand(2) == 0 {
			w.cloud.workerOf(w.check.machineOf(jobs[0].job.ID + "/0")).hang()
		}
	}
	for i, x := range jobs[:12] {
		n := w.nodes[i%3]
		if n == leader {
			n = w.nodes[(i+1)%3]
		}
		go func() {
			sentAt := w.rec.now()
			if phase := w.users.withdraw(n, x.job.ID); phase != "" {
				x.hear(w, sentAt, 200, status{Phase: phase})
			}
		}()
	}
	if trouble {
		time.Sleep(time.Duration(300+w.rand(1200)) * time.Millisecond)
		w.state.setOutage(true)
		if w.rand(2) == 0 {
			time.AfterFunc(time.Duration(w.rand(12))*time.Second, func() { w.nodes[w.rand(3)].signal(syscall.SIGKILL) })
		}
	}
	for until := w.rec.now() + w.site.cancel() + 12*time.Second; w.rec.now() < until; {
		time.Sleep(100 * time.Millisecond)
	}
	return w.check.isBroken("ran_cancelled"), nil
}
