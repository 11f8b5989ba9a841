package main

import (
	"time"
)

func init() { cases["pipeline"] = pipelineCase }

// pipelineSteps is the number of steps of the pipeline, each of two jobs.
const pipelineSteps = 32

// pipelineCase submits a pipeline whose last job has a deadline.
func pipelineCase(w *world, trouble bool) error {
	if err := w.upAll(8, 3); err != nil {
		return err
	}
	other := newJob(1, w.site.Teams[5].Name, 2, 20)
	if a := w.submit(other); a.Code != 201 {
		return errNotAccepted
	}
	var before []string
	number := 100
	for step := range pipelineSteps {
		var ids []string
		for second := range 2 {
			number++
			j := newJob(number, w.site.Teams[0].Name, 1, 0.2)
			j.RuntimeS = 10 + float64(second)*0.00001*float64(int64(1)<<step)
			j.Awaits = before
			if a := w.submit(j); a.Code != 201 {
				return errNotAccepted
			}
			ids = append(ids, j.ID)
		}
		before = ids
	}
	last := newJob(number+1, w.site.Teams[0].Name, 1, 0.2)
	last.Awaits, last.Urgency = before, "urgent"
	if trouble {
		last.Due = 3600
		w.logf("the last job of the pipeline has a deadline")
	}
	w.mu.Lock()
	w.jobs[last.ID], last.submitted = last, true
	w.mu.Unlock()
	sent := time.Now()
	w.check(last, "submit", sent, w.call(w.pick(), "POST", "/v2/runs", last.body(), 5*time.Second))
	for time.Since(sent) < 80*time.Second {
		w.sleep(4)
		for _, n := range w.nodes {
			a := w.call(n, "GET", "/healthz", "", time.Second)
			w.logf("probe of %s: %d", n.name, a.Code)
		}
		if w.poll(other, w.pick()).Status == "done" {
			return nil
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaks("accepted_must_run", "%s was accepted %.0f s ago and has done %d of its %d tasks of 20 s", other.ID, time.Since(other.acceptedAt).Seconds(), other.doneTasks, other.Legs)
	return nil
}
