//go:build review2

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

func init() {
	scenarios["fields"] = scenario{prepare: func(w *world) {
		for _, zone := range w.limits.zones {
			w.cloud.addUp(zone)
		}
	}, play: playFields}
}

// playFields submits three ordinary jobs. With trouble, each submission has one more field,
// which the protocol doesn't know and whose name differs from a known one by a capital.
func playFields(w *world, trouble bool) error {
	time.Sleep(6 * time.Second) // the machines report
	sited := w.newJob("req-000011", "edition-nuit", "batch", "normal", 1, 1, 6.6, 1.5, 3, map[string]any{"site": w.limits.zones[0]})
	several := w.newJob("req-000012", "edition-nuit", "batch", "normal", 4, 1, 6.6, 1.5, 3, nil)
	named := w.newJob("req-000013", "edition-nuit", "batch", "normal", 1, 1, 6.6, 1.5, 3, nil)
	for _, c := range []struct {
		j    *job
		more string
	}{{sited, `"Site":"` + w.limits.zones[1] + `"`}, {several, `"Pieces":1`}, {named, `"ID":"req-900013"`}} {
		body, err := json.Marshal(c.j.spec)
		if err != nil {
			return err
		}
		if trouble {
			body = append(body[:len(body)-1], []byte(","+c.more+"}")...)
		}
		w.logf("submission: %s", body)
		w.mu.Lock()
		c.j.submitted = true
		w.mu.Unlock()
		asked := time.Now()
		status, answer := w.ask(w.nodes[0], "POST", "/api/jobs", body, 5*time.Second)
		w.note(w.nodes[0], c.j, "submit", status, answer, asked)
		if status != 201 {
			return fmt.Errorf("submission of %s: %d", c.j.id, status)
		}
		if answer["id"] != c.j.id {
			w.logf("the submission of %s was answered for %v", c.j.id, answer["id"])
		}
	}
	end := time.Now().Add(40 * time.Second)
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		finished := 0
		for _, j := range []*job{sited, several, named} {
			if _, phase := w.poll(w.nodes[1], j); phase == "done" {
				finished++
			}
		}
		if finished == 3 || w.isBroken() && time.Until(end) < 20*time.Second {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.broken) == 0 && len(several.done) < several.pieces {
		return errors.New("the jobs were not done in time")
	}
	return nil
}
