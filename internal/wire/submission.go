package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"slices"

	"stairrelay/internal/cluster"
)

// The limits of a submission. Those of lengths keep its record under the state
// service's limit for a value.
const (
	maxNameLength       = 200
	maxMachineTypes     = 32
	maxTypeNamesLength  = 1000
	maxTasks            = 100_000
	maxQuantity         = 1e9
	amountsPerUnit      = 1e6  // core.Amount counts millionths
	amountRoundingError = 1e-4 // of a millionth, which a stated quantity may be off by
)

// sweepShape is the only shape of jobs that the protocol has.
const sweepShape = "sweep"

// noMachineType stands for an empty list of machine types, which allows none; a
// missing list allows all.
const noMachineType = "-"

var jobIDPattern = regexp.MustCompile(`^j-[0-9]{1,40}$`)

var priorities = map[string]cluster.Priority{
	"best_effort": cluster.BestEffort,
	"normal":      cluster.Normal,
	"urgent":      cluster.Urgent,
	"production":  cluster.Production,
}

// IsValidJobID tells whether an id has the form that all ids have.
func IsValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// InvalidFieldError says what is wrong with a field of a submission.
type InvalidFieldError struct {
	Field   string
	Problem string
}

// Error is the field and its problem.
func (e *InvalidFieldError) Error() string { return e.Field + " " + e.Problem }

// The problems that several fields may have.
const (
	missingOrInvalid = "is missing or invalid"
	missing          = "is missing"
	invalid          = "is invalid"
	tooLong          = "is too long"
	notKnown         = "is not known"
)

// submission is the protocol's form of a job. Pointers tell a missing field
// from a zero.
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

// DecodeSubmission reads a submission. With an error, the spec's ID is still
// set when the body names a well-formed one: such an id may be known already.
func DecodeSubmission(body []byte) (cluster.JobSpec, error) {
	spec := cluster.JobSpec{ID: decodeID(body)}
	var form submission
	if err := json.Unmarshal(body, &form); err != nil {
		return spec, fmt.Errorf("reading submission: %w", err)
	}
	if spec.ID == "" {
		return spec, &InvalidFieldError{"id", "is missing or malformed"}
	}
	if err := form.check(); err != nil {
		return spec, err
	}
	awaits, err := form.decodeDependencies(spec.ID)
	if err != nil {
		return spec, err
	}
	spec.Dependencies = awaits
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

func (s *submission) check() error {
	for _, check := range []func() error{s.checkTexts, s.checkQuantities, s.checkFlags, s.checkTasks, s.checkChoices, s.checkOptional, s.checkTypes} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *submission) checkTexts() error {
	for _, required := range []struct {
		field string
		text  *string
	}{
		{"route", s.Class},
		{"crew", s.Team},
		{"bundle", s.Image},
		{"shape", s.Shape},
		{"urgency", s.Priority},
	} {
		if required.text == nil || !isValidName(*required.text) {
			return &InvalidFieldError{required.field, missingOrInvalid}
		}
	}
	return nil
}

func isValidName(name string) bool { return name != "" && len(name) <= maxNameLength }

func (s *submission) checkQuantities() error {
	for _, required := range []struct {
		field    string
		quantity *float64
	}{
		{"vcpus", s.CPU},
		{"accelerators", s.GPU},
		{"memoryGb", s.Memory},
		{"sizeGb", s.ImageGB},
		{"runtimeS", s.Runtime},
		{"waypointS", s.Checkpoint},
		{"stowS", s.Save},
	} {
		if q := required.quantity; q == nil || *q < 0 || *q > maxQuantity {
			return &InvalidFieldError{required.field, missingOrInvalid}
		}
	}
	return nil
}

func (s *submission) checkFlags() error {
	if s.Colocate == nil || s.Spread == nil || s.Spot == nil {
		return &InvalidFieldError{"samePlace, scatter or standby", missing}
	}
	return nil
}

func (s *submission) checkTasks() error {
	if n := s.Tasks; n == nil || *n < 1 || *n > maxTasks || *n != math.Trunc(*n) {
		return &InvalidFieldError{"legs", missingOrInvalid}
	}
	return nil
}

func (s *submission) checkChoices() error {
	if *s.Shape != sweepShape {
		return &InvalidFieldError{"shape", notKnown}
	}
	if _, known := priorities[*s.Priority]; !known {
		return &InvalidFieldError{"urgency", notKnown}
	}
	return nil
}

func (s *submission) checkOptional() error {
	if s.Deadline != nil && (*s.Deadline <= 0 || *s.Deadline > maxQuantity) {
		return &InvalidFieldError{"dueS", invalid}
	}
	if s.Zone != nil && !isValidName(*s.Zone) {
		return &InvalidFieldError{"yard", invalid}
	}
	return nil
}

func (s *submission) checkTypes() error {
	if len(s.Types) > maxMachineTypes {
		return &InvalidFieldError{"fleets", tooLong}
	}
	length := 0
	for _, name := range s.Types {
		if !isValidName(name) {
			return &InvalidFieldError{"fleets", invalid}
		}
		length += len(name)
	}
	if length > maxTypeNamesLength {
		return &InvalidFieldError{"fleets", tooLong}
	}
	return nil
}

// decodeDependencies lists each job once that the job has to wait for.
func (s *submission) decodeDependencies(self cluster.JobID) ([]cluster.JobID, error) {
	var awaits []cluster.JobID
	for _, text := range s.Dependencies {
		id := cluster.JobID(text)
		if !IsValidJobID(text) || id == self {
			return nil, &InvalidFieldError{"awaits", "names no job that it could wait for"}
		}
		if !slices.Contains(awaits, id) {
			awaits = append(awaits, id)
		}
	}
	return awaits, nil
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
	spec.CheckpointSeconds = *s.Checkpoint
	spec.SaveSeconds = *s.Save
	if s.Deadline != nil {
		spec.DeadlineSeconds = *s.Deadline
	}
}

// ceilAmount turns a stated need, which must be met in full, into an Amount.
func ceilAmount(quantity float64) cluster.Amount {
	return cluster.Amount(math.Ceil(quantity*amountsPerUnit - amountRoundingError))
}

// jobView is a job's state as users get it.
type jobView struct {
	ID      cluster.JobID     `json:"id"`
	Status  cluster.JobStatus `json:"status"`
	Done    int               `json:"done"`
	Running int               `json:"running"`
}

// EncodeJobView writes a job's state.
func EncodeJobView(view cluster.JobView) []byte { return marshal(jobView(view)) }
