package state

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
)

// RecordedMachines is what the records of provisioning requests and machine groups of
// all shards list.
type RecordedMachines struct {
	// RequestedKinds are the kinds of the open provisioning requests.
	RequestedKinds map[grouprecord.Kind]bool
	// Listed are the machines that a group lists.
	Listed map[cluster.MachineID]bool
}
