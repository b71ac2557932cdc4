package config

import (
	"fmt"

	"mulleinfall/internal/core"
	"mulleinfall/internal/sched"
)

// CoreConfig is the part of the settings that the core needs. Boot differs between
// lives of the process.
func (s *Settings) CoreConfig(boot uint64) core.Config {
	p := &s.Params
	c := core.Config{
		Self: s.Name, Incarnation: boot, Teams: map[string]core.Team{},
		ReportInterval: seconds(p.Workers.ReportS), Lease: seconds(p.Workers.LeaseS), CancelWithin: seconds(p.Workers.CancelS),
		MaxClockSkew: seconds(p.SkewMS / 1000),
		StoreRPS:     p.State.RPS, StoreWriteRPS: p.State.WriteRPS,
		MaxValueBytes: int(p.State.ValueKB * 1024), MaxTxnOps: p.State.TxnOps,
		GangWaitTimeout: seconds(p.Workers.GangWaitS), GangPeerTimeout: seconds(p.Workers.GangPeerS),
		Version:  core.NewestVersion,
		CloudRPS: p.Cloud.RPS, ListLag: seconds(p.Cloud.ListLagS),
		MaxDirectCommands: s.SocketLimits().DirectCommands, MaxRequests: s.SocketLimits().Public,
		Tuning: s.Tuning, Goals: map[string]core.Goal{},
	}
	s.applyNextLimits(&c)
	s.addGoals(&c)
	for _, o := range s.Peers {
		c.Peers = append(c.Peers, o.Name)
	}
	for _, t := range p.Teams {
		c.Teams[t.Name] = core.Team{
			Guaranteed: sched.Resources{CPUs: t.CPUs, GPUs: t.GPUs},
			Limit:      sched.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax},
		}
	}
	return c
}

// Warnings are what the service can't promise with these settings.
func (s *Settings) Warnings() []string {
	c := s.CoreConfig(0)
	if bound := c.CancelBound(); len(c.Peers) > 0 && bound > c.CancelWithin {
		return []string{fmt.Sprintf("facts.workers.cancel_s: %v is less than the %v that tasks of a cancelled job may take to be gone under failures: at least six fifths of lease_s are needed", c.CancelWithin, bound)}
	}
	return nil
}

// applyNextLimits takes the smaller of the state service's limits now and later
// from the start: the change comes without notice, and a value that was too large
// by then could not be written.
func (s *Settings) applyNextLimits(c *core.Config) {
	next := &s.Params.State.Next
	if next.WriteRPS > 0 {
		c.StoreWriteRPS = min(c.StoreWriteRPS, next.WriteRPS)
	}
	if next.ValueKB > 0 {
		c.MaxValueBytes = min(c.MaxValueBytes, int(next.ValueKB*1024))
	}
	if next.TxnOps > 0 {
		c.MaxTxnOps = min(c.MaxTxnOps, next.TxnOps)
	}
}

// addGoals takes what is expected of each class of jobs: the most demanding of
// each kind of aim.
func (s *Settings) addGoals(c *core.Config) {
	for _, o := range s.Params.Objectives {
		g := c.Goals[o.Class]
		within := seconds(o.WithinS)
		switch {
		case o.Kind == "wait" && within > 0:
			g.StartWithin = within
		case o.Kind == "finished" && within > 0 && (g.FinishWithin == 0 || within < g.FinishWithin):
			g.FinishWithin = within
		case o.Kind == "deadline" && o.Times > 0 && (g.DueFactor == 0 || o.Times < g.DueFactor):
			g.DueFactor = o.Times
		}
		c.Goals[o.Class] = g
	}
}
