package cluster

import "slices"

// JobSpec describes a submitted job. Its JSON form is part of stored records. The field
// names are short to keep the records small, and must not change.
type JobSpec struct {
	ID                        JobID     `json:"-"` // stored separately
	Class                     string    `json:"c"` // determines the SLOs
	Team                      string    `json:"tm"`
	Priority                  Priority  `json:"pr"`
	Tasks                     int       `json:"n"`            // number of identical tasks
	ResourceRequest           Resources `json:"r"`            // per task
	MachineTypes              []string  `json:"ty,omitempty"` // names of the allowed types; all types if empty
	Zone                      string    `json:"z,omitempty"`
	Colocate                  bool      `json:"sp,omitempty"` // affinity: all tasks in the same zone
	Spread                    bool      `json:"sc,omitempty"` // anti-affinity: at most half of the tasks in one zone
	Spot                      bool      `json:"so,omitempty"` // may run on spot machines
	Image                     string    `json:"im"`
	ImageGB                   float64   `json:"gb"`
	RuntimeSeconds            float64   `json:"rt"`           // run time of a task as expected by the user
	CheckpointIntervalSeconds float64   `json:"ck,omitempty"` // between two task checkpoints; 0 if tasks write none
	CheckpointWriteSeconds    float64   `json:"sv,omitempty"` // time that a task takes to write a checkpoint
	DeadlineSeconds           float64   `json:"dl,omitempty"` // after the submission; 0 if there is none
	SubmittedAt               WallTime  `json:"at"`
	Dependencies              []JobID   `json:"aw,omitempty"` // jobs that must be done before any task starts
}

// UniqueJobIDs returns the IDs without duplicates, in the order in which they occur first.
func UniqueJobIDs(ids []JobID) []JobID {
	var unique []JobID
	seen := make(map[JobID]bool, len(ids))
	for _, id := range ids {
		if !seen[id] {
			seen[id] = true
			unique = append(unique, id)
		}
	}
	return unique
}

// JobStatus is the status of a job as shown to users. Its values are part of the API.
type JobStatus string

// The statuses of a job.
const (
	JobPending   JobStatus = "pending"
	JobRunning   JobStatus = "running"
	JobDone      JobStatus = "done"
	JobCancelled JobStatus = "cancelled"
)

// IsFinal reports whether the status can never change again.
func (s JobStatus) IsFinal() bool { return s == JobDone || s == JobCancelled }

// JobView is the result of a query for a job: its status and the numbers of completed and
// running tasks. Controllers exchange it as CBOR.
type JobView struct {
	ID      JobID     `cbor:"ID"`
	Status  JobStatus `cbor:"Status"`
	Done    int       `cbor:"Done"`
	Running int       `cbor:"Running"`
}

// Team is a tenant of the cluster. Jobs within their team's guaranteed quota take
// precedence over jobs beyond it. The jobs of a team together never use more than the
// quota limit, which may be NoLimit.
type Team struct {
	Name            string
	GuaranteedQuota Resources
	QuotaLimit      Resources
}

// SLO is a service-level objective for the jobs of a class.
type SLO struct {
	// Kind is "wait" (for the first start), "finished" or "deadline".
	Kind string
	// Class is the class of jobs to which the objective applies.
	Class string
	// WithinSeconds is the time allowed for the kinds "wait" and "finished".
	WithinSeconds float64
	// DeadlineFactor applies to the kind "deadline". A job must be done within this
	// multiple of its DeadlineSeconds.
	DeadlineFactor float64
}

// Deadline returns the job's deadline as a Unix time in milliseconds, or 0 if it has
// none.
func (s *JobSpec) Deadline() float64 {
	if s.DeadlineSeconds <= 0 {
		return 0
	}
	return float64(s.SubmittedAt) + s.DeadlineSeconds*1000
}

// AllowsMachineType reports whether the job's tasks may run on machines of a type in a
// zone and fit on one. If zone is empty, it suffices that the type is offered in a zone
// that the job allows.
func (s *JobSpec) AllowsMachineType(t MachineType, zone string) bool {
	if !s.ResourceRequest.FitsIn(t.Capacity) {
		return false
	}
	if len(s.MachineTypes) > 0 && !slices.Contains(s.MachineTypes, t.Name) {
		return false
	}
	if s.Zone == "" {
		return true
	}
	if zone == "" {
		return slices.Contains(t.Zones, s.Zone)
	}
	return zone == s.Zone
}
