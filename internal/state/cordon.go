package state

import "stairrelay/internal/cluster"

// Cordon keeps new tasks away from a machine that another shard needs more.
func (l *StartLimits) Cordon() { l.Cordoned = true }

// CordonForScaleIn keeps new tasks away from a machine because it costs more than
// others: only jobs to which these are a risk may still use it.
func (l *StartLimits) CordonForScaleIn() { l.Cordoned, l.ScaleInCandidate = true, true }

// Uncordon lets a machine get new tasks again.
func (l *StartLimits) Uncordon() { l.Cordoned, l.ScaleInCandidate = false, false }

// OfferTo offers the group to another shard until a time.
func (g *MachineGroup) OfferTo(shard cluster.ShardID, until cluster.Time) {
	g.Offer = &GroupOffer{ToShard: shard, Until: until}
}

// WithdrawOffer takes back the offer, so that the machines get tasks again.
func (g *MachineGroup) WithdrawOffer() { g.Offer = nil }
