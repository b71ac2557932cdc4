package config

import (
	"fmt"

	"mulleinfall/internal/core"
	"mulleinfall/internal/sched"
)

// CoreConfig returns the settings that the core (package core, which makes all
// decisions) needs. The incarnation number differs each time the process is started.
func (s *Settings) CoreConfig(incarnation uint64) core.Config {
	params := &s.Params
	cfg := core.Config{
		Self: s.Name, Incarnation: incarnation, Teams: map[string]core.Team{},
		ReportInterval: seconds(params.Workers.ReportS), Lease: seconds(params.Workers.LeaseS), CancelWithin: seconds(params.Workers.CancelS),
		MaxClockSkew: seconds(params.SkewMS / 1000),
		StoreRPS:     params.State.RPS, StoreWriteRPS: params.State.WriteRPS,
		MaxValueBytes: int(params.State.ValueKB * 1024), MaxTxnOps: params.State.TxnOps,
		GangWaitTimeout: seconds(params.Workers.GangWaitS), GangPeerTimeout: seconds(params.Workers.GangPeerS),
		Version:  core.NewestVersion,
		CloudRPS: params.Cloud.RPS, ListLag: seconds(params.Cloud.ListLagS),
		MaxDirectCommands: s.SocketLimits().DirectCommands, MaxRequests: s.SocketLimits().Public,
		Tuning: s.Tuning, Goals: map[string]core.Goal{},
	}
	s.applyNextLimits(&cfg)
	s.addGoals(&cfg)
	for _, peer := range s.Peers {
		cfg.Peers = append(cfg.Peers, peer.Name)
	}
	for _, team := range params.Teams {
		cfg.Teams[team.Name] = core.Team{
			Guaranteed: sched.Resources{CPUs: team.CPUs, GPUs: team.GPUs},
			Limit:      sched.Resources{CPUs: team.CPUsMax, GPUs: team.GPUsMax},
		}
	}
	return cfg
}

// Warnings names the guarantees that the scheduler cannot give with these settings. There
// is one such case: with several controllers, a cancel_s that is too short compared with
// lease_s for the tasks of a cancelled job to be always gone within cancel_s.
func (s *Settings) Warnings() []string {
	cfg := s.CoreConfig(0)
	if bound := cfg.CancelBound(); len(cfg.Peers) > 0 && bound > cfg.CancelWithin {
		return []string{fmt.Sprintf("facts.workers.cancel_s: %v is less than the %v that tasks of a cancelled job may take to be gone under failures: at least six fifths of lease_s are needed", cfg.CancelWithin, bound)}
	}
	return nil
}

// applyNextLimits replaces each limit of the state service by the smaller of its
// current and its announced later value. The state service switches to the later limits
// without notice, and from then on a value that exceeds them can't be written.
func (s *Settings) applyNextLimits(cfg *core.Config) {
	next := &s.Params.State.Next
	if next.WriteRPS > 0 {
		cfg.StoreWriteRPS = min(cfg.StoreWriteRPS, next.WriteRPS)
	}
	if next.ValueKB > 0 {
		cfg.MaxValueBytes = min(cfg.MaxValueBytes, int(next.ValueKB*1024))
	}
	if next.TxnOps > 0 {
		cfg.MaxTxnOps = min(cfg.MaxTxnOps, next.TxnOps)
	}
}

// addGoals adds the objectives of each class of jobs. If a class has several
// "finished" or "deadline" objectives, the strictest of each kind applies; of several
// "wait" objectives the last one does.
func (s *Settings) addGoals(cfg *core.Config) {
	for _, objective := range s.Params.Objectives {
		goal := cfg.Goals[objective.Class]
		within := seconds(objective.WithinS)
		switch {
		case objective.Kind == "wait" && within > 0:
			goal.StartWithin = within
		case objective.Kind == "finished" && within > 0 && (goal.FinishWithin == 0 || within < goal.FinishWithin):
			goal.FinishWithin = within
		case objective.Kind == "deadline" && objective.Times > 0 && (goal.DueFactor == 0 || objective.Times < goal.DueFactor):
			goal.DueFactor = objective.Times
		}
		cfg.Goals[objective.Class] = goal
	}
}
