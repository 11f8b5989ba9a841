package settings

import (
	"bytes"
	_ "embed" // for the schema
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"stairrelay/internal/core"
)

// schemaName is the schema's file and the name it is compiled under.
const schemaName = "operators.schema.json"

//go:embed operators.schema.json
var schemaText []byte

// Schema is the JSON schema of the operators' file.
func Schema() []byte { return schemaText }

// operatorsFile is the operators' JSON file; an absent field keeps its default.
type operatorsFile struct {
	CheckpointS  *float64 `json:"checkpoint_s"`
	PingS        *float64 `json:"ping_s"`
	PingTimeoutS *float64 `json:"ping_timeout_s"`
	Retries      *int     `json:"retries"`
	RetryFirstS  *float64 `json:"retry_first_s"`
	ProbeS       *float64 `json:"probe_s"`
	Probes       *int     `json:"probes"`
	IdleReturnS  *float64 `json:"idle_return_s"`
	RefusedWaitS *float64 `json:"refused_wait_s"`
	BootPatience *float64 `json:"boot_patience"`
	BudgetShare  *float64 `json:"budget_share"`
	HandBackS    *float64 `json:"hand_back_s"`
	SpareShare   *float64 `json:"spare_share"`
	SmallFirst   *float64 `json:"small_first"`
	BeginWithinS *float64 `json:"begin_within_s"`
}

// applyOperators checks the operators' file and sets what it names in tuning.
func applyOperators(tuning *core.Tuning, text []byte) error {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	schema, err := compileSchema()
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	if err := schema.Validate(document); err != nil {
		return firstCause(err)
	}
	var file operatorsFile
	if err := json.Unmarshal(text, &file); err != nil {
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

// firstCause turns a validation's tree of errors into one line that names the
// innermost field.
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

func (f *operatorsFile) apply(tuning *core.Tuning) {
	setSeconds(&tuning.Checkpoint, f.CheckpointS)
	setSeconds(&tuning.PingEvery, f.PingS)
	setSeconds(&tuning.PingTimeout, f.PingTimeoutS)
	setSeconds(&tuning.RetryFirst, f.RetryFirstS)
	setSeconds(&tuning.ProbeEvery, f.ProbeS)
	setSeconds(&tuning.IdleReturn, f.IdleReturnS)
	setSeconds(&tuning.RefusedWait, f.RefusedWaitS)
	setSeconds(&tuning.HandBackAfter, f.HandBackS)
	setSeconds(&tuning.BeginWithin, f.BeginWithinS)
	setIfPresent(&tuning.Retries, f.Retries)
	setIfPresent(&tuning.Probes, f.Probes)
	setIfPresent(&tuning.BootPatience, f.BootPatience)
	setIfPresent(&tuning.BudgetShare, f.BudgetShare)
	setIfPresent(&tuning.SpareShare, f.SpareShare)
	setIfPresent(&tuning.SmallFirst, f.SmallFirst)
}

func setIfPresent[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}

func setSeconds(target *core.Time, value *float64) {
	if value != nil {
		*target = seconds(*value)
	}
}
