// Command stairrelay is a cluster scheduler: controllers that share parts of
// the work and take each other's over.
package main

import (
	"errors"
	"fmt"
	"os"
)

// The program's exit statuses.
const (
	exitFailure  = 1
	exitSettings = 2 // the settings are missing or wrong
)

func main() {
	err := newCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "stairrelay:", err)
	var wrongSettings *settingsError
	if errors.As(err, &wrongSettings) {
		os.Exit(exitSettings)
	}
	os.Exit(exitFailure)
}
