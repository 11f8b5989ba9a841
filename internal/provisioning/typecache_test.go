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

// replyWithCloudTypes fetches the machine types, and has the cloud reply with one. It then
// advances the time until the types are to be stored.
func (h *harness) replyWithCloudTypes(t *testing.T, machineType cluster.MachineType) {
	t.Helper()
	h.Types.Fetch()
	request, _ := takeEffect[messages.CloudListMachineTypes](t, h)
	reply := messages.ListMachineTypesReply{Outcome: messages.OK, Types: []cluster.MachineType{machineType}}
	h.loop.Deliver(messages.Reply{Call: request.Call, Body: reply})
	h.advance(typesWriteDelay)
}

// replyWithStoredTypes loads the stored machine types, and has the store reply with the
// given outcome and value.
func (h *harness) replyWithStoredTypes(t *testing.T, outcome messages.Outcome, value []byte) {
	t.Helper()
	h.Types.Load()
	read, _ := takeEffect[messages.StoreGet](t, h)
	kv := messages.KV{Key: read.Key, Value: value, ModRevision: 7}
	h.loop.Deliver(messages.Reply{Call: read.Call, Body: messages.GetReply{Outcome: outcome, KV: kv}})
}

// takeTypesWrite dispatches the queued writes, removes all pending effects and returns the
// write of the machine types. It reports false if none was sent.
func (h *harness) takeTypesWrite(t *testing.T) (messages.StoreTxn, bool) {
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

// TestTypesStored checks that the machine types are stored only after the stored ones
// were read, and not again for a changed price.
func TestTypesStored(t *testing.T) {
	h := newHarness(t)
	h.replyWithCloudTypes(t, smallType)
	if _, sent := h.takeTypesWrite(t); sent {
		t.Fatal("types were written before the stored ones were read")
	}
	h.replyWithStoredTypes(t, messages.NotFound, nil)
	write, sent := h.takeTypesWrite(t)
	if !sent || len(write.Then) != 1 || write.Then[0].Key != machineTypesKey {
		t.Fatalf("sent %+v, want one write of the machine types", write)
	}
	h.loop.Deliver(messages.Reply{Call: write.Call, Body: messages.TxnReply{Outcome: messages.OK, Revision: 8}})

	pricier := smallType
	pricier.OnDemandPrice = 0.3
	h.replyWithCloudTypes(t, pricier)
	if _, sent := h.takeTypesWrite(t); sent {
		t.Error("types were written again for a changed price")
	}
	larger := smallType
	larger.Capacity.CPU = 8_000_000
	h.replyWithCloudTypes(t, larger)
	if write, sent := h.takeTypesWrite(t); !sent || write.If[len(write.If)-1].ModRevision != 8 {
		t.Errorf("write of a larger machine type sent: %v, with conditions %+v", sent, write.If)
	}
}

// TestStoredTypesUsedWithoutCloud checks that the stored machine types are used only
// until the cloud has returned some, and that an invalid record is ignored.
func TestStoredTypesUsedWithoutCloud(t *testing.T) {
	for _, test := range []struct {
		name      string
		fromCloud bool
		stored    []byte
		wantCPU   cluster.Amount
	}{
		{"the cloud has not replied", false, encodeTypes(t, smallType), smallType.Capacity.CPU},
		{"the cloud has replied", true, encodeTypes(t, smallType), 8_000_000},
		{"the record is invalid", false, []byte("{"), 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			if test.fromCloud {
				larger := smallType
				larger.Capacity.CPU = 8_000_000
				h.replyWithCloudTypes(t, larger)
			}
			h.replyWithStoredTypes(t, messages.OK, test.stored)
			if got := h.state.MachineTypes["small"].Capacity.CPU; got != test.wantCPU {
				t.Errorf("CPU of the machine type is %d, want %d", got, test.wantCPU)
			}
		})
	}
}
