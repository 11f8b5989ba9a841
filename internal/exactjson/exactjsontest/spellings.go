// Package exactjsontest helps to test that decoders match field names exactly.
package exactjsontest

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"

	"stairrelay/internal/exactjson"
)

// AddOtherSpellings returns a JSON text in which each object has additional members whose
// names differ from its own ones only by case. Their values have types that no decoder
// expects.
func AddOtherSpellings(t *testing.T, text []byte) []byte {
	t.Helper()
	var value any
	if err := exactjson.Unmarshal(text, &value); err != nil {
		t.Fatal(err)
	}
	addOtherSpellings(value)
	extended, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return extended
}

func addOtherSpellings(value any) {
	switch value := value.(type) {
	case []any:
		for _, element := range value {
			addOtherSpellings(element)
		}
	case map[string]any:
		for _, name := range slices.Collect(maps.Keys(value)) {
			addOtherSpellings(value[name])
			for _, other := range OtherSpellings(name) {
				value[other] = [][]bool{{true}}
			}
		}
	}
}

// OtherSpellings returns names that differ from the given one only by case.
func OtherSpellings(name string) []string {
	var others []string
	for _, other := range []string{strings.ToLower(name), strings.ToUpper(name)} {
		if other != name {
			others = append(others, other)
		}
	}
	return others
}
