// Package wire holds the protocol's JSON. The protocol's own names (legs,
// boardings, batons and so on) end here: the rest of the program says tasks,
// attempts and tokens.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	"stairrelay/internal/core"
)

// MaxBody is the protocol's limit for a request body.
const MaxBody = 64 << 10

// maxName bounds the strings that go into records under the value limit.
const maxName = 200

var jobID = regexp.MustCompile(`^j-[0-9]{1,40}$`)

// ValidJobID tells whether an id has the form that all ids have.
func ValidJobID(s string) bool { return jobID.MatchString(s) }

func amount(x float64) core.Amount { return core.Amount(math.Ceil(x*1e6 - 1e-4)) }

type submission struct {
	ID        *string  `json:"id"`
	Class     *string  `json:"route"`
	Team      *string  `json:"crew"`
	Kind      *string  `json:"shape"`
	Priority  *string  `json:"urgency"`
	Tasks     *float64 `json:"legs"`
	CPU       *float64 `json:"vcpus"`
	GPU       *float64 `json:"accelerators"`
	Mem       *float64 `json:"memoryGb"`
	Image     *string  `json:"bundle"`
	ImageGB   *float64 `json:"sizeGb"`
	Types     []string `json:"fleets"`
	Zone      *string  `json:"yard"`
	SamePlace *bool    `json:"samePlace"`
	Scatter   *bool    `json:"scatter"`
	Spot      *bool    `json:"standby"`
	Runtime   *float64 `json:"runtimeS"`
	Checkpnt  *float64 `json:"waypointS"`
	Save      *float64 `json:"stowS"`
	Deadline  *float64 `json:"dueS"`
	Awaits    []string `json:"awaits"`
}

var priorities = map[string]core.Priority{
	"best_effort": core.BestEffort, "normal": core.Normal, "urgent": core.Urgent, "production": core.Production,
}

// DecodeSubmission reads a submission. With an error, the spec's ID is still
// set when the body names a well-formed one: such an id may be known already.
func DecodeSubmission(body []byte) (core.JobSpec, error) {
	var spec core.JobSpec
	var only struct {
		ID *string `json:"id"`
	}
	if json.Unmarshal(body, &only) == nil && only.ID != nil && ValidJobID(*only.ID) {
		spec.ID = core.JobID(*only.ID)
	}
	var s submission
	if err := json.Unmarshal(body, &s); err != nil {
		return spec, fmt.Errorf("reading submission: %w", err)
	}
	if spec.ID == "" {
		return spec, errors.New("id is missing or malformed")
	}
	for name, p := range map[string]*string{"route": s.Class, "crew": s.Team, "bundle": s.Image, "shape": s.Kind, "urgency": s.Priority} {
		if p == nil || *p == "" || len(*p) > maxName {
			return spec, fmt.Errorf("%s is missing or invalid", name)
		}
	}
	for name, p := range map[string]*float64{"vcpus": s.CPU, "accelerators": s.GPU, "memoryGb": s.Mem, "sizeGb": s.ImageGB,
		"runtimeS": s.Runtime, "waypointS": s.Checkpnt, "stowS": s.Save} {
		if p == nil || *p < 0 || *p > 1e9 {
			return spec, fmt.Errorf("%s is missing or invalid", name)
		}
	}
	if s.SamePlace == nil || s.Scatter == nil || s.Spot == nil {
		return spec, errors.New("samePlace, scatter or standby is missing")
	}
	if s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > 100_000 || *s.Tasks != math.Trunc(*s.Tasks) {
		return spec, errors.New("legs is missing or invalid")
	}
	if *s.Kind != "sweep" {
		return spec, errors.New("shape is not known")
	}
	prio, ok := priorities[*s.Priority]
	if !ok {
		return spec, errors.New("urgency is not known")
	}
	if s.Deadline != nil && (*s.Deadline <= 0 || *s.Deadline > 1e9) {
		return spec, errors.New("dueS is invalid")
	}
	if s.Zone != nil && (*s.Zone == "" || len(*s.Zone) > maxName) {
		return spec, errors.New("yard is invalid")
	}
	if len(s.Types) > 32 {
		return spec, errors.New("fleets is too long")
	}
	n := 0
	for _, t := range s.Types {
		if t == "" || len(t) > maxName {
			return spec, errors.New("fleets is invalid")
		}
		n += len(t)
	}
	if n > 1000 {
		return spec, errors.New("fleets is too long")
	}
	if s.Types != nil && len(s.Types) == 0 {
		s.Types = []string{"-"} // an empty list allows no type
	}
	for _, a := range s.Awaits {
		if !ValidJobID(a) || core.JobID(a) == spec.ID {
			return spec, errors.New("awaits names no job that it could wait for")
		}
		if id := core.JobID(a); !slices.Contains(spec.Awaits, id) {
			spec.Awaits = append(spec.Awaits, id)
		}
	}
	spec.Class, spec.Team, spec.Priority, spec.Tasks = *s.Class, *s.Team, prio, int(*s.Tasks)
	spec.Need = core.Res{CPU: amount(*s.CPU), GPU: amount(*s.GPU), Mem: amount(*s.Mem)}
	spec.Types, spec.SamePlace, spec.Scatter, spec.Spot = s.Types, *s.SamePlace, *s.Scatter, *s.Spot
	if s.Zone != nil {
		spec.Zone = *s.Zone
	}
	spec.Image, spec.ImageGB = *s.Image, *s.ImageGB
	spec.RuntimeS, spec.CheckpntS, spec.SaveS = *s.Runtime, *s.Checkpnt, *s.Save
	if s.Deadline != nil {
		spec.DeadlineS = *s.Deadline
	}
	return spec, nil
}

// View is a job's state as users get it.
type View struct {
	ID      core.JobID  `json:"id"`
	Status  core.Status `json:"status"`
	Done    int         `json:"done"`
	Running int         `json:"running"`
}

// EncodeView writes a job's state.
func EncodeView(v core.JobView) []byte {
	b, _ := json.Marshal(View(v))
	return b
}

type report struct {
	Machine string       `json:"coach"`
	Addr    string       `json:"addr"`
	Type    string       `json:"fleet"`
	Zone    string       `json:"yard"`
	Spot    bool         `json:"standby"`
	Session uint64       `json:"shift"`
	Stamp   uint64       `json:"stamp"`
	Token   uint64       `json:"baton"`
	Notice  *float64     `json:"recallS"`
	Tasks   []taskReport `json:"legs"`
}

type taskReport struct {
	Task    string `json:"leg"`
	Attempt uint64 `json:"boarding"`
	State   string `json:"status"`
	Cause   string `json:"cause"`
	Saved   bool   `json:"stored"`
}

var states = map[string]core.TaskState{"fetching": core.Fetching, "running": core.Running, "flushing": core.Saving, "ended": core.Ended}

var causes = map[string]core.Cause{"done": core.CauseDone, "stopped": core.CauseStopped, "error": core.CauseError,
	"full": core.CauseFull, "busy": core.CauseBusy, "no_such": core.CauseNoSuch}

// DecodeReport reads a worker's report.
func DecodeReport(body []byte) (core.Report, error) {
	var r report
	if err := json.Unmarshal(body, &r); err != nil {
		return core.Report{}, fmt.Errorf("reading report: %w", err)
	}
	if r.Machine == "" || len(r.Machine) > 150 || strings.ContainsAny(r.Machine, " /?#%") || r.Session == 0 {
		return core.Report{}, errors.New("report without machine or session")
	}
	out := core.Report{Machine: core.MachineID(r.Machine), Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Session: core.Session(r.Session), Stamp: core.Stamp(r.Stamp), Token: core.Token(r.Token), Notice: -1}
	if r.Notice != nil {
		out.Notice = max(0, *r.Notice)
	}
	for _, t := range r.Tasks {
		id, ok := core.ParseTask(t.Task)
		st, known := states[t.State]
		if !ok || !known {
			return core.Report{}, fmt.Errorf("report with task %q in state %q", t.Task, t.State)
		}
		tr := core.TaskReport{Task: id, Attempt: core.Attempt(t.Attempt), State: st, Saved: t.Saved}
		if st == core.Ended {
			if tr.Cause, ok = causes[t.Cause]; !ok {
				tr.Cause = core.CauseError // an unknown cause is not success
			}
		}
		out.Tasks = append(out.Tasks, tr)
	}
	return out, nil
}

type command struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"leg"`
	Attempt uint64   `json:"boarding"`
	Grace   *float64 `json:"layoverS,omitempty"`
}

func encodeCommands(cmds []core.Command) []command {
	out := make([]command, 0, len(cmds))
	for _, c := range cmds {
		w := command{Task: c.Task.String(), Attempt: uint64(c.Attempt)}
		switch c.Verb {
		case core.Start:
			w.Verb = "start"
		case core.Stop:
			w.Verb = "halt"
			g := c.Grace
			w.Grace = &g
		case core.Forget:
			w.Verb = "reap"
		}
		out = append(out, w)
	}
	return out
}

// EncodeWorkerAnswer writes the body of a 200 or 421 for a worker.
func EncodeWorkerAnswer(status int, a core.WorkerAnswer) []byte {
	if status == 421 {
		var r struct {
			To string `json:"dispatcher,omitempty"`
		}
		r.To = string(a.Redirect)
		b, _ := json.Marshal(r)
		return b
	}
	b, _ := json.Marshal(struct {
		Token    uint64    `json:"baton"`
		Commands []command `json:"dispatches"`
	}{uint64(a.Token), encodeCommands(a.Commands)})
	return b
}

// EncodeOrders writes direct commands.
func EncodeOrders(o core.Orders) []byte {
	b, _ := json.Marshal(struct {
		Token    uint64    `json:"baton"`
		Session  uint64    `json:"shift"`
		Commands []command `json:"dispatches"`
	}{uint64(o.Token), uint64(o.Session), encodeCommands(o.Commands)})
	return b
}

// DecodeTypes reads the cloud's machine types.
func DecodeTypes(body []byte) ([]core.MachineType, error) {
	var r struct {
		Types []struct {
			Name      string   `json:"name"`
			CPU       float64  `json:"vcpus"`
			GPU       float64  `json:"accelerators"`
			Mem       float64  `json:"memoryGb"`
			Cache     float64  `json:"cacheGb"`
			Fetch     float64  `json:"pullGbPerS"`
			Price     float64  `json:"rate"`
			SpotPrice float64  `json:"spotPrice"`
			Boot      float64  `json:"bootS"`
			Zones     []string `json:"yards"`
		} `json:"fleets"`
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("reading machine types: %w", err)
	}
	var out []core.MachineType
	for _, t := range r.Types {
		if t.Name == "" || t.CPU <= 0 {
			return nil, fmt.Errorf("machine type %q makes no sense", t.Name)
		}
		out = append(out, core.MachineType{Name: t.Name, Cap: core.Res{CPU: core.FloorAmount(t.CPU), GPU: core.FloorAmount(t.GPU), Mem: core.FloorAmount(t.Mem)},
			CacheGB: t.Cache, FetchGBs: t.Fetch, Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.Boot, Zones: t.Zones})
	}
	return out, nil
}

// EncodeRental writes a rental request.
func EncodeRental(r core.CloudRent) []byte {
	b, _ := json.Marshal(map[string]any{"charter": r.Name, "fleet": r.Type, "yard": r.Zone, "standby": r.Spot, "count": r.Count})
	return b
}

// EncodeReturn writes a return request.
func EncodeReturn(ids []core.MachineID) []byte {
	b, _ := json.Marshal(map[string]any{"coaches": ids})
	return b
}

// DecodeRental reads which machines a request got.
func DecodeRental(body []byte) ([]core.MachineID, error) {
	var r struct {
		IDs *[]core.MachineID `json:"coaches"`
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("reading rental: %w", err)
	}
	if r.IDs == nil {
		return nil, errors.New("rental answer names no machines")
	}
	return *r.IDs, nil
}

// DecodeList reads a page of the machine list.
func DecodeList(body []byte) ([]core.Listed, bool, error) {
	var r struct {
		Items []struct {
			ID     string  `json:"id"`
			Addr   string  `json:"addr"`
			Type   string  `json:"fleet"`
			Zone   string  `json:"yard"`
			Spot   bool    `json:"standby"`
			Status string  `json:"status"`
			Age    float64 `json:"ageS"`
		} `json:"coaches"`
		More bool `json:"truncated"`
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, false, fmt.Errorf("reading machine list: %w", err)
	}
	var out []core.Listed
	for _, l := range r.Items {
		out = append(out, core.Listed{ID: core.MachineID(l.ID), Addr: l.Addr, Type: l.Type, Zone: l.Zone, Spot: l.Spot, Status: l.Status, AgeS: l.Age})
	}
	return out, r.More, nil
}

// EncodeTxn writes a transaction.
func EncodeTxn(t core.StoreTxn) []byte {
	type cond struct {
		Key  string `json:"key"`
		Mark uint64 `json:"mark"`
	}
	type op struct {
		Set   string          `json:"set,omitempty"`
		Value json.RawMessage `json:"value,omitempty"`
		Drop  string          `json:"drop,omitempty"`
	}
	when := make([]cond, 0, len(t.When))
	for _, c := range t.When {
		when = append(when, cond{c.Key, uint64(c.Mark)})
	}
	then := make([]op, 0, len(t.Then))
	for _, o := range t.Then {
		if o.Value == nil {
			then = append(then, op{Drop: o.Key})
		} else {
			then = append(then, op{Set: o.Key, Value: o.Value})
		}
	}
	b, _ := json.Marshal(map[string]any{"when": when, "then": then})
	return b
}

// DecodeTxn reads a transaction's answer.
func DecodeTxn(body []byte) (core.Epoch, []string, error) {
	var r struct {
		Epoch  *uint64  `json:"epoch"`
		Failed []string `json:"failed"`
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return 0, nil, fmt.Errorf("reading transaction's answer: %w", err)
	}
	if r.Epoch == nil {
		return 0, nil, errors.New("transaction's answer has no epoch")
	}
	return core.Epoch(*r.Epoch), r.Failed, nil
}

type item struct {
	Key   string          `json:"key"`
	Set   string          `json:"set"`
	Drop  string          `json:"drop"`
	Value json.RawMessage `json:"value"`
	Mark  uint64          `json:"mark"`
}

// DecodeGet reads a key.
func DecodeGet(body []byte) (core.KV, error) {
	var i item
	if err := json.Unmarshal(body, &i); err != nil {
		return core.KV{}, fmt.Errorf("reading key: %w", err)
	}
	if i.Mark == 0 || len(i.Value) == 0 {
		return core.KV{}, errors.New("key's answer has no value or mark")
	}
	return core.KV{Key: i.Key, Value: i.Value, Mark: core.Mark(i.Mark)}, nil
}

// DecodeItems reads a page of keys, or of changes.
func DecodeItems(body []byte) ([]core.KV, bool, core.Epoch, error) {
	var r struct {
		Items  []item  `json:"items"`
		Events []item  `json:"events"`
		More   bool    `json:"truncated"`
		Epoch  *uint64 `json:"epoch"`
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, false, 0, fmt.Errorf("reading keys: %w", err)
	}
	if r.Epoch == nil {
		return nil, false, 0, errors.New("answer has no epoch")
	}
	var out []core.KV
	for _, i := range append(r.Items, r.Events...) {
		kv := core.KV{Key: i.Key, Value: i.Value, Mark: core.Mark(i.Mark)}
		switch {
		case i.Drop != "":
			kv.Key, kv.Value = i.Drop, nil
		case i.Set != "":
			kv.Key = i.Set
		}
		out = append(out, kv)
	}
	return out, r.More, core.Epoch(*r.Epoch), nil
}
