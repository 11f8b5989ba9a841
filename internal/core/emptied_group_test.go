package core

import (
	"testing"

	"stairrelay/internal/grouprecord"
)

// TestDropBesideUnheardClaim: the record of an emptied group was made under
// another part's claim. This controller has not heard of that claim, so that the
// part's mark as known here is not the one in the group's name. The claim is in
// force: its holder's late writes are still carried out, and the key must stay.
// It goes once the part has a claim later than the one that made the group.
func TestDropBesideUnheardClaim(t *testing.T) {
	const makingClaim = Epoch(40)
	for _, test := range []struct {
		name    string
		known   Mark // of the other part's claim, here
		stored  Mark // of its claim in force
		dropped bool
	}{
		{"a later claim is in force", 50, 50, true},
		{"the claim that made it is in force, and known", Mark(makingClaim), Mark(makingClaim), false},
		{"the claim that made it is in force, and not heard of", 30, Mark(makingClaim), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench()
			part, other := b.parts[0], b.parts[1]
			b.store.epoch = 60
			other.held, other.ready, other.mark = false, false, test.known
			b.store.keys[other.key()] = KV{other.key(), []byte(`{"holder":"n1","term":2,"w":"b1-1"}`), test.stored}
			emptied := KV{"groups/b1-40-1", grouprecord.Encode(grouprecord.Record{Part: part.id, Nonce: "b0-5"}), 55}
			b.store.keys[emptied.Key] = emptied
			b.learnGroup(emptied, part)
			b.play(second)
			if dropped := b.store.get(emptied.Key).Out == Missing; dropped != test.dropped {
				t.Errorf("dropped %v, want %v", dropped, test.dropped)
			}
		})
	}
}
