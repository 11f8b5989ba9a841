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
	// production. It is modelled by the current core behind a filter that drops,
	// in both directions, what that version does not know. The filter follows the
	// table of its reading rules in docs/design.md ("Pipelines and the upgrade"):
	// unknown JSON and CBOR fields are ignored, and none of them is ever written.
	ProductionVersion
)

// dependenciesField marks, in the JSON of a job's description, the jobs that it
// awaits. The production release does not know it.
const dependenciesField = "aw"

// filterEvent is what a controller of a release makes of an event.
func filterEvent(r Version, ev messages.Event) messages.Event {
	if r == CurrentVersion {
		return ev
	}
	switch e := ev.(type) {
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
	return ev
}

// filterEffect is what a controller of a release sends of an effect.
func filterEffect(r Version, f messages.Effect) messages.Effect {
	if r == CurrentVersion {
		return f
	}
	switch f := f.(type) {
	case messages.PeerCall:
		f.Message = filterProductionMessage(f.Message)
		return f
	case messages.Respond:
		if f.Peer != nil {
			m := filterProductionMessage(*f.Peer)
			f.Peer = &m
		}
		return f
	case messages.StoreTxn:
		then := make([]messages.TxnOp, len(f.Then))
		for i, op := range f.Then {
			then[i] = messages.TxnOp{Key: op.Key, Value: FilterProductionRecord(op.Key, op.Value)}
		}
		f.Then = then
		return f
	}
	return f
}

func filterProductionReply(body any) any {
	switch r := body.(type) {
	case messages.GetReply:
		r.KV.Value = FilterProductionRecord(r.KV.Key, r.KV.Value)
		return r
	case messages.ListReply:
		r.Items = filterProductionItems(r.Items)
		return r
	case messages.WatchReply:
		r.Items = filterProductionItems(r.Items)
		return r
	case messages.PeerReply:
		r.Message = filterProductionMessage(r.Message)
		return r
	}
	return body
}

func filterProductionItems(items []messages.KV) []messages.KV {
	out := make([]messages.KV, len(items))
	for i, kv := range items {
		out[i] = messages.KV{Key: kv.Key, Value: FilterProductionRecord(kv.Key, kv.Value), ModRevision: kv.ModRevision}
	}
	return out
}

// filterProductionMessage is a message between controllers without the fields that
// the production release does not know.
func filterProductionMessage(m messages.PeerMessage) messages.PeerMessage {
	if m.Ping != nil {
		ping := *m.Ping
		ping.FeatureLevel = 0
		m.Ping = &ping
	}
	if m.Submission != nil {
		handedOn := *m.Submission
		handedOn.Spec.Dependencies = nil
		m.Submission = &handedOn
	}
	if m.Notice != nil {
		m.Notice = &messages.JobNotice{Keys: filterProductionItems(m.Notice.Keys)}
	}
	return m
}

// FilterProductionRecord is a stored record without the fields that the production
// release does not know. A record that has none of them stays as it is.
func FilterProductionRecord(key string, value []byte) []byte {
	switch {
	case strings.HasPrefix(key, "parts/") && bytes.Contains(value, []byte(`"`+upgradedNodesField+`"`)):
		return withoutField(value, upgradedNodesField)
	case !bytes.Contains(value, []byte(`"`+dependenciesField+`"`)):
		return value
	case strings.HasPrefix(key, "jobs/"):
		return editField(value, "s", func(spec json.RawMessage) json.RawMessage {
			return withoutField(spec, dependenciesField)
		})
	case strings.HasPrefix(key, "accepts/"):
		return editField(value, "j", filterProductionAdmissions)
	}
	return value
}

// upgradedNodesField lists, in a claim, the controllers known to be upgraded.
const upgradedNodesField = "up"

func filterProductionAdmissions(list json.RawMessage) json.RawMessage {
	var jobs []json.RawMessage
	if json.Unmarshal(list, &jobs) != nil {
		return list
	}
	for i, job := range jobs {
		jobs[i] = editField(job, "s", func(spec json.RawMessage) json.RawMessage {
			return withoutField(spec, dependenciesField)
		})
	}
	out, err := json.Marshal(jobs)
	if err != nil {
		return list
	}
	return out
}

// editField returns an object with one field replaced; anything else as it is.
func editField(object []byte, name string, edit func(json.RawMessage) json.RawMessage) json.RawMessage {
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(object, &fields) != nil {
		return object
	}
	if old, ok := fields[name]; ok {
		fields[name] = edit(old)
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return object
	}
	return out
}

// withoutField returns an object without one of its fields.
func withoutField(object []byte, name string) json.RawMessage {
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(object, &fields) != nil {
		return object
	}
	delete(fields, name)
	out, err := json.Marshal(fields)
	if err != nil {
		return object
	}
	return out
}
