package state

import "stairrelay/internal/cluster"

// Cordon excludes the machine from new assignments because another shard needs it more.
func (l *StartLimits) Cordon() { l.Cordoned = true }

// CordonForScaleIn excludes the machine from new assignments because it costs more than
// others. If it is an on-demand machine, jobs that would lose too much work on spot
// machines may still use it.
func (l *StartLimits) CordonForScaleIn() { l.Cordoned, l.ScaleInCandidate = true, true }

// Uncordon makes the machine available for new assignments again.
func (l *StartLimits) Uncordon() { l.Cordoned, l.ScaleInCandidate = false, false }

// OfferTo offers the group to another shard until the given time.
func (g *MachineGroup) OfferTo(shard cluster.ShardID, until cluster.Time) {
	g.Offer = &GroupOffer{ToShard: shard, Until: until}
}

// WithdrawOffer cancels the offer, which makes the group's machines available for new
// assignments again.
func (g *MachineGroup) WithdrawOffer() { g.Offer = nil }
