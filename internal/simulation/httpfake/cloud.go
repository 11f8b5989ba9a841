package httpfake

import (
	"net/http"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// maxScaleOutCount is the maximum number of machines in a scale-out request.
	maxScaleOutCount = 50
	// bootPollInterval is how often the cloud checks for machines that have booted.
	bootPollInterval = 50 * time.Millisecond
	// amountsPerUnit is the cluster.Amount of one CPU or one GB of memory.
	amountsPerUnit = 1e6
)

// ServeCloud starts the cloud API and returns its address. It also starts a goroutine that
// starts the workers of machines as they boot.
func (s *Services) ServeCloud() (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", s.serveMachineTypes)
	mux.HandleFunc("POST /rentals", s.serveScaleOut)
	mux.HandleFunc("POST /rentals/return", s.serveScaleIn)
	mux.HandleFunc("GET /rentals", s.serveMachines)
	go s.startBootedWorkers()
	return s.serve(mux)
}

// machineType is a machine type on the wire.
type machineType struct {
	Name             string   `json:"name"`
	CPU              float64  `json:"vcpus"`
	GPU              float64  `json:"accelerators"`
	Memory           float64  `json:"memoryGb"`
	CacheGB          float64  `json:"cacheGb"`
	FetchGBPerSecond float64  `json:"pullGbPerS"`
	Price            float64  `json:"rate"`
	SpotPrice        float64  `json:"spotPrice"`
	BootSeconds      float64  `json:"bootS"`
	Zones            []string `json:"yards"`
}

func (s *Services) serveMachineTypes(w http.ResponseWriter, _ *http.Request) {
	types := []machineType{}
	for _, t := range s.Cloud.MachineTypes {
		types = append(types, machineType{
			Name:             t.Name,
			CPU:              float64(t.Capacity.CPU) / amountsPerUnit,
			Memory:           float64(t.Capacity.Memory) / amountsPerUnit,
			CacheGB:          t.CacheGB,
			FetchGBPerSecond: t.FetchGBPerSecond,
			Price:            t.OnDemandPrice,
			SpotPrice:        t.SpotPrice,
			BootSeconds:      t.BootSeconds,
			Zones:            t.Zones,
		})
	}
	writeJSON(w, http.StatusOK, struct {
		Types []machineType `json:"fleets"`
	}{types})
}

// scaleOutRequest is the body of a scale-out request.
type scaleOutRequest struct {
	Name  string `json:"charter"`
	Type  string `json:"fleet"`
	Zone  string `json:"yard"`
	Spot  bool   `json:"standby"`
	Count int    `json:"count"`
}

// machineIDs is the body of a scale-out response and of a scale-in request.
type machineIDs struct {
	IDs []cluster.MachineID `json:"coaches"`
}

func (s *Services) serveScaleOut(w http.ResponseWriter, request *http.Request) {
	var body scaleOutRequest
	if !readJSON(w, request, &body) {
		return
	}
	if body.Name == "" || body.Count < 1 || body.Count > maxScaleOutCount {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	scaleOut := messages.CloudScaleOut{Name: body.Name, Type: body.Type, Zone: body.Zone, Spot: body.Spot, Count: body.Count}
	var reply messages.ScaleOutReply
	s.WithLock(func() { reply = s.Cloud.ScaleOut(s.now(), scaleOut) })
	if reply.Outcome != messages.OK {
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{Error: "no capacity"})
		return
	}
	writeJSON(w, http.StatusOK, machineIDs{IDs: reply.IDs})
}

func (s *Services) serveScaleIn(w http.ResponseWriter, request *http.Request) {
	var body machineIDs
	if !readJSON(w, request, &body) {
		return
	}
	s.WithLock(func() {
		for _, id := range body.IDs {
			s.Cloud.RemoveMachine(id)
			if worker := s.workers[id]; worker != nil {
				worker.terminate()
			}
		}
	})
	writeJSON(w, http.StatusOK, struct{}{})
}

// listedMachine is an entry of the machine list on the wire.
type listedMachine struct {
	ID         cluster.MachineID `json:"id"`
	Address    string            `json:"addr"`
	Type       string            `json:"fleet"`
	Zone       string            `json:"yard"`
	Spot       bool              `json:"standby"`
	Status     string            `json:"status"`
	AgeSeconds float64           `json:"ageS"`
}

func (s *Services) serveMachines(w http.ResponseWriter, request *http.Request) {
	machines := []listedMachine{}
	truncated := false
	s.WithLock(func() {
		var page []cluster.ListedMachine
		page, truncated = s.Cloud.ListPage(s.now(), cluster.MachineID(request.URL.Query().Get("since")))
		for _, machine := range page {
			machines = append(machines, s.encodeMachine(machine))
		}
	})
	writeJSON(w, http.StatusOK, struct {
		Machines  []listedMachine `json:"coaches"`
		Truncated bool            `json:"truncated"`
	}{Machines: machines, Truncated: truncated})
}

func (s *Services) encodeMachine(machine cluster.ListedMachine) listedMachine {
	encoded := listedMachine{
		ID:         machine.ID,
		Type:       machine.Type,
		Zone:       machine.Zone,
		Spot:       machine.Spot,
		Status:     machine.Status,
		AgeSeconds: machine.AgeSeconds,
	}
	if worker := s.workers[machine.ID]; worker != nil {
		encoded.Address = worker.address
	}
	return encoded
}

// startBootedWorkers starts the workers of machines as they boot, until Close.
func (s *Services) startBootedWorkers() {
	for s.ctx.Err() == nil {
		var booted []cluster.ListedMachine
		s.WithLock(func() { booted = s.Cloud.CompleteBoots(s.now()) })
		for _, machine := range booted {
			s.startWorker(machine)
		}
		time.Sleep(bootPollInterval)
	}
}
