package state

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
)

// RecordedMachines summarizes the stored provisioning requests and machine groups of all
// shards.
type RecordedMachines struct {
	// RequestedKinds holds the kinds of machines of the open provisioning requests.
	RequestedKinds map[grouprecord.Kind]bool
	// Listed holds the machines that a group's record lists.
	Listed map[cluster.MachineID]bool
}
