package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// applyToken applies which fencing token a worker has seen last.
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

// hasNoEarlierCommands tells whether no older command can be on its way to a worker
// that has seen no token at all: the machine has never been owned under another claim,
// and no start of ours is in doubt.
func hasNoEarlierCommands(machine *state.Machine) bool {
	return machine.Token == machine.InitialToken && !machine.StartInDoubt && !machine.RaisingToken
}
