package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	maxRentalCount  = 50
	maxReturnCount  = 100
	maxListedInPage = 500
	bootPoll        = 50 * time.Millisecond
)

// fleet is a machine type.
type fleet struct {
	Name       string   `json:"name"`
	VCPUs      float64  `json:"vcpus"`
	GPUs       float64  `json:"accelerators"`
	MemoryGB   float64  `json:"memoryGb"`
	CacheGB    float64  `json:"cacheGb"`
	PullGBPerS float64  `json:"pullGbPerS"`
	Rate       float64  `json:"rate"`
	SpotPrice  float64  `json:"spotPrice"`
	BootS      float64  `json:"bootS"`
	Yards      []string `json:"yards"`
}

// coach is a machine as the cloud lists it.
type coach struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Fleet   string  `json:"fleet"`
	Yard    string  `json:"yard"`
	Standby bool    `json:"standby"`
	Status  string  `json:"status"`
	AgeS    float64 `json:"ageS"`
	rented  time.Time
	upAt    time.Time
}

type cloudSnapshot struct {
	at   time.Time
	list []coach
}

// cloud is a stand-in of the cloud. Its machine list lags by listLag.
type cloud struct {
	fleets  []fleet
	listLag time.Duration
	boot    time.Duration // the boot time, if it is not that of the machine type
	onBoot  func(*coach)
	onGone  func(id string)

	mu        sync.Mutex
	capacity  map[string]int // by fleet, yard and kind
	coaches   []*coach       // in the order of their names
	charters  map[string][]string
	number    int
	snapshots []cloudSnapshot
	requests  bucket
}

func newCloud(fleets []fleet, capacity map[string]int, rps float64, listLag time.Duration) *cloud {
	return &cloud{
		fleets:   fleets,
		listLag:  listLag,
		capacity: capacity,
		charters: map[string][]string{},
		requests: bucket{rate: rps, level: 2 * rps, at: time.Now()},
	}
}

func capacityKey(fleet, yard string, standby bool) string {
	return fmt.Sprintf("%s/%s/%t", fleet, yard, standby)
}

func (c *cloud) fleetOf(name string) fleet {
	for _, f := range c.fleets {
		if f.Name == name {
			return f
		}
	}
	return fleet{}
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, map[string]any{"fleets": c.fleets})
	})
	mux.HandleFunc("POST /rentals", c.serveRental)
	mux.HandleFunc("POST /rentals/return", c.serveReturn)
	mux.HandleFunc("GET /rentals", c.serveList)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		allowed := c.requests.take(1)
		c.mu.Unlock()
		if !allowed {
			answer(w, http.StatusTooManyRequests, map[string]any{"error": "too many requests"})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// add adds a machine that boots in the given time. The caller holds the lock.
func (c *cloud) add(fleetName, yard string, standby bool, boot time.Duration) *coach {
	c.number++
	now := time.Now()
	added := &coach{
		ID: fmt.Sprintf("m-%06d", c.number), Fleet: fleetName, Yard: yard, Standby: standby,
		Status: "booting", rented: now, upAt: now.Add(boot),
	}
	c.coaches = append(c.coaches, added)
	return added
}

// addUp adds machines in zone "a" that are up within a moment and that nobody rented.
func (c *cloud) addUp(fleetName string, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range count {
		c.add(fleetName, "a", false, 0)
	}
}

// run boots machines and takes snapshots of the list until stop is closed.
func (c *cloud) run(stop <-chan struct{}) {
	for {
		c.mu.Lock()
		now := time.Now()
		var booted []*coach
		list := make([]coach, 0, len(c.coaches))
		for _, machine := range c.coaches {
			if machine.Status == "booting" && !now.Before(machine.upAt) {
				machine.Status = "running"
				booted = append(booted, machine)
			}
			listed := *machine
			listed.AgeS = now.Sub(machine.rented).Seconds()
			list = append(list, listed)
		}
		c.snapshots = append(c.snapshots, cloudSnapshot{now, list})
		for len(c.snapshots) > 1 && now.Sub(c.snapshots[1].at) > c.listLag {
			c.snapshots = c.snapshots[1:]
		}
		c.mu.Unlock()
		for _, machine := range booted {
			c.onBoot(machine)
		}
		select {
		case <-stop:
			return
		case <-time.After(bootPoll):
		}
	}
}

func (c *cloud) serveRental(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Charter string `json:"charter"`
		Fleet   string `json:"fleet"`
		Yard    string `json:"yard"`
		Standby bool   `json:"standby"`
		Count   int    `json:"count"`
	}
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body) != nil ||
		body.Charter == "" || body.Count < 1 || body.Count > maxRentalCount || c.fleetOf(body.Fleet).Name == "" {
		answer(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, repeated := c.charters[body.Charter]; repeated {
		answer(w, http.StatusOK, map[string]any{"coaches": names})
		return
	}
	key := capacityKey(body.Fleet, body.Yard, body.Standby)
	count := min(body.Count, c.capacity[key])
	if count == 0 {
		answer(w, http.StatusServiceUnavailable, map[string]any{"error": "no capacity"})
		return
	}
	c.capacity[key] -= count
	boot := c.boot
	if boot == 0 {
		boot = time.Duration(c.fleetOf(body.Fleet).BootS * float64(time.Second))
	}
	names := []string{}
	for range count {
		names = append(names, c.add(body.Fleet, body.Yard, body.Standby, boot).ID)
	}
	c.charters[body.Charter] = names
	answer(w, http.StatusOK, map[string]any{"coaches": names})
}

func (c *cloud) serveReturn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Coaches []string `json:"coaches"`
	}
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body) != nil || len(body.Coaches) > maxReturnCount {
		answer(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	c.mu.Lock()
	for _, id := range body.Coaches {
		at := slices.IndexFunc(c.coaches, func(machine *coach) bool { return machine.ID == id })
		if at < 0 {
			continue
		}
		machine := c.coaches[at]
		c.capacity[capacityKey(machine.Fleet, machine.Yard, machine.Standby)]++
		c.coaches = slices.Delete(c.coaches, at, at+1)
	}
	c.mu.Unlock()
	for _, id := range body.Coaches {
		c.onGone(id)
	}
	answer(w, http.StatusOK, map[string]any{})
}

func (c *cloud) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	page, err := strconv.Atoi(query.Get("page"))
	if err != nil || page < 1 || page > maxListedInPage {
		page = maxListedInPage
	}
	list, truncated := []coach{}, false
	c.mu.Lock()
	if len(c.snapshots) > 0 {
		for _, machine := range c.snapshots[0].list {
			if machine.ID <= query.Get("since") {
				continue
			}
			if len(list) == page {
				truncated = true
				break
			}
			list = append(list, machine)
		}
	}
	c.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"coaches": list, "truncated": truncated})
}
