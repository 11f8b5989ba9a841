package messages

import (
	"stairrelay/internal/cluster"
)

// CloudMachineTypes asks for the machine types.
type CloudMachineTypes struct{ Call CallID }

// CloudScaleOut rents under a recorded name.
type CloudScaleOut struct {
	Call  CallID
	Name  string
	Type  string
	Zone  string
	Spot  bool
	Count int
}

// CloudScaleIn gives machines back.
type CloudScaleIn struct {
	Call CallID
	IDs  []cluster.MachineID
}

// CloudList reads the page of the machine list that follows a machine; the
// first has no such machine.
type CloudList struct {
	Call  CallID
	After cluster.MachineID
}

// MachineTypesReply answers CloudTypes.
type MachineTypesReply struct {
	Outcome Outcome
	Types   []cluster.MachineType
}

// ScaleOutReply answers CloudRent. Missing: no capacity.
type ScaleOutReply struct {
	Outcome Outcome
	IDs     []cluster.MachineID
}

// ScaleInReply answers CloudReturn.
type ScaleInReply struct{ Outcome Outcome }

// CloudListReply answers CloudList.
type CloudListReply struct {
	Outcome Outcome
	Items   []cluster.ListedMachine
	More    bool // another page follows
}
