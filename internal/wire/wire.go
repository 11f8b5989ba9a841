// Package wire is the edge between the protocol and the program: the JSON forms of all
// interfaces, their paths, and the HTTP client that calls them.
//
// The protocol has names of its own. They are translated here and nowhere else; the
// other packages use the terms on the right.
//
//	users               | term
//	--------------------+-------------------------------------------------
//	/v2/runs            | jobs: submission, query, cancellation
//	route               | class of a job, for which there is an SLO
//	crew                | team
//	shape               | kind of job; sweep, a job array, is the only one
//	urgency             | priority
//	legs, leg           | tasks (in a submission, their number), task
//	vcpus, accelerators | CPUs, GPUs
//	bundle, sizeGb      | image, its size
//	fleets, fleet       | machine types, machine type
//	yard, yards         | zone, zones
//	samePlace           | colocate: all tasks in one zone
//	scatter             | spread: at most half of the tasks in one zone
//	standby             | spot
//	runtimeS            | estimated run time
//	waypointS           | checkpoint interval
//	stowS               | time that a task needs to save its checkpoint
//	dueS                | deadline
//	awaits              | dependencies
//
//	workers             | term
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
//	dispatches, verb    | commands, kind of a command
//	halt, layoverS      | stop, grace period
//	reap                | acknowledge the end of a task
//
//	cloud               | term
//	--------------------+-------------------------------------------------
//	/flavors            | machine types
//	/rentals            | POST: scale-out; GET: list of the machines
//	/rentals/return     | scale-in
//	charter             | name of a scale-out, which makes it idempotent
//	coaches             | machines
//	rate, spotPrice     | on-demand price, spot price
//	pullGbPerS          | rate at which images are fetched
//	since               | machine after which a page begins
//	truncated           | there is another page
//
//	state service       | term
//	--------------------+-------------------------------------------------
//	epoch               | revision
//	mark                | mod revision of a key
//	/multi              | transaction
//	when, then          | compares, operations
//	set, drop           | put, delete
//	since, blockMs      | of a watch: revision after which it begins, time-out
//	permit              | lease of the state service, which is not used
package wire

import "encoding/json"

// MaxBodySize is the protocol's limit for a request body.
const MaxBodySize = 64 << 10

// marshal writes one of this package's forms. It can fail only for a stored value that
// is not JSON and for a number that is not finite, neither of which the controller
// makes; the request then has no body, and is refused as malformed.
func marshal(form any) []byte {
	text, err := json.Marshal(form)
	if err != nil {
		return nil
	}
	return text
}

// unmarshal reads one of this package's forms. What names it in the error.
func unmarshal(body []byte, what string, form any) error {
	if err := json.Unmarshal(body, form); err != nil {
		return &DecodeError{What: what, Err: err}
	}
	return nil
}
