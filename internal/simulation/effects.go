package simulation

import (
	"fmt"

	"stairrelay/internal/messages"
)

const (
	// stallLogText is the message that a controller logs for a shard that has made no
	// progress for some time. The message is a violation only if it is logged more than
	// stallLogGracePeriod after the last fault has ended. An earlier message may refer
	// to the time before that.
	stallLogText        = "shard makes no progress"
	stallLogGracePeriod = 60 * second
)

// effectExecutor executes the effects that controllers request.
type effectExecutor struct {
	*environment
	store    *StoreAPI
	cloud    *CloudAPI
	commands *commandChannel
	peers    *peerChannel
}

func (x *effectExecutor) execute(node *Node, effect messages.Effect) {
	switch e := effect.(type) {
	case messages.Respond:
		node.respond(e)
	case messages.StoreTxn:
		x.store.transact(node, e)
	case messages.StoreGet:
		x.store.get(node, e)
	case messages.StoreList:
		x.store.list(node, e)
	case messages.StoreWatch:
		x.store.watch(node, e)
	case messages.CloudListMachineTypes:
		x.cloud.listMachineTypes(node.newCall(e.Call))
	case messages.CloudScaleOut:
		x.cloud.scaleOut(node.newCall(e.Call), e)
	case messages.CloudScaleIn:
		x.cloud.scaleIn(node.newCall(e.Call), e)
	case messages.CloudListMachines:
		x.cloud.listMachines(node.newCall(e.Call), e)
	case messages.PushCommands:
		x.commands.push(node, e)
	case messages.QueryWorkerStatus:
		x.commands.queryStatus(node, e)
	case messages.PeerCall:
		x.peers.call(node, e)
	case messages.Log:
		x.handleLog(node, e)
	}
}

// handleLog logs a controller's log line, except for the frequent stats and load lines.
// A line at level error is a violation, and so is a stalled shard after the grace period.
func (x *effectExecutor) handleLog(node *Node, line messages.Log) {
	if line.Message != "stats" && line.Message != "load" {
		x.Log(fmt.Sprintf("%s logs %s: %s %v", node.ID, line.Level, line.Message, line.Args))
	}
	if line.Level == messages.LogError {
		x.reportViolation("error_logged: %s logs %s %v", node.ID, line.Message, line.Args)
	}
	if line.Message == stallLogText && x.FaultsOverAt > 0 && x.Now > x.FaultsOverAt+stallLogGracePeriod {
		x.reportViolation("unserved: %s logs %v after the last fault", node.ID, line.Args)
	}
}
