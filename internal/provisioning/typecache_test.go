package provisioning

import (
	"encoding/json"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

var smallType = cluster.MachineType{
	Name:          "small",
	Capacity:      cluster.Resources{CPU: 4_000_000, Memory: 16_000_000},
	Zones:         []string{"a"},
	OnDemandPrice: 0.2,
	SpotPrice:     0.07,
}

// answerTypes has the cloud answer with one machine type.
func (h *harness) answerTypes(t *testing.T, machineType cluster.MachineType) {
	t.Helper()
	h.Types.Fetch()
	request, _ := takeEffect[messages.CloudListMachineTypes](t, h)
	reply := messages.ListMachineTypesReply{Outcome: messages.OK, Types: []cluster.MachineType{machineType}}
	h.loop.Deliver(messages.Reply{Call: request.Call, Body: reply})
	h.pass(typesWriteDelay)
}

// answerStored has the state service answer that it has a record, or none.
func (h *harness) answerStored(t *testing.T, outcome messages.Outcome, value []byte) {
	t.Helper()
	h.Types.Load()
	read, _ := takeEffect[messages.StoreGet](t, h)
	kv := messages.KV{Key: read.Key, Value: value, ModRevision: 7}
	h.loop.Deliver(messages.Reply{Call: read.Call, Body: messages.GetReply{Outcome: outcome, KV: kv}})
}

// sentTypes returns the write of the machine types that is sent now; false: none is.
func (h *harness) sentTypes(t *testing.T) (messages.StoreTxn, bool) {
	t.Helper()
	h.Types.queue.Dispatch()
	return takeEffect[messages.StoreTxn](t, h)
}

func encodeTypes(t *testing.T, types ...cluster.MachineType) []byte {
	t.Helper()
	value, err := json.Marshal(MachineTypesRecord{Types: types, WriteID: "b9-1"})
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// TestTypesStored shows that the machine types are stored once they are known and the
// stored ones were read, and again only when more than prices differ.
func TestTypesStored(t *testing.T) {
	h := newHarness(t)
	h.answerTypes(t, smallType)
	if _, sent := h.sentTypes(t); sent {
		t.Fatal("written before the stored types were read")
	}
	h.answerStored(t, messages.NotFound, nil)
	write, sent := h.sentTypes(t)
	if !sent || len(write.Then) != 1 || write.Then[0].Key != machineTypesKey {
		t.Fatalf("sent %+v", write)
	}
	h.loop.Deliver(messages.Reply{Call: write.Call, Body: messages.TxnReply{Outcome: messages.OK, Revision: 8}})

	dearer := smallType
	dearer.OnDemandPrice = 0.3
	h.answerTypes(t, dearer)
	if _, sent := h.sentTypes(t); sent {
		t.Error("written again for a price")
	}
	larger := smallType
	larger.Capacity.CPU = 8_000_000
	h.answerTypes(t, larger)
	if write, sent := h.sentTypes(t); !sent || write.If[len(write.If)-1].ModRevision != 8 {
		t.Errorf("a larger machine type is written: %v, on condition of %+v", sent, write.If)
	}
}

// TestStoredTypesUsedWithoutCloud shows that the stored machine types are used only as
// long as the cloud has not given any, and that a record which can't be read is not.
func TestStoredTypesUsedWithoutCloud(t *testing.T) {
	for _, test := range []struct {
		name      string
		fromCloud bool
		stored    []byte
		wantCPU   cluster.Amount
	}{
		{"the cloud has given none", false, encodeTypes(t, smallType), smallType.Capacity.CPU},
		{"the cloud has given some", true, encodeTypes(t, smallType), 8_000_000},
		{"the record can't be read", false, []byte("{"), 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			if test.fromCloud {
				larger := smallType
				larger.Capacity.CPU = 8_000_000
				h.answerTypes(t, larger)
			}
			h.answerStored(t, messages.OK, test.stored)
			if got := h.state.MachineTypes["small"].Capacity.CPU; got != test.wantCPU {
				t.Errorf("the machine type has %d, want %d", got, test.wantCPU)
			}
		})
	}
}
