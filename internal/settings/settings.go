// Package settings reads and checks the platform's TOML file and the
// operators' own JSON file.
package settings

import (
	"fmt"
	"os"

	"stairrelay/internal/cluster"

	"stairrelay/internal/controller"
)

// Settings is all that the program is started with.
type Settings struct {
	// ListenAddress is the address for users and workers, Back the one for the other controllers.
	ListenAddress, PeerListenAddress string
	// CloudAddress and State are the addresses of the cloud's interface and of the state service.
	CloudAddress, StoreAddress string
	// PeerAddresses holds the address of every other controller.
	PeerAddresses map[cluster.NodeID]string
	// MemoryMB is the memory that the process may use; 0: not limited.
	MemoryMB float64
	// MaxConnections is the number of sockets that the process may have; 0: not limited.
	MaxConnections int
	// CPUShare is the share of a processor core that the process may use; 0: not limited.
	CPUShare float64
	// Controller configures the scheduler's core.
	Controller controller.Config
	// Warnings describes settings that are served although they look wrong.
	Warnings []string
}

// FieldError says what is wrong with one field of a settings file.
type FieldError struct {
	Field   string
	Problem string
}

// Error is the field and its problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// fieldErrorf makes a FieldError with a formatted problem.
func fieldErrorf(field, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Load reads the platform's file and, when its path is not empty, the
// operators' file. Every error is one line that names file and field.
func Load(platformPath, operatorsPath string) (*Settings, error) {
	text, err := os.ReadFile(platformPath)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	settings, err := parsePlatform(text)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", platformPath, err)
	}
	settings.Controller.Tuning = controller.DefaultTuning()
	if operatorsPath == "" {
		return settings, nil
	}
	text, err = os.ReadFile(operatorsPath)
	if err != nil {
		return nil, fmt.Errorf("operators' settings: %w", err)
	}
	if err := applyOperators(&settings.Controller.Tuning, text); err != nil {
		return nil, fmt.Errorf("operators' settings %s: %w", operatorsPath, err)
	}
	return settings, nil
}

// nanosPerSecond converts the files' seconds to core.Time.
const nanosPerSecond = 1e9

func seconds(s float64) cluster.Time { return cluster.Time(s * nanosPerSecond) }
