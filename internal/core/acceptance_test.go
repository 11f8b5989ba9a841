package core

import (
	"testing"
)

// TestRepeatedAcceptance: an acceptance whose answer was lost, or that another
// controller stored a moment ago in a record of several, is answered as a
// repeat: others may have told more of the job since.
func TestRepeatedAcceptance(t *testing.T) {
	for name, want := range map[string]ReplyStatus{"new": 201, "answer lost": 200, "stored by another": 200} {
		b := newCoreHarness()
		n := 0
		b.lose = func(StoreTxn) bool { n++; return n == 1 && name == "answer lost" }
		if name == "stored by another" {
			b.store.epoch = 40
			b.store.keys["accepts/b1-1"] = KV{"accepts/b1-1", []byte(`{"j":[{"id":"j-1","s":{"team":"red","tasks":1,"Team":"red","Tasks":1}}],"w":"b1-1"}`), 40}
		}
		b.onSubmit(Submit{Req: 1, Job: JobSpec{ID: "j-1", Team: "red", Tasks: 1, Need: Res{CPU: 1_000_000, Mem: 1_000_000}}})
		b.play(second)
		if len(b.told) != 1 || b.told[0].Status != want || b.told[0].View == nil {
			t.Errorf("%s: answered %+v, want %d", name, b.told, want)
		}
	}
}
