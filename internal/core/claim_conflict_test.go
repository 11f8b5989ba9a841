package core

import "testing"

// TestClaimBesideConflict: a claim shares its transaction with an acceptance
// that is refused, since another controller accepted the job meanwhile. The
// claim has to be sent again as a claim: sent as an ordinary write it was
// dropped, as the part is not held, and the controller counted as claiming for
// ever. Then nobody served the part: its last holder waited for its own claim,
// and the others saw that holder alive.
func TestClaimBesideConflict(t *testing.T) {
	b := newCoreHarness()
	part := b.parts[1]
	part.held, part.ready = false, false
	b.store.keys["jobs/j-1"] = KV{"jobs/j-1", []byte(`{"s":{"tm":"red","n":1},"w":"b1-1"}`), 31}
	b.onSubmit(Submit{Req: 1, Job: JobSpec{ID: "j-1", Team: "red", Tasks: 1, Need: Res{CPU: 1_000_000, Mem: 1_000_000}}})
	b.claimPart(part)
	b.play(2 * second)

	if len(b.txns) == 0 || len(b.txns[0].Then) != 2 {
		t.Fatal("the claim and the acceptance did not share a transaction")
	}
	if !part.held || part.claiming {
		t.Errorf("held %v, claiming %v; want the part held", part.held, part.claiming)
	}
}
