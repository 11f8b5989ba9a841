package wire

import (
	"encoding/json"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// The bodies that the cloud sends, as errors name them.
const (
	machineTypesBody = "machine types"
	scaleOutBody     = "response to scale-out"
	machineListBody  = "machine list"
)

// machineType is the form of a machine type.
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

// DecodeMachineTypes reads the machine types of the cloud.
func DecodeMachineTypes(body []byte) ([]cluster.MachineType, error) {
	var form struct {
		Types []machineType `json:"fleets"`
	}
	if err := unmarshal(body, machineTypesBody, &form); err != nil {
		return nil, err
	}
	var types []cluster.MachineType
	for _, t := range form.Types {
		if t.Name == "" || t.CPU <= 0 {
			return nil, &DecodeError{What: machineTypesBody, Err: &InvalidMachineTypeError{Name: t.Name}}
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

// scaleOutRequest is the form of a scale-out. Its fields are in the order of their
// names, as all versions send them.
type scaleOutRequest struct {
	Name  string `json:"charter"`
	Count int    `json:"count"`
	Type  string `json:"fleet"`
	Spot  bool   `json:"standby"`
	Zone  string `json:"yard"`
}

// EncodeScaleOut writes the request of a scale-out.
func EncodeScaleOut(scaleOut messages.CloudScaleOut) []byte {
	return marshal(scaleOutRequest{
		Name:  scaleOut.Name,
		Count: scaleOut.Count,
		Type:  scaleOut.Type,
		Spot:  scaleOut.Spot,
		Zone:  scaleOut.Zone,
	})
}

// scaleInRequest is the form of a scale-in.
type scaleInRequest struct {
	IDs []cluster.MachineID `json:"coaches"`
}

// EncodeScaleIn writes the request of a scale-in.
func EncodeScaleIn(ids []cluster.MachineID) []byte { return marshal(scaleInRequest{IDs: ids}) }

// DecodeScaleOutResponse reads which machines a scale-out got. A response without a list is an
// error: it does not say that the scale-out got none.
func DecodeScaleOutResponse(body []byte) ([]cluster.MachineID, error) {
	var form struct {
		IDs *[]cluster.MachineID `json:"coaches"`
	}
	if err := unmarshal(body, scaleOutBody, &form); err != nil {
		return nil, err
	}
	if form.IDs == nil {
		return nil, &DecodeError{What: scaleOutBody, Err: ErrNoMachines}
	}
	return *form.IDs, nil
}

// listedMachine is the form of a machine in the machine list.
type listedMachine struct {
	ID      string  `json:"id"`
	Address string  `json:"addr"`
	Type    string  `json:"fleet"`
	Zone    string  `json:"yard"`
	Spot    bool    `json:"standby"`
	Status  string  `json:"status"`
	Age     float64 `json:"ageS"`
}

// MachinePage is a page of the machine list of the cloud.
type MachinePage struct {
	Machines []cluster.ListedMachine
	More     bool // there is another page
}

// DecodeMachinePage reads a page of the machine list.
func DecodeMachinePage(body []byte) (MachinePage, error) {
	var form struct {
		Machines []listedMachine `json:"coaches"`
		More     bool            `json:"truncated"`
	}
	if err := unmarshal(body, machineListBody, &form); err != nil {
		return MachinePage{}, err
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

// IsOutOfCapacity tells whether the body of a response says that the cloud has no
// machine of the kind. Its status is also that of an outage.
func IsOutOfCapacity(body []byte) bool {
	var form struct {
		Error string `json:"error"`
	}
	return json.Unmarshal(body, &form) == nil && form.Error == outOfCapacityText
}
