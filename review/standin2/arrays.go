//go:build review2

package main

import (
	"fmt"
	"time"
)

func init() {
	scenarios["arrays"] = scenario{limits: naipe, prepare: func(w *world) {
		w.cloud.capacity = 40
		for i := range 8 {
			w.cloud.addUp(w.limits.zones[i%len(w.limits.zones)])
		}
	}, play: playArrays}
}

// playArrays submits twelve low-priority arrays within 24 s, with trouble of the largest
// size that the protocol allows, otherwise of the largest size in the brief. The platform
// keeps the limit of memory.
func playArrays(w *world, trouble bool) error {
	quit := make(chan struct{})
	defer close(quit)
	for _, n := range w.nodes {
		go n.keepMemoryLimit(quit)
	}
	time.Sleep(6 * time.Second)
	pieces := 17
	if trouble {
		pieces = 100000
	}
	for i := range 12 {
		j := w.newJob(fmt.Sprintf("req-%06d", 100+i), "ranking-lento", "batch", "low", pieces, 4, 11, 1.5, 70, map[string]any{"loaners": true, "snapshotEveryS": 15.0, "snapshotCostS": 1.0})
		if !w.submit(j, i) {
			return fmt.Errorf("%s was not accepted", j.id)
		}
		time.Sleep(2 * time.Second)
	}
	for range 20 {
		for _, n := range w.nodes {
			if n.isRunning() {
				w.logf("%s holds %.0f MB", n.name, n.anonymousMB())
			}
		}
		time.Sleep(2 * time.Second)
	}
	kills := 0
	for _, n := range w.nodes {
		kills += n.memoryKills()
	}
	if kills > 0 {
		w.mu.Lock()
		w.breakRule("a controller ended for memory, %d times in all", kills)
		w.mu.Unlock()
	}
	return nil
}
