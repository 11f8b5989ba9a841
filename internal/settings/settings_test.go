package settings

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
)

// validPlatformText is a platform file that is accepted without a warning.
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

// writeFile writes a file to a new temporary directory and returns the file's path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// mustLoad loads a valid platform file.
func mustLoad(t *testing.T, platformText string) *Settings {
	t.Helper()
	settings, err := Load(writeFile(t, "s.toml", platformText), "")
	if err != nil {
		t.Fatal(err)
	}
	return settings
}

// mustLoadReplaced loads the valid platform file with the first occurrence of from
// replaced by to.
func mustLoadReplaced(t *testing.T, from, to string) *Settings {
	t.Helper()
	return mustLoad(t, strings.Replace(validPlatformText, from, to, 1))
}

// checkLoadError checks that err is a single line that contains the name of the file and
// want.
func checkLoadError(t *testing.T, err error, file, want string) {
	t.Helper()
	switch {
	case err == nil:
		t.Errorf("accepted, want an error with %q", want)
	case !strings.Contains(err.Error(), want):
		t.Errorf("%q does not contain %q", err, want)
	case !strings.Contains(err.Error(), file):
		t.Errorf("%q does not name the file %s", err, file)
	case strings.Contains(err.Error(), "\n"):
		t.Errorf("%q has several lines", err)
	}
}

func TestLoad(t *testing.T) {
	settings := mustLoad(t, validPlatformText)
	config := settings.Controller
	if config.Self != "n0" || len(config.Nodes) != 2 || settings.PeerAddresses["n1"] != "127.0.0.1:3" || config.MaxValueBytes != 4096 {
		t.Errorf("loaded %+v", settings)
	}
	if config.Teams[0].QuotaLimit.CPU != 8_500_000 || config.WorkerLease != cluster.Time(12*time.Second) {
		t.Errorf("loaded %+v", config)
	}
	if len(settings.Warnings) != 0 {
		t.Errorf("warnings: %v", settings.Warnings)
	}
	if config.Tuning != controller.DefaultTuning() {
		t.Errorf("defaults changed: %+v", config.Tuning)
	}
}

// TestFieldNamesMatchExactly guards against the fault of review/5 in the platform file: a
// field or table whose name differs from a known one by case must be ignored.
func TestFieldNamesMatchExactly(t *testing.T) {
	var lines []string
	for line := range strings.Lines(validPlatformText) {
		lines = append(lines, line)
		if name, _, isField := strings.Cut(line, " ="); isField {
			lines = append(lines, strings.ToUpper(name)+" = [[true]]\n")
		}
	}
	lines = append(lines, "[CLUSTER]\ncount = 7\n[cluster.Machine_limits]\nmem_mb = 1.0\n[[Peers]]\nhost_name = \"n9\"\n")
	settings, want := mustLoad(t, strings.Join(lines, "")), mustLoad(t, validPlatformText)
	if !reflect.DeepEqual(settings, want) {
		t.Errorf("with other spellings: loaded %+v, want %+v", settings, want)
	}
}

// TestErrorsOfMisspelledFields checks that a field of the wrong type is reported, but not
// one whose name differs from a known one by case.
func TestErrorsOfMisspelledFields(t *testing.T) {
	text := strings.Replace(validPlatformText, "lease_s = 12.0", "Report_s = []\nlease_s = \"x\"", 1)
	_, err := Load(writeFile(t, "s.toml", text), "")
	var fieldError *FieldError
	if !errors.As(err, &fieldError) || fieldError.Field != "cluster.workers.lease_s" {
		t.Errorf("%v is not a FieldError of cluster.workers.lease_s", err)
	}
}

func TestGuaranteedQuotaAboveLimit(t *testing.T) {
	settings := mustLoadReplaced(t, "cpus = 4.0", "cpus = 9.0")
	if len(settings.Warnings) != 1 || !strings.Contains(settings.Warnings[0], "red") {
		t.Errorf("warnings: %v", settings.Warnings)
	}
}

// TestTeamWithoutQuotas checks that a team without quotas has no guaranteed quota and no
// limit. With a limit of 0, all its jobs would be rejected.
func TestTeamWithoutQuotas(t *testing.T) {
	settings := mustLoadReplaced(t, "cpus = 4.0\ncpus_max = 8.5\n", "")
	if len(settings.Warnings) != 0 {
		t.Errorf("warnings: %v", settings.Warnings)
	}
	team := settings.Controller.Teams[0]
	if team.GuaranteedQuota.CPU != 0 || team.QuotaLimit.CPU != cluster.NoLimit || team.QuotaLimit.GPU != cluster.NoLimit {
		t.Errorf("loaded %+v", team)
	}
}

func TestMachineLimits(t *testing.T) {
	const limits = validPlatformText + "\n[cluster.machine_limits]\ncore_share = 0.18\nmax_connections = "
	settings := mustLoad(t, limits+"200\n")
	if settings.CPUShare != 0.18 || settings.MaxConnections != 200 {
		t.Errorf("loaded %+v", settings)
	}
	if len(settings.Warnings) != 1 || !strings.Contains(settings.Warnings[0], "max_connections") {
		t.Errorf("warnings: %v", settings.Warnings)
	}
	path := writeFile(t, "s.toml", limits+"-1\n")
	_, err := Load(path, "")
	checkLoadError(t, err, path, "max_connections")
}

// TestCancelDeadlineTooShort checks the warning for a cancel_s that leaves the owner of a
// shard too little time to detect that another controller has acquired the shard. A lease of
// 12 s, 2 s to stop, 4 s to answer and a thousandth for clock drift do not fit into 18 s, but
// into 19 s.
func TestCancelDeadlineTooShort(t *testing.T) {
	short := mustLoadReplaced(t, "cancel_s = 37.0", "cancel_s = 18.0")
	if len(short.Warnings) != 1 || !strings.Contains(short.Warnings[0], "3.97 s") || !strings.HasSuffix(short.Warnings[0], "Increase cancel_s to at least 19") {
		t.Errorf("cancel_s 18 with lease_s 12: %v", short.Warnings)
	}
	enough := mustLoadReplaced(t, "cancel_s = 37.0", "cancel_s = 19.0")
	if len(enough.Warnings) != 0 {
		t.Errorf("cancel_s 19 with lease_s 12: %v", enough.Warnings)
	}
}

// TestInvalidSettings checks that each problem is reported in one line with file and field.
func TestInvalidSettings(t *testing.T) {
	for name, test := range map[string]struct{ from, to, want string }{
		"not TOML":             {"[cluster]", "[cluster", "line"},
		"wrong type":           {"lease_s = 12.0", `lease_s = "x"`, "lease_s"},
		"missing interval":     {"report_s = 2.0", "", "cluster.workers.report_s"},
		"address without port": {"127.0.0.1:5", "nowhere", "external.state"},
		"peer with own name":   {`host_name = "n1"`, `host_name = "n0"`, "peers.host_name"},
		"wrong count":          {"count = 2", "count = 3", "cluster.count"},
		"negative count":       {"count = 2", "count = -2", "cluster.count"},
		"missing team name":    {`name = "red"`, "", "cluster.teams.name"},
		"negative quota":       {"cpus = 4.0", "cpus = -4.0", "below 0"},
		"infinite quota":       {"cpus = 4.0", "cpus = inf", "cluster.teams"},
		"quota not a number":   {"cpus = 4.0", "cpus = nan", "cluster.teams"},
		"zero lease":           {"lease_s = 12.0", "lease_s = 0.0", "cluster.workers.lease_s"},
		"huge lease":           {"lease_s = 12.0", "lease_s = 1e300", "cluster.workers.lease_s"},
		"too few operations":   {"txn_ops = 12", "txn_ops = 2", "txn_ops"},
		"fractional count":     {"txn_ops = 12", "txn_ops = 12.5", "txn_ops"},
		"huge value":           {"value_kb = 4.0", "value_kb = 1e20", "cluster.state.value_kb"},
		"negative memory":      {"[cluster]", "[cluster.machine_limits]\nmem_mb = -1.0\n[cluster]", "cluster.machine_limits.mem_mb"},
		"negative connections": {"[cluster]", "[cluster.machine_limits]\nmax_connections = -5\n[cluster]", "cluster.machine_limits.max_connections"},
	} {
		t.Run(name, func(t *testing.T) {
			path := writeFile(t, "s.toml", strings.Replace(validPlatformText, test.from, test.to, 1))
			_, err := Load(path, "")
			checkLoadError(t, err, path, test.want)
		})
	}
}

// TestErrorTypes checks that callers can distinguish the kinds of errors.
func TestErrorTypes(t *testing.T) {
	load := func(t *testing.T, from, to string) error {
		t.Helper()
		_, err := Load(writeFile(t, "s.toml", strings.Replace(validPlatformText, from, to, 1)), "")
		return err
	}
	t.Run("missing file", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "none.toml")
		_, err := Load(path, "")
		checkLoadError(t, err, path, "none.toml")
		if !errors.Is(err, os.ErrNotExist) {
			t.Errorf("%v is not os.ErrNotExist", err)
		}
	})
	t.Run("field", func(t *testing.T) {
		err := load(t, "count = 2", "count = 3")
		var fieldError *FieldError
		if !errors.As(err, &fieldError) || fieldError.Field != "cluster.count" {
			t.Errorf("%v is not a FieldError of cluster.count", err)
		}
	})
	t.Run("syntax", func(t *testing.T) {
		err := load(t, "lease_s = 12.0", `lease_s = "x"`)
		var syntaxError *SyntaxError
		if !errors.As(err, &syntaxError) || syntaxError.Line != 21 || syntaxError.Key != "cluster.workers.lease_s" {
			t.Errorf("%v is not a SyntaxError of cluster.workers.lease_s in line 21", err)
		}
	})
}

// TestFirstProblemReported checks which of two problems is reported: a missing list of
// teams before a wrong number of controllers.
func TestFirstProblemReported(t *testing.T) {
	text := strings.Replace(validPlatformText, "count = 2", "count = 3", 1)
	text = strings.Replace(text, "[[cluster.teams]]\nname = \"red\"\ncpus = 4.0\ncpus_max = 8.5\n", "", 1)
	path := writeFile(t, "s.toml", text)
	_, err := Load(path, "")
	checkLoadError(t, err, path, "cluster.teams: missing")
}

func TestOperatorsFile(t *testing.T) {
	platform := writeFile(t, "s.toml", validPlatformText)
	settings, err := Load(platform, writeFile(t, "o.json", `{"checkpoint_s": 3, "probes": 7, "spare_share": 0, "begin_within_s": 90}`))
	if err != nil {
		t.Fatal(err)
	}
	want := controller.DefaultTuning()
	want.CheckpointInterval = cluster.Time(3 * time.Second)
	want.ProbeCount = 7
	want.SpareCapacityShare = 0
	want.FirstTaskTarget = cluster.Time(90 * time.Second)
	if settings.Controller.Tuning != want {
		t.Errorf("loaded %+v, want %+v", settings.Controller.Tuning, want)
	}
}

func TestInvalidOperatorsFile(t *testing.T) {
	platform := writeFile(t, "s.toml", validPlatformText)
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
		t.Run(text, func(t *testing.T) {
			_, err := Load(platform, writeFile(t, "o.json", text))
			checkLoadError(t, err, "o.json", want)
		})
	}
}

// TestNextStoreLimits checks that the lower of the current and the upcoming limits
// applies, as limits change without notice, and that the current write rate is also kept.
func TestNextStoreLimits(t *testing.T) {
	for name, test := range map[string]struct {
		next          string
		writeRPS      float64
		maxValueBytes int
		maxTxnOps     int
	}{
		"absent":     {"", 25, 4096, 12},
		"empty":      {"[cluster.state.next]\n", 25, 4096, 12},
		"all lower":  {"[cluster.state.next]\nwrite_rps = 18.0\nvalue_kb = 3.5\ntxn_ops = 8\n", 18, 3584, 8},
		"all higher": {"[cluster.state.next]\nwrite_rps = 80.0\nvalue_kb = 8.0\ntxn_ops = 16\n", 25, 4096, 12},
		"some lower": {"[cluster.state.next]\nwrite_rps = 80.0\nvalue_kb = 2.0\ntxn_ops = 12\n", 25, 2048, 12},
		"only one":   {"[cluster.state.next]\ntxn_ops = 4\n", 25, 4096, 4},
	} {
		t.Run(name, func(t *testing.T) {
			config := mustLoad(t, validPlatformText+test.next).Controller
			if config.CurrentWriteRPS != 25 || config.WriteRPS != test.writeRPS || config.StoreRPS != 150 {
				t.Errorf("current write rate %v, write rate %v, want 25 and %v; request rate %v, want 150",
					config.CurrentWriteRPS, config.WriteRPS, test.writeRPS, config.StoreRPS)
			}
			if config.MaxValueBytes != test.maxValueBytes || config.MaxTxnOps != test.maxTxnOps {
				t.Errorf("limits of %d bytes and %d operations, want %d and %d",
					config.MaxValueBytes, config.MaxTxnOps, test.maxValueBytes, test.maxTxnOps)
			}
		})
	}
}

func TestInvalidNextStoreLimits(t *testing.T) {
	for field, values := range map[string][]string{
		"write_rps": {"0.0", "-1.0", "nan", "inf"},
		"value_kb":  {"0.0", "-4.0", "nan", "1.5"},
		"txn_ops":   {"0", "-1", "3", "2.5"},
	} {
		for _, value := range values {
			t.Run(field+" = "+value, func(t *testing.T) {
				path := writeFile(t, "s.toml", validPlatformText+"[cluster.state.next]\n"+field+" = "+value+"\n")
				_, err := Load(path, "")
				checkLoadError(t, err, path, field)
			})
		}
	}
}
