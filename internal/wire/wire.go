// Package wire holds the protocol's JSON and its HTTP client. The protocol's
// own names (legs, boardings, batons and so on) end here: the rest of the
// program says tasks, attempts and tokens.
package wire

import "encoding/json"

// MaxBodySize is the protocol's limit for a request body.
const MaxBodySize = 64 << 10

// marshal writes one of this package's forms, all of which have a JSON form.
func marshal(form any) []byte {
	text, _ := json.Marshal(form)
	return text
}
