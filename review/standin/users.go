package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	giveUpAfter   = 60 * time.Second
)

func get(client *http.Client, url string) (int, []byte, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// register tells the workers of a job; users upload its description.
func (p *platform) register(s submission, run time.Duration) {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	p.world.jobs[s.ID] = &jobInfo{
		ID: s.ID, Crew: s.Crew, VCPUs: s.VCPUs, MemoryGB: s.MemoryGB, Legs: s.Legs, Bundle: s.Bundle,
		Waypoint: s.WaypointS, Stow: s.StowS, run: run,
	}
}

// submitOnce submits a job to one controller and returns the status, or 0 without an answer.
func (p *platform) submitOnce(i int, s submission) int {
	status, body, err := post(&http.Client{Timeout: submitTimeout}, "http://"+p.nodes[i].addr+"/v2/runs", s)
	if err != nil {
		status = 0
	}
	p.record.event("submitted", "job", s.ID, "node", p.nodes[i].name, "status", status, "view", decodeView(body).Status)
	return status
}

// submit submits a job as users do, and reports whether it was accepted.
func (p *platform) submit(s submission, run time.Duration) error {
	p.register(s, run)
	for begin, i := time.Now(), 0; time.Since(begin) < giveUpAfter; i++ {
		status := p.submitOnce(i%len(p.nodes), s)
		switch status {
		case http.StatusCreated, http.StatusOK:
			return nil
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return fmt.Errorf("%s was refused with %d", s.ID, status)
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%s was not accepted within %v", s.ID, giveUpAfter)
}

// poll asks one controller about a job. The status is 0 if there was no answer.
func (p *platform) poll(i int, id string) (int, jobView) {
	status, body, err := get(&http.Client{Timeout: pollTimeout}, "http://"+p.nodes[i].addr+"/v2/runs/"+id)
	if err != nil {
		status = 0
	}
	view := decodeView(body)
	p.record.event("polled", "job", id, "node", p.nodes[i].name, "status", status, "view", view.Status, "done", view.Done, "running", view.Running)
	return status, view
}
