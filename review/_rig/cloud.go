package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// cloud is a stand-in of the cloud.
type cloud struct {
	w        *world
	addr     string
	down     bool
	machines []*machine
	rentals  map[string][]string // by name of the request
	free     map[string]int      // by type/zone/kind
	level    float64
	levelAt  time.Time
}

// machine is a rented machine.
type machine struct {
	ID, Type, Zone, Addr string
	Spot                 bool
	RentedAt, UpAt       time.Time
	Up                   bool
	GoneAt               time.Time
	Failed               bool
}

func newCloud(w *world) (*cloud, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{w: w, addr: l.Addr().String(), rentals: map[string][]string{}, free: map[string]int{}, level: 2 * w.site.CloudRPS, levelAt: time.Now()}
	go func() { _ = http.Serve(l, c) }()
	return c, nil
}

func kindKey(t, zone string, spot bool) string { return fmt.Sprintf("%s/%s/%v", t, zone, spot) }

func (c *cloud) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body := readAll(r, 64<<10)
	time.Sleep(30 * time.Millisecond)
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	now := time.Now()
	c.level = min(c.level+now.Sub(c.levelAt).Seconds()*c.w.site.CloudRPS, 2*c.w.site.CloudRPS)
	c.levelAt = now
	if c.down {
		writeJSON(rw, 503, map[string]any{"error": "trouble"})
		return
	}
	if c.level < 1 {
		writeJSON(rw, 429, map[string]any{"error": "too many requests"})
		return
	}
	c.level--
	switch r.Method + " " + r.URL.Path {
	case "GET /flavors":
		c.flavors(rw)
	case "POST /rentals":
		c.rent(rw, body)
	case "POST /rentals/return":
		c.giveBack(rw, body)
	case "GET /rentals":
		c.list(rw, r)
	default:
		writeJSON(rw, 400, map[string]any{"error": "malformed"})
	}
}

func (c *cloud) flavors(rw http.ResponseWriter) {
	var types []map[string]any
	for _, t := range c.w.site.Types {
		types = append(types, map[string]any{"name": t.Name, "vcpus": t.CPU, "accelerators": 0.0, "memoryGb": t.Memory, "cacheGb": t.CacheGB,
			"pullGbPerS": t.Gbs, "rate": t.Price, "spotPrice": t.Spot, "bootS": t.BootS, "yards": t.Zones})
	}
	writeJSON(rw, 200, map[string]any{"fleets": types})
}

// add rents a machine. The caller holds the lock.
func (c *cloud) add(t, zone string, spot bool, boot time.Duration) *machine {
	m := &machine{ID: fmt.Sprintf("m-%06d", len(c.machines)+1), Type: t, Zone: zone, Spot: spot, RentedAt: time.Now(), UpAt: time.Now().Add(boot)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	m.Addr = l.Addr().String()
	c.machines = append(c.machines, m)
	wk := newWorker(c.w, m, l)
	c.w.workers[m.ID] = wk
	go func() {
		time.Sleep(time.Until(m.UpAt))
		c.w.mu.Lock()
		gone := !m.GoneAt.IsZero()
		m.Up = true
		c.w.mu.Unlock()
		if !gone {
			wk.run()
		}
	}()
	return m
}

func (c *cloud) rent(rw http.ResponseWriter, body []byte) {
	var b struct {
		Charter, Fleet, Yard string
		Standby              bool
		Count                int
	}
	if json.Unmarshal(body, &b) != nil || b.Charter == "" || b.Count < 1 || b.Count > 50 {
		writeJSON(rw, 400, map[string]any{"error": "malformed"})
		return
	}
	if ids, ok := c.rentals[b.Charter]; ok {
		c.w.logf("cloud: %s again: %v", b.Charter, ids)
		writeJSON(rw, 200, map[string]any{"coaches": ids})
		return
	}
	key := kindKey(b.Fleet, b.Yard, b.Standby)
	count := min(b.Count, c.free[key])
	if count == 0 {
		writeJSON(rw, 503, map[string]any{"error": "no capacity"})
		return
	}
	c.free[key] -= count
	ids := []string{}
	for range count {
		ids = append(ids, c.add(b.Fleet, b.Yard, b.Standby, c.w.bootFor()).ID)
	}
	c.rentals[b.Charter] = ids
	c.w.logf("cloud: rented %s %s: %v", b.Charter, key, ids)
	writeJSON(rw, 200, map[string]any{"coaches": ids})
}

func (c *cloud) giveBack(rw http.ResponseWriter, body []byte) {
	var b struct{ Coaches []string }
	if json.Unmarshal(body, &b) != nil || len(b.Coaches) > 100 {
		writeJSON(rw, 400, map[string]any{"error": "malformed"})
		return
	}
	c.w.logf("cloud: returned %v", b.Coaches)
	for _, id := range b.Coaches {
		for _, m := range c.machines {
			if m.ID == id && m.GoneAt.IsZero() {
				m.GoneAt = time.Now()
				c.free[kindKey(m.Type, m.Zone, m.Spot)]++
				c.w.workers[id].vanish()
			}
		}
	}
	writeJSON(rw, 200, map[string]any{})
}

// take takes a spot machine back. The caller holds the lock.
func (c *cloud) take(m *machine) {
	if m.GoneAt.IsZero() {
		m.GoneAt = time.Now()
		c.w.logf("cloud: took %s", m.ID)
		c.w.workers[m.ID].vanish()
	}
}

func (c *cloud) list(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, _ := strconv.Atoi(q.Get("page"))
	if page <= 0 || page > 500 {
		page = 500
	}
	lag := time.Duration(c.w.site.ListLag * float64(time.Second))
	asOf := time.Now().Add(-lag)
	items, truncated := []map[string]any{}, false
	for _, m := range c.machines {
		if m.ID <= q.Get("since") || m.RentedAt.After(asOf) || !m.GoneAt.IsZero() && m.GoneAt.Before(asOf) {
			continue
		}
		if len(items) == page {
			truncated = true
			break
		}
		status := "running"
		if m.UpAt.After(asOf) {
			status = "booting"
		}
		items = append(items, map[string]any{"id": m.ID, "addr": m.Addr, "fleet": m.Type, "yard": m.Zone, "standby": m.Spot, "status": status,
			"ageS": asOf.Sub(m.RentedAt).Seconds()})
	}
	writeJSON(rw, 200, map[string]any{"coaches": items, "truncated": truncated})
}
