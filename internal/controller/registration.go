package controller

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// registerMachines writes machines that no record lists into a new group of a part. done
// is called when that is stored, or has failed.
func (c *Controller) registerMachines(p *state.Shard, ms []grouprecord.Machine, done func()) {
	claim := p.ClaimRevision
	id := c.nextMachineGroupName(p)
	size := 0
	c.writeQueue.Enqueue(writequeue.ScaleOut, &writequeue.Write{
		ShardID: p.ID, Keys: []string{"groups/" + id},
		Build: func(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
			ms = slices.DeleteFunc(ms, func(l grouprecord.Machine) bool { return c.state.Machines[l.ID] != nil })
			if len(ms) == 0 {
				done()
				return nil, nil
			}
			v := grouprecord.Encode(grouprecord.Record{ShardID: p.ID, Machines: ms, WriteID: nonce})
			size = len(v)
			return []messages.TxnOp{{Key: "groups/" + id, Value: v}}, []cluster.ModRevision{0}
		},
		OnApplied: func(e cluster.Revision) {
			if p.IsOwnedUnder(claim) {
				c.addRegisteredGroup(p, id, ms, size, e)
			}
			done()
		},
		OnConflict:      done,
		OnOwnershipLost: done,
	})
}

// addRegisteredGroup follows the first record of machines that only this claim has owned.
func (c *Controller) addRegisteredGroup(p *state.Shard, id string, ms []grouprecord.Machine, size int, e cluster.Revision) {
	g := c.newGroup(p, id, cluster.ModRevision(e))
	g.RecordSize = size
	for _, l := range ms {
		if c.state.Machines[l.ID] == nil {
			m := c.addMachine(g, l, cluster.FencingToken(e))
			m.InitialToken = m.Token
		}
	}
	c.scheduler.Trigger.Request()
}
