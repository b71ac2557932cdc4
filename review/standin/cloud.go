package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// machineType is a machine type as the cloud offers it.
type machineType struct {
	Label       string   `json:"label"`
	CPUs        float64  `json:"cpus"`
	Cards       float64  `json:"cards"`
	MemoryGB    float64  `json:"memoryGb"`
	LocalGB     float64  `json:"localGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Price       float64  `json:"price"`
	MarketPrice float64  `json:"marketPrice"`
	BootS       float64  `json:"bootS"`
	Sites       []string `json:"sites"`
}

// cloud is the stand-in of the cloud. Machines boot in 0.6 times the
// nominal time of their type, the least that is usual.
type cloud struct {
	mu       sync.Mutex
	world    *world
	machines map[string]*rented
	hires    map[string][]string
	count    int
	requests bucket
}

type rented struct {
	id, flavor, site string
	loaners          bool
	at               time.Time
	worker           *worker // nil while it boots
	gone             time.Time
}

func newCloud(w *world) *cloud {
	return &cloud{world: w, machines: map[string]*rented{}, hires: map[string][]string{}, requests: bucket{rate: 2 * w.site.cloudRPS}}
}

func (c *cloud) listen() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(ln, http.HandlerFunc(c.serve)) }()
	return ln.Addr().String(), nil
}

func (c *cloud) typeOf(label string) *machineType {
	for i := range c.world.site.types {
		if c.world.site.types[i].Label == label {
			return &c.world.site.types[i]
		}
	}
	return nil
}

func (c *cloud) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	time.Sleep(time.Duration(c.world.site.cloudLatencyMs) * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requests.take(1) {
		answer(w, 429, map[string]string{"error": "too many requests"})
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /flavors":
		answer(w, 200, map[string]any{"flavors": c.world.site.types})
	case "GET /machines":
		c.list(w, r)
	case "POST /machines":
		c.hire(w, body)
	case "POST /machines/return":
		var req struct {
			Hosts []string `json:"hosts"`
		}
		if json.Unmarshal(body, &req) != nil || len(req.Hosts) > 100 {
			answer(w, 400, map[string]string{"error": "malformed"})
			return
		}
		for _, host := range req.Hosts {
			c.world.rec.logf("cloud: %s is returned", host)
			c.remove(host)
		}
		answer(w, 200, map[string]any{})
	default:
		answer(w, 400, map[string]string{"error": "malformed"})
	}
}

// remove ends a machine with everything on it.
func (c *cloud) remove(host string) {
	m := c.machines[host]
	if m == nil || !m.gone.IsZero() {
		return
	}
	m.gone = time.Now()
	if m.worker != nil {
		m.worker.stop()
	}
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, err := strconv.Atoi(q.Get("page"))
	if err != nil || page < 1 || page > 500 {
		page = 500
	}
	at := time.Now().Add(-time.Duration(c.world.site.listLagS * float64(time.Second)))
	type host struct {
		ID       string  `json:"id"`
		Endpoint string  `json:"endpoint"`
		Flavor   string  `json:"flavor"`
		Site     string  `json:"site"`
		Loaners  bool    `json:"loaners"`
		Phase    string  `json:"phase"`
		AgeS     float64 `json:"ageS"`
	}
	hosts := []host{}
	var names []string
	for id := range c.machines {
		names = append(names, id)
	}
	sort.Strings(names)
	truncated := false
	for _, id := range names {
		m := c.machines[id]
		if id <= q.Get("after") || m.at.After(at) || !m.gone.IsZero() && m.gone.Before(at) {
			continue
		}
		if len(hosts) == page {
			truncated = true
			break
		}
		h := host{ID: id, Flavor: m.flavor, Site: m.site, Loaners: m.loaners, Phase: "starting", AgeS: at.Sub(m.at).Seconds()}
		if m.worker != nil {
			h.Phase, h.Endpoint = "running", m.worker.endpoint
		}
		hosts = append(hosts, h)
	}
	answer(w, 200, map[string]any{"hosts": hosts, "truncated": truncated})
}

func (c *cloud) hire(w http.ResponseWriter, body []byte) {
	var req struct {
		Hire    string `json:"hire"`
		Flavor  string `json:"flavor"`
		Site    string `json:"site"`
		Loaners bool   `json:"loaners"`
		HowMany int    `json:"howMany"`
	}
	if json.Unmarshal(body, &req) != nil || req.Hire == "" || req.HowMany < 1 || req.HowMany > 50 || c.typeOf(req.Flavor) == nil {
		answer(w, 400, map[string]string{"error": "malformed"})
		return
	}
	if hosts, ok := c.hires[req.Hire]; ok {
		answer(w, 200, map[string]any{"hosts": hosts})
		return
	}
	have := 0
	for _, m := range c.machines {
		if m.gone.IsZero() && m.flavor == req.Flavor && m.site == req.Site && m.loaners == req.Loaners {
			have++
		}
	}
	var hosts []string
	boot := time.Duration(0.6 * c.typeOf(req.Flavor).BootS * float64(time.Second))
	for i := 0; i < req.HowMany && have+i < c.world.site.capacity; i++ {
		hosts = append(hosts, c.rent(req.Flavor, req.Site, req.Loaners, boot))
	}
	c.world.rec.logf("cloud: %s for %d %s in %s (loaners %v): %v", req.Hire, req.HowMany, req.Flavor, req.Site, req.Loaners, hosts)
	if len(hosts) == 0 {
		answer(w, 503, map[string]string{"error": "no capacity"})
		return
	}
	c.hires[req.Hire] = hosts
	answer(w, 200, map[string]any{"hosts": hosts})
}

// rent adds a machine that is up after boot.
func (c *cloud) rent(flavor, site string, loaners bool, boot time.Duration) string {
	c.count++
	id := fmt.Sprintf("n-%06d", c.count)
	m := &rented{id: id, flavor: flavor, site: site, loaners: loaners, at: time.Now()}
	c.machines[id] = m
	time.AfterFunc(boot, func() {
		wk, err := newWorker(c.world, m, *c.typeOf(flavor))
		if err != nil {
			c.world.rec.logf("cloud: %s does not come up: %v", id, err)
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if !m.gone.IsZero() {
			wk.stop()
			return
		}
		m.worker = wk
	})
	return id
}

// workerOf returns the worker of a machine, or nil.
func (c *cloud) workerOf(host string) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.machines[host]; m != nil {
		return m.worker
	}
	return nil
}
