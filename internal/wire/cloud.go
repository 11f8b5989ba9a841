package wire

import (
	"encoding/json"
	"errors"
	"fmt"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// ErrNoMachines is the error of a rental's answer without a list of machines.
var ErrNoMachines = errors.New("rental answer names no machines")

// InvalidMachineTypeError is the error of a machine type that can't run anything.
type InvalidMachineTypeError struct{ Name string }

// Error names the type.
func (e *InvalidMachineTypeError) Error() string {
	return fmt.Sprintf("machine type %q makes no sense", e.Name)
}

type machineType struct {
	Name        string   `json:"name"`
	CPU         float64  `json:"vcpus"`
	GPU         float64  `json:"accelerators"`
	Memory      float64  `json:"memoryGb"`
	Cache       float64  `json:"cacheGb"`
	FetchRate   float64  `json:"pullGbPerS"`
	Price       float64  `json:"rate"`
	SpotPrice   float64  `json:"spotPrice"`
	BootSeconds float64  `json:"bootS"`
	Zones       []string `json:"yards"`
}

// DecodeTypes reads the cloud's machine types.
func DecodeTypes(body []byte) ([]cluster.MachineType, error) {
	var form struct {
		Types []machineType `json:"fleets"`
	}
	if err := json.Unmarshal(body, &form); err != nil {
		return nil, fmt.Errorf("reading machine types: %w", err)
	}
	var types []cluster.MachineType
	for _, t := range form.Types {
		if t.Name == "" || t.CPU <= 0 {
			return nil, &InvalidMachineTypeError{Name: t.Name}
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
			Memory: cluster.FloorAmount(t.Memory),
		},
		CacheGB:          t.Cache,
		FetchGBPerSecond: t.FetchRate,
		OnDemandPrice:    t.Price,
		SpotPrice:        t.SpotPrice,
		BootSeconds:      t.BootSeconds,
		Zones:            t.Zones,
	}
}

// rental's fields are in the order of their names, as all releases send them.
type scaleOutRequest struct {
	Name  string `json:"charter"`
	Count int    `json:"count"`
	Type  string `json:"fleet"`
	Spot  bool   `json:"standby"`
	Zone  string `json:"yard"`
}

// EncodeScaleOut writes a rental request.
func EncodeScaleOut(r messages.CloudScaleOut) []byte {
	return marshal(scaleOutRequest{Name: r.Name, Count: r.Count, Type: r.Type, Spot: r.Spot, Zone: r.Zone})
}

type scaleInRequest struct {
	IDs []cluster.MachineID `json:"coaches"`
}

// EncodeScaleIn writes a return request.
func EncodeScaleIn(ids []cluster.MachineID) []byte { return marshal(scaleInRequest{IDs: ids}) }

// DecodeScaleOut reads which machines a request got.
func DecodeScaleOut(body []byte) ([]cluster.MachineID, error) {
	var form struct {
		IDs *[]cluster.MachineID `json:"coaches"`
	}
	if err := json.Unmarshal(body, &form); err != nil {
		return nil, fmt.Errorf("reading rental: %w", err)
	}
	if form.IDs == nil {
		return nil, ErrNoMachines
	}
	return *form.IDs, nil
}

type listedMachine struct {
	ID      string  `json:"id"`
	Address string  `json:"addr"`
	Type    string  `json:"fleet"`
	Zone    string  `json:"yard"`
	Spot    bool    `json:"standby"`
	Status  string  `json:"status"`
	Age     float64 `json:"ageS"`
}

// MachinePage is a page of the cloud's machine list.
type MachinePage struct {
	Machines []cluster.ListedMachine
	More     bool // there is another page
}

// DecodeMachines reads a page of the machine list.
func DecodeMachines(body []byte) (MachinePage, error) {
	var form struct {
		Machines []listedMachine `json:"coaches"`
		More     bool            `json:"truncated"`
	}
	if err := json.Unmarshal(body, &form); err != nil {
		return MachinePage{}, fmt.Errorf("reading machine list: %w", err)
	}
	page := MachinePage{More: form.More}
	for _, m := range form.Machines {
		page.Machines = append(page.Machines, cluster.ListedMachine{
			ID:         cluster.MachineID(m.ID),
			Addr:       m.Address,
			Type:       m.Type,
			Zone:       m.Zone,
			Spot:       m.Spot,
			Status:     m.Status,
			AgeSeconds: m.Age,
		})
	}
	return page, nil
}

// outOfCapacityText is the error text of a cloud that has no machine of the kind.
const outOfCapacityText = "no capacity"

// IsOutOfCapacity tells whether an answer's body says that the cloud has no
// machine of the kind. The status alone does not tell that from trouble.
func IsOutOfCapacity(body []byte) bool {
	var form struct {
		Error string `json:"error"`
	}
	return json.Unmarshal(body, &form) == nil && form.Error == outOfCapacityText
}
