package cluster

import "slices"

// JobSpec describes a job as its user submitted it. Its JSON form is stored under
// jobs/<id>: the short field names keep the record small and must not change.
type JobSpec struct {
	ID                        JobID     `json:"-"` // part of the key, not of the record
	Class                     string    `json:"c"` // service-level objectives apply to a class
	Team                      string    `json:"tm"`
	Priority                  Priority  `json:"pr"`
	Tasks                     int       `json:"n"`            // number of tasks, all alike
	ResourceRequest           Resources `json:"r"`            // of each task
	MachineTypes              []string  `json:"ty,omitempty"` // names of those that suit; none: all
	Zone                      string    `json:"z,omitempty"`
	Colocate                  bool      `json:"sp,omitempty"` // affinity: all tasks in the same zone
	Spread                    bool      `json:"sc,omitempty"` // anti-affinity: at most half of the tasks in one zone
	Spot                      bool      `json:"so,omitempty"` // may run on spot machines
	Image                     string    `json:"im"`
	ImageGB                   float64   `json:"gb"`
	RuntimeSeconds            float64   `json:"rt"`           // of one task, as its user expects it
	CheckpointIntervalSeconds float64   `json:"ck,omitempty"` // interval of task checkpoints; 0: none
	CheckpointWriteSeconds    float64   `json:"sv,omitempty"` // that writing a checkpoint takes
	DeadlineSeconds           float64   `json:"dl,omitempty"` // after the submission; 0: none
	SubmittedAt               WallTime  `json:"at"`
	Dependencies              []JobID   `json:"aw,omitempty"` // jobs that must be done before a task of this one starts
}

// JobStatus is the state of a job as users see it. Its values are part of the
// protocol.
type JobStatus string

// The states of a job.
const (
	JobPending   JobStatus = "pending"
	JobRunning   JobStatus = "running"
	JobDone      JobStatus = "done"
	JobCancelled JobStatus = "cancelled"
)

// IsFinal reports whether the status can never change again.
func (s JobStatus) IsFinal() bool { return s == JobDone || s == JobCancelled }

// JobView is the answer to a query of a job: its status and how many of its tasks
// are done and running. Controllers send it to each other as CBOR.
type JobView struct {
	ID      JobID     `cbor:"ID"`
	Status  JobStatus `cbor:"Status"`
	Done    int       `cbor:"Done"`
	Running int       `cbor:"Running"`
}

// Team is a tenant of the cluster. Jobs within its guaranteed quota are served
// before those of teams beyond theirs; together they never use more than its quota
// limit, which may be NoLimit.
type Team struct {
	Name            string
	GuaranteedQuota Resources
	QuotaLimit      Resources
}

// SLO is a service-level objective for the jobs of a class, as the platform states
// it.
type SLO struct {
	// Kind is "wait" (until the first start), "finished" or "deadline".
	Kind string
	// Class is the class of jobs to which the objective applies.
	Class string
	// WithinSeconds is the time allowed for the kinds "wait" and "finished".
	WithinSeconds float64
	// DeadlineFactor, for the kind "deadline", is the multiple of a job's own
	// deadline within which the job has to be done.
	DeadlineFactor float64
}

// Deadline is when the job's user wants it done, in milliseconds of the time of
// day; 0: there is no deadline.
func (s *JobSpec) Deadline() float64 {
	if s.DeadlineSeconds <= 0 {
		return 0
	}
	return float64(s.SubmittedAt) + s.DeadlineSeconds*1000
}

// AllowsMachineType tells whether a machine of a type in a zone may run the job's
// tasks and is large enough for one. Without a zone, any zone of the type counts.
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
