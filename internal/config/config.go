// Package config reads the settings. The platform's JSON file names this
// controller and describes its deployment; the operators' optional HCL file
// tunes the scheduler. Both files are checked before the controller starts.
package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/exactjson"
)

// Platform is the content of the platform's settings file. Unknown fields are
// ignored, because later versions of the platform may add some.
type Platform struct {
	Name     string `json:"node_name"`
	APIAddr  string `json:"api_addr"` // where this controller serves users and workers
	PeerAddr string `json:"back"`     // where it receives messages of the other controllers
	Peers    []Peer `json:"others"`
	Services struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"endpoints"`
	Params struct {
		Nodes int    `json:"count"` // number of controllers; 0 if it is not given
		Teams []Team `json:"teams"`
		// Objectives are the targets for how soon jobs start and finish.
		Objectives []Objective `json:"objectives"`
		Workers    struct {
			ReportS float64 `json:"report_s"` // interval of a worker's reports
			LeaseS  float64 `json:"lease_s"`  // duration of a worker's lease
			CancelS float64 `json:"cancel_s"` // time from the confirmation of a cancellation until the job's tasks must be gone
			// GangWaitS is how long a task of a gang (a job whose tasks only run together)
			// waits for the others to be ready. GangPeerS is how soon a running task of a
			// gang notices that another one is gone. Both are 0 if they are not given;
			// gangs are refused then.
			GangWaitS float64 `json:"gang_wait_s"`
			GangPeerS float64 `json:"gang_peer_s"`
		} `json:"workers"`
		State struct {
			RPS      float64 `json:"rps"`       // requests per second
			WriteRPS float64 `json:"write_rps"` // changes of keys per second
			ValueKB  float64 `json:"value_kb"`  // maximum size of a value
			TxnOps   int     `json:"txn_ops"`   // maximum number of changes in one transaction
			// Next holds the limits that the state service will switch to at a later
			// time without notice. 0 means that a limit stays as it is.
			Next struct {
				WriteRPS float64 `json:"write_rps"`
				ValueKB  float64 `json:"value_kb"`
				TxnOps   int     `json:"txn_ops"`
			} `json:"next"`
		} `json:"state"`
		Cloud struct {
			RPS      float64 `json:"rps"`        // requests per second
			ListLagS float64 `json:"list_lag_s"` // how far the cloud's list of machines may be behind
		} `json:"cloud"`
		Limits struct {
			CoreShare float64 `json:"core_share"` // processor cores that the process may use
			MemoryMB  float64 `json:"ram_mb"`
			Files     int     `json:"fd_limit"` // open file descriptors of the process
		} `json:"quota"`
		SkewMS float64 `json:"skew_ms"` // bound on the error of the wall clock; 0 if it is not known
	} `json:"facts"`
}

// Peer is another controller.
type Peer struct {
	Name string `json:"node_name"`
	Addr string `json:"peer_addr"`
}

// Team is a team's guaranteed resources and its limits.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`     // guaranteed
	CPUsMax float64 `json:"cpus_max"` // limit; 0 means none
	GPUs    float64 `json:"gpus"`     // guaranteed
	GPUsMax float64 `json:"gpus_max"` // limit; 0 means none
}

// Objective is a target for a class of jobs. Objectives of an unknown kind or without
// a positive limit are ignored.
type Objective struct {
	Kind    string  `json:"kind"`     // "wait" (for tasks to start), "finished" or "deadline"
	Class   string  `json:"class"`    // jobs name their class in the field "lane"
	WithinS float64 `json:"within_s"` // time limit of a "wait" or "finished" objective
	Times   float64 `json:"times"`    // limit of a "deadline" objective: a multiple of the job's due time, both counted from its submission
}

// Settings is the checked content of both files.
type Settings struct {
	Platform
	Tuning      core.Tuning
	RoundBudget time.Duration // time that one dispatch round may take
}

// Load reads and checks both files; operatorPath may be empty. Its error is one
// line that names the file, the field and the reason.
func Load(platformPath, operatorPath string) (*Settings, error) {
	b, err := os.ReadFile(platformPath)
	if err != nil {
		return nil, err
	}
	s := &Settings{Tuning: core.DefaultTuning()}
	if err := exactjson.Unmarshal(b, &s.Platform); err != nil {
		if typeErr, ok := errors.AsType[*exactjson.TypeError](err); ok {
			return nil, fmt.Errorf("%s: %w", platformPath, typeErr)
		}
		return nil, fmt.Errorf("%s: not valid JSON: %w", platformPath, err)
	}
	if err := s.Platform.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", platformPath, err)
	}
	// The connections of users and workers must get at least as many file descriptors as
	// the uses that SocketLimits.Other covers.
	if limits := s.SocketLimits(); limits.Public < limits.Other {
		return nil, fmt.Errorf("%s: facts.quota.fd_limit: %d is too few for %d controllers", platformPath, s.Params.Limits.Files, len(s.Peers)+1)
	}
	s.RoundBudget = seconds(s.Params.Workers.ReportS) / 30 // the default
	if operatorPath != "" {
		if err := s.applyOperatorFile(operatorPath); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
