package simulation

import (
	"encoding/json"
	"math/rand/v2"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson/exactjsontest"
	"stairrelay/internal/messages"
	"stairrelay/internal/simulation/workerjson"
	"stairrelay/internal/wire"
)

// UnknownFields adds fields that the protocol does not know to what the controllers receive
// as JSON: the statuses of workers, and records of the store. The names of the fields differ
// from known ones by case. The controllers must handle such a message like the original one.
type UnknownFields struct {
	// Share is the probability that a message gets unknown fields.
	Share float64
	// Random is the source of randomness. It is separate from that of the simulation, so that
	// runs without unknown fields stay as they are. It must be set if Share is.
	Random      *rand.Rand
	environment *environment
}

// addTo returns an event with unknown fields, or the event itself if the random choice is
// against them or the event contains no JSON.
func (u *UnknownFields) addTo(event messages.Event) messages.Event {
	if u.Share == 0 || u.Random.Float64() >= u.Share {
		return event
	}
	switch event := event.(type) {
	case messages.Heartbeat:
		event.Status = u.addToStatus(event.Status)
		return event
	case messages.Reply:
		event.Body = u.addToReply(event.Body)
		return event
	}
	return event
}

func (u *UnknownFields) addToReply(body messages.ReplyBody) messages.ReplyBody {
	switch reply := body.(type) {
	case messages.WorkerReply:
		if reply.Outcome == messages.OK || reply.Outcome == messages.Conflict {
			reply.Status = u.addToStatus(reply.Status)
		}
		return reply
	case messages.GetReply:
		reply.KV = u.addToRecord(reply.KV)
		return reply
	case messages.ListReply:
		reply.Items = u.addToRecords(reply.Items)
		return reply
	case messages.WatchReply:
		reply.Items = u.addToRecords(reply.Items)
		return reply
	}
	return body
}

func (u *UnknownFields) addToRecords(items []messages.KV) []messages.KV {
	extended := slices.Clone(items)
	for i, kv := range items {
		extended[i] = u.addToRecord(kv)
	}
	return extended
}

func (u *UnknownFields) addToRecord(kv messages.KV) messages.KV {
	if kv.Value == nil {
		return kv
	}
	kv.Value = u.addToJSON(kv.Value)
	return kv
}

// addToStatus encodes a status with unknown fields and decodes the result like a controller.
func (u *UnknownFields) addToStatus(status cluster.HeartbeatStatus) cluster.HeartbeatStatus {
	text, err := json.Marshal(workerjson.EncodeHeartbeat(status, status.Addr))
	if err != nil {
		u.environment.reportViolation("unknown_fields: status of %s: %v", status.Machine, err)
		return status
	}
	decoded, err := wire.DecodeHeartbeatStatus(u.addToJSON(text))
	if err != nil {
		u.environment.reportViolation("unknown_fields: status of %s: %v", status.Machine, err)
		return status
	}
	decoded.FieldOverhead = status.FieldOverhead // the simulation sets it without encoding
	return decoded
}

func (u *UnknownFields) addToJSON(text []byte) []byte {
	extended, err := exactjsontest.AddOtherSpellings(text)
	if err != nil {
		u.environment.reportViolation("unknown_fields: %s: %v", text, err)
		return text
	}
	u.environment.FaultCounts[FaultUnknownFields]++
	return extended
}
