package jobs

import (
	"encoding/json"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// Record is what jobs/<id> holds of a job: its specification and the outcomes of
// its first tasks while it is unfinished, its final status afterwards. The keys of
// further chunks of tasks hold their outcomes only.
type Record struct {
	Spec             *cluster.JobSpec  `json:"s,omitempty"`
	CompletedIndexes string            `json:"d,omitempty"`
	FinalStatus      cluster.JobStatus `json:"st,omitempty"`
	Team             string            `json:"tm,omitempty"`
	Tasks            int               `json:"n,omitempty"`
	// ResourceRequest is that of a cancelled job, whose tasks may still use quota.
	ResourceRequest *cluster.Resources `json:"r,omitempty"`
	WriteID         string             `json:"w"`
}

// AdmissionRecord is what accepts/<name> holds: jobs that were admitted together.
// From its first outcome on a job has a record of its own, which counts where both
// exist.
type AdmissionRecord struct {
	Jobs    []AdmittedJob `json:"j"`
	WriteID string        `json:"w"`
}

// AdmittedJob is one of the jobs of an AdmissionRecord.
type AdmittedJob struct {
	ID   cluster.JobID   `json:"id"`
	Spec cluster.JobSpec `json:"s"`
}

// encode is the stored form of a record.
func (r *Record) encode() []byte {
	value, _ := json.Marshal(r) // a struct of plain fields can always be marshaled
	return value
}

// teamAndTasks are the job's team and number of tasks.
func (r *Record) teamAndTasks() (string, int) {
	if r.Spec != nil {
		return r.Spec.Team, r.Spec.Tasks
	}
	return r.Team, r.Tasks
}

// view is the job's status by its own record; false: the record makes no sense.
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

// finalRecord is the record of a job's final status, as other controllers learn it.
func finalRecord(known *state.KnownJob) *Record {
	record := &Record{FinalStatus: known.FinalStatus, Team: known.Team, Tasks: known.Tasks}
	if known.FinalStatus == cluster.JobCancelled {
		record.ResourceRequest = &known.ResourceRequest
	}
	return record
}

// finalView is the status of a job that is known to have ended.
func finalView(id cluster.JobID, known *state.KnownJob) cluster.JobView {
	view := cluster.JobView{ID: id, Status: known.FinalStatus}
	if known.FinalStatus == cluster.JobDone {
		view.Done = known.Tasks
	}
	return view
}
