package controller_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/simulation"
)

var updateGolden = flag.Bool("update", false, "rewrite the recorded traces or decisions of the selected tests")

// minTraces is the number of traces below which TestTraces fails, because some are
// missing.
const minTraces = 8

// TestTraces checks that controllers and workers act as in the recorded traces. A trace
// has comments (#), commands (>) and recorded lines, which the flag -update rewrites.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/*.txt")
	if err != nil || len(files) < minTraces {
		t.Fatalf("found only %d traces: %v", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := replayTrace(t, string(text))
			if *updateGolden {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			compareTraces(t, file, got, string(text))
		})
	}
}

// compareTraces fails at the first line that differs between a replayed trace and the
// recorded one.
func compareTraces(t *testing.T, file, got, want string) {
	t.Helper()
	if got == want {
		return
	}
	wantLines, gotLines := strings.Split(want, "\n"), strings.Split(got, "\n")
	for i, line := range wantLines {
		if i >= len(gotLines) || line != gotLines[i] {
			t.Fatalf("line %d of %s\nwant %s\ngot  %s", i+1, file, line, append(gotLines, "")[min(i, len(gotLines))])
		}
	}
	t.Fatalf("%s: got %d more lines than recorded", file, len(gotLines)-len(wantLines))
}

// replayTrace runs a trace's commands and returns the trace with its newly recorded
// lines. It checks that no invariant was violated.
func replayTrace(t *testing.T, text string, options ...simulation.Option) string {
	t.Helper()
	runner := newTraceRunner(t, options)
	for i, line := range strings.Split(text, "\n") {
		runner.lineNumber = i + 1
		runner.runLine(line)
	}
	if runner.simulator == nil {
		t.Fatal("the trace has no commands")
	}
	for _, violation := range runner.simulator.Violations {
		t.Errorf("invariant violated: %s", violation)
	}
	return runner.out.String()
}

// traceRunner runs the commands of a trace. Commands that change the settings come first.
// The first other command starts the controllers.
type traceRunner struct {
	t                   *testing.T
	lineNumber          int
	out                 strings.Builder
	options             []simulation.Option
	config              controller.Config
	cloud               *simulation.FakeCloud
	limitsBeforeUpgrade *simulation.StoreLimits // nil if all controllers start with the current version
	simulator           *simulation.Simulator
	jobs                map[string]*simulation.Job // by ID
}

func newTraceRunner(t *testing.T, options []simulation.Option) *traceRunner {
	t.Helper()
	runner := &traceRunner{t: t, options: options, config: testConfig(), jobs: map[string]*simulation.Job{}}
	runner.cloud = testCloud(func() *simulation.Simulator { return runner.simulator })
	runner.cloud.AvailableCapacity = map[string]int{}
	runner.cloud.BootDuration = func() cluster.Time { return 10 * second }
	return runner
}

// runLine runs a line if it is a command. It copies commands and comments to the output,
// and ignores recorded lines.
func (r *traceRunner) runLine(line string) {
	r.t.Helper()
	isCommand := strings.HasPrefix(line, ">")
	if isCommand || strings.HasPrefix(line, "#") {
		r.out.WriteString(line + "\n")
	}
	if !isCommand {
		return
	}
	command := r.parseCommand(line[1:])
	if r.applySetting(command) {
		return
	}
	if r.simulator == nil {
		r.start()
	}
	run, known := traceCommands[command.verb]
	if !known {
		r.fail("unknown command %q", line)
	}
	run(r, command)
}

// start starts the controllers with the current settings.
func (r *traceRunner) start() {
	if r.limitsBeforeUpgrade == nil {
		r.simulator = simulation.NewSimulator(1, r.config, r.cloud, r.options...)
	} else {
		lower := upgradeConfig()
		r.config.WriteRPS, r.config.MaxValueBytes, r.config.MaxTxnOps = lower.WriteRPS, lower.MaxValueBytes, lower.MaxTxnOps
		r.simulator = simulation.NewUpgradeSimulator(1, r.config, *r.limitsBeforeUpgrade, r.cloud, r.options...)
	}
	r.simulator.NoRandomFaults = true
	r.simulator.Log = r.write
}

// write adds a line with the current time to the output.
func (r *traceRunner) write(text string) {
	fmt.Fprintf(&r.out, "%8.3f %s\n", time.Duration(r.simulator.Now).Seconds(), text)
}

func (r *traceRunner) fail(format string, args ...any) {
	r.t.Helper()
	r.t.Fatalf("line %d: %s", r.lineNumber, fmt.Sprintf(format, args...))
}

// traceCommand is a command of a trace. It consists of a verb, arguments and options of
// the form name=value.
type traceCommand struct {
	runner  *traceRunner
	verb    string
	args    []string
	options map[string]string
}

func (r *traceRunner) parseCommand(line string) traceCommand {
	r.t.Helper()
	fields := strings.Fields(line)
	if len(fields) == 0 {
		r.fail("empty command")
	}
	command := traceCommand{runner: r, verb: fields[0], options: map[string]string{}}
	for _, field := range fields[1:] {
		if name, value, isOption := strings.Cut(field, "="); isOption {
			command.options[name] = value
		} else {
			command.args = append(command.args, field)
		}
	}
	return command
}

// arg returns the argument at an index. It fails the test if there are too few arguments.
func (c traceCommand) arg(index int) string {
	c.runner.t.Helper()
	if index >= len(c.args) {
		c.runner.fail("%s has only %d arguments", c.verb, len(c.args))
	}
	return c.args[index]
}

// count returns an argument as an integer.
func (c traceCommand) count(index int) int {
	c.runner.t.Helper()
	count, err := strconv.Atoi(c.arg(index))
	if err != nil {
		c.runner.fail("%v", err)
	}
	return count
}

func (c traceCommand) duration(index int) cluster.Time {
	c.runner.t.Helper()
	return c.parseDuration(c.arg(index))
}

func (c traceCommand) durationOption(name string) cluster.Time {
	c.runner.t.Helper()
	return c.parseDuration(c.options[name])
}

func (c traceCommand) parseDuration(text string) cluster.Time {
	c.runner.t.Helper()
	duration, err := time.ParseDuration(text)
	if err != nil {
		c.runner.fail("%v", err)
	}
	return cluster.Time(duration)
}

// number returns an option as a number, or defaultValue if it is not given.
func (c traceCommand) number(name string, defaultValue float64) float64 {
	c.runner.t.Helper()
	text, given := c.options[name]
	if !given {
		return defaultValue
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		c.runner.fail("%v", err)
	}
	return number
}

// runDuration returns how long the tasks of a submitted job run.
func (c traceCommand) runDuration() cluster.Time {
	c.runner.t.Helper()
	return cluster.Time(c.number("run", 10) * float64(second))
}

// isSet reports whether an option is given.
func (c traceCommand) isSet(name string) bool { return c.options[name] != "" }

// machine returns the first argument as a machine ID.
func (c traceCommand) machine() cluster.MachineID {
	c.runner.t.Helper()
	return cluster.MachineID(c.arg(0))
}

// node returns the controller that an argument names.
func (c traceCommand) node(index int) *simulation.Node {
	c.runner.t.Helper()
	name := c.arg(index)
	for _, node := range c.runner.simulator.Nodes {
		if string(node.ID) == name {
			return node
		}
	}
	c.runner.fail("there is no controller %s", name)
	return nil
}
