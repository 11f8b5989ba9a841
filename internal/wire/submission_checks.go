package wire

import "math"

// Limits of a submission. The length limits keep the record of the job within the store's
// limit for the size of a value.
const (
	maxNameLength      = 200
	maxMachineTypes    = 32
	maxTypeNamesLength = 1000
	maxTasks           = 100_000
	maxQuantity        = 1e9
)

// sweepShape is the only value of the field shape.
const sweepShape = "sweep"

// InvalidFieldError reports an invalid field of a submission. The text is part of the
// response to the user, so Field is the name of the field in the protocol.
type InvalidFieldError struct {
	Field   string
	Problem string
}

// Error returns the field and its problem.
func (e *InvalidFieldError) Error() string { return e.Field + " " + e.Problem }

// Problems of fields. Their texts are part of the response to the user.
const (
	missingOrInvalid   = "is missing or invalid"
	missingOrMalformed = "is missing or malformed"
	missing            = "is missing"
	invalid            = "is invalid"
	tooLong            = "is too long"
	unknown            = "is not known"
	invalidDependency  = "names no job that it could wait for"
)

// check returns the first problem of a submission. The order of the checks determines
// which of several problems is reported to the user.
func (s *submission) check() error {
	for _, check := range []func() error{
		s.checkStrings,
		s.checkQuantities,
		s.checkFlags,
		s.checkTasks,
		s.checkEnums,
		s.checkOptionalFields,
		s.checkMachineTypes,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *submission) checkStrings() error {
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

// isValidName reports whether a name is not empty and short enough to be stored.
func isValidName(name string) bool { return name != "" && len(name) <= maxNameLength }

func (s *submission) checkQuantities() error {
	for _, required := range []struct {
		field    string
		quantity *float64
	}{
		{"vcpus", s.CPU},
		{"accelerators", s.GPU},
		{"memoryGb", s.MemoryGB},
		{"sizeGb", s.ImageGB},
		{"runtimeS", s.RuntimeSeconds},
		{"waypointS", s.CheckpointIntervalSeconds},
		{"stowS", s.CheckpointWriteSeconds},
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

func (s *submission) checkEnums() error {
	if *s.Shape != sweepShape {
		return &InvalidFieldError{Field: "shape", Problem: unknown}
	}
	if _, known := priorities[*s.Priority]; !known {
		return &InvalidFieldError{Field: "urgency", Problem: unknown}
	}
	return nil
}

func (s *submission) checkOptionalFields() error {
	if s.DeadlineSeconds != nil && (*s.DeadlineSeconds <= 0 || *s.DeadlineSeconds > maxQuantity) {
		return &InvalidFieldError{Field: "dueS", Problem: invalid}
	}
	if s.Zone != nil && !isValidName(*s.Zone) {
		return &InvalidFieldError{Field: "yard", Problem: invalid}
	}
	return nil
}

func (s *submission) checkMachineTypes() error {
	if len(s.MachineTypes) > maxMachineTypes {
		return &InvalidFieldError{Field: "fleets", Problem: tooLong}
	}
	length := 0
	for _, name := range s.MachineTypes {
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
