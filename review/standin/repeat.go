package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
)

// link is the network between the controllers and one machine. It passes direct commands on
// at once, and keeps a copy of those that the machine has carried out.
type link struct {
	record *recorder
	target string

	mu     sync.Mutex
	copies []orders
}

// newLink starts the link to a worker's own address and returns the address at which the
// controllers reach it.
func (p *platform) newLink(target string) (*link, string, error) {
	l := &link{record: p.record, target: target}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", l.serveOrders)
	mux.HandleFunc("GET /inspect", func(w http.ResponseWriter, _ *http.Request) {
		status, body, err := get(http.DefaultClient, "http://"+target+"/inspect")
		l.pass(w, status, body, err)
	})
	addr, err := p.serve(mux)
	return l, addr, err
}

func (l *link) pass(w http.ResponseWriter, status int, body []byte, err error) {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (l *link) serveOrders(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	status, body, err := l.forward(text)
	var copied orders
	if err == nil && status == http.StatusOK && json.Unmarshal(text, &copied) == nil {
		l.mu.Lock()
		l.copies = append(l.copies, copied)
		l.mu.Unlock()
	}
	l.pass(w, status, body, err)
}

func (l *link) forward(text []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+l.target+"/orders", bytes.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// repeat delivers again the direct command that started a task, and returns the answer's
// status, or 0 if there was no such command.
func (l *link) repeat(leg string) int {
	l.mu.Lock()
	at := slices.IndexFunc(l.copies, func(o orders) bool {
		return slices.ContainsFunc(o.Dispatches, func(d dispatch) bool { return d.Verb == "start" && d.Leg == leg })
	})
	if at < 0 {
		l.mu.Unlock()
		return 0
	}
	text, _ := json.Marshal(map[string]any{"baton": l.copies[at].Baton, "shift": l.copies[at].Shift, "dispatches": l.copies[at].Dispatches})
	l.mu.Unlock()
	status, _, _ := l.forward(text)
	l.record.event("repeated", "leg", leg, "status", status)
	return status
}
