package jobs

import (
	"encoding/json"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// Record is the value stored under jobs/<id>. While the job is unfinished, the record
// holds the specification and the completed tasks of the first chunk. Afterwards it holds
// the final status. Each further chunk of tasks has a key of its own, with a record that
// holds only completed tasks.
type Record struct {
	Spec             *cluster.JobSpec  `json:"s,omitempty"`
	CompletedIndexes string            `json:"d,omitempty"`
	FinalStatus      cluster.JobStatus `json:"st,omitempty"`
	Team             string            `json:"tm,omitempty"`
	Tasks            int               `json:"n,omitempty"`
	// ResourceRequest is set for a cancelled job, whose tasks may still use quota.
	ResourceRequest *cluster.Resources `json:"r,omitempty"`
	WriteID         string             `json:"w"`
}

// AdmissionRecord is the value stored under accepts/<name>: the jobs of one batch. A job
// gets a record of its own when completed tasks or the final status are first stored. The
// job's own record then takes precedence.
type AdmissionRecord struct {
	Jobs    []AdmittedJob `json:"j"`
	WriteID string        `json:"w"`
}

// AdmittedJob is a job in an AdmissionRecord.
type AdmittedJob struct {
	ID   cluster.JobID   `json:"id"`
	Spec cluster.JobSpec `json:"s"`
}

// encode returns the stored form of a record.
func (r *Record) encode() []byte {
	value, _ := json.Marshal(r) // a struct of plain fields can always be marshaled
	return value
}

// teamAndTasks returns the job's team and number of tasks.
func (r *Record) teamAndTasks() (string, int) {
	if r.Spec != nil {
		return r.Spec.Team, r.Spec.Tasks
	}
	return r.Team, r.Tasks
}

// view returns the job's status according to its own record. It returns false if the
// record has neither a final status nor a specification.
func (r *Record) view(id cluster.JobID) (cluster.JobView, bool) {
	view := cluster.JobView{ID: id, Status: cluster.JobPending}
	if r.FinalStatus.IsFinal() {
		view.Status = r.FinalStatus
		if r.FinalStatus == cluster.JobDone {
			view.Done = r.Tasks
		}
		return view, true
	}
	if r.Spec == nil {
		return view, false
	}
	state.DecodeCompleted(r.CompletedIndexes, min(r.Spec.Tasks, state.TasksPerChunk), func(int) { view.Done++ })
	if view.Done > 0 {
		view.Status = cluster.JobRunning
	}
	return view, true
}

// finalRecord returns the record of a job's final status for notices to other controllers.
func finalRecord(known *state.KnownJob) *Record {
	record := &Record{FinalStatus: known.FinalStatus, Team: known.Team, Tasks: known.Tasks}
	if known.FinalStatus == cluster.JobCancelled {
		record.ResourceRequest = &known.ResourceRequest
	}
	return record
}

// finalView returns the view of a job that is known to have a final status.
func finalView(id cluster.JobID, known *state.KnownJob) cluster.JobView {
	view := cluster.JobView{ID: id, Status: known.FinalStatus}
	if known.FinalStatus == cluster.JobDone {
		view.Done = known.Tasks
	}
	return view
}
