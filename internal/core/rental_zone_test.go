package core

import "testing"

// TestRentalInZoneOfJob: machines for a job that is bound to a zone are asked for
// in that zone alone, also where the cloud has refused them there. Placement
// would not use any of another zone; they would be paid for, and counted as
// coming, for nothing.
func TestRentalInZoneOfJob(t *testing.T) {
	for _, test := range []struct {
		name    string
		zone    string
		refused []string
		rented  []string
	}{
		{"bound to a zone", "b", nil, []string{"b"}},
		{"bound to a zone that has none left", "b", []string{"b"}, nil},
		{"not bound, one zone has none left", "", []string{"a"}, []string{"b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newCoreHarness()
			part := b.parts[0]
			small := b.types["small"]
			small.Zones = []string{"a", "b"}
			b.types["small"] = small
			for _, zone := range test.refused {
				part.refused[rentOption{"small", zone, false}] = b.now + 60*second
			}
			b.job("j-1", 1).spec.Zone = test.zone
			b.rentFor(part)
			var rented []string
			for _, name := range sortedKeys(part.rentals) {
				rented = append(rented, part.rentals[name].opt.Zone)
			}
			if len(rented) != len(test.rented) || len(rented) > 0 && rented[0] != test.rented[0] {
				t.Errorf("rented in zones %v, want %v", rented, test.rented)
			}
		})
	}
}
