package main

import "time"

func init() { cases["pipeline"] = pipelineCase }

// The pipeline has pipelineSteps steps of stepJobs jobs. Each job awaits all jobs of the step before.
const (
	pipelineSteps = 14
	stepJobs      = 8
)

// pipelineCase submits a pipeline and cancels a job of its first step.
func pipelineCase(w *world, trouble bool) error {
	if err := w.upAll(8, 6); err != nil {
		return err
	}
	var steps [][]*job
	var before []string
	for step := range pipelineSteps {
		var jobs []*job
		var ids []string
		for i := range stepJobs {
			j := newJob(100+step*stepJobs+i, w.site.Teams[0].Name, 1, 1)
			if step == 0 {
				j.run = 8 * time.Second // the pipeline is submitted before its first step is over
			}
			j.Awaits = before
			if a := w.submit(j); a.Code != 201 && a.Code != 200 {
				return errNotAccepted
			}
			jobs, ids = append(jobs, j), append(ids, j.ID)
		}
		steps, before = append(steps, jobs), ids
	}
	other := newJob(1, w.site.Teams[3].Name, 2, 20)
	if a := w.submit(other); a.Code != 201 {
		return errNotAccepted
	}
	w.sleep(1)
	if trouble {
		go w.cancel(steps[0][0])
	}
	last := steps[pipelineSteps-1][0]
	begin := time.Now()
	for time.Since(begin) < 85*time.Second {
		w.sleep(4)
		for _, n := range w.nodes {
			a := w.call(n, "GET", "/healthz", "", time.Second)
			w.logf("probe of %s: %d", n.name, a.Code)
		}
		isOver := w.poll(other, w.pick()).Status == "done"
		if status := w.poll(last, w.pick()).Status; isOver && (status == "done" || status == "cancelled") {
			return nil
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if other.finalTold == "" {
		w.breaks("accepted_must_run", "%s was accepted %.0f s ago and has done %d of its %d tasks of 20 s", other.ID, time.Since(other.acceptedAt).Seconds(), other.doneTasks, other.Legs)
	}
	return nil
}
