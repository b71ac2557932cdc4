package config

import (
	"fmt"
	"math"
	"net"
)

// Bounds of the platform's settings within which the scheduler works.
const (
	minMemoryMB           = 24  // an idle process occupies about 20 MB of resident memory
	minTxnOps             = 2   // a change, and the removal of a key that it makes obsolete
	minValueKB            = 6   // one chunk of a job's bitmap of finished tasks (see package core) fits in one value
	minNextValueKB        = 2   // a typical job description fits, and a chunk of a bitmap is split over several values
	minReportsPerLease    = 2   // report intervals in a worker's lease
	minReportsPerGangWait = 2   // report intervals in gang_wait_s
	maxLeasesPerGangWait  = 100 // worker leases in gang_wait_s
)

// check validates the platform's settings. Its error names the field and the reason.
// Load also checks that fd_limit is sufficient. Objectives need no check: addGoals
// ignores those that it can't use.
func (p *Platform) check() error {
	for _, check := range []func() error{p.checkAddresses, p.checkPeers, p.checkNumbers, p.checkGangTimes, p.checkNextLimits, p.checkTeams} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) checkAddresses() error {
	if p.Name == "" {
		return fmt.Errorf("node_name: missing")
	}
	for _, address := range []struct{ field, value string }{
		{"api_addr", p.APIAddr}, {"back", p.PeerAddr}, {"endpoints.cloud", p.Services.Cloud}, {"endpoints.state", p.Services.State},
	} {
		if address.value == "" {
			return fmt.Errorf("%s: missing", address.field)
		}
		if err := checkAddress(address.field, address.value); err != nil {
			return err
		}
	}
	return nil
}

func checkAddress(field, value string) error {
	if _, _, err := net.SplitHostPort(value); err != nil {
		return fmt.Errorf("%s: %q is not host:port", field, value)
	}
	return nil
}

func (p *Platform) checkPeers() error {
	seen := map[string]bool{p.Name: true}
	for i, peer := range p.Peers {
		if peer.Name == "" || seen[peer.Name] {
			return fmt.Errorf("others[%d].node_name: %q is empty or stands twice", i, peer.Name)
		}
		seen[peer.Name] = true
		if err := checkAddress(fmt.Sprintf("others[%d].peer_addr", i), peer.Addr); err != nil {
			return err
		}
	}
	if count := p.Params.Nodes; count != 0 && count != len(p.Peers)+1 {
		return fmt.Errorf("facts.count: %d, but others names %d", count, len(p.Peers))
	}
	return nil
}

// numericField is a number in the settings.
type numericField struct {
	field string
	value float64
	min   float64 // inclusive lower bound, besides the check of the sign; 0: none
}

func (p *Platform) checkNumbers() error {
	params := &p.Params
	for _, number := range []numericField{
		{"facts.workers.report_s", params.Workers.ReportS, 0}, {"facts.workers.lease_s", params.Workers.LeaseS, 0}, {"facts.workers.cancel_s", params.Workers.CancelS, 0},
		{"facts.state.rps", params.State.RPS, 0}, {"facts.state.write_rps", params.State.WriteRPS, 0},
		{"facts.state.value_kb", params.State.ValueKB, minValueKB}, {"facts.state.txn_ops", float64(params.State.TxnOps), minTxnOps},
		{"facts.cloud.rps", params.Cloud.RPS, 0},
		{"facts.quota.core_share", params.Limits.CoreShare, 0}, {"facts.quota.ram_mb", params.Limits.MemoryMB, minMemoryMB},
		{"facts.quota.fd_limit", float64(params.Limits.Files), 0},
	} {
		if !(number.value > 0) || math.IsInf(number.value, 0) {
			return fmt.Errorf("%s: %v is not above 0", number.field, number.value)
		}
		if number.value < number.min {
			return fmt.Errorf("%s: %v: at least %v are needed", number.field, number.value, number.min)
		}
	}
	for _, number := range []numericField{{field: "facts.skew_ms", value: p.Params.SkewMS}, {field: "facts.cloud.list_lag_s", value: params.Cloud.ListLagS}} {
		if !(number.value >= 0) || math.IsInf(number.value, 0) {
			return fmt.Errorf("%s: %v is below 0", number.field, number.value)
		}
	}
	if params.Workers.LeaseS < minReportsPerLease*params.Workers.ReportS {
		return fmt.Errorf("facts.workers.lease_s: %v is less than two reports", params.Workers.LeaseS)
	}
	return nil
}

// checkGangTimes checks the two gang timeouts. They must be given together or not
// at all; without them, the scheduler refuses jobs that are gangs (tasks that only run
// together).
func (p *Platform) checkGangTimes() error {
	workers := &p.Params.Workers
	const waitField, peerField = "facts.workers.gang_wait_s", "facts.workers.gang_peer_s"
	for _, number := range []numericField{{field: waitField, value: workers.GangWaitS}, {field: peerField, value: workers.GangPeerS}} {
		if !(number.value >= 0) || math.IsInf(number.value, 0) {
			return fmt.Errorf("%s: %v is below 0", number.field, number.value)
		}
	}
	switch {
	case workers.GangWaitS == 0 && workers.GangPeerS == 0:
		return nil
	case workers.GangWaitS == 0:
		return fmt.Errorf("%s: missing beside gang_peer_s", waitField)
	case workers.GangPeerS == 0:
		return fmt.Errorf("%s: missing beside gang_wait_s", peerField)
	case workers.GangWaitS < minReportsPerGangWait*workers.ReportS:
		return fmt.Errorf("%s: %v is less than two reports", waitField, workers.GangWaitS)
	case workers.GangWaitS > maxLeasesPerGangWait*workers.LeaseS:
		return fmt.Errorf("%s: %v is more than %d leases", waitField, workers.GangWaitS, maxLeasesPerGangWait)
	case workers.GangPeerS > workers.LeaseS:
		return fmt.Errorf("%s: %v is longer than lease_s", peerField, workers.GangPeerS)
	}
	return nil
}

// checkNextLimits checks the limits that the state service will switch to later. A
// limit of 0 means that the current limit stays as it is.
func (p *Platform) checkNextLimits() error {
	next := &p.Params.State.Next
	for _, number := range []numericField{
		{"facts.state.next.write_rps", next.WriteRPS, 0}, {"facts.state.next.value_kb", next.ValueKB, minNextValueKB},
		{"facts.state.next.txn_ops", float64(next.TxnOps), minTxnOps},
	} {
		if !(number.value >= 0) || math.IsInf(number.value, 0) {
			return fmt.Errorf("%s: %v is below 0", number.field, number.value)
		}
		if number.value > 0 && number.value < number.min {
			return fmt.Errorf("%s: %v: at least %v are needed", number.field, number.value, number.min)
		}
	}
	return nil
}

func (p *Platform) checkTeams() error {
	for i, team := range p.Params.Teams {
		if team.Name == "" {
			return fmt.Errorf("facts.teams[%d].name: missing", i)
		}
		if team.CPUs < 0 || team.CPUsMax < 0 || team.GPUs < 0 || team.GPUsMax < 0 {
			return fmt.Errorf("facts.teams[%d]: amounts of %q are below 0", i, team.Name)
		}
	}
	return nil
}
