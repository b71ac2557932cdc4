package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// job is a submission, with what the users know of the job.
type job struct {
	ID             string   `json:"id"`
	Lane           string   `json:"lane"`
	Owner          string   `json:"owner"`
	Shape          string   `json:"shape"`
	Rank           string   `json:"rank"`
	Pieces         int      `json:"pieces"`
	CPUs           float64  `json:"cpus"`
	Cards          float64  `json:"cards"`
	MemoryGB       float64  `json:"memoryGb"`
	Build          string   `json:"build"`
	PullGB         float64  `json:"pullGb"`
	Flavors        []string `json:"flavors"`
	Site           *string  `json:"site"`
	SamePlace      bool     `json:"samePlace"`
	Scatter        bool     `json:"scatter"`
	Loaners        bool     `json:"loaners"`
	GuessS         float64  `json:"guessS"`
	SnapshotEveryS float64  `json:"snapshotEveryS"`
	SnapshotCostS  float64  `json:"snapshotCostS"`
	DueS           *float64 `json:"dueS"`

	run    time.Duration // how long a task really runs
	faulty bool          // submitted with a mistake: its tasks fail on every machine
}

// users is the stand-in of the users and of their load balancer.
type users struct {
	world   *world
	mu      sync.Mutex
	jobs    map[string]*job
	healthy map[string]bool
}

func newUsers(w *world) *users {
	return &users{world: w, jobs: map[string]*job{}, healthy: map[string]bool{}}
}

// jobOf returns the job of a task, whose description the users have uploaded.
func (u *users) jobOf(piece string) *job {
	u.mu.Lock()
	defer u.mu.Unlock()
	id, index, _ := strings.Cut(piece, "/")
	j := u.jobs[id]
	if n, err := strconv.Atoi(index); j == nil || err != nil || n >= j.Pieces {
		return nil
	}
	return j
}

// watchNodes probes the nodes once a second, as the load balancer does.
func (u *users) watchNodes() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range u.world.nodes {
		go func() {
			var last []bool
			pauseUntil, pause, removedAt, ever := time.Time{}, 3*time.Second, time.Time{}, false
			for {
				resp, err := client.Get("http://" + n.api + "/up")
				ok := err == nil && resp.StatusCode == 200
				if err == nil {
					resp.Body.Close()
				}
				last = append(last, ok)
				if len(last) > 6 {
					last = last[1:]
				}
				fails := 0
				for _, l := range last {
					if !l {
						fails++
					}
				}
				k := len(last)
				u.mu.Lock()
				was := u.healthy[n.name]
				switch {
				case was && (fails >= 3 || k >= 2 && !last[k-1] && !last[k-2]):
					u.healthy[n.name] = false
					if time.Since(removedAt) < 2*time.Minute {
						pause = min(2*pause, time.Minute)
					} else {
						pause = 3 * time.Second
					}
					removedAt, pauseUntil, last = time.Now(), time.Now().Add(pause), nil
				case !was && ok && (!ever || k >= 2 && last[k-2] && time.Now().After(pauseUntil)):
					u.healthy[n.name], ever = true, true
				}
				now := u.healthy[n.name]
				u.mu.Unlock()
				if now != was {
					u.world.rec.sayf("load balancer: %s healthy: %v", n.name, now)
				}
				time.Sleep(time.Second)
			}
		}()
	}
}

// countHealthy counts the healthy nodes.
func (u *users) countHealthy() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, ok := range u.healthy {
		if ok {
			n++
		}
	}
	return n
}

// pick returns a healthy node, or nil.
func (u *users) pick() *node {
	u.mu.Lock()
	var list []*node
	for _, n := range u.world.nodes {
		if u.healthy[n.name] {
			list = append(list, n)
		}
	}
	u.mu.Unlock()
	if len(list) == 0 {
		return nil
	}
	return list[u.world.rand(len(list))]
}

// status is the body of a 200 or 201 to a user.
type status struct {
	ID      string `json:"id"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// ask sends a request on a new connection to a node, or through the load balancer if n
// is nil. Status 0 means that there was no response in time.
func (u *users) ask(n *node, method, path string, body []byte, timeout time.Duration) (int, status) {
	var s status
	if n == nil {
		if n = u.pick(); n == nil {
			u.world.rec.logf("user: %s %s: no healthy node", method, path)
			return 0, s
		}
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+n.api+path, bytes.NewReader(body))
	if err != nil {
		return 0, s
	}
	sent := u.world.rec.now()
	resp, err := client.Do(req)
	if err != nil {
		u.world.rec.logf("user: %s %s at %s (sent at %.3f): no response", method, path, n.name, sent.Seconds())
		return 0, s
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, s
	}
	_ = json.Unmarshal(b, &s)
	u.world.rec.logf("user: %s %s at %s (sent at %.3f): %d %s", method, path, n.name, sent.Seconds(), resp.StatusCode, b)
	return resp.StatusCode, s
}

// add makes the description of a job known to the workers.
func (u *users) add(j *job) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.jobs[j.ID] = j
}

// submit submits a job as a user does, for up to 60 s, and says whether it was accepted.
func (u *users) submit(j *job) bool {
	u.add(j)
	body, _ := json.Marshal(j)
	u.world.rec.logf("user: submits %s", body)
	for until := time.Now().Add(time.Minute); time.Now().Before(until); time.Sleep(time.Second) {
		switch code, _ := u.ask(nil, http.MethodPost, "/api/jobs", body, 5*time.Second); code {
		case 200, 201:
			u.world.rec.sayf("user: %s is accepted", j.ID)
			return true
		case 400, 422:
			u.world.rec.sayf("user: %s is refused with %d", j.ID, code)
			return false
		}
	}
	return false
}

// poll asks for a job's state, through the load balancer if n is nil.
func (u *users) poll(n *node, id string) (int, status) {
	return u.ask(n, http.MethodGet, "/api/jobs/"+id, nil, 2*time.Second)
}

// withdraw cancels a job as a user does and returns the phase in the answer.
func (u *users) withdraw(n *node, id string) string {
	for until := time.Now().Add(time.Minute); time.Now().Before(until); time.Sleep(time.Second) {
		if code, s := u.ask(n, http.MethodPost, "/api/jobs/"+id+"/withdraw", nil, 5*time.Second); code == 200 {
			u.world.rec.sayf("user: %s is %s", id, s.Phase)
			return s.Phase
		}
		n = nil
	}
	return ""
}
