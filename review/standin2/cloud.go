//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// cloud plays the cloud. Its list of machines lags.
type cloud struct {
	w        *world
	mu       sync.Mutex
	machines map[string]*machine
	hires    map[string][]string
	last     int
	requests bucket
	capacity int // machines that it rents out at most
	ln       net.Listener
	rented   int
	returned int
}

// machine is a machine of the cloud.
type machine struct {
	id, endpoint, flavor, site string
	loaners                    bool
	hiredAt                    time.Time
	up                         bool
	worker                     *worker
}

func newCloud(w *world) (*cloud, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	c := &cloud{w: w, machines: map[string]*machine{}, hires: map[string][]string{}, ln: ln, capacity: 10}
	c.requests.rate = w.limits.cloudRPS * 2 // bursts of two seconds' worth
	go func() { _ = http.Serve(ln, c) }()
	return c, nil
}

func (c *cloud) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests.rate = c.w.limits.cloudRPS
	if !c.requests.take(1) {
		reply(rw, 429, obj{})
		return
	}
	l := &c.w.limits
	switch r.Method + " " + r.URL.Path {
	case "GET /flavors":
		reply(rw, 200, obj{"flavors": []obj{{"label": l.flavor, "cpus": l.flavorCPUs, "cards": 0.0, "memoryGb": l.flavorMemGB, "localGb": 100.0,
			"fetchGbPerS": l.fetchGBPerS, "price": l.price, "marketPrice": l.spotPrice, "bootS": l.bootS, "sites": l.zones}}})
	case "POST /machines":
		c.hire(rw, r)
	case "POST /machines/return":
		var req struct {
			Hosts []string `json:"hosts"`
		}
		if json.NewDecoder(r.Body).Decode(&req) != nil || len(req.Hosts) > 100 {
			reply(rw, 400, obj{})
			return
		}
		for _, id := range req.Hosts {
			if m := c.machines[id]; m != nil {
				delete(c.machines, id)
				c.returned++
				c.w.logf("cloud: %s returned", id)
				if m.worker != nil {
					m.worker.end()
				}
			}
		}
		reply(rw, 200, obj{})
	case "GET /machines":
		c.list(rw, r)
	default:
		reply(rw, 400, obj{})
	}
}

func (c *cloud) hire(rw http.ResponseWriter, r *http.Request) {
	var req struct {
		Hire    string `json:"hire"`
		Flavor  string `json:"flavor"`
		Site    string `json:"site"`
		Loaners bool   `json:"loaners"`
		HowMany int    `json:"howMany"`
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil || req.HowMany < 1 || req.HowMany > 50 || req.Flavor != c.w.limits.flavor {
		reply(rw, 400, obj{})
		return
	}
	if hosts := c.hires[req.Hire]; hosts != nil {
		reply(rw, 200, obj{"hosts": hosts})
		return
	}
	var hosts []string
	for len(hosts) < req.HowMany && len(c.machines) < c.capacity {
		m := c.add(req.Site, req.Loaners)
		hosts = append(hosts, m.id)
		c.rented++
		boot := seconds(c.w.limits.bootS * (0.6 + 0.9*c.w.random.Float64()))
		time.AfterFunc(boot, func() { c.boot(m) })
	}
	if hosts == nil {
		reply(rw, 503, obj{"error": "no capacity"})
		return
	}
	c.hires[req.Hire] = hosts
	c.w.logf("cloud: %s rents %v in %s", req.Hire, hosts, req.Site)
	reply(rw, 200, obj{"hosts": hosts})
}

func (c *cloud) add(site string, loaners bool) *machine {
	c.last++
	m := &machine{id: fmt.Sprintf("n-%06d", c.last), flavor: c.w.limits.flavor, site: site, loaners: loaners, hiredAt: time.Now()}
	c.machines[m.id] = m
	return m
}

// addUp adds a machine that is up from the start.
func (c *cloud) addUp(site string) *worker {
	c.mu.Lock()
	m := c.add(site, false)
	m.hiredAt = time.Now().Add(-time.Hour)
	c.mu.Unlock()
	c.boot(m)
	return m.worker
}

func (c *cloud) boot(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines[m.id] == nil {
		return
	}
	wk, err := startWorker(c.w, m)
	if err != nil {
		c.w.logf("cloud: %s does not boot: %v", m.id, err)
		return
	}
	m.up, m.worker, m.endpoint = true, wk, wk.endpoint
}

func (c *cloud) list(rw http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	page, err := strconv.Atoi(r.URL.Query().Get("page"))
	if err != nil || page < 1 || page > 500 {
		page = 500
	}
	ids := []string{}
	for id := range c.machines {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	hosts, more := []obj{}, false
	for _, id := range ids {
		m := c.machines[id]
		age := time.Since(m.hiredAt).Seconds() - c.w.limits.listLagS
		if id <= after || age < 0 {
			continue
		}
		if len(hosts) == page {
			more = true
			break
		}
		phase := "starting"
		if m.up {
			phase = "running"
		}
		hosts = append(hosts, obj{"id": id, "endpoint": m.endpoint, "flavor": m.flavor, "site": m.site, "loaners": m.loaners, "phase": phase, "ageS": age})
	}
	reply(rw, 200, obj{"hosts": hosts, "truncated": more})
}
