// Command standin runs a case of the review: it starts the project's controllers as separate
// processes, with stand-ins of the state service, the cloud, the workers and the users, and
// judges what these can see.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// A verdict is the result of a case: the rules that were broken, or an error if the case
// could not run.
type verdict struct {
	broken []string
	err    error
}

func main() {
	cases := map[string]func(*recorder, bool) verdict{
		"1": crashAfterHistory,
		"2": repeatedStart,
		"3": burstOfSmallTasks,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	os.Exit(conclude(record, cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")))
}

// conclude prints and records the verdict and returns the exit status.
func conclude(record *recorder, result verdict) int {
	switch {
	case result.err != nil:
		record.event("could_not_run", "error", result.err)
		fmt.Println("could not run:", result.err)
		return exitNotRun
	case len(result.broken) > 0:
		for _, broken := range result.broken {
			record.event("verdict", "broken", broken)
			fmt.Println("broken:", broken)
		}
		return exitBroken
	}
	record.event("verdict", "held", true)
	fmt.Println("held")
	return exitHeld
}
