package main

import (
	"strings"
	"sync"
)

// checker keeps what really runs where, and checks the rules on it.
type checker struct {
	world  *world
	mu     sync.Mutex
	runs   map[string]map[string]uint64 // by task: the machines on which it is, with the attempt
	done   map[string]bool
	starts map[string]int
	broken []string
}

func newChecker(w *world) *checker {
	return &checker{world: w, runs: map[string]map[string]uint64{}, done: map[string]bool{}, starts: map[string]int{}}
}

// breakRule records that a rule is broken.
func (c *checker) breakRule(rule, text string) {
	c.broken = append(c.broken, rule)
	c.world.rec.sayf("BROKEN %s: %s", rule, text)
}

// on records that a task starts on a machine, that is, has its image there.
func (c *checker) on(piece string, try uint64, m *rented) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.world.rec.sayf("RUN %s try %d starts on %s in %s", piece, try, m.id, m.site)
	if c.runs[piece] == nil {
		c.runs[piece] = map[string]uint64{}
	}
	for host := range c.runs[piece] {
		if host != m.id {
			c.breakRule("ran_twice", piece+" starts on "+m.id+" while it is on "+host)
		}
	}
	c.runs[piece][m.id] = try
	c.starts[piece]++
}

// off records that a task is no longer on a machine.
func (c *checker) off(piece string, try uint64, host, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.world.rec.sayf("RUN %s try %d leaves %s: %s", piece, try, host, why)
	delete(c.runs[piece], host)
}

func (c *checker) isDone(piece string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done[piece]
}

func (c *checker) setDone(piece string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done[piece] = true
}

// machineOf returns a machine on which a task is, or "".
func (c *checker) machineOf(piece string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for host := range c.runs[piece] {
		return host
	}
	return ""
}

// countRunning counts the tasks of a job that are on machines.
func (c *checker) countRunning(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for piece, hosts := range c.runs {
		if strings.HasPrefix(piece, id+"/") && len(hosts) > 0 {
			n++
		}
	}
	return n
}

// startsOf counts the starts of the tasks of the jobs whose ids begin so.
func (c *checker) startsOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for piece, k := range c.starts {
		if strings.HasPrefix(piece, id) {
			n += k
		}
	}
	return n
}

// isBroken says whether a rule was broken.
func (c *checker) isBroken(rule string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.broken {
		if b == rule {
			return true
		}
	}
	return false
}
