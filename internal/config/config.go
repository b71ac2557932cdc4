// Package config reads the settings: the platform's JSON file, which names
// this controller and describes its deployment, and the operators' optional
// HCL file, which tunes how it serves. Both are checked before anything runs.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsimple"

	"mulleinfall/internal/core"
	"mulleinfall/internal/sched"
)

// Platform is the file that the platform hands over. Unknown fields are
// ignored: new ones may come.
type Platform struct {
	Name     string `json:"node_name"`
	Listen   string `json:"api_addr"`
	PeerAddr string `json:"back"`
	Peers    []Peer `json:"others"`
	Services struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"endpoints"`
	Params struct {
		Nodes int    `json:"count"`
		Teams []Team `json:"teams"`
		// Objectives repeat the aims on starting and finishing.
		Objectives []Objective `json:"objectives"`
		Workers    struct {
			ReportS float64 `json:"report_s"`
			LeaseS  float64 `json:"lease_s"`
			CancelS float64 `json:"cancel_s"`
			// A gang's task waits so long for the others, and notices so soon
			// that one is gone. 0: not given, and gangs are refused.
			GangWaitS float64 `json:"gang_wait_s"`
			GangPeerS float64 `json:"gang_peer_s"`
		} `json:"workers"`
		State struct {
			RPS      float64 `json:"rps"`
			WriteRPS float64 `json:"write_rps"`
			ValueKB  float64 `json:"value_kb"`
			TxnOps   int     `json:"txn_ops"`
			// Next holds the limits that the state service will have at some
			// later time, without notice; 0: no other than now.
			Next struct {
				WriteRPS float64 `json:"write_rps"`
				ValueKB  float64 `json:"value_kb"`
				TxnOps   int     `json:"txn_ops"`
			} `json:"next"`
		} `json:"state"`
		Cloud struct {
			RPS      float64 `json:"rps"`
			ListLagS float64 `json:"list_lag_s"`
		} `json:"cloud"`
		Limits struct {
			CoreShare float64 `json:"core_share"`
			MemoryMB  float64 `json:"ram_mb"`
			Files     int     `json:"fd_limit"`
		} `json:"quota"`
		SkewMS float64 `json:"skew_ms"`
	} `json:"facts"`
}

// Peer is another controller.
type Peer struct {
	Name string `json:"node_name"`
	Addr string `json:"peer_addr"`
}

// Team is a team's guarantee and limit.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is an aim for a class of jobs. Kinds that we don't know are
// ignored.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Times   float64 `json:"times"`
}

// Operator is the operators' own file. Whatever it leaves out keeps its
// default.
type Operator struct {
	Dispatch *Dispatch `hcl:"dispatch,block"`
	State    *State    `hcl:"state,block"`
	Fleet    *Fleet    `hcl:"fleet,block"`
}

// Dispatch tunes the dispatch rule.
type Dispatch struct {
	SkipLimit *int     `hcl:"skip_limit,optional"`
	BudgetMS  *float64 `hcl:"budget_ms,optional"`
}

// State tunes what is written to the state service.
type State struct {
	WriteEveryS *float64 `hcl:"write_every_s,optional"`
}

// Fleet tunes renting and returning.
type Fleet struct {
	IdleBoots     *float64 `hcl:"idle_boots,optional"`
	GiveUpBoots   *float64 `hcl:"give_up_boots,optional"`
	Patience      *float64 `hcl:"patience,optional"`
	SpareServices *int     `hcl:"spare_services,optional"`
	SpareGangs    *int     `hcl:"spare_gangs,optional"`
	MaxMachines   *int     `hcl:"max_machines,optional"`
}

// Settings is everything, checked.
type Settings struct {
	Platform
	Tuning core.Tuning
	Budget time.Duration // of one round of decisions
}

// Load reads and checks both files; operator may be empty. The error is one
// line that names file, field and reason.
func Load(platform, operator string) (*Settings, error) {
	b, err := os.ReadFile(platform)
	if err != nil {
		return nil, err
	}
	s := &Settings{Tuning: core.DefaultTuning()}
	if err := json.Unmarshal(b, &s.Platform); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("%s: %s: want %s, not a JSON %s", platform, te.Field, te.Type, te.Value)
		}
		return nil, fmt.Errorf("%s: not valid JSON: %w", platform, err)
	}
	if err := s.Platform.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", platform, err)
	}
	if k := s.Sockets(); k.Public < k.Other {
		return nil, fmt.Errorf("%s: facts.quota.fd_limit: %d is too few for %d controllers", platform, s.Params.Limits.Files, len(s.Peers)+1)
	}
	s.Budget = seconds(s.Params.Workers.ReportS) / 30
	if operator != "" {
		if err := s.operate(operator); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// leastMemoryMB is what a controller takes at rest (some 20 MB resident), and a
// little for its work.
const leastMemoryMB = 24

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

func (p *Platform) check() error {
	pr := &p.Params
	for _, f := range []struct{ field, value string }{
		{"node_name", p.Name}, {"api_addr", p.Listen}, {"back", p.PeerAddr},
		{"endpoints.cloud", p.Services.Cloud}, {"endpoints.state", p.Services.State},
	} {
		if f.value == "" {
			return fmt.Errorf("%s: missing", f.field)
		}
		if f.field != "node_name" {
			if _, _, err := net.SplitHostPort(f.value); err != nil {
				return fmt.Errorf("%s: %q is not host:port", f.field, f.value)
			}
		}
	}
	seen := map[string]bool{p.Name: true}
	for i, o := range p.Peers {
		if o.Name == "" || seen[o.Name] {
			return fmt.Errorf("others[%d].node_name: %q is empty or stands twice", i, o.Name)
		}
		seen[o.Name] = true
		if _, _, err := net.SplitHostPort(o.Addr); err != nil {
			return fmt.Errorf("others[%d].peer_addr: %q is not host:port", i, o.Addr)
		}
	}
	for _, f := range []struct {
		field string
		value float64
	}{
		{"facts.workers.report_s", pr.Workers.ReportS}, {"facts.workers.lease_s", pr.Workers.LeaseS},
		{"facts.workers.cancel_s", pr.Workers.CancelS},
		{"facts.state.rps", pr.State.RPS}, {"facts.state.write_rps", pr.State.WriteRPS},
		{"facts.state.value_kb", pr.State.ValueKB}, {"facts.state.txn_ops", float64(pr.State.TxnOps)},
		{"facts.cloud.rps", pr.Cloud.RPS},
		{"facts.quota.core_share", pr.Limits.CoreShare}, {"facts.quota.ram_mb", pr.Limits.MemoryMB},
		{"facts.quota.fd_limit", float64(pr.Limits.Files)},
	} {
		if !(f.value > 0) || math.IsInf(f.value, 0) {
			return fmt.Errorf("%s: %v is not above 0", f.field, f.value)
		}
	}
	for _, f := range []struct {
		field string
		value float64
	}{
		{"facts.workers.gang_wait_s", pr.Workers.GangWaitS}, {"facts.workers.gang_peer_s", pr.Workers.GangPeerS},
		{"facts.state.next.write_rps", pr.State.Next.WriteRPS}, {"facts.state.next.value_kb", pr.State.Next.ValueKB},
		{"facts.state.next.txn_ops", float64(pr.State.Next.TxnOps)},
	} {
		if !(f.value >= 0) || math.IsInf(f.value, 0) {
			return fmt.Errorf("%s: %v is below 0", f.field, f.value)
		}
	}
	if pr.Limits.MemoryMB < leastMemoryMB {
		return fmt.Errorf("facts.quota.ram_mb: %v: at least %v are needed", pr.Limits.MemoryMB, leastMemoryMB)
	}
	if pr.SkewMS < 0 {
		return fmt.Errorf("facts.skew_ms: %v is below 0", pr.SkewMS)
	}
	if pr.Cloud.ListLagS < 0 {
		return fmt.Errorf("facts.cloud.list_lag_s: %v is below 0", pr.Cloud.ListLagS)
	}
	if pr.State.TxnOps < 2 {
		return fmt.Errorf("facts.state.txn_ops: %d: at least 2 are needed", pr.State.TxnOps)
	}
	if pr.State.ValueKB < 6 {
		return fmt.Errorf("facts.state.value_kb: %v: at least 6 are needed", pr.State.ValueKB)
	}
	if pr.Workers.LeaseS < 2*pr.Workers.ReportS {
		return fmt.Errorf("facts.workers.lease_s: %v is less than two reports", pr.Workers.LeaseS)
	}
	if pr.Nodes != 0 && pr.Nodes != len(p.Peers)+1 {
		return fmt.Errorf("facts.count: %d, but others names %d", pr.Nodes, len(p.Peers))
	}
	for i, t := range pr.Teams {
		if t.Name == "" {
			return fmt.Errorf("facts.teams[%d].name: missing", i)
		}
		if t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			return fmt.Errorf("facts.teams[%d]: amounts of %q are below 0", i, t.Name)
		}
	}
	return nil
}

func (s *Settings) operate(path string) error {
	var o Operator
	if err := hclsimple.DecodeFile(path, nil, &o); err != nil {
		var diags hcl.Diagnostics
		if errors.As(err, &diags) && len(diags) > 0 {
			d := diags[0]
			where := path
			if d.Subject != nil {
				where = fmt.Sprintf("%s:%d", path, d.Subject.Start.Line)
			}
			return fmt.Errorf("%s: %s: %s", where, d.Summary, strings.ReplaceAll(d.Detail, "\n", " "))
		}
		return err
	}
	bad := func(field string, v any, why string) error {
		return fmt.Errorf("%s: %s: %v %s", path, field, v, why)
	}
	if d := o.Dispatch; d != nil {
		if v := d.SkipLimit; v != nil {
			if *v < 0 {
				return bad("dispatch.skip_limit", *v, "is below 0")
			}
			s.Tuning.SkipLimit = *v
		}
		if v := d.BudgetMS; v != nil {
			if !(*v > 0) || *v > 10_000 {
				return bad("dispatch.budget_ms", *v, "is not above 0 and at most 10000")
			}
			s.Budget = seconds(*v / 1000)
		}
	}
	if d := o.State; d != nil && d.WriteEveryS != nil {
		if v := *d.WriteEveryS; !(v > 0) || v > 60 {
			return bad("state.write_every_s", v, "is not above 0 and at most 60")
		}
		s.Tuning.WriteEvery = seconds(*d.WriteEveryS)
	}
	if f := o.Fleet; f != nil {
		if v := f.IdleBoots; v != nil {
			if !(*v >= 0) || *v > 1e6 {
				return bad("fleet.idle_boots", *v, "is not within 0 and 1000000")
			}
			s.Tuning.IdleReturn = *v
		}
		if v := f.GiveUpBoots; v != nil {
			if !(*v >= 1) || *v > 1e6 {
				return bad("fleet.give_up_boots", *v, "is not within 1 and 1000000")
			}
			s.Tuning.GiveUpBoot = *v
		}
		if v := f.Patience; v != nil {
			if !(*v >= 0) || *v > 1 {
				return bad("fleet.patience", *v, "is not within 0 and 1")
			}
			s.Tuning.Patience = *v
		}
		if v := f.SpareServices; v != nil {
			if *v < 0 {
				return bad("fleet.spare_services", *v, "is below 0")
			}
			s.Tuning.SpareServices = *v
		}
		if v := f.SpareGangs; v != nil {
			if *v < 0 {
				return bad("fleet.spare_gangs", *v, "is below 0")
			}
			s.Tuning.SpareGangs = *v
		}
		if v := f.MaxMachines; v != nil {
			if *v < 1 {
				return bad("fleet.max_machines", *v, "is below 1")
			}
			s.Tuning.MaxMachines = *v
		}
	}
	return nil
}

// Sockets is how a process shares out the sockets that it may have.
type Sockets struct {
	Public int // users' and workers' connections
	Direct int // direct commands under way
	Idle   int // connections to workers that are kept for the next command
	Other  int // state service, cloud, controllers, listeners and the runtime's own
}

// perController bounds the connections from and to one other controller: one
// each way, and as many again that were cut off and are not given up yet.
const perController = 6

// Sockets shares out fd_limit. Workers keep their connections, and after an
// election all of them come to one controller, so nearly all are public.
func (s *Settings) Sockets() Sockets {
	n := s.Params.Limits.Files
	k := Sockets{Direct: max(n/16, 1), Idle: n / 16, Other: max(n/16, 16+perController*len(s.Peers))}
	k.Public = n - k.Direct - k.Idle - k.Other
	return k
}

// Core is the part of the settings that the core needs. Boot differs between
// lives of the process.
func (s *Settings) Core(boot uint64) core.Config {
	p := &s.Params
	c := core.Config{
		Self: s.Name, Boot: boot, Teams: map[string]core.Team{},
		ReportEvery: seconds(p.Workers.ReportS), Lease: seconds(p.Workers.LeaseS), CancelIn: seconds(p.Workers.CancelS),
		Skew:     seconds(p.SkewMS / 1000),
		StoreRPS: p.State.RPS, StoreWrites: p.State.WriteRPS,
		ValueBytes: int(p.State.ValueKB * 1024), TxnOps: p.State.TxnOps,
		GangWait: seconds(p.Workers.GangWaitS), GangPeer: seconds(p.Workers.GangPeerS),
		Version:  core.NewestVersion,
		CloudRPS: p.Cloud.RPS, ListLag: seconds(p.Cloud.ListLagS),
		Directs: s.Sockets().Direct, Requests: s.Sockets().Public,
		Tuning: s.Tuning, Goals: map[string]core.Goal{},
	}
	// The smaller of both limits holds from the start: the change comes without
	// notice, and a value that was too large by then could not be written.
	if v := p.State.Next.WriteRPS; v > 0 {
		c.StoreWrites = min(c.StoreWrites, v)
	}
	if v := p.State.Next.ValueKB; v > 0 {
		c.ValueBytes = min(c.ValueBytes, int(v*1024))
	}
	if v := p.State.Next.TxnOps; v > 0 {
		c.TxnOps = min(c.TxnOps, v)
	}
	for _, o := range p.Objectives {
		g := c.Goals[o.Class]
		within := seconds(o.WithinS)
		switch {
		case o.Kind == "wait" && within > 0:
			g.Start = within
		case o.Kind == "finished" && within > 0 && (g.Finish == 0 || within < g.Finish):
			g.Finish = within
		case o.Kind == "deadline" && o.Times > 0 && (g.Due == 0 || o.Times < g.Due):
			g.Due = o.Times
		}
		c.Goals[o.Class] = g
	}
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
