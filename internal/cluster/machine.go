package cluster

// MachineType is one kind of machine that the cloud rents.
type MachineType struct {
	Name             string    `json:"Name"`
	Capacity         Resources `json:"Cap"`
	CacheGB          float64   `json:"CacheGB"`
	FetchGBPerSecond float64   `json:"FetchGBs"`
	OnDemandPrice    float64   `json:"Price"`
	SpotPrice        float64   `json:"SpotPrice"`
	BootSeconds      float64   `json:"BootS"`
	Zones            []string  `json:"Zones"`
}

// HourlyPrice is what a machine of the type costs an hour.
func (t MachineType) HourlyPrice(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// ListedMachine is one line of the cloud's machine list.
type ListedMachine struct {
	ID         MachineID
	Addr       string
	Type       string
	Zone       string
	Spot       bool
	Status     string
	AgeSeconds float64
}
