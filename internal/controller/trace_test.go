package controller_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/simulation"
)

var updateGolden = flag.Bool("update", false, "write the traces of testdata/stories anew")

// TestTraces replays the kept traces. A story is a text file: lines that
// begin with # tell it, lines that begin with > are what happens, the others
// are what the controllers and workers did about it. With -update the last are
// written anew: read the difference before it is committed.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/stories/*.txt")
	if err != nil || len(files) < 8 {
		t.Fatalf("only %d stories: %v", len(files), err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			got := replayTrace(t, string(text))
			if *updateGolden {
				if err := os.WriteFile(f, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if got != string(text) {
				want, have := strings.Split(string(text), "\n"), strings.Split(got, "\n")
				for i := range want {
					if i >= len(have) || want[i] != have[i] {
						t.Fatalf("line %d of %s\nwant %s\ngot  %s", i+1, f, want[i], append(have, "")[min(i, len(have))])
					}
				}
				t.Fatalf("%s: %d lines more than kept", f, len(have)-len(want))
			}
		})
	}
}

// replayTrace plays a story's script and returns the story with what came of it.
func replayTrace(t *testing.T, text string, options ...simulation.Option) string {
	t.Helper()
	var out strings.Builder
	var w *simulation.Simulator
	var before *simulation.StoreLimits
	jobs := map[string]*simulation.Job{}
	cfg := testConfig()
	cloud := testCloud(func() *simulation.Simulator { return w })
	cloud.AvailableCapacity = map[string]int{}
	cloud.BootDuration = func() cluster.Time { return 10 * second }
	say := func(s string) { fmt.Fprintf(&out, "%8.3f %s\n", time.Duration(w.Now).Seconds(), s) }
	for i, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "#") {
			out.WriteString(line + "\n")
		}
		if !strings.HasPrefix(line, ">") {
			continue
		}
		out.WriteString(line + "\n")
		if strings.HasPrefix(line, "> teams one-part") { // two teams that share a part
			cfg.Teams = []cluster.Team{
				{Name: "red", GuaranteedQuota: cluster.Resources{CPU: 8 * cpu}, QuotaLimit: cluster.Resources{CPU: 16 * cpu}},
				{Name: "green", GuaranteedQuota: cluster.Resources{CPU: 40 * cpu}, QuotaLimit: cluster.Resources{CPU: 48 * cpu}},
				{Name: "blue", GuaranteedQuota: cluster.Resources{CPU: 40 * cpu}, QuotaLimit: cluster.Resources{CPU: 48 * cpu}},
				{Name: "gold", GuaranteedQuota: cluster.Resources{CPU: 8 * cpu}, QuotaLimit: cluster.Resources{CPU: 16 * cpu}},
			}
			continue
		}
		if f := strings.Fields(line); len(f) == 4 && f[1] == "aim" { // done within so many seconds
			within, _ := strconv.ParseFloat(f[3], 64)
			cfg.SLOs = append(cfg.SLOs, cluster.SLO{Kind: "finished", Class: f[2], WithinSeconds: within})
			continue
		}
		if f := strings.Fields(line); len(f) == 5 && f[1] == "production" { // the old release under these limits; the settings name those of upgradeConfig
			var err error
			if before, err = parseLimits(f[2:]); err != nil {
				t.Fatalf("line %d: %v", i+1, err)
			}
			continue
		}
		if w == nil {
			if before != nil {
				cfg.WriteRPS, cfg.MaxValueBytes, cfg.MaxTxnOps = upgradeConfig().WriteRPS, upgradeConfig().MaxValueBytes, upgradeConfig().MaxTxnOps
				w = simulation.NewUpgradeSimulator(1, cfg, *before, cloud, options...)
			} else {
				w = simulation.NewSimulator(1, cfg, cloud, options...)
			}
			w.NoRandomFaults = true
			w.Log = say
		}
		if err := runTraceCommand(w, cloud, jobs, strings.Fields(line[1:]), say); err != nil {
			t.Fatalf("line %d: %v", i+1, err)
		}
	}
	if w == nil {
		t.Fatal("the story has no script")
	}
	for _, b := range w.Violations {
		t.Errorf("rule broken: %s", b)
	}
	return out.String()
}

// parseLimits reads value bytes, changes a transaction and changes a second.
func parseLimits(f []string) (*simulation.StoreLimits, error) {
	valueBytes, err := strconv.Atoi(f[0])
	if err != nil {
		return nil, err
	}
	changes, err := strconv.Atoi(f[1])
	if err != nil {
		return nil, err
	}
	rate, err := strconv.ParseFloat(f[2], 64)
	if err != nil {
		return nil, err
	}
	return &simulation.StoreLimits{WriteRPS: rate, ValueBytes: valueBytes, TxnOps: changes}, nil
}

func runTraceCommand(w *simulation.Simulator, cloud *simulation.FakeCloud, jobs map[string]*simulation.Job, f []string, say func(string)) error {
	opt := map[string]string{}
	var arg []string
	for _, x := range f[1:] {
		if k, v, ok := strings.Cut(x, "="); ok {
			opt[k] = v
		} else {
			arg = append(arg, x)
		}
	}
	num := func(k string, or float64) float64 {
		if v, err := strconv.ParseFloat(opt[k], 64); err == nil {
			return v
		}
		return or
	}
	dur := func(s string) cluster.Time {
		d, err := time.ParseDuration(s)
		if err != nil {
			panic(err)
		}
		return cluster.Time(d)
	}
	node := func(id string) *simulation.Node {
		for _, n := range w.Nodes {
			if string(n.ID) == id {
				return n
			}
		}
		panic("no node " + id)
	}
	answered := func(what, id string) func(messages.Respond) {
		return func(r messages.Respond) {
			switch {
			case r.View != nil:
				say(fmt.Sprintf("user %s %s: %d %s done %d running %d", what, id, r.Status, r.View.Status, r.View.Done, r.View.Running))
			case r.Status == 0:
				say(fmt.Sprintf("user %s %s: no answer", what, id))
			default:
				say(fmt.Sprintf("user %s %s: %d, again after %d s", what, id, r.Status, r.RetryAfter))
			}
			if r.View != nil && jobs[id] != nil {
				jobs[id].Accepted = true
				w.Users.CheckReportedStatus(jobs[id], r.View.Status)
			}
		}
	}
	switch f[0] {
	case "machines": // machines small a 2 [spot=1]
		n, _ := strconv.Atoi(arg[2])
		for range n {
			w.Machines.Add(arg[0], arg[1], opt["spot"] != "")
		}
	case "capacity": // capacity small a 2 [spot=1]
		n, _ := strconv.Atoi(arg[2])
		cloud.AvailableCapacity[simulation.CapacityKey(arg[0], arg[1], opt["spot"] != "")] = n
	case "submit": // submit j-000001 red via n0 tasks=3 run=10 cpu=1
		run := num("run", 10)
		s := cluster.JobSpec{ID: cluster.JobID(arg[0]), Class: "c", Team: arg[1], Priority: cluster.Priority(num("priority", 1)), Tasks: int(num("tasks", 1)),
			ResourceRequest: cluster.Resources{CPU: cluster.Amount(num("cpu", 1) * 1e6), Memory: cpu}, Image: "img", ImageGB: 1, RuntimeSeconds: run, Spot: opt["spot"] != "", SubmittedAt: cluster.WallTime(w.Now / 1e6)}
		if opt["awaits"] != "" {
			s.Dependencies = []cluster.JobID{cluster.JobID(opt["awaits"])}
		}
		info := simulation.JobInfo{ResourceRequest: s.ResourceRequest, RunDuration: cluster.Time(run * 1e9), TaskCount: s.Tasks, Image: s.Image}
		if v := num("save", 0); v > 0 {
			s.CheckpointSeconds, s.SaveSeconds, info.CanCheckpoint, info.SaveDuration = 5, v, true, cluster.Time(v*1e9)
		}
		if w.Jobs[s.ID] == nil {
			jobs[arg[0]] = &simulation.Job{Spec: s, Info: info}
			w.Jobs[s.ID] = jobs[arg[0]]
		}
		node(arg[3]).SendRequest(func(id messages.RequestID) messages.Event { return messages.Submit{Request: id, Spec: s} }, answered("submits", arg[0]))
	case "flood": // flood 50 red via n0 priority=1
		n, _ := strconv.Atoi(arg[0])
		count := map[string]int{}
		for i := range n {
			s := cluster.JobSpec{ID: cluster.JobID(fmt.Sprintf("j-%v%05d", num("priority", 1), i)), Class: "c", Team: arg[1], Priority: cluster.Priority(num("priority", 1)),
				Tasks: 1, ResourceRequest: cluster.Resources{CPU: cpu, Memory: cpu}, Image: "img", ImageGB: 1, RuntimeSeconds: 500}
			w.Jobs[s.ID] = &simulation.Job{Spec: s, Info: simulation.JobInfo{ResourceRequest: s.ResourceRequest, RunDuration: 500 * second, TaskCount: 1, Image: "img"}}
			node(arg[3]).SendRequest(func(id messages.RequestID) messages.Event { return messages.Submit{Request: id, Spec: s} }, func(r messages.Respond) {
				count[fmt.Sprint(r.Status)]++
			})
		}
		w.After(3500*second/1000, func() { say(fmt.Sprintf("users of priority %v: %v", num("priority", 1), count)) })
	case "query":
		node(arg[2]).SendRequest(func(id messages.RequestID) messages.Event {
			return messages.Query{Request: id, ID: cluster.JobID(arg[0])}
		}, answered("asks for", arg[0]))
	case "cancel":
		if j := jobs[arg[0]]; j != nil {
			j.CancelRequested = true
		}
		node(arg[2]).SendRequest(func(id messages.RequestID) messages.Event {
			return messages.Cancel{Request: id, ID: cluster.JobID(arg[0])}
		}, answered("cancels", arg[0]))
	case "upgrade": // upgrade n0 6s: it ends and is back after that, new
		node(arg[0]).Upgrade(dur(arg[1]))
	case "limits": // the lower limits come into force
		w.LowerStoreLimits()
	case "crash":
		node(arg[0]).Kill()
	case "boot":
		node(arg[0]).Start()
	case "cut": // cut n0 store 10s
		n, until := node(arg[0]), w.Now+dur(arg[2])
		switch arg[1] {
		case "store":
			n.StoreCutUntil = until
		case "workers":
			n.WorkersCutUntil = until
		case "peers":
			n.PeersCutUntil = until
		case "servers": // it keeps its workers
			n.StoreCutUntil, n.PeersCutUntil = until, until
		case "all":
			n.StoreCutUntil, n.WorkersCutUntil, n.PeersCutUntil = until, until, until
		default:
			return fmt.Errorf("cut from %q", arg[1])
		}
	case "freeze": // freeze all 20s: they stand still while their clocks run on
		for _, n := range w.Nodes {
			if arg[0] == "all" || arg[0] == string(n.ID) {
				n.PausedUntil = w.Now + dur(arg[1])
			}
		}
	case "outage":
		w.Store.DownUntil = w.Now + dur(arg[0])
	case "cloud": // cloud 30s: its interface is down
		w.CloudAPI.DownUntil = w.Now + dur(arg[0])
	case "hang":
		w.Machines.Hang(cluster.MachineID(arg[0]), dur(arg[1]))
	case "corrupt": // the record that lists a machine makes no sense any more
		for _, kv := range w.StateService.List("groups/").Items {
			if strings.Contains(string(kv.Value), arg[0]) {
				w.StateService.Commit(nil, []messages.TxnOp{{Key: kv.Key, Value: []byte(`{"p":1,"m":["?"]}`)}})
			}
		}
	case "deaf": // reports arrive, nothing reaches it
		w.Machines.MakeUnreachable(cluster.MachineID(arg[0]), dur(arg[1]))
	case "copy": // its present report is delivered again later
		w.Machines.DuplicateHeartbeat(cluster.MachineID(arg[0]), dur(arg[1]))
	case "refuse": // refuse n0 10s: by the state service, that controller alone
		node(arg[0]).StoreRefusesUntil = w.Now + dur(arg[1])
	case "mute": // it reaches no controller, direct commands reach it
		w.Machines.BlockHeartbeats(cluster.MachineID(arg[0]), dur(arg[1]))
	case "lose": // lose n0 answers 3s: its transactions are carried out, their answers lost
		node(arg[0]).StoreRepliesLostUntil = w.Now + dur(arg[2])
	case "slow": // slow 500ms 30s: the state service answers that much later
		w.Store.Slow(dur(arg[0]), dur(arg[1]))
	case "reboot": // the worker is back at once, in its next session
		w.Machines.Reboot(cluster.MachineID(arg[0]))
	case "stream": // stream red via n0 every=4s for=60s tasks=1 run=10: small jobs that keep coming
		every, left, n := dur(opt["every"]), dur(opt["for"]), 0
		run := num("run", 10)
		var next func()
		next = func() {
			n++
			s := cluster.JobSpec{ID: cluster.JobID(fmt.Sprintf("j-8%05d", n)), Class: "small", Team: arg[0], Priority: cluster.Priority(num("priority", 1)), Tasks: int(num("tasks", 1)),
				ResourceRequest: cluster.Resources{CPU: cpu, Memory: cpu}, Image: "img", ImageGB: 1, RuntimeSeconds: run, SubmittedAt: cluster.WallTime(w.Now / 1e6)}
			w.Jobs[s.ID] = &simulation.Job{Spec: s, Info: simulation.JobInfo{ResourceRequest: s.ResourceRequest, RunDuration: cluster.Time(run * 1e9), TaskCount: s.Tasks, Image: s.Image}}
			node(arg[2]).SendRequest(func(id messages.RequestID) messages.Event { return messages.Submit{Request: id, Spec: s} }, func(messages.Respond) {})
			if left -= every; left > 0 {
				w.After(every, next)
			}
		}
		next()
	case "notice":
		w.Machines.Preempt(cluster.MachineID(arg[0]), dur(arg[1]))
	case "run":
		w.RunUntil(w.Now + dur(arg[0]))
	default:
		return fmt.Errorf("unknown line %q", f)
	}
	return nil
}
