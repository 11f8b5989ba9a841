package cluster

import "slices"

// JobSpec is what a user submitted, with the protocol's names gone. Its JSON
// form is what jobs/<id> holds, hence the short names.
type JobSpec struct {
	ID                JobID     `json:"-"`
	Class             string    `json:"c"`
	Team              string    `json:"tm"`
	Priority          Priority  `json:"pr"`
	Tasks             int       `json:"n"`
	ResourceRequest   Resources `json:"r"`
	MachineTypes      []string  `json:"ty,omitempty"`
	Zone              string    `json:"z,omitempty"`
	Colocate          bool      `json:"sp,omitempty"`
	Spread            bool      `json:"sc,omitempty"`
	Spot              bool      `json:"so,omitempty"`
	Image             string    `json:"im"`
	ImageGB           float64   `json:"gb"`
	RuntimeSeconds    float64   `json:"rt"`
	CheckpointSeconds float64   `json:"ck,omitempty"`
	SaveSeconds       float64   `json:"sv,omitempty"`
	DeadlineSeconds   float64   `json:"dl,omitempty"`
	SubmittedAt       WallTime  `json:"at"`
	Dependencies      []JobID   `json:"aw,omitempty"` // have to be done before any task of this one starts
}

// JobStatus is a job's state as users see it.
type JobStatus string

// The states of a job.
const (
	JobPending   JobStatus = "pending"
	JobRunning   JobStatus = "running"
	JobDone      JobStatus = "done"
	JobCancelled JobStatus = "cancelled"
)

// IsFinal tells whether the status can never change again.
func (s JobStatus) IsFinal() bool { return s == JobDone || s == JobCancelled }

// JobView answers a question about a job.
type JobView struct {
	ID      JobID     `cbor:"ID"`
	Status  JobStatus `cbor:"Status"`
	Done    int       `cbor:"Done"`
	Running int       `cbor:"Running"`
}

// Team has a guarantee and a limit.
type Team struct {
	Name            string
	GuaranteedQuota Resources
	QuotaLimit      Resources
}

// SLO is an aim for a class.
type SLO struct {
	Kind, Class    string
	WithinSeconds  float64
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
