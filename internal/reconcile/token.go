package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// applyToken applies the highest fencing token that a worker has seen.
func (r *Reconciler) applyToken(machine *state.Machine, seen cluster.FencingToken) {
	acknowledged := seen == machine.Token || seen == 0 && hasNoEarlierCommands(machine)
	if machine.TokenAcknowledged && !acknowledged {
		machine.UnacknowledgedSince = r.loop.Now()
	}
	machine.TokenAcknowledged = acknowledged
	if acknowledged && machine.AwaitingFirstAcknowledgement {
		r.state.Shards[machine.ShardID].RecordFirstAcknowledgement(machine, r.loop.Now())
	}
	if acknowledged && !machine.RaisingToken {
		machine.StartInDoubt = false
	}
}

// hasNoEarlierCommands reports whether no command under an older token can be in flight
// to a worker that has not seen any token. This is the case if the machine was never
// owned under another claim and the outcome of no pushed start is unknown.
func hasNoEarlierCommands(machine *state.Machine) bool {
	return machine.Token == machine.InitialToken && !machine.StartInDoubt && !machine.RaisingToken
}
