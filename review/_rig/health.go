package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["health"] = healthCase }

// pollResult is the outcome of a poll of a job.
type pollResult struct {
	at time.Time
	ok bool
}

// healthCase lets the state service refuse one controller, while connections between it and the
// other controllers are refused. Its users' connections stay.
func healthCase(w *world, trouble bool) error {
	const users = 9
	if err := w.upAll(4, 6); err != nil {
		return err
	}
	b, err := newBalancer(w)
	if err != nil {
		return err
	}
	w.sleep(1.5)
	var list []*user
	for i := range users {
		j := newJob(i+1, w.site.Teams[i%len(w.site.Teams)].Name, 1, 300)
		w.mu.Lock()
		w.jobs[j.ID], j.submitted = j, true
		w.mu.Unlock()
		u := &user{w: w, j: j, base: "http://" + b.addr, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
		if a := u.do("submit", "POST", "/v2/runs", j.body(), 5*time.Second); a.Code != 201 {
			return errNotAccepted
		}
		list = append(list, u)
	}
	end := time.Now().Add(102 * time.Second)
	var wg sync.WaitGroup
	for _, u := range list {
		wg.Add(1)
		go func() {
			defer wg.Done()
			u.pollUntil(end)
		}()
	}
	w.sleep(1)
	if trouble {
		n := w.nodes[0]
		w.logf("the state service refuses %s alone; connections between %s and the other controllers are refused", n.name, n.name)
		w.store.setLink(n.index, linkPass, true)
		for _, o := range w.nodes[1:] {
			n.peerProxies[o.index].set(linkReset)
			o.peerProxies[n.index].set(linkReset)
		}
	}
	wg.Wait()
	b.mu.Lock()
	w.logf("balancer: answers to the probes of landing-0, by status: %v", b.nodes[0].codes)
	b.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range list {
		w.checkForgotten(u, list)
	}
	return nil
}

// checkForgotten checks that the polls for a job do not all fail for 90 s while most other polls
// are answered. The caller holds the lock.
func (w *world) checkForgotten(u *user, all []*user) {
	var from time.Time
	for _, p := range u.polls {
		switch {
		case p.ok:
			from = time.Time{}
		case from.IsZero():
			from = p.at
		case p.at.Sub(from) >= 90*time.Second:
			answered, others := 0, 0
			for _, other := range all {
				for _, o := range other.polls {
					if other != u && !o.at.Before(from) && !o.at.After(p.at) {
						others++
						if o.ok {
							answered++
						}
					}
				}
			}
			if 2*answered > others {
				w.breaks("forgotten", "every poll for %s failed for %.1f s, while %d of the %d other polls were answered", u.j.ID, p.at.Sub(from).Seconds(), answered, others)
			}
			return
		}
	}
}

// user is a user with a connection of its own through the balancer.
type user struct {
	w      *world
	j      *job
	base   string
	client *http.Client
	polls  []pollResult
}

func (u *user) do(what, method, path, body string, timeout time.Duration) answer {
	sent := time.Now()
	a := callWith(u.client, u.base, method, path, body, timeout)
	u.w.check(u.j, what, sent, a)
	return a
}

// pollUntil polls the user's job roughly every 5 s.
func (u *user) pollUntil(end time.Time) {
	for time.Now().Before(end) {
		a := u.do("poll", "GET", "/v2/runs/"+u.j.ID, "", 2*time.Second)
		u.w.mu.Lock()
		u.polls = append(u.polls, pollResult{time.Now(), a.Code == 200 || a.Code == 404})
		u.w.mu.Unlock()
		time.Sleep(4300 * time.Millisecond)
	}
}
