package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// validPlatform is a valid settings file. It also has unknown fields, such as "domain"
// and "news", which are ignored.
const validPlatform = `{
  "node_name": "c0", "domain": "a", "api_addr": "127.0.0.1:1", "back": "127.0.0.1:2", "news": [1],
  "others": [{"node_name": "c1", "domain": "b", "peer_addr": "127.0.0.1:3"}],
  "endpoints": {"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
  "facts": {"count": 2, "zones": ["a"], "teams": [{"name": "t", "cpus_max": 4}],
    "workers": {"report_s": 3, "lease_s": 20, "cancel_s": 30},
    "state": {"rps": 100, "write_rps": 30, "value_kb": 16, "txn_ops": 24},
    "cloud": {"rps": 4, "list_lag_s": 10},
    "quota": {"core_share": 0.2, "ram_mb": 100, "fd_limit": 1000}}
}`

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	p := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

// TestLoad checks that settings of both files reach the settings of the core (package
// core) and the round budget.
func TestLoad(t *testing.T) {
	settings, err := Load(writeFile(t, "s.json", validPlatform), writeFile(t, "o.hcl", "dispatch {\n skip_limit = 7\n}\nfleet {\n idle_boots = 3\n}\n"))
	if err != nil {
		t.Fatal(err)
	}
	cfg := settings.CoreConfig(1)
	if cfg.SkipLimit != 7 || cfg.IdleBoots != 3 || cfg.BitmapWriteInterval != 2*time.Second {
		t.Errorf("operator's settings: got %+v, want SkipLimit 7, IdleBoots 3 and BitmapWriteInterval 2s", cfg.Tuning)
	}
	if settings.RoundBudget != 100*time.Millisecond || cfg.Lease != 20*time.Second || cfg.Teams["t"].Limit.CPUs != 4 || len(cfg.Peers) != 1 {
		t.Errorf("platform's settings: got RoundBudget %v and %+v, want RoundBudget 100ms, Lease 20s, limit of 4 CPUs for team t and one peer", settings.RoundBudget, cfg)
	}
}

// TestLoadRejectsInvalidSettings checks that the error for an invalid setting is one
// line that contains the expected parts of file name, field and reason.
func TestLoadRejectsInvalidSettings(t *testing.T) {
	// In each case, from is replaced by to in validPlatform. If operator is not empty, it is
	// the content of the operators' file.
	cases := []struct{ from, to, operator, want string }{
		{`"node_name": "c0"`, `"node_name": ""`, "", "s.json: node_name: missing"},
		{`"127.0.0.1:4"`, `"nowhere"`, "", `endpoints.cloud: "nowhere" is not host:port`},
		{`"lease_s": 20`, `"lease_s": -1`, "", "facts.workers.lease_s: -1 is not above 0"},
		{`"lease_s": 20`, `"lease_s": "x"`, "", "lease_s: want float64, not a JSON string"},
		{`"lease_s": 20`, `"lease_s": 4`, "", "less than two reports"},
		{`"count": 2`, `"count": 3`, "", "facts.count: 3, but others names 1"},
		{`"fd_limit": 1000`, `"fd_limit": 40`, "", "facts.quota.fd_limit: 40 is too few for 2 controllers"},
		{`"ram_mb": 100`, `"ram_mb": 16`, "", "facts.quota.ram_mb: 16: at least 24 are needed"},
		{`"core_share": 0.2`, `"core_share": 0`, "", "facts.quota.core_share: 0 is not above 0"},
		{`"name": "t"`, `"name": ""`, "", "facts.teams[0].name: missing"},
		{`"cancel_s": 30`, `"cancel_s": 30, "gang_wait_s": 40`, "", "facts.workers.gang_peer_s: missing beside gang_wait_s"},
		{`"cancel_s": 30`, `"cancel_s": 30, "gang_peer_s": 5`, "", "facts.workers.gang_wait_s: missing beside gang_peer_s"},
		{`"cancel_s": 30`, `"cancel_s": 30, "gang_wait_s": -1, "gang_peer_s": 5`, "", "facts.workers.gang_wait_s: -1 is below 0"},
		{`"cancel_s": 30`, `"cancel_s": 30, "gang_wait_s": 5, "gang_peer_s": 5`, "", "facts.workers.gang_wait_s: 5 is less than two reports"},
		{`"cancel_s": 30`, `"cancel_s": 30, "gang_wait_s": 3000, "gang_peer_s": 5`, "", "facts.workers.gang_wait_s: 3000 is more than 100 leases"},
		{`"cancel_s": 30`, `"cancel_s": 30, "gang_wait_s": 40, "gang_peer_s": 21`, "", "facts.workers.gang_peer_s: 21 is longer than lease_s"},
		{`"txn_ops": 24`, `"txn_ops": 24, "next": {"value_kb": 1}`, "", "facts.state.next.value_kb: 1: at least 2 are needed"},
		{`"txn_ops": 24`, `"txn_ops": 24, "next": {"txn_ops": 1}`, "", "facts.state.next.txn_ops: 1: at least 2 are needed"},
		{`"txn_ops": 24`, `"txn_ops": 24, "next": {"write_rps": -1}`, "", "facts.state.next.write_rps: -1 is below 0"},
		{`{`, ``, "", "not valid JSON"},
		{``, ``, "fleet {\n patience = 2\n}\n", "o.hcl: fleet.patience: 2 is not within 0 and 1"},
		{``, ``, "dispatch {\n skip_limit = -1\n}\n", "o.hcl: dispatch.skip_limit: -1 is not within 0 and 1000000"},
		{``, ``, "fleet {\n idle = 1\n}\n", "o.hcl:2: Unsupported argument"},
		{``, ``, "state {\n write_every_s = 0\n}\n", "state.write_every_s: 0 is not within 0.001 and 60"},
	}
	for _, c := range cases {
		operatorPath := ""
		if c.operator != "" {
			operatorPath = writeFile(t, "o.hcl", c.operator)
		}
		_, err := Load(writeFile(t, "s.json", strings.Replace(validPlatform, c.from, c.to, 1)), operatorPath)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q replaced by %q in the platform's file (both empty: only the operators' file is wrong): got error %v, want one line that contains %q", c.from, c.to, err, c.want)
		}
	}
}

// TestSocketLimitsAddUp checks that the parts add up to fd_limit, and that from an fd_limit
// of 1000 on, the public part is at least four fifths of it, because all machines of a fleet
// may connect to one controller. An earlier version gave it two thirds, 1,630 of 2,446 file
// descriptors, which were too few for 1,785 machines.
func TestSocketLimitsAddUp(t *testing.T) {
	for _, files := range []int{100, 500, 1000, 1200, 2446, 3163, 100_000} {
		for peers := range 5 {
			var s Settings
			s.Params.Limits.Files = files
			s.Peers = make([]Peer, peers)
			limits := s.SocketLimits()
			if sum := limits.Public + limits.DirectCommands + limits.IdleWorkers + limits.Other; sum != files || limits.DirectCommands < 1 || limits.Other < 16+6*peers {
				t.Errorf("fd_limit %d, %d peers: got %+v with sum %d, want the sum to be fd_limit, DirectCommands at least 1 and Other at least 16 plus 6 for each peer", files, peers, limits, sum)
			}
			if files >= 1000 && limits.Public < files*4/5 {
				t.Errorf("fd_limit %d: got %+v, want Public of at least four fifths of fd_limit", files, limits)
			}
		}
	}
}

// TestWarnings checks that settings whose cancel_s is too short compared with lease_s are
// accepted, but with a warning about cancel_s. Six fifths of lease_s (24 s here) are enough.
func TestWarnings(t *testing.T) {
	for _, c := range []struct {
		cancel string
		want   bool
	}{{"30", false}, {"24", false}, {"23", true}, {"20", true}, {"10", true}} {
		s, err := Load(writeFile(t, "s.json", strings.Replace(validPlatform, `"cancel_s": 30`, `"cancel_s": `+c.cancel, 1)), "")
		if err != nil {
			t.Fatal(err)
		}
		got := s.Warnings()
		if (len(got) > 0) != c.want || c.want && !strings.HasPrefix(got[0], "facts.workers.cancel_s: "+c.cancel+"s is less than") {
			t.Errorf("lease_s 20, cancel_s %s: got warnings %q, want a warning that begins with the field and the value of cancel_s: %v", c.cancel, got, c.want)
		}
	}
}

// TestForeignNamesInSettings guards against settings that replace known ones because their
// names differ only by case or fold to them, and against objects that are merged with an
// earlier one of the same name.
func TestForeignNamesInSettings(t *testing.T) {
	want, err := Load(writeFile(t, "s.json", validPlatform), "")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to string }{
		{`"news": [1]`, `"Node_Name": "c9", "NODE_NAME": "c8", "Back": "127.0.0.1:9", "otherſ": [], "Others": [], "Facts": {}`},
		{`"cancel_s": 30`, `"cancel_s": 30, "Lease_S": 99, "leaſe_s": 99, "CANCEL_S": 99`},
		{`"news": [1]`, `"facts": {"skew_ms": 7, "workers": {"gang_wait_s": 40, "gang_peer_s": 5}}`},
		{`"facts": {`, `"facts": {"workers": {"gang_wait_s": 40, "gang_peer_s": 5}, "teams": [{"name": "u", "cpus": 9}, {"name": "v"}],`},
		{`{"name": "t", "cpus_max": 4}`, `{"name": "t", "Name": "u", "cpus_max": 4, "Cpus_max": 9, "GPUS": 9}`},
	} {
		got, err := Load(writeFile(t, "s.json", strings.Replace(validPlatform, c.from, c.to, 1)), "")
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s instead of %s: got settings %+v, error %v, want %+v", c.to, c.from, got, err, want)
		}
	}
}
