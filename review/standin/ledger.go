package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

// event writes a line with the time since the start in seconds, what happened, and details
// given as names and values.
func (r *recorder) event(what string, details ...any) {
	var line strings.Builder
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&line, "%8.3f %s", time.Since(r.start).Seconds(), what)
	for i := 0; i+1 < len(details); i += 2 {
		fmt.Fprintf(&line, " %v=%v", details[i], details[i+1])
	}
	_, _ = fmt.Fprintln(r.file, line.String()) // a record that can't be written does not change the verdict
}

func (r *recorder) since() float64 { return time.Since(r.start).Seconds() }

// ledger knows on which machines each task is, from when it has its image until it exits.
// The lock of the world guards it.
type ledger struct {
	record     *recorder
	on         map[string]map[string]uint64 // by task: the attempt on each machine
	starts     map[string]int               // by task
	violations []string                     // rules that were broken, with the place
}

func newLedger(record *recorder) *ledger {
	return &ledger{record: record, on: map[string]map[string]uint64{}, starts: map[string]int{}}
}

func (l *ledger) enter(m *worker, started *leg) {
	l.starts[started.Leg]++
	l.record.event("runs", "leg", started.Leg, "boarding", started.Boarding, "coach", m.machine.ID)
	for other, attempt := range l.on[started.Leg] {
		if other != m.machine.ID {
			l.violate("ran_twice", fmt.Sprintf("%s starts on %s (attempt %d) while it is on %s (attempt %d)",
				started.Leg, m.machine.ID, started.Boarding, other, attempt))
		}
	}
	if l.on[started.Leg] == nil {
		l.on[started.Leg] = map[string]uint64{}
	}
	l.on[started.Leg][m.machine.ID] = started.Boarding
}

func (l *ledger) leave(m *worker, ended *leg, why string) {
	l.record.event("left", "leg", ended.Leg, "boarding", ended.Boarding, "coach", m.machine.ID, "why", strconv.Quote(why))
	delete(l.on[ended.Leg], m.machine.ID)
}

func (l *ledger) violate(rule, what string) {
	l.violations = append(l.violations, rule+": "+what)
	l.record.event("RULE_BROKEN", "rule", rule, "what", strconv.Quote(what))
}

// violations returns the rules that were broken so far.
func (w *world) violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.ledger.violations)
}

// find returns the job of a task and the task's number.
func (w *world) find(id string) (*jobInfo, int, bool) {
	name, number, found := strings.Cut(id, "/")
	index, err := strconv.Atoi(number)
	job := w.jobs[name]
	return job, index, found && err == nil && job != nil
}

// submission is the body of a submission.
type submission struct {
	ID        string   `json:"id"`
	Route     string   `json:"route"`
	Crew      string   `json:"crew"`
	Shape     string   `json:"shape"`
	Urgency   string   `json:"urgency"`
	Legs      int      `json:"legs"`
	VCPUs     float64  `json:"vcpus"`
	GPUs      float64  `json:"accelerators"`
	MemoryGB  float64  `json:"memoryGb"`
	Bundle    string   `json:"bundle"`
	SizeGB    float64  `json:"sizeGb"`
	Fleets    []string `json:"fleets"`
	Yard      *string  `json:"yard"`
	SamePlace bool     `json:"samePlace"`
	Scatter   bool     `json:"scatter"`
	Standby   bool     `json:"standby"`
	RuntimeS  float64  `json:"runtimeS"`
	WaypointS float64  `json:"waypointS"`
	StowS     float64  `json:"stowS"`
	DueS      *float64 `json:"dueS"`
}

// jobView is the answer to a submission, a question or a cancellation.
type jobView struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

func decodeView(body []byte) jobView {
	var view jobView
	_ = json.Unmarshal(body, &view) // an answer other than 200 and 201 has no view
	return view
}
