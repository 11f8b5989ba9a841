// Command stairrelay runs a controller of a cluster scheduler. The shards of the cluster
// are divided among several controllers. If a controller fails, its shards fail over to
// the others.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
)

const (
	exitSuccess  = 0
	exitFailure  = 1 // invalid command line, or the controller failed
	exitSettings = 2 // missing or invalid settings
)

func main() {
	os.Exit(execute(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}

// execute runs a command line and returns the exit status. It prints an error as a single
// line to stderr.
func execute(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	command := newCommand()
	command.SetArgs(arguments)
	command.SetOut(stdout)
	command.SetErr(stderr)
	err := command.ExecuteContext(ctx)
	if err == nil {
		return exitSuccess
	}
	_, _ = fmt.Fprintln(stderr, "stairrelay:", err) // if stderr is closed, only the exit status reports the error
	var settingsErr *settingsError
	if errors.As(err, &settingsErr) {
		return exitSettings
	}
	return exitFailure
}
