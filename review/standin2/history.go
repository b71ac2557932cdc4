//go:build review2

package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { scenarios["history"] = scenario{play: playHistory} }

// historyJobs is how many finished jobs the state service holds.
func historyJobs(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("HISTORY")); err == nil {
		return n
	}
	return usual
}

// playHistory lets a week pass: the state service gets as many records of finished jobs
// as the deployment makes in that time, all like one that the service has written itself.
// Then all controllers crash and come back.
func playHistory(w *world, trouble bool) error {
	finished := w.newJob("req-000001", "vignettes", "batch", "low", 1, 4, 23, 2.5, 600, nil)
	waiting := w.newJob("req-000002", "vignettes", "batch", "low", 1, 4, 23, 2.5, 600, nil)
	if !w.submit(finished, 0) || !w.submit(waiting, 1) || !w.withdraw(finished, 0) {
		return errors.New("no answers before the disruption")
	}
	if err := w.store.addHistory(finished.id, historyJobs(80000), 5000); err != nil {
		return err
	}
	w.logf("the state service holds %d keys", len(w.store.items))
	for _, n := range w.nodes {
		w.logf("%s holds %.0f MB", n.name, n.statusMB("VmRSS:"))
	}
	time.Sleep(2 * time.Second)
	for _, n := range w.nodes {
		if status, _ := w.poll(n, waiting); status != 200 {
			return fmt.Errorf("%s does not follow the history", n.name)
		}
	}
	if trouble {
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(seconds(w.limits.restartS))
		for _, n := range w.nodes {
			if err := n.startNode(); err != nil {
				return err
			}
		}
	} else {
		time.Sleep(seconds(w.limits.restartS))
	}
	// From here on there is no trouble. Users ask about both jobs at all controllers.
	over := time.Now()
	w.mu.Lock()
	finished.lastAnswer, waiting.lastAnswer = over, over
	w.mu.Unlock()
	for time.Since(over) < 77*time.Second {
		for _, n := range w.nodes {
			for _, j := range []*job{finished, waiting} {
				w.poll(n, j)
			}
			if n.hasEnded() {
				return fmt.Errorf("%s ended by itself", n.name)
			}
		}
		w.mu.Lock()
		for _, j := range []*job{finished, waiting} {
			if time.Since(j.lastAnswer) > 75*time.Second {
				w.breakRule("forgotten: no question about %s was answered for 75 s after all controllers were back", j.id)
			}
		}
		answered := finished.lastAnswer.After(over) && waiting.lastAnswer.After(over)
		w.mu.Unlock()
		if answered && time.Since(over) > 20*time.Second || w.isBroken() {
			break
		}
		time.Sleep(2 * time.Second)
	}
	w.store.mu.Lock()
	w.logf("the state service's answers: %v", w.store.counts)
	w.store.mu.Unlock()
	return nil
}

// addHistory adds copies of the stored record of a finished job under other ids, as so many other jobs would have left them.
func (s *store) addHistory(id string, n, perSecond int) error {
	s.mu.Lock()
	key := ""
	for k := range s.items {
		if strings.HasSuffix(k, id) {
			key = k
		}
	}
	if key == "" {
		s.mu.Unlock()
		return errors.New("the record of " + id + " was not found")
	}
	value := s.items[key].value
	prefix := strings.TrimSuffix(key, id)
	s.mu.Unlock()
	s.w.logf("each record is %s = %s", key, value)
	for i := 0; i < n; {
		s.mu.Lock()
		for range perSecond / 20 {
			s.revision++
			s.put(prefix+fmt.Sprintf("req-%06d", 100000+i), value, 0)
			i++
		}
		s.wake()
		s.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}
