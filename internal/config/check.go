package config

import (
	"fmt"
	"math"
	"net"
)

// Least amounts with which the service can work.
const (
	minMemoryMB           = 24 // some 20 MB are resident at rest
	minTxnOps             = 2  // a change and what is removed along with it
	minValueKB            = 6
	minNextValueKB        = 2 // a job's description and a bitmap's part still fit
	minReportsPerLease    = 2 // reports in a lease
	minReportsPerGangWait = 2 // reports while a gang's tasks wait for one another
	maxLeasesPerGangWait  = 100
)

// check looks at everything before anything runs. The error names field and
// reason.
func (p *Platform) check() error {
	for _, part := range []func() error{p.checkAddresses, p.checkPeers, p.checkNumbers, p.checkGangTimes, p.checkNextLimits, p.checkTeams} {
		if err := part(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) checkAddresses() error {
	if p.Name == "" {
		return fmt.Errorf("node_name: missing")
	}
	for _, f := range []struct{ field, value string }{
		{"api_addr", p.APIAddr}, {"back", p.PeerAddr}, {"endpoints.cloud", p.Services.Cloud}, {"endpoints.state", p.Services.State},
	} {
		if f.value == "" {
			return fmt.Errorf("%s: missing", f.field)
		}
		if err := checkAddress(f.field, f.value); err != nil {
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
	for i, o := range p.Peers {
		if o.Name == "" || seen[o.Name] {
			return fmt.Errorf("others[%d].node_name: %q is empty or stands twice", i, o.Name)
		}
		seen[o.Name] = true
		if err := checkAddress(fmt.Sprintf("others[%d].peer_addr", i), o.Addr); err != nil {
			return err
		}
	}
	if n := p.Params.Nodes; n != 0 && n != len(p.Peers)+1 {
		return fmt.Errorf("facts.count: %d, but others names %d", n, len(p.Peers))
	}
	return nil
}

// numericField is a number in the settings and the least that it may be.
type numericField struct {
	field string
	value float64
	min   float64
}

func (p *Platform) checkNumbers() error {
	f := &p.Params
	for _, a := range []numericField{
		{"facts.workers.report_s", f.Workers.ReportS, 0}, {"facts.workers.lease_s", f.Workers.LeaseS, 0}, {"facts.workers.cancel_s", f.Workers.CancelS, 0},
		{"facts.state.rps", f.State.RPS, 0}, {"facts.state.write_rps", f.State.WriteRPS, 0},
		{"facts.state.value_kb", f.State.ValueKB, minValueKB}, {"facts.state.txn_ops", float64(f.State.TxnOps), minTxnOps},
		{"facts.cloud.rps", f.Cloud.RPS, 0},
		{"facts.quota.core_share", f.Limits.CoreShare, 0}, {"facts.quota.ram_mb", f.Limits.MemoryMB, minMemoryMB},
		{"facts.quota.fd_limit", float64(f.Limits.Files), 0},
	} {
		if !(a.value > 0) || math.IsInf(a.value, 0) {
			return fmt.Errorf("%s: %v is not above 0", a.field, a.value)
		}
		if a.value < a.min {
			return fmt.Errorf("%s: %v: at least %v are needed", a.field, a.value, a.min)
		}
	}
	for _, a := range []numericField{{field: "facts.skew_ms", value: p.Params.SkewMS}, {field: "facts.cloud.list_lag_s", value: f.Cloud.ListLagS}} {
		if !(a.value >= 0) || math.IsInf(a.value, 0) {
			return fmt.Errorf("%s: %v is below 0", a.field, a.value)
		}
	}
	if f.Workers.LeaseS < minReportsPerLease*f.Workers.ReportS {
		return fmt.Errorf("facts.workers.lease_s: %v is less than two reports", f.Workers.LeaseS)
	}
	return nil
}

// checkGangTimes checks the times of gangs, which are given together or not at
// all: without them gangs are refused.
func (p *Platform) checkGangTimes() error {
	w := &p.Params.Workers
	const wait, peer = "facts.workers.gang_wait_s", "facts.workers.gang_peer_s"
	for _, a := range []numericField{{field: wait, value: w.GangWaitS}, {field: peer, value: w.GangPeerS}} {
		if !(a.value >= 0) || math.IsInf(a.value, 0) {
			return fmt.Errorf("%s: %v is below 0", a.field, a.value)
		}
	}
	switch {
	case w.GangWaitS == 0 && w.GangPeerS == 0:
		return nil
	case w.GangWaitS == 0:
		return fmt.Errorf("%s: missing beside gang_peer_s", wait)
	case w.GangPeerS == 0:
		return fmt.Errorf("%s: missing beside gang_wait_s", peer)
	case w.GangWaitS < minReportsPerGangWait*w.ReportS:
		return fmt.Errorf("%s: %v is less than two reports", wait, w.GangWaitS)
	case w.GangWaitS > maxLeasesPerGangWait*w.LeaseS:
		return fmt.Errorf("%s: %v is more than %d leases", wait, w.GangWaitS, maxLeasesPerGangWait)
	case w.GangPeerS > w.LeaseS:
		return fmt.Errorf("%s: %v is longer than lease_s", peer, w.GangPeerS)
	}
	return nil
}

// checkNextLimits checks the limits that the state service will have later; 0
// stands for no other than now.
func (p *Platform) checkNextLimits() error {
	next := &p.Params.State.Next
	for _, a := range []numericField{
		{"facts.state.next.write_rps", next.WriteRPS, 0}, {"facts.state.next.value_kb", next.ValueKB, minNextValueKB},
		{"facts.state.next.txn_ops", float64(next.TxnOps), minTxnOps},
	} {
		if !(a.value >= 0) || math.IsInf(a.value, 0) {
			return fmt.Errorf("%s: %v is below 0", a.field, a.value)
		}
		if a.value > 0 && a.value < a.min {
			return fmt.Errorf("%s: %v: at least %v are needed", a.field, a.value, a.min)
		}
	}
	return nil
}

func (p *Platform) checkTeams() error {
	for i, t := range p.Params.Teams {
		if t.Name == "" {
			return fmt.Errorf("facts.teams[%d].name: missing", i)
		}
		if t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			return fmt.Errorf("facts.teams[%d]: amounts of %q are below 0", i, t.Name)
		}
	}
	return nil
}
