// Package exactjsontest helps to test that decoders match field names exactly.
package exactjsontest

import (
	"bytes"
	"encoding/json"
	"strings"

	"stairrelay/internal/exactjson"
)

// unexpectedValue has a type that no field has.
var unexpectedValue = json.RawMessage(`[[true]]`)

// AddOtherSpellings returns a JSON text in which each object has additional members whose
// names differ from its own ones only by case. Their values have types that no decoder
// expects.
func AddOtherSpellings(text []byte) ([]byte, error) {
	switch text = bytes.TrimSpace(text); {
	case bytes.HasPrefix(text, []byte("[")):
		return addToElements(text)
	case bytes.HasPrefix(text, []byte("{")):
		return addToObject(text)
	}
	return text, nil
}

func addToElements(text []byte) ([]byte, error) {
	var elements []json.RawMessage
	if err := exactjson.Unmarshal(text, &elements); err != nil {
		return nil, err
	}
	for i, element := range elements {
		extended, err := AddOtherSpellings(element)
		if err != nil {
			return nil, err
		}
		elements[i] = extended
	}
	return json.Marshal(elements)
}

func addToObject(text []byte) ([]byte, error) {
	var members map[string]json.RawMessage
	if err := exactjson.Unmarshal(text, &members); err != nil {
		return nil, err
	}
	result := map[string]json.RawMessage{}
	for name, member := range members {
		extended, err := AddOtherSpellings(member)
		if err != nil {
			return nil, err
		}
		result[name] = extended
		for _, other := range []string{strings.ToLower(name), strings.ToUpper(name)} {
			if _, known := members[other]; !known {
				result[other] = unexpectedValue
			}
		}
	}
	return json.Marshal(result)
}
