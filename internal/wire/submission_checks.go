package wire

import "math"

// The limits of a submission. Those of lengths keep its record under the limit of the
// state service for a value.
const (
	maxNameLength      = 200
	maxMachineTypes    = 32
	maxTypeNamesLength = 1000
	maxTasks           = 100_000
	maxQuantity        = 1e9
)

// sweepShape is the only shape of jobs that the protocol has.
const sweepShape = "sweep"

// InvalidFieldError is the fault of a submission with an invalid field. Users get its
// text, so the field has its name in the protocol.
type InvalidFieldError struct {
	Field   string
	Problem string
}

// Error is the field and its problem.
func (e *InvalidFieldError) Error() string { return e.Field + " " + e.Problem }

// The problems that fields may have.
const (
	missingOrInvalid   = "is missing or invalid"
	missingOrMalformed = "is missing or malformed"
	missing            = "is missing"
	invalid            = "is invalid"
	tooLong            = "is too long"
	unknown            = "is not known"
	invalidDependency  = "names no job that it could wait for"
)

// check returns the first fault of a submission. The order decides which of several
// faults a user is told of.
func (s *submission) check() error {
	for _, check := range []func() error{
		s.checkTexts,
		s.checkQuantities,
		s.checkFlags,
		s.checkTasks,
		s.checkChoices,
		s.checkOptional,
		s.checkMachineTypes,
	} {
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
			return &InvalidFieldError{Field: required.field, Problem: missingOrInvalid}
		}
	}
	return nil
}

// isValidName tells whether a name is given and short enough to be stored.
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
		if quantity := required.quantity; quantity == nil || *quantity < 0 || *quantity > maxQuantity {
			return &InvalidFieldError{Field: required.field, Problem: missingOrInvalid}
		}
	}
	return nil
}

func (s *submission) checkFlags() error {
	if s.Colocate == nil || s.Spread == nil || s.Spot == nil {
		return &InvalidFieldError{Field: "samePlace, scatter or standby", Problem: missing}
	}
	return nil
}

func (s *submission) checkTasks() error {
	if tasks := s.Tasks; tasks == nil || *tasks < 1 || *tasks > maxTasks || *tasks != math.Trunc(*tasks) {
		return &InvalidFieldError{Field: "legs", Problem: missingOrInvalid}
	}
	return nil
}

func (s *submission) checkChoices() error {
	if *s.Shape != sweepShape {
		return &InvalidFieldError{Field: "shape", Problem: unknown}
	}
	if _, known := priorities[*s.Priority]; !known {
		return &InvalidFieldError{Field: "urgency", Problem: unknown}
	}
	return nil
}

func (s *submission) checkOptional() error {
	if s.Deadline != nil && (*s.Deadline <= 0 || *s.Deadline > maxQuantity) {
		return &InvalidFieldError{Field: "dueS", Problem: invalid}
	}
	if s.Zone != nil && !isValidName(*s.Zone) {
		return &InvalidFieldError{Field: "yard", Problem: invalid}
	}
	return nil
}

func (s *submission) checkMachineTypes() error {
	if len(s.Types) > maxMachineTypes {
		return &InvalidFieldError{Field: "fleets", Problem: tooLong}
	}
	length := 0
	for _, name := range s.Types {
		if !isValidName(name) {
			return &InvalidFieldError{Field: "fleets", Problem: invalid}
		}
		length += len(name)
	}
	if length > maxTypeNamesLength {
		return &InvalidFieldError{Field: "fleets", Problem: tooLong}
	}
	return nil
}
