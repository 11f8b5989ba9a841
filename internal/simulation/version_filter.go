package simulation

import (
	"bytes"
	"encoding/json"
	"strings"

	"stairrelay/internal/exactjson"
	"stairrelay/internal/messages"
)

// Version is the program version of a controller.
type Version int

const (
	// CurrentVersion is the version under test.
	CurrentVersion Version = iota
	// ProductionVersion is the version that deploy/service.toml names as
	// production. It is simulated by the current controller behind a filter that
	// removes the fields that the production version does not know, both from what
	// the controller reads and from what it writes. See "Pipelines and the upgrade"
	// in docs/design.md.
	ProductionVersion
)

// Fields of stored records that the production version does not know.
const (
	// dependenciesField holds the dependencies in a job's specification.
	dependenciesField = "aw"
	// upgradedNodesField holds the upgraded controllers in a shard's claim record.
	upgradedNodesField = "up"
)

// filterEvent returns an event as a controller with the given version reads it.
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

// filterEffect returns an effect as a controller with the given version sends it.
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

// filterProductionReply returns a reply as the production version reads it.
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

// filterProductionMessage returns a copy of a message between controllers without
// the fields that the production version does not know.
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

// FilterProductionRecord returns a stored record without the fields that the
// production version does not know. A record without such fields is returned
// unchanged.
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

// withoutDependencies returns a job record without the job's dependencies.
func withoutDependencies(record []byte) json.RawMessage {
	return editField(record, "s", func(spec json.RawMessage) json.RawMessage {
		return withoutField(spec, dependenciesField)
	})
}

// withoutDependenciesOfAll returns a JSON array of job records without the dependencies of
// the jobs. A value of another type is returned unchanged.
func withoutDependenciesOfAll(list json.RawMessage) json.RawMessage {
	var records []json.RawMessage
	if exactjson.Unmarshal(list, &records) != nil {
		return list
	}
	for i, record := range records {
		records[i] = withoutDependencies(record)
	}
	return marshalOr(records, list)
}

// hasField reports whether a JSON object may contain a field at any depth. A string
// value that equals the name also counts.
func hasField(object []byte, name string) bool {
	return bytes.Contains(object, []byte(`"`+name+`"`))
}

func withoutField(object []byte, name string) json.RawMessage {
	return editObject(object, func(fields map[string]json.RawMessage) { delete(fields, name) })
}

// editField returns a JSON object with one field replaced by the result of edit. The
// object is not changed if it lacks the field.
func editField(object []byte, name string, edit func(json.RawMessage) json.RawMessage) json.RawMessage {
	return editObject(object, func(fields map[string]json.RawMessage) {
		if value, ok := fields[name]; ok {
			fields[name] = edit(value)
		}
	})
}

// editObject returns a JSON object after edit has changed its fields. A value of
// another type is returned unchanged.
func editObject(object []byte, edit func(fields map[string]json.RawMessage)) json.RawMessage {
	fields := map[string]json.RawMessage{}
	if exactjson.Unmarshal(object, &fields) != nil {
		return object
	}
	edit(fields)
	return marshalOr(fields, object)
}

// marshalOr returns the JSON encoding of value, or original if the encoding fails.
func marshalOr(value any, original []byte) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		return original
	}
	return encoded
}
