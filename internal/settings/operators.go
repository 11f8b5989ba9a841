package settings

import (
	"bytes"
	_ "embed" // embeds the schema
	"errors"
	"fmt"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/exactjson"
)

// schemaName is the file name of the schema and the resource name under which it is
// compiled.
const schemaName = "operators.schema.json"

//go:embed operators.schema.json
var schemaText []byte

// operatorsFile is the operators' JSON file. Absent fields keep their defaults. The
// schema describes the fields and defines their bounds.
type operatorsFile struct {
	CheckpointSeconds           *float64 `json:"checkpoint_s"`
	PingSeconds                 *float64 `json:"ping_s"`
	PingTimeoutSeconds          *float64 `json:"ping_timeout_s"`
	Retries                     *int     `json:"retries"`
	InitialRetrySeconds         *float64 `json:"retry_first_s"`
	ProbeSeconds                *float64 `json:"probe_s"`
	Probes                      *int     `json:"probes"`
	IdleScaleInSeconds          *float64 `json:"idle_return_s"`
	OutOfCapacityBackoffSeconds *float64 `json:"refused_wait_s"`
	BootTimeoutFactor           *float64 `json:"boot_patience"`
	BudgetShare                 *float64 `json:"budget_share"`
	FailbackSeconds             *float64 `json:"hand_back_s"`
	SpareShare                  *float64 `json:"spare_share"`
	ShortJobWeight              *float64 `json:"small_first"`
	FirstTaskTargetSeconds      *float64 `json:"begin_within_s"`
}

// applyOperators validates the text of the operators' file against the schema and
// overwrites those values in tuning that the file sets. It returns a *FieldError if the
// text violates the schema.
func applyOperators(tuning *controller.Tuning, text []byte) error {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	schema, err := compileSchema()
	if err != nil {
		return fmt.Errorf("compiling the built-in schema: %w", err)
	}
	if err := schema.Validate(document); err != nil {
		return firstCause(err)
	}
	var file operatorsFile
	if err := exactjson.Unmarshal(text, &file); err != nil {
		return err
	}
	file.apply(tuning)
	return nil
}

func compileSchema() (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaName, document); err != nil {
		return nil, err
	}
	return compiler.Compile(schemaName)
}

// firstCause converts a schema validation error into a *FieldError for its first
// innermost cause, with the problem in one line. It returns any other error unchanged.
func firstCause(err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	return &FieldError{
		Field:   "/" + strings.Join(invalid.InstanceLocation, "/"),
		Problem: strings.ReplaceAll(invalid.Error(), "\n", " "),
	}
}

// apply overwrites those values in tuning that the file sets.
func (f *operatorsFile) apply(tuning *controller.Tuning) {
	setSeconds(&tuning.CheckpointInterval, f.CheckpointSeconds)
	setSeconds(&tuning.PingInterval, f.PingSeconds)
	setSeconds(&tuning.PingTimeout, f.PingTimeoutSeconds)
	setSeconds(&tuning.InitialRetryTimeout, f.InitialRetrySeconds)
	setSeconds(&tuning.ProbeInterval, f.ProbeSeconds)
	setSeconds(&tuning.ScaleInIdleTime, f.IdleScaleInSeconds)
	setSeconds(&tuning.OutOfCapacityBackoff, f.OutOfCapacityBackoffSeconds)
	setSeconds(&tuning.FailbackDelay, f.FailbackSeconds)
	setSeconds(&tuning.FirstTaskTarget, f.FirstTaskTargetSeconds)
	setIfPresent(&tuning.PingRetries, f.Retries)
	setIfPresent(&tuning.ProbeCount, f.Probes)
	setIfPresent(&tuning.BootTimeoutFactor, f.BootTimeoutFactor)
	setIfPresent(&tuning.RateBudgetShare, f.BudgetShare)
	setIfPresent(&tuning.SpareCapacityShare, f.SpareShare)
	setIfPresent(&tuning.ShortJobWeight, f.ShortJobWeight)
}

// setIfPresent sets *target to *value unless value is nil.
func setIfPresent[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}

// setSeconds sets *target to *value seconds unless value is nil.
func setSeconds(target *cluster.Time, value *float64) {
	if value != nil {
		*target = seconds(*value)
	}
}
