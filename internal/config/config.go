// Package config reads the settings: the platform's JSON file, which names
// this controller and describes its deployment, and the operators' optional
// HCL file, which tunes how it serves. Both are checked before anything runs.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"mulleinfall/internal/core"
)

// Platform is the file that the platform hands over. Unknown fields are
// ignored: new ones may come.
type Platform struct {
	Name     string `json:"node_name"`
	APIAddr  string `json:"api_addr"`
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
			// that one is gone. Both 0: not given, and gangs are refused.
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

// Settings is everything, checked.
type Settings struct {
	Platform
	Tuning      core.Tuning
	RoundBudget time.Duration // of one round of decisions
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
	if k := s.SocketLimits(); k.Public < k.Other {
		return nil, fmt.Errorf("%s: facts.quota.fd_limit: %d is too few for %d controllers", platform, s.Params.Limits.Files, len(s.Peers)+1)
	}
	s.RoundBudget = seconds(s.Params.Workers.ReportS) / 30
	if operator != "" {
		if err := s.applyOperatorFile(operator); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
