package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"
)

var errNotAccepted = errors.New("a job was not accepted")

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD, in the root of the repository")
		os.Exit(exitNotRun)
	}
	name, record := os.Args[1], os.Args[2]
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		os.Exit(exitNotRun)
	}
	seed := int64(1)
	if text := os.Getenv("SEED"); text != "" {
		seed, _ = strconv.ParseInt(text, 10, 64)
	}
	os.Exit(runCase(run, seed, record))
}

// cases holds the cases by name.
var cases = map[string]func(w *world, trouble bool) error{}

// deployCommand returns the command with which the deploy file starts a controller.
func deployCommand() []string {
	text, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`))
		}
	}
	return nil
}

func runCase(run func(w *world, trouble bool) error, seed int64, record string) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	}
	command := deployCommand()
	if command == nil {
		fmt.Fprintln(os.Stderr, "deploy/service.toml has no run command")
		return exitNotRun
	}
	if _, err := os.Stat(command[0]); err != nil {
		fmt.Fprintln(os.Stderr, "build the controller first:", err)
		return exitNotRun
	}
	deployment := mvta()
	if n, err := strconv.Atoi(os.Getenv("NODES")); err == nil {
		deployment.Nodes = n
	}
	w, err := newWorld(deployment, seed, dir, command, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		w.close()
		_ = os.RemoveAll(dir)
		os.Exit(exitNotRun)
	}()
	w.store = newStore(w)
	if w.cloud, err = newCloud(w); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	go w.tick()
	if err := run(w, os.Getenv("TROUBLE") != "0"); err != nil {
		w.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	w.mu.Lock()
	broken := append([]string(nil), w.broken...)
	w.mu.Unlock()
	for _, b := range broken {
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// up starts the controllers and waits until all are healthy.
func (w *world) upAll(free int, initial int) error {
	w.mu.Lock()
	for _, t := range w.site.Types {
		for _, z := range t.Zones {
			w.cloud.free[kindKey(t.Name, z, true)] = free
			w.cloud.free[kindKey(t.Name, z, false)] = free
		}
	}
	w.mu.Unlock()
	if err := w.startNodes(); err != nil {
		return err
	}
	w.mu.Lock()
	for i := range initial {
		w.cloud.add("depot-small", w.site.Zones[i%len(w.site.Zones)], false, 100*time.Millisecond)
	}
	w.mu.Unlock()
	until := time.Now().Add(20 * time.Second)
	for _, n := range w.nodes {
		for w.call(n, "GET", "/healthz", "", time.Second).Code != 200 {
			if time.Now().After(until) {
				return fmt.Errorf("%s does not become healthy", n.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}

// waitFor waits until a condition holds.
func (w *world) waitFor(limit float64, condition func() bool) bool {
	until := time.Now().Add(seconds(limit))
	for time.Now().Before(until) {
		if condition() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
