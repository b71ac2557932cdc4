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
	sim          *Simulation
	Unavailable  bool
	machineCount int
	rentals      map[string][]string
	machines     map[string]*rentedMachine
	// BootTimeFactor multiplies boot times, 0 means 1.
	BootTimeFactor float64
}

type rentedMachine struct {
	model.ListedMachine
	rentedAt  time.Duration
	removed   bool
	removedAt time.Duration
}

func (c *Cloud) serve(call core.CloudCall) core.CloudResult {
	d := core.CloudResult{CallID: call.CallID, Status: 200}
	if c.Unavailable {
		d.Status = 503
		return d
	}
	switch call.Op {
	case core.CloudTypes:
		d.Types = c.sim.Options.Types
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
			c.RemoveMachine(h)
		}
	case core.CloudList:
		then := c.sim.Now - c.sim.Options.ListLag
		for _, h := range sortedKeys(c.machines) {
			m := c.machines[h]
			if m.rentedAt > then || m.removed && m.removedAt <= then || h <= call.After {
				continue
			}
			l := m.ListedMachine
			l.State = "running"
			l.AgeS = (then - m.rentedAt).Seconds()
			if c.sim.Workers[l.Endpoint] == nil {
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
	for i := range c.sim.Options.Types {
		if c.sim.Options.Types[i].Name == typ {
			t = &c.sim.Options.Types[i]
		}
	}
	if t == nil {
		return nil
	}
	have := 0
	for _, m := range c.machines {
		if !m.removed && m.Type == typ && m.Zone == zone && m.Spot == spot {
			have++
		}
	}
	var hosts []string
	for ; n > 0 && have < c.sim.Options.Capacity; n-- {
		have++
		c.machineCount++
		h := fmt.Sprintf("n-%06d", c.machineCount)
		m := &rentedMachine{ListedMachine: model.ListedMachine{Host: h, Endpoint: "w" + h, Type: typ, Zone: zone, Spot: spot}, rentedAt: c.sim.Now}
		c.machines[h] = m
		hosts = append(hosts, h)
		boot := t.BootS * (0.6 + 0.9*c.sim.Rand.Float64())
		if c.BootTimeFactor > 0 {
			boot *= c.BootTimeFactor
		}
		c.sim.After(time.Duration(boot*float64(time.Second)), func() {
			if !m.removed {
				c.sim.startWorker(m.ListedMachine, t)
			}
		})
	}
	return hosts
}

// Reclaim takes a machine back after notice.
func (c *Cloud) Reclaim(host string, notice time.Duration) {
	if wk := c.sim.Workers["w"+host]; wk != nil {
		wk.reclaimAt, wk.hasChanges = c.sim.Now+notice, true
	}
	c.sim.After(notice, func() { c.RemoveMachine(host) })
}

// RemoveMachine ends a machine: returned by us, or taken back.
func (c *Cloud) RemoveMachine(host string) {
	m := c.machines[host]
	if m == nil || m.removed {
		return
	}
	m.removed, m.removedAt = true, c.sim.Now
	if wk := c.sim.Workers[m.Endpoint]; wk != nil {
		wk.stop()
	}
}
