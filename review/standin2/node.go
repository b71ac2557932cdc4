//go:build review2

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

// node is a controller, which runs as a process of its own.
type node struct {
	w         *world
	index     int
	name      string
	api, back string
	settings  string
	mu        sync.Mutex
	cmd       *exec.Cmd // nil while it doesn't run
	kills     int       // how often it was killed for its memory
	exited    chan struct{}
}

// runCommand reads the run line of the deploy file.
func runCommand() ([]string, error) {
	b, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(b), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New("deploy/service.toml has no run line")
}

// makeNodes prepares the controllers and the addresses at which they reach the others, the
// state service and the cloud.
func (w *world) makeNodes(n int) error {
	for i := range n {
		api, err := freeAddr()
		if err != nil {
			return err
		}
		back, err := freeAddr()
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, &node{w: w, index: i, name: fmt.Sprintf("peon-%d", i), api: api, back: back})
	}
	for i, nd := range w.nodes {
		ln, err := listen()
		if err != nil {
			return err
		}
		go func() { _ = http.Serve(ln, w.store.handler()) }()
		others := []obj{}
		for k, other := range w.nodes {
			if k == i {
				continue
			}
			others = append(others, obj{"node_name": other.name, "domain": w.limits.zones[k], "peer_addr": other.back})
		}
		l := &w.limits
		settings := obj{
			"node_name": nd.name, "domain": l.zones[i], "api_addr": nd.api, "back": nd.back, "others": others,
			"endpoints": obj{"cloud": w.cloud.ln.Addr().String(), "state": ln.Addr().String()},
			"facts": obj{
				"count": n, "zones": l.zones,
				"teams":      []obj{{"name": l.team, "cpus": 0.0, "cpus_max": l.cpusMax, "gpus": 0.0, "gpus_max": 0.0}},
				"objectives": []obj{{"kind": "wait", "class": "apercu-direct", "within_s": 4.0, "share": 0.8}, {"kind": "finished", "class": "vignettes", "within_s": 120.0, "share": 0.88}},
				"workers":    obj{"report_s": l.reportS, "lease_s": l.leaseS, "gang_wait_s": 40.0, "gang_peer_s": 6.0, "cancel_s": l.cancelS},
				"state":      obj{"rps": l.rps, "write_rps": l.writeRPS, "value_kb": l.valueKB, "txn_ops": l.txnOps},
				"cloud":      obj{"rps": l.cloudRPS, "list_lag_s": l.listLagS},
				"quota":      obj{"core_share": l.coreShare, "ram_mb": l.ramMB, "fd_limit": l.files},
				"skew_ms":    1000.0,
			},
		}
		b, _ := json.MarshalIndent(settings, "", "  ")
		nd.settings = filepath.Join(w.dir, nd.name+".json")
		if err := os.WriteFile(nd.settings, b, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts a controller's process.
func (n *node) startNode() error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(command[0], append(command[1:], n.settings)...)
	cmd.Stderr, cmd.Stdout = log, log
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	if err := cmd.Start(); err != nil {
		return err
	}
	n.w.logf("%s starts as process %d", n.name, cmd.Process.Pid)
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		log.Close()
		n.w.logf("%s ended: %v", n.name, err)
		close(exited)
	}()
	return nil
}

func logLevel() string {
	if v := os.Getenv("NODE_LOG"); v != "" {
		return v
	}
	return "info"
}

// process returns the running process, or nil.
func (n *node) process() *exec.Cmd {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd
}

// isRunning says whether the process was started and not killed.
func (n *node) isRunning() bool { return n.process() != nil }

// kill ends the process without a signal that it could handle.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	n.w.logf("%s is killed", n.name)
	_ = n.cmd.Process.Kill()
	<-n.exited
	n.cmd = nil
}

// hasEnded says whether the process has ended by itself.
func (n *node) hasEnded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return false
	}
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// statusMB returns a figure of the process's memory.
func (n *node) statusMB(field string) float64 {
	cmd := n.process()
	if cmd == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), field)
	kb := 0.0
	_, _ = fmt.Sscan(rest, &kb)
	return kb / 1024
}
