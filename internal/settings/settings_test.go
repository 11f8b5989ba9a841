package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"stairrelay/internal/cluster"

	"stairrelay/internal/controller"
)

const validPlatformText = `
host_name = "n0"
domain = "a"
listen = "127.0.0.1:1"
back = "127.0.0.1:2"
unknown_field = 3
[[peers]]
host_name = "n1"
endpoint = "127.0.0.1:3"
[external]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[cluster]
count = 2
[[cluster.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.5
[cluster.workers]
report_s = 2.0
lease_s = 12.0
cancel_s = 37.0
[cluster.state]
rps = 150.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 12
[cluster.cloud]
rps = 6.0
list_lag_s = 3.0
`

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	p := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

// mustLoad reads settings that have to be accepted.
func mustLoad(t *testing.T, text string) *Settings {
	t.Helper()
	s, err := Load(writeFile(t, "s.toml", text), "")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestLoad(t *testing.T) {
	s := mustLoad(t, validPlatformText)
	if s.Controller.Self != "n0" || len(s.Controller.Nodes) != 2 || s.PeerAddresses["n1"] != "127.0.0.1:3" || s.Controller.MaxValueBytes != 4096 {
		t.Errorf("read %+v", s)
	}
	if s.Controller.Teams[0].QuotaLimit.CPU != 8_500_000 || s.Controller.WorkerLease != cluster.Time(12*time.Second) {
		t.Errorf("read %+v", s.Controller)
	}
	if len(s.Warnings) != 0 {
		t.Errorf("called odd: %v", s.Warnings)
	}
	if s.Controller.Tuning != controller.DefaultTuning() {
		t.Errorf("defaults changed: %+v", s.Controller.Tuning)
	}
}

func TestGuaranteeAboveLimit(t *testing.T) {
	s := mustLoad(t, strings.Replace(validPlatformText, "cpus = 4.0", "cpus = 9.0", 1))
	if len(s.Warnings) != 1 || !strings.Contains(s.Warnings[0], "red") {
		t.Errorf("warnings: %v", s.Warnings)
	}
}

// TestTeamWithoutAmounts: a team that states neither figure is guaranteed
// nothing and limited by nothing; nor is that odd. Taken for a limit of 0, all
// its jobs got 422.
func TestTeamWithoutAmounts(t *testing.T) {
	s := mustLoad(t, strings.Replace(validPlatformText, "cpus = 4.0\ncpus_max = 8.5\n", "", 1))
	team := s.Controller.Teams[0]
	if len(s.Warnings) != 0 || team.GuaranteedQuota.CPU != 0 || team.QuotaLimit.CPU != cluster.NoLimit || team.QuotaLimit.GPU != cluster.NoLimit {
		t.Errorf("read %+v with warnings %v", team, s.Warnings)
	}
}

func TestMachineLimits(t *testing.T) {
	limits := validPlatformText + "\n[cluster.machine_limits]\ncore_share = 0.18\nmax_connections = "
	s := mustLoad(t, limits+"200\n")
	if s.CPUShare != 0.18 || s.MaxConnections != 200 {
		t.Errorf("read %+v", s)
	}
	if len(s.Warnings) != 1 || !strings.Contains(s.Warnings[0], "max_connections") {
		t.Errorf("warnings: %v", s.Warnings)
	}
	if _, err := Load(writeFile(t, "s.toml", limits+"-1\n"), ""); err == nil || !strings.Contains(err.Error(), "max_connections") {
		t.Errorf("sockets below 0: %v", err)
	}
}

// TestCancelWithin: cancel_s must leave room for a lease after a holder was last
// certain of its part: 12 + 2 + 4 s and 0.1% of both are not there with 18, and
// are with 19.
func TestCancelWithin(t *testing.T) {
	short := mustLoad(t, strings.Replace(validPlatformText, "cancel_s = 37.0", "cancel_s = 18.0", 1))
	if len(short.Warnings) != 1 || !strings.Contains(short.Warnings[0], "3.97 s") || !strings.HasSuffix(short.Warnings[0], "A cancel_s of 19 would do") {
		t.Errorf("cancel_s 18 with lease_s 12: %v", short.Warnings)
	}
	enough := mustLoad(t, strings.Replace(validPlatformText, "cancel_s = 37.0", "cancel_s = 19.0", 1))
	if len(enough.Warnings) != 0 {
		t.Errorf("cancel_s 19 with lease_s 12: %v", enough.Warnings)
	}
}

// TestBadSettings: each breach gives one line that names file and field.
func TestBadSettings(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"not TOML":     {"[cluster]", "[cluster", "line"},
		"wrong type":   {"lease_s = 12.0", `lease_s = "x"`, "lease_s"},
		"missing":      {"report_s = 2.0", "", "cluster.workers.report_s"},
		"bad address":  {"127.0.0.1:5", "nowhere", "external.state"},
		"own name":     {`host_name = "n1"`, `host_name = "n0"`, "peers.host_name"},
		"count":        {"count = 2", "count = 3", "cluster.count"},
		"no team name": {`name = "red"`, "", "cluster.teams.name"},
		"too small":    {"txn_ops = 12", "txn_ops = 2", "txn_ops"},
		"negative":     {"cpus = 4.0", "cpus = -4.0", "below 0"},
		"endless":      {"cpus = 4.0", "cpus = inf", "cluster.teams"},
		"no number":    {"cpus = 4.0", "cpus = nan", "cluster.teams"},
		"zero lease":   {"lease_s = 12.0", "lease_s = 0.0", "cluster.workers.lease_s"},
		"long lease":   {"lease_s = 12.0", "lease_s = 1e300", "cluster.workers.lease_s"},
		"no whole":     {"txn_ops = 12", "txn_ops = 12.5", "txn_ops"},
		"many nodes":   {"count = 2", "count = -2", "cluster.count"},
		"huge value":   {"value_kb = 4.0", "value_kb = 1e20", "cluster.state.value_kb"},
		"huge memory":  {"[cluster]", "[cluster.machine_limits]\nmem_mb = -1.0\n[cluster]", "cluster.machine_limits.mem_mb"},
		"no sockets":   {"[cluster]", "[cluster.machine_limits]\nmax_connections = -5\n[cluster]", "cluster.machine_limits.max_connections"},
	} {
		p := writeFile(t, "s.toml", strings.Replace(validPlatformText, c.from, c.to, 1))
		_, err := Load(p, "")
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), p) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml"), ""); err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Errorf("missing file: %v", err)
	}
}

func TestOperatorsFile(t *testing.T) {
	p := writeFile(t, "s.toml", validPlatformText)
	s, err := Load(p, writeFile(t, "o.json", `{"checkpoint_s": 3, "probes": 7, "spare_share": 0, "begin_within_s": 90}`))
	if err != nil {
		t.Fatal(err)
	}
	if s.Controller.Tuning.CheckpointInterval != cluster.Time(3*time.Second) || s.Controller.Tuning.ProbeCount != 7 || s.Controller.Tuning.SpareCapacityShare != 0 ||
		s.Controller.Tuning.FirstTaskTarget != cluster.Time(90*time.Second) {
		t.Errorf("read %+v", s.Controller.Tuning)
	}
	for text, want := range map[string]string{
		`{"checkpoint_s": 0}`:     "/checkpoint_s",
		`{"probes": 2.5}`:         "/probes",
		`{"no_such_setting": 1}`:  "no_such_setting",
		`[]`:                      "object",
		`{"checkpoint_s": 3`:      "not JSON",
		`{"retries": "many"}`:     "/retries",
		`{"budget_share": 1.5}`:   "/budget_share",
		`{"boot_patience": null}`: "/boot_patience",
	} {
		_, err := Load(p, writeFile(t, "o.json", text))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "o.json") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// TestNextStateLimits: values and transactions keep under the lower of the present
// limits and those of state.next, which come into force without notice; of the
// write rate both are known.
func TestNextStateLimits(t *testing.T) {
	for name, c := range map[string]struct {
		next  string
		rate  float64
		bytes int
		ops   int
	}{
		"absent":         {"", 25, 4096, 12},
		"empty":          {"[cluster.state.next]\n", 25, 4096, 12},
		"all lower":      {"[cluster.state.next]\nwrite_rps = 18.0\nvalue_kb = 3.5\ntxn_ops = 8\n", 18, 3584, 8},
		"all higher":     {"[cluster.state.next]\nwrite_rps = 80.0\nvalue_kb = 8.0\ntxn_ops = 16\n", 25, 4096, 12},
		"each by itself": {"[cluster.state.next]\nwrite_rps = 80.0\nvalue_kb = 2.0\ntxn_ops = 12\n", 25, 2048, 12},
		"only one":       {"[cluster.state.next]\ntxn_ops = 4\n", 25, 4096, 4},
	} {
		s, err := Load(writeFile(t, "s.toml", validPlatformText+c.next), "")
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if k := s.Controller; k.CurrentWriteRPS != 25 || k.WriteRPS != c.rate || k.MaxValueBytes != c.bytes || k.MaxTxnOps != c.ops || k.StoreRPS != 150 {
			t.Errorf("%s: %v changes a second, %v later, %d bytes, %d a transaction", name, k.CurrentWriteRPS, k.WriteRPS, k.MaxValueBytes, k.MaxTxnOps)
		}
	}
	for field, values := range map[string][]string{"write_rps": {"0.0", "-1.0", "nan", "inf"}, "value_kb": {"0.0", "-4.0", "nan", "1.5"}, "txn_ops": {"0", "-1", "3", "2.5"}} {
		for _, v := range values {
			p := writeFile(t, "s.toml", validPlatformText+"[cluster.state.next]\n"+field+" = "+v+"\n")
			_, err := Load(p, "")
			if err == nil || !strings.Contains(err.Error(), field) || !strings.Contains(err.Error(), p) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s = %s: %v", field, v, err)
			}
		}
	}
}
