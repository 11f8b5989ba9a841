// Package settings reads and checks the platform's TOML file and the operators' own
// JSON file.
//
// Every error is one line that names the file and, where one is at fault, the field in
// the file's own terms. A setting that is accepted although it looks wrong gives a
// warning.
package settings

import (
	"fmt"
	"os"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
)

// Settings is all that the program is started with. Addresses are host:port.
type Settings struct {
	// ListenAddress is where users and workers connect.
	ListenAddress string
	// PeerListenAddress is where the other controllers connect.
	PeerListenAddress string
	// CloudAddress is the address of the cloud's interface.
	CloudAddress string
	// StoreAddress is the address of the state service.
	StoreAddress string
	// PeerAddresses holds the address of every other controller.
	PeerAddresses map[cluster.NodeID]string
	// MemoryMB is the memory that the process may use, in MiB; 0 means no limit.
	MemoryMB float64
	// MaxConnections is the number of sockets that the process may have; 0 means no
	// limit.
	MaxConnections int
	// CPUShare is the share of a processor core that the process may use; 0 means no
	// limit.
	CPUShare float64
	// Controller configures the scheduler's state machine.
	Controller controller.Config
	// Warnings describes settings that are accepted although they look wrong.
	Warnings []string
}

// FieldError says what is wrong with one field of a settings file.
type FieldError struct {
	Field   string // as the file names it, e.g. cluster.workers.lease_s or /retries
	Problem string
}

// Error returns the field and its problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// fieldErrorf returns a FieldError with a formatted problem.
func fieldErrorf(field, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Load reads and checks the platform's file and, unless its path is empty, the
// operators' file. An error wraps a *FieldError or *SyntaxError where a field or a line
// is at fault, and that of package os where a file can't be read.
func Load(platformPath, operatorsPath string) (*Settings, error) {
	settings, err := loadPlatform(platformPath)
	if err != nil {
		return nil, err
	}
	settings.Controller.Tuning = controller.DefaultTuning()
	if operatorsPath != "" {
		if err := loadOperators(&settings.Controller.Tuning, operatorsPath); err != nil {
			return nil, err
		}
	}
	return settings, nil
}

func loadPlatform(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	settings, err := parsePlatform(text)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return settings, nil
}

func loadOperators(tuning *controller.Tuning, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("operators' settings: %w", err)
	}
	if err := applyOperators(tuning, text); err != nil {
		return fmt.Errorf("operators' settings %s: %w", path, err)
	}
	return nil
}
