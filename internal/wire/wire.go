// Package wire implements the external protocols: the JSON encoding of requests and
// responses, the paths of all endpoints, and the HTTP client that calls them.
//
// The protocols use the names in the left column. The other packages use the terms in
// the right column instead.
//
//	user API            | term
//	--------------------+-------------------------------------------------
//	/v2/runs            | jobs: submit, query, cancel
//	route               | job class, which has service-level objectives
//	crew                | team
//	shape               | kind of job; the only one is sweep, a job array
//	urgency             | priority
//	legs, leg           | tasks (their number in a submission), task
//	vcpus, accelerators | CPUs, GPUs
//	bundle, sizeGb      | image, image size
//	fleets, fleet       | machine types, machine type
//	yard, yards         | zone, zones
//	samePlace           | colocate: all tasks in one zone
//	scatter             | spread: at most half of the tasks in one zone
//	standby             | spot
//	runtimeS            | estimated run time
//	waypointS           | checkpoint interval
//	stowS               | time to save a checkpoint
//	dueS                | deadline
//	awaits              | dependencies
//
//	worker API          | term
//	--------------------+-------------------------------------------------
//	/checkin            | heartbeat
//	/orders             | pushed commands
//	/inspect            | status query
//	coach               | machine
//	shift               | incarnation
//	stamp               | sequence number
//	baton               | fencing token
//	recallS             | preemption notice
//	boarding            | attempt
//	flushing            | checkpointing
//	stored              | checkpointed
//	cause full          | no capacity
//	cause busy          | duplicate attempt
//	cause no_such       | unknown task
//	dispatcher          | controller to which a worker is redirected
//	dispatches, verb    | commands, kind of command
//	halt, layoverS      | stop, grace period
//	reap                | acknowledge the end of a task
//
//	cloud API           | term
//	--------------------+-------------------------------------------------
//	/flavors            | machine types
//	/rentals            | POST: scale-out; GET: list of the machines
//	/rentals/return     | scale-in
//	charter             | name of a scale-out, its idempotency key
//	coaches             | machines
//	rate, spotPrice     | on-demand price, spot price
//	pullGbPerS          | rate at which images are fetched
//	since               | machine that precedes the page
//	truncated           | whether there are more pages
//
//	store API           | term
//	--------------------+-------------------------------------------------
//	epoch               | revision
//	mark                | mod revision of a key
//	/multi              | transaction
//	when, then          | compares, operations
//	set, drop           | put, delete
//	since, blockMs      | of a watch: revision before the first change, timeout
//	permit              | lease of the store; not used
package wire

import (
	"encoding/json"

	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
)

// MaxBodySize is the protocol's size limit for request bodies, in bytes.
const MaxBodySize = cluster.MaxBodySize

// marshal encodes a payload as JSON. It returns nil if the payload contains a
// json.RawMessage that is not valid JSON or a number that is not finite. The controller
// produces neither. If it did, the receiver would reject the request, which would have no
// body.
func marshal(payload any) []byte {
	text, err := json.Marshal(payload)
	if err != nil {
		return nil
	}
	return text
}

// unmarshal decodes a JSON body into payload. Its error is a *DecodeError of the given
// kind.
func unmarshal(body []byte, kind string, payload any) error {
	if err := exactjson.Unmarshal(body, payload); err != nil {
		return &DecodeError{Kind: kind, Err: err}
	}
	return nil
}
