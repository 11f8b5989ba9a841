package messages

import (
	"stairrelay/internal/cluster"
)

// CloudListMachineTypes lists the machine types that the cloud offers. It is answered by
// a ListMachineTypesReply.
type CloudListMachineTypes struct{ Call CallID }

// CloudScaleOut provisions machines. Name is the idempotency key of the request: it is
// stored before the request is sent, and the cloud executes only one request with a given
// name, so a request with an unknown outcome can be retried. It is answered by a
// ScaleOutReply.
type CloudScaleOut struct {
	Call  CallID
	Name  string
	Type  string
	Zone  string
	Spot  bool
	Count int
}

// CloudScaleIn releases machines. It is answered by a ScaleInReply.
type CloudScaleIn struct {
	Call CallID
	IDs  []cluster.MachineID
}

// CloudListMachines lists one page of the cluster's machines. The page starts after the
// machine After, or at the beginning if After is empty. It is answered by a
// ListMachinesReply.
type CloudListMachines struct {
	Call  CallID
	After cluster.MachineID
}

// ListMachineTypesReply answers a CloudListMachineTypes.
type ListMachineTypesReply struct {
	Outcome Outcome
	Types   []cluster.MachineType
}

// ScaleOutReply answers a CloudScaleOut. The outcome is NotFound if the cloud is out of
// capacity for the requested machine type, zone and purchase option.
type ScaleOutReply struct {
	Outcome Outcome
	IDs     []cluster.MachineID
}

// ScaleInReply answers a CloudScaleIn.
type ScaleInReply struct{ Outcome Outcome }

// ListMachinesReply answers a CloudListMachines.
type ListMachinesReply struct {
	Outcome Outcome
	Items   []cluster.ListedMachine
	More    bool // whether there is another page
}
