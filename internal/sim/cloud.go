package sim

import (
	"fmt"
	"sort"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// Cloud simulates the cloud, which rents machines out and lists them.
type Cloud struct {
	sim          *Simulation
	Unavailable  bool                      // outage: every call gets 503
	machineCount int                       // number of machines rented so far, for their names
	rentals      map[string][]string       // hosts rented by each request, by request name
	machines     map[string]*rentedMachine // by host, removed ones included
	// BootTimeFactor multiplies boot times. 0 means 1.
	BootTimeFactor float64
}

// rentedMachine is a machine that is or was rented.
type rentedMachine struct {
	model.ListedMachine
	rentedAt  time.Duration
	removed   bool
	removedAt time.Duration
}

// serve handles a call of a controller. A rental request that is repeated after it got
// machines gets the same hosts again. The list of machines is Options.ListLag old.
func (c *Cloud) serve(call core.CloudCall) core.CloudResult {
	result := core.CloudResult{CallID: call.CallID, Status: 200}
	if c.Unavailable {
		result.Status = 503
		return result
	}
	switch call.Op {
	case core.CloudTypes:
		result.Types = c.sim.Options.Types
	case core.CloudRent:
		if hosts, ok := c.rentals[call.Request]; ok {
			result.Hosts = hosts
			return result
		}
		result.Hosts = c.Rent(call.Type, call.Zone, call.Spot, call.Count)
		if len(result.Hosts) == 0 {
			result.Status, result.Err = 503, "no capacity"
			return result
		}
		c.rentals[call.Request] = result.Hosts
	case core.CloudReturn:
		for _, host := range call.Hosts {
			c.RemoveMachine(host)
		}
	case core.CloudList:
		listedAt := c.sim.Now - c.sim.Options.ListLag
		for _, host := range sortedKeys(c.machines) {
			machine := c.machines[host]
			if machine.rentedAt > listedAt || machine.removed && machine.removedAt <= listedAt || host <= call.After {
				continue
			}
			listed := machine.ListedMachine
			listed.State = "running"
			listed.AgeS = (listedAt - machine.rentedAt).Seconds()
			if c.sim.Workers[listed.Endpoint] == nil {
				listed.State = "starting"
			}
			result.Listed = append(result.Listed, listed)
		}
		sort.Slice(result.Listed, func(a, b int) bool { return result.Listed[a].Host < result.Listed[b].Host })
	}
	return result
}

// Rent rents up to the requested number of machines, as far as Options.Capacity
// allows, boots them and returns their hosts. Boot times vary between 0.6 and 1.5 times
// the nominal one.
func (c *Cloud) Rent(typeName, zone string, spot bool, requested int) []string {
	var machineType *model.MachineType
	for i := range c.sim.Options.Types {
		if c.sim.Options.Types[i].Name == typeName {
			machineType = &c.sim.Options.Types[i]
		}
	}
	if machineType == nil {
		return nil
	}
	existing := 0
	for _, machine := range c.machines {
		if !machine.removed && machine.Type == typeName && machine.Zone == zone && machine.Spot == spot {
			existing++
		}
	}
	var hosts []string
	for ; requested > 0 && existing < c.sim.Options.Capacity; requested-- {
		existing++
		c.machineCount++
		host := fmt.Sprintf("n-%06d", c.machineCount)
		machine := &rentedMachine{ListedMachine: model.ListedMachine{Host: host, Endpoint: "w" + host, Type: typeName, Zone: zone, Spot: spot}, rentedAt: c.sim.Now}
		c.machines[host] = machine
		hosts = append(hosts, host)
		bootS := machineType.BootS * (0.6 + 0.9*c.sim.Rand.Float64())
		if c.BootTimeFactor > 0 {
			bootS *= c.BootTimeFactor
		}
		c.sim.After(time.Duration(bootS*float64(time.Second)), func() {
			if !machine.removed {
				c.sim.startWorker(machine.ListedMachine, machineType)
			}
		})
	}
	return hosts
}

// Reclaim gives the worker a reclaim notice and removes the machine after the notice
// period.
func (c *Cloud) Reclaim(host string, notice time.Duration) {
	if wk := c.sim.Workers["w"+host]; wk != nil {
		wk.reclaimAt, wk.hasChanges = c.sim.Now+notice, true
	}
	c.sim.After(notice, func() { c.RemoveMachine(host) })
}

// RemoveMachine ends a machine that the service has returned or the cloud reclaims. It
// does nothing if the machine doesn't exist any more.
func (c *Cloud) RemoveMachine(host string) {
	machine := c.machines[host]
	if machine == nil || machine.removed {
		return
	}
	machine.removed, machine.removedAt = true, c.sim.Now
	if wk := c.sim.Workers[machine.Endpoint]; wk != nil {
		wk.stop()
	}
}
