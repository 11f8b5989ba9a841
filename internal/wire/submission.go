package wire

import (
	"encoding/json"
	"math"
	"regexp"
	"slices"

	"stairrelay/internal/cluster"
)

const (
	// submissionBody is how errors name the body of a submission.
	submissionBody = "submission"
	// noMachineType stands for an empty list of machine types, which allows none; a
	// missing list allows all types.
	noMachineType = "-"
	// amountRoundingError makes up for binary fractions: 4.03 CPUs are 4,030,000
	// millionths though 4.03*1e6 comes out a little above that.
	amountRoundingError = 1e-4
)

var jobIDPattern = regexp.MustCompile(`^j-[0-9]{1,40}$`)

// priorities are the priorities by their names in a submission.
var priorities = map[string]cluster.Priority{
	"best_effort": cluster.BestEffort,
	"normal":      cluster.Normal,
	"urgent":      cluster.Urgent,
	"production":  cluster.Production,
}

// IsValidJobID tells whether an id has the form that all ids have.
func IsValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// submission is the form of a submission. Pointers tell a missing field from a zero. Users
// get the name of this type in the reason for refusing a field of the wrong JSON type: it
// must not change.
type submission struct {
	ID           *string  `json:"id"`
	Class        *string  `json:"route"`
	Team         *string  `json:"crew"`
	Shape        *string  `json:"shape"`
	Priority     *string  `json:"urgency"`
	Tasks        *float64 `json:"legs"`
	CPU          *float64 `json:"vcpus"`
	GPU          *float64 `json:"accelerators"`
	Memory       *float64 `json:"memoryGb"`
	Image        *string  `json:"bundle"`
	ImageGB      *float64 `json:"sizeGb"`
	Types        []string `json:"fleets"`
	Zone         *string  `json:"yard"`
	Colocate     *bool    `json:"samePlace"`
	Spread       *bool    `json:"scatter"`
	Spot         *bool    `json:"standby"`
	Runtime      *float64 `json:"runtimeS"`
	Checkpoint   *float64 `json:"waypointS"`
	Save         *float64 `json:"stowS"`
	Deadline     *float64 `json:"dueS"`
	Dependencies []string `json:"awaits"`
}

// DecodeSubmission reads a submission. Also with an error, the ID of the spec is set if
// the body has a well-formed one: the job may be known already, and the retry of an
// accepted submission must never be refused.
func DecodeSubmission(body []byte) (cluster.JobSpec, error) {
	spec := cluster.JobSpec{ID: decodeID(body)}
	var form submission
	if err := unmarshal(body, submissionBody, &form); err != nil {
		return spec, err
	}
	if spec.ID == "" {
		return spec, &InvalidFieldError{Field: "id", Problem: missingOrMalformed}
	}
	if err := form.check(); err != nil {
		return spec, err
	}
	dependencies, err := form.decodeDependencies(spec.ID)
	if err != nil {
		return spec, err
	}
	spec.Dependencies = dependencies
	form.fillSpec(&spec)
	return spec, nil
}

// decodeID reads the id of a body whose other fields may be malformed; empty
// when there is none.
func decodeID(body []byte) cluster.JobID {
	var form struct {
		ID *string `json:"id"`
	}
	if json.Unmarshal(body, &form) != nil || form.ID == nil || !IsValidJobID(*form.ID) {
		return ""
	}
	return cluster.JobID(*form.ID)
}

// decodeDependencies lists the jobs that the job depends on, each once.
func (s *submission) decodeDependencies(self cluster.JobID) ([]cluster.JobID, error) {
	var dependencies []cluster.JobID
	for _, text := range s.Dependencies {
		id := cluster.JobID(text)
		if !IsValidJobID(text) || id == self {
			return nil, &InvalidFieldError{Field: "awaits", Problem: invalidDependency}
		}
		if !slices.Contains(dependencies, id) {
			dependencies = append(dependencies, id)
		}
	}
	return dependencies, nil
}

// fillSpec sets the spec's fields from a checked submission.
func (s *submission) fillSpec(spec *cluster.JobSpec) {
	spec.Class = *s.Class
	spec.Team = *s.Team
	spec.Priority = priorities[*s.Priority]
	spec.Tasks = int(*s.Tasks)
	spec.ResourceRequest = cluster.Resources{
		CPU:    ceilAmount(*s.CPU),
		GPU:    ceilAmount(*s.GPU),
		Memory: ceilAmount(*s.Memory),
	}
	spec.MachineTypes = s.Types
	if s.Types != nil && len(s.Types) == 0 {
		spec.MachineTypes = []string{noMachineType}
	}
	if s.Zone != nil {
		spec.Zone = *s.Zone
	}
	spec.Colocate = *s.Colocate
	spec.Spread = *s.Spread
	spec.Spot = *s.Spot
	spec.Image = *s.Image
	spec.ImageGB = *s.ImageGB
	spec.RuntimeSeconds = *s.Runtime
	spec.CheckpointIntervalSeconds = *s.Checkpoint
	spec.CheckpointWriteSeconds = *s.Save
	if s.Deadline != nil {
		spec.DeadlineSeconds = *s.Deadline
	}
}

// ceilAmount turns a requested quantity, which must be met in full, into an Amount.
func ceilAmount(quantity float64) cluster.Amount {
	return cluster.Amount(math.Ceil(quantity*cluster.AmountsPerUnit - amountRoundingError))
}
