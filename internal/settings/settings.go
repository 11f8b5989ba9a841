// Package settings reads and checks the platform's TOML file and the
// operators' own JSON file.
package settings

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"stairrelay/internal/core"
	"stairrelay/internal/sockets"
)

// Settings is all that the program is started with.
type Settings struct {
	Listen, Back, Cloud, State string
	Peers                      map[core.NodeID]string
	MemoryMB                   float64
	Connections                int     // sockets that the process may have; 0: not limited
	CoreShare                  float64 // of a core that it may use; 0: not limited
	Core                       core.Config
	Odd                        []string // what is served all the same, for the log
}

type file struct {
	Host   string `toml:"host_name"`
	Domain string `toml:"domain"`
	Listen string `toml:"listen"`
	Back   string `toml:"back"`
	Peers  []struct {
		Host     string `toml:"host_name"`
		Endpoint string `toml:"endpoint"`
	} `toml:"peers"`
	External struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"external"`
	Cluster struct {
		Count int `toml:"count"`
		Teams []struct {
			Name    string  `toml:"name"`
			CPUs    float64 `toml:"cpus"`
			CPUsMax float64 `toml:"cpus_max"`
			GPUs    float64 `toml:"gpus"`
			GPUsMax float64 `toml:"gpus_max"`
		} `toml:"teams"`
		Objectives []struct {
			Kind    string  `toml:"kind"`
			Class   string  `toml:"class"`
			WithinS float64 `toml:"within_s"`
			Times   float64 `toml:"times"`
		} `toml:"objectives"`
		Workers struct {
			ReportS float64 `toml:"report_s"`
			LeaseS  float64 `toml:"lease_s"`
			CancelS float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS      float64 `toml:"rps"`
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
			Next     *struct {
				WriteRPS *float64 `toml:"write_rps"`
				ValueKB  *float64 `toml:"value_kb"`
				TxnOps   *int     `toml:"txn_ops"`
			} `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Limits struct {
			MemMB       float64 `toml:"mem_mb"`
			Connections int     `toml:"max_connections"`
			Share       float64 `toml:"core_share"`
		} `toml:"machine_limits"`
	} `toml:"cluster"`
}

//go:embed operators.schema.json
var schemaText []byte

// Schema is the JSON schema of the operators' file.
func Schema() []byte { return schemaText }

func seconds(s float64) core.Time { return core.Time(s * 1e9) }

// Load reads the platform's file and, when its path is not empty, the
// operators' file. Every error is one line that names file and field.
func Load(path, operators string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := parse(text)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	s.Core.Tuning = core.DefaultTuning()
	if operators == "" {
		return s, nil
	}
	text, err = os.ReadFile(operators)
	if err != nil {
		return nil, fmt.Errorf("operators' settings: %w", err)
	}
	if err := tune(&s.Core.Tuning, text); err != nil {
		return nil, fmt.Errorf("operators' settings %s: %w", operators, err)
	}
	return s, nil
}

func parse(text []byte) (*Settings, error) {
	var f file
	if err := toml.Unmarshal(text, &f); err != nil {
		var d *toml.DecodeError
		if errors.As(err, &d) {
			row, col := d.Position()
			return nil, fmt.Errorf("line %d column %d: %s: %s", row, col, strings.Join(d.Key(), "."), d.Error())
		}
		return nil, err
	}
	s := &Settings{Listen: f.Listen, Back: f.Back, Cloud: f.External.Cloud, State: f.External.State,
		Peers: map[core.NodeID]string{}, MemoryMB: f.Cluster.Limits.MemMB, Connections: f.Cluster.Limits.Connections, CoreShare: f.Cluster.Limits.Share}
	if f.Host == "" {
		return nil, errors.New("host_name: missing")
	}
	addrs := []struct{ name, addr string }{{"listen", f.Listen}, {"back", f.Back},
		{"external.cloud", f.External.Cloud}, {"external.state", f.External.State}}
	for _, p := range f.Peers {
		if p.Host == "" || p.Host == f.Host || s.Peers[core.NodeID(p.Host)] != "" {
			return nil, fmt.Errorf("peers.host_name: %q is missing, repeated or this controller's own", p.Host)
		}
		s.Peers[core.NodeID(p.Host)] = p.Endpoint
		addrs = append(addrs, struct{ name, addr string }{"peers.endpoint", p.Endpoint})
	}
	for _, a := range addrs {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %q is not an address with a port", a.name, a.addr)
		}
	}
	cl := f.Cluster
	for _, n := range []struct {
		name string
		v    float64
	}{{"cluster.workers.report_s", cl.Workers.ReportS}, {"cluster.workers.lease_s", cl.Workers.LeaseS},
		{"cluster.workers.cancel_s", cl.Workers.CancelS}, {"cluster.state.rps", cl.State.RPS},
		{"cluster.state.write_rps", cl.State.WriteRPS}, {"cluster.state.value_kb", cl.State.ValueKB},
		{"cluster.state.txn_ops", float64(cl.State.TxnOps)}, {"cluster.cloud.rps", cl.Cloud.RPS}} {
		if !(n.v > 0) || math.IsInf(n.v, 0) {
			return nil, fmt.Errorf("%s: missing or not above 0", n.name)
		}
	}
	// The limits to come hold without notice from some moment on: nothing larger
	// than the lower of both is ever written.
	writeRPS, valueKB, txnOps := cl.State.WriteRPS, cl.State.ValueKB, cl.State.TxnOps
	if next := cl.State.Next; next != nil {
		for name, v := range map[string]*float64{"write_rps": next.WriteRPS, "value_kb": next.ValueKB} {
			if v != nil && (!(*v > 0) || math.IsInf(*v, 0)) {
				return nil, fmt.Errorf("cluster.state.next.%s: not above 0", name)
			}
		}
		if next.TxnOps != nil && *next.TxnOps <= 0 {
			return nil, errors.New("cluster.state.next.txn_ops: not above 0")
		}
		if next.WriteRPS != nil {
			writeRPS = min(writeRPS, *next.WriteRPS)
		}
		if next.ValueKB != nil {
			valueKB = min(valueKB, *next.ValueKB)
		}
		if next.TxnOps != nil {
			txnOps = min(txnOps, *next.TxnOps)
		}
	}
	if txnOps < 4 || valueKB < 2 {
		return nil, errors.New("cluster.state: txn_ops below 4 or value_kb below 2, now or next, is more than the records can be cut to")
	}
	if cl.Cloud.ListLagS < 0 {
		return nil, errors.New("cluster.cloud.list_lag_s: below 0")
	}
	if len(cl.Teams) == 0 {
		return nil, errors.New("cluster.teams: missing")
	}
	if cl.Count != 0 && cl.Count != len(f.Peers)+1 {
		return nil, fmt.Errorf("cluster.count: %d, but peers and this controller make %d", cl.Count, len(f.Peers)+1)
	}
	k := &s.Core
	k.Self, k.Zone = core.NodeID(f.Host), f.Domain
	k.Nodes = append(k.Nodes, k.Self)
	for n := range s.Peers {
		k.Nodes = append(k.Nodes, n)
	}
	sort.Slice(k.Nodes, func(i, j int) bool { return k.Nodes[i] < k.Nodes[j] })
	seen := map[string]bool{}
	for _, t := range cl.Teams {
		if t.Name == "" || seen[t.Name] {
			return nil, fmt.Errorf("cluster.teams.name: %q is missing or repeated", t.Name)
		}
		seen[t.Name] = true
		if t.CPUs < 0 || t.GPUs < 0 || t.CPUsMax < 0 || t.GPUsMax < 0 {
			return nil, fmt.Errorf("cluster.teams: %s has an amount below 0", t.Name)
		}
		limit := core.Res{CPU: limitOf(t.CPUsMax), GPU: limitOf(t.GPUsMax)}
		if guarantee := res(t.CPUs, t.GPUs); limit.CPU < guarantee.CPU || limit.GPU < guarantee.GPU {
			s.Odd = append(s.Odd, fmt.Sprintf("cluster.teams: %s is guaranteed more than its limit; the limit holds", t.Name))
		}
		k.Teams = append(k.Teams, core.Team{Name: t.Name, Guarantee: res(t.CPUs, t.GPUs), Limit: limit})
	}
	for _, o := range cl.Objectives {
		k.Objectives = append(k.Objectives, core.Objective{Kind: o.Kind, Class: o.Class, WithinS: o.WithinS, Times: o.Times})
	}
	k.ReportEvery, k.Lease, k.CancelWithin = seconds(cl.Workers.ReportS), seconds(cl.Workers.LeaseS), seconds(cl.Workers.CancelS)
	if e := core.Entitlement(k.CancelWithin, k.Lease); e < core.LeastEntitlement {
		// The bound falls by less than a second for each that cancel_s does, so what is missing is rounded up.
		need := math.Ceil(cl.Workers.CancelS + float64(core.LeastEntitlement-e)/1e9*1.01)
		s.Odd = append(s.Odd, fmt.Sprintf("cluster.workers: with lease_s %g a cancel_s of %g leaves a cut-off controller %.2f s to notice that it was succeeded, of %g that it needs; "+
			"in an outage of the state service a cancelled task may run on past cancel_s. A cancel_s of %g would do",
			cl.Workers.LeaseS, cl.Workers.CancelS, float64(e)/1e9, float64(core.LeastEntitlement)/1e9, need))
	}
	k.PresentWriteRPS = cl.State.WriteRPS
	k.StoreRPS, k.WriteRPS, k.ValueBytes, k.TxnOps = cl.State.RPS, writeRPS, int(valueKB*1024), txnOps
	if s.CoreShare < 0 || math.IsNaN(s.CoreShare) {
		return nil, errors.New("cluster.machine_limits.core_share: below 0")
	}
	if n := s.Connections; n < 0 {
		return nil, errors.New("cluster.machine_limits.max_connections: below 0")
	} else if n > 0 && n < 256 {
		s.Odd = append(s.Odd, fmt.Sprintf("cluster.machine_limits.max_connections: %d serves about %d workers and users at once", n, sockets.MakePlan(n, len(s.Peers)).Front))
	}
	k.CloudRPS, k.ListLag = cl.Cloud.RPS, seconds(cl.Cloud.ListLagS)
	return s, nil
}

func res(cpu, gpu float64) core.Res {
	return core.Res{CPU: core.FloorAmount(cpu), GPU: core.FloorAmount(gpu)}
}

// limitOf reads a team's limit, where 0 means none: the team may use all there
// is. Read as nothing at all, every job of such a team would get 422.
func limitOf(most float64) core.Amount {
	if most == 0 {
		return core.NoLimit
	}
	return core.FloorAmount(most)
}

type operatorsFile struct {
	CheckpointS  *float64 `json:"checkpoint_s"`
	PingS        *float64 `json:"ping_s"`
	PingTimeoutS *float64 `json:"ping_timeout_s"`
	Retries      *int     `json:"retries"`
	RetryFirstS  *float64 `json:"retry_first_s"`
	ProbeS       *float64 `json:"probe_s"`
	Probes       *int     `json:"probes"`
	IdleReturnS  *float64 `json:"idle_return_s"`
	RefusedWaitS *float64 `json:"refused_wait_s"`
	BootPatience *float64 `json:"boot_patience"`
	BudgetShare  *float64 `json:"budget_share"`
	HandBackS    *float64 `json:"hand_back_s"`
	SpareShare   *float64 `json:"spare_share"`
	SmallFirst   *float64 `json:"small_first"`
	BeginWithinS *float64 `json:"begin_within_s"`
}

func tune(t *core.Tuning, text []byte) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	schemaDoc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	comp := jsonschema.NewCompiler()
	if err := comp.AddResource("operators.schema.json", schemaDoc); err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	sch, err := comp.Compile("operators.schema.json")
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	if err := sch.Validate(doc); err != nil {
		var v *jsonschema.ValidationError
		if errors.As(err, &v) {
			for len(v.Causes) > 0 {
				v = v.Causes[0]
			}
			return fmt.Errorf("/%s: %s", strings.Join(v.InstanceLocation, "/"), strings.ReplaceAll(v.Error(), "\n", " "))
		}
		return err
	}
	var f operatorsFile
	if err := json.Unmarshal(text, &f); err != nil {
		return err
	}
	for _, x := range []struct {
		from *float64
		to   *core.Time
	}{{f.CheckpointS, &t.Checkpoint}, {f.PingS, &t.PingEvery}, {f.PingTimeoutS, &t.PingTimeout}, {f.RetryFirstS, &t.RetryFirst},
		{f.ProbeS, &t.ProbeEvery}, {f.IdleReturnS, &t.IdleReturn}, {f.RefusedWaitS, &t.RefusedWait}, {f.HandBackS, &t.HandBackAfter},
		{f.BeginWithinS, &t.BeginWithin}} {
		if x.from != nil {
			*x.to = seconds(*x.from)
		}
	}
	for _, x := range []struct {
		from *int
		to   *int
	}{{f.Retries, &t.Retries}, {f.Probes, &t.Probes}} {
		if x.from != nil {
			*x.to = *x.from
		}
	}
	for _, x := range []struct {
		from *float64
		to   *float64
	}{{f.BootPatience, &t.BootPatience}, {f.SpareShare, &t.SpareShare}, {f.SmallFirst, &t.SmallFirst}, {f.BudgetShare, &t.BudgetShare}} {
		if x.from != nil {
			*x.to = *x.from
		}
	}
	return nil
}
