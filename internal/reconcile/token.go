package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// applyToken updates whether a worker has acknowledged its machine's token, given the highest
// token that the worker has seen. Pushed starts in doubt can no longer be executed once that
// token is higher than theirs. The token of a machine that is being released is not raised, so
// its starts stay in doubt until the machine is gone.
func (r *Reconciler) applyToken(machine *state.Machine, seen cluster.FencingToken) {
	acknowledged := machine.IsTokenAcknowledgedBy(seen) || seen == 0 && hasNoEarlierCommands(machine)
	if machine.TokenAcknowledged && !acknowledged {
		machine.UnacknowledgedSince = r.loop.Now()
	}
	machine.TokenAcknowledged = acknowledged
	if acknowledged && machine.AwaitingFirstAcknowledgement {
		r.state.Shards[machine.ShardID].RecordFirstAcknowledgement(machine, r.loop.Now())
	}
	if acknowledged && machine.RejectsPushedStarts(seen) {
		machine.StartInDoubt = false
	}
}

// hasNoEarlierCommands reports whether no command under an earlier token can be in flight
// to a worker that has not seen any token. This is the case if the machine still has its
// initial token, the token is not being raised, and no pushed start is in doubt.
func hasNoEarlierCommands(machine *state.Machine) bool {
	return machine.Token == machine.InitialToken && !machine.StartInDoubt && !machine.RaisingToken
}
