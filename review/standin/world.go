package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// site holds the figures of a deployment, as the brief and its site file give them.
type site struct {
	name           string
	zones          []string
	reportS        float64
	leaseS         float64
	cancelS        float64
	stateRPS       float64
	stateWriteRPS  float64
	valueKB        float64
	txnOps         int
	cloudRPS       float64
	cloudLatencyMs int
	listLagS       float64
	coreShare      float64
	ramMB          float64
	fdLimit        int
	team           string
	teams          []team // nil: only the team above, without a guarantee and a limit
	types          []machineType
	capacity       int // machines of one type, zone and kind
	restartDelay   time.Duration
}

// team is a team with its guarantee and its limit; 0 means none.
type team struct {
	name          string
	cpus, cpusMax float64
}

func (s *site) lease() time.Duration  { return time.Duration(s.leaseS * float64(time.Second)) }
func (s *site) cancel() time.Duration { return time.Duration(s.cancelS * float64(time.Second)) }

// kerbrat is the first small deployment of the brief.
func kerbrat() *site {
	zones := []string{"quimper-a", "lorient-b", "rennes-c"}
	return &site{name: "kerbrat-engraving", zones: zones, reportS: 2.5, leaseS: 16, cancelS: 36, stateRPS: 100, stateWriteRPS: 30, valueKB: 16, txnOps: 24,
		cloudRPS: 4, cloudLatencyMs: 150, listLagS: 10, coreShare: 0.18, ramMB: 179, fdLimit: 1200, team: "gravure", capacity: 10, restartDelay: 8 * time.Second,
		types: []machineType{{Label: "biniou-quatre", CPUs: 4, MemoryGB: 32, LocalGB: 35, FetchGBPerS: 0.5, Price: 0.26, MarketPrice: 0.12, BootS: 20, Sites: zones}}}
}

// naipe is the second small deployment of the brief.
func naipe() *site {
	zones := []string{"montevideo-centro", "montevideo-cerro", "canelones-nube", "salto-norte"}
	return &site{name: "naipe-torneos", zones: zones, reportS: 1.5, leaseS: 10, cancelS: 30, stateRPS: 150, stateWriteRPS: 50, valueKB: 32, txnOps: 12,
		cloudRPS: 6, cloudLatencyMs: 120, listLagS: 5, coreShare: 0.072, ramMB: 98, fdLimit: 1000, team: "operaciones", capacity: 5, restartDelay: 3 * time.Second,
		types: []machineType{
			{Label: "truco-cuatro", CPUs: 4, MemoryGB: 16, LocalGB: 40, FetchGBPerS: 1, Price: 0.16, MarketPrice: 0.07, BootS: 40, Sites: zones},
			{Label: "envido-dieciseis", CPUs: 16, MemoryGB: 64, LocalGB: 60, FetchGBPerS: 1, Price: 0.63, MarketPrice: 0.27, BootS: 20, Sites: zones},
		}}
}

// world is a small deployment: three controller processes and the stand-ins around them.
type world struct {
	site  *site
	rec   *recorder
	dir   string // settings files and logs of the controllers
	state *stateService
	cloud *cloud
	users *users
	check *checker
	nodes []*node
	ready chan struct{} // closed when the nodes are known

	resets int // machines that were chosen to be reset

	randMu sync.Mutex
	random *rand.Rand
}

// node is one controller process.
type node struct {
	world    *world
	name     string
	zone     string
	api      string // its address for users and workers
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	closing  bool
}

// rand returns a number below n.
func (w *world) rand(n int) int {
	w.randMu.Lock()
	defer w.randMu.Unlock()
	return w.random.IntN(n)
}

// freePort returns a loopback address that is free now.
func freePort() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// newWorld prepares a deployment. Nothing runs before start.
func newWorld(s *site, record string) (*world, error) {
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{site: s, rec: rec, dir: dir, ready: make(chan struct{}), random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))}
	w.state, w.cloud = newStateService(s, rec), newCloud(w)
	w.check = newChecker(w)
	w.users = newUsers(w)
	return w, nil
}

// start writes the settings and starts the controllers, with the run line of the deploy
// file.
func (w *world) start() error {
	deploy, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return err
	}
	var run []string
	for _, line := range strings.Split(string(deploy), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			run = strings.Fields(strings.Trim(value, `"`))
		}
	}
	if len(run) == 0 {
		return errors.New("deploy/service.toml has no run line")
	}
	cloudAddr, err := w.cloud.listen()
	if err != nil {
		return err
	}
	backs := map[int]string{}
	for i := range 3 {
		n := &node{world: w, name: fmt.Sprintf("peon-%d", i), zone: w.site.zones[i]}
		if n.api, err = freePort(); err != nil {
			return err
		}
		if backs[i], err = freePort(); err != nil {
			return err
		}
		n.settings = filepath.Join(w.dir, n.name+".json")
		w.nodes = append(w.nodes, n)
	}
	close(w.ready)
	if w.site.teams == nil {
		w.site.teams = []team{{name: w.site.team}}
	}
	teams := []map[string]any{}
	for _, t := range w.site.teams {
		teams = append(teams, map[string]any{"name": t.name, "cpus": t.cpus, "cpus_max": t.cpusMax, "gpus": 0.0, "gpus_max": 0.0})
	}
	for i, n := range w.nodes {
		stateAddr, err := w.state.serveNode(n.name)
		if err != nil {
			return err
		}
		others := []map[string]string{}
		for k, other := range w.nodes {
			if k != i {
				others = append(others, map[string]string{"node_name": other.name, "domain": other.zone, "peer_addr": backs[k]})
			}
		}
		settings := map[string]any{
			"node_name": n.name, "domain": n.zone, "api_addr": n.api, "back": backs[i], "others": others,
			"endpoints": map[string]string{"cloud": cloudAddr, "state": stateAddr},
			"facts": map[string]any{
				"count": 3, "zones": w.site.zones,
				"teams":      teams,
				"objectives": []map[string]any{},
				"workers":    map[string]any{"report_s": w.site.reportS, "lease_s": w.site.leaseS, "gang_wait_s": 40.0, "gang_peer_s": 5.0, "cancel_s": w.site.cancelS},
				"state":      map[string]any{"rps": w.site.stateRPS, "write_rps": w.site.stateWriteRPS, "value_kb": w.site.valueKB, "txn_ops": w.site.txnOps},
				"cloud":      map[string]any{"rps": w.site.cloudRPS, "list_lag_s": w.site.listLagS},
				"quota":      map[string]any{"core_share": w.site.coreShare, "ram_mb": w.site.ramMB, "fd_limit": w.site.fdLimit},
				"skew_ms":    1000.0,
			},
		}
		b, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(n.settings, b, 0o600); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := n.start(run); err != nil {
			return err
		}
	}
	w.users.watchNodes()
	return nil
}

// start starts the process. It is started again some time after it has ended.
func (n *node) start(run []string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(n.world.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(run[0], append(append([]string{}, run[1:]...), n.settings)...)
	cmd.Env = append(os.Environ(), "LOG_LEVEL=debug")
	cmd.Stderr, cmd.Stdout = log, log
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	n.cmd, n.ended = cmd, make(chan struct{})
	n.world.rec.sayf("%s starts, process %d", n.name, cmd.Process.Pid)
	go func(ended chan struct{}) {
		err := cmd.Wait()
		log.Close()
		n.world.rec.sayf("%s has ended: %v", n.name, err)
		close(ended)
		n.mu.Lock()
		closing := n.closing
		n.mu.Unlock()
		if closing {
			return
		}
		time.Sleep(n.world.site.restartDelay)
		if err := n.start(run); err != nil {
			n.world.rec.sayf("%s does not start: %v", n.name, err)
		}
	}(n.ended)
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.world.rec.sayf("TROUBLE %s gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// stop ends all processes and machines.
func (w *world) stop() {
	for _, n := range w.nodes {
		n.mu.Lock()
		n.closing = true
		cmd, ended := n.cmd, n.ended
		n.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// leader returns the node that the leader key names, or nil.
func (w *world) leader() *node {
	var value struct {
		Node string `json:"node"`
	}
	if json.Unmarshal(w.state.value("mf/leader"), &value) != nil {
		return nil
	}
	for _, n := range w.nodes {
		if n.name == value.Node {
			return n
		}
	}
	return nil
}

// await waits until f is true, for d at most.
func (w *world) await(what string, d time.Duration, f func() bool) error {
	until := time.Now().Add(d)
	for !f() {
		if time.Now().After(until) {
			return fmt.Errorf("in vain: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.rec.sayf("%s", what)
	return nil
}
