package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["stress"] = stress }

func envFloat(name string, def float64) float64 {
	if f, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return f
	}
	return def
}

func stress(w *world, trouble bool) error {
	seed := int64(envFloat("SEED", 1))
	r := rand.New(rand.NewSource(seed * 7919))
	if err := w.upAll(3, 4); err != nil {
		return err
	}
	length := envFloat("LENGTH", 70)
	w.store.replay = os.Getenv("REPLAY") == "1"
	w.store.slow = os.Getenv("SLOW") == "1"
	end := time.Now().Add(seconds(length))
	var wg sync.WaitGroup
	var all []*job
	number := 0
	wg.Add(1)
	go func() {
		defer wg.Done()
		ur := rand.New(rand.NewSource(seed * 31))
		for time.Now().Before(end) {
			number++
			tm := w.site.Teams[ur.Intn(len(w.site.Teams))].Name
			j := newJob(number, tm, 1+ur.Intn(8), 1+ur.Float64()*6)
			j.CPU = []float64{1, 1, 2, 4}[ur.Intn(4)]
			j.Image = fmt.Sprintf("img-%d", ur.Intn(4))
			j.Urgency = []string{"best_effort", "normal", "urgent"}[ur.Intn(3)]
			j.Standby = ur.Intn(3) > 0
			if ur.Intn(3) == 0 {
				j.waypoint, j.stow = 2, 1
			}
			switch ur.Intn(8) {
			case 0:
				j.SamePlace = true
			case 1:
				j.Scatter = true
			case 2:
				j.Yard = w.site.Zones[ur.Intn(3)]
			}
			if ur.Intn(6) == 0 {
				j.RuntimeS, j.run = 25, 25*time.Second
			}
			w.mu.Lock()
			if len(all) > 0 && ur.Intn(3) == 0 {
				for range 1 + ur.Intn(2) {
					d := all[ur.Intn(len(all))]
					if !d.acceptedAt.IsZero() && !contains(j.Awaits, d.ID) {
						j.Awaits = append(j.Awaits, d.ID)
					}
				}
			}
			all = append(all, j)
			w.mu.Unlock()
			cancelAfter := -1.0
			if ur.Intn(4) == 0 {
				cancelAfter = ur.Float64() * 12
			}
			wg.Add(1)
			go func() { defer wg.Done(); w.user(j, cancelAfter, end.Add(seconds(60))) }()
			time.Sleep(seconds(0.2 + ur.Float64()*1.2))
		}
	}()
	if trouble {
		wg.Add(1)
		go func() { defer wg.Done(); w.faults(r, end) }()
	}
	wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	stuck := 0
	for _, j := range all {
		if !j.acceptedAt.IsZero() && j.finalTold == "" {
			stuck++
			w.breaks("STUCK", "%s (%s, %d legs, done %d, awaits %v) cancelAsked %v", j.ID, j.Team, j.Legs, j.doneTasks, j.Awaits, j.cancelAsked)
		}
	}
	fmt.Println("jobs", len(all), "stuck", stuck)
	return nil
}

// user submits a job, polls it and may cancel it.
func (w *world) user(j *job, cancelAfter float64, until time.Time) {
	a := w.submit(j)
	if a.Code != 200 && a.Code != 201 {
		if a.Code == 400 || a.Code == 422 {
			w.mu.Lock()
			w.breaks("REFUSED", "%s got %d %s", j.ID, a.Code, a.Text)
			w.mu.Unlock()
		}
		return
	}
	accepted := time.Now()
	cancelled := false
	for time.Now().Before(until) {
		if cancelAfter >= 0 && !cancelled && time.Since(accepted).Seconds() > cancelAfter {
			cancelled = true
			w.cancel(j)
		}
		if rand.Intn(6) == 0 {
			sent := time.Now()
			w.check(j, "submit", sent, w.call(w.pick(), "POST", "/v2/runs", j.body(), 5*time.Second))
		}
		var wg sync.WaitGroup
		for _, n := range w.nodes {
			if rand.Intn(2) == 0 {
				wg.Add(1)
				go func() { defer wg.Done(); w.poll(j, n) }()
			}
		}
		wg.Wait()
		w.mu.Lock()
		final := j.finalTold != "" && time.Since(j.finalAt) > 6*time.Second
		w.mu.Unlock()
		if final {
			return
		}
		time.Sleep(seconds(0.5 + rand.Float64()*2))
	}
}

func (w *world) randomWorker(r *rand.Rand) *worker {
	var list []*worker
	for _, m := range w.cloud.machines {
		if wk := w.workers[m.ID]; wk.up && !wk.gone {
			list = append(list, wk)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[r.Intn(len(list))]
}

// faults causes random troubles until the end, and then undoes all.
func (w *world) faults(r *rand.Rand, end time.Time) {
	var wg sync.WaitGroup
	during := func(d float64, on, off func()) {
		on()
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(min(seconds(d), max(0, time.Until(end))))
			off()
		}()
	}
	busy := map[int]bool{}
	var bmu sync.Mutex
	for time.Now().Before(end) {
		time.Sleep(seconds(1 + r.Float64()*5))
		n := w.nodes[r.Intn(len(w.nodes))]
		d := 2 + r.Float64()*16
		kind := r.Intn(16)
		bmu.Lock()
		taken := busy[n.index]
		if kind < 3 && !taken {
			busy[n.index] = true
		}
		bmu.Unlock()
		free := func() { bmu.Lock(); busy[n.index] = false; bmu.Unlock() }
		switch kind {
		case 0, 1:
			if taken {
				continue
			}
			back := []float64{0.2, 1, 6}[r.Intn(3)]
			during(back, func() { w.kill(n) }, func() { _ = w.startNode(n); free() })
		case 2:
			if taken {
				continue
			}
			during(d, func() { w.pause(n) }, func() { w.resume(n); free() })
		case 3, 4:
			mode := []linkMode{linkHold, linkReset, linkPass}[r.Intn(3)]
			during(d, func() { w.logf("store link of %s: %d", n.name, mode); w.store.setLink(n.index, mode, mode == linkPass) },
				func() { w.store.setLink(n.index, linkPass, false); w.logf("store link of %s: back", n.name) })
		case 5:
			during(d, func() { w.logf("store down"); w.store.setDown(true) }, func() { w.store.setDown(false); w.logf("store up") })
		case 6:
			mode := []linkMode{linkHold, linkReset}[r.Intn(2)]
			during(d, func() {
				w.logf("peers of %s cut: %d", n.name, mode)
				for _, o := range w.nodes {
					if o != n {
						n.peerProxies[o.index].set(mode)
						o.peerProxies[n.index].set(mode)
					}
				}
			}, func() {
				w.logf("peers of %s back", n.name)
				for _, o := range w.nodes {
					if o != n {
						n.peerProxies[o.index].set(linkPass)
						o.peerProxies[n.index].set(linkPass)
					}
				}
			})
		case 7:
			mode := []linkMode{linkHold, linkReset}[r.Intn(2)]
			during(d, func() { w.logf("workers of %s cut: %d", n.name, mode); n.workerProxy.set(mode) }, func() { n.workerProxy.set(linkPass); w.logf("workers of %s back", n.name) })
		case 8, 9, 10, 11:
			w.mu.Lock()
			wk := w.randomWorker(r)
			w.mu.Unlock()
			if wk == nil {
				continue
			}
			during(d, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				switch kind {
				case 8, 9:
					wk.setHung(true)
				case 10:
					wk.setCut(true)
				case 11:
					wk.noOrders = true
					w.logf("worker: %s gets no orders", wk.m.ID)
				}
			}, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				wk.setHung(false)
				if kind == 10 {
					wk.setCut(false)
				}
				wk.noOrders = false
				wk.cond.Broadcast()
			})
		case 12:
			w.mu.Lock()
			if wk := w.randomWorker(r); wk != nil && wk.m.Spot {
				w.cloud.take(wk.m)
			}
			w.mu.Unlock()
		case 13:
			during(d, func() { w.mu.Lock(); w.cloud.down = true; w.logf("cloud down"); w.mu.Unlock() }, func() { w.mu.Lock(); w.cloud.down = false; w.logf("cloud up"); w.mu.Unlock() })
		case 14:
			during(d, func() { w.store.mu.Lock(); w.store.latency = 60 * time.Millisecond; w.store.mu.Unlock() }, func() { w.store.mu.Lock(); w.store.latency = 4 * time.Millisecond; w.store.mu.Unlock() })
		case 15:
			bmu.Lock()
			any := busy[0] || busy[1] || busy[2]
			if !any {
				busy[0], busy[1], busy[2] = true, true, true
			}
			bmu.Unlock()
			if any {
				continue
			}
			during([]float64{0.3, 3, 6}[r.Intn(3)], func() {
				for _, n := range w.nodes {
					w.kill(n)
				}
			}, func() {
				for _, n := range w.nodes {
					_ = w.startNode(n)
				}
				bmu.Lock()
				busy[0], busy[1], busy[2] = false, false, false
				bmu.Unlock()
			})
		}
	}
	wg.Wait()
}
