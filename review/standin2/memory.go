//go:build review2

package main

import (
	"errors"
	"time"
)

func init() { scenarios["memory"] = scenario{limits: naipe, play: playMemory} }

// playMemory lets some days of finished jobs pass. With trouble, the platform keeps the
// limit of memory: a controller that holds more is killed and started again.
func playMemory(w *world, trouble bool) error {
	// The state service of this case doesn't limit requests, so that nothing but the memory
	// keeps a controller from reading its state.
	w.store.mu.Lock()
	w.store.requests.rate, w.store.requests.tokens = 1e9, 1e9
	w.store.mu.Unlock()
	finished := w.newJob("req-000001", "ranking-lento", "batch", "low", 1, 4, 11, 1.5, 600, nil)
	waiting := w.newJob("req-000002", "ranking-lento", "batch", "low", 1, 4, 11, 1.5, 600, nil)
	if !w.submit(finished, 0) || !w.submit(waiting, 1) || !w.withdraw(finished, 0) {
		return errors.New("no answers before the disruption")
	}
	quit := make(chan struct{})
	defer close(quit)
	if trouble {
		for _, n := range w.nodes {
			go n.keepMemoryLimit(quit)
		}
	}
	if err := w.store.addHistory(finished.id, historyJobs(140000), 6000); err != nil {
		return err
	}
	over := time.Now()
	w.mu.Lock()
	waiting.lastAnswer = over
	w.mu.Unlock()
	for time.Since(over) < 77*time.Second && !w.isBroken() {
		for _, n := range w.nodes {
			if n.isRunning() {
				w.poll(n, waiting)
				w.logf("%s holds %.0f MB", n.name, n.anonymousMB())
			}
		}
		w.mu.Lock()
		if time.Since(waiting.lastAnswer) > 75*time.Second {
			w.breakRule("forgotten: no question about %s was answered for 75 s", waiting.id)
		}
		answered := waiting.lastAnswer
		w.mu.Unlock()
		if !trouble && time.Since(over) > 20*time.Second && answered.After(over) {
			break
		}
		time.Sleep(2 * time.Second)
	}
	return nil
}

// keepMemoryLimit kills the process when it holds more than its limit, and starts it again.
func (n *node) keepMemoryLimit(quit chan struct{}) {
	for {
		select {
		case <-quit:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if held := n.anonymousMB(); n.isRunning() && held > n.w.limits.ramMB {
			n.w.logf("%s holds %.0f MB of %.0f", n.name, held, n.w.limits.ramMB)
			n.kill()
			n.mu.Lock()
			n.kills++
			n.mu.Unlock()
			time.Sleep(seconds(n.w.limits.restartS))
			select {
			case <-quit:
				return
			default:
			}
			if err := n.startNode(); err != nil {
				n.w.logf("%s does not start: %v", n.name, err)
				return
			}
		}
	}
}

// anonymousMB returns the memory that the process holds, without what the kernel shares
// with files.
func (n *node) anonymousMB() float64 { return n.statusMB("RssAnon:") }

// memoryKills returns how often the platform has killed the process for its memory.
func (n *node) memoryKills() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.kills
}
