package messages

import (
	"stairrelay/internal/cluster"
)

// CloudMachineTypes asks for the machine types. A MachineTypesReply answers it.
type CloudListMachineTypes struct{ Call CallID }

// CloudScaleOut is a provisioning request. Its name was recorded before, and the
// cloud carries out each name once, so that a request of unknown outcome can be
// sent again. A ScaleOutReply answers it.
type CloudScaleOut struct {
	Call  CallID
	Name  string
	Type  string
	Zone  string
	Spot  bool
	Count int
}

// CloudScaleIn releases machines. A ScaleInReply answers it.
type CloudScaleIn struct {
	Call CallID
	IDs  []cluster.MachineID
}

// CloudList reads the page of the machine list that follows the machine After;
// After is empty for the first page. A CloudListReply answers it.
type CloudListMachines struct {
	Call  CallID
	After cluster.MachineID
}

// MachineTypesReply answers a CloudMachineTypes.
type ListMachineTypesReply struct {
	Outcome Outcome
	Types   []cluster.MachineType
}

// ScaleOutReply answers a CloudScaleOut. Outcome NotFound means that the cloud
// has no capacity of that kind.
type ScaleOutReply struct {
	Outcome Outcome
	IDs     []cluster.MachineID
}

// ScaleInReply answers a CloudScaleIn.
type ScaleInReply struct{ Outcome Outcome }

// CloudListReply answers a CloudList.
type ListMachinesReply struct {
	Outcome Outcome
	Items   []cluster.ListedMachine
	More    bool // another page follows
}
