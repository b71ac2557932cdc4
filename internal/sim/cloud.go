package sim

import (
	"fmt"
	"sort"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// Cloud stands in for the cloud.
type Cloud struct {
	w        *World
	Out      bool
	next     int
	rentals  map[string][]string
	machines map[string]*rented
	// Slow multiplies boot times, 0 means 1.
	Slow float64
}

type rented struct {
	model.ListedMachine
	at   time.Duration
	gone bool
	end  time.Duration
}

func (c *Cloud) serve(call core.CloudCall) core.CloudResult {
	d := core.CloudResult{CallID: call.CallID, Status: 200}
	if c.Out {
		d.Status = 503
		return d
	}
	switch call.Op {
	case core.CloudTypes:
		d.Types = c.w.Opt.Types
	case core.CloudRent:
		if old, ok := c.rentals[call.Request]; ok {
			d.Hosts = old
			return d
		}
		d.Hosts = c.Rent(call.Type, call.Zone, call.Spot, call.Count)
		if len(d.Hosts) == 0 {
			d.Status, d.Err = 503, "no capacity"
			return d
		}
		c.rentals[call.Request] = d.Hosts
	case core.CloudReturn:
		for _, h := range call.Hosts {
			c.Take(h)
		}
	case core.CloudList:
		then := c.w.Now - c.w.Opt.ListLag
		for _, h := range sortedKeys(c.machines) {
			m := c.machines[h]
			if m.at > then || m.gone && m.end <= then || h <= call.After {
				continue
			}
			l := m.ListedMachine
			l.State = "running"
			l.AgeS = (then - m.at).Seconds()
			if c.w.Workers[l.Endpoint] == nil {
				l.State = "starting"
			}
			d.Listed = append(d.Listed, l)
		}
		sort.Slice(d.Listed, func(a, b int) bool { return d.Listed[a].Host < d.Listed[b].Host })
	}
	return d
}

// Rent boots machines, as the service's requests do.
func (c *Cloud) Rent(typ, zone string, spot bool, n int) []string {
	var t *model.MachineType
	for i := range c.w.Opt.Types {
		if c.w.Opt.Types[i].Name == typ {
			t = &c.w.Opt.Types[i]
		}
	}
	if t == nil {
		return nil
	}
	have := 0
	for _, m := range c.machines {
		if !m.gone && m.Type == typ && m.Zone == zone && m.Spot == spot {
			have++
		}
	}
	var hosts []string
	for ; n > 0 && have < c.w.Opt.Capacity; n-- {
		have++
		c.next++
		h := fmt.Sprintf("n-%06d", c.next)
		m := &rented{ListedMachine: model.ListedMachine{Host: h, Endpoint: "w" + h, Type: typ, Zone: zone, Spot: spot}, at: c.w.Now}
		c.machines[h] = m
		hosts = append(hosts, h)
		boot := t.BootS * (0.6 + 0.9*c.w.Rnd.Float64())
		if c.Slow > 0 {
			boot *= c.Slow
		}
		c.w.After(time.Duration(boot*float64(time.Second)), func() {
			if !m.gone {
				c.w.startWorker(m.ListedMachine, t)
			}
		})
	}
	return hosts
}

// Recall takes a machine back after notice.
func (c *Cloud) Recall(host string, notice time.Duration) {
	if wk := c.w.Workers["w"+host]; wk != nil {
		wk.recallAt, wk.changed = c.w.Now+notice, true
	}
	c.w.After(notice, func() { c.Take(host) })
}

// Take ends a machine: returned by us, or taken back.
func (c *Cloud) Take(host string) {
	m := c.machines[host]
	if m == nil || m.gone {
		return
	}
	m.gone, m.end = true, c.w.Now
	if wk := c.w.Workers[m.Endpoint]; wk != nil {
		wk.stop()
	}
}
