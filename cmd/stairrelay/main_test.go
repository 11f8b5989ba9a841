package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"
)

// testTimeout limits how long a test waits for an expected event.
const testTimeout = 10 * time.Second

// freeAddress makes the system choose a free port for a listener.
const freeAddress = "127.0.0.1:0"

// settingsText returns a platform settings file for a controller without peers.
func settingsText(listen, back string) string {
	return fmt.Sprintf(`
host_name = "n0"
domain = "a"
listen = %q
back = %q
[external]
cloud = "127.0.0.1:1"
state = "127.0.0.1:1"
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
`, listen, back)
}

// validSettings is a settings file without errors or warnings.
var validSettings = settingsText(freeAddress, freeAddress)

// writeFile writes a file to a new directory and returns the file's path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// result holds the exit status and the output of a command line.
type result struct {
	status         int
	stdout, stderr string
}

// run executes a command line. There is no operators' file unless a flag names one.
func run(t *testing.T, arguments ...string) result {
	t.Helper()
	t.Setenv(operatorsEnv, "")
	return runInEnvironment(t, arguments...)
}

// runInEnvironment executes a command line in the current environment.
func runInEnvironment(t *testing.T, arguments ...string) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var stdout, stderr bytes.Buffer
	status := execute(ctx, arguments, &stdout, &stderr)
	return result{status, stdout.String(), stderr.String()}
}

// checkFailure checks the exit status, that stdout is empty, and that stderr is one line
// that starts with the program's name and contains a text.
func (r result) checkFailure(t *testing.T, status int, text string) {
	t.Helper()
	if r.status != status {
		t.Errorf("exit status %d, want %d", r.status, status)
	}
	if r.stdout != "" {
		t.Errorf("standard output %q, want none", r.stdout)
	}
	if !strings.HasPrefix(r.stderr, "stairrelay: ") || !strings.Contains(r.stderr, text) {
		t.Errorf("standard error %q, want \"stairrelay: \" and %q", r.stderr, text)
	}
	if strings.Count(r.stderr, "\n") != 1 || !strings.HasSuffix(r.stderr, "\n") {
		t.Errorf("standard error %q, want one line", r.stderr)
	}
}

// restoreProcessLimits restores the runtime limits of the process when the test ends.
func restoreProcessLimits(t *testing.T) {
	t.Helper()
	threads := runtime.GOMAXPROCS(0)
	memory := debug.SetMemoryLimit(-1)
	gc := debug.SetGCPercent(100)
	debug.SetGCPercent(gc)
	t.Cleanup(func() {
		runtime.GOMAXPROCS(threads)
		debug.SetMemoryLimit(memory)
		debug.SetGCPercent(gc)
	})
}

// occupyPort listens on a port until the test ends and returns its address.
func occupyPort(t *testing.T) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", freeAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func TestVersion(t *testing.T) {
	want := result{exitSuccess, "stairrelay 0.1.0\n", ""}
	if got := run(t, "version"); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// TestInvalidCommandLine checks the exit status and the error for an invalid command line.
func TestInvalidCommandLine(t *testing.T) {
	for name, test := range map[string]struct {
		arguments []string
		want      string
	}{
		"unknown flag":          {[]string{"--bogus"}, "unknown flag: --bogus"},
		"unknown command":       {[]string{"bogus"}, `unknown command "bogus"`},
		"flag without value":    {[]string{"--config"}, "flag needs an argument: --config"},
		"no file to check":      {[]string{"check-config"}, "accepts 1 arg(s), received 0"},
		"two files to check":    {[]string{"check-config", "a", "b"}, "accepts 1 arg(s), received 2"},
		"version with argument": {[]string{"version", "x"}, `unknown command "x"`},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, test.arguments...).checkFailure(t, exitFailure, test.want)
		})
	}
}

// TestInvalidSettings checks that check-config and the start of a controller both fail with
// exit status 2 and name what is missing or invalid.
func TestInvalidSettings(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none.toml")
	for name, test := range map[string]struct {
		path, want string
	}{
		"missing file":  {missing, "none.toml"},
		"not TOML":      {writeFile(t, "s.toml", "[cluster"), "line 1"},
		"missing field": {writeFile(t, "s.toml", strings.Replace(validSettings, "report_s = 2.0", "", 1)), "cluster.workers.report_s"},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, "check-config", test.path).checkFailure(t, exitSettings, test.want)
			run(t, "--config", test.path).checkFailure(t, exitSettings, test.want)
		})
	}
	t.Run("no file", func(t *testing.T) {
		run(t).checkFailure(t, exitSettings, "--config: missing")
	})
}

// TestInvalidOperatorsSettings checks that the operators' file is validated, whether it is
// given by the flag or by the environment.
func TestInvalidOperatorsSettings(t *testing.T) {
	platform := writeFile(t, "s.toml", validSettings)
	operators := writeFile(t, "o.json", `{"retries": "many"}`)
	t.Run("flag", func(t *testing.T) {
		run(t, "check-config", platform, "--operators", operators).checkFailure(t, exitSettings, "/retries")
		run(t, "--config", platform, "--operators", operators).checkFailure(t, exitSettings, "/retries")
	})
	t.Run("environment", func(t *testing.T) {
		t.Setenv(operatorsEnv, operators)
		runInEnvironment(t, "check-config", platform).checkFailure(t, exitSettings, "/retries")
	})
}

func TestCheckConfig(t *testing.T) {
	t.Run("valid", func(t *testing.T) {
		want := result{exitSuccess, "ok\n", ""}
		if got := run(t, "check-config", writeFile(t, "s.toml", validSettings)); got != want {
			t.Errorf("%+v, want %+v", got, want)
		}
	})
	t.Run("with a warning", func(t *testing.T) {
		path := writeFile(t, "s.toml", strings.Replace(validSettings, "cpus = 4.0", "cpus = 9.0", 1))
		got := run(t, "check-config", path)
		if got.status != exitSuccess || got.stdout != "ok\n" {
			t.Errorf("%+v, want ok with exit status 0", got)
		}
		if !strings.HasPrefix(got.stderr, "warning: cluster.teams: red ") || strings.Count(got.stderr, "\n") != 1 {
			t.Errorf("standard error %q, want one line about the team", got.stderr)
		}
	})
	t.Run("opens no ports", func(t *testing.T) {
		address := occupyPort(t)
		got := run(t, "check-config", writeFile(t, "s.toml", settingsText(address, address)))
		if got.status != exitSuccess {
			t.Errorf("%+v, want ok although the ports are in use", got)
		}
	})
}

// TestPortInUse checks that the exit status for a port in use is 1, as for a failure of the
// controller, and that the error names the setting.
func TestPortInUse(t *testing.T) {
	restoreProcessLimits(t)
	for setting, text := range map[string]string{
		"listen": settingsText(occupyPort(t), freeAddress),
		"back":   settingsText(freeAddress, occupyPort(t)),
	} {
		t.Run(setting, func(t *testing.T) {
			path := writeFile(t, "s.toml", text)
			run(t, "--config", path).checkFailure(t, exitFailure, "stairrelay: "+setting+": ")
		})
	}
}

// TestRunUntilContextCancelled checks that a controller ends when its context ends, and that
// it then accepts no more connections from users and workers.
func TestRunUntilContextCancelled(t *testing.T) {
	restoreProcessLimits(t)
	t.Setenv(operatorsEnv, "")
	t.Setenv(logLevelEnv, "error")
	reserved, err := new(net.ListenConfig).Listen(t.Context(), "tcp", freeAddress)
	if err != nil {
		t.Fatal(err)
	}
	address := reserved.Addr().String()
	_ = reserved.Close()

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var stdout, stderr bytes.Buffer
	status := make(chan int, 1)
	path := writeFile(t, "s.toml", settingsText(address, freeAddress))
	go func() { status <- execute(ctx, []string{"--config", path}, &stdout, &stderr) }()
	waitForConnection(t, address)
	stop()
	select {
	case got := <-status:
		if got != exitFailure {
			t.Errorf("exit status %d, want %d", got, exitFailure)
		}
	case <-time.After(testTimeout):
		t.Fatal("the controller is still running")
	}
	if conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address); err == nil {
		_ = conn.Close()
		t.Errorf("%s is still open", address)
	}
}

// waitForConnection waits until a server accepts connections on an address.
func waitForConnection(t *testing.T, address string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
		if err == nil {
			_ = conn.Close()
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no server on %s: %v", address, err)
		}
	}
}
