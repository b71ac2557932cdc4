//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

var userClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}

// ask sends a user's request to one controller and returns the status (0: no answer) and
// the decoded body.
func (w *world) ask(n *node, method, path string, body any, timeout time.Duration) (int, map[string]any) {
	status, answer, _ := w.askFull(n, method, path, body, timeout)
	return status, answer
}

func (w *world) askFull(n *node, method, path string, body any, timeout time.Duration) (int, map[string]any, http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var encoded []byte
	switch b := body.(type) {
	case nil:
	case []byte:
		encoded = b
	default:
		encoded, _ = json.Marshal(b)
	}
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+n.api+path, bytes.NewReader(encoded))
	resp, err := userClient.Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(resp.Body); err != nil {
		return 0, nil, nil
	}
	var answer map[string]any
	_ = json.Unmarshal(b.Bytes(), &answer)
	return resp.StatusCode, answer, resp.Header
}

// note judges what a controller answered about a job: asked is when the question was sent.
func (w *world) note(n *node, j *job, what string, status int, answer map[string]any, asked time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	phase, _ := answer["phase"].(string)
	w.logf("user: %s %s at %s: %d %s", what, j.id, n.name, status, phase)
	if status == 200 || status == 201 {
		j.lastAnswer = time.Now()
		if what == "submit" && !j.accepted {
			j.accepted, j.acceptedAt = true, time.Now()
		}
	}
	if status == 404 && j.accepted && j.acceptedAt.Before(asked) {
		w.breakRule("forgotten: %s answers 404 for %s", n.name, j.id)
	}
	if (status == 400 || status == 422) && what == "submit" && j.accepted && j.acceptedAt.Before(asked) {
		w.breakRule("forgotten: %s answers a repeated submission of %s with %d", n.name, j.id, status)
	}
	if status != 200 {
		return
	}
	final := ""
	if phase == "done" || phase == "aborted" {
		final = phase
	}
	if j.final != "" && final != j.final && finalBefore(j, asked) {
		w.breakRule("went_back: %s says %q of %s after %q", n.name, phase, j.id, j.final)
	}
	if final == "done" && len(j.done) < j.pieces {
		w.breakRule("not_done: %s says done of %s, %d of %d tasks are done", n.name, j.id, len(j.done), j.pieces)
	}
	if final == "aborted" && !j.askedCancel {
		w.breakRule("went_back: %s says aborted of %s, which nobody cancelled", n.name, j.id)
	}
	if final != "" && j.final == "" {
		j.final, j.finalAt = final, time.Now()
		if final == "aborted" {
			j.cancelled = time.Now()
		}
	}
}

func finalBefore(j *job, asked time.Time) bool { return j.finalAt.Before(asked) }

// submit submits a job at a controller as a user does: it retries for up to 60 s, at the
// others in turn. It says whether the job was accepted.
func (w *world) submit(j *job, first int) bool {
	w.mu.Lock()
	j.submitted = true
	w.mu.Unlock()
	end := time.Now().Add(60 * time.Second)
	for i := first; time.Now().Before(end); i++ {
		n := w.nodes[i%len(w.nodes)]
		asked := time.Now()
		status, answer, header := w.askFull(n, "POST", "/api/jobs", j.spec, 5*time.Second)
		w.note(n, j, "submit", status, answer, asked)
		switch status {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
		pause := 1.0
		if after, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err == nil {
			pause = max(pause, min(after, 30))
		}
		time.Sleep(seconds(pause))
	}
	return false
}

// poll asks one controller about a job and returns the status and the phase.
func (w *world) poll(n *node, j *job) (int, string) {
	asked := time.Now()
	status, answer := w.ask(n, "GET", "/api/jobs/"+j.id, nil, 2*time.Second)
	w.note(n, j, "poll", status, answer, asked)
	phase, _ := answer["phase"].(string)
	return status, phase
}

// withdraw cancels a job as a user does. It says whether that was confirmed.
func (w *world) withdraw(j *job, first int) bool {
	w.mu.Lock()
	j.askedCancel = true
	w.mu.Unlock()
	end := time.Now().Add(60 * time.Second)
	for i := first; time.Now().Before(end); i++ {
		n := w.nodes[i%len(w.nodes)]
		asked := time.Now()
		status, answer := w.ask(n, "POST", "/api/jobs/"+j.id+"/withdraw", nil, 5*time.Second)
		w.note(n, j, "withdraw", status, answer, asked)
		if status == 200 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// isUp says whether a controller answers its health check with 200.
func (w *world) isUp(n *node) bool {
	status, _ := w.ask(n, "GET", "/up", nil, time.Second)
	return status == 200
}

// waitUp waits until all controllers are up.
func (w *world) waitUp(within time.Duration) bool {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		up := 0
		for _, n := range w.nodes {
			if w.isUp(n) {
				up++
			}
		}
		if up == len(w.nodes) {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
