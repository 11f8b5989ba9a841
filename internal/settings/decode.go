package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-viper/mapstructure/v2"
	"github.com/pelletier/go-toml/v2"
)

// SyntaxError reports that the platform file is not valid TOML, or that a field has a
// value of the wrong type.
type SyntaxError struct {
	Line   int    // 1-based
	Column int    // 1-based
	Key    string // path of the field; empty if it is not known
	Err    error
}

// Error returns the position, the field and the decoder's error in one line.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("line %d column %d: %s: %v", e.Line, e.Column, e.Key, e.Err)
}

// Unwrap returns the decoder's error.
func (e *SyntaxError) Unwrap() error { return e.Err }

// newSyntaxError converts an error of the TOML decoder into a *SyntaxError. It returns any
// other error unchanged.
func newSyntaxError(err error) error {
	var decodeError *toml.DecodeError
	if !errors.As(err, &decodeError) {
		return err
	}
	line, column := decodeError.Position()
	return &SyntaxError{
		Line:   line,
		Column: column,
		Key:    strings.Join(decodeError.Key(), "."),
		Err:    decodeError,
	}
}

// errFractional is the error for a fraction where a count is expected.
var errFractional = errors.New("not an integer")

// decodePlatform decodes the text of the platform file. A field is known only by its exact
// name, whereas the TOML decoder alone also accepts names that differ by case. The error is
// a *SyntaxError if its position is known, and otherwise a *FieldError.
func decodePlatform(text []byte) (*platformFile, error) {
	var document map[string]any
	if err := toml.Unmarshal(text, &document); err != nil {
		return nil, newSyntaxError(err)
	}
	var file platformFile
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:     &file,
		TagName:    "toml",
		MatchName:  func(key, field string) bool { return key == field },
		DecodeHook: rejectFraction,
	})
	if err != nil {
		return nil, err
	}
	if err := decoder.Decode(document); err != nil {
		return nil, locateError(text, err)
	}
	return &file, nil
}

// rejectFraction is a decode hook that returns an error for a floating-point number in an
// integer field, which would otherwise be truncated.
func rejectFraction(from, to reflect.Kind, value any) (any, error) {
	if from == reflect.Float64 && to == reflect.Int {
		return nil, errFractional
	}
	return value, nil
}

// locateError returns a *SyntaxError with the position of the field that could not be
// decoded. The TOML decoder knows positions, but reports the first field of the wrong type
// under any spelling of its name. If that is another field, the result is a *FieldError.
func locateError(text []byte, err error) error {
	var invalid *mapstructure.DecodeError
	if !errors.As(err, &invalid) {
		return err
	}
	located := newSyntaxError(toml.Unmarshal(text, &platformFile{}))
	var syntaxError *SyntaxError
	if errors.As(located, &syntaxError) && syntaxError.Key == withoutIndices(invalid.Name()) {
		return syntaxError
	}
	return &FieldError{Field: invalid.Name(), Problem: invalid.Unwrap().Error()}
}

// withoutIndices returns a path such as cluster.teams[0].name without the indices.
func withoutIndices(path string) string {
	var result strings.Builder
	for {
		before, after, found := strings.Cut(path, "[")
		result.WriteString(before)
		if !found {
			return result.String()
		}
		_, path, _ = strings.Cut(after, "]")
	}
}
