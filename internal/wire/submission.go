package wire

import (
	"math"
	"regexp"

	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
)

const (
	// submissionBody is the kind of body of a submission, as named in errors.
	submissionBody = "submission"
	// noMachineType replaces an empty list of machine types, so that the job fits no
	// machine type. A missing list allows all types.
	noMachineType = "-"
	// amountRoundingTolerance keeps ceilAmount from adding a millionth because of a
	// floating-point error. For example, 4.03*1e6 is slightly more than 4,030,000.
	amountRoundingTolerance = 1e-4
)

var jobIDPattern = regexp.MustCompile(`^j-[0-9]{1,40}$`)

// priorities maps the names of priorities in a submission to the priorities.
var priorities = map[string]cluster.Priority{
	"best_effort": cluster.BestEffort,
	"normal":      cluster.Normal,
	"urgent":      cluster.Urgent,
	"production":  cluster.Production,
}

// IsValidJobID reports whether id has the format of a job ID.
func IsValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// submission is the JSON encoding of a submission. Pointers distinguish a missing field
// from a zero. The name of this type must not change, because it is part of the response
// to a user whose submission has a field of the wrong JSON type.
type submission struct {
	ID                        *string  `json:"id"`
	Class                     *string  `json:"route"`
	Team                      *string  `json:"crew"`
	Shape                     *string  `json:"shape"`
	Priority                  *string  `json:"urgency"`
	Tasks                     *float64 `json:"legs"`
	CPU                       *float64 `json:"vcpus"`
	GPU                       *float64 `json:"accelerators"`
	MemoryGB                  *float64 `json:"memoryGb"`
	Image                     *string  `json:"bundle"`
	ImageGB                   *float64 `json:"sizeGb"`
	MachineTypes              []string `json:"fleets"`
	Zone                      *string  `json:"yard"`
	Colocate                  *bool    `json:"samePlace"`
	Spread                    *bool    `json:"scatter"`
	Spot                      *bool    `json:"standby"`
	RuntimeSeconds            *float64 `json:"runtimeS"`
	CheckpointIntervalSeconds *float64 `json:"waypointS"`
	CheckpointWriteSeconds    *float64 `json:"stowS"`
	DeadlineSeconds           *float64 `json:"dueS"`
	Dependencies              []string `json:"awaits"`
}

// DecodeSubmission decodes a submission. If it returns an error, the ID in the spec is
// still set, provided that the body has a valid one. The job may already exist, and the
// retry of an accepted submission must not be rejected.
func DecodeSubmission(body []byte) (cluster.JobSpec, error) {
	spec := cluster.JobSpec{ID: decodeJobID(body)}
	var payload submission
	if err := unmarshal(body, submissionBody, &payload); err != nil {
		return spec, err
	}
	if spec.ID == "" {
		return spec, &InvalidFieldError{Field: "id", Problem: missingOrMalformed}
	}
	if err := payload.check(); err != nil {
		return spec, err
	}
	dependencies, err := payload.decodeDependencies(spec.ID)
	if err != nil {
		return spec, err
	}
	spec.Dependencies = dependencies
	payload.fillSpec(&spec)
	return spec, nil
}

// decodeJobID returns the job ID in a body whose other fields may be malformed. It is
// empty if there is no valid ID.
func decodeJobID(body []byte) cluster.JobID {
	var payload struct {
		ID *string `json:"id"`
	}
	if exactjson.Unmarshal(body, &payload) != nil || payload.ID == nil || !IsValidJobID(*payload.ID) {
		return ""
	}
	return cluster.JobID(*payload.ID)
}

// decodeDependencies returns the jobs that the job depends on, without duplicates. The
// ID of the job itself is an error.
func (s *submission) decodeDependencies(ownID cluster.JobID) ([]cluster.JobID, error) {
	var dependencies []cluster.JobID
	for _, text := range s.Dependencies {
		id := cluster.JobID(text)
		if !IsValidJobID(text) || id == ownID {
			return nil, &InvalidFieldError{Field: "awaits", Problem: invalidDependency}
		}
		dependencies = append(dependencies, id)
	}
	return cluster.UniqueJobIDs(dependencies), nil
}

// fillSpec sets the fields of the spec from a submission that has passed check.
func (s *submission) fillSpec(spec *cluster.JobSpec) {
	spec.Class = *s.Class
	spec.Team = *s.Team
	spec.Priority = priorities[*s.Priority]
	spec.Tasks = int(*s.Tasks)
	spec.ResourceRequest = cluster.Resources{
		CPU:    ceilAmount(*s.CPU),
		GPU:    ceilAmount(*s.GPU),
		Memory: ceilAmount(*s.MemoryGB),
	}
	spec.MachineTypes = s.MachineTypes
	if s.MachineTypes != nil && len(s.MachineTypes) == 0 {
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
	spec.RuntimeSeconds = *s.RuntimeSeconds
	spec.CheckpointIntervalSeconds = *s.CheckpointIntervalSeconds
	spec.CheckpointWriteSeconds = *s.CheckpointWriteSeconds
	if s.DeadlineSeconds != nil {
		spec.DeadlineSeconds = *s.DeadlineSeconds
	}
}

// ceilAmount converts a requested quantity to an Amount. It rounds up, since the
// request must be met in full.
func ceilAmount(quantity float64) cluster.Amount {
	return cluster.Amount(math.Ceil(quantity*cluster.AmountsPerUnit - amountRoundingTolerance))
}
