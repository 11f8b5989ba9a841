package standin

import (
	"bytes"
	"encoding/json"
	"strings"

	"stairrelay/internal/core"
)

// Release is the version of the program that a controller runs.
type Release int

const (
	// CurrentRelease is the version under test.
	CurrentRelease Release = iota
	// ProductionRelease is the version that deploy/service.toml names as
	// production. It is modelled by the current core behind a filter that drops,
	// in both directions, what that version does not know. The filter follows the
	// table of its reading rules in docs/design.md ("Pipelines and the upgrade"):
	// unknown JSON and CBOR fields are ignored, and none of them is ever written.
	ProductionRelease
)

// Limits are those of the state service that change with the upgrade.
type Limits struct {
	WriteRPS   float64
	ValueBytes int
	TxnOps     int
}

// awaitsField marks, in the JSON of a job's description, the jobs that it
// awaits. The production release does not know it.
const awaitsField = "aw"

// releaseEvent is what a controller of a release makes of an event.
func releaseEvent(r Release, ev core.Event) core.Event {
	if r == CurrentRelease {
		return ev
	}
	switch e := ev.(type) {
	case core.Submit:
		e.Job.Awaits = nil
		return e
	case core.PeerAsk:
		e.Msg = productionMessage(e.Msg)
		return e
	case core.Reply:
		e.Body = productionReply(e.Body)
		return e
	}
	return ev
}

// releaseEffect is what a controller of a release sends of an effect.
func releaseEffect(r Release, f core.Effect) core.Effect {
	if r == CurrentRelease {
		return f
	}
	switch f := f.(type) {
	case core.PeerCall:
		f.Msg = productionMessage(f.Msg)
		return f
	case core.Respond:
		if f.Peer != nil {
			m := productionMessage(*f.Peer)
			f.Peer = &m
		}
		return f
	case core.StoreTxn:
		then := make([]core.TxnOp, len(f.Then))
		for i, op := range f.Then {
			then[i] = core.TxnOp{Key: op.Key, Value: ProductionRecord(op.Key, op.Value)}
		}
		f.Then = then
		return f
	}
	return f
}

func productionReply(body any) any {
	switch r := body.(type) {
	case core.GetReply:
		r.KV.Value = ProductionRecord(r.KV.Key, r.KV.Value)
		return r
	case core.ListReply:
		r.Items = productionItems(r.Items)
		return r
	case core.WatchReply:
		r.Items = productionItems(r.Items)
		return r
	case core.PeerReply:
		r.Msg = productionMessage(r.Msg)
		return r
	}
	return body
}

func productionItems(items []core.KV) []core.KV {
	out := make([]core.KV, len(items))
	for i, kv := range items {
		out[i] = core.KV{Key: kv.Key, Value: ProductionRecord(kv.Key, kv.Value), Mark: kv.Mark}
	}
	return out
}

// productionMessage is a message between controllers without the fields that
// the production release does not know.
func productionMessage(m core.PeerMsg) core.PeerMsg {
	if m.Ping != nil {
		ping := *m.Ping
		ping.Level = 0
		m.Ping = &ping
	}
	if m.Submit != nil {
		handedOn := *m.Submit
		handedOn.Spec.Awaits = nil
		m.Submit = &handedOn
	}
	if m.Tell != nil {
		m.Tell = &core.Tell{Keys: productionItems(m.Tell.Keys)}
	}
	return m
}

// ProductionRecord is a stored record without the fields that the production
// release does not know. A record that has none of them stays as it is.
func ProductionRecord(key string, value []byte) []byte {
	switch {
	case strings.HasPrefix(key, "parts/") && bytes.Contains(value, []byte(`"`+upgradedField+`"`)):
		return withoutField(value, upgradedField)
	case !bytes.Contains(value, []byte(`"`+awaitsField+`"`)):
		return value
	case strings.HasPrefix(key, "jobs/"):
		return editField(value, "s", func(spec json.RawMessage) json.RawMessage {
			return withoutField(spec, awaitsField)
		})
	case strings.HasPrefix(key, "accepts/"):
		return editField(value, "j", productionAcceptedJobs)
	}
	return value
}

// upgradedField lists, in a claim, the controllers known to be upgraded.
const upgradedField = "up"

func productionAcceptedJobs(list json.RawMessage) json.RawMessage {
	var jobs []json.RawMessage
	if json.Unmarshal(list, &jobs) != nil {
		return list
	}
	for i, job := range jobs {
		jobs[i] = editField(job, "s", func(spec json.RawMessage) json.RawMessage {
			return withoutField(spec, awaitsField)
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

// NewUpgradeWorld makes a cluster whose controllers all run the production
// release, under the limits that the state service has at first. cfg holds the
// lower limits to come, which only the current release knows of.
func NewUpgradeWorld(seed uint64, cfg core.Config, before Limits, cloud *Cloud, options ...Option) *World {
	w := emptyWorld(seed, cfg, cloud, options)
	w.limitsBefore = before
	for _, n := range w.Nodes {
		n.Release = ProductionRelease
	}
	w.State.Limits = before
	w.start()
	return w
}

// LowerLimits brings the limits to come into force: from now on the state
// service refuses what is above them.
func (w *World) LowerLimits() {
	w.State.Limits = Limits{WriteRPS: w.cfg.WriteRPS, ValueBytes: w.cfg.ValueBytes, TxnOps: w.cfg.TxnOps}
	w.Faults["limits of the store lowered"]++
}

// Upgrade ends a controller's process; the one that is started in its place
// after a while runs the current release.
func (w *World) Upgrade(n *Node, gap core.Time) {
	if n.up {
		w.Kill(n)
	}
	n.Release = CurrentRelease
	w.Faults["controllers upgraded"]++
	w.After(gap, func() { w.Boot(n) })
}

// Upgraded tells whether every controller's next or present process is of the
// current release.
func (w *World) Upgraded() bool {
	for _, n := range w.Nodes {
		if n.Release != CurrentRelease {
			return false
		}
	}
	return true
}

// configOf is the configuration that a controller's release makes of the
// settings: the production release ignores the limits to come, the current one
// uses the present write rate until it is refused.
func (w *World) configOf(n *Node) core.Config {
	cfg := w.cfg
	cfg.PresentWriteRPS = w.limitsBefore.WriteRPS
	if n.Release == ProductionRelease {
		cfg.WriteRPS, cfg.ValueBytes, cfg.TxnOps = w.limitsBefore.WriteRPS, w.limitsBefore.ValueBytes, w.limitsBefore.TxnOps
	}
	return cfg
}

// anyCurrent draws a controller of the current release, or none: users ask
// nothing new of the production release.
func (w *World) anyCurrent() *Node {
	var current []*Node
	for _, n := range w.Nodes {
		if n.Release == CurrentRelease {
			current = append(current, n)
		}
	}
	if len(current) == 0 {
		return nil
	}
	return current[w.Rand.IntN(len(current))]
}

// submitTo draws the controller that a submission goes to; nil: nobody can take
// it yet.
func (w *World) submitTo(j *Job) *Node {
	if len(j.Spec.Awaits) > 0 && !w.Upgraded() {
		return w.anyCurrent()
	}
	return w.any()
}
