// Package exactjson decodes JSON into structs whose fields match object members by their
// exact names.
//
// Unmarshal of encoding/json also accepts a member whose name differs from that of a
// field by case. A receiver must ignore members that it does not know, and must not take
// "recalls" for "recallS".
package exactjson

import (
	"io"

	"github.com/go-json-experiment/json"
	jsonv1 "github.com/go-json-experiment/json/v1"
)

// options are the semantics and error texts of encoding/json except for the matching of
// names.
var options = json.JoinOptions(
	jsonv1.DefaultOptionsV1(),
	json.MatchCaseInsensitiveNames(false),
)

// Unmarshal decodes a JSON text into target, like Unmarshal of encoding/json. It ignores
// members whose names do not match those of a field exactly.
func Unmarshal(text []byte, target any) error {
	return json.Unmarshal(text, target, options)
}

// Read decodes the JSON text that reader delivers into target. The text must not be
// followed by anything but whitespace.
func Read(reader io.Reader, target any) error {
	return json.UnmarshalRead(reader, target, options)
}
