package simulation

import (
	"bytes"
	"encoding/json"
	"strings"

	"stairrelay/internal/messages"
)

// Version is the version of the program that a controller runs.
type Version int

const (
	// CurrentVersion is the version under test.
	CurrentVersion Version = iota
	// ProductionVersion is the version that deploy/service.toml names as
	// production. It is modelled by the current controller behind a filter that
	// drops, in both directions, what that version does not know. The filter follows
	// the table of its reading rules in docs/design.md ("Pipelines and the upgrade"):
	// unknown JSON and CBOR fields are ignored, and none of them is ever written.
	ProductionVersion
)

// Stored fields that the production version does not know.
const (
	// dependenciesField lists, in a job's description, the jobs that it depends on.
	dependenciesField = "aw"
	// upgradedNodesField lists, in the record of a shard's owner, the controllers
	// known to be upgraded.
	upgradedNodesField = "up"
)

// filterEvent is what a controller of a version reads of an event.
func filterEvent(version Version, event messages.Event) messages.Event {
	if version == CurrentVersion {
		return event
	}
	switch e := event.(type) {
	case messages.Submit:
		e.Spec.Dependencies = nil
		return e
	case messages.PeerRequest:
		e.Message = filterProductionMessage(e.Message)
		return e
	case messages.Reply:
		e.Body = filterProductionReply(e.Body)
		return e
	}
	return event
}

// filterEffect is what a controller of a version sends of an effect.
func filterEffect(version Version, effect messages.Effect) messages.Effect {
	if version == CurrentVersion {
		return effect
	}
	switch e := effect.(type) {
	case messages.PeerCall:
		e.Message = filterProductionMessage(e.Message)
		return e
	case messages.Respond:
		if e.Peer != nil {
			message := filterProductionMessage(*e.Peer)
			e.Peer = &message
		}
		return e
	case messages.StoreTxn:
		e.Then = filterProductionOps(e.Then)
		return e
	}
	return effect
}

// filterProductionReply is what the production version reads of a reply.
func filterProductionReply(body messages.ReplyBody) messages.ReplyBody {
	switch reply := body.(type) {
	case messages.GetReply:
		reply.KV.Value = FilterProductionRecord(reply.KV.Key, reply.KV.Value)
		return reply
	case messages.ListReply:
		reply.Items = filterProductionItems(reply.Items)
		return reply
	case messages.WatchReply:
		reply.Items = filterProductionItems(reply.Items)
		return reply
	case messages.PeerReply:
		reply.Message = filterProductionMessage(reply.Message)
		return reply
	}
	return body
}

func filterProductionOps(operations []messages.TxnOp) []messages.TxnOp {
	filtered := make([]messages.TxnOp, len(operations))
	for i, operation := range operations {
		filtered[i] = messages.TxnOp{Key: operation.Key, Value: FilterProductionRecord(operation.Key, operation.Value)}
	}
	return filtered
}

func filterProductionItems(items []messages.KV) []messages.KV {
	filtered := make([]messages.KV, len(items))
	for i, kv := range items {
		filtered[i] = messages.KV{Key: kv.Key, Value: FilterProductionRecord(kv.Key, kv.Value), ModRevision: kv.ModRevision}
	}
	return filtered
}

// filterProductionMessage is a message between controllers without the fields that
// the production version does not know. The message itself stays as it is.
func filterProductionMessage(message messages.PeerMessage) messages.PeerMessage {
	if message.Ping != nil {
		ping := *message.Ping
		ping.FeatureLevel = 0
		message.Ping = &ping
	}
	if message.Submission != nil {
		submission := *message.Submission
		submission.Spec.Dependencies = nil
		message.Submission = &submission
	}
	if message.Notice != nil {
		message.Notice = &messages.JobNotice{Items: filterProductionItems(message.Notice.Items)}
	}
	return message
}

// FilterProductionRecord is a stored record without the fields that the production
// version does not know. A record that has none of them stays as it is.
func FilterProductionRecord(key string, value []byte) []byte {
	switch {
	case strings.HasPrefix(key, "parts/") && hasField(value, upgradedNodesField):
		return withoutField(value, upgradedNodesField)
	case !hasField(value, dependenciesField):
		return value
	case strings.HasPrefix(key, "jobs/"):
		return withoutDependencies(value)
	case strings.HasPrefix(key, "accepts/"):
		return editField(value, "j", withoutDependenciesOfAll)
	}
	return value
}

// withoutDependencies returns a job's record without its dependencies.
func withoutDependencies(record []byte) json.RawMessage {
	return editField(record, "s", func(spec json.RawMessage) json.RawMessage {
		return withoutField(spec, dependenciesField)
	})
}

// withoutDependenciesOfAll returns a list of jobs' records without their
// dependencies; anything else as it is.
func withoutDependenciesOfAll(list json.RawMessage) json.RawMessage {
	var records []json.RawMessage
	if json.Unmarshal(list, &records) != nil {
		return list
	}
	for i, record := range records {
		records[i] = withoutDependencies(record)
	}
	return marshalOr(records, list)
}

// hasField tells whether an object may have a field, at any depth.
func hasField(object []byte, name string) bool {
	return bytes.Contains(object, []byte(`"`+name+`"`))
}

// withoutField returns an object without one of its fields.
func withoutField(object []byte, name string) json.RawMessage {
	return editObject(object, func(fields map[string]json.RawMessage) { delete(fields, name) })
}

// editField returns an object with one field edited, if it has that.
func editField(object []byte, name string, edit func(json.RawMessage) json.RawMessage) json.RawMessage {
	return editObject(object, func(fields map[string]json.RawMessage) {
		if value, ok := fields[name]; ok {
			fields[name] = edit(value)
		}
	})
}

// editObject returns an object with its fields edited; anything else as it is.
func editObject(object []byte, edit func(fields map[string]json.RawMessage)) json.RawMessage {
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(object, &fields) != nil {
		return object
	}
	edit(fields)
	return marshalOr(fields, object)
}

// marshalOr encodes a value; if that fails it returns the original.
func marshalOr(value any, original []byte) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		return original
	}
	return encoded
}
