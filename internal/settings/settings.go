// Package settings loads and validates the platform's TOML file and the operators' JSON
// file.
//
// Every error is a single line that names the file and, if a field is invalid, the path
// of the field in the file. A setting that is valid but questionable is accepted with a
// warning.
package settings

import (
	"fmt"
	"os"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
)

// Settings is the configuration of a controller process. Addresses have the form
// host:port.
type Settings struct {
	// ListenAddress is where users and workers connect.
	ListenAddress string
	// PeerListenAddress is where the other controllers connect.
	PeerListenAddress string
	// CloudAddress is the address of the cloud API.
	CloudAddress string
	// StoreAddress is the address of the store.
	StoreAddress string
	// PeerAddresses holds the addresses of the other controllers.
	PeerAddresses map[cluster.NodeID]string
	// MemoryMB is the memory that the process may use, in MiB; 0 means no limit.
	MemoryMB float64
	// MaxConnections is the number of sockets that the process may have open; 0
	// means no limit.
	MaxConnections int
	// CPUShare is the number of CPU cores that the process may use, which may be a
	// fraction; 0 means no limit.
	CPUShare float64
	// Controller configures the scheduler's state machine.
	Controller controller.Config
	// Warnings describes questionable settings that are accepted.
	Warnings []string
}

// FieldError reports an invalid field of a settings file.
type FieldError struct {
	Field   string // path in the file, for example cluster.workers.lease_s or /retries
	Problem string
}

// Error returns the path of the field and its problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// fieldErrorf returns a FieldError with a formatted problem.
func fieldErrorf(field, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Load reads and validates the platform file and, unless operatorsPath is empty, the
// operators' file. Settings that the operators' file does not contain have their default
// values. The error wraps a *FieldError if a field is invalid, a *SyntaxError if the
// platform file cannot be decoded, and the error of package os if a file cannot be read.
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
