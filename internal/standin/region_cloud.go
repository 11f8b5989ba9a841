package standin

import (
	"net/http"
	"time"

	"stairrelay/internal/core"
)

const (
	// maxRental is the largest number of machines that one request may ask for.
	maxRental = 50
	// bootPoll is how often the region looks for machines that have booted.
	bootPoll = 50 * time.Millisecond
	// amountsPerUnit: core.Amount counts millionths.
	amountsPerUnit = 1e6
)

// ServeCloud starts the cloud and the workers of its machines, and returns the
// cloud's address.
func (r *Region) ServeCloud() (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", r.serveTypes)
	mux.HandleFunc("POST /rentals", r.serveRental)
	mux.HandleFunc("POST /rentals/return", r.serveReturn)
	mux.HandleFunc("GET /rentals", r.serveMachines)
	go r.bootMachines()
	return r.serve(mux)
}

// typeForm is a machine type.
type typeForm struct {
	Name      string   `json:"name"`
	CPU       float64  `json:"vcpus"`
	GPU       float64  `json:"accelerators"`
	Memory    float64  `json:"memoryGb"`
	Cache     float64  `json:"cacheGb"`
	Fetch     float64  `json:"pullGbPerS"`
	Price     float64  `json:"rate"`
	SpotPrice float64  `json:"spotPrice"`
	Boot      float64  `json:"bootS"`
	Zones     []string `json:"yards"`
}

func (r *Region) serveTypes(w http.ResponseWriter, _ *http.Request) {
	forms := []typeForm{}
	for _, t := range r.Cloud.Types {
		forms = append(forms, typeForm{
			Name:      t.Name,
			CPU:       float64(t.Cap.CPU) / amountsPerUnit,
			Memory:    float64(t.Cap.Mem) / amountsPerUnit,
			Cache:     t.CacheGB,
			Fetch:     t.FetchGBs,
			Price:     t.Price,
			SpotPrice: t.SpotPrice,
			Boot:      t.BootS,
			Zones:     t.Zones,
		})
	}
	writeJSON(w, http.StatusOK, struct {
		Types []typeForm `json:"fleets"`
	}{forms})
}

// rentalForm is a rental request.
type rentalForm struct {
	Name  string `json:"charter"`
	Type  string `json:"fleet"`
	Zone  string `json:"yard"`
	Spot  bool   `json:"standby"`
	Count int    `json:"count"`
}

// idsForm is a list of machines' ids.
type idsForm struct {
	IDs []core.MachineID `json:"coaches"`
}

func (r *Region) serveRental(w http.ResponseWriter, request *http.Request) {
	var form rentalForm
	if !readJSON(w, request, &form) {
		return
	}
	if form.Name == "" || form.Count < 1 || form.Count > maxRental {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	rent := core.CloudRent{Name: form.Name, Type: form.Type, Zone: form.Zone, Spot: form.Spot, Count: form.Count}
	var reply core.RentReply
	r.Locked(func() { reply = r.Cloud.Rent(r.now(), rent) })
	if reply.Out != core.OK {
		writeJSON(w, http.StatusServiceUnavailable, errorForm{Error: "no capacity"})
		return
	}
	writeJSON(w, http.StatusOK, idsForm{IDs: reply.IDs})
}

func (r *Region) serveReturn(w http.ResponseWriter, request *http.Request) {
	var form idsForm
	if !readJSON(w, request, &form) {
		return
	}
	r.Locked(func() {
		for _, id := range form.IDs {
			r.Cloud.Take(id)
			if worker := r.workers[id]; worker != nil {
				worker.end()
			}
		}
	})
	writeJSON(w, http.StatusOK, struct{}{})
}

// machineForm is a line of the machine list.
type machineForm struct {
	ID     core.MachineID `json:"id"`
	Addr   string         `json:"addr"`
	Type   string         `json:"fleet"`
	Zone   string         `json:"yard"`
	Spot   bool           `json:"standby"`
	Status string         `json:"status"`
	Age    float64        `json:"ageS"`
}

func (r *Region) serveMachines(w http.ResponseWriter, request *http.Request) {
	forms := []machineForm{}
	truncated := false
	r.Locked(func() {
		var page []core.Listed
		page, truncated = r.Cloud.Page(r.now(), core.MachineID(request.URL.Query().Get("since")))
		for _, machine := range page {
			forms = append(forms, r.machineForm(machine))
		}
	})
	writeJSON(w, http.StatusOK, struct {
		Machines  []machineForm `json:"coaches"`
		Truncated bool          `json:"truncated"`
	}{Machines: forms, Truncated: truncated})
}

func (r *Region) machineForm(machine core.Listed) machineForm {
	form := machineForm{
		ID:     machine.ID,
		Type:   machine.Type,
		Zone:   machine.Zone,
		Spot:   machine.Spot,
		Status: machine.Status,
		Age:    machine.AgeS,
	}
	if worker := r.workers[machine.ID]; worker != nil {
		form.Addr = worker.addr
	}
	return form
}

// bootMachines starts the workers of machines that have booted.
func (r *Region) bootMachines() {
	for r.ctx.Err() == nil {
		var booted []core.Listed
		r.Locked(func() { booted = r.Cloud.Up(r.now()) })
		for _, machine := range booted {
			r.startWorker(machine)
		}
		time.Sleep(bootPoll)
	}
}
