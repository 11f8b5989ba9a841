package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"time"
)

// job is a job of the users. The world's lock guards it.
type job struct {
	ID             string
	Team           string
	Legs           int
	CPU, Memory    float64
	Image          string
	Urgency        string
	Fleets         []string
	Yard           string
	SamePlace      bool
	Scatter        bool
	Standby        bool
	Awaits         []string
	Due            float64
	RuntimeS       float64
	run            time.Duration
	waypoint, stow float64
	fails          bool
	add            string // raw JSON fields in addition

	submitted   bool
	acceptedAt  time.Time // when its user was told
	cancelAsked bool
	cancelledAt time.Time
	finalTold   string
	finalAt     time.Time
	doneTasks   int
	lastDone    time.Time
	starts      map[string]int
}

func (j *job) body() string {
	fields := map[string]any{"id": j.ID, "route": "c", "crew": j.Team, "shape": "sweep", "urgency": j.Urgency, "legs": j.Legs, "vcpus": j.CPU,
		"accelerators": 0.0, "memoryGb": j.Memory, "bundle": j.Image, "sizeGb": 0.5, "fleets": nil, "yard": nil, "samePlace": j.SamePlace,
		"scatter": j.Scatter, "standby": j.Standby, "runtimeS": j.RuntimeS, "waypointS": j.waypoint, "stowS": j.stow, "dueS": nil}
	if j.Fleets != nil {
		fields["fleets"] = j.Fleets
	}
	if j.Yard != "" {
		fields["yard"] = j.Yard
	}
	if j.Due > 0 {
		fields["dueS"] = j.Due
	}
	if j.Awaits != nil {
		fields["awaits"] = j.Awaits
	}
	text, _ := json.Marshal(fields)
	if j.add != "" {
		text = append(text[:len(text)-1], []byte(","+j.add+"}")...)
	}
	return string(text)
}

// newJob returns a job of small tasks.
func newJob(number int, team string, legs int, run float64) *job {
	return &job{ID: fmt.Sprintf("j-%06d", number), Team: team, Legs: legs, CPU: 1, Memory: 2, Image: "img-1", Urgency: "normal", Standby: true,
		RuntimeS: run, run: time.Duration(run * float64(time.Second)), starts: map[string]int{}}
}

// answer is the answer to a user's request.
type answer struct {
	Code   int
	Status string
	Text   string
}

// call sends a user's request to a node. The code is 0 if no answer came.
func (w *world) call(n *node, method, path, body string, timeout time.Duration) answer {
	return callWith(userClient(), "http://"+n.listen, method, path, body, timeout)
}

func callWith(client *http.Client, base, method, path, body string, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, base+path, strings.NewReader(body))
	if err != nil {
		return answer{}
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	var view struct{ Status string }
	_ = json.Unmarshal(text, &view)
	return answer{response.StatusCode, view.Status, strings.TrimSpace(string(text))}
}

var userTransport = &http.Transport{MaxIdleConnsPerHost: 50, IdleConnTimeout: 10 * time.Second}

func userClient() *http.Client {
	return &http.Client{Transport: userTransport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// pick returns a node for a new connection of a user.
func (w *world) pick() *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var up []*node
	for _, n := range w.nodes {
		if n.cmd != nil {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return w.nodes[w.rng.Intn(len(w.nodes))]
	}
	return up[w.rng.Intn(len(up))]
}

// check compares an answer about a job with what its user was told before the request was sent.
func (w *world) check(j *job, what string, sent time.Time, a answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.Code != 0 {
		w.logf("user: %s %s: %d %s", what, j.ID, a.Code, a.Text)
	} else {
		w.logf("user: %s %s: no answer", what, j.ID)
	}
	known := !j.acceptedAt.IsZero() && j.acceptedAt.Before(sent)
	if known && (a.Code == 404 || what == "submit" && (a.Code == 400 || a.Code == 422)) {
		w.breaks("forgotten", "%s of %s got %d", what, j.ID, a.Code)
	}
	if a.Code != 200 && a.Code != 201 {
		return
	}
	if !j.submitted {
		w.breaks("invented", "%s of %s, which nobody submitted, got %d", what, j.ID, a.Code)
	}
	if j.acceptedAt.IsZero() {
		j.acceptedAt = time.Now()
	}
	if j.finalTold != "" && j.finalAt.Before(sent) && a.Status != j.finalTold {
		w.breaks("went_back", "%s was called %s and then %s", j.ID, j.finalTold, a.Status)
	}
	switch a.Status {
	case "done":
		if j.doneTasks < j.Legs {
			w.breaks("not_done", "%s is called done with %d of %d tasks done", j.ID, j.doneTasks, j.Legs)
		}
	case "cancelled":
		if !w.mayBeCancelled(j) {
			w.breaks("went_back", "%s is called cancelled, which its user did not ask for", j.ID)
		}
		if j.cancelledAt.IsZero() {
			j.cancelledAt = time.Now()
		}
	default:
		return
	}
	if j.finalTold == "" {
		j.finalTold, j.finalAt = a.Status, time.Now()
	}
}

func (w *world) mayBeCancelled(j *job) bool {
	if j.cancelAsked {
		return true
	}
	for _, id := range j.Awaits {
		if d := w.jobs[id]; d != nil && w.mayBeCancelled(d) {
			return true
		}
	}
	return false
}

// submit submits a job as a user does, and returns the last answer.
func (w *world) submit(j *job) answer {
	w.mu.Lock()
	w.jobs[j.ID] = j
	j.submitted = true
	w.mu.Unlock()
	return w.retry(j, "submit", "POST", "/v2/runs", j.body(), 5*time.Second, func(a answer) bool {
		return a.Code == 200 || a.Code == 201 || a.Code == 400 || a.Code == 422
	})
}

func (w *world) cancel(j *job) answer {
	w.mu.Lock()
	j.cancelAsked = true
	w.mu.Unlock()
	return w.retry(j, "cancel", "POST", "/v2/runs/"+j.ID+"/cancel", "", 5*time.Second, func(a answer) bool {
		return a.Code == 200 && (a.Status == "cancelled" || a.Status == "done")
	})
}

func (w *world) retry(j *job, what, method, path, body string, timeout time.Duration, isLast func(answer) bool) answer {
	until := time.Now().Add(60 * time.Second)
	for {
		sent := time.Now()
		a := w.call(w.pick(), method, path, body, timeout)
		w.check(j, what, sent, a)
		if isLast(a) || time.Now().After(until) {
			return a
		}
		time.Sleep(time.Second)
	}
}

// poll asks a node for a job's status.
func (w *world) poll(j *job, n *node) answer {
	sent := time.Now()
	a := w.call(n, "GET", "/v2/runs/"+j.ID, "", 2*time.Second)
	w.check(j, "poll", sent, a)
	return a
}

func (w *world) typeOf(name string) machineType {
	for _, t := range w.site.Types {
		if t.Name == name {
			return t
		}
	}
	return machineType{}
}

// taskStarts checks the rules at the start of a task. The caller holds the lock.
func (w *world) taskStarts(on *worker, t *task) {
	j := t.job
	j.starts[t.ID]++
	w.logf("task: %s %d starts on %s", t.ID, t.Attempt, on.m.ID)
	zones := map[string]int{}
	for _, other := range w.workers {
		for _, o := range other.tasks {
			if o == t || !o.on() {
				continue
			}
			if o.ID == t.ID {
				w.breaks("ran_twice", "%s starts on %s (%d) while it is on %s (%d)", t.ID, on.m.ID, t.Attempt, other.m.ID, o.Attempt)
			}
			if o.job == j {
				zones[other.m.Zone]++
			}
		}
	}
	if j.Yard != "" && j.Yard != on.m.Zone || on.m.Spot && !j.Standby || j.Fleets != nil && !contains(j.Fleets, on.m.Type) {
		w.breaks("wrong_place", "%s starts on %s (%s, %s, spot %v)", t.ID, on.m.ID, on.m.Type, on.m.Zone, on.m.Spot)
	}
	if j.SamePlace && len(zones) > 0 && (len(zones) > 1 || zones[on.m.Zone] == 0) || j.Scatter && zones[on.m.Zone]+1 > (j.Legs+1)/2 {
		w.breaks("wrong_place", "%s starts in %s, other tasks: %v", t.ID, on.m.Zone, zones)
	}
	for _, id := range j.Awaits {
		if d := w.jobs[id]; d != nil && d.doneTasks < d.Legs {
			w.breaks("too_early", "%s starts before %s is done", t.ID, id)
		}
	}
	w.checkQuota(j.Team)
	w.checkCancelled(on, t)
}

func contains(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}

func (w *world) checkQuota(team string) {
	used := 0.0
	for _, wk := range w.workers {
		for _, t := range wk.tasks {
			if t.on() && t.job.Team == team {
				used += t.job.CPU
			}
		}
	}
	for _, t := range w.site.Teams {
		if t.Name == team && used > t.CPUsMax+1e-6 {
			w.breaks("quota", "%s uses %.1f of %.1f CPUs", team, used, t.CPUsMax)
		}
	}
}

func (w *world) checkCancelled(on *worker, t *task) {
	if c := t.job.cancelledAt; !c.IsZero() && time.Since(c).Seconds() > w.site.CancelS {
		w.breaks("ran_cancelled", "%s %d is on %s %.1f s after its user was told", t.ID, t.Attempt, on.m.ID, time.Since(c).Seconds())
	}
}

// tick lets the workers go on and checks the rules that depend on time.
func (w *world) tick() {
	told := map[string]bool{}
	for {
		select {
		case <-w.stopped:
			return
		case <-time.After(20 * time.Millisecond):
		}
		w.mu.Lock()
		for _, wk := range w.workers {
			wk.advance()
			for key, t := range wk.tasks {
				if t.on() && !t.job.cancelledAt.IsZero() && time.Since(t.job.cancelledAt).Seconds() > w.site.CancelS && !told[key] {
					told[key] = true
					w.checkCancelled(wk, t)
				}
			}
		}
		w.mu.Unlock()
	}
}

func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }
