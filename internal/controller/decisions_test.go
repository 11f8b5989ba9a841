package controller_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/simulation"
	"stairrelay/internal/wire"
)

// goldenDecisions is a file with one line for each run: its name, the number of its
// effects and their digest. The flag -update rewrites the file.
const goldenDecisions = "testdata/decisions.txt"

// The numbers of random runs that are recorded in addition to the traces.
const (
	randomFaultSeeds = 8
	sevenNodeSeeds   = 3
	upgradeSeeds     = 4
)

// TestDecisions checks that simulated runs have the effects that are recorded in
// testdata/decisions.txt. It guards against unintended changes of behavior.
func TestDecisions(t *testing.T) {
	recorder := &decisionRecorder{digests: map[string]string{}}
	t.Run("runs", recorder.recordAll)
	if t.Failed() {
		return
	}
	if *updateGolden {
		if err := writeGoldenDecisions(recorder.digests); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := readGoldenDecisions()
	if err != nil {
		t.Fatal(err)
	}
	for name, digest := range want {
		if got := recorder.digests[name]; got != digest {
			t.Errorf("%s: want %q, got %q", name, digest, got)
		}
	}
	if len(recorder.digests) != len(want) {
		t.Errorf("got %d runs, %d are recorded", len(recorder.digests), len(want))
	}
}

// decisionRecorder collects the digests of the runs' effects, keyed by the run's name.
type decisionRecorder struct {
	mu      sync.Mutex
	digests map[string]string
}

func (r *decisionRecorder) recordAll(t *testing.T) {
	for seed := 1; seed <= randomFaultSeeds; seed++ {
		r.record(t, "random-"+strconv.Itoa(seed), func(t *testing.T, observed simulation.Option) {
			t.Helper()
			simulateRandomFaults(t, uint64(seed), testConfig(), observed)
		})
	}
	for seed := 1; seed <= sevenNodeSeeds; seed++ {
		r.record(t, "seven-"+strconv.Itoa(seed), func(t *testing.T, observed simulation.Option) {
			t.Helper()
			simulateRandomFaults(t, uint64(seed), sevenNodeConfig(), observed)
		})
	}
	for seed := 1; seed <= upgradeSeeds; seed++ {
		r.record(t, "upgrade-"+strconv.Itoa(seed), func(t *testing.T, observed simulation.Option) {
			t.Helper()
			simulateUpgrade(t, uint64(seed), observed)
		})
	}
	traces, err := filepath.Glob("testdata/traces/*.txt")
	if err != nil || len(traces) == 0 {
		t.Fatalf("found %d traces: %v", len(traces), err)
	}
	for _, file := range traces {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		r.record(t, "trace-"+name, func(t *testing.T, observed simulation.Option) {
			t.Helper()
			script, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			replayTrace(t, string(script), observed)
		})
	}
}

// record executes a run in a parallel subtest and stores its digest.
func (r *decisionRecorder) record(t *testing.T, name string, run func(*testing.T, simulation.Option)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		digest := newDecisionDigest(t, name)
		run(t, simulation.ObserveEffects(digest.add))
		r.mu.Lock()
		defer r.mu.Unlock()
		r.digests[name] = digest.String()
	})
}

// decisionDigest hashes the effects of one run in their wire and stored encodings, so
// that renaming Go identifiers does not change the digest. Log lines are not included. If
// the environment variable STAIRRELAY_DECISIONS names a directory, the effects are also
// written to a file in it, for comparison with those of another build.
type decisionDigest struct {
	t       *testing.T
	out     io.Writer
	hash    hash.Hash
	encoder cbor.EncMode
	effects int
}

func newDecisionDigest(t *testing.T, name string) *decisionDigest {
	t.Helper()
	encoder, err := cbor.CanonicalEncOptions().EncMode() // sorts the keys of maps
	if err != nil {
		t.Fatal(err)
	}
	sum := sha256.New()
	digest := &decisionDigest{t: t, hash: sum, out: sum, encoder: encoder}
	if dir := os.Getenv("STAIRRELAY_DECISIONS"); dir != "" {
		file, err := os.Create(filepath.Join(dir, name+".txt"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := file.Close(); err != nil {
				t.Error(err)
			}
		})
		digest.out = io.MultiWriter(sum, file)
	}
	return digest
}

func (d *decisionDigest) String() string {
	return fmt.Sprintf("%d %s", d.effects, hex.EncodeToString(d.hash.Sum(nil)))
}

func (d *decisionDigest) add(now cluster.Time, node cluster.NodeID, effect messages.Effect) {
	text, isDecision := d.encode(effect)
	if !isDecision {
		return
	}
	d.effects++
	if _, err := fmt.Fprintf(d.out, "%d %s %s\n", now, node, text); err != nil {
		d.t.Fatal(err)
	}
}

// encode returns an effect as text that contains its wire encoding. The second result is
// false for a log line, which is not a decision.
func (d *decisionDigest) encode(effect messages.Effect) (string, bool) {
	switch e := effect.(type) {
	case messages.Log:
		return "", false
	case messages.StoreTxn:
		return fmt.Sprintf("txn %d %s", e.Call, wire.EncodeTxn(e)), true
	case messages.StoreGet:
		return fmt.Sprintf("get %d %s", e.Call, e.Key), true
	case messages.StoreList:
		return fmt.Sprintf("list %d %s", e.Call, e.Prefix), true
	case messages.StoreWatch:
		return fmt.Sprintf("watch %d %s %d %d", e.Call, e.Prefix, e.SinceRevision, e.Timeout), true
	case messages.CloudListMachineTypes:
		return fmt.Sprintf("types %d", e.Call), true
	case messages.CloudScaleOut:
		return fmt.Sprintf("rent %d %s", e.Call, wire.EncodeScaleOut(e)), true
	case messages.CloudScaleIn:
		return fmt.Sprintf("return %d %s", e.Call, wire.EncodeScaleIn(e.IDs)), true
	case messages.CloudListMachines:
		return fmt.Sprintf("machines %d %s", e.Call, e.After), true
	case messages.PushCommands:
		return fmt.Sprintf("orders %d %s %s", e.Call, e.Addr, wire.EncodePushCommands(e)), true
	case messages.QueryWorkerStatus:
		return fmt.Sprintf("inspect %d %s", e.Call, e.Addr), true
	case messages.PeerCall:
		return fmt.Sprintf("peer %d %s %d %s", e.Call, e.To, e.Timeout, d.encodeMessage(e.Message)), true
	case messages.Respond:
		return "respond " + d.encodeResponse(e), true
	default:
		d.t.Fatalf("unknown effect %T", effect)
		return "", false
	}
}

// encodeResponse encodes a response to a user, a worker or another controller.
func (d *decisionDigest) encodeResponse(response messages.Respond) string {
	text := fmt.Sprintf("%d %d %d %q", response.Request, response.Status, response.RetryAfter, response.Error)
	if response.View != nil {
		text += " view " + string(wire.EncodeJobView(*response.View))
	}
	if response.Heartbeat != nil {
		text += " worker " + string(wire.EncodeHeartbeatResponse(response.Status, *response.Heartbeat))
	}
	if response.Peer != nil {
		text += " peer " + d.encodeMessage(*response.Peer)
	}
	return text
}

// encodeMessage encodes a message between controllers.
func (d *decisionDigest) encodeMessage(message messages.PeerMessage) string {
	frame, err := d.encoder.Marshal(message)
	if err != nil {
		d.t.Fatal(err)
	}
	return hex.EncodeToString(frame)
}

func readGoldenDecisions() (map[string]string, error) {
	file, err := os.Open(goldenDecisions)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	digests := map[string]string{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, digest, found := strings.Cut(lines.Text(), " ")
		if !found {
			return nil, fmt.Errorf("%s: no digest in %q", goldenDecisions, lines.Text())
		}
		digests[name] = digest
	}
	return digests, nil
}

func writeGoldenDecisions(digests map[string]string) error {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(digests)) {
		fmt.Fprintf(&text, "%s %s\n", name, digests[name])
	}
	return os.WriteFile(goldenDecisions, []byte(text.String()), 0o644)
}
