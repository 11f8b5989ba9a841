package cluster

// MachineType is a machine type that the cloud offers. Its JSON form is stored.
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

// HourlyPrice returns the hourly price of a spot or on-demand machine of the type, in the
// cloud's currency.
func (t MachineType) HourlyPrice(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// ListedMachine is an entry in the cloud's list of machines.
type ListedMachine struct {
	ID         MachineID
	Addr       string // host and port of its worker
	Type       string
	Zone       string
	Spot       bool
	Status     string  // as reported by the cloud
	AgeSeconds float64 // since the cloud created the machine
}
