package wire

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
	"stairrelay/internal/messages"
)

// Kinds of response bodies of the cloud, as named in errors.
const (
	machineTypesBody = "machine types"
	scaleOutBody     = "response to scale-out"
	machineListBody  = "machine list"
)

// machineType is the JSON encoding of a machine type.
type machineType struct {
	Name             string   `json:"name"`
	CPU              float64  `json:"vcpus"`
	GPU              float64  `json:"accelerators"`
	MemoryGB         float64  `json:"memoryGb"`
	CacheGB          float64  `json:"cacheGb"`
	FetchGBPerSecond float64  `json:"pullGbPerS"`
	OnDemandPrice    float64  `json:"rate"`
	SpotPrice        float64  `json:"spotPrice"`
	BootSeconds      float64  `json:"bootS"`
	Zones            []string `json:"yards"`
}

// DecodeMachineTypes decodes the machine types of the cloud. A machine type without a
// name or without CPUs is an error.
func DecodeMachineTypes(body []byte) ([]cluster.MachineType, error) {
	var payload struct {
		Types []machineType `json:"fleets"`
	}
	if err := unmarshal(body, machineTypesBody, &payload); err != nil {
		return nil, err
	}
	var types []cluster.MachineType
	for _, t := range payload.Types {
		if t.Name == "" || t.CPU <= 0 {
			return nil, &DecodeError{Kind: machineTypesBody, Err: &InvalidMachineTypeError{Name: t.Name}}
		}
		types = append(types, t.decode())
	}
	return types, nil
}

func (t *machineType) decode() cluster.MachineType {
	return cluster.MachineType{
		Name: t.Name,
		Capacity: cluster.Resources{
			CPU:    cluster.FloorAmount(t.CPU),
			GPU:    cluster.FloorAmount(t.GPU),
			Memory: cluster.FloorAmount(t.MemoryGB),
		},
		CacheGB:          t.CacheGB,
		FetchGBPerSecond: t.FetchGBPerSecond,
		OnDemandPrice:    t.OnDemandPrice,
		SpotPrice:        t.SpotPrice,
		BootSeconds:      t.BootSeconds,
		Zones:            t.Zones,
	}
}

// scaleOutRequest is the JSON encoding of a scale-out request. The fields are in the order of
// their JSON names, which is the order on the wire in all versions.
type scaleOutRequest struct {
	Name  string `json:"charter"`
	Count int    `json:"count"`
	Type  string `json:"fleet"`
	Spot  bool   `json:"standby"`
	Zone  string `json:"yard"`
}

// EncodeScaleOut encodes the body of a scale-out request.
func EncodeScaleOut(scaleOut messages.CloudScaleOut) []byte {
	return marshal(scaleOutRequest{
		Name:  scaleOut.Name,
		Count: scaleOut.Count,
		Type:  scaleOut.Type,
		Spot:  scaleOut.Spot,
		Zone:  scaleOut.Zone,
	})
}

// scaleInRequest is the JSON encoding of a scale-in request.
type scaleInRequest struct {
	IDs []cluster.MachineID `json:"coaches"`
}

// EncodeScaleIn encodes the body of a scale-in request.
func EncodeScaleIn(ids []cluster.MachineID) []byte { return marshal(scaleInRequest{IDs: ids}) }

// DecodeScaleOutResponse decodes the IDs of the machines that a scale-out created. A
// missing list is an error, since it does not mean that no machine was created.
func DecodeScaleOutResponse(body []byte) ([]cluster.MachineID, error) {
	var payload struct {
		IDs *[]cluster.MachineID `json:"coaches"`
	}
	if err := unmarshal(body, scaleOutBody, &payload); err != nil {
		return nil, err
	}
	if payload.IDs == nil {
		return nil, &DecodeError{Kind: scaleOutBody, Err: ErrNoMachines}
	}
	return *payload.IDs, nil
}

// listedMachine is the JSON encoding of a machine in the machine list.
type listedMachine struct {
	ID         string  `json:"id"`
	Address    string  `json:"addr"`
	Type       string  `json:"fleet"`
	Zone       string  `json:"yard"`
	Spot       bool    `json:"standby"`
	Status     string  `json:"status"`
	AgeSeconds float64 `json:"ageS"`
}

// MachinePage is a page of the cloud's machine list.
type MachinePage struct {
	Machines []cluster.ListedMachine
	More     bool // there are more pages
}

// DecodeMachinePage decodes a page of the machine list.
func DecodeMachinePage(body []byte) (MachinePage, error) {
	var payload struct {
		Machines []listedMachine `json:"coaches"`
		More     bool            `json:"truncated"`
	}
	if err := unmarshal(body, machineListBody, &payload); err != nil {
		return MachinePage{}, err
	}
	page := MachinePage{More: payload.More}
	for _, m := range payload.Machines {
		page.Machines = append(page.Machines, cluster.ListedMachine{
			ID:         cluster.MachineID(m.ID),
			Addr:       m.Address,
			Type:       m.Type,
			Zone:       m.Zone,
			Spot:       m.Spot,
			Status:     m.Status,
			AgeSeconds: m.AgeSeconds,
		})
	}
	return page, nil
}

// outOfCapacityText is the error text of the cloud when it has no capacity for a
// machine type.
const outOfCapacityText = "no capacity"

// IsOutOfCapacity reports whether the body of an error response means that the cloud has
// no capacity for the requested machine type. The status does not show this, because an
// outage has the same status.
func IsOutOfCapacity(body []byte) bool {
	var payload struct {
		Error string `json:"error"`
	}
	return exactjson.Unmarshal(body, &payload) == nil && payload.Error == outOfCapacityText
}
