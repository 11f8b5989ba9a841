// Command stairrelay is a cluster scheduler. It runs one of several controllers that
// divide the shards of the cluster among themselves and take over those of a controller
// that fails.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
)

// The exit statuses of the program.
const (
	exitSuccess  = 0
	exitFailure  = 1 // the command line is wrong, or the controller failed
	exitSettings = 2 // the settings are missing or wrong
)

func main() {
	os.Exit(execute(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}

// execute runs the command line and returns the exit status. An error is one line on
// stderr.
func execute(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	command := newCommand()
	command.SetArgs(arguments)
	command.SetOut(stdout)
	command.SetErr(stderr)
	err := command.ExecuteContext(ctx)
	if err == nil {
		return exitSuccess
	}
	_, _ = fmt.Fprintln(stderr, "stairrelay:", err) // where stderr is closed, the exit status has to do
	var settingsProblem *settingsError
	if errors.As(err, &settingsProblem) {
		return exitSettings
	}
	return exitFailure
}
